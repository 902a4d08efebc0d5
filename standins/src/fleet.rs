//! Stand-in hosts and discovery on a thread of their own, for tests whose code brings a runtime or blocks its
//! threads.

use crate::configuration::{configuration, entry};
use crate::host::Host;
use crate::host_behavior::HostBehavior;
use crate::ledger::Ledger;
use crate::registry::Registry;
use std::net::SocketAddr;
use std::sync::mpsc as std_mpsc;
use std::thread::JoinHandle;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// The hosts and the discovery of a fleet; they live on its thread.
#[derive(Debug)]
pub struct StandIns {
    /// The hosts in the order of their behaviors, named `node-0`, `node-1` and so on.
    pub hosts: Vec<Host>,
    /// The discovery that lists the hosts.
    pub registry: Registry,
}

impl StandIns {
    /// Changes the health of the host with this index in the server list, for example to `Terminating`.
    pub fn set_health(&self, host: usize, health: &str) {
        let host = &self.hosts[host];
        let mut entry = entry(&host.name, host.address, health);
        entry["block"] = host.pod.into();
        self.registry.set(entry);
    }
}

/// A function to run on the thread of the fleet.
type Job = Box<dyn FnOnce(&StandIns) + Send>;

/// A fleet of stand-in hosts and its discovery on a thread of their own. Dropping this ends the thread.
#[derive(Debug)]
pub struct StandInFleet {
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The effects at all hosts of the fleet.
    pub ledger: Ledger,
    jobs: Option<mpsc::UnboundedSender<Job>>,
    thread: Option<JoinHandle<()>>,
}

impl StandInFleet {
    /// Starts one host per behavior, all in one pod and listed as ready.
    pub fn start(behaviors: Vec<HostBehavior>) -> StandInFleet {
        StandInFleet::start_with_pods(behaviors.into_iter().map(|behavior| (3, behavior)).collect())
    }

    /// Starts one host per behavior in the pod given with it, listed as ready.
    pub fn start_with_pods(behaviors: Vec<(u32, HostBehavior)>) -> StandInFleet {
        let ledger = Ledger::default();
        let (jobs, mut queue) = mpsc::unbounded_channel::<Job>();
        let (started, start_signal) = std_mpsc::channel();
        let host_ledger = ledger.clone();
        let thread = std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            LocalSet::new().block_on(&runtime, async {
                let registry = Registry::start().await;
                let mut hosts = Vec::new();
                for (number, (pod, behavior)) in behaviors.into_iter().enumerate() {
                    hosts.push(
                        Host::with_behavior(&format!("node-{number}"), pod, behavior, &host_ledger).await,
                    );
                }
                let stand_ins = StandIns { hosts, registry };
                (0..stand_ins.hosts.len()).for_each(|host| stand_ins.set_health(host, "Ready"));
                started.send(stand_ins.registry.address).expect("the starting thread waits for the address");
                while let Some(job) = queue.recv().await {
                    job(&stand_ins);
                }
            });
        });
        let discovery = start_signal.recv().expect("the fleet starts");
        StandInFleet { discovery, ledger, jobs: Some(jobs), thread: Some(thread) }
    }

    /// Runs a function on the thread of the fleet and returns its result. Blocks the calling thread meanwhile.
    pub fn execute<T: Send + 'static>(&self, job: impl FnOnce(&StandIns) -> T + Send + 'static) -> T {
        let (sender, result) = std_mpsc::channel();
        let job: Job =
            Box::new(move |stand_ins| sender.send(job(stand_ins)).expect("the caller waits for the result"));
        self.jobs.as_ref().expect("the fleet runs").send(job).expect("the fleet runs");
        result.recv().expect("the job ends")
    }

    /// The number of requests that each host has read so far.
    pub fn request_counts(&self) -> Vec<usize> {
        self.execute(|stand_ins| stand_ins.hosts.iter().map(Host::count).collect())
    }

    /// A proxy configuration that finds the hosts through discovery alone, without a list of known hosts. `change`
    /// may modify it.
    pub fn configuration(&self, change: impl FnOnce(&mut serde_json::Value)) -> String {
        configuration(self.discovery, &[], |config| {
            config["known"] = serde_json::Value::Null;
            change(config);
        })
    }
}

impl Drop for StandInFleet {
    fn drop(&mut self) {
        drop(self.jobs.take());
        if let Some(thread) = self.thread.take() {
            // A panic on that thread has already failed the test that caused it.
            let _ = thread.join();
        }
    }
}
