//! The schedule of a shutdown, and the deadline that it sets for open calls.
//!
//! By the platform's protocol new connections still arrive for 0.2 to 0.4 s after SIGTERM, clients use the connections
//! that they have for as long as these stay open, and SIGKILL comes no sooner than the longest deadline (3 s at the
//! most) plus 0.7 s. A request that has been read but not answered by then is lost. The schedule therefore bounds the
//! time of open calls, and a call without a reply at its end gets a final response.

use nettleworks_policy::Settings;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// How long new connections are still accepted after the order to stop; they arrive for up to 0.4 s.
const ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// Upper bound on the longest deadline for the purpose of the schedule.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// Time between the longest deadline and SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Part of that margin that is reserved for sending the final responses.
const RESPONSE_MARGIN: Duration = Duration::from_millis(120);
/// Part of that margin that is reserved for the process's own work until it exits.
const EXIT_MARGIN: Duration = Duration::from_millis(50);

/// The points in time of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// No new connection is accepted from this moment on.
    pub accept_until: Instant,
    /// Each call has a response by this moment.
    pub respond_by: Instant,
    /// The process has exited by this moment.
    pub exit_by: Instant,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that was ordered at `ordered`, with the deadlines of these settings.
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

/// Whether the process shuts down, and by when its calls must have a response. All clones share one state.
#[derive(Clone, Debug, Default)]
pub struct ShutdownDeadline(Rc<State>);

#[derive(Debug, Default)]
struct State {
    respond_by: Cell<Option<Instant>>,
    changed: Notify,
}

impl ShutdownDeadline {
    /// Begins the shutdown: all calls must have a response by `respond_by`.
    pub fn set(&self, respond_by: Instant) {
        self.0.respond_by.set(Some(respond_by));
        self.0.changed.notify_waiters();
    }

    /// The moment by which all calls must have a response; `None` unless a shutdown has begun.
    pub fn get(&self) -> Option<Instant> {
        self.0.respond_by.get()
    }

    /// Waits until that moment; forever if no shutdown begins.
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

    /// Whatever the deadlines, the process exits before the earliest possible SIGKILL. A call that arrives with its
    /// full time while new connections still come (0.4 s) is not cut short unless the longest deadline exceeds the
    /// bound.
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
