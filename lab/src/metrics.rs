//! What a run counts: worth, answers, times, by class and by second, hosts' load, repeats by cause.

use crate::scenario::Scenario;
use crate::Micros;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Longest time that is told apart from a longer one, in microseconds: 10 minutes.
const LATENCY_MAX: u64 = 600_000_000;

/// How a client's thing ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperationOutcome {
    /// Served.
    Served,
    /// Refused to the last.
    Refused,
    /// Failed: it may have run.
    Failed,
    /// Its client has left, or its proxy has died.
    Left,
}

/// Times with so many significant digits. It grows with the longest.
fn latency_histogram(digits: u8) -> Histogram<u64> {
    let mut histogram = Histogram::new(digits).unwrap_or_else(|_| unreachable!("at most 5 digits"));
    histogram.auto(true);
    histogram
}

/// Of a class, or of a second.
#[derive(Clone, Debug)]
pub struct RequestMetrics {
    /// Things that clients wanted.
    pub operations: u64,
    /// Worth of them.
    pub offered_value: f64,
    /// Worth that was served.
    pub earned_value: f64,
    /// How they ended.
    pub outcomes: BTreeMap<OperationOutcome, u64>,
    /// From the first asking to the answer, in microseconds, of those that were served.
    pub latencies: Histogram<u64>,
}

impl Default for RequestMetrics {
    fn default() -> Self {
        RequestMetrics {
            operations: 0,
            offered_value: 0.0,
            earned_value: 0.0,
            outcomes: BTreeMap::new(),
            latencies: latency_histogram(2),
        }
    }
}

impl RequestMetrics {
    /// Share of the worth that was served; of none, all.
    pub fn served_share(&self) -> f64 {
        if self.offered_value > 0.0 {
            self.earned_value / self.offered_value
        } else {
            1.0
        }
    }

    /// So many ended so.
    pub fn count(&self, outcome: OperationOutcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or_default()
    }

    /// A percentile of the times, in milliseconds.
    pub fn latency_ms(&self, percentile: f64) -> f64 {
        self.latencies.value_at_percentile(percentile) as f64 / 1e3
    }
}

/// Of a second.
#[derive(Clone, Debug, Default)]
pub struct SecondMetrics {
    /// What began in it.
    pub requests: Option<Box<RequestMetrics>>,
    /// Requests that hosts took in it, by host.
    pub host: BTreeMap<usize, u32>,
    /// Repeats sent in it, by their cause.
    pub repeats: BTreeMap<&'static str, u32>,
    /// Answers to clients that were refusals.
    pub refused: u32,
}

/// The counts of a run.
#[derive(Clone, Debug)]
pub struct Metrics {
    counted_from: Micros,
    /// By class.
    pub classes: Vec<RequestMetrics>,
    /// All.
    pub all: RequestMetrics,
    /// By second, from the start.
    pub seconds: Vec<SecondMetrics>,
    /// Attempts sent.
    pub attempts: u64,
    /// Repeats among them, by cause.
    pub repeats: BTreeMap<&'static str, u64>,
    /// Most open connections to one host at a time.
    pub peak_connections: usize,
    /// Connections to hosts that were opened.
    pub opened_connections: u64,
    /// Watches of the list that were begun.
    pub watches: u64,
    /// Pieces that a cut has held back.
    pub held_segments: u64,
    /// Repeats that were sent within their pod and window, and ran past it: effects twice that no proxy can prevent.
    pub late_duplicates: u64,
    /// Keys that were asked for at proxies with a store of them, and asks beyond the first of each.
    pub keys: u64,
    /// See `keys`.
    pub key_repeats: u64,
    /// Answers that were made for an earlier call with the key, and those that differ from the key's first.
    pub replays: u64,
    /// See `replays`.
    pub two_answers: u64,
}

impl Metrics {
    /// Nothing yet.
    pub fn new(scenario: &Scenario) -> Metrics {
        Metrics {
            counted_from: crate::random::micros_from_seconds(scenario.warm_up),
            classes: vec![
                RequestMetrics { latencies: latency_histogram(3), ..RequestMetrics::default() };
                scenario.classes.len()
            ],
            all: RequestMetrics { latencies: latency_histogram(3), ..RequestMetrics::default() },
            seconds: Vec::new(),
            attempts: 0,
            repeats: BTreeMap::new(),
            peak_connections: 0,
            opened_connections: 0,
            watches: 0,
            held_segments: 0,
            late_duplicates: 0,
            keys: 0,
            key_repeats: 0,
            replays: 0,
            two_answers: 0,
        }
    }

    /// The second of a time.
    pub fn second(&mut self, at: Micros) -> &mut SecondMetrics {
        let second = (at / 1_000_000) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize_with(second + 1, SecondMetrics::default);
        }
        &mut self.seconds[second]
    }

    /// A client's thing that began then has ended.
    pub fn record_outcome(
        &mut self,
        scenario: &Scenario,
        class: usize,
        began: Micros,
        now: Micros,
        how: OperationOutcome,
    ) {
        let spec = &scenario.classes[class];
        let time = now - began;
        let got = match how {
            OperationOutcome::Served if time as f64 <= spec.latency_target_ms * 1e3 => spec.worth,
            OperationOutcome::Served => spec.worth * spec.late,
            _ => 0.0,
        };
        let add = |requests: &mut RequestMetrics| {
            requests.operations += 1;
            requests.offered_value += spec.worth;
            requests.earned_value += got;
            *requests.outcomes.entry(how).or_default() += 1;
            if how == OperationOutcome::Served {
                // It grows as far as that.
                let _ = requests.latencies.record(time.clamp(1, LATENCY_MAX));
            }
        };
        add(self.second(began).requests.get_or_insert_default());
        if began >= self.counted_from {
            add(&mut self.classes[class]);
            add(&mut self.all);
        }
    }

    /// An attempt was sent to a host; a repeat has a cause.
    pub fn record_attempt(&mut self, now: Micros, host: usize, cause: Option<&'static str>) {
        self.attempts += 1;
        let second = self.second(now);
        *second.host.entry(host).or_default() += 1;
        if let Some(cause) = cause {
            *second.repeats.entry(cause).or_default() += 1;
            *self.repeats.entry(cause).or_default() += 1;
        }
    }
}
