//! Questions that this member asks for others.

use crate::message::Sender;
use crate::Micros;
use std::collections::BTreeMap;

/// Most that are open. One more is not asked: whoever wanted it hears neither answer, and doubts itself a little.
const RELAYS_MOST: usize = 64;

/// One of them.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    /// Who wants to know.
    pub origin: Sender,
    /// The number under which it asked.
    pub number: u32,
    /// When it is told that no answer has come.
    pub nack_at: Micros,
}

/// All of them, by this member's own numbers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Relays(BTreeMap<u32, Relay>);

impl Relays {
    /// Whether there was a place.
    pub fn put(&mut self, own: u32, relay: Relay) -> bool {
        let room = self.0.len() < RELAYS_MOST;
        if room {
            self.0.insert(own, relay);
        }
        room
    }

    pub fn take(&mut self, own: u32) -> Option<Relay> {
        self.0.remove(&own)
    }

    pub fn next_at(&self) -> Option<Micros> {
        self.0.values().map(|relay| relay.nack_at).min()
    }

    pub fn due(&mut self, now: Micros) -> Vec<Relay> {
        let due: Vec<u32> =
            self.0.iter().filter(|(_, relay)| relay.nack_at <= now).map(|(own, _)| *own).collect();
        due.into_iter().filter_map(|own| self.0.remove(&own)).collect()
    }

    pub fn forgive(&mut self, time: Micros) {
        self.0.values_mut().for_each(|relay| relay.nack_at += time);
    }
}
