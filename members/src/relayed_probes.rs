//! Indirect probes that this member relays for others.

use crate::message::Sender;
use crate::Micros;
use std::collections::BTreeMap;

/// Maximum number of relayed probes in flight. A further one is dropped: its origin gets neither ack nor
/// nack, and raises its health score a little.
const MAX_RELAYED_PROBES: usize = 64;

/// A relayed probe in flight.
#[derive(Clone, Debug)]
pub(crate) struct RelayedProbe {
    /// The member that requested it.
    pub origin: Sender,
    /// Sequence number of its request.
    pub number: u32,
    /// When the origin is sent a nack, if the target has not acknowledged by then.
    pub nack_at: Micros,
}

/// The relayed probes by the sequence number under which this member sent them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RelayedProbes(BTreeMap<u32, RelayedProbe>);

impl RelayedProbes {
    /// Adds a relayed probe; `false` if the maximum is in flight.
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
