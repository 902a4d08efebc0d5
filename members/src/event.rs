//! What is told to whoever subscribes.

use crate::name::Name;
use crate::Micros;
use std::collections::VecDeque;

/// So many times back within [`FLAP_WINDOW`], and a member counts as unsettled.
const FLAP_THRESHOLD: usize = 3;
/// A minute.
const FLAP_WINDOW: Micros = 60_000_000;

/// What has become of a member, in this process's opinion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberEventKind {
    /// It was not known before.
    Joined,
    /// It does not answer somebody.
    Suspected,
    /// It was suspected, and has contradicted.
    SuspicionCleared,
    /// It counts as failed.
    Failed,
    /// It has gone of itself.
    Left,
    /// It had failed or left, and is there.
    Rejoined,
    /// It is there with another card.
    MetadataChanged,
}

/// One piece of news.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEvent {
    /// Of whom.
    pub name: Name,
    /// What.
    pub kind: MemberEventKind,
    /// How long ago it was last surely heard (an answer to this process's question); `None`: never.
    pub last_ack_age: Option<Micros>,
    /// Whether it comes and goes: three times back within a minute. Whoever hands it something waits for better.
    pub is_flapping: bool,
}

/// When a member came back of late.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlapHistory(VecDeque<Micros>);

impl FlapHistory {
    pub fn record(&mut self, now: Micros) {
        self.0.push_back(now);
        if self.0.len() > FLAP_THRESHOLD {
            self.0.pop_front();
        }
    }

    pub fn is_flapping(&self, now: Micros) -> bool {
        let recent = |at: &&Micros| now.saturating_sub(**at) <= FLAP_WINDOW;
        self.0.iter().filter(recent).count() >= FLAP_THRESHOLD
    }
}
