//! When the list of servers is asked for, where it is not pushed.
//!
//! Discovery answers all balancers in turn, and what has waited too long is lost. A hundred that lose their
//! watches at one moment and ask again within one short pause keep each other from being answered for good.

use super::{Actions, Balancer};
use crate::api::{Action, ListKind, Micros};

/// Balancers that may ask within the first pause: more take so many times as long.
const ASK_TOGETHER: u32 = 16;
/// The first pause as a part of the time for which a list holds without asking.
const FIRST_PART: u64 = 32;
/// Doublings of the pause, and its most in those times: half of what is allowed after a failed call.
const ASK_DOUBLINGS: u32 = 3;
const ASK_MOST: u64 = 2;
/// Its most as a part of that time once the list has expired: clients are refused until there is another.
const ASK_EXPIRED: u64 = 2;
/// The same (us) after silence, and after a watch that broke with a list on its way: what that says counts
/// as notified already, with the grace that drains have.
const ASK_SILENT: Micros = 300_000;

impl Balancer {
    /// At the start: a whole fleet may start in one moment, and each may have a list from before.
    pub(super) fn ask_first(&mut self, now: Micros, actions: &mut Actions) {
        if self.settings.balancers < 2 * ASK_TOGETHER {
            actions.push(Action::Subscribe);
        } else {
            self.ask_at = now + self.below(self.ask_pause(now));
        }
    }

    /// The list has begun to run out. What was spread over a longer time has to be asked before its end.
    pub(super) fn ask_before_expiry(&mut self, now: Micros) {
        if self.ask_at != Micros::MAX && self.lease.is_running_out(now) {
            self.ask_at = self.ask_at.min(now + self.below(self.lease.renewal_window()));
        }
    }

    /// A call finds no list. Each of these halves what is left of the first pause: the busiest, whose
    /// clients lose the most, ask first, and a thousand that all have clients still do not ask in one moment.
    pub(super) fn ask_sooner(&mut self, now: Micros) {
        if self.listed == 0 && self.ask_failures == 0 && self.ask_at != Micros::MAX {
            self.ask_at = now + self.ask_at.saturating_sub(now) / 2;
        }
    }

    /// After a call that has failed, or a watch that has ended.
    pub(super) fn ask_again(&mut self, now: Micros, why: ListKind) {
        self.ask_soon = if why == ListKind::Silent { ASK_SILENT } else { self.ask_soon.saturating_mul(2) };
        let pause = self.ask_pause(now).min(self.ask_soon);
        self.ask_failures += 1;
        if self.settings.pull_list {
            self.ask_at = now + pause / 2 + self.below(pause);
        }
    }

    /// Over how long balancers that ask at one moment are spread. While the list runs out that has to be
    /// short, however many there are; once it has expired nothing is sent by it, and discovery is spared.
    fn ask_pause(&self, now: Micros) -> Micros {
        let every = self.settings.rules.list_refresh_interval;
        let all = u64::from(self.settings.balancers / ASK_TOGETHER).max(1);
        let doubled = all << self.ask_failures.min(ASK_DOUBLINGS);
        let most = if self.lease.is_running_out(now) {
            // A pause is up to one and a half times what it is drawn from.
            self.lease.renewal_window() * 2 / 3
        } else if self.lease.has_expired(now) {
            every / ASK_EXPIRED
        } else {
            every.saturating_mul(ASK_MOST)
        };
        (every / FIRST_PART).saturating_mul(doubled).min(most)
    }
}
