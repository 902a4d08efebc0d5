//! To how many servers a balancer's calls go where budgets are shared.
//!
//! A thin balancer that went to all would open a connection for nearly every call, past what servers accept,
//! and would learn of none of them. How many connections a server accepts is told nowhere: it shows in those
//! that it refuses, to whomever.

use super::Balancer;
use crate::api::Micros;

/// Servers at the least, and the mean in flight at each beyond which more: about one connection that is used
/// half the time. Else each opens one nearly everywhere, to use it seldom.
const LEAST: f64 = 8.0;
const BUSY: f64 = 0.5;
/// What refused connections leave of the former: one to go to, and one beside it.
const NARROWEST: f64 = 2.0;
/// Memory of refused connections: about as long as one that is not used is kept.
const MEMORY: f64 = 20e6;

/// What connections that did not come up have taken of the least window, and when the last one did not.
#[derive(Debug, Default)]
pub(super) struct Narrowed {
    by: f64,
    at: Micros,
}

impl Narrowed {
    fn now(&self, now: Micros) -> f64 {
        self.by * (-(now.saturating_sub(self.at) as f64) / MEMORY).exp()
    }

    /// A connection did not come up: all balancers together may want more than there are places for, and each
    /// gives one up. Where it is the server that has gone, the others bear this one's few calls as well.
    pub(super) fn refused(&mut self, now: Micros) {
        *self = Narrowed { by: (self.now(now) + 1.0).min(LEAST - NARROWEST), at: now };
    }
}

impl Balancer {
    pub(super) fn window(&self, now: Micros) -> usize {
        let busy = self.shared_limit.as_ref().map_or(f64::MAX, |limit| limit.used / BUSY);
        let least = (LEAST - self.narrowed.now(now)).ceil();
        (busy as usize).max(least as usize).min(self.servers.len())
    }
}
