//! What must hold over several engines (*shards*) of one process, decided without I/O and without a clock.
//!
//! - [`bank`] and [`purse`]: room at a host for calls in flight. Each shard's module has a budget of its own, as one
//!   balancer among as many as there are shards; what one does not use it lends to those that need it. The sum of what
//!   shards may have in flight never exceeds the sum of their budgets, whatever is under way between them.
//! - [`owner`]: which shard a key belongs to.
//! - [`news`]: what one shard has learned, told to the others in order, with an age.
//!
//! Shards share no memory: they send messages over bounded queues, and each message is handled when it comes.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod bank;
pub mod news;
pub mod owner;
pub mod purse;
