//! The lab: how fast it plays, what a proxy takes in it, whether a seed has one course, the storm of 20,000 keys, and, at
//! length, how true to life it is. Each run that is timed has a process and one thread of its own.

use crate::report::{Bound, Report};
use nettleworks_lab::fidelity;
use nettleworks_lab::run::{run_scenario, Depth, RunOptions};
use nettleworks_lab::scenario::Scenario;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

/// Scenarios that are played on real sockets too.
const TRUE: [&str; 6] = ["calm", "slow-node", "silent-node", "one-way", "rolling-release", "reset-storm"];
/// An hour's six calls a proxy, as calls a second.
const QUIET: f64 = 6.0 / 3_600.0;

fn scenarios() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../lab/scenarios")
}

/// What one run took.
#[derive(Clone, Debug)]
struct Run {
    depth: Depth,
    proxies: usize,
    times_real: f64,
    peak_kb: f64,
    hash: String,
    value: Value,
}

/// Plays one scenario in this process, and says what it took: the role of a process of its own.
pub fn one(depth: &str, text: &str) -> Option<Value> {
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

fn apart(depth: Depth, scenario: &Scenario) -> Option<Run> {
    let word = if depth == Depth::Full { "full" } else { "fleet" };
    let program = std::env::current_exe().ok()?;
    let output = Command::new(program).args(["lab-one", word, &scenario.text()]).output().ok()?;
    let value: Value = serde_json::from_slice(&output.stdout).ok()?;
    let figure = |name: &str| value[name].as_f64().unwrap_or(f64::NAN);
    let run = Run {
        depth,
        proxies: scenario.load.proxies,
        times_real: figure("virtual") / figure("wall"),
        peak_kb: figure("peak_kb"),
        hash: value["hash"].as_str().unwrap_or_default().to_owned(),
        value,
    };
    eprintln!(
        "{word}, {} proxies, {} hosts: {:.1} times real time, {:.0} kB",
        run.proxies, scenario.fleet.hosts, run.times_real, run.peak_kb
    );
    Some(run)
}

fn fleet_of(proxies: usize, hosts: usize, rate: f64, seconds: f64) -> Option<Scenario> {
    let text = format!(
        "name = \"speed\"\nseconds = {seconds:?}\n[fleet]\nhosts = {hosts}\npods = 10\n[load]\nproxies = {proxies}\n\
         rate = {rate:?}\n"
    );
    Scenario::parse(&text).map_err(|error| eprintln!("{error}")).ok()
}

/// Kilobytes that a proxy adds, between two runs.
fn kb_a_proxy(few: &Run, many: &Run) -> f64 {
    (many.peak_kb - few.peak_kb) / (many.proxies - few.proxies) as f64
}

/// Measures the lab.
pub fn measure(full: bool) -> Report {
    let play_all = |depth, all: &[(usize, usize, f64, f64)]| -> Vec<Run> {
        let scenarios =
            all.iter().filter_map(|&(proxies, hosts, rate, seconds)| fleet_of(proxies, hosts, rate, seconds));
        scenarios.filter_map(|scenario| apart(depth, &scenario)).collect()
    };
    let seconds = if full { 10.0 } else { 3.0 };
    let stacks = play_all(
        Depth::Full,
        &[
            (1, 50, 5_000.0, seconds),
            (10, 50, 5_000.0, seconds),
            (50, 50, 5_000.0, seconds),
            (10, 50, 5_000.0, seconds),
        ],
    );
    let hour = if full { 3_600.0 } else { 600.0 };
    let quiet = |proxies: usize| (proxies, 50, QUIET * proxies as f64, hour);
    let fleets = play_all(Depth::Fleet, &[quiet(100), quiet(1_000), quiet(5_000), quiet(5_000)]);
    let wide = play_all(Depth::Fleet, &[(5_000, 1_000, QUIET * 5_000.0, if full { hour } else { 120.0 })]);
    let storm =
        Scenario::load(&scenarios().join("key-storm.toml")).ok().and_then(|storm| apart(Depth::Full, &storm));
    let truths: Vec<fidelity::FidelityReport> = TRUE
        .iter()
        .filter(|_| full)
        .filter_map(|name| {
            let scenario = Scenario::load(&scenarios().join(format!("{name}.toml"))).ok()?;
            fidelity::compare(&scenario, 1).map_err(|error| eprintln!("{error}")).ok()
        })
        .collect();
    if full {
        eprintln!("{}", fidelity::table(&truths));
    }
    let at = |runs: &[Run], place: usize, of: fn(&Run) -> f64| runs.get(place).map_or(f64::NAN, of);
    let same = |runs: &[Run], first: usize, other: usize| {
        let pair = runs.get(first).zip(runs.get(other));
        pair.map_or(f64::NAN, |(first, other)| f64::from(u8::from(first.hash == other.hash)))
    };
    let shown = |runs: &[Run]| -> Vec<Value> {
        runs.iter()
            .map(|run| {
                json!({"depth": run.depth, "proxies": run.proxies, "times_real": run.times_real, "peak_kb": run.peak_kb,
                       "opened": run.value["opened"], "connections": run.value["connections"],
                       "watches": run.value["watches"], "wanted": run.value["wanted"]})
            })
            .collect()
    };
    let growth = |runs: &[Run], few: usize, many: usize| {
        runs.get(few).zip(runs.get(many)).map(|(f, m)| kb_a_proxy(f, m))
    };
    let figure = |name: &str| storm.as_ref().and_then(|run| run.value[name].as_f64()).unwrap_or(f64::NAN);
    let figures = json!({
        "full": shown(&stacks), "fleet": shown(&fleets), "wide": shown(&wide),
        "kb_a_proxy_full": growth(&stacks, 0, 2), "kb_a_proxy_fleet": growth(&fleets, 0, 2),
        "storm": storm.as_ref().map(|run| run.value.clone()), "truth": truths,
    });
    let mut report = Report::new("lab", figures);
    report.target("full_10_proxies_times_real", at(&stacks, 1, |run| run.times_real), Bound::AtLeast(1.0));
    report.target("fleet_5000_quiet_times_real", at(&fleets, 2, |run| run.times_real), Bound::AtLeast(200.0));
    report.target("one_hash_full", same(&stacks, 1, 3), Bound::AtLeast(1.0));
    report.target("one_hash_fleet", same(&fleets, 2, 3), Bound::AtLeast(1.0));
    report.target("storm_keys", figure("keys"), Bound::AtLeast(20_000.0));
    report.target("storm_seconds", figure("wall"), Bound::AtMost(20.0));
    report.target("storm_broken", figure("broken") + figure("two_answers"), Bound::AtMost(0.0));
    for truth in &truths {
        for (depth, word) in [(Depth::Full, "full"), (Depth::Fleet, "fleet")] {
            let [served, p50, p99] = truth.relative_errors(depth);
            let mut target = |what: &str, value, most| {
                report.target(&format!("{}_{word}_{what}_off", truth.scenario), value, Bound::AtMost(most));
            };
            target("served", served, 0.05);
            target("p50", p50, 0.2);
            target("p99", p99, 0.2);
        }
    }
    report
}
