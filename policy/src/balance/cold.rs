//! How calls to cold servers are paced.

use super::{Balancer, Server};
use crate::api::Micros;

/// How much more than its part a cold server is sent where none is warm: calls become more by a
/// fifth a round.
const COLD_MORE: f64 = 1.2;

impl Balancer {
    /// Own answers for each call to a cold server, by its stated share of what a warm one does: any number
    /// of balancers keep it safe so, and fast refusals earn nothing. Without answers it is tried after a span
    /// that leaves it less than one call in flight from all.
    ///
    /// Where none is warm, as after a power cut, nobody else takes the rest: by their stated shares alone
    /// calls would become fewer with each round of answers, and a fleet that could serve would refuse until
    /// it is warm.
    pub(super) fn cold_gap(&self, now: Micros, server: &Server) -> (u64, Micros) {
        let rules = &self.settings.rules;
        let (warmth, size) = (server.warmth(now, rules), self.servers.len().max(1) as f64);
        if warmth >= 1.0 {
            return (0, 0);
        }
        let (mut whole, mut ready, mut warm) = (f64::MIN_POSITIVE, f64::MIN_POSITIVE, 0.0);
        for other in self.servers.iter().filter(|s| s.listed) {
            let part = other.warmth(now, rules);
            whole += other.weight;
            ready += other.weight * part;
            warm += if part < 1.0 { 0.0 } else { other.weight };
        }
        let usual = (server.weight / ready).min(1.0 / size) * warmth;
        let alone = 1.0 - warm / whole;
        let share = usual.max(server.weight * warmth / ready * alone * COLD_MORE).min(1.0);
        let span = self.longest_aim() * f64::from(self.settings.balancers) / warmth;
        ((1.0 / share) as u64, (span * (1.0 - alone * (1.0 - ready / whole))) as Micros)
    }
}
