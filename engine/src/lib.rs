//! The engine connects the decision module (`nettleworks_policy`) to real sockets. It runs on one thread, turns what
//! happens on that thread into events, and carries out the resulting actions at once. A front end submits calls and
//! gets exactly one reply to each.
//!
//! Modules, in dependency order; each uses only those before it (checked by `tests/tree.rs`):
//!
//! - [`mutant`]: deliberate faults for mutation tests. [`task`]: tasks that end with their owner. [`stall`]: detects
//!   tasks that were not polled in time. [`meter`]: counts the bytes written of a request. [`transient`]: errors that
//!   are worth a retry. [`net`]: the interface to the operating system's network. `clock`: time. `dial`: opening
//!   connections.
//! - [`list`]: the format of the server list. [`quota`]: connection counts of the whole process. [`memory`]: how its
//!   memory is divided, and leases on it. [`read_ahead`]: input that was read early. [`abandoned_ids`]: ids that must not run again.
//!   [`extensions`]: the configuration of interceptors. [`config`]: the configuration of the engine.
//! - [`protocol`]: the interface to the protocol that hosts speak. [`state`]: snapshots of the engine's state.
//! - [`histogram`]: durations in counts.
//! - [`group`]: the interface to the other engines of the process, if there are any.
//! - [`calls`]: requests and open calls. [`interceptor`]: the subsystems that every call passes.
//! - [`socket`], [`http1`]: HTTP/1.1 as a [`protocol`]. [`discovery`]: the watch of the server list.
//! - [`driver`]: feeds events to the decision module and carries out its actions; owns ordering, time and the calls.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod abandoned_ids;
pub mod calls;
mod clock;
pub mod config;
mod dial;
pub mod discovery;
pub mod driver;
pub mod extensions;
pub mod group;
pub mod histogram;
pub mod http1;
pub mod interceptor;
pub mod list;
pub mod memory;
pub mod meter;
pub mod mutant;
pub mod net;
mod observed_stream;
pub mod protocol;
pub mod quota;
pub mod read_ahead;
pub mod socket;
pub mod stall;
pub mod state;
pub mod task;
pub mod transient;

use std::io::{self, Write};
use std::rc::Rc;

/// Receives the log lines of one engine. It is passed to each engine instead of being global, so that the lines of
/// two engines in one process don't mix.
pub type Log = Rc<dyn Fn(&str)>;

/// The log of the daemon: standard error. Write errors are ignored, since an unwritable log is no reason to stop
/// serving.
pub fn log_to_stderr() -> Log {
    Rc::new(|line| {
        let _ = writeln!(io::stderr(), "nettleworks: {line}");
    })
}
