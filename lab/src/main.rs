//! `nettleworks-lab`: runs scenarios, searches seeds for violations, compares load balancers, writes reports and replays
//! violations.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use nettleworks_lab::baseline::BalancerKind;
use nettleworks_lab::compare;
use nettleworks_lab::explore::{shrink, sweep, Counterexample};
use nettleworks_lab::fidelity;
use nettleworks_lab::report;
use nettleworks_lab::run::{run_scenario, run_scenario_with, Depth, Outcome, RunOptions};
use nettleworks_lab::scenario::Scenario;
use serde_json::json;
use std::fs::File;
use std::io::Write;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::Instant;

/// Prints a line to standard output. A closed pipe is ignored.
macro_rules! print_line {
    ($($arguments:tt)*) => {{
        let _ = writeln!(std::io::stdout(), $($arguments)*);
    }};
}

/// The real engine in a simulated fleet, on virtual time.
///
/// Exits with 0 if no invariant was violated and all expectations were met, with 1 if not, and with 2 if nothing was run.
#[derive(Debug, Parser)]
#[command(name = "nettleworks-lab", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a scenario with one seed and print the results
    Run {
        /// The scenario
        scenario: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, value_enum, default_value_t = Depth::Full)]
        depth: Depth,
        /// The load balancer (others than ours only in fleet depth)
        #[arg(long = "picks", value_name = "PICKS", value_enum, default_value_t = BalancerKind::Ours)]
        balancer: BalancerKind,
        /// Write each event to this file as a line of JSON, with its virtual time
        #[arg(long, value_name = "FILE")]
        events: Option<PathBuf>,
        /// Continue after a violated invariant
        #[arg(long = "goes-on")]
        keep_going: bool,
        /// Print one JSON object instead of text
        #[arg(long)]
        json: bool,
    },
    /// Run scenarios with many seeds, on all cores; a violation is shrunk and written to a file
    Explore {
        /// The scenarios
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        /// First and last seed, as 1..2000
        #[arg(long, default_value = "1..20", value_parser = seeds)]
        seeds: RangeInclusive<u64>,
        /// The depth; both if not given
        #[arg(long, value_enum)]
        depth: Option<Depth>,
        /// Limit the scenarios to 16 virtual seconds and 150 calls per second, as CI does
        #[arg(long)]
        light: bool,
        /// Folder for the files of shrunk violations
        #[arg(long, default_value = ".", value_name = "FOLDER")]
        out: PathBuf,
    },
    /// Run the same seeds with our decision module and with baseline load balancers; prints a Markdown table
    Compare {
        /// The scenarios
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        /// First and last seed
        #[arg(long, default_value = "1..10", value_parser = seeds)]
        seeds: RangeInclusive<u64>,
        /// Write to this file instead of standard output
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Write an HTML page with plots of a scenario
    Report {
        /// The scenario
        scenario: PathBuf,
        /// First and last seed of the table; the first is plotted
        #[arg(long, default_value = "1..10", value_parser = seeds)]
        seeds: RangeInclusive<u64>,
        #[arg(long, value_enum, default_value_t = Depth::Fleet)]
        depth: Depth,
        /// The file to write
        #[arg(long, default_value = "report.html", value_name = "FILE")]
        out: PathBuf,
    },
    /// Run scenarios in both depths and in real time on loopback sockets; prints a Markdown table
    #[command(name = "truth")]
    Fidelity {
        /// The scenarios
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Repeat a run that explore has written to a file
    Replay {
        /// The file
        #[arg(value_name = "FOUND")]
        counterexample: PathBuf,
        /// Write each event to this file as a line of JSON
        #[arg(long, value_name = "FILE")]
        events: Option<PathBuf>,
    },
}

/// Parses an inclusive range of seeds such as `1..20`, or a single seed.
fn seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let number = |text: &str| text.parse::<u64>().map_err(|error| format!("{text}: {error}"));
    let (first, last) = (number(first)?, number(last.trim_start_matches('='))?);
    if first > last || last - first >= 10_000_000 {
        return Err(format!("{text}: not in ascending order, or more than 10,000,000 seeds"));
    }
    Ok(first..=last)
}

/// Writes the event log to a file if there is one. Each line is flushed, so that none is lost if the process dies. Returns
/// whether events are to be logged.
fn log_to(events: Option<&Path>) -> Result<bool, String> {
    let Some(path) = events else { return Ok(false) };
    let file = File::create(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let subscriber = tracing_subscriber::fmt().json().flatten_event(true).without_time().with_target(false);
    subscriber.with_writer(Mutex::new(std::io::LineWriter::new(file))).init();
    Ok(true)
}

fn load(path: &Path) -> Result<Scenario, String> {
    Scenario::load(path).map_err(|error| error.to_string())
}

fn load_all(paths: &[PathBuf]) -> Result<Vec<Scenario>, String> {
    // All scenarios are checked before any is run.
    paths.iter().map(|path| load(path)).collect()
}

fn progress_bar(length: u64, message: &str) -> ProgressBar {
    let bar = ProgressBar::new(length).with_message(message.to_owned());
    if let Ok(style) = ProgressStyle::with_template("{msg:32} {wide_bar} {pos}/{len} {eta}") {
        bar.set_style(style);
    }
    bar
}

fn seed_count(seeds: &RangeInclusive<u64>) -> u64 {
    seeds.end() - seeds.start() + 1
}

fn main() -> ExitCode {
    match execute(Arguments::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(reason) => {
            eprintln!("nettleworks-lab: {reason}");
            ExitCode::from(2)
        }
    }
}

/// Executes a command. Returns whether no invariant was violated and all expectations were met.
fn execute(command: Command) -> Result<bool, String> {
    match command {
        Command::Run { scenario, seed, depth, balancer, events, keep_going, json } => {
            let scenario = load(&scenario)?;
            let limits = RunOptions {
                stop_on_violation: !keep_going,
                emit_events: log_to(events.as_deref())?,
                ..RunOptions::default()
            };
            let start = Instant::now();
            let outcome = run_scenario_with(&scenario, seed, depth, &limits, balancer, None)?;
            print_outcome(&outcome, start.elapsed().as_secs_f64(), json);
            Ok(outcome.violations.is_empty() && outcome.missed_expectations.is_empty())
        }
        Command::Explore { scenarios, seeds, depth, light, out } => {
            let mut scenarios = load_all(&scenarios)?;
            if light {
                scenarios = scenarios.iter().map(|scenario| scenario.scaled_down(16.0, 150.0)).collect();
                scenarios.iter().try_for_each(Scenario::check).map_err(|error| error.to_string())?;
            }
            let depths = depth.map_or(vec![Depth::Fleet, Depth::Full], |depth| vec![depth]);
            explore(&scenarios, &seeds, &depths, &out)
        }
        Command::Compare { scenarios, seeds, out } => {
            let scenarios = load_all(&scenarios)?;
            let bar = progress_bar(
                seed_count(&seeds) * (scenarios.len() * BalancerKind::ALL.len()) as u64,
                "compare",
            );
            let rows = compare::compare(&scenarios, &seeds, &BalancerKind::ALL, || bar.inc(1))?;
            bar.finish_and_clear();
            let table = compare::table(&rows);
            match out {
                Some(path) => {
                    std::fs::write(&path, table).map_err(|error| format!("{}: {error}", path.display()))?;
                }
                None => print_line!("{}", table.trim_end()),
            }
            let ours = rows.iter().filter(|row| row.balancer == BalancerKind::Ours);
            Ok(ours.clone().all(|row| row.violations.is_empty()))
        }
        Command::Report { scenario, seeds, depth, out } => {
            let scenario = load(&scenario)?;
            let bar = progress_bar(seed_count(&seeds) + report::LOAD_RUNS, "report");
            let page = report::page(&scenario, &seeds, depth, || bar.inc(1))?;
            bar.finish_and_clear();
            std::fs::write(&out, page).map_err(|error| format!("{}: {error}", out.display()))?;
            print_line!("{}", out.display());
            Ok(true)
        }
        Command::Fidelity { scenarios, seed } => {
            let scenarios = load_all(&scenarios)?;
            let reports: Vec<_> = scenarios
                .iter()
                .map(|scenario| fidelity::compare(scenario, seed))
                .collect::<Result<_, _>>()?;
            print_line!("{}", fidelity::table(&reports).trim_end());
            Ok(true)
        }
        Command::Replay { counterexample: path, events } => {
            let text =
                std::fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))?;
            let counterexample =
                Counterexample::parse(&text).map_err(|error| format!("{}: {error}", path.display()))?;
            let limits = RunOptions { emit_events: log_to(events.as_deref())?, ..RunOptions::default() };
            let start = Instant::now();
            let outcome =
                run_scenario(&counterexample.scenario, counterexample.seed, counterexample.depth, &limits)?;
            print_outcome(&outcome, start.elapsed().as_secs_f64(), false);
            Ok(outcome.violations.is_empty())
        }
    }
}

/// Sweeps the scenarios in the depths, and writes a shrunk run for the first violation of each invariant. Returns whether there
/// were neither violations nor runs that could not be started.
fn explore(
    scenarios: &[Scenario],
    seeds: &RangeInclusive<u64>,
    depths: &[Depth],
    out: &Path,
) -> Result<bool, String> {
    let mut passed = true;
    for scenario in scenarios {
        for &depth in depths {
            let start = Instant::now();
            let bar = progress_bar(seed_count(seeds), &scenario.name);
            let swept = sweep(scenario, seeds.clone(), depth, &RunOptions::default(), || bar.inc(1));
            bar.finish_and_clear();
            let (seconds, broken) = (start.elapsed().as_secs_f64(), swept.violations.len());
            print_line!(
                "{} ({depth:?}): {} seeds, {broken} broken, {} not played; {:.0} virtual seconds in {seconds:.1}",
                scenario.name,
                swept.seeds,
                swept.failed.len(),
                swept.virtual_seconds
            );
            passed &= broken == 0 && swept.failed.is_empty();
            swept.failed.iter().take(3).for_each(|(seed, reason)| print_line!("  seed {seed}: {reason}"));
            // The first violation of each invariant is shrunk.
            let mut violated = Vec::new();
            for (&seed, violation) in &swept.violations {
                if violated.contains(&violation.invariant) {
                    continue;
                }
                violated.push(violation.invariant);
                print_line!("  seed {seed}: {violation}");
                violation
                    .recent_events
                    .iter()
                    .rev()
                    .take(12)
                    .rev()
                    .for_each(|event| print_line!("    {event}"));
                let Some(shrunk) = shrink(scenario, seed, depth, violation.invariant, &RunOptions::default())
                else {
                    continue;
                };
                let name = format!("{}-{depth:?}-{:?}-{seed}.toml", scenario.name, violation.invariant)
                    .to_lowercase();
                let path = out.join(name);
                std::fs::write(&path, shrunk.counterexample.text())
                    .map_err(|error| format!("{}: {error}", path.display()))?;
                print_line!("  shrunk in {} runs: {}", shrunk.runs, shrunk.violation);
                print_line!("  to repeat: nettleworks-lab replay {}", path.display());
            }
        }
    }
    Ok(passed)
}

/// Prints the results of a run that took `seconds` of real time.
fn print_outcome(outcome: &Outcome, seconds: f64, as_json: bool) {
    let (metrics, all) = (&outcome.metrics, &outcome.metrics.all);
    let speedup = outcome.end_time as f64 / 1e6 / seconds.max(1e-9);
    if as_json {
        let object = json!({
            "scenario": outcome.scenario.name, "seed": outcome.seed, "hash": format!("{:016x}", outcome.hash),
            "virtual_seconds": outcome.end_time as f64 / 1e6, "seconds": seconds, "served": all.served_share(),
            "wanted": all.operations, "ended": all.outcomes, "p50_ms": all.latency_ms(50.0), "p99_ms": all.latency_ms(99.0),
            "sent": metrics.attempts, "repeats": metrics.repeats, "opened": metrics.opened_connections, "connections": metrics.peak_connections,
            "watches": metrics.watches, "held": metrics.held_segments, "held_up": metrics.late_duplicates, "keys": metrics.keys, "key_repeats": metrics.key_repeats,
            "replays": metrics.replays, "two_answers": metrics.two_answers, "broken": outcome.violations, "missed": outcome.missed_expectations,
        });
        return print_line!("{object}");
    }
    print_line!(
        "{} under seed {}: log {:016x}, {} events",
        outcome.scenario.name,
        outcome.seed,
        outcome.hash,
        outcome.logged_events
    );
    print_line!(
        "  {:.3} virtual seconds in {seconds:.2}, {speedup:.0} times as fast",
        outcome.end_time as f64 / 1e6
    );
    print_line!(
        "  {:.4} of the worth served of {} wanted: {:?}",
        all.served_share(),
        all.operations,
        all.outcomes
    );
    print_line!(
        "  p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms",
        all.latency_ms(50.0),
        all.latency_ms(99.0),
        all.latency_ms(99.9)
    );
    for (class, part) in outcome.scenario.classes.iter().zip(&metrics.classes) {
        print_line!(
            "    {:24} {:.4} of {}, p99 {:.1} ms",
            class.name,
            part.served_share(),
            part.operations,
            part.latency_ms(99.0)
        );
    }
    print_line!("  {} attempts, repeats {:?}", metrics.attempts, metrics.repeats);
    print_line!(
        "  {} connections opened, {} at one host at the most; {} watches",
        metrics.opened_connections,
        metrics.peak_connections,
        metrics.watches
    );
    for violation in outcome.violations.iter().take(5) {
        print_line!("  BROKEN {violation}");
        violation.recent_events.iter().for_each(|event| print_line!("    {event}"));
    }
    outcome.missed_expectations.iter().for_each(|missed| print_line!("  MISSED {missed}"));
}
