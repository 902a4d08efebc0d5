//! What was written for one attempt, and when: the proof that rules 1 and 2 rest on.

use crate::stall::LastPoll;
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
pub struct FreshnessGate {
    progress: Option<Rc<ListProgress>>,
    expires_at: Rc<Cell<Option<Instant>>>,
    last_poll: LastPoll,
}

#[derive(Debug)]
struct ListProgress {
    received: Arc<AtomicU64>,
    applied: Cell<u64>,
}

impl FreshnessGate {
    /// Of an engine whose process counts in `received` what it was told.
    pub fn new(received: Arc<AtomicU64>) -> FreshnessGate {
        FreshnessGate {
            progress: Some(Rc::new(ListProgress { received, applied: Cell::new(0) })),
            ..FreshnessGate::default()
        }
    }

    /// Sets when the list expires; `None`: it is verified.
    pub fn set_expiry(&self, at: Option<Instant>) {
        self.expires_at.set(at);
    }

    /// Whether the list has expired.
    pub fn has_expired(&self) -> bool {
        self.expires_at.get().is_some_and(|at| Instant::now() >= at)
    }

    /// For the task that reads the list: while it is overdue nothing new is begun.
    pub fn last_poll(&self) -> LastPoll {
        self.last_poll.clone()
    }

    /// This engine has taken in all up to here.
    pub fn mark_applied(&self, up_to: u64) {
        if let Some(progress) = &self.progress {
            progress.applied.set(up_to);
        }
    }

    fn is_behind(&self) -> bool {
        let has_unapplied =
            |progress: &Rc<ListProgress>| progress.received.load(Ordering::Acquire) > progress.applied.get();
        self.last_poll.is_overdue() || self.progress.as_ref().is_some_and(has_unapplied)
    }
}

/// When the attempts of one call were first written to. Rule 2 allows a repeat for a time that begins with the first
/// attempt that may have run, and it counts writing: the module decides within that time, and a connection may come up
/// long after. Clones are of the same call.
#[derive(Clone, Debug, Default)]
pub struct RepeatWindow(Option<Rc<WriteTimes>>);

#[derive(Debug)]
struct WriteTimes {
    window: Duration,
    /// By attempt, one that surely never ran left out; as many as the settings allow attempts.
    first_writes: RefCell<Vec<(u32, Instant)>>,
}

impl RepeatWindow {
    /// Of a call that may be repeated within a time; without one, at any time that the module chooses.
    pub fn new(window: Option<Duration>) -> RepeatWindow {
        RepeatWindow(window.map(|window| Rc::new(WriteTimes { window, first_writes: RefCell::default() })))
    }

    fn record_first_write(&self, attempt: u32) {
        if let Some(write_times) = &self.0 {
            write_times.first_writes.borrow_mut().push((attempt, Instant::now()));
        }
    }

    /// An attempt has ended that surely never ran: it binds no other.
    pub fn forget_attempt(&self, attempt: u32) {
        if let Some(write_times) = &self.0 {
            write_times.first_writes.borrow_mut().retain(|(other, _)| *other != attempt);
        }
    }

    /// By when an attempt must be written whole because of another; `None` while there is none.
    fn deadline_for(&self, attempt: u32) -> Option<Instant> {
        let write_times = self.0.as_ref()?;
        let first_writes = write_times.first_writes.borrow();
        let others = first_writes.iter().filter(|(other, _)| *other != attempt).map(|(_, at)| *at);
        Some(others.min()? + write_times.window)
    }
}

/// What was written for one attempt. No byte means that no host can have seen it, which is what rule 2 (no effect
/// twice) rests on: a protocol counts here *every* byte of an attempt that it gives to the system. An attempt that is
/// whole needs nothing more to be sent for it, whoever waits for it or not, which is what rule 1 rests on when its
/// client has gone.
#[derive(Clone, Debug, Default)]
pub struct Meter(Rc<WriteState>);

#[derive(Debug, Default)]
struct WriteState {
    bytes: Cell<usize>,
    /// All of the request has been made into bytes.
    encoded: Cell<bool>,
    fully_written: Cell<bool>,
    revoked: Cell<bool>,
    freshness: FreshnessGate,
    repeat_window: RepeatWindow,
    attempt: u32,
}

impl Meter {
    /// Of an engine that others may be ahead of, and of this attempt of a call.
    pub fn new(freshness: FreshnessGate, repeat_window: RepeatWindow, attempt: u32) -> Meter {
        Meter(Rc::new(WriteState { freshness, repeat_window, attempt, ..WriteState::default() }))
    }

    /// By when all of it must be written, since it repeats another attempt that may have run; `None`: it repeats none,
    /// or may at any time. An earlier attempt that is written only now changes it.
    pub fn write_deadline(&self) -> Option<Instant> {
        self.0.repeat_window.deadline_for(self.0.attempt)
    }

    /// Whether that moment has passed: nothing more may be written.
    pub fn is_past_write_deadline(&self) -> bool {
        self.write_deadline().is_some_and(|by| Instant::now() >= by)
    }

    /// Whether the list by which the attempt was decided has expired before its first byte: none may be written.
    pub fn list_has_expired(&self) -> bool {
        self.bytes() == 0 && self.0.freshness.has_expired()
    }

    /// Whether the attempt's first byte must wait: the engine has not yet heard all that the process was told.
    pub fn must_wait_for_list(&self) -> bool {
        self.bytes() == 0 && self.0.freshness.is_behind()
    }

    /// How many bytes were written.
    pub fn bytes(&self) -> usize {
        self.0.bytes.get()
    }

    /// So many more were written.
    pub fn record_written(&self, count: usize) {
        if self.bytes() == 0 && count > 0 {
            self.0.repeat_window.record_first_write(self.0.attempt);
        }
        self.0.bytes.set(self.0.bytes.get() + count);
    }

    /// Whether all of the request has been made into bytes: what is flushed next is its end.
    pub fn set_encoded(&self, all: bool) {
        self.0.encoded.set(all);
    }

    /// All bytes that were made so far are written.
    pub fn record_flush(&self) {
        if self.0.encoded.get() && self.bytes() > 0 {
            self.0.fully_written.set(true);
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
    pub fn is_fully_written(&self) -> bool {
        self.0.fully_written.get()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::stall::StallDetector;

    /// After a stall nothing is begun until what came meanwhile is read; what was begun goes on.
    #[test]
    fn no_attempt_is_started_while_list_updates_may_be_unread() {
        let freshness = FreshnessGate::default();
        let (partly_written, new) =
            (Meter::new(freshness.clone(), RepeatWindow::default(), 0), Meter::default());
        partly_written.record_written(1);
        let next = Meter::new(freshness.clone(), RepeatWindow::default(), 1);
        assert!(!next.must_wait_for_list(), "nobody reads a list");
        let stalled_from = Instant::now().checked_sub(Duration::from_secs(2)).expect("a moment");
        let mut reader = StallDetector::new(stalled_from, freshness.last_poll());
        assert!(
            next.must_wait_for_list() && !partly_written.must_wait_for_list() && !new.must_wait_for_list()
        );
        assert!(!reader.record_idle(Instant::now()), "it looks late");
        assert!(next.must_wait_for_list());
        assert!(reader.record_idle(reader.poll_at()));
        assert!(!next.must_wait_for_list());
        drop(reader);
        assert!(!next.must_wait_for_list());
    }
}
