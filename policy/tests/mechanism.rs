//! The mechanism of the design, each part by itself.

mod common;
use common::*;
use nettleworks_policy::*;
use std::collections::{BTreeMap, BTreeSet};

/// Fills a single server's first budget (1 step x 1 call with seven balancers) and leaves the call out.
fn full_server(idempotency: Idempotency) -> (Proxy, CallId) {
    let mut proxy = Proxy::new(settings(idempotency), 1);
    let (first, actions) = proxy.call();
    assert_eq!(sent(&actions).len(), 1);
    (proxy, first)
}

#[test]
fn a_call_at_a_full_budget_passes_as_the_one_trial_and_the_next_waits() {
    let (mut proxy, _) = full_server(Idempotency::SingleShot);
    let (trial, actions) = proxy.call();
    assert_eq!(sent(&actions), [(trial, ServerId(1))]);
    let (_, actions) = proxy.call();
    assert!(sent(&actions).is_empty(), "one trial at a time");
}

#[test]
fn a_served_trial_adds_one_step() {
    let (mut proxy, _) = full_server(Idempotency::SingleShot);
    let (trial, _) = proxy.call();
    let (a, b) = (proxy.call().0, proxy.call().0);
    proxy.now += 50 * MS;
    let actions = proxy.end(trial, 1, Outcome::Served, 50 * MS);
    assert!(sent(&actions).is_empty(), "an attempt that was never made has no outcome");
    let actions = proxy.end(trial, 0, Outcome::Served, 50 * MS);
    // Two steps of one call each, one in use: the first that waits goes, and no trial before the step has shown
    // what it does.
    assert_eq!(sent(&actions), [(a, ServerId(1))]);
    proxy.now += 100 * MS;
    proxy.end(a, 0, Outcome::Served, 100 * MS);
    proxy.now += 100 * MS;
    proxy.end(b, 0, Outcome::Served, 100 * MS);
    proxy.wait(300 * MS);
    let (c, d, e) = (proxy.call().0, proxy.call().0, proxy.call().0);
    let went: Vec<CallId> = sent(&proxy.actions).into_iter().map(|s| s.0).collect();
    assert!(went.ends_with(&[b, c, d]) && !went.contains(&e), "then one is the next trial: {went:?}");
}

/// Lets calls come until one is sent; tells after how long, and which.
fn until_trial(proxy: &mut Proxy) -> (Micros, CallId) {
    let began = proxy.now;
    loop {
        proxy.now += 5 * MS;
        let mut actions = proxy.event(Event::Timer);
        actions.extend(proxy.call().1);
        if let Some(&(call, _)) = sent(&actions).first() {
            return (proxy.now - began, call);
        }
        assert!(proxy.now < began + 5_000 * MS, "no trial");
    }
}

#[test]
fn a_failed_trial_doubles_the_backoff_up_to_a_cap_and_a_served_one_resets_it() {
    let (mut proxy, _) = full_server(Idempotency::SingleShot);
    let mut trial = proxy.call().0;
    let mut spans = Vec::new();
    for _ in 0..6 {
        proxy.end(trial, 0, Outcome::Error, MS);
        let (span, next) = until_trial(&mut proxy);
        spans.push(span / MS);
        trial = next;
    }
    for (span, wanted) in spans.iter().zip([125, 250, 500, 1_000, 2_000, 2_000]) {
        assert!(span.abs_diff(wanted) <= 10, "{spans:?}");
    }
    let mut out = sent(&proxy.end(trial, 0, Outcome::Served, MS));
    while let Some((call, _)) = out.pop() {
        out.extend(sent(&proxy.end(call, 0, Outcome::Served, MS)));
    }
    proxy.wait(1_000 * MS);
    for _ in 0..12 {
        proxy.serve(MS);
    }
    let mut next = trial;
    while let Some(&(call, _)) = sent(&proxy.call().1).first() {
        next = call;
    }
    assert_ne!(next, trial, "the last that went, at a full budget, is the next trial");
    proxy.end(next, 0, Outcome::Error, MS);
    assert!(until_trial(&mut proxy).0.abs_diff(125 * MS) <= 10 * MS);
}

#[test]
fn waiting_calls_go_out_in_the_order_of_arrival() {
    let (mut proxy, first) = full_server(Idempotency::SingleShot);
    let trial = proxy.call().0;
    let waiting: Vec<CallId> = (0..4).map(|_| proxy.call().0).collect();
    let mut order = Vec::new();
    for call in [first, trial] {
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

/// Of 400 single calls, how many went to server 2, by how long (and how) each server ends them.
fn second_of_two(entries: Vec<Entry>, end: impl Fn(ServerId) -> (Outcome, Micros)) -> usize {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    // A hundred balancers: a server's first budget is far under a call.
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
fn ties_go_to_the_server_where_calls_lately_spent_less_time() {
    let two = || vec![ready(1), ready(2)];
    let slow_first = |s| (Outcome::Served, if s == ServerId(1) { 200 * MS } else { 40 * MS });
    assert!(second_of_two(two(), slow_first) > 300, "five times as fast: five calls to one");
    let alike = second_of_two(two(), |_| (Outcome::Served, 40 * MS));
    assert!((180..=220).contains(&alike), "{alike}");
}

#[test]
fn ties_go_by_the_listed_size_and_quick_errors_count_as_a_whole_aim() {
    let sized = vec![ready(1), Entry { weight: 2.0, ..ready(2) }];
    let double = second_of_two(sized, |_| (Outcome::Served, 40 * MS));
    assert!((250..=290).contains(&double), "two thirds to the server of twice the size: {double}");
    // Odd sizes count as 1.
    let two = || vec![ready(1), ready(2)];
    let odd = vec![Entry { weight: f64::NAN, ..ready(1) }, Entry { weight: -3.0, ..ready(2) }];
    let alike = second_of_two(odd, |_| (Outcome::Served, 40 * MS));
    assert!((180..=220).contains(&alike), "{alike}");
    let full = |s| if s == ServerId(1) { (Outcome::TurnedAway, MS) } else { (Outcome::Served, 40 * MS) };
    let shunned = second_of_two(two(), full);
    assert!(shunned > 300, "a quick refusal is not a quick answer: {shunned}");
}

#[test]
fn a_pick_at_full_budget_is_redrawn_among_servers_under_budget() {
    // One of twenty has room: two random choices alone would rarely meet it, and a trial would be needed.
    let mut proxy = Proxy::new(settings(Idempotency::SingleShot), 20);
    let servers: std::collections::BTreeSet<ServerId> = (0..20).map(|_| sent(&proxy.call().1)[0].1).collect();
    assert_eq!(servers.len(), 20, "every budget is used before any is passed");
}

/// How many calls a fresh server is sent at once, of which the last is a trial, after seven that it served but for
/// one that ended so.
fn room_after(outcome: Outcome) -> usize {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    let mut proxy = Proxy::new(Settings { balancers: 1, limits, ..settings(Idempotency::SingleShot) }, 1);
    let calls: Vec<CallId> = (0..7).map(|_| proxy.call().0).collect();
    assert_eq!(sent(&proxy.actions).len(), 7, "what one balancer starts with");
    proxy.now += 5 * MS;
    proxy.end(calls[0], 0, outcome, 5 * MS);
    for call in &calls[1..] {
        proxy.end(*call, 0, Outcome::Served, 5 * MS);
    }
    proxy.wait(1_000 * MS);
    (0..20).filter(|_| !sent(&proxy.call().1).is_empty()).count()
}

#[test]
fn a_refusal_as_full_lowers_the_concurrency() {
    assert_eq!(room_after(Outcome::Served), 8);
    assert_eq!(room_after(Outcome::TurnedAway), 7, "four fifths of seven, and a trial");
}

/// Sends calls until one waits, and has all of them served after 40 ms; tells how many went at once.
fn fill(proxy: &mut Proxy) -> usize {
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
fn steps_end_at_the_clamp_so_that_as_many_connection_failures_take_them() {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    let mut proxy = Proxy::new(Settings { limits, ..settings(Idempotency::SingleShot) }, 1);
    let grown: Vec<usize> = (0..30).map(|_| fill(&mut proxy)).collect();
    assert!(grown[29] > 13, "at the clamp the concurrency grows instead: {grown:?}");
    for _ in 0..9 {
        let (call, actions) = proxy.call();
        assert_eq!(sent(&actions).len(), 1);
        proxy.end(call, 0, Outcome::NoConnection, MS);
        for _ in 0..8 {
            proxy.serve(40 * MS);
        }
    }
    let left = fill(&mut proxy);
    assert!(left <= 3, "one step of ten is left, and a trial: {left} after {grown:?}");
}

#[test]
fn connection_failures_take_the_last_step_and_the_server_is_skipped_in_backoff_then_tried_by_one_call() {
    let mut proxy = Proxy::new(settings(Idempotency::Free), 2);
    let (call, actions) = proxy.call();
    let broken = sent(&actions)[0].1;
    proxy.now += MS;
    let other = sent(&proxy.end(call, 0, Outcome::NoConnection, MS))[0].1;
    assert_ne!(broken, other);
    proxy.now += MS;
    proxy.end(call, 1, Outcome::Served, MS);
    for _ in 0..5 {
        assert_eq!(proxy.serve(MS), Some(other), "skipped in backoff");
    }
    proxy.now += 200 * MS;
    let (trial, actions) = proxy.call();
    assert_eq!(sent(&actions), [(trial, broken)]);
    let (second, actions) = proxy.call();
    assert_eq!(sent(&actions)[0].1, other, "one call only");
    proxy.end(second, 0, Outcome::Served, MS);
    proxy.now += MS;
    proxy.end(trial, 0, Outcome::Served, MS);
    let mut used: Vec<ServerId> = (0..12).filter_map(|_| proxy.serve(MS)).collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 2, "taken back");
}

#[test]
fn with_every_server_at_zero_steps_calls_are_refused_with_advice() {
    let mut proxy = Proxy::new(settings(Idempotency::Free), 2);
    // A reset takes a step each; half of two may be set aside, so the list is cut to the broken one.
    let (call, actions) = proxy.call();
    let broken = sent(&actions)[0].1;
    proxy.now += MS;
    proxy.end(call, 0, Outcome::Reset, MS);
    proxy.list(ListKind::Full, vec![ready(broken.0)]);
    let (call, actions) = proxy.call();
    let advice = actions.iter().find_map(|a| match a {
        Action::Refuse { call: id, retry_after, .. } if *id == call => Some(*retry_after),
        _ => None,
    });
    assert!(advice.is_some_and(|a| a > 0), "{actions:?}");
}

#[test]
fn a_thin_balancer_keeps_to_a_window_of_servers_that_is_even_over_all_balancers() {
    let mut windows: BTreeMap<ServerId, u32> = BTreeMap::new();
    for balancer_index in 0..100 {
        let mut proxy =
            Proxy::new(Settings { balancers: 100, balancer_index, ..settings(Idempotency::Free) }, 50);
        let mut met = std::collections::BTreeSet::new();
        for _ in 0..60 {
            proxy.now += 500 * MS;
            met.extend(proxy.serve(20 * MS));
        }
        assert_eq!(met.len(), 8, "few servers, each met often: connections stay open");
        met.into_iter().for_each(|s| *windows.entry(s).or_default() += 1);
    }
    assert_eq!(windows.len(), 50);
    assert!(windows.values().all(|n| *n == 16), "100 windows of 8 over 50 servers: {windows:?}");
}

/// One balancer of a hundred before sixty servers sends a call each `gap`, served after 250 ms: how many servers does it
/// meet in the second half of half a minute?
fn met_at(gap: Micros) -> usize {
    let mut proxy = Proxy::new(Settings { balancers: 100, ..settings(Idempotency::SingleShot) }, 60);
    let (mut out, mut met) = (Vec::<(Micros, CallId)>::new(), BTreeSet::new());
    for _ in 0..30_000 * MS / gap {
        proxy.now += gap;
        let (now, mut actions) = (proxy.now, Vec::new());
        for (_, call) in out.extract_if(.., |o| o.0 <= now).collect::<Vec<_>>() {
            actions.extend(proxy.end(call, 0, Outcome::Served, 250 * MS));
        }
        actions.extend(proxy.call().1);
        for (call, server) in sent(&actions) {
            out.push((now + 250 * MS, call));
            met.extend((now > 16_000 * MS).then_some(server));
        }
    }
    met.len()
}

#[test]
fn a_balancer_with_few_calls_in_flight_uses_few_connections_often_instead_of_many_seldom() {
    let few = met_at(125 * MS);
    assert!(few <= 10, "two calls in flight, as most of a hundred have: {few} servers of sixty");
    let many = met_at(10 * MS);
    assert!(many >= 45, "a busy one spreads its calls over nearly all: {many}");
}

/// How many servers two hundred calls of one balancer of a hundred go to after a pause, where the connections of so many calls
/// before were refused.
fn met_after(refused: usize, pause: Micros) -> usize {
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
    // Those that were set aside are tried first, one call each.
    (0..60).for_each(|_| drop((proxy.wait(30 * MS), proxy.serve(20 * MS))));
    let met: BTreeSet<_> = (0..200).filter_map(|_| (proxy.wait(10 * MS), proxy.serve(20 * MS)).1).collect();
    met.len()
}

#[test]
fn a_balancer_whose_connections_are_refused_keeps_to_fewer_servers_for_a_while() {
    assert_eq!(met_after(0, 2_000 * MS), 8, "as many as a thin one has");
    assert!(met_after(12, 2_000 * MS) <= 6, "{} of eight", met_after(12, 2_000 * MS));
    assert_eq!(met_after(12, 120_000 * MS), 8, "there may be room again");
}

#[test]
fn a_window_moves_past_servers_that_are_down() {
    let mut proxy = Proxy::new(Settings { balancers: 100, ..settings(Idempotency::Free) }, 50);
    proxy.list(ListKind::Full, (1..=50).filter(|i| *i > 8).map(ready).collect());
    assert!((0..20).all(|_| (proxy.wait(500 * MS), proxy.serve(20 * MS)).1.is_some_and(|s| s.0 > 8)));
}
