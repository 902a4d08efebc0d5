//! What the system says of this process, for the log: its memory, its descriptors, and its end.

use nettleworks_engine::config::Config;
use nettleworks_engine::memory::MemoryBudget;
use nettleworks_engine::quota::{Quota, Side};
use nettleworks_engine::Log;
use std::fs;
use std::panic;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

/// How often the memory is looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Samples between two regular lines.
const SAMPLES_PER_LINE: u32 = 10;
/// Growth since the last line, in bytes, that is logged at once.
const LOGGED_GROWTH: u64 = 4 << 20;
/// Where Linux describes this process.
const STATUS_FILE: &str = "/proc/self/status";
const DESCRIPTOR_FOLDER: &str = "/proc/self/fd";

/// The memory of this process in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessMemory {
    /// The resident set.
    pub resident: u64,
    /// The largest resident set so far.
    pub peak: u64,
}

impl ProcessMemory {
    /// The memory now; `None` where the system does not say.
    pub fn now() -> Option<ProcessMemory> {
        ProcessMemory::parse(&fs::read_to_string(STATUS_FILE).ok()?)
    }

    /// Reads the text of `/proc/PID/status`.
    fn parse(status: &str) -> Option<ProcessMemory> {
        let field = |name: &str| -> Option<u64> {
            let value = status.lines().find_map(|line| line.strip_prefix(name))?;
            Some(value.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok()? * 1_024)
        };
        Some(ProcessMemory { resident: field("VmRSS:")?, peak: field("VmHWM:")? })
    }

    fn describe(self) -> String {
        let megabytes = |bytes: u64| bytes as f64 / 1e6;
        format!("resident {:.1} MB, peak {:.1} MB", megabytes(self.resident), megabytes(self.peak))
    }
}

/// The number of open descriptors; `None` where the system does not say.
fn open_descriptors() -> Option<usize> {
    // The descriptor by which the folder is read is among them.
    Some(fs::read_dir(DESCRIPTOR_FOLDER).ok()?.count().saturating_sub(1))
}

/// Logs the memory and the descriptors of this process while it serves, and its end, also by a panic.
pub struct ProcessReport {
    started: Instant,
    log: Log,
    usage: Usage,
    samples: JoinHandle<()>,
}

impl ProcessReport {
    /// Begins to report. Must be called inside a [`tokio::task::LocalSet`].
    pub fn start(config: &Config, log: &Log) -> ProcessReport {
        log_panics();
        log(&format!("process {}: {}", std::process::id(), config.describe_limits()));
        let usage = Usage { quota: config.quota.clone(), memory: config.memory.clone() };
        let samples = spawn_local(sample(usage.clone(), log.clone()));
        ProcessReport { started: Instant::now(), log: log.clone(), usage, samples }
    }
}

impl Drop for ProcessReport {
    fn drop(&mut self) {
        self.samples.abort();
        let reason = if std::thread::panicking() { "ends by a panic" } else { "ends" };
        let time = self.started.elapsed().as_secs_f64();
        (self.log)(&format!("process {reason} after {time:.3} s: {}", self.usage.describe()));
    }
}

/// Adds a line to the log for each panic, of whatever thread.
fn log_panics() {
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        print(info);
        let place = info.location().map(ToString::to_string).unwrap_or_default();
        nettleworks_engine::log_to_stderr()(&format!("panicked at {place}"));
    }));
}

/// What the process holds by its own counts.
#[derive(Clone)]
struct Usage {
    quota: Quota,
    memory: MemoryBudget,
}

impl Usage {
    /// The memory, descriptors and connections now.
    fn describe(&self) -> String {
        let memory = ProcessMemory::now().map_or("memory unknown".to_owned(), ProcessMemory::describe);
        let descriptors =
            open_descriptors().map(|count| format!(", {count} descriptors")).unwrap_or_default();
        let (clients, servers) = (self.quota.open(Side::Clients), self.quota.open(Side::Hosts));
        format!(
            "{memory}{descriptors}, connections: {clients} of clients, {servers} to servers; {}",
            self.memory
        )
    }
}

async fn sample(usage: Usage, log: Log) {
    let mut logged = ProcessMemory::default();
    for number in 1_u32.. {
        sleep(SAMPLE_INTERVAL).await;
        let memory = ProcessMemory::now().unwrap_or_default();
        if number % SAMPLES_PER_LINE == 0 || memory.resident > logged.resident + LOGGED_GROWTH {
            log(&format!("process: {}", usage.describe()));
            logged = memory;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_status_of_a_process_is_read() {
        let status = "Name:\tx\nVmPeak:\t  9000 kB\nVmHWM:\t    6144 kB\nVmRSS:\t    5120 kB\nThreads:\t1\n";
        let memory = ProcessMemory { resident: 5_120 * 1_024, peak: 6_144 * 1_024 };
        assert_eq!(ProcessMemory::parse(status), Some(memory));
        assert_eq!(ProcessMemory::parse("Name:\tx\n"), None);
        assert_eq!(memory.describe(), "resident 5.2 MB, peak 6.3 MB");
    }
}
