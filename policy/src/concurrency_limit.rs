//! The concurrency limit of one server, that is how many calls may be in flight there. `balance.rs` decides
//! which call goes where; `shared_limit.rs` has the limit over all servers.

use crate::api::Micros;

/// Maximum steps of a limit: the default of gRPC proposal A105 for its connections.
const MAX_STEPS: u32 = 10;
/// Initial number of calls in flight at a server with a few cores, over all balancers. All balancers may
/// start at once, and an overload would last.
const INITIAL_CONCURRENCY: f64 = 7.0;
/// Number of calls in flight at a server with a few cores, over all balancers, to which moderate overload
/// leads: a higher limit is cut down to it, and a lower one grows up to it.
const FLOOR_CONCURRENCY: f64 = 12.0;
/// Minimum factor of one reduction of the concurrency, as in TCP.
pub(crate) const MIN_CUT_FACTOR: f64 = 0.5;
/// Share of the floor that remains at least after a deep cut: half of a few cores idle.
const DEEP_CUT_FLOOR_SHARE: f64 = 0.2;
/// Weight of a new response in a server's overload and in a class's mean: about the last twenty responses
/// count.
pub(crate) const SMOOTHING: f64 = 0.1;
/// Maximum doublings of a backoff.
pub(crate) const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Time constant (us) of the rate of responses.
pub(crate) const RATE_TIME_CONSTANT: f64 = 3e6;

/// In-flight limit, `steps` times `concurrency`. Each probe request that is served raises it; a backoff
/// follows one that is not.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    pub(crate) steps: u32,
    pub(crate) concurrency: f64,
    /// The limit that remains at least after reductions.
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
            // At the maximum of steps the initial concurrency was too low, so it grows instead.
            self.concurrency *= 1.0 + 1.0 / f64::from(MAX_STEPS);
        }
    }

    pub(crate) fn back_off(&mut self, now: Micros, first_backoff: Micros) {
        self.backoff_end = now + (first_backoff << self.backoff_doublings);
        self.backoff_doublings = (self.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// Reduces the concurrency by `factor`, down to the floor; a value below the floor, from a deep cut,
    /// rises to it. A cut is deep after a rejection as full, or if responses take nearly their latency target
    /// or longer: the server then handles far less than the floor assumes.
    pub(crate) fn reduce(&mut self, factor: f64, deep: bool) {
        let minimum =
            if deep { self.floor * DEEP_CUT_FLOOR_SHARE } else { self.floor } / f64::from(self.steps.max(1));
        self.concurrency = (self.concurrency * factor.max(MIN_CUT_FACTOR)).max(minimum);
    }
}

/// Whether the effect of a change of a limit can be judged, after so many responses or so much time since.
pub(crate) fn enough_feedback(responses: u32, elapsed: Micros, usual_latency: f64) -> bool {
    f64::from(responses) * SMOOTHING >= 1.0 || elapsed as f64 >= 2.0 * usual_latency
}
