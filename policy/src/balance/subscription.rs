//! When the list of servers is asked for, where it is not pushed.
//!
//! Discovery answers all balancers in turn, and what has waited too long is lost. A hundred that lose their
//! watches at one moment and ask again within one short pause keep each other from being answered for good.

use super::{Actions, Balancer};
use crate::api::{Action, ListKind, Micros};

/// Balancers that may ask within the first pause: more take so many times as long.
const CONCURRENT_SUBSCRIBERS: u32 = 16;
/// The first pause as a part of the time for which a list holds without asking.
const FIRST_PAUSE_DIVISOR: u64 = 32;
/// Doublings of the pause, and its most in those times: half of what is allowed after a failed call.
const MAX_PAUSE_DOUBLINGS: u32 = 3;
const MAX_PAUSE_INTERVALS: u64 = 2;
/// Its most as a part of that time once the list has expired: clients are refused until there is another.
const EXPIRED_PAUSE_DIVISOR: u64 = 2;
/// The same (us) after silence, and after a watch that broke with a list on its way: what that says counts
/// as notified already, with the grace that drains have.
const MAX_PAUSE_AFTER_SILENCE: Micros = 300_000;

impl Balancer {
    /// At the start: a whole fleet may start in one moment, and each may have a list from before.
    pub(super) fn subscribe_at_start(&mut self, now: Micros, actions: &mut Actions) {
        if self.settings.balancers < 2 * CONCURRENT_SUBSCRIBERS {
            actions.push(Action::Subscribe);
        } else {
            self.subscribe_at = now + self.random_below(self.subscribe_pause(now));
        }
    }

    /// The list has begun to run out. What was spread over a longer time has to be asked before its end.
    pub(super) fn subscribe_before_expiry(&mut self, now: Micros) {
        if self.subscribe_at != Micros::MAX && self.lease.is_running_out(now) {
            self.subscribe_at = self.subscribe_at.min(now + self.random_below(self.lease.renewal_window()));
        }
    }

    /// A call finds no list. Each of these halves what is left of the first pause: the busiest, whose
    /// clients lose the most, ask first, and a thousand that all have clients still do not ask in one moment.
    pub(super) fn hasten_subscription(&mut self, now: Micros) {
        if self.listed_count == 0 && self.subscribe_failures == 0 && self.subscribe_at != Micros::MAX {
            self.subscribe_at = now + self.subscribe_at.saturating_sub(now) / 2;
        }
    }

    /// After a call that has failed, or a watch that has ended.
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

    /// Over how long balancers that ask at one moment are spread. While the list runs out that has to be
    /// short, however many there are; once it has expired nothing is sent by it, and discovery is spared.
    fn subscribe_pause(&self, now: Micros) -> Micros {
        let interval = self.settings.rules.list_refresh_interval;
        let rounds = u64::from(self.settings.balancers / CONCURRENT_SUBSCRIBERS).max(1);
        let doubled = rounds << self.subscribe_failures.min(MAX_PAUSE_DOUBLINGS);
        let max_pause = if self.lease.is_running_out(now) {
            // A pause is up to one and a half times what it is drawn from.
            self.lease.renewal_window() * 2 / 3
        } else if self.lease.has_expired(now) {
            interval / EXPIRED_PAUSE_DIVISOR
        } else {
            interval.saturating_mul(MAX_PAUSE_INTERVALS)
        };
        (interval / FIRST_PAUSE_DIVISOR).saturating_mul(doubled).min(max_pause)
    }
}
