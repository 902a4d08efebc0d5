//! What several stores hold together: their bounds are one.
//!
//! A store makes room from what it has itself. Where it has nothing that can go and another has, it *claims* one of the
//! other's: it may go one over the bound at once, and the other, when it is told, gives one up. So the bound is passed
//! by what is claimed and not yet given up, and a store is claimed no more than it could give. A tenant's own bound is
//! not met so: a store that has none of that tenant's to give up refuses.

use crate::bounds::Bounds;
use crate::store::FullBound;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A store among those that share bounds, from 0.
pub type StoreId = usize;

#[derive(Debug, Default, PartialEq, Eq)]
struct EvictableKeys {
    /// Keys that could go.
    evictable: usize,
    /// Those of them that are claimed.
    requested: usize,
    /// Claims whose keys have gone by themselves, of which the store has not heard.
    already_removed: usize,
}

/// What stores could give up.
#[derive(Debug, Default)]
struct EvictableByStore(HashMap<StoreId, EvictableKeys>);

impl EvictableByStore {
    /// A store has so many that could go. How many claims are settled by that comes back: their keys have gone.
    fn set(&mut self, store: StoreId, evictable: usize) -> usize {
        let keys = self.0.entry(store).or_default();
        keys.evictable = evictable;
        let removed = keys.requested.saturating_sub(evictable);
        (keys.requested, keys.already_removed) = (keys.requested - removed, keys.already_removed + removed);
        self.remove_if_default(store);
        removed
    }

    fn remove_if_default(&mut self, store: StoreId) {
        if self.0.get(&store) == Some(&EvictableKeys::default()) {
            self.0.remove(&store);
        }
    }

    /// Claims one of the store that has most.
    fn request(&mut self, requester: StoreId) -> Option<StoreId> {
        let unrequested = |(&store, keys): (&StoreId, &EvictableKeys)| {
            (keys.evictable.saturating_sub(keys.requested), store)
        };
        let (available, store) =
            self.0.iter().map(unrequested).filter(|&(_, store)| store != requester).max()?;
        self.0.get_mut(&store).filter(|_| available > 0)?.requested += 1;
        Some(store)
    }

    /// The store hears of a claim. `false`: its key has gone by itself.
    fn take_request(&mut self, store: StoreId) -> bool {
        let Some(keys) = self.0.get_mut(&store) else { return false };
        let is_pending = keys.already_removed == 0 && keys.requested > 0;
        if is_pending {
            keys.requested -= 1;
        } else {
            keys.already_removed = keys.already_removed.saturating_sub(1);
        }
        self.remove_if_default(store);
        is_pending
    }
}

#[derive(Debug, Default)]
struct Usage {
    keys: usize,
    answer_bytes: usize,
    evictable: EvictableByStore,
    keys_by_tenant: HashMap<Option<u32>, usize>,
}

/// What several stores hold together. What a store held that has gone stays counted: nobody knows what became of its
/// keys.
#[derive(Debug, Default)]
pub struct SharedUsage(Mutex<Usage>);

impl SharedUsage {
    /// Whole whoever panicked: what is under it changes in single steps.
    fn lock(&self) -> MutexGuard<'_, Usage> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keys that all hold.
    pub fn keys(&self) -> usize {
        self.lock().keys
    }

    /// One more of a tenant, if all hold less than these bounds together.
    ///
    /// # Errors
    /// Which bound is reached.
    pub(crate) fn add(&self, tenant: Option<u32>, bounds: &Bounds) -> Result<(), FullBound> {
        let mut usage = self.lock();
        let tenant_keys = usage.keys_by_tenant.get(&tenant).copied().unwrap_or_default();
        if tenant_keys >= bounds.entries_per_tenant {
            return Err(FullBound::Tenant);
        }
        if usage.keys >= bounds.entries {
            return Err(FullBound::Entries);
        }
        usage.keys += 1;
        usage.keys_by_tenant.insert(tenant, tenant_keys + 1);
        Ok(())
    }

    /// One of another store is to go, so that the bound on all holds again. Which store, if any has one.
    pub(crate) fn request_eviction(&self, requester: StoreId) -> Option<StoreId> {
        let mut usage = self.lock();
        let store = usage.evictable.request(requester)?;
        // It is the other's no more, as far as the bound goes.
        usage.keys = usage.keys.saturating_sub(1);
        Some(store)
    }

    /// The store that was claimed hears of it: what it gives up now was counted. `false`: it has gone by itself.
    #[must_use]
    pub(crate) fn take_eviction_request(&self, store: StoreId) -> bool {
        let mut usage = self.lock();
        let is_pending = usage.evictable.take_request(store);
        usage.keys += usize::from(is_pending);
        is_pending
    }

    /// One less.
    pub(crate) fn remove(&self, tenant: Option<u32>) {
        let mut usage = self.lock();
        usage.keys = usage.keys.saturating_sub(1);
        if let Some(tenant_keys) = usage.keys_by_tenant.get_mut(&tenant) {
            *tenant_keys = tenant_keys.saturating_sub(1);
            if *tenant_keys == 0 {
                usage.keys_by_tenant.remove(&tenant);
            }
        }
    }

    /// A store has so many keys that could go.
    pub(crate) fn set_evictable(&self, store: StoreId, evictable: usize) {
        let mut usage = self.lock();
        // They were counted as gone when they were claimed, and are again now.
        usage.keys += usage.evictable.set(store, evictable);
    }

    /// Room for so many bytes of answers; `false`: all hold too many.
    pub(crate) fn add_bytes(&self, bytes: usize, max: usize) -> bool {
        let mut usage = self.lock();
        let fits = usage.answer_bytes + bytes <= max;
        usage.answer_bytes += if fits { bytes } else { 0 };
        fits
    }

    pub(crate) fn remove_bytes(&self, bytes: usize) {
        let mut usage = self.lock();
        usage.answer_bytes = usage.answer_bytes.saturating_sub(bytes);
    }
}
