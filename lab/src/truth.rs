//! How true to life the lab is: the same scenarios in full stack, in fleet depth, and on real loopback sockets.

use crate::run::{play, Depth, Limits, Outcome};
use crate::scenario::Scenario;
use serde::Serialize;

/// What is compared of one run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Figures {
    /// Share of the worth that was served.
    pub served: f64,
    /// Median time in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile in milliseconds.
    pub p99_ms: f64,
}

impl Figures {
    fn of(outcome: &Outcome) -> Figures {
        let all = &outcome.tally.all;
        Figures { served: all.served(), p50_ms: all.ms(50.0), p99_ms: all.ms(99.0) }
    }
}

/// One scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Truth {
    /// Its name.
    pub scenario: String,
    /// On real sockets.
    pub real: Figures,
    /// In full stack.
    pub full: Figures,
    /// In fleet depth.
    pub fleet: Figures,
}

impl Truth {
    /// How far a depth is off the real run at the most: goodput, median and 99th percentile, as shares of the real one's.
    pub fn off(&self, depth: Depth) -> [f64; 3] {
        let lab = if depth == Depth::Full { &self.full } else { &self.fleet };
        let off = |real: f64, lab: f64| if real > 0.0 { (lab / real - 1.0).abs() } else { f64::NAN };
        [
            off(self.real.served, lab.served),
            off(self.real.p50_ms, lab.p50_ms),
            off(self.real.p99_ms, lab.p99_ms),
        ]
    }
}

/// Plays a scenario three ways. It takes as long as the scenario does.
///
/// # Errors
///
/// A scenario that cannot be played, or sockets that cannot be had.
pub fn compare(scenario: &Scenario, seed: u64) -> Result<Truth, String> {
    let limits = Limits { stops: false, ..Limits::default() };
    Ok(Truth {
        scenario: scenario.name.clone(),
        real: Figures::of(&crate::real::play(scenario, seed)?),
        full: Figures::of(&play(scenario, seed, Depth::Full, &limits)?),
        fleet: Figures::of(&play(scenario, seed, Depth::Fleet, &limits)?),
    })
}

/// The table, as Markdown.
pub fn table(all: &[Truth]) -> String {
    let mut text = String::from(
        "| scenario | served: real, full, fleet | p50 ms | p99 ms |\n| --- | --- | --- | --- |\n",
    );
    for truth in all {
        let Truth { scenario, real, full, fleet } = truth;
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
