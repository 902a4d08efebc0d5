//! Detects that a task was not run for a while, so that data it reads next may have arrived long before.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How often the task is polled while nothing arrives.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// A task that is polled later than planned by more than this was stalled. Any process may be delayed for this long.
const LATE_TOLERANCE: Duration = Duration::from_millis(250);
/// Delay of the next poll after a stall; by then the data pending in the socket has been read.
const RECHECK_DELAY: Duration = Duration::from_millis(5);
/// How long updates may remain unread since the last poll in time: the grace of a drain less the delay that any process
/// may have.
const MAX_UNREAD_TIME: Duration = Duration::from_millis(750);

/// When the task that reads the server list was last polled in time; empty without such a task. Clones refer to the
/// same task.
#[derive(Clone, Debug, Default)]
pub struct LastPoll(Rc<Cell<Option<Instant>>>);

impl LastPoll {
    /// Whether there is such a task and it may have left updates unread for longer than the grace allows.
    pub fn is_overdue(&self) -> bool {
        self.0.get().is_some_and(|at| Instant::now() > at + MAX_UNREAD_TIME)
    }
}

/// Tracks when a task that reads from a socket is polled.
///
/// After a stall the timers have expired and the sockets hold data at the same moment, and the task may be woken for
/// either first. So the first poll after a stall does not prove that everything has been read; the next poll in time
/// does.
#[derive(Debug)]
pub struct StallDetector {
    /// When the task was last polled in time with nothing to read.
    last_idle: Instant,
    last_poll: LastPoll,
    poll_at: Instant,
    stalled: bool,
}

impl StallDetector {
    /// For a task that runs now. `last_poll` is kept up to date until the detector is dropped.
    pub fn new(now: Instant, last_poll: LastPoll) -> StallDetector {
        last_poll.0.set(Some(now));
        StallDetector { last_idle: now, last_poll, poll_at: now + POLL_INTERVAL, stalled: false }
    }

    /// When the task must be polled at the latest.
    pub fn poll_at(&self) -> Instant {
        self.poll_at
    }

    /// When to poll a task that also has something to do at `moment`: at `moment` or [`Self::poll_at`], whichever is
    /// earlier. While the task is stalled, `moment` is ignored.
    pub fn poll_at_or(&self, moment: Instant) -> Instant {
        if self.stalled {
            self.poll_at
        } else {
            self.poll_at.min(moment)
        }
    }

    /// Records that the task was polled and found nothing to read. Returns whether the poll was in time, so that nothing
    /// can be unread.
    pub fn record_idle(&mut self, now: Instant) -> bool {
        if now < self.poll_at {
            return !self.stalled;
        }
        self.stalled = self.is_late(now);
        if !self.stalled {
            self.last_idle = now;
            self.last_poll.0.set(Some(now));
        }
        self.poll_at = now + if self.stalled { RECHECK_DELAY } else { POLL_INTERVAL };
        !self.stalled
    }

    /// Records that the task has read something. Returns `Some` if it was stalled: the data may have arrived at any time
    /// after the returned instant.
    pub fn record_read(&mut self, now: Instant) -> Option<Instant> {
        self.stalled |= self.is_late(now);
        self.stalled.then_some(self.last_idle)
    }

    /// Whether a poll at `now` comes so late that the task was stalled.
    fn is_late(&self, now: Instant) -> bool {
        now > self.poll_at + LATE_TOLERANCE
    }
}

impl Drop for StallDetector {
    fn drop(&mut self) {
        self.last_poll.0.set(None);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn after(start: Instant, milliseconds: u64) -> Instant {
        start + Duration::from_millis(milliseconds)
    }

    #[test]
    fn a_task_polled_in_time_reads_recent_data() {
        let start = Instant::now();
        let mut stall = StallDetector::new(start, LastPoll::default());
        for step in 1..=40 {
            let poll_at = stall.poll_at();
            assert_eq!(stall.record_read(poll_at), None, "step {step}");
            // As late as is tolerated.
            stall.record_idle(poll_at + LATE_TOLERANCE);
            assert_eq!(stall.record_read(poll_at + LATE_TOLERANCE), None, "step {step}");
        }
    }

    /// After a stall the task may be woken for its timer or for its socket first; the result is the same.
    #[test]
    fn data_read_after_a_stall_may_date_from_its_start() {
        let start = Instant::now();
        for timer_first in [true, false] {
            let mut stall = StallDetector::new(start, LastPoll::default());
            stall.record_idle(after(start, 250));
            let resumed = after(start, 3_000);
            if timer_first {
                stall.record_idle(resumed);
            }
            assert_eq!(stall.record_read(resumed), Some(after(start, 250)), "{timer_first}");
            if !timer_first {
                stall.record_idle(resumed);
            }
            assert_eq!(stall.record_read(after(resumed, 4)), Some(after(start, 250)), "{timer_first}");
            // Only the next scheduled poll proves that everything is read, not an earlier poll for another reason.
            assert_eq!(stall.poll_at_or(resumed), resumed + RECHECK_DELAY);
            assert!(!stall.record_idle(after(resumed, 4)));
            assert!(stall.record_idle(stall.poll_at()));
            assert_eq!(stall.record_read(after(resumed, 6)), None, "{timer_first}");
        }
    }

    #[test]
    fn consecutive_stalls_count_from_the_start_of_the_first() {
        let start = Instant::now();
        let mut stall = StallDetector::new(start, LastPoll::default());
        assert!(!stall.record_idle(after(start, 1_000)));
        assert!(!stall.record_idle(after(start, 2_000)));
        assert_eq!(stall.record_read(after(start, 2_001)), Some(start));
    }

    #[test]
    fn a_poll_is_overdue_only_while_a_reader_exists_and_is_late() {
        let (start, last_poll) = (Instant::now(), LastPoll::default());
        assert!(!last_poll.is_overdue(), "there is no reader");
        let mut stall = StallDetector::new(start, last_poll.clone());
        assert!(!last_poll.is_overdue());
        let before = start.checked_sub(MAX_UNREAD_TIME * 2).expect("an instant");
        last_poll.0.set(Some(before));
        assert!(last_poll.is_overdue());
        stall.record_idle(stall.poll_at());
        assert!(!last_poll.is_overdue(), "it was polled in time");
        last_poll.0.set(Some(before));
        drop(stall);
        assert!(!last_poll.is_overdue());
    }
}
