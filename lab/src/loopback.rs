//! Runs a scenario on real loopback sockets in real time, to assess the fidelity of the simulation. The real proxies
//! run on a thread each; between them and the model's peers there is one additional connection each, which belongs to
//! the operating system.
//!
//! Violations are counted here but prove nothing: the model receives everything later than it was written.

use crate::full::bridge;
use crate::run::Outcome;
use crate::scenario::Scenario;

/// Runs a scenario in real time.
///
/// # Errors
///
/// The daemon's checks reject the configuration, or a socket cannot be opened.
pub fn run_scenario(scenario: &Scenario, seed: u64) -> Result<Outcome, String> {
    bridge::run_scenario(crate::fault::resolve_faults(scenario, seed), seed)
}
