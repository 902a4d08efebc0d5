//! The machine: what the log's commands come to. Each process that applies the same log has the same state.

use crate::terms::Terms;
use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Longest name of a role and of a zone, in bytes.
const TEXT_MOST: usize = 48;

/// A process in one of its lives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life {
    /// Its name.
    pub name: Name,
    /// Its start; a later life has a greater one.
    pub start: u64,
}

/// What a right is called: 1 to 48 bytes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Role(pub String);

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What the log holds. Any of them may come twice, late, or never.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A process is a member in good standing; its earlier life is no more.
    Admit {
        /// Which.
        who: Life,
        /// Its zone.
        zone: String,
    },
    /// A process is none any more.
    Dismiss {
        /// Which.
        who: Life,
    },
    /// Somebody asks for a role that is free.
    Grant {
        /// Which.
        role: Role,
        /// Who.
        to: Life,
        /// The asker's number for this; each of its later ones is greater.
        ask: u64,
        /// For how long.
        terms: Terms,
    },
    /// Its holder asks to have it for as long again.
    Renew {
        /// Which.
        role: Role,
        /// Under which lease.
        fence: u64,
        /// The asker's number for this.
        ask: u64,
    },
    /// Its holder gives it up: it does nothing under it any more.
    Release {
        /// Which.
        role: Role,
        /// Under which lease.
        fence: u64,
    },
    /// Whoever leads the log has waited for its holder's time to be over.
    Expire {
        /// Which.
        role: Role,
        /// Under which lease.
        fence: u64,
        /// The last that was seen of it: one that came later keeps it.
        ask: u64,
    },
}

/// Why a command changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// A later life is known, or this one is a member already.
    Known,
    /// The process is no member in good standing.
    NoMember,
    /// Somebody has the role.
    Taken,
    /// Nobody has it under that lease.
    NoLease,
    /// Something later has come already.
    Late,
    /// There are as many members or roles as there may be, or a text is no good.
    Bounds,
}

/// What a command changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// Members are others now: this is the new epoch.
    Epoch(u64),
    /// A role is somebody's.
    Granted {
        /// Which.
        role: Role,
        /// Under which lease.
        fence: u64,
    },
    /// It is for as long again.
    Renewed {
        /// Which.
        role: Role,
        /// Under which lease.
        fence: u64,
    },
    /// It is free.
    Freed {
        /// Which.
        role: Role,
        /// Under which lease it was somebody's.
        fence: u64,
    },
    /// Nothing.
    Refused(Refusal),
}

/// A member in good standing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its present life.
    pub start: u64,
    /// Its zone.
    pub zone: String,
    /// Since which epoch.
    pub since: u64,
}

/// A role that is somebody's.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    /// Whose.
    pub by: Life,
    /// The lease's number: greater than that of each before it, of any role.
    pub fence: u64,
    /// The last of its holder's asks that counts.
    pub ask: u64,
    /// For how long.
    pub terms: Terms,
}

/// Bounds of the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Bounds {
    /// Most members in good standing.
    pub members: usize,
    /// Most roles that are somebody's.
    pub roles: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { members: 4_096, roles: 1_024 }
    }
}

/// What the log comes to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    bounds: Bounds,
    epoch: u64,
    fence: u64,
    members: BTreeMap<Name, Member>,
    roles: BTreeMap<Role, Held>,
}

impl State {
    /// At the log's start.
    pub fn new(bounds: Bounds) -> State {
        State { bounds, ..State::default() }
    }

    /// The number of the present set of members. It grows by one with each change.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The members in good standing.
    pub fn members(&self) -> &BTreeMap<Name, Member> {
        &self.members
    }

    /// The roles that are somebody's.
    pub fn roles(&self) -> &BTreeMap<Role, Held> {
        &self.roles
    }

    /// Whether this life is a member in good standing.
    pub fn is_member(&self, who: &Life) -> bool {
        self.members.get(&who.name).is_some_and(|member| member.start == who.start)
    }

    /// Takes the log's next command.
    pub fn apply(&mut self, command: &Command) -> Change {
        match self.change(command) {
            Ok(change) => change,
            Err(refusal) => Change::Refused(refusal),
        }
    }

    /// The same for a council that begins anew from what one voter knew of the last one: numbers that the last may have
    /// given beyond that are passed over.
    #[must_use]
    pub fn refounded(&self) -> State {
        State { epoch: self.epoch + (1 << 20), fence: self.fence + (1 << 32), ..self.clone() }
    }

    fn next_epoch(&mut self) -> Change {
        self.epoch += 1;
        Change::Epoch(self.epoch)
    }

    fn change(&mut self, command: &Command) -> Result<Change, Refusal> {
        match command {
            Command::Admit { who, zone } => {
                let known = self.members.get(&who.name);
                if known.is_some_and(|known| known.start >= who.start) {
                    return Err(Refusal::Known);
                }
                if zone.len() > TEXT_MOST || known.is_none() && self.members.len() >= self.bounds.members {
                    return Err(Refusal::Bounds);
                }
                let change = self.next_epoch();
                let member = Member { start: who.start, zone: zone.clone(), since: self.epoch };
                self.members.insert(who.name.clone(), member);
                Ok(change)
            }
            // What it holds stays its own until its time is over: it may only be cut off, and act under it.
            Command::Dismiss { who } if self.is_member(who) => {
                self.members.remove(&who.name);
                Ok(self.next_epoch())
            }
            Command::Dismiss { .. } => Err(Refusal::NoMember),
            Command::Grant { role, to, ask, terms } => {
                if !self.is_member(to) {
                    return Err(Refusal::NoMember);
                }
                if self.roles.contains_key(role) {
                    return Err(Refusal::Taken);
                }
                let good = (1..=TEXT_MOST).contains(&role.0.len()) && terms.check().is_ok();
                if !good || self.roles.len() >= self.bounds.roles {
                    return Err(Refusal::Bounds);
                }
                self.fence += 1;
                let held = Held { by: to.clone(), fence: self.fence, ask: *ask, terms: *terms };
                self.roles.insert(role.clone(), held);
                Ok(Change::Granted { role: role.clone(), fence: self.fence })
            }
            Command::Renew { role, fence, ask } => {
                let by = self.held(role, *fence)?.by.clone();
                if !self.is_member(&by) {
                    return Err(Refusal::NoMember);
                }
                let held = self.held(role, *fence)?;
                if *ask <= held.ask {
                    return Err(Refusal::Late);
                }
                held.ask = *ask;
                Ok(Change::Renewed { role: role.clone(), fence: *fence })
            }
            Command::Release { role, fence } => {
                self.held(role, *fence)?;
                Ok(self.free(role, *fence))
            }
            Command::Expire { role, fence, ask } => {
                if self.held(role, *fence)?.ask != *ask {
                    return Err(Refusal::Late);
                }
                Ok(self.free(role, *fence))
            }
        }
    }

    fn held(&mut self, role: &Role, fence: u64) -> Result<&mut Held, Refusal> {
        self.roles.get_mut(role).filter(|held| held.fence == fence).ok_or(Refusal::NoLease)
    }

    fn free(&mut self, role: &Role, fence: u64) -> Change {
        self.roles.remove(role);
        Change::Freed { role: role.clone(), fence }
    }
}
