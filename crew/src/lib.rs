//! A crew: several real `nettleworks` processes on loopback, hosts and discovery from the stand-ins, and between every two
//! processes a relay that can cut, lose, delay, double and reorder what passes, each way by itself.
//!
//! A process is killed, stopped, continued or restarted by its own id, and none outlives the crew. What was done and what was
//! seen is one [`History`], which a test reads and which is shown where it fails.
//!
//! What cannot be had (a port, a process) is a panic here, as in any test.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cluster;
mod history;
mod process;
mod relay;

pub use cluster::{Cluster, ClusterOptions, MembershipViews};
pub use history::{Event, History};
pub use process::Process;
pub use relay::{Link, Relays};
