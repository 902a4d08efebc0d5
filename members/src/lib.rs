//! Who else is there: client proxies that find each other, notice who has failed, and say so to whoever asks.
//!
//! The protocol is SWIM (Das, Gupta, Motivala 2002) with the refinements of Lifeguard (Dadgar, Phillips, Currey 2018):
//! a member that is slow doubts itself before it accuses others, a suspicion is the shorter the more members share it,
//! and a member that is asked hears what is said of it. Lists are compared by digests of buckets, so that what
//! is sent does not grow with how many there are. `docs/design-members.md` says what was weighed.
//!
//! It does no I/O and reads no clock: every call is given the present moment, in microseconds of a clock that does not
//! go back, and draws come from a seed. What it knows is an [`MemberView`]: two members may have different ones for as long
//! as they cannot hear each other, so nothing that needs agreement may rest on it alone.
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

/// Microseconds of a clock that does not go back.
pub type Micros = u64;
