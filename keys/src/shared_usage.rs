//! Usage that several stores count together, since they share one set of bounds.
//!
//! A store makes room by evicting entries of its own. If it has none that may be evicted and another store has, it
//! *requests an eviction* there: the requesting store may add its key at once, and the other store evicts one when it
//! handles the request. So the bound on keys is exceeded by at most the number of pending eviction requests, and no
//! store is asked for more evictions than it can perform. The bound per tenant is not enforced in this way: a store
//! that has no evictable key of the tenant refuses the request.

use crate::bounds::Bounds;
use crate::store::FullBound;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The number of a store among those that share bounds, from 0.
pub type StoreId = usize;

/// What one store could evict for others.
#[derive(Debug, Default, PartialEq, Eq)]
struct EvictableKeys {
    /// Keys that may be evicted.
    evictable: usize,
    /// Pending eviction requests against these keys.
    requested: usize,
    /// Requests whose key was already removed for another reason, and which the store has not handled yet.
    already_removed: usize,
}

/// What each store could evict for others.
#[derive(Debug, Default)]
struct EvictableByStore(HashMap<StoreId, EvictableKeys>);

impl EvictableByStore {
    /// Sets how many keys a store may evict. Returns how many pending requests this satisfies, since their keys have
    /// been removed.
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

    /// Requests an eviction from the store other than `requester` that has the most unrequested evictable keys.
    fn request(&mut self, requester: StoreId) -> Option<StoreId> {
        let unrequested = |(&store, keys): (&StoreId, &EvictableKeys)| {
            (keys.evictable.saturating_sub(keys.requested), store)
        };
        let (available, store) =
            self.0.iter().map(unrequested).filter(|&(_, store)| store != requester).max()?;
        self.0.get_mut(&store).filter(|_| available > 0)?.requested += 1;
        Some(store)
    }

    /// A store handles an eviction request. `false`: the requested key was already removed for another reason.
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

/// Usage that several stores count together. Keys of a store that no longer exists stay counted, since their outcome is
/// unknown.
#[derive(Debug, Default)]
pub struct SharedUsage(Mutex<Usage>);

impl SharedUsage {
    /// Ignores poisoning: everything under the lock changes in single steps, so a panic leaves it consistent.
    fn lock(&self) -> MutexGuard<'_, Usage> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of keys in all stores.
    pub fn keys(&self) -> usize {
        self.lock().keys
    }

    /// Adds a key of a tenant, if all stores together hold less than these bounds.
    ///
    /// # Errors
    /// The bound that is reached.
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

    /// Requests that another store evict a key, so that the total stays within the bound. Returns that store; `None`
    /// if no other store has an evictable key.
    pub(crate) fn request_eviction(&self, requester: StoreId) -> Option<StoreId> {
        let mut usage = self.lock();
        let store = usage.evictable.request(requester)?;
        // The requested key no longer counts towards the bound.
        usage.keys = usage.keys.saturating_sub(1);
        Some(store)
    }

    /// A store handles an eviction request: the key that it evicts next was already subtracted, and is counted again
    /// here. `false`: the requested key was already removed for another reason, and there is nothing to evict.
    #[must_use]
    pub(crate) fn take_eviction_request(&self, store: StoreId) -> bool {
        let mut usage = self.lock();
        let is_pending = usage.evictable.take_request(store);
        usage.keys += usize::from(is_pending);
        is_pending
    }

    /// Removes a key of a tenant.
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

    /// Sets how many keys a store may evict.
    pub(crate) fn set_evictable(&self, store: StoreId, evictable: usize) {
        let mut usage = self.lock();
        // Requested keys that are removed for another reason are subtracted twice: by the request and by the removal.
        usage.keys += usage.evictable.set(store, evictable);
    }

    /// Reserves bytes for an answer; `false` if all stores together would hold more than `max`.
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
