//! What a server's answers, reports and silence teach.

use super::{Actions, Balancer, Server, COST_TIME_CONSTANT, ZONE_BACKOFF_DOUBLINGS};
use crate::api::*;
use crate::call::{Attempt, ProbeTarget};
use crate::concurrency_limit::{MAX_BACKOFF_DOUBLINGS, MIN_CUT_FACTOR, SMOOTHING};
use crate::shared_limit::{Response, LATE_FACTOR};

/// What a refusal as full leaves of the concurrency.
const REJECTION_CUT_FACTOR: f64 = 0.8;
/// An answer is strained beyond this many times its class's unloaded time: about two calls a core.
const OVERLOAD_LATENCY_FACTOR: f64 = 3.0;
/// ... or beyond this share of its aim, whichever is shorter.
const OVERLOAD_TARGET_SHARE: f64 = 0.33;
/// The former where budgets are shared: a hundred that each wait for clear signs find a server jammed.
const SHARED_OVERLOAD_LATENCY_FACTOR: f64 = 2.0;
/// Doublings of the rest, in rounds of own calls, of a server that answers late; and most more by time-outs.
const COOLDOWN_DOUBLINGS: u32 = 2;
const MAX_TIMEOUT_DOUBLINGS: u32 = 4;
/// Reported share of busy cores that is as much as an answer at that limit: above it waiting grows steeply.
const CPU_OVERLOAD_SHARE: f64 = 0.9;
/// Most that one answer counts for in a budget that all servers share: more than four in five must be late
/// before the mean passes 1. A few bad servers are left by the pick, not answered for by all the others.
const SHARED_MAX_OVERLOAD: f64 = 1.2;
/// Strain beyond which a budget is cut below its floor: answers take more than half their aim.
const DEEP_CUT_OVERLOAD: f64 = 1.5;
/// Weight of a new outcome in a server's share of failures, and the share that sets it aside: two in four.
const FAILURE_WEIGHT: f64 = 0.2;
const EJECTION_FAILURE_RATE: f64 = 0.3;

impl Balancer {
    /// What a server says of itself: as many waiting as in work, or nearly all cores busy, is as much as an
    /// answer at its limit. It tells a crowded server from one whose calls mostly wait on others.
    pub(super) fn record_load_report(&mut self, now: Micros, id: CallId, attempt: u32, load: Load) {
        let Some(sent) = self.calls.get(&id).and_then(|c| c.attempts.get(attempt as usize)) else {
            return;
        };
        let Ok(place) = self.servers.binary_search_by_key(&sent.server, |s| s.id) else { return };
        self.update_reported_overload(now, place, load);
    }

    pub(super) fn update_reported_overload(&mut self, at: Micros, place: usize, load: Load) {
        let reported_overload = match load {
            Load { active: Some(active), waiting: Some(waiting), .. } => {
                waiting / (active - waiting).max(1.0)
            }
            Load { cpu: Some(cpu), .. } => cpu / CPU_OVERLOAD_SHARE,
            _ => return,
        };
        let server = &mut self.servers[place];
        server.reported_overload =
            if reported_overload.is_finite() { reported_overload.clamp(0.0, 4.0) } else { 0.0 };
        server.reported_at = at;
    }

    /// What a server's answer, or its absence, teaches.
    pub(super) fn record_outcome(
        &mut self,
        now: Micros,
        attempt: Attempt,
        outcome: Outcome,
        elapsed: Micros,
        actions: &mut Actions,
    ) {
        let ended = self.describe_end(now, attempt, outcome, elapsed);
        self.update_shared_limit(now, &ended);
        self.update_zone_backoff(now, &ended);
        if outcome == Outcome::NoConnection {
            self.subset_reduction.connection_failed(now);
        }
        let Ok(place) = self.servers.binary_search_by_key(&attempt.server, |s| s.id) else { return };
        if self.servers[place].started != attempt.started {
            return; // What a server's last process did says nothing of the new one.
        }
        self.update_cost(place, now, &ended);
        let Some(failed) = self.servers[place].is_failure(&ended) else {
            self.servers[place].limit.probe_in_flight &= attempt.probe != ProbeTarget::Server;
            return;
        };
        self.update_overload(place, now, &ended, failed);
        self.reduce_concurrency(place, now, &ended);
        self.update_steps(place, now, &ended, actions);
        self.update_cooldown(place, &ended);
        self.update_counts();
    }

    /// An attempt's end with what was known of its class and of this balancer just before.
    fn describe_end(&self, now: Micros, attempt: Attempt, outcome: Outcome, elapsed: Micros) -> EndedAttempt {
        let class = self.settings.classes.get(attempt.class_id);
        EndedAttempt {
            attempt,
            outcome,
            elapsed: elapsed.max(now.saturating_sub(attempt.sent_at)) as f64,
            usual_latency: self.usual_latency(attempt.class_id, class.map_or(0, |c| c.latency_target)),
            latency_target: class.map_or(f64::MAX, |c| c.latency_target as f64),
            unloaded: self.latencies.get(attempt.class_id).map_or(f64::MAX, |p| p.unloaded),
            longest_usual_latency: self.longest_usual_latency(),
            subset_size: self.subset_size(now) as u64,
        }
    }

    fn update_shared_limit(&mut self, now: Micros, ended: &EndedAttempt) {
        let first_backoff = self.first_backoff();
        let Some(limit) = &mut self.shared_limit else { return };
        let &EndedAttempt { outcome, elapsed, .. } = ended;
        limit.ended(now, elapsed, ended.usual_latency, ended.attempt.late_at, ended.attempt.probe);
        // Time-outs are the pick's: few servers, or one class of calls, must not shut out all others.
        if !matches!(outcome, Outcome::NoConnection | Outcome::TimedOut) && !outcome.is_inconclusive() {
            let rejection = if outcome == Outcome::TurnedAway { 1.0 / MIN_CUT_FACTOR } else { 0.0 };
            let overload_threshold = shared_overload_threshold(ended.unloaded, ended.latency_target);
            let response = Response {
                elapsed,
                overload: (elapsed / overload_threshold).min(SHARED_MAX_OVERLOAD).max(rejection),
                unloaded_ratio: ended.unloaded / overload_threshold,
                is_late: elapsed > overload_threshold * LATE_FACTOR,
            };
            limit.response_received(now, response, ended.longest_usual_latency);
        }
        if ended.attempt.probe == ProbeTarget::Shared {
            limit.probe_ended(now, outcome == Outcome::Served, first_backoff);
        }
    }

    /// A zone that is cut off fails server by server: after a few in a row it is passed over as a whole.
    /// On connections that were there before, packets that go nowhere show by time-outs alone.
    fn update_zone_backoff(&mut self, now: Micros, ended: &EndedAttempt) {
        let first_backoff = self.first_backoff();
        let failures = self.zone_failures.entry(ended.attempt.zone).or_default();
        if (ended.connection_lost() || ended.timed_out()) && self.shared_limit.is_some() {
            let doublings = failures.0.min(MAX_BACKOFF_DOUBLINGS + ZONE_BACKOFF_DOUBLINGS);
            *failures = (
                failures.0.saturating_add(1),
                now + ((first_backoff << doublings) >> ZONE_BACKOFF_DOUBLINGS),
            );
        } else if !ended.outcome.is_inconclusive() {
            *failures = (0, 0);
        }
    }

    /// What a call costs at this server beside the usual.
    fn update_cost(&mut self, place: usize, now: Micros, ended: &EndedAttempt) {
        let longest_target = self.longest_target();
        let server = &mut self.servers[place];
        server.in_flight = server.in_flight.saturating_sub(1);
        // What was not served counts as a whole aim: quick refusals and errors must not make it look idle.
        let answered = matches!(ended.outcome, Outcome::Served | Outcome::Stale | Outcome::Unusable);
        let minimum = if answered { 0.0 } else { longest_target };
        let decay = (-(now.saturating_sub(server.last_ended_at) as f64) / COST_TIME_CONSTANT).exp();
        server.relative_latency = 1.0 + (server.relative_latency - 1.0) * decay;
        let cost = (minimum.max(ended.elapsed) / ended.usual_latency).clamp(0.001, 8.0);
        server.relative_latency += (cost - server.relative_latency) * 2.0 * SMOOTHING;
    }

    /// The server's strain and share of failures, and its class's usual time.
    fn update_overload(&mut self, place: usize, now: Micros, ended: &EndedAttempt, failed: bool) {
        let longest_target = self.longest_target();
        let server = &mut self.servers[place];
        let weight = if ended.is_weak_evidence() { FAILURE_WEIGHT / 2.0 } else { FAILURE_WEIGHT };
        server.failure_rate += (if failed { 1.0 } else { 0.0 } - server.failure_rate) * weight;
        // Few answers a second must not make the strain a memory of long ago.
        let gap = now.saturating_sub(server.last_ended_at) as f64 / longest_target;
        let weight = SMOOTHING.max(1.0 - (-gap).exp());
        server.last_ended_at = now;
        if !failed {
            let overload = (ended.elapsed / ended.overload_threshold()).min(4.0);
            server.overload += (overload.max(server.reported_overload) - server.overload) * weight;
            server.responses_since_change += 1;
            // Answers alone would make the mean that of the lucky: late ones count for what was waited.
            let latency = self.latencies.get_mut(ended.attempt.class_id);
            latency.into_iter().for_each(|p| p.record(now, ended.elapsed));
        }
        if ended.outcome == Outcome::Served {
            self.servers[place].last_served_at = now;
            self.served += 1;
        }
    }

    /// Latency well above an unloaded server's is the sign, beside refusals, of too much in flight.
    fn reduce_concurrency(&mut self, place: usize, now: Micros, ended: &EndedAttempt) {
        let server = &mut self.servers[place];
        if ended.outcome == Outcome::TurnedAway {
            server.limit.reduce(REJECTION_CUT_FACTOR, true);
            // Fast refusals leave it looking idle: without a pause it would draw in call after call.
            server.not_before = server.not_before.max(now + ended.longest_usual_latency as Micros);
        } else if server.overload > 1.0 && server.has_settled(now, ended.longest_usual_latency) {
            server.limit.reduce(1.0 / server.overload, server.overload > DEEP_CUT_OVERLOAD);
            // The cut answers for part of it: one jam is cut for once.
            server.overload = server.overload.sqrt();
            (server.responses_since_change, server.limit_changed_at) = (0, now);
        }
    }

    /// The steps of the server's limit: lost connections, probe requests, and setting it aside.
    fn update_steps(&mut self, place: usize, now: Micros, ended: &EndedAttempt, actions: &mut Actions) {
        let first_backoff = self.first_backoff();
        let few_ejected = (self.ejected_count + 1) * 2 <= self.listed_count;
        let server = &mut self.servers[place];
        let was_up = server.limit.steps > 0;
        // One connection that broke is no proof against a server that has only just answered: a step goes
        // when one more breaks soon after, and the last step with the server's share of failures.
        let recently_served =
            server.last_served_at > 0 && now.saturating_sub(server.last_served_at) <= first_backoff;
        let repeated_failure = server.failure_rate > EJECTION_FAILURE_RATE / 2.0 && server.limit.steps > 1;
        server.limit.steps -=
            u32::from(ended.connection_lost() && was_up && (repeated_failure || !recently_served));
        server.limit.probe_in_flight &= ended.attempt.probe != ProbeTarget::Server;
        if ended.attempt.probe == ProbeTarget::Server {
            server.probe_ended(now, ended.outcome, was_up, first_backoff, actions);
        }
        // Fast errors and refusals make a server look idle: its budget alone would draw calls in.
        if was_up && server.failure_rate > EJECTION_FAILURE_RATE && few_ejected {
            server.limit.steps = 0;
        }
        if was_up && server.limit.steps == 0 {
            server.limit.back_off(now, first_backoff);
            // What it showed before says nothing of how it will be when it comes back.
            server.overload = 1.0;
            let id = server.id;
            actions.push(Action::Log { text: format!("server {} set aside", id.0) });
            actions.extend(
                server
                    .allocation
                    .map(|_| Action::ShareObservation { server: id, observation: Observation::Ejected }),
            );
        }
    }

    /// Many balancers that each try a late server now and then are no rest: it is tried by a part of the
    /// usual calls.
    fn update_cooldown(&mut self, place: usize, ended: &EndedAttempt) {
        let server = &mut self.servers[place];
        let served = u32::from(ended.outcome == Outcome::Served);
        server.timeouts = (server.timeouts + u32::from(ended.timed_out()))
            .saturating_sub(served)
            .min(MAX_TIMEOUT_DOUBLINGS);
        if self.shared_limit.is_some() && ended.timed_out() {
            server.cooldown_until_served =
                self.served + (ended.subset_size << (COOLDOWN_DOUBLINGS + server.timeouts));
        }
        let unavailable = ended.outcome == Outcome::TurnedAway || server.limit.steps == 0;
        if self.shared_limit.is_some() && unavailable {
            server.cooldown_until_served =
                self.served + (ended.subset_size << server.limit.backoff_doublings);
        }
    }
}

impl Server {
    /// Whether this end counts as a failure of the server; `None`: it says nothing of it.
    fn is_failure(&self, ended: &EndedAttempt) -> Option<bool> {
        match ended.outcome {
            Outcome::Served => Some(false),
            // Late while others are answered: the server is slow, not gone, and is sent less, not nothing.
            Outcome::TimedOut if self.last_served_at > ended.attempt.sent_at => Some(false),
            outcome if outcome.is_inconclusive() => None,
            _ => Some(true),
        }
    }

    /// A probe request of this server's own has ended.
    fn probe_ended(
        &mut self,
        now: Micros,
        outcome: Outcome,
        was_up: bool,
        first_backoff: Micros,
        actions: &mut Actions,
    ) {
        if outcome != Outcome::Served {
            self.limit.back_off(now, first_backoff);
        } else if was_up || self.failure_rate < EJECTION_FAILURE_RATE / 2.0 {
            self.limit.raise();
            (self.responses_since_change, self.limit_changed_at) = (0, now);
            let observation = if was_up { Observation::LimitRaised } else { Observation::Reinstated };
            actions
                .extend(self.allocation.map(|_| Action::ShareObservation { server: self.id, observation }));
            if !was_up {
                actions.push(Action::Log { text: format!("server {} taken back", self.id.0) });
            }
        }
    }
}

/// How an attempt ended. Times are in microseconds.
struct EndedAttempt {
    attempt: Attempt,
    outcome: Outcome,
    /// How long it was out.
    elapsed: f64,
    /// Its class's usual answer time, aim, and unloaded answer time.
    usual_latency: f64,
    latency_target: f64,
    unloaded: f64,
    /// The longest usual answer time of all classes.
    longest_usual_latency: f64,
    /// Servers in the window.
    subset_size: u64,
}

impl EndedAttempt {
    /// Its connection did not come up or broke.
    fn connection_lost(&self) -> bool {
        matches!(self.outcome, Outcome::NoConnection | Outcome::Reset)
    }

    fn timed_out(&self) -> bool {
        self.outcome == Outcome::TimedOut
    }

    /// A time-out proves less than an error: a crowded server may owe a lone call for that long. So does
    /// what one connection did: now and then an answer is spoilt or breaks off at any server.
    fn is_weak_evidence(&self) -> bool {
        matches!(self.outcome, Outcome::TimedOut | Outcome::Unknown | Outcome::Reset)
    }

    /// Answer time beyond which the server's own limit is strained.
    fn overload_threshold(&self) -> f64 {
        (self.unloaded * OVERLOAD_LATENCY_FACTOR)
            .min(self.latency_target * OVERLOAD_TARGET_SHARE)
            .max(self.unloaded)
    }
}

/// Answer time beyond which the limit of all servers is strained, by a class's unloaded answer time and its
/// aim, all in microseconds. It cannot spare the one server that is slow: it heeds what the aim leaves for
/// waiting.
pub(super) fn shared_overload_threshold(unloaded: f64, latency_target: f64) -> f64 {
    let with_waiting = unloaded + (latency_target - unloaded) * OVERLOAD_TARGET_SHARE;
    (unloaded * SHARED_OVERLOAD_LATENCY_FACTOR).min(with_waiting).max(unloaded)
}
