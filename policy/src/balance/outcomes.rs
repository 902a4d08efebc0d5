//! What a server's answers, reports and silence teach.

use super::{Actions, Balancer, Server, COST_MEMORY, ZONE_DOUBLINGS};
use crate::api::*;
use crate::call::{Attempt, Trial};
use crate::concurrency_limit::{BACKOFF_DOUBLINGS, CUT_MOST, SMOOTHING};
use crate::shared_limit::{Answer, LATE_TIMES};

/// What a refusal as full leaves of the concurrency.
const CUT_FULL: f64 = 0.8;
/// An answer is strained beyond this many times its class's unloaded time: about two calls a core.
const STRAIN_TIMES: f64 = 3.0;
/// ... or beyond this share of its aim, whichever is shorter.
const STRAIN_AIM: f64 = 0.33;
/// The former where budgets are shared: a hundred that each wait for clear signs find a server jammed.
const STRAIN_TIMES_SHARED: f64 = 2.0;
/// Doublings of the rest, in rounds of own calls, of a server that answers late; and most more by time-outs.
const REST_ROUNDS: u32 = 2;
const LATE_MOST: u32 = 4;
/// Reported share of busy cores that is as much as an answer at that limit: above it waiting grows steeply.
const BUSY_FULL: f64 = 0.9;
/// Most that one answer counts for in a budget that all servers share: more than four in five must be late
/// before the mean passes 1. A few bad servers are left by the pick, not answered for by all the others.
const STRAIN_SHARED: f64 = 1.2;
/// Strain beyond which a budget is cut below its floor: answers take more than half their aim.
const STRAIN_DEEP: f64 = 1.5;
/// Weight of a new outcome in a server's share of failures, and the share that sets it aside: two in four.
const FAIL_WEIGHT: f64 = 0.2;
const FAIL_LIMIT: f64 = 0.3;

impl Balancer {
    /// What a server says of itself: as many waiting as in work, or nearly all cores busy, is as much as an
    /// answer at its limit. It tells a crowded server from one whose calls mostly wait on others.
    pub(super) fn report(&mut self, now: Micros, id: CallId, attempt: u32, load: Load) {
        let Some(tried) = self.calls.get(&id).and_then(|c| c.attempts.get(attempt as usize)) else { return };
        let Ok(place) = self.servers.binary_search_by_key(&tried.server, |s| s.id) else { return };
        self.crowded(now, place, load);
    }

    pub(super) fn crowded(&mut self, at: Micros, place: usize, load: Load) {
        let crowding = match load {
            Load { active: Some(active), waiting: Some(waiting), .. } => {
                waiting / (active - waiting).max(1.0)
            }
            Load { cpu: Some(cpu), .. } => cpu / BUSY_FULL,
            _ => return,
        };
        let server = &mut self.servers[place];
        server.crowding = if crowding.is_finite() { crowding.clamp(0.0, 4.0) } else { 0.0 };
        server.reported = at;
    }

    /// What a server's answer, or its absence, teaches.
    pub(super) fn learn(
        &mut self,
        now: Micros,
        tried: Attempt,
        outcome: Outcome,
        took: Micros,
        actions: &mut Actions,
    ) {
        let ended = self.ended(now, tried, outcome, took);
        self.learn_shared_limit(now, &ended);
        self.learn_zone(now, &ended);
        if outcome == Outcome::NoConnection {
            self.narrowed.refused(now);
        }
        let Ok(place) = self.servers.binary_search_by_key(&tried.server, |s| s.id) else { return };
        if self.servers[place].started != tried.started {
            return; // What a server's last process did says nothing of the new one.
        }
        self.learn_cost(place, now, &ended);
        let Some(failed) = self.servers[place].has_failed(&ended) else {
            self.servers[place].budget.trial_out &= tried.trial != Trial::Server;
            return;
        };
        self.learn_answer(place, now, &ended, failed);
        self.learn_strain(place, now, &ended);
        self.learn_steps(place, now, &ended, actions);
        self.learn_rest(place, &ended);
        self.count();
    }

    /// An attempt's end with what was known of its class and of this balancer just before.
    fn ended(&self, now: Micros, tried: Attempt, outcome: Outcome, took: Micros) -> Ended {
        let class = self.settings.classes.get(tried.class_id);
        Ended {
            tried,
            outcome,
            elapsed: took.max(now.saturating_sub(tried.sent)) as f64,
            usual: self.usual(tried.class_id, class.map_or(0, |c| c.latency_target)),
            aim: class.map_or(f64::MAX, |c| c.latency_target as f64),
            base: self.paces.get(tried.class_id).map_or(f64::MAX, |p| p.base),
            longest_usual: self.longest_usual(),
            window: self.window(now) as u64,
        }
    }

    fn learn_shared_limit(&mut self, now: Micros, ended: &Ended) {
        let first_backoff = self.first_backoff();
        let Some(limit) = &mut self.shared_limit else { return };
        let &Ended { outcome, elapsed, .. } = ended;
        limit.ended(now, elapsed, ended.usual, ended.tried.late_at, ended.tried.trial);
        // Time-outs are the pick's: few servers, or one class of calls, must not shut out all others.
        if !matches!(outcome, Outcome::NoConnection | Outcome::TimedOut) && !outcome.is_inconclusive() {
            let full = if outcome == Outcome::TurnedAway { 1.0 / CUT_MOST } else { 0.0 };
            let allowance = shared_allowance(ended.base, ended.aim);
            let answer = Answer {
                elapsed,
                strain: (elapsed / allowance).min(STRAIN_SHARED).max(full),
                unloaded: ended.base / allowance,
                is_late: elapsed > allowance * LATE_TIMES,
            };
            limit.answered(now, answer, ended.longest_usual);
        }
        if ended.tried.trial == Trial::Shared {
            limit.probed(now, outcome == Outcome::Served, first_backoff);
        }
    }

    /// A zone that is cut off fails server by server: after a few in a row it is passed over as a whole.
    /// On connections that were there before, packets that go nowhere show by time-outs alone.
    fn learn_zone(&mut self, now: Micros, ended: &Ended) {
        let first_backoff = self.first_backoff();
        let cut = self.cut_off.entry(ended.tried.zone).or_default();
        if (ended.lost() || ended.late()) && self.shared_limit.is_some() {
            let doublings = cut.0.min(BACKOFF_DOUBLINGS + ZONE_DOUBLINGS);
            *cut = (cut.0.saturating_add(1), now + ((first_backoff << doublings) >> ZONE_DOUBLINGS));
        } else if !ended.outcome.is_inconclusive() {
            *cut = (0, 0);
        }
    }

    /// What a call costs at this server beside the usual.
    fn learn_cost(&mut self, place: usize, now: Micros, ended: &Ended) {
        let longest_aim = self.longest_aim();
        let server = &mut self.servers[place];
        server.in_flight = server.in_flight.saturating_sub(1);
        // What was not served counts as a whole aim: quick refusals and errors must not make it look idle.
        let fair = matches!(ended.outcome, Outcome::Served | Outcome::Stale | Outcome::Unusable);
        let least = if fair { 0.0 } else { longest_aim };
        let past = (-(now.saturating_sub(server.heard) as f64) / COST_MEMORY).exp();
        server.slow = 1.0 + (server.slow - 1.0) * past;
        let cost = (least.max(ended.elapsed) / ended.usual).clamp(0.001, 8.0);
        server.slow += (cost - server.slow) * 2.0 * SMOOTHING;
    }

    /// The server's strain and share of failures, and its class's usual time.
    fn learn_answer(&mut self, place: usize, now: Micros, ended: &Ended, failed: bool) {
        let longest_aim = self.longest_aim();
        let server = &mut self.servers[place];
        let weight = if ended.is_weak() { FAIL_WEIGHT / 2.0 } else { FAIL_WEIGHT };
        server.failing += (if failed { 1.0 } else { 0.0 } - server.failing) * weight;
        // Few answers a second must not make the strain a memory of long ago.
        let gap = now.saturating_sub(server.heard) as f64 / longest_aim;
        let weight = SMOOTHING.max(1.0 - (-gap).exp());
        server.heard = now;
        if !failed {
            let strain = (ended.elapsed / ended.allowance()).min(4.0);
            server.strain += (strain.max(server.crowding) - server.strain) * weight;
            server.answers_since += 1;
            // Answers alone would make the mean that of the lucky: late ones count for what was waited.
            let pace = self.paces.get_mut(ended.tried.class_id);
            pace.into_iter().for_each(|p| p.answered(now, ended.elapsed));
        }
        if ended.outcome == Outcome::Served {
            self.servers[place].answered = now;
            self.served += 1;
        }
    }

    /// Latency well above an unloaded server's is the sign, beside refusals, of too much in flight.
    fn learn_strain(&mut self, place: usize, now: Micros, ended: &Ended) {
        let server = &mut self.servers[place];
        if ended.outcome == Outcome::TurnedAway {
            server.budget.cut(CUT_FULL, true);
            // Fast refusals leave it looking idle: without a pause it would draw in call after call.
            server.not_before = server.not_before.max(now + ended.longest_usual as Micros);
        } else if server.strain > 1.0 && server.settled(now, ended.longest_usual) {
            server.budget.cut(1.0 / server.strain, server.strain > STRAIN_DEEP);
            server.strain = server.strain.sqrt(); // The cut answers for part of it: one jam is cut for once.
            (server.answers_since, server.changed) = (0, now);
        }
    }

    /// The steps of the server's limit: lost connections, probe requests, and setting it aside.
    fn learn_steps(&mut self, place: usize, now: Micros, ended: &Ended, actions: &mut Actions) {
        let first_backoff = self.first_backoff();
        let most_up = (self.aside + 1) * 2 <= self.listed;
        let server = &mut self.servers[place];
        let was_up = server.budget.steps > 0;
        // One connection that broke is no proof against a server that has only just answered: a step goes
        // when one more breaks soon after, and the last step with the server's share of failures.
        let lively = server.answered > 0 && now.saturating_sub(server.answered) <= first_backoff;
        let proof = server.failing > FAIL_LIMIT / 2.0 && server.budget.steps > 1;
        server.budget.steps -= u32::from(ended.lost() && was_up && (proof || !lively));
        server.budget.trial_out &= ended.tried.trial != Trial::Server;
        if ended.tried.trial == Trial::Server {
            server.probed(now, ended.outcome, was_up, first_backoff, actions);
        }
        // Fast errors and refusals make a server look idle: its budget alone would draw calls in.
        if was_up && server.failing > FAIL_LIMIT && most_up {
            server.budget.steps = 0;
        }
        if was_up && server.budget.steps == 0 {
            server.budget.back_off(now, first_backoff);
            // What it showed before says nothing of how it will be when it comes back.
            server.strain = 1.0;
            let id = server.id;
            actions.push(Action::Log { text: format!("server {} set aside", id.0) });
            actions.extend(
                server
                    .room
                    .map(|_| Action::ShareObservation { server: id, observation: Observation::Ejected }),
            );
        }
    }

    /// Many balancers that each try a late server now and then are no rest: it is tried by a part of the
    /// usual calls.
    fn learn_rest(&mut self, place: usize, ended: &Ended) {
        let server = &mut self.servers[place];
        let served = u32::from(ended.outcome == Outcome::Served);
        server.late = (server.late + u32::from(ended.late())).saturating_sub(served).min(LATE_MOST);
        if self.shared_limit.is_some() && ended.late() {
            server.rest = self.served + (ended.window << (REST_ROUNDS + server.late));
        }
        let away = ended.outcome == Outcome::TurnedAway || server.budget.steps == 0;
        if self.shared_limit.is_some() && away {
            server.rest = self.served + (ended.window << server.budget.doublings);
        }
    }
}

impl Server {
    /// Whether this end counts as a failure of the server; `None`: it says nothing of it.
    fn has_failed(&self, ended: &Ended) -> Option<bool> {
        match ended.outcome {
            Outcome::Served => Some(false),
            // Late while others are answered: the server is slow, not gone, and is sent less, not nothing.
            Outcome::TimedOut if self.answered > ended.tried.sent => Some(false),
            outcome if outcome.is_inconclusive() => None,
            _ => Some(true),
        }
    }

    /// A probe request of this server's own has ended.
    fn probed(
        &mut self,
        now: Micros,
        outcome: Outcome,
        was_up: bool,
        first_backoff: Micros,
        actions: &mut Actions,
    ) {
        if outcome != Outcome::Served {
            self.budget.back_off(now, first_backoff);
        } else if was_up || self.failing < FAIL_LIMIT / 2.0 {
            self.budget.trial_served();
            (self.answers_since, self.changed) = (0, now);
            let observation = if was_up { Observation::LimitRaised } else { Observation::Reinstated };
            actions.extend(self.room.map(|_| Action::ShareObservation { server: self.id, observation }));
            if !was_up {
                actions.push(Action::Log { text: format!("server {} taken back", self.id.0) });
            }
        }
    }
}

/// How an attempt ended. Times are in microseconds.
struct Ended {
    tried: Attempt,
    outcome: Outcome,
    /// How long it was out.
    elapsed: f64,
    /// Its class's usual answer time, aim, and unloaded answer time.
    usual: f64,
    aim: f64,
    base: f64,
    /// The longest usual answer time of all classes.
    longest_usual: f64,
    /// Servers in the window.
    window: u64,
}

impl Ended {
    /// Its connection did not come up or broke.
    fn lost(&self) -> bool {
        matches!(self.outcome, Outcome::NoConnection | Outcome::Reset)
    }

    fn late(&self) -> bool {
        self.outcome == Outcome::TimedOut
    }

    /// A time-out proves less than an error: a crowded server may owe a lone call for that long. So does
    /// what one connection did: now and then an answer is spoilt or breaks off at any server.
    fn is_weak(&self) -> bool {
        matches!(self.outcome, Outcome::TimedOut | Outcome::Unknown | Outcome::Reset)
    }

    /// Answer time beyond which the server's own limit is strained.
    fn allowance(&self) -> f64 {
        (self.base * STRAIN_TIMES).min(self.aim * STRAIN_AIM).max(self.base)
    }
}

/// Answer time beyond which the limit of all servers is strained, by a class's unloaded answer time and its
/// aim, all in microseconds. It cannot spare the one server that is slow: it heeds what the aim leaves for
/// waiting.
pub(super) fn shared_allowance(base: f64, aim: f64) -> f64 {
    let waiting = base + (aim - base) * STRAIN_AIM;
    (base * STRAIN_TIMES_SHARED).min(waiting).max(base)
}
