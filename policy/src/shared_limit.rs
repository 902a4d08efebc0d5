//! The concurrency limit over all servers together, where one server's own would be far under one call: a
//! thousand balancers with a call each would crowd a server, and each balancer meets it too seldom to learn
//! what it takes.
//!
//! It grows by probe requests, as far as it is used and while answers are hardly longer than unloaded ones,
//! and falls as they become longer. From a few calls on it bounds the number in flight; below that it bounds
//! their mean, by a bucket of time in flight that the limit drains.

use crate::api::Micros;
use crate::call::ProbeTarget;
use crate::concurrency_limit::{enough_feedback, ConcurrencyLimit, RATE_TIME_CONSTANT, SMOOTHING};
use crate::in_flight::InFlight;

/// A server's first limit, in calls, under which all servers share one: it would round to none.
const SHARED_LIMIT_THRESHOLD: f64 = 0.5;
/// Calls of a usual answer time that may go ahead of a small limit.
const BURST_CALLS: f64 = 2.0;
/// What deep cuts leave at the least, as a share of the first limit.
const FLOOR_SHARE: f64 = 0.05;
/// Up to how many times what is used the limit grows, so that a burst meets a bound.
const MAX_LIMIT_PER_USE: f64 = 1.5;
/// How far answers may have come from the unloaded time to what is allowed, as a share of the way: until the
/// limit stops growing, and until it is cut.
const GROW_UNTIL: f64 = 0.4;
const CUT_FROM: f64 = 0.6;
/// A call is late beyond this many times what is allowed.
pub(crate) const LATE_FACTOR: f64 = 1.5;
/// Share of late answers under which none of the last twenty or so was late.
const LATE_SHARE_THRESHOLD: f64 = 0.012;
/// A small limit makes calls wait for no longer than a call in flight at this share of the first limit would,
/// and at this many calls in flight at the most.
const PAUSE_LIMIT_SHARE: f64 = 0.25;
const PAUSE_MAX_CALLS: f64 = 0.5;

/// An answer, as the limit is taught by it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Response {
    /// How long it took, in microseconds.
    pub(crate) elapsed: f64,
    /// What it took over what is allowed, as it counts.
    pub(crate) overload: f64,
    /// What an unloaded server takes over what is allowed.
    pub(crate) unloaded_ratio: f64,
    /// Whether it took longer than [`LATE_FACTOR`] what is allowed.
    pub(crate) is_late: bool,
}

/// The limit, with the probe request and the backoff that all servers share.
#[derive(Debug, Default)]
pub(crate) struct SharedLimit {
    pub(crate) limit: ConcurrencyLimit,
    /// The first limit, and what mild cuts leave at the least, in calls a server.
    initial: f64,
    mild_floor: f64,
    /// Servers that take calls.
    pub(crate) servers_up: f64,
    in_flight: InFlight,
    /// Time in flight that was taken ahead of a small limit, in microseconds, and when that was reckoned.
    debt: f64,
    charged_at: Micros,
    last_sent_at: Micros,
    /// Mean number of answered calls in flight.
    pub(crate) mean_in_flight: f64,
    /// Means of [`Response::overload`] and [`Response::unloaded_ratio`], and the share of late answers.
    overload: f64,
    unloaded_ratio: f64,
    late_share: f64,
    /// Answers since the last cut, and when that was.
    responses_since_cut: u32,
    cut_at: Micros,
    last_response_at: Micros,
}

impl SharedLimit {
    /// The limit for one of so many balancers; `None`: each server has its own.
    pub(crate) fn new(balancers: u32) -> Option<Self> {
        let mut limit = ConcurrencyLimit::new(balancers);
        let (initial, mild_floor) = (limit.concurrency, limit.floor);
        limit.floor = initial * FLOOR_SHARE;
        (initial < SHARED_LIMIT_THRESHOLD).then(|| SharedLimit {
            limit,
            initial,
            mild_floor,
            ..SharedLimit::default()
        })
    }

    /// Calls in flight that it allows.
    fn total(&self) -> f64 {
        f64::from(self.limit.steps) * self.limit.concurrency * self.servers_up
    }

    /// Whether it bounds the number of calls in flight, and not their mean.
    fn bounds_count(&self) -> bool {
        self.total() >= BURST_CALLS + 1.0
    }

    /// Whether calls that are out for long tell of crowded servers. Where no answer is late they are work
    /// that never ends, or at servers that have fallen silent, and must not shut out all other calls.
    fn counts_late_calls(&self) -> bool {
        self.late_share > LATE_SHARE_THRESHOLD
    }

    fn counted_in_flight(&self, now: Micros) -> u32 {
        if self.counts_late_calls() {
            self.in_flight.total()
        } else {
            self.in_flight.not_late(now)
        }
    }

    /// Counts time in flight, in microseconds; negative where a call took less than was charged before.
    fn charge(&mut self, now: Micros, time: f64) {
        let drained = self.total() * now.saturating_sub(self.charged_at) as f64;
        self.debt = if self.bounds_count() { 0.0 } else { (self.debt - drained).max(0.0) + time };
        self.charged_at = now;
    }

    /// Whether calls have to wait: `usual_latency` is the longest usual answer time, in microseconds.
    pub(crate) fn is_full(&self, now: Micros, usual_latency: f64) -> bool {
        if self.servers_up <= 0.0 {
            return false;
        }
        if self.bounds_count() {
            return f64::from(self.counted_in_flight(now)) >= self.total();
        }
        let drain_time =
            (self.debt - BURST_CALLS * usual_latency).max(0.0) / self.total().max(f64::MIN_POSITIVE);
        let drained_at = self.charged_at.saturating_add(drain_time as Micros);
        drained_at.min(self.last_sent_at.saturating_add(self.max_pause(usual_latency))) > now
    }

    /// Longest pause between two calls, in microseconds, whatever was taken ahead of the limit.
    fn max_pause(&self, usual_latency: f64) -> Micros {
        let calls = (self.initial * self.servers_up * PAUSE_LIMIT_SHARE).min(PAUSE_MAX_CALLS);
        (usual_latency / calls.max(f64::MIN_POSITIVE)) as Micros
    }

    /// Whether a probe request may pass the full limit.
    pub(crate) fn may_probe(&self, now: Micros) -> bool {
        self.overload <= 1.0 && self.limit.probe_ready(now)
    }

    /// Counts a call that is sent: `usual_latency` is its class's usual answer time, in microseconds.
    pub(crate) fn sent(&mut self, now: Micros, usual_latency: f64, late_at: Micros, probe: ProbeTarget) {
        self.in_flight.sent(late_at);
        self.charge(now, usual_latency);
        self.last_sent_at = now;
        self.limit.probe_in_flight |= probe == ProbeTarget::Shared;
    }

    /// Counts the end of an attempt that was out for `elapsed` and was charged by `usual_latency`, in
    /// microseconds.
    pub(crate) fn ended(
        &mut self,
        now: Micros,
        elapsed: f64,
        usual_latency: f64,
        late_at: Micros,
        probe: ProbeTarget,
    ) {
        self.in_flight.ended(late_at);
        if now < late_at || self.counts_late_calls() {
            self.charge(now, elapsed - usual_latency);
        }
        self.limit.probe_in_flight &= probe != ProbeTarget::Shared;
    }

    /// A probe request has ended: served, it raises the limit, else the next one waits.
    pub(crate) fn probe_ended(&mut self, now: Micros, served: bool, first_backoff: Micros) {
        if !served {
            self.limit.back_off(now, first_backoff);
        } else if self.may_grow() {
            self.limit.raise();
        }
    }

    /// Whether the limit may be raised: it is used, and answers are hardly longer than unloaded ones.
    fn may_grow(&self) -> bool {
        let total = self.total();
        let not_overloaded =
            total < self.mild_floor * self.servers_up || self.overload <= self.overload_at(GROW_UNTIL);
        not_overloaded && total <= self.mean_in_flight * MAX_LIMIT_PER_USE
    }

    /// The strain at a share of the way from the unloaded answer time to what is allowed.
    fn overload_at(&self, share: f64) -> f64 {
        self.unloaded_ratio + share * (1.0 - self.unloaded_ratio)
    }

    /// An answer, at whichever server: strain lowers the limit. `usual_latency` is the longest usual answer
    /// time.
    pub(crate) fn response_received(&mut self, now: Micros, response: Response, usual_latency: f64) {
        let gap = now.saturating_sub(self.last_response_at) as f64 / RATE_TIME_CONSTANT;
        self.last_response_at = now;
        self.mean_in_flight = self.mean_in_flight * (-gap).exp() + response.elapsed / RATE_TIME_CONSTANT;
        self.overload += (response.overload - self.overload) * SMOOTHING.max(1.0 - (-gap).exp());
        self.unloaded_ratio += (response.unloaded_ratio - self.unloaded_ratio) * SMOOTHING;
        self.late_share += (f64::from(u8::from(response.is_late)) - self.late_share) * SMOOTHING;
        self.responses_since_cut += 1;
        if !enough_feedback(self.responses_since_cut, now.saturating_sub(self.cut_at), usual_latency) {
            return;
        }
        if self.overload > 1.0 {
            self.cut_deep(now);
        } else if self.overload > self.overload_at(CUT_FROM)
            && self.total() > self.mild_floor * self.servers_up
        {
            self.cut_mildly(now);
        }
    }

    /// Answers take all that is allowed: the cut begins at what is used.
    fn cut_deep(&mut self, now: Micros) {
        let concurrency_in_use = self.mean_in_flight / self.steps_on_all_servers();
        self.limit.concurrency = self.limit.concurrency.min(concurrency_in_use.max(self.limit.floor));
        self.limit.reduce(1.0 / self.overload, false);
        self.overload = self.overload.sqrt();
        (self.responses_since_cut, self.cut_at) = (0, now);
    }

    /// Answers become longer: less than is in use will do, down to the mild floor.
    fn cut_mildly(&mut self, now: Micros) {
        let floor = self.mild_floor * self.servers_up;
        let from = self.total().min((self.mean_in_flight * MAX_LIMIT_PER_USE).max(floor));
        let to = from * self.overload_at(CUT_FROM) / self.overload;
        self.limit.concurrency = to.max(floor) / self.steps_on_all_servers();
        (self.responses_since_cut, self.cut_at) = (0, now);
    }

    fn steps_on_all_servers(&self) -> f64 {
        f64::from(self.limit.steps) * self.servers_up.max(1.0)
    }
}
