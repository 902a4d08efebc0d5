//! What must hold over several engines (*shards*) of one process, decided without I/O and without a clock.
//!
//! - [`room`]: calls in flight at a host. The process's room is one, leased to shards and moved to where calls wait.
//! - [`ticket`]: whether a request that was handed to another shard was taken there, or surely never ran.
//! - [`owner`] and [`roll`]: which shard a key belongs to, who lives, and who stands in for one that does not answer.
//! - [`news`]: what one shard has learned, told to the others in order, with an age.
//! - [`ids`]: the ids of all open calls.
//!
//! [`room`] and [`ticket`] are shared by threads and are checked by `loom` in all interleavings of small cases
//! (`tests/threads.rs`, feature `loom`); the rest belongs to one thread or is under a lock off the ordinary path.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod broadcast;
pub mod capacity;
pub mod handover;
pub mod ids;
pub mod liveness;
pub mod rendezvous;
mod sync;
