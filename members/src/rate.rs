//! A bound on how much happens a second.

use crate::Micros;

/// So many a second, and as many at once.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// In millionths.
    left: u64,
    a_second: u64,
    at: Micros,
}

impl Rate {
    /// Full at first.
    pub fn new(a_second: u32, now: Micros) -> Rate {
        let a_second = u64::from(a_second);
        Rate { left: a_second * 1_000_000, a_second, at: now }
    }

    /// Whether one more may.
    pub fn take(&mut self, now: Micros) -> bool {
        let earned = now.saturating_sub(self.at).saturating_mul(self.a_second);
        self.left = self.left.saturating_add(earned).min(self.a_second * 1_000_000);
        self.at = self.at.max(now);
        let may = self.left >= 1_000_000;
        if may {
            self.left -= 1_000_000;
        }
        may
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn so_many_at_once_and_so_many_a_second() {
        let mut rate = Rate::new(5, 0);
        assert_eq!((0..9).filter(|_| rate.take(0)).count(), 5);
        assert!(!rate.take(199_999) && rate.take(200_000));
        assert_eq!((0..9).filter(|_| rate.take(90_000_000)).count(), 5);
        // A clock that stands still gives nothing, and none that went back is believed.
        assert!(!rate.take(1));
    }
}
