//! How many keys several stores hold together: their bounds are one.

use crate::bounds::Bounds;
use crate::store::Cause;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

#[derive(Debug, Default)]
struct Held {
    all: usize,
    tenants: HashMap<Option<u32>, usize>,
}

/// Keys that several stores hold together. What a store held that has gone stays counted: nobody knows what became of
/// its keys.
#[derive(Debug, Default)]
pub struct Tally(Mutex<Held>);

impl Tally {
    /// One more of a tenant, if all hold less than these bounds together.
    ///
    /// # Errors
    /// Which bound is reached.
    pub(crate) fn add(&self, tenant: Option<u32>, bounds: &Bounds) -> Result<(), Cause> {
        // Whole whoever panicked: no step here can.
        let mut held = self.0.lock().unwrap_or_else(PoisonError::into_inner);
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

    /// One less.
    pub(crate) fn remove(&self, tenant: Option<u32>) {
        let mut held = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        held.all = held.all.saturating_sub(1);
        if let Some(own) = held.tenants.get_mut(&tenant) {
            *own -= 1;
            if *own == 0 {
                held.tenants.remove(&tenant);
            }
        }
    }
}
