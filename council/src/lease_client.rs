//! The holder's side of leases: requests the lease of a role, renews it, and tells whether it is still valid.

use crate::lease_timing::LeaseTiming;
use crate::state_machine::{Command, ProcessInstance, Role, State};
use crate::Micros;
use std::collections::VecDeque;

/// Requests whose time of sending is remembered. If the log applies a request older than these, it does not
/// extend the lease.
const MAX_REMEMBERED_REQUESTS: usize = 16;

/// One process's client for the lease of one role. It counts the lease as valid only while that is certain by
/// its own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseClient {
    role: Role,
    process: ProcessInstance,
    timing: LeaseTiming,
    next_request_id: u64,
    /// Numbers of the requests that were sent, and when each was sent.
    requests: VecDeque<(u64, Micros)>,
    /// The fencing token of the lease that the log granted, and until when the lease is valid.
    lease: Option<(u64, Micros)>,
    /// The fencing token of a lease that was released: nothing more may be done under it.
    released: Option<u64>,
}

impl LeaseClient {
    /// A client without a lease. Requests are numbered from 1, so a restarted process needs a new
    /// [`ProcessInstance`]: otherwise a request from before the restart could be mistaken for a new one.
    pub fn new(role: Role, process: ProcessInstance, timing: LeaseTiming) -> LeaseClient {
        LeaseClient {
            role,
            process,
            timing,
            next_request_id: 1,
            requests: VecDeque::new(),
            lease: None,
            released: None,
        }
    }

    /// The fencing token if the lease is valid at `now`. To be called each time before something is done
    /// under the lease.
    pub fn fencing_token(&self, now: Micros) -> Option<u64> {
        self.lease
            .filter(|(fencing_token, until)| now < *until && self.released != Some(*fencing_token))
            .map(|(fencing_token, _)| fencing_token)
    }

    /// Until when the lease is valid if it is not renewed; `None` without a lease.
    pub fn valid_until(&self) -> Option<Micros> {
        self.lease.filter(|(fencing_token, _)| self.released != Some(*fencing_token)).map(|(_, until)| until)
    }

    /// The command to propose: a grant if the role is free in `state`, or a renewal if this process holds it;
    /// `None` if another process holds it or this one is not a member. The command must be sent at `now` or
    /// not at all, since the lease is timed from that moment.
    pub fn request_lease(&mut self, now: Micros, state: &State) -> Option<Command> {
        if !state.is_member(&self.process) {
            return None;
        }
        let fencing_token = match state.leases().get(&self.role) {
            Some(granted)
                if granted.holder == self.process && self.released != Some(granted.fencing_token) =>
            {
                Some(granted.fencing_token)
            }
            Some(_) => return None,
            None => None,
        };
        let request_id = self.next_request_id;
        self.next_request_id += 1;
        self.requests.push_back((request_id, now));
        if self.requests.len() > MAX_REMEMBERED_REQUESTS {
            self.requests.pop_front();
        }
        let role = self.role.clone();
        Some(match fencing_token {
            Some(fencing_token) => Command::Renew { role, fencing_token, request_id },
            None => Command::Grant { role, holder: self.process.clone(), request_id, timing: self.timing },
        })
    }

    /// The command that releases the lease, so that another process may acquire the role. The lease counts as
    /// invalid from this call on.
    pub fn release(&mut self) -> Option<Command> {
        let (fencing_token, _) = self.lease?;
        self.released = Some(fencing_token);
        Some(Command::Release { role: self.role.clone(), fencing_token })
    }

    /// To be called after each change of the state.
    pub fn observe(&mut self, state: &State) {
        let Some(granted) = state.leases().get(&self.role).filter(|granted| granted.holder == self.process)
        else {
            // The lease was expired or released. By this process's clock it was over before that, or had been
            // released.
            self.lease = None;
            return;
        };
        // A request that is no longer remembered does not extend the lease; the lease is requested again.
        let sent_at = self
            .requests
            .iter()
            .find(|(request_id, _)| *request_id == granted.request_id)
            .map(|(_, sent_at)| *sent_at);
        let until = sent_at.map_or(0, |sent_at| sent_at.saturating_add(granted.timing.holder_duration()));
        match &mut self.lease {
            Some((fencing_token, previous)) if *fencing_token == granted.fencing_token => {
                *previous = until.max(*previous)
            }
            lease => *lease = Some((granted.fencing_token, until)),
        }
        self.requests.retain(|(request_id, _)| *request_id >= granted.request_id);
    }
}
