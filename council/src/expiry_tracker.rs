//! The side of whoever leads the log: takes roles back whose holders' time is surely over.

use crate::state_machine::{Command, Role, State};
use crate::Micros;
use std::collections::BTreeMap;

/// What the leader has seen of leases, and since when.
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
    /// The log has gone on, or this process has begun or ceased to lead. A leader says so only once it has applied all that
    /// was in the log when it began: what it has not seen it would count too short.
    pub fn observe(&mut self, now: Micros, state: &State, is_leader: bool) {
        if !is_leader || !self.is_leader {
            // What was seen before, by another or by itself, may have gone on meanwhile.
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

    /// What is to be taken back at this moment. It may be asked again for as long as the log has not taken it.
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

    /// When something is due next; `None`: nothing is held, or this process does not lead.
    pub fn next_expiry(&self, state: &State) -> Option<Micros> {
        let expiry = |(role, observed): (&Role, &ObservedLease)| {
            state.leases().get(role).map(|lease| observed.since.saturating_add(lease.timing.expiry_delay()))
        };
        self.observed.iter().filter_map(expiry).min()
    }
}
