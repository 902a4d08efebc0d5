//! The same scenario on real loopback sockets and real time, to tell how true to life the lab is: the real proxies, each on
//! a thread of its own, and between them and the model's peers one more connection each, of the system's.
//!
//! Rules are counted here, not judged: what the model hears, it hears later than it was written.

use crate::full::bridge;
use crate::run::Outcome;
use crate::scenario::Scenario;

/// Plays a scenario for as long as it takes.
///
/// # Errors
///
/// What the daemon's checks say of its configuration, or a socket that cannot be had.
pub fn play(scenario: &Scenario, seed: u64) -> Result<Outcome, String> {
    bridge::run_scenario(crate::fault::settle(scenario, seed), seed)
}
