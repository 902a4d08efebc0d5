//! How far a member doubts itself (Lifeguard's local health multiplier).

use crate::Micros;

/// A score from 0 (well) up. Paces that would accuse others are stretched by it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    score: u32,
    most: u32,
}

impl Health {
    pub fn new(most: u32) -> Health {
        Health { score: 0, most }
    }

    /// Something speaks against this process itself: its question went unanswered and helpers stay silent too, it was
    /// suspected, or it ran late.
    pub fn doubt(&mut self, by: u32) {
        self.score = (self.score + by).min(self.most);
    }

    /// A question was answered in time.
    pub fn trust(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    pub fn score(self) -> u32 {
        self.score
    }

    pub fn stretch(self, pace: Micros) -> Micros {
        pace * Micros::from(self.score + 1)
    }
}
