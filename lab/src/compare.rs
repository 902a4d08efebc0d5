//! Comparison of load balancers: the same scenarios and seeds under our decision module and under baselines, in fleet depth.

use crate::baseline::BalancerKind;
use crate::invariants::Invariant;
use crate::run::{run_scenario_with, Depth, RunOptions};
use crate::scenario::Scenario;
use rayon::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::ops::RangeInclusive;

/// Median, minimum and maximum of some values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// The median; of an even number of values the higher of the two in the middle.
    pub median: f64,
    /// The minimum.
    #[serde(rename = "least")]
    pub min: f64,
    /// The maximum.
    #[serde(rename = "most")]
    pub max: f64,
}

impl Summary {
    /// Summarizes values. Without values all fields are NaN.
    pub fn new(mut values: Vec<f64>) -> Summary {
        values.sort_unstable_by(f64::total_cmp);
        let value = |index: usize| values.get(index).copied().unwrap_or(f64::NAN);
        Summary { median: value(values.len() / 2), min: value(0), max: value(values.len().saturating_sub(1)) }
    }
}

/// The results of one load balancer in one scenario, over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct ComparisonRow {
    /// Name of the scenario.
    pub scenario: String,
    /// The load balancer.
    #[serde(rename = "picks")]
    pub balancer: BalancerKind,
    /// Share of the requested value that was served, from 0 to 1.
    pub served: Summary,
    /// 99th percentile of the time to a served response, in milliseconds.
    pub p99_ms: Summary,
    /// Attempts per operation.
    #[serde(rename = "sends")]
    pub attempts: Summary,
    /// Number of violations of each invariant, over all seeds. At most 1,000 are recorded per run.
    #[serde(rename = "broken")]
    pub violations: BTreeMap<Invariant, usize>,
}

/// Runs each scenario with each seed and each load balancer. Calls `on_run_done` after each run, possibly from several threads.
///
/// # Errors
///
/// The configuration of a scenario's proxies is invalid.
pub fn compare(
    scenarios: &[Scenario],
    seeds: &RangeInclusive<u64>,
    balancers: &[BalancerKind],
    on_run_done: impl Fn() + Sync,
) -> Result<Vec<ComparisonRow>, String> {
    let limits = RunOptions { stop_on_violation: false, ..RunOptions::default() };
    let mut rows = Vec::new();
    for scenario in scenarios {
        for &balancer in balancers {
            let runs: Vec<_> = seeds
                .clone()
                .into_par_iter()
                .map(|seed| {
                    let outcome = run_scenario_with(scenario, seed, Depth::Fleet, &limits, balancer, None);
                    on_run_done();
                    outcome.map(|outcome| {
                        let all = &outcome.metrics.all;
                        let mut violations = BTreeMap::<Invariant, usize>::new();
                        outcome
                            .violations
                            .iter()
                            .for_each(|violation| *violations.entry(violation.invariant).or_default() += 1);
                        let attempts = outcome.metrics.attempts as f64 / all.operations.max(1) as f64;
                        (all.served_share(), all.latency_ms(99.0), attempts, violations)
                    })
                })
                .collect::<Result<_, _>>()?;
            let mut violations = BTreeMap::<Invariant, usize>::new();
            for (rule, count) in runs.iter().flat_map(|(.., of_run)| of_run) {
                *violations.entry(*rule).or_default() += count;
            }
            rows.push(ComparisonRow {
                scenario: scenario.name.clone(),
                balancer,
                served: Summary::new(runs.iter().map(|run| run.0).collect()),
                p99_ms: Summary::new(runs.iter().map(|run| run.1).collect()),
                attempts: Summary::new(runs.iter().map(|run| run.2).collect()),
                violations,
            });
        }
    }
    Ok(rows)
}

/// Formats rows as a Markdown table: share of the value served, 99th percentile, attempts per operation, and violations of each
/// invariant.
pub fn table(rows: &[ComparisonRow]) -> String {
    let mut text = String::from("| scenario | who | served | p99 ms | sends | broken: 1, 2, 3, 4 |\n");
    text += "| --- | --- | --- | --- | --- | --- |\n";
    for row in rows {
        let rules = [
            Invariant::OneAnswer,
            Invariant::NoEffectTwice,
            Invariant::NothingToTheGone,
            Invariant::ColdHostStands,
        ];
        let violations =
            rules.map(|rule| row.violations.get(&rule).copied().unwrap_or_default().to_string()).join(", ");
        let ComparisonRow { served, p99_ms, attempts, .. } = row;
        let _ = writeln!(
            text,
            "| {} | {} | {:.3} ({:.3} to {:.3}) | {:.0} ({:.0} to {:.0}) | {:.2} | {violations} |",
            row.scenario,
            row.balancer.name(),
            served.median,
            served.min,
            served.max,
            p99_ms.median,
            p99_ms.min,
            p99_ms.max,
            attempts.median,
        );
    }
    text
}
