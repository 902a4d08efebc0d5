//! Long sequences of unusual but valid events. The rules are checked for every action.

mod common;
use common::*;
use nettleworks_policy::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
struct ObservedCall {
    attempts: Vec<(ServerId, Option<Outcome>, Micros)>,
    ended: bool,
    /// No client waits for the call, and its attempts in flight continue.
    detached: bool,
    deadline: Micros,
    class: usize,
}

#[test]
fn rules_hold_for_every_action_of_random_event_sequences() {
    for seed in 0..12 {
        run_random_events(seed);
    }
}

fn run_random_events(seed: u64) {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut below = move |n: u64| u64::from(random.next_u32()) % n;
    let kinds = [
        Idempotency::Free,
        Idempotency::SingleShot,
        Idempotency::Guarded { scope: DedupScope::Cell, window: 300 * MS },
        Idempotency::Guarded { scope: DedupScope::All, window: 300 * MS },
    ];
    let mut settings = settings(Idempotency::Free);
    settings.classes =
        kinds.iter().map(|&idempotency| Class { idempotency, ..settings.classes[0] }).collect();
    settings.limits.hedging = seed.is_multiple_of(2);
    settings.limits.max_attempts = 4;
    settings.balancers = 1 + below(5) as u32;
    settings.pull_list = seed.is_multiple_of(3);
    let (hedging, classes) = (settings.limits.hedging, settings.classes.clone());
    let mut proxy = Proxy::new(settings, 0);
    let mut calls: BTreeMap<CallId, ObservedCall> = BTreeMap::new();
    let mut list: BTreeMap<ServerId, ServerState> = BTreeMap::new();
    let mut known: BTreeSet<ServerId> = BTreeSet::new();
    for step in 0..4_000_u64 {
        proxy.now += below(8) * MS;
        let open: Vec<(CallId, usize)> = calls
            .iter()
            .flat_map(|(&id, c)| {
                (0..c.attempts.len()).filter(|&a| c.attempts[a].1.is_none()).map(move |a| (id, a))
            })
            .collect();
        let actions = match below(10) {
            0..=3 => {
                let class = below(4) as usize;
                let (id, actions) = proxy.call_of_class(class);
                let deadline = proxy.now + 1_200 * MS;
                calls.insert(id, ObservedCall { deadline, class, ..ObservedCall::default() });
                actions
            }
            4..=7 if !open.is_empty() => {
                let (id, attempt) = open[below(open.len() as u64) as usize];
                let outcome = match below(12) {
                    0 => Outcome::Error,
                    1 => Outcome::TurnedAway,
                    2 => Outcome::NoConnection,
                    3 => Outcome::Reset,
                    4 => Outcome::Unknown,
                    _ => Outcome::Served,
                };
                let seen = calls.get_mut(&id).expect("it is open");
                seen.attempts[attempt].1 = Some(outcome);
                let elapsed = proxy.now - seen.attempts[attempt].2;
                seen.ended |= outcome == Outcome::Served;
                seen.detached &= outcome != Outcome::Served;
                proxy.end(id, attempt as u32, outcome, elapsed)
            }
            8 if step % 7 == 0 => {
                let server = ServerId(below(8) as u32);
                let state =
                    [ServerState::Ready, ServerState::Ready, ServerState::Draining, ServerState::Removed]
                        [below(4) as usize];
                let started = if below(4) > 0 { 0 } else { proxy.now };
                known.insert(server);
                list.insert(server, state);
                let cell = CellId(server.0 % 2);
                proxy.list(ListKind::Delta, vec![Entry { server, state, started, cell, ..Entry::default() }])
            }
            8 if step % 31 == 0 => proxy.list(ListKind::Failed, vec![]),
            // The client goes away, and later another one sends the same request.
            8 if step % 5 < 3 && !open.is_empty() => {
                let (call, _) = open[below(open.len() as u64) as usize];
                let seen = calls.get_mut(&call).expect("it is open");
                if seen.detached {
                    (seen.ended, seen.detached, seen.deadline) = (false, false, proxy.now + 1_200 * MS);
                    proxy.event(Event::Extended { call, time_left: 1_200 * MS })
                } else {
                    seen.detached = !seen.ended;
                    seen.ended = true;
                    proxy.event(Event::Detached { call })
                }
            }
            _ => {
                // Deadlines come first, as with the proxy's clock.
                let mut all = Vec::new();
                let due: Vec<CallId> =
                    calls.iter().filter(|(_, c)| !c.ended && c.deadline <= proxy.now).map(|c| *c.0).collect();
                for id in due {
                    let open_attempts: Vec<usize> = (0..calls[&id].attempts.len())
                        .filter(|&a| calls[&id].attempts[a].1.is_none())
                        .collect();
                    for attempt in open_attempts {
                        let seen = calls.get_mut(&id).expect("known");
                        seen.attempts[attempt].1 = Some(Outcome::TimedOut);
                        let elapsed = proxy.now - seen.attempts[attempt].2;
                        let actions = proxy.end(id, attempt as u32, Outcome::TimedOut, elapsed);
                        check(&actions, &mut calls, &list, &known, &classes, hedging, proxy.now);
                    }
                }
                all.extend(proxy.event(Event::Timer));
                all
            }
        };
        check(&actions, &mut calls, &list, &known, &classes, hedging, proxy.now);
    }
    // Every call is ended at last.
    for _ in 0..3 {
        proxy.now += 700 * MS;
        let actions = proxy.event(Event::Timer);
        check(&actions, &mut calls, &list, &known, &classes, hedging, proxy.now);
        let open: Vec<CallId> = calls.iter().filter(|c| !c.1.ended).map(|c| *c.0).collect();
        for id in open {
            for attempt in 0..calls[&id].attempts.len() {
                if calls[&id].attempts[attempt].1.is_none() {
                    calls.get_mut(&id).expect("known").attempts[attempt].1 = Some(Outcome::TimedOut);
                    let actions = proxy.end(id, attempt as u32, Outcome::TimedOut, 700 * MS);
                    check(&actions, &mut calls, &list, &known, &classes, hedging, proxy.now);
                }
            }
        }
    }
    let lost: Vec<_> = calls.iter().filter(|c| !c.1.ended).map(|c| *c.0).collect();
    assert!(lost.is_empty(), "seed {seed}: calls that were never ended: {lost:?}");
    let sent = calls.values().filter(|c| !c.attempts.is_empty()).count();
    assert!(sent > 100, "seed {seed}: too few calls to be conclusive: {sent} sent");
}

fn check(
    actions: &[Action],
    calls: &mut BTreeMap<CallId, ObservedCall>,
    list: &BTreeMap<ServerId, ServerState>,
    known: &BTreeSet<ServerId>,
    classes: &[Class],
    hedging: bool,
    now: Micros,
) {
    for action in actions {
        match *action {
            Action::Send { call, server, .. } => {
                let seen = calls.get_mut(&call).expect("a known call");
                assert!(!seen.ended, "sent after the call has ended");
                assert!(
                    known.contains(&server) && list[&server] == ServerState::Ready,
                    "sent to a server that is not ready"
                );
                assert!(seen.attempts.len() < 4, "more attempts than allowed");
                let in_flight = seen.attempts.iter().filter(|a| a.1.is_none()).count();
                assert!(in_flight == 0 || hedging && in_flight == 1);
                let first = seen.attempts.iter().find(|a| a.1.is_none_or(|o| !o.never_ran()));
                match (classes[seen.class].idempotency, first) {
                    (Idempotency::SingleShot, Some(_)) => panic!("an unsafe call was retried"),
                    (Idempotency::Guarded { scope, window }, Some(first)) => {
                        assert!(
                            scope == DedupScope::All || first.0 .0 % 2 == server.0 % 2,
                            "retried outside its cell"
                        );
                        assert!(now <= first.2 + window, "retried after its window");
                    }
                    _ => {}
                }
                seen.attempts.push((server, None, now));
            }
            Action::Refuse { call, .. } => {
                let seen = calls.get_mut(&call).expect("a known call");
                assert!(!std::mem::replace(&mut seen.ended, true), "ended twice");
                let proven = seen.attempts.iter().all(|a| a.1.is_some_and(Outcome::never_ran));
                let harmless = matches!(
                    classes[seen.class].idempotency,
                    Idempotency::Free | Idempotency::Guarded { scope: DedupScope::All, .. }
                );
                assert!(proven || harmless, "refused although it may have run");
            }
            Action::Fail { call, .. } => {
                let seen = calls.get_mut(&call).expect("a known call");
                assert!(!std::mem::replace(&mut seen.ended, true), "ended twice");
            }
            Action::Cancel { call, attempt } => {
                assert!((attempt as usize) < calls[&call].attempts.len(), "no such attempt")
            }
            _ => {}
        }
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut proxy = Proxy::new(settings(Idempotency::Free), 5);
        for i in 0..300 {
            proxy.serve((i % 17) * MS);
        }
        proxy.actions
    };
    assert_eq!(run(), run());
}

#[test]
fn invalid_input_does_not_panic() {
    let mut invalid = settings(Idempotency::Free);
    invalid.balancers = 0;
    invalid.limits.max_attempts = 0;
    invalid.tenants = vec![Tenant { share: 0.0 }];
    invalid.rules = Rules {
        cold_overload_limit: 0.0,
        cold_share: 0.0,
        cold_time: 0,
        list_refresh_interval: 0,
        drain_grace: 0,
    };
    let empty = Settings { classes: vec![], ..invalid.clone() };
    for settings in [invalid, empty] {
        let mut proxy = Proxy::new(settings, 2);
        let times = [0, 1, u64::MAX / 2];
        for (i, &time_left) in times.iter().chain(&[u64::MAX]).enumerate() {
            let class = ClassId(if i % 2 == 0 { 0 } else { usize::MAX });
            let call = CallId(1_000 + i as u64);
            let tenant = Some(TenantId(i));
            let event = Event::Request { call, class, tenant, time_left, resent: true };
            proxy.event(event.clone());
            proxy.event(event);
            for attempt in [0, 0, 7] {
                proxy.end(call, attempt, Outcome::Unknown, u64::MAX);
            }
        }
        proxy.end(CallId(99), 0, Outcome::Served, 0);
        proxy.event(Event::Cancelled { call: CallId(99) });
        proxy.event(Event::Streaming { call: CallId(99), attempt: 3 });
        let load = Load { active: Some(f64::NAN), waiting: Some(-1.0), cpu: None };
        proxy.event(Event::HealthChecked { server: ServerId(9), outcome: Outcome::Served, load });
        proxy.list(ListKind::Full, vec![]);
        proxy.now = u64::MAX - 10;
        proxy.list(ListKind::Delta, vec![Entry { started: u64::MAX, ..ready(1) }]);
        let (call, _) = proxy.call();
        proxy.wait(5);
        proxy.event(Event::Cancelled { call });
    }
}
