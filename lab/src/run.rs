//! One run of a scenario under a seed, in a depth, and what came of it.

use crate::baseline::BalancerKind;
use crate::fault::settle;
use crate::judge::Break;
use crate::model::{Leak, Model};
use crate::scenario::Scenario;
use crate::tally::Tally;
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
pub struct Limits {
    /// At the first broken rule.
    pub stops: bool,
    /// Each event goes to the thread's `tracing` subscriber.
    pub tells: bool,
    /// A fault that is planted in the driver; without the feature `mutants` there is none.
    pub mutant: Option<Mutant>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { stops: true, tells: false, mutant: None }
    }
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The settled scenario.
    pub scenario: Scenario,
    /// The seed.
    pub seed: u64,
    /// XXH64 of the event log.
    pub hash: u64,
    /// Events in the log.
    pub logged: u64,
    /// Events that were played.
    pub events: u64,
    /// Virtual time at the end.
    pub ended: Micros,
    /// What was counted.
    pub tally: Tally,
    /// Rules that were broken.
    pub breaks: Vec<Break>,
    /// What had to hold beside the rules, and did not.
    pub missed: Vec<String>,
}

impl Outcome {
    /// Of a model at its end.
    pub(crate) fn of(model: Model, events: u64) -> Outcome {
        let (must, all) = (&model.scenario.must, &model.tally.all);
        let mut missed = Vec::new();
        if let Some(least) = must.served.filter(|&least| all.served() < least) {
            missed.push(format!("served {:.4} of the worth, at least {least} must be", all.served()));
        }
        if let Some(most) = must.p99_ms.filter(|&most| all.ms(99.0) > most) {
            missed.push(format!("the 99th percentile is {:.1} ms, at most {most} may be", all.ms(99.0)));
        }
        Outcome {
            seed: model.seed,
            hash: model.log.hash(),
            logged: model.log.count(),
            events,
            ended: model.now,
            tally: model.tally,
            breaks: model.breaks,
            missed,
            scenario: Scenario::clone(&model.scenario),
        }
    }
}

/// Plays a scenario.
///
/// # Errors
///
/// What the daemon's checks say of its configuration.
pub fn play(scenario: &Scenario, seed: u64, depth: Depth, limits: &Limits) -> Result<Outcome, String> {
    play_with(scenario, seed, depth, limits, BalancerKind::Ours, None)
}

/// The same with another in the place of the decision module (fleet depth alone), or with a leak planted.
///
/// # Errors
///
/// As [`play`].
pub fn play_with(
    scenario: &Scenario,
    seed: u64,
    depth: Depth,
    limits: &Limits,
    picks: BalancerKind,
    leak: Option<Leak>,
) -> Result<Outcome, String> {
    let settled = Rc::new(settle(scenario, seed));
    match depth {
        Depth::Fleet => Ok(crate::fleet::FleetSimulation::new(settled, seed, picks)?.run(limits, leak)),
        Depth::Full if picks == BalancerKind::Ours => crate::full::run_scenario(settled, seed, limits, leak),
        Depth::Full => Err("the full stack has the decision module in it".to_owned()),
    }
}
