//! The interface between balancers of one process that share the capacity of servers.

use super::Balancer;
use crate::api::*;

impl Balancer {
    /// Number of calls in the queue.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Mean number of calls in flight that this balancer's limit for a server permits; 0 if the server is
    /// ejected or unknown.
    pub fn concurrency_limit(&self, now: Micros, server: ServerId) -> f64 {
        let server_index = self.servers.binary_search_by_key(&server, |s| s.id);
        server_index.map_or(0.0, |at| self.servers[at].effective_limit(now, &self.settings.rules))
    }

    /// Whether a probe request to the server is in flight.
    pub fn is_probing(&self, server: ServerId) -> bool {
        let server_index = self.servers.binary_search_by_key(&server, |s| s.id);
        server_index.is_ok_and(|at| self.servers[at].limit.probe_in_flight)
    }

    /// Whether the server's responses take longer than they should.
    pub fn is_overloaded(&self, server: ServerId) -> bool {
        let server_index = self.servers.binary_search_by_key(&server, |s| s.id);
        server_index.is_ok_and(|at| self.servers[at].overload > 1.0)
    }

    /// The servers to which calls would be sent if this balancer's allocation were larger or permitted a
    /// probe request.
    pub fn capacity_demands(&self, now: Micros) -> impl Iterator<Item = CapacityDemand> + '_ {
        let (rules, longest) = (&self.settings.rules, self.longest_usual_latency());
        self.servers.iter().filter_map(move |s| {
            let (_, may_send_probe) = s.allocation?;
            let full = s.is_usable(now, self.served, rules) && s.is_full(now, rules);
            let reinstatable =
                s.limit.steps == 0 && s.limit.probe_ready(now) && s.may_receive(now, self.served, rules);
            let probe = !may_send_probe && (reinstatable || full && s.may_be_probed(now, longest, rules));
            (full || probe).then_some(CapacityDemand {
                server: s.id,
                full,
                probe,
                overloaded: s.overload > 1.0,
            })
        })
    }

    /// Applies an observation of another balancer of the process, unless this one has a newer one.
    pub(super) fn observed(&mut self, now: Micros, id: ServerId, observation: Observation, age: Micros) {
        let (first_backoff, observed_at) = (self.first_backoff(), now.saturating_sub(age));
        let Ok(server_index) = self.servers.binary_search_by_key(&id, |s| s.id) else { return };
        let server = &mut self.servers[server_index];
        let up = server.limit.steps > 0;
        match observation {
            Observation::Load(load) if observed_at > server.reported_at => {
                self.update_reported_overload(observed_at, server_index, load)
            }
            Observation::Ejected if up && server.last_served_at < observed_at => {
                (server.limit.steps, server.overload) = (0, 1.0);
                server.limit.back_off(now, first_backoff);
            }
            Observation::Reinstated if !up => server.limit.raise(),
            Observation::LimitRaised if up => server.limit.raise(),
            _ => {}
        }
        self.update_counts();
    }
}
