//! Ids of calls that may have run and whose clients left before the answer. A request that comes again with such an id
//! must not run again.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, Hash, RandomState};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// How long an id is remembered. A client that has left comes again within its own time budget.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of ids; the oldest are forgotten first.
const MAX_IDS: usize = 8_192;

#[derive(Debug, Default)]
struct Remembered {
    /// By hash, when the id was last abandoned.
    at: HashMap<u64, Instant>,
    /// The hashes, oldest first. One that was abandoned again is in it twice.
    order: VecDeque<(Instant, u64)>,
}

impl Remembered {
    fn forget(&mut self, now: Instant) {
        while self.order.front().is_some_and(|(at, _)| self.order.len() > MAX_IDS || now >= *at + RETENTION) {
            if let Some((at, hash)) = self.order.pop_front() {
                if self.at.get(&hash) == Some(&at) {
                    self.at.remove(&hash);
                }
            }
        }
    }
}

#[derive(Debug, Default)]
struct Shared {
    hasher: RandomState,
    /// The number of remembered ids: mostly zero, so that no lock is needed.
    count: AtomicUsize,
    remembered: Mutex<Remembered>,
}

/// The abandoned ids of a process. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct AbandonedIds(Arc<Shared>);

impl AbandonedIds {
    fn lock(&self) -> MutexGuard<'_, Remembered> {
        self.0.remembered.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Remembers an id.
    pub fn insert(&self, id: &impl Hash, now: Instant) {
        let hash = self.0.hasher.hash_one(id);
        let mut remembered = self.lock();
        if remembered.at.insert(hash, now) != Some(now) {
            remembered.order.push_back((now, hash));
        }
        remembered.forget(now);
        self.0.count.store(remembered.at.len(), Ordering::Release);
    }

    /// Whether a call with this id was abandoned a short time ago.
    pub fn contains(&self, id: &impl Hash, now: Instant) -> bool {
        if self.0.count.load(Ordering::Acquire) == 0 {
            return false;
        }
        let hash = self.0.hasher.hash_one(id);
        let mut remembered = self.lock();
        remembered.forget(now);
        self.0.count.store(remembered.at.len(), Ordering::Release);
        remembered.at.contains_key(&hash)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_id_is_remembered_for_its_time() {
        let (ids, start) = (AbandonedIds::default(), Instant::now());
        assert!(!ids.contains(&"a", start));
        ids.insert(&"a", start);
        let almost = start + RETENTION - Duration::from_millis(1);
        assert!(ids.clone().contains(&"a", almost) && !ids.contains(&"b", almost));
        ids.insert(&"a", almost);
        assert!(ids.contains(&"a", start + RETENTION), "abandoned again");
        assert!(!ids.contains(&"a", almost + RETENTION));
        assert!(ids.lock().order.is_empty());
    }

    /// The number of ids is bounded, however fast they come.
    #[test]
    fn the_oldest_ids_are_forgotten_at_the_limit() {
        let (ids, now) = (AbandonedIds::default(), Instant::now());
        for id in 0..=MAX_IDS {
            ids.insert(&id, now);
        }
        assert!(!ids.contains(&0_usize, now) && ids.contains(&1_usize, now) && ids.contains(&MAX_IDS, now));
        for _ in 0..=2 * MAX_IDS {
            ids.insert(&"same", now);
        }
        assert!(ids.lock().order.len() <= MAX_IDS && ids.contains(&"same", now));
    }
}
