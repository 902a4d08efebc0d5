//! A test cluster of real `nettleworks` processes on loopback. Hosts and discovery are stand-ins. A UDP relay in front of
//! each process can block, drop, delay, duplicate and reorder the datagrams of each directed pair of processes.
//!
//! Processes are killed, suspended, resumed and restarted one at a time by their process ids. All of them are killed when
//! the [`Cluster`] is dropped. Faults and logged events are recorded in one [`History`], which tests query and which is
//! printed when a wait times out.
//!
//! As in any test, an error of the environment, such as a port or a process that is not available, is a panic.
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
