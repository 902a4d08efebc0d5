//! The lease of the server list: when it is renewed, and what happens when it is not.

mod common;
use common::*;
use nettleworks_policy::*;

const SECOND: Micros = 1_000 * MS;
/// Nothing may be decided by a list that was last verified so long ago: six seconds, a second's grace, less a hold-up.
const LEASE: Micros = 6_750 * MS;

/// One of so many whose watch is open and alive.
fn watching(balancers: u32, balancer_index: u32) -> Proxy {
    watching_with(balancers, balancer_index, Idempotency::Free)
}

fn watching_with(balancers: u32, balancer_index: u32, idempotency: Idempotency) -> Proxy {
    let settings = Settings { balancers, balancer_index, pull_list: true, ..settings(idempotency) };
    let mut proxy = Proxy::seeded(u64::from(balancer_index), settings);
    proxy.list(ListKind::Full, (1..=8).map(ready).collect());
    proxy
}

/// Its watch breaks now.
fn break_watch(proxy: &mut Proxy) {
    let since = proxy.now;
    proxy.event(Event::Freshness(Freshness::Unverified { since }));
    proxy.list(ListKind::Failed, vec![]);
}

/// How long until it asks for the list, in steps of 10 ms; `None`: not within this time.
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
            let first = subscribes_within(&mut proxy, LEASE).expect("it asks");
            // Refused at once.
            break_watch(&mut proxy);
            let second = subscribes_within(&mut proxy, LEASE).expect("it asks again");
            assert!(first + second <= 4_600 * MS, "{balancers}: {first} and {second} us");
            first_times.push(first);
        }
        // Not all in one moment, where they are many.
        first_times.sort_unstable();
        let spread = first_times[first_times.len() - 1] - first_times[0];
        assert!(balancers < 300 || spread >= SECOND, "{balancers}: over {spread} us");
    }
}

/// Discovery has ended the watch in order: the next call comes while there is time for its answer, and nothing is sent past
/// the grace of what the watch was to tell.
#[test]
fn after_an_orderly_end_the_watch_is_renewed_in_time_and_nothing_is_sent_past_the_grace() {
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

/// A list was on its way when discovery went down: it was written, and counts however long the outage lasts.
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

/// What another engine of the process was told changes the list, and neither renews the lease nor ends the search for a
/// watch.
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

/// New calls, held ones, further attempts and second copies: none goes by a list that has expired, each is answered at
/// once, and as refused only if it surely never ran.
#[test]
fn nothing_is_sent_after_the_list_has_expired() {
    let mut proxy = watching(300, 7);
    break_watch(&mut proxy);
    let lost = proxy.now;
    let (out, mut queued) = (proxy.call().0, Vec::new());
    proxy.now = lost + LEASE - MS;
    // More than there is room for: some wait.
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
        assert!(refused(&actions, call), "{call:?} was held: {actions:?}");
    }
    let (call, actions) = proxy.call();
    let reason = FailureReason::ListExpired;
    let list_expired =
        |a: &Action| matches!(a, Action::Refuse { call: c, reason: r, .. } if (*c, *r) == (call, reason));
    assert!(actions.iter().any(list_expired), "{actions:?}");
    // Its attempt was out before: it goes nowhere else now.
    let actions = proxy.end(out, 0, Outcome::TurnedAway, 5 * MS);
    assert_eq!(sent(&actions), []);
    assert!(refused(&actions, out), "{actions:?}");
    // With a list one is sent by again.
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

/// Discovery is down for a minute, and each call there is let run out: nothing that it has counts, so the list stays good.
#[test]
fn an_outage_of_discovery_does_not_expire_the_list() {
    for balancer_index in 0..50 {
        let mut proxy = watching(300, balancer_index);
        break_watch(&mut proxy);
        let lost = proxy.now;
        while proxy.now - lost < 60 * SECOND {
            subscribes_within(&mut proxy, LEASE).expect("it asks");
            let began = proxy.now;
            proxy.now += 2 * SECOND;
            assert!(
                proxy.serve(5 * MS).is_some(),
                "{balancer_index}: {} us after the loss",
                proxy.now - lost
            );
            proxy.event(Event::Freshness(Freshness::Unverified { since: lost }));
            proxy.event(Event::Freshness(Freshness::Unreachable { since: began }));
            proxy.list(ListKind::Failed, vec![]);
            assert!(
                proxy.serve(5 * MS).is_some(),
                "{balancer_index}: {} us after the loss",
                proxy.now - lost
            );
        }
    }
}

/// Discovery refuses each call. The list expires, and the calls there become fewer, but for good never.
#[test]
fn subscriptions_become_rarer_once_the_list_has_expired() {
    let mut proxy = watching(300, 3);
    break_watch(&mut proxy);
    let mut pauses = Vec::new();
    for _ in 0..8 {
        pauses.push(subscribes_within(&mut proxy, 20 * SECOND).expect("it asks"));
        proxy.list(ListKind::Failed, vec![]);
    }
    assert!(pauses[0] <= 2_300 * MS && pauses[6] >= 2_500 * MS && pauses[7] <= 7_600 * MS, "{pauses:?}");
}

/// A list that was cut off on its way counts as notified: it is asked for soon, however many there are and whatever failed
/// before, and nothing is sent past the grace.
#[test]
fn an_incomplete_list_is_requested_again_within_the_grace() {
    for balancer_index in 0..100 {
        let mut proxy = watching(900, balancer_index);
        break_watch(&mut proxy);
        for _ in 0..3 {
            subscribes_within(&mut proxy, LEASE).expect("it asks");
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
