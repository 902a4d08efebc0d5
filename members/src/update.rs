//! What members say of each other.

use crate::name::Name;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest of the metadata's texts, in bytes.
const MAX_TEXT_BYTES: usize = 24;

/// A round that no member reaches by what it says itself: one more is said at each refutation, and there is at most one
/// in a wake.
const MAX_ROUND: u32 = 1 << 24;
/// How far rounds may lie apart within one start. Each is a refutation; whoever missed more than these hears of the
/// member by its next start.
const MAX_ROUND_GAP: u32 = 1 << 12;
/// How far a start may lie ahead of this process's wall clock, in milliseconds: a day. Clocks that are set wrong by hours
/// are met, a claim that nobody could ever go beyond is not believed.
const MAX_CLOCK_LEAD_MS: u64 = 24 * 60 * 60 * 1_000;

/// Which of a member's lives, and how often it has contradicted in it. The greater one is the later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// When the process started: milliseconds since 1970 by its wall clock, or one more than the last life's where that
    /// clock was set back.
    pub start: u64,
    /// Raised by the member itself alone: to contradict what is said of it, and to say that it leaves.
    pub round: u32,
}

impl Incarnation {
    /// The first of a life.
    pub fn initial(start: u64) -> Incarnation {
        Incarnation { start, round: 0 }
    }

    /// The next one up.
    #[must_use]
    pub fn next(self) -> Incarnation {
        match self.round < MAX_ROUND {
            true => Incarnation { round: self.round + 1, ..self },
            false => Incarnation { start: self.start.saturating_add(1), round: 0 },
        }
    }

    /// What a member says next that hears this of itself. A later start than its own is that of a life which is over, as
    /// its wall clock was set back: the others are to see that this is another one.
    #[must_use]
    pub(crate) fn next_above(self, heard: Incarnation) -> Incarnation {
        match heard.start > self.start {
            true => Incarnation::initial(heard.start.saturating_add(1)),
            false => heard.max(self).next(),
        }
    }

    /// Whether it may be true, at this wall clock (milliseconds since 1970), of a member of which `known` is known.
    pub(crate) fn is_plausible(self, known: Option<Incarnation>, wall_ms: u64) -> bool {
        let jumps = known.is_some_and(|known| {
            known.start == self.start && self.round.saturating_sub(known.round) > MAX_ROUND_GAP
        });
        self.start <= wall_ms.saturating_add(MAX_CLOCK_LEAD_MS) && self.round <= MAX_ROUND && !jumps
    }
}

/// What a member says of itself. Small, as it goes round with each change of its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Metadata {
    /// Where it hears. Others send here, wherever its own messages seem to come from.
    pub address: SocketAddr,
    /// Its zone; may be empty.
    pub zone: String,
    /// Its region; may be empty.
    pub region: String,
    /// The program's version; may be empty.
    pub version: String,
    /// What it does among the others; may be empty.
    pub role: String,
    /// How much it bears beside the others, in hundredths of a usual one.
    pub capacity: u16,
}

impl Metadata {
    /// One that says no more than an address.
    pub fn new(address: SocketAddr) -> Metadata {
        let empty = String::new;
        Metadata { address, zone: empty(), region: empty(), version: empty(), role: empty(), capacity: 100 }
    }

    /// Whether its texts are within their bound (24 bytes each) and without control characters.
    pub fn is_valid(&self) -> bool {
        let good = |text: &String| text.len() <= MAX_TEXT_BYTES && !text.chars().any(char::is_control);
        [&self.zone, &self.region, &self.version, &self.role].into_iter().all(good)
    }
}

/// What is said of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportedState {
    /// It lives. Only it says so first.
    Alive(Metadata),
    /// It did not answer `by`.
    Suspect {
        /// Whom it did not answer.
        by: Name,
    },
    /// It was suspected for so long that it counts as failed.
    Failed,
    /// It has gone of itself. Only it says so first.
    Left,
}

/// A claim of one member's incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Of whom.
    pub name: Name,
    /// Of which life and round.
    pub incarnation: Incarnation,
    /// What.
    #[serde(rename = "claim")]
    pub state: ReportedState,
}

impl Update {
    /// No codec that writes integers in at most 10 bytes and texts with their length takes more bytes for it.
    pub fn max_size(&self) -> usize {
        let text = |text: &str| text.len() + 2;
        let state = match &self.state {
            ReportedState::Alive(metadata) => {
                let texts = [&metadata.zone, &metadata.region, &metadata.version, &metadata.role];
                texts.into_iter().map(|value| text(value)).sum::<usize>() + 22 + 3
            }
            ReportedState::Suspect { by } => text(by.as_str()),
            ReportedState::Failed | ReportedState::Left => 0,
        };
        text(self.name.as_str()) + 10 + 5 + 1 + state
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn implausible_incarnations_are_rejected() {
        let wall_ms = 1_700_000_000_000;
        let own = Incarnation::initial(wall_ms);
        assert!(own.is_plausible(None, wall_ms));
        // A clock that is hours ahead is met; one that nobody could go beyond is not.
        assert!(Incarnation::initial(wall_ms + 3_600_000).is_plausible(Some(own), wall_ms));
        assert!(!Incarnation::initial(u64::MAX).is_plausible(Some(own), wall_ms));
        assert!(!Incarnation { round: u32::MAX, ..own }.is_plausible(Some(own), wall_ms));
        assert!(!Incarnation { round: MAX_ROUND_GAP + 1, ..own }.is_plausible(Some(own), wall_ms));
        assert!(Incarnation { round: MAX_ROUND_GAP, ..own }.is_plausible(Some(own), wall_ms));
        let last = Incarnation { round: MAX_ROUND, ..own };
        assert!(last.next() > last);
        assert!(last.next().is_plausible(Some(last), wall_ms));
    }
}
