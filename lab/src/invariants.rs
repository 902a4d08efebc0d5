//! The four invariants. They are checked on every event, against what hosts have run and what proxies have answered.

use crate::event_log::LoggedEvent;
use crate::Micros;
use serde::Serialize;

/// Tolerance on the time limits of invariants, in microseconds, as on the target platform: 50 ms.
pub const GRACE: Micros = 50_000;
/// Time after the notice that a host drains or is removed in which new requests may still be sent to it, in
/// microseconds.
const NOTICE_ALLOWANCE: Micros = 1_000_000;

/// An invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// Each accepted request gets exactly one final answer within its client's deadline, and nothing is sent for it
    /// afterwards.
    OneAnswer,
    /// No effect happens twice.
    NoEffectTwice,
    /// Nothing new is sent to a host over 1 s after the proxy was notified that it drains or is removed.
    NothingToTheGone,
    /// A cold host is not overloaded until it fails.
    ColdHostStands,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The invariant.
    #[serde(rename = "rule")]
    pub invariant: Invariant,
    /// When it happened, in microseconds of virtual time.
    pub at: Micros,
    /// Index of the call.
    pub call: u32,
    /// Index of the host, if one is involved.
    pub host: Option<usize>,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
    /// The most recent events before it.
    #[serde(rename = "last")]
    pub recent_events: Vec<LoggedEvent>,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?} at {:.6} s, call {}", self.invariant, self.at as f64 / 1e6, self.call)?;
        if let Some(host) = self.host {
            write!(f, ", host {host}")?;
        }
        write!(f, ": {}", self.description)
    }
}

/// Since when each host has been unavailable for new requests, as a proxy was notified.
#[derive(Clone, Debug, Default)]
pub struct UnavailableHosts(Vec<Option<Micros>>);

impl UnavailableHosts {
    /// Records the notice that a host takes new requests, or does not.
    pub fn set(&mut self, now: Micros, host: usize, ready: bool) {
        if self.0.len() <= host {
            self.0.resize(host + 1, None);
        }
        let since = &mut self.0[host];
        *since = if ready { None } else { Some(since.unwrap_or(now)) };
    }

    /// Records the notice of a whole list: hosts that are not on it are removed.
    pub fn replace_all(&mut self, now: Micros, ready: &[usize], hosts: usize) {
        for host in 0..hosts {
            self.set(now, host, ready.binary_search(&host).is_ok());
        }
    }

    /// Whether a new request that was written to a host at this time was written too late.
    pub fn forbids(&self, written: Micros, host: usize) -> bool {
        let since = self.0.get(host).copied().flatten();
        since.is_some_and(|since| written > since + NOTICE_ALLOWANCE + GRACE)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn new_requests_are_forbidden_one_second_after_the_notice() {
        let mut unavailable = UnavailableHosts::default();
        unavailable.set(0, 1, false);
        // A second notice does not restart the time limit.
        unavailable.set(500_000, 1, false);
        assert!(
            !unavailable.forbids(1_000_000, 1)
                && unavailable.forbids(1_100_000, 1)
                && !unavailable.forbids(2_000_000, 0)
        );
        unavailable.set(1_200_000, 1, true);
        assert!(!unavailable.forbids(9_000_000, 1));
        unavailable.replace_all(2_000_000, &[0], 2);
        assert!(unavailable.forbids(4_000_000, 1) && !unavailable.forbids(4_000_000, 0));
    }
}
