//! Comparison of the two depths: a fault must have much the same effect on a proxy in both, or results of fleet depth mean
//! nothing. Also tests of the connections and watches that fleet depth models.

mod common;

use common::{fault, scenario, served_in, sound, whole, DEPTHS};
use nettleworks_lab::fault::{Fault, FaultKind, Targets};
use nettleworks_lab::invariants::Invariant;
use nettleworks_lab::run::{Depth, Outcome};
use nettleworks_lab::scenario::Scenario;

/// How much the served share of the value may differ between the depths, by kind of fault. Most kinds differ by less than 0.01.
fn tolerance(what: FaultKind) -> f64 {
    match what {
        // The depths differ in which connections are idle at the fault, and each lost connection uses up retry budget.
        FaultKind::Stale | FaultKind::Resets => 0.06,
        // Fleet depth has no bytes, and so no slow readers.
        FaultKind::SlowReader => 0.4,
        _ => 0.03,
    }
}

fn scenario_with(what: FaultKind) -> Scenario {
    let text = "name = \"x\"\nseconds = 12.0\n[fleet]\nhosts = 6\npods = 3\n[load]\nproxies = 3\nrate = 250.0\ntaps = 0.0";
    let mut scenario = scenario(text);
    scenario.name = format!("{what:?}");
    scenario.faults.push(fault(what, 4.0, 3.0, Targets::These(vec![0, 1, 5]), Targets::These(vec![0, 2])));
    scenario
}

#[test]
fn each_fault_has_a_similar_effect_in_both_depths() {
    for what in FaultKind::ALL {
        let scenario = scenario_with(what);
        let served = DEPTHS.map(|depth| sound(&scenario, 3, depth).metrics.all.served_share());
        assert!((served[0] - served[1]).abs() <= tolerance(what), "{what:?}: {served:?}");
    }
}

/// Faults that a proxy cannot hide from its clients lower the served share while they last, and it recovers fully afterwards.
#[test]
fn faults_lower_the_served_share_only_while_they_last() {
    for what in [FaultKind::Restart, FaultKind::Resets, FaultKind::Errors] {
        for depth in DEPTHS {
            let outcome = sound(&scenario_with(what), 3, depth);
            let during = (4..7).map(|second| served_in(&outcome, second)).fold(1.0, f64::min);
            assert!(during < 0.98, "{what:?} {depth:?}: {during}");
            assert!(served_in(&outcome, 2) > 0.99 && served_in(&outcome, 11) > 0.99, "{what:?} {depth:?}");
        }
    }
}

/// A scenario without faults, with further settings.
fn calm(settings: &str) -> Scenario {
    scenario(&format!("name = \"x\"\nseconds = 8.0\n{settings}"))
}

#[test]
fn no_host_gets_more_connections_than_its_limit() {
    let scenario = calm("[fleet]\nconnections = 5\n[load]\nproxies = 4\nrate = 900.0");
    for depth in DEPTHS {
        let outcome = whole(&scenario, 1, depth);
        assert_eq!(outcome.metrics.peak_connections, 5, "{depth:?}");
    }
}

#[test]
fn connections_are_reused_and_closed_after_the_idle_timeout() {
    for depth in DEPTHS {
        let metrics = sound(&calm("[load]\nproxies = 2\nrate = 200.0"), 1, depth).metrics;
        assert!(
            metrics.opened_connections * 20 < metrics.attempts,
            "{depth:?}: {} for {}",
            metrics.opened_connections,
            metrics.attempts
        );
        // Hosts close idle connections after 10 ms, and each connection is used only every 60 ms.
        let metrics =
            sound(&calm("[fleet]\nkeep_ms = 10\n[load]\nproxies = 2\nrate = 200.0"), 1, depth).metrics;
        assert!(
            metrics.opened_connections * 2 > metrics.attempts,
            "{depth:?}: {} for {}",
            metrics.opened_connections,
            metrics.attempts
        );
    }
}

#[test]
fn a_proxy_at_its_connection_limit_replaces_its_oldest_idle_connection() {
    // Of 64 file descriptors a proxy uses 12 for connections to hosts.
    for depth in DEPTHS {
        let limited = calm("[fleet]\nhosts = 40\npods = 10\n[load]\nproxies = 1\nrate = 150.0\nsockets = 64");
        let limited = sound(&limited, 1, depth);
        let unlimited =
            sound(&calm("[fleet]\nhosts = 40\npods = 10\n[load]\nproxies = 1\nrate = 150.0"), 1, depth);
        assert!(
            limited.metrics.opened_connections > unlimited.metrics.opened_connections,
            "{depth:?}: the oldest idle connection is replaced, {} {}",
            limited.metrics.opened_connections,
            unlimited.metrics.opened_connections
        );
        assert!(
            limited.metrics.all.served_share() > 0.97,
            "{depth:?}: {}",
            limited.metrics.all.served_share()
        );
    }
}

#[test]
fn watches_are_reopened_after_discovery_was_down_or_silent() {
    for what in [FaultKind::DiscoveryDown, FaultKind::DiscoverySilent] {
        let mut scenario = calm("[load]\nproxies = 5");
        scenario.seconds = 25.0;
        scenario.faults.push(fault(what, 3.0, 9.0, Targets::All, Targets::All));
        // A host dies during the fault and returns, which a proxy learns only from a working watch.
        scenario.faults.push(fault(FaultKind::Kill, 5.0, 2.0, Targets::These(vec![1]), Targets::All));
        for depth in DEPTHS {
            let outcome = sound(&scenario, 1, depth);
            assert!(outcome.metrics.watches >= 10, "{what:?} {depth:?}: {}", outcome.metrics.watches);
            let host_1 =
                |second: usize| outcome.metrics.seconds[second].host.get(&1).copied().unwrap_or_default();
            assert!(host_1(24) > 0, "{what:?} {depth:?}: host 1 is not used again");
        }
    }
}

#[test]
fn a_pushed_list_is_watched_as_well() {
    let mut scenario = calm("[discovery]\nasked = false\n[load]\nproxies = 3");
    scenario.faults.push(fault(FaultKind::DiscoveryDown, 2.0, 2.0, Targets::All, Targets::All));
    for depth in DEPTHS {
        let outcome = sound(&scenario, 1, depth);
        assert!(outcome.metrics.all.served_share() > 0.99 && outcome.metrics.watches >= 6, "{depth:?}");
    }
}

#[test]
fn wrong_or_late_load_reports_do_no_harm() {
    for reports in ["honest", "lagging", "lying", "none"] {
        let text = format!("[fleet]\nreports = \"{reports}\"\n[load]\nproxies = 3\nrate = 500.0");
        for depth in DEPTHS {
            let served = sound(&calm(&text), 2, depth).metrics.all.served_share();
            assert!(served > 0.99, "{reports} {depth:?}: {served}");
        }
    }
}

#[test]
fn a_missed_expectation_is_reported_and_violates_no_invariant() {
    for depth in DEPTHS {
        let outcome = sound(&calm("[must]\nserved = 1.0\np99_ms = 3.0"), 1, depth);
        assert!(
            outcome.missed_expectations.iter().any(|missed| missed.contains("percentile")),
            "{:?}",
            outcome.missed_expectations
        );
        let outcome = sound(&calm("[must]\nserved = 0.9\np99_ms = 300.0"), 1, depth);
        assert_eq!(outcome.missed_expectations, Vec::<String>::new());
    }
}

/// Under overload the decision module limits the requests in flight, so that hosts serve what they can and the rest is
/// refused at once. Random selection serves far less to the same clients.
#[test]
fn overload_is_refused_early_and_the_rest_is_served() {
    let scenario = common::shipped("metastable").scaled_down(16.0, 150.0);
    let ours = DEPTHS.map(|depth| sound(&scenario, 1, depth).metrics.all.served_share());
    let limits = nettleworks_lab::run::RunOptions { stop_on_violation: false, ..Default::default() };
    let random = nettleworks_lab::baseline::BalancerKind::Random;
    let baseline = nettleworks_lab::run::run_scenario_with(&scenario, 1, Depth::Fleet, &limits, random, None)
        .expect("the scenario is valid");
    let baseline = baseline.metrics.all.served_share();
    assert!(ours[0] > 1.5 * baseline && ours[1] > 1.5 * baseline, "{ours:?} {baseline}");
}

/// All hosts restart cold under a load close to the capacity of warm hosts. A balancer that spreads calls evenly overloads cold
/// hosts; the decision module does not, with few proxies and with many.
#[test]
fn a_cold_fleet_under_full_load_is_not_overloaded() {
    let overloads = |outcome: &Outcome| {
        outcome.violations.iter().any(|violation| violation.invariant == Invariant::ColdHostStands)
    };
    let limits = nettleworks_lab::run::RunOptions { stop_on_violation: false, ..Default::default() };
    let least_of_two = nettleworks_lab::baseline::BalancerKind::LeastOfTwo;
    for proxies in [4, 60] {
        let mut scenario = common::shipped("cold-fleet-busy");
        scenario.seconds = 14.0;
        scenario.load.proxies = proxies;
        let evenly =
            nettleworks_lab::run::run_scenario_with(&scenario, 1, Depth::Fleet, &limits, least_of_two, None);
        assert!(overloads(&evenly.expect("the scenario is valid")), "{proxies}");
        sound(&scenario, 1, Depth::Fleet);
    }
    sound(&common::shipped("cold-fleet-busy").scaled_down(14.0, 600.0), 1, Depth::Full);
}

fn stale(at: f64) -> Fault {
    Fault { magnitude: Some(1.0), ..fault(FaultKind::Stale, at, 4.0, Targets::All, Targets::All) }
}

#[test]
fn attempts_on_connections_closed_by_the_host_are_retried_as_stale() {
    let mut scenario = calm("[load]\nproxies = 2\nrate = 60.0\ntaps = 0.0");
    scenario.faults.push(stale(2.0));
    for depth in DEPTHS {
        let outcome = sound(&scenario, 1, depth);
        assert!(
            outcome.metrics.repeats.get("stale").copied().unwrap_or_default() > 20,
            "{:?}",
            outcome.metrics.repeats
        );
    }
}
