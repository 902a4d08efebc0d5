//! Faults between a process and a discovery that is up, with real processes: none of them may be taken for an outage of
//! discovery, or make a list valid for longer than it should be.

mod faults;
mod fleet;

use faults::Faults;
use fleet::{Fleet, GRACE, NOTIFIED_AFTER};
use nettleworks_standins::*;
use std::time::Duration;
use tokio::time::sleep;

/// Discovery is up but overloaded. It lets one request of the process wait before it refuses it, and refuses at once
/// the requests that the process makes meanwhile (incident 5521).
#[test]
fn a_refused_hedged_call_is_not_taken_for_an_outage() {
    run(async {
        // The second request is made after 3.1 s.
        let mut fleet = Fleet::start("crowd", 1, Duration::from_secs(14), |_| ()).await;
        overload_discovery(&mut fleet, Duration::from_millis(3_300)).await;
    });
}

/// Discovery is up but overloaded, with four processes: the request of one of them, in turns, waits and is refused;
/// those of the others are refused at once.
#[test]
fn a_call_that_waits_at_an_overloaded_discovery_is_not_taken_for_an_outage() {
    run(async {
        let mut fleet = Fleet::start("crowd-of-four", 4, Duration::from_secs(14), |_| ()).await;
        overload_discovery(&mut fleet, Duration::from_millis(2_400)).await;
    });
}

/// Discovery lets one request at a time wait for `delay` and refuses it, and refuses all others at once. Nothing may be
/// sent to the drained server after the grace.
async fn overload_discovery(fleet: &mut Fleet, delay: Duration) {
    fleet.relay.set_mode(ConnectionMode::RefuseConcurrent(delay));
    fleet.relay.reset_after(0);
    let lost = fleet.drain();
    fleet.wait_for_clients().await;
    let (late, tally) = (fleet.begun_after(lost + NOTIFIED_AFTER + GRACE), fleet.tally.borrow());
    assert_eq!(late, 0, "sent to a drained server more than {GRACE:?} after the drain counts as notified");
    assert!(tally.refused > 0 && tally.served > 50, "{} refused, {} served", tally.refused, tally.served);
}

/// Connecting to discovery fails with local errors at this process alone; discovery itself is up.
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
            assert_eq!(
                late, 0,
                "{percent}: sent to a drained server more than {GRACE:?} after the drain counts as notified"
            );
            // If some connects succeed, a list must arrive in time.
            let all = tally.refused + tally.served;
            assert!(percent == 100 || tally.refused * 20 <= all, "{} refused of {all}", tally.refused);
        }
    });
}
