//! System calls that transfer only a part of the data, or fail for a time, in real processes: each request must still
//! get its response, and the program must start.

mod faults;
mod fleet;

use faults::Faults;
use fleet::Fleet;
use nettleworks_standins::*;
use std::time::Duration;
use tokio::time::sleep;

/// A short read or write leaves the rest to a further call, and no new readiness event announces it.
#[test]
fn requests_are_answered_despite_short_reads_and_writes() {
    run(async {
        let mut fleet = Fleet::prepare("short", 1).await;
        let faults = Faults::new(fleet.folder(), 7);
        fleet.set_environment(faults.environment());
        fleet.start_processes(6, Duration::from_secs(6), |_| ()).await;
        faults.set(&[("short_per_mille", 100)]);
        sleep(Duration::from_secs(5)).await;
        fleet.wait_for_clients().await;
        assert!(fleet.tally.borrow().served > 200, "{} served", fleet.tally.borrow().served);
    });
}

/// In the first second of a process the machine is short of file descriptors or of memory for sockets.
#[test]
fn a_process_starts_after_a_shortage_of_resources() {
    run(async {
        // ENFILE, EMFILE, ENOBUFS.
        for error in [23, 24, 105] {
            let mut fleet = Fleet::prepare(&format!("start-{error}"), 1).await;
            let faults = Faults::new(fleet.folder(), 1);
            fleet.set_environment(faults.environment());
            faults.set(&[("socket_error", error), ("open_error", error)]);
            let recovery = std::thread::spawn(move || {
                std::thread::sleep(Duration::from_secs(1));
                faults.set(&[]);
            });
            fleet.start_processes(1, Duration::from_secs(1), |_| ()).await;
            recovery.join().expect("no panic");
            fleet.wait_for_clients().await;
            assert!(fleet.tally.borrow().served > 0, "{error}");
        }
    });
}

/// For more than a second no file descriptor is available, and each request needs a new connection. Such local errors
/// say nothing about the servers: afterwards none of them may be ejected or avoided.
#[test]
fn a_local_shortage_ejects_no_server() {
    run(async {
        let mut fleet = Fleet::prepare("own-errors", 1).await;
        let faults = Faults::new(fleet.folder(), 3);
        fleet.set_environment(faults.environment());
        let close_at_once = |config: &mut serde_json::Value| {
            config["settings"]["limits"]["conn_idle_us"] = 1_000.into();
        };
        fleet.start_processes(4, Duration::from_secs(4), close_at_once).await;
        sleep(Duration::from_millis(500)).await;
        faults.set(&[("socket_error", 23)]);
        sleep(Duration::from_millis(1_500)).await;
        faults.set(&[]);
        sleep(Duration::from_millis(100)).await;
        let (refused_before, served_before) = (fleet.tally.borrow().refused, fleet.tally.borrow().served);
        fleet.wait_for_clients().await;
        let tally = fleet.tally.borrow();
        assert_eq!(
            tally.refused - refused_before,
            0,
            "refused after the shortage, {} served",
            tally.served - served_before
        );
        assert!(
            tally.served - served_before > 20,
            "{} served after the shortage",
            tally.served - served_before
        );
    });
}
