//! What a server's answers, reports and silence teach.

use super::{Actions, Balancer, COST_MEMORY, ZONE_DOUBLINGS};
use crate::api::*;
use crate::budget::{BACKOFF_DOUBLINGS, CUT_MOST, SMOOTHING};
use crate::state::{Attempt, Trial};

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
            Load { in_hand: Some(in_hand), waiting: Some(waiting), .. } => {
                waiting / (in_hand - waiting).max(1.0)
            }
            Load { busy: Some(busy), .. } => busy / BUSY_FULL,
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
        let Attempt { server: id, zone, started, class_id, sent, trial, .. } = tried;
        let elapsed = took.max(now.saturating_sub(sent));
        let (first, longest, longest_aim) = (self.first_backoff(), self.longest_usual(), self.longest_aim());
        let per = self.window(now) as f64;
        let usual = self.usual(class_id, self.settings.classes.get(class_id).map_or(0, |c| c.aim));
        let pace = self.paces.get_mut(class_id);
        let aim = self.settings.classes.get(class_id).map_or(f64::MAX, |c| c.aim as f64);
        let base = pace.as_ref().map_or(f64::MAX, |p| p.base);
        // A shared budget cannot spare the one server that is slow: it heeds what the aim leaves for waiting.
        let pool_limit = (base * STRAIN_TIMES_SHARED).min(base + (aim - base) * STRAIN_AIM).max(base);
        let limit = (base * STRAIN_TIMES).min(aim * STRAIN_AIM).max(base);
        if let Some(pool) = &mut self.pool {
            pool.charge(now, elapsed as f64 - usual);
            pool.budget.trial_out &= trial != Trial::Pool;
            // Time-outs are the pick's: few hosts, or one class of calls, must not shut out all others.
            if !matches!(outcome, Outcome::NoConnection | Outcome::TimedOut) && !outcome.says_nothing() {
                let full = if outcome == Outcome::TurnedAway { 1.0 / CUT_MOST } else { 0.0 };
                let strain = (elapsed as f64 / pool_limit).min(STRAIN_SHARED).max(full);
                pool.learn(now, strain, elapsed as f64, longest);
            }
            match outcome {
                _ if trial != Trial::Pool => {}
                Outcome::Served => pool.budget.trial_served(),
                _ => pool.budget.back_off(now, first),
            }
        }
        // A zone that is cut off fails server by server: after a few in a row it is passed over as a whole.
        // On connections that were there before, packets that go nowhere show by time-outs alone.
        let lost = matches!(outcome, Outcome::NoConnection | Outcome::Reset);
        let late = outcome == Outcome::TimedOut;
        let cut = self.cut_off.entry(zone).or_default();
        if (lost || late) && self.pool.is_some() {
            let doublings = cut.0.min(BACKOFF_DOUBLINGS + ZONE_DOUBLINGS);
            *cut = (cut.0.saturating_add(1), now + ((first << doublings) >> ZONE_DOUBLINGS));
        } else if !outcome.says_nothing() {
            *cut = (0, 0);
        }
        if outcome == Outcome::NoConnection {
            self.narrowed.refused(now);
        }
        let Ok(place) = self.servers.binary_search_by_key(&id, |s| s.id) else { return };
        let server = &mut self.servers[place];
        if server.started != started {
            return; // What a server's last process did says nothing of the new one.
        }
        server.in_flight = server.in_flight.saturating_sub(1);
        // What was not served counts as a whole aim: quick refusals and errors must not make it look idle.
        let fair = matches!(outcome, Outcome::Served | Outcome::Stale | Outcome::Unusable);
        let least = if fair { 0.0 } else { longest_aim };
        let past = (-(now.saturating_sub(server.heard) as f64) / COST_MEMORY).exp();
        server.slow = 1.0 + (server.slow - 1.0) * past;
        server.slow +=
            ((least.max(elapsed as f64) / usual).clamp(0.001, 8.0) - server.slow) * 2.0 * SMOOTHING;
        let strain = (elapsed as f64 / limit).min(4.0);
        let failed = match outcome {
            Outcome::Served => false,
            // Late while others are answered: the server is slow, not gone, and is sent less, not nothing.
            Outcome::TimedOut if server.answered > sent => false,
            _ if outcome.says_nothing() => {
                server.budget.trial_out &= trial != Trial::Server;
                return;
            }
            _ => true,
        };
        // A time-out proves less than an error: a crowded server may owe a lone call for that long. So does
        // what one connection did: now and then an answer is spoilt or breaks off at any server.
        let weak = matches!(outcome, Outcome::TimedOut | Outcome::Unknown | Outcome::Reset);
        let weight = if weak { FAIL_WEIGHT / 2.0 } else { FAIL_WEIGHT };
        server.failing += (if failed { 1.0 } else { 0.0 } - server.failing) * weight;
        // Few answers a second must not make the strain a memory of long ago.
        let gap = now.saturating_sub(server.heard) as f64 / longest_aim;
        let weight = SMOOTHING.max(1.0 - (-gap).exp());
        server.heard = now;
        if !failed {
            server.strain += (strain.max(server.crowding) - server.strain) * weight;
            server.answers_since += 1;
        }
        // Answers alone would make the mean that of the lucky: late ones count for what was waited.
        pace.filter(|_| !failed).into_iter().for_each(|p| p.answered(now, elapsed as f64));
        if outcome == Outcome::Served {
            server.answered = now;
            self.served += 1;
        }
        // Latency well above an unloaded server's is the sign, beside refusals, of too much in flight.
        if outcome == Outcome::TurnedAway {
            server.budget.cut(CUT_FULL, true);
            // Fast refusals leave it looking idle: without a pause it would draw in call after call.
            server.not_before = server.not_before.max(now + longest as Micros);
        } else if server.strain > 1.0 && server.settled(now, longest) {
            server.budget.cut(1.0 / server.strain, server.strain > STRAIN_DEEP);
            server.strain = server.strain.sqrt(); // The cut answers for part of it: one jam is cut for once.
            (server.answers_since, server.changed) = (0, now);
        }
        let was_up = server.budget.steps > 0;
        // One connection that broke is no proof against a server that has only just answered: a step goes
        // when one more breaks soon after, and the last step with the server's share of failures.
        let lively = server.answered > 0 && now.saturating_sub(server.answered) <= first;
        let proof = server.failing > FAIL_LIMIT / 2.0 && server.budget.steps > 1;
        server.budget.steps -= u32::from(lost && was_up && (proof || !lively));
        server.budget.trial_out &= trial != Trial::Server;
        if trial == Trial::Server {
            if outcome != Outcome::Served {
                server.budget.back_off(now, first);
            } else if was_up || server.failing < FAIL_LIMIT / 2.0 {
                server.budget.trial_served();
                (server.answers_since, server.changed) = (0, now);
                let news = if was_up { News::Grown } else { News::TakenBack };
                actions.extend(server.room.map(|_| Action::Tell { server: id, news }));
                if !was_up {
                    actions.push(Action::Log { text: format!("server {} taken back", server.id.0) });
                }
            }
        }
        // Fast errors and refusals make a server look idle: its budget alone would draw calls in.
        if was_up && server.failing > FAIL_LIMIT && (self.aside + 1) * 2 <= self.listed {
            server.budget.steps = 0;
        }
        if was_up && server.budget.steps == 0 {
            server.budget.back_off(now, first);
            // What it showed before says nothing of how it will be when it comes back.
            server.strain = 1.0;
            actions.push(Action::Log { text: format!("server {} set aside", server.id.0) });
            actions.extend(server.room.map(|_| Action::Tell { server: id, news: News::SetAside }));
        }
        let served = u32::from(outcome == Outcome::Served);
        server.late = (server.late + u32::from(late)).saturating_sub(served).min(LATE_MOST);
        // Many balancers that each try it now and then are no rest: it is tried by a part of the usual calls.
        if self.pool.is_some() && late {
            server.rest = self.served + ((per as u64) << (REST_ROUNDS + server.late));
        }
        if self.pool.is_some() && (outcome == Outcome::TurnedAway || server.budget.steps == 0) {
            server.rest = self.served + ((per as u64) << server.budget.doublings);
        }
        self.count();
    }
}
