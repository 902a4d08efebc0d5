//! What several stores hold together: their bounds are one.
//!
//! A store makes room from what it has itself. Where it has nothing that can go and another has, it *claims* one of the
//! other's: it may go one over the bound at once, and the other, when it is told, gives one up. So the bound is passed
//! by what is claimed and not yet given up, and a store is claimed no more than it could give.

use crate::bounds::Bounds;
use crate::store::Cause;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A store among those that share bounds, from 0.
pub type Sharer = usize;

/// What one store is to give up for another: a key of this tenant (`Some`), or of any.
pub type Claimed = Option<Option<u32>>;

/// Keys that could go, and those of them that are claimed, by store.
#[derive(Debug, Default)]
struct Spares(HashMap<Sharer, (usize, usize)>);

impl Spares {
    fn set(&mut self, sharer: Sharer, spare: usize) {
        let at = self.0.entry(sharer).or_default();
        at.0 = spare;
        if *at == (0, 0) {
            self.0.remove(&sharer);
        }
    }

    /// Claims one of the store that has most.
    fn claim(&mut self, but: Sharer) -> Option<Sharer> {
        let left = |(&sharer, &(spare, claimed)): (&Sharer, &(usize, usize))| {
            (spare.saturating_sub(claimed), sharer)
        };
        let (left, sharer) = self.0.iter().map(left).filter(|&(_, sharer)| sharer != but).max()?;
        self.0.get_mut(&sharer).filter(|_| left > 0)?.1 += 1;
        Some(sharer)
    }

    fn unclaim(&mut self, sharer: Sharer) {
        if let Some((spare, claimed)) = self.0.get_mut(&sharer) {
            *claimed = claimed.saturating_sub(1);
            if (*spare, *claimed) == (0, 0) {
                self.0.remove(&sharer);
            }
        }
    }
}

#[derive(Debug, Default)]
struct Held {
    all: usize,
    bytes: usize,
    spares: Spares,
    tenants: HashMap<Option<u32>, (usize, Spares)>,
}

/// What several stores hold together. What a store held that has gone stays counted: nobody knows what became of its
/// keys.
#[derive(Debug, Default)]
pub struct Tally(Mutex<Held>);

impl Tally {
    /// Whole whoever panicked: what is under it changes in single steps.
    fn held(&self) -> MutexGuard<'_, Held> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keys that all hold.
    pub fn keys(&self) -> usize {
        self.held().all
    }

    /// One more of a tenant, if all hold less than these bounds together.
    ///
    /// # Errors
    /// Which bound is reached.
    pub(crate) fn add(&self, tenant: Option<u32>, bounds: &Bounds) -> Result<(), Cause> {
        let mut held = self.held();
        let own = held.tenants.get(&tenant).map_or(0, |(own, _)| *own);
        if own >= bounds.entries_a_tenant {
            return Err(Cause::Tenant);
        }
        if held.all >= bounds.entries {
            return Err(Cause::Entries);
        }
        held.all += 1;
        held.tenants.entry(tenant).or_default().0 += 1;
        Ok(())
    }

    /// One of another store is to go, so that this bound holds again. Which store, if any has one.
    pub(crate) fn claim(&self, me: Sharer, cause: Cause, tenant: Option<u32>) -> Option<(Sharer, Claimed)> {
        let mut held = self.held();
        let claimed = match cause {
            Cause::Tenant => {
                let sharer = held.tenants.get_mut(&tenant)?.1.claim(me)?;
                (sharer, Some(tenant))
            }
            _ => (held.spares.claim(me)?, None),
        };
        // It is another's no more, as far as bounds go.
        held.all = held.all.saturating_sub(1);
        if let Some((own, _)) = claimed.1.and_then(|tenant| held.tenants.get_mut(&tenant)) {
            *own = own.saturating_sub(1);
        }
        Some(claimed)
    }

    /// The store that was claimed hears of it: what it gives up now was counted.
    pub(crate) fn unclaim(&self, me: Sharer, claimed: Claimed) {
        let mut held = self.held();
        held.all += 1;
        match claimed {
            None => held.spares.unclaim(me),
            Some(tenant) => {
                let (own, spares) = held.tenants.entry(tenant).or_default();
                *own += 1;
                spares.unclaim(me);
            }
        }
    }

    /// One less.
    pub(crate) fn remove(&self, tenant: Option<u32>) {
        let mut held = self.held();
        held.all = held.all.saturating_sub(1);
        if let Some((own, spares)) = held.tenants.get_mut(&tenant) {
            *own = own.saturating_sub(1);
            if *own == 0 && spares.0.is_empty() {
                held.tenants.remove(&tenant);
            }
        }
    }

    /// A store has so many keys that could go, and so many of this tenant.
    pub(crate) fn spare(&self, me: Sharer, all: usize, tenant: Option<u32>, of_tenant: usize) {
        let mut held = self.held();
        held.spares.set(me, all);
        if let Some((own, spares)) = held.tenants.get_mut(&tenant) {
            spares.set(me, of_tenant);
            if *own == 0 && spares.0.is_empty() {
                held.tenants.remove(&tenant);
            }
        }
    }

    /// Room for so many bytes of answers; `false`: all hold too many.
    pub(crate) fn add_bytes(&self, bytes: usize, most: usize) -> bool {
        let mut held = self.held();
        let room = held.bytes + bytes <= most;
        held.bytes += if room { bytes } else { 0 };
        room
    }

    pub(crate) fn remove_bytes(&self, bytes: usize) {
        let mut held = self.held();
        held.bytes = held.bytes.saturating_sub(bytes);
    }
}
