//! The cluster: its processes, their relays and their folders.

use crate::history::{Event, History};
use crate::process::Process;
use crate::relay::{Link, Relays};
use nettleworks_standins::StandInFleet;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Time within which a condition that a test waits for must hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Options of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// Path of the `nettleworks` program.
    pub program: PathBuf,
    /// Name of the test.
    pub name: String,
    /// Number of processes, fewer than 250.
    pub count: usize,
    /// Seed of the random faults of the relays.
    pub seed: u64,
    /// Whether the processes run the membership protocol.
    pub members: bool,
    /// Probe period of the membership protocol.
    pub period: Duration,
}

impl ClusterOptions {
    /// Options of `count` processes that run the membership protocol with four probes a second.
    pub fn new(program: &str, name: &str, count: usize) -> ClusterOptions {
        ClusterOptions {
            program: program.into(),
            name: name.to_owned(),
            count,
            seed: 1,
            members: true,
            period: Duration::from_millis(250),
        }
    }
}

/// The condition of each member by its name, as each process reports it; the outer key is the number of the process.
pub type MembershipViews = BTreeMap<usize, BTreeMap<String, String>>;

/// Several processes, the relays between them and the history of their faults. Dropping it kills all processes.
#[derive(Debug)]
pub struct Cluster {
    /// Processes by number; `None` is a process that does not run.
    pub processes: Vec<Option<Process>>,
    /// Relays between the processes.
    pub relays: Relays,
    /// Faults and logged events.
    pub history: History,
    options: ClusterOptions,
    folder: PathBuf,
}

impl Cluster {
    /// Starts all processes as proxies of the hosts of `site`, and returns when each of them serves.
    pub fn start(options: ClusterOptions, site: &StandInFleet) -> Cluster {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        // The path of a Unix socket is limited to about 100 bytes.
        let unique = format!("nwc{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(unique);
        let _ = fs::remove_dir_all(&folder);
        // The relays identify the sender of a datagram by its IP address, so each process has one of its own. Ports are
        // ephemeral, so that two clusters do not collide.
        let ip = |number: usize| IpAddr::V4(Ipv4Addr::new(127, 88, 1, number as u8 + 1));
        assert!(options.count < 250, "a cluster has fewer than 250 processes");
        let ips: Vec<IpAddr> = (0..options.count).map(ip).collect();
        let relays = Relays::start(ips.clone(), options.seed);
        for (number, ip) in ips.iter().enumerate() {
            let process_folder = folder.join(number.to_string());
            fs::create_dir_all(&process_folder).expect("the folder is created");
            let config = site.configuration(|config| {
                config["listen"] = format!("{ip}:0").into();
                config["name"] = Cluster::member_name(number).into();
                config["settings"]["balancers"] = options.count.into();
                config["settings"]["me"] = number.into();
            });
            let members = json!({
                "name": Cluster::member_name(number),
                "listen": format!("{ip}:0"),
                "advertise": relays.addresses[number],
                "seeds": &relays.addresses[..options.count.min(3)],
                "key_file": "../key",
                "socket": "s",
                "zone": format!("z{}", number % 3),
                "period_ms": u64::try_from(options.period.as_millis()).expect("a short period"),
            });
            fs::write(process_folder.join("config.json"), config).expect("the file is written");
            fs::write(process_folder.join("members.json"), members.to_string()).expect("the file is written");
        }
        fs::write(folder.join("key"), "a key that this cluster shares").expect("the file is written");
        let history = History::default();
        let mut cluster = Cluster { processes: Vec::new(), relays, history, options, folder };
        for number in 0..cluster.options.count {
            cluster.processes.push(None);
            cluster.start_process(number);
        }
        cluster
    }

    /// The member name of a process.
    pub fn member_name(number: usize) -> String {
        format!("p-{number}")
    }

    /// Starts a process that does not run.
    pub fn start_process(&mut self, number: usize) {
        assert!(self.processes[number].is_none(), "process {number} already runs");
        let folder = self.process_folder(number);
        let process =
            Process::start(&self.options.program, number, &folder, self.options.members, &self.history);
        self.processes[number] = Some(process);
    }

    /// The folder with the configuration and the operators' socket of a process.
    pub fn process_folder(&self, number: usize) -> PathBuf {
        self.folder.join(number.to_string())
    }

    /// Kills a process (SIGKILL).
    pub fn kill(&mut self, number: usize) {
        self.processes[number].take().expect("the process runs").kill();
    }

    /// Terminates a process (SIGTERM), and waits until it has exited.
    pub fn terminate(&mut self, number: usize) {
        self.processes[number].take().expect("the process runs").terminate();
    }

    /// Returns a running process.
    ///
    /// # Panics
    ///
    /// The process does not run.
    pub fn process(&self, number: usize) -> &Process {
        self.processes[number].as_ref().expect("the process runs")
    }

    /// The running processes.
    pub fn running(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().flatten()
    }

    /// Blocks all datagrams between two groups of processes, in both directions.
    pub fn partition(&self, left: &[usize], right: &[usize]) {
        self.history.record(Event::LinksChanged(format!("{left:?} and {right:?} are partitioned")));
        self.relays.partition(left, right);
    }

    /// Sets the faults of all links that were not set one by one.
    pub fn set_all_links(&self, link: Link) {
        self.history.record(Event::LinksChanged(format!("all: {link:?}")));
        self.relays.set_all_links(link);
    }

    /// Removes the faults of all links.
    pub fn heal(&self) {
        self.history.record(Event::LinksChanged("healed".to_owned()));
        self.relays.heal();
    }

    /// The membership views of the running processes; the view of a process that does not respond is empty.
    pub fn membership_views(&self) -> MembershipViews {
        let conditions_by_name = |view: Value| {
            let members = view["members"].as_array().cloned().unwrap_or_default();
            let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
            members.iter().map(|member| (text(&member["name"]), text(&member["condition"]))).collect()
        };
        let views = self.running().map(|process| {
            (process.number, process.membership_view().map(conditions_by_name).unwrap_or_default())
        });
        views.collect()
    }

    /// Waits until a condition of the membership views holds, and returns the time that this took.
    ///
    /// # Panics
    ///
    /// The condition does not hold within a minute. The message has the history and the last views.
    pub fn wait_until(
        &self,
        description: &str,
        condition_holds: impl Fn(&MembershipViews) -> bool,
    ) -> Duration {
        let started = Instant::now();
        loop {
            let views = self.membership_views();
            if condition_holds(&views) {
                return started.elapsed();
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "timed out waiting until {description}\n{}\n{views:?}",
                self.history.text()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until every running process reports all running processes as alive.
    pub fn wait_until_converged(&self) -> Duration {
        let running: Vec<String> =
            self.running().map(|process| Cluster::member_name(process.number)).collect();
        self.wait_until("all members are alive in all views", |views| {
            views.len() == running.len()
                && views.values().all(|view| {
                    running.iter().all(|name| view.get(name).is_some_and(|condition| condition == "alive"))
                })
        })
    }

    /// Waits until every other running process, except those in `except`, reports process `number` in this condition.
    pub fn wait_until_reported_as(&self, number: usize, condition: &str, except: &[usize]) -> Duration {
        let name = Cluster::member_name(number);
        self.wait_until(&format!("{name} is reported as {condition}"), |views| {
            let others =
                views.iter().filter(|(observer, _)| **observer != number && !except.contains(observer));
            let mut conditions = others.map(|(_, view)| view.get(&name).map(String::as_str));
            conditions.all(|reported| reported == Some(condition))
        })
    }

    /// Members that processes have declared failed since `since`, each with the number of the process that did.
    pub fn failed_since(&self, since: Duration) -> Vec<(usize, String)> {
        self.history.membership_changes(since, "failed")
    }

    /// The folder with the files of all processes.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // The processes must not run when their folder is removed.
        self.processes.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
