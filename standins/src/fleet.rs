//! Hosts and discovery on a thread of their own, for applications that bring a runtime or block their threads.

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

/// What a site's thread holds.
#[derive(Debug)]
pub struct StandIns {
    /// The hosts, in their order; their names are `node-0` and so on.
    pub hosts: Vec<Host>,
    /// Their list.
    pub registry: Registry,
}

impl StandIns {
    /// Says in the list what a host does.
    pub fn set_health(&self, host: usize, health: &str) {
        let host = &self.hosts[host];
        let mut entry = entry(&host.name, host.address, health);
        entry["block"] = host.pod.into();
        self.registry.set(entry);
    }
}

type Job = Box<dyn FnOnce(&StandIns) + Send>;

/// A fleet and its discovery on a thread of their own, which ends when this is dropped.
#[derive(Debug)]
pub struct StandInFleet {
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// What the hosts have run.
    pub ledger: Ledger,
    jobs: Option<mpsc::UnboundedSender<Job>>,
    thread: Option<JoinHandle<()>>,
}

impl StandInFleet {
    /// A host for each behavior, all of one pod and listed as ready.
    pub fn start(behaviors: Vec<HostBehavior>) -> StandInFleet {
        StandInFleet::start_with_pods(behaviors.into_iter().map(|behavior| (3, behavior)).collect())
    }

    /// A host for each behavior, in its pod, listed as ready.
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
                started.send(stand_ins.registry.address).expect("whoever started it waits");
                while let Some(job) = queue.recv().await {
                    job(&stand_ins);
                }
            });
        });
        let discovery = start_signal.recv().expect("the site starts");
        StandInFleet { discovery, ledger, jobs: Some(jobs), thread: Some(thread) }
    }

    /// Does something on the site's thread, and waits for what it gives.
    pub fn execute<T: Send + 'static>(&self, job: impl FnOnce(&StandIns) -> T + Send + 'static) -> T {
        let (sender, result) = std_mpsc::channel();
        let job: Job = Box::new(move |stand_ins| sender.send(job(stand_ins)).expect("somebody waits"));
        self.jobs.as_ref().expect("it runs").send(job).expect("it runs");
        result.recv().expect("the job ends")
    }

    /// How many requests each host has read.
    pub fn request_counts(&self) -> Vec<usize> {
        self.execute(|stand_ins| stand_ins.hosts.iter().map(Host::count).collect())
    }

    /// A configuration that finds this site's hosts by its discovery alone; `change` sees it first.
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
            // A panic there has failed its test already.
            let _ = thread.join();
        }
    }
}
