//! The same seeds under our module and under what a team would pick instead, in fleet depth.

use crate::baseline::BalancerKind;
use crate::judge::Rule;
use crate::run::{play_with, Depth, Limits};
use crate::scenario::Scenario;
use rayon::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::ops::RangeInclusive;

/// Median, least and most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// The middle one.
    pub median: f64,
    /// The least.
    #[serde(rename = "least")]
    pub min: f64,
    /// The most.
    #[serde(rename = "most")]
    pub max: f64,
}

impl Summary {
    /// Of some values.
    pub fn new(mut values: Vec<f64>) -> Summary {
        values.sort_unstable_by(f64::total_cmp);
        let value = |index: usize| values.get(index).copied().unwrap_or(f64::NAN);
        Summary { median: value(values.len() / 2), min: value(0), max: value(values.len().saturating_sub(1)) }
    }
}

/// One of those compared, on one scenario.
#[derive(Clone, Debug, Serialize)]
pub struct ComparisonRow {
    /// The scenario.
    pub scenario: String,
    /// Who decides.
    #[serde(rename = "picks")]
    pub balancer: BalancerKind,
    /// Share of the worth that was served.
    pub served: Summary,
    /// 99th percentile of served answers, in milliseconds.
    pub p99_ms: Summary,
    /// Attempts for each thing that was wanted.
    #[serde(rename = "sends")]
    pub attempts: Summary,
    /// Broken rules, over all seeds; at most 1,000 are noted of a run.
    #[serde(rename = "broken")]
    pub violations: BTreeMap<Rule, usize>,
}

/// Plays each scenario under each seed and each of those compared. `done` hears of each run.
///
/// # Errors
///
/// A scenario that cannot be played.
pub fn compare(
    scenarios: &[Scenario],
    seeds: &RangeInclusive<u64>,
    balancers: &[BalancerKind],
    on_run_done: impl Fn() + Sync,
) -> Result<Vec<ComparisonRow>, String> {
    let limits = Limits { stops: false, ..Limits::default() };
    let mut rows = Vec::new();
    for scenario in scenarios {
        for &balancer in balancers {
            let runs: Vec<_> = seeds
                .clone()
                .into_par_iter()
                .map(|seed| {
                    let outcome = play_with(scenario, seed, Depth::Fleet, &limits, balancer, None);
                    on_run_done();
                    outcome.map(|outcome| {
                        let all = &outcome.tally.all;
                        let mut violations = BTreeMap::<Rule, usize>::new();
                        outcome
                            .breaks
                            .iter()
                            .for_each(|violation| *violations.entry(violation.rule).or_default() += 1);
                        let attempts = outcome.tally.sent as f64 / all.wanted.max(1) as f64;
                        (all.served(), all.ms(99.0), attempts, violations)
                    })
                })
                .collect::<Result<_, _>>()?;
            let mut violations = BTreeMap::<Rule, usize>::new();
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

/// The lines as a table of Markdown: share of worth served, and below it the 99th percentile and broken rules.
pub fn table(rows: &[ComparisonRow]) -> String {
    let mut text = String::from("| scenario | who | served | p99 ms | sends | broken: 1, 2, 3, 4 |\n");
    text += "| --- | --- | --- | --- | --- | --- |\n";
    for row in rows {
        let rules = [Rule::OneAnswer, Rule::NoEffectTwice, Rule::NothingToTheGone, Rule::ColdHostStands];
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
