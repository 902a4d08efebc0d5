//! Full depth: the real engine, HTTP front, key store and discovery client of tens of proxies, on virtual time over simulated
//! sockets. Everything beyond the sockets is simulated: hosts, clients and discovery belong to the [`crate::model`] and speak
//! HTTP/1.1.
//!
//! Time is the paused clock of tokio. Its timers fire on whole milliseconds, and events of the simulated network in between,
//! with a resolution of a microsecond. Time advances only when no task of any proxy can progress ([`runner::run_scenario`]).

pub(crate) mod bridge;
mod net;
mod peers;
mod runner;
mod socket;
#[cfg(test)]
mod tests;
mod wire;

pub(crate) use runner::run_scenario;
