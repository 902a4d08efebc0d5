//! The engine drives the decision module on real sockets: one thread, one owner, events in and actions out at
//! once. Fronts bring it calls; it brings them their one answer.
//!
//! Its modules in their order; each uses only those before it (`tests/tree.rs`):
//!
//! - [`mutant`], [`task`], [`stall`], [`meter`], [`net`], `clock`, `dial`: planted faults for tests, tasks that end
//!   with their owner, tasks that were not run in time, what was written, the seam to the system, time, connections.
//! - [`list`], [`quota`], [`extensions`], [`config`]: the list of hosts' form, connections of the whole process, what
//!   stations are told, what the engine is told.
//! - [`protocol`]: the seam to what hosts speak; [`state`] what the engine shows.
//! - [`calls`], [`station`]: calls on their way, and the subsystems that they pass.
//! - [`group`]: the seam to other engines of the process, where there are any.
//! - [`socket`], [`http1`], [`discovery`]: HTTP/1.1 behind the seam, and the watch of the list.
//! - [`driver`]: events into the module, actions out of it; order, time and the calls.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod calls;
mod clock;
pub mod config;
mod dial;
pub mod discovery;
pub mod driver;
pub mod extensions;
pub mod group;
pub mod http1;
pub mod interceptor;
pub mod list;
pub mod meter;
pub mod mutant;
pub mod net;
pub mod protocol;
pub mod quota;
pub mod socket;
pub mod stall;
pub mod state;
pub mod task;
pub mod transient;

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
