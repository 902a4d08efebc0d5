//! The watch of the server list: when it is opened, what it shows, and how it ends. Each step is a line of the log.

use super::members::Source;
use super::{Driver, Handle};
use crate::discovery::{self, End, Sign};
use crate::list::{Health, List};
use crate::protocol::Protocol;
use crate::task::{self, Task};
use nettleworks_policy::{Event, ListKind};
use std::time::Duration;
use tokio::time::Instant;

/// Where the list is pushed the module never asks for it: a watch that ended is opened again after this, and twice as
/// long with each that brought no list, up to the most. What the agent has counts as told whether or not a watch is open,
/// and asking costs nothing there. One that fell silent is opened again at once.
const PUSH_RETRY: Duration = Duration::from_millis(50);
const PUSH_DOUBLINGS: u32 = 4;

/// The present watch.
pub(super) struct Watch {
    /// Its number: what an earlier one still has to say no longer counts.
    pub number: u64,
    /// Watches in a row that failed and brought no list.
    pub failed: u32,
    /// When it was opened.
    opened: Instant,
    /// When a watch last showed that it was alive; the start of the engine before the first.
    alive: Instant,
    task: Option<Task>,
}

impl Watch {
    /// Before the first is opened.
    pub fn new() -> Watch {
        let now = Instant::now();
        Watch { number: 0, failed: 0, opened: now, alive: now, task: None }
    }

    /// Whether one was opened and not closed by [`Watch::close`].
    pub fn is_open(&self) -> bool {
        self.task.is_some()
    }

    /// Closes it. What it still has to say counts no more.
    pub fn close(&mut self) {
        self.number += 1;
        self.task = None;
    }

    /// For how long no watch has shown that it is alive: as old the list may be.
    pub fn silence(&self) -> Duration {
        self.alive.elapsed()
    }
}

impl<P: Protocol> Driver<P> {
    /// Opens a watch in the place of the present one, if this engine watches.
    pub(super) fn subscribe(&mut self, handle: &Handle<P>) {
        if !self.desk.group.as_ref().is_none_or(|group| group.watches()) {
            return;
        }
        let (handle, discovery, since) = (handle.clone(), self.desk.config.discovery, self.hosts.seq);
        let pushed = !self.desk.config.settings.ask;
        self.watch.number += 1;
        self.watch.opened = Instant::now();
        let number = self.watch.number;
        let (from, silence) = (since.map_or("none".to_owned(), |seq| seq.to_string()), self.watch.silence());
        self.desk.log(&format!("watch {number}: opened from version {from}, last alive {silence:.3?} ago"));
        // The task of the last watch, if there is one, ends here.
        self.watch.task = Some(task::spawn(async move {
            let end =
                discovery::watch(discovery, pushed, since, |sign| handle.watch_shows(number, sign)).await;
            if let Some(retry) = handle.watch_ended(number, end).filter(|_| pushed) {
                tokio::time::sleep(retry).await;
                handle.0.borrow_mut().subscribe(&handle);
            }
        }));
    }

    /// Writes what a list says to the log.
    pub(super) fn log_list(&self, list: &List, kind: ListKind) {
        let count = |health| list.hosts.iter().filter(|host| host.health == health).count();
        let (ready, draining, gone) = (count(Health::Ready), count(Health::Terminating), count(Health::Gone));
        self.desk.log(&format!(
            "list: version {}, {kind:?}: {ready} ready, {draining} draining, {gone} gone, last alive {:.3?} ago",
            list.seq,
            self.watch.silence()
        ));
    }
}

impl<P: Protocol> Handle<P> {
    fn watch_shows(&self, number: u64, sign: Sign) {
        if self.0.borrow().watch.number != number {
            return;
        }
        match sign {
            Sign::Answered => {
                let took = self.0.borrow().watch.opened.elapsed();
                self.log(&format!("watch {number}: answered after {took:.3?}"));
            }
            Sign::Alive => self.0.borrow_mut().watch.alive = Instant::now(),
            Sign::List(list) => self.members(list, Source::Watch(number)),
        }
    }

    /// A watch has ended. When the next one is to be opened, unless it was replaced meanwhile.
    fn watch_ended(&self, number: u64, end: End) -> Option<Duration> {
        let (kind, retry) = {
            let mut driver = self.0.borrow_mut();
            if driver.watch.number != number {
                return None;
            }
            let (open, silence) = (driver.watch.opened.elapsed(), driver.watch.silence());
            let since = format!("opened {open:.3?} ago, last alive {silence:.3?} ago");
            match end {
                End::Silent => {
                    driver.desk.log(&format!("watch {number}: fell silent, {since}"));
                    (ListKind::Silent, Duration::ZERO)
                }
                End::Failed(reason) => {
                    driver.desk.log(&format!("watch {number}: failed: {reason}, {since}"));
                    driver.watch.failed += 1;
                    let doublings = (driver.watch.failed - 1).min(PUSH_DOUBLINGS);
                    (ListKind::Failed, PUSH_RETRY * (1 << doublings))
                }
            }
        };
        self.run([Event::Members { kind, entries: Vec::new() }]);
        Some(retry)
    }
}
