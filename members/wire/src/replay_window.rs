//! Replay protection: accepts each counter of a session once.

use std::collections::BTreeMap;

/// How far counters may arrive out of order. A counter further behind is rejected, which is the same as a
/// loss.
const WINDOW_BITS: u64 = 128;

#[derive(Clone, Copy, Debug)]
struct ReplayWindow {
    highest: u64,
    /// Bit `n`: the counter `highest - n` was seen.
    seen: u128,
    last_used: u64,
}

/// Replay windows of several sessions; beyond the maximum the least recently used session is evicted.
/// Datagrams of an evicted session, or from before this process started, may be accepted once more; the
/// incarnations of the core make that harmless.
#[derive(Clone, Debug)]
pub struct ReplayWindows {
    sessions: BTreeMap<u64, ReplayWindow>,
    max_sessions: usize,
    uses: u64,
}

impl ReplayWindows {
    /// Creates windows for at most this many sessions.
    pub fn new(max_sessions: usize) -> ReplayWindows {
        ReplayWindows { sessions: BTreeMap::new(), max_sessions: max_sessions.max(1), uses: 0 }
    }

    /// Whether the counter is seen for the first time.
    pub fn accept(&mut self, session: u64, counter: u64) -> bool {
        self.uses += 1;
        let last_used = self.uses;
        let Some(window) = self.sessions.get_mut(&session) else {
            if self.sessions.len() >= self.max_sessions {
                let oldest = self
                    .sessions
                    .iter()
                    .min_by_key(|(_, window)| window.last_used)
                    .map(|(session, _)| *session);
                oldest.map(|oldest| self.sessions.remove(&oldest));
            }
            self.sessions.insert(session, ReplayWindow { highest: counter, seen: 1, last_used });
            return true;
        };
        window.last_used = last_used;
        if counter > window.highest {
            let advance = counter - window.highest;
            window.seen = if advance < WINDOW_BITS { window.seen << advance } else { 0 } | 1;
            window.highest = counter;
            return true;
        }
        let lag = window.highest - counter;
        let bit = 1u128.checked_shl(u32::try_from(lag).unwrap_or(u32::MAX)).unwrap_or(0);
        let is_new = bit != 0 && window.seen & bit == 0;
        window.seen |= bit;
        is_new
    }

    /// Number of known sessions.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether no session is known.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeSet;

    proptest! {
        /// Compares with a set of all accepted counters: none is accepted twice, and each that is not too far
        /// behind is accepted once.
        #[test]
        fn each_counter_is_accepted_once_in_any_order(counters in proptest::collection::vec(0u64..400, 1..300)) {
            let mut windows = ReplayWindows::new(4);
            let mut seen = BTreeSet::new();
            for counter in counters {
                let highest = seen.last().copied().unwrap_or(0);
                let too_late = highest >= WINDOW_BITS && counter <= highest - WINDOW_BITS;
                let expected = !seen.contains(&counter) && !too_late;
                prop_assert_eq!(windows.accept(7, counter), expected, "{} behind {}", counter, highest);
                if expected {
                    seen.insert(counter);
                }
            }
        }
    }

    #[test]
    fn extreme_counters_and_eviction_of_the_least_recently_used_session() {
        let mut windows = ReplayWindows::new(2);
        assert!(windows.accept(1, 0) && windows.accept(1, u64::MAX) && !windows.accept(1, u64::MAX));
        assert!(!windows.accept(1, 0), "too far behind");
        assert!(windows.accept(2, 5) && windows.accept(1, u64::MAX - 1) && windows.accept(3, 5));
        assert_eq!(windows.len(), 2);
        assert!(!windows.accept(1, u64::MAX), "the longest unused made way, and that was 2");
    }
}
