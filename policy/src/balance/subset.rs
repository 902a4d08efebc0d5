//! The size of a balancer's subset of servers, where the limit is shared.
//!
//! A balancer with few calls that used all servers would open a connection for nearly every call, more than
//! servers accept, and would learn about none of them. How many connections a server accepts is not
//! announced; it shows only when connections are refused.

use super::Balancer;
use crate::api::Micros;

/// Minimum number of servers, and the mean number of calls in flight per server beyond which the subset
/// grows. This corresponds to about one connection that is used half the time; otherwise each balancer would
/// open rarely used connections to nearly every server.
const MIN_SERVERS: f64 = 8.0;
const CALLS_PER_SERVER: f64 = 0.5;
/// Minimum number of servers after refused connections: one to use and one alternative.
const MIN_REDUCED_SERVERS: f64 = 2.0;
/// Time constant (us) of refused connections: about as long as an idle connection is kept.
const REDUCTION_TIME_CONSTANT: f64 = 20e6;

/// Number of servers by which failed connections have reduced the subset's minimum size. `servers` is the
/// value at the last failure, at `updated_at`; it decays from then on.
#[derive(Debug, Default)]
pub(super) struct SubsetReduction {
    servers: f64,
    updated_at: Micros,
}

impl SubsetReduction {
    fn current(&self, now: Micros) -> f64 {
        self.servers * (-(now.saturating_sub(self.updated_at) as f64) / REDUCTION_TIME_CONSTANT).exp()
    }

    /// Records a connection that could not be established. All balancers together may want more connections
    /// than the servers accept, so each gives one up. If the server has failed instead, the others can take
    /// this balancer's few calls.
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
