//! Failures of the simulated network and of processes, and how a proxy copes with them, in full stack.

use nettleworks_lab::fault::{Fault, FaultKind, Targets};
use nettleworks_lab::metrics::OperationOutcome;
use nettleworks_lab::run::{run_scenario, Depth, Outcome, RunOptions};
use nettleworks_lab::scenario::Scenario;
use std::path::Path;
use std::time::{Duration, Instant};

fn scenario(text: &str) -> Scenario {
    Scenario::parse(text).unwrap_or_else(|error| panic!("{error}"))
}

fn fault(kind: FaultKind, at: f64, duration: f64, hosts: Targets, proxies: Targets) -> Fault {
    Fault { kind, at: Some(at), between: None, duration, hosts, proxies, stagger: 0.0, magnitude: None }
}

fn full(scenario: &Scenario, seed: u64) -> Outcome {
    let outcome = run_scenario(scenario, seed, Depth::Full, &RunOptions::default()).expect("it is played");
    assert_eq!(outcome.violations, []);
    outcome
}

/// Share of the value of operations started in a second that was served.
fn served_in(outcome: &Outcome, second: usize) -> f64 {
    outcome.metrics.seconds[second].requests.as_ref().map_or(1.0, |part| part.served_share())
}

#[test]
fn clients_recover_after_their_proxy_restarts() {
    let mut scenario = scenario("name = \"x\"\nseconds = 8.0\n[load]\nproxies = 2\nrate = 200.0");
    scenario.faults.push(fault(FaultKind::Restart, 3.2, 0.5, Targets::All, Targets::These(vec![0])));
    let outcome = full(&scenario, 1);
    // Calls that were open when the proxy died, or were sent while it was down, ended without an answer.
    assert!(
        outcome.metrics.all.count(OperationOutcome::Left)
            + outcome.metrics.all.count(OperationOutcome::Failed)
            > 0
    );
    assert!(served_in(&outcome, 3) < 0.95);
    assert!(served_in(&outcome, 5) > 0.99);
    // The restarted proxy opens a new watch of the list; the other keeps its watch.
    assert_eq!(outcome.metrics.watches, 3);
}

/// A proxy converts the start times of hosts by its wall clock, which it reads only when it starts: a jump while it
/// runs changes nothing, and a jump before its start does.
#[test]
fn a_clock_jump_matters_only_when_a_proxy_starts() {
    let text = "name = \"x\"\nseconds = 10.0\n[fleet]\nhosts = 3\n[load]\nproxies = 2\nrate = 150.0";
    let mut calm = scenario(text);
    calm.faults.push(fault(FaultKind::Kill, 2.0, 0.5, Targets::These(vec![0]), Targets::All));
    // Both scenarios have the same number of faults, so that nothing else differs.
    let mut jumps = calm.clone();
    calm.faults.push(Fault {
        magnitude: Some(0.0),
        ..fault(FaultKind::Clock, 1.0, 8.0, Targets::All, Targets::These(vec![0]))
    });
    for magnitude in [3_600.0, -3_600.0] {
        jumps.faults.truncate(1);
        let jump = fault(FaultKind::Clock, 1.0, 8.0, Targets::All, Targets::These(vec![0]));
        jumps.faults.push(Fault { magnitude: Some(magnitude), ..jump });
        assert_eq!(full(&calm, 2).hash, full(&jumps, 2).hash);
    }
    // A proxy that starts with a clock that is an hour behind takes a host that has just started for cold, and sends it
    // less.
    let host_0 = |outcome: &Outcome| {
        let of = |second: usize| outcome.metrics.seconds[second].host.get(&0).copied().unwrap_or_default();
        (6..10).map(of).sum::<u32>()
    };
    for scenario in [&mut calm, &mut jumps] {
        scenario.faults.push(fault(FaultKind::Restart, 1.5, 0.2, Targets::All, Targets::These(vec![0])));
        scenario.load.rate = 900.0;
    }
    let (right, behind) = (full(&calm, 2), full(&jumps, 2));
    assert!(host_0(&behind) < host_0(&right), "{} {}", host_0(&behind), host_0(&right));
}

#[test]
fn requests_run_once_when_a_partition_heals_within_their_bodies() {
    // A body takes 40 ms to transfer, in segments of 16 KiB, and the link is cut for 30 ms of each 100.
    let mut scenario = scenario(
        "name = \"x\"\nseconds = 6.0\n[network]\nmegabits = 10.0\n[load]\nproxies = 2\nrate = 60.0\nbody = 50000",
    );
    for number in 0..50 {
        let at = 0.5 + 0.1 * f64::from(number);
        scenario.faults.push(fault(FaultKind::CutThere, at, 0.03, Targets::All, Targets::All));
    }
    let outcome = full(&scenario, 3);
    assert!(outcome.metrics.held_segments > 100, "{} pieces were held back", outcome.metrics.held_segments);
    assert!(outcome.metrics.all.served_share() > 0.95, "{}", outcome.metrics.all.served_share());
    // Both directions are cut at once, and for longer than the connect timeout.
    for (number, fault) in scenario.faults.iter_mut().enumerate() {
        fault.kind = if number % 2 == 0 { FaultKind::Cut } else { FaultKind::CutBack };
        fault.duration = if number % 10 == 0 { 0.4 } else { 0.02 };
    }
    full(&scenario, 3);
}

#[test]
fn a_host_restarts_at_its_address_within_a_millisecond() {
    let mut scenario = scenario("name = \"x\"\nseconds = 20.0\n[load]\nproxies = 3\nrate = 300.0");
    for number in 0..6 {
        let host = Targets::These(vec![number % 6]);
        let at = 1.0 + 1.0003 * number as f64;
        scenario.faults.push(fault(FaultKind::Kill, at, 0.001, host, Targets::All));
    }
    let outcome = full(&scenario, 4);
    // Requests that ran on the host when it died may have had their effect, so charges are not sent again.
    let all = &outcome.metrics.all;
    let twice_or_lost = all.count(OperationOutcome::Left);
    assert!(twice_or_lost == 0 && all.served_share() > 0.5, "{:?}", all.outcomes);
    // The proxies learned of every restart, and each host is in use again.
    let last: Vec<usize> = outcome.metrics.seconds[19].host.keys().copied().collect();
    assert_eq!(last, [0, 1, 2, 3, 4, 5]);
}

#[test]
fn clients_that_stop_reading_delay_only_their_own_answers() {
    let text = "name = \"x\"\nseconds = 6.0\n[load]\nproxies = 2\nrate = 200.0\nanswer = 50000";
    let mut slow = scenario(text);
    slow.faults.push(fault(FaultKind::SlowReader, 2.0, 1.5, Targets::All, Targets::These(vec![0])));
    let outcome = full(&slow, 5);
    let part = outcome.metrics.seconds[2].requests.as_ref().expect("calls");
    // Half of the clients read late; the answers of the others arrive in time.
    assert!(
        part.latency_ms(30.0) < 100.0 && part.latency_ms(95.0) > 400.0,
        "{} {}",
        part.latency_ms(30.0),
        part.latency_ms(95.0)
    );
    assert!(served_in(&outcome, 5) > 0.99);
}

/// Verifies the key store with 10,000 charges and 10,000 entries, each requested up to four times.
#[test]
fn a_storm_of_repeats_under_20_000_keys_runs_no_charge_twice() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/key-storm.toml");
    let mut storm = Scenario::load(&path).unwrap_or_else(|error| panic!("{error}"));
    // CI runs a tenth of the load; `measure -- lab` runs all of it.
    storm.load.rate /= 10.0;
    let start = Instant::now();
    for seed in 1..=4 {
        let metrics = full(&storm, seed).metrics;
        assert!(
            metrics.keys > 1_900 && metrics.key_repeats > 3_000,
            "{} {}",
            metrics.keys,
            metrics.key_repeats
        );
        assert!(metrics.replays > 2_000);
        assert_eq!(metrics.two_answers, 0);
    }
    assert!(start.elapsed() < Duration::from_secs(120));
}
