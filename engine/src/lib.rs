//! The engine drives the decision module on real sockets: one thread, one owner, events in and actions out at
//! once. Fronts bring it calls; it brings them their one answer.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod discovery;
pub mod driver;
pub mod socket;
pub mod upstream;

use std::io::{self, Write};

/// Writes a line to the log. A log that cannot be written to is no reason to stop serving.
pub fn log(line: &str) {
    let _ = writeln!(io::stderr(), "nettleworks: {line}");
}
