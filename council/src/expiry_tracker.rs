//! The leader's side of leases: decides when a lease that was not renewed has expired for certain.

use crate::state_machine::{Command, Role, State};
use crate::Micros;
use std::collections::BTreeMap;

/// The leases that the leader of the log has observed, and since when. Every replica has one; it is active
/// only while the replica leads.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ExpiryTracker {
    observed: BTreeMap<Role, ObservedLease>,
    is_leader: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ObservedLease {
    fencing_token: u64,
    request_id: u64,
    since: Micros,
}

impl ExpiryTracker {
    /// To be called after each change of the state and of leadership. A replica may pass `is_leader` as true
    /// only once it has applied every entry that was in the log when it was elected: a lease in an entry that
    /// it had not applied would be timed from too early a moment.
    pub fn observe(&mut self, now: Micros, state: &State, is_leader: bool) {
        if !is_leader || !self.is_leader {
            // Leases observed earlier, under another leader or this one, may have been renewed in the
            // meantime.
            self.observed.clear();
        }
        self.is_leader = is_leader;
        if !is_leader {
            return;
        }
        self.observed.retain(|role, _| state.leases().contains_key(role));
        for (role, lease) in state.leases() {
            let current = ObservedLease {
                fencing_token: lease.fencing_token,
                request_id: lease.request_id,
                since: now,
            };
            match self.observed.get_mut(role) {
                Some(observed)
                    if (observed.fencing_token, observed.request_id)
                        == (lease.fencing_token, lease.request_id) => {}
                Some(observed) => *observed = current,
                None => drop(self.observed.insert(role.clone(), current)),
            }
        }
    }

    /// The commands that expire, at `now`, the leases that were not renewed in time. They are returned again
    /// at each call until the log has applied them.
    pub fn expire_commands(&self, now: Micros, state: &State) -> Vec<Command> {
        let expired = self.observed.iter().filter(|(role, observed)| {
            let expiry_delay = state.leases().get(role).map(|lease| lease.timing.expiry_delay());
            expiry_delay.is_some_and(|expiry_delay| now.saturating_sub(observed.since) >= expiry_delay)
        });
        let expire = |(role, observed): (&Role, &ObservedLease)| Command::Expire {
            role: role.clone(),
            fencing_token: observed.fencing_token,
            request_id: observed.request_id,
        };
        expired.map(expire).collect()
    }

    /// When the next lease expires; `None` if there is no lease or this replica does not lead.
    pub fn next_expiry(&self, state: &State) -> Option<Micros> {
        let expiry = |(role, observed): (&Role, &ObservedLease)| {
            state.leases().get(role).map(|lease| observed.since.saturating_add(lease.timing.expiry_delay()))
        };
        self.observed.iter().filter_map(expiry).min()
    }
}
