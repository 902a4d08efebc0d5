//! How long a process may use its list, with real processes: their watches break, fall silent or are not answered, and
//! a server drains meanwhile. The servers' ledger shows what was sent to it.

mod fleet;

use fleet::{Fleet, GRACE, NOTIFIED_AFTER, NOTIFIED_AFTER_CLOSE};
use nettleworks_crew::Process;
use nettleworks_standins::*;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// The watches of a large fleet are reset while the list with a drain is being transferred. Discovery answers the next
/// request at once. This has happened in production.
#[test]
fn a_drain_hidden_by_a_watch_reset_within_its_list_is_honored_in_time() {
    run(async {
        let mut fleet = Fleet::start("reset", 16, Duration::from_secs(11), |_| ()).await;
        fleet.relay.reset_after(200);
        let drained = fleet.drain();
        fleet.wait_for_clients().await;
        let (late, served) =
            (fleet.begun_after(drained + NOTIFIED_AFTER + GRACE), fleet.tally.borrow().served);
        assert_eq!(
            late, 0,
            "sent to a drained server more than {GRACE:?} after the drain counts as notified, of {served}"
        );
        assert!(served > 500, "{served} served");
    });
}

/// The watches of a large fleet are reset just before the list with a drain is written to them.
#[test]
fn a_drain_hidden_by_a_watch_reset_before_its_list_is_honored_in_time() {
    run(async {
        let mut fleet = Fleet::start("before", 16, Duration::from_secs(10), |_| ()).await;
        fleet.relay.reset_after(0);
        let drained = fleet.drain();
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(drained + NOTIFIED_AFTER + GRACE), 0);
        let tally = fleet.tally.borrow();
        assert!(tally.refused * 100 <= tally.served, "{} refused, {} served", tally.refused, tally.served);
    });
}

/// Discovery closes its watches gracefully instead of sending a drain, and answers no further request. The drain then
/// counts as notified two seconds later, as at the end of a long poll (incident 5521).
#[test]
fn a_drain_hidden_by_a_closed_watch_is_honored_in_time() {
    run(async {
        let mut fleet = Fleet::start("ended", 4, Duration::from_secs(7), |_| ()).await;
        fleet.relay.set_mode(ConnectionMode::Hang);
        fleet.relay.close_connections();
        let drained = fleet.drain();
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(drained + NOTIFIED_AFTER_CLOSE + GRACE), 0);
        assert!(fleet.tally.borrow().refused > 0 && fleet.tally.borrow().served > 50);
    });
}

/// Discovery closes its watches gracefully instead of sending a drain, and answers the next requests: at most one of
/// the clients' requests in a hundred may be refused.
#[test]
fn a_closed_watch_refuses_no_requests() {
    run(async {
        let mut fleet = Fleet::start("ended-once", 16, Duration::from_secs(6), |_| ()).await;
        fleet.relay.close_connections();
        let drained = fleet.drain();
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(drained + NOTIFIED_AFTER_CLOSE + GRACE), 0);
        let tally = fleet.tally.borrow();
        assert!(tally.refused * 100 <= tally.served, "{} refused, {} served", tally.refused, tally.served);
    });
}

/// The watches are reset before a drain is written to them, while discovery is overloaded and refuses each further
/// request at once. A process that cannot get a list in time must stop sending by the one it has, and refuse its
/// clients' requests.
#[test]
fn a_drain_hidden_by_an_overloaded_discovery_is_honored_in_time() {
    run(async {
        let mut fleet = Fleet::start("crowded", 4, Duration::from_secs(12), |_| ()).await;
        fleet.relay.set_mode(ConnectionMode::Refuse(Duration::ZERO));
        fleet.relay.reset_after(0);
        let drained = fleet.drain();
        fleet.wait_for_clients().await;
        let (late, served) =
            (fleet.begun_after(drained + NOTIFIED_AFTER + GRACE), fleet.tally.borrow().served);
        assert_eq!(
            late, 0,
            "sent to a drained server more than {GRACE:?} after the drain counts as notified, of {served}"
        );
        let tally = fleet.tally.borrow();
        assert!(tally.refused > 0, "none refused");
        drop(tally);
        assert!(fleet.processes.len() == 4 && served > 100, "{served} served");
    });
}

/// The watches are reset before a drain is written to them, and discovery accepts further requests without answering
/// them, as over a half-open connection.
#[test]
fn a_drain_hidden_by_unanswered_calls_is_honored_in_time() {
    run(async {
        let mut fleet = Fleet::start("hung", 4, Duration::from_secs(12), |_| ()).await;
        fleet.relay.set_mode(ConnectionMode::Hang);
        fleet.relay.reset_after(0);
        let drained = fleet.drain();
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(drained + NOTIFIED_AFTER + GRACE), 0);
        assert!(fleet.tally.borrow().refused > 0);
    });
}

/// One of the engines of a process watches the list. The other engines use the same list, and must stop when it
/// expires.
#[test]
fn no_engine_of_a_process_uses_an_expired_list() {
    run(async {
        let mut fleet = Fleet::start_with("engines", 2, 4, Duration::from_secs(14), |_| ()).await;
        fleet.relay.set_mode(ConnectionMode::Refuse(Duration::ZERO));
        fleet.relay.reset_after(0);
        let drained = fleet.drain();
        sleep(Duration::from_secs(8)).await;
        assert_eq!(fleet.begun_after(drained + NOTIFIED_AFTER + GRACE), 0);
        let before = fleet.tally.borrow().served;
        assert!(fleet.tally.borrow().refused > 0);
        // All engines serve again with the next list.
        fleet.relay.set_mode(ConnectionMode::Forward);
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(drained + NOTIFIED_AFTER + GRACE), 0);
        let tally = fleet.tally.borrow();
        assert!(tally.served > before, "{before} served before, {} in all", tally.served);
    });
}

/// One call hangs on a dead connection while a further one would be answered: it must be made beside the first, before
/// the list expires.
#[test]
fn a_hanging_discovery_call_is_hedged_before_the_list_expires() {
    run(async {
        let mut fleet = Fleet::start("hedged", 4, Duration::from_secs(9), |_| ()).await;
        fleet.relay.set_mode(ConnectionMode::Hang);
        let before = fleet.relay.accepted.get();
        fleet.relay.reset_after(0);
        let drained = fleet.drain();
        eventually("each process has called", || fleet.relay.accepted.get() >= before + 4).await;
        fleet.relay.set_mode(ConnectionMode::Forward);
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(drained + NOTIFIED_AFTER + GRACE), 0);
        let tally = fleet.tally.borrow();
        assert!(tally.refused * 100 <= tally.served, "{} refused, {} served", tally.refused, tally.served);
    });
}

/// All watches fall silent, and a server drains meanwhile. New watches must be opened before the hidden drain counts as
/// notified.
#[test]
fn a_drain_hidden_by_a_silent_watch_is_honored_in_time() {
    run(async {
        let mut fleet = Fleet::start("silent", 8, Duration::from_secs(10), |_| ()).await;
        fleet.relay.silence();
        let drained = fleet.drain();
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(drained + NOTIFIED_AFTER + GRACE), 0);
        let tally = fleet.tally.borrow();
        assert!(tally.refused * 100 <= tally.served, "{} refused, {} served", tally.refused, tally.served);
    });
}

/// Processes are suspended and continue. A heartbeat that arrived meanwhile is read late and does not show that the
/// watch is still alive: the watches fall silent before the processes continue, and hide a drain.
#[test]
fn a_heartbeat_that_is_read_late_does_not_hide_a_drain() {
    run(async {
        let mut fleet = Fleet::start("stopped", 8, Duration::from_secs(12), |_| ()).await;
        // All processes get a list now, and a heartbeat two seconds later.
        fleet.registry.set(entry("s-0", fleet.servers[0].address, "Ready"));
        sleep(Duration::from_millis(100)).await;
        fleet.processes.iter().for_each(Process::suspend);
        sleep(Duration::from_millis(1_950)).await;
        fleet.relay.silence();
        let drained = fleet.drain();
        sleep(Duration::from_millis(700)).await;
        fleet.relay.set_mode(ConnectionMode::Hang);
        fleet.processes.iter().for_each(Process::resume);
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(drained + NOTIFIED_AFTER + GRACE), 0);
        assert!(fleet.tally.borrow().refused > 0);
    });
}

/// Processes are suspended while their watches bring a drain and clients send requests. When they continue, both are
/// unread in their sockets: whichever is read first, nothing may be sent to the draining server after the grace.
#[test]
fn a_resumed_process_reads_its_list_before_it_sends() {
    run(async {
        let mut fleet = Fleet::start("goes-on", 24, Duration::from_secs(4), |_| ()).await;
        sleep(Duration::from_millis(500)).await;
        fleet.processes.iter().for_each(Process::suspend);
        let drained = fleet.drain();
        sleep(Duration::from_millis(2_000)).await;
        fleet.processes.iter().for_each(Process::resume);
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(drained + GRACE), 0);
        assert!(fleet.tally.borrow().served > 100);
    });
}

/// Discovery is down for longer than a list is valid: during an outage no change counts as notified, and clients must
/// still be served. A server drains meanwhile, which must be honored in time once discovery is back.
#[test]
fn clients_are_served_during_an_outage_of_discovery_and_a_drain_is_honored_after_it() {
    run(async {
        let mut fleet = Fleet::start("outage", 8, Duration::from_millis(16_500), |_| ()).await;
        fleet.relay.set_mode(ConnectionMode::Refuse(Duration::from_secs(2)));
        fleet.relay.reset_after(1);
        fleet.drain();
        sleep(Duration::from_millis(8_500)).await;
        fleet.relay.set_mode(ConnectionMode::Forward);
        let recovered = Instant::now();
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(recovered + NOTIFIED_AFTER + GRACE), 0);
        let tally = fleet.tally.borrow();
        assert!(tally.refused * 100 <= tally.served, "{} refused, {} served", tally.refused, tally.served);
    });
}

/// A process is killed and starts again with its cached list, and discovery refuses its calls: that list must expire
/// like one whose watch broke when the process was killed.
#[test]
fn a_cached_list_expires_after_a_restart() {
    run(async {
        let mut fleet = Fleet::start("restart", 3, Duration::ZERO, |_| ()).await;
        fleet.wait_for_clients().await;
        fleet.relay.set_mode(ConnectionMode::Refuse(Duration::ZERO));
        let drained = fleet.drain();
        fleet.spawn_processes(3);
        fleet.start_clients(Duration::from_secs(10));
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(drained + NOTIFIED_AFTER + GRACE), 0);
        assert!(fleet.tally.borrow().refused > 0 && fleet.tally.borrow().served > 0);
    });
}

/// After a reload that names another discovery, its changes count as notified four seconds after the signal.
#[test]
fn a_list_expires_sooner_when_a_new_discovery_does_not_answer() {
    run(async {
        let mut fleet = Fleet::start("moved", 3, Duration::from_secs(9), |_| ()).await;
        let moved = Relay::start(fleet.registry.address).await;
        moved.set_mode(ConnectionMode::Hang);
        fleet.configure(moved.address, 3, |_| ());
        fleet.processes.iter().for_each(Process::reload);
        let signalled = fleet.drain();
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(signalled + Duration::from_secs(4) + GRACE), 0);
        assert!(fleet.tally.borrow().refused > 0 && fleet.tally.borrow().served > 0);
    });
}

/// With pushed lists the agent is silent while discovery is down; a change counts as notified as soon as the agent is
/// back.
#[test]
fn a_drain_at_the_return_of_a_silent_agent_is_honored_within_the_grace() {
    run(async {
        let push = |config: &mut serde_json::Value| config["settings"]["discovery"] = "push".into();
        let mut fleet = Fleet::start("pushed", 6, Duration::from_secs(11), push).await;
        fleet.relay.set_mode(ConnectionMode::Hang);
        fleet.relay.silence();
        fleet.drain();
        sleep(Duration::from_secs(8)).await;
        fleet.relay.set_mode(ConnectionMode::Forward);
        let recovered = Instant::now();
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(recovered + GRACE), 0);
        assert_eq!(fleet.tally.borrow().refused, 0, "nothing counts as notified while the agent is down");
    });
}

/// Discovery is back after an outage, and its first response is truncated after the head: a list that was written
/// counts as notified at once, whether it arrives or not. Found by the benchmark scenario `herd` of the panel `brink`.
#[test]
fn a_response_truncated_before_its_list_is_requested_again_within_the_grace() {
    run(async {
        let fleets: Vec<_> = (0..6).map(|number| spawn_local(late_after_truncation(number))).collect();
        for fleet in fleets {
            let late = fleet.await.expect("no panic");
            assert_eq!(late, 0, "sent to a drained server later than the grace after the list was written");
        }
    });
}

/// The number of requests that one process sent to the drained server too late, after a truncated response.
async fn late_after_truncation(number: usize) -> usize {
    let mut fleet = Fleet::start(&format!("cut-{number}"), 1, Duration::from_secs(10), |_| ()).await;
    fleet.relay.set_mode(ConnectionMode::Refuse(Duration::from_millis(1_500)));
    fleet.relay.reset_after(0);
    sleep(Duration::from_secs(4)).await;
    fleet.drain();
    let before = fleet.registry.watches.get();
    // The head, and no byte of the list.
    fleet.relay.set_mode(ConnectionMode::ResetAfter(WATCH_HEAD.len()));
    eventually("a response is truncated", || fleet.registry.watches.get() > before).await;
    let written = Instant::now();
    fleet.relay.set_mode(ConnectionMode::Forward);
    fleet.wait_for_clients().await;
    let tally = fleet.tally.borrow();
    assert!(tally.refused * 4 <= tally.served, "{} refused, {} served", tally.refused, tally.served);
    fleet.begun_after(written + GRACE)
}

/// Half of a list arrives and the watch stays open: from then on the previous list must not be used, as if the new one
/// had arrived.
#[test]
fn a_half_received_list_expires_the_previous_one() {
    run(async {
        let mut fleet = Fleet::start("half", 4, Duration::from_secs(3), |_| ()).await;
        fleet.relay.silence_after(200);
        let written = fleet.drain();
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(written + GRACE), 0);
        assert!(fleet.tally.borrow().served > 0);
    });
}

/// A part of the head of a response arrives, then nothing more, and the connection stays open. The list of that
/// response counts as written.
#[test]
fn a_response_that_stops_within_its_head_counts_as_a_list() {
    run(async {
        assert_eq!(
            late_after_stalled_response(10).await,
            0,
            "sent to a drained server later than the grace after the list was written"
        );
    });
}

/// The same with the whole head, or with the size line of the first chunk as well.
#[test]
fn a_response_that_stops_after_its_head_counts_as_a_list() {
    run(async {
        let parts = [WATCH_HEAD.len(), WATCH_HEAD.len() + 3];
        let fleets: Vec<_> =
            parts.into_iter().map(|bytes| spawn_local(late_after_stalled_response(bytes))).collect();
        for (fleet, bytes) in fleets.into_iter().zip(parts) {
            let late = fleet.await.expect("no panic");
            assert_eq!(
                late, 0,
                "{bytes} bytes: sent to a drained server later than the grace after the list was written"
            );
        }
    });
}

/// The number of requests that one process sent to the drained server too late, after this many bytes of a response.
async fn late_after_stalled_response(bytes: usize) -> usize {
    let mut fleet = Fleet::start(&format!("begun-{bytes}"), 1, Duration::from_secs(7), |_| ()).await;
    let before = fleet.registry.watches.get();
    fleet.relay.set_mode(ConnectionMode::SilentAfter(bytes));
    fleet.relay.reset_after(0);
    fleet.drain();
    eventually("a response begins", || fleet.registry.watches.get() > before).await;
    let written = Instant::now();
    fleet.wait_for_clients().await;
    assert!(fleet.tally.borrow().refused > 0);
    fleet.begun_after(written + GRACE)
}
