//! Records what was written for one attempt, and when, and decides whether more may be written.
//!
//! Two guarantees rest on these records: nothing is sent for a request after its final answer, and no request takes
//! effect twice. A third, that nothing new is sent to a draining host, rests on the [`FreshnessGate`].

use crate::stall::LastPoll;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Whether the server list of this engine is fresh enough to start writing attempts that were decided with it.
///
/// The time within which a draining host must get no new requests counts from when the process was notified. So an
/// engine that has not yet applied what its process has received, or that was stalled and may have unread updates,
/// starts no new attempt until it has caught up. An engine whose list has expired starts no new attempt at all.
#[derive(Clone, Debug, Default)]
pub struct FreshnessGate {
    progress: Option<Rc<ListProgress>>,
    expires_at: Rc<Cell<Option<Instant>>>,
    last_poll: LastPoll,
}

/// How many list updates the process has received and this engine has applied.
#[derive(Debug)]
struct ListProgress {
    received: Arc<AtomicU64>,
    applied: Cell<u64>,
}

impl FreshnessGate {
    /// For an engine of a process that counts the list updates it has received in `received`.
    pub fn new(received: Arc<AtomicU64>) -> FreshnessGate {
        FreshnessGate {
            progress: Some(Rc::new(ListProgress { received, applied: Cell::new(0) })),
            ..FreshnessGate::default()
        }
    }

    /// Sets when the list expires; `None` means that the list is verified.
    pub fn set_expiry(&self, at: Option<Instant>) {
        self.expires_at.set(at);
    }

    /// Whether the list has expired.
    pub fn has_expired(&self) -> bool {
        self.expires_at.get().is_some_and(|at| Instant::now() >= at)
    }

    /// The record of the task that reads the list. While that task is overdue, no new attempt is started.
    pub fn last_poll(&self) -> LastPoll {
        self.last_poll.clone()
    }

    /// Records that this engine has applied all list updates up to number `up_to`.
    pub fn mark_applied(&self, up_to: u64) {
        if let Some(progress) = &self.progress {
            progress.applied.set(up_to);
        }
    }

    /// Whether list updates may exist that this engine has not applied.
    fn is_behind(&self) -> bool {
        let has_unapplied =
            |progress: &Rc<ListProgress>| progress.received.load(Ordering::Acquire) > progress.applied.get();
        self.last_poll.is_overdue() || self.progress.as_ref().is_some_and(has_unapplied)
    }
}

/// The first write of each attempt of one call, and the repeat window that begins with it.
///
/// A call that hosts deduplicate may be repeated only within a window that begins with the first attempt that may have
/// run. What counts is the time of writing: the decision module decides within the window, but the connection may be
/// established long after. Clones refer to the same call.
#[derive(Clone, Debug, Default)]
pub struct RepeatWindow(Option<Rc<WriteTimes>>);

/// The first writes of the attempts of a call with a repeat window.
#[derive(Debug)]
struct WriteTimes {
    window: Duration,
    /// The time of the first write of each attempt, except attempts that certainly never ran. Bounded by the maximum
    /// number of attempts in the settings.
    first_writes: RefCell<Vec<(u32, Instant)>>,
}

impl RepeatWindow {
    /// For a call that may be repeated within `window`; `None` means without a time limit.
    pub fn new(window: Option<Duration>) -> RepeatWindow {
        RepeatWindow(window.map(|window| Rc::new(WriteTimes { window, first_writes: RefCell::default() })))
    }

    /// Records that the first byte of an attempt is written now.
    fn record_first_write(&self, attempt: u32) {
        if let Some(write_times) = &self.0 {
            write_times.first_writes.borrow_mut().push((attempt, Instant::now()));
        }
    }

    /// Removes an attempt that certainly never ran, so that it no longer limits the others.
    pub fn forget_attempt(&self, attempt: u32) {
        if let Some(write_times) = &self.0 {
            write_times.first_writes.borrow_mut().retain(|(other, _)| *other != attempt);
        }
    }

    /// When an attempt must be fully written because another one may have run; `None` if there is no other.
    fn deadline_for(&self, attempt: u32) -> Option<Instant> {
        let write_times = self.0.as_ref()?;
        let first_writes = write_times.first_writes.borrow();
        let others = first_writes.iter().filter(|(other, _)| *other != attempt).map(|(_, at)| *at);
        Some(others.min()? + write_times.window)
    }
}

/// Counts what was written for one attempt.
///
/// An attempt without a written byte cannot have been seen by any host, so it may safely be retried. This holds only
/// if a protocol records *every* byte of an attempt that it passes to the operating system. A fully written attempt
/// needs nothing more to be sent, so it may continue after its client has disconnected.
#[derive(Clone, Debug, Default)]
pub struct Meter(Rc<WriteState>);

/// The state of a [`Meter`], shared by its clones.
#[derive(Debug, Default)]
struct WriteState {
    bytes: Cell<usize>,
    /// The whole request has been encoded.
    encoded: Cell<bool>,
    fully_written: Cell<bool>,
    revoked: Cell<bool>,
    response_begun: Cell<bool>,
    settle_wait: Cell<Duration>,
    freshness: FreshnessGate,
    repeat_window: RepeatWindow,
    attempt: u32,
}

impl Meter {
    /// For attempt number `attempt` of a call; `freshness` is that of its engine, `repeat_window` that of the call.
    pub fn new(freshness: FreshnessGate, repeat_window: RepeatWindow, attempt: u32) -> Meter {
        Meter(Rc::new(WriteState { freshness, repeat_window, attempt, ..WriteState::default() }))
    }

    /// When the attempt must be fully written, because it repeats another attempt that may have run; `None` if it
    /// repeats none or the call has no repeat window. The deadline may change when an earlier attempt is written late.
    pub fn write_deadline(&self) -> Option<Instant> {
        self.0.repeat_window.deadline_for(self.0.attempt)
    }

    /// Whether [`Meter::write_deadline`] has passed: nothing more may be written.
    pub fn is_past_write_deadline(&self) -> bool {
        self.write_deadline().is_some_and(|by| Instant::now() >= by)
    }

    /// Whether the server list expired before the first byte of the attempt was written: nothing may be written.
    pub fn list_has_expired(&self) -> bool {
        self.bytes() == 0 && self.0.freshness.has_expired()
    }

    /// Whether the first byte of the attempt must wait until the engine has applied all list updates of its process.
    pub fn must_wait_for_list(&self) -> bool {
        self.bytes() == 0 && self.0.freshness.is_behind()
    }

    /// The number of bytes written.
    pub fn bytes(&self) -> usize {
        self.0.bytes.get()
    }

    /// Records that `count` more bytes were written.
    pub fn record_written(&self, count: usize) {
        if self.bytes() == 0 && count > 0 {
            self.0.repeat_window.record_first_write(self.0.attempt);
        }
        self.0.bytes.set(self.0.bytes.get() + count);
    }

    /// Sets whether the whole request has been encoded, so that the next flush completes it.
    pub fn set_encoded(&self, all: bool) {
        self.0.encoded.set(all);
    }

    /// Records that all bytes encoded so far are written.
    pub fn record_flush(&self) {
        if self.0.encoded.get() && self.bytes() > 0 {
            self.0.fully_written.set(true);
        }
    }

    /// Records that the head of a response has arrived that serves the request.
    pub fn record_response_begun(&self) {
        self.0.response_begun.set(true);
    }

    /// Whether a response that serves the request has begun to arrive.
    pub fn has_response_begun(&self) -> bool {
        self.0.response_begun.get()
    }

    /// Forbids all further writes for the attempt. Aborting its task is not enough: the task ends only when it is polled
    /// next, and what it has passed to its connection is written by the connection's task.
    pub fn revoke(&self) {
        self.0.revoked.set(true);
    }

    /// Whether the attempt has been revoked.
    pub fn is_revoked(&self) -> bool {
        self.0.revoked.get()
    }

    /// Records that the attempt has waited this long for its connection to settle.
    pub fn record_settle_wait(&self, wait: Duration) {
        self.0.settle_wait.set(wait);
    }

    /// How long the attempt has waited for its connection to settle.
    pub fn settle_wait(&self) -> Duration {
        self.0.settle_wait.get()
    }

    /// Whether the whole request is written.
    pub fn is_fully_written(&self) -> bool {
        self.0.fully_written.get()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::stall::StallDetector;

    /// After a stall no attempt is started until the updates that arrived meanwhile are read; attempts that have started
    /// continue.
    #[test]
    fn no_attempt_is_started_while_list_updates_may_be_unread() {
        let freshness = FreshnessGate::default();
        let (partly_written, new) =
            (Meter::new(freshness.clone(), RepeatWindow::default(), 0), Meter::default());
        partly_written.record_written(1);
        let next = Meter::new(freshness.clone(), RepeatWindow::default(), 1);
        assert!(!next.must_wait_for_list(), "no task reads a list");
        let stalled_from = Instant::now().checked_sub(Duration::from_secs(2)).expect("an instant");
        let mut reader = StallDetector::new(stalled_from, freshness.last_poll());
        assert!(
            next.must_wait_for_list() && !partly_written.must_wait_for_list() && !new.must_wait_for_list()
        );
        assert!(!reader.record_idle(Instant::now()), "it is polled late");
        assert!(next.must_wait_for_list());
        assert!(reader.record_idle(reader.poll_at()));
        assert!(!next.must_wait_for_list());
        drop(reader);
        assert!(!next.must_wait_for_list());
    }
}
