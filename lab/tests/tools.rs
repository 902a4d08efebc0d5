//! The command-line program, comparisons, reports, and runs on real sockets.

mod common;

use common::{path, scenario, shipped};
use nettleworks_lab::baseline::BalancerKind;
use nettleworks_lab::compare::{compare, table, Summary};
use nettleworks_lab::explore::{sweep, Counterexample};
use nettleworks_lab::fidelity::{self, FidelityReport};
use nettleworks_lab::invariants::Invariant;
use nettleworks_lab::report;
use nettleworks_lab::run::{Depth, RunOptions};
use serde_json::Value;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU64, Ordering};

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_nettleworks-lab")).args(arguments).output().expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}

/// Creates an empty folder for a test.
fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Writes a scenario file and returns its path.
fn scenario_file(name: &str, text: &str) -> String {
    let path = folder(name).join("scenario.toml");
    std::fs::write(&path, text).expect("written");
    path.display().to_string()
}

const CALM: &str = "name = \"small\"\nseconds = 3.0\n[load]\nproxies = 2\nrate = 100.0\n";

#[test]
fn a_run_prints_its_results_and_repeats_them() {
    let file = scenario_file("run", CALM);
    for depth in ["full", "fleet"] {
        let run = || lab(&["run", &file, "--depth", depth, "--seed", "5", "--json"]);
        let (first, second) = (run(), run());
        assert!(first.status.success());
        let values =
            [first, second].map(|output| serde_json::from_slice::<Value>(&output.stdout).expect("an object"));
        assert_eq!(values[0]["hash"], values[1]["hash"]);
        assert!(values[0]["served"].as_f64().is_some_and(|served| served > 0.99), "{}", values[0]);
        assert_eq!(values[0]["broken"], serde_json::json!([]));
    }
    let printed = text(&lab(&["run", &file]).stdout);
    assert!(printed.contains("small under seed 1") && printed.contains("registro-entrada"), "{printed}");
}

#[test]
fn events_are_written_as_json_lines_in_order_of_virtual_time() {
    let file = scenario_file("events", CALM);
    let events = folder("events-out").join("events.json");
    let output = lab(&["run", &file, "--json", "--events", &events.display().to_string()]);
    assert!(output.status.success());
    let lines = std::fs::read_to_string(events).expect("lines");
    let mut last = 0;
    let mut asked = 0;
    for line in lines.lines() {
        let line: Value = serde_json::from_str(line).expect("an object");
        let Some(at) = line["t_us"].as_u64() else { continue };
        assert!(at >= last);
        last = at;
        asked += u64::from(line["of"] == "Asked");
    }
    let result: Value = serde_json::from_slice(&output.stdout).expect("an object");
    assert!(asked >= result["wanted"].as_u64().expect("a count") && last > 2_900_000, "{asked} {last}");
}

#[test]
fn a_missed_expectation_exits_with_1_and_invalid_input_with_2_and_a_reason() {
    let missed = scenario_file("missed", &format!("{CALM}[must]\np99_ms = 0.5\n"));
    let output = lab(&["run", &missed]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stdout).contains("MISSED"));
    for (name, content, place) in [
        ("wrong-1", "name = \"x\"\nseconds = 3.0\n[fleet]\nhosts = 0\n", "fleet.hosts"),
        ("wrong-2", "name = \"x\"\nseconds = 3.0\n[load]\nrate = 200000.0\nproxies = 10\n[fleet]\nspares = 99999999\n", "spares"),
        ("wrong-3", "name = \"x\"\nseconds = 500000.0\n[load]\nrate = 1000.0\n", "load.rate"),
        ("wrong-4", "name = \"x\"\nseconds = 5.0\n[fleet]\nhosts = 2000\n[load]\nproxies = 9000\n", "load.proxies"),
    ] {
        let wrong = scenario_file(name, content);
        for arguments in [&["run", &wrong][..], &["explore", &wrong], &["compare", &wrong], &["report", &wrong], &["truth", &wrong]] {
            let output = lab(arguments);
            let error = text(&output.stderr);
            assert_eq!(output.status.code(), Some(2), "{arguments:?}: {error}");
            assert!(error.contains(place) && output.stdout.is_empty(), "{arguments:?}: {error}");
        }
    }
    for arguments in [
        &["run", "/nowhere/x.toml"][..],
        &["replay", "/nowhere/x.toml"],
        &["explore"],
        &["explore", "x", "--seeds", "9..1"],
    ] {
        assert_eq!(lab(arguments).status.code(), Some(2), "{arguments:?}");
    }
    // Baseline balancers run only in fleet depth.
    let good = scenario_file("good", CALM);
    assert_eq!(lab(&["run", &good, "--picks", "random"]).status.code(), Some(2));
    assert_eq!(lab(&["run", &good, "--picks", "random", "--depth", "fleet"]).status.code(), Some(0));
}

/// Replays a file as `explore` writes it for a violation. The decision module violates no invariant in the shipped
/// scenarios, so the file is made here from a scenario with resolved faults.
#[test]
fn explore_reports_no_violations_and_replay_repeats_a_file() {
    let file = scenario_file("explore", CALM);
    let output = lab(&["explore", &file, "--seeds", "1..3", "--light"]);
    let printed = text(&output.stdout);
    assert!(output.status.success() && printed.matches("3 seeds, 0 broken").count() == 2, "{printed}");
    let resolved = nettleworks_lab::fault::resolve_faults(&shipped("chaos").scaled_down(4.0, 60.0), 2);
    let counterexample =
        Counterexample { seed: 2, depth: Depth::Full, description: "nothing".to_owned(), scenario: resolved };
    assert_eq!(Counterexample::parse(&counterexample.text()), Ok(counterexample.clone()));
    let path = folder("replay").join("found.toml");
    std::fs::write(&path, counterexample.text()).expect("written");
    let output = lab(&["replay", &path.display().to_string()]);
    assert!(output.status.success());
    let hash = sweep(&counterexample.scenario, 2..=2, Depth::Full, &RunOptions::default(), || ()).hashes[&2];
    assert!(text(&output.stdout).contains(&format!("{hash:016x}")), "{}", text(&output.stdout));
    assert!(Counterexample::parse("seed = 1").is_err());
    let invalid = counterexample.text().replace("hosts = 8", "hosts = 0");
    assert!(Counterexample::parse(&invalid).expect_err("the scenario is invalid").contains("fleet.hosts"));
}

#[test]
fn a_comparison_has_a_row_per_balancer_and_counts_violations_of_baselines() {
    let scenario = shipped("reset-storm").scaled_down(10.0, 150.0);
    let count = AtomicU64::new(0);
    let rows = compare(&[scenario], &(1..=4), &BalancerKind::ALL, || {
        count.fetch_add(1, Ordering::Relaxed);
    });
    let rows = rows.expect("the scenario is valid");
    assert_eq!((rows.len(), count.load(Ordering::Relaxed)), (6, 24));
    for row in &rows {
        let duplicates = row.violations.get(&Invariant::NoEffectTwice).copied().unwrap_or_default();
        assert_eq!(duplicates > 0, row.balancer != BalancerKind::Ours, "{row:?}");
        assert!(row.served.min <= row.served.median && row.served.median <= row.served.max);
    }
    let table = table(&rows);
    for balancer in BalancerKind::ALL {
        assert!(table.contains(&format!("| reset-storm | {} |", balancer.name())), "{table}");
    }
    let summary = Summary::new(vec![3.0, 1.0, 2.0]);
    assert_eq!((summary.median, summary.min, summary.max), (2.0, 1.0, 3.0));
    assert!(Summary::new(Vec::new()).median.is_nan());
}

#[test]
fn a_report_is_one_page_with_its_plots_faults_and_seeds() {
    let mut scenario = shipped("one-way").scaled_down(10.0, 60.0);
    scenario.name = "one <way> & back".to_owned();
    let page = report::page(&scenario, &(3..=5), Depth::Fleet, || ()).expect("a report");
    assert_eq!(page.matches("<svg").count(), 5);
    for title in [
        "Goodput",
        "Time to an answer",
        "Attempts at each host",
        "Repeats by cause",
        "Goodput against offered load",
    ] {
        assert!(page.contains(title), "{title}");
    }
    assert!(page.contains("one &lt;way&gt; &amp; back") && !page.contains("<way>"));
    assert_eq!(page.matches("<tr><td>Cut").count(), 2);
    assert_eq!(page.matches("<code>").count(), 3, "a line for each seed");
    // The page loads no external resources.
    assert!(!page.contains("<script") && !page.contains("src=") && !page.contains("<link"));
    for balancer in BalancerKind::ALL {
        assert!(page.contains(balancer.name()), "{balancer:?}");
    }
}

/// The same scenario is served on real sockets as well. Its times depend on the machine, so they are not checked.
#[test]
fn the_same_scenario_runs_on_real_loopback_sockets() {
    let mut scenario =
        scenario("name = \"x\"\nseconds = 2.0\nwarm_up = 0.5\n[load]\nproxies = 2\nrate = 60.0");
    // Generous deadlines allow for a slow machine.
    scenario.classes = shipped("calm").classes;
    scenario.classes.iter_mut().for_each(|class| {
        class.latency_target_ms = 1_500.0;
        class.deadline_ms = 3_000.0;
    });
    let real = nettleworks_lab::loopback::run_scenario(&scenario, 1).expect("the scenario is valid");
    let full = common::sound(&scenario, 1, Depth::Full);
    // The clients send the same operations, but some may start later here and fall out of the measured time.
    assert!(real.metrics.all.operations.abs_diff(full.metrics.all.operations) <= 3);
    assert!(real.metrics.all.served_share() > 0.99, "{:?}", real.metrics.all.outcomes);
    assert!(
        real.violations.iter().all(|violation| violation.invariant != Invariant::NoEffectTwice),
        "{:?}",
        real.violations
    );
    assert!(real.metrics.opened_connections > 0 && real.metrics.watches == 2);
}

#[test]
fn the_error_of_a_depth_is_relative_to_the_real_figure() {
    let figures = |served, p50_ms, p99_ms| fidelity::Figures { served, p50_ms, p99_ms };
    let truth = FidelityReport {
        scenario: "x".to_owned(),
        real: figures(0.8, 10.0, 100.0),
        full: figures(0.8, 11.0, 50.0),
        fleet: figures(0.4, 10.0, 100.0),
    };
    let percent = |errors: [f64; 3]| errors.map(|error| (error * 100.0).round());
    assert_eq!(percent(truth.relative_errors(Depth::Full)), [0.0, 10.0, 50.0]);
    assert_eq!(percent(truth.relative_errors(Depth::Fleet)), [50.0, 0.0, 0.0]);
    assert!(fidelity::table(&[truth]).contains("| x | 0.800, 0.800, 0.400 |"));
}

#[test]
fn every_documented_scenario_is_shipped() {
    for name in [
        "calm",
        "dawn",
        "pod-lost",
        "rolling-release",
        "slow-node",
        "silent-node",
        "one-way",
        "reset-storm",
        "discovery-dead-then-wrong",
        "metastable",
        "restart-all",
        "cold-fleet",
    ] {
        assert!(path(name).is_file(), "{name}");
    }
    assert_eq!(shipped("large/quiet").load.proxies, 5_000);
}
