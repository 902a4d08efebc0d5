//! CPU time of decisions by the size of the fleet: the time that the decision module alone takes for one call (its request
//! and its outcome) at 10, 60 and 1,000 hosts whose limits are shared by a hundred proxies.

use crate::report::{median, Bound, Report};
use nettleworks_policy::{
    Action, Balancer, CallId, Class, ClassId, Entry, Event, Idempotency, ListKind, Load, Micros, Outcome,
    ServerId, ServerState, Settings, ZoneId,
};
use serde_json::json;
use std::time::Instant;

const MILLISECOND: Micros = 1_000;
/// Number of calls of one round.
const CALLS_PER_ROUND: u64 = 2_000;

/// Time per call in microseconds, the median of `rounds` rounds.
fn cpu_us_per_call(hosts: u32, rounds: usize) -> f64 {
    let class = Class {
        latency_target: 861 * MILLISECOND,
        deadline: 2_066 * MILLISECOND,
        value: 1.0,
        late_value: 0.0,
        idempotency: Idempotency::SingleShot,
    };
    let settings = Settings { classes: vec![class], balancers: 100, ..Settings::default() };
    let mut balancer = Balancer::new(7, settings);
    let mut actions = Vec::new();
    let mut now = 1_000_000;
    balancer.handle(now, Event::Start, &mut actions);
    let entry = |id: u32| Entry {
        server: ServerId(id),
        state: ServerState::Ready,
        zone: ZoneId(id % 3),
        ..Entry::default()
    };
    let entries = (1..=hosts).map(entry).collect();
    balancer.handle(now, Event::ServerList { kind: ListKind::Full, entries }, &mut actions);
    let mut next_call = 0;
    let mut measure_round = || {
        let started = Instant::now();
        for _ in 0..CALLS_PER_ROUND {
            (now, next_call) = (now + 20 * MILLISECOND, next_call + 1);
            let call = CallId(next_call);
            actions.clear();
            let time_left = 2_066 * MILLISECOND;
            let request = Event::Request { call, class: ClassId(0), tenant: None, time_left, resent: false };
            balancer.handle(now, request, &mut actions);
            if actions.iter().any(|action| matches!(action, Action::Send { .. })) {
                now += 10 * MILLISECOND;
                let load = Load { active: Some(4.0), waiting: Some(1.0), cpu: None };
                let (outcome, elapsed) = (Outcome::Served, 10 * MILLISECOND);
                let outcome_event = Event::Outcome { call, attempt: 0, outcome, elapsed, closed: true, load };
                balancer.handle(now, outcome_event, &mut actions);
            }
        }
        started.elapsed().as_secs_f64() * 1e6 / CALLS_PER_ROUND as f64
    };
    measure_round();
    median(&mut (0..rounds).map(|_| measure_round()).collect::<Vec<f64>>())
}

/// Measures three sizes of the fleet. The target limits the time of a decision to the 30 microseconds that the rest of a
/// request costs a proxy.
pub fn measure(full: bool) -> Report {
    let rounds = if full { 201 } else { 21 };
    let [at_10_hosts, at_60_hosts, at_1000_hosts] =
        [10, 60, 1_000].map(|hosts| cpu_us_per_call(hosts, rounds));
    let measurements =
        json!({"us_a_call": {"10": at_10_hosts, "60": at_60_hosts, "1000": at_1000_hosts}, "rounds": rounds});
    let mut report = Report::new("fleet", measurements);
    report.add_target("us_a_call_at_60_hosts", at_60_hosts, Bound::AtMost(30.0));
    report
}
