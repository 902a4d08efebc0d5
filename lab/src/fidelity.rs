//! Fidelity of the simulation: compares the same scenario in full stack, in fleet depth and on real loopback sockets.

use crate::run::{run_scenario, Depth, Outcome, RunOptions};
use crate::scenario::Scenario;
use serde::Serialize;

/// The compared figures of one run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Figures {
    /// Share of the offered value that was served.
    pub served: f64,
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latencies in milliseconds.
    pub p99_ms: f64,
}

impl Figures {
    fn from_outcome(outcome: &Outcome) -> Figures {
        let all = &outcome.metrics.all;
        Figures { served: all.served_share(), p50_ms: all.latency_ms(50.0), p99_ms: all.latency_ms(99.0) }
    }
}

/// The comparison for one scenario.
#[derive(Clone, Debug, Serialize)]
pub struct FidelityReport {
    /// Name of the scenario.
    pub scenario: String,
    /// The run on real sockets.
    pub real: Figures,
    /// The run in full stack.
    pub full: Figures,
    /// The run in fleet depth.
    pub fleet: Figures,
}

impl FidelityReport {
    /// Relative errors of a depth against the real run: goodput, median and 99th percentile.
    pub fn relative_errors(&self, depth: Depth) -> [f64; 3] {
        let lab = if depth == Depth::Full { &self.full } else { &self.fleet };
        let relative_error =
            |real: f64, lab: f64| if real > 0.0 { (lab / real - 1.0).abs() } else { f64::NAN };
        [
            relative_error(self.real.served, lab.served),
            relative_error(self.real.p50_ms, lab.p50_ms),
            relative_error(self.real.p99_ms, lab.p99_ms),
        ]
    }
}

/// Runs a scenario in all three ways. This takes at least the scenario's duration in real time.
///
/// # Errors
///
/// The scenario cannot be run, or a socket cannot be opened.
pub fn compare(scenario: &Scenario, seed: u64) -> Result<FidelityReport, String> {
    let limits = RunOptions { stop_on_violation: false, ..RunOptions::default() };
    Ok(FidelityReport {
        scenario: scenario.name.clone(),
        real: Figures::from_outcome(&crate::loopback::run_scenario(scenario, seed)?),
        full: Figures::from_outcome(&run_scenario(scenario, seed, Depth::Full, &limits)?),
        fleet: Figures::from_outcome(&run_scenario(scenario, seed, Depth::Fleet, &limits)?),
    })
}

/// Formats the comparisons as a Markdown table.
pub fn table(all: &[FidelityReport]) -> String {
    let mut text = String::from(
        "| scenario | served: real, full, fleet | p50 ms | p99 ms |\n| --- | --- | --- | --- |\n",
    );
    for report in all {
        let FidelityReport { scenario, real, full, fleet } = report;
        text += &format!(
            "| {scenario} | {:.3}, {:.3}, {:.3} | {:.1}, {:.1}, {:.1} | {:.1}, {:.1}, {:.1} |\n",
            real.served,
            full.served,
            fleet.served,
            real.p50_ms,
            full.p50_ms,
            fleet.p50_ms,
            real.p99_ms,
            full.p99_ms,
            fleet.p99_ms
        );
    }
    text
}
