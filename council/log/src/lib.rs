//! The replicated log of the council, which is one raft group: the `raft` crate with the state machine of
//! `nettleworks-council`. Its inputs are ticks and messages; its outputs are messages, and what must be
//! written to disk before they are sent.
//!
//! It does no I/O and reads no clock. Raft's random election timeouts are derived from a seed, so that a run
//! can be reproduced. Messages and the state on disk are types of this crate that any serde codec can encode;
//! the old protobuf parser of the `raft` crate reads only bytes that this process has written itself.
//!
//! Several fields and variants have a `serde(rename)`: their serialized names are those of the first stored
//! format.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod message;
mod replica;
mod storage;
mod voter_planner;

pub use message::{ConfigurationChange, Entry, EntryPayload, Message, MessageKind};
pub use replica::{Applied, CompactionPolicy, Output, ProposalDropped, Replica};
pub use storage::{Configuration, DiskState, DiskWrite, HardState, Snapshot};
pub use voter_planner::{ReplicaStatus, VoterPlanner};
