//! Questions that this member asks for others.

use crate::message::Sender;
use crate::Micros;
use std::collections::BTreeMap;

/// Most that are open. One more is not asked: whoever wanted it hears neither answer, and doubts itself a little.
const MAX_RELAYED_PROBES: usize = 64;

/// One of them.
#[derive(Clone, Debug)]
pub(crate) struct RelayedProbe {
    /// Who wants to know.
    pub origin: Sender,
    /// The number under which it asked.
    pub number: u32,
    /// When it is told that no answer has come.
    pub nack_at: Micros,
}

/// All of them, by this member's own numbers.
#[derive(Clone, Debug, Default)]
pub(crate) struct RelayedProbes(BTreeMap<u32, RelayedProbe>);

impl RelayedProbes {
    /// Whether there was a place.
    pub fn insert(&mut self, local_number: u32, relayed: RelayedProbe) -> bool {
        let has_room = self.0.len() < MAX_RELAYED_PROBES;
        if has_room {
            self.0.insert(local_number, relayed);
        }
        has_room
    }

    pub fn take(&mut self, local_number: u32) -> Option<RelayedProbe> {
        self.0.remove(&local_number)
    }

    pub fn next_at(&self) -> Option<Micros> {
        self.0.values().map(|relayed| relayed.nack_at).min()
    }

    pub fn take_expired(&mut self, now: Micros) -> Vec<RelayedProbe> {
        let expired: Vec<u32> = self
            .0
            .iter()
            .filter(|(_, relayed)| relayed.nack_at <= now)
            .map(|(local_number, _)| *local_number)
            .collect();
        expired.into_iter().filter_map(|local_number| self.0.remove(&local_number)).collect()
    }

    pub fn extend(&mut self, duration: Micros) {
        self.0.values_mut().for_each(|relayed| relayed.nack_at += duration);
    }
}
