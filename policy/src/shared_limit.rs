//! The concurrency limit over all servers, used where the limit for a single server would be far below one
//! call. With a thousand balancers that each send a call, a server would be overloaded, and each balancer
//! sends to it too rarely to learn what it can take.
//!
//! The limit is raised by probe requests, as long as it is used and responses take hardly longer than
//! unloaded ones, and falls as they take longer. If it is at least a few calls, it bounds the number in
//! flight. Below that it bounds the mean number, by a leaky bucket of time in flight that drains at the rate
//! of the limit.

use crate::api::Micros;
use crate::call::ProbeTarget;
use crate::concurrency_limit::{enough_feedback, ConcurrencyLimit, RATE_TIME_CONSTANT, SMOOTHING};
use crate::in_flight::InFlight;

/// Initial limit of a server, in calls, below which all servers share one. Rounded, it would be zero.
const SHARED_LIMIT_THRESHOLD: f64 = 0.5;
/// Calls of usual response time that may exceed a small limit.
const BURST_CALLS: f64 = 2.0;
/// Minimum after deep cuts, as a share of the initial limit.
const FLOOR_SHARE: f64 = 0.05;
/// The limit grows up to this multiple of the mean number in flight, so that bursts are bounded.
const MAX_LIMIT_PER_USE: f64 = 1.5;
/// Position of the response time between the unloaded time (0) and the overload threshold (1) up to which the
/// limit may grow.
const GROW_UNTIL: f64 = 0.4;
/// Position of the response time, on the scale of [`GROW_UNTIL`], beyond which the limit is cut.
const CUT_FROM: f64 = 0.6;
/// A call is late beyond this multiple of the overload threshold.
pub(crate) const LATE_FACTOR: f64 = 1.5;
/// Threshold of the moving average of the share of late responses. If the average is below it, none of about
/// the last twenty responses was late.
const LATE_SHARE_THRESHOLD: f64 = 0.012;
/// Bounds the pause between calls that a small limit causes: it is no longer than with this share of the
/// initial limit.
const PAUSE_LIMIT_SHARE: f64 = 0.25;
/// Maximum limit, in calls in flight, that is assumed for the longest pause between calls.
const PAUSE_MAX_CALLS: f64 = 0.5;

/// A response, as input to the limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Response {
    /// How long it took, in microseconds.
    pub(crate) elapsed: f64,
    /// Response time relative to the overload threshold, capped.
    pub(crate) overload: f64,
    /// Unloaded response time relative to the overload threshold.
    pub(crate) unloaded_ratio: f64,
    /// Whether it took longer than [`LATE_FACTOR`] times the overload threshold.
    pub(crate) is_late: bool,
}

/// The limit with its probe request and backoff, shared by all servers.
#[derive(Debug, Default)]
pub(crate) struct SharedLimit {
    pub(crate) limit: ConcurrencyLimit,
    /// The initial limit, and the minimum after mild cuts, in calls per server.
    initial: f64,
    mild_floor: f64,
    /// Number of servers that accept calls.
    pub(crate) servers_up: f64,
    in_flight: InFlight,
    /// Time in flight by which a small limit has been exceeded, in microseconds, and when it was last
    /// updated.
    debt: f64,
    charged_at: Micros,
    last_sent_at: Micros,
    /// Mean number of calls in flight that were answered.
    pub(crate) mean_in_flight: f64,
    /// Means of [`Response::overload`] and [`Response::unloaded_ratio`], and the share of late responses.
    overload: f64,
    unloaded_ratio: f64,
    late_share: f64,
    /// Responses since the last cut, and when that was.
    responses_since_cut: u32,
    cut_at: Micros,
    last_response_at: Micros,
}

impl SharedLimit {
    /// Creates the limit for one of `balancers` balancers; `None` if each server has a limit of its own.
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

    /// Maximum number of calls in flight.
    fn total(&self) -> f64 {
        f64::from(self.limit.steps) * self.limit.concurrency * self.servers_up
    }

    /// Whether the limit bounds the number of calls in flight instead of their mean.
    fn bounds_count(&self) -> bool {
        self.total() >= BURST_CALLS + 1.0
    }

    /// Whether calls that have been in flight for long are a sign of overload. If no response is late, they
    /// are calls that never end or that went to silent servers, and must not block all other calls.
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

    /// Adds time in flight, in microseconds; negative if a call took less than was charged.
    fn charge(&mut self, now: Micros, time: f64) {
        let drained = self.total() * now.saturating_sub(self.charged_at) as f64;
        self.debt = if self.bounds_count() { 0.0 } else { (self.debt - drained).max(0.0) + time };
        self.charged_at = now;
    }

    /// Whether calls have to wait. `usual_latency` is the longest usual response time, in microseconds.
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

    /// Longest pause between two calls, in microseconds, however far the limit has been exceeded.
    fn max_pause(&self, usual_latency: f64) -> Micros {
        let calls = (self.initial * self.servers_up * PAUSE_LIMIT_SHARE).min(PAUSE_MAX_CALLS);
        (usual_latency / calls.max(f64::MIN_POSITIVE)) as Micros
    }

    /// Whether a probe request may be sent although the limit is reached.
    pub(crate) fn may_probe(&self, now: Micros) -> bool {
        self.overload <= 1.0 && self.limit.probe_ready(now)
    }

    /// Counts a call that is sent. `usual_latency` is its class's usual response time, in microseconds.
    pub(crate) fn sent(&mut self, now: Micros, usual_latency: f64, late_at: Micros, probe: ProbeTarget) {
        self.in_flight.sent(late_at);
        self.charge(now, usual_latency);
        self.last_sent_at = now;
        self.limit.probe_in_flight |= probe == ProbeTarget::Shared;
    }

    /// Counts the end of an attempt that was in flight for `elapsed` and was charged with `usual_latency`,
    /// both in microseconds.
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

    /// Handles the end of a probe request: if it was served, it may raise the limit; otherwise a backoff
    /// starts.
    pub(crate) fn probe_ended(&mut self, now: Micros, served: bool, first_backoff: Micros) {
        if !served {
            self.limit.back_off(now, first_backoff);
        } else if self.may_grow() {
            self.limit.raise();
        }
    }

    /// Whether the limit may be raised: it is used, and responses take hardly longer than unloaded ones.
    fn may_grow(&self) -> bool {
        let total = self.total();
        let not_overloaded =
            total < self.mild_floor * self.servers_up || self.overload <= self.overload_at(GROW_UNTIL);
        not_overloaded && total <= self.mean_in_flight * MAX_LIMIT_PER_USE
    }

    /// The overload at a position between the unloaded response time (0) and the overload threshold (1).
    fn overload_at(&self, share: f64) -> f64 {
        self.unloaded_ratio + share * (1.0 - self.unloaded_ratio)
    }

    /// Records a response of any server and lowers the limit under overload. `usual_latency` is the longest
    /// usual response time, in microseconds.
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

    /// Cuts the limit after responses have reached the overload threshold, starting from what is in use.
    fn cut_deep(&mut self, now: Micros) {
        let concurrency_in_use = self.mean_in_flight / self.steps_on_all_servers();
        self.limit.concurrency = self.limit.concurrency.min(concurrency_in_use.max(self.limit.floor));
        self.limit.reduce(1.0 / self.overload, false);
        self.overload = self.overload.sqrt();
        (self.responses_since_cut, self.cut_at) = (0, now);
    }

    /// Cuts the limit when responses begin to take longer, down to the mild floor: less than is in use is
    /// sufficient.
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
