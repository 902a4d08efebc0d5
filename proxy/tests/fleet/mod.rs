//! Some processes of a large fleet, their servers, and discovery behind a relay, for the tests of how old a list they may
//! send by. What the servers have run is their ledger's word.
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

/// What a broken or silent watch hides counts as told after this.
pub const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// The same where the watch was ended in order.
pub const NOTIFIED_AFTER_CLOSE: Duration = Duration::from_secs(2);
/// What may still be sent after that is begun within this.
pub const GRACE: Duration = Duration::from_secs(1);
/// What a request needs from its sender to the ledger, on a busy machine.
const TRANSIT_TIME: Duration = Duration::from_millis(250);
/// Processes that the settings tell of: the pauses of the program grow with them.
const BALANCERS: usize = 300;

/// Some processes of a large fleet, their servers, and discovery behind a relay.
pub struct Fleet {
    pub registry: Registry,
    pub relay: Relay,
    pub servers: Vec<Host>,
    ledger: Ledger,
    folder: PathBuf,
    /// Of each process.
    engines: usize,
    environment: Vec<(String, String)>,
    pub processes: Vec<Process>,
    pub tally: Rc<RefCell<Tally>>,
    clients: Vec<JoinHandle<()>>,
}

impl Fleet {
    /// Starts so many processes, with clients that send for this long. `change` sees each configuration.
    pub async fn start(
        name: &str,
        count: usize,
        duration: Duration,
        change: impl Fn(&mut serde_json::Value),
    ) -> Fleet {
        Fleet::start_with(name, count, 1, duration, change).await
    }

    /// The same with so many engines in each.
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

    /// Servers and discovery, and no process yet.
    pub async fn prepare(name: &str, engines: usize) -> Fleet {
        let (registry, ledger) = (Registry::start().await, Ledger::default());
        let relay = Relay::start(registry.address).await;
        let mut servers = Vec::new();
        for number in 0..4 {
            let plan = Plan { service: Duration::from_millis(2), ..Plan::default() };
            let server = Host::planned(&format!("s-{number}"), number, plan, &ledger).await;
            registry.set(entry(&server.name, server.address, "Ready"));
            servers.push(server);
        }
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("freshness-{name}"));
        let tally = Rc::new(RefCell::new(Tally::default()));
        let (environment, processes, clients) = (Vec::new(), Vec::new(), Vec::new());
        Fleet { registry, relay, servers, ledger, folder, engines, environment, processes, tally, clients }
    }

    /// Starts so many processes, with clients that send for this long. `change` sees each configuration.
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

    /// Processes that are started from now on have these variables.
    pub fn set_environment(&mut self, environment: Vec<(String, String)>) {
        self.environment = environment;
    }

    /// Where the processes' configurations are.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Writes the configurations of so many processes.
    pub fn configure(&self, discovery: SocketAddr, count: usize, change: impl Fn(&mut serde_json::Value)) {
        for number in 0..count {
            let folder = self.folder.join(number.to_string());
            std::fs::create_dir_all(&folder).expect("a folder");
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

    /// Starts so many processes. Those that run are killed.
    pub fn spawn_processes(&mut self, count: usize) {
        self.processes.clear();
        let program = Path::new(env!("CARGO_BIN_EXE_nettleworks"));
        for number in 0..count {
            let folder = self.folder.join(number.to_string());
            let (engines, environment) = (self.engines, &self.environment);
            let process =
                Process::in_environment(program, number, &folder, engines, environment, &History::default());
            self.processes.push(process);
        }
    }

    /// A client of each process sends for this long.
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

    /// Waits until so many watches were opened, and all processes have had what they bring.
    pub async fn wait_for_watches(&self, count: usize) {
        eventually("all processes watch", || self.registry.watches.get() >= count).await;
        sleep(Duration::from_millis(200)).await;
    }

    /// Drains the first server. When that was done.
    pub fn drain(&self) -> Instant {
        self.registry.set(entry("s-0", self.servers[0].address, "Terminating"));
        Instant::now()
    }

    /// How many requests the first server has run that were begun after this moment.
    pub fn begun_after(&self, moment: Instant) -> usize {
        let after = (moment + TRANSIT_TIME).into_std();
        self.ledger.effects().iter().filter(|effect| effect.host == "s-0" && effect.at > after).count()
    }

    /// Waits until all clients have ended.
    pub async fn wait_for_clients(&mut self) {
        for client in self.clients.drain(..) {
            client.await.expect("it ended well");
        }
        let (tally, ledger) = (self.tally.clone(), self.ledger.clone());
        let executed = move || {
            let tally = tally.borrow();
            usize::try_from(tally.served + tally.failed).expect("a count")
        };
        // One that fails has gone to a server, whose answer a busy machine held up past the class's aim: what is not sent
        // by the list is refused, and never failed.
        eventually("each that was served or failed has run, and no other", || {
            ledger.effects().len() == executed()
        })
        .await;
        let tally = self.tally.borrow();
        assert_eq!(tally.lost, 0, "requests without an answer, {} served", tally.served);
        assert!(tally.failed * 100 <= tally.served, "{:?} failed, {} served", tally.failures, tally.served);
    }
}
