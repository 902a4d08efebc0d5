//! How many calls may be in flight at one server: its concurrency limit. Which call goes where is decided in
//! `balance.rs`; the limit over all servers is `shared_limit.rs`.

use crate::api::Micros;

/// Most steps of a budget: A105's default for its connections.
const MAX_STEPS: u32 = 10;
/// Calls in flight at a server over all balancers, for a few cores: at first, when all balancers come at once
/// and a jam would last; and where mild strain leads, from above or below.
const INITIAL_CONCURRENCY: f64 = 7.0;
const FLOOR_CONCURRENCY: f64 = 12.0;
/// What one round leaves of the concurrency at the least (TCP's cut).
pub(crate) const MIN_CUT_FACTOR: f64 = 0.5;
/// What a deep cut leaves of the floor at the least: an idle half of a few cores.
const DEEP_CUT_FLOOR_SHARE: f64 = 0.2;
/// Weight of a new answer in a server's strain and in a class's mean: about twenty answers are remembered.
pub(crate) const SMOOTHING: f64 = 0.1;
/// Doublings of a backoff up to its cap.
pub(crate) const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Memory of the rate of answers.
pub(crate) const RATE_TIME_CONSTANT: f64 = 3e6;

/// Per-server in-flight budget: steps x concurrency, grown one served trial at a time under a shared backoff.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    pub(crate) steps: u32,
    pub(crate) concurrency: f64,
    /// The budget that cuts leave at the least.
    pub(crate) floor: f64,
    pub(crate) probe_in_flight: bool,
    pub(crate) backoff_doublings: u32,
    pub(crate) backoff_end: Micros,
}

impl ConcurrencyLimit {
    pub(crate) fn new(balancers: u32) -> Self {
        let per_balancer = |concurrency: f64| concurrency / f64::from(balancers.max(1));
        let (concurrency, floor) = (per_balancer(INITIAL_CONCURRENCY), per_balancer(FLOOR_CONCURRENCY));
        ConcurrencyLimit { steps: 1, concurrency, floor, ..ConcurrencyLimit::default() }
    }

    pub(crate) fn probe_ready(&self, now: Micros) -> bool {
        !self.probe_in_flight && now >= self.backoff_end
    }

    pub(crate) fn raise(&mut self) {
        self.backoff_doublings = 0;
        if self.steps < MAX_STEPS {
            self.steps += 1;
        } else {
            // At the clamp the concurrency figure itself was learned too low: it takes the step instead.
            self.concurrency *= 1.0 + 1.0 / f64::from(MAX_STEPS);
        }
    }

    pub(crate) fn back_off(&mut self, now: Micros, first_backoff: Micros) {
        self.backoff_end = now + (first_backoff << self.backoff_doublings);
        self.backoff_doublings = (self.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// A cut ends at the floor, and comes up to it after a deep one. Deep are a refusal as full, and answers
    /// near their aim or past it: the server then does far less than the floor supposes.
    pub(crate) fn reduce(&mut self, factor: f64, deep: bool) {
        let minimum =
            if deep { self.floor * DEEP_CUT_FLOOR_SHARE } else { self.floor } / f64::from(self.steps.max(1));
        self.concurrency = (self.concurrency * factor.max(MIN_CUT_FACTOR)).max(minimum);
    }
}

/// Do so many answers, or so long a time, since a budget changed tell what the change did?
pub(crate) fn enough_feedback(responses: u32, elapsed: Micros, usual_latency: f64) -> bool {
    f64::from(responses) * SMOOTHING >= 1.0 || elapsed as f64 >= 2.0 * usual_latency
}
