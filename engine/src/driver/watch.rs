//! The watch of the server list: when it is opened, what it shows, and how it ends. Each step is a line of the log.

use super::members::Source;
use super::{Driver, Handle};
use crate::discovery::{self, DiscoveryStatus, FailedCall, OutageDetector, WatchEnd, WatchEvent};
use crate::group::Lease;
use crate::list::{Health, List};
use crate::protocol::Protocol;
use crate::task::{self, Task};
use nettleworks_policy::{Event, Freshness, ListKind, Micros};
use std::time::Duration;
use tokio::time::Instant;

/// Where the list is pushed the module never asks for it: a watch that ended is opened again after this, and twice as
/// long with each that brought no list, up to the most. What the agent has counts as told whether or not a watch is open,
/// and asking costs nothing there. One that fell silent is opened again at once.
/// With the time for an answer that is well within the grace for what the agent has.
const PUSH_RETRY: Duration = Duration::from_millis(50);
const PUSH_DOUBLINGS: u32 = 1;
/// Heartbeats after which a watch that has brought no list proves that nothing has changed: the first may have been
/// written before its list.
const BEATS_PROVE: u32 = 2;

/// What was changed while a process was restarted counts from when it went down: a restart takes this long at the most.
const RESTART_MOST: Micros = 1_500_000;

/// The present watch.
pub(super) struct Watch {
    /// Its number: what an earlier one still has to say no longer counts.
    pub number: u64,
    /// Watches in a row that failed and brought no list.
    pub failed: u32,
    /// When it was opened.
    opened: Instant,
    /// When a watch last proved that the list was up to date; the start of the engine before the first.
    alive: Instant,
    /// What calls that failed have shown of discovery.
    outage: OutageDetector,
    /// When the last watch was opened whose calls proved that discovery is down.
    unreached: Option<Instant>,
    /// Heartbeats of the present one; a list counts for as many as prove.
    beats: u32,
    /// Another engine watched meanwhile, and this one is to publish what it knows in that one's place.
    takes_over: bool,
    task: Option<Task>,
}

impl Watch {
    /// Before the first is opened.
    pub fn new() -> Watch {
        let now = Instant::now();
        Watch {
            number: 0,
            failed: 0,
            opened: now,
            alive: now,
            outage: OutageDetector::default(),
            unreached: None,
            beats: 0,
            takes_over: false,
            task: None,
        }
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

    /// The present watch has brought a list: it proves as much as some heartbeats.
    fn listed(&mut self) {
        self.beats = self.beats.saturating_add(BEATS_PROVE);
    }

    /// The present watch is alive. Whether that proves the list.
    fn beat(&mut self) -> bool {
        self.beats = self.beats.saturating_add(1);
        let proves = self.beats >= BEATS_PROVE;
        if proves {
            self.alive = Instant::now();
        }
        proves
    }

    /// What the calls of a watch prove that has ended so. An answer that was cut off proves nothing of an outage.
    fn judge(&mut self, end: &WatchEnd) -> DiscoveryStatus {
        match end {
            WatchEnd::Unanswered(calls) if end.incomplete_since().is_none() => {
                self.outage.assess(calls, Instant::now())
            }
            _ => DiscoveryStatus::Unknown,
        }
    }

    /// After what time the next is opened where the list is pushed.
    fn retry_after(&mut self, end: &WatchEnd) -> Duration {
        if matches!(end, WatchEnd::Silent) {
            return Duration::ZERO;
        }
        self.failed += 1;
        PUSH_RETRY * (1 << (self.failed - 1).min(PUSH_DOUBLINGS))
    }

    /// From when on a change may have been missed that discovery could have told.
    fn unverified_since(&self) -> Instant {
        self.unreached.map_or(self.alive, |unreached| self.alive.max(unreached))
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
        let last_poll = self.fresh.last_poll();
        let pushed = !self.desk.config.settings.pull_list;
        self.watch.number += 1;
        self.watch.opened = Instant::now();
        self.watch.beats = 0;
        let number = self.watch.number;
        let (from, silence) = (since.map_or("none".to_owned(), |seq| seq.to_string()), self.watch.silence());
        self.desk.log(&format!("watch {number}: opened from version {from}, last alive {silence:.3?} ago"));
        // The task of the last watch, if there is one, ends here.
        self.watch.task = Some(task::spawn(async move {
            let end = discovery::watch(discovery, pushed, since, last_poll, |sign| {
                handle.watch_shows(number, sign)
            })
            .await;
            if let Some(retry) = handle.watch_ended(number, end).filter(|_| pushed) {
                tokio::time::sleep(retry).await;
                handle.0.borrow_mut().subscribe(&handle);
            }
        }));
    }

    /// Heeds what the module has made of the list's lease. Once it has expired nothing is written by it: what is not yet
    /// written is taken back, and the gate at the socket holds for whatever is decided in the same moment.
    pub(super) fn heed_expiry(&mut self) {
        let at = self.balancer.list_expires_at();
        if std::mem::take(&mut self.watch.takes_over) || at != self.expires_at {
            self.publish_lease();
        }
        if at != self.expires_at {
            let instant = at.map(|at| self.desk.clock.instant_at(at));
            self.fresh.set_expiry(instant);
            let left = instant.map(|at| at.saturating_duration_since(Instant::now()));
            self.desk.log(&match left {
                Some(left) => format!("list: not verified, expires in {left:.3?}"),
                None => "list: verified".to_owned(),
            });
            self.expires_at = at;
            self.expired = false;
        }
        if !self.expired && self.fresh.has_expired() {
            self.expired = true;
            self.desk.log("list: expired, nothing new is sent until it is verified");
            self.withdraw();
        }
    }

    /// Tells the other engines of the process what this one's watch knows of the list.
    fn publish_lease(&mut self) {
        let expires = self.balancer.list_expires_at().map(|at| self.desk.clock.instant_at(at));
        let lease = Lease { alive: self.watch.unverified_since(), expires };
        if let Some(group) = self.desk.group.as_mut().filter(|group| group.watches()) {
            group.publish(lease);
        }
    }

    /// Brings the module in step with what the engine that watches has published of the list's lease, ahead of whatever it
    /// decides next. What the module has is compared, and not what was seen before: it may have changed since by a watch of
    /// this engine's own.
    pub(super) fn heed_lease(&mut self) {
        let Some(group) = &self.desk.group else { return };
        let (watches, Some(lease)) = (group.watches(), group.lease()) else { return };
        // Whatever an engine's watch has proven was told to all.
        self.watch.alive = self.watch.alive.max(lease.alive);
        let at = lease.expires.map(|at| self.desk.clock.micros_at(at));
        // Where the list is pushed its lease has no end.
        if !watches && self.desk.config.settings.pull_list && at != self.balancer.list_expires_at() {
            self.desk.events.push_front(Event::Freshness(Freshness::Expires { at }));
        }
    }

    /// This engine watches, and another has published since it did: it was stalled, and its watch may have been lost
    /// meanwhile. It proves itself anew, and publishes what it knows. Once for all events that come together: for a moment
    /// two engines may take themselves for the one that watches.
    pub(super) fn take_over_lease(&mut self) {
        if !self.desk.group.as_ref().is_some_and(|group| group.watches() && group.is_superseded()) {
            return;
        }
        let since = self.desk.clock.micros_at(self.watch.unverified_since());
        self.watch.takes_over = true;
        self.desk.events.push_front(Event::Freshness(Freshness::Unverified { since }));
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
    /// The list is from before the start: until it is verified it is as after a watch that was lost when the process went
    /// down.
    pub(super) fn list_is_from_before(&self) {
        self.unverified(RESTART_MOST);
    }

    /// The engine that watched for the process answers no more.
    pub(super) fn watch_is_lost(&self) {
        self.unverified(0);
    }

    /// So much time before the last proof changes may have been missed.
    fn unverified(&self, before: Micros) {
        let proven = {
            let driver = self.0.borrow();
            driver.desk.clock.micros_at(driver.watch.unverified_since())
        };
        let since = proven.saturating_sub(before);
        self.run([Event::Freshness(Freshness::Unverified { since })]);
    }

    fn watch_shows(&self, number: u64, sign: WatchEvent) {
        if self.0.borrow().watch.number != number {
            return;
        }
        match sign {
            WatchEvent::Answered => {
                self.0.borrow_mut().watch.outage.answered();
                let took = self.0.borrow().watch.opened.elapsed();
                self.log(&format!("watch {number}: answered after {took:.3?}"));
            }
            WatchEvent::Alive => {
                let mut driver = self.0.borrow_mut();
                let proves = driver.watch.beat();
                let verifies = proves && driver.balancer.list_expires_at().is_some();
                if proves && !verifies {
                    driver.publish_lease();
                }
                drop(driver);
                if verifies {
                    self.run([Event::Freshness(Freshness::Verified)]);
                }
            }
            // The lease goes on from the last sign that was read in time.
            WatchEvent::AliveAfterStall => self.unverified(0),
            WatchEvent::Partial(since) => {
                let since = self.0.borrow().desk.clock.micros_at(since);
                self.run([Event::Freshness(Freshness::Incomplete { since })]);
            }
            WatchEvent::List(list) => {
                self.members(list, Source::Watch(number));
                self.0.borrow_mut().watch.listed();
            }
        }
    }

    /// A watch has ended. When the next one is to be opened, unless it was replaced meanwhile.
    fn watch_ended(&self, number: u64, end: WatchEnd) -> Option<Duration> {
        let mut driver = self.0.borrow_mut();
        if driver.watch.number != number {
            return None;
        }
        let verdict = driver.watch.judge(&end);
        let (open, silence) = (driver.watch.opened.elapsed(), driver.watch.silence());
        let (what, judged) = (describe(&end), describe_verdict(verdict));
        let line =
            format!("watch {number}: {what}{judged}, opened {open:.3?} ago, last alive {silence:.3?} ago");
        driver.desk.log(&line);
        let retry = driver.watch.retry_after(&end);
        let clock = driver.desk.clock;
        let since = clock.micros_at(driver.watch.unverified_since());
        let more = match verdict {
            DiscoveryStatus::Down => {
                driver.watch.unreached = Some(driver.watch.opened);
                Some(Freshness::Unreachable { since: clock.micros_at(driver.watch.opened) })
            }
            DiscoveryStatus::NeverDown => {
                driver.watch.unreached = None;
                Some(Freshness::Reachable)
            }
            DiscoveryStatus::Unknown => match end {
                WatchEnd::Ended { at, .. } => Some(Freshness::Ended { at: clock.micros_at(at) }),
                _ => end
                    .incomplete_since()
                    .map(|since| Freshness::Incomplete { since: clock.micros_at(since) }),
            },
        };
        let told_soon = matches!(end, WatchEnd::Silent) || end.incomplete_since().is_some();
        let kind = if told_soon { ListKind::Silent } else { ListKind::Failed };
        drop(driver);
        let freshness = std::iter::once(Freshness::Unverified { since }).chain(more);
        self.run(freshness.map(Event::Freshness).chain([Event::ServerList { kind, entries: Vec::new() }]));
        Some(retry)
    }
}

/// How a watch has ended, in words.
fn describe(end: &WatchEnd) -> String {
    let each = |calls: &[FailedCall]| calls.iter().map(FailedCall::to_string).collect::<Vec<_>>().join("; ");
    match end {
        WatchEnd::Silent => "fell silent".to_owned(),
        WatchEnd::Unanswered(calls) if end.incomplete_since().is_some() => {
            format!("not answered whole: {}", each(calls))
        }
        WatchEnd::Unanswered(calls) => format!("not answered: {}", each(calls)),
        WatchEnd::Failed(reason) => format!("failed: {reason}"),
        WatchEnd::Ended { reason, .. } => format!("was ended: {reason}"),
        WatchEnd::Truncated { reason, .. } => format!("failed within a list: {reason}"),
    }
}

/// What its calls have proven, in words that follow these.
fn describe_verdict(verdict: DiscoveryStatus) -> &'static str {
    match verdict {
        DiscoveryStatus::Unknown => "",
        DiscoveryStatus::Down => ", discovery is taken for down",
        DiscoveryStatus::NeverDown => ", discovery was never down",
    }
}
