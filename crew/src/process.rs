//! One process of a cluster.

use crate::history::{Event, History};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};

/// Time within which a process must start or exit; far more than either takes.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);

/// A running `nettleworks` process. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    /// Number of the process in its cluster.
    pub number: usize,
    /// Address that accepts clients.
    pub address: SocketAddr,
    folder: PathBuf,
    child: Child,
    history: History,
}

/// Reads the log until it has the address at which the process serves.
fn wait_until_serving(log: &Receiver<String>, number: usize) -> SocketAddr {
    let deadline = Instant::now() + PROCESS_TIMEOUT;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let line = log.recv_timeout(remaining).unwrap_or_else(|_| panic!("process {number} does not serve"));
        if let Some((_, address)) = line.split_once("serving at ") {
            return address.parse().expect("the log line ends with an address");
        }
    }
}

impl Process {
    /// Starts `program` with `config.json` of a folder and, if `members` is set, with its `members.json`. Returns when the
    /// process serves.
    pub fn start(program: &Path, number: usize, folder: &Path, members: bool, history: &History) -> Process {
        let mut command = Command::new(program);
        command.arg(folder.join("config.json"));
        if members {
            command.arg("--members").arg(folder.join("members.json"));
        }
        Process::spawn(command, number, folder, history)
    }

    /// Starts `program` with `config.json` of a folder and this number of engines, without membership.
    pub fn start_with_engines(
        program: &Path,
        number: usize,
        folder: &Path,
        engines: usize,
        history: &History,
    ) -> Process {
        Process::start_with_environment(program, number, folder, engines, &[], history)
    }

    /// The same with additional environment variables.
    pub fn start_with_environment(
        program: &Path,
        number: usize,
        folder: &Path,
        engines: usize,
        environment: &[(String, String)],
        history: &History,
    ) -> Process {
        let mut command = Command::new(program);
        command.arg(folder.join("config.json")).arg("--cores").arg(engines.to_string());
        command.envs(environment.iter().map(|(name, value)| (name, value)));
        Process::spawn(command, number, folder, history)
    }

    fn spawn(mut command: Command, number: usize, folder: &Path, history: &History) -> Process {
        let mut child =
            command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().expect("the program starts");
        history.record(Event::Started(number));
        let log = BufReader::new(child.stderr.take().expect("piped"));
        let (lines, received_lines) = mpsc::channel();
        let log_history = history.clone();
        // The log is read to its end, otherwise a full pipe would block the process.
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                if line.contains("members: ") || line.contains("panicked") || line.contains("serving at") {
                    log_history.record(Event::Logged(number, line.clone()));
                }
                // The test runner shows this output if the test fails.
                eprintln!("process {number}: {line}");
                // The receiver is dropped once the process serves.
                let _ = lines.send(line);
            }
        });
        let address = wait_until_serving(&received_lines, number);
        Process { number, address, folder: folder.to_owned(), child, history: history.clone() }
    }

    /// The largest resident set so far (`VmHWM`), in bytes; `None` once the process has exited, and on systems other
    /// than Linux.
    pub fn peak_memory(&self) -> Option<u64> {
        self.status_bytes("VmHWM:")
    }

    /// The resident set (`VmRSS`), in bytes; `None` as for [`Process::peak_memory`].
    pub fn memory(&self) -> Option<u64> {
        self.status_bytes("VmRSS:")
    }

    /// A field of `/proc/PID/status` that is given in kB.
    fn status_bytes(&self, field: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix(field))?;
        Some(line.trim().strip_suffix(" kB")?.parse::<u64>().ok()? * 1_024)
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success(), "{name} to process {}", self.number);
    }

    /// Kills the process (SIGKILL), and waits until it has exited.
    pub fn kill(&mut self) {
        self.history.record(Event::Killed(self.number));
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process can be waited for");
    }

    /// Suspends the process until it is resumed (SIGSTOP).
    pub fn suspend(&self) {
        self.history.record(Event::Suspended(self.number));
        self.signal("-STOP");
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn resume(&self) {
        self.history.record(Event::Resumed(self.number));
        self.signal("-CONT");
    }

    /// Whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("the process can be waited for").is_none()
    }

    /// Makes the process reload its configuration (SIGHUP).
    pub fn reload(&self) {
        self.signal("-HUP");
    }

    /// Terminates the process (SIGTERM), and waits until it has exited with status 0.
    ///
    /// # Panics
    ///
    /// The process exits with another status, or not in time.
    pub fn terminate(&mut self) {
        self.history.record(Event::Terminated(self.number));
        self.signal("-TERM");
        let deadline = Instant::now() + PROCESS_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("the process can be waited for") {
                assert_eq!(status.code(), Some(0), "exit status of process {}", self.number);
                return;
            }
            assert!(Instant::now() < deadline, "process {} does not exit", self.number);
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// The member list as the operators' socket of the process reports it. `None`: no response in time.
    pub fn membership_view(&self) -> Option<Value> {
        let mut stream = UnixStream::connect(self.folder.join("s")).ok()?;
        stream.set_read_timeout(Some(PROCESS_TIMEOUT / 10)).ok()?;
        stream.write_all(format!("{}\n", json!({"op": "members"})).as_bytes()).ok()?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).ok()?;
        let mut answer: Value = serde_json::from_str(&line).ok()?;
        Some(answer["ok"].take()).filter(Value::is_object)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
