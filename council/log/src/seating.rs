//! Who is to vote: five that are there, spread over zones; one that has failed for long makes way, one at a time.

use crate::letter::Reseat;
use crate::saved::Seats;
use nettleworks_council::Micros;
use std::collections::BTreeMap;

/// One that may vote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its number.
    pub id: u64,
    /// Its zone.
    pub zone: String,
    /// Whether it is there, in the opinion of whoever leads.
    pub alive: bool,
}

/// What the leader has seen of voters that fail.
#[derive(Clone, Debug)]
pub struct Seating {
    /// How many are to vote: an odd number.
    wanted: usize,
    /// For how long one must have failed, without a break, before it makes way.
    patience: Micros,
    failed: BTreeMap<u64, Micros>,
}

impl Seating {
    /// So many voters, of whom one makes way when it has failed for so long.
    pub fn new(wanted: usize, patience: Micros) -> Seating {
        Seating { wanted: wanted.max(1), patience, failed: BTreeMap::new() }
    }

    /// The next change, if there is to be one. `caught_up` tells whether a learner has the log. One that is no candidate has
    /// failed. Nothing is ever changed that would leave fewer voters there than a majority of the new set, so that a
    /// wrong opinion costs a seat and never the council.
    pub fn next(
        &mut self,
        now: Micros,
        seats: &Seats,
        candidates: &[Candidate],
        caught_up: impl Fn(u64) -> bool,
    ) -> Option<Reseat> {
        let of = |id: u64| candidates.iter().find(|candidate| candidate.id == id);
        let alive = |id: u64| of(id).is_some_and(|candidate| candidate.alive);
        let all: Vec<u64> = seats.voters.iter().chain(&seats.learners).copied().collect();
        self.failed.retain(|id, _| all.contains(id) && !alive(*id));
        for id in all.iter().filter(|id| !alive(**id)) {
            self.failed.entry(*id).or_insert(now);
        }
        let patience = self.patience;
        let is_out =
            |id: u64| self.failed.get(&id).is_some_and(|since| now.saturating_sub(*since) >= patience);
        // A learner that is out is of no use.
        if let Some(id) = seats.learners.iter().find(|id| is_out(**id)) {
            return Some(Reseat::Leave(*id));
        }
        let there = seats.voters.iter().filter(|id| alive(**id)).count();
        let majority = |voters: usize| voters / 2 + 1;
        let outs = seats.voters.iter().filter(|id| is_out(**id));
        // The one that is out for longest; of equals the lowest.
        let out = outs.min_by_key(|id| (self.failed.get(id), **id)).copied();
        if seats.voters.len() > self.wanted {
            // One more than there are to be: one that is out, or, if all are there, one of the fullest zone.
            let spare =
                out.or_else(|| (there == seats.voters.len()).then(|| spare(seats, candidates)).flatten());
            let leaves = spare?;
            let left = there - usize::from(alive(leaves));
            return (left >= majority(seats.voters.len() - 1)).then_some(Reseat::Leave(leaves));
        }
        if seats.voters.len() == self.wanted && out.is_none() {
            return None;
        }
        // Somebody is missing, or is to be replaced.
        if let Some(id) = seats.learners.iter().find(|id| alive(**id)) {
            let fits = there + 1 >= majority(seats.voters.len() + 1);
            return (caught_up(*id) && fits).then_some(Reseat::Vote(*id));
        }
        let taken = |zone: &str| {
            let voters = seats.voters.iter().filter(|id| alive(**id)).filter_map(|id| of(*id));
            voters.filter(|voter| voter.zone == zone).count()
        };
        let free = candidates.iter().filter(|candidate| candidate.alive && !all.contains(&candidate.id));
        let best = free.min_by_key(|candidate| (taken(&candidate.zone), candidate.id));
        best.map(|candidate| Reseat::Learn(candidate.id))
    }
}

/// A voter of the zone that has the most of them; the highest number.
fn spare(seats: &Seats, candidates: &[Candidate]) -> Option<u64> {
    let zone =
        |id: u64| candidates.iter().find(|candidate| candidate.id == id).map(|candidate| &candidate.zone);
    let count = |id: u64| seats.voters.iter().filter(|other| zone(**other) == zone(id)).count();
    seats.voters.iter().copied().max_by_key(|id| (count(*id), *id))
}
