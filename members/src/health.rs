//! Local health: Lifeguard's local health multiplier.

use crate::Micros;

/// Health score of this process; 0 is healthy. Intervals that lead to suspicions of others are multiplied by
/// it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalHealth {
    score: u32,
    max: u32,
}

impl LocalHealth {
    pub fn new(max: u32) -> LocalHealth {
        LocalHealth { score: 0, max }
    }

    /// Raises the score after a sign that this process itself is slow: its probe failed and the helpers were
    /// silent too, it was suspected, or its timers ran late.
    pub fn penalize(&mut self, by: u32) {
        self.score = (self.score + by).min(self.max);
    }

    /// Lowers the score after a probe was acknowledged in time.
    pub fn reward(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    pub fn score(self) -> u32 {
        self.score
    }

    pub fn scale(self, interval: Micros) -> Micros {
        interval * Micros::from(self.score + 1)
    }
}
