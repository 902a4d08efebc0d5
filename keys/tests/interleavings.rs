//! All orders of events on one key up to a depth: repeats that arrive before, during and after the first run, with one
//! and with many waiters, clients that disconnect, calls that are cancelled then or detached, deadlines that pass,
//! operators' verdicts and late answers.

use nettleworks_keys::{
    Admission, Bounds, ClassKind, Completion, DetachedBounds, DetachedCalls, KeyInfo, KeyState, Removal,
    Request, Retention, RunId, RunOutcome, Store, Verdict,
};

/// How long an unsure outcome is remembered.
const UNSURE_RETENTION: u64 = 1_000;
/// How long a call stays detached: longer than one [`Step::Wait`], shorter than two.
const DETACHED_TIME: u64 = 30;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    ArriveShort,
    ArriveLong,
    Serve,
    Unsure,
    NeverRan,
    /// The client of the first or last waiter disconnects.
    FirstDisconnects,
    LastDisconnects,
    /// Waits until the short deadlines have passed.
    Wait,
    /// Waits until an unsure outcome is no longer remembered.
    Forget,
    /// An operator settles it as run, or as never run.
    SettleRan,
    SettleNeverRan,
    /// An answer arrives for the run that last ended unsure.
    LateAnswer,
}

const STEPS: [Step; 12] = [
    Step::ArriveShort,
    Step::ArriveLong,
    Step::Serve,
    Step::Unsure,
    Step::NeverRan,
    Step::FirstDisconnects,
    Step::LastDisconnects,
    Step::Wait,
    Step::Forget,
    Step::SettleRan,
    Step::SettleNeverRan,
    Step::LateAnswer,
];
/// The number of steps at the head of [`STEPS`] without verdicts and late answers.
const CALL_STEPS: usize = 9;

/// A store with one key, and what is expected of it.
struct Simulation {
    store: Store<u32>,
    kind: ClassKind,
    /// The detached calls; `None`: a call is cancelled when no request waits for it any more.
    detached: Option<DetachedCalls>,
    now: u64,
    next: u64,
    /// The waiting requests.
    waiting: Vec<u64>,
    /// The running call.
    running: Option<RunId>,
    /// Calls that may have run since the key was last forgotten.
    may_have_run: usize,
    served: Option<u32>,
    unsure_until: u64,
    /// The run that ended unsure, until when it is remembered, and the verdict on it; until its key runs again.
    unsure_run: Option<(RunId, u64, Option<Verdict>)>,
    path: Vec<Step>,
}

impl Simulation {
    fn new(kind: ClassKind, detaches: bool) -> Simulation {
        let retention = vec![Retention { answered: u64::MAX / 2, unsure: UNSURE_RETENTION }];
        let store = Store::new(1, Bounds { retention, ..Bounds::default() });
        Simulation {
            store,
            kind,
            detached: detaches.then(|| DetachedCalls::new(DetachedBounds::default())),
            now: 0,
            next: 0,
            waiting: Vec::new(),
            running: None,
            may_have_run: 0,
            served: None,
            unsure_until: 0,
            unsure_run: None,
            path: Vec::new(),
        }
    }

    fn admit(&mut self, patience: u64) {
        self.next += 1;
        let (digest, key) = (self.store.digest(&[b"x"]), b"k");
        let request = Request { tenant: None, class: 0, kind: self.kind, key, digest };
        let admission = self.store.admit(self.now, &request, self.next, self.now + patience);
        let path = &self.path;
        match admission {
            Admission::First(run_id) => {
                assert_eq!(self.running, None, "{path:?}: two calls at once");
                assert_eq!(self.served, None, "{path:?}: again after an answer");
                assert!(self.unsure_until <= self.now, "{path:?}: again although its outcome is unknown");
                self.running = Some(run_id);
                self.unsure_run = None;
                self.waiting.push(self.next);
            }
            Admission::Joined { run_id, longest } => {
                assert_eq!(self.running, Some(run_id), "{path:?}");
                let was_detached = self.waiting.is_empty();
                assert!(longest || !was_detached, "{path:?}");
                // A client waits again: it is no longer detached.
                assert_eq!(
                    self.detached.as_mut().is_some_and(|detached| detached.remove(run_id)),
                    was_detached,
                    "{path:?}"
                );
                self.waiting.push(self.next);
            }
            Admission::Replay(answer) => {
                assert_eq!(Some(answer), self.served, "{path:?}: the answer of another run")
            }
            Admission::NoAnswer(info) => {
                assert!(self.unsure_until > self.now && self.running.is_none(), "{path:?}");
                let expected = self
                    .unsure_run
                    .and_then(|(.., verdict)| verdict)
                    .map_or(KeyState::Unsure, Verdict::state);
                assert_eq!(info.state, expected, "{path:?}");
            }
            other => panic!("{path:?}: {other:?}"),
        }
    }

    fn complete(&mut self, outcome: RunOutcome<u32>) {
        let Some(run_id) = self.running else { return };
        let never_ran = outcome == RunOutcome::NeverRan;
        let Completion { waiters, next, .. } = self.store.complete(self.now, run_id, outcome.clone());
        for id in &waiters {
            let position = self.waiting.iter().position(|other| other == id);
            self.waiting
                .remove(position.unwrap_or_else(|| panic!("{:?}: answered, but not waiting", self.path)));
        }
        if never_ran && !self.waiting.is_empty() {
            assert_eq!(next, self.waiting.first().copied(), "{:?}: exactly one becomes the first", self.path);
            assert_eq!(waiters.len(), 1, "{:?}", self.path);
            return;
        }
        assert_eq!(next, None, "{:?}", self.path);
        assert!(self.waiting.is_empty(), "{:?}: all get the outcome", self.path);
        self.running = None;
        if let Some(detached) = &mut self.detached {
            detached.remove(run_id);
        }
        match outcome {
            RunOutcome::Served { answer, .. } => {
                self.served = Some(answer);
                self.may_have_run += 1;
            }
            RunOutcome::Unsure => {
                self.unsure_until = self.now + UNSURE_RETENTION;
                self.unsure_run = Some((run_id, self.unsure_until, None));
                self.may_have_run += 1;
            }
            RunOutcome::NeverRan => {}
        }
    }

    fn disconnect(&mut self, id: Option<u64>) {
        let (Some(id), Some(run_id)) = (id, self.running) else { return };
        self.waiting.retain(|&other| other != id);
        let removal = self.store.remove_waiter(run_id, id);
        assert_eq!(removal == Removal::NobodyWaits, self.waiting.is_empty(), "{:?}", self.path);
        if removal == Removal::NobodyWaits {
            self.detach_or_cancel(run_id);
        }
    }

    /// No request waits any more: the call is detached, or cancelled and may have run.
    fn detach_or_cancel(&mut self, run_id: RunId) {
        match &mut self.detached {
            Some(detached) => assert!(detached.add(run_id, None, &[1], self.now + DETACHED_TIME).is_empty()),
            None => self.complete(RunOutcome::Unsure),
        }
    }

    fn settle(&mut self, verdict: Verdict) {
        let Some((run_id, until, earlier)) = self.unsure_run else { return };
        let settled = self.store.settle(self.now, run_id, verdict, false).is_ok();
        assert_eq!(settled, earlier.is_none() && until > self.now, "{:?}", self.path);
        if settled {
            // The verdict counts: a key that never ran may run again.
            self.unsure_until = if verdict == Verdict::Ran { self.now + UNSURE_RETENTION } else { 0 };
            self.may_have_run -= usize::from(verdict == Verdict::NeverRan);
            self.unsure_run = Some((run_id, self.now + UNSURE_RETENTION, Some(verdict)));
        }
    }

    fn late_answer(&mut self) {
        let Some((run_id, until, verdict)) = self.unsure_run else { return };
        let completion = self.store.complete(self.now, run_id, RunOutcome::Served { answer: 77, bytes: 1 });
        let before = (until > self.now).then(|| verdict.map_or(KeyState::Unsure, Verdict::state));
        assert_eq!(completion, Completion { late_for: before, ..Completion::default() }, "{:?}", self.path);
        if before.is_some() {
            (self.served, self.may_have_run, self.unsure_run) = (Some(77), 1, None);
        }
    }

    fn advance(&mut self, time: u64) {
        self.now += time;
        while let Some(run_id) = self.detached.as_mut().and_then(|detached| detached.pop_due(self.now)) {
            assert_eq!((self.running, self.waiting.len()), (Some(run_id), 0), "{:?}", self.path);
            self.complete(RunOutcome::Unsure);
        }
        while let Some((run_id, id, removal)) = self.store.pop_overdue(self.now) {
            assert_eq!(self.running, Some(run_id), "{:?}", self.path);
            assert!(self.waiting.contains(&id), "{:?}", self.path);
            self.waiting.retain(|&other| other != id);
            if removal == Removal::NobodyWaits {
                self.detach_or_cancel(run_id);
            }
        }
    }

    fn step(&mut self, step: Step) {
        self.path.push(step);
        match step {
            Step::ArriveShort => self.admit(10),
            Step::ArriveLong => self.admit(100_000),
            Step::Serve => self.complete(RunOutcome::Served { answer: self.next as u32, bytes: 4 }),
            Step::Unsure => self.complete(RunOutcome::Unsure),
            Step::NeverRan => self.complete(RunOutcome::NeverRan),
            Step::FirstDisconnects => self.disconnect(self.waiting.first().copied()),
            Step::LastDisconnects => self.disconnect(self.waiting.last().copied()),
            Step::Wait => self.advance(20),
            Step::Forget => {
                self.advance(UNSURE_RETENTION);
                // A run that ended unsure only now is not forgotten yet.
                let remembered = self.served.is_some() || self.unsure_until > self.now;
                self.may_have_run = usize::from(remembered);
            }
            Step::SettleRan => self.settle(Verdict::Ran),
            Step::SettleNeverRan => self.settle(Verdict::NeverRan),
            Step::LateAnswer => self.late_answer(),
        }
        let max = if self.unsure_until > self.now || self.served.is_some() { 1 } else { usize::MAX };
        assert!(self.may_have_run <= max, "{:?}: it may have run {} times", self.path, self.may_have_run);
        let detached = self.detached.as_ref().map_or(0, DetachedCalls::len);
        assert_eq!(self.running.is_some(), !self.waiting.is_empty() || detached == 1, "{:?}", self.path);
        assert!(
            self.waiting.is_empty() || detached == 0,
            "{:?}: detached although a request waits",
            self.path
        );
    }
}

/// Plays all sequences of `depth` steps out of the first `kinds`, for both kinds of class, with and without detached
/// calls.
fn all_orders(kinds: usize, depth: u32) {
    for (kind, detaches) in [
        (ClassKind::Unsafe, false),
        (ClassKind::Keyed, false),
        (ClassKind::Unsafe, true),
        (ClassKind::Keyed, true),
    ] {
        let mut orders = 0;
        for number in 0..kinds.pow(depth) {
            // Sequences that do not begin with an arrival are covered by a smaller depth.
            if number % kinds > 1 {
                continue;
            }
            let mut simulation = Simulation::new(kind, detaches);
            let mut remaining = number;
            for _ in 0..depth {
                simulation.step(STEPS[remaining % kinds]);
                remaining /= kinds;
            }
            orders += 1;
        }
        assert_eq!(orders, 2 * kinds.pow(depth - 1));
    }
}

#[test]
fn no_order_of_events_runs_a_key_twice_or_loses_a_waiter() {
    all_orders(CALL_STEPS, 6);
}

#[test]
fn no_order_with_verdicts_and_late_answers_runs_a_key_twice_or_loses_a_waiter() {
    all_orders(STEPS.len(), 5);
}

/// An answer that arrives after its call was given up is kept, and the next repeat gets it.
#[test]
fn a_late_answer_replaces_an_unsure_outcome() {
    let mut store: Store<u32> = Store::new(1, Bounds::default());
    let digest = store.digest(&[b"x"]);
    let request = Request { tenant: None, class: 0, kind: ClassKind::Unsafe, key: b"k", digest };
    let Admission::First(run_id) = store.admit(0, &request, 1, 10) else { panic!("no first") };
    assert_eq!(store.pop_overdue(10), Some((run_id, 1, Removal::NobodyWaits)));
    assert_eq!(store.complete(10, run_id, RunOutcome::Unsure), Completion::default());
    let info = KeyInfo { state: KeyState::Unsure, age: 11 };
    assert_eq!(store.admit(11, &request, 2, 20), Admission::NoAnswer(info));
    let completion = store.complete(12, run_id, RunOutcome::Served { answer: 5, bytes: 1 });
    assert_eq!(completion, Completion { late_for: Some(KeyState::Unsure), ..Completion::default() });
    assert_eq!(store.admit(13, &request, 3, 20), Admission::Replay(5));
    assert_eq!(store.complete(14, run_id, RunOutcome::NeverRan), Completion::default(), "it has ended");
    assert_eq!(store.admit(15, &request, 4, 20), Admission::Replay(5));
}
