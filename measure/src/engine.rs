//! The engine's way without a station: what a request costs that no subsystem is for.

use crate::instructions::{self, Asked};
use crate::report::{Bound, Report};
use nettleworks_standins::{HostBehavior, StandInFleet};
use serde_json::json;
use std::time::Duration;

/// Instructions a request (half of them keyed, 8 clients) before there were stations: 65,633 and 65,703 in two builds,
/// with rustc 1.95. A station that is off costs nothing, so there must not be more now, but for what builds differ by.
const BEFORE: f64 = 65_703.0;
const BUILDS_DIFFER: f64 = 1.01;

/// Counts instructions a request at the daemon without a station.
pub fn measure(full: bool) -> Report {
    let clients: &[usize] = if full { &[1, 8, 32] } else { &[8] };
    let mut counted = Vec::new();
    for &clients in clients {
        let site =
            StandInFleet::start(vec![HostBehavior { service: Duration::ZERO, ..HostBehavior::default() }; 2]);
        let asked = Asked { clients, classes: vec![("free", 0.5), ("keyed", 0.5)] };
        let count = instructions::a_request("daemon", &site.configuration(|_| ()), &asked);
        eprintln!("{clients} clients: {count:?} instructions a request");
        counted.push((clients, count));
    }
    let at_8 = counted.iter().find(|(clients, _)| *clients == 8).and_then(|(_, count)| *count);
    let shown: Vec<_> =
        counted.iter().map(|(clients, count)| json!({"clients": clients, "instructions": count})).collect();
    let mut report = Report::new("engine", json!({"without_stations": shown}));
    // Without valgrind there is no figure, and a target without one is missed.
    report.target("by_before_stations", at_8.unwrap_or(f64::NAN) / BEFORE, Bound::AtMost(BUILDS_DIFFER));
    report
}
