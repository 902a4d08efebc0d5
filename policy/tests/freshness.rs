//! The lease of the server list: when it is renewed, and what happens when it is not.

mod common;
use common::*;
use nettleworks_policy::*;

const SECOND: Micros = 1_000 * MS;
/// No request may be sent this long after the list was last verified: six seconds until missed changes count
/// as notified, plus a grace of one second, less the maximum write delay.
const LEASE: Micros = 6_750 * MS;

/// One of `balancers` balancers, with an open watch that is alive.
fn watching(balancers: u32, balancer_index: u32) -> Proxy {
    watching_with(balancers, balancer_index, Idempotency::Free)
}

fn watching_with(balancers: u32, balancer_index: u32, idempotency: Idempotency) -> Proxy {
    let settings = Settings { balancers, balancer_index, pull_list: true, ..settings(idempotency) };
    let mut proxy = Proxy::seeded(u64::from(balancer_index), settings);
    proxy.list(ListKind::Full, (1..=8).map(ready).collect());
    proxy
}

/// Breaks the balancer's watch.
fn break_watch(proxy: &mut Proxy) {
    let since = proxy.now;
    proxy.event(Event::Freshness(Freshness::Unverified { since }));
    proxy.list(ListKind::Failed, vec![]);
}

/// Time until the balancer subscribes, in steps of 10 ms; `None` if it takes longer than `most`.
fn subscribes_within(proxy: &mut Proxy, most: Micros) -> Option<Micros> {
    let from = proxy.now;
    while proxy.now - from < most {
        if proxy.wait(10 * MS).contains(&Action::Subscribe) {
            return Some(proxy.now - from);
        }
    }
    None
}

#[test]
fn any_number_of_balancers_subscribe_twice_before_their_lists_expire() {
    for balancers in [1, 30, 300, 900, 5_000] {
        let mut first_times = Vec::new();
        for balancer_index in 0..balancers.min(300) {
            let mut proxy = watching(balancers, balancer_index);
            break_watch(&mut proxy);
            let first = subscribes_within(&mut proxy, LEASE).expect("it subscribes");
            // The request is rejected at once.
            break_watch(&mut proxy);
            let second = subscribes_within(&mut proxy, LEASE).expect("it subscribes again");
            assert!(first + second <= 4_600 * MS, "{balancers} balancers: {first} and {second} us");
            first_times.push(first);
        }
        // Many balancers do not subscribe at the same moment.
        first_times.sort_unstable();
        let spread = first_times[first_times.len() - 1] - first_times[0];
        assert!(balancers < 300 || spread >= SECOND, "{balancers} balancers: within {spread} us");
    }
}

/// Discovery has ended the watch gracefully: the next request comes early enough to be answered, and
/// nothing is sent past the drain grace of changes that the watch did not deliver.
#[test]
fn after_a_graceful_end_the_watch_is_renewed_in_time_and_nothing_is_sent_past_the_grace() {
    for balancers in [1, 30, 300, 5_000] {
        for balancer_index in 0..balancers.min(100) {
            let mut proxy = watching(balancers, balancer_index);
            break_watch(&mut proxy);
            let ended = proxy.now;
            proxy.event(Event::Freshness(Freshness::Ended { at: ended }));
            assert!(subscribes_within(&mut proxy, 1_510 * MS).is_some(), "{balancers}: {balancer_index}");
            proxy.now = ended + 2_749 * MS;
            assert_eq!(sent(&proxy.call().1).len(), 1, "{balancers}: {balancer_index}");
            proxy.now = ended + 2_750 * MS;
            assert_eq!(sent(&proxy.call().1), [], "{balancers}: {balancer_index}");
        }
    }
}

/// A list was being received when discovery went down. It had been sent, so its changes count however long
/// the outage lasts.
#[test]
fn an_outage_does_not_extend_the_lease_of_an_incomplete_list() {
    let mut proxy = watching(300, 3);
    break_watch(&mut proxy);
    let cut = proxy.now;
    proxy.event(Event::Freshness(Freshness::Incomplete { since: cut }));
    proxy.event(Event::Freshness(Freshness::Unreachable { since: cut + 100 * MS }));
    assert_eq!(proxy.balancer.list_expires_at(), Some(cut + 750 * MS));
}

#[test]
fn a_cached_list_is_renewed_before_it_expires() {
    for balancer_index in 0..100 {
        let settings =
            Settings { balancers: 1_000, balancer_index, pull_list: true, ..settings(Idempotency::Free) };
        let mut proxy = Proxy::seeded(u64::from(balancer_index), settings);
        proxy.list(ListKind::Cached, vec![ready(1)]);
        let since = proxy.now;
        proxy.event(Event::Freshness(Freshness::Unverified { since }));
        assert!(subscribes_within(&mut proxy, 2_300 * MS).is_some(), "{balancer_index}");
    }
}

/// A list that another engine of the process received updates the entries, but neither renews the lease nor
/// ends the attempts to open a watch.
#[test]
fn a_list_from_another_engine_does_not_verify_the_watch() {
    for (kind, left) in [(ListKind::SharedFull, vec![2]), (ListKind::SharedDelta, (1..=8).collect())] {
        let mut proxy = watching(300, 7);
        break_watch(&mut proxy);
        let lost = proxy.now;
        proxy.list(kind, vec![ready(2)]);
        assert_eq!(proxy.balancer.list_expires_at(), Some(lost + LEASE), "{kind:?}");
        let sent: Vec<u32> = sent(&proxy.call().1).into_iter().map(|(_, server)| server.0).collect();
        assert!(sent.len() == 1 && left.contains(&sent[0]), "{kind:?}: {sent:?}");
        assert!(subscribes_within(&mut proxy, LEASE / 2).is_some(), "{kind:?}");
    }
}

/// New calls, queued calls, retries and hedges: none is sent after the list has expired. Each is ended at
/// once, and refused only if it certainly has not run.
#[test]
fn nothing_is_sent_after_the_list_has_expired() {
    let mut proxy = watching(300, 7);
    break_watch(&mut proxy);
    let lost = proxy.now;
    let (in_flight_call, mut queued) = (proxy.call().0, Vec::new());
    proxy.now = lost + LEASE - MS;
    // More calls than the limit permits, so that some are queued.
    for _ in 0..40 {
        let (call, actions) = proxy.call();
        if sent(&actions).is_empty() && !refused(&actions, call) {
            queued.push(call);
        }
    }
    proxy.now = lost + LEASE;
    let actions = proxy.event(Event::Timer);
    assert_eq!(sent(&actions), []);
    for call in queued {
        assert!(refused(&actions, call), "{call:?} was queued: {actions:?}");
    }
    let (call, actions) = proxy.call();
    let reason = FailureReason::ListExpired;
    let list_expired =
        |a: &Action| matches!(a, Action::Refuse { call: c, reason: r, .. } if (*c, *r) == (call, reason));
    assert!(actions.iter().any(list_expired), "{actions:?}");
    // The attempt was in flight before the expiry; the call is not retried.
    let actions = proxy.end(in_flight_call, 0, Outcome::TurnedAway, 5 * MS);
    assert_eq!(sent(&actions), []);
    assert!(refused(&actions, in_flight_call), "{actions:?}");
    // After a new list, calls are sent again.
    let mut proxy = watching(300, 8);
    break_watch(&mut proxy);
    proxy.now += LEASE;
    assert_eq!(sent(&proxy.call().1), []);
    proxy.list(ListKind::Delta, vec![]);
    assert_eq!(sent(&proxy.call().1).len(), 1);
}

#[test]
fn a_call_that_may_have_run_is_failed_and_not_refused_when_the_list_expires() {
    let mut proxy = watching_with(300, 7, Idempotency::SingleShot);
    let (call, actions) = proxy.call();
    assert_eq!(sent(&actions).len(), 1);
    break_watch(&mut proxy);
    proxy.now += LEASE;
    let actions = proxy.end(call, 0, Outcome::Reset, 5 * MS);
    assert!(failed(&actions, call) && sent(&actions).is_empty(), "{actions:?}");
}

/// Discovery is down for a minute and every request to it times out. It notifies nobody of changes, so the
/// list remains usable.
#[test]
fn an_outage_of_discovery_does_not_expire_the_list() {
    for balancer_index in 0..50 {
        let mut proxy = watching(300, balancer_index);
        break_watch(&mut proxy);
        let lost = proxy.now;
        while proxy.now - lost < 60 * SECOND {
            subscribes_within(&mut proxy, LEASE).expect("it subscribes");
            let began = proxy.now;
            proxy.now += 2 * SECOND;
            assert!(
                proxy.serve(5 * MS).is_some(),
                "{balancer_index}: {} us after the watch was lost",
                proxy.now - lost
            );
            proxy.event(Event::Freshness(Freshness::Unverified { since: lost }));
            proxy.event(Event::Freshness(Freshness::Unreachable { since: began }));
            proxy.list(ListKind::Failed, vec![]);
            assert!(
                proxy.serve(5 * MS).is_some(),
                "{balancer_index}: {} us after the watch was lost",
                proxy.now - lost
            );
        }
    }
}

/// Discovery rejects every request. After the list has expired, requests become rarer but do not stop.
#[test]
fn subscriptions_become_rarer_once_the_list_has_expired() {
    let mut proxy = watching(300, 3);
    break_watch(&mut proxy);
    let mut pauses = Vec::new();
    for _ in 0..8 {
        pauses.push(subscribes_within(&mut proxy, 20 * SECOND).expect("it subscribes"));
        proxy.list(ListKind::Failed, vec![]);
    }
    assert!(pauses[0] <= 2_300 * MS && pauses[6] >= 2_500 * MS && pauses[7] <= 7_600 * MS, "{pauses:?}");
}

/// The changes in an incomplete list count as notified. The list is requested again soon, with any number of
/// balancers and after any earlier failures, and nothing is sent past the drain grace.
#[test]
fn an_incomplete_list_is_requested_again_within_the_grace() {
    for balancer_index in 0..100 {
        let mut proxy = watching(900, balancer_index);
        break_watch(&mut proxy);
        for _ in 0..3 {
            subscribes_within(&mut proxy, LEASE).expect("it subscribes");
            let began = proxy.now;
            proxy.event(Event::Freshness(Freshness::Unreachable { since: began }));
            proxy.list(ListKind::Failed, vec![]);
        }
        let cut = proxy.now;
        proxy.event(Event::Freshness(Freshness::Incomplete { since: cut }));
        proxy.list(ListKind::Silent, vec![]);
        assert!(subscribes_within(&mut proxy, 460 * MS).is_some(), "{balancer_index}");
        proxy.now = cut + 750 * MS;
        assert_eq!(sent(&proxy.call().1), []);
    }
}

#[test]
fn a_heartbeat_of_another_watch_verifies_the_list() {
    let mut proxy = watching(300, 3);
    break_watch(&mut proxy);
    proxy.event(Event::Freshness(Freshness::Verified));
    assert_eq!(proxy.balancer.list_expires_at(), None);
    assert_eq!(subscribes_within(&mut proxy, 30 * SECOND), None, "a watch is open");
}

#[test]
fn a_pushed_list_does_not_expire() {
    let mut proxy = Proxy::new(Settings { balancers: 300, ..settings(Idempotency::Free) }, 8);
    break_watch(&mut proxy);
    proxy.now += 60 * SECOND;
    assert_eq!(sent(&proxy.call().1).len(), 1);
}
