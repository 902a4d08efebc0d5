//! `measure NAME [--full]`: measures a subsystem within 30 s, or at length. Progress goes to standard error; the last
//! line of standard output is one JSON object with targets, and the exit status is 1 if one is missed.
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
  cores      several engines beside one, as many daemons, and the least proxy: requests a second, connections, room that
             follows the load, keys that cross, a storm of repeats
  engine     instructions a request without a station on its way, by those before there were stations
  fleet      what a decision costs at 10, 60 and 1,000 hosts where a hundred proxies share them
  keys       the store of idempotency keys: look-up time, bytes a key, CPU a request with it and without; a storm of
             repeats with lingering and without, and how long those that join wait
  lab        (built with --features lab) how fast the lab plays, memory a proxy, one course a seed, the storm of 20,000
             keys; with --full also how true to life it is
  members    (built with --features lab) how soon members notice one that is dead, who is wrongly taken for failed, what they
             send by their number, how soon all agree after a cut; their processor time beside a request's
  library    the library beside the daemon and a plain client: CPU for each request, times";

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
        // What a measurement starts of itself, as processes of their own.
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
