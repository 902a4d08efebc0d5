//! The engine drives the decision module on real sockets: one thread, one owner, events in and actions out at
//! once. Fronts bring it calls; it brings them their one answer.
//!
//! - [`driver`]: events into the module, actions out of it; [`calls`] what is open.
//! - [`protocol`]: the seam to what hosts speak; [`http1`] is HTTP/1.1 behind it.
//! - [`discovery`]: the list of hosts; [`config`] what the engine is told; [`state`] what it shows.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod calls;
pub mod config;
pub mod discovery;
pub mod driver;
pub mod http1;
pub mod keyed;
pub mod protocol;
pub mod socket;
pub mod state;
pub mod task;

pub use nettleworks_keys as keys;
pub use nettleworks_keys::{Counts as KeyCounts, KeyState, Kind, Known};

use std::io::{self, Write};
use std::rc::Rc;

/// Takes the lines of one engine's log. There is none for the whole process: two engines in one must not mix.
pub type Log = Rc<dyn Fn(&str)>;

/// The program's log: standard error. One that cannot be written to is no reason to stop serving.
pub fn log_to_stderr() -> Log {
    Rc::new(|line| {
        let _ = writeln!(io::stderr(), "nettleworks: {line}");
    })
}
