//! All orders of events on one key up to a depth: repeats that come before, at and after each end of the first, with
//! one and with many waiting, clients that go, and times that run out.

use nettleworks_keys::{Arrival, Bounds, End, Ended, Kind, Left, Request, Retention, Slot, Store};

/// Events in a row: 9 kinds, so 9^6 orders for each kind of class.
const DEPTH: usize = 6;
const UNSURE: u64 = 1_000;

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
}

const STEPS: [Step; 9] = [
    Step::ArriveShort,
    Step::ArriveLong,
    Step::Serve,
    Step::Unsure,
    Step::NeverRan,
    Step::FirstGone,
    Step::LastGone,
    Step::Wait,
    Step::Forget,
];

/// One key's world, with the rules that must hold in it.
struct World {
    store: Store<u32>,
    kind: Kind,
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
    path: Vec<Step>,
}

impl World {
    fn new(kind: Kind) -> World {
        let retention = vec![Retention { answered: u64::MAX / 2, unsure: UNSURE }];
        let store = Store::new(1, Bounds { retention, ..Bounds::default() });
        World {
            store,
            kind,
            now: 0,
            next: 0,
            waiting: Vec::new(),
            running: None,
            may_have_run: 0,
            served: None,
            unsure_until: 0,
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
                self.waiting.push(self.next);
            }
            Arrival::Joined { slot, .. } => {
                assert_eq!(self.running, Some(slot), "{path:?}");
                self.waiting.push(self.next);
            }
            Arrival::Replay(answer) => assert_eq!(Some(answer), self.served, "{path:?}: another's answer"),
            Arrival::Unsure => assert!(self.unsure_until > self.now && self.running.is_none(), "{path:?}"),
            other => panic!("{path:?}: {other:?}"),
        }
    }

    fn end(&mut self, end: End<u32>) {
        let Some(slot) = self.running else { return };
        let never_ran = end == End::NeverRan;
        let Ended { waiters, next } = self.store.ended(self.now, slot, end.clone());
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
        match end {
            End::Served { answer, .. } => {
                self.served = Some(answer);
                self.may_have_run += 1;
            }
            End::Unsure => {
                self.unsure_until = self.now + UNSURE;
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
            // It is called off, and may have run.
            self.end(End::Unsure);
        }
    }

    fn pass(&mut self, time: u64) {
        self.now += time;
        while let Some((slot, id, left)) = self.store.overdue(self.now) {
            assert_eq!(self.running, Some(slot), "{:?}", self.path);
            assert!(self.waiting.contains(&id), "{:?}", self.path);
            self.waiting.retain(|&other| other != id);
            if left == Left::Nobody {
                self.end(End::Unsure);
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
                self.may_have_run = usize::from(self.served.is_some());
            }
        }
        let most = if self.unsure_until > self.now || self.served.is_some() { 1 } else { usize::MAX };
        assert!(self.may_have_run <= most, "{:?}: it may have run {} times", self.path, self.may_have_run);
        assert_eq!(self.running.is_some(), !self.waiting.is_empty(), "{:?}", self.path);
    }
}

#[test]
fn no_order_of_events_runs_a_key_twice_or_forgets_who_waits() {
    for kind in [Kind::Unsafe, Kind::Keyed] {
        let mut orders = 0;
        for number in 0..STEPS.len().pow(DEPTH as u32) {
            let mut world = World::new(kind);
            // Orders that do not begin with an arrival are those of a shorter depth.
            if number % STEPS.len() > 1 {
                continue;
            }
            let mut rest = number;
            for _ in 0..DEPTH {
                world.step(STEPS[rest % STEPS.len()]);
                rest /= STEPS.len();
            }
            orders += 1;
        }
        assert_eq!(orders, 2 * STEPS.len().pow(DEPTH as u32 - 1));
    }
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
    assert_eq!(store.arrive(11, &request, 2, 20), Arrival::Unsure);
    assert_eq!(store.ended(12, slot, End::Served { answer: 5, bytes: 1 }), Ended::default());
    assert_eq!(store.arrive(13, &request, 3, 20), Arrival::Replay(5));
    assert_eq!(store.ended(14, slot, End::NeverRan), Ended::default(), "it has ended");
    assert_eq!(store.arrive(15, &request, 4, 20), Arrival::Replay(5));
}
