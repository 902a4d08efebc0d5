//! What was done to a crew and what was seen of it, in one order.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Most events that are kept; later ones are counted only.
const MAX_EVENTS: usize = 100_000;

/// One of them.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A process was started, by its number.
    Started(usize),
    /// It was killed.
    Killed(usize),
    /// It was told to end.
    Terminated(usize),
    /// It was stopped (SIGSTOP).
    Suspended(usize),
    /// It goes on.
    Resumed(usize),
    /// The relays were told something else.
    LinksChanged(String),
    /// A process has said this in its log.
    Logged(usize, String),
    /// What a test notes.
    Note(String),
}

#[derive(Debug)]
struct Inner {
    started_at: Instant,
    events: Vec<(Duration, Event)>,
    dropped: usize,
}

/// Clones are the same one.
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

    /// Notes an event.
    pub fn record(&self, event: Event) {
        let mut inner = self.lock();
        let at = inner.started_at.elapsed();
        match inner.events.len() < MAX_EVENTS {
            true => inner.events.push((at, event)),
            false => inner.dropped += 1,
        }
    }

    /// How long it is.
    pub fn elapsed(&self) -> Duration {
        self.lock().started_at.elapsed()
    }

    /// All that came from a moment on.
    ///
    /// # Panics
    ///
    /// More came than are kept: no verdict may rest on a part.
    pub fn events_since(&self, since: Duration) -> Vec<(Duration, Event)> {
        let inner = self.lock();
        assert_eq!(inner.dropped, 0, "a history with gaps");
        inner.events.iter().filter(|(at, _)| *at >= since).cloned().collect()
    }

    /// Who said of whom, from a moment on, that it has done so: a line `members: WHOM has WHAT` in the log of WHO.
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

    /// It, line by line, without what processes said of hosts.
    pub fn text(&self) -> String {
        let line = |(at, event): &(Duration, Event)| format!("{:8.3} {event:?}\n", at.as_secs_f64());
        self.lock().events.iter().map(line).collect()
    }
}
