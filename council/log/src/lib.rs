//! The council's log: `raft`'s core with the council's machine on it. Ticks and letters in; letters, and what a disk must
//! hold before they go, out.
//!
//! It does no I/O and reads no clock. What raft draws is drawn from a seed here, so a course can be played again. Letters and
//! what a disk holds are types of our own, for any serde codec: raft's old protobuf parser sees only what this process
//! has written itself.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod letter;
mod saved;
mod seat;
mod seating;

pub use letter::{Entry, Letter, LetterKind, Reseat, What};
pub use saved::{Base, Hard, Persist, Saved, Seats};
pub use seat::{Applied, NotNow, Pace, Seat, Work};
pub use seating::{Candidate, Seating};
