//! A role as a process of its own, so that its CPU time can be told from the load's.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A running role. It ends with this.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    /// Where it serves.
    pub address: SocketAddr,
}

impl ChildProcess {
    /// Starts this program again, in a role, an application with so many worker threads, and waits until it says where it serves.
    pub fn start(name: &str, argument: &str, threads: usize) -> ChildProcess {
        ChildProcess::start_with_wrapper(&[], name, argument, threads).expect("this program can be started")
    }

    /// The same as the argument of another program; `None`: there is no such program here.
    pub fn start_with_wrapper(
        wrapper: &[&str],
        name: &str,
        argument: &str,
        threads: usize,
    ) -> Option<ChildProcess> {
        let program = std::env::current_exe().expect("this program's path");
        let mut command = match wrapper {
            [] => Command::new(program),
            [first, rest @ ..] => {
                let mut command = Command::new(first);
                command.args(rest).arg(program);
                command
            }
        };
        let spawned = command
            .args(["role", name, argument])
            .env("THREADS", threads.to_string())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn();
        let mut child = match spawned {
            Ok(child) => child,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return None,
            Err(error) => panic!("{name}: {error}"),
        };
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("piped")).read_line(&mut line).expect("a line");
        let address = line.trim().parse().unwrap_or_else(|_| panic!("{name} said {line:?}"));
        Some(ChildProcess { child, address })
    }

    /// Lets it end by itself.
    pub fn finish(mut self) {
        drop(self.child.stdin.take());
        self.child.wait().expect("it ends");
    }

    /// CPU time of all its threads so far, ended ones left out. The scheduler's own count, in nanoseconds.
    pub fn cpu_time(&self) -> Duration {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("it runs");
        let task_time = |task: std::io::Result<std::fs::DirEntry>| {
            let text = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<u64>().ok()
        };
        Duration::from_nanos(tasks.filter_map(task_time).sum())
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // One that has ended already needs neither.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
