//! A window against replays: what was heard already is not heard again.

use std::collections::BTreeMap;

/// How far counters may come out of order. One that is further behind is refused: it is as good as lost.
const WINDOW_BITS: u64 = 128;

#[derive(Clone, Copy, Debug)]
struct ReplayWindow {
    highest: u64,
    /// Bit `n`: the counter `highest - n` was heard.
    seen: u128,
    last_used: u64,
}

/// Those of all sessions, up to a bound: the one that was used longest ago makes way. A datagram of a session that made way,
/// or of before this process started, may be heard once more; the core's incarnations bear that.
#[derive(Clone, Debug)]
pub struct ReplayWindows {
    sessions: BTreeMap<u64, ReplayWindow>,
    max_sessions: usize,
    uses: u64,
}

impl ReplayWindows {
    /// For so many sessions.
    pub fn new(max_sessions: usize) -> ReplayWindows {
        ReplayWindows { sessions: BTreeMap::new(), max_sessions: max_sessions.max(1), uses: 0 }
    }

    /// Whether this is heard for the first time.
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

    /// How many sessions are known.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether none is.
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
        /// Beside a set of all that was heard: nothing twice, and all that is not too far behind once.
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
