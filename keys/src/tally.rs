//! What several stores hold together: their bounds are one.
//!
//! A store makes room from what it has itself. Where it has nothing that can go and another has, it *claims* one of the
//! other's: it may go one over the bound at once, and the other, when it is told, gives one up. So the bound is passed
//! by what is claimed and not yet given up, and a store is claimed no more than it could give. A tenant's own bound is
//! not met so: a store that has none of that tenant's to give up refuses.

use crate::bounds::Bounds;
use crate::store::Cause;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A store among those that share bounds, from 0.
pub type Sharer = usize;

#[derive(Debug, Default, PartialEq, Eq)]
struct Spare {
    /// Keys that could go.
    spare: usize,
    /// Those of them that are claimed.
    claimed: usize,
    /// Claims whose keys have gone by themselves, of which the store has not heard.
    settled: usize,
}

/// What stores could give up.
#[derive(Debug, Default)]
struct Spares(HashMap<Sharer, Spare>);

impl Spares {
    /// A store has so many that could go. How many claims are settled by that comes back: their keys have gone.
    fn set(&mut self, sharer: Sharer, spare: usize) -> usize {
        let at = self.0.entry(sharer).or_default();
        at.spare = spare;
        let gone = at.claimed.saturating_sub(spare);
        (at.claimed, at.settled) = (at.claimed - gone, at.settled + gone);
        self.tidy(sharer);
        gone
    }

    fn tidy(&mut self, sharer: Sharer) {
        if self.0.get(&sharer) == Some(&Spare::default()) {
            self.0.remove(&sharer);
        }
    }

    /// Claims one of the store that has most.
    fn claim(&mut self, but: Sharer) -> Option<Sharer> {
        let left = |(&sharer, at): (&Sharer, &Spare)| (at.spare.saturating_sub(at.claimed), sharer);
        let (left, sharer) = self.0.iter().map(left).filter(|&(_, sharer)| sharer != but).max()?;
        self.0.get_mut(&sharer).filter(|_| left > 0)?.claimed += 1;
        Some(sharer)
    }

    /// The store hears of a claim. `false`: its key has gone by itself.
    fn unclaim(&mut self, sharer: Sharer) -> bool {
        let Some(at) = self.0.get_mut(&sharer) else { return false };
        let stands = at.settled == 0 && at.claimed > 0;
        if stands {
            at.claimed -= 1;
        } else {
            at.settled = at.settled.saturating_sub(1);
        }
        self.tidy(sharer);
        stands
    }
}

#[derive(Debug, Default)]
struct Held {
    all: usize,
    bytes: usize,
    spares: Spares,
    tenants: HashMap<Option<u32>, usize>,
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
        let own = held.tenants.get(&tenant).copied().unwrap_or_default();
        if own >= bounds.entries_a_tenant {
            return Err(Cause::Tenant);
        }
        if held.all >= bounds.entries {
            return Err(Cause::Entries);
        }
        held.all += 1;
        held.tenants.insert(tenant, own + 1);
        Ok(())
    }

    /// One of another store is to go, so that the bound on all holds again. Which store, if any has one.
    pub(crate) fn claim(&self, me: Sharer) -> Option<Sharer> {
        let mut held = self.held();
        let sharer = held.spares.claim(me)?;
        // It is the other's no more, as far as the bound goes.
        held.all = held.all.saturating_sub(1);
        Some(sharer)
    }

    /// The store that was claimed hears of it: what it gives up now was counted. `false`: it has gone by itself.
    #[must_use]
    pub(crate) fn unclaim(&self, me: Sharer) -> bool {
        let mut held = self.held();
        let stands = held.spares.unclaim(me);
        held.all += usize::from(stands);
        stands
    }

    /// One less.
    pub(crate) fn remove(&self, tenant: Option<u32>) {
        let mut held = self.held();
        held.all = held.all.saturating_sub(1);
        if let Some(own) = held.tenants.get_mut(&tenant) {
            *own = own.saturating_sub(1);
            if *own == 0 {
                held.tenants.remove(&tenant);
            }
        }
    }

    /// A store has so many keys that could go.
    pub(crate) fn spare(&self, me: Sharer, spare: usize) {
        let mut held = self.held();
        // They were counted as gone when they were claimed, and are again now.
        held.all += held.spares.set(me, spare);
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
