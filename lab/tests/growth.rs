//! A hard case of a larger fleet, in full stack: more proxies than one host's room is worth sharing, so that each has one
//! budget for all hosts.

use nettleworks_lab::run::{run_scenario, Depth, Outcome, RunOptions};
use nettleworks_lab::scenario::Scenario;

fn played(text: &str, seed: u64) -> Outcome {
    let scenario = Scenario::parse(text).unwrap_or_else(|error| panic!("{error}"));
    let outcome = run_scenario(&scenario, seed, Depth::Full, &RunOptions::default()).expect("it is played");
    assert_eq!(outcome.violations, []);
    outcome
}

/// Share of what began in these seconds that was served.
fn served_in(outcome: &Outcome, seconds: std::ops::Range<usize>) -> f64 {
    let parts = outcome.metrics.seconds[seconds].iter().filter_map(|second| second.requests.as_ref());
    let (got, offered) = parts
        .fold((0.0, 0.0), |(got, offered), part| (got + part.earned_value, offered + part.offered_value));
    got / offered
}

/// Thirty proxies before thirty hosts that hold few connections.
#[test]
fn hosts_at_their_connection_cap_are_not_asked_for_more_than_pays() {
    let outcome = played(
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
