//! The scenarios in `scenarios/standing/`, which model the days of the standing test: at full size in fleet depth, and
//! scaled down in both depths.

mod common;

use common::{sound, whole};
use nettleworks_lab::fault::Targets;
use nettleworks_lab::run::{Depth, Outcome};
use nettleworks_lab::scenario::Scenario;
use std::path::Path;

const DAYS: [&str; 8] = ["calm", "roll", "herd", "zone", "zone-release", "split", "join", "soak"];

fn load_day(name: &str) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("scenarios/standing/standing-{name}.toml"));
    Scenario::load(&path).unwrap_or_else(|error| panic!("{error}"))
}

/// A day scaled down to a tenth of the proxies and hosts, which keeps the load of each of them, and to half the time. Of
/// the long day
/// `soak`, only the first minute.
fn small(name: &str) -> Scenario {
    let mut small = load_day(name);
    if name == "soak" {
        small.seconds = 60.0;
        small.faults.iter_mut().for_each(|fault| fault.stagger /= 8.0);
        small.chaos.iter_mut().for_each(|chaos| chaos.faults = 3);
        return small;
    }
    small.fleet.hosts /= 10;
    small.fleet.pods = 10;
    small.load.proxies /= 10;
    small.load.rate /= 10.0;
    small.fleet.connections /= 2;
    let scale_down = |targets: &mut Targets| match targets {
        Targets::Any(count) => *count = count.div_ceil(10),
        Targets::These(indices) => {
            *indices = indices.iter().filter(|&index| index % 10 == 0).map(|index| index / 10).collect();
        }
        Targets::All | Targets::Pod(_) | Targets::Zone(_) => {}
    };
    for fault in &mut small.faults {
        fault.stagger *= 10.0;
        scale_down(&mut fault.hosts);
        scale_down(&mut fault.proxies);
    }
    let small = small.scaled_down(small.seconds / 2.0, f64::MAX);
    small.check().unwrap_or_else(|error| panic!("{error}"));
    small
}

/// Share of the value of calls that began in these seconds that was served.
fn served(outcome: &Outcome, seconds: std::ops::Range<usize>) -> f64 {
    let parts = outcome.metrics.seconds[seconds].iter().filter_map(|second| second.requests.as_ref());
    let (got, offered) =
        parts.fold((0.0, 0.0), |sum, part| (sum.0 + part.earned_value, sum.1 + part.offered_value));
    got / offered
}

#[test]
fn each_scaled_down_day_violates_no_invariant_in_both_depths() {
    for name in DAYS {
        for depth in [Depth::Full, Depth::Fleet] {
            let outcome = sound(&small(name), 2, depth);
            let served = outcome.metrics.all.served_share();
            assert!(served > 0.75, "{name} {depth:?}: {served}");
        }
    }
}

/// Six seconds of the calm day in fleet depth, with a number of proxies and a connection limit of each host.
fn calm(proxies: usize, connections: usize) -> Outcome {
    let mut calm = load_day("calm");
    (calm.seconds, calm.warm_up) = (6.0, 2.0);
    calm.load.curve.clear();
    (calm.load.proxies, calm.fleet.connections) = (proxies, connections);
    sound(&calm, 1, Depth::Fleet)
}

/// Guards against a collapse that operators have seen: each proxy kept a connection to most hosts, the hosts reached their
/// connection limits, and the proxies counted the refused connections as failures of the hosts.
#[test]
fn three_hundred_proxies_do_not_exhaust_the_connections_of_the_hosts() {
    let outcome = calm(300, 40);
    let (open, served) = (outcome.metrics.peak_connections, served(&outcome, 2..6));
    assert!(open <= 25, "{open} of 40 at one host");
    assert!(served > 0.99, "{served}");
}

/// The hosts accept 6,000 connections, and a thousand proxies would keep eight each. They must adapt to fewer.
#[test]
fn a_thousand_proxies_share_too_few_connections() {
    let outcome = calm(1_000, 30);
    assert!(served(&outcome, 2..6) > 0.95, "{}", served(&outcome, 2..6));
}

/// A thousand proxies start without a cached list while their clients already send requests.
#[test]
fn a_thousand_proxies_without_a_cached_list_serve_within_two_seconds() {
    let mut start = load_day("calm");
    (start.seconds, start.warm_up) = (5.0, 0.0);
    start.load.curve.clear();
    start.load.proxies = 1_000;
    start.discovery.starts_with_cached_list = false;
    let outcome = sound(&start, 1, Depth::Fleet);
    assert!(served(&outcome, 2..5) > 0.97, "{}", served(&outcome, 2..5));
}

/// Seven of ten proxies restart at once, and discovery answers their watches one after the other. Until then they serve
/// with their cached lists.
#[test]
fn restarted_proxies_serve_with_cached_lists_while_discovery_is_overloaded() {
    let mut herd = load_day("herd");
    (herd.seconds, herd.warm_up) = (14.0, 1.0);
    let outcome = whole(&herd, 1, Depth::Fleet);
    assert_eq!(outcome.violations, []);
    // Each of 300 proxies opens a watch, and the 210 that restart open one more.
    assert!(outcome.metrics.watches <= 600, "{} watches", outcome.metrics.watches);
    assert!(served(&outcome, 10..14) > 0.93, "{}", served(&outcome, 10..14));
}

/// The first seconds of a day at full size, in fleet depth.
fn run_until(name: &str, seconds: f64) -> Outcome {
    let mut day = load_day(name);
    day.seconds = seconds;
    // Faults after the end would make the scenario invalid.
    day.faults.retain(|fault| fault.at.is_none_or(|at| at < seconds));
    sound(&day, 1, Depth::Fleet)
}

/// Each proxy rarely uses any one host, and a third of the hosts is silent while others drain.
#[test]
fn losing_a_zone_during_a_release_costs_little_more_than_its_own_calls() {
    let outcome = run_until("zone-release", 13.0);
    let lost = served(&outcome, 7..12);
    assert!(lost > 0.94, "{lost}");
}

/// Most hosts that a proxy knows are removed within 7 s, and one in five of the new hosts fails.
#[test]
fn replacing_six_of_ten_hosts_with_some_faulty_ones_leaves_most_calls_served() {
    let outcome = run_until("join", 14.0);
    let during = served(&outcome, 5..13);
    assert!(during > 0.9, "{during}");
}
