//! Who else is there: client proxies that find each other, notice who has failed, and say so to whoever asks.
//!
//! The protocol is SWIM (Das, Gupta, Motivala 2002) with the refinements of Lifeguard (Dadgar, Phillips, Currey 2018):
//! a member that is slow doubts itself before it accuses others, a suspicion is the shorter the more members share it,
//! and a member that is asked hears what is said of it. Lists are compared by digests of buckets, so that what
//! is sent does not grow with how many there are. `docs/design-members.md` says what was weighed.
//!
//! It does no I/O and reads no clock: every call is given the present moment, in microseconds of a clock that does not
//! go back, and draws come from a seed. What it knows is an [`Opinion`]: two members may have different ones for as long
//! as they cannot hear each other, so nothing that needs agreement may rest on it alone.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod claim;
mod config;
mod contest;
mod health;
mod members;
mod message;
mod name;
mod news;
mod probe;
mod rate;
mod relays;
mod roster;
mod rumours;
mod standing;
mod suspicion;
mod sync;

pub use claim::{Card, Claim, Incarnation, Update};
pub use config::Config;
pub use members::{Members, Out};
pub use message::{Kind, Message, Sender};
pub use name::{BadName, Name};
pub use news::{News, What};
pub use rate::Rate;
pub use roster::Condition;
pub use standing::Standing;
pub use view::{Counts, Opinion, View};

mod view;

/// Microseconds of a clock that does not go back.
pub type Micros = u64;
