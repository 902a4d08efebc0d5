//! Suspicions, whose timeout shrinks with the number of members that confirm them.

use crate::name::Name;
use crate::Micros;

/// Suspicion of one member that did not acknowledge a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suspicion {
    started_at: Micros,
    /// Total time by which the suspicion was extended because this process did not run.
    paused: Micros,
    min: Micros,
    max: Micros,
    needed: usize,
    suspected_by: Vec<Name>,
}

impl Suspicion {
    /// Creates a suspicion by `by` that lasts from `min` (with `needed` confirmations) to `max` (without
    /// any).
    pub fn new(now: Micros, by: Name, min: Micros, max: Micros, needed: usize) -> Suspicion {
        Suspicion { started_at: now, paused: 0, min, max, needed, suspected_by: vec![by] }
    }

    /// Adds a confirmation. Returns whether it counts: not a second one by the same member, and none beyond
    /// those needed.
    pub fn confirm(&mut self, by: &Name) -> bool {
        let is_new = self.suspected_by.len() <= self.needed && !self.suspected_by.contains(by);
        if is_new {
            self.suspected_by.push(by.clone());
        }
        is_new
    }

    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    pub fn suspected_by(&self) -> &[Name] {
        &self.suspected_by
    }

    /// Extends the suspicion by time in which this process did not run.
    pub fn extend(&mut self, duration: Micros) {
        self.paused += duration;
    }

    /// When the suspicion times out. Each confirmation shortens it, on a logarithmic scale as in Lifeguard.
    pub fn ends_at(&self) -> Micros {
        let confirmations = self.suspected_by.len() - 1;
        let fraction = match self.needed {
            0 => 1.0,
            needed => ((confirmations + 1) as f64).ln() / ((needed + 1) as f64).ln(),
        };
        let max = self.max as f64;
        let duration = (max - (max - self.min as f64) * fraction).max(self.min as f64);
        self.started_at + self.paused + duration as Micros
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn confirmations_shorten_a_suspicion_and_count_once_per_member() {
        let name = |text| Name::new(text).expect("a name");
        let mut suspicion = Suspicion::new(100, name("a"), 1_000, 3_000, 3);
        assert_eq!(suspicion.ends_at(), 3_100);
        assert!(!suspicion.confirm(&name("a")), "a member does not confirm its own suspicion");
        let mut before = suspicion.ends_at();
        for by in ["b", "c", "d"] {
            assert!(suspicion.confirm(&name(by)));
            assert!(suspicion.ends_at() < before);
            before = suspicion.ends_at();
        }
        assert_eq!(before, 1_100);
        assert!(!suspicion.confirm(&name("e")), "no further confirmations are needed");
        suspicion.extend(50);
        assert_eq!(suspicion.ends_at(), 1_150);
    }
}
