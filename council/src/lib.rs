//! The replicated state machine on which client proxies agree.
//!
//! It applies a log that all replicas agree on (ordering the log is the job of another package, [`State`]
//! only applies it). The state holds the members, whose set is numbered by *epochs*, and the *leases* of
//! roles. A role is a right that one process has at a time. The holder of a lease stops using it, by its own
//! monotonic clock, before any other process can acquire the role, even if the holder is disconnected:
//!
//! - The holder times the lease from when it *sent* the request that the log then applied ([`LeaseClient`]),
//!   and stops at the duration less the drift.
//! - The leader of the log times it from when it *observed* the grant or renewal in the log, or from when it
//!   became leader ([`ExpiryTracker`]), and expires it at the duration plus the drift.
//! - A request is sent no later than it is observed. So if all clocks run within the drift, no role has two
//!   holders at any moment.
//!
//! Everything that a holder does in its role carries the *fencing token* of its lease, a number that only
//! increases: a holder that was paused between the check of its lease and the action is recognised by its old
//! token.
//!
//! The crate does no I/O and reads no clock: each call gets the current time of this process's monotonic
//! clock.
//!
//! Many fields and variants have a `serde(rename)`: their serialized names are those of the first stored
//! format.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod expiry_tracker;
mod lease_client;
mod lease_timing;
mod state_machine;

pub use expiry_tracker::ExpiryTracker;
pub use lease_client::LeaseClient;
pub use lease_timing::LeaseTiming;
pub use state_machine::{Bounds, Change, Command, Lease, Member, ProcessInstance, Refusal, Role, State};

pub use nettleworks_members::{Micros, Name};
