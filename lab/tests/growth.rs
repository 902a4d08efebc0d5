//! A larger fleet in full depth: there are too many proxies for each to have a share of one host's capacity, so that each
//! has one budget for all hosts.

use nettleworks_lab::run::{run_scenario, Depth, Outcome, RunOptions};
use nettleworks_lab::scenario::Scenario;

fn run(text: &str, seed: u64) -> Outcome {
    let scenario = Scenario::parse(text).unwrap_or_else(|error| panic!("{error}"));
    let outcome =
        run_scenario(&scenario, seed, Depth::Full, &RunOptions::default()).expect("the scenario is valid");
    assert_eq!(outcome.violations, []);
    outcome
}

/// Share of the value of calls that began in these seconds that was served.
fn served_in(outcome: &Outcome, seconds: std::ops::Range<usize>) -> f64 {
    let parts = outcome.metrics.seconds[seconds].iter().filter_map(|second| second.requests.as_ref());
    let (got, offered) = parts
        .fold((0.0, 0.0), |(got, offered), part| (got + part.earned_value, offered + part.offered_value));
    got / offered
}

/// Thirty proxies share thirty hosts that accept few connections each.
#[test]
fn proxies_stay_below_the_connection_limit_of_the_hosts() {
    let outcome = run(
        "name = \"x\"\nseconds = 12.0\nwarm_up = 4.0\n[fleet]\nhosts = 30\nconnections = 10\nhandshake_us = 12000.0\n\
         [load]\nproxies = 30\nrate = 1800.0",
        1,
    );
    assert!(outcome.metrics.peak_connections <= 9, "{} at one host", outcome.metrics.peak_connections);
    assert!(
        outcome.metrics.opened_connections <= 300,
        "{} for {} sends",
        outcome.metrics.opened_connections,
        outcome.metrics.attempts
    );
    assert!(served_in(&outcome, 4..12) > 0.97);
}
