//! The event log of a run: a hash over all of it, the last events, and, where asked for, a line of JSON for each.

use crate::Micros;
use serde::Serialize;
use std::collections::VecDeque;
use std::hash::Hasher;
use twox_hash::XxHash64;

/// How many of the last events are kept.
const LAST: usize = 48;

/// What an event is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Of {
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
pub struct Noted {
    /// Virtual time, in microseconds from the start.
    pub at: Micros,
    /// What it is about.
    pub of: Of,
    /// Its figures, by what it is about.
    pub is: [u64; 3],
}

impl std::fmt::Display for Noted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let [first, second, third] = self.is;
        write!(f, "{:>12.6} {:?} {first} {second} {third}", self.at as f64 / 1e6, self.of)
    }
}

/// The log.
#[derive(Debug)]
pub struct Log {
    hash: XxHash64,
    count: u64,
    last: VecDeque<Noted>,
    /// Whether each event is told to the thread's `tracing` subscriber too.
    pub tells: bool,
}

impl Default for Log {
    fn default() -> Self {
        Log { hash: XxHash64::with_seed(0), count: 0, last: VecDeque::with_capacity(LAST), tells: false }
    }
}

impl Log {
    /// Notes an event.
    pub fn note(&mut self, at: Micros, of: Of, is: [u64; 3]) {
        let mut bytes = [0; 33];
        bytes[0] = of as u8;
        for (place, figure) in [at, is[0], is[1], is[2]].into_iter().enumerate() {
            bytes[1 + 8 * place..9 + 8 * place].copy_from_slice(&figure.to_le_bytes());
        }
        self.hash.write(&bytes);
        self.count += 1;
        if self.last.len() == LAST {
            self.last.pop_front();
        }
        self.last.push_back(Noted { at, of, is });
        if self.tells {
            tracing::info!(t_us = at, of = ?of, first = is[0], second = is[1], third = is[2]);
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
    pub fn last(&self) -> Vec<Noted> {
        self.last.iter().copied().collect()
    }
}
