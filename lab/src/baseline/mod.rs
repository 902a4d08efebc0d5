//! What a team would pick instead of our decision module, on the same interface: they are told the same and can do the
//! same. They retry what proves that it never ran, and what their class lets run again, and know nothing of pods,
//! windows, cold hosts or budgets in flight.

mod choice;
mod envoy;

use choice::{Choice, Picker};
use envoy::{Ejections, RetryBudget};
use nettleworks_policy::{
    self as policy, Action, Balancer, CallId, Event, FailureReason, Idempotency, ListKind, Outcome, ServerId,
    ServerState,
};
use policy::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Decides for a proxy.
pub trait Decide {
    /// Takes an event and says what to do.
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>);
}

impl Decide for Balancer {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }
}

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum BalancerKind {
    /// Our decision module.
    Ours,
    /// Any ready host.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with fewer requests out, of two.
    LeastOfTwo,
    /// The one with the lower peak-sensitive mean of answer times, times requests out, of two (as Finagle's).
    PeakEwma,
    /// The one with fewer requests out, of two, with a retry budget and outlier ejection, by Envoy's defaults.
    Envoy,
}

impl BalancerKind {
    /// All, ours first.
    pub const ALL: [BalancerKind; 6] = [
        BalancerKind::Ours,
        BalancerKind::Random,
        BalancerKind::RoundRobin,
        BalancerKind::LeastOfTwo,
        BalancerKind::PeakEwma,
        BalancerKind::Envoy,
    ];

    /// Its name in tables.
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

    /// One that decides, of a seed.
    pub(crate) fn make(self, seed: u64, settings: policy::Settings) -> Box<dyn Decide> {
        let choice = match self {
            BalancerKind::Ours => return Box::new(Balancer::new(seed, settings)),
            BalancerKind::Random => Choice::Random,
            BalancerKind::RoundRobin => Choice::RoundRobin,
            BalancerKind::LeastOfTwo | BalancerKind::Envoy => Choice::LeastOfTwo,
            BalancerKind::PeakEwma => Choice::PeakEwma,
        };
        Box::new(Plain::new(seed, settings, choice, self == BalancerKind::Envoy))
    }
}

/// A watch of the list that has failed is asked for again after this.
const ASK_AGAIN: Micros = 1_000_000;
/// What a refused client is told.
const COME_BACK: Micros = 1_000_000;
/// Tries of a request in all, where there is no retry budget: as many as our module is allowed.
const TRIES: usize = 3;

struct Call {
    idempotency: Idempotency,
    deadline: Micros,
    attempts: Vec<(ServerId, Option<Outcome>)>,
    /// It waits to be tried again.
    waits: bool,
    /// It has a place in the retry budget: from when its repeat is granted until that has ended.
    budgeted: bool,
}

impl Call {
    fn out(&self) -> bool {
        self.attempts.iter().any(|(_, outcome)| outcome.is_none())
    }
}

/// A plain balancer.
struct Plain {
    settings: policy::Settings,
    picker: Picker,
    calls: BTreeMap<CallId, Call>,
    /// Calls that wait, by when they go.
    later: BTreeSet<(Micros, CallId)>,
    subscribe_at: Option<Micros>,
    envoy: Option<(RetryBudget, Ejections)>,
}

impl Plain {
    fn new(seed: u64, settings: policy::Settings, choice: Choice, envoy: bool) -> Plain {
        Plain {
            settings,
            picker: Picker::new(seed, choice),
            calls: BTreeMap::new(),
            later: BTreeSet::new(),
            subscribe_at: None,
            envoy: envoy.then(Default::default),
        }
    }

    fn try_call(&mut self, now: Micros, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.waits = false;
        let tried: Vec<ServerId> = call.attempts.iter().map(|(server, _)| *server).collect();
        if let Some((_, ejections)) = &mut self.envoy {
            ejections.look(now, &mut self.picker);
        }
        match self.picker.pick(now, &tried) {
            Some(server) => {
                call.attempts.push((server, None));
                self.picker.sent(server);
                actions.push(Action::Send { call: id, server, until: None });
            }
            None => self.give_up(id, actions),
        }
    }

    /// Forgets a call, and gives back its place in the retry budget.
    fn forget(&mut self, id: CallId) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        if let Some((budget, _)) = self.envoy.as_mut().filter(|_| call.budgeted) {
            budget.ended();
        }
        Some(call)
    }

    /// Ends a call unserved; refused only if it surely never ran.
    fn give_up(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.forget(id) else { return };
        let never = call.attempts.iter().all(|(_, outcome)| outcome.is_some_and(Outcome::never_ran));
        actions.push(match never {
            true => Action::Refuse { call: id, retry_after: COME_BACK, reason: FailureReason::NoRetry },
            false => Action::Fail { call: id, reason: FailureReason::NoRetry },
        });
    }

    fn outcome(&mut self, now: Micros, event: &Event, actions: &mut Vec<Action>) {
        let &Event::Outcome { call: id, attempt, outcome, elapsed, closed, .. } = event else { return };
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some((server, at)) = call.attempts.get_mut(attempt as usize) else { return };
        *at = Some(outcome);
        let server = *server;
        self.picker.ended(now, server, outcome, elapsed);
        if let Some((budget, ejections)) = &mut self.envoy {
            ejections.ended(now, server, outcome, &mut self.picker);
            if std::mem::take(&mut call.budgeted) {
                budget.ended();
            }
        }
        if outcome == Outcome::Served || closed || outcome == Outcome::Unusable {
            if outcome == Outcome::Unusable && !closed {
                return self.give_up(id, actions);
            }
            self.forget(id);
            return;
        }
        if call.out() {
            return;
        }
        let again = outcome.never_ran() || call.idempotency != Idempotency::SingleShot;
        let tries = call.attempts.len();
        let active = self.calls.len();
        let pause = match &mut self.envoy {
            None => (tries < TRIES).then_some(0),
            Some((budget, _)) => budget.retry(tries, active, self.picker.share()),
        };
        match pause.filter(|_| again) {
            Some(0) => self.try_call(now, id, actions),
            Some(pause) => {
                if let Some(call) = self.calls.get_mut(&id) {
                    (call.waits, call.budgeted) = (true, self.envoy.is_some());
                }
                self.later.insert((now + pause, id));
            }
            None => self.give_up(id, actions),
        }
    }

    fn due(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some(&(at, id)) = self.later.first().filter(|(at, _)| *at <= now) {
            self.later.remove(&(at, id));
            if self.calls.get(&id).is_some_and(|call| call.waits) {
                self.try_call(now, id, actions);
            }
        }
        let late: Vec<CallId> =
            self.calls.iter().filter(|(_, c)| c.deadline <= now && !c.out()).map(|(&id, _)| id).collect();
        late.into_iter().for_each(|id| self.give_up(id, actions));
        if self.subscribe_at.is_some_and(|at| at <= now) {
            self.subscribe_at = None;
            actions.push(Action::Subscribe);
        }
    }

    fn wake(&self, now: Micros, actions: &mut Vec<Action>) {
        let later = self.later.first().map(|&(at, _)| at);
        if let Some(at) = later.into_iter().chain(self.subscribe_at).min() {
            actions.push(Action::SetTimer { after: at.saturating_sub(now).max(1) });
        }
    }
}

impl Decide for Plain {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start if self.settings.pull_list => actions.push(Action::Subscribe),
            // Where the list is pushed, whoever carries this watches again by itself.
            Event::ServerList { kind: ListKind::Failed | ListKind::Silent, .. } => {
                self.subscribe_at = self.settings.pull_list.then_some(now + ASK_AGAIN);
            }
            Event::ServerList { kind, entries } => {
                if kind != ListKind::Delta {
                    self.picker.clear();
                }
                for entry in entries {
                    self.picker.list(entry.server, entry.state == ServerState::Ready);
                }
            }
            Event::Request { call, class, time_left, .. } => {
                let idempotency = self
                    .settings
                    .classes
                    .get(class.0)
                    .map_or(Idempotency::SingleShot, |class| class.idempotency);
                let call_of = Call {
                    idempotency,
                    deadline: now + time_left,
                    attempts: Vec::new(),
                    waits: false,
                    budgeted: false,
                };
                self.calls.insert(call, call_of);
                self.try_call(now, call, actions);
            }
            Event::Outcome { .. } => self.outcome(now, &event, actions),
            Event::Cancelled { call } => {
                if let Some(gone) = self.forget(call) {
                    for (attempt, (server, outcome)) in (0..).zip(gone.attempts) {
                        if outcome.is_none() {
                            self.picker.forget(server);
                            actions.push(Action::Cancel { call, attempt });
                        }
                    }
                }
            }
            _ => {}
        }
        self.due(now, actions);
        self.wake(now, actions);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use policy::{Class, ClassId, Entry, Load, Settings};

    const MS: Micros = 1_000;

    struct Plays {
        decide: Box<dyn Decide>,
        now: Micros,
        next: u64,
    }

    impl Plays {
        fn new(picks: BalancerKind, hosts: u32) -> Plays {
            let class = |idempotency| Class {
                latency_target: 500 * MS,
                deadline: 2_000 * MS,
                idempotency,
                ..Class::default()
            };
            let classes = vec![class(Idempotency::Free), class(Idempotency::SingleShot)];
            let settings = Settings { classes, pull_list: true, ..Settings::default() };
            let mut plays = Plays { decide: picks.make(3, settings), now: 0, next: 0 };
            assert_eq!(plays.event(Event::Start)[0], Action::Subscribe);
            plays.list(ListKind::Full, (1..=hosts).map(|id| (id, ServerState::Ready)));
            plays
        }

        fn event(&mut self, event: Event) -> Vec<Action> {
            let mut actions = Vec::new();
            self.decide.handle(self.now, event, &mut actions);
            actions
        }

        fn list(&mut self, kind: ListKind, hosts: impl Iterator<Item = (u32, ServerState)>) -> Vec<Action> {
            let entry = |(id, state)| Entry { server: ServerId(id), state, ..Entry::default() };
            self.event(Event::ServerList { kind, entries: hosts.map(entry).collect() })
        }

        fn ask(&mut self, class: usize) -> (CallId, Vec<Action>) {
            self.next += 1;
            let (call, class) = (CallId(self.next), ClassId(class));
            let asked = Event::Request { call, class, tenant: None, time_left: 2_000 * MS, resent: false };
            (call, self.event(asked))
        }

        fn end(&mut self, call: CallId, attempt: u32, outcome: Outcome, elapsed: Micros) -> Vec<Action> {
            let closed = outcome == Outcome::Served;
            let load = Load::default();
            self.event(Event::Outcome { call, attempt, outcome, elapsed, closed, load })
        }

        /// A call that is served after so long; where it went.
        fn serve(&mut self, elapsed: impl Fn(u32) -> Micros) -> u32 {
            let (call, actions) = self.ask(0);
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

    const PLAIN: [BalancerKind; 5] = [
        BalancerKind::Random,
        BalancerKind::RoundRobin,
        BalancerKind::LeastOfTwo,
        BalancerKind::PeakEwma,
        BalancerKind::Envoy,
    ];

    #[test]
    fn calls_go_to_ready_hosts_alone() {
        for picks in PLAIN {
            let mut plays = Plays::new(picks, 4);
            plays.list(ListKind::Delta, [(2, ServerState::Draining), (3, ServerState::Removed)].into_iter());
            let mut counts = [0; 5];
            (0..400).for_each(|_| counts[plays.serve(|_| 5 * MS) as usize] += 1);
            assert!(
                counts[2] == 0 && counts[3] == 0 && counts[1] > 100 && counts[4] > 100,
                "{picks:?} {counts:?}"
            );
            // A whole list without them takes the others away, too.
            plays.list(ListKind::Full, [(3, ServerState::Ready)].into_iter());
            assert_eq!(plays.serve(|_| MS), 3, "{picks:?}");
            plays.list(ListKind::Full, std::iter::empty());
            assert!(refused(&plays.ask(1).1), "{picks:?}");
        }
    }

    #[test]
    fn one_after_the_other_is_just_that() {
        let mut plays = Plays::new(BalancerKind::RoundRobin, 3);
        let first: Vec<u32> = (0..3).map(|_| plays.serve(|_| MS)).collect();
        let next: Vec<u32> = (0..3).map(|_| plays.serve(|_| MS)).collect();
        assert_eq!(first, next);
        assert_eq!(first.iter().sum::<u32>(), 6);
    }

    #[test]
    fn the_one_with_fewer_out_is_taken_and_a_slow_one_left_by_its_times() {
        // Host 1 never answers: what is out there counts against it.
        for (picks, most) in [(BalancerKind::LeastOfTwo, 8), (BalancerKind::Random, 200)] {
            let mut plays = Plays::new(picks, 4);
            let mut out = 0;
            for _ in 0..400 {
                let (call, actions) = plays.ask(0);
                match sent(&actions) {
                    Some(1) => out += 1,
                    _ => drop(plays.end(call, 0, Outcome::Served, MS)),
                }
            }
            assert!((1..=most).contains(&out), "{picks:?}: {out}");
        }
        let slow = |host: u32| if host == 1 { 400 * MS } else { 4 * MS };
        let counts = [BalancerKind::PeakEwma, BalancerKind::LeastOfTwo].map(|picks| {
            let mut plays = Plays::new(picks, 4);
            (0..400).filter(|_| plays.serve(slow) == 1).count()
        });
        assert!(counts[0] < 10 && counts[1] > 60, "{counts:?}");
    }

    #[test]
    fn what_never_ran_is_repeated_elsewhere_and_refused_in_the_end() {
        for picks in PLAIN {
            for class in [0, 1] {
                let mut plays = Plays::new(picks, 4);
                let (call, actions) = plays.ask(class);
                let (mut tried, mut attempt) = (vec![sent(&actions).expect("it is sent")], 0);
                let last = loop {
                    let mut actions = plays.end(call, attempt, Outcome::TurnedAway, MS);
                    // As Envoy there is a pause first.
                    plays.now += 300 * MS;
                    actions.extend(plays.event(Event::Timer));
                    let Some(host) = sent(&actions) else { break actions };
                    tried.push(host);
                    attempt += 1;
                };
                assert!(refused(&last) && !failed(&last), "{picks:?} {class}");
                let tries = if picks == BalancerKind::Envoy { 2 } else { TRIES };
                assert_eq!(tried.len(), tries, "{picks:?}");
                tried.sort_unstable();
                tried.dedup();
                assert_eq!(tried.len(), tries, "{picks:?}: another host each time");
            }
        }
    }

    #[test]
    fn what_may_have_run_is_repeated_only_where_its_class_lets_it() {
        for picks in PLAIN {
            for outcome in [Outcome::Reset, Outcome::Error, Outcome::TimedOut, Outcome::Stale] {
                let mut plays = Plays::new(picks, 4);
                let (call, _) = plays.ask(1);
                let actions = plays.end(call, 0, outcome, MS);
                assert!(failed(&actions) && sent(&actions).is_none(), "{picks:?} {outcome:?}");
                let (call, _) = plays.ask(0);
                let mut actions = plays.end(call, 0, outcome, MS);
                plays.now += 300 * MS;
                actions.extend(plays.event(Event::Timer));
                assert!(sent(&actions).is_some() && !failed(&actions), "{picks:?} {outcome:?}");
            }
        }
    }

    #[test]
    fn a_client_that_leaves_takes_its_attempts_along_and_a_watch_that_fails_is_asked_for_again() {
        for picks in PLAIN {
            let mut plays = Plays::new(picks, 2);
            let (call, _) = plays.ask(0);
            let actions = plays.event(Event::Cancelled { call });
            assert!(actions.contains(&Action::Cancel { call, attempt: 0 }), "{picks:?} {actions:?}");
            let actions = plays.list(ListKind::Failed, std::iter::empty());
            assert!(actions.iter().any(|action| matches!(action, Action::SetTimer { .. })), "{picks:?}");
            plays.now += ASK_AGAIN;
            assert!(plays.event(Event::Timer).contains(&Action::Subscribe), "{picks:?}");
            assert!(!plays.event(Event::Timer).contains(&Action::Subscribe), "{picks:?}: once");
        }
    }

    /// Retries whose clients leave, or whose time is up meanwhile, give their places in the budget back.
    #[test]
    fn the_retry_budget_is_whole_again_when_its_calls_are_over() {
        let mut plays = Plays::new(BalancerKind::Envoy, 4);
        for round in 0..200 {
            let (call, _) = plays.ask(0);
            plays.end(call, 0, Outcome::Reset, MS);
            plays.now += 300 * MS;
            let actions = plays.event(Event::Timer);
            assert!(sent(&actions).is_some(), "{round}: a retry is granted");
            match round % 3 {
                0 => drop(plays.event(Event::Cancelled { call })),
                1 => drop(plays.end(call, 1, Outcome::Served, MS)),
                _ => drop(plays.end(call, 1, Outcome::Reset, MS)),
            }
        }
    }
}
