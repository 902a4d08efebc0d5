//! Notices that a task was not run for a while: what it reads next may have lain there since.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How often the task looks while nothing comes.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// A task that looks so much later than it meant to was stalled. As long a process may be held up in any case.
const LATE: Duration = Duration::from_millis(250);
/// After a stall it looks again so soon: by then what lies in its socket is read.
const LOOK_AGAIN: Duration = Duration::from_millis(5);
/// What came since it last looked may be unknown for so long: the grace of a drain, less what a process may be held up.
const UNREAD_MOST: Duration = Duration::from_millis(750);

/// When the task that reads the list last looked in time. Clones are of the same task.
#[derive(Clone, Debug, Default)]
pub struct LastLook(Rc<Cell<Option<Instant>>>);

impl LastLook {
    /// Whether there is such a task, and it may have left unread what this process was told over the grace ago.
    pub fn is_overdue(&self) -> bool {
        self.0.get().is_some_and(|at| Instant::now() > at + UNREAD_MOST)
    }
}

/// Follows when a task that reads from a socket was run.
///
/// A stalled process finds its timers run out and its sockets full in the same moment, in any order. So it is not the
/// first look after a stall that shows that all is read, but the next one that is in time.
#[derive(Debug)]
pub struct StallDetector {
    /// When the task last looked in time, and nothing was to be read.
    idle_at: Instant,
    shown: LastLook,
    look_at: Instant,
    stalled: bool,
}

impl StallDetector {
    /// Of a task that runs now, and shows when it looks until this is dropped.
    pub fn new(now: Instant, shown: LastLook) -> StallDetector {
        shown.0.set(Some(now));
        StallDetector { idle_at: now, shown, look_at: now + LOOK_EVERY, stalled: false }
    }

    /// When the task must look at the latest.
    pub fn look_at(&self) -> Instant {
        self.look_at
    }

    /// When to look where the task has something to do at a moment: then, if that is sooner and it is not stalled.
    pub fn look_at_or(&self, moment: Instant) -> Instant {
        if self.stalled {
            self.look_at
        } else {
            self.look_at.min(moment)
        }
    }

    /// The task looks, and nothing is to be read. Whether it does so in time, so that nothing more can lie there.
    pub fn idle(&mut self, now: Instant) -> bool {
        if now < self.look_at {
            return !self.stalled;
        }
        self.stalled = self.is_late(now);
        if !self.stalled {
            self.idle_at = now;
            self.shown.0.set(Some(now));
        }
        self.look_at = now + if self.stalled { LOOK_AGAIN } else { LOOK_EVERY };
        !self.stalled
    }

    /// The task has read something. `Some`: it was stalled, and what it read may have come at any time after this moment.
    pub fn read(&mut self, now: Instant) -> Option<Instant> {
        self.stalled |= self.is_late(now);
        self.stalled.then_some(self.idle_at)
    }

    fn is_late(&self, now: Instant) -> bool {
        now > self.look_at + LATE
    }
}

impl Drop for StallDetector {
    fn drop(&mut self) {
        self.shown.0.set(None);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn after(start: Instant, milliseconds: u64) -> Instant {
        start + Duration::from_millis(milliseconds)
    }

    #[test]
    fn a_task_that_looks_in_time_reads_what_has_just_come() {
        let start = Instant::now();
        let mut stall = StallDetector::new(start, LastLook::default());
        for step in 1..=40 {
            let look_at = stall.look_at();
            assert_eq!(stall.read(look_at), None, "step {step}");
            // Late by as much as is allowed.
            stall.idle(look_at + LATE);
            assert_eq!(stall.read(look_at + LATE), None, "step {step}");
        }
    }

    /// Whichever of its timer and its socket the task is run for first after a stall.
    #[test]
    fn what_is_read_after_a_stall_may_have_come_at_its_begin() {
        let start = Instant::now();
        for timer_first in [true, false] {
            let mut stall = StallDetector::new(start, LastLook::default());
            stall.idle(after(start, 250));
            let resumed = after(start, 3_000);
            if timer_first {
                stall.idle(resumed);
            }
            assert_eq!(stall.read(resumed), Some(after(start, 250)), "{timer_first}");
            if !timer_first {
                stall.idle(resumed);
            }
            assert_eq!(stall.read(after(resumed, 4)), Some(after(start, 250)), "{timer_first}");
            // All is read by the next look that is in time, and not by one that comes for another reason.
            assert_eq!(stall.look_at_or(resumed), resumed + LOOK_AGAIN);
            assert!(!stall.idle(after(resumed, 4)));
            assert!(stall.idle(stall.look_at()));
            assert_eq!(stall.read(after(resumed, 6)), None, "{timer_first}");
        }
    }

    #[test]
    fn one_stall_upon_another_counts_from_the_first() {
        let start = Instant::now();
        let mut stall = StallDetector::new(start, LastLook::default());
        assert!(!stall.idle(after(start, 1_000)));
        assert!(!stall.idle(after(start, 2_000)));
        assert_eq!(stall.read(after(start, 2_001)), Some(start));
    }

    #[test]
    fn a_list_is_overdue_only_while_somebody_reads_it_and_is_late() {
        let (start, shown) = (Instant::now(), LastLook::default());
        assert!(!shown.is_overdue(), "nobody reads it");
        let mut stall = StallDetector::new(start, shown.clone());
        assert!(!shown.is_overdue());
        let before = start.checked_sub(UNREAD_MOST * 2).expect("a moment");
        shown.0.set(Some(before));
        assert!(shown.is_overdue());
        stall.idle(stall.look_at());
        assert!(!shown.is_overdue(), "it has looked");
        shown.0.set(Some(before));
        drop(stall);
        assert!(!shown.is_overdue());
    }
}
