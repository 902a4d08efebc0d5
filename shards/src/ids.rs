//! The ids of all open calls of the process: hosts would take two calls of one id for one.

use siphasher::sip128::{Hasher128, SipHasher13};
use std::collections::HashSet;
use std::hash::Hash;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Parts under a lock each: with so many, two shards seldom meet in one.
const PARTITIONS: usize = 64;

/// Open ids, as hashes of 128 bits under a seed: two that differ are taken for one with a chance of 2^-128 a pair.
/// Bounded by what is open.
#[derive(Debug)]
pub struct OpenIds {
    seed: (u64, u64),
    partitions: Box<[Mutex<HashSet<u128>>]>,
}

impl OpenIds {
    /// None yet.
    pub fn new(seed: u64) -> OpenIds {
        let partitions = (0..PARTITIONS).map(|_| Mutex::default()).collect();
        OpenIds { seed: (seed, seed.rotate_left(32) ^ 0x6964), partitions }
    }

    fn partition(&self, id: &impl Hash) -> (u128, MutexGuard<'_, HashSet<u128>>) {
        let mut hasher = SipHasher13::new_with_keys(self.seed.0, self.seed.1);
        id.hash(&mut hasher);
        let hash = hasher.finish128().as_u128();
        // A set is whole whoever panicked: its operations are single.
        let partition =
            self.partitions[hash as usize % PARTITIONS].lock().unwrap_or_else(PoisonError::into_inner);
        (hash, partition)
    }

    /// Opens an id. `false`: it is open already.
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
            // A burst's size is not kept.
            partition.shrink_to(256);
        }
    }

    /// How many are open.
    pub fn len(&self) -> usize {
        self.partitions
            .iter()
            .map(|partition| partition.lock().unwrap_or_else(PoisonError::into_inner).len())
            .sum()
    }

    /// Whether none is open.
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
