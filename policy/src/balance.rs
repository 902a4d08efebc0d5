//! The balancer's decisions. Its interface (settings, events, actions) is `src/api.rs`; the mechanism and the
//! condition for each departure from it are described in `docs/design.md`. Concurrency limits are in
//! `src/concurrency_limit.rs` and `src/shared_limit.rs`.
//!
//! A call goes to the less loaded of two random servers that are below their concurrency limits. If all are
//! at their limits, the call waits in the queue or exceeds a limit as the probe request that may raise it. If
//! all servers are ejected, it is refused.

use crate::api::*;
use crate::call::{Attempt, Call, ClassLatency, ProbeTarget, Route};
use crate::concurrency_limit::{enough_feedback, ConcurrencyLimit, RATE_TIME_CONSTANT, SMOOTHING};
use crate::list_lease::ListLease;
use crate::shared_limit::{SharedLimit, LATE_FACTOR};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod outcomes;
mod peers;
mod server_list;
mod slow_start;
mod subscription;
mod subset;

// Durations are expressed as ratios to the classes' latency targets or to observed response times.

/// Time (us) within which a class's unloaded response time may rise to its current mean.
const UNLOADED_DRIFT_TIME: f64 = 120e6;
/// Assumed response time of a class without samples, as a share of the time that a call has.
const UNKNOWN_LATENCY_SHARE: f64 = 0.25;
/// First backoff, as a share of the longest latency target.
const FIRST_BACKOFF_SHARE: f64 = 0.25;
/// New calls are refused once the head of the queue has waited for this share of their latency target.
const QUEUE_WAIT_SHARE: f64 = 0.1;
/// Number of usual response times that must remain before the latency target: for a hedge, and for a call of
/// high value to be queued.
const SPARE_LATENCIES: f64 = 2.0;
/// Retry tokens (for retries and hedges) that each call adds, and the maximum that accumulates.
const RETRY_TOKENS_PER_CALL: f64 = 0.2;
const MAX_RETRY_TOKENS: f64 = 20.0;
/// Queued calls that are examined beyond the first on each event. It bounds the CPU cost of a long queue.
const QUEUE_SCAN_LIMIT: usize = 16;
/// Time constant (us) of the cost of a server, used where the limit is shared and each balancer rarely sends
/// to a server.
const COST_TIME_CONSTANT: f64 = 4e6;
/// The more expensive of two servers is chosen less often, by the ratio of their costs to this power.
const COST_EXPONENT: i32 = 6;
/// Doublings of a zone's backoff until it is as long as the first backoff of a server. It starts low, as one
/// failed connection is weak evidence about a zone.
const ZONE_BACKOFF_DOUBLINGS: u32 = 3;

type Actions = Vec<Action>;

/// A server and what this balancer has observed about it.
#[derive(Debug, Default)]
struct Server {
    id: ServerId,
    zone: ZoneId,
    cell: CellId,
    listed: bool,
    started: Micros,
    in_flight: u32,
    limit: ConcurrencyLimit,
    weight: f64,
    /// Smoothed response time, relative to the usual response times of the calls' classes.
    relative_latency: f64,
    /// Smoothed response time, relative to the overload threshold of the calls' classes. Above 1 the server
    /// is overloaded.
    overload: f64,
    responses_since_change: u32,
    /// Load from the last report, on the same scale as `overload`.
    reported_overload: f64,
    /// When the limit last changed, when an attempt last ended, and when a call was last served.
    limit_changed_at: Micros,
    last_ended_at: Micros,
    last_served_at: Micros,
    /// Smoothed share of failures.
    failure_rate: f64,
    /// After a rejection, a failure or a time-out the server gets no calls before this time, and none before
    /// this balancer's count of served calls has reached `cooldown_until_served`, unless a long time passes.
    not_before: Micros,
    cooldown_until_served: u64,
    /// Time-outs, less the calls served since. Each of them doubles the cooldown.
    timeouts: u32,
    /// A cold server gets its next call once this balancer has served so many calls, or at this time,
    /// whichever comes first.
    cold_until_served: u64,
    cold_until: Micros,
    /// Determines when the server gets its first call; `None` once that has been sent.
    first_call: Option<slow_start::FirstCall>,
    /// If capacity is shared within the process: how many calls of this balancer may be in flight, and
    /// whether a probe request may exceed that.
    allocation: Option<(u32, bool)>,
    /// When the last load report was made.
    reported_at: Micros,
}

impl Server {
    fn new(entry: &Entry, settings: &Settings) -> Self {
        let &Entry { server: id, zone, cell, started, .. } = entry;
        let (limit, allocation) =
            (ConcurrencyLimit::new(settings.balancers), settings.shares_capacity.then_some((0, false)));
        Server {
            id,
            zone,
            cell,
            started,
            weight: 1.0,
            relative_latency: 1.0,
            limit,
            allocation,
            ..Server::default()
        }
    }

    /// Mean number of calls in flight that the limit currently permits.
    fn effective_limit(&self, now: Micros, rules: &Rules) -> f64 {
        f64::from(self.limit.steps) * self.limit.concurrency * self.warmth(now, rules)
    }

    fn may_send_probe(&self) -> bool {
        self.allocation.is_none_or(|(_, probe)| probe)
    }

    /// Expected cost of one more call, relative to the usual response time: recent response times and
    /// reported load, both decaying with age, times the calls of this balancer that would then be in flight.
    fn cost(&self, now: Micros) -> f64 {
        let decay = |at: Micros| (-(now.saturating_sub(at) as f64) / COST_TIME_CONSTANT).exp();
        let relative = 1.0
            + (self.relative_latency - 1.0) * decay(self.last_ended_at)
            + self.reported_overload * decay(self.reported_at);
        relative * f64::from(1 + self.in_flight)
    }

    /// Share of its capacity that the server has at least, according to the rules for cold servers.
    fn warmth(&self, now: Micros, rules: &Rules) -> f64 {
        let age = now.saturating_sub(self.started);
        if self.started == 0 || age >= rules.cold_time {
            return 1.0;
        }
        rules.cold_share + (1.0 - rules.cold_share) * age as f64 / rules.cold_time as f64
    }

    fn is_full(&self, now: Micros, rules: &Rules) -> bool {
        let own_limit = || (self.effective_limit(now, rules) + 0.5).max(1.0) as u32;
        self.in_flight >= self.allocation.map_or_else(own_limit, |(concurrency, _)| concurrency)
    }

    fn may_receive(&self, now: Micros, served: u64, rules: &Rules) -> bool {
        self.slow_start_allows(now, served, rules) && self.is_ready(now, served)
    }

    /// Whether the server is warm, or its next call during slow start is due.
    fn slow_start_allows(&self, now: Micros, served: u64, rules: &Rules) -> bool {
        served >= self.cold_until_served || now >= self.cold_until || self.warmth(now, rules) >= 1.0
    }

    fn is_ready(&self, now: Micros, served: u64) -> bool {
        self.takes_calls(now) && self.has_cooled_down(now, served)
    }

    /// Whether the server is listed and its pause after a rejection is over.
    fn takes_calls(&self, now: Micros) -> bool {
        self.listed && now >= self.not_before
    }

    /// Whether the cooldown after time-outs is over, by the count of served calls or by time.
    fn has_cooled_down(&self, now: Micros, served: u64) -> bool {
        let span = 3.0 * RATE_TIME_CONSTANT * f64::from(1 << self.timeouts);
        served >= self.cooldown_until_served || now.saturating_sub(self.last_ended_at) as f64 >= span
    }

    /// Whether a call may exceed the limit, to find out whether the server can take more.
    fn may_be_probed(&self, now: Micros, longest: f64, rules: &Rules) -> bool {
        let measured = self.limit_changed_at == 0 || self.has_settled(now, longest);
        self.limit.probe_ready(now) && self.overload <= 1.0 && measured && self.warmth(now, rules) >= 1.0
    }

    fn is_usable(&self, now: Micros, served: u64, rules: &Rules) -> bool {
        self.limit.steps > 0 && self.may_receive(now, served, rules)
    }

    fn has_settled(&self, now: Micros, usual_latency: f64) -> bool {
        let responses = self.responses_since_change;
        responses >= self.in_flight.max(1)
            && enough_feedback(responses, now.saturating_sub(self.limit_changed_at), usual_latency)
    }

    fn may_be_reinstated(&self, now: Micros, served: u64, rules: &Rules) -> bool {
        self.limit.steps == 0
            && self.limit.probe_ready(now)
            && self.may_receive(now, served, rules)
            && self.may_send_probe()
    }
}

impl Call {
    fn target_at(&self) -> Micros {
        let target =
            if self.class.late_value > 0.0 { self.class.deadline } else { self.class.latency_target };
        self.deadline.min(self.arrived.saturating_add(target))
    }

    /// Whether an attempt of this call may be sent to this server. This depends on all attempts so far, not
    /// just on the last one.
    fn may_run_on(&self, now: Micros, server: &Server, tick: Micros) -> bool {
        match (self.binding_attempt(), self.class.idempotency) {
            (None, _) | (_, Idempotency::Free) => true,
            (Some(_), Idempotency::SingleShot) => false,
            (Some(first), Idempotency::Guarded { scope, window }) => {
                let inside = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => first.zone == server.zone,
                    DedupScope::Cell => first.cell == server.cell,
                };
                inside && now.saturating_add(tick) < first.sent_at.saturating_add(window)
            }
        }
    }

    fn may_be_refused(&self) -> bool {
        let harmless = matches!(
            self.class.idempotency,
            Idempotency::Free | Idempotency::Guarded { scope: DedupScope::All, .. }
        );
        harmless || self.binding_attempt().is_none()
    }
}

impl ClassLatency {
    fn record(&mut self, now: Micros, elapsed: f64) {
        self.samples = self.samples.saturating_add(1);
        let sample = if self.samples > 8 { elapsed.min(8.0 * self.unloaded) } else { elapsed };
        self.mean += (sample - self.mean) * (1.0 / f64::from(self.samples)).max(SMOOTHING / 2.0);
        let drift = (now.saturating_sub(self.updated_at) as f64 / UNLOADED_DRIFT_TIME).min(1.0);
        self.updated_at = now;
        let drifted =
            if self.samples <= 8 { self.mean } else { self.unloaded + (self.mean - self.unloaded) * drift };
        self.unloaded = self.mean.min(drifted).max(1.0);
    }
}

/// The servers that a call may go to, as indices: all of the subset, those below their limit, and those that
/// may get a probe request.
struct Candidates {
    eligible: Vec<usize>,
    below_limit: Vec<usize>,
    probes: Vec<usize>,
}

/// The balancer of one client proxy.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    random: Pcg32,
    servers: Vec<Server>,
    shared_limit: Option<SharedLimit>,
    /// By zone: consecutive connection failures, and until when the zone is avoided.
    zone_failures: BTreeMap<ZoneId, (u32, Micros)>,
    calls: BTreeMap<CallId, Call>,
    queue: VecDeque<CallId>,
    wakes: BTreeSet<(Micros, CallId)>,
    latencies: Vec<ClassLatency>,
    tenant_shares: Vec<f64>,
    retry_tokens: f64,
    listed_count: usize,
    ejected_count: usize,
    served: u64,
    timer_at: Micros,
    subscribe_at: Micros,
    subscribe_failures: u32,
    max_subscribe_pause: Micros,
    lease: ListLease,
    subset_reduction: subset::SubsetReduction,
}

impl Balancer {
    /// Creates a balancer whose random numbers are all derived from `seed`.
    pub fn new(seed: u64, settings: Settings) -> Self {
        let latency = |c: &Class| ClassLatency {
            mean: c.latency_target as f64 * UNKNOWN_LATENCY_SHARE,
            unloaded: c.latency_target as f64 * UNKNOWN_LATENCY_SHARE,
            ..ClassLatency::default()
        };
        Balancer {
            random: Pcg32::seed_from_u64(seed),
            latencies: settings.classes.iter().map(latency).collect(),
            tenant_shares: vec![0.0; settings.tenants.len()],
            shared_limit: SharedLimit::new(settings.balancers),
            lease: ListLease::new(&settings.rules),
            settings,
            servers: Vec::new(),
            zone_failures: BTreeMap::new(),
            calls: BTreeMap::new(),
            queue: VecDeque::new(),
            wakes: BTreeSet::new(),
            retry_tokens: MAX_RETRY_TOKENS,
            listed_count: 0,
            ejected_count: 0,
            served: 0,
            timer_at: Micros::MAX,
            subscribe_at: Micros::MAX,
            subscribe_failures: 0,
            max_subscribe_pause: Micros::MAX,
            subset_reduction: subset::SubsetReduction::default(),
        }
    }

    /// Handles an event at time `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        // A call that joins a non-empty queue cannot be sent before the others, so the queue needs no
        // processing. Under overload this is the common case.
        let joins_queue = matches!(event, Event::Request { .. }) && !self.queue.is_empty();
        // New allocations are used before calls that waited for them time out.
        let allocated = matches!(event, Event::Allocations { .. });
        match event {
            Event::Start if self.settings.pull_list => self.subscribe_at_start(now, actions),
            Event::ServerList { kind, entries } => self.update_server_list(now, kind, &entries),
            Event::Freshness(freshness) => self.update_freshness(now, freshness),
            Event::Request { call, class, tenant, time_left, .. } if !self.calls.contains_key(&call) => {
                self.register_call(now, call, class, time_left);
                self.admit(now, call, tenant, actions);
                self.hasten_subscription(now);
            }
            Event::Outcome { call, attempt, outcome, elapsed, closed, load } => {
                self.record_load_report(now, call, attempt, load);
                if let Some(ended) = self.end_attempt(call, attempt, outcome) {
                    self.record_outcome(now, ended, outcome, elapsed, actions);
                    self.after_attempt(now, call, outcome, closed, actions);
                }
            }
            Event::Streaming { call, attempt } => {
                // The client is receiving the response, so the call needs no further attempt.
                self.end_call(call);
                self.cancel_others(call, Some(attempt), actions);
            }
            Event::Detached { call } if self.calls.get(&call).is_some_and(|c| !c.ended) => {
                self.end_call(call);
                self.calls.get_mut(&call).into_iter().for_each(|c| c.detached = true);
                self.remove_if_finished(call);
            }
            Event::Extended { call: id, time_left } => {
                // A queued call keeps its deadline: it has not run, so a client that waits longer can send it
                // again.
                let extendable = self.calls.get_mut(&id).filter(|c| (!c.ended || c.detached) && !c.queued);
                if let Some(call) = extendable {
                    (call.arrived, call.deadline) = (now, call.deadline.max(now.saturating_add(time_left)));
                    call.ended = false;
                    if std::mem::take(&mut call.detached) {
                        self.schedule_hedge(now, id);
                    }
                }
            }
            Event::Cancelled { call } => {
                self.end_call(call);
                self.cancel_others(call, None, actions);
                self.remove_if_finished(call);
            }
            // Only the timer that is currently set counts. Otherwise each outdated timer would set another
            // one forever.
            Event::Timer if now >= self.timer_at => self.timer_at = Micros::MAX,
            Event::Allocations { allocations } => {
                for Allocation { server, concurrency, probe } in allocations {
                    let server_index = self.servers.binary_search_by_key(&server, |s| s.id);
                    server_index
                        .into_iter()
                        .for_each(|at| self.servers[at].allocation = Some((concurrency, probe)));
                }
            }
            Event::Observed { server, observation, age } => self.observed(now, server, observation, age),
            Event::Timer | Event::Start | Event::HealthChecked { .. } | Event::Request { .. } => {}
            Event::Detached { .. } => {}
        }
        if allocated {
            self.drain_queue(now, actions);
        }
        self.run_due_wakes(now, actions);
        if !joins_queue && !allocated {
            self.drain_queue(now, actions);
        }
        if now >= self.subscribe_at {
            self.subscribe_at = Micros::MAX;
            actions.push(Action::Subscribe);
        }
        self.set_timer(now, actions);
    }

    fn register_call(&mut self, now: Micros, id: CallId, class: ClassId, time_left: Micros) {
        // A class that the settings do not define is not retried and has the client's deadline as its latency
        // target.
        let unknown = Class { latency_target: time_left, deadline: time_left, ..Class::default() };
        let spec = self.settings.classes.get(class.0).copied().unwrap_or(unknown);
        let deadline = now.saturating_add(time_left);
        self.calls
            .insert(id, Call { class: spec, class_id: class.0, arrived: now, deadline, ..Call::default() });
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_PER_CALL).min(MAX_RETRY_TOKENS);
        self.latencies.iter_mut().skip(class.0).take(1).for_each(|p| p.requests += 1.0);
    }

    /// Queues a new call, or refuses it if it would wait too long.
    fn admit(&mut self, now: Micros, id: CallId, tenant: Option<TenantId>, actions: &mut Actions) {
        let exceeds_share = tenant.is_some_and(|t| self.exceeds_share(t));
        if self.lease.has_expired(now) {
            return self.give_up(id, self.first_backoff(), FailureReason::ListExpired, actions);
        }
        let waited = self.queue.front().map_or(0, |head| now.saturating_sub(self.calls[head].arrived));
        if waited > self.wait_limit(id, exceeds_share) {
            self.give_up(id, waited, FailureReason::QueueFull, actions);
        } else {
            self.enqueue(now, id, false);
        }
    }

    /// Longest time that the head of the queue may have waited for this call to be queued. Without a bound,
    /// all calls would be served late. Classes whose value per work outweighs the weight of the worst class
    /// wait longest.
    fn wait_limit(&self, id: CallId, exceeds_share: bool) -> Micros {
        let call = &self.calls[&id];
        let usual_latency = self.expected_latency(call);
        let target = call.target_at().saturating_sub(call.arrived) as f64;
        let limit = match exceeds_share {
            true => target * QUEUE_WAIT_SHARE / 2.0,
            false if self.is_high_value(call) => {
                (target * QUEUE_WAIT_SHARE).max(target - SPARE_LATENCIES * usual_latency)
            }
            false => target * QUEUE_WAIT_SHARE,
        };
        limit.min(target - usual_latency).max(0.0) as Micros
    }

    /// Whether the value per work of the call's class, relative to the mean over all calls, is so high that
    /// it outweighs the weight of the worst class in the score.
    fn is_high_value(&self, call: &Call) -> bool {
        let all = self.latencies.iter().zip(&self.settings.classes);
        let (value, work) =
            all.fold((0.0, 0.0), |(w, t), (p, c)| (w + p.requests * c.value, t + p.requests * p.unloaded));
        let unloaded = self.latencies.get(call.class_id).map_or(f64::MAX, |p| p.unloaded);
        let density = call.class.value / unloaded * work / value.max(f64::MIN_POSITIVE);
        let weights = &self.settings.score_weights;
        weights.overall * density > weights.overall + weights.worst_class
    }

    /// Counts a call of the tenant. Returns whether the tenant exceeds its share of this balancer's calls.
    fn exceeds_share(&mut self, tenant: TenantId) -> bool {
        let Some(share) = self.settings.tenants.get(tenant.0).map(|t| t.share) else { return true };
        for (index, recent) in self.tenant_shares.iter_mut().enumerate() {
            *recent += (if index == tenant.0 { 1.0 } else { 0.0 } - *recent) * SMOOTHING / 10.0;
        }
        let all: f64 = self.tenant_shares.iter().sum();
        self.tenant_shares[tenant.0] > all * share * 1.1
    }

    fn usual_latency(&self, class_id: usize, latency_target: Micros) -> f64 {
        self.latencies.get(class_id).map_or(latency_target as f64 * UNKNOWN_LATENCY_SHARE, |p| p.mean)
    }

    /// Expected response time of this call, in microseconds: the mean of its class, if there are samples.
    /// Otherwise a share of the time that the call has, as the class's latency target may be longer than its
    /// client waits.
    fn expected_latency(&self, call: &Call) -> f64 {
        match self.latencies.get(call.class_id) {
            Some(latency) if latency.samples > 0 => latency.mean,
            _ => call.target_at().saturating_sub(call.arrived) as f64 * UNKNOWN_LATENCY_SHARE,
        }
    }

    /// Queues a call. A retry is older than the queued calls and goes to the front.
    fn enqueue(&mut self, now: Micros, id: CallId, is_retry: bool) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.queued = true;
        let call = &self.calls[&id];
        // The call leaves the queue when a usual response would be too late, and always before the client's
        // deadline. It is not given up within the current event, as capacity requested from other balancers
        // of the process arrives with the following events.
        let tick = self.settings.tick.max(1);
        let last = call.deadline.saturating_sub(tick).max(now);
        let latest_start = call.target_at().saturating_sub(self.expected_latency(call) as Micros);
        let give_up_at = latest_start.max(now.saturating_add(tick)).min(last).max(1);
        self.set_wake(id, give_up_at);
        self.queue.insert(if is_retry { 0 } else { self.queue.len() }, id);
    }

    /// Records the end of an attempt. Returns `None` if the attempt is unknown or has already ended.
    fn end_attempt(&mut self, id: CallId, attempt: u32, outcome: Outcome) -> Option<Attempt> {
        let call = self.calls.get_mut(&id)?;
        let record = call.attempts.get_mut(attempt as usize).filter(|a| a.outcome.is_none())?;
        record.outcome = Some(outcome);
        Some(*record)
    }

    /// Ends or retries the call after one of its attempts has ended, unless another attempt is in flight.
    fn after_attempt(
        &mut self,
        now: Micros,
        id: CallId,
        outcome: Outcome,
        closed: bool,
        actions: &mut Actions,
    ) {
        if closed || outcome == Outcome::Served {
            self.end_call(id);
            self.cancel_others(id, None, actions);
        } else if self.calls.get(&id).is_some_and(|c| !c.ended && !c.queued && c.attempts_in_flight() == 0) {
            if outcome == Outcome::Unusable {
                // Every other server would reject it too, and the client must not retry it.
                actions.push(Action::Fail { call: id, reason: FailureReason::Unusable });
                self.end_call(id);
            } else {
                self.retry_or_give_up(now, id, outcome, actions);
            }
        }
        self.remove_if_finished(id);
    }

    /// Retries a call whose attempt was not served, or ends it.
    fn retry_or_give_up(&mut self, now: Micros, id: CallId, outcome: Outcome, actions: &mut Actions) {
        if self.lease.has_expired(now) {
            return self.give_up(id, self.first_backoff(), FailureReason::ListExpired, actions);
        }
        let call = &self.calls[&id];
        let in_time = now as f64 + self.expected_latency(call) < call.target_at() as f64;
        let any_server = self.servers.iter().any(|s| s.listed && call.may_run_on(now, s, self.settings.tick));
        let attempts_left = (call.attempts.len() as u32) < self.settings.limits.max_attempts;
        if in_time
            && any_server
            && attempts_left
            && (self.retry_tokens >= 1.0 || outcome == Outcome::NoConnection)
        {
            self.retry_tokens = (self.retry_tokens - 1.0).max(0.0);
            self.enqueue(now, id, true);
        } else {
            self.give_up(id, self.first_backoff(), FailureReason::NoRetry, actions);
        }
    }

    fn give_up(&mut self, id: CallId, retry_after: Micros, reason: FailureReason, actions: &mut Actions) {
        // The queue is processed at this interval, so there can be no free capacity before.
        let retry_after =
            retry_after.max(self.queue_poll_interval()).min(self.settings.limits.max_retry_after);
        let refused = self.calls[&id].may_be_refused();
        actions.push(if refused {
            Action::Refuse { call: id, retry_after, reason }
        } else {
            Action::Fail { call: id, reason }
        });
        self.end_call(id);
        self.cancel_others(id, None, actions);
        self.remove_if_finished(id);
    }

    fn end_call(&mut self, id: CallId) {
        self.set_wake(id, 0);
        let Some(call) = self.calls.get_mut(&id) else { return };
        (call.ended, call.detached) = (true, false);
        if std::mem::take(&mut call.queued) {
            self.queue.retain(|&queued| queued != id);
        }
    }

    fn cancel_others(&mut self, id: CallId, except: Option<u32>, actions: &mut Actions) {
        let Some(call) = self.calls.get(&id).filter(|_| self.settings.limits.cancel) else { return };
        let in_flight = (0..).zip(&call.attempts).filter(|(n, a)| a.outcome.is_none() && Some(*n) != except);
        actions.extend(in_flight.map(|(attempt, _)| Action::Cancel { call: id, attempt }));
    }

    fn remove_if_finished(&mut self, id: CallId) {
        if self.calls.get(&id).is_some_and(|c| c.ended && c.attempts_in_flight() == 0) {
            self.calls.remove(&id);
        }
    }

    /// Decides whether a call is sent, queued or refused.
    fn route(&mut self, now: Micros, id: CallId) -> Route {
        let draw = self.cold_draw(now);
        let longest = self.longest_usual_latency();
        let full_limit = self.shared_limit.as_ref().filter(|limit| limit.is_full(now, longest));
        let limit_full = full_limit.is_some();
        if full_limit.is_some_and(|limit| !limit.may_probe(now)) {
            return Route::Queue;
        }
        let candidates = self.candidates(now, id, draw, limit_full);
        let probe = if limit_full { ProbeTarget::Shared } else { ProbeTarget::None };
        let picked = self.pick_of_two(now, &candidates.eligible);
        if let Some(server) = picked.filter(|&at| !self.servers[at].is_full(now, &self.settings.rules)) {
            return Route::Send { server, probe };
        }
        match (self.pick_of_two(now, &candidates.below_limit), self.pick_of_two(now, &candidates.probes)) {
            (Some(server), _) => Route::Send { server, probe },
            (None, Some(_)) if limit_full => Route::Queue,
            (None, Some(server)) => Route::Send { server, probe: ProbeTarget::Server },
            (None, None) => self.queue_or_refuse(now),
        }
    }

    /// Selects the servers that this call may go to.
    fn candidates(&self, now: Micros, id: CallId, draw: Option<(f64, f64)>, limit_full: bool) -> Candidates {
        let call = &self.calls[&id];
        let (rules, tick) = (&self.settings.rules, self.settings.tick);
        let longest = self.longest_usual_latency();
        let probeable = |s: &Server| s.may_send_probe() && s.may_be_probed(now, longest, rules);
        // With a single zone, or no named zones, there is no other zone to use instead.
        let single_zone = self.zone_failures.len() < 2;
        let zone_reachable = |s: &Server| {
            single_zone || self.zone_failures.get(&s.zone).is_none_or(|failures| now >= failures.1)
        };
        let cooldowns_apply = self.cooldowns_apply(now);
        let is_ready =
            |s: &Server| s.takes_calls(now) && (!cooldowns_apply || s.has_cooled_down(now, self.served));
        let in_slow_start_share = |i: usize, s: &Server| match draw {
            Some(draw) => slow_start::is_drawn(draw, i, s.warmth(now, rules)),
            None => s.slow_start_allows(now, self.served, rules),
        };
        let is_open = |i: usize, s: &Server| is_ready(s) && in_slow_start_share(i, s);
        let allowed = |i: usize, s: &Server| {
            s.limit.steps > 0 && is_open(i, s) && zone_reachable(s) && call.may_run_on(now, s, tick)
        };
        // The subsets start at equal distances on the ring of servers, so that each server is in equally many
        // of them.
        let len = self.servers.len();
        let start = self.settings.balancer_index as usize * len / self.settings.balancers.max(1) as usize;
        let ring = || (start..start + len).map(|i| i % len).filter(|&i| allowed(i, &self.servers[i]));
        let any_untried = ring().any(|i| call.untried(self.servers[i].id));
        let preferred = ring().filter(|&i| !any_untried || call.untried(self.servers[i].id));
        let eligible: Vec<usize> = preferred.clone().take(self.subset_size(now)).collect();
        let is_below_limit =
            |s: &Server| !s.is_full(now, rules) && (draw.is_none() || s.warmth(now, rules) >= 1.0);
        let mut below_limit: Vec<_> =
            eligible.iter().copied().filter(|&i| is_below_limit(&self.servers[i])).collect();
        let probes = eligible.iter().copied().filter(|&i| probeable(&self.servers[i])).collect();
        // The subset size follows past concurrency. A burst beyond it continues along the ring.
        if below_limit.is_empty() && self.shared_limit.is_some() && !limit_full {
            below_limit.extend(preferred.skip(eligible.len()).find(|&i| is_below_limit(&self.servers[i])));
        }
        Candidates { eligible, below_limit, probes }
    }

    /// Whether cooldowns are respected. If most servers are cooling down there are no alternatives, and a
    /// cooldown counted in served calls of this balancer would never end.
    fn cooldowns_apply(&self, now: Micros) -> bool {
        let in_use = self.servers.iter().filter(|s| s.listed && s.limit.steps > 0);
        let (mut all, mut cooled_down) = (0, 0);
        for server in in_use {
            all += 1;
            cooled_down += u32::from(server.has_cooled_down(now, self.served));
        }
        cooled_down * 2 >= all
    }

    /// Queues a call for which no server is available, or refuses it if all servers are ejected.
    fn queue_or_refuse(&self, now: Micros) -> Route {
        let all = self.servers.iter().filter(|s| s.listed);
        let all_ejected = all.clone().all(|s| s.limit.steps == 0);
        let first = all.map(|s| s.limit.backoff_end).min();
        let first = first.filter(|&at| all_ejected && !(self.settings.shares_capacity && at <= now));
        first.map_or(Route::Queue, |at| Route::Refuse {
            retry_after: at.saturating_sub(now).max(self.first_backoff()),
        })
    }

    /// Picks the less loaded of two random servers, by own calls in flight and then by overload. If the limit
    /// is shared, the cheaper one is picked with the higher probability.
    fn pick_of_two(&mut self, now: Micros, among: &[usize]) -> Option<usize> {
        let len = among.len() as u64;
        let first = self.random_below(len);
        let a = *among.get(first as usize)?;
        let b = among[((first + 1 + self.random_below(len - 1)) % len) as usize];
        let (first, second) = (&self.servers[a], &self.servers[b]);
        if self.shared_limit.is_none() {
            let load = |s: &Server| (s.in_flight, s.overload);
            return Some(if load(second) < load(first) { b } else { a });
        }
        // Balancers with the same information would all pick the same server, so the more expensive one is
        // picked at times.
        let preference = |s: &Server| s.weight / s.cost(now).powi(COST_EXPONENT);
        let (first, second) = (preference(first), preference(second));
        Some(if self.random_fraction() * (first + second) < second { b } else { a })
    }

    fn send(
        &mut self,
        now: Micros,
        id: CallId,
        server_index: usize,
        probe: ProbeTarget,
        actions: &mut Actions,
    ) {
        self.schedule_next_call(now, server_index);
        let server = &mut self.servers[server_index];
        server.in_flight += 1;
        server.limit.probe_in_flight |= probe == ProbeTarget::Server;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let &mut Server { id: server, started, zone, cell, .. } = server;
        // A zone that has failed gets one call at a time, as a time-out shows only after the latency target.
        if let Some(failures) =
            self.zone_failures.get_mut(&zone).filter(|failures| failures.0 >= ZONE_BACKOFF_DOUBLINGS)
        {
            failures.1 = failures.1.max(now.saturating_add(call.class.latency_target));
        }
        let (class_id, sent_at, outcome) = (call.class_id, now, None);
        let unloaded = self.latencies.get(class_id).map_or(f64::MAX, |latency| latency.unloaded);
        let overload_threshold =
            outcomes::shared_overload_threshold(unloaded, call.class.latency_target as f64);
        let late_at = now.saturating_add((overload_threshold * LATE_FACTOR) as Micros);
        let attempt = Attempt { server, started, zone, cell, class_id, sent_at, probe, late_at, outcome };
        call.attempts.push(attempt);
        // A response after the latency target is worth little, so the server's capacity is better used for
        // other calls.
        let (target_at, deadline) = (call.target_at(), call.deadline);
        let usual_latency = self.usual_latency(class_id, self.calls[&id].class.latency_target);
        if let Some(limit) = &mut self.shared_limit {
            limit.sent(now, usual_latency, late_at, probe);
        }
        let until =
            (target_at < deadline && target_at as f64 > now as f64 + usual_latency).then_some(target_at);
        actions.push(Action::Send { call: id, server, until });
        self.schedule_hedge(now, id);
    }

    /// Schedules a check of whether the call's only attempt should be hedged.
    fn schedule_hedge(&mut self, now: Micros, id: CallId) {
        let call = &self.calls[&id];
        let (target_at, arrived, attempts) = (call.target_at(), call.arrived, call.attempts.len());
        let usual_latency = self.usual_latency(call.class_id, call.class.latency_target);
        // The latest time at which a hedge can still be served in time, but not before the first attempt is
        // slow.
        let hedge_at =
            (target_at as f64 - SPARE_LATENCIES * usual_latency).max(arrived as f64 + 1.5 * usual_latency);
        // A shared limit holds no information on a single server, so a hedge would only add load.
        let hedgeable = attempts == 1 && self.settings.limits.hedging && self.shared_limit.is_none();
        let hedges = hedgeable && hedge_at + usual_latency <= target_at as f64;
        self.set_wake(id, if hedges { (hedge_at as Micros).max(now + 1) } else { 0 });
    }

    fn drain_queue(&mut self, now: Micros, actions: &mut Actions) {
        if self.lease.has_expired(now) {
            for id in Vec::from(std::mem::take(&mut self.queue)) {
                self.give_up(id, self.first_backoff(), FailureReason::ListExpired, actions);
            }
            return;
        }
        for server_index in 0..self.servers.len() {
            if self.servers[server_index].may_be_reinstated(now, self.served, &self.settings.rules) {
                // Only a call without attempts: the others may be restricted to certain servers.
                let mut queued = self.queue.iter().take(QUEUE_SCAN_LIMIT);
                if let Some(index) = queued.position(|id| self.calls[id].attempts.is_empty()) {
                    let id = self.queue[index];
                    self.dequeue(index);
                    self.send(now, id, server_index, ProbeTarget::Server, actions);
                }
            }
        }
        let mut index = 0;
        while let Some(&id) = self.queue.get(index) {
            match self.route(now, id) {
                Route::Send { server, probe } => {
                    self.dequeue(index);
                    self.send(now, id, server, probe, actions);
                }
                Route::Refuse { retry_after } => {
                    self.give_up(id, retry_after, FailureReason::ServersDown, actions)
                }
                // In order of arrival: a call that stays queued holds back those behind it, unless it is
                // bound to certain servers.
                Route::Queue if self.calls[&id].binding_attempt().is_some() && index < QUEUE_SCAN_LIMIT => {
                    index += 1
                }
                Route::Queue => break,
            }
        }
    }

    fn dequeue(&mut self, index: usize) {
        if let Some(call) = self.queue.remove(index).and_then(|id| self.calls.get_mut(&id)) {
            call.queued = false;
        }
    }

    fn run_due_wakes(&mut self, now: Micros, actions: &mut Actions) {
        while let Some(&(_, id)) = self.wakes.first().filter(|wake| wake.0 <= now) {
            self.set_wake(id, 0);
            if self.calls[&id].queued {
                let waited = now.saturating_sub(self.calls[&id].arrived);
                self.give_up(id, waited, FailureReason::WaitedTooLong, actions);
            } else {
                self.hedge(now, id, actions);
            }
        }
    }

    /// Sends a second attempt of a call that is slow on a server that may have stalled, if other servers have
    /// capacity.
    fn hedge(&mut self, now: Micros, id: CallId, actions: &mut Actions) {
        let call = &self.calls[&id];
        let attempts_left = (call.attempts.len() as u32) < self.settings.limits.max_attempts
            && call.attempts_in_flight() == 1;
        let can_take = |s: &Server| {
            s.is_usable(now, self.served, &self.settings.rules)
                && call.may_run_on(now, s, self.settings.tick)
                && call.untried(s.id)
        };
        let affordable = self.retry_tokens >= 1.0 && self.queue.is_empty() && !self.lease.has_expired(now);
        if !attempts_left || !affordable || !self.servers.iter().any(can_take) {
            return;
        }
        if let Route::Send { server, probe: ProbeTarget::None } = self.route(now, id) {
            self.retry_tokens -= 1.0;
            self.send(now, id, server, ProbeTarget::None, actions);
        }
    }

    fn set_wake(&mut self, id: CallId, wake_at: Micros) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.wake_at != 0 {
            self.wakes.remove(&(call.wake_at, id));
        }
        call.wake_at = wake_at;
        if wake_at != 0 {
            self.wakes.insert((wake_at, id));
        }
    }

    /// Sets one timer for the next time-based action.
    fn set_timer(&mut self, now: Micros, actions: &mut Actions) {
        let mut next = self.subscribe_at.min(self.wakes.first().map_or(Micros::MAX, |w| w.0));
        if let Some(at) = self.lease.expires_at().filter(|at| *at > now) {
            next = next.min(at);
        }
        if !self.queue.is_empty() {
            next = next.min(now.saturating_add(self.queue_poll_interval()));
        }
        if next < self.timer_at {
            self.timer_at = next;
            actions.push(Action::SetTimer { after: next.saturating_sub(now).max(1) });
        }
    }

    fn first_backoff(&self) -> Micros {
        ((self.longest_target() * FIRST_BACKOFF_SHARE) as Micros).max(1_000)
    }

    /// How often queued calls are reconsidered, as limits, backoffs and pauses change without an event.
    fn queue_poll_interval(&self) -> Micros {
        self.settings.tick.max(self.first_backoff() / 8)
    }

    fn longest_target(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.latency_target).max().unwrap_or(0).max(1) as f64
    }

    fn longest_usual_latency(&self) -> f64 {
        self.latencies.iter().map(|p| p.mean).fold(1.0, f64::max)
    }

    /// A random number from 0 (inclusive) to 1 (exclusive).
    fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / 4_294_967_296.0
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        (u64::from(self.random.next_u32()) * bound.min(u64::from(u32::MAX))) >> 32
    }
}
