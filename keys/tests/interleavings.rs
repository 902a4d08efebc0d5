//! All orders of events on one key up to a depth: repeats that come before, at and after each end of the first, with
//! one and with many waiting, clients that go, calls that are called off then or linger, times that run out, words by
//! hand and late answers.

use nettleworks_keys::{
    Arrival, Bounds, End, Ended, KeyState, Kind, Known, Left, LingerBounds, Lingering, Request, Retention,
    Slot, Store, Verdict,
};

const UNSURE: u64 = 1_000;
/// How long a call lingers: past one wait, not past two.
const LINGER: u64 = 30;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    ArriveShort,
    ArriveLong,
    Serve,
    Unsure,
    NeverRan,
    FirstGone,
    LastGone,
    /// Past the short deadlines.
    Wait,
    /// Past the time for which an unsure end is remembered.
    Forget,
    /// Somebody says by hand that it ran, or that it never did.
    SayRan,
    SayNeverRan,
    /// An answer comes for the run that last ended unsure.
    Late,
}

const STEPS: [Step; 12] = [
    Step::ArriveShort,
    Step::ArriveLong,
    Step::Serve,
    Step::Unsure,
    Step::NeverRan,
    Step::FirstGone,
    Step::LastGone,
    Step::Wait,
    Step::Forget,
    Step::SayRan,
    Step::SayNeverRan,
    Step::Late,
];
/// The first of them: those of a call, without hands and late answers.
const OF_CALLS: usize = 9;

/// One key's world, with the rules that must hold in it.
struct World {
    store: Store<u32>,
    kind: Kind,
    /// Where calls linger when nobody waits.
    book: Option<Lingering>,
    now: u64,
    next: u64,
    /// Who waits.
    waiting: Vec<u64>,
    /// The call that is out.
    running: Option<Slot>,
    /// Attempts that may have run, since the last time that all was forgotten.
    may_have_run: usize,
    served: Option<u32>,
    unsure_until: u64,
    /// The run that ended unsure, and what has been said of it by hand, until it is forgotten or its key runs again.
    doubt: Option<(Slot, u64, Option<Verdict>)>,
    path: Vec<Step>,
}

impl World {
    fn new(kind: Kind, lingers: bool) -> World {
        let retention = vec![Retention { answered: u64::MAX / 2, unsure: UNSURE }];
        let store = Store::new(1, Bounds { retention, ..Bounds::default() });
        World {
            store,
            kind,
            book: lingers.then(|| Lingering::new(LingerBounds::default())),
            now: 0,
            next: 0,
            waiting: Vec::new(),
            running: None,
            may_have_run: 0,
            served: None,
            unsure_until: 0,
            doubt: None,
            path: Vec::new(),
        }
    }

    fn arrive(&mut self, patience: u64) {
        self.next += 1;
        let (digest, key) = (self.store.digest(&[b"x"]), b"k");
        let request = Request { tenant: None, class: 0, kind: self.kind, key, digest };
        let got = self.store.arrive(self.now, &request, self.next, self.now + patience);
        let path = &self.path;
        match got {
            Arrival::First(slot) => {
                assert_eq!(self.running, None, "{path:?}: two at once");
                assert_eq!(self.served, None, "{path:?}: again after an answer");
                assert!(self.unsure_until <= self.now, "{path:?}: again though nobody knows");
                self.running = Some(slot);
                self.doubt = None;
                self.waiting.push(self.next);
            }
            Arrival::Joined { slot, longest } => {
                assert_eq!(self.running, Some(slot), "{path:?}");
                let alone = self.waiting.is_empty();
                assert!(longest || !alone, "{path:?}");
                // Wanted again: it no longer ends by itself.
                assert_eq!(self.book.as_mut().is_some_and(|book| book.end(slot)), alone, "{path:?}");
                self.waiting.push(self.next);
            }
            Arrival::Replay(answer) => assert_eq!(Some(answer), self.served, "{path:?}: another's answer"),
            Arrival::Known(known) => {
                assert!(self.unsure_until > self.now && self.running.is_none(), "{path:?}");
                let said = self.doubt.and_then(|(.., said)| said).map_or(KeyState::Unsure, Verdict::state);
                assert_eq!(known.state, said, "{path:?}");
            }
            other => panic!("{path:?}: {other:?}"),
        }
    }

    fn end(&mut self, end: End<u32>) {
        let Some(slot) = self.running else { return };
        let never_ran = end == End::NeverRan;
        let Ended { waiters, next, .. } = self.store.ended(self.now, slot, end.clone());
        for id in &waiters {
            let at = self.waiting.iter().position(|other| other == id);
            self.waiting.remove(at.unwrap_or_else(|| panic!("{:?}: told twice, or never asked", self.path)));
        }
        if never_ran && !self.waiting.is_empty() {
            assert_eq!(next, self.waiting.first().copied(), "{:?}: exactly one becomes the first", self.path);
            assert_eq!(waiters.len(), 1, "{:?}", self.path);
            return;
        }
        assert_eq!(next, None, "{:?}", self.path);
        assert!(self.waiting.is_empty(), "{:?}: all hear of it", self.path);
        self.running = None;
        if let Some(book) = &mut self.book {
            book.end(slot);
        }
        match end {
            End::Served { answer, .. } => {
                self.served = Some(answer);
                self.may_have_run += 1;
            }
            End::Unsure => {
                self.unsure_until = self.now + UNSURE;
                self.doubt = Some((slot, self.unsure_until, None));
                self.may_have_run += 1;
            }
            End::NeverRan => {}
        }
    }

    fn gone(&mut self, id: Option<u64>) {
        let (Some(id), Some(slot)) = (id, self.running) else { return };
        self.waiting.retain(|&other| other != id);
        let left = self.store.gone(slot, id);
        assert_eq!(left == Left::Nobody, self.waiting.is_empty(), "{:?}", self.path);
        if left == Left::Nobody {
            self.alone(slot);
        }
    }

    /// Nobody waits any more: it lingers, or is called off and may have run.
    fn alone(&mut self, slot: Slot) {
        match &mut self.book {
            Some(book) => assert!(book.begin(slot, None, &[1], self.now + LINGER).is_empty()),
            None => self.end(End::Unsure),
        }
    }

    fn say(&mut self, verdict: Verdict) {
        let Some((slot, until, said)) = self.doubt else { return };
        let settled = self.store.settle(self.now, slot, verdict, false).is_ok();
        assert_eq!(settled, said.is_none() && until > self.now, "{:?}", self.path);
        if settled {
            // What was said counts: one that never ran may run.
            self.unsure_until = if verdict == Verdict::Ran { self.now + UNSURE } else { 0 };
            self.may_have_run -= usize::from(verdict == Verdict::NeverRan);
            self.doubt = Some((slot, self.now + UNSURE, Some(verdict)));
        }
    }

    fn late(&mut self) {
        let Some((slot, until, said)) = self.doubt else { return };
        let ended = self.store.ended(self.now, slot, End::Served { answer: 77, bytes: 1 });
        let before = (until > self.now).then(|| said.map_or(KeyState::Unsure, Verdict::state));
        assert_eq!(ended, Ended { late: before, ..Ended::default() }, "{:?}", self.path);
        if before.is_some() {
            (self.served, self.may_have_run, self.doubt) = (Some(77), 1, None);
        }
    }

    fn pass(&mut self, time: u64) {
        self.now += time;
        while let Some(slot) = self.book.as_mut().and_then(|book| book.due(self.now)) {
            assert_eq!((self.running, self.waiting.len()), (Some(slot), 0), "{:?}", self.path);
            self.end(End::Unsure);
        }
        while let Some((slot, id, left)) = self.store.overdue(self.now) {
            assert_eq!(self.running, Some(slot), "{:?}", self.path);
            assert!(self.waiting.contains(&id), "{:?}", self.path);
            self.waiting.retain(|&other| other != id);
            if left == Left::Nobody {
                self.alone(slot);
            }
        }
    }

    fn step(&mut self, step: Step) {
        self.path.push(step);
        match step {
            Step::ArriveShort => self.arrive(10),
            Step::ArriveLong => self.arrive(100_000),
            Step::Serve => self.end(End::Served { answer: self.next as u32, bytes: 4 }),
            Step::Unsure => self.end(End::Unsure),
            Step::NeverRan => self.end(End::NeverRan),
            Step::FirstGone => self.gone(self.waiting.first().copied()),
            Step::LastGone => self.gone(self.waiting.last().copied()),
            Step::Wait => self.pass(20),
            Step::Forget => {
                self.pass(UNSURE);
                // What ended unsure only now is not forgotten yet.
                let known = self.served.is_some() || self.unsure_until > self.now;
                self.may_have_run = usize::from(known);
            }
            Step::SayRan => self.say(Verdict::Ran),
            Step::SayNeverRan => self.say(Verdict::NeverRan),
            Step::Late => self.late(),
        }
        let most = if self.unsure_until > self.now || self.served.is_some() { 1 } else { usize::MAX };
        assert!(self.may_have_run <= most, "{:?}: it may have run {} times", self.path, self.may_have_run);
        let lingers = self.book.as_ref().map_or(0, Lingering::len);
        assert_eq!(self.running.is_some(), !self.waiting.is_empty() || lingers == 1, "{:?}", self.path);
        assert!(self.waiting.is_empty() || lingers == 0, "{:?}: it lingers and is waited for", self.path);
    }
}

/// All orders of the first `kinds` steps, `depth` in a row, for both kinds of class, lingering and not.
fn all_orders(kinds: usize, depth: u32) {
    for (kind, lingers) in
        [(Kind::Unsafe, false), (Kind::Keyed, false), (Kind::Unsafe, true), (Kind::Keyed, true)]
    {
        let mut orders = 0;
        for number in 0..kinds.pow(depth) {
            // Orders that do not begin with an arrival are those of a shorter depth.
            if number % kinds > 1 {
                continue;
            }
            let mut world = World::new(kind, lingers);
            let mut rest = number;
            for _ in 0..depth {
                world.step(STEPS[rest % kinds]);
                rest /= kinds;
            }
            orders += 1;
        }
        assert_eq!(orders, 2 * kinds.pow(depth - 1));
    }
}

#[test]
fn no_order_of_events_runs_a_key_twice_or_forgets_who_waits() {
    all_orders(OF_CALLS, 6);
}

#[test]
fn nor_does_one_with_words_by_hand_and_late_answers() {
    all_orders(STEPS.len(), 5);
}

/// An answer that comes when its call was given up is kept: the next repeat gets it.
#[test]
fn a_late_answer_ends_the_doubt() {
    let mut store: Store<u32> = Store::new(1, Bounds::default());
    let digest = store.digest(&[b"x"]);
    let request = Request { tenant: None, class: 0, kind: Kind::Unsafe, key: b"k", digest };
    let Arrival::First(slot) = store.arrive(0, &request, 1, 10) else { panic!("no first") };
    assert_eq!(store.overdue(10), Some((slot, 1, Left::Nobody)));
    assert_eq!(store.ended(10, slot, End::Unsure), Ended::default());
    let known = Known { state: KeyState::Unsure, age: 11 };
    assert_eq!(store.arrive(11, &request, 2, 20), Arrival::Known(known));
    let ended = store.ended(12, slot, End::Served { answer: 5, bytes: 1 });
    assert_eq!(ended, Ended { late: Some(KeyState::Unsure), ..Ended::default() });
    assert_eq!(store.arrive(13, &request, 3, 20), Arrival::Replay(5));
    assert_eq!(store.ended(14, slot, End::NeverRan), Ended::default(), "it has ended");
    assert_eq!(store.arrive(15, &request, 4, 20), Arrival::Replay(5));
}
