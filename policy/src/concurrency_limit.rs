//! How many calls may be in flight at one server: its concurrency limit. Which call goes where is decided in
//! `balance.rs`; the limit over all servers is `shared_limit.rs`.

use crate::api::Micros;

/// Most steps of a budget: A105's default for its connections.
const STEP_CLAMP: u32 = 10;
/// Calls in flight at a server over all balancers, for a few cores: at first, when all balancers come at once
/// and a jam would last; and where mild strain leads, from above or below.
const START_CONCURRENCY: f64 = 7.0;
const FLOOR_CONCURRENCY: f64 = 12.0;
/// What one round leaves of the concurrency at the least (TCP's cut).
pub(crate) const CUT_MOST: f64 = 0.5;
/// What a deep cut leaves of the floor at the least: an idle half of a few cores.
const DEEP_FLOOR: f64 = 0.2;
/// Weight of a new answer in a server's strain and in a class's mean: about twenty answers are remembered.
pub(crate) const SMOOTHING: f64 = 0.1;
/// Doublings of a backoff up to its cap.
pub(crate) const BACKOFF_DOUBLINGS: u32 = 4;
/// Memory of the rate of answers.
pub(crate) const RATE_MEMORY: f64 = 3e6;

/// Per-server in-flight budget: steps x concurrency, grown one served trial at a time under a shared backoff.
#[derive(Debug, Default)]
pub(crate) struct Budget {
    pub(crate) steps: u32,
    pub(crate) concurrency: f64,
    /// The budget that cuts leave at the least.
    pub(crate) floor: f64,
    pub(crate) trial_out: bool,
    pub(crate) doublings: u32,
    pub(crate) backoff_end: Micros,
}

impl Budget {
    pub(crate) fn new(balancers: u32) -> Self {
        let of_all = |concurrency: f64| concurrency / f64::from(balancers.max(1));
        let (concurrency, floor) = (of_all(START_CONCURRENCY), of_all(FLOOR_CONCURRENCY));
        Budget { steps: 1, concurrency, floor, ..Budget::default() }
    }

    pub(crate) fn trial_ready(&self, now: Micros) -> bool {
        !self.trial_out && now >= self.backoff_end
    }

    pub(crate) fn trial_served(&mut self) {
        self.doublings = 0;
        if self.steps < STEP_CLAMP {
            self.steps += 1;
        } else {
            // At the clamp the concurrency figure itself was learned too low: it takes the step instead.
            self.concurrency *= 1.0 + 1.0 / f64::from(STEP_CLAMP);
        }
    }

    pub(crate) fn back_off(&mut self, now: Micros, first: Micros) {
        self.backoff_end = now + (first << self.doublings);
        self.doublings = (self.doublings + 1).min(BACKOFF_DOUBLINGS);
    }

    /// A cut ends at the floor, and comes up to it after a deep one. Deep are a refusal as full, and answers
    /// near their aim or past it: the server then does far less than the floor supposes.
    pub(crate) fn cut(&mut self, to: f64, deep: bool) {
        let least = if deep { self.floor * DEEP_FLOOR } else { self.floor } / f64::from(self.steps.max(1));
        self.concurrency = (self.concurrency * to.max(CUT_MOST)).max(least);
    }
}

/// Do so many answers, or so long a time, since a budget changed tell what the change did?
pub(crate) fn enough(answers: u32, since: Micros, usual: f64) -> bool {
    f64::from(answers) * SMOOTHING >= 1.0 || since as f64 >= 2.0 * usual
}
