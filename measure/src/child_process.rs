//! Child processes of a measurement. What is measured runs in a process of its own, so that its CPU time is separate from
//! that of the load.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A child process that runs this program in one of the roles of [`crate::child_roles`]. Dropping it kills the process.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    /// Address at which it serves.
    pub address: SocketAddr,
}

impl ChildProcess {
    /// Starts this program in the role `name` with this number of threads, and waits until it has printed its address.
    pub fn start(name: &str, argument: &str, threads: usize) -> ChildProcess {
        ChildProcess::start_with_wrapper(&[], name, argument, threads).expect("this program can be started")
    }

    /// The same, started by a wrapper command such as `taskset` or `valgrind`. `None`: the wrapper is not installed.
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
        BufReader::new(child.stdout.take().expect("piped"))
            .read_line(&mut line)
            .expect("the address is printed");
        let address =
            line.trim().parse().unwrap_or_else(|_| panic!("{name} printed {line:?} instead of an address"));
        Some(ChildProcess { child, address })
    }

    /// Closes its standard input, which makes it exit, and waits until it has exited.
    pub fn finish(mut self) {
        drop(self.child.stdin.take());
        self.child.wait().expect("the process can be waited for");
    }

    /// CPU time of all its running threads, as the scheduler accounts it in nanoseconds.
    pub fn cpu_time(&self) -> Duration {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("the process runs");
        let task_time = |task: std::io::Result<std::fs::DirEntry>| {
            let text = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<u64>().ok()
        };
        Duration::from_nanos(tasks.filter_map(task_time).sum())
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Both fail if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
