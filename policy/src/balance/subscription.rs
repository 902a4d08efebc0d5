//! When the balancer subscribes to the server list, if the list is not pushed.
//!
//! Discovery answers all balancers in turn, and requests that have waited too long are lost. If a hundred
//! balancers lose their watches at once and all retry within one short pause, they keep each other from being
//! answered indefinitely.

use super::{Actions, Balancer};
use crate::api::{Action, ListKind, Micros};

/// Balancers that may subscribe within the first pause. With more of them, the pause is longer in proportion.
const CONCURRENT_SUBSCRIBERS: u32 = 16;
/// The first pause is the list refresh interval divided by this.
const FIRST_PAUSE_DIVISOR: u64 = 32;
/// Maximum doublings of the pause, and its maximum in list refresh intervals: half of what is allowed after a
/// failed request.
const MAX_PAUSE_DOUBLINGS: u32 = 3;
const MAX_PAUSE_INTERVALS: u64 = 2;
/// Once the list has expired, the maximum pause is the refresh interval divided by this: clients are refused
/// until there is a new list.
const EXPIRED_PAUSE_DIVISOR: u64 = 2;
/// Maximum pause (us) after the watch went silent or broke while a list was being received. Changes in that
/// list already count as notified, so the present list may be used only until their drain grace ends.
const MAX_PAUSE_AFTER_SILENCE: Micros = 300_000;

impl Balancer {
    /// Subscribes at the start. A whole fleet may start at once, with each balancer having a saved list.
    pub(super) fn subscribe_at_start(&mut self, now: Micros, actions: &mut Actions) {
        if self.settings.balancers < 2 * CONCURRENT_SUBSCRIBERS {
            actions.push(Action::Subscribe);
        } else {
            self.subscribe_at = now + self.random_below(self.subscribe_pause(now));
        }
    }

    /// Moves a pending subscription forward, once the lease has an end, so that it takes place before that
    /// end.
    pub(super) fn subscribe_before_expiry(&mut self, now: Micros) {
        if self.subscribe_at != Micros::MAX && self.lease.is_running_out(now) {
            self.subscribe_at = self.subscribe_at.min(now + self.random_below(self.lease.renewal_window()));
        }
    }

    /// Halves the remaining first pause when a call finds no list. The busiest balancers, whose clients lose
    /// the most, thus subscribe first, and a thousand busy ones still do not subscribe at the same moment.
    pub(super) fn hasten_subscription(&mut self, now: Micros) {
        if self.listed_count == 0 && self.subscribe_failures == 0 && self.subscribe_at != Micros::MAX {
            self.subscribe_at = now + self.subscribe_at.saturating_sub(now) / 2;
        }
    }

    /// Schedules a new subscription after a request for the list failed or a watch ended.
    pub(super) fn resubscribe(&mut self, now: Micros, failure: ListKind) {
        self.max_subscribe_pause = if failure == ListKind::Silent {
            MAX_PAUSE_AFTER_SILENCE
        } else {
            self.max_subscribe_pause.saturating_mul(2)
        };
        let pause = self.subscribe_pause(now).min(self.max_subscribe_pause);
        self.subscribe_failures += 1;
        if self.settings.pull_list {
            self.subscribe_at = now + pause / 2 + self.random_below(pause);
        }
    }

    /// Time over which balancers that subscribe at the same moment are spread. It has to be short while the
    /// lease runs out, however many they are. Once the lease has expired, no calls depend on the list, and
    /// longer pauses limit the load on discovery.
    fn subscribe_pause(&self, now: Micros) -> Micros {
        let interval = self.settings.rules.list_refresh_interval;
        let rounds = u64::from(self.settings.balancers / CONCURRENT_SUBSCRIBERS).max(1);
        let doubled = rounds << self.subscribe_failures.min(MAX_PAUSE_DOUBLINGS);
        let max_pause = if self.lease.is_running_out(now) {
            // A pause is up to one and a half times the value that it is drawn from.
            self.lease.renewal_window() * 2 / 3
        } else if self.lease.has_expired(now) {
            interval / EXPIRED_PAUSE_DIVISOR
        } else {
            interval.saturating_mul(MAX_PAUSE_INTERVALS)
        };
        (interval / FIRST_PAUSE_DIVISOR).saturating_mul(doubled).min(max_pause)
    }
}
