//! How long the server list may be used while no watch shows that it is current.
//!
//! The list is held under a lease. While a watch is open and alive, every change arrives, and the lease has
//! no end. When the watch breaks or goes silent, changes may be missed; a missed change counts as notified a
//! fixed time later, whether it has arrived or not. If discovery ends the watch gracefully, as a long poll
//! ends, that time is shorter. The lease ends early enough that no request reaches a server after the drain
//! grace that follows this time. From then on no new attempt is sent until a list arrives. A single
//! deadline covers everything in between: noticing the loss, pauses, connections, responses and their retries
//! have bounds of their own, but their sum is what counts.

use crate::api::{Freshness, Micros, Rules};

/// A change that a broken or silent watch missed, or that was made while no watch was open, counts as
/// notified at most this long after the watch was lost.
const NOTIFIED_WITHIN: Micros = 6_000_000;
/// As [`NOTIFIED_WITHIN`], after discovery ended the watch gracefully, counted from its end.
const NOTIFIED_WITHIN_AFTER_END: Micros = 2_000_000;
/// As [`NOTIFIED_WITHIN`], after the configuration named another discovery service.
const NOTIFIED_WITHIN_AFTER_CHANGE: Micros = 4_000_000;
/// After a failed request the list remains usable for this many list refresh intervals.
const FAILED_REQUEST_INTERVALS: Micros = 4;
/// Maximum delay between the decision on a request and writing it, as the process may be stalled in between.
const MAX_WRITE_DELAY: Micros = 250_000;

/// The lease of the current list.
#[derive(Clone, Debug)]
pub(crate) struct ListLease {
    /// Longest time that a client proxy without a watch may go without requesting the list.
    refresh_interval: Micros,
    /// Time from the notification of a change to the last moment at which a request may be decided by the
    /// list before that change.
    slack: Micros,
    /// When the lease ends because of changes that may have been missed. `None` while a watch is open and
    /// alive, or if the list is pushed.
    missed_at: Option<Micros>,
    /// The end that replaces `missed_at` because discovery was down in the meantime, so that changes count as
    /// notified later. Not earlier than `missed_at`.
    extended_at: Option<Micros>,
    /// When the lease ends because a list was received only in part. Discovery has already sent the changes
    /// in that list, so an outage of discovery does not extend this time.
    incomplete_at: Option<Micros>,
    /// Whether discovery ended the watch gracefully.
    watch_ended: bool,
}

impl ListLease {
    /// Creates a lease without an end.
    pub fn new(rules: &Rules) -> ListLease {
        let slack = rules.drain_grace.saturating_sub(MAX_WRITE_DELAY);
        ListLease {
            refresh_interval: rules.list_refresh_interval,
            slack,
            missed_at: None,
            extended_at: None,
            incomplete_at: None,
            watch_ended: false,
        }
    }

    /// Updates the lease after a change in the state of the watch.
    pub fn update(&mut self, now: Micros, freshness: Freshness) {
        match freshness {
            Freshness::Verified => self.reset(None),
            Freshness::Unverified { since } => {
                let notified =
                    since.saturating_add(NOTIFIED_WITHIN).min(now.saturating_add(self.refresh_interval));
                self.limit_by_missed_changes(notified);
            }
            Freshness::Ended { at } => {
                self.watch_ended = true;
                self.limit_by_missed_changes(at.saturating_add(NOTIFIED_WITHIN_AFTER_END));
            }
            Freshness::DiscoveryChanged => {
                self.limit_by_missed_changes(now.saturating_add(NOTIFIED_WITHIN_AFTER_CHANGE))
            }
            Freshness::Incomplete { since } => {
                self.incomplete_at = earlier(self.incomplete_at, since.saturating_add(self.slack));
            }
            Freshness::Unreachable { since } => {
                let extension =
                    self.refresh_interval.saturating_mul(FAILED_REQUEST_INTERVALS).min(NOTIFIED_WITHIN);
                let extended = since.saturating_add(extension).saturating_add(self.slack);
                self.watch_ended = false;
                self.extended_at =
                    self.missed_at.map(|at| at.max(self.extended_at.unwrap_or(at)).max(extended));
            }
            Freshness::Reachable => self.extended_at = None,
            Freshness::Expires { at } => self.reset(at),
        }
    }

    fn reset(&mut self, ends_at: Option<Micros>) {
        self.missed_at = ends_at;
        (self.extended_at, self.incomplete_at, self.watch_ended) = (None, None, false);
    }

    /// Shortens the lease for missed changes that count as notified at `notified`.
    fn limit_by_missed_changes(&mut self, notified: Micros) {
        let ends_at = notified.saturating_add(self.slack);
        self.missed_at = earlier(self.missed_at, ends_at);
        self.extended_at = self.extended_at.map(|extended| extended.min(ends_at));
    }

    /// When the lease ends, after which no new attempt is sent; `None` if the list is verified.
    pub fn expires_at(&self) -> Option<Micros> {
        let missed_at = self.extended_at.or(self.missed_at);
        missed_at.into_iter().chain(self.incomplete_at).min()
    }

    /// Whether the lease has ended.
    pub fn has_expired(&self, now: Micros) -> bool {
        self.expires_at().is_some_and(|at| now >= at)
    }

    /// Whether the lease has an end that is still ahead, so that the list must be renewed before it.
    pub fn is_running_out(&self, now: Micros) -> bool {
        self.expires_at().is_some_and(|at| now < at)
    }

    /// Longest time over which requests for the list are spread while the lease runs out, such that one of
    /// them and a retry are answered before the end; after a graceful end of the watch, one request.
    pub fn renewal_window(&self) -> Micros {
        let longest = self.refresh_interval.min(NOTIFIED_WITHIN) * 3 / 8;
        if self.watch_ended {
            longest.min(NOTIFIED_WITHIN_AFTER_END * 3 / 4)
        } else {
            longest
        }
    }
}

/// The earlier of an optional time and another.
fn earlier(optional: Option<Micros>, other: Micros) -> Option<Micros> {
    Some(optional.map_or(other, |time| time.min(other)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::Settings;

    const SECOND: Micros = 1_000_000;

    fn lease(list_refresh_interval: Micros) -> ListLease {
        ListLease::new(&Rules { list_refresh_interval, ..Settings::default().rules })
    }

    /// Every sequence of five watch events: the lease never ends later than permitted by the first loss since
    /// the last list or outage, nor later than an incomplete list permits, whatever follows. A verified list
    /// always removes the end.
    #[test]
    fn in_every_order_of_events_the_lease_ends_in_time() {
        let kinds = 8_usize;
        for sequence in 0..kinds.pow(5) {
            let mut lease = lease(10 * SECOND);
            let (mut missed, mut extended, mut incomplete) = (None::<Micros>, None::<Micros>, None::<Micros>);
            let mut rest = sequence;
            for step in 1..=5 {
                let now = step * 2 * SECOND;
                let event = match rest % kinds {
                    0 => Freshness::Verified,
                    1 => Freshness::Unverified { since: now },
                    2 => Freshness::Unverified { since: now - SECOND },
                    3 => Freshness::DiscoveryChanged,
                    4 => Freshness::Incomplete { since: now - SECOND },
                    5 => Freshness::Ended { at: now },
                    6 => Freshness::Reachable,
                    _ => Freshness::Unreachable { since: now - SECOND },
                };
                rest /= kinds;
                lease.update(now, event);
                let least = |bound: Option<Micros>, at: Micros| Some(bound.map_or(at, |b| b.min(at)));
                let missed_now = match event {
                    Freshness::Unverified { since } => Some(since + 7 * SECOND),
                    Freshness::Ended { at } => Some(at + 3 * SECOND),
                    Freshness::DiscoveryChanged => Some(now + 5 * SECOND),
                    _ => None,
                };
                if let Some(at) = missed_now {
                    (missed, extended) = (least(missed, at), extended.map(|extended| extended.min(at)));
                }
                match event {
                    Freshness::Verified => (missed, extended, incomplete) = (None, None, None),
                    Freshness::Incomplete { since } => incomplete = least(incomplete, since + SECOND),
                    Freshness::Unreachable { since } => {
                        extended = missed.map(|at| at.max(extended.unwrap_or(at)).max(since + 7 * SECOND));
                    }
                    Freshness::Reachable => extended = None,
                    _ => {}
                }
                let missed_by = extended.or(missed);
                let bound = missed_by.map_or(incomplete, |at| least(incomplete, at));
                let end = lease.expires_at();
                assert_eq!(end.is_some(), bound.is_some(), "{sequence}: {event:?}");
                if let (Some(end), Some(bound)) = (end, bound) {
                    assert_eq!(end + MAX_WRITE_DELAY, bound, "{sequence}: {event:?}");
                }
            }
        }
    }

    #[test]
    fn the_lease_is_shorter_with_a_shorter_refresh_interval() {
        let mut lease = lease(2 * SECOND);
        lease.update(10 * SECOND, Freshness::Unverified { since: 9 * SECOND });
        assert_eq!(lease.expires_at(), Some(12 * SECOND + 750_000));
        lease.update(11 * SECOND, Freshness::Unreachable { since: 10 * SECOND });
        assert_eq!(lease.expires_at(), Some(16 * SECOND + 750_000), "six seconds at most");
        assert!(!lease.has_expired(16 * SECOND) && lease.has_expired(17 * SECOND));
    }

    #[test]
    fn a_failed_request_does_not_affect_a_verified_list() {
        let mut lease = lease(10 * SECOND);
        lease.update(SECOND, Freshness::Unreachable { since: 0 });
        assert_eq!(lease.expires_at(), None);
    }

    #[test]
    fn extreme_values_do_not_overflow() {
        let rules = Rules {
            list_refresh_interval: Micros::MAX,
            drain_grace: Micros::MAX,
            ..Settings::default().rules
        };
        let mut lease = ListLease::new(&rules);
        lease.update(Micros::MAX, Freshness::Unverified { since: Micros::MAX });
        lease.update(Micros::MAX, Freshness::Unreachable { since: Micros::MAX });
        assert_eq!(lease.expires_at(), Some(Micros::MAX));
        let mut none = ListLease::new(&Rules { list_refresh_interval: 0, drain_grace: 0, ..rules });
        none.update(5, Freshness::Unverified { since: 3 });
        assert!(none.has_expired(5));
    }
}
