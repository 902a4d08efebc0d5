//! Some proxy processes of a large fleet, their servers, and discovery behind a relay, for tests of how long a list may
//! be used. The servers' ledger shows what they have run.
#![allow(dead_code, reason = "each test binary uses a part of it")]

use nettleworks_crew::{History, Process};
use nettleworks_standins::*;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, Instant};

/// Time after the loss of a watch, broken or silent, at which a change that it did not deliver counts as notified at
/// the latest. From then on the proxy must act as if it had received the change.
pub const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// As [`NOTIFIED_AFTER`], for a watch that discovery has closed gracefully.
pub const NOTIFIED_AFTER_CLOSE: Duration = Duration::from_secs(2);
/// Time after the notification within which requests may still be begun.
pub const GRACE: Duration = Duration::from_secs(1);
/// Longest time from the moment a request is sent until it is in the ledger, on a busy machine.
const TRANSIT_TIME: Duration = Duration::from_millis(250);
/// Number of balancers in the settings: the program spreads its requests to discovery by it.
const BALANCERS: usize = 300;

/// Some proxy processes of a large fleet, their servers, and discovery behind a relay.
pub struct Fleet {
    pub registry: Registry,
    pub relay: Relay,
    pub servers: Vec<Host>,
    ledger: Ledger,
    folder: PathBuf,
    /// Number of engines of each process.
    engines: usize,
    environment: Vec<(String, String)>,
    pub processes: Vec<Process>,
    pub tally: Rc<RefCell<LoadMetrics>>,
    clients: Vec<JoinHandle<()>>,
}

impl Fleet {
    /// Starts this number of processes, with clients that send for `duration`. `change` may modify each configuration.
    pub async fn start(
        name: &str,
        count: usize,
        duration: Duration,
        change: impl Fn(&mut serde_json::Value),
    ) -> Fleet {
        Fleet::start_with(name, count, 1, duration, change).await
    }

    /// The same with this number of engines in each process.
    pub async fn start_with(
        name: &str,
        count: usize,
        engines: usize,
        duration: Duration,
        change: impl Fn(&mut serde_json::Value),
    ) -> Fleet {
        let mut fleet = Fleet::prepare(name, engines).await;
        fleet.start_processes(count, duration, change).await;
        fleet
    }

    /// Starts the servers and discovery, but no process.
    pub async fn prepare(name: &str, engines: usize) -> Fleet {
        let (registry, ledger) = (Registry::start().await, Ledger::default());
        let relay = Relay::start(registry.address).await;
        let mut servers = Vec::new();
        for number in 0..4 {
            let plan = HostBehavior { service: Duration::from_millis(2), ..HostBehavior::default() };
            let server = Host::with_behavior(&format!("s-{number}"), number, plan, &ledger).await;
            registry.set(entry(&server.name, server.address, "Ready"));
            servers.push(server);
        }
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("freshness-{name}"));
        let tally = Rc::new(RefCell::new(LoadMetrics::default()));
        let (environment, processes, clients) = (Vec::new(), Vec::new(), Vec::new());
        Fleet { registry, relay, servers, ledger, folder, engines, environment, processes, tally, clients }
    }

    /// Starts this number of processes, with clients that send for `duration`. `change` may modify each configuration.
    pub async fn start_processes(
        &mut self,
        count: usize,
        duration: Duration,
        change: impl Fn(&mut serde_json::Value),
    ) {
        self.configure(self.relay.address, count, change);
        self.spawn_processes(count);
        self.wait_for_watches(count).await;
        self.start_clients(duration);
    }

    /// Sets the environment variables of processes that are started from now on.
    pub fn set_environment(&mut self, environment: Vec<(String, String)>) {
        self.environment = environment;
    }

    /// The folder of the processes' configurations.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Writes the configurations of this number of processes.
    pub fn configure(&self, discovery: SocketAddr, count: usize, change: impl Fn(&mut serde_json::Value)) {
        for number in 0..count {
            let folder = self.folder.join(number.to_string());
            std::fs::create_dir_all(&folder).expect("the folder is created");
            let config = configuration(discovery, &self.servers, |config| {
                config["seed"] = format!("{:x}", 0x9e37_79b9 * (number as u64 + 1)).into();
                config["settings"]["balancers"] = BALANCERS.into();
                config["settings"]["me"] = number.into();
                config["settings"]["invariants"]["ask_every_us"] = 10_000_000.into();
                for class in config["settings"]["classes"].as_array_mut().expect("classes") {
                    class["objective_us"] = 500_000.into();
                    class["deadline_us"] = 1_200_000.into();
                }
                change(config);
            });
            std::fs::write(folder.join("config.json"), config).expect("written");
        }
    }

    /// Starts this number of processes, after the running ones have been killed.
    pub fn spawn_processes(&mut self, count: usize) {
        self.processes.clear();
        let program = Path::new(env!("CARGO_BIN_EXE_nettleworks"));
        for number in 0..count {
            let folder = self.folder.join(number.to_string());
            let (engines, environment) = (self.engines, &self.environment);
            let process = Process::start_with_environment(
                program,
                number,
                &folder,
                engines,
                environment,
                &History::default(),
            );
            self.processes.push(process);
        }
    }

    /// Starts clients of each process that send for `duration`.
    pub fn start_clients(&mut self, duration: Duration) {
        for process in &self.processes {
            let load = Load {
                clients: self.engines,
                until: Some(Instant::now() + duration),
                pause: Duration::from_millis(80),
                classes: vec![("unsafe", 1.0)],
                budget: Duration::from_millis(1_200),
                retries: 0,
                ..Load::new(process.address, process.number as u64)
            };
            let tally = self.tally.clone();
            self.clients.push(spawn_local(async move { load.run(&tally).await }));
        }
    }

    /// Waits until this number of watches has been opened, and their first list has been read.
    pub async fn wait_for_watches(&self, count: usize) {
        eventually("all processes watch", || self.registry.watches.get() >= count).await;
        sleep(Duration::from_millis(200)).await;
    }

    /// Drains the first server, and returns when that was published.
    pub fn drain(&self) -> Instant {
        self.registry.set(entry("s-0", self.servers[0].address, "Terminating"));
        Instant::now()
    }

    /// How many requests that were begun after this moment the first server has run.
    pub fn begun_after(&self, moment: Instant) -> usize {
        let after = (moment + TRANSIT_TIME).into_std();
        self.ledger.effects().iter().filter(|effect| effect.host == "s-0" && effect.at > after).count()
    }

    /// Waits until all clients have ended, and checks that each request had a response and few failed.
    pub async fn wait_for_clients(&mut self) {
        for client in self.clients.drain(..) {
            client.await.expect("the client ends without a panic");
        }
        let (tally, ledger) = (self.tally.clone(), self.ledger.clone());
        let executed = move || {
            let tally = tally.borrow();
            usize::try_from(tally.served + tally.failed).expect("a count")
        };
        // A failed request was sent to a server whose response a busy machine delayed past the class's latency target:
        // a request that may not be sent by the list is refused, not failed.
        eventually("the ledger has the served and failed requests, and no other", || {
            ledger.effects().len() == executed()
        })
        .await;
        let tally = self.tally.borrow();
        assert_eq!(tally.lost, 0, "requests without a response, {} served", tally.served);
        assert!(tally.failed * 100 <= tally.served, "{:?} failed, {} served", tally.failures, tally.served);
    }
}
