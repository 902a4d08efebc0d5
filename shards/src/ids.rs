//! The ids of all open calls of the process. Hosts treat two calls with the same id as one, so an id may be open only
//! once.

use siphasher::sip128::{Hasher128, SipHasher13};
use std::collections::HashSet;
use std::hash::Hash;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Number of partitions with a lock each: with this many, two shards rarely contend for one.
const PARTITIONS: usize = 64;

/// The open ids, as seeded 128-bit hashes: two different ids collide with a probability of 2^-128. The size is bounded by
/// the number of open calls.
#[derive(Debug)]
pub struct OpenIds {
    seed: (u64, u64),
    partitions: Box<[Mutex<HashSet<u128>>]>,
}

impl OpenIds {
    /// No open ids yet.
    pub fn new(seed: u64) -> OpenIds {
        let partitions = (0..PARTITIONS).map(|_| Mutex::default()).collect();
        OpenIds { seed: (seed, seed.rotate_left(32) ^ 0x6964), partitions }
    }

    fn partition(&self, id: &impl Hash) -> (u128, MutexGuard<'_, HashSet<u128>>) {
        let mut hasher = SipHasher13::new_with_keys(self.seed.0, self.seed.1);
        id.hash(&mut hasher);
        let hash = hasher.finish128().as_u128();
        // Poisoning is ignored: each change of the set is a single operation, so a panic leaves it consistent.
        let partition =
            self.partitions[hash as usize % PARTITIONS].lock().unwrap_or_else(PoisonError::into_inner);
        (hash, partition)
    }

    /// Opens an id. `false`: it is already open.
    #[must_use]
    pub fn open(&self, id: &impl Hash) -> bool {
        let (hash, mut partition) = self.partition(id);
        partition.insert(hash)
    }

    /// Closes an id.
    pub fn close(&self, id: &impl Hash) {
        let (hash, mut partition) = self.partition(id);
        partition.remove(&hash);
        if partition.is_empty() {
            // Releases the memory that a burst of calls needed.
            partition.shrink_to(256);
        }
    }

    /// Number of open ids.
    pub fn len(&self) -> usize {
        self.partitions
            .iter()
            .map(|partition| partition.lock().unwrap_or_else(PoisonError::into_inner).len())
            .sum()
    }

    /// Whether no id is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_id_can_be_open_only_once() {
        let ids = OpenIds::new(5);
        assert!(ids.open(&"a") && ids.open(&"b") && !ids.open(&"a"));
        ids.close(&"a");
        assert!(ids.open(&"a"));
        assert_eq!(ids.len(), 2);
    }
}
