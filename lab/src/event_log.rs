//! The event log of a run: a hash over all events, the most recent events, and, on request, a trace line for each
//! event.

use crate::Micros;
use serde::Serialize;
use std::collections::VecDeque;
use std::hash::Hasher;
use twox_hash::XxHash64;

/// Number of recent events that are kept.
const RECENT_EVENTS_MAX: usize = 48;

/// Kind of an event. Each variant lists the values that are recorded with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A client sends a request: call, proxy, class.
    Asked,
    /// The first byte of an attempt is written: call, host, attempt.
    Sent,
    /// A host runs a request: call, host, pod.
    Ran,
    /// A host ends an exchange: call, host, result.
    Said,
    /// A client receives an answer: call, status, microseconds since the request.
    Answered,
    /// A client abandons a call: call, proxy.
    Left,
    /// A proxy receives an update of the list: proxy, version, number of entries.
    Told,
    /// A fault begins or ends: its index, whether it begins, its kind.
    Fault,
    /// A host comes up or goes down: host, whether it is up, its status.
    Host,
    /// A proxy starts or dies: proxy, whether it is up.
    Proxy,
    /// A connection is refused: proxy or exchange, host, 0.
    Connection,
    /// An invariant is violated: its number, call, host.
    Broken,
}

/// An event of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LoggedEvent {
    /// Virtual time, in microseconds from the start.
    pub at: Micros,
    /// Its kind.
    #[serde(rename = "of")]
    pub kind: EventKind,
    /// Its values, depending on the kind.
    #[serde(rename = "is")]
    pub values: [u64; 3],
}

impl std::fmt::Display for LoggedEvent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let [first, second, third] = self.values;
        write!(f, "{:>12.6} {:?} {first} {second} {third}", self.at as f64 / 1e6, self.kind)
    }
}

/// The event log.
#[derive(Debug)]
pub struct EventLog {
    hash: XxHash64,
    count: u64,
    recent: VecDeque<LoggedEvent>,
    /// Whether each event is also emitted to the thread's `tracing` subscriber.
    pub emits_tracing: bool,
}

impl Default for EventLog {
    fn default() -> Self {
        EventLog {
            hash: XxHash64::with_seed(0),
            count: 0,
            recent: VecDeque::with_capacity(RECENT_EVENTS_MAX),
            emits_tracing: false,
        }
    }
}

impl EventLog {
    /// Records an event.
    pub fn record(&mut self, at: Micros, kind: EventKind, values: [u64; 3]) {
        let mut bytes = [0; 33];
        bytes[0] = kind as u8;
        for (place, figure) in [at, values[0], values[1], values[2]].into_iter().enumerate() {
            bytes[1 + 8 * place..9 + 8 * place].copy_from_slice(&figure.to_le_bytes());
        }
        self.hash.write(&bytes);
        self.count += 1;
        if self.recent.len() == RECENT_EVENTS_MAX {
            self.recent.pop_front();
        }
        self.recent.push_back(LoggedEvent { at, kind, values });
        if self.emits_tracing {
            tracing::info!(t_us = at, of = ?kind, first = values[0], second = values[1], third = values[2]);
        }
    }

    /// XXH64 over all events so far, byte for byte.
    pub fn hash(&self) -> u64 {
        self.hash.finish()
    }

    /// Number of events so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// The most recent events.
    pub fn recent(&self) -> Vec<LoggedEvent> {
        self.recent.iter().copied().collect()
    }
}
