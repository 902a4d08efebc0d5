//! Full stack: the real driver, protocol, front, key store and discovery of tens of proxies, on virtual time over
//! simulated sockets. What is real ends at the bytes: hosts, clients and discovery are the [`crate::model`]'s, and speak
//! HTTP/1.1 as their machines would.
//!
//! Time is tokio's, paused. Its timers come on whole milliseconds; the network's events come to the microsecond, in
//! between. Time moves only when no task of any proxy can go on ([`play::run_scenario`]).

pub(crate) mod bridge;
mod net;
mod peers;
mod runner;
mod socket;
#[cfg(test)]
mod tests;
mod wire;

pub(crate) use runner::run_scenario;
