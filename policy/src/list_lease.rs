//! How long the list of servers may be sent by while no watch shows that it is up to date.
//!
//! A list is a lease. While a watch is open and alive, each change arrives, and the lease has no
//! end. When the watch breaks or falls silent, changes may be missed, and what is missed counts as
//! notified a stated time later, whether it has arrived or not. A watch that discovery ends in order
//! is like a long poll that is over: what it was to tell counts sooner. The lease ends before a request
//! could reach a server over the grace after that moment; from then on nothing new is sent until a
//! list has come. One clock stands for all that lies between: noticing, pauses, connections,
//! answers and their repetitions each have bounds of their own, and it is their sum that counts.

use crate::api::{Freshness, Micros, Rules};

/// A change that a broken or silent watch missed, or that came while none was open, counts as
/// notified at the latest this long after the watch was lost.
const NOTIFIED_MOST: Micros = 6_000_000;
/// The same after a watch that was ended in order, from its end on.
const NOTIFIED_ENDED: Micros = 2_000_000;
/// The same after the configuration has named another discovery.
const NOTIFIED_MOVED: Micros = 4_000_000;
/// After a call that failed the list holds for so many times the time between two calls.
const FAILED_CALL_TIMES: Micros = 4;
/// A request is written so long after it was decided at the most: the process may be held up in
/// between.
const HELD_UP_MOST: Micros = 250_000;

/// The lease of the list in hand.
#[derive(Clone, Debug)]
pub(crate) struct ListLease {
    /// Longest that a client proxy without a watch may go without a call for the list.
    call_every: Micros,
    /// From the moment at which a change counts as notified to the last at which a request may be
    /// decided by the list before it.
    slack: Micros,
    /// By when what may have been missed counts. `None`: a watch is open and alive, or the list is
    /// pushed.
    missed_at: Option<Micros>,
    /// By when it counts instead, as discovery was down meanwhile. No sooner than `missed_at`.
    renewed_at: Option<Micros>,
    /// By when a list counts that was on its way. It has been written, so nothing moves this on.
    withheld_at: Option<Micros>,
    /// Whether the end is that of a watch that discovery ended.
    was_ended: bool,
}

impl ListLease {
    /// A lease without an end.
    pub fn new(rules: &Rules) -> ListLease {
        let slack = rules.drain_grace.saturating_sub(HELD_UP_MOST);
        ListLease {
            call_every: rules.list_refresh_interval,
            slack,
            missed_at: None,
            renewed_at: None,
            withheld_at: None,
            was_ended: false,
        }
    }

    /// Takes in what has become of the watch.
    pub fn update(&mut self, now: Micros, freshness: Freshness) {
        match freshness {
            Freshness::Verified => self.set(None),
            Freshness::Unverified { since } => {
                let notified = since.saturating_add(NOTIFIED_MOST).min(now.saturating_add(self.call_every));
                self.missed(notified);
            }
            Freshness::Ended { at } => {
                self.was_ended = true;
                self.missed(at.saturating_add(NOTIFIED_ENDED));
            }
            Freshness::DiscoveryChanged => self.missed(now.saturating_add(NOTIFIED_MOVED)),
            Freshness::Incomplete { since } => {
                self.withheld_at = sooner(self.withheld_at, since.saturating_add(self.slack));
            }
            Freshness::Unreachable { since } => {
                let held = self.call_every.saturating_mul(FAILED_CALL_TIMES).min(NOTIFIED_MOST);
                let renewed = since.saturating_add(held).saturating_add(self.slack);
                self.was_ended = false;
                self.renewed_at = self.missed_at.map(|at| at.max(self.renewed_at.unwrap_or(at)).max(renewed));
            }
            Freshness::Reachable => self.renewed_at = None,
            Freshness::Expires { at } => self.set(at),
        }
    }

    fn set(&mut self, at: Option<Micros>) {
        self.missed_at = at;
        (self.renewed_at, self.withheld_at, self.was_ended) = (None, None, false);
    }

    /// What was missed counts as notified then at the latest.
    fn missed(&mut self, notified: Micros) {
        let at = notified.saturating_add(self.slack);
        self.missed_at = sooner(self.missed_at, at);
        self.renewed_at = self.renewed_at.map(|renewed| renewed.min(at));
    }

    /// When nothing new may be sent by the list any more; `None`: the list is verified.
    pub fn expires_at(&self) -> Option<Micros> {
        let missed_at = self.renewed_at.or(self.missed_at);
        missed_at.into_iter().chain(self.withheld_at).min()
    }

    /// Whether that moment has come.
    pub fn has_expired(&self, now: Micros) -> bool {
        self.expires_at().is_some_and(|at| now >= at)
    }

    /// Whether the list must be renewed, and still can be before it expires.
    pub fn is_running_out(&self, now: Micros) -> bool {
        self.expires_at().is_some_and(|at| now < at)
    }

    /// The longest time over which calls for the list are spread while it runs out, so that one of
    /// them and one more after it are answered before the end; after a watch that was ended one.
    pub fn renewal_window(&self) -> Micros {
        let longest = self.call_every.min(NOTIFIED_MOST) * 3 / 8;
        if self.was_ended {
            longest.min(NOTIFIED_ENDED * 3 / 4)
        } else {
            longest
        }
    }
}

/// The sooner of a moment that may be set and another.
fn sooner(set: Option<Micros>, at: Micros) -> Option<Micros> {
    Some(set.map_or(at, |before| before.min(at)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::Settings;

    const SECOND: Micros = 1_000_000;

    fn lease(list_refresh_interval: Micros) -> ListLease {
        ListLease::new(&Rules { list_refresh_interval, ..Settings::default().rules })
    }

    /// All that can become of a watch, in every order of five: the lease never ends later than the
    /// first loss allows that no list and no outage came after, nor than a list that was withheld
    /// allows, whatever came after; and a list always lifts it.
    #[test]
    fn in_every_order_of_events_the_lease_ends_in_time() {
        let kinds = 8_usize;
        for course in 0..kinds.pow(5) {
            let mut lease = lease(10 * SECOND);
            let (mut missed, mut renewed, mut withheld) = (None::<Micros>, None::<Micros>, None::<Micros>);
            let mut rest = course;
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
                    (missed, renewed) = (least(missed, at), renewed.map(|renewed| renewed.min(at)));
                }
                match event {
                    Freshness::Verified => (missed, renewed, withheld) = (None, None, None),
                    Freshness::Incomplete { since } => withheld = least(withheld, since + SECOND),
                    Freshness::Unreachable { since } => {
                        renewed = missed.map(|at| at.max(renewed.unwrap_or(at)).max(since + 7 * SECOND));
                    }
                    Freshness::Reachable => renewed = None,
                    _ => {}
                }
                let missed_by = renewed.or(missed);
                let bound = missed_by.map_or(withheld, |at| least(withheld, at));
                let end = lease.expires_at();
                assert_eq!(end.is_some(), bound.is_some(), "{course}: {event:?}");
                if let (Some(end), Some(bound)) = (end, bound) {
                    assert_eq!(end + HELD_UP_MOST, bound, "{course}: {event:?}");
                }
            }
        }
    }

    #[test]
    fn it_ends_sooner_where_the_settings_want_calls_more_often() {
        let mut lease = lease(2 * SECOND);
        lease.update(10 * SECOND, Freshness::Unverified { since: 9 * SECOND });
        assert_eq!(lease.expires_at(), Some(12 * SECOND + 750_000));
        lease.update(11 * SECOND, Freshness::Unreachable { since: 10 * SECOND });
        assert_eq!(lease.expires_at(), Some(16 * SECOND + 750_000), "six seconds at most");
        assert!(!lease.has_expired(16 * SECOND) && lease.has_expired(17 * SECOND));
    }

    #[test]
    fn a_call_that_failed_says_nothing_of_a_list_that_is_verified() {
        let mut lease = lease(10 * SECOND);
        lease.update(SECOND, Freshness::Unreachable { since: 0 });
        assert_eq!(lease.expires_at(), None);
    }

    #[test]
    fn odd_figures_overflow_nowhere() {
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
