//! Faults between one process and a discovery that is up, with real processes: none of them is an outage of discovery, and
//! none makes a list last longer than it may.

mod faults;
mod fleet;

use faults::Faults;
use fleet::{Fleet, GRACE, NOTIFIED_AFTER};
use nettleworks_standins::*;
use std::time::Duration;
use tokio::time::sleep;

/// Incident 5521: discovery is up and crowded. It lets a call wait and refuses it, and refuses at once what the process
/// calls meanwhile.
#[test]
fn a_refused_hedged_call_is_not_taken_for_an_outage() {
    run(async {
        // The second call comes after 3.1 s.
        let mut fleet = Fleet::start("crowd", 1, Duration::from_secs(14), |_| ()).await;
        overload_discovery(&mut fleet, Duration::from_millis(3_300)).await;
    });
}

/// The same with four processes: one of them waits and is refused, the others are refused at once, in turns.
#[test]
fn a_call_that_waits_at_an_overloaded_discovery_is_not_taken_for_an_outage() {
    run(async {
        let mut fleet = Fleet::start("crowd-of-four", 4, Duration::from_secs(14), |_| ()).await;
        overload_discovery(&mut fleet, Duration::from_millis(2_400)).await;
    });
}

/// Discovery lets one call wait for a time, and refuses it and all others. Nothing is sent past the grace.
async fn overload_discovery(fleet: &mut Fleet, delay: Duration) {
    fleet.relay.arrivals(Arrival::Crowded(delay));
    fleet.relay.reset_after(0);
    let lost = fleet.drain();
    fleet.wait_for_clients().await;
    let (late, tally) = (fleet.begun_after(lost + NOTIFIED_AFTER + GRACE), fleet.tally.borrow());
    assert_eq!(late, 0, "sent to a drained server over {GRACE:?} after it counts as told");
    assert!(tally.refused > 0 && tally.served > 50, "{} refused, {} served", tally.refused, tally.served);
}

/// Connects of this process alone fail, and discovery serves all others.
#[test]
fn local_connect_errors_are_not_taken_for_an_outage() {
    run(async {
        for percent in [90, 100] {
            let mut fleet = Fleet::prepare(&format!("local-{percent}"), 1).await;
            let faults = Faults::new(fleet.folder(), percent);
            fleet.set_environment(faults.environment());
            fleet.start_processes(1, Duration::from_secs(12), |_| ()).await;
            let port = u32::from(fleet.relay.address.port());
            faults.set(&[("connect_port", port), ("connect_percent", percent as u32)]);
            sleep(Duration::from_millis(100)).await;
            fleet.relay.reset_after(0);
            let lost = fleet.drain();
            fleet.wait_for_clients().await;
            let (late, tally) = (fleet.begun_after(lost + NOTIFIED_AFTER + GRACE), fleet.tally.borrow());
            assert_eq!(late, 0, "{percent}: sent to a drained server over {GRACE:?} after it counts as told");
            // Where some connects come up, a list comes in time.
            let all = tally.refused + tally.served;
            assert!(percent == 100 || tally.refused * 20 <= all, "{} refused of {all}", tally.refused);
        }
    });
}
