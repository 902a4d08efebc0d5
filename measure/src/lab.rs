//! The lab: speed relative to real time, memory per simulated proxy, determinism, the scenario with 20,000 keys and, with
//! `--full`, the deviation from real sockets. Each measured run has a single-threaded process of its own.

use crate::report::{Bound, Report};
use nettleworks_lab::fidelity;
use nettleworks_lab::run::{run_scenario, Depth, RunOptions};
use nettleworks_lab::scenario::Scenario;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

/// Scenarios that are also run on real sockets, to compare the results.
const FIDELITY_SCENARIOS: [&str; 6] =
    ["calm", "slow-node", "silent-node", "one-way", "rolling-release", "reset-storm"];
/// Calls per second of a proxy with little load: six an hour.
const QUIET_CALLS_PER_SECOND: f64 = 6.0 / 3_600.0;

fn scenario_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../lab/scenarios")
}

/// The cost and the result of one run.
#[derive(Clone, Debug)]
struct Run {
    depth: Depth,
    proxies: usize,
    /// Virtual time divided by wall-clock time.
    times_real: f64,
    /// Peak resident memory of the process.
    peak_kb: f64,
    /// Hash of the event log.
    hash: String,
    result: Value,
}

/// Runs one scenario in this process, and returns its cost and result. Called in a child process.
pub fn run_one(depth: &str, text: &str) -> Option<Value> {
    let depth = if depth == "full" { Depth::Full } else { Depth::Fleet };
    let scenario = Scenario::parse(text).map_err(|error| eprintln!("{error}")).ok()?;
    let start = Instant::now();
    let outcome = run_scenario(&scenario, 1, depth, &RunOptions::default())
        .map_err(|error| eprintln!("{error}"))
        .ok()?;
    let wall = start.elapsed().as_secs_f64();
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:")?.split_whitespace().next()?.parse::<f64>().ok());
    let metrics = &outcome.metrics;
    Some(json!({
        "virtual": outcome.end_time as f64 / 1e6, "wall": wall, "peak_kb": peak, "hash": format!("{:016x}", outcome.hash),
        "served": metrics.all.served_share(), "wanted": metrics.all.operations, "broken": outcome.violations.len(), "keys": metrics.keys,
        "repeats": metrics.key_repeats, "replays": metrics.replays, "two_answers": metrics.two_answers,
        "connections": metrics.peak_connections, "opened": metrics.opened_connections, "watches": metrics.watches,
    }))
}

/// Runs one scenario in a child process.
fn run_in_child(depth: Depth, scenario: &Scenario) -> Option<Run> {
    let depth_name = if depth == Depth::Full { "full" } else { "fleet" };
    let program = std::env::current_exe().ok()?;
    let output = Command::new(program).args(["lab-one", depth_name, &scenario.text()]).output().ok()?;
    let result: Value = serde_json::from_slice(&output.stdout).ok()?;
    let number = |name: &str| result[name].as_f64().unwrap_or(f64::NAN);
    let run = Run {
        depth,
        proxies: scenario.load.proxies,
        times_real: number("virtual") / number("wall"),
        peak_kb: number("peak_kb"),
        hash: result["hash"].as_str().unwrap_or_default().to_owned(),
        result,
    };
    eprintln!(
        "{depth_name}, {} proxies, {} hosts: {:.1} times real time, {:.0} kB peak memory",
        run.proxies, scenario.fleet.hosts, run.times_real, run.peak_kb
    );
    Some(run)
}

fn speed_scenario(proxies: usize, hosts: usize, rate: f64, seconds: f64) -> Option<Scenario> {
    let text = format!(
        "name = \"speed\"\nseconds = {seconds:?}\n[fleet]\nhosts = {hosts}\npods = 10\n[load]\nproxies = {proxies}\n\
         rate = {rate:?}\n"
    );
    Scenario::parse(&text).map_err(|error| eprintln!("{error}")).ok()
}

/// Memory per additional proxy in kilobytes, from two runs with different numbers of proxies.
fn kb_per_proxy(few: &Run, many: &Run) -> f64 {
    (many.peak_kb - few.peak_kb) / (many.proxies - few.proxies) as f64
}

/// Measures the lab.
pub fn measure(full: bool) -> Report {
    let run_all = |depth, all: &[(usize, usize, f64, f64)]| -> Vec<Run> {
        let scenarios = all
            .iter()
            .filter_map(|&(proxies, hosts, rate, seconds)| speed_scenario(proxies, hosts, rate, seconds));
        scenarios.filter_map(|scenario| run_in_child(depth, &scenario)).collect()
    };
    let seconds = if full { 10.0 } else { 3.0 };
    let full_runs = run_all(
        Depth::Full,
        &[
            (1, 50, 5_000.0, seconds),
            (10, 50, 5_000.0, seconds),
            (50, 50, 5_000.0, seconds),
            (10, 50, 5_000.0, seconds),
        ],
    );
    let quiet_seconds = if full { 3_600.0 } else { 600.0 };
    let quiet = |proxies: usize| (proxies, 50, QUIET_CALLS_PER_SECOND * proxies as f64, quiet_seconds);
    let fleet_runs = run_all(Depth::Fleet, &[quiet(100), quiet(1_000), quiet(5_000), quiet(5_000)]);
    let wide_runs = run_all(
        Depth::Fleet,
        &[(5_000, 1_000, QUIET_CALLS_PER_SECOND * 5_000.0, if full { quiet_seconds } else { 120.0 })],
    );
    let key_storm = Scenario::load(&scenario_folder().join("key-storm.toml"))
        .ok()
        .and_then(|scenario| run_in_child(Depth::Full, &scenario));
    let fidelity_reports: Vec<fidelity::FidelityReport> = FIDELITY_SCENARIOS
        .iter()
        .filter(|_| full)
        .filter_map(|name| {
            let scenario = Scenario::load(&scenario_folder().join(format!("{name}.toml"))).ok()?;
            fidelity::compare(&scenario, 1).map_err(|error| eprintln!("{error}")).ok()
        })
        .collect();
    if full {
        eprintln!("{}", fidelity::table(&fidelity_reports));
    }
    let run_value =
        |runs: &[Run], index: usize, field: fn(&Run) -> f64| runs.get(index).map_or(f64::NAN, field);
    let hashes_match = |runs: &[Run], first: usize, other: usize| {
        let pair = runs.get(first).zip(runs.get(other));
        pair.map_or(f64::NAN, |(first, other)| f64::from(u8::from(first.hash == other.hash)))
    };
    let rows = |runs: &[Run]| -> Vec<Value> {
        runs.iter()
            .map(|run| {
                json!({"depth": run.depth, "proxies": run.proxies, "times_real": run.times_real, "peak_kb": run.peak_kb,
                       "opened": run.result["opened"], "connections": run.result["connections"],
                       "watches": run.result["watches"], "wanted": run.result["wanted"]})
            })
            .collect()
    };
    let memory_growth = |runs: &[Run], few: usize, many: usize| {
        runs.get(few).zip(runs.get(many)).map(|(few, many)| kb_per_proxy(few, many))
    };
    let number =
        |name: &str| key_storm.as_ref().and_then(|run| run.result[name].as_f64()).unwrap_or(f64::NAN);
    let measurements = json!({
        "full": rows(&full_runs), "fleet": rows(&fleet_runs), "wide": rows(&wide_runs),
        "kb_a_proxy_full": memory_growth(&full_runs, 0, 2), "kb_a_proxy_fleet": memory_growth(&fleet_runs, 0, 2),
        "storm": key_storm.as_ref().map(|run| run.result.clone()), "truth": fidelity_reports,
    });
    let mut report = Report::new("lab", measurements);
    report.add_target(
        "full_10_proxies_times_real",
        run_value(&full_runs, 1, |run| run.times_real),
        Bound::AtLeast(1.0),
    );
    report.add_target(
        "fleet_5000_quiet_times_real",
        run_value(&fleet_runs, 2, |run| run.times_real),
        Bound::AtLeast(200.0),
    );
    report.add_target("one_hash_full", hashes_match(&full_runs, 1, 3), Bound::AtLeast(1.0));
    report.add_target("one_hash_fleet", hashes_match(&fleet_runs, 2, 3), Bound::AtLeast(1.0));
    report.add_target("storm_keys", number("keys"), Bound::AtLeast(20_000.0));
    report.add_target("storm_seconds", number("wall"), Bound::AtMost(20.0));
    report.add_target("storm_broken", number("broken") + number("two_answers"), Bound::AtMost(0.0));
    for fidelity_report in &fidelity_reports {
        for (depth, depth_name) in [(Depth::Full, "full"), (Depth::Fleet, "fleet")] {
            let [served, p50, p99] = fidelity_report.relative_errors(depth);
            let mut add_target = |quantity: &str, error, maximum| {
                report.add_target(
                    &format!("{}_{depth_name}_{quantity}_off", fidelity_report.scenario),
                    error,
                    Bound::AtMost(maximum),
                );
            };
            add_target("served", served, 0.05);
            add_target("p50", p50, 0.2);
            add_target("p99", p99, 0.2);
        }
    }
    report
}
