//! Program with the command `demo [SEED]`: runs a small fleet, the proxy and clients for 15 s.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use std::process::ExitCode;
use tokio::runtime;
use tokio::task::LocalSet;

/// Stand-ins for the hosts, discovery and clients of a proxy
#[derive(Debug, Parser)]
#[command(name = "nettleworks-standins", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a fleet, the proxy and clients on loopback; ends by itself within 30 s
    Demo {
        /// Seed of all random draws
        #[arg(default_value_t = 1)]
        seed: u64,
    },
}

fn main() -> ExitCode {
    let Command::Demo { seed } = Arguments::parse().command;
    let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let mut out = std::io::stdout();
    let demo = nettleworks_standins::demo::run(seed, None, &mut out);
    match LocalSet::new().block_on(&runtime, demo) {
        Ok(report) if report.duplicates == 0 && report.metrics.lost == 0 => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
