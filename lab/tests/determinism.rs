//! Equal seeds give equal event logs, byte for byte, and a source of nondeterminism is detected.

use nettleworks_lab::baseline::BalancerKind;
use nettleworks_lab::explore::sweep;
use nettleworks_lab::model::Nondeterminism;
use nettleworks_lab::run::{run_scenario, run_scenario_with, Depth, RunOptions};
use nettleworks_lab::scenario::Scenario;
use std::path::Path;

const DEPTHS: [Depth; 2] = [Depth::Full, Depth::Fleet];

/// A shipped scenario, limited to a time in seconds.
fn shipped(name: &str, seconds: f64) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios").join(format!("{name}.toml"));
    let mut scenario = Scenario::load(&path).unwrap_or_else(|error| panic!("{error}"));
    scenario.seconds = scenario.seconds.min(seconds);
    scenario.faults.retain(|fault| fault.at.is_none_or(|at| at < scenario.seconds));
    scenario
}

fn hash(scenario: &Scenario, depth: Depth, leak: Option<Nondeterminism>) -> u64 {
    let limits = RunOptions { stop_on_violation: false, ..RunOptions::default() };
    run_scenario_with(scenario, 7, depth, &limits, BalancerKind::Ours, leak)
        .expect("the scenario is valid")
        .hash
}

#[test]
fn a_seed_gives_the_same_log_on_one_thread_and_on_four() {
    for name in ["chaos", "keys"] {
        let scenario = shipped(name, 8.0);
        for depth in DEPTHS {
            let hashes_on = |threads| {
                let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("threads");
                pool.install(|| sweep(&scenario, 1..=6, depth, &RunOptions::default(), || ())).hashes
            };
            let (one, four, again) = (hashes_on(1), hashes_on(4), hashes_on(4));
            assert_eq!(one.len(), 6);
            assert!(one == four && four == again, "{name} {depth:?}: {one:x?} {four:x?} {again:x?}");
            let mut all: Vec<u64> = one.into_values().collect();
            all.sort_unstable();
            all.dedup();
            assert_eq!(all.len(), 6, "different seeds give different logs");
        }
    }
}

#[test]
fn hosts_that_are_not_listed_change_nothing() {
    for depth in DEPTHS {
        let scenario = shipped("chaos", 8.0);
        let mut more = scenario.clone();
        more.fleet.spares = 5;
        assert_eq!(hash(&scenario, depth, None), hash(&more, depth, None));
        // A host that is listed changes the log.
        more.fleet.hosts += 1;
        assert_ne!(hash(&scenario, depth, None), hash(&more, depth, None));
    }
}

#[test]
fn nondeterminism_of_the_machine_is_detected() {
    let scenario = shipped("calm", 4.0);
    for depth in DEPTHS {
        for leak in [Nondeterminism::Clock, Nondeterminism::MapOrder, Nondeterminism::Thread] {
            let hashes: Vec<u64> = (0..4).map(|_| hash(&scenario, depth, Some(leak))).collect();
            let first = hashes[0];
            assert!(hashes.iter().any(|&hash| hash != first), "{leak:?} {depth:?}: {hashes:x?}");
        }
    }
}

#[test]
fn a_scenario_with_resolved_faults_runs_the_same_after_a_round_trip() {
    let scenario = shipped("chaos", 8.0);
    let settled = nettleworks_lab::fault::resolve_faults(&scenario, 3);
    assert!(settled.chaos.is_none() && settled.faults.len() >= 14);
    let read = Scenario::parse(&settled.text()).unwrap_or_else(|error| panic!("{error}"));
    for depth in DEPTHS {
        let hash = |scenario| {
            run_scenario(scenario, 3, depth, &RunOptions::default()).expect("the scenario is valid").hash
        };
        assert_eq!(hash(&scenario), hash(&read));
    }
}
