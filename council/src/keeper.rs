//! The side of whoever leads the log: takes roles back whose holders' time is surely over.

use crate::machine::{Command, Role, State};
use crate::Micros;
use std::collections::BTreeMap;

/// What the leader has seen of leases, and since when.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Keeper {
    seen: BTreeMap<Role, Seen>,
    leads: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Seen {
    fence: u64,
    ask: u64,
    since: Micros,
}

impl Keeper {
    /// The log has gone on, or this process has begun or ceased to lead. A leader says so only once it has applied all that
    /// was in the log when it began: what it has not seen it would count too short.
    pub fn heed(&mut self, now: Micros, state: &State, leads: bool) {
        if !leads || !self.leads {
            // What was seen before, by another or by itself, may have gone on meanwhile.
            self.seen.clear();
        }
        self.leads = leads;
        if !leads {
            return;
        }
        self.seen.retain(|role, _| state.roles().contains_key(role));
        for (role, held) in state.roles() {
            let fresh = Seen { fence: held.fence, ask: held.ask, since: now };
            match self.seen.get_mut(role) {
                Some(seen) if (seen.fence, seen.ask) == (held.fence, held.ask) => {}
                Some(seen) => *seen = fresh,
                None => drop(self.seen.insert(role.clone(), fresh)),
            }
        }
    }

    /// What is to be taken back at this moment. It may be asked again for as long as the log has not taken it.
    pub fn due(&self, now: Micros, state: &State) -> Vec<Command> {
        let over = self.seen.iter().filter(|(role, seen)| {
            let kept_for = state.roles().get(role).map(|held| held.terms.kept_for());
            kept_for.is_some_and(|kept_for| now.saturating_sub(seen.since) >= kept_for)
        });
        let expire = |(role, seen): (&Role, &Seen)| Command::Expire {
            role: role.clone(),
            fence: seen.fence,
            ask: seen.ask,
        };
        over.map(expire).collect()
    }

    /// When something is due next; `None`: nothing is held, or this process does not lead.
    pub fn next_at(&self, state: &State) -> Option<Micros> {
        let at = |(role, seen): (&Role, &Seen)| {
            state.roles().get(role).map(|held| seen.since.saturating_add(held.terms.kept_for()))
        };
        self.seen.iter().filter_map(at).min()
    }
}
