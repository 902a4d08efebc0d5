//! Slow start: how calls to cold servers are spaced. Each balancer counts its own served calls and gives each
//! cold server the share that is stated for its age, relative to a warm server. This is safe for any number
//! of balancers, and a server gains nothing by rejecting calls quickly. If no calls are served, a cold server
//! is tried after a time that keeps it below one call in flight from all balancers together.
//!
//! If no server is warm, as after a power failure, no other server takes the remaining calls. With the stated
//! shares alone, the number of calls would then fall with each round of responses, and a fleet that could
//! serve would refuse calls until it is warm.

use super::{Balancer, Server};
use crate::api::Micros;

/// Factor on a cold server's share if no server is warm, so that the number of calls grows by a fifth per
/// round.
const COLD_SHARE_INCREASE: f64 = 1.2;
/// Share of the listed capacity that must be warm for cold servers to be drawn by their stated share alone.
/// Then even twice that share, the maximum that the choice between two servers yields, is within what a cold
/// server tolerates.
const MIN_WARM_SHARE: f64 = 1.0 / 3.0;

/// Determines when a new server gets its first call. All balancers learn of a cold server at the same time,
/// so each waits a random fraction of the spacing. The spacing itself may change until then, as other servers
/// start or warm up.
#[derive(Clone, Copy, Debug)]
pub(super) struct FirstCall {
    since: Micros,
    served: u64,
    calls_fraction: f64,
    time_fraction: f64,
}

/// Capacity of the listed servers: in total, at their current warmth, of the warm ones, and of the warm ones
/// that accept calls.
struct Capacity {
    total: f64,
    current: f64,
    warm: f64,
    available: f64,
}

/// Spacing of the calls to a cold server: served calls by the stated share, served calls that are waited for,
/// and the longest wait (us).
struct Spacing {
    stated_calls: u64,
    calls: u64,
    max_wait: Micros,
}

/// Whether a call may go to the server with this index: always if it is warm, otherwise by the call's random
/// draw, which is spread evenly over neighbouring servers.
pub(super) fn is_drawn((draw, fraction): (f64, f64), server_index: usize, warmth: f64) -> bool {
    warmth >= 1.0 || (draw + server_index as f64 * 0.618_033_988_749_895).fract() < warmth * fraction
}

impl Balancer {
    /// Draws the random number by which a call selects cold servers, and the fraction of their warmth that
    /// they get. Used where the limit is shared, as no balancer then has enough responses to space calls to
    /// single servers. The fraction is at most that of the warm servers' capacity that accepts calls: cold
    /// servers do not take over the calls that warm servers cannot accept.
    pub(super) fn cold_draw(&mut self, now: Micros) -> Option<(f64, f64)> {
        let capacity = self.capacity(now);
        let applies = self.shared_limit.is_some() && capacity.available >= capacity.total * MIN_WARM_SHARE;
        applies.then(|| {
            (
                self.random_fraction(),
                capacity.available / capacity.warm * (self.settings.rules.cold_overload_limit / 2.0).min(1.0),
            )
        })
    }

    /// Draws the random fractions for a new server's first call.
    pub(super) fn draw_first_call(&mut self, now: Micros) -> FirstCall {
        let (calls_fraction, time_fraction) = (self.random_fraction(), self.random_fraction());
        FirstCall { since: now, served: self.served, calls_fraction, time_fraction }
    }

    /// Recalculates the waits for first calls after the server list, and thus the capacity of the other
    /// servers, has changed.
    pub(super) fn schedule_first_calls(&mut self, now: Micros) {
        let capacity = self.capacity(now);
        for server_index in 0..self.servers.len() {
            let server = &self.servers[server_index];
            let Some(FirstCall { since, served, calls_fraction, time_fraction }) = server.first_call else {
                continue;
            };
            let Spacing { stated_calls, calls, max_wait } = self.spacing(now, server, &capacity);
            // How many balancers send their first call at once depends on the stated share alone, however
            // short the wait of the others is.
            let at_once = calls_fraction * stated_calls as f64 <= 1.0;
            let wait = if at_once { 0 } else { 1 + (calls_fraction * calls as f64) as u64 };
            let server = &mut self.servers[server_index];
            server.cold_until_served = served.saturating_add(wait);
            server.cold_until = since.saturating_add((time_fraction * max_wait as f64) as Micros);
        }
    }

    /// Sets when the server gets its next call, as one is being sent to it.
    pub(super) fn schedule_next_call(&mut self, now: Micros, server_index: usize) {
        self.servers[server_index].first_call = None;
        if self.servers[server_index].warmth(now, &self.settings.rules) >= 1.0 {
            return;
        }
        let Spacing { calls, max_wait, .. } =
            self.spacing(now, &self.servers[server_index], &self.capacity(now));
        let server = &mut self.servers[server_index];
        server.cold_until_served = self.served.saturating_add(calls);
        server.cold_until = now.saturating_add(max_wait);
    }

    fn capacity(&self, now: Micros) -> Capacity {
        let mut capacity =
            Capacity { total: f64::MIN_POSITIVE, current: f64::MIN_POSITIVE, warm: 0.0, available: 0.0 };
        for server in self.servers.iter().filter(|s| s.listed) {
            let warmth = server.warmth(now, &self.settings.rules);
            capacity.total += server.weight;
            capacity.current += server.weight * warmth;
            capacity.warm += if warmth < 1.0 { 0.0 } else { server.weight };
            let available = warmth >= 1.0 && server.limit.steps > 0 && server.is_ready(now, self.served);
            capacity.available += if available { server.weight } else { 0.0 };
        }
        capacity
    }

    fn spacing(&self, now: Micros, server: &Server, capacity: &Capacity) -> Spacing {
        let (warmth, size) = (server.warmth(now, &self.settings.rules), self.servers.len().max(1) as f64);
        let stated_share = (server.weight / capacity.current).min(1.0 / size) * warmth;
        let cold_capacity_share = 1.0 - capacity.warm / capacity.total;
        let share = stated_share
            .max(server.weight * warmth / capacity.current * cold_capacity_share * COLD_SHARE_INCREASE)
            .min(1.0);
        let max_wait = self.longest_target() * f64::from(self.settings.balancers) / warmth;
        let max_wait =
            (max_wait * (1.0 - cold_capacity_share * (1.0 - capacity.current / capacity.total))) as Micros;
        Spacing { stated_calls: (1.0 / stated_share) as u64, calls: (1.0 / share) as u64, max_wait }
    }
}
