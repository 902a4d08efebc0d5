//! Faults that are planted in the driver on purpose are found, and made small.

use nettleworks_engine::mutant::Mutant;
use nettleworks_lab::explore::{shrink, sweep, Found};
use nettleworks_lab::judge::Rule;
use nettleworks_lab::run::{play, Depth, Limits};
use nettleworks_lab::scenario::Scenario;
use std::path::Path;

/// Within so many seeds of a shipped scenario each is found.
const SEEDS: u64 = 8;
const FAULTS_MOST: usize = 10;

fn is_found(mutant: Mutant, scenario: &str, rule: Rule) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios").join(format!("{scenario}.toml"));
    let scenario = Scenario::load(&path).unwrap_or_else(|error| panic!("{error}"));
    let limits = Limits { mutant: Some(mutant), ..Limits::default() };
    let swept = sweep(&scenario, 1..=SEEDS, Depth::Full, &limits, || ());
    let found = swept.violations.iter().find(|(_, broken)| broken.rule == rule);
    let (&seed, broken) = found.unwrap_or_else(|| panic!("{mutant:?} is not found: {swept:?}"));
    assert!(!broken.last.is_empty());
    let small = shrink(&scenario, seed, Depth::Full, rule, &limits).expect("it breaks again");
    let found = &small.found.scenario;
    assert!(found.faults.len() < FAULTS_MOST, "{} faults", found.faults.len());
    assert!(found.seconds < scenario.seconds || found.load.proxies < scenario.load.proxies);
    // Its file plays the same break, and without the planted fault there is none.
    let read = Found::parse(&small.found.text()).expect("its own text");
    let again = play(&read.scenario, seed, Depth::Full, &limits).expect("it is played");
    assert_eq!(again.breaks.first().map(|broken| broken.at), Some(small.broken.at));
    let sound = play(&read.scenario, seed, Depth::Full, &Limits::default()).expect("it is played");
    assert_eq!(sound.breaks, []);
}

#[test]
fn an_unsafe_call_that_is_repeated_after_a_write_is_found() {
    is_found(Mutant::RetriesWritten, "reset-storm", Rule::NoEffectTwice);
}

#[test]
fn an_answer_to_the_wrong_caller_is_found() {
    is_found(Mutant::SwapsAnswers, "calm", Rule::OneAnswer);
}

#[test]
fn an_attempt_to_a_host_that_drains_is_found() {
    is_found(Mutant::DelaysDrains, "rolling-release", Rule::NothingToTheGone);
}

#[test]
fn a_call_without_an_end_is_found() {
    is_found(Mutant::DropsAnswers, "chaos", Rule::OneAnswer);
}
