//! Runs several engines of one process, each on a thread of its own, so that they serve as one. What must hold across all
//! of them is decided in `nettleworks-shards`; this package connects the engines: the state that they share
//! ([`SharedState`]), the messages between them, and each engine's side of it.
//!
//! - [`member`]: the engine's [`nettleworks_engine::group::Group`]: capacity at hosts, open ids, observations of hosts.
//! - [`key_router`]: forwards a request with an idempotency key to the shard that owns the key.
//! - [`shard`]: a shard's life cycle: its mailbox, its heartbeat, and its checks of the other shards.
//!
//! Threads interact in four ways, none of which blocks for long: words that are changed by compare-and-swap (capacity,
//! handover tokens, heartbeats), open ids under one of 64 short locks, broadcast logs under a lock that is taken only when
//! the server list or an observation of a host changes, and bounded queues.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod key_router;
pub mod member;
pub mod shard;
pub mod shared;

pub use shard::PreparedShard;
pub use shared::{ShardOptions, SharedState};
