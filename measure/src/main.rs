//! `measure NAME [--full]` measures a subsystem within 30 s, or for longer with `--full`. Progress goes to standard error.
//! The last line of standard output is one JSON object with the measured values and the targets. The exit status is 1 if a
//! target is missed.
#![forbid(unsafe_code)]

mod child_process;
mod child_roles;
mod cores;
mod engine;
mod fleet;
mod instructions;
mod keys;
#[cfg(feature = "lab")]
mod lab;
mod library;
#[cfg(feature = "lab")]
mod members;
mod minimal_proxy;
mod report;
mod stress;

use std::process::ExitCode;

const USAGE: &str = "\
usage: measure NAME [--full]
  cores      several engines compared with one, with as many daemons and with a minimal proxy: requests per second,
             connections, time until the capacity of the hosts moves to the shard with load, keyed requests forwarded
             between shards, a stress run of repeated keyed requests
  engine     instructions per request without interceptors, relative to the engine before it had interceptors
  fleet      CPU time of a decision at 10, 60 and 1,000 hosts that are shared by a hundred proxies
  keys       the store of idempotency keys: look-up time, bytes per key, CPU per request with and without the store; a
             stress run of repeated keyed requests with and without detached calls; delay of joined requests
  lab        (built with --features lab) the lab: speed, memory per proxy, determinism, the run with 20,000 keys; with
             --full also its deviation from real sockets
  members    (built with --features lab) membership: failure detection time, false failures, traffic per member, merge
             time after a partition; its CPU time relative to that of requests
  library    the library compared with the daemon and with a plain client: CPU time per request, latencies";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let full = arguments.contains(&"--full");
    let report = match arguments[..] {
        ["library"] | ["library", "--full"] => library::measure(full),
        ["cores"] | ["cores", "--full"] => match cores::measure_pinned(full) {
            Some(report) => report,
            None => return ExitCode::FAILURE,
        },
        ["cores-pinned"] | ["cores-pinned", "--full"] => cores::measure(full),
        ["engine"] | ["engine", "--full"] => engine::measure(full),
        ["fleet"] | ["fleet", "--full"] => fleet::measure(full),
        ["keys"] | ["keys", "--full"] => keys::measure(full),
        #[cfg(feature = "lab")]
        ["members"] | ["members", "--full"] => members::measure(full),
        #[cfg(feature = "lab")]
        ["role", "member", argument] => {
            let argument = argument.to_owned();
            return child_roles::run_until_stdin_closes(|| members::run_member(&argument));
        }
        #[cfg(feature = "lab")]
        ["lab"] | ["lab", "--full"] => lab::measure(full),
        #[cfg(feature = "lab")]
        ["lab-one", depth, text] => {
            return match lab::run_one(depth, text) {
                Some(value) => {
                    println!("{value}");
                    ExitCode::SUCCESS
                }
                None => ExitCode::FAILURE,
            };
        }
        // Child processes of measurements.
        ["role", name, argument] => return child_roles::run(name, argument),
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::FAILURE;
        }
    };
    println!("{}", report.to_json());
    if report.all_targets_met() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
