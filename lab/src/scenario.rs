//! Scenarios: fleet, load, a timeline of faults and expectations. A scenario is a TOML file; an invalid one is rejected
//! with the path of the invalid key, before anything runs.

use crate::fault::{Chaos, Fault};
use crate::random::Distribution;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Upper bounds on hosts, proxies, calls per second, duration and faults of a scenario: what one machine can simulate.
const HOSTS_MAX: usize = 2_000;
const PROXIES_MAX: usize = 10_000;
const RATE_MAX: f64 = 200_000.0;
const SECONDS_MAX: f64 = 7.0 * 86_400.0;
const FAULTS_MAX: usize = 1_000;

/// A scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name, as shown in reports.
    pub name: String,
    /// A description in one line.
    #[serde(default)]
    pub about: String,
    /// How long clients send requests, in seconds of virtual time. Calls that are open at the end are still answered.
    pub seconds: f64,
    /// Time at the start whose operations are simulated and checked, but not counted, in seconds.
    #[serde(default = "one")]
    pub warm_up: f64,
    /// The hosts.
    #[serde(default)]
    pub fleet: Fleet,
    /// The network between clients, proxies, hosts and discovery.
    #[serde(default)]
    pub network: Network,
    /// Service discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// The clients and their requests.
    #[serde(default)]
    pub load: Load,
    /// Classes of calls. The default ones model a gymnasium's turnstiles and charges.
    #[serde(default = "default_classes", rename = "class")]
    pub classes: Vec<Class>,
    /// The faults.
    #[serde(default, rename = "fault", skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
    /// Random faults that are drawn from the seed, in addition to the listed ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub chaos: Option<Chaos>,
    /// Expectations on the result, in addition to the invariants.
    #[serde(default, rename = "must")]
    pub expectations: Expectations,
}

/// The hosts. Host `n` is in pod `n % pods`, and pod `n` is in zone `n % zones`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Number of hosts on the list.
    pub hosts: usize,
    /// Number of additional hosts that are never listed.
    pub spares: usize,
    /// Number of pods: groups of hosts that drop repeats of a key that one of them has run.
    pub pods: usize,
    /// Number of zones.
    pub zones: usize,
    /// Requests that a host works on at a time.
    pub workers: usize,
    /// Requests that a host queues beyond those; more are turned away.
    pub queue: usize,
    /// Most connections to a host; more are refused.
    pub connections: usize,
    /// Congestion threshold. With more active requests than this each one slows down all: work takes `1 + choke_slope *
    /// (active - choke_from)` times as long.
    pub choke_from: usize,
    /// See `choke_from`.
    pub choke_slope: f64,
    /// Speed of a host that has just started, as a share of full speed.
    pub cold_share: f64,
    /// Time after which a host has its full speed, in seconds.
    pub cold_seconds: f64,
    /// A cold host that is sent more than this many times its capacity for `topple_seconds` fails (fourth invariant).
    pub topple_times: f64,
    /// See `topple_times`.
    pub topple_seconds: f64,
    /// How long a pod drops repeats of a key, in milliseconds.
    pub window_ms: u64,
    /// Work that a new connection costs its host before the first request, in microseconds.
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
    /// The present load.
    Honest,
    /// The load of a second ago.
    Lagging,
    /// Every second host reports no load at all.
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

/// The network between proxies, hosts and discovery; a client is on its proxy's machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// One-way latency within a zone, in microseconds.
    pub near_us: f64,
    /// One-way latency between zones, in microseconds.
    pub far_us: f64,
    /// Random extra latency of each segment, up to this share.
    pub jitter: f64,
    /// Bandwidth of one connection in megabits per second; 0 for unlimited.
    pub megabits: f64,
    /// One-way latency between a client and its proxy, in microseconds.
    pub beside_us: f64,
    /// Length of a proxy's accept queue; connections beyond it are not answered.
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

/// Service discovery.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Delay from a change to its announcement, in milliseconds.
    pub lag_ms: f64,
    /// Delay from a host's death to the list that reports it, in milliseconds.
    pub notice_ms: f64,
    /// Whether proxies request the list; otherwise it is pushed.
    #[serde(rename = "asked")]
    pub pull: bool,
    /// Whether a proxy starts with the last list that it had, and the first time with the initial list.
    #[serde(rename = "known")]
    pub starts_with_cached_list: bool,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery { lag_ms: 50.0, notice_ms: 3_000.0, pull: true, starts_with_cached_list: false }
    }
}

/// The clients and their requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Number of proxies, each with a client of its own.
    pub proxies: usize,
    /// Operations per second, over all proxies together; arrivals are a Poisson process, independent of the answers.
    pub rate: f64,
    /// Skew of the load between proxies: the n-th busiest has a rate proportional to `n^-skew` (Zipf's law), and the
    /// order is random. 0 for equal rates.
    pub skew: f64,
    /// Points of time, in seconds, and factors on `rate`, with linear interpolation between them. If empty, the factor
    /// is 1.
    pub curve: Vec<(f64, f64)>,
    /// Most calls of a client for one operation.
    pub tries: u32,
    /// A client's pause before its first retry, in milliseconds; it doubles with each retry. A client that was given a
    /// time to retry after waits at least that long.
    pub pause_ms: f64,
    /// Share of keyed operations that are followed by a duplicate with the same key, before the result of the first one
    /// is known.
    pub taps: f64,
    /// Share of calls that the client abandons before their answer.
    pub leaves: f64,
    /// Number of members that keyed operations belong to, distributed by Zipf's law.
    pub members: u64,
    /// Exponent of that law.
    pub zipf: f64,
    /// Shares of the tenants.
    pub tenants: Vec<f64>,
    /// Size of a request's body in bytes, where it has one.
    pub body: usize,
    /// Size of an answer's body in bytes, at least 16.
    pub answer: usize,
    /// File descriptors of a proxy.
    pub sockets: usize,
    /// Entries of each proxy's store of idempotency keys; 0 for no store.
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

/// Whether a call may safely run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// It may run any number of times.
    Free,
    /// It may run again within the same pod and its deduplication window.
    Keyed,
    /// It must run at most once.
    Unsafe,
}

/// A class of calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Whether its calls may safely run again.
    #[serde(rename = "kind")]
    pub idempotency: Idempotency,
    /// Its share of the load; shares are normalized to a sum of one.
    pub share: f64,
    /// Latency target in milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: f64,
    /// Deadline of its calls, in milliseconds.
    pub deadline_ms: f64,
    /// Value of an answer within the latency target.
    pub worth: f64,
    /// Value of a late answer, as a share of `worth`.
    #[serde(default)]
    pub late: f64,
    /// Distribution of the time that its work takes.
    pub work: Distribution,
}

/// Expectations on the result, in addition to the invariants. A missed one is reported and fails the run, but is no
/// violation of an invariant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expectations {
    /// Least share of the offered value that is served.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub served: Option<f64>,
    /// Longest 99th percentile of the latencies of served operations, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub p99_ms: Option<f64>,
}

fn one() -> f64 {
    1.0
}

/// The default classes: a gymnasium's turnstiles and charges, with latencies of the order of that deployment's.
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

/// Upper bounds on the operations of a run and on pairs of a proxy and a host: a run keeps state for each until its
/// end.
const CALLS_MAX: f64 = 20e6;
const PAIRS_MAX: usize = 10_000_000;

/// An error in a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// Path of the invalid key, from the top; empty for the whole file.
    pub path: String,
    /// What is invalid.
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
    /// Reads and checks a scenario file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is not TOML, has an unknown key, or has a value that cannot be simulated.
    pub fn load(path: &Path) -> Result<Scenario, ScenarioError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).or_else(|error| invalid(&file, error.to_string()))?;
        Scenario::parse(&text).map_err(|error| ScenarioError { path: file, reason: error.to_string() })
    }

    /// Parses and checks the text of a scenario.
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
            // The path is reported separately; the remaining message gives the position in the text.
            let reason = error.into_inner().to_string().trim_end().replace('\n', " ");
            ScenarioError { path: if path == "." { String::new() } else { path }, reason }
        })?;
        scenario.check()?;
        Ok(scenario)
    }

    /// The scenario as TOML text.
    pub fn text(&self) -> String {
        toml::to_string(self).unwrap_or_default()
    }

    /// Checks whether the scenario can be simulated.
    ///
    /// # Errors
    ///
    /// The first value that is out of range.
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
            return invalid("name", "must not be empty");
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
        count("fleet.keep_ms", fleet.idle_timeout_ms as usize, 10, 3_600_000)?;
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
                return invalid(format!("load.curve[{at}][0]"), "times must be in ascending order");
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
            return invalid("load.proxies", format!("proxies times hosts must be at most {PAIRS_MAX}"));
        }
        let times = load.curve.iter().map(|point| point.1).fold(1.0, f64::max);
        if load.rate * self.seconds * times > CALLS_MAX {
            return invalid(
                "load.rate",
                format!("rate times seconds must be at most {CALLS_MAX} operations"),
            );
        }
        for (at, &share) in load.tenants.iter().enumerate() {
            span(&format!("load.tenants[{at}]"), share, 0.0, 1.0)?;
        }
        count("class", self.classes.len(), 1, 64)?;
        for (at, class) in self.classes.iter().enumerate() {
            let path = |key: &str| format!("class[{at}].{key}");
            if self.classes[..at].iter().any(|other| other.name == class.name) || class.name.is_empty() {
                return invalid(path("name"), "must be unique and not empty");
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

    /// Returns the same timeline compressed to at most this many seconds, with at most this many operations per second
    /// and hosts that are smaller in proportion, for sweeps over many seeds. Durations of faults do not change.
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

    /// Factor on the load at a time in seconds.
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
