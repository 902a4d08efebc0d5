//! The crew: its processes, their relays, their folders.

use crate::history::{Event, History};
use crate::process::Process;
use crate::relay::{Link, Relays};
use nettleworks_standins::Site;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// How long something may take that has to come.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// What a crew is started with.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// Where the program is.
    pub program: PathBuf,
    /// A name for its folder.
    pub name: String,
    /// How many processes.
    pub count: usize,
    /// Of all draws.
    pub seed: u64,
    /// Whether they know each other.
    pub members: bool,
    /// How often each asks another whether it is there.
    pub period: Duration,
}

impl ClusterOptions {
    /// Of so many processes that know each other and ask four times a second.
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

/// What processes take each other to be: by who sees, whom it sees, how.
pub type MembershipViews = BTreeMap<usize, BTreeMap<String, String>>;

/// Several processes, their relays, and all that was done to them.
#[derive(Debug)]
pub struct Cluster {
    /// By number; `None`: not running.
    pub processes: Vec<Option<Process>>,
    /// Between them.
    pub relays: Relays,
    /// What was done and seen.
    pub history: History,
    options: ClusterOptions,
    folder: PathBuf,
}

impl Cluster {
    /// Starts all, in front of a site's hosts.
    pub fn start(options: ClusterOptions, site: &Site) -> Cluster {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        // The path of a socket must be short.
        let unique = format!("nwc{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(unique);
        let _ = fs::remove_dir_all(&folder);
        // Addresses of their own tell them apart; ports are any that are free, so that two crews don't meet.
        let ip = |number: usize| IpAddr::V4(Ipv4Addr::new(127, 88, 1, number as u8 + 1));
        assert!(options.count < 250, "a crew has fewer than 250");
        let ips: Vec<IpAddr> = (0..options.count).map(ip).collect();
        let relays = Relays::start(ips.clone(), options.seed);
        for (number, ip) in ips.iter().enumerate() {
            let process_folder = folder.join(number.to_string());
            fs::create_dir_all(&process_folder).expect("a folder");
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
            fs::write(process_folder.join("config.json"), config).expect("written");
            fs::write(process_folder.join("members.json"), members.to_string()).expect("written");
        }
        fs::write(folder.join("key"), "a key that this crew shares").expect("written");
        let history = History::default();
        let mut cluster = Cluster { processes: Vec::new(), relays, history, options, folder };
        for number in 0..cluster.options.count {
            cluster.processes.push(None);
            cluster.start_process(number);
        }
        cluster
    }

    /// The name of a process among the others.
    pub fn member_name(number: usize) -> String {
        format!("p-{number}")
    }

    /// Starts one that does not run.
    pub fn start_process(&mut self, number: usize) {
        assert!(self.processes[number].is_none(), "process {number} runs");
        let folder = self.process_folder(number);
        let process =
            Process::start(&self.options.program, number, &folder, self.options.members, &self.history);
        self.processes[number] = Some(process);
    }

    /// The folder of one.
    pub fn process_folder(&self, number: usize) -> PathBuf {
        self.folder.join(number.to_string())
    }

    /// Kills one (SIGKILL).
    pub fn kill(&mut self, number: usize) {
        self.processes[number].take().expect("it runs").kill();
    }

    /// Tells one to end, and waits until it has.
    pub fn terminate(&mut self, number: usize) {
        self.processes[number].take().expect("it runs").terminate();
    }

    /// One that runs.
    pub fn process(&self, number: usize) -> &Process {
        self.processes[number].as_ref().expect("it runs")
    }

    /// Those that run.
    pub fn running(&self) -> impl Iterator<Item = &Process> {
        self.processes.iter().flatten()
    }

    /// Cuts one part from another, either way.
    pub fn partition(&self, left: &[usize], right: &[usize]) {
        self.history
            .record(Event::LinksChanged(format!("{left:?} and {right:?} are cut off from each other")));
        self.relays.partition(left, right);
    }

    /// What passes between all that were not set apart.
    pub fn set_all_links(&self, link: Link) {
        self.history.record(Event::LinksChanged(format!("all: {link:?}")));
        self.relays.set_all_links(link);
    }

    /// All passes again.
    pub fn heal(&self) {
        self.history.record(Event::LinksChanged("all passes".to_owned()));
        self.relays.heal();
    }

    /// What those that run take each other to be; one that does not answer sees nobody.
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

    /// Waits until what they see passes.
    ///
    /// # Panics
    ///
    /// It does not within a minute; the history is shown.
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

    /// Waits until all that run take all of them to be there.
    pub fn wait_until_converged(&self) -> Duration {
        let running: Vec<String> =
            self.running().map(|process| Cluster::member_name(process.number)).collect();
        self.wait_until("all know all", |views| {
            views.len() == running.len()
                && views.values().all(|view| {
                    running.iter().all(|name| view.get(name).is_some_and(|condition| condition == "alive"))
                })
        })
    }

    /// Waits until all that run, but those of `except`, take one to be so.
    pub fn wait_until_reported_as(&self, number: usize, condition: &str, except: &[usize]) -> Duration {
        let name = Cluster::member_name(number);
        self.wait_until(&format!("{name} is taken for {condition}"), |views| {
            let others =
                views.iter().filter(|(observer, _)| **observer != number && !except.contains(observer));
            let mut conditions = others.map(|(_, view)| view.get(&name).map(String::as_str));
            conditions.all(|reported| reported == Some(condition))
        })
    }

    /// Whom processes took for failed from a moment on.
    pub fn failed_since(&self, since: Duration) -> Vec<(usize, String)> {
        self.history.membership_changes(since, "failed")
    }

    /// Where the crew keeps its files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // Before their folder goes.
        self.processes.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
