//! The list of known members with their incarnations and conditions.

use crate::event::FlapHistory;
use crate::message::BUCKETS;
use crate::name::Name;
use crate::suspicion::Suspicion;
use crate::update::{Incarnation, Metadata, ReportedState, Update};
use crate::Micros;
use std::collections::BTreeMap;
use std::hash::Hasher;
use twox_hash::XxHash64;

/// Condition of a member, as this process sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Condition {
    /// Alive.
    Alive,
    /// Suspected: it did not acknowledge a probe, and the suspicion has not ended.
    Suspected,
    /// Failed: the suspicion timed out.
    Failed,
    /// Left the cluster.
    Left,
}

impl Condition {
    /// The name in logs and in the state that operators see.
    pub fn name(self) -> &'static str {
        match self {
            Condition::Alive => "alive",
            Condition::Suspected => "suspected",
            Condition::Failed => "failed",
            Condition::Left => "left",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum State {
    Alive,
    Suspect(Suspicion),
    Failed,
    Left,
}

#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub metadata: Metadata,
    pub incarnation: Incarnation,
    pub state: State,
    /// When the member entered its current condition.
    pub since: Micros,
    /// When it last acknowledged a message of this process, directly or through a helper.
    pub last_ack_at: Option<Micros>,
    /// Digest of its list in its last acknowledgement.
    pub digest: Option<u64>,
    pub flaps: FlapHistory,
}

impl Entry {
    pub fn new(metadata: Metadata, incarnation: Incarnation, now: Micros) -> Entry {
        Entry {
            metadata,
            incarnation,
            state: State::Alive,
            since: now,
            last_ack_at: None,
            digest: None,
            flaps: FlapHistory::default(),
        }
    }

    pub fn condition(&self) -> Condition {
        match self.state {
            State::Alive => Condition::Alive,
            State::Suspect(_) => Condition::Suspected,
            State::Failed => Condition::Failed,
            State::Left => Condition::Left,
        }
    }

    /// Whether the member is alive or suspected.
    pub fn is_live(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect(_))
    }

    /// The update that reports the entry.
    pub fn to_update(&self, name: &Name) -> Update {
        let state = match &self.state {
            State::Alive => ReportedState::Alive(self.metadata.clone()),
            State::Suspect(suspicion) => ReportedState::Suspect { by: suspicion.suspected_by()[0].clone() },
            State::Failed => ReportedState::Failed,
            State::Left => ReportedState::Left,
        };
        Update { name: name.clone(), incarnation: self.incarnation, state }
    }
}

/// All known members, including this process. The digests of the live entries of each bucket are maintained
/// with each change, so that two lists are compared without walking them.
#[derive(Clone, Debug)]
pub(crate) struct Roster {
    entries: BTreeMap<Name, Entry>,
    buckets: [u64; BUCKETS],
    live: usize,
    max_members: usize,
}

fn hash(name: &Name, incarnation: Incarnation) -> u64 {
    let mut hasher = XxHash64::with_seed(1);
    hasher.write(name.as_str().as_bytes());
    hasher.write_u64(incarnation.start);
    hasher.write_u32(incarnation.round);
    hasher.finish()
}

/// Bucket of a name.
pub(crate) fn bucket_of(name: &Name) -> usize {
    let mut hasher = XxHash64::with_seed(2);
    hasher.write(name.as_str().as_bytes());
    (hasher.finish() % BUCKETS as u64) as usize
}

impl Roster {
    pub fn new(max_members: usize) -> Roster {
        Roster { entries: BTreeMap::new(), buckets: [0; BUCKETS], live: 0, max_members }
    }

    pub fn get(&self, name: &Name) -> Option<&Entry> {
        self.entries.get(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Entry)> {
        self.entries.iter()
    }

    /// Number of alive and suspected members, including this process.
    pub fn live(&self) -> usize {
        self.live
    }

    /// Digest of each bucket. Failed and departed members are left out, because members forget them at
    /// different times.
    pub fn buckets(&self) -> &[u64; BUCKETS] {
        &self.buckets
    }

    /// Digest of the whole list.
    pub fn digest(&self) -> u64 {
        let mut hasher = XxHash64::with_seed(3);
        self.buckets.iter().for_each(|bucket| hasher.write_u64(*bucket));
        hasher.finish()
    }

    /// Entries of a bucket.
    pub fn bucket_entries(&self, bucket: usize) -> impl Iterator<Item = (&Name, &Entry)> {
        self.entries.iter().filter(move |(name, _)| bucket_of(name) == bucket)
    }

    /// Adds a member. In a full list it replaces the one that has failed or left longest ago and returns its
    /// name; `Err`: no entry can be replaced.
    pub fn insert(&mut self, name: Name, entry: Entry) -> Result<Option<Name>, ()> {
        let mut evicted = None;
        if self.entries.len() >= self.max_members {
            let oldest = self.entries.iter().filter(|(_, entry)| !entry.is_live());
            let oldest = oldest.min_by_key(|(_, entry)| entry.since).map(|(name, _)| name.clone());
            let oldest = oldest.ok_or(())?;
            self.remove(&oldest);
            evicted = Some(oldest);
        }
        self.add_to_digest(&name, &entry);
        self.entries.insert(name, entry);
        Ok(evicted)
    }

    pub fn remove(&mut self, name: &Name) {
        if let Some(entry) = self.entries.remove(name) {
            self.remove_from_digest(name, &entry);
        }
    }

    /// Changes an entry and the digests with it; `None` if the name is unknown.
    pub fn modify<T>(&mut self, name: &Name, change: impl FnOnce(&mut Entry) -> T) -> Option<T> {
        let mut entry = self.entries.remove(name)?;
        self.remove_from_digest(name, &entry);
        let result = change(&mut entry);
        self.add_to_digest(name, &entry);
        self.entries.insert(name.clone(), entry);
        Some(result)
    }

    /// Mutable access to an entry, for changes that do not affect the digests: neither incarnation nor
    /// liveness.
    pub fn get_mut(&mut self, name: &Name) -> Option<&mut Entry> {
        self.entries.get_mut(name)
    }

    fn add_to_digest(&mut self, name: &Name, entry: &Entry) {
        if entry.is_live() {
            self.buckets[bucket_of(name)] ^= hash(name, entry.incarnation);
            self.live += 1;
        }
    }

    fn remove_from_digest(&mut self, name: &Name, entry: &Entry) {
        if entry.is_live() {
            self.buckets[bucket_of(name)] ^= hash(name, entry.incarnation);
            self.live -= 1;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn name(number: u8) -> Name {
        Name::new(&format!("m-{number}")).expect("a name")
    }

    fn entry(start: u64) -> Entry {
        Entry::new(
            Metadata::new("127.0.0.1:1".parse().expect("an address")),
            Incarnation::initial(start),
            start,
        )
    }

    proptest! {
        /// Whatever operations led to them, equal lists have equal digests and different lists have different
        /// ones.
        #[test]
        fn digests_differ_exactly_when_lists_differ(
            steps in proptest::collection::vec((0u8..12, 0u8..4, 1u64..4), 1..60)
        ) {
            let mut roster = Roster::new(64);
            for (number, operation, start) in steps {
                let name = name(number);
                match operation {
                    0 => drop(roster.get(&name).is_none().then(|| roster.insert(name, entry(start)))),
                    1 => roster.remove(&name),
                    2 => drop(roster.modify(&name, |entry| entry.state = State::Failed)),
                    _ => drop(roster.modify(&name, |entry| entry.incarnation.round += 1)),
                }
            }
            let mut rebuilt = Roster::new(64);
            for (name, entry) in roster.iter() {
                prop_assert!(rebuilt.insert(name.clone(), entry.clone()).is_ok());
            }
            prop_assert_eq!(rebuilt.digest(), roster.digest());
            prop_assert_eq!(rebuilt.live(), roster.iter().filter(|(_, entry)| entry.is_live()).count());
            let live = roster.iter().find(|(_, entry)| entry.is_live()).map(|(name, _)| name.clone());
            if let Some(live) = live {
                rebuilt.modify(&live, |entry| entry.incarnation.round += 1);
                prop_assert_ne!(rebuilt.digest(), roster.digest());
            }
        }
    }

    #[test]
    fn a_full_roster_evicts_only_failed_members() {
        let mut roster = Roster::new(3);
        for number in 0..3 {
            assert_eq!(roster.insert(name(number), entry(1)), Ok(None));
        }
        assert_eq!(roster.insert(name(3), entry(1)), Err(()));
        roster.modify(&name(1), |entry| entry.state = State::Failed);
        assert_eq!(roster.insert(name(3), entry(1)), Ok(Some(name(1))));
        assert_eq!(roster.iter().count(), 3);
    }
}
