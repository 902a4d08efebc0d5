//! The lab: the real engine, or the decision module alone, against a model of what they serve, on virtual time.
//!
//! A [`scenario::Scenario`] is data: a fleet, a load, a timeline of faults. [`run::play`] plays it under a seed in one of
//! two depths. In [`full`] the real driver, protocol, front, key store and discovery run on virtual sockets; in [`fleet`]
//! the decision module runs in an event queue with modelled connections. Hosts, clients, discovery, faults and judges are
//! the same [`model`] in both. The same seed gives the same event log, byte for byte.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod baseline;
pub mod cluster;
pub mod compare;
pub mod draw;
pub mod explore;
pub mod fault;
pub mod fleet;
pub mod full;
pub mod judge;
pub mod log;
pub mod model;
pub mod queue;
pub mod real;
pub mod report;
pub mod run;
pub mod scenario;
pub mod site;
pub mod tally;
pub mod truth;

/// A moment or a span, in microseconds of virtual time.
pub type Micros = u64;
