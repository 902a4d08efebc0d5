//! A window against replays: what was heard already is not heard again.

use std::collections::BTreeMap;

/// How far counters may come out of order. One that is further behind is refused: it is as good as lost.
const WIDTH: u64 = 128;

#[derive(Clone, Copy, Debug)]
struct Window {
    highest: u64,
    /// Bit `n`: the counter `highest - n` was heard.
    heard: u128,
    used: u64,
}

/// Those of all sessions, up to a bound: the one that was used longest ago makes way. A datagram of a session that made way,
/// or of before this process started, may be heard once more; the core's incarnations bear that.
#[derive(Clone, Debug)]
pub struct Windows {
    of: BTreeMap<u64, Window>,
    most: usize,
    turn: u64,
}

impl Windows {
    /// For so many sessions.
    pub fn new(most: usize) -> Windows {
        Windows { of: BTreeMap::new(), most: most.max(1), turn: 0 }
    }

    /// Whether this is heard for the first time.
    pub fn take(&mut self, session: u64, counter: u64) -> bool {
        self.turn += 1;
        let used = self.turn;
        let Some(window) = self.of.get_mut(&session) else {
            if self.of.len() >= self.most {
                let oldest =
                    self.of.iter().min_by_key(|(_, window)| window.used).map(|(session, _)| *session);
                oldest.map(|oldest| self.of.remove(&oldest));
            }
            self.of.insert(session, Window { highest: counter, heard: 1, used });
            return true;
        };
        window.used = used;
        if counter > window.highest {
            let by = counter - window.highest;
            window.heard = if by < WIDTH { window.heard << by } else { 0 } | 1;
            window.highest = counter;
            return true;
        }
        let behind = window.highest - counter;
        let bit = 1u128.checked_shl(u32::try_from(behind).unwrap_or(u32::MAX)).unwrap_or(0);
        let new = bit != 0 && window.heard & bit == 0;
        window.heard |= bit;
        new
    }

    /// How many sessions are known.
    pub fn len(&self) -> usize {
        self.of.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.of.is_empty()
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
        fn each_is_heard_once_in_any_order(counters in proptest::collection::vec(0u64..400, 1..300)) {
            let mut windows = Windows::new(4);
            let mut heard = BTreeSet::new();
            for counter in counters {
                let highest = heard.last().copied().unwrap_or(0);
                let too_late = highest >= WIDTH && counter <= highest - WIDTH;
                let expected = !heard.contains(&counter) && !too_late;
                prop_assert_eq!(windows.take(7, counter), expected, "{} behind {}", counter, highest);
                if expected {
                    heard.insert(counter);
                }
            }
        }
    }

    #[test]
    fn counters_at_their_ends_and_sessions_at_their_bound() {
        let mut windows = Windows::new(2);
        assert!(windows.take(1, 0) && windows.take(1, u64::MAX) && !windows.take(1, u64::MAX));
        assert!(!windows.take(1, 0), "too far behind");
        assert!(windows.take(2, 5) && windows.take(1, u64::MAX - 1) && windows.take(3, 5));
        assert_eq!(windows.len(), 2);
        assert!(!windows.take(1, u64::MAX), "the longest unused made way, and that was 2");
    }
}
