//! To how many servers a balancer's calls go where budgets are shared.
//!
//! A thin balancer that went to all would open a connection for nearly every call, past what servers accept,
//! and would learn of none of them. How many connections a server accepts is told nowhere: it shows in those
//! that it refuses, to whomever.

use super::Balancer;
use crate::api::Micros;

/// Servers at the least, and the mean in flight at each beyond which more: about one connection that is used
/// half the time. Else each opens one nearly everywhere, to use it seldom.
const MIN_SERVERS: f64 = 8.0;
const CALLS_PER_SERVER: f64 = 0.5;
/// What refused connections leave of the former: one to go to, and one beside it.
const MIN_REDUCED_SERVERS: f64 = 2.0;
/// Memory of refused connections: about as long as one that is not used is kept.
const REDUCTION_TIME_CONSTANT: f64 = 20e6;

/// What connections that did not come up have taken of the least window, and when the last one did not.
#[derive(Debug, Default)]
pub(super) struct SubsetReduction {
    servers: f64,
    updated_at: Micros,
}

impl SubsetReduction {
    fn current(&self, now: Micros) -> f64 {
        self.servers * (-(now.saturating_sub(self.updated_at) as f64) / REDUCTION_TIME_CONSTANT).exp()
    }

    /// A connection did not come up: all balancers together may want more than there are places for, and each
    /// gives one up. Where it is the server that has gone, the others bear this one's few calls as well.
    pub(super) fn connection_failed(&mut self, now: Micros) {
        *self = SubsetReduction {
            servers: (self.current(now) + 1.0).min(MIN_SERVERS - MIN_REDUCED_SERVERS),
            updated_at: now,
        };
    }
}

impl Balancer {
    pub(super) fn subset_size(&self, now: Micros) -> usize {
        let by_load =
            self.shared_limit.as_ref().map_or(f64::MAX, |limit| limit.mean_in_flight / CALLS_PER_SERVER);
        let minimum = (MIN_SERVERS - self.subset_reduction.current(now)).ceil();
        (by_load as usize).max(minimum as usize).min(self.servers.len())
    }
}
