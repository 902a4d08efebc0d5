//! What a balancer shares with others of its process: what they ask of it, and what it takes from them.

use super::Balancer;
use crate::api::*;

impl Balancer {
    /// How many calls wait to go.
    pub fn queued(&self) -> usize {
        self.hold.len()
    }

    /// How many calls a server's budget allows here, as a mean; 0 for one that is set aside or not there.
    pub fn concurrency_limit(&self, now: Micros, server: ServerId) -> f64 {
        let place = self.servers.binary_search_by_key(&server, |s| s.id);
        place.map_or(0.0, |at| self.servers[at].allows(now, &self.settings.rules))
    }

    /// Whether a trial call is out to a server.
    pub fn is_probing(&self, server: ServerId) -> bool {
        let place = self.servers.binary_search_by_key(&server, |s| s.id);
        place.is_ok_and(|at| self.servers[at].budget.trial_out)
    }

    /// Whether a server's answers take longer than they should.
    pub fn is_overloaded(&self, server: ServerId) -> bool {
        let place = self.servers.binary_search_by_key(&server, |s| s.id);
        place.is_ok_and(|at| self.servers[at].strain > 1.0)
    }

    /// The servers to which calls would go if there were room there, or if a trial might go.
    pub fn capacity_demands(&self, now: Micros) -> impl Iterator<Item = CapacityDemand> + '_ {
        let (rules, longest) = (&self.settings.rules, self.longest_usual());
        self.servers.iter().filter_map(move |s| {
            let (_, may_try) = s.room?;
            let full = s.usable(now, self.served, rules) && s.full(now, rules);
            let returns = s.budget.steps == 0 && s.budget.trial_ready(now) && s.open(now, self.served, rules);
            let probe = !may_try && (returns || full && s.tryable(now, longest, rules));
            (full || probe).then_some(CapacityDemand {
                server: s.id,
                full,
                probe,
                overloaded: s.strain > 1.0,
            })
        })
    }

    /// What another balancer of the process has learned of a server. What this one has learned since holds.
    pub(super) fn observed(&mut self, now: Micros, id: ServerId, observation: Observation, age: Micros) {
        let (first, at) = (self.first_backoff(), now.saturating_sub(age));
        let Ok(place) = self.servers.binary_search_by_key(&id, |s| s.id) else { return };
        let server = &mut self.servers[place];
        let up = server.budget.steps > 0;
        match observation {
            Observation::Load(load) if at > server.reported => self.crowded(at, place, load),
            Observation::Ejected if up && server.answered < at => {
                (server.budget.steps, server.strain) = (0, 1.0);
                server.budget.back_off(now, first);
            }
            Observation::Reinstated if !up => server.budget.trial_served(),
            Observation::LimitRaised if up => server.budget.trial_served(),
            _ => {}
        }
        self.count();
    }
}
