//! The council's log: `raft`'s core with the council's machine on it. Ticks and letters in; letters, and what a disk must
//! hold before they go, out.
//!
//! It does no I/O and reads no clock. What raft draws is drawn from a seed here, so a course can be played again. Letters and
//! what a disk holds are types of our own, for any serde codec: raft's old protobuf parser sees only what this process
//! has written itself.
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
