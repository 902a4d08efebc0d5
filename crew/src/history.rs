//! What was done to a crew and what was seen of it, in one order.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Most events that are kept; later ones are counted only.
const EVENTS_MOST: usize = 100_000;

/// One of them.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A process was started, by its number.
    Started(usize),
    /// It was killed.
    Killed(usize),
    /// It was told to end.
    Ended(usize),
    /// It was stopped (SIGSTOP).
    Stopped(usize),
    /// It goes on.
    Continued(usize),
    /// The relays were told something else.
    Links(String),
    /// A process has said this in its log.
    Said(usize, String),
    /// What a test notes.
    Note(String),
}

#[derive(Debug)]
struct Inside {
    began: Instant,
    events: Vec<(Duration, Event)>,
    dropped: usize,
}

/// Clones are the same one.
#[derive(Clone, Debug)]
pub struct History(Arc<Mutex<Inside>>);

impl Default for History {
    fn default() -> Self {
        let began = Instant::now();
        History(Arc::new(Mutex::new(Inside { began, events: Vec::new(), dropped: 0 })))
    }
}

impl History {
    fn lock(&self) -> MutexGuard<'_, Inside> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes an event.
    pub fn note(&self, event: Event) {
        let mut inside = self.lock();
        let at = inside.began.elapsed();
        match inside.events.len() < EVENTS_MOST {
            true => inside.events.push((at, event)),
            false => inside.dropped += 1,
        }
    }

    /// How long it is.
    pub fn now(&self) -> Duration {
        self.lock().began.elapsed()
    }

    /// All that came from a moment on.
    ///
    /// # Panics
    ///
    /// More came than are kept: no verdict may rest on a part.
    pub fn since(&self, at: Duration) -> Vec<(Duration, Event)> {
        let inside = self.lock();
        assert_eq!(inside.dropped, 0, "a history with gaps");
        inside.events.iter().filter(|(when, _)| *when >= at).cloned().collect()
    }

    /// Who said of whom, from a moment on, that it has done so: a line `members: WHOM has WHAT` in the log of WHO.
    pub fn said(&self, at: Duration, what: &str) -> Vec<(usize, String)> {
        let lines = self.since(at).into_iter().filter_map(|(_, event)| match event {
            Event::Said(who, line) => {
                let (_, rest) = line.split_once("members: ")?;
                let (whom, said) = rest.split_once(" has ")?;
                (said.split(',').next() == Some(what)).then(|| (who, whom.to_owned()))
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
