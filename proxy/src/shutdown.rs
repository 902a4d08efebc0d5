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
const ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// The most of the longest deadline that is waited for.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// What is given beyond the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Kept of it for the last answers' way, and for what the process has to do until it has ended.
const RESPONSE_MARGIN: Duration = Duration::from_millis(120);
const EXIT_MARGIN: Duration = Duration::from_millis(50);

/// When a stop does what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// No new connection is taken from here on.
    pub accept_until: Instant,
    /// Each call has its answer by now.
    pub respond_by: Instant,
    /// The process has ended by now.
    pub exit_by: Instant,
}

impl ShutdownSchedule {
    /// Of a stop that was told at `told`, under a site's deadlines.
    pub fn from(ordered: Instant, settings: &Settings) -> ShutdownSchedule {
        let longest = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let killed = ordered + Duration::from_micros(longest).min(MAX_DEADLINE) + KILL_MARGIN;
        ShutdownSchedule {
            accept_until: ordered + ACCEPT_PERIOD,
            respond_by: killed - RESPONSE_MARGIN,
            exit_by: killed - EXIT_MARGIN,
        }
    }
}

/// Whether the process ends, and by when its calls must be answered; clones are told together.
#[derive(Clone, Debug, Default)]
pub struct ShutdownDeadline(Rc<State>);

#[derive(Debug, Default)]
struct State {
    respond_by: Cell<Option<Instant>>,
    changed: Notify,
}

impl ShutdownDeadline {
    /// The process ends: all calls must be answered at this moment.
    pub fn set(&self, respond_by: Instant) {
        self.0.respond_by.set(Some(respond_by));
        self.0.changed.notify_waiters();
    }

    /// The moment at which all calls must be answered; `None` while none is set.
    pub fn get(&self) -> Option<Instant> {
        self.0.respond_by.get()
    }

    /// Waits for that moment; for good where none is ever set.
    pub async fn reached(&self) {
        let changed = self.0.changed.notified();
        if self.get().is_none() {
            changed.await;
        }
        if let Some(respond_by) = self.get() {
            sleep_until(respond_by).await;
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
        let ordered = Instant::now();
        let ShutdownSchedule { accept_until, respond_by, exit_by } =
            ShutdownSchedule::from(ordered, &Settings { classes, ..Settings::default() });
        [accept_until, respond_by, exit_by].map(|at| at.duration_since(ordered).as_millis())
    }

    /// Whatever the deadlines, all is over before SIGKILL may come, and no call that came with its full time while
    /// new connections come (0.4 s) is cut short where the longest deadline is no longer than what is given.
    #[test]
    fn a_shutdown_ends_before_sigkill() {
        for (deadlines, killed) in
            [(vec![], 700), (vec![300], 1_000), (vec![1_200, 1_500], 2_200), (vec![6_000, 4_000], 3_700)]
        {
            let [accept_until, respond_by, exit_by] = schedule(&deadlines);
            assert!(exit_by < killed && respond_by < exit_by, "{deadlines:?}");
            let longest = u128::from(deadlines.iter().copied().max().unwrap_or(0).min(3_000));
            assert!(respond_by >= longest + 400 && accept_until > 400, "{deadlines:?}");
        }
    }
}
