//! The watch of the server list: opening it, handling its events, and its end. Each step is logged.

use super::hosts::ListSource;
use super::{Driver, Handle};
use crate::discovery::{self, DiscoveryStatus, FailedRequest, OutageDetector, WatchEnd, WatchEvent};
use crate::group::Lease;
use crate::list::{Health, List};
use crate::protocol::Protocol;
use crate::task::{self, Task};
use nettleworks_policy::{Event, Freshness, ListKind, Micros};
use std::time::Duration;
use tokio::time::Instant;

/// Delay before a watch that has ended is opened again, where the list is pushed (the decision module never requests
/// it then). It doubles with each watch in a row that brought no list, up to the maximum. Opening a watch costs nothing
/// there: changes that the agent has received count as notified, whether or not a watch is open. A watch that fell
/// silent is opened again at once. Together with the timeout for a response this stays well within the grace period for
/// those changes.
const PUSH_RETRY: Duration = Duration::from_millis(50);
/// Maximum number of doublings of [`PUSH_RETRY`].
const PUSH_RETRY_MAX_DOUBLINGS: u32 = 1;
/// Number of heartbeats after which a watch that has brought no list proves that the list is unchanged. The first
/// heartbeat may have been written before the watch's list.
const PROVING_HEARTBEATS: u32 = 2;

/// The longest time that a restart of the process takes. A list change during a restart counts from when the process
/// went down.
const MAX_RESTART_TIME: Micros = 1_500_000;

/// The current watch.
pub(super) struct Watch {
    /// Number of the watch; events of watches with an earlier number are ignored.
    pub number: u64,
    /// Consecutive watches that failed and brought no list.
    pub failures: u32,
    /// When the watch was opened.
    opened_at: Instant,
    /// When a watch last proved that the list was up to date; before the first proof, the start of the engine.
    verified_at: Instant,
    /// What failed discovery requests have shown about an outage.
    outage: OutageDetector,
    /// When the last watch was opened whose requests proved that discovery is down.
    unreachable_since: Option<Instant>,
    /// Heartbeats of the current watch; a list counts as [`PROVING_HEARTBEATS`].
    heartbeats: u32,
    /// Another engine was the watcher meanwhile, and this one has to publish its own lease again.
    publish_pending: bool,
    task: Option<Task>,
}

impl Watch {
    /// The state before the first watch is opened.
    pub fn new() -> Watch {
        let now = Instant::now();
        Watch {
            number: 0,
            failures: 0,
            opened_at: now,
            verified_at: now,
            outage: OutageDetector::default(),
            unreachable_since: None,
            heartbeats: 0,
            publish_pending: false,
            task: None,
        }
    }

    /// Whether a watch was opened and not closed by [`Watch::close`].
    pub fn is_open(&self) -> bool {
        self.task.is_some()
    }

    /// Closes the watch; its remaining events are ignored.
    pub fn close(&mut self) {
        self.number += 1;
        self.task = None;
    }

    /// Records that the current watch has brought a list, which proves as much as several heartbeats.
    fn record_list(&mut self) {
        self.heartbeats = self.heartbeats.saturating_add(PROVING_HEARTBEATS);
    }

    /// Records a heartbeat of the current watch. Returns whether it proves that the list is up to date.
    fn record_heartbeat(&mut self) -> bool {
        self.heartbeats = self.heartbeats.saturating_add(1);
        let proves = self.heartbeats >= PROVING_HEARTBEATS;
        if proves {
            self.verified_at = Instant::now();
        }
        proves
    }

    /// What the end of a watch proves about discovery. A truncated response proves nothing about an outage.
    fn assess(&mut self, end: &WatchEnd) -> DiscoveryStatus {
        match end {
            WatchEnd::Unanswered(requests) if end.incomplete_since().is_none() => {
                self.outage.assess(requests, Instant::now())
            }
            _ => DiscoveryStatus::Unknown,
        }
    }

    /// The delay before the next watch is opened, where the list is pushed.
    fn retry_after(&mut self, end: &WatchEnd) -> Duration {
        if matches!(end, WatchEnd::Silent) {
            return Duration::ZERO;
        }
        self.failures += 1;
        PUSH_RETRY * (1 << (self.failures - 1).min(PUSH_RETRY_MAX_DOUBLINGS))
    }

    /// The earliest time at which a list change may have been missed that discovery could have reported.
    fn unverified_since(&self) -> Instant {
        self.unreachable_since
            .map_or(self.verified_at, |unreachable_since| self.verified_at.max(unreachable_since))
    }

    /// Time since a watch last proved that the list is up to date, and so the greatest possible age of the list.
    pub fn time_since_verified(&self) -> Duration {
        self.verified_at.elapsed()
    }
}

impl<P: Protocol> Driver<P> {
    /// Replaces the current watch by a new one, if this engine is the watcher.
    pub(super) fn subscribe(&mut self, handle: &Handle<P>) {
        if !self.context.group.as_ref().is_none_or(|group| group.is_watcher()) {
            return;
        }
        let (handle, discovery, since) = (handle.clone(), self.context.config.discovery, self.hosts.seq);
        let last_poll = self.freshness_gate.last_poll();
        let max_list_bytes = self.context.config.memory_plan.list;
        let pushed = !self.context.config.settings.pull_list;
        self.watch.number += 1;
        self.watch.opened_at = Instant::now();
        self.watch.heartbeats = 0;
        let number = self.watch.number;
        let (from, unverified_for) =
            (since.map_or("none".to_owned(), |seq| seq.to_string()), self.watch.time_since_verified());
        self.context
            .log(&format!("watch {number}: opened from version {from}, last alive {unverified_for:.3?} ago"));
        // This ends the task of the previous watch.
        self.watch.task = Some(task::spawn(async move {
            let end = discovery::watch(discovery, pushed, since, max_list_bytes, last_poll, |event| {
                handle.on_watch_event(number, event)
            })
            .await;
            if let Some(retry_after) = handle.on_watch_end(number, end).filter(|_| pushed) {
                tokio::time::sleep(retry_after).await;
                handle.0.borrow_mut().subscribe(&handle);
            }
        }));
    }

    /// Applies the list's lease as the decision module computed it. After its expiry nothing is written by the list:
    /// unwritten attempts are withdrawn, and the freshness gate at the socket stops what is decided in the same
    /// moment.
    pub(super) fn apply_list_expiry(&mut self) {
        let at = self.balancer.list_expires_at();
        if std::mem::take(&mut self.watch.publish_pending) || at != self.expires_at {
            self.publish_lease();
        }
        if at != self.expires_at {
            let instant = at.map(|at| self.context.clock.instant_at(at));
            self.freshness_gate.set_expiry(instant);
            let left = instant.map(|at| at.saturating_duration_since(Instant::now()));
            self.context.log(&match left {
                Some(left) => format!("list: not verified, expires in {left:.3?}"),
                None => "list: verified".to_owned(),
            });
            self.expires_at = at;
            self.expired = false;
        }
        if !self.expired && self.freshness_gate.has_expired() {
            self.expired = true;
            self.context.log("list: expired, nothing new is sent until it is verified");
            self.withdraw_unsendable();
        }
    }

    /// Publishes this engine's lease of the list to the other engines of the process, if this engine is the watcher.
    fn publish_lease(&mut self) {
        let expires = self.balancer.list_expires_at().map(|at| self.context.clock.instant_at(at));
        let lease = Lease { verified_at: self.watch.unverified_since(), expires_at: expires };
        if let Some(group) = self.context.group.as_mut().filter(|group| group.is_watcher()) {
            group.publish_lease(lease);
        }
    }

    /// Updates the decision module with the lease that the watching engine has published, before it decides anything
    /// else. The lease is compared with the decision module's own, not with the one seen last: a watch of this engine
    /// may have changed it meanwhile.
    pub(super) fn apply_published_lease(&mut self) {
        let Some(group) = &self.context.group else { return };
        let (is_watcher, Some(lease)) = (group.is_watcher(), group.lease()) else { return };
        // What one engine's watch has proven holds for all engines.
        self.watch.verified_at = self.watch.verified_at.max(lease.verified_at);
        let at = lease.expires_at.map(|at| self.context.clock.micros_at(at));
        // The lease never expires where the list is pushed.
        if !is_watcher && self.context.config.settings.pull_list && at != self.balancer.list_expires_at() {
            self.context.events.push_front(Event::Freshness(Freshness::Expires { at }));
        }
    }

    /// Handles another engine's publishing while this engine is the watcher: this engine was stalled, and its watch
    /// may have been lost meanwhile. The list counts as unverified until the watch proves it again, and the lease is
    /// published anew. Done once per batch of events, since two engines may both consider themselves the watcher for
    /// a moment.
    pub(super) fn take_over_lease(&mut self) {
        if !self.context.group.as_ref().is_some_and(|group| group.is_watcher() && group.is_superseded()) {
            return;
        }
        let since = self.context.clock.micros_at(self.watch.unverified_since());
        self.watch.publish_pending = true;
        self.context.events.push_front(Event::Freshness(Freshness::Unverified { since }));
    }

    /// Logs a summary of a list.
    pub(super) fn log_list(&self, list: &List, kind: ListKind) {
        let count = |health| list.hosts.iter().filter(|host| host.health == health).count();
        let (ready, draining, gone) = (count(Health::Ready), count(Health::Terminating), count(Health::Gone));
        self.context.log(&format!(
            "list: version {}, {kind:?}: {ready} ready, {draining} draining, {gone} gone, last alive {:.3?} ago",
            list.seq,
            self.watch.time_since_verified()
        ));
    }
}

impl<P: Protocol> Handle<P> {
    /// Marks the cached list as unverified. It is treated like the list of a watch that was lost when the process
    /// went down before its restart.
    pub(super) fn mark_cached_list_unverified(&self) {
        self.mark_unverified_before(MAX_RESTART_TIME);
    }

    /// Marks the list as unverified after the loss of the watch, for example when the watching engine has stopped
    /// responding.
    pub(super) fn mark_list_unverified(&self) {
        self.mark_unverified_before(0);
    }

    /// Marks the list as unverified: changes may have been missed from `margin` microseconds before the last proof
    /// on.
    fn mark_unverified_before(&self, before: Micros) {
        let proven = {
            let driver = self.0.borrow();
            driver.context.clock.micros_at(driver.watch.unverified_since())
        };
        let since = proven.saturating_sub(before);
        self.process([Event::Freshness(Freshness::Unverified { since })]);
    }

    fn on_watch_event(&self, number: u64, event: WatchEvent) {
        if self.0.borrow().watch.number != number {
            return;
        }
        match event {
            WatchEvent::Answered => {
                self.0.borrow_mut().watch.outage.answered();
                let took = self.0.borrow().watch.opened_at.elapsed();
                self.log(&format!("watch {number}: answered after {took:.3?}"));
            }
            WatchEvent::Alive => {
                let mut driver = self.0.borrow_mut();
                let proves = driver.watch.record_heartbeat();
                let verifies = proves && driver.balancer.list_expires_at().is_some();
                if proves && !verifies {
                    driver.publish_lease();
                }
                drop(driver);
                if verifies {
                    self.process([Event::Freshness(Freshness::Verified)]);
                }
            }
            // The lease continues from the last event that was read in time.
            WatchEvent::AliveAfterStall => self.mark_unverified_before(0),
            WatchEvent::Partial(since) => {
                let since = self.0.borrow().context.clock.micros_at(since);
                self.process([Event::Freshness(Freshness::Incomplete { since })]);
            }
            WatchEvent::List(list) => {
                self.receive_list(list, ListSource::Watch(number));
                self.0.borrow_mut().watch.record_list();
            }
        }
    }

    /// Handles the end of a watch. Returns the delay before the next one is opened, or `None` if the watch was
    /// replaced.
    fn on_watch_end(&self, number: u64, end: WatchEnd) -> Option<Duration> {
        let mut driver = self.0.borrow_mut();
        if driver.watch.number != number {
            return None;
        }
        let status = driver.watch.assess(&end);
        let (open, unverified_for) = (driver.watch.opened_at.elapsed(), driver.watch.time_since_verified());
        let (end_text, status_text) = (describe(&end), describe_status(status));
        let line =
            format!("watch {number}: {end_text}{status_text}, opened {open:.3?} ago, last alive {unverified_for:.3?} ago");
        driver.context.log(&line);
        let retry_after = driver.watch.retry_after(&end);
        let clock = driver.context.clock;
        let since = clock.micros_at(driver.watch.unverified_since());
        let status_change = match status {
            DiscoveryStatus::Down => {
                driver.watch.unreachable_since = Some(driver.watch.opened_at);
                Some(Freshness::Unreachable { since: clock.micros_at(driver.watch.opened_at) })
            }
            DiscoveryStatus::NeverDown => {
                driver.watch.unreachable_since = None;
                Some(Freshness::Reachable)
            }
            DiscoveryStatus::Unknown => match end {
                WatchEnd::Ended { at, .. } => Some(Freshness::Ended { at: clock.micros_at(at) }),
                _ => end
                    .incomplete_since()
                    .map(|since| Freshness::Incomplete { since: clock.micros_at(since) }),
            },
        };
        let soon_available = matches!(end, WatchEnd::Silent) || end.incomplete_since().is_some();
        let kind = if soon_available { ListKind::Silent } else { ListKind::Failed };
        drop(driver);
        let freshness = std::iter::once(Freshness::Unverified { since }).chain(status_change);
        self.process(
            freshness.map(Event::Freshness).chain([Event::ServerList { kind, entries: Vec::new() }]),
        );
        Some(retry_after)
    }
}

/// Describes the end of a watch for the log.
fn describe(end: &WatchEnd) -> String {
    let each = |requests: &[FailedRequest]| {
        requests.iter().map(FailedRequest::to_string).collect::<Vec<_>>().join("; ")
    };
    match end {
        WatchEnd::Silent => "fell silent".to_owned(),
        WatchEnd::Unanswered(requests) if end.incomplete_since().is_some() => {
            format!("incomplete answer: {}", each(requests))
        }
        WatchEnd::Unanswered(requests) => format!("not answered: {}", each(requests)),
        WatchEnd::Failed(reason) => format!("failed: {reason}"),
        WatchEnd::Ended { reason, .. } => format!("ended: {reason}"),
        WatchEnd::Truncated { reason, .. } => format!("failed within a list: {reason}"),
    }
}

/// Describes what the requests of a watch have proven, as a suffix to [`describe`].
fn describe_status(status: DiscoveryStatus) -> &'static str {
    match status {
        DiscoveryStatus::Unknown => "",
        DiscoveryStatus::Down => ", discovery is taken for down",
        DiscoveryStatus::NeverDown => ", discovery was never down",
    }
}
