//! The four rules, checked on every event, from what hosts have run and what proxies have said.

use crate::log::Noted;
use crate::Micros;
use serde::Serialize;

/// By how much a time limit is longer than the rule's, as on the platform: 50 ms.
pub const GRACE: Micros = 50_000;
/// After being told that a host drains or is gone, nothing new goes there beyond this.
const TOLD: Micros = 1_000_000;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
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
pub struct Break {
    /// Which rule.
    pub rule: Rule,
    /// When, in microseconds of virtual time.
    pub at: Micros,
    /// Which call.
    pub call: u32,
    /// At which host, if it is about one.
    pub host: Option<usize>,
    /// What happened.
    pub what: String,
    /// The last events before it.
    pub last: Vec<Noted>,
}

impl std::fmt::Display for Break {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?} at {:.6} s, call {}", self.rule, self.at as f64 / 1e6, self.call)?;
        if let Some(host) = self.host {
            write!(f, ", host {host}")?;
        }
        write!(f, ": {}", self.what)
    }
}

/// What a proxy was told of each host: since when it is not to have anything new.
#[derive(Clone, Debug, Default)]
pub struct Told(Vec<Option<Micros>>);

impl Told {
    /// It was told now that a host takes requests, or not.
    pub fn of(&mut self, now: Micros, host: usize, ready: bool) {
        if self.0.len() <= host {
            self.0.resize(host + 1, None);
        }
        let told = &mut self.0[host];
        *told = if ready { None } else { Some(told.unwrap_or(now)) };
    }

    /// It was told the whole list: what is not on it is gone.
    pub fn only(&mut self, now: Micros, ready: &[usize], hosts: usize) {
        for host in 0..hosts {
            self.of(now, host, ready.binary_search(&host).is_ok());
        }
    }

    /// Whether something new that was written to a host at this time was written too late.
    pub fn forbids(&self, written: Micros, host: usize) -> bool {
        let told = self.0.get(host).copied().flatten();
        told.is_some_and(|told| written > told + TOLD + GRACE)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nothing_new_goes_over_a_second_after_the_telling() {
        let mut told = Told::default();
        told.of(0, 1, false);
        // Told again, it counts from the first time.
        told.of(500_000, 1, false);
        assert!(!told.forbids(1_000_000, 1) && told.forbids(1_100_000, 1) && !told.forbids(2_000_000, 0));
        told.of(1_200_000, 1, true);
        assert!(!told.forbids(9_000_000, 1));
        told.only(2_000_000, &[0], 2);
        assert!(told.forbids(4_000_000, 1) && !told.forbids(4_000_000, 0));
    }
}
