//! Mutation tests: bugs that the engine's `mutants` feature adds are found by a sweep, and the runs that show them are shrunk.

use nettleworks_engine::mutant::Mutant;
use nettleworks_lab::explore::{shrink, sweep, Counterexample};
use nettleworks_lab::invariants::Invariant;
use nettleworks_lab::run::{run_scenario, Depth, RunOptions};
use nettleworks_lab::scenario::Scenario;
use std::path::Path;

/// Number of seeds of a shipped scenario within which each mutant must be found.
const SEEDS: u64 = 8;
/// A shrunk scenario must have fewer faults than this.
const MAX_FAULTS: usize = 10;

fn assert_found(mutant: Mutant, scenario: &str, rule: Invariant) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios").join(format!("{scenario}.toml"));
    let scenario = Scenario::load(&path).unwrap_or_else(|error| panic!("{error}"));
    let limits = RunOptions { mutant: Some(mutant), ..RunOptions::default() };
    let swept = sweep(&scenario, 1..=SEEDS, Depth::Full, &limits, || ());
    let found = swept.violations.iter().find(|(_, violation)| violation.invariant == rule);
    let (&seed, violation) = found.unwrap_or_else(|| panic!("{mutant:?} is not found: {swept:?}"));
    assert!(!violation.recent_events.is_empty());
    let shrunk = shrink(&scenario, seed, Depth::Full, rule, &limits).expect("the violation is repeated");
    let small = &shrunk.counterexample.scenario;
    assert!(small.faults.len() < MAX_FAULTS, "{} faults", small.faults.len());
    assert!(small.seconds < scenario.seconds || small.load.proxies < scenario.load.proxies);
    // The file repeats the violation with the mutant, and shows none without it.
    let read = Counterexample::parse(&shrunk.counterexample.text()).expect("its own text");
    let again = run_scenario(&read.scenario, seed, Depth::Full, &limits).expect("the scenario is valid");
    assert_eq!(again.violations.first().map(|violation| violation.at), Some(shrunk.violation.at));
    let correct = run_scenario(&read.scenario, seed, Depth::Full, &RunOptions::default())
        .expect("the scenario is valid");
    assert_eq!(correct.violations, []);
}

#[test]
fn a_retry_of_a_written_unsafe_call_is_found() {
    assert_found(Mutant::RetriesWritten, "reset-storm", Invariant::NoEffectTwice);
}

#[test]
fn a_response_to_the_wrong_client_is_found() {
    assert_found(Mutant::SwapsAnswers, "calm", Invariant::OneAnswer);
}

#[test]
fn an_attempt_on_a_draining_host_is_found() {
    assert_found(Mutant::DelaysDrains, "rolling-release", Invariant::NothingToTheGone);
}

#[test]
fn a_call_without_a_response_is_found() {
    assert_found(Mutant::DropsAnswers, "chaos", Invariant::OneAnswer);
}
