//! A deterministic simulation on virtual time: the real engine, or the decision module alone, against a model of
//! clients, network, discovery and servers.
//!
//! A [`scenario::Scenario`] is data: a fleet, a load and a timeline of faults. [`run::run_scenario`] runs it under a
//! seed at one of two depths. In [`full`] the real driver, protocol, front, key store and discovery run on virtual
//! sockets; in [`fleet`] the decision module runs on an event queue with modelled connections. Hosts, clients,
//! discovery, faults and invariants are the same [`model`] in both. The same seed gives the same event log, byte for
//! byte.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod baseline;
pub mod cluster;
pub mod compare;
pub mod event_log;
pub mod event_queue;
pub mod explore;
pub mod fault;
pub mod fidelity;
pub mod fleet;
pub mod full;
pub mod invariants;
pub mod loopback;
pub mod metrics;
pub mod model;
pub mod proxy_config;
pub mod random;
pub mod report;
pub mod run;
pub mod scenario;

/// A time or duration, in microseconds of virtual time.
pub type Micros = u64;
