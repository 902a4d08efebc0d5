//! What must hold across several engines (*shards*) of one process. Every decision is made without I/O and without
//! reading a clock.
//!
//! - [`capacity`]: the concurrency limit at a host. It is one for the process, is leased to shards and moves to the
//!   shards where calls wait.
//! - [`handover`]: whether a request that was forwarded to another shard was accepted there, or certainly never ran.
//! - [`rendezvous`] and [`liveness`]: which shard owns a key, which shards are alive, and which one stands in for a shard
//!   that does not respond.
//! - [`broadcast`]: what one shard has learned, read by the others in order, with its age.
//! - [`ids`]: the ids of all open calls.
//!
//! [`capacity`] and [`handover`] are shared between threads without locks, and are checked by `loom` in all
//! interleavings of small cases (`tests/threads.rs`, feature `loom`). The other modules belong to one thread, or are
//! under a lock that the path of ordinary calls does not take.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod broadcast;
pub mod capacity;
pub mod handover;
pub mod ids;
pub mod liveness;
pub mod rendezvous;
mod sync;
