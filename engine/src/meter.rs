//! What was written for one attempt, and when: the proof that rules 1 and 2 rest on.

use crate::stall::LastLook;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Whether the list that this engine decides by may be written by. Rule 3 (nothing new to a host that drains) counts
/// from when the process was told: an engine that is behind what its process knows, or that was stalled and has not read
/// what came meanwhile, writes nothing new until it has caught up, and one whose list has expired writes nothing new at all.
#[derive(Clone, Debug, Default)]
pub struct Fresh {
    known: Option<Rc<Known>>,
    expires: Rc<Cell<Option<Instant>>>,
    last_look: LastLook,
}

#[derive(Debug)]
struct Known {
    told: Arc<AtomicU64>,
    taken: Cell<u64>,
}

impl Fresh {
    /// Of an engine whose process counts in `told` what it was told.
    pub fn new(told: Arc<AtomicU64>) -> Fresh {
        Fresh { known: Some(Rc::new(Known { told, taken: Cell::new(0) })), ..Fresh::default() }
    }

    /// Sets when the list expires; `None`: it is verified.
    pub fn expires(&self, at: Option<Instant>) {
        self.expires.set(at);
    }

    /// Whether the list has expired.
    pub fn has_expired(&self) -> bool {
        self.expires.get().is_some_and(|at| Instant::now() >= at)
    }

    /// For the task that reads the list: while it is overdue nothing new is begun.
    pub fn last_look(&self) -> LastLook {
        self.last_look.clone()
    }

    /// This engine has taken in all up to here.
    pub fn taken(&self, up_to: u64) {
        if let Some(known) = &self.known {
            known.taken.set(up_to);
        }
    }

    fn is_behind(&self) -> bool {
        let untold = |known: &Rc<Known>| known.told.load(Ordering::Acquire) > known.taken.get();
        self.last_look.is_overdue() || self.known.as_ref().is_some_and(untold)
    }
}

/// When the attempts of one call were first written to. Rule 2 allows a repeat for a time that begins with the first
/// attempt that may have run, and it counts writing: the module decides within that time, and a connection may come up
/// long after. Clones are of the same call.
#[derive(Clone, Debug, Default)]
pub struct Repeats(Option<Rc<Begun>>);

#[derive(Debug)]
struct Begun {
    within: Duration,
    /// By attempt, one that surely never ran left out; as many as the settings allow attempts.
    first: RefCell<Vec<(u32, Instant)>>,
}

impl Repeats {
    /// Of a call that may be repeated within a time; without one, at any time that the module chooses.
    pub fn new(within: Option<Duration>) -> Repeats {
        Repeats(within.map(|within| Rc::new(Begun { within, first: RefCell::default() })))
    }

    fn begins(&self, attempt: u32) {
        if let Some(begun) = &self.0 {
            begun.first.borrow_mut().push((attempt, Instant::now()));
        }
    }

    /// An attempt has ended that surely never ran: it binds no other.
    pub fn never_ran(&self, attempt: u32) {
        if let Some(begun) = &self.0 {
            begun.first.borrow_mut().retain(|(other, _)| *other != attempt);
        }
    }

    /// By when an attempt must be written whole because of another; `None` while there is none.
    fn until(&self, attempt: u32) -> Option<Instant> {
        let begun = self.0.as_ref()?;
        let first = begun.first.borrow();
        let others = first.iter().filter(|(other, _)| *other != attempt).map(|(_, at)| *at);
        Some(others.min()? + begun.within)
    }
}

/// What was written for one attempt. No byte means that no host can have seen it, which is what rule 2 (no effect
/// twice) rests on: a protocol counts here *every* byte of an attempt that it gives to the system. An attempt that is
/// whole needs nothing more to be sent for it, whoever waits for it or not, which is what rule 1 rests on when its
/// client has gone.
#[derive(Clone, Debug, Default)]
pub struct Meter(Rc<Written>);

#[derive(Debug, Default)]
struct Written {
    bytes: Cell<usize>,
    /// All of the request has been made into bytes.
    made: Cell<bool>,
    whole: Cell<bool>,
    revoked: Cell<bool>,
    fresh: Fresh,
    repeats: Repeats,
    attempt: u32,
}

impl Meter {
    /// Of an engine that others may be ahead of, and of this attempt of a call.
    pub fn new(fresh: Fresh, repeats: Repeats, attempt: u32) -> Meter {
        Meter(Rc::new(Written { fresh, repeats, attempt, ..Written::default() }))
    }

    /// By when all of it must be written, since it repeats another attempt that may have run; `None`: it repeats none,
    /// or may at any time. An earlier attempt that is written only now changes it.
    pub fn written_by(&self) -> Option<Instant> {
        self.0.repeats.until(self.0.attempt)
    }

    /// Whether that moment has passed: nothing more may be written.
    pub fn is_too_late(&self) -> bool {
        self.written_by().is_some_and(|by| Instant::now() >= by)
    }

    /// Whether the list by which the attempt was decided has expired before its first byte: none may be written.
    pub fn has_expired(&self) -> bool {
        self.bytes() == 0 && self.0.fresh.has_expired()
    }

    /// Whether the attempt's first byte must wait: the engine has not yet heard all that the process was told.
    pub fn must_wait(&self) -> bool {
        self.bytes() == 0 && self.0.fresh.is_behind()
    }

    /// How many bytes were written.
    pub fn bytes(&self) -> usize {
        self.0.bytes.get()
    }

    /// So many more were written.
    pub fn add(&self, count: usize) {
        if self.bytes() == 0 && count > 0 {
            self.0.repeats.begins(self.0.attempt);
        }
        self.0.bytes.set(self.0.bytes.get() + count);
    }

    /// Whether all of the request has been made into bytes: what is flushed next is its end.
    pub fn made(&self, all: bool) {
        self.0.made.set(all);
    }

    /// All bytes that were made so far are written.
    pub fn flushed(&self) {
        if self.0.made.get() && self.bytes() > 0 {
            self.0.whole.set(true);
        }
    }

    /// Nothing more may be written for the attempt. Its task may be told to end and be polled only later, and what it
    /// has handed to its connection is written by another.
    pub fn revoke(&self) {
        self.0.revoked.set(true);
    }

    /// Whether nothing more may be written.
    pub fn is_revoked(&self) -> bool {
        self.0.revoked.get()
    }

    /// Whether all of it is written.
    pub fn is_whole(&self) -> bool {
        self.0.whole.get()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::stall::StallDetector;

    /// After a stall nothing is begun until what came meanwhile is read; what was begun goes on.
    #[test]
    fn nothing_is_begun_while_the_list_may_be_unread() {
        let fresh = Fresh::default();
        let (begun, new) = (Meter::new(fresh.clone(), Repeats::default(), 0), Meter::default());
        begun.add(1);
        let next = Meter::new(fresh.clone(), Repeats::default(), 1);
        assert!(!next.must_wait(), "nobody reads a list");
        let stalled_from = Instant::now().checked_sub(Duration::from_secs(2)).expect("a moment");
        let mut reader = StallDetector::new(stalled_from, fresh.last_look());
        assert!(next.must_wait() && !begun.must_wait() && !new.must_wait());
        assert!(!reader.idle(Instant::now()), "it looks late");
        assert!(next.must_wait());
        assert!(reader.idle(reader.look_at()));
        assert!(!next.must_wait());
        drop(reader);
        assert!(!next.must_wait());
    }
}
