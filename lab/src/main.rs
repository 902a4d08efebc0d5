//! `nettleworks-lab`: plays scenarios, sweeps seeds, compares, reports and replays.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use nettleworks_lab::baseline::BalancerKind;
use nettleworks_lab::compare;
use nettleworks_lab::explore::{shrink, sweep, Found};
use nettleworks_lab::report;
use nettleworks_lab::run::{play, play_with, Depth, Limits, Outcome};
use nettleworks_lab::scenario::Scenario;
use nettleworks_lab::truth;
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
        #[arg(long, value_enum, default_value_t = BalancerKind::Ours)]
        picks: BalancerKind,
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
            let limits = Limits { stops: !goes_on, tells: log_to(events.as_deref())?, ..Limits::default() };
            let start = Instant::now();
            let outcome = play_with(&scenario, seed, depth, &limits, picks, None)?;
            tell(&outcome, start.elapsed().as_secs_f64(), json);
            Ok(outcome.breaks.is_empty() && outcome.missed.is_empty())
        }
        Command::Explore { scenarios, seeds, depth, light, out } => {
            let mut scenarios = load_all(&scenarios)?;
            if light {
                scenarios = scenarios.iter().map(|scenario| scenario.light(16.0, 150.0)).collect();
                scenarios.iter().try_for_each(Scenario::check).map_err(|error| error.to_string())?;
            }
            let depths = depth.map_or(vec![Depth::Fleet, Depth::Full], |depth| vec![depth]);
            explore(&scenarios, &seeds, &depths, &out)
        }
        Command::Compare { scenarios, seeds, out } => {
            let scenarios = load_all(&scenarios)?;
            let bar = bar(count(&seeds) * (scenarios.len() * BalancerKind::ALL.len()) as u64, "compare");
            let lines = compare::compare(&scenarios, &seeds, &BalancerKind::ALL, || bar.inc(1))?;
            bar.finish_and_clear();
            let table = compare::table(&lines);
            match out {
                Some(path) => {
                    std::fs::write(&path, table).map_err(|error| format!("{}: {error}", path.display()))?;
                }
                None => say!("{}", table.trim_end()),
            }
            let ours = lines.iter().filter(|line| line.picks == BalancerKind::Ours);
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
                all.iter().map(|scenario| truth::compare(scenario, seed)).collect::<Result<_, _>>()?;
            say!("{}", truth::table(&all).trim_end());
            Ok(true)
        }
        Command::Replay { found, events } => {
            let text =
                std::fs::read_to_string(&found).map_err(|error| format!("{}: {error}", found.display()))?;
            let found = Found::parse(&text).map_err(|error| format!("{}: {error}", found.display()))?;
            let limits = Limits { tells: log_to(events.as_deref())?, ..Limits::default() };
            let start = Instant::now();
            let outcome = play(&found.scenario, found.seed, found.depth, &limits)?;
            tell(&outcome, start.elapsed().as_secs_f64(), false);
            Ok(outcome.breaks.is_empty())
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
            let swept = sweep(scenario, seeds.clone(), depth, &Limits::default(), || bar.inc(1));
            bar.finish_and_clear();
            let (seconds, broken) = (start.elapsed().as_secs_f64(), swept.violations.len());
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
            for (&seed, at) in &swept.violations {
                if rules.contains(&at.rule) {
                    continue;
                }
                rules.push(at.rule);
                say!("  seed {seed}: {at}");
                at.last.iter().rev().take(12).rev().for_each(|noted| say!("    {noted}"));
                let Some(small) = shrink(scenario, seed, depth, at.rule, &Limits::default()) else {
                    continue;
                };
                let name = format!("{}-{depth:?}-{:?}-{seed}.toml", scenario.name, at.rule).to_lowercase();
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
    let (tally, all) = (&outcome.tally, &outcome.tally.all);
    let faster = outcome.ended as f64 / 1e6 / seconds.max(1e-9);
    if as_json {
        let object = json!({
            "scenario": outcome.scenario.name, "seed": outcome.seed, "hash": format!("{:016x}", outcome.hash),
            "virtual_seconds": outcome.ended as f64 / 1e6, "seconds": seconds, "served": all.served(),
            "wanted": all.wanted, "ended": all.ended, "p50_ms": all.ms(50.0), "p99_ms": all.ms(99.0),
            "sent": tally.sent, "repeats": tally.repeats, "opened": tally.opened, "connections": tally.connections,
            "watches": tally.watches, "held": tally.held, "held_up": tally.held_up, "keys": tally.keys, "key_repeats": tally.key_repeats,
            "replays": tally.replays, "two_answers": tally.two_answers, "broken": outcome.breaks, "missed": outcome.missed,
        });
        return say!("{object}");
    }
    say!(
        "{} under seed {}: log {:016x}, {} events",
        outcome.scenario.name,
        outcome.seed,
        outcome.hash,
        outcome.logged
    );
    say!("  {:.3} virtual seconds in {seconds:.2}, {faster:.0} times as fast", outcome.ended as f64 / 1e6);
    say!("  {:.4} of the worth served of {} wanted: {:?}", all.served(), all.wanted, all.ended);
    say!("  p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms", all.ms(50.0), all.ms(99.0), all.ms(99.9));
    for (class, part) in outcome.scenario.classes.iter().zip(&tally.classes) {
        say!("    {:24} {:.4} of {}, p99 {:.1} ms", class.name, part.served(), part.wanted, part.ms(99.0));
    }
    say!("  {} attempts, repeats {:?}", tally.sent, tally.repeats);
    say!(
        "  {} connections opened, {} at one host at the most; {} watches",
        tally.opened,
        tally.connections,
        tally.watches
    );
    for at in outcome.breaks.iter().take(5) {
        say!("  BROKEN {at}");
        at.last.iter().for_each(|noted| say!("    {noted}"));
    }
    outcome.missed.iter().for_each(|missed| say!("  MISSED {missed}"));
}
