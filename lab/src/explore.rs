//! Runs scenarios with many seeds on all cores, and shrinks a run that violates an invariant: to fewer faults, proxies,
//! hosts and calls and a shorter time, as long as the same seed still violates the same invariant.

use crate::fault::{resolve_faults, Targets};
use crate::invariants::{Invariant, Violation};
use crate::run::{run_scenario, Depth, RunOptions};
use crate::scenario::Scenario;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// A run that violates an invariant, with all that is needed to repeat it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counterexample {
    /// Seed of the run.
    pub seed: u64,
    /// Depth of the run.
    pub depth: Depth,
    /// The invariant, and how it was violated.
    #[serde(rename = "what")]
    pub description: String,
    /// The scenario with its faults resolved.
    pub scenario: Scenario,
}

impl Counterexample {
    /// The content of its file, in TOML.
    pub fn text(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    /// Parses the content of such a file.
    ///
    /// # Errors
    ///
    /// The text is not a valid file, or its scenario is invalid.
    pub fn parse(text: &str) -> Result<Counterexample, String> {
        let counterexample: Counterexample = toml::from_str(text).map_err(|error| error.to_string())?;
        counterexample.scenario.check().map_err(|error| format!("scenario.{error}"))?;
        Ok(counterexample)
    }
}

/// Results of a scenario over a range of seeds.
#[derive(Clone, Debug, Default)]
pub struct Sweep {
    /// Number of seeds.
    pub seeds: usize,
    /// The first violation of an invariant, by seed, where there was one.
    pub violations: BTreeMap<u64, Violation>,
    /// Seeds whose run could not be started, and why.
    pub failed: BTreeMap<u64, String>,
    /// Virtual time of all runs, in seconds.
    pub virtual_seconds: f64,
    /// Hash of the event log, by seed.
    pub hashes: BTreeMap<u64, u64>,
}

/// Runs a scenario with each seed, on all cores. Calls `on_run_done` after each run, possibly from several threads.
pub fn sweep(
    scenario: &Scenario,
    seeds: RangeInclusive<u64>,
    depth: Depth,
    limits: &RunOptions,
    on_run_done: impl Fn() + Sync,
) -> Sweep {
    let runs: Vec<_> = seeds
        .into_par_iter()
        .map(|seed| {
            let outcome = run_scenario(scenario, seed, depth, limits).map(|mut outcome| {
                (
                    outcome.hash,
                    outcome.end_time,
                    (!outcome.violations.is_empty()).then(|| outcome.violations.swap_remove(0)),
                )
            });
            on_run_done();
            (seed, outcome)
        })
        .collect();
    let mut sweep = Sweep { seeds: runs.len(), ..Sweep::default() };
    for (seed, outcome) in runs {
        match outcome {
            Ok((hash, ended, violation)) => {
                sweep.hashes.insert(seed, hash);
                sweep.virtual_seconds += ended as f64 / 1e6;
                violation.into_iter().for_each(|violation| drop(sweep.violations.insert(seed, violation)));
            }
            Err(reason) => drop(sweep.failed.insert(seed, reason)),
        }
    }
    sweep
}

/// Result of shrinking a run that violates an invariant.
#[derive(Clone, Debug)]
pub struct Shrunk {
    /// The smallest run that was found.
    pub counterexample: Counterexample,
    /// Its violation.
    pub violation: Violation,
    /// Number of runs that shrinking took.
    pub runs: usize,
}

/// Maximum number of runs for shrinking one violation.
const MAX_SHRINK_RUNS: usize = 400;

/// Shrinks a run that violates an invariant. `None` if the scenario does not violate it with this seed.
pub fn shrink(
    scenario: &Scenario,
    seed: u64,
    depth: Depth,
    rule: Invariant,
    limits: &RunOptions,
) -> Option<Shrunk> {
    let mut shrinker = Shrinker { seed, depth, invariant: rule, limits: *limits, runs: 0 };
    let mut best = resolve_faults(scenario, seed);
    let mut violation = shrinker.find_violation(&best)?;
    loop {
        let before = size(&best);
        for next in smaller(&best, &violation) {
            if let Some(next_violation) = shrinker.find_violation(&next) {
                (best, violation) = (next, next_violation);
                break;
            }
            if shrinker.runs >= MAX_SHRINK_RUNS {
                break;
            }
        }
        if size(&best) == before || shrinker.runs >= MAX_SHRINK_RUNS {
            break;
        }
    }
    best.name = format!("{}, shrunk", scenario.name);
    let counterexample = Counterexample { seed, depth, description: violation.to_string(), scenario: best };
    Some(Shrunk { counterexample, violation, runs: shrinker.runs })
}

struct Shrinker {
    seed: u64,
    depth: Depth,
    invariant: Invariant,
    limits: RunOptions,
    runs: usize,
}

impl Shrinker {
    /// Runs a scenario and returns its violation of the same invariant, if there is one.
    fn find_violation(&mut self, scenario: &Scenario) -> Option<Violation> {
        scenario.check().ok()?;
        self.runs += 1;
        let outcome =
            run_scenario(scenario, self.seed, self.depth, &RunOptions { emit_events: false, ..self.limits })
                .ok()?;
        outcome.violations.into_iter().find(|violation| violation.invariant == self.invariant)
    }
}

/// The measures that shrinking reduces. Scenarios with equal measures are considered equally small.
fn size(scenario: &Scenario) -> (usize, usize, usize, u64, u64, u64) {
    let lasts: f64 = scenario.faults.iter().map(|fault| fault.duration).sum();
    (
        scenario.faults.len(),
        scenario.load.proxies,
        scenario.fleet.hosts,
        (scenario.seconds * 1e3) as u64,
        (scenario.load.rate * 1e3) as u64,
        (lasts * 1e3) as u64,
    )
}

/// Scenarios that are each smaller in one respect, with the largest reductions first.
fn smaller(scenario: &Scenario, violation: &Violation) -> Vec<Scenario> {
    let mut all = Vec::new();
    let mut add = |change: &dyn Fn(&mut Scenario)| {
        let mut next = scenario.clone();
        change(&mut next);
        next.warm_up = next.warm_up.min(next.seconds);
        next.expectations = Default::default();
        if size(&next) != size(scenario) {
            all.push(next);
        }
    };
    // Nothing after the violation is needed.
    let end = ((violation.at as f64 / 1e6 + 0.05) * 1e3).ceil() / 1e3;
    add(&|next| {
        next.seconds = next.seconds.min(end);
        next.faults.retain(|fault| fault.at <= Some(next.seconds));
    });
    let count = scenario.faults.len();
    let mut batch = count;
    while batch > 0 {
        for start in (0..count).step_by(batch) {
            add(&|next| drop(next.faults.drain(start..(start + batch).min(count))));
        }
        batch /= 2;
    }
    for divisor in [4, 2] {
        add(&|next| {
            let proxies = (next.load.proxies / divisor).max(1);
            next.load.rate *= proxies as f64 / next.load.proxies as f64;
            next.load.proxies = proxies;
            next.faults.iter_mut().for_each(|fault| limit_targets(&mut fault.proxies, proxies));
        });
        add(&|next| {
            next.fleet.hosts = (next.fleet.hosts / divisor).max(1);
            next.fleet.pods = next.fleet.pods.min(next.fleet.hosts);
            next.fleet.zones = next.fleet.zones.min(next.fleet.pods);
            next.fleet.spares = 0;
            let hosts = next.fleet.hosts;
            next.faults.iter_mut().for_each(|fault| limit_targets(&mut fault.hosts, hosts));
        });
        add(&|next| next.load.rate = (next.load.rate / divisor as f64).max(1.0));
    }
    for number in 0..count {
        add(&|next| next.faults[number].duration = (next.faults[number].duration / 2.0).max(0.05));
    }
    add(&|next| next.seconds = (next.seconds * 0.9 * 1e3).ceil() / 1e3);
    all
}

/// Removes targets that no longer exist, with `count` left. At least one target stays.
fn limit_targets(targets: &mut Targets, count: usize) {
    if let Targets::These(indices) = targets {
        indices.retain(|&index| index < count);
        if indices.is_empty() {
            indices.push(0);
        }
    }
}
