//! The concurrency limit over all servers together, where one server's own would be far under one call: a
//! thousand balancers with a call each would crowd a server, and each balancer meets it too seldom to learn
//! what it takes. It bounds the mean number of calls in flight.

use crate::api::Micros;
use crate::budget::{enough, Budget, RATE_MEMORY, SMOOTHING};
use crate::state::Trial;

/// A server's first limit, in calls, under which all servers share one: it would round to none.
const SHARED_UNDER: f64 = 0.5;
/// Calls of a usual answer time that may go ahead of the limit.
const BURST_CALLS: f64 = 2.0;
/// What cuts leave at the least, as a share of the first limit.
const FLOOR_SHARE: f64 = 0.05;

/// A bucket of time in flight that the limit drains; its probe request and backoff are shared by all servers.
#[derive(Debug, Default)]
pub(crate) struct SharedLimit {
    pub(crate) budget: Budget,
    /// Servers that take calls.
    pub(crate) up: f64,
    /// Time in flight that was taken ahead of the limit, in microseconds, and when that was reckoned.
    debt: f64,
    at: Micros,
    /// Mean number of answered calls in flight.
    pub(crate) used: f64,
    /// Mean of answer times over what is allowed; 1 is the limit.
    strain: f64,
    answers: u32,
    changed: Micros,
    heard: Micros,
}

impl SharedLimit {
    /// The limit for one of so many balancers; `None`: each server has its own.
    pub(crate) fn new(balancers: u32) -> Option<Self> {
        let mut budget = Budget::new(balancers);
        budget.floor = budget.concurrency * FLOOR_SHARE;
        (budget.concurrency < SHARED_UNDER).then(|| SharedLimit { budget, ..SharedLimit::default() })
    }

    /// Calls in flight that it allows, as a mean.
    fn total(&self) -> f64 {
        f64::from(self.budget.steps) * self.budget.concurrency * self.up
    }

    /// Counts time in flight, in microseconds; negative where a call took less than was charged before.
    fn charge(&mut self, now: Micros, time: f64) {
        let paid = self.total() * now.saturating_sub(self.at) as f64;
        (self.debt, self.at) = ((self.debt - paid).max(0.0) + time, now);
    }

    /// Whether calls have to wait: `usual` is the longest usual answer time, in microseconds.
    pub(crate) fn is_full(&self, now: Micros, usual: f64) -> bool {
        let over = (self.debt - BURST_CALLS * usual).max(0.0) / self.total().max(f64::MIN_POSITIVE);
        self.up > 0.0 && self.at.saturating_add(over as Micros) > now
    }

    /// Whether a probe request may pass the full limit.
    pub(crate) fn may_probe(&self, now: Micros) -> bool {
        self.strain <= 1.0 && self.budget.trial_ready(now)
    }

    /// Counts a call that is sent, by its class's usual answer time.
    pub(crate) fn sent(&mut self, now: Micros, usual: f64, trial: Trial) {
        self.charge(now, usual);
        self.budget.trial_out |= trial == Trial::Pool;
    }

    /// Counts the end of an attempt: `elapsed` is the time it was out, `usual` what was charged for it.
    pub(crate) fn ended(&mut self, now: Micros, elapsed: f64, usual: f64, trial: Trial) {
        self.charge(now, elapsed - usual);
        self.budget.trial_out &= trial != Trial::Pool;
    }

    /// A probe request has ended: served, it raises the limit, else the next one waits.
    pub(crate) fn probed(&mut self, now: Micros, served: bool, first_backoff: Micros) {
        if served {
            self.budget.trial_served();
        } else {
            self.budget.back_off(now, first_backoff);
        }
    }

    /// An answer, at whichever server: strain lowers the limit, counted from what was used of it.
    pub(crate) fn answered(&mut self, now: Micros, strain: f64, elapsed: f64, usual: f64) {
        let gap = now.saturating_sub(self.heard) as f64 / RATE_MEMORY;
        self.heard = now;
        self.used = self.used * (-gap).exp() + elapsed / RATE_MEMORY;
        self.strain += (strain - self.strain) * SMOOTHING.max(1.0 - (-gap).exp());
        self.answers += 1;
        if self.strain > 1.0 && enough(self.answers, now.saturating_sub(self.changed), usual) {
            let used = self.used / (f64::from(self.budget.steps) * self.up.max(1.0));
            self.budget.concurrency = self.budget.concurrency.min(used.max(self.budget.floor));
            self.budget.cut(1.0 / self.strain, false);
            self.strain = self.strain.sqrt();
            (self.answers, self.changed) = (0, now);
        }
    }
}
