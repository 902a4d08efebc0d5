//! `nettleworks-lab`: plays scenarios, sweeps seeds, compares, reports and replays.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use nettleworks_lab::baseline::Picks;
use nettleworks_lab::compare;
use nettleworks_lab::explore::{shrink, sweep, Found};
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

/// Writes a line. Whoever asked may have stopped reading.
macro_rules! say {
    ($($words:tt)*) => {{
        let _ = writeln!(std::io::stdout(), $($words)*);
    }};
}

/// The real engine in a simulated fleet, on virtual time.
///
/// Ends with 0 if no rule broke and what must hold held, with 1 if not, with 2 if nothing was played.
#[derive(Debug, Parser)]
#[command(name = "nettleworks-lab", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play a scenario under one seed, and say what came of it
    Run {
        /// The scenario
        scenario: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, value_enum, default_value_t = Depth::Full)]
        depth: Depth,
        /// Who decides (fleet depth)
        #[arg(long, value_enum, default_value_t = Picks::Ours)]
        picks: Picks,
        /// Each event as a line of JSON into this file, with its virtual time
        #[arg(long, value_name = "FILE")]
        events: Option<PathBuf>,
        /// Go on after a broken rule
        #[arg(long)]
        goes_on: bool,
        /// One JSON object instead of lines to read
        #[arg(long)]
        json: bool,
    },
    /// Play scenarios under many seeds, on all cores; a break is made small and written to a file
    Explore {
        /// The scenarios
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        /// First and last seed, as 1..2000
        #[arg(long, default_value = "1..20", value_parser = seeds)]
        seeds: RangeInclusive<u64>,
        /// In this depth; without it in both
        #[arg(long, value_enum)]
        depth: Option<Depth>,
        /// For 16 virtual seconds and at 150 calls a second at the most, as CI plays them
        #[arg(long)]
        light: bool,
        /// Where small breaks are written
        #[arg(long, default_value = ".", value_name = "FOLDER")]
        out: PathBuf,
    },
    /// Play the same seeds under our module and under what a team would pick instead; a table of Markdown
    Compare {
        /// The scenarios
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        /// First and last seed
        #[arg(long, default_value = "1..10", value_parser = seeds)]
        seeds: RangeInclusive<u64>,
        /// Into this file instead of standard output
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Write a page with plots of a scenario
    Report {
        /// The scenario
        scenario: PathBuf,
        /// First and last seed of its table; the first is plotted
        #[arg(long, default_value = "1..10", value_parser = seeds)]
        seeds: RangeInclusive<u64>,
        #[arg(long, value_enum, default_value_t = Depth::Fleet)]
        depth: Depth,
        /// The page
        #[arg(long, default_value = "report.html", value_name = "FILE")]
        out: PathBuf,
    },
    /// Play scenarios in both depths and on real loopback sockets, in real time; a table of Markdown
    Truth {
        /// The scenarios
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Play a break again that explore has written
    Replay {
        /// Its file
        found: PathBuf,
        /// Each event as a line of JSON into this file
        #[arg(long, value_name = "FILE")]
        events: Option<PathBuf>,
    },
}

/// Reads a range of seeds, `1..20`, the last one too; or one seed.
fn seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let number = |text: &str| text.parse::<u64>().map_err(|error| format!("{text}: {error}"));
    let (first, last) = (number(first)?, number(last.trim_start_matches('='))?);
    if first > last || last - first >= 10_000_000 {
        return Err(format!("{text}: not from a lower to a higher seed, or over 10,000,000 of them"));
    }
    Ok(first..=last)
}

/// A run's log goes to a file, in virtual time; a line as a whole, so that none is lost with the process.
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
    // All are checked before any is played.
    paths.iter().map(|path| load(path)).collect()
}

fn bar(length: u64, what: &str) -> ProgressBar {
    let bar = ProgressBar::new(length).with_message(what.to_owned());
    if let Ok(style) = ProgressStyle::with_template("{msg:32} {wide_bar} {pos}/{len} {eta}") {
        bar.set_style(style);
    }
    bar
}

fn count(seeds: &RangeInclusive<u64>) -> u64 {
    seeds.end() - seeds.start() + 1
}

fn main() -> ExitCode {
    match act(Arguments::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(reason) => {
            eprintln!("nettleworks-lab: {reason}");
            ExitCode::from(2)
        }
    }
}

fn act(command: Command) -> Result<bool, String> {
    match command {
        Command::Run { scenario, seed, depth, picks, events, goes_on, json } => {
            let scenario = load(&scenario)?;
            let limits = RunOptions {
                stop_on_violation: !goes_on,
                emit_events: log_to(events.as_deref())?,
                ..RunOptions::default()
            };
            let start = Instant::now();
            let outcome = run_scenario_with(&scenario, seed, depth, &limits, picks, None)?;
            tell(&outcome, start.elapsed().as_secs_f64(), json);
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
            let bar = bar(count(&seeds) * (scenarios.len() * Picks::ALL.len()) as u64, "compare");
            let lines = compare::compare(&scenarios, &seeds, &Picks::ALL, || bar.inc(1))?;
            bar.finish_and_clear();
            let table = compare::table(&lines);
            match out {
                Some(path) => {
                    std::fs::write(&path, table).map_err(|error| format!("{}: {error}", path.display()))?;
                }
                None => say!("{}", table.trim_end()),
            }
            let ours = lines.iter().filter(|line| line.picks == Picks::Ours);
            Ok(ours.clone().all(|line| line.broken.is_empty()))
        }
        Command::Report { scenario, seeds, depth, out } => {
            let scenario = load(&scenario)?;
            let bar = bar(count(&seeds) + report::RUNS, "report");
            let page = report::page(&scenario, &seeds, depth, || bar.inc(1))?;
            bar.finish_and_clear();
            std::fs::write(&out, page).map_err(|error| format!("{}: {error}", out.display()))?;
            say!("{}", out.display());
            Ok(true)
        }
        Command::Truth { scenarios, seed } => {
            let all = load_all(&scenarios)?;
            let all: Vec<_> =
                all.iter().map(|scenario| fidelity::compare(scenario, seed)).collect::<Result<_, _>>()?;
            say!("{}", fidelity::table(&all).trim_end());
            Ok(true)
        }
        Command::Replay { found, events } => {
            let text =
                std::fs::read_to_string(&found).map_err(|error| format!("{}: {error}", found.display()))?;
            let found = Found::parse(&text).map_err(|error| format!("{}: {error}", found.display()))?;
            let limits = RunOptions { emit_events: log_to(events.as_deref())?, ..RunOptions::default() };
            let start = Instant::now();
            let outcome = run_scenario(&found.scenario, found.seed, found.depth, &limits)?;
            tell(&outcome, start.elapsed().as_secs_f64(), false);
            Ok(outcome.violations.is_empty())
        }
    }
}

fn explore(
    scenarios: &[Scenario],
    seeds: &RangeInclusive<u64>,
    depths: &[Depth],
    out: &Path,
) -> Result<bool, String> {
    let mut good = true;
    for scenario in scenarios {
        for &depth in depths {
            let start = Instant::now();
            let bar = bar(count(seeds), &scenario.name);
            let swept = sweep(scenario, seeds.clone(), depth, &RunOptions::default(), || bar.inc(1));
            bar.finish_and_clear();
            let (seconds, broken) = (start.elapsed().as_secs_f64(), swept.broken.len());
            say!(
                "{} ({depth:?}): {} seeds, {broken} broken, {} not played; {:.0} virtual seconds in {seconds:.1}",
                scenario.name,
                swept.seeds,
                swept.failed.len(),
                swept.virtual_seconds
            );
            good &= broken == 0 && swept.failed.is_empty();
            swept.failed.iter().take(3).for_each(|(seed, reason)| say!("  seed {seed}: {reason}"));
            // The first of each rule is made small.
            let mut rules = Vec::new();
            for (&seed, at) in &swept.broken {
                if rules.contains(&at.invariant) {
                    continue;
                }
                rules.push(at.invariant);
                say!("  seed {seed}: {at}");
                at.recent_events.iter().rev().take(12).rev().for_each(|noted| say!("    {noted}"));
                let Some(small) = shrink(scenario, seed, depth, at.invariant, &RunOptions::default()) else {
                    continue;
                };
                let name =
                    format!("{}-{depth:?}-{:?}-{seed}.toml", scenario.name, at.invariant).to_lowercase();
                let path = out.join(name);
                std::fs::write(&path, small.found.text())
                    .map_err(|error| format!("{}: {error}", path.display()))?;
                say!("  made small in {} runs: {}", small.runs, small.broken);
                say!("  again: nettleworks-lab replay {}", path.display());
            }
        }
    }
    Ok(good)
}

fn tell(outcome: &Outcome, seconds: f64, as_json: bool) {
    let (metrics, all) = (&outcome.metrics, &outcome.metrics.all);
    let faster = outcome.end_time as f64 / 1e6 / seconds.max(1e-9);
    if as_json {
        let object = json!({
            "scenario": outcome.scenario.name, "seed": outcome.seed, "hash": format!("{:016x}", outcome.hash),
            "virtual_seconds": outcome.end_time as f64 / 1e6, "seconds": seconds, "served": all.served_share(),
            "wanted": all.operations, "ended": all.outcomes, "p50_ms": all.latency_ms(50.0), "p99_ms": all.latency_ms(99.0),
            "sent": metrics.attempts, "repeats": metrics.repeats, "opened": metrics.opened_connections, "connections": metrics.peak_connections,
            "watches": metrics.watches, "held": metrics.held_segments, "held_up": metrics.late_duplicates, "keys": metrics.keys, "key_repeats": metrics.key_repeats,
            "replays": metrics.replays, "two_answers": metrics.two_answers, "broken": outcome.violations, "missed": outcome.missed_expectations,
        });
        return say!("{object}");
    }
    say!(
        "{} under seed {}: log {:016x}, {} events",
        outcome.scenario.name,
        outcome.seed,
        outcome.hash,
        outcome.logged_events
    );
    say!("  {:.3} virtual seconds in {seconds:.2}, {faster:.0} times as fast", outcome.end_time as f64 / 1e6);
    say!("  {:.4} of the worth served of {} wanted: {:?}", all.served_share(), all.operations, all.outcomes);
    say!(
        "  p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms",
        all.latency_ms(50.0),
        all.latency_ms(99.0),
        all.latency_ms(99.9)
    );
    for (class, part) in outcome.scenario.classes.iter().zip(&metrics.classes) {
        say!(
            "    {:24} {:.4} of {}, p99 {:.1} ms",
            class.name,
            part.served_share(),
            part.operations,
            part.latency_ms(99.0)
        );
    }
    say!("  {} attempts, repeats {:?}", metrics.attempts, metrics.repeats);
    say!(
        "  {} connections opened, {} at one host at the most; {} watches",
        metrics.opened_connections,
        metrics.peak_connections,
        metrics.watches
    );
    for at in outcome.violations.iter().take(5) {
        say!("  BROKEN {at}");
        at.recent_events.iter().for_each(|noted| say!("    {noted}"));
    }
    outcome.missed_expectations.iter().for_each(|missed| say!("  MISSED {missed}"));
}
