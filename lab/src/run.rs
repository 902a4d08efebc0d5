//! One run of a scenario under a seed, at one depth, and its result.

use crate::baseline::BalancerKind;
use crate::fault::resolve_faults;
use crate::invariants::Violation;
use crate::metrics::Metrics;
use crate::model::{Model, Nondeterminism};
use crate::scenario::Scenario;
use crate::Micros;
use nettleworks_engine::mutant::Mutant;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// How much of the proxy is real in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Depth {
    /// Driver, protocol, front and discovery, on virtual sockets.
    Full,
    /// The decision module alone, with modelled connections.
    Fleet,
}

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Whether the run stops at the first violation.
    pub stop_on_violation: bool,
    /// Whether each event is emitted to the thread's `tracing` subscriber.
    pub emit_events: bool,
    /// A mutation of the driver; it has an effect only with the feature `mutants`.
    pub mutant: Option<Mutant>,
}

impl Default for RunOptions {
    fn default() -> Self {
        RunOptions { stop_on_violation: true, emit_events: false, mutant: None }
    }
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The scenario, with its random faults resolved.
    pub scenario: Scenario,
    /// The seed.
    pub seed: u64,
    /// XXH64 of the event log.
    pub hash: u64,
    /// Number of events in the log.
    pub logged_events: u64,
    /// Number of events that were processed.
    pub events: u64,
    /// Virtual time at the end.
    pub end_time: Micros,
    /// The metrics.
    pub metrics: Metrics,
    /// Violations of invariants.
    pub violations: Vec<Violation>,
    /// Expectations of the scenario that were not met.
    pub missed_expectations: Vec<String>,
}

impl Outcome {
    /// Takes the result from a model at its end.
    pub(crate) fn from_model(model: Model, events: u64) -> Outcome {
        let (expectations, all) = (&model.scenario.expectations, &model.metrics.all);
        let mut missed = Vec::new();
        if let Some(least) = expectations.served.filter(|&least| all.served_share() < least) {
            missed.push(format!(
                "served {:.4} of the offered value, expected at least {least}",
                all.served_share()
            ));
        }
        if let Some(most) = expectations.p99_ms.filter(|&most| all.latency_ms(99.0) > most) {
            missed.push(format!(
                "the 99th percentile is {:.1} ms, expected at most {most}",
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

/// Runs a scenario.
///
/// # Errors
///
/// The daemon's checks reject the configuration.
pub fn run_scenario(
    scenario: &Scenario,
    seed: u64,
    depth: Depth,
    limits: &RunOptions,
) -> Result<Outcome, String> {
    run_scenario_with(scenario, seed, depth, limits, BalancerKind::Ours, None)
}

/// Runs a scenario with another balancer in place of the decision module (fleet depth only), or with an injected source
/// of nondeterminism.
///
/// # Errors
///
/// As [`run_scenario`].
pub fn run_scenario_with(
    scenario: &Scenario,
    seed: u64,
    depth: Depth,
    limits: &RunOptions,
    picks: BalancerKind,
    nondeterminism: Option<Nondeterminism>,
) -> Result<Outcome, String> {
    let resolved = Rc::new(resolve_faults(scenario, seed));
    match depth {
        Depth::Fleet => {
            Ok(crate::fleet::FleetSimulation::new(resolved, seed, picks)?.run(limits, nondeterminism))
        }
        Depth::Full if picks == BalancerKind::Ours => {
            crate::full::run_scenario(resolved, seed, limits, nondeterminism)
        }
        Depth::Full => Err("another balancer can only run in fleet depth".to_owned()),
    }
}
