//! Helpers shared by the tests of this crate.
#![allow(dead_code)]

use nettleworks_lab::fault::{Fault, FaultKind, Targets};
use nettleworks_lab::run::{run_scenario, Depth, Outcome, RunOptions};
use nettleworks_lab::scenario::Scenario;
use std::path::{Path, PathBuf};

pub const DEPTHS: [Depth; 2] = [Depth::Full, Depth::Fleet];

pub fn scenario(text: &str) -> Scenario {
    Scenario::parse(text).unwrap_or_else(|error| panic!("{error}"))
}

pub fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios").join(format!("{name}.toml"))
}

pub fn shipped(name: &str) -> Scenario {
    Scenario::load(&path(name)).unwrap_or_else(|error| panic!("{error}"))
}

pub fn fault(kind: FaultKind, at: f64, duration: f64, hosts: Targets, proxies: Targets) -> Fault {
    Fault { kind, at: Some(at), between: None, duration, hosts, proxies, stagger: 0.0, magnitude: None }
}

/// Runs a scenario to its end, even after a violation.
pub fn whole(scenario: &Scenario, seed: u64, depth: Depth) -> Outcome {
    run_scenario(scenario, seed, depth, &RunOptions { stop_on_violation: false, ..RunOptions::default() })
        .expect("it is played")
}

/// Runs a scenario and requires that no invariant is violated.
pub fn sound(scenario: &Scenario, seed: u64, depth: Depth) -> Outcome {
    let outcome = whole(scenario, seed, depth);
    assert_eq!(outcome.violations, [], "{} {depth:?}", scenario.name);
    outcome
}

/// Share of the value of operations started in a second that was served.
pub fn served_in(outcome: &Outcome, second: usize) -> f64 {
    outcome.metrics.seconds[second].requests.as_ref().map_or(1.0, |part| part.served_share())
}
