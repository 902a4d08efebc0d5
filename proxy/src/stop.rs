//! The times of a stop, and what open calls are told of them.
//!
//! By the platform's protocol page new connections come for 0.2 to 0.4 s after SIGTERM, clients use those that they have
//! for as long as these stay open, and SIGKILL comes no sooner than the longest deadline (3 s at the most) and 0.7 s more.
//! What was taken and not answered by then is lost: the schedule bounds the time that calls have, and what has no
//! answer at its end gets its last one there.

use nettleworks_policy::Settings;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// How long new connections are still taken after the order to stop; they come for up to 0.4 s.
const DOORS: Duration = Duration::from_millis(500);
/// The most of the longest deadline that is waited for.
const DEADLINE_MOST: Duration = Duration::from_secs(3);
/// What is given beyond the longest deadline.
const BEYOND: Duration = Duration::from_millis(700);
/// Kept of it for the last answers' way, and for what the process has to do until it has ended.
const LAST_ANSWERS: Duration = Duration::from_millis(120);
const LAST_STEPS: Duration = Duration::from_millis(50);

/// When a stop does what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// No new connection is taken from here on.
    pub doors: Instant,
    /// Each call has its answer by now.
    pub answered: Instant,
    /// The process has ended by now.
    pub over: Instant,
}

impl Schedule {
    /// Of a stop that was told at `told`, under a site's deadlines.
    pub fn from(told: Instant, settings: &Settings) -> Schedule {
        let longest = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let killed = told + Duration::from_micros(longest).min(DEADLINE_MOST) + BEYOND;
        Schedule { doors: told + DOORS, answered: killed - LAST_ANSWERS, over: killed - LAST_STEPS }
    }
}

/// Whether the process ends, and by when its calls must be answered; clones are told together.
#[derive(Clone, Debug, Default)]
pub struct Ending(Rc<Told>);

#[derive(Debug, Default)]
struct Told {
    at: Cell<Option<Instant>>,
    begun: Notify,
}

impl Ending {
    /// The process ends: all calls must be answered at this moment.
    pub fn begin(&self, answered: Instant) {
        self.0.at.set(Some(answered));
        self.0.begun.notify_waiters();
    }

    /// The moment at which all calls must be answered; `None` while none is set.
    pub fn at(&self) -> Option<Instant> {
        self.0.at.get()
    }

    /// Waits for that moment; for good where none is ever set.
    pub async fn reached(&self) {
        let begun = self.0.begun.notified();
        if self.at().is_none() {
            begun.await;
        }
        if let Some(at) = self.at() {
            sleep_until(at).await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use nettleworks_policy::Class;

    fn schedule(deadlines: &[u64]) -> [u128; 3] {
        let classes =
            deadlines.iter().map(|&ms| Class { deadline: ms * 1_000, ..Class::default() }).collect();
        let told = Instant::now();
        let Schedule { doors, answered, over } =
            Schedule::from(told, &Settings { classes, ..Settings::default() });
        [doors, answered, over].map(|at| at.duration_since(told).as_millis())
    }

    /// Whatever the deadlines, all is over before SIGKILL may come, and no call that came with its full time while
    /// new connections come (0.4 s) is cut short where the longest deadline is no longer than what is given.
    #[test]
    fn a_stop_is_over_before_it_is_cut_short() {
        for (deadlines, killed) in
            [(vec![], 700), (vec![300], 1_000), (vec![1_200, 1_500], 2_200), (vec![6_000, 4_000], 3_700)]
        {
            let [doors, answered, over] = schedule(&deadlines);
            assert!(over < killed && answered < over, "{deadlines:?}");
            let longest = u128::from(deadlines.iter().copied().max().unwrap_or(0).min(3_000));
            assert!(answered >= longest + 400 && doors > 400, "{deadlines:?}");
        }
    }
}
