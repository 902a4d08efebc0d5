//! How old a list a process may send by, with real processes: their watches break, fall silent or are not answered, and
//! servers drain meanwhile. What the servers have run is their ledger's word.

mod fleet;

use fleet::{Fleet, GRACE, NOTIFIED_AFTER, NOTIFIED_AFTER_CLOSE};
use nettleworks_crew::Process;
use nettleworks_standins::*;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// The incident: watches of a large fleet are reset while a list is on its way that tells of a drain. Discovery answers
/// the next call at once.
#[test]
fn a_drain_hidden_by_a_watch_reset_within_its_list_is_honored_in_time() {
    run(async {
        let mut fleet = Fleet::start("reset", 16, Duration::from_secs(11), |_| ()).await;
        fleet.relay.reset_after(200);
        let drained = fleet.drain();
        fleet.wait_for_clients().await;
        let (late, served) =
            (fleet.begun_after(drained + NOTIFIED_AFTER + GRACE), fleet.tally.borrow().served);
        assert_eq!(late, 0, "sent to a drained server over {GRACE:?} after it counts as told, of {served}");
        assert!(served > 500, "{served} served");
    });
}

/// The same where the watches are reset just before the list would be written to them.
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

/// Incident 5521: discovery ends its watches in order instead of telling of a drain, and answers no further call. What it
/// was to tell then counts two seconds later, as where a long poll is over.
#[test]
fn a_drain_hidden_by_a_closed_watch_is_honored_in_time() {
    run(async {
        let mut fleet = Fleet::start("ended", 4, Duration::from_secs(7), |_| ()).await;
        fleet.relay.arrivals(Arrival::Hangs);
        fleet.relay.end();
        let drained = fleet.drain();
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(drained + NOTIFIED_AFTER_CLOSE + GRACE), 0);
        assert!(fleet.tally.borrow().refused > 0 && fleet.tally.borrow().served > 50);
    });
}

/// The same where discovery answers the next calls: nobody is refused for it.
#[test]
fn a_closed_watch_refuses_no_requests() {
    run(async {
        let mut fleet = Fleet::start("ended-once", 16, Duration::from_secs(6), |_| ()).await;
        fleet.relay.end();
        let drained = fleet.drain();
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(drained + NOTIFIED_AFTER_CLOSE + GRACE), 0);
        let tally = fleet.tally.borrow();
        assert!(tally.refused * 100 <= tally.served, "{} refused, {} served", tally.refused, tally.served);
    });
}

/// The same while discovery is crowded: it refuses each further call at once. A process that can't have a list in time
/// sends nothing by the one it has, and answers its clients.
#[test]
fn a_drain_hidden_by_an_overloaded_discovery_is_honored_in_time() {
    run(async {
        let mut fleet = Fleet::start("crowded", 4, Duration::from_secs(12), |_| ()).await;
        fleet.relay.arrivals(Arrival::Refused(Duration::ZERO));
        fleet.relay.reset_after(0);
        let drained = fleet.drain();
        fleet.wait_for_clients().await;
        let (late, served) =
            (fleet.begun_after(drained + NOTIFIED_AFTER + GRACE), fleet.tally.borrow().served);
        assert_eq!(late, 0, "sent to a drained server over {GRACE:?} after it counts as told, of {served}");
        let tally = fleet.tally.borrow();
        assert!(tally.refused > 0, "none refused");
        drop(tally);
        assert!(fleet.processes.len() == 4 && served > 100, "{served} served");
    });
}

/// The same where discovery accepts calls and answers none: a process's connection to it may be half open.
#[test]
fn a_drain_hidden_by_unanswered_calls_is_honored_in_time() {
    run(async {
        let mut fleet = Fleet::start("hung", 4, Duration::from_secs(12), |_| ()).await;
        fleet.relay.arrivals(Arrival::Hangs);
        fleet.relay.reset_after(0);
        let drained = fleet.drain();
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(drained + NOTIFIED_AFTER + GRACE), 0);
        assert!(fleet.tally.borrow().refused > 0);
    });
}

/// Of several engines of a process one watches the list. The others send by it too, and stop when it says so.
#[test]
fn no_engine_of_a_process_uses_an_expired_list() {
    run(async {
        let mut fleet = Fleet::start_with("engines", 2, 4, Duration::from_secs(14), |_| ()).await;
        fleet.relay.arrivals(Arrival::Refused(Duration::ZERO));
        fleet.relay.reset_after(0);
        let drained = fleet.drain();
        sleep(Duration::from_secs(8)).await;
        assert_eq!(fleet.begun_after(drained + NOTIFIED_AFTER + GRACE), 0);
        let before = fleet.tally.borrow().served;
        assert!(fleet.tally.borrow().refused > 0);
        // All of them go on with the next list.
        fleet.relay.arrivals(Arrival::Passes);
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(drained + NOTIFIED_AFTER + GRACE), 0);
        let tally = fleet.tally.borrow();
        assert!(tally.served > before, "{before}, then {}", tally.served);
    });
}

/// One call hangs on a dead connection and the next would be answered: it is made beside the first, in time.
#[test]
fn a_hanging_discovery_call_is_hedged_before_the_list_expires() {
    run(async {
        let mut fleet = Fleet::start("hedged", 4, Duration::from_secs(9), |_| ()).await;
        fleet.relay.arrivals(Arrival::Hangs);
        let before = fleet.relay.accepted.get();
        fleet.relay.reset_after(0);
        let drained = fleet.drain();
        eventually("each has called", || fleet.relay.accepted.get() >= before + 4).await;
        fleet.relay.arrivals(Arrival::Passes);
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(drained + NOTIFIED_AFTER + GRACE), 0);
        let tally = fleet.tally.borrow();
        assert!(tally.refused * 100 <= tally.served, "{} refused, {} served", tally.refused, tally.served);
    });
}

/// All watches fall silent, and servers drain in that time. The next are opened while what is hidden is not yet notified.
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

/// Processes are stopped and go on. What their watches brought meanwhile is read late, and proves nothing of the time since:
/// the watches fall silent before the processes go on, and hide a drain.
#[test]
fn a_heartbeat_that_is_read_late_does_not_hide_a_drain() {
    run(async {
        let mut fleet = Fleet::start("stopped", 8, Duration::from_secs(12), |_| ()).await;
        // All hear of a list now, and of a heartbeat two seconds later.
        fleet.registry.set(entry("s-0", fleet.servers[0].address, "Ready"));
        sleep(Duration::from_millis(100)).await;
        fleet.processes.iter().for_each(Process::stop);
        sleep(Duration::from_millis(1_950)).await;
        fleet.relay.silence();
        let drained = fleet.drain();
        sleep(Duration::from_millis(700)).await;
        fleet.relay.arrivals(Arrival::Hangs);
        fleet.processes.iter().for_each(Process::go_on);
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(drained + NOTIFIED_AFTER + GRACE), 0);
        assert!(fleet.tally.borrow().refused > 0);
    });
}

/// Processes are stopped while their watches bring word of a drain, and clients ask meanwhile. When they go on both lie in
/// their sockets, and whichever they read first, nothing goes to that server.
#[test]
fn a_resumed_process_reads_its_list_before_it_sends() {
    run(async {
        let mut fleet = Fleet::start("goes-on", 24, Duration::from_secs(4), |_| ()).await;
        sleep(Duration::from_millis(500)).await;
        fleet.processes.iter().for_each(Process::stop);
        let drained = fleet.drain();
        sleep(Duration::from_millis(2_000)).await;
        fleet.processes.iter().for_each(Process::go_on);
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(drained + GRACE), 0);
        assert!(fleet.tally.borrow().served > 100);
    });
}

/// Discovery is down for longer than a list holds: nothing that it has counts as notified, and clients go on being
/// served. A server drains meanwhile; once discovery is back that is heeded in time.
#[test]
fn clients_are_served_during_an_outage_of_discovery_and_a_drain_is_honored_after_it() {
    run(async {
        let mut fleet = Fleet::start("outage", 8, Duration::from_millis(16_500), |_| ()).await;
        fleet.relay.arrivals(Arrival::Refused(Duration::from_secs(2)));
        fleet.relay.reset_after(1);
        fleet.drain();
        sleep(Duration::from_millis(8_500)).await;
        fleet.relay.arrivals(Arrival::Passes);
        let recovered = Instant::now();
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(recovered + NOTIFIED_AFTER + GRACE), 0);
        let tally = fleet.tally.borrow();
        assert!(tally.refused * 100 <= tally.served, "{} refused, {} served", tally.refused, tally.served);
    });
}

/// A process is killed and starts again with the list that it had, and discovery refuses its calls: that list is no better
/// than one whose watch broke when the process went down.
#[test]
fn a_cached_list_expires_after_a_restart() {
    run(async {
        let mut fleet = Fleet::start("restart", 3, Duration::ZERO, |_| ()).await;
        fleet.wait_for_clients().await;
        fleet.relay.arrivals(Arrival::Refused(Duration::ZERO));
        let drained = fleet.drain();
        fleet.spawn_processes(3);
        fleet.start_clients(Duration::from_secs(10));
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(drained + NOTIFIED_AFTER + GRACE), 0);
        assert!(fleet.tally.borrow().refused > 0 && fleet.tally.borrow().served > 0);
    });
}

/// What another discovery has counts as notified four seconds after the signal that named it.
#[test]
fn a_list_expires_sooner_when_a_new_discovery_does_not_answer() {
    run(async {
        let mut fleet = Fleet::start("moved", 3, Duration::from_secs(9), |_| ()).await;
        let moved = Relay::start(fleet.registry.address).await;
        moved.arrivals(Arrival::Hangs);
        fleet.configure(moved.address, 3, |_| ());
        fleet.processes.iter().for_each(Process::reload);
        let signalled = fleet.drain();
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(signalled + Duration::from_secs(4) + GRACE), 0);
        assert!(fleet.tally.borrow().refused > 0 && fleet.tally.borrow().served > 0);
    });
}

/// Where lists are pushed the agent is silent while discovery is down, and what it has at the return counts at once.
#[test]
fn a_drain_at_the_return_of_a_silent_agent_is_honored_within_the_grace() {
    run(async {
        let push = |config: &mut serde_json::Value| config["settings"]["discovery"] = "push".into();
        let mut fleet = Fleet::start("pushed", 6, Duration::from_secs(11), push).await;
        fleet.relay.arrivals(Arrival::Hangs);
        fleet.relay.silence();
        fleet.drain();
        sleep(Duration::from_secs(8)).await;
        fleet.relay.arrivals(Arrival::Passes);
        let recovered = Instant::now();
        fleet.wait_for_clients().await;
        assert_eq!(fleet.begun_after(recovered + GRACE), 0);
        assert_eq!(fleet.tally.borrow().refused, 0, "an agent that is down hides nothing that counts");
    });
}

/// Discovery is back after an outage, and the first answer is cut off behind its head: a list that was written counts as
/// notified at once, whether it arrives or not. Found by a play of the bench (herd of the panel `brink`).
#[test]
fn a_response_truncated_before_its_list_is_requested_again_within_the_grace() {
    run(async {
        let fleets: Vec<_> = (0..6).map(|number| spawn_local(late_after_truncation(number))).collect();
        for fleet in fleets {
            let late = fleet.await.expect("it ended well");
            assert_eq!(late, 0, "sent to a drained server over the grace after its list was written");
        }
    });
}

/// What one process sent too late.
async fn late_after_truncation(number: usize) -> usize {
    let mut fleet = Fleet::start(&format!("cut-{number}"), 1, Duration::from_secs(10), |_| ()).await;
    fleet.relay.arrivals(Arrival::Refused(Duration::from_millis(1_500)));
    fleet.relay.reset_after(0);
    sleep(Duration::from_secs(4)).await;
    fleet.drain();
    let before = fleet.registry.watches.get();
    // The head, and nothing of the list.
    fleet.relay.arrivals(Arrival::ResetAfter(WATCH.len()));
    eventually("an answer is cut off", || fleet.registry.watches.get() > before).await;
    let written = Instant::now();
    fleet.relay.arrivals(Arrival::Passes);
    fleet.wait_for_clients().await;
    let tally = fleet.tally.borrow();
    assert!(tally.refused * 4 <= tally.served, "{} refused, {} served", tally.refused, tally.served);
    fleet.begun_after(written + GRACE)
}

/// Half of a list comes and the watch stays open: it is heeded as if it had come, until it has.
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

/// An answer begins and does not go on, its connection stays open: a part of the head. What it was to bring counts as written.
#[test]
fn a_response_that_stops_within_its_head_counts_as_a_list() {
    run(async {
        assert_eq!(
            late_after_stalled_response(10).await,
            0,
            "sent to a drained server over the grace after its list was written"
        );
    });
}

/// The same with the head alone, or with the size of the first list's chunk.
#[test]
fn a_response_that_stops_after_its_head_counts_as_a_list() {
    run(async {
        let parts = [WATCH.len(), WATCH.len() + 3];
        let fleets: Vec<_> =
            parts.into_iter().map(|bytes| spawn_local(late_after_stalled_response(bytes))).collect();
        for (fleet, bytes) in fleets.into_iter().zip(parts) {
            let late = fleet.await.expect("it ended well");
            assert_eq!(
                late, 0,
                "{bytes} bytes: sent to a drained server over the grace after its list was written"
            );
        }
    });
}

/// What one process sent too late that had so many bytes of an answer.
async fn late_after_stalled_response(bytes: usize) -> usize {
    let mut fleet = Fleet::start(&format!("begun-{bytes}"), 1, Duration::from_secs(7), |_| ()).await;
    let before = fleet.registry.watches.get();
    fleet.relay.arrivals(Arrival::SilentAfter(bytes));
    fleet.relay.reset_after(0);
    fleet.drain();
    eventually("an answer begins", || fleet.registry.watches.get() > before).await;
    let written = Instant::now();
    fleet.wait_for_clients().await;
    assert!(fleet.tally.borrow().refused > 0);
    fleet.begun_after(written + GRACE)
}
