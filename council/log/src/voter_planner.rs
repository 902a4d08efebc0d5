//! Decides who votes: a fixed number of live replicas (usually five), spread over the zones. A voter that
//! has failed for long is replaced; the configuration changes by one replica at a time.

use crate::message::ConfigurationChange;
use crate::storage::Configuration;
use nettleworks_council::Micros;
use std::collections::BTreeMap;

/// A replica that may become a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Its id.
    pub id: u64,
    /// Its zone.
    pub zone: String,
    /// Whether the leader considers it alive.
    pub alive: bool,
}

/// Plans configuration changes on the leader, from the failures of replicas that it has seen.
#[derive(Clone, Debug)]
pub struct VoterPlanner {
    /// How many voters there should be: an odd number.
    target_voters: usize,
    /// How long a replica must have failed without interruption before it is removed.
    failure_timeout: Micros,
    failed_since: BTreeMap<u64, Micros>,
}

impl VoterPlanner {
    /// A planner for `target_voters` voters that removes a replica after `failure_timeout` of failure.
    pub fn new(target_voters: usize, failure_timeout: Micros) -> VoterPlanner {
        VoterPlanner { target_voters: target_voters.max(1), failure_timeout, failed_since: BTreeMap::new() }
    }

    /// The next change of the configuration, if any. `caught_up` tells whether a learner has nearly the whole
    /// log. A replica that is not among `replicas` counts as failed. No change is made that would leave fewer
    /// live voters than a majority of the new configuration, so that a wrong failure report can cost a
    /// replica its vote, but never the group its majority.
    pub fn next_change(
        &mut self,
        now: Micros,
        configuration: &Configuration,
        replicas: &[ReplicaStatus],
        caught_up: impl Fn(u64) -> bool,
    ) -> Option<ConfigurationChange> {
        let status_of = |id: u64| replicas.iter().find(|replica| replica.id == id);
        let alive = |id: u64| status_of(id).is_some_and(|replica| replica.alive);
        let current: Vec<u64> = configuration.voters.iter().chain(&configuration.learners).copied().collect();
        self.failed_since.retain(|id, _| current.contains(id) && !alive(*id));
        for id in current.iter().filter(|id| !alive(**id)) {
            self.failed_since.entry(*id).or_insert(now);
        }
        let failure_timeout = self.failure_timeout;
        let has_timed_out = |id: u64| {
            self.failed_since.get(&id).is_some_and(|since| now.saturating_sub(*since) >= failure_timeout)
        };
        // A failed learner is of no use.
        if let Some(id) = configuration.learners.iter().find(|id| has_timed_out(**id)) {
            return Some(ConfigurationChange::Remove(*id));
        }
        let alive_voters = configuration.voters.iter().filter(|id| alive(**id)).count();
        let majority = |voters: usize| voters / 2 + 1;
        let failed_voters = configuration.voters.iter().filter(|id| has_timed_out(**id));
        // The voter that has failed for longest; of equals the one with the lowest id.
        let failed_voter = failed_voters.min_by_key(|id| (self.failed_since.get(id), **id)).copied();
        if configuration.voters.len() > self.target_voters {
            // There is one voter too many: a failed one, or, if all are alive, one of the zone with the most
            // voters.
            let surplus = failed_voter.or_else(|| {
                (alive_voters == configuration.voters.len())
                    .then(|| surplus_voter(configuration, replicas))
                    .flatten()
            });
            let removed = surplus?;
            let remaining = alive_voters - usize::from(alive(removed));
            return (remaining >= majority(configuration.voters.len() - 1))
                .then_some(ConfigurationChange::Remove(removed));
        }
        if configuration.voters.len() == self.target_voters && failed_voter.is_none() {
            return None;
        }
        // A voter is missing, or has to be replaced.
        if let Some(id) = configuration.learners.iter().find(|id| alive(**id)) {
            let keeps_majority = alive_voters + 1 >= majority(configuration.voters.len() + 1);
            return (caught_up(*id) && keeps_majority).then_some(ConfigurationChange::AddVoter(*id));
        }
        let voters_in_zone = |zone: &str| {
            let voters = configuration.voters.iter().filter(|id| alive(**id)).filter_map(|id| status_of(*id));
            voters.filter(|voter| voter.zone == zone).count()
        };
        let available = replicas.iter().filter(|replica| replica.alive && !current.contains(&replica.id));
        let best = available.min_by_key(|replica| (voters_in_zone(&replica.zone), replica.id));
        best.map(|replica| ConfigurationChange::AddLearner(replica.id))
    }
}

/// A voter of the zone with the most voters; of equals the one with the highest id.
fn surplus_voter(configuration: &Configuration, replicas: &[ReplicaStatus]) -> Option<u64> {
    let zone = |id: u64| replicas.iter().find(|replica| replica.id == id).map(|replica| &replica.zone);
    let count = |id: u64| configuration.voters.iter().filter(|other| zone(**other) == zone(id)).count();
    configuration.voters.iter().copied().max_by_key(|id| (count(*id), *id))
}
