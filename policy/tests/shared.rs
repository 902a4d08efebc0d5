//! Capacity that is shared with other balancers of the process, and observations that they share.

mod common;

use common::{settings, Proxy, MS};
use nettleworks_policy::{
    Action, Allocation, CallId, ClassId, Event, Freshness, Idempotency, Load, Micros, Observation, Outcome,
    ServerId, Settings,
};

fn sharing_proxy(servers: u32) -> Proxy {
    let settings = Settings { shares_capacity: true, balancers: 1, ..settings(Idempotency::Free) };
    Proxy::new(settings, servers)
}

fn allocate(proxy: &mut Proxy, allocations: &[(u32, u32, bool)]) -> Vec<Action> {
    let allocation =
        |&(server, concurrency, probe)| Allocation { server: ServerId(server), concurrency, probe };
    proxy.event(Event::Allocations { allocations: allocations.iter().map(allocation).collect() })
}

fn sent(actions: &[Action]) -> Vec<u32> {
    let server = |action: &Action| match action {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    };
    actions.iter().filter_map(server).collect()
}

/// Without an allocation calls are queued. They are sent as soon as there is one, and never beyond it.
#[test]
fn calls_are_sent_up_to_the_allocation() {
    let mut proxy = sharing_proxy(2);
    for _ in 0..5 {
        assert_eq!(sent(&proxy.call().1), []);
    }
    assert_eq!(proxy.balancer.queued(), 5);
    let demands: Vec<u32> =
        proxy.balancer.capacity_demands(proxy.now).map(|demand| demand.server.0).collect();
    assert_eq!(demands, [1, 2]);
    let mut went = sent(&allocate(&mut proxy, &[(1, 2, false), (2, 1, false)]));
    went.sort_unstable();
    assert_eq!(went, [1, 1, 2]);
    assert_eq!(sent(&allocate(&mut proxy, &[(1, 2, true)])), [1], "a probe request exceeds the allocation");
    assert!(proxy.balancer.is_probing(ServerId(1)));
    assert_eq!(proxy.balancer.queued(), 1);
}

/// A smaller allocation at one server comes with a larger one at another: no call is sent by the previous
/// allocations.
#[test]
fn allocations_change_together() {
    let mut proxy = sharing_proxy(2);
    allocate(&mut proxy, &[(1, 1, false), (2, 0, false)]);
    allocate(&mut proxy, &[(1, 0, false), (2, 1, false)]);
    assert_eq!(sent(&proxy.call().1), [2]);
}

/// A call that is due to be given up is sent if an allocation arrives at that moment.
#[test]
fn an_allocation_is_used_before_a_due_call_is_given_up() {
    let mut proxy = sharing_proxy(1);
    proxy.call();
    proxy.now += 5_000 * MS;
    assert_eq!(sent(&allocate(&mut proxy, &[(1, 1, false)])), [1]);
}

/// An observation of another balancer applies, unless this one has a newer one.
#[test]
fn observations_of_others_apply_unless_this_balancer_has_newer_ones() {
    let mut proxy = sharing_proxy(2);
    let one = ServerId(1);
    let observe =
        |proxy: &mut Proxy, observation, age| proxy.event(Event::Observed { server: one, observation, age });
    let limit = |proxy: &Proxy| proxy.balancer.concurrency_limit(proxy.now, one);
    let first = limit(&proxy);
    assert!(first > 0.0);
    observe(&mut proxy, Observation::LimitRaised, MS);
    assert!(limit(&proxy) > first, "a probe request that another balancer had served raises the limit here");
    observe(&mut proxy, Observation::Ejected, MS);
    assert_eq!(limit(&proxy), 0.0);
    observe(&mut proxy, Observation::Reinstated, MS);
    assert!(limit(&proxy) > 0.0);
    // This balancer has served a call there since, so the older observation is ignored.
    allocate(&mut proxy, &[(1, 1, false), (2, 0, false)]);
    let (call, actions) = proxy.call();
    assert_eq!(sent(&actions), [1]);
    proxy.now += 10 * MS;
    let (outcome, load) = (Outcome::Served, Load::default());
    proxy.event(Event::Outcome { call, attempt: 0, outcome, elapsed: 10 * MS, closed: true, load });
    observe(&mut proxy, Observation::Ejected, 20 * MS);
    assert!(limit(&proxy) > 0.0);
}

/// A call number that no other call of these tests has.
const SHORT_CALL: CallId = CallId(9_000);

fn call_with(proxy: &mut Proxy, time_left: Micros) -> Vec<Action> {
    let event =
        Event::Request { call: SHORT_CALL, class: ClassId(0), tenant: None, time_left, resent: false };
    proxy.event(event)
}

/// Guards against calls that are refused at once by the assumed response time, before any response was seen,
/// although an allocation arrives a moment later.
#[test]
fn a_call_with_little_time_waits_for_an_allocation_before_any_response() {
    let mut proxy = sharing_proxy(1);
    // Less than the quarter of the latency target that is assumed as the response time until there is a
    // sample.
    assert!(sent(&call_with(&mut proxy, 100 * MS)).is_empty());
    proxy.now += 20;
    proxy.event(Event::Freshness(Freshness::Verified));
    proxy.wait(30 * MS);
    assert_eq!(sent(&allocate(&mut proxy, &[(1, 1, false)])), [1], "{:?}", proxy.actions);
}

/// The same if the usual response time is known and longer than the call's remaining time: an allocation that
/// arrives at that moment is used.
#[test]
fn a_call_with_little_time_is_not_given_up_by_the_event_before_its_allocation() {
    let mut proxy = sharing_proxy(1);
    allocate(&mut proxy, &[(1, 1, false)]);
    for _ in 0..20 {
        proxy.serve(100 * MS);
    }
    allocate(&mut proxy, &[(1, 0, false)]);
    assert!(sent(&call_with(&mut proxy, 50 * MS)).is_empty());
    proxy.now += 20;
    proxy.event(Event::Freshness(Freshness::Verified));
    assert_eq!(sent(&allocate(&mut proxy, &[(1, 1, false)])), [1], "{:?}", proxy.actions);
}

/// Guards against a refusal with a retry-after of zero, which would make its client retry at once.
#[test]
fn a_refusal_always_has_a_retry_after() {
    let mut proxy = sharing_proxy(1);
    allocate(&mut proxy, &[(1, 1, false)]);
    for _ in 0..20 {
        proxy.serve(100 * MS);
    }
    allocate(&mut proxy, &[(1, 0, false)]);
    let mut actions = call_with(&mut proxy, 50 * MS);
    actions.extend((0..5).flat_map(|_| proxy.wait(MS)));
    let after = actions.iter().find_map(|action| match action {
        Action::Refuse { call: SHORT_CALL, retry_after, .. } => Some(*retry_after),
        _ => None,
    });
    assert!(after.is_some_and(|after| after >= 10 * MS), "{after:?}");
}
