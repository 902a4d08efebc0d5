//! How far a member doubts itself (Lifeguard's local health multiplier).

use crate::Micros;

/// A score from 0 (well) up. Paces that would accuse others are stretched by it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalHealth {
    score: u32,
    max: u32,
}

impl LocalHealth {
    pub fn new(max: u32) -> LocalHealth {
        LocalHealth { score: 0, max }
    }

    /// Something speaks against this process itself: its question went unanswered and helpers stay silent too, it was
    /// suspected, or it ran late.
    pub fn penalize(&mut self, by: u32) {
        self.score = (self.score + by).min(self.max);
    }

    /// A question was answered in time.
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
