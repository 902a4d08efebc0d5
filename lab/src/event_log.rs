//! The event log of a run: a hash over all of it, the last events, and, where asked for, a line of JSON for each.

use crate::Micros;
use serde::Serialize;
use std::collections::VecDeque;
use std::hash::Hasher;
use twox_hash::XxHash64;

/// How many of the last events are kept.
const RECENT_EVENTS_MAX: usize = 48;

/// What an event is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A client asks: call, proxy, class.
    Asked,
    /// An attempt's first byte is written: call, host, attempt.
    Sent,
    /// A host runs a request: call, host, pod.
    Ran,
    /// A host's word on a request: call, host, status.
    Said,
    /// A client has an answer: call, status, microseconds since it asked.
    Answered,
    /// A client leaves, or its proxy has died: call, proxy.
    Left,
    /// A proxy is told of a host: proxy, host, what.
    Told,
    /// A fault begins or ends: its number, whether it begins.
    Fault,
    /// A host comes up or goes down: host, whether it is up.
    Host,
    /// A proxy starts or dies: proxy, whether it is up.
    Proxy,
    /// A connection: proxy, host, what of it.
    Connection,
    /// A rule is broken: its number, call, host.
    Broken,
}

/// An event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LoggedEvent {
    /// Virtual time, in microseconds from the start.
    pub at: Micros,
    /// What it is about.
    #[serde(rename = "of")]
    pub kind: EventKind,
    /// Its figures, by what it is about.
    #[serde(rename = "is")]
    pub values: [u64; 3],
}

impl std::fmt::Display for LoggedEvent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let [first, second, third] = self.values;
        write!(f, "{:>12.6} {:?} {first} {second} {third}", self.at as f64 / 1e6, self.kind)
    }
}

/// The log.
#[derive(Debug)]
pub struct EventLog {
    hash: XxHash64,
    count: u64,
    recent: VecDeque<LoggedEvent>,
    /// Whether each event is told to the thread's `tracing` subscriber too.
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
    /// Notes an event.
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

    /// How many there were.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// The last ones.
    pub fn recent(&self) -> Vec<LoggedEvent> {
        self.recent.iter().copied().collect()
    }
}
