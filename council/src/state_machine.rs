//! The machine: what the log's commands come to. Each process that applies the same log has the same state.

use crate::lease_timing::LeaseTiming;
use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Longest name of a role and of a zone, in bytes.
const MAX_NAME_BYTES: usize = 48;

/// A process in one of its lives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessInstance {
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
    #[serde(rename = "Admit")]
    AddMember {
        /// Which.
        #[serde(rename = "who")]
        process: ProcessInstance,
        /// Its zone.
        zone: String,
    },
    /// A process is none any more.
    #[serde(rename = "Dismiss")]
    RemoveMember {
        /// Which.
        #[serde(rename = "who")]
        process: ProcessInstance,
    },
    /// Somebody asks for a role that is free.
    Grant {
        /// Which.
        role: Role,
        /// Who.
        #[serde(rename = "to")]
        holder: ProcessInstance,
        /// The asker's number for this; each of its later ones is greater.
        #[serde(rename = "ask")]
        request_id: u64,
        /// For how long.
        #[serde(rename = "terms")]
        timing: LeaseTiming,
    },
    /// Its holder asks to have it for as long again.
    Renew {
        /// Which.
        role: Role,
        /// Under which lease.
        #[serde(rename = "fence")]
        fencing_token: u64,
        /// The asker's number for this.
        #[serde(rename = "ask")]
        request_id: u64,
    },
    /// Its holder gives it up: it does nothing under it any more.
    Release {
        /// Which.
        role: Role,
        /// Under which lease.
        #[serde(rename = "fence")]
        fencing_token: u64,
    },
    /// Whoever leads the log has waited for its holder's time to be over.
    Expire {
        /// Which.
        role: Role,
        /// Under which lease.
        #[serde(rename = "fence")]
        fencing_token: u64,
        /// The last that was seen of it: one that came later keeps it.
        #[serde(rename = "ask")]
        request_id: u64,
    },
}

/// Why a command changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// A later life is known, or this one is a member already.
    NotNewer,
    /// The process is no member in good standing.
    NotMember,
    /// Somebody has the role.
    RoleTaken,
    /// Nobody has it under that lease.
    NoLease,
    /// Something later has come already.
    Stale,
    /// There are as many members or roles as there may be, or a text is no good.
    OutOfBounds,
}

/// What a command changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// Members are others now: this is the new epoch.
    NewEpoch(u64),
    /// A role is somebody's.
    Granted {
        /// Which.
        role: Role,
        /// Under which lease.
        fencing_token: u64,
    },
    /// It is for as long again.
    Renewed {
        /// Which.
        role: Role,
        /// Under which lease.
        fencing_token: u64,
    },
    /// It is free.
    Freed {
        /// Which.
        role: Role,
        /// Under which lease it was somebody's.
        fencing_token: u64,
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
    #[serde(rename = "since")]
    pub since_epoch: u64,
}

/// A role that is somebody's.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Whose.
    #[serde(rename = "by")]
    pub holder: ProcessInstance,
    /// The lease's number: greater than that of each before it, of any role.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// The last of its holder's asks that counts.
    #[serde(rename = "ask")]
    pub request_id: u64,
    /// For how long.
    #[serde(rename = "terms")]
    pub timing: LeaseTiming,
}

/// Bounds of the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Bounds {
    /// Most members in good standing.
    #[serde(rename = "members")]
    pub max_members: usize,
    /// Most roles that are somebody's.
    #[serde(rename = "roles")]
    pub max_leases: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { max_members: 4_096, max_leases: 1_024 }
    }
}

/// What the log comes to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    bounds: Bounds,
    epoch: u64,
    #[serde(rename = "fence")]
    last_fencing_token: u64,
    members: BTreeMap<Name, Member>,
    #[serde(rename = "roles")]
    leases: BTreeMap<Role, Lease>,
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
    pub fn leases(&self) -> &BTreeMap<Role, Lease> {
        &self.leases
    }

    /// Whether this life is a member in good standing.
    pub fn is_member(&self, process: &ProcessInstance) -> bool {
        self.members.get(&process.name).is_some_and(|member| member.start == process.start)
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
    pub fn recovered(&self) -> State {
        State {
            epoch: self.epoch + (1 << 20),
            last_fencing_token: self.last_fencing_token + (1 << 32),
            ..self.clone()
        }
    }

    fn next_epoch(&mut self) -> Change {
        self.epoch += 1;
        Change::NewEpoch(self.epoch)
    }

    fn change(&mut self, command: &Command) -> Result<Change, Refusal> {
        match command {
            Command::AddMember { process, zone } => {
                let existing = self.members.get(&process.name);
                if existing.is_some_and(|existing| existing.start >= process.start) {
                    return Err(Refusal::NotNewer);
                }
                if zone.len() > MAX_NAME_BYTES
                    || existing.is_none() && self.members.len() >= self.bounds.max_members
                {
                    return Err(Refusal::OutOfBounds);
                }
                let change = self.next_epoch();
                let member = Member { start: process.start, zone: zone.clone(), since_epoch: self.epoch };
                self.members.insert(process.name.clone(), member);
                Ok(change)
            }
            // What it holds stays its own until its time is over: it may only be cut off, and act under it.
            Command::RemoveMember { process } if self.is_member(process) => {
                self.members.remove(&process.name);
                Ok(self.next_epoch())
            }
            Command::RemoveMember { .. } => Err(Refusal::NotMember),
            Command::Grant { role, holder, request_id, timing } => {
                if !self.is_member(holder) {
                    return Err(Refusal::NotMember);
                }
                if self.leases.contains_key(role) {
                    return Err(Refusal::RoleTaken);
                }
                let valid = (1..=MAX_NAME_BYTES).contains(&role.0.len()) && timing.validate().is_ok();
                if !valid || self.leases.len() >= self.bounds.max_leases {
                    return Err(Refusal::OutOfBounds);
                }
                self.last_fencing_token += 1;
                let lease = Lease {
                    holder: holder.clone(),
                    fencing_token: self.last_fencing_token,
                    request_id: *request_id,
                    timing: *timing,
                };
                self.leases.insert(role.clone(), lease);
                Ok(Change::Granted { role: role.clone(), fencing_token: self.last_fencing_token })
            }
            Command::Renew { role, fencing_token, request_id } => {
                let holder = self.lease(role, *fencing_token)?.holder.clone();
                if !self.is_member(&holder) {
                    return Err(Refusal::NotMember);
                }
                let lease = self.lease(role, *fencing_token)?;
                if *request_id <= lease.request_id {
                    return Err(Refusal::Stale);
                }
                lease.request_id = *request_id;
                Ok(Change::Renewed { role: role.clone(), fencing_token: *fencing_token })
            }
            Command::Release { role, fencing_token } => {
                self.lease(role, *fencing_token)?;
                Ok(self.free(role, *fencing_token))
            }
            Command::Expire { role, fencing_token, request_id } => {
                if self.lease(role, *fencing_token)?.request_id != *request_id {
                    return Err(Refusal::Stale);
                }
                Ok(self.free(role, *fencing_token))
            }
        }
    }

    fn lease(&mut self, role: &Role, fencing_token: u64) -> Result<&mut Lease, Refusal> {
        self.leases.get_mut(role).filter(|lease| lease.fencing_token == fencing_token).ok_or(Refusal::NoLease)
    }

    fn free(&mut self, role: &Role, fencing_token: u64) -> Change {
        self.leases.remove(role);
        Change::Freed { role: role.clone(), fencing_token }
    }
}
