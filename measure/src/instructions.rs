//! Instructions per request of a process, counted by callgrind. CPU time is noisy on shared machines; the number of
//! instructions is nearly the same in each run.
//!
//! The process is run twice with different numbers of requests. The difference of the instructions is divided by the
//! difference of the requests, so that startup and shutdown are not counted.

use crate::child_process::ChildProcess;
use nettleworks_standins::{run, Load};
use std::cell::RefCell;
use std::rc::Rc;

/// Requests of the shorter run.
const BASE_REQUESTS: usize = 1_000;
/// Additional requests of the longer run.
const EXTRA_REQUESTS: usize = 3_000;

/// The load of a counted process.
#[derive(Clone, Debug)]
pub struct RequestMix {
    /// Number of concurrent clients, each with one connection.
    pub clients: usize,
    /// Classes and their shares of the requests.
    pub classes: Vec<(&'static str, f64)>,
}

/// Instructions per request of a child process in this role. `None`: valgrind is not installed, or its output has no total.
pub fn per_request(role: &str, config: &str, request_mix: &RequestMix) -> Option<f64> {
    per_request_with_threads(role, config, request_mix, 1)
}

/// The same for a child process with this number of threads.
pub fn per_request_with_threads(
    role: &str,
    config: &str,
    request_mix: &RequestMix,
    threads: usize,
) -> Option<f64> {
    let base_total = total_instructions(role, config, request_mix, threads, BASE_REQUESTS)?;
    let extended_total =
        total_instructions(role, config, request_mix, threads, BASE_REQUESTS + EXTRA_REQUESTS)?;
    Some((extended_total - base_total) / EXTRA_REQUESTS as f64)
}

/// Instructions of a child process that serves this number of requests and exits.
fn total_instructions(
    name: &str,
    config: &str,
    request_mix: &RequestMix,
    threads: usize,
    requests: usize,
) -> Option<f64> {
    let output_path = std::env::temp_dir().join(format!("callgrind-{}-{requests}", std::process::id()));
    let process = ChildProcess::start_with_wrapper(
        &[
            "valgrind",
            "--quiet",
            "--tool=callgrind",
            &format!("--callgrind-out-file={}", output_path.display()),
        ],
        name,
        config,
        threads,
    )?;
    crate::library::wait_until_ready(process.address);
    let served = run(async {
        let metrics = Rc::new(RefCell::default());
        let mut load = Load::new(process.address, requests as u64);
        (load.clients, load.calls) = (request_mix.clients, requests / request_mix.clients);
        load.classes.clone_from(&request_mix.classes);
        load.run(&metrics).await;
        let served = metrics.borrow().served;
        served
    });
    process.finish();
    let text = std::fs::read_to_string(&output_path);
    // A file that can't be removed is left in the temporary folder.
    let _ = std::fs::remove_file(&output_path);
    let text = text.ok()?;
    let total =
        text.lines().find_map(|line| line.strip_prefix("totals: ").or(line.strip_prefix("summary: ")));
    let total = total?.trim().parse::<f64>().ok()?;
    assert!(served as usize * 100 >= requests * 98, "{served} of {requests} were served");
    Some(total)
}
