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
pub struct Spread {
    /// The middle one.
    pub median: f64,
    /// The least.
    pub least: f64,
    /// The most.
    pub most: f64,
}

impl Spread {
    /// Of some values.
    pub fn of(mut values: Vec<f64>) -> Spread {
        values.sort_unstable_by(f64::total_cmp);
        let at = |place: usize| values.get(place).copied().unwrap_or(f64::NAN);
        Spread { median: at(values.len() / 2), least: at(0), most: at(values.len().saturating_sub(1)) }
    }
}

/// One of those compared, on one scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// The scenario.
    pub scenario: String,
    /// Who decides.
    pub picks: BalancerKind,
    /// Share of the worth that was served.
    pub served: Spread,
    /// 99th percentile of served answers, in milliseconds.
    pub p99_ms: Spread,
    /// Attempts for each thing that was wanted.
    pub sends: Spread,
    /// Broken rules, over all seeds; at most 1,000 are noted of a run.
    pub broken: BTreeMap<Rule, usize>,
}

/// Plays each scenario under each seed and each of those compared. `done` hears of each run.
///
/// # Errors
///
/// A scenario that cannot be played.
pub fn compare(
    scenarios: &[Scenario],
    seeds: &RangeInclusive<u64>,
    picks: &[BalancerKind],
    done: impl Fn() + Sync,
) -> Result<Vec<Line>, String> {
    let limits = Limits { stops: false, ..Limits::default() };
    let mut lines = Vec::new();
    for scenario in scenarios {
        for &picks in picks {
            let runs: Vec<_> = seeds
                .clone()
                .into_par_iter()
                .map(|seed| {
                    let outcome = play_with(scenario, seed, Depth::Fleet, &limits, picks, None);
                    done();
                    outcome.map(|outcome| {
                        let all = &outcome.tally.all;
                        let mut broken = BTreeMap::<Rule, usize>::new();
                        outcome.breaks.iter().for_each(|at| *broken.entry(at.rule).or_default() += 1);
                        let sends = outcome.tally.sent as f64 / all.wanted.max(1) as f64;
                        (all.served(), all.ms(99.0), sends, broken)
                    })
                })
                .collect::<Result<_, _>>()?;
            let mut broken = BTreeMap::<Rule, usize>::new();
            for (rule, count) in runs.iter().flat_map(|(.., broken)| broken) {
                *broken.entry(*rule).or_default() += count;
            }
            lines.push(Line {
                scenario: scenario.name.clone(),
                picks,
                served: Spread::of(runs.iter().map(|run| run.0).collect()),
                p99_ms: Spread::of(runs.iter().map(|run| run.1).collect()),
                sends: Spread::of(runs.iter().map(|run| run.2).collect()),
                broken,
            });
        }
    }
    Ok(lines)
}

/// The lines as a table of Markdown: share of worth served, and below it the 99th percentile and broken rules.
pub fn table(lines: &[Line]) -> String {
    let mut text = String::from("| scenario | who | served | p99 ms | sends | broken: 1, 2, 3, 4 |\n");
    text += "| --- | --- | --- | --- | --- | --- |\n";
    for line in lines {
        let rules = [Rule::OneAnswer, Rule::NoEffectTwice, Rule::NothingToTheGone, Rule::ColdHostStands];
        let broken =
            rules.map(|rule| line.broken.get(&rule).copied().unwrap_or_default().to_string()).join(", ");
        let Line { served, p99_ms, sends, .. } = line;
        let _ = writeln!(
            text,
            "| {} | {} | {:.3} ({:.3} to {:.3}) | {:.0} ({:.0} to {:.0}) | {:.2} | {broken} |",
            line.scenario,
            line.picks.name(),
            served.median,
            served.least,
            served.most,
            p99_ms.median,
            p99_ms.least,
            p99_ms.most,
            sends.median,
        );
    }
    text
}
