//! One run of a scenario under a seed, in a depth, and what came of it.

use crate::baseline::Picks;
use crate::fault::resolve_faults;
use crate::invariants::Violation;
use crate::metrics::Metrics;
use crate::model::{Model, Nondeterminism};
use crate::scenario::Scenario;
use crate::Micros;
use nettleworks_engine::mutant::Mutant;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// How much of the proxy is real.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Depth {
    /// Driver, protocol, front and discovery, on virtual sockets.
    Full,
    /// The decision module, with modelled connections.
    Fleet,
}

/// When a run stops, and what it tells.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// At the first broken rule.
    pub stop_on_violation: bool,
    /// Each event goes to the thread's `tracing` subscriber.
    pub emit_events: bool,
    /// A fault that is planted in the driver; without the feature `mutants` there is none.
    pub mutant: Option<Mutant>,
}

impl Default for RunOptions {
    fn default() -> Self {
        RunOptions { stop_on_violation: true, emit_events: false, mutant: None }
    }
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The resolved scenario.
    pub scenario: Scenario,
    /// The seed.
    pub seed: u64,
    /// XXH64 of the event log.
    pub hash: u64,
    /// Events in the log.
    pub logged_events: u64,
    /// Events that were played.
    pub events: u64,
    /// Virtual time at the end.
    pub end_time: Micros,
    /// What was counted.
    pub metrics: Metrics,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// What had to hold beside the rules, and did not.
    pub missed_expectations: Vec<String>,
}

impl Outcome {
    /// Of a model at its end.
    pub(crate) fn from_model(model: Model, events: u64) -> Outcome {
        let (expectations, all) = (&model.scenario.expectations, &model.metrics.all);
        let mut missed = Vec::new();
        if let Some(least) = expectations.served.filter(|&least| all.served_share() < least) {
            missed.push(format!("served {:.4} of the worth, at least {least} must be", all.served_share()));
        }
        if let Some(most) = expectations.p99_ms.filter(|&most| all.latency_ms(99.0) > most) {
            missed.push(format!(
                "the 99th percentile is {:.1} ms, at most {most} may be",
                all.latency_ms(99.0)
            ));
        }
        Outcome {
            seed: model.seed,
            hash: model.log.hash(),
            logged_events: model.log.count(),
            events,
            end_time: model.now,
            metrics: model.metrics,
            violations: model.violations,
            missed_expectations: missed,
            scenario: Scenario::clone(&model.scenario),
        }
    }
}

/// Plays a scenario.
///
/// # Errors
///
/// What the daemon's checks say of its configuration.
pub fn run_scenario(
    scenario: &Scenario,
    seed: u64,
    depth: Depth,
    limits: &RunOptions,
) -> Result<Outcome, String> {
    run_scenario_with(scenario, seed, depth, limits, Picks::Ours, None)
}

/// The same with another in the place of the decision module (fleet depth alone), or with a leak planted.
///
/// # Errors
///
/// As [`play`].
pub fn run_scenario_with(
    scenario: &Scenario,
    seed: u64,
    depth: Depth,
    limits: &RunOptions,
    picks: Picks,
    nondeterminism: Option<Nondeterminism>,
) -> Result<Outcome, String> {
    let resolved = Rc::new(resolve_faults(scenario, seed));
    match depth {
        Depth::Fleet => Ok(crate::fleet::Fleet::new(resolved, seed, picks)?.play(limits, nondeterminism)),
        Depth::Full if picks == Picks::Ours => crate::full::play(resolved, seed, limits, nondeterminism),
        Depth::Full => Err("the full stack has the decision module in it".to_owned()),
    }
}
