//! The state machine: commands of the log, and the state after them. All processes that apply the same log
//! have the same state.

use crate::lease_timing::LeaseTiming;
use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Longest name of a role or of a zone, in bytes.
const MAX_NAME_BYTES: usize = 48;

/// One run of a process: a restarted process is another instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessInstance {
    /// The name of the process, which stays the same when it restarts.
    pub name: Name,
    /// The start number; a later instance of the same process has a greater one.
    pub start: u64,
}

/// The name of a role: 1 to 48 bytes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Role(pub String);

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A command in the log. Commands may be duplicated, delayed or lost on the way to the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Adds a process to the members. Replaces an earlier instance of it.
    #[serde(rename = "Admit")]
    AddMember {
        /// The process to add.
        #[serde(rename = "who")]
        process: ProcessInstance,
        /// The zone of the process.
        zone: String,
    },
    /// Removes a process from the members.
    #[serde(rename = "Dismiss")]
    RemoveMember {
        /// The process to remove.
        #[serde(rename = "who")]
        process: ProcessInstance,
    },
    /// Grants the lease of a role that is free.
    Grant {
        /// The role.
        role: Role,
        /// The process that requests the lease.
        #[serde(rename = "to")]
        holder: ProcessInstance,
        /// The holder's number for this request; each later request has a greater one.
        #[serde(rename = "ask")]
        request_id: u64,
        /// The duration of the lease and the clock drift.
        #[serde(rename = "terms")]
        timing: LeaseTiming,
    },
    /// Extends a lease by its whole duration, at its holder's request.
    Renew {
        /// The role.
        role: Role,
        /// The token of the lease.
        #[serde(rename = "fence")]
        fencing_token: u64,
        /// The holder's number for this request.
        #[serde(rename = "ask")]
        request_id: u64,
    },
    /// Ends a lease at its holder's request: the holder does nothing more under it.
    Release {
        /// The role.
        role: Role,
        /// The token of the lease.
        #[serde(rename = "fence")]
        fencing_token: u64,
    },
    /// Ends a lease whose expiry the leader of the log has waited for.
    Expire {
        /// The role.
        role: Role,
        /// The token of the lease.
        #[serde(rename = "fence")]
        fencing_token: u64,
        /// The last request that the leader has observed; a later renewal prevents the expiry.
        #[serde(rename = "ask")]
        request_id: u64,
    },
}

/// Why a command did not change the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The same or a later instance of the process is already a member.
    NotNewer,
    /// The process is not a member.
    NotMember,
    /// The role is already leased.
    RoleTaken,
    /// There is no lease of the role with that token.
    NoLease,
    /// A later request of the holder was applied before.
    Stale,
    /// The limit on members or roles is reached, a name is too long or empty, or the lease timing is invalid.
    OutOfBounds,
}

/// What a command changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// The members changed; this is the new epoch.
    NewEpoch(u64),
    /// The lease of a role was granted.
    Granted {
        /// The role.
        role: Role,
        /// The token of the new lease.
        fencing_token: u64,
    },
    /// The lease was extended.
    Renewed {
        /// The role.
        role: Role,
        /// The token of the lease.
        fencing_token: u64,
    },
    /// The lease was released or has expired; the role is free.
    Freed {
        /// The role.
        role: Role,
        /// The token of the lease that ended.
        fencing_token: u64,
    },
    /// Nothing.
    Refused(Refusal),
}

/// A member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The start number of its current instance.
    pub start: u64,
    /// Its zone.
    pub zone: String,
    /// The epoch in which this instance became a member.
    #[serde(rename = "since")]
    pub since_epoch: u64,
}

/// The lease of a role.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The process that holds the role.
    #[serde(rename = "by")]
    pub holder: ProcessInstance,
    /// The fencing token of the lease: greater than that of every earlier lease of any role.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// The last request of the holder that was applied.
    #[serde(rename = "ask")]
    pub request_id: u64,
    /// The duration of the lease and the clock drift.
    #[serde(rename = "terms")]
    pub timing: LeaseTiming,
}

/// Limits of the state's size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Bounds {
    /// Maximum number of members.
    #[serde(rename = "members")]
    pub max_members: usize,
    /// Maximum number of roles that are leased at the same time.
    #[serde(rename = "roles")]
    pub max_leases: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { max_members: 4_096, max_leases: 1_024 }
    }
}

/// The replicated state.
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
    /// The state before the first command of the log.
    pub fn new(bounds: Bounds) -> State {
        State { bounds, ..State::default() }
    }

    /// The number of the current set of members. It grows by one with each change of the set.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The members.
    pub fn members(&self) -> &BTreeMap<Name, Member> {
        &self.members
    }

    /// The leases, by role.
    pub fn leases(&self) -> &BTreeMap<Role, Lease> {
        &self.leases
    }

    /// Whether this instance of the process is a member.
    pub fn is_member(&self, process: &ProcessInstance) -> bool {
        self.members.get(&process.name).is_some_and(|member| member.start == process.start)
    }

    /// Applies the next command of the log.
    pub fn apply(&mut self, command: &Command) -> Change {
        match self.change(command) {
            Ok(change) => change,
            Err(refusal) => Change::Refused(refusal),
        }
    }

    /// This state as the initial state of a new group, when the old group has lost its majority for good. The
    /// old group may have issued epochs and fencing tokens after this state: the numbers are advanced so far
    /// that none is issued again.
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
            // Its leases stay until they expire: the process may only be disconnected and still act under
            // them.
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
