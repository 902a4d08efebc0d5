//! The side of whoever wants a role, and has it.

use crate::machine::{Command, Life, Role, State};
use crate::terms::Terms;
use crate::Micros;
use std::collections::VecDeque;

/// Most asks that are remembered with when they were sent. One that comes to count after so many more gives nothing.
const ASKS_MOST: usize = 16;

/// A process's part in one role: asks for it, has it for as long as it surely may, asks again in time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    role: Role,
    own: Life,
    terms: Terms,
    next_ask: u64,
    /// Numbers of what was asked, and when each was sent.
    asks: VecDeque<(u64, Micros)>,
    /// The lease that the log gave, and until when it holds.
    lease: Option<(u64, Micros)>,
    /// It gives the role up: it does nothing under this lease any more.
    gives_up: Option<u64>,
}

impl Holder {
    /// Of this life of a process, which has no part in the role yet and has never had: asks are numbered from one on, so a
    /// process that starts again must be another life, or an old ask would be taken for a new one.
    pub fn new(role: Role, own: Life, terms: Terms) -> Holder {
        Holder { role, own, terms, next_ask: 1, asks: VecDeque::new(), lease: None, gives_up: None }
    }

    /// Its fence, if this process has the role at this moment. To be asked again each time before something is done
    /// under it.
    pub fn holds(&self, now: Micros) -> Option<u64> {
        self.lease
            .filter(|(fence, until)| now < *until && self.gives_up != Some(*fence))
            .map(|(fence, _)| fence)
    }

    /// Until when it has the role for sure, if nothing more comes.
    pub fn until(&self) -> Option<Micros> {
        self.lease.filter(|(fence, _)| self.gives_up != Some(*fence)).map(|(_, until)| until)
    }

    /// What to ask the log for, by what is known of it: the role where it is free, or more time. It is sent at this moment or
    /// never: time is counted from here.
    pub fn ask(&mut self, now: Micros, state: &State) -> Option<Command> {
        if !state.is_member(&self.own) {
            return None;
        }
        let fence = match state.roles().get(&self.role) {
            Some(held) if held.by == self.own && self.gives_up != Some(held.fence) => Some(held.fence),
            Some(_) => return None,
            None => None,
        };
        let ask = self.next_ask;
        self.next_ask += 1;
        self.asks.push_back((ask, now));
        if self.asks.len() > ASKS_MOST {
            self.asks.pop_front();
        }
        let role = self.role.clone();
        Some(match fence {
            Some(fence) => Command::Renew { role, fence, ask },
            None => Command::Grant { role, to: self.own.clone(), ask, terms: self.terms },
        })
    }

    /// What to tell the log so that somebody else may have it. From here on it is not held.
    pub fn give_up(&mut self) -> Option<Command> {
        let (fence, _) = self.lease?;
        self.gives_up = Some(fence);
        Some(Command::Release { role: self.role.clone(), fence })
    }

    /// The log has gone on.
    pub fn heed(&mut self, state: &State) {
        let Some(held) = state.roles().get(&self.role).filter(|held| held.by == self.own) else {
            // It was taken back, or given up. By its own clock it was over before, or is not held.
            self.lease = None;
            return;
        };
        // An ask that is not known any more gives no time: it is asked for again.
        let sent = self.asks.iter().find(|(ask, _)| *ask == held.ask).map(|(_, sent)| *sent);
        let until = sent.map_or(0, |sent| sent.saturating_add(held.terms.held_for()));
        match &mut self.lease {
            Some((fence, known)) if *fence == held.fence => *known = until.max(*known),
            lease => *lease = Some((held.fence, until)),
        }
        self.asks.retain(|(ask, _)| *ask >= held.ask);
    }
}
