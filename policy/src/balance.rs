//! All decisions of the balancer. Its interface (settings, events, actions) is `src/api.rs`; the mechanism
//! and the condition of each departure from it are in `docs/design.md`. Budgets are `src/budget.rs` and
//! `src/shared_limit.rs`.
//!
//! A call goes to the less-loaded of two random servers under their in-flight budgets, waits in the hold when
//! all are full, may pass one as the trial that can raise it, and is refused when no server is up.

use crate::api::*;
use crate::call::{Attempt, Call, Pace, Route, Trial};
use crate::concurrency_limit::{enough, Budget, RATE_MEMORY, SMOOTHING};
use crate::list_lease::ListLease;
use crate::shared_limit::{SharedLimit, LATE_TIMES};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod outcomes;
mod peers;
mod server_list;
mod slow_start;
mod subscription;
mod subset;

// Constants. Spans are ratios to the settings' aims or to observed answer times.

/// Time over which a class's unloaded answer time may drift up to its present mean.
const BASE_DRIFT: f64 = 120e6;
/// Answer time of a class of which none was seen, as a share of what a call has.
const UNSEEN_SHARE: f64 = 0.25;
/// First backoff as a share of the longest aim.
const BACKOFF_AIM: f64 = 0.25;
/// Wait in the hold beyond which new calls are refused, as a share of their aim.
const WAIT_AIM: f64 = 0.1;
/// Usual answer times that must be left before the aim: for a second copy, and for a protected call to wait.
const SPARE_TIMES: f64 = 2.0;
/// Further attempts and second copies that each call earns, and the most that may be saved up.
const RETRY_EARNED: f64 = 0.2;
const RETRY_SAVED: f64 = 20.0;
/// Held calls looked at beyond the first, at an event: it bounds the CPU that a long hold costs.
const LOOK_PAST: usize = 16;
/// Memory of what a server costs, where budgets are shared and each balancer meets it seldom.
const COST_MEMORY: f64 = 4e6;
/// How much less often the dearer of two is chosen: by this power of what a call costs there.
const COST_POWER: i32 = 6;
/// Doublings of a zone's backoff up to a server's first: one failed connection says little of a zone.
const ZONE_DOUBLINGS: u32 = 3;

type Actions = Vec<Action>;

/// A server as this balancer sees it.
#[derive(Debug, Default)]
struct Server {
    id: ServerId,
    zone: ZoneId,
    cell: CellId,
    listed: bool,
    started: Micros,
    in_flight: u32,
    budget: Budget,
    weight: f64,
    /// Answer times over the usual ones of their classes.
    slow: f64,
    /// Answer times over what its classes allow; 1 is the limit.
    strain: f64,
    answers_since: u32,
    /// Its last report, as strain.
    crowding: f64,
    /// When its budget last changed, when an attempt there last ended, and when it last served.
    changed: Micros,
    heard: Micros,
    answered: Micros,
    /// Recent share of failures.
    failing: f64,
    /// It is sent nothing before this time and that many answers of this balancer: it has refused or failed.
    not_before: Micros,
    rest: u64,
    /// Time-outs here, less the calls served since: so often is its rest doubled.
    late: u32,
    /// While cold it is sent nothing before that many answers of this balancer, or before this time.
    cold_answers: u64,
    cold_until: Micros,
    /// What it waits for its first call by, until that is sent.
    first: Option<slow_start::First>,
    /// Where room is shared in the process: this balancer's part, and whether it may go beyond by a trial.
    room: Option<(u32, bool)>,
    /// When its last report was made.
    reported: Micros,
}

impl Server {
    fn new(entry: &Entry, settings: &Settings) -> Self {
        let &Entry { server: id, zone, cell, started, .. } = entry;
        let (budget, room) =
            (Budget::new(settings.balancers), settings.shares_capacity.then_some((0, false)));
        Server { id, zone, cell, started, weight: 1.0, slow: 1.0, budget, room, ..Server::default() }
    }

    /// How many calls its budget allows now, as a mean.
    fn allows(&self, now: Micros, rules: &Rules) -> f64 {
        f64::from(self.budget.steps) * self.budget.concurrency * self.warmth(now, rules)
    }

    fn may_try(&self) -> bool {
        self.room.is_none_or(|(_, trial)| trial)
    }

    /// What a call may cost here, in usual answers: what answers took lately and what the last report waits,
    /// for each call of this balancer that would be there.
    fn cost(&self, now: Micros) -> f64 {
        let left = |at: Micros| (-(now.saturating_sub(at) as f64) / COST_MEMORY).exp();
        let known = 1.0 + (self.slow - 1.0) * left(self.heard) + self.crowding * left(self.reported);
        known * f64::from(1 + self.in_flight)
    }

    /// Share of its capacity that a server has at the least, by the rules' cold share and time.
    fn warmth(&self, now: Micros, rules: &Rules) -> f64 {
        let age = now.saturating_sub(self.started);
        if self.started == 0 || age >= rules.cold_time {
            return 1.0;
        }
        rules.cold_share + (1.0 - rules.cold_share) * age as f64 / rules.cold_time as f64
    }

    fn full(&self, now: Micros, rules: &Rules) -> bool {
        let own = || (self.allows(now, rules) + 0.5).max(1.0) as u32;
        self.in_flight >= self.room.map_or_else(own, |(room, _)| room)
    }

    fn open(&self, now: Micros, served: u64, rules: &Rules) -> bool {
        self.paced(now, served, rules) && self.rested(now, served)
    }

    /// Whether it is warm, or its turn among the cold ones has come.
    fn paced(&self, now: Micros, served: u64, rules: &Rules) -> bool {
        served >= self.cold_answers || now >= self.cold_until || self.warmth(now, rules) >= 1.0
    }

    fn rested(&self, now: Micros, served: u64) -> bool {
        self.takes_calls(now) && self.has_rested(now, served)
    }

    /// Whether it is listed and has not just refused.
    fn takes_calls(&self, now: Micros) -> bool {
        self.listed && now >= self.not_before
    }

    /// Whether its rest after time-outs is over: so many answers of this balancer, or so long a time.
    fn has_rested(&self, now: Micros, served: u64) -> bool {
        let span = 3.0 * RATE_MEMORY * f64::from(1 << self.late);
        served >= self.rest || now.saturating_sub(self.heard) as f64 >= span
    }

    /// May a call go beyond its budget, to learn whether it takes more?
    fn tryable(&self, now: Micros, longest: f64, rules: &Rules) -> bool {
        let settled = self.changed == 0 || self.settled(now, longest);
        self.budget.trial_ready(now) && self.strain <= 1.0 && settled && self.warmth(now, rules) >= 1.0
    }

    fn usable(&self, now: Micros, served: u64, rules: &Rules) -> bool {
        self.budget.steps > 0 && self.open(now, served, rules)
    }

    fn settled(&self, now: Micros, usual: f64) -> bool {
        let answers = self.answers_since;
        answers >= self.in_flight.max(1) && enough(answers, now.saturating_sub(self.changed), usual)
    }

    fn returning(&self, now: Micros, served: u64, rules: &Rules) -> bool {
        self.budget.steps == 0
            && self.budget.trial_ready(now)
            && self.open(now, served, rules)
            && self.may_try()
    }
}

impl Call {
    fn aim_at(&self) -> Micros {
        let aim = if self.class.late_value > 0.0 { self.class.deadline } else { self.class.latency_target };
        self.deadline.min(self.arrived.saturating_add(aim))
    }

    /// May this call go again, here? Proof over all its attempts decides, never the last outcome alone.
    fn may_go(&self, now: Micros, server: &Server, tick: Micros) -> bool {
        match (self.binding(), self.class.idempotency) {
            (None, _) | (_, Idempotency::Free) => true,
            (Some(_), Idempotency::SingleShot) => false,
            (Some(first), Idempotency::Guarded { scope, window }) => {
                let inside = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => first.zone == server.zone,
                    DedupScope::Cell => first.cell == server.cell,
                };
                inside && now.saturating_add(tick) < first.sent.saturating_add(window)
            }
        }
    }

    fn may_be_refused(&self) -> bool {
        let harmless = matches!(
            self.class.idempotency,
            Idempotency::Free | Idempotency::Guarded { scope: DedupScope::All, .. }
        );
        harmless || self.binding().is_none()
    }
}

impl Pace {
    fn answered(&mut self, now: Micros, elapsed: f64) {
        self.seen = self.seen.saturating_add(1);
        let sample = if self.seen > 8 { elapsed.min(8.0 * self.base) } else { elapsed };
        self.mean += (sample - self.mean) * (1.0 / f64::from(self.seen)).max(SMOOTHING / 2.0);
        let drift = (now.saturating_sub(self.at) as f64 / BASE_DRIFT).min(1.0);
        self.at = now;
        let drifted = if self.seen <= 8 { self.mean } else { self.base + (self.mean - self.base) * drift };
        self.base = self.mean.min(drifted).max(1.0);
    }
}

/// The servers that a call may go to, by their places: all in the window, those with room, and those at
/// which a probe request may be made.
struct Candidates {
    up: Vec<usize>,
    room: Vec<usize>,
    trials: Vec<usize>,
}

/// Decides for one client proxy.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    random: Pcg32,
    servers: Vec<Server>,
    shared_limit: Option<SharedLimit>,
    /// By zone: connections that failed in a row, and until when it is passed over.
    cut_off: BTreeMap<ZoneId, (u32, Micros)>,
    calls: BTreeMap<CallId, Call>,
    hold: VecDeque<CallId>,
    wakes: BTreeSet<(Micros, CallId)>,
    paces: Vec<Pace>,
    tenants: Vec<f64>,
    retries: f64,
    listed: usize,
    aside: usize,
    served: u64,
    timer_at: Micros,
    ask_at: Micros,
    ask_failures: u32,
    ask_soon: Micros,
    lease: ListLease,
    narrowed: subset::Narrowed,
}

impl Balancer {
    /// A balancer that draws all its random numbers from `seed`.
    pub fn new(seed: u64, settings: Settings) -> Self {
        let pace = |c: &Class| Pace {
            mean: c.latency_target as f64 * UNSEEN_SHARE,
            base: c.latency_target as f64 * UNSEEN_SHARE,
            ..Pace::default()
        };
        Balancer {
            random: Pcg32::seed_from_u64(seed),
            paces: settings.classes.iter().map(pace).collect(),
            tenants: vec![0.0; settings.tenants.len()],
            shared_limit: SharedLimit::new(settings.balancers),
            lease: ListLease::new(&settings.rules),
            settings,
            servers: Vec::new(),
            cut_off: BTreeMap::new(),
            calls: BTreeMap::new(),
            hold: VecDeque::new(),
            wakes: BTreeSet::new(),
            retries: RETRY_SAVED,
            listed: 0,
            aside: 0,
            served: 0,
            timer_at: Micros::MAX,
            ask_at: Micros::MAX,
            ask_failures: 0,
            ask_soon: Micros::MAX,
            narrowed: subset::Narrowed::default(),
        }
    }

    /// Takes one event at time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        // A call that comes behind others changes nothing for them; in overload most do.
        let stands = matches!(event, Event::Request { .. }) && !self.hold.is_empty();
        // Room that has come is used before a call that waited for it is given up.
        let room = matches!(event, Event::Allocations { .. });
        match event {
            Event::Start if self.settings.pull_list => self.ask_first(now, actions),
            Event::ServerList { kind, entries } => self.members(now, kind, &entries),
            Event::Freshness(freshness) => self.freshness(now, freshness),
            Event::Request { call, class, tenant, time_left, .. } if !self.calls.contains_key(&call) => {
                self.request(now, call, class, time_left);
                self.admit(now, call, tenant, actions);
                self.ask_sooner(now);
            }
            Event::Outcome { call, attempt, outcome, elapsed, closed, load } => {
                self.report(now, call, attempt, load);
                if let Some(tried) = self.outcome(call, attempt, outcome) {
                    self.learn(now, tried, outcome, elapsed, actions);
                    self.proceed(now, call, outcome, closed, actions);
                }
            }
            Event::Streaming { call, attempt } => {
                // The client has its answer: nothing more is owed.
                self.end(call);
                self.cancel_others(call, Some(attempt), actions);
            }
            Event::Detached { call } if self.calls.get(&call).is_some_and(|c| !c.ended) => {
                self.end(call);
                self.calls.get_mut(&call).into_iter().for_each(|c| c.lingers = true);
                self.forget(call);
            }
            Event::Extended { call: id, time_left } => {
                // One that is held ends in its time and never ran: whoever waits longer may come anew.
                let wanted = self.calls.get_mut(&id).filter(|c| (!c.ended || c.lingers) && !c.held);
                if let Some(call) = wanted {
                    (call.arrived, call.deadline) = (now, call.deadline.max(now.saturating_add(time_left)));
                    call.ended = false;
                    if std::mem::take(&mut call.lingers) {
                        self.watch_for_copy(now, id);
                    }
                }
            }
            Event::Cancelled { call } => {
                self.end(call);
                self.cancel_others(call, None, actions);
                self.forget(call);
            }
            // Of several alarms only the one due now counts: else each would set another for good.
            Event::Timer if now >= self.timer_at => self.timer_at = Micros::MAX,
            Event::Allocations { allocations } => {
                for Allocation { server, concurrency, probe } in allocations {
                    let place = self.servers.binary_search_by_key(&server, |s| s.id);
                    place.into_iter().for_each(|at| self.servers[at].room = Some((concurrency, probe)));
                }
            }
            Event::Observed { server, observation, age } => self.observed(now, server, observation, age),
            Event::Timer | Event::Start | Event::HealthChecked { .. } | Event::Request { .. } => {}
            Event::Detached { .. } => {}
        }
        if room {
            self.drain_hold(now, actions);
        }
        self.wake_calls(now, actions);
        if !stands && !room {
            self.drain_hold(now, actions);
        }
        if now >= self.ask_at {
            self.ask_at = Micros::MAX;
            actions.push(Action::Subscribe);
        }
        self.set_timer(now, actions);
    }

    fn request(&mut self, now: Micros, id: CallId, class: ClassId, left: Micros) {
        // A class that the settings do not name is unsafe and wanted while the client waits.
        let unknown = Class { latency_target: left, deadline: left, ..Class::default() };
        let spec = self.settings.classes.get(class.0).copied().unwrap_or(unknown);
        let deadline = now.saturating_add(left);
        self.calls
            .insert(id, Call { class: spec, class_id: class.0, arrived: now, deadline, ..Call::default() });
        self.retries = (self.retries + RETRY_EARNED).min(RETRY_SAVED);
        self.paces.iter_mut().skip(class.0).take(1).for_each(|p| p.asked += 1.0);
    }

    /// Lets a new call join the hold, unless it would wait too long there.
    fn admit(&mut self, now: Micros, id: CallId, tenant: Option<TenantId>, actions: &mut Actions) {
        let over_share = tenant.is_some_and(|t| self.over_share(t));
        if self.lease.has_expired(now) {
            return self.give_up(id, self.first_backoff(), FailureReason::ListExpired, actions);
        }
        let waited = self.hold.front().map_or(0, |head| now.saturating_sub(self.calls[head].arrived));
        if waited > self.wait_limit(id, over_share) {
            self.give_up(id, waited, FailureReason::QueueFull, actions);
        } else {
            self.enqueue(now, id, false);
        }
    }

    /// How long may the hold's head have waited for this call to join? Without a bound all would be served
    /// late. Classes whose worth for their work outweighs the goal's part of the worst class wait longest.
    fn wait_limit(&self, id: CallId, over_share: bool) -> Micros {
        let call = &self.calls[&id];
        let usual = self.expected(call);
        let aim = call.aim_at().saturating_sub(call.arrived) as f64;
        let limit = match over_share {
            true => aim * WAIT_AIM / 2.0,
            false if self.protected(call) => (aim * WAIT_AIM).max(aim - SPARE_TIMES * usual),
            false => aim * WAIT_AIM,
        };
        limit.min(aim - usual).max(0.0) as Micros
    }

    fn protected(&self, call: &Call) -> bool {
        let all = self.paces.iter().zip(&self.settings.classes);
        let (worth, work) =
            all.fold((0.0, 0.0), |(w, t), (p, c)| (w + p.asked * c.value, t + p.asked * p.base));
        let base = self.paces.get(call.class_id).map_or(f64::MAX, |p| p.base);
        let density = call.class.value / base * work / worth.max(f64::MIN_POSITIVE);
        let weights = &self.settings.score_weights;
        weights.overall * density > weights.overall + weights.worst_class
    }

    /// Counts a tenant's call and tells whether it asks for more than its share of this balancer's calls.
    fn over_share(&mut self, tenant: TenantId) -> bool {
        let Some(share) = self.settings.tenants.get(tenant.0).map(|t| t.share) else { return true };
        for (index, asked) in self.tenants.iter_mut().enumerate() {
            *asked += (if index == tenant.0 { 1.0 } else { 0.0 } - *asked) * SMOOTHING / 10.0;
        }
        let all: f64 = self.tenants.iter().sum();
        self.tenants[tenant.0] > all * share * 1.1
    }

    fn usual(&self, class_id: usize, aim: Micros) -> f64 {
        self.paces.get(class_id).map_or(aim as f64 * UNSEEN_SHARE, |p| p.mean)
    }

    /// How long an answer to this call takes, in microseconds: its class's usual time, once one was seen.
    /// Until then it is a part of what the call has: the class's aim may be longer than its client waits.
    fn expected(&self, call: &Call) -> f64 {
        match self.paces.get(call.class_id) {
            Some(pace) if pace.seen > 0 => pace.mean,
            _ => call.aim_at().saturating_sub(call.arrived) as f64 * UNSEEN_SHARE,
        }
    }

    /// Puts a call into the hold; one that goes again is older than those waiting and goes to the front.
    fn enqueue(&mut self, now: Micros, id: CallId, again: bool) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.held = true;
        let call = &self.calls[&id];
        // Its way out: when a usual answer could not come in time, and always before the client gives up. Not
        // in this very moment: room that it asks others of the process for comes by the events that follow.
        let tick = self.settings.tick.max(1);
        let last = call.deadline.saturating_sub(tick).max(now);
        let hopeless = call.aim_at().saturating_sub(self.expected(call) as Micros);
        let wake = hopeless.max(now.saturating_add(tick)).min(last).max(1);
        self.set_wake(id, wake);
        self.hold.insert(if again { 0 } else { self.hold.len() }, id);
    }

    /// Notes an attempt's end; late, double and unknown ones change nothing.
    fn outcome(&mut self, id: CallId, attempt: u32, outcome: Outcome) -> Option<Attempt> {
        let call = self.calls.get_mut(&id)?;
        let tried = call.attempts.get_mut(attempt as usize).filter(|a| a.outcome.is_none())?;
        tried.outcome = Some(outcome);
        Some(*tried)
    }

    /// After an attempt's end: the call's end, another attempt, or nothing while a copy is out.
    fn proceed(&mut self, now: Micros, id: CallId, outcome: Outcome, closed: bool, actions: &mut Actions) {
        if closed || outcome == Outcome::Served {
            self.end(id);
            self.cancel_others(id, None, actions);
        } else if self.calls.get(&id).is_some_and(|c| !c.ended && !c.held && c.out() == 0) {
            if outcome == Outcome::Unusable {
                // It would fare alike everywhere, and the client is not to come again with it.
                actions.push(Action::Fail { call: id, reason: FailureReason::Unusable });
                self.end(id);
            } else {
                self.again(now, id, outcome, actions);
            }
        }
        self.forget(id);
    }

    /// After an attempt that did not serve: again, or the end.
    fn again(&mut self, now: Micros, id: CallId, outcome: Outcome, actions: &mut Actions) {
        if self.lease.has_expired(now) {
            return self.give_up(id, self.first_backoff(), FailureReason::ListExpired, actions);
        }
        let call = &self.calls[&id];
        let in_time = now as f64 + self.expected(call) < call.aim_at() as f64;
        let some = self.servers.iter().any(|s| s.listed && call.may_go(now, s, self.settings.tick));
        let more = (call.attempts.len() as u32) < self.settings.limits.max_attempts;
        if in_time && some && more && (self.retries >= 1.0 || outcome == Outcome::NoConnection) {
            self.retries = (self.retries - 1.0).max(0.0);
            self.enqueue(now, id, true);
        } else {
            self.give_up(id, self.first_backoff(), FailureReason::NoRetry, actions);
        }
    }

    fn give_up(&mut self, id: CallId, retry_after: Micros, reason: FailureReason, actions: &mut Actions) {
        // By the next look at held calls there may be room, not before.
        let retry_after = retry_after.max(self.look_every()).min(self.settings.limits.max_retry_after);
        let refused = self.calls[&id].may_be_refused();
        actions.push(if refused {
            Action::Refuse { call: id, retry_after, reason }
        } else {
            Action::Fail { call: id, reason }
        });
        self.end(id);
        self.cancel_others(id, None, actions);
        self.forget(id);
    }

    fn end(&mut self, id: CallId) {
        self.set_wake(id, 0);
        let Some(call) = self.calls.get_mut(&id) else { return };
        (call.ended, call.lingers) = (true, false);
        if std::mem::take(&mut call.held) {
            self.hold.retain(|&held| held != id);
        }
    }

    fn cancel_others(&mut self, id: CallId, but: Option<u32>, actions: &mut Actions) {
        let Some(call) = self.calls.get(&id).filter(|_| self.settings.limits.cancel) else { return };
        let out = (0..).zip(&call.attempts).filter(|(n, a)| a.outcome.is_none() && Some(*n) != but);
        actions.extend(out.map(|(attempt, _)| Action::Cancel { call: id, attempt }));
    }

    fn forget(&mut self, id: CallId) {
        if self.calls.get(&id).is_some_and(|c| c.ended && c.out() == 0) {
            self.calls.remove(&id);
        }
    }

    /// Decides whether a call is sent, held or refused.
    fn route(&mut self, now: Micros, id: CallId) -> Route {
        let draw = self.cold_draw(now);
        let longest = self.longest_usual();
        let full_limit = self.shared_limit.as_ref().filter(|limit| limit.is_full(now, longest));
        let limit_full = full_limit.is_some();
        if full_limit.is_some_and(|limit| !limit.may_probe(now)) {
            return Route::Hold;
        }
        let candidates = self.candidates(now, id, draw, limit_full);
        let trial = if limit_full { Trial::Shared } else { Trial::No };
        let picked = self.two_choices(now, &candidates.up);
        if let Some(server) = picked.filter(|&at| !self.servers[at].full(now, &self.settings.rules)) {
            return Route::Send { server, trial };
        }
        match (self.two_choices(now, &candidates.room), self.two_choices(now, &candidates.trials)) {
            (Some(server), _) => Route::Send { server, trial },
            (None, Some(_)) if limit_full => Route::Hold,
            (None, Some(server)) => Route::Send { server, trial: Trial::Server },
            (None, None) => self.hold_or_refuse(now),
        }
    }

    /// The servers that this call may go to.
    fn candidates(&self, now: Micros, id: CallId, draw: Option<(f64, f64)>, limit_full: bool) -> Candidates {
        let call = &self.calls[&id];
        let (rules, tick) = (&self.settings.rules, self.settings.tick);
        let longest = self.longest_usual();
        let ready = |s: &Server| s.may_try() && s.tryable(now, longest, rules);
        // Where all are of one zone, or of none that is named, there is nothing to go to instead.
        let one = self.cut_off.len() < 2;
        let near = |s: &Server| one || self.cut_off.get(&s.zone).is_none_or(|cut| now >= cut.1);
        let rest_counts = self.rest_counts(now);
        let rested = |s: &Server| s.takes_calls(now) && (!rest_counts || s.has_rested(now, self.served));
        let turn = |i: usize, s: &Server| match draw {
            Some(draw) => slow_start::takes(draw, i, s.warmth(now, rules)),
            None => s.paced(now, self.served, rules),
        };
        let open = |i: usize, s: &Server| rested(s) && turn(i, s);
        let allowed =
            |i: usize, s: &Server| s.budget.steps > 0 && open(i, s) && near(s) && call.may_go(now, s, tick);
        // Windows begin at even distances on the ring of servers: each server is in as many as any other.
        let len = self.servers.len();
        let start = self.settings.balancer_index as usize * len / self.settings.balancers.max(1) as usize;
        let ring = || (start..start + len).map(|i| i % len).filter(|&i| allowed(i, &self.servers[i]));
        let fresh = ring().any(|i| call.untried(self.servers[i].id));
        let untried = ring().filter(|&i| !fresh || call.untried(self.servers[i].id));
        let up: Vec<usize> = untried.clone().take(self.window(now)).collect();
        let free = |s: &Server| !s.full(now, rules) && (draw.is_none() || s.warmth(now, rules) >= 1.0);
        let mut room: Vec<_> = up.iter().copied().filter(|&i| free(&self.servers[i])).collect();
        let trials = up.iter().copied().filter(|&i| ready(&self.servers[i])).collect();
        // The window follows what was in flight: more calls than that at once go on along the ring.
        if room.is_empty() && self.shared_limit.is_some() && !limit_full {
            room.extend(untried.skip(up.len()).find(|&i| free(&self.servers[i])));
        }
        Candidates { up, room, trials }
    }

    /// Whether servers may rest. Where most do, there is nothing to go to instead, and a rest that is counted
    /// in answers of this balancer would never end.
    fn rest_counts(&self, now: Micros) -> bool {
        let up = self.servers.iter().filter(|s| s.listed && s.budget.steps > 0);
        let (mut all, mut rested) = (0, 0);
        for server in up {
            all += 1;
            rested += u32::from(server.has_rested(now, self.served));
        }
        rested * 2 >= all
    }

    /// Where no server takes a call: it waits, or is refused if all are set aside.
    fn hold_or_refuse(&self, now: Micros) -> Route {
        let all = self.servers.iter().filter(|s| s.listed);
        let down = all.clone().all(|s| s.budget.steps == 0);
        let first = all.map(|s| s.budget.backoff_end).min();
        let first = first.filter(|&at| down && !(self.settings.shares_capacity && at <= now));
        first.map_or(Route::Hold, |at| Route::Refuse {
            retry_after: at.saturating_sub(now).max(self.first_backoff()),
        })
    }

    /// The less loaded of two random ones by own calls in flight, strain breaking ties; where budgets are
    /// shared, the one that costs less, mostly.
    fn two_choices(&mut self, now: Micros, among: &[usize]) -> Option<usize> {
        let len = among.len() as u64;
        let first = self.below(len);
        let a = *among.get(first as usize)?;
        let b = among[((first + 1 + self.below(len - 1)) % len) as usize];
        let (first, second) = (&self.servers[a], &self.servers[b]);
        if self.shared_limit.is_none() {
            let load = |s: &Server| (s.in_flight, s.strain);
            return Some(if load(second) < load(first) { b } else { a });
        }
        // Where many know the same, all would go to the same: the dearer one is chosen now and then.
        let worth = |s: &Server| s.weight / s.cost(now).powi(COST_POWER);
        let (first, second) = (worth(first), worth(second));
        Some(if self.chance() * (first + second) < second { b } else { a })
    }

    fn send(&mut self, now: Micros, id: CallId, place: usize, trial: Trial, actions: &mut Actions) {
        self.pace_next_call(now, place);
        let server = &mut self.servers[place];
        server.in_flight += 1;
        server.budget.trial_out |= trial == Trial::Server;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let &mut Server { id: server, started, zone, cell, .. } = server;
        // Into a zone that was cut off one call goes at a time: a time-out is learnt of an aim later.
        if let Some(cut) = self.cut_off.get_mut(&zone).filter(|cut| cut.0 >= ZONE_DOUBLINGS) {
            cut.1 = cut.1.max(now.saturating_add(call.class.latency_target));
        }
        let (class_id, sent, outcome) = (call.class_id, now, None);
        let base = self.paces.get(class_id).map_or(f64::MAX, |pace| pace.base);
        let allowance = outcomes::shared_allowance(base, call.class.latency_target as f64);
        let late_at = now.saturating_add((allowance * LATE_TIMES) as Micros);
        let tried = Attempt { server, started, zone, cell, class_id, sent, trial, late_at, outcome };
        call.attempts.push(tried);
        // An answer after the aim is worth little: its server is better used by others.
        let (aim, deadline) = (call.aim_at(), call.deadline);
        let usual = self.usual(class_id, self.calls[&id].class.latency_target);
        if let Some(limit) = &mut self.shared_limit {
            limit.sent(now, usual, late_at, trial);
        }
        let until = (aim < deadline && aim as f64 > now as f64 + usual).then_some(aim);
        actions.push(Action::Send { call: id, server, until });
        self.watch_for_copy(now, id);
    }

    /// Has a call looked at when a second copy of its one attempt may be due.
    fn watch_for_copy(&mut self, now: Micros, id: CallId) {
        let call = &self.calls[&id];
        let (aim, arrived, copies) = (call.aim_at(), call.arrived, call.attempts.len());
        let usual = self.usual(call.class_id, call.class.latency_target);
        // The latest moment at which a second copy can still be in time, but not before the first is slow.
        let copy_at = (aim as f64 - SPARE_TIMES * usual).max(arrived as f64 + 1.5 * usual);
        // A shared budget tells nothing of one server: the copy would only add to the work.
        let copies = copies == 1 && self.settings.limits.hedging && self.shared_limit.is_none();
        let copy = copies && copy_at + usual <= aim as f64;
        self.set_wake(id, if copy { (copy_at as Micros).max(now + 1) } else { 0 });
    }

    fn drain_hold(&mut self, now: Micros, actions: &mut Actions) {
        if self.lease.has_expired(now) {
            for id in Vec::from(std::mem::take(&mut self.hold)) {
                self.give_up(id, self.first_backoff(), FailureReason::ListExpired, actions);
            }
            return;
        }
        for place in 0..self.servers.len() {
            if self.servers[place].returning(now, self.served, &self.settings.rules) {
                // Only a call that never went: a bound one may go to some servers alone.
                let mut held = self.hold.iter().take(LOOK_PAST);
                if let Some(index) = held.position(|id| self.calls[id].attempts.is_empty()) {
                    let id = self.hold[index];
                    self.take(index);
                    self.send(now, id, place, Trial::Server, actions);
                }
            }
        }
        let mut index = 0;
        while let Some(&id) = self.hold.get(index) {
            match self.route(now, id) {
                Route::Send { server, trial } => {
                    self.take(index);
                    self.send(now, id, server, trial, actions);
                }
                Route::Refuse { retry_after } => {
                    self.give_up(id, retry_after, FailureReason::ServersDown, actions)
                }
                // Arrival order: the first that stays keeps the rest, unless bound to some servers.
                Route::Hold if self.calls[&id].binding().is_some() && index < LOOK_PAST => index += 1,
                Route::Hold => break,
            }
        }
    }

    fn take(&mut self, index: usize) {
        if let Some(call) = self.hold.remove(index).and_then(|id| self.calls.get_mut(&id)) {
            call.held = false;
        }
    }

    fn wake_calls(&mut self, now: Micros, actions: &mut Actions) {
        while let Some(&(_, id)) = self.wakes.first().filter(|wake| wake.0 <= now) {
            self.set_wake(id, 0);
            if self.calls[&id].held {
                let waited = now.saturating_sub(self.calls[&id].arrived);
                self.give_up(id, waited, FailureReason::WaitedTooLong, actions);
            } else {
                self.second_copy(now, id, actions);
            }
        }
    }

    /// A second copy for a call that is late on a server that may have stalled, while others have room.
    fn second_copy(&mut self, now: Micros, id: CallId, actions: &mut Actions) {
        let call = &self.calls[&id];
        let more = (call.attempts.len() as u32) < self.settings.limits.max_attempts && call.out() == 1;
        let some = |s: &Server| {
            s.usable(now, self.served, &self.settings.rules)
                && call.may_go(now, s, self.settings.tick)
                && call.untried(s.id)
        };
        let spare = self.retries >= 1.0 && self.hold.is_empty() && !self.lease.has_expired(now);
        if !more || !spare || !self.servers.iter().any(some) {
            return;
        }
        if let Route::Send { server, trial: Trial::No } = self.route(now, id) {
            self.retries -= 1.0;
            self.send(now, id, server, Trial::No, actions);
        }
    }

    fn set_wake(&mut self, id: CallId, at: Micros) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.wake != 0 {
            self.wakes.remove(&(call.wake, id));
        }
        call.wake = at;
        if at != 0 {
            self.wakes.insert((at, id));
        }
    }

    /// One timer for everything that is due by time alone.
    fn set_timer(&mut self, now: Micros, actions: &mut Actions) {
        let mut next = self.ask_at.min(self.wakes.first().map_or(Micros::MAX, |w| w.0));
        if let Some(at) = self.lease.expires_at().filter(|at| *at > now) {
            next = next.min(at);
        }
        if !self.hold.is_empty() {
            next = next.min(now.saturating_add(self.look_every()));
        }
        if next < self.timer_at {
            self.timer_at = next;
            actions.push(Action::SetTimer { after: next.saturating_sub(now).max(1) });
        }
    }

    fn first_backoff(&self) -> Micros {
        ((self.longest_aim() * BACKOFF_AIM) as Micros).max(1_000)
    }

    /// How often held calls are looked at: limits, backoffs and pauses end at no event.
    fn look_every(&self) -> Micros {
        self.settings.tick.max(self.first_backoff() / 8)
    }

    fn longest_aim(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.latency_target).max().unwrap_or(0).max(1) as f64
    }

    fn longest_usual(&self) -> f64 {
        self.paces.iter().map(|p| p.mean).fold(1.0, f64::max)
    }

    /// A draw from 0 to 1.
    fn chance(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / 4_294_967_296.0
    }

    fn below(&mut self, bound: u64) -> u64 {
        (u64::from(self.random.next_u32()) * bound.min(u64::from(u32::MAX))) >> 32
    }
}
