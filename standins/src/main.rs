//! `demo [SEED]`: a small fleet, the proxy and clients, for a quarter of a minute.
#![forbid(unsafe_code)]

use std::process::ExitCode;
use tokio::runtime;
use tokio::task::LocalSet;

const USAGE: &str =
    "usage: demo [SEED]\n  a fleet, the proxy and clients on loopback; ends by itself within 30 s";

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (command, seed) = (words.next(), words.next().map(|seed| seed.parse::<u64>()));
    let (Some("demo"), Ok(seed)) = (command.as_deref(), seed.transpose()) else {
        eprintln!("{USAGE}");
        return ExitCode::FAILURE;
    };
    let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let mut out = std::io::stdout();
    let demo = nettleworks_standins::demo::run(seed.unwrap_or(1), None, &mut out);
    match LocalSet::new().block_on(&runtime, demo) {
        Ok(report) if report.twice == 0 && report.tally.lost == 0 => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
