//! Events about members, for subscribers.

use crate::name::Name;
use crate::Micros;
use std::collections::VecDeque;

/// A member that rejoins this often within [`FLAP_WINDOW`] counts as flapping.
const FLAP_THRESHOLD: usize = 3;
/// One minute.
const FLAP_WINDOW: Micros = 60_000_000;

/// How the condition of a member changed, as this process sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberEventKind {
    /// The member was not known before.
    Joined,
    /// The member did not acknowledge a probe, here or at another member.
    Suspected,
    /// The member was suspected, and has refuted the suspicion or acknowledged a probe.
    SuspicionCleared,
    /// The suspicion timed out, and the member counts as failed.
    Failed,
    /// The member left the cluster, or this process was replaced by another one of its name.
    Left,
    /// The member had failed or left, or its process restarted, and it is alive.
    Rejoined,
    /// The member announced other metadata.
    MetadataChanged,
}

/// A change of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEvent {
    /// Name of the member.
    pub name: Name,
    /// What changed.
    pub kind: MemberEventKind,
    /// Microseconds since the member last acknowledged a message of this process; `None`: never.
    pub last_ack_age: Option<Micros>,
    /// Whether the member is flapping: it has rejoined three times within a minute. Callers should not assign
    /// work to it until it is stable.
    pub is_flapping: bool,
}

/// Times at which a member recently rejoined.
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
        let is_recent = |at: &&Micros| now.saturating_sub(**at) <= FLAP_WINDOW;
        self.0.iter().filter(is_recent).count() >= FLAP_THRESHOLD
    }
}
