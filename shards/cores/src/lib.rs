//! Several engines of one process, a thread each, that serve as one. What must hold over all of them is decided in
//! `nettleworks-shards`; this is what lies between: the [`Hub`] that they share, their mail, and each one's side of it.
//!
//! - [`member`]: the engine's [`nettleworks_engine::group::Group`]: room at hosts, open ids, news.
//! - [`crossing`]: the station that hands a request with a key to the shard that the key belongs to.
//! - [`seat`]: a shard's place: its mail, its beat, and its look at the others.
//!
//! Threads meet in four ways, none of which waits: words that are changed by compare-and-swap (room, tickets, beats),
//! open ids under one of 64 short locks, news under a lock that only changes of the list and of hosts' standing take,
//! and bounded mail.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod crossing;
pub mod hub;
pub mod member;
pub mod seat;

pub use hub::{ShardOptions, SharedState};
pub use seat::PreparedShard;
