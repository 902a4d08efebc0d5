//! Notices that a task was not run for a while: what it reads next may have lain there since.

use std::time::Duration;
use tokio::time::Instant;

/// How often the task looks while nothing comes.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// A task that looks so much later than it meant to was stalled. As long a process may be held up in any case.
const LATE: Duration = Duration::from_millis(250);

/// Follows when a task that reads from a socket was run.
///
/// A stalled process finds its timers run out and its sockets full in the same moment, in any order. So it is not the
/// first look after a stall that shows that all is read, but the next one that is in time.
#[derive(Debug)]
pub struct StallDetector {
    /// When the task last looked in time, and nothing was to be read.
    idle_at: Instant,
    look_at: Instant,
    stalled: bool,
}

impl StallDetector {
    /// Of a task that runs now.
    pub fn new(now: Instant) -> StallDetector {
        StallDetector { idle_at: now, look_at: now + LOOK_EVERY, stalled: false }
    }

    /// When the task must look at the latest.
    pub fn look_at(&self) -> Instant {
        self.look_at
    }

    /// The task looks, and nothing is to be read.
    pub fn idle(&mut self, now: Instant) {
        self.stalled = self.is_late(now);
        if !self.stalled {
            self.idle_at = now;
        }
        self.look_at = now + LOOK_EVERY;
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

#[cfg(test)]
mod tests {
    use super::*;

    fn after(start: Instant, milliseconds: u64) -> Instant {
        start + Duration::from_millis(milliseconds)
    }

    #[test]
    fn a_task_that_looks_in_time_reads_what_has_just_come() {
        let start = Instant::now();
        let mut stall = StallDetector::new(start);
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
            let mut stall = StallDetector::new(start);
            stall.idle(after(start, 250));
            let resumed = after(start, 3_000);
            if timer_first {
                stall.idle(resumed);
            }
            assert_eq!(stall.read(resumed), Some(after(start, 250)), "{timer_first}");
            stall.idle(resumed);
            assert_eq!(stall.read(after(resumed, 10)), Some(after(start, 250)), "{timer_first}");
            // All is read by the next look that is in time.
            stall.idle(after(resumed, 250));
            assert_eq!(stall.read(after(resumed, 260)), None, "{timer_first}");
        }
    }

    #[test]
    fn one_stall_upon_another_counts_from_the_first() {
        let start = Instant::now();
        let mut stall = StallDetector::new(start);
        stall.idle(after(start, 1_000));
        stall.idle(after(start, 2_000));
        assert_eq!(stall.read(after(start, 2_001)), Some(start));
    }
}
