//! Group membership of client proxies: they discover each other, detect failed members, and report changes to
//! subscribers.
//!
//! The protocol is SWIM (Das, Gupta, Motivala 2002) with the refinements of Lifeguard (Dadgar, Phillips,
//! Currey 2018): a slow member stretches its own timeouts before it suspects others, a suspicion ends sooner
//! the more members confirm it, and a probe tells its target that it is suspected. Anti-entropy compares
//! lists by digests of buckets, so that the traffic does not grow with the number of members.
//! `docs/design-members.md` describes the alternatives that were considered.
//!
//! The crate does no I/O and reads no clock: each call gets the current time, in microseconds of a monotonic
//! clock, and random numbers come from a seed. The list of members is eventually consistent: two members may
//! see a third in different conditions ([`MemberView`]) for as long as they cannot reach each other, so
//! nothing that needs agreement may rest on it alone.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod broadcast;
mod cluster_status;
mod config;
mod event;
mod health;
mod membership;
mod message;
mod name;
mod name_conflict;
mod probe;
mod rate_limiter;
mod relayed_probes;
mod roster;
mod suspicion;
mod sync;
mod update;

pub use cluster_status::ClusterStatus;
pub use config::Config;
pub use event::{MemberEvent, MemberEventKind};
pub use membership::{Action, Membership};
pub use message::{Message, MessageKind, Sender};
pub use name::{InvalidName, Name};
pub use rate_limiter::RateLimiter;
pub use roster::Condition;
pub use update::{Incarnation, Metadata, ReportedState, Update};
pub use view::{Counts, MemberView, MembershipView};

mod view;

/// Microseconds of a monotonic clock.
pub type Micros = u64;
