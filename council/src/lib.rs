//! What client proxies decide in common.
//!
//! A log that all agree on (its order is somebody else's business, [`State`] only reads it) holds who is a member in good
//! standing, by *epochs*, and who holds which role, by *leases*. A role is a right that one process has at a time. Its
//! holder gives it up by its own monotonic clock before anybody else may have it, whatever it can hear by then:
//!
//! - A holder counts from when it *sent* what the log then took ([`LeaseClient`]), and stops at its length less the drift.
//! - Whoever leads the log counts from when it *saw* that in the log ([`ExpiryTracker`]), or from when it began to lead, and takes
//!   the role back at its length and the drift.
//! - Sent is not after seen. So with clocks that run at most that drift too fast or too slow, no moment has two holders.
//!
//! What a holder does under its role it does under the lease's *fence*, a number that only grows: whoever was stopped
//! between looking and doing is told apart by it.
//!
//! It does no I/O and reads no clock: every call is given the present moment of this process's monotonic clock.
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
