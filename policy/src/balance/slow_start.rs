//! How calls to cold servers are paced: by own answers, each server by its stated share of what a warm one
//! does. Any number of balancers keep it safe so, and fast refusals earn nothing. Without answers a server is
//! tried after a span that leaves it less than one call in flight from all.
//!
//! Where none is warm, as after a power cut, nobody else takes the rest: by their stated shares alone calls
//! would become fewer with each round of answers, and a fleet that could serve would refuse until it is warm.

use super::{Balancer, Server};
use crate::api::Micros;

/// How much more than its part a cold server is sent where none is warm: calls become more by a
/// fifth a round.
const COLD_SHARE_INCREASE: f64 = 1.2;
/// Share of the list's whole size that must be warm for cold servers to be drawn by their stated share alone:
/// then even twice its part, the most that a pick of two gives, is within what a cold one bears.
const MIN_WARM_SHARE: f64 = 1.0 / 3.0;

/// A server's wait for its first call. Balancers hear of a cold server together: each waits a random part.
/// What it is a part of may change until then, as the others start or warm up.
#[derive(Clone, Copy, Debug)]
pub(super) struct FirstCall {
    since: Micros,
    served: u64,
    answers_fraction: f64,
    time_fraction: f64,
}

/// What the listed servers can do: all of it, what they can now, the warm ones, and those that take calls.
struct Capacity {
    total: f64,
    current: f64,
    warm: f64,
    available: f64,
}

/// For a cold server: answers by its stated share, answers that are waited for, and the longest wait.
struct Spacing {
    stated: u64,
    answers: u64,
    span: Micros,
}

/// Whether a call may go to the server at this place: always to a warm one, to a cold one by a decision's
/// draw, evenly spread over servers that follow each other.
pub(super) fn is_drawn((draw, fraction): (f64, f64), place: usize, warmth: f64) -> bool {
    warmth >= 1.0 || (draw + place as f64 * 0.618_033_988_749_895).fract() < warmth * fraction
}

impl Balancer {
    /// Where a shared budget stands in for the servers' own, no balancer has answers enough to pace a cold
    /// server by: each call draws those that it may go to, by what they do of their whole by now.
    /// They get as large a part of that as takes calls of the warm ones, not what the rest of those leave.
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

    /// Draws a new server's part.
    pub(super) fn draw_first_call(&mut self, now: Micros) -> FirstCall {
        let (answers_fraction, time_fraction) = (self.random_fraction(), self.random_fraction());
        FirstCall { since: now, served: self.served, answers_fraction, time_fraction }
    }

    /// The list has changed, and with it who else takes calls.
    pub(super) fn pace_first_calls(&mut self, now: Micros) {
        let capacity = self.capacity(now);
        for place in 0..self.servers.len() {
            let server = &self.servers[place];
            let Some(FirstCall { since, served, answers_fraction, time_fraction }) = server.first_call else {
                continue;
            };
            let Spacing { stated, answers, span } = self.spacing(now, server, &capacity);
            // No more go at once than by the stated share, however short the wait of the others.
            let at_once = answers_fraction * stated as f64 <= 1.0;
            let wait = if at_once { 0 } else { 1 + (answers_fraction * answers as f64) as u64 };
            let server = &mut self.servers[place];
            server.cold_until_served = served.saturating_add(wait);
            server.cold_until = since.saturating_add((time_fraction * span as f64) as Micros);
        }
    }

    /// A call is sent to a server.
    pub(super) fn pace_next_call(&mut self, now: Micros, place: usize) {
        self.servers[place].first_call = None;
        if self.servers[place].warmth(now, &self.settings.rules) >= 1.0 {
            return;
        }
        let Spacing { answers, span, .. } = self.spacing(now, &self.servers[place], &self.capacity(now));
        let server = &mut self.servers[place];
        server.cold_until_served = self.served.saturating_add(answers);
        server.cold_until = now.saturating_add(span);
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
        let stated = (server.weight / capacity.current).min(1.0 / size) * warmth;
        let alone = 1.0 - capacity.warm / capacity.total;
        let share =
            stated.max(server.weight * warmth / capacity.current * alone * COLD_SHARE_INCREASE).min(1.0);
        let span = self.longest_target() * f64::from(self.settings.balancers) / warmth;
        let span = (span * (1.0 - alone * (1.0 - capacity.current / capacity.total))) as Micros;
        Spacing { stated: (1.0 / stated) as u64, answers: (1.0 / share) as u64, span }
    }
}
