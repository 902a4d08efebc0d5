//! Updates the state of servers and limits from responses, load reports and missing responses.

use super::{Actions, Balancer, Server, COST_TIME_CONSTANT, ZONE_BACKOFF_DOUBLINGS};
use crate::api::*;
use crate::call::{Attempt, ProbeTarget};
use crate::concurrency_limit::{MAX_BACKOFF_DOUBLINGS, MIN_CUT_FACTOR, SMOOTHING};
use crate::shared_limit::{Response, LATE_FACTOR};

/// Factor applied to the concurrency when a server rejects a call as full.
const REJECTION_CUT_FACTOR: f64 = 0.8;
/// A response shows overload beyond this many times its class's unloaded response time, which corresponds to
/// about two calls per core.
const OVERLOAD_LATENCY_FACTOR: f64 = 3.0;
/// A response also shows overload beyond this share of its latency target, if that is shorter than the bound
/// by [`OVERLOAD_LATENCY_FACTOR`].
const OVERLOAD_TARGET_SHARE: f64 = 0.33;
/// Replaces `OVERLOAD_LATENCY_FACTOR` where the limit is shared: if each of a hundred balancers waits for
/// clear signs of overload, their calls together overload the server.
const SHARED_OVERLOAD_LATENCY_FACTOR: f64 = 2.0;
/// Doublings of the cooldown (in rounds of own calls) of a server that times out; and the maximum number of
/// further doublings by repeated time-outs.
const COOLDOWN_DOUBLINGS: u32 = 2;
const MAX_TIMEOUT_DOUBLINGS: u32 = 4;
/// Reported CPU share that counts as much as a response at the overload threshold. Above it, waiting times
/// grow steeply.
const CPU_OVERLOAD_SHARE: f64 = 0.9;
/// Maximum overload that a single response contributes to the shared limit: more than four in five must be
/// late before the mean exceeds 1. A few bad servers are avoided by the choice between two servers and must
/// not reduce the limit for all others.
const SHARED_MAX_OVERLOAD: f64 = 1.2;
/// Overload beyond which a limit is cut below its floor: responses take more than half their latency target.
const DEEP_CUT_OVERLOAD: f64 = 1.5;
/// Weight of a new outcome in a server's failure rate, and the rate above which the server is ejected (two
/// failures in four calls).
const FAILURE_WEIGHT: f64 = 0.2;
const EJECTION_FAILURE_RATE: f64 = 0.3;

impl Balancer {
    /// Records the load report that came with an attempt's end. As many requests waiting as running, or
    /// nearly all cores busy, counts like a response at the overload threshold. This distinguishes an
    /// overloaded server from one whose calls mostly wait for other services.
    pub(super) fn record_load_report(&mut self, now: Micros, id: CallId, attempt: u32, load: Load) {
        let Some(sent) = self.calls.get(&id).and_then(|c| c.attempts.get(attempt as usize)) else {
            return;
        };
        let Ok(server_index) = self.servers.binary_search_by_key(&sent.server, |s| s.id) else { return };
        self.update_reported_overload(now, server_index, load);
    }

    pub(super) fn update_reported_overload(&mut self, reported_at: Micros, server_index: usize, load: Load) {
        let reported_overload = match load {
            Load { active: Some(active), waiting: Some(waiting), .. } => {
                waiting / (active - waiting).max(1.0)
            }
            Load { cpu: Some(cpu), .. } => cpu / CPU_OVERLOAD_SHARE,
            _ => return,
        };
        let server = &mut self.servers[server_index];
        server.reported_overload =
            if reported_overload.is_finite() { reported_overload.clamp(0.0, 4.0) } else { 0.0 };
        server.reported_at = reported_at;
    }

    /// Updates all state that depends on how an attempt ended.
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
        let Ok(server_index) = self.servers.binary_search_by_key(&attempt.server, |s| s.id) else { return };
        if self.servers[server_index].started != attempt.started {
            return; // The server has restarted since: the outcome concerns its previous process.
        }
        self.update_cost(server_index, now, &ended);
        let Some(failed) = self.servers[server_index].is_failure(&ended) else {
            self.servers[server_index].limit.probe_in_flight &= attempt.probe != ProbeTarget::Server;
            return;
        };
        self.update_overload(server_index, now, &ended, failed);
        self.reduce_concurrency(server_index, now, &ended);
        self.update_steps(server_index, now, &ended, actions);
        self.update_cooldown(server_index, &ended);
        self.update_counts();
    }

    /// Combines an attempt's end with the state of its class and of this balancer just before.
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
        // Time-outs are left to the choice between two servers: a few servers, or one class of calls, must
        // not block all other calls.
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

    /// Updates the backoff of the attempt's zone. If a zone becomes unreachable, its servers fail one by one;
    /// after a few consecutive failures the whole zone is avoided. On existing connections, lost packets show
    /// only as time-outs.
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

    /// Updates the cost of a call at this server.
    fn update_cost(&mut self, server_index: usize, now: Micros, ended: &EndedAttempt) {
        let longest_target = self.longest_target();
        let server = &mut self.servers[server_index];
        server.in_flight = server.in_flight.saturating_sub(1);
        // A call that was not served counts as a full latency target, so that a server that fails quickly
        // does not look idle.
        let answered = matches!(ended.outcome, Outcome::Served | Outcome::Stale | Outcome::Unusable);
        let minimum = if answered { 0.0 } else { longest_target };
        let decay = (-(now.saturating_sub(server.last_ended_at) as f64) / COST_TIME_CONSTANT).exp();
        server.relative_latency = 1.0 + (server.relative_latency - 1.0) * decay;
        let cost = (minimum.max(ended.elapsed) / ended.usual_latency).clamp(0.001, 8.0);
        server.relative_latency += (cost - server.relative_latency) * 2.0 * SMOOTHING;
    }

    /// Updates the server's overload and failure rate and the latency of the call's class.
    fn update_overload(&mut self, server_index: usize, now: Micros, ended: &EndedAttempt, failed: bool) {
        let longest_target = self.longest_target();
        let server = &mut self.servers[server_index];
        let weight = if ended.is_weak_evidence() { FAILURE_WEIGHT / 2.0 } else { FAILURE_WEIGHT };
        server.failure_rate += (if failed { 1.0 } else { 0.0 } - server.failure_rate) * weight;
        // With few responses per second, old ones must not dominate the overload.
        let gap = now.saturating_sub(server.last_ended_at) as f64 / longest_target;
        let weight = SMOOTHING.max(1.0 - (-gap).exp());
        server.last_ended_at = now;
        if !failed {
            let overload = (ended.elapsed / ended.overload_threshold()).min(4.0);
            server.overload += (overload.max(server.reported_overload) - server.overload) * weight;
            server.responses_since_change += 1;
            // With successful responses only, the mean would be too low, so late attempts count with the time
            // they took.
            let latency = self.latencies.get_mut(ended.attempt.class_id);
            latency.into_iter().for_each(|p| p.record(now, ended.elapsed));
        }
        if ended.outcome == Outcome::Served {
            self.servers[server_index].last_served_at = now;
            self.served += 1;
        }
    }

    /// Reduces the server's concurrency after a rejection, or if its latency is well above that of an
    /// unloaded server.
    fn reduce_concurrency(&mut self, server_index: usize, now: Micros, ended: &EndedAttempt) {
        let server = &mut self.servers[server_index];
        if ended.outcome == Outcome::TurnedAway {
            server.limit.reduce(REJECTION_CUT_FACTOR, true);
            // Quick rejections make the server look idle. Without a pause it would attract call after call.
            server.not_before = server.not_before.max(now + ended.longest_usual_latency as Micros);
        } else if server.overload > 1.0 && server.has_settled(now, ended.longest_usual_latency) {
            server.limit.reduce(1.0 / server.overload, server.overload > DEEP_CUT_OVERLOAD);
            // The cut has dealt with part of the overload, so only the rest counts towards a further cut.
            server.overload = server.overload.sqrt();
            (server.responses_since_change, server.limit_changed_at) = (0, now);
        }
    }

    /// Updates the steps of the server's limit after connection failures and probe requests, and ejects the
    /// server if it fails too often.
    fn update_steps(
        &mut self,
        server_index: usize,
        now: Micros,
        ended: &EndedAttempt,
        actions: &mut Actions,
    ) {
        let first_backoff = self.first_backoff();
        let few_ejected = (self.ejected_count + 1) * 2 <= self.listed_count;
        let server = &mut self.servers[server_index];
        let was_up = server.limit.steps > 0;
        // A single broken connection proves nothing about a server that has just served a call: a step is
        // removed when another one breaks soon after, and the last step by the server's failure rate.
        let recently_served =
            server.last_served_at > 0 && now.saturating_sub(server.last_served_at) <= first_backoff;
        let repeated_failure = server.failure_rate > EJECTION_FAILURE_RATE / 2.0 && server.limit.steps > 1;
        server.limit.steps -=
            u32::from(ended.connection_lost() && was_up && (repeated_failure || !recently_served));
        server.limit.probe_in_flight &= ended.attempt.probe != ProbeTarget::Server;
        if ended.attempt.probe == ProbeTarget::Server {
            server.probe_ended(now, ended.outcome, was_up, first_backoff, actions);
        }
        // Quick errors and rejections make a server look idle: by its limit alone it would attract calls.
        if was_up && server.failure_rate > EJECTION_FAILURE_RATE && few_ejected {
            server.limit.steps = 0;
        }
        if was_up && server.limit.steps == 0 {
            server.limit.back_off(now, first_backoff);
            // The overload before the ejection does not predict how the server performs when it is
            // reinstated.
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

    /// Starts the server's cooldown. If each of many balancers tried a late server now and then, it would not
    /// recover, so it is tried once per a number of served calls.
    fn update_cooldown(&mut self, server_index: usize, ended: &EndedAttempt) {
        let server = &mut self.servers[server_index];
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
    /// Whether the attempt's end counts as a failure of the server; `None` if it is no evidence either way.
    fn is_failure(&self, ended: &EndedAttempt) -> Option<bool> {
        match ended.outcome {
            Outcome::Served => Some(false),
            // It timed out while other calls were served: the server is slow but alive, and gets fewer calls
            // instead of none.
            Outcome::TimedOut if self.last_served_at > ended.attempt.sent_at => Some(false),
            outcome if outcome.is_inconclusive() => None,
            _ => Some(true),
        }
    }

    /// Handles the end of a probe request for this server's limit.
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
    /// How long the attempt was in flight.
    elapsed: f64,
    /// Usual response time, latency target and unloaded response time of the attempt's class.
    usual_latency: f64,
    latency_target: f64,
    unloaded: f64,
    /// The longest usual response time of all classes.
    longest_usual_latency: f64,
    /// Number of servers in this balancer's subset.
    subset_size: u64,
}

impl EndedAttempt {
    /// Whether the connection could not be established or broke.
    fn connection_lost(&self) -> bool {
        matches!(self.outcome, Outcome::NoConnection | Outcome::Reset)
    }

    fn timed_out(&self) -> bool {
        self.outcome == Outcome::TimedOut
    }

    /// Whether it is weak evidence of a failing server. A time-out proves less than an error, as a busy
    /// server may hold up a single call for that long. So does a failure of one connection, as any server
    /// occasionally sends a corrupt or truncated response.
    fn is_weak_evidence(&self) -> bool {
        matches!(self.outcome, Outcome::TimedOut | Outcome::Unknown | Outcome::Reset)
    }

    /// Response time beyond which the server counts as overloaded.
    fn overload_threshold(&self) -> f64 {
        (self.unloaded * OVERLOAD_LATENCY_FACTOR)
            .min(self.latency_target * OVERLOAD_TARGET_SHARE)
            .max(self.unloaded)
    }
}

/// Response time beyond which the shared limit counts as exceeded, from a class's unloaded response time and
/// latency target, all in microseconds. As this limit cannot spare a single slow server, it takes account of
/// the time that the latency target leaves for waiting.
pub(super) fn shared_overload_threshold(unloaded: f64, latency_target: f64) -> f64 {
    let with_waiting = unloaded + (latency_target - unloaded) * OVERLOAD_TARGET_SHARE;
    (unloaded * SHARED_OVERLOAD_LATENCY_FACTOR).min(with_waiting).max(unloaded)
}
