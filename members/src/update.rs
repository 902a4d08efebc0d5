//! Updates: the state, incarnation and metadata of a member as they are gossiped.

use crate::name::Name;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum length of each text field of [`Metadata`], in bytes.
const MAX_TEXT_BYTES: usize = 24;

/// Highest round. No member reaches it by its own refutations: each refutation raises the round by one, and
/// each call into the membership protocol makes at most one.
const MAX_ROUND: u32 = 1 << 24;
/// Maximum difference between the known and a received round of the same start. Each round is one refutation;
/// a member that missed more than these accepts updates of the other again from its next start.
const MAX_ROUND_GAP: u32 = 1 << 12;
/// How far a start may lie ahead of the local wall clock, in milliseconds: one day. This accepts clocks that
/// are wrong by hours, and rejects an incarnation so high that the owner of the name could never exceed it.
const MAX_CLOCK_LEAD_MS: u64 = 24 * 60 * 60 * 1_000;

/// Incarnation of a member: the start time of its process and a refutation counter. Incarnations are ordered;
/// updates with a higher one supersede those with a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Start time of the process, in milliseconds since 1970 by its wall clock. If that clock was set back,
    /// one more than the previous start.
    pub start: u64,
    /// Refutation counter within this start. Only the member itself raises it: to refute a suspicion, to
    /// announce new metadata, and to announce that it leaves.
    pub round: u32,
}

impl Incarnation {
    /// The first incarnation of a process start.
    pub fn initial(start: u64) -> Incarnation {
        Incarnation { start, round: 0 }
    }

    /// The next higher incarnation.
    #[must_use]
    pub fn next(self) -> Incarnation {
        match self.round < MAX_ROUND {
            true => Incarnation { round: self.round + 1, ..self },
            false => Incarnation { start: self.start.saturating_add(1), round: 0 },
        }
    }

    /// The incarnation that a member announces after it has received an update on itself with the incarnation
    /// `received`. If `received` has a later start than its own, it belongs to a previous process of this
    /// name and the wall clock was set back since; the result then has a new start, so that the others see a
    /// restart.
    #[must_use]
    pub(crate) fn next_above(self, received: Incarnation) -> Incarnation {
        match received.start > self.start {
            true => Incarnation::initial(received.start.saturating_add(1)),
            false => received.max(self).next(),
        }
    }

    /// Whether the incarnation may be genuine, given the last known one of the member and the local wall
    /// clock (milliseconds since 1970).
    pub(crate) fn is_plausible(self, known: Option<Incarnation>, wall_ms: u64) -> bool {
        let is_gap_too_large = known.is_some_and(|known| {
            known.start == self.start && self.round.saturating_sub(known.round) > MAX_ROUND_GAP
        });
        self.start <= wall_ms.saturating_add(MAX_CLOCK_LEAD_MS)
            && self.round <= MAX_ROUND
            && !is_gap_too_large
    }
}

/// What a member announces about itself. Kept small, because it is gossiped with each change of the
/// incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Metadata {
    /// UDP address where it receives messages. Others send here, whatever source address its datagrams have.
    pub address: SocketAddr,
    /// Zone; may be empty.
    pub zone: String,
    /// Region; may be empty.
    pub region: String,
    /// Version of the program; may be empty.
    pub version: String,
    /// Role in the cluster; may be empty.
    pub role: String,
    /// Relative capacity in percent: 100 is that of a usual member.
    pub capacity: u16,
}

impl Metadata {
    /// Metadata with an address, empty texts and a capacity of 100.
    pub fn new(address: SocketAddr) -> Metadata {
        let empty = String::new;
        Metadata { address, zone: empty(), region: empty(), version: empty(), role: empty(), capacity: 100 }
    }

    /// Whether each text is within its limit (24 bytes) and free of control characters.
    pub fn is_valid(&self) -> bool {
        let is_valid = |text: &String| text.len() <= MAX_TEXT_BYTES && !text.chars().any(char::is_control);
        [&self.zone, &self.region, &self.version, &self.role].into_iter().all(is_valid)
    }
}

/// State of a member as an update reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportedState {
    /// The member is alive. Originates only from the member itself.
    Alive(Metadata),
    /// The member did not acknowledge a probe by `by`.
    Suspect {
        /// The member that suspects it.
        by: Name,
    },
    /// The suspicion was not refuted in time, and the member counts as failed.
    Failed,
    /// The member has left. Originates only from the member itself.
    Left,
}

/// The reported state of one incarnation of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Name of the member.
    pub name: Name,
    /// Incarnation that the state applies to.
    pub incarnation: Incarnation,
    /// Reported state.
    #[serde(rename = "claim")]
    pub state: ReportedState,
}

impl Update {
    /// Upper bound of the encoded size in bytes, for any codec that encodes an integer in at most 10 bytes
    /// and prefixes texts with their length.
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
        let current = Incarnation::initial(wall_ms);
        assert!(current.is_plausible(None, wall_ms));
        // A start that is hours ahead is accepted; one that no process could exceed is rejected.
        assert!(Incarnation::initial(wall_ms + 3_600_000).is_plausible(Some(current), wall_ms));
        assert!(!Incarnation::initial(u64::MAX).is_plausible(Some(current), wall_ms));
        assert!(!Incarnation { round: u32::MAX, ..current }.is_plausible(Some(current), wall_ms));
        assert!(!Incarnation { round: MAX_ROUND_GAP + 1, ..current }.is_plausible(Some(current), wall_ms));
        assert!(Incarnation { round: MAX_ROUND_GAP, ..current }.is_plausible(Some(current), wall_ms));
        let last = Incarnation { round: MAX_ROUND, ..current };
        assert!(last.next() > last);
        assert!(last.next().is_plausible(Some(last), wall_ms));
    }
}
