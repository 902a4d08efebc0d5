//! The history of a cluster: injected faults and logged events in the order of their times.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Upper bound of the events kept; later ones are only counted.
const MAX_EVENTS: usize = 100_000;

/// An event of the history. Processes are identified by their numbers.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A process was started.
    Started(usize),
    /// A process was killed (SIGKILL).
    Killed(usize),
    /// A process was asked to exit (SIGTERM).
    Terminated(usize),
    /// A process was suspended (SIGSTOP).
    Suspended(usize),
    /// A process was resumed (SIGCONT).
    Resumed(usize),
    /// Faults of the relays were set; the text describes them.
    LinksChanged(String),
    /// A process has logged this line.
    Logged(usize, String),
    /// A note of the test.
    Note(String),
}

#[derive(Debug)]
struct Inner {
    started_at: Instant,
    events: Vec<(Duration, Event)>,
    dropped: usize,
}

/// A history of events. Clones share its contents.
#[derive(Clone, Debug)]
pub struct History(Arc<Mutex<Inner>>);

impl Default for History {
    fn default() -> Self {
        let started_at = Instant::now();
        History(Arc::new(Mutex::new(Inner { started_at, events: Vec::new(), dropped: 0 })))
    }
}

impl History {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an event with the current time.
    pub fn record(&self, event: Event) {
        let mut inner = self.lock();
        let at = inner.started_at.elapsed();
        match inner.events.len() < MAX_EVENTS {
            true => inner.events.push((at, event)),
            false => inner.dropped += 1,
        }
    }

    /// Time since the history was created.
    pub fn elapsed(&self) -> Duration {
        self.lock().started_at.elapsed()
    }

    /// All events since `since`, a time as [`History::elapsed`] returns it.
    ///
    /// # Panics
    ///
    /// Events were dropped: a test must not decide by an incomplete history.
    pub fn events_since(&self, since: Duration) -> Vec<(Duration, Event)> {
        let inner = self.lock();
        assert_eq!(inner.dropped, 0, "events of the history were dropped");
        inner.events.iter().filter(|(at, _)| *at >= since).cloned().collect()
    }

    /// Membership changes that processes have logged since `since`: the number of the process and the name of the member of
    /// each log line `members: MEMBER has CHANGE`, where `CHANGE` up to a comma is `change`.
    pub fn membership_changes(&self, since: Duration, change: &str) -> Vec<(usize, String)> {
        let lines = self.events_since(since).into_iter().filter_map(|(_, event)| match event {
            Event::Logged(observer, line) => {
                let (_, rest) = line.split_once("members: ")?;
                let (member, logged) = rest.split_once(" has ")?;
                (logged.split(',').next() == Some(change)).then(|| (observer, member.to_owned()))
            }
            _ => None,
        });
        lines.collect()
    }

    /// The history as text, one event a line, with times in seconds.
    pub fn text(&self) -> String {
        let line = |(at, event): &(Duration, Event)| format!("{:8.3} {event:?}\n", at.as_secs_f64());
        self.lock().events.iter().map(line).collect()
    }
}
