//! The side of whoever wants a role, and has it.

use crate::lease_timing::LeaseTiming;
use crate::state_machine::{Command, ProcessInstance, Role, State};
use crate::Micros;
use std::collections::VecDeque;

/// Most asks that are remembered with when they were sent. One that comes to count after so many more gives nothing.
const MAX_REMEMBERED_REQUESTS: usize = 16;

/// A process's part in one role: asks for it, has it for as long as it surely may, asks again in time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseClient {
    role: Role,
    process: ProcessInstance,
    timing: LeaseTiming,
    next_request_id: u64,
    /// Numbers of what was asked, and when each was sent.
    requests: VecDeque<(u64, Micros)>,
    /// The lease that the log gave, and until when it holds.
    lease: Option<(u64, Micros)>,
    /// It gives the role up: it does nothing under this lease any more.
    released: Option<u64>,
}

impl LeaseClient {
    /// Of this life of a process, which has no part in the role yet and has never had: asks are numbered from one on, so a
    /// process that starts again must be another life, or an old ask would be taken for a new one.
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

    /// Its fence, if this process has the role at this moment. To be asked again each time before something is done
    /// under it.
    pub fn fencing_token(&self, now: Micros) -> Option<u64> {
        self.lease
            .filter(|(fencing_token, until)| now < *until && self.released != Some(*fencing_token))
            .map(|(fencing_token, _)| fencing_token)
    }

    /// Until when it has the role for sure, if nothing more comes.
    pub fn valid_until(&self) -> Option<Micros> {
        self.lease.filter(|(fencing_token, _)| self.released != Some(*fencing_token)).map(|(_, until)| until)
    }

    /// What to ask the log for, by what is known of it: the role where it is free, or more time. It is sent at this moment or
    /// never: time is counted from here.
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

    /// What to tell the log so that somebody else may have it. From here on it is not held.
    pub fn release(&mut self) -> Option<Command> {
        let (fencing_token, _) = self.lease?;
        self.released = Some(fencing_token);
        Some(Command::Release { role: self.role.clone(), fencing_token })
    }

    /// The log has gone on.
    pub fn observe(&mut self, state: &State) {
        let Some(granted) = state.leases().get(&self.role).filter(|granted| granted.holder == self.process)
        else {
            // It was taken back, or given up. By its own clock it was over before, or is not held.
            self.lease = None;
            return;
        };
        // An ask that is not known any more gives no time: it is asked for again.
        let sent_at = self
            .requests
            .iter()
            .find(|(request_id, _)| *request_id == granted.request_id)
            .map(|(_, sent_at)| *sent_at);
        let until = sent_at.map_or(0, |sent_at| sent_at.saturating_add(granted.timing.holder_duration()));
        match &mut self.lease {
            Some((fencing_token, known)) if *fencing_token == granted.fencing_token => {
                *known = until.max(*known)
            }
            lease => *lease = Some((granted.fencing_token, until)),
        }
        self.requests.retain(|(request_id, _)| *request_id >= granted.request_id);
    }
}
