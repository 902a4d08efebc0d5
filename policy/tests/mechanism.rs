//! The parts of the mechanism, each on its own.

mod common;
use common::*;
use nettleworks_policy::*;
use std::collections::{BTreeMap, BTreeSet};

/// Fills the initial limit of a single server (one step of one call, with seven balancers) and leaves the
/// call in flight.
fn full_server(idempotency: Idempotency) -> (Proxy, CallId) {
    let mut proxy = Proxy::new(settings(idempotency), 1);
    let (first, actions) = proxy.call();
    assert_eq!(sent(&actions).len(), 1);
    (proxy, first)
}

#[test]
fn one_call_exceeds_a_full_limit_as_the_probe_and_the_next_waits() {
    let (mut proxy, _) = full_server(Idempotency::SingleShot);
    let (probe, actions) = proxy.call();
    assert_eq!(sent(&actions), [(probe, ServerId(1))]);
    let (_, actions) = proxy.call();
    assert!(sent(&actions).is_empty(), "one probe request at a time");
}

#[test]
fn a_served_probe_adds_one_step() {
    let (mut proxy, _) = full_server(Idempotency::SingleShot);
    let (probe, _) = proxy.call();
    let (a, b) = (proxy.call().0, proxy.call().0);
    proxy.now += 50 * MS;
    let actions = proxy.end(probe, 1, Outcome::Served, 50 * MS);
    assert!(sent(&actions).is_empty(), "the outcome of an attempt that was never sent is ignored");
    let actions = proxy.end(probe, 0, Outcome::Served, 50 * MS);
    // Two steps of one call each, one of them in use: the first queued call is sent. There is no probe
    // request before the effect of the step is known.
    assert_eq!(sent(&actions), [(a, ServerId(1))]);
    proxy.now += 100 * MS;
    proxy.end(a, 0, Outcome::Served, 100 * MS);
    proxy.now += 100 * MS;
    proxy.end(b, 0, Outcome::Served, 100 * MS);
    proxy.wait(300 * MS);
    let (c, d, e) = (proxy.call().0, proxy.call().0, proxy.call().0);
    let sent_calls: Vec<CallId> = sent(&proxy.actions).into_iter().map(|s| s.0).collect();
    assert!(
        sent_calls.ends_with(&[b, c, d]) && !sent_calls.contains(&e),
        "then one more is sent, as the next probe request: {sent_calls:?}"
    );
}

/// Adds calls until one is sent. Returns the time until then and that call.
fn next_probe(proxy: &mut Proxy) -> (Micros, CallId) {
    let began = proxy.now;
    loop {
        proxy.now += 5 * MS;
        let mut actions = proxy.event(Event::Timer);
        actions.extend(proxy.call().1);
        if let Some(&(call, _)) = sent(&actions).first() {
            return (proxy.now - began, call);
        }
        assert!(proxy.now < began + 5_000 * MS, "no probe request");
    }
}

#[test]
fn a_failed_probe_doubles_the_backoff_up_to_a_cap_and_a_served_one_resets_it() {
    let (mut proxy, _) = full_server(Idempotency::SingleShot);
    let mut probe = proxy.call().0;
    let mut spans = Vec::new();
    for _ in 0..6 {
        proxy.end(probe, 0, Outcome::Error, MS);
        let (span, next) = next_probe(&mut proxy);
        spans.push(span / MS);
        probe = next;
    }
    for (span, wanted) in spans.iter().zip([125, 250, 500, 1_000, 2_000, 2_000]) {
        assert!(span.abs_diff(wanted) <= 10, "{spans:?}");
    }
    let mut in_flight = sent(&proxy.end(probe, 0, Outcome::Served, MS));
    while let Some((call, _)) = in_flight.pop() {
        in_flight.extend(sent(&proxy.end(call, 0, Outcome::Served, MS)));
    }
    proxy.wait(1_000 * MS);
    for _ in 0..12 {
        proxy.serve(MS);
    }
    let mut next = probe;
    while let Some(&(call, _)) = sent(&proxy.call().1).first() {
        next = call;
    }
    assert_ne!(next, probe, "the last call that was sent, at the full limit, is the next probe request");
    proxy.end(next, 0, Outcome::Error, MS);
    assert!(next_probe(&mut proxy).0.abs_diff(125 * MS) <= 10 * MS);
}

#[test]
fn queued_calls_are_sent_in_order_of_arrival() {
    let (mut proxy, first) = full_server(Idempotency::SingleShot);
    let probe = proxy.call().0;
    let waiting: Vec<CallId> = (0..4).map(|_| proxy.call().0).collect();
    let mut order = Vec::new();
    for call in [first, probe] {
        proxy.now += 20 * MS;
        order.extend(sent(&proxy.end(call, 0, Outcome::Served, 20 * MS)).into_iter().map(|s| s.0));
    }
    assert!(order.len() >= 2);
    assert_eq!(order[..], waiting[..order.len()]);
}

#[test]
fn the_less_loaded_of_two_is_chosen() {
    let mut proxy = Proxy::new(Settings { balancers: 1, ..settings(Idempotency::SingleShot) }, 2);
    let mut load: BTreeMap<ServerId, u32> = BTreeMap::new();
    for _ in 0..10 {
        let server = sent(&proxy.call().1)[0].1;
        *load.entry(server).or_default() += 1;
    }
    assert_eq!(load[&ServerId(1)], 5);
    assert_eq!(load[&ServerId(2)], 5);
}

/// Number of calls out of 400 that go to server 2, where `end` determines how each server ends them.
fn calls_to_second_server(entries: Vec<Entry>, end: impl Fn(ServerId) -> (Outcome, Micros)) -> usize {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    // With a hundred balancers, a server's initial limit is far below one call.
    let mut proxy = Proxy::new(Settings { balancers: 100, limits, ..settings(Idempotency::SingleShot) }, 2);
    proxy.list(ListKind::Full, entries);
    let mut second = 0;
    for _ in 0..400 {
        proxy.now += 100 * MS;
        let (call, actions) = proxy.call();
        let Some(&(_, server)) = sent(&actions).first() else { continue };
        second += usize::from(server == ServerId(2));
        let (outcome, elapsed) = end(server);
        proxy.now += elapsed;
        proxy.end(call, 0, outcome, elapsed);
    }
    second
}

#[test]
fn ties_go_to_the_server_with_the_shorter_recent_response_times() {
    let two = || vec![ready(1), ready(2)];
    let slow_first = |s| (Outcome::Served, if s == ServerId(1) { 200 * MS } else { 40 * MS });
    assert!(calls_to_second_server(two(), slow_first) > 300, "it is five times as fast and gets most calls");
    let equal = calls_to_second_server(two(), |_| (Outcome::Served, 40 * MS));
    assert!((180..=220).contains(&equal), "{equal}");
}

#[test]
fn ties_respect_weights_and_quick_errors_count_as_a_full_latency_target() {
    let sized = vec![ready(1), Entry { weight: 2.0, ..ready(2) }];
    let double = calls_to_second_server(sized, |_| (Outcome::Served, 40 * MS));
    assert!((250..=290).contains(&double), "two thirds go to the server of twice the weight: {double}");
    // Invalid weights count as 1.
    let two = || vec![ready(1), ready(2)];
    let odd = vec![Entry { weight: f64::NAN, ..ready(1) }, Entry { weight: -3.0, ..ready(2) }];
    let equal = calls_to_second_server(odd, |_| (Outcome::Served, 40 * MS));
    assert!((180..=220).contains(&equal), "{equal}");
    let full = |s| if s == ServerId(1) { (Outcome::TurnedAway, MS) } else { (Outcome::Served, 40 * MS) };
    let avoided = calls_to_second_server(two(), full);
    assert!(avoided > 300, "a quick rejection does not count as a quick response: {avoided}");
}

#[test]
fn a_pick_at_its_limit_is_redrawn_among_servers_below_theirs() {
    // One of twenty servers is below its limit. Two random choices alone would rarely find it, and a probe
    // request would be used instead.
    let mut proxy = Proxy::new(settings(Idempotency::SingleShot), 20);
    let servers: std::collections::BTreeSet<ServerId> = (0..20).map(|_| sent(&proxy.call().1)[0].1).collect();
    assert_eq!(servers.len(), 20, "every limit is used before any is exceeded");
}

/// Number of calls that a new server is sent at once, the last of them as a probe request, after seven calls
/// of which one ended with `outcome` and the others were served.
fn calls_accepted_after(outcome: Outcome) -> usize {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    let mut proxy = Proxy::new(Settings { balancers: 1, limits, ..settings(Idempotency::SingleShot) }, 1);
    let calls: Vec<CallId> = (0..7).map(|_| proxy.call().0).collect();
    assert_eq!(sent(&proxy.actions).len(), 7, "the initial limit of a single balancer");
    proxy.now += 5 * MS;
    proxy.end(calls[0], 0, outcome, 5 * MS);
    for call in &calls[1..] {
        proxy.end(*call, 0, Outcome::Served, 5 * MS);
    }
    proxy.wait(1_000 * MS);
    (0..20).filter(|_| !sent(&proxy.call().1).is_empty()).count()
}

#[test]
fn a_rejection_lowers_the_concurrency() {
    assert_eq!(calls_accepted_after(Outcome::Served), 8);
    assert_eq!(calls_accepted_after(Outcome::TurnedAway), 7, "four fifths of seven, and a probe request");
}

/// Sends calls until one is queued, and serves all of them after 40 ms. Returns how many were sent at once.
fn fill_limit(proxy: &mut Proxy) -> usize {
    let mut calls = vec![proxy.call()];
    while !sent(&calls[calls.len() - 1].1).is_empty() {
        calls.push(proxy.call());
    }
    proxy.now += 40 * MS;
    for (call, _) in &calls {
        proxy.end(*call, 0, Outcome::Served, 40 * MS);
    }
    let (waiting, _) = calls[calls.len() - 1];
    proxy.event(Event::Cancelled { call: waiting });
    proxy.wait(300 * MS);
    calls.len() - 1
}

#[test]
fn steps_are_capped_so_that_as_many_connection_failures_remove_them() {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    let mut proxy = Proxy::new(Settings { limits, ..settings(Idempotency::SingleShot) }, 1);
    let grown: Vec<usize> = (0..30).map(|_| fill_limit(&mut proxy)).collect();
    assert!(grown[29] > 13, "at the maximum of steps the concurrency grows instead: {grown:?}");
    for _ in 0..9 {
        let (call, actions) = proxy.call();
        assert_eq!(sent(&actions).len(), 1);
        proxy.end(call, 0, Outcome::NoConnection, MS);
        for _ in 0..8 {
            proxy.serve(40 * MS);
        }
    }
    let left = fill_limit(&mut proxy);
    assert!(left <= 3, "one step of ten is left, and a probe request: {left} after {grown:?}");
}

#[test]
fn connection_failures_eject_a_server_and_one_probe_follows_the_backoff() {
    let mut proxy = Proxy::new(settings(Idempotency::Free), 2);
    let (call, actions) = proxy.call();
    let broken = sent(&actions)[0].1;
    proxy.now += MS;
    let other = sent(&proxy.end(call, 0, Outcome::NoConnection, MS))[0].1;
    assert_ne!(broken, other);
    proxy.now += MS;
    proxy.end(call, 1, Outcome::Served, MS);
    for _ in 0..5 {
        assert_eq!(proxy.serve(MS), Some(other), "the broken server is in backoff");
    }
    proxy.now += 200 * MS;
    let (probe, actions) = proxy.call();
    assert_eq!(sent(&actions), [(probe, broken)]);
    let (second, actions) = proxy.call();
    assert_eq!(sent(&actions)[0].1, other, "only one probe request");
    proxy.end(second, 0, Outcome::Served, MS);
    proxy.now += MS;
    proxy.end(probe, 0, Outcome::Served, MS);
    let mut used: Vec<ServerId> = (0..12).filter_map(|_| proxy.serve(MS)).collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 2, "reinstated");
}

#[test]
fn with_all_servers_ejected_calls_are_refused_with_a_retry_after() {
    let mut proxy = Proxy::new(settings(Idempotency::Free), 2);
    // A reset removes a step. At most half of two servers may be ejected, so the list is reduced to the
    // broken one.
    let (call, actions) = proxy.call();
    let broken = sent(&actions)[0].1;
    proxy.now += MS;
    proxy.end(call, 0, Outcome::Reset, MS);
    proxy.list(ListKind::Full, vec![ready(broken.0)]);
    let (call, actions) = proxy.call();
    let retry_after = actions.iter().find_map(|a| match a {
        Action::Refuse { call: id, retry_after, .. } if *id == call => Some(*retry_after),
        _ => None,
    });
    assert!(retry_after.is_some_and(|a| a > 0), "{actions:?}");
}

#[test]
fn a_balancer_with_few_calls_uses_a_subset_and_subsets_cover_servers_evenly() {
    let mut subsets: BTreeMap<ServerId, u32> = BTreeMap::new();
    for balancer_index in 0..100 {
        let mut proxy =
            Proxy::new(Settings { balancers: 100, balancer_index, ..settings(Idempotency::Free) }, 50);
        let mut used = std::collections::BTreeSet::new();
        for _ in 0..60 {
            proxy.now += 500 * MS;
            used.extend(proxy.serve(20 * MS));
        }
        assert_eq!(used.len(), 8, "few servers, each used often, so that connections stay open");
        used.into_iter().for_each(|s| *subsets.entry(s).or_default() += 1);
    }
    assert_eq!(subsets.len(), 50);
    assert!(subsets.values().all(|n| *n == 16), "100 subsets of 8 over 50 servers: {subsets:?}");
}

/// A balancer, one of a hundred in front of sixty servers, sends a call every `gap`, served after 250 ms.
/// Returns how many servers it uses in the second half of thirty seconds.
fn servers_used_at(gap: Micros) -> usize {
    let mut proxy = Proxy::new(Settings { balancers: 100, ..settings(Idempotency::SingleShot) }, 60);
    let (mut in_flight, mut used) = (Vec::<(Micros, CallId)>::new(), BTreeSet::new());
    for _ in 0..30_000 * MS / gap {
        proxy.now += gap;
        let (now, mut actions) = (proxy.now, Vec::new());
        for (_, call) in in_flight.extract_if(.., |o| o.0 <= now).collect::<Vec<_>>() {
            actions.extend(proxy.end(call, 0, Outcome::Served, 250 * MS));
        }
        actions.extend(proxy.call().1);
        for (call, server) in sent(&actions) {
            in_flight.push((now + 250 * MS, call));
            used.extend((now > 16_000 * MS).then_some(server));
        }
    }
    used.len()
}

#[test]
fn a_balancer_with_few_calls_in_flight_reuses_few_connections() {
    let few = servers_used_at(125 * MS);
    assert!(few <= 10, "two calls in flight: {few} of sixty servers");
    let many = servers_used_at(10 * MS);
    assert!(many >= 45, "a busy balancer uses nearly all servers: {many}");
}

/// Number of servers that get two hundred calls of a balancer, one of a hundred, after `refused` calls whose
/// connections were refused and a pause.
fn servers_used_after(refused: usize, pause: Micros) -> usize {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    let mut proxy = Proxy::new(Settings { balancers: 100, limits, ..settings(Idempotency::Free) }, 60);
    (0..20).for_each(|_| drop((proxy.wait(200 * MS), proxy.serve(20 * MS))));
    for _ in 0..refused {
        proxy.now += 200 * MS;
        let (call, actions) = proxy.call();
        if !sent(&actions).is_empty() {
            proxy.end(call, 0, Outcome::NoConnection, MS);
        }
    }
    proxy.now += pause;
    // Ejected servers get a probe request each first.
    (0..60).for_each(|_| drop((proxy.wait(30 * MS), proxy.serve(20 * MS))));
    let used: BTreeSet<_> = (0..200).filter_map(|_| (proxy.wait(10 * MS), proxy.serve(20 * MS)).1).collect();
    used.len()
}

#[test]
fn refused_connections_shrink_the_subset_for_a_while() {
    assert_eq!(servers_used_after(0, 2_000 * MS), 8, "the minimum subset");
    assert!(
        servers_used_after(12, 2_000 * MS) <= 6,
        "{} of eight servers",
        servers_used_after(12, 2_000 * MS)
    );
    assert_eq!(servers_used_after(12, 120_000 * MS), 8, "connections may be accepted again");
}

#[test]
fn a_subset_skips_removed_servers() {
    let mut proxy = Proxy::new(Settings { balancers: 100, ..settings(Idempotency::Free) }, 50);
    proxy.list(ListKind::Full, (1..=50).filter(|i| *i > 8).map(ready).collect());
    assert!((0..20).all(|_| (proxy.wait(500 * MS), proxy.serve(20 * MS)).1.is_some_and(|s| s.0 > 8)));
}
