//! The crew: its processes, their relays, their folders.

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

/// How long something may take that has to come.
const PATIENCE: Duration = Duration::from_secs(60);

/// What a crew is started with.
#[derive(Clone, Debug)]
pub struct Plan {
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

impl Plan {
    /// Of so many processes that know each other and ask four times a second.
    pub fn new(program: &str, name: &str, count: usize) -> Plan {
        Plan {
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
pub type Seen = BTreeMap<usize, BTreeMap<String, String>>;

/// Several processes, their relays, and all that was done to them.
#[derive(Debug)]
pub struct Crew {
    /// By number; `None`: not running.
    pub processes: Vec<Option<Process>>,
    /// Between them.
    pub relays: Relays,
    /// What was done and seen.
    pub history: History,
    plan: Plan,
    folder: PathBuf,
}

impl Crew {
    /// Starts all, in front of a site's hosts.
    pub fn start(plan: Plan, site: &StandInFleet) -> Crew {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        // The path of a socket must be short.
        let unique = format!("nwc{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(unique);
        let _ = fs::remove_dir_all(&folder);
        // Addresses of their own tell them apart; ports are any that are free, so that two crews don't meet.
        let ip = |number: usize| IpAddr::V4(Ipv4Addr::new(127, 88, 1, number as u8 + 1));
        assert!(plan.count < 250, "a crew has fewer than 250");
        let ips: Vec<IpAddr> = (0..plan.count).map(ip).collect();
        let relays = Relays::start(ips.clone(), plan.seed);
        for (number, ip) in ips.iter().enumerate() {
            let own = folder.join(number.to_string());
            fs::create_dir_all(&own).expect("a folder");
            let config = site.configuration(|config| {
                config["listen"] = format!("{ip}:0").into();
                config["name"] = Crew::name(number).into();
                config["settings"]["balancers"] = plan.count.into();
                config["settings"]["me"] = number.into();
            });
            let members = json!({
                "name": Crew::name(number),
                "listen": format!("{ip}:0"),
                "advertise": relays.addresses[number],
                "seeds": &relays.addresses[..plan.count.min(3)],
                "key_file": "../key",
                "socket": "s",
                "zone": format!("z{}", number % 3),
                "period_ms": u64::try_from(plan.period.as_millis()).expect("a short period"),
            });
            fs::write(own.join("config.json"), config).expect("written");
            fs::write(own.join("members.json"), members.to_string()).expect("written");
        }
        fs::write(folder.join("key"), "a key that this crew shares").expect("written");
        let history = History::default();
        let mut crew = Crew { processes: Vec::new(), relays, history, plan, folder };
        for number in 0..crew.plan.count {
            crew.processes.push(None);
            crew.begin(number);
        }
        crew
    }

    /// The name of a process among the others.
    pub fn name(number: usize) -> String {
        format!("p-{number}")
    }

    /// Starts one that does not run.
    pub fn begin(&mut self, number: usize) {
        assert!(self.processes[number].is_none(), "process {number} runs");
        let folder = self.folder_of(number);
        let process = Process::start(&self.plan.program, number, &folder, self.plan.members, &self.history);
        self.processes[number] = Some(process);
    }

    /// The folder of one.
    pub fn folder_of(&self, number: usize) -> PathBuf {
        self.folder.join(number.to_string())
    }

    /// Kills one (SIGKILL).
    pub fn kill(&mut self, number: usize) {
        self.processes[number].take().expect("it runs").kill();
    }

    /// Tells one to end, and waits until it has.
    pub fn end(&mut self, number: usize) {
        self.processes[number].take().expect("it runs").end();
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
    pub fn split(&self, one: &[usize], other: &[usize]) {
        self.history.note(Event::Links(format!("{one:?} and {other:?} are cut off from each other")));
        self.relays.split(one, other);
    }

    /// What passes between all that were not set apart.
    pub fn links(&self, link: Link) {
        self.history.note(Event::Links(format!("all: {link:?}")));
        self.relays.set_all(link);
    }

    /// All passes again.
    pub fn heal(&self) {
        self.history.note(Event::Links("all passes".to_owned()));
        self.relays.heal();
    }

    /// What those that run take each other to be; one that does not answer sees nobody.
    pub fn seen(&self) -> Seen {
        let of = |view: Value| {
            let members = view["members"].as_array().cloned().unwrap_or_default();
            let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
            members.iter().map(|of| (text(&of["name"]), text(&of["condition"]))).collect()
        };
        let seen = self.running().map(|process| (process.number, process.view().map(of).unwrap_or_default()));
        seen.collect()
    }

    /// Waits until what they see passes.
    ///
    /// # Panics
    ///
    /// It does not within a minute; the history is shown.
    pub fn until(&self, what: &str, passes: impl Fn(&Seen) -> bool) -> Duration {
        let began = Instant::now();
        loop {
            let seen = self.seen();
            if passes(&seen) {
                return began.elapsed();
            }
            assert!(began.elapsed() < PATIENCE, "never: {what}\n{}\n{seen:?}", self.history.text());
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until all that run take all of them to be there.
    pub fn whole(&self) -> Duration {
        let running: Vec<String> = self.running().map(|process| Crew::name(process.number)).collect();
        self.until("all know all", |seen| {
            seen.len() == running.len()
                && seen.values().all(|view| {
                    running.iter().all(|name| view.get(name).is_some_and(|condition| condition == "alive"))
                })
        })
    }

    /// Waits until all that run, but those of `except`, take one to be so.
    pub fn taken_for(&self, number: usize, condition: &str, except: &[usize]) -> Duration {
        let name = Crew::name(number);
        self.until(&format!("{name} is taken for {condition}"), |seen| {
            let others = seen.iter().filter(|(by, _)| **by != number && !except.contains(by));
            let mut others = others.map(|(_, view)| view.get(&name).map(String::as_str));
            others.all(|seen| seen == Some(condition))
        })
    }

    /// Whom processes took for failed from a moment on.
    pub fn failed_since(&self, at: Duration) -> Vec<(usize, String)> {
        self.history.said(at, "failed")
    }

    /// Where the crew keeps its files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Crew {
    fn drop(&mut self) {
        // Before their folder goes.
        self.processes.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
