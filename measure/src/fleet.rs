//! What a decision costs by the size of the fleet: the time of the module alone for one call (its request, its outcome)
//! where a hundred proxies share the hosts' budgets, at 10, 60 and 1,000 hosts.

use crate::report::{median, Bound, Report};
use nettleworks_policy::{
    Action, Balancer, CallId, Class, ClassId, Entry, Event, Idempotency, ListKind, Load, Micros, Outcome,
    ServerId, ServerState, Settings, ZoneId,
};
use serde_json::json;
use std::time::Instant;

const MS: Micros = 1_000;
/// Calls of one round.
const CALLS: u64 = 2_000;

/// Microseconds of processor time for each call, the middle of so many rounds.
fn of_a_call(hosts: u32, rounds: usize) -> f64 {
    let class = Class {
        latency_target: 861 * MS,
        deadline: 2_066 * MS,
        value: 1.0,
        late_value: 0.0,
        idempotency: Idempotency::SingleShot,
    };
    let settings = Settings { classes: vec![class], balancers: 100, ..Settings::default() };
    let mut balancer = Balancer::new(7, settings);
    let mut actions = Vec::new();
    let mut now = 1_000_000;
    balancer.handle(now, Event::Start, &mut actions);
    let entry = |i: u32| Entry {
        server: ServerId(i),
        state: ServerState::Ready,
        zone: ZoneId(i % 3),
        ..Entry::default()
    };
    let entries = (1..=hosts).map(entry).collect();
    balancer.handle(now, Event::ServerList { kind: ListKind::Full, entries }, &mut actions);
    let mut next = 0;
    let mut round = || {
        let began = Instant::now();
        for _ in 0..CALLS {
            (now, next) = (now + 20 * MS, next + 1);
            let call = CallId(next);
            actions.clear();
            let time_left = 2_066 * MS;
            let asked = Event::Request { call, class: ClassId(0), tenant: None, time_left, resent: false };
            balancer.handle(now, asked, &mut actions);
            if actions.iter().any(|a| matches!(a, Action::Send { .. })) {
                now += 10 * MS;
                let load = Load { active: Some(4.0), waiting: Some(1.0), cpu: None };
                let (outcome, elapsed) = (Outcome::Served, 10 * MS);
                let end = Event::Outcome { call, attempt: 0, outcome, elapsed, closed: true, load };
                balancer.handle(now, end, &mut actions);
            }
        }
        began.elapsed().as_secs_f64() * 1e6 / CALLS as f64
    };
    round();
    median(&mut (0..rounds).map(|_| round()).collect::<Vec<f64>>())
}

/// The figures at three sizes; the target is what a proxy may spend on a decision beside some 30 microseconds that the
/// rest of a request costs it.
pub fn measure(full: bool) -> Report {
    let rounds = if full { 201 } else { 21 };
    let [few, some, many] = [10, 60, 1_000].map(|hosts| of_a_call(hosts, rounds));
    let figures = json!({"us_a_call": {"10": few, "60": some, "1000": many}, "rounds": rounds});
    let mut report = Report::new("fleet", figures);
    report.target("us_a_call_at_60_hosts", some, Bound::AtMost(30.0));
    report
}
