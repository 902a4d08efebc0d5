//! The four rules, checked on every event, from what hosts have run and what proxies have said.

use crate::event_log::LoggedEvent;
use crate::Micros;
use serde::Serialize;

/// By how much a time limit is longer than the rule's, as on the platform: 50 ms.
pub const GRACE: Micros = 50_000;
/// After being told that a host drains or is gone, nothing new goes there beyond this.
const DRAIN_NOTICE: Micros = 1_000_000;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// Each request taken gets exactly one final answer in its client's time, and nothing is sent for it afterwards.
    OneAnswer,
    /// No effect twice.
    NoEffectTwice,
    /// Nothing new to a host over 1 s after we were told that it drains or is gone.
    NothingToTheGone,
    /// A cold host is not pushed over.
    ColdHostStands,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Which rule.
    #[serde(rename = "rule")]
    pub invariant: Invariant,
    /// When, in microseconds of virtual time.
    pub at: Micros,
    /// Which call.
    pub call: u32,
    /// At which host, if it is about one.
    pub host: Option<usize>,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
    /// The last events before it.
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

/// What a proxy was told of each host: since when it is not to have anything new.
#[derive(Clone, Debug, Default)]
pub struct UnavailableHosts(Vec<Option<Micros>>);

impl UnavailableHosts {
    /// It was told now that a host takes requests, or not.
    pub fn set(&mut self, now: Micros, host: usize, ready: bool) {
        if self.0.len() <= host {
            self.0.resize(host + 1, None);
        }
        let unavailable = &mut self.0[host];
        *unavailable = if ready { None } else { Some(unavailable.unwrap_or(now)) };
    }

    /// It was told the whole list: what is not on it is gone.
    pub fn replace_all(&mut self, now: Micros, ready: &[usize], hosts: usize) {
        for host in 0..hosts {
            self.set(now, host, ready.binary_search(&host).is_ok());
        }
    }

    /// Whether something new that was written to a host at this time was written too late.
    pub fn forbids(&self, written: Micros, host: usize) -> bool {
        let unavailable = self.0.get(host).copied().flatten();
        unavailable.is_some_and(|unavailable| written > unavailable + DRAIN_NOTICE + GRACE)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nothing_new_goes_over_a_second_after_the_telling() {
        let mut unavailable = UnavailableHosts::default();
        unavailable.set(0, 1, false);
        // UnavailableHosts again, it counts from the first time.
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
