//! Notices that a task was not run for a while: what it reads next may have lain there since.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How often the task looks while nothing comes.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// A task that looks so much later than it meant to was stalled. As long a process may be held up in any case.
const LATE_TOLERANCE: Duration = Duration::from_millis(250);
/// After a stall it looks again so soon: by then what lies in its socket is read.
const RECHECK_DELAY: Duration = Duration::from_millis(5);
/// What came since it last looked may be unknown for so long: the grace of a drain, less what a process may be held up.
const MAX_UNREAD_TIME: Duration = Duration::from_millis(750);

/// When the task that reads the list last looked in time. Clones are of the same task.
#[derive(Clone, Debug, Default)]
pub struct LastPoll(Rc<Cell<Option<Instant>>>);

impl LastPoll {
    /// Whether there is such a task, and it may have left unread what this process was told over the grace ago.
    pub fn is_overdue(&self) -> bool {
        self.0.get().is_some_and(|at| Instant::now() > at + MAX_UNREAD_TIME)
    }
}

/// Follows when a task that reads from a socket was run.
///
/// A stalled process finds its timers run out and its sockets full in the same moment, in any order. So it is not the
/// first look after a stall that shows that all is read, but the next one that is in time.
#[derive(Debug)]
pub struct StallDetector {
    /// When the task last looked in time, and nothing was to be read.
    last_idle: Instant,
    last_poll: LastPoll,
    poll_at: Instant,
    stalled: bool,
}

impl StallDetector {
    /// Of a task that runs now, and shows when it looks until this is dropped.
    pub fn new(now: Instant, last_poll: LastPoll) -> StallDetector {
        last_poll.0.set(Some(now));
        StallDetector { last_idle: now, last_poll, poll_at: now + POLL_INTERVAL, stalled: false }
    }

    /// When the task must look at the latest.
    pub fn poll_at(&self) -> Instant {
        self.poll_at
    }

    /// When to look where the task has something to do at a moment: then, if that is sooner and it is not stalled.
    pub fn poll_at_or(&self, moment: Instant) -> Instant {
        if self.stalled {
            self.poll_at
        } else {
            self.poll_at.min(moment)
        }
    }

    /// The task looks, and nothing is to be read. Whether it does so in time, so that nothing more can lie there.
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

    /// The task has read something. `Some`: it was stalled, and what it read may have come at any time after this moment.
    pub fn record_read(&mut self, now: Instant) -> Option<Instant> {
        self.stalled |= self.is_late(now);
        self.stalled.then_some(self.last_idle)
    }

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
            // Late by as much as is allowed.
            stall.record_idle(poll_at + LATE_TOLERANCE);
            assert_eq!(stall.record_read(poll_at + LATE_TOLERANCE), None, "step {step}");
        }
    }

    /// Whichever of its timer and its socket the task is run for first after a stall.
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
            // All is read by the next look that is in time, and not by one that comes for another reason.
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
        assert!(!last_poll.is_overdue(), "nobody reads it");
        let mut stall = StallDetector::new(start, last_poll.clone());
        assert!(!last_poll.is_overdue());
        let before = start.checked_sub(MAX_UNREAD_TIME * 2).expect("a moment");
        last_poll.0.set(Some(before));
        assert!(last_poll.is_overdue());
        stall.record_idle(stall.poll_at());
        assert!(!last_poll.is_overdue(), "it has looked");
        last_poll.0.set(Some(before));
        drop(stall);
        assert!(!last_poll.is_overdue());
    }
}
