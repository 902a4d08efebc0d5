//! Cost of a request that passes no interceptor.

use crate::instructions::{self, RequestMix};
use crate::report::{Bound, Report};
use nettleworks_standins::{HostBehavior, StandInFleet};
use serde_json::json;
use std::time::Duration;

/// Instructions per request before the engine had interceptors: 65,633 and 65,703 in two builds with rustc 1.95, with 8
/// clients and half of the requests keyed. An interceptor that is disabled must cost nothing, so that the number may not
/// rise except by [`BUILD_TOLERANCE`].
const BASELINE_INSTRUCTIONS: f64 = 65_703.0;
/// Factor by which the number of instructions may differ between builds.
const BUILD_TOLERANCE: f64 = 1.01;

/// Counts the instructions per request of a daemon without interceptors.
pub fn measure(full: bool) -> Report {
    let client_counts: &[usize] = if full { &[1, 8, 32] } else { &[8] };
    let mut counts = Vec::new();
    for &clients in client_counts {
        let site =
            StandInFleet::start(vec![HostBehavior { service: Duration::ZERO, ..HostBehavior::default() }; 2]);
        let request_mix = RequestMix { clients, classes: vec![("free", 0.5), ("keyed", 0.5)] };
        let count = instructions::per_request("daemon", &site.configuration(|_| ()), &request_mix);
        eprintln!("{clients} clients: {count:?} instructions per request");
        counts.push((clients, count));
    }
    let with_8_clients = counts.iter().find(|(clients, _)| *clients == 8).and_then(|(_, count)| *count);
    let rows: Vec<_> =
        counts.iter().map(|(clients, count)| json!({"clients": clients, "instructions": count})).collect();
    let mut report = Report::new("engine", json!({"without_stations": rows}));
    // Without valgrind the value is NaN, and the target is missed.
    report.add_target(
        "by_before_stations",
        with_8_clients.unwrap_or(f64::NAN) / BASELINE_INSTRUCTIONS,
        Bound::AtMost(BUILD_TOLERANCE),
    );
    report
}
