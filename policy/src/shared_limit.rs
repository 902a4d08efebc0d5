//! The concurrency limit over all servers together, where one server's own would be far under one call: a
//! thousand balancers with a call each would crowd a server, and each balancer meets it too seldom to learn
//! what it takes.
//!
//! It grows by probe requests, as far as it is used and while answers are hardly longer than unloaded ones,
//! and falls as they become longer. From a few calls on it bounds the number in flight; below that it bounds
//! their mean, by a bucket of time in flight that the limit drains.

use crate::api::Micros;
use crate::call::Trial;
use crate::concurrency_limit::{enough, Budget, RATE_MEMORY, SMOOTHING};
use crate::in_flight::InFlight;

/// A server's first limit, in calls, under which all servers share one: it would round to none.
const SHARED_UNDER: f64 = 0.5;
/// Calls of a usual answer time that may go ahead of a small limit.
const BURST_CALLS: f64 = 2.0;
/// What deep cuts leave at the least, as a share of the first limit.
const FLOOR_SHARE: f64 = 0.05;
/// Up to how many times what is used the limit grows, so that a burst meets a bound.
const USED_TIMES: f64 = 1.5;
/// How far answers may have come from the unloaded time to what is allowed, as a share of the way: until the
/// limit stops growing, and until it is cut.
const GROW_MOST: f64 = 0.4;
const CUT_FROM: f64 = 0.6;
/// A call is late beyond this many times what is allowed.
pub(crate) const LATE_TIMES: f64 = 1.5;
/// Share of late answers under which none of the last twenty or so was late.
const LATE_FEW: f64 = 0.012;
/// A small limit makes calls wait for no longer than a call in flight at this share of the first limit would,
/// and at this many calls in flight at the most.
const PAUSE_SHARE: f64 = 0.25;
const PAUSE_CALLS: f64 = 0.5;

/// An answer, as the limit is taught by it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answer {
    /// How long it took, in microseconds.
    pub(crate) elapsed: f64,
    /// What it took over what is allowed, as it counts.
    pub(crate) strain: f64,
    /// What an unloaded server takes over what is allowed.
    pub(crate) unloaded: f64,
    /// Whether it took longer than [`LATE_TIMES`] what is allowed.
    pub(crate) is_late: bool,
}

/// The limit, with the probe request and the backoff that all servers share.
#[derive(Debug, Default)]
pub(crate) struct SharedLimit {
    pub(crate) budget: Budget,
    /// The first limit, and what mild cuts leave at the least, in calls a server.
    first: f64,
    mild_floor: f64,
    /// Servers that take calls.
    pub(crate) up: f64,
    in_flight: InFlight,
    /// Time in flight that was taken ahead of a small limit, in microseconds, and when that was reckoned.
    debt: f64,
    at: Micros,
    sent_at: Micros,
    /// Mean number of answered calls in flight.
    pub(crate) used: f64,
    /// Means of [`Answer::strain`] and [`Answer::unloaded`], and the share of late answers.
    strain: f64,
    unloaded: f64,
    late_share: f64,
    /// Answers since the last cut, and when that was.
    answers: u32,
    changed: Micros,
    heard: Micros,
}

impl SharedLimit {
    /// The limit for one of so many balancers; `None`: each server has its own.
    pub(crate) fn new(balancers: u32) -> Option<Self> {
        let mut budget = Budget::new(balancers);
        let (first, mild_floor) = (budget.concurrency, budget.floor);
        budget.floor = first * FLOOR_SHARE;
        (first < SHARED_UNDER).then(|| SharedLimit { budget, first, mild_floor, ..SharedLimit::default() })
    }

    /// Calls in flight that it allows.
    fn total(&self) -> f64 {
        f64::from(self.budget.steps) * self.budget.concurrency * self.up
    }

    /// Whether it bounds the number of calls in flight, and not their mean.
    fn bounds_number(&self) -> bool {
        self.total() >= BURST_CALLS + 1.0
    }

    /// Whether calls that are out for long tell of crowded servers. Where no answer is late they are work
    /// that never ends, or at servers that have fallen silent, and must not shut out all other calls.
    fn late_calls_count(&self) -> bool {
        self.late_share > LATE_FEW
    }

    fn counted_in_flight(&self, now: Micros) -> u32 {
        if self.late_calls_count() {
            self.in_flight.all()
        } else {
            self.in_flight.in_time(now)
        }
    }

    /// Counts time in flight, in microseconds; negative where a call took less than was charged before.
    fn charge(&mut self, now: Micros, time: f64) {
        let paid = self.total() * now.saturating_sub(self.at) as f64;
        self.debt = if self.bounds_number() { 0.0 } else { (self.debt - paid).max(0.0) + time };
        self.at = now;
    }

    /// Whether calls have to wait: `usual` is the longest usual answer time, in microseconds.
    pub(crate) fn is_full(&self, now: Micros, usual: f64) -> bool {
        if self.up <= 0.0 {
            return false;
        }
        if self.bounds_number() {
            return f64::from(self.counted_in_flight(now)) >= self.total();
        }
        let over = (self.debt - BURST_CALLS * usual).max(0.0) / self.total().max(f64::MIN_POSITIVE);
        let paid_at = self.at.saturating_add(over as Micros);
        paid_at.min(self.sent_at.saturating_add(self.longest_pause(usual))) > now
    }

    /// Longest pause between two calls, in microseconds, whatever was taken ahead of the limit.
    fn longest_pause(&self, usual: f64) -> Micros {
        let calls = (self.first * self.up * PAUSE_SHARE).min(PAUSE_CALLS);
        (usual / calls.max(f64::MIN_POSITIVE)) as Micros
    }

    /// Whether a probe request may pass the full limit.
    pub(crate) fn may_probe(&self, now: Micros) -> bool {
        self.strain <= 1.0 && self.budget.trial_ready(now)
    }

    /// Counts a call that is sent: `usual` is its class's usual answer time, in microseconds.
    pub(crate) fn sent(&mut self, now: Micros, usual: f64, late_at: Micros, trial: Trial) {
        self.in_flight.sent(late_at);
        self.charge(now, usual);
        self.sent_at = now;
        self.budget.trial_out |= trial == Trial::Shared;
    }

    /// Counts the end of an attempt that was out for `elapsed` and was charged by `usual`, in microseconds.
    pub(crate) fn ended(&mut self, now: Micros, elapsed: f64, usual: f64, late_at: Micros, trial: Trial) {
        self.in_flight.ended(late_at);
        if now < late_at || self.late_calls_count() {
            self.charge(now, elapsed - usual);
        }
        self.budget.trial_out &= trial != Trial::Shared;
    }

    /// A probe request has ended: served, it raises the limit, else the next one waits.
    pub(crate) fn probed(&mut self, now: Micros, served: bool, first_backoff: Micros) {
        if !served {
            self.budget.back_off(now, first_backoff);
        } else if self.may_grow() {
            self.budget.trial_served();
        }
    }

    /// Whether the limit may be raised: it is used, and answers are hardly longer than unloaded ones.
    fn may_grow(&self) -> bool {
        let total = self.total();
        let unstrained = total < self.mild_floor * self.up || self.strain <= self.strain_at(GROW_MOST);
        unstrained && total <= self.used * USED_TIMES
    }

    /// The strain at a share of the way from the unloaded answer time to what is allowed.
    fn strain_at(&self, share: f64) -> f64 {
        self.unloaded + share * (1.0 - self.unloaded)
    }

    /// An answer, at whichever server: strain lowers the limit. `usual` is the longest usual answer time.
    pub(crate) fn answered(&mut self, now: Micros, answer: Answer, usual: f64) {
        let gap = now.saturating_sub(self.heard) as f64 / RATE_MEMORY;
        self.heard = now;
        self.used = self.used * (-gap).exp() + answer.elapsed / RATE_MEMORY;
        self.strain += (answer.strain - self.strain) * SMOOTHING.max(1.0 - (-gap).exp());
        self.unloaded += (answer.unloaded - self.unloaded) * SMOOTHING;
        self.late_share += (f64::from(u8::from(answer.is_late)) - self.late_share) * SMOOTHING;
        self.answers += 1;
        if !enough(self.answers, now.saturating_sub(self.changed), usual) {
            return;
        }
        if self.strain > 1.0 {
            self.cut_deep(now);
        } else if self.strain > self.strain_at(CUT_FROM) && self.total() > self.mild_floor * self.up {
            self.cut_mildly(now);
        }
    }

    /// Answers take all that is allowed: the cut begins at what is used.
    fn cut_deep(&mut self, now: Micros) {
        let used = self.used / self.steps_up();
        self.budget.concurrency = self.budget.concurrency.min(used.max(self.budget.floor));
        self.budget.cut(1.0 / self.strain, false);
        self.strain = self.strain.sqrt();
        (self.answers, self.changed) = (0, now);
    }

    /// Answers become longer: less than is in use will do, down to the mild floor.
    fn cut_mildly(&mut self, now: Micros) {
        let floor = self.mild_floor * self.up;
        let from = self.total().min((self.used * USED_TIMES).max(floor));
        let to = from * self.strain_at(CUT_FROM) / self.strain;
        self.budget.concurrency = to.max(floor) / self.steps_up();
        (self.answers, self.changed) = (0, now);
    }

    fn steps_up(&self) -> f64 {
        f64::from(self.budget.steps) * self.up.max(1.0)
    }
}
