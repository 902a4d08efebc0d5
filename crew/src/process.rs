//! One process of a crew.

use crate::history::{Event, History};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};

/// Far longer than a start, an end or an answer takes.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);

/// A running program. Killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    /// Its number in the crew.
    pub number: usize,
    /// Where clients connect.
    pub address: SocketAddr,
    folder: PathBuf,
    child: Child,
    history: History,
}

fn wait_until_serving(log: &Receiver<String>, number: usize) -> SocketAddr {
    let deadline = Instant::now() + PROCESS_TIMEOUT;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let line = log.recv_timeout(remaining).unwrap_or_else(|_| panic!("process {number} does not serve"));
        if let Some((_, address)) = line.split_once("serving at ") {
            return address.parse().expect("an address");
        }
    }
}

impl Process {
    /// Starts `program` with the files `config.json` and, with members, `members.json` of a folder.
    pub fn start(program: &Path, number: usize, folder: &Path, members: bool, history: &History) -> Process {
        let mut command = Command::new(program);
        command.arg(folder.join("config.json"));
        if members {
            command.arg("--members").arg(folder.join("members.json"));
        }
        Process::spawn(command, number, folder, history)
    }

    /// Starts `program` with the file `config.json` of a folder and so many engines.
    pub fn start_with_engines(
        program: &Path,
        number: usize,
        folder: &Path,
        engines: usize,
        history: &History,
    ) -> Process {
        Process::start_with_environment(program, number, folder, engines, &[], history)
    }

    /// The same with these variables in its environment.
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
        // Read to its end, else the program would wait to write.
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                if line.contains("members: ") || line.contains("panicked") || line.contains("serving at") {
                    log_history.record(Event::Logged(number, line.clone()));
                }
                // A test that fails shows what its processes have said.
                eprintln!("process {number}: {line}");
                // Only its start is waited for.
                let _ = lines.send(line);
            }
        });
        let address = wait_until_serving(&received_lines, number);
        Process { number, address, folder: folder.to_owned(), child, history: history.clone() }
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success(), "{name} to process {}", self.number);
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        self.history.record(Event::Killed(self.number));
        self.child.kill().expect("it was there");
        self.child.wait().expect("it can be waited for");
    }

    /// SIGSTOP: it does not run until it is continued.
    pub fn suspend(&self) {
        self.history.record(Event::Suspended(self.number));
        self.signal("-STOP");
    }

    /// SIGCONT.
    pub fn resume(&self) {
        self.history.record(Event::Resumed(self.number));
        self.signal("-CONT");
    }

    /// SIGHUP.
    pub fn reload(&self) {
        self.signal("-HUP");
    }

    /// SIGTERM, and waits until it has ended well.
    pub fn terminate(&mut self) {
        self.history.record(Event::Terminated(self.number));
        self.signal("-TERM");
        let deadline = Instant::now() + PROCESS_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("it can be waited for") {
                assert_eq!(status.code(), Some(0), "process {}", self.number);
                return;
            }
            assert!(Instant::now() < deadline, "process {} does not end", self.number);
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Whom it takes to be there; `None`: nobody answers at its socket in time.
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
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
