//! Metrics of a run: value, answers and latencies by class and by second, load of hosts, retries by cause.

use crate::scenario::Scenario;
use crate::Micros;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Longest latency that is recorded, in microseconds; longer ones count as this: 10 minutes.
const LATENCY_MAX: u64 = 600_000_000;

/// How an operation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperationOutcome {
    /// Served.
    Served,
    /// Refused, including the last retry.
    Refused,
    /// Failed; it may have run.
    Failed,
    /// Abandoned by its client, or its proxy has died.
    Left,
}

/// Creates a histogram with this number of significant digits; it resizes to the longest latency.
fn latency_histogram(digits: u8) -> Histogram<u64> {
    let mut histogram = Histogram::new(digits).unwrap_or_else(|_| unreachable!("at most 5 digits"));
    histogram.auto(true);
    histogram
}

/// Metrics of the operations of a class, of one second, or of the whole run.
#[derive(Clone, Debug)]
pub struct RequestMetrics {
    /// Number of operations.
    pub operations: u64,
    /// Total value of the operations.
    pub offered_value: f64,
    /// Value that was earned by serving them.
    pub earned_value: f64,
    /// Number of operations by outcome.
    pub outcomes: BTreeMap<OperationOutcome, u64>,
    /// Latencies of served operations, from the first request to the answer, in microseconds.
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
    /// Share of the offered value that was served; 1 if there was none.
    pub fn served_share(&self) -> f64 {
        if self.offered_value > 0.0 {
            self.earned_value / self.offered_value
        } else {
            1.0
        }
    }

    /// Number of operations with this outcome.
    pub fn count(&self, outcome: OperationOutcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or_default()
    }

    /// A percentile of the latencies, in milliseconds.
    pub fn latency_ms(&self, percentile: f64) -> f64 {
        self.latencies.value_at_percentile(percentile) as f64 / 1e3
    }
}

/// Metrics of one second.
#[derive(Clone, Debug, Default)]
pub struct SecondMetrics {
    /// Operations that started in it.
    pub requests: Option<Box<RequestMetrics>>,
    /// Attempts that were sent in it, by host.
    pub host: BTreeMap<usize, u32>,
    /// Retries that were sent in it, by cause.
    pub repeats: BTreeMap<&'static str, u32>,
    /// Refusals that clients received in it.
    pub refused: u32,
}

/// The metrics of a run.
#[derive(Clone, Debug)]
pub struct Metrics {
    counted_from: Micros,
    /// Metrics by class.
    pub classes: Vec<RequestMetrics>,
    /// Metrics of all classes together.
    pub all: RequestMetrics,
    /// Metrics by second, from the start.
    pub seconds: Vec<SecondMetrics>,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Retries among them, by cause.
    pub repeats: BTreeMap<&'static str, u64>,
    /// Most connections that one host had open at a time.
    pub peak_connections: usize,
    /// Connections to hosts that were opened.
    pub opened_connections: u64,
    /// Watches of the list that were opened.
    pub watches: u64,
    /// Segments that a cut link has held back.
    pub held_segments: u64,
    /// Retries that were sent within the deduplication window of their pod, but ran after it: duplicate effects that no
    /// proxy can prevent.
    pub late_duplicates: u64,
    /// Distinct keys that were requested at proxies with a key store.
    pub keys: u64,
    /// Requests for a key beyond the first one.
    pub key_repeats: u64,
    /// Answers that were made for an earlier call with the same key.
    pub replays: u64,
    /// Answers that differ from the first one of their key.
    pub two_answers: u64,
}

impl Metrics {
    /// Creates empty metrics.
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

    /// Returns the metrics of the second that contains this time.
    pub fn second(&mut self, at: Micros) -> &mut SecondMetrics {
        let second = (at / 1_000_000) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize_with(second + 1, SecondMetrics::default);
        }
        &mut self.seconds[second]
    }

    /// Records the outcome of an operation that started at this time.
    pub fn record_outcome(
        &mut self,
        scenario: &Scenario,
        class: usize,
        started: Micros,
        now: Micros,
        outcome: OperationOutcome,
    ) {
        let spec = &scenario.classes[class];
        let latency = now - started;
        let earned = match outcome {
            OperationOutcome::Served if latency as f64 <= spec.latency_target_ms * 1e3 => spec.worth,
            OperationOutcome::Served => spec.worth * spec.late,
            _ => 0.0,
        };
        let add = |requests: &mut RequestMetrics| {
            requests.operations += 1;
            requests.offered_value += spec.worth;
            requests.earned_value += earned;
            *requests.outcomes.entry(outcome).or_default() += 1;
            if outcome == OperationOutcome::Served {
                // The value is clamped to the range of the histogram, so recording cannot fail.
                let _ = requests.latencies.record(latency.clamp(1, LATENCY_MAX));
            }
        };
        add(self.second(started).requests.get_or_insert_default());
        if started >= self.counted_from {
            add(&mut self.classes[class]);
            add(&mut self.all);
        }
    }

    /// Records an attempt that was sent to a host; a retry has a cause.
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
