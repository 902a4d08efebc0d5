//! Updates that are still to be gossiped: the latest one of each member, least often sent first.

use crate::name::Name;
use crate::update::Update;
use std::collections::{BTreeMap, BTreeSet};

/// Queue of updates, ordered by how often each was sent. It holds at most one per member, so the list of
/// members bounds it.
#[derive(Clone, Debug, Default)]
pub(crate) struct BroadcastQueue {
    by_name: BTreeMap<Name, Broadcast>,
    /// Times sent, inverted sequence number (of equally often sent updates the newest comes first), name.
    order: BTreeSet<(u32, u64, Name)>,
    last_sequence: u64,
}

#[derive(Clone, Debug)]
struct Broadcast {
    update: Update,
    sent: u32,
    sequence: u64,
}

impl BroadcastQueue {
    /// Queues an update, in place of any earlier one of the same member.
    pub fn push(&mut self, update: Update) {
        self.remove(&update.name);
        self.last_sequence += 1;
        let (name, sequence) = (update.name.clone(), u64::MAX - self.last_sequence);
        self.order.insert((0, sequence, name.clone()));
        self.by_name.insert(name, Broadcast { update, sent: 0, sequence });
    }

    /// Drops the update of a member.
    pub fn remove(&mut self, name: &Name) {
        if let Some(old) = self.by_name.remove(name) {
            self.order.remove(&(old.sent, old.sequence, name.clone()));
        }
    }

    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Appends updates that fit into `capacity` bytes and counts each as sent once; after `max_sends` times
    /// it is dropped. The update of `exclude`, the receiver, is left out: it knows its own state, or the
    /// caller has added the update already.
    pub fn fill(
        &mut self,
        mut capacity: usize,
        max_sends: u32,
        exclude: Option<&Name>,
        updates: &mut Vec<Update>,
    ) {
        /// Number of updates that do not fit after which the search ends; shorter ones may still fit before.
        const MAX_SKIPPED: usize = 4;
        let (mut selected, mut skipped) = (Vec::new(), 0);
        for key in &self.order {
            let Some(broadcast) = self.by_name.get(&key.2) else { continue };
            let size = broadcast.update.max_size();
            if exclude == Some(&key.2) {
                continue;
            }
            if size > capacity {
                skipped += 1;
                if skipped == MAX_SKIPPED {
                    break;
                }
                continue;
            }
            capacity -= size;
            selected.push(key.clone());
        }
        for key in selected {
            self.order.remove(&key);
            let (sent, sequence, name) = key;
            let Some(broadcast) = self.by_name.get_mut(&name) else { continue };
            updates.push(broadcast.update.clone());
            broadcast.sent = sent + 1;
            match broadcast.sent < max_sends {
                true => drop(self.order.insert((sent + 1, sequence, name))),
                false => drop(self.by_name.remove(&name)),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::update::{Incarnation, ReportedState};

    fn update(name: &str, start: u64) -> Update {
        let name = Name::new(name).expect("a name");
        Update { name, incarnation: Incarnation::initial(start), state: ReportedState::Failed }
    }

    #[test]
    fn least_sent_broadcasts_go_first_and_each_is_sent_max_sends_times() {
        let mut broadcasts = BroadcastQueue::default();
        for name in ["a", "b", "c"] {
            broadcasts.push(update(name, 1));
        }
        let update_size = update("a", 1).max_size();
        let mut sent = BTreeMap::<String, u32>::new();
        let mut packets = 0;
        while !broadcasts.is_empty() {
            let mut packet = Vec::new();
            broadcasts.fill(update_size * 2, 4, None, &mut packet);
            assert!(packet.len() <= 2);
            for update in packet {
                *sent.entry(update.name.to_string()).or_default() += 1;
            }
            let (fewest, most) = (sent.values().min(), sent.values().max());
            assert!(sent.len() < 3 || most.unwrap_or(&0) - fewest.unwrap_or(&0) <= 1, "{sent:?}");
            packets += 1;
            assert!(packets < 10);
        }
        assert!(sent.values().all(|times| *times == 4) && sent.len() == 3, "{sent:?}");
    }

    #[test]
    fn a_newer_update_replaces_the_queued_one_of_the_same_member() {
        let mut broadcasts = BroadcastQueue::default();
        broadcasts.push(update("a", 1));
        broadcasts.push(update("a", 2));
        let mut packet = Vec::new();
        broadcasts.fill(1_000, 4, None, &mut packet);
        assert_eq!(packet, [update("a", 2)]);
        let name = Name::new("a").expect("a name");
        packet.clear();
        broadcasts.fill(1_000, 4, Some(&name), &mut packet);
        assert_eq!(packet, []);
    }
}
