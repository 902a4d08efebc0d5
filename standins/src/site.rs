//! Hosts and discovery on a thread of their own, for applications that bring a runtime or block their threads.

use crate::configuration::{configuration, entry};
use crate::host::Host;
use crate::ledger::Ledger;
use crate::plan::Plan;
use crate::registry::Registry;
use std::net::SocketAddr;
use std::sync::mpsc as sync;
use std::thread::JoinHandle;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// What a site's thread holds.
#[derive(Debug)]
pub struct Inside {
    /// The hosts, in their order; their names are `node-0` and so on.
    pub hosts: Vec<Host>,
    /// Their list.
    pub registry: Registry,
}

impl Inside {
    /// Says in the list what a host does.
    pub fn list(&self, host: usize, health: &str) {
        let host = &self.hosts[host];
        let mut entry = entry(&host.name, host.address, health);
        entry["block"] = host.pod.into();
        self.registry.set(entry);
    }
}

type Job = Box<dyn FnOnce(&Inside) + Send>;

/// A fleet and its discovery on a thread of their own, which ends when this is dropped.
#[derive(Debug)]
pub struct Site {
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// What the hosts have run.
    pub ledger: Ledger,
    jobs: Option<mpsc::UnboundedSender<Job>>,
    thread: Option<JoinHandle<()>>,
}

impl Site {
    /// A host for each plan, all of one pod and listed as ready.
    pub fn start(plans: Vec<Plan>) -> Site {
        Site::with_pods(plans.into_iter().map(|plan| (3, plan)).collect())
    }

    /// A host for each plan, in its pod, listed as ready.
    pub fn with_pods(plans: Vec<(u32, Plan)>) -> Site {
        let ledger = Ledger::default();
        let (jobs, mut queue) = mpsc::unbounded_channel::<Job>();
        let (up, is_up) = sync::channel();
        let noted = ledger.clone();
        let thread = std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            LocalSet::new().block_on(&runtime, async {
                let registry = Registry::start().await;
                let mut hosts = Vec::new();
                for (number, (pod, plan)) in plans.into_iter().enumerate() {
                    hosts.push(Host::planned(&format!("node-{number}"), pod, plan, &noted).await);
                }
                let inside = Inside { hosts, registry };
                (0..inside.hosts.len()).for_each(|host| inside.list(host, "Ready"));
                up.send(inside.registry.address).expect("whoever started it waits");
                while let Some(job) = queue.recv().await {
                    job(&inside);
                }
            });
        });
        let discovery = is_up.recv().expect("the site starts");
        Site { discovery, ledger, jobs: Some(jobs), thread: Some(thread) }
    }

    /// Does something on the site's thread, and waits for what it gives.
    pub fn with<T: Send + 'static>(&self, job: impl FnOnce(&Inside) -> T + Send + 'static) -> T {
        let (sender, result) = sync::channel();
        let job: Job = Box::new(move |inside| sender.send(job(inside)).expect("somebody waits"));
        self.jobs.as_ref().expect("it runs").send(job).expect("it runs");
        result.recv().expect("the job ends")
    }

    /// How many requests each host has read.
    pub fn counts(&self) -> Vec<usize> {
        self.with(|inside| inside.hosts.iter().map(Host::count).collect())
    }

    /// A configuration that finds this site's hosts by its discovery alone; `change` sees it first.
    pub fn configuration(&self, change: impl FnOnce(&mut serde_json::Value)) -> String {
        configuration(self.discovery, &[], |config| {
            config["known"] = serde_json::Value::Null;
            change(config);
        })
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        drop(self.jobs.take());
        if let Some(thread) = self.thread.take() {
            // A panic there has failed its test already.
            let _ = thread.join();
        }
    }
}
