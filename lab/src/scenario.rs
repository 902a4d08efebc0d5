//! A scenario: fleet, load, a timeline of faults, what must hold. It is a TOML file; whatever is wrong in it is an error
//! that names its place, and nothing is run.

use crate::fault::{Chaos, Fault};
use crate::random::Distribution;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Most hosts, proxies and calls a second of a scenario: what one machine plays.
const HOSTS_MAX: usize = 2_000;
const PROXIES_MAX: usize = 10_000;
const RATE_MAX: f64 = 200_000.0;
const SECONDS_MAX: f64 = 7.0 * 86_400.0;
const FAULTS_MAX: usize = 1_000;

/// A scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name, in reports.
    pub name: String,
    /// What it is about, in a line.
    #[serde(default)]
    pub about: String,
    /// How long clients ask, in seconds of virtual time. What is open then is still answered.
    pub seconds: f64,
    /// What is asked before this is played and judged, and not counted, in seconds.
    #[serde(default = "one")]
    pub warm_up: f64,
    /// The hosts.
    #[serde(default)]
    pub fleet: Fleet,
    /// The ways between them.
    #[serde(default)]
    pub network: Network,
    /// Where the list of hosts comes from.
    #[serde(default)]
    pub discovery: Discovery,
    /// Who asks.
    #[serde(default)]
    pub load: Load,
    /// Classes of calls; none are those of the gymnasium's doors and charges.
    #[serde(default = "default_classes", rename = "class")]
    pub classes: Vec<Class>,
    /// What goes wrong, and when.
    #[serde(default, rename = "fault", skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
    /// Faults that are drawn from the seed, beside those.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub chaos: Option<Chaos>,
    /// What must hold beside the rules.
    #[serde(default, rename = "must")]
    pub expectations: Expectations,
}

/// The hosts. Host `n` is in pod `n % pods`, and pods lie in zones in turn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// How many are listed.
    pub hosts: usize,
    /// How many more there are that no list names.
    pub spares: usize,
    /// Groups of hosts that drop repeats of a key that one of them has run.
    pub pods: usize,
    /// Zones.
    pub zones: usize,
    /// Requests that a host works on at once.
    pub workers: usize,
    /// Requests that wait there beyond those; more are turned away.
    pub queue: usize,
    /// Most connections to a host; more are refused.
    pub connections: usize,
    /// In hand beyond this, each request slows all: its work takes `1 + choke_slope * (in hand - choke_from)` times as
    /// long.
    pub choke_from: usize,
    /// See `choke_from`.
    pub choke_slope: f64,
    /// Share of its speed at which a host starts.
    pub cold_share: f64,
    /// By when it has its full speed, in seconds.
    pub cold_seconds: f64,
    /// A cold host that is sent more than this many times what it can do, for `topple_seconds`, is pushed over (rule 4).
    pub topple_times: f64,
    /// See `topple_times`.
    pub topple_seconds: f64,
    /// How long a pod drops repeats of a key, in milliseconds.
    pub window_ms: u64,
    /// Work that a connection costs its host, in microseconds, before its first request.
    pub handshake_us: f64,
    /// What hosts report of their load.
    pub reports: Reports,
    /// How long a host keeps an idle connection, in milliseconds.
    #[serde(rename = "keep_ms")]
    pub idle_timeout_ms: u64,
}

/// What hosts report of their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reports {
    /// Nothing.
    #[default]
    None,
    /// How it is.
    Honest,
    /// How it was a second ago.
    Lagging,
    /// Every second host says that it has nothing to do.
    Lying,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            hosts: 6,
            spares: 0,
            pods: 3,
            zones: 2,
            workers: 8,
            queue: 64,
            connections: 400,
            choke_from: 24,
            choke_slope: 0.02,
            cold_share: 0.31,
            cold_seconds: 7.5,
            topple_times: 3.0,
            topple_seconds: 2.0,
            window_ms: 1_200,
            handshake_us: 300.0,
            reports: Reports::None,
            idle_timeout_ms: 15_000,
        }
    }
}

/// The ways between proxies, hosts and discovery; a client is on its proxy's machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// One way within a zone, in microseconds.
    pub near_us: f64,
    /// One way between zones, in microseconds.
    pub far_us: f64,
    /// Each piece takes up to this share longer, drawn.
    pub jitter: f64,
    /// Megabits a second of one connection; 0: no bound.
    pub megabits: f64,
    /// Between a client and its proxy, one way, in microseconds.
    pub beside_us: f64,
    /// Connections that wait to be accepted by a proxy; beyond, new ones are not answered.
    pub backlog: usize,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            near_us: 250.0,
            far_us: 1_500.0,
            jitter: 0.2,
            megabits: 1_000.0,
            beside_us: 20.0,
            backlog: 1_024,
        }
    }
}

/// Where the list of hosts comes from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// From a change to its being told, in milliseconds.
    pub lag_ms: f64,
    /// From a host's death to the list that says so, in milliseconds.
    pub notice_ms: f64,
    /// Whether proxies ask for the list; else it is pushed.
    #[serde(rename = "asked")]
    pub pull: bool,
    /// Whether a proxy starts with the list that it had last, the first time with that of the start.
    #[serde(rename = "known")]
    pub starts_with_cached_list: bool,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery { lag_ms: 50.0, notice_ms: 3_000.0, pull: true, starts_with_cached_list: false }
    }
}

/// Who asks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Proxies, each with a client of its own.
    pub proxies: usize,
    /// First tries a second, over all proxies together; independent of how they are answered (Poisson).
    pub rate: f64,
    /// How unequal proxies are: the rate of the one that comes n-th by rate goes by `n^-skew` (Zipf's law); which is
    /// which is drawn. 0: all are alike.
    pub skew: f64,
    /// Points of time in seconds and times of `rate`, between which it goes evenly. None: always one.
    pub curve: Vec<(f64, f64)>,
    /// Most tries of a client for one thing.
    pub tries: u32,
    /// A client's first pause before it tries again, in milliseconds; doubled each time. One that is told when to come
    /// back waits for that long at the least.
    pub pause_ms: f64,
    /// Share of keyed calls that a second tap follows, with the same key and before it is known how the first ended.
    pub taps: f64,
    /// Share of calls whose client leaves before its answer.
    pub leaves: f64,
    /// Members, of whom keyed calls come by Zipf's law.
    pub members: u64,
    /// Exponent of that law.
    pub zipf: f64,
    /// Tenants' shares.
    pub tenants: Vec<f64>,
    /// Bytes of a request's body, where it has one.
    pub body: usize,
    /// Bytes of an answer's body, 16 at the least.
    pub answer: usize,
    /// Descriptors of a proxy.
    pub sockets: usize,
    /// Entries of each proxy's store of idempotency keys; 0: there is none.
    pub keys: usize,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            proxies: 4,
            rate: 400.0,
            skew: 0.0,
            curve: Vec::new(),
            tries: 3,
            pause_ms: 100.0,
            taps: 0.02,
            leaves: 0.0,
            members: 5_000,
            zipf: 1.1,
            tenants: vec![0.4, 0.6],
            body: 200,
            answer: 200,
            sockets: 1_024,
            keys: 0,
        }
    }
}

/// Whether a call may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// Harmless.
    Free,
    /// Harmless within a pod and its window.
    Keyed,
    /// Never.
    Unsafe,
}

/// A class of calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Whether its calls may run again.
    #[serde(rename = "kind")]
    pub idempotency: Idempotency,
    /// Share of the load; all are added up to one.
    pub share: f64,
    /// Answers are wanted within this, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: f64,
    /// How long a client waits, in milliseconds.
    pub deadline_ms: f64,
    /// What an answer in time is worth.
    pub worth: f64,
    /// Share of that for a late one.
    #[serde(default)]
    pub late: f64,
    /// How long its work takes.
    pub work: Distribution,
}

/// What must hold beside the rules. A miss is told, and ends a run with a failure; it is no broken rule.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expectations {
    /// Least share of the worth that is served.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub served: Option<f64>,
    /// Longest 99th percentile of served answers, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub p99_ms: Option<f64>,
}

fn one() -> f64 {
    1.0
}

/// The classes of the gymnasium's doors and charges, with times of its site's order.
fn default_classes() -> Vec<Class> {
    let class =
        |name: &str, idempotency, share, latency_target_ms, deadline_ms, worth, late, median_ms| Class {
            name: name.to_owned(),
            idempotency,
            share,
            latency_target_ms,
            deadline_ms,
            worth,
            late,
            work: Distribution::LogNormal { median_ms, sigma: 0.5 },
        };
    vec![
        class("consulta", Idempotency::Free, 0.5, 120.0, 600.0, 1.0, 0.2, 5.0),
        class("registro-entrada", Idempotency::Keyed, 0.35, 200.0, 900.0, 2.0, 0.5, 8.0),
        class("cobro-mensual", Idempotency::Unsafe, 0.15, 500.0, 2_000.0, 4.0, 0.8, 15.0),
    ]
}

/// Most first tries of a run, and most pairs of a proxy and a host: what a run keeps of each is for its whole time.
const CALLS_MAX: f64 = 20e6;
const PAIRS_MAX: usize = 10_000_000;

/// What is wrong with a scenario, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// The place, as keys from the top; empty: the whole file.
    pub path: String,
    /// What is wrong there.
    pub reason: String,
}

impl std::fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.path.as_str() {
            "" => f.write_str(&self.reason),
            path => write!(f, "{path}: {}", self.reason),
        }
    }
}

impl std::error::Error for ScenarioError {}

pub(crate) fn invalid<T>(path: impl Into<String>, reason: impl Into<String>) -> Result<T, ScenarioError> {
    Err(ScenarioError { path: path.into(), reason: reason.into() })
}

impl Scenario {
    /// Reads and checks a scenario's file.
    ///
    /// # Errors
    ///
    /// A file that cannot be read, is not TOML, has a key that is not known, or a figure that cannot be played.
    pub fn load(path: &Path) -> Result<Scenario, ScenarioError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).or_else(|error| invalid(&file, error.to_string()))?;
        Scenario::parse(&text).map_err(|error| ScenarioError { path: file, reason: error.to_string() })
    }

    /// Reads and checks a scenario's text.
    ///
    /// # Errors
    ///
    /// As [`Scenario::load`].
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let whole = |error: String| ScenarioError { path: String::new(), reason: error };
        let from = toml::Deserializer::parse(text).map_err(|error| whole(error.to_string()))?;
        let read: Result<Scenario, _> = serde_path_to_error::deserialize(from);
        let scenario = read.map_err(|error| {
            let path = error.path().to_string();
            // The path has its place already; what is left says where in the text.
            let reason = error.into_inner().to_string().trim_end().replace('\n', " ");
            ScenarioError { path: if path == "." { String::new() } else { path }, reason }
        })?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Its text.
    pub fn text(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    /// Whether it can be played.
    ///
    /// # Errors
    ///
    /// The first figure that cannot be.
    pub fn check(&self) -> Result<(), ScenarioError> {
        let span = |path: &str, value: f64, least: f64, most: f64| match (least..=most).contains(&value) {
            true => Ok(()),
            false => invalid(path, format!("{value} is not from {least} to {most}")),
        };
        let count =
            |path: &str, value: usize, least: usize, most: usize| match (least..=most).contains(&value) {
                true => Ok(()),
                false => invalid(path, format!("{value} is not from {least} to {most}")),
            };
        if self.name.is_empty() {
            return invalid("name", "it is empty");
        }
        span("seconds", self.seconds, 0.1, SECONDS_MAX)?;
        span("warm_up", self.warm_up, 0.0, self.seconds)?;
        let (fleet, network, load) = (&self.fleet, &self.network, &self.load);
        count("fleet.hosts", fleet.hosts, 1, HOSTS_MAX)?;
        count("fleet.spares", fleet.spares, 0, HOSTS_MAX)?;
        count("fleet.pods", fleet.pods, 1, fleet.hosts)?;
        count("fleet.zones", fleet.zones, 1, fleet.pods)?;
        count("fleet.workers", fleet.workers, 1, 10_000)?;
        count("fleet.queue", fleet.queue, 0, 100_000)?;
        count("fleet.connections", fleet.connections, 1, 1_000_000)?;
        span("fleet.choke_slope", fleet.choke_slope, 0.0, 100.0)?;
        span("fleet.cold_share", fleet.cold_share, 0.01, 1.0)?;
        span("fleet.cold_seconds", fleet.cold_seconds, 0.0, 600.0)?;
        span("fleet.topple_times", fleet.topple_times, 1.0, 100.0)?;
        span("fleet.topple_seconds", fleet.topple_seconds, 0.1, 60.0)?;
        span("fleet.handshake_us", fleet.handshake_us, 0.0, 1e6)?;
        count("fleet.idle_timeout_ms", fleet.idle_timeout_ms as usize, 10, 3_600_000)?;
        for (path, value) in
            [("near_us", network.near_us), ("far_us", network.far_us), ("beside_us", network.beside_us)]
        {
            span(&format!("network.{path}"), value, 1.0, 1e6)?;
        }
        span("network.jitter", network.jitter, 0.0, 10.0)?;
        span("network.megabits", network.megabits, 0.0, 1e6)?;
        count("network.backlog", network.backlog, 1, 65_536)?;
        span("discovery.lag_ms", self.discovery.lag_ms, 0.0, 60_000.0)?;
        span("discovery.notice_ms", self.discovery.notice_ms, 0.0, 600_000.0)?;
        count("load.proxies", load.proxies, 1, PROXIES_MAX)?;
        span("load.rate", load.rate, 0.0001, RATE_MAX)?;
        span("load.skew", load.skew, 0.0, 3.0)?;
        for (at, &(time, times)) in load.curve.iter().enumerate() {
            span(&format!("load.curve[{at}][0]"), time, 0.0, SECONDS_MAX)?;
            span(&format!("load.curve[{at}][1]"), times, 0.0, 1_000.0)?;
            if at > 0 && load.curve[at - 1].0 >= time {
                return invalid(format!("load.curve[{at}][0]"), "times must rise");
            }
        }
        count("load.tries", load.tries as usize, 1, 100)?;
        span("load.pause_ms", load.pause_ms, 1.0, 60_000.0)?;
        span("load.taps", load.taps, 0.0, 1.0)?;
        span("load.leaves", load.leaves, 0.0, 1.0)?;
        count("load.members", load.members as usize, 1, 1_000_000_000)?;
        span("load.zipf", load.zipf, 0.0, 5.0)?;
        count("load.tenants", load.tenants.len(), 1, 64)?;
        count("load.body", load.body, 0, 60_000)?;
        count("load.answer", load.answer, 16, 60_000)?;
        count("load.sockets", load.sockets, 64, 1_000_000)?;
        count("load.keys", load.keys, 0, 1_000_000)?;
        if load.proxies * (fleet.hosts + fleet.spares) > PAIRS_MAX {
            return invalid("load.proxies", format!("proxies times hosts are over {PAIRS_MAX}"));
        }
        let times = load.curve.iter().map(|point| point.1).fold(1.0, f64::max);
        if load.rate * self.seconds * times > CALLS_MAX {
            return invalid("load.rate", format!("over {CALLS_MAX} calls in all are more than a run keeps"));
        }
        for (at, &share) in load.tenants.iter().enumerate() {
            span(&format!("load.tenants[{at}]"), share, 0.0, 1.0)?;
        }
        count("class", self.classes.len(), 1, 64)?;
        for (at, class) in self.classes.iter().enumerate() {
            let path = |key: &str| format!("class[{at}].{key}");
            if self.classes[..at].iter().any(|other| other.name == class.name) || class.name.is_empty() {
                return invalid(path("name"), "it is empty, or another's");
            }
            span(&path("share"), class.share, 1e-6, 1e6)?;
            span(&path("aim_ms"), class.latency_target_ms, 1.0, 600_000.0)?;
            span(&path("deadline_ms"), class.deadline_ms, class.latency_target_ms, 600_000.0)?;
            span(&path("worth"), class.worth, 0.0, 1e6)?;
            span(&path("late"), class.late, 0.0, 1.0)?;
            if let Some(reason) = class.work.parameter_error() {
                return invalid(path("work"), reason);
            }
        }
        count("fault", self.faults.len(), 0, FAULTS_MAX)?;
        for (at, fault) in self.faults.iter().enumerate() {
            fault.check(&format!("fault[{at}]"), self)?;
        }
        if let Some(chaos) = &self.chaos {
            chaos.check("chaos", self)?;
        }
        if let Some(served) = self.expectations.served {
            span("must.served", served, 0.0, 1.0)?;
        }
        Ok(())
    }

    /// The same timeline within so many seconds, and no more than so many calls a second by hosts that are as much smaller:
    /// for sweeps of many seeds. How long faults last stays as it is.
    pub fn scaled_down(&self, seconds: f64, rate: f64) -> Scenario {
        let mut scaled = self.clone();
        if scaled.seconds > seconds {
            let times = scaled.seconds / seconds;
            scaled.seconds = seconds;
            scaled.warm_up = scaled.warm_up.min(1.0);
            for fault in &mut scaled.faults {
                fault.at = fault.at.map(|at| at / times);
                fault.between = fault.between.map(|(from, to)| (from / times, to / times));
                fault.stagger /= times;
            }
            scaled.load.curve.iter_mut().for_each(|point| point.0 /= times);
        }
        if scaled.load.rate > rate {
            let share = rate / scaled.load.rate;
            let less = |count: usize| ((count as f64 * share).ceil() as usize).max(1);
            scaled.fleet.workers = less(scaled.fleet.workers);
            scaled.fleet.queue = less(scaled.fleet.queue);
            scaled.fleet.choke_from = less(scaled.fleet.choke_from);
            scaled.fleet.choke_slope /= share;
            scaled.load.rate = rate;
        }
        scaled
    }

    /// Times of the load at a moment, in seconds.
    pub fn load_factor(&self, at: f64) -> f64 {
        let curve = &self.load.curve;
        let after = curve.partition_point(|&(time, _)| time <= at);
        match (after.checked_sub(1).map(|before| curve[before]), curve.get(after)) {
            (None, None) => 1.0,
            (None, Some(&(_, times))) | (Some((_, times)), None) => times,
            (Some((from, less)), Some(&(to, more))) => less + (more - less) * (at - from) / (to - from),
        }
    }
}
