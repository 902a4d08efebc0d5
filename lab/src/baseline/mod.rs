//! Baseline balancers: common load-balancing algorithms behind the interface of our decision module, with the same events and
//! actions. They retry attempts that certainly did not run, and others where the class allows a repeat. They know nothing of
//! pods, per-server windows, cold hosts or limits on requests in flight.

mod envoy;
mod selection;

use envoy::{OutlierDetection, RetryBudget};
use nettleworks_policy::{
    self as policy, Action, Balancer, CallId, Event, FailureReason, Idempotency, ListKind, Outcome, ServerId,
    ServerState,
};
use policy::Micros;
use selection::{HostSelector, SelectionAlgorithm};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A load balancer of one proxy.
pub trait LoadBalancer {
    /// Handles an event at a time in microseconds, and appends the actions for the proxy to `actions`.
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>);
}

impl LoadBalancer for Balancer {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }
}

/// Which load balancer the proxies use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum BalancerKind {
    /// The decision module of this project.
    Ours,
    /// A random ready host.
    Random,
    /// The ready hosts in rotation.
    RoundRobin,
    /// The host with fewer requests in flight, of two random ones.
    LeastOfTwo,
    /// The host with the lower product of peak EWMA latency and requests in flight, of two random ones, as in Finagle.
    PeakEwma,
    /// As [`BalancerKind::LeastOfTwo`], with a retry budget and outlier ejection with the defaults of Envoy.
    Envoy,
}

impl BalancerKind {
    /// All kinds, the decision module first.
    pub const ALL: [BalancerKind; 6] = [
        BalancerKind::Ours,
        BalancerKind::Random,
        BalancerKind::RoundRobin,
        BalancerKind::LeastOfTwo,
        BalancerKind::PeakEwma,
        BalancerKind::Envoy,
    ];

    /// The name in tables and reports.
    pub fn name(self) -> &'static str {
        match self {
            BalancerKind::Ours => "ours",
            BalancerKind::Random => "random",
            BalancerKind::RoundRobin => "round robin",
            BalancerKind::LeastOfTwo => "least of two",
            BalancerKind::PeakEwma => "peak EWMA",
            BalancerKind::Envoy => "as Envoy",
        }
    }

    /// Builds a balancer of this kind whose random decisions derive from `seed`.
    pub(crate) fn build(self, seed: u64, settings: policy::Settings) -> Box<dyn LoadBalancer> {
        let algorithm = match self {
            BalancerKind::Ours => return Box::new(Balancer::new(seed, settings)),
            BalancerKind::Random => SelectionAlgorithm::Random,
            BalancerKind::RoundRobin => SelectionAlgorithm::RoundRobin,
            BalancerKind::LeastOfTwo | BalancerKind::Envoy => SelectionAlgorithm::LeastOfTwo,
            BalancerKind::PeakEwma => SelectionAlgorithm::PeakEwma,
        };
        Box::new(BaselineBalancer::new(seed, settings, algorithm, self == BalancerKind::Envoy))
    }
}

/// A failed watch of the server list is opened again after this time.
const RESUBSCRIBE_DELAY: Micros = 1_000_000;
/// The retry delay that a refused client is given.
const RETRY_AFTER: Micros = 1_000_000;
/// Maximum number of attempts of a request where there is no retry budget, the same as for the decision module.
const MAX_ATTEMPTS: usize = 3;

struct Call {
    idempotency: Idempotency,
    deadline: Micros,
    attempts: Vec<(ServerId, Option<Outcome>)>,
    /// A retry is scheduled.
    retry_pending: bool,
    /// The call holds a place in the retry budget, from when its retry is granted until the retry has ended.
    holds_budget: bool,
}

impl Call {
    /// Whether an attempt is in flight.
    fn in_flight(&self) -> bool {
        self.attempts.iter().any(|(_, outcome)| outcome.is_none())
    }
}

/// A baseline balancer.
struct BaselineBalancer {
    settings: policy::Settings,
    selector: HostSelector,
    calls: BTreeMap<CallId, Call>,
    /// Scheduled retries, by time.
    retries: BTreeSet<(Micros, CallId)>,
    subscribe_at: Option<Micros>,
    /// Retry budget and outlier detection, with [`BalancerKind::Envoy`].
    envoy: Option<(RetryBudget, OutlierDetection)>,
}

impl BaselineBalancer {
    fn new(
        seed: u64,
        settings: policy::Settings,
        algorithm: SelectionAlgorithm,
        envoy: bool,
    ) -> BaselineBalancer {
        BaselineBalancer {
            settings,
            selector: HostSelector::new(seed, algorithm),
            calls: BTreeMap::new(),
            retries: BTreeSet::new(),
            subscribe_at: None,
            envoy: envoy.then(Default::default),
        }
    }

    /// Sends the next attempt of a call, or ends the call if there is no host.
    fn start_attempt(&mut self, now: Micros, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.retry_pending = false;
        let tried: Vec<ServerId> = call.attempts.iter().map(|(server, _)| *server).collect();
        if let Some((_, detection)) = &mut self.envoy {
            detection.check(now, &mut self.selector);
        }
        match self.selector.select(now, &tried) {
            Some(server) => {
                call.attempts.push((server, None));
                self.selector.attempt_started(server);
                actions.push(Action::Send { call: id, server, until: None });
            }
            None => self.give_up(id, actions),
        }
    }

    /// Removes a call, and returns its place in the retry budget.
    fn remove(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        if let Some((budget, _)) = self.envoy.as_mut().filter(|_| call.holds_budget) {
            budget.release();
        }
        Some(call)
    }

    /// Ends a call without a response. It is refused if none of its attempts ran, and failed otherwise.
    fn give_up(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.remove(id) else { return };
        let never_ran = call.attempts.iter().all(|(_, outcome)| outcome.is_some_and(Outcome::never_ran));
        actions.push(match never_ran {
            true => Action::Refuse { call: id, retry_after: RETRY_AFTER, reason: FailureReason::NoRetry },
            false => Action::Fail { call: id, reason: FailureReason::NoRetry },
        });
    }

    /// Handles the outcome of an attempt: ends the call, or retries it where that is allowed.
    fn handle_outcome(&mut self, now: Micros, event: &Event, actions: &mut Vec<Action>) {
        let &Event::Outcome { call: id, attempt, outcome, elapsed, closed, .. } = event else { return };
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some((server, recorded)) = call.attempts.get_mut(attempt as usize) else { return };
        *recorded = Some(outcome);
        let server = *server;
        self.selector.attempt_ended(now, server, outcome, elapsed);
        if let Some((budget, detection)) = &mut self.envoy {
            detection.record(now, server, outcome, &mut self.selector);
            if std::mem::take(&mut call.holds_budget) {
                budget.release();
            }
        }
        if outcome == Outcome::Served || closed || outcome == Outcome::Unusable {
            if outcome == Outcome::Unusable && !closed {
                return self.give_up(id, actions);
            }
            self.remove(id);
            return;
        }
        if call.in_flight() {
            return;
        }
        let repeatable = outcome.never_ran() || call.idempotency != Idempotency::SingleShot;
        let attempts = call.attempts.len();
        let active = self.calls.len();
        let delay = match &mut self.envoy {
            None => (attempts < MAX_ATTEMPTS).then_some(0),
            Some((budget, _)) => budget.try_retry(attempts, active, self.selector.uniform()),
        };
        match delay.filter(|_| repeatable) {
            Some(0) => self.start_attempt(now, id, actions),
            Some(delay) => {
                if let Some(call) = self.calls.get_mut(&id) {
                    (call.retry_pending, call.holds_budget) = (true, self.envoy.is_some());
                }
                self.retries.insert((now + delay, id));
            }
            None => self.give_up(id, actions),
        }
    }

    /// Starts retries that are due, ends calls whose deadline has passed, and opens the watch again when that is due.
    fn handle_timers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some(&(at, id)) = self.retries.first().filter(|(at, _)| *at <= now) {
            self.retries.remove(&(at, id));
            if self.calls.get(&id).is_some_and(|call| call.retry_pending) {
                self.start_attempt(now, id, actions);
            }
        }
        let expired: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, c)| c.deadline <= now && !c.in_flight())
            .map(|(&id, _)| id)
            .collect();
        expired.into_iter().for_each(|id| self.give_up(id, actions));
        if self.subscribe_at.is_some_and(|at| at <= now) {
            self.subscribe_at = None;
            actions.push(Action::Subscribe);
        }
    }

    /// Sets the timer to the next retry or subscription.
    fn set_timer(&self, now: Micros, actions: &mut Vec<Action>) {
        let retry_at = self.retries.first().map(|&(at, _)| at);
        if let Some(at) = retry_at.into_iter().chain(self.subscribe_at).min() {
            actions.push(Action::SetTimer { after: at.saturating_sub(now).max(1) });
        }
    }
}

impl LoadBalancer for BaselineBalancer {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start if self.settings.pull_list => actions.push(Action::Subscribe),
            // Where the list is pushed, the proxy opens a failed watch again by itself.
            Event::ServerList { kind: ListKind::Failed | ListKind::Silent, .. } => {
                self.subscribe_at = self.settings.pull_list.then_some(now + RESUBSCRIBE_DELAY);
            }
            Event::ServerList { kind, entries } => {
                if kind != ListKind::Delta {
                    self.selector.clear();
                }
                for entry in entries {
                    self.selector.set_listed(entry.server, entry.state == ServerState::Ready);
                }
            }
            Event::Request { call, class, time_left, .. } => {
                let idempotency = self
                    .settings
                    .classes
                    .get(class.0)
                    .map_or(Idempotency::SingleShot, |class| class.idempotency);
                let state = Call {
                    idempotency,
                    deadline: now + time_left,
                    attempts: Vec::new(),
                    retry_pending: false,
                    holds_budget: false,
                };
                self.calls.insert(call, state);
                self.start_attempt(now, call, actions);
            }
            Event::Outcome { .. } => self.handle_outcome(now, &event, actions),
            Event::Cancelled { call } => {
                if let Some(cancelled) = self.remove(call) {
                    for (attempt, (server, outcome)) in (0..).zip(cancelled.attempts) {
                        if outcome.is_none() {
                            self.selector.attempt_cancelled(server);
                            actions.push(Action::Cancel { call, attempt });
                        }
                    }
                }
            }
            _ => {}
        }
        self.handle_timers(now, actions);
        self.set_timer(now, actions);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use policy::{Class, ClassId, Entry, Load, Settings};

    const MS: Micros = 1_000;

    /// A balancer under test, with its clock and the last call number.
    struct Harness {
        balancer: Box<dyn LoadBalancer>,
        now: Micros,
        last_call: u64,
    }

    impl Harness {
        fn new(kind: BalancerKind, hosts: u32) -> Harness {
            let class = |idempotency| Class {
                latency_target: 500 * MS,
                deadline: 2_000 * MS,
                idempotency,
                ..Class::default()
            };
            let classes = vec![class(Idempotency::Free), class(Idempotency::SingleShot)];
            let settings = Settings { classes, pull_list: true, ..Settings::default() };
            let mut harness = Harness { balancer: kind.build(3, settings), now: 0, last_call: 0 };
            assert_eq!(harness.event(Event::Start)[0], Action::Subscribe);
            harness.list(ListKind::Full, (1..=hosts).map(|id| (id, ServerState::Ready)));
            harness
        }

        fn event(&mut self, event: Event) -> Vec<Action> {
            let mut actions = Vec::new();
            self.balancer.handle(self.now, event, &mut actions);
            actions
        }

        fn list(&mut self, kind: ListKind, hosts: impl Iterator<Item = (u32, ServerState)>) -> Vec<Action> {
            let entry = |(id, state)| Entry { server: ServerId(id), state, ..Entry::default() };
            self.event(Event::ServerList { kind, entries: hosts.map(entry).collect() })
        }

        fn request(&mut self, class: usize) -> (CallId, Vec<Action>) {
            self.last_call += 1;
            let (call, class) = (CallId(self.last_call), ClassId(class));
            let request = Event::Request { call, class, tenant: None, time_left: 2_000 * MS, resent: false };
            (call, self.event(request))
        }

        fn end(&mut self, call: CallId, attempt: u32, outcome: Outcome, elapsed: Micros) -> Vec<Action> {
            let closed = outcome == Outcome::Served;
            let load = Load::default();
            self.event(Event::Outcome { call, attempt, outcome, elapsed, closed, load })
        }

        /// Serves a call after the time that `elapsed` gives for its host. Returns the host.
        fn serve(&mut self, elapsed: impl Fn(u32) -> Micros) -> u32 {
            let (call, actions) = self.request(0);
            let host = sent(&actions).expect("it is sent");
            self.now += 10 * MS;
            self.end(call, 0, Outcome::Served, elapsed(host));
            host
        }
    }

    fn sent(actions: &[Action]) -> Option<u32> {
        actions.iter().find_map(|action| match action {
            Action::Send { server, .. } => Some(server.0),
            _ => None,
        })
    }

    fn refused(actions: &[Action]) -> bool {
        actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
    }

    fn failed(actions: &[Action]) -> bool {
        actions.iter().any(|action| matches!(action, Action::Fail { .. }))
    }

    const BASELINES: [BalancerKind; 5] = [
        BalancerKind::Random,
        BalancerKind::RoundRobin,
        BalancerKind::LeastOfTwo,
        BalancerKind::PeakEwma,
        BalancerKind::Envoy,
    ];

    #[test]
    fn calls_go_only_to_ready_hosts() {
        for kind in BASELINES {
            let mut harness = Harness::new(kind, 4);
            harness
                .list(ListKind::Delta, [(2, ServerState::Draining), (3, ServerState::Removed)].into_iter());
            let mut counts = [0; 5];
            (0..400).for_each(|_| counts[harness.serve(|_| 5 * MS) as usize] += 1);
            assert!(
                counts[2] == 0 && counts[3] == 0 && counts[1] > 100 && counts[4] > 100,
                "{kind:?} {counts:?}"
            );
            // A full list removes hosts that it does not name.
            harness.list(ListKind::Full, [(3, ServerState::Ready)].into_iter());
            assert_eq!(harness.serve(|_| MS), 3, "{kind:?}");
            harness.list(ListKind::Full, std::iter::empty());
            assert!(refused(&harness.request(1).1), "{kind:?}");
        }
    }

    #[test]
    fn round_robin_uses_the_hosts_in_rotation() {
        let mut harness = Harness::new(BalancerKind::RoundRobin, 3);
        let first: Vec<u32> = (0..3).map(|_| harness.serve(|_| MS)).collect();
        let next: Vec<u32> = (0..3).map(|_| harness.serve(|_| MS)).collect();
        assert_eq!(first, next);
        assert_eq!(first.iter().sum::<u32>(), 6);
    }

    #[test]
    fn least_of_two_avoids_a_silent_host_and_peak_ewma_a_slow_one() {
        // Host 1 never responds, so its requests stay in flight.
        for (kind, most) in [(BalancerKind::LeastOfTwo, 8), (BalancerKind::Random, 200)] {
            let mut harness = Harness::new(kind, 4);
            let mut unanswered = 0;
            for _ in 0..400 {
                let (call, actions) = harness.request(0);
                match sent(&actions) {
                    Some(1) => unanswered += 1,
                    _ => drop(harness.end(call, 0, Outcome::Served, MS)),
                }
            }
            assert!((1..=most).contains(&unanswered), "{kind:?}: {unanswered}");
        }
        let slow = |host: u32| if host == 1 { 400 * MS } else { 4 * MS };
        let counts = [BalancerKind::PeakEwma, BalancerKind::LeastOfTwo].map(|kind| {
            let mut harness = Harness::new(kind, 4);
            (0..400).filter(|_| harness.serve(slow) == 1).count()
        });
        assert!(counts[0] < 10 && counts[1] > 60, "{counts:?}");
    }

    #[test]
    fn calls_that_never_ran_are_retried_on_other_hosts_then_refused() {
        for kind in BASELINES {
            for class in [0, 1] {
                let mut harness = Harness::new(kind, 4);
                let (call, actions) = harness.request(class);
                let (mut tried, mut attempt) = (vec![sent(&actions).expect("it is sent")], 0);
                let last = loop {
                    let mut actions = harness.end(call, attempt, Outcome::TurnedAway, MS);
                    // With Envoy's retry policy there is a delay first.
                    harness.now += 300 * MS;
                    actions.extend(harness.event(Event::Timer));
                    let Some(host) = sent(&actions) else { break actions };
                    tried.push(host);
                    attempt += 1;
                };
                assert!(refused(&last) && !failed(&last), "{kind:?} {class}");
                let attempts = if kind == BalancerKind::Envoy { 2 } else { MAX_ATTEMPTS };
                assert_eq!(tried.len(), attempts, "{kind:?}");
                tried.sort_unstable();
                tried.dedup();
                assert_eq!(tried.len(), attempts, "{kind:?}: another host each time");
            }
        }
    }

    #[test]
    fn calls_that_may_have_run_are_retried_only_if_their_class_allows_it() {
        for kind in BASELINES {
            for outcome in [Outcome::Reset, Outcome::Error, Outcome::TimedOut, Outcome::Stale] {
                let mut harness = Harness::new(kind, 4);
                let (call, _) = harness.request(1);
                let actions = harness.end(call, 0, outcome, MS);
                assert!(failed(&actions) && sent(&actions).is_none(), "{kind:?} {outcome:?}");
                let (call, _) = harness.request(0);
                let mut actions = harness.end(call, 0, outcome, MS);
                harness.now += 300 * MS;
                actions.extend(harness.event(Event::Timer));
                assert!(sent(&actions).is_some() && !failed(&actions), "{kind:?} {outcome:?}");
            }
        }
    }

    #[test]
    fn cancelled_calls_cancel_their_attempts_and_a_failed_watch_is_reopened() {
        for kind in BASELINES {
            let mut harness = Harness::new(kind, 2);
            let (call, _) = harness.request(0);
            let actions = harness.event(Event::Cancelled { call });
            assert!(actions.contains(&Action::Cancel { call, attempt: 0 }), "{kind:?} {actions:?}");
            let actions = harness.list(ListKind::Failed, std::iter::empty());
            assert!(actions.iter().any(|action| matches!(action, Action::SetTimer { .. })), "{kind:?}");
            harness.now += RESUBSCRIBE_DELAY;
            assert!(harness.event(Event::Timer).contains(&Action::Subscribe), "{kind:?}");
            assert!(!harness.event(Event::Timer).contains(&Action::Subscribe), "{kind:?}: once");
        }
    }

    /// A retry returns its place in the budget however it ends: cancelled, served or failed.
    #[test]
    fn the_retry_budget_is_restored_when_its_calls_end() {
        let mut harness = Harness::new(BalancerKind::Envoy, 4);
        for round in 0..200 {
            let (call, _) = harness.request(0);
            harness.end(call, 0, Outcome::Reset, MS);
            harness.now += 300 * MS;
            let actions = harness.event(Event::Timer);
            assert!(sent(&actions).is_some(), "{round}: a retry is granted");
            match round % 3 {
                0 => drop(harness.event(Event::Cancelled { call })),
                1 => drop(harness.end(call, 1, Outcome::Served, MS)),
                _ => drop(harness.end(call, 1, Outcome::Reset, MS)),
            }
        }
    }
}
