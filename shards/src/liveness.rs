//! Which shards are alive, by the heartbeats that each shard observes of the others, and which shard stands in for one
//! that does not respond.

use crate::capacity::Shard;
use crate::rendezvous;
use std::fmt;

/// A time, in microseconds.
pub type Micros = u64;

/// The liveness of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Its heartbeat advances.
    Alive,
    /// Its heartbeat has not advanced for too long: its thread is blocked, or gets no processor time. It may recover.
    Stalled,
    /// Its thread has ended. It never recovers.
    Dead,
}

/// A change of a shard's liveness. Its text goes to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LivenessChange {
    /// The shard.
    pub shard: Shard,
    /// Its liveness from now on.
    pub now: Liveness,
}

impl fmt::Display for LivenessChange {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.now {
            Liveness::Alive => "answers again",
            Liveness::Stalled => "does not answer: its room and its new clients go to others",
            Liveness::Dead => "has ended: keys that it held are unsure",
        };
        write!(out, "shard {} {what}", self.shard)
    }
}

#[derive(Clone, Copy, Debug)]
struct Observed {
    liveness: Liveness,
    heartbeat: u64,
    /// When the heartbeat last advanced, or the liveness last changed.
    since: Micros,
}

/// The liveness of all shards, as one of them observes it.
#[derive(Clone, Debug)]
pub struct LivenessTable {
    me: Shard,
    shards: Vec<Observed>,
    /// A shard whose heartbeat does not advance for this long counts as stalled.
    stall_timeout: Micros,
    /// For this long after a shard has ended, the outcome of the keys that it owned counts as unknown.
    key_retention: Micros,
    last_update: Micros,
}

impl LivenessTable {
    /// A table of this many shards, all alive, as shard `me` observes them.
    pub fn new(
        me: Shard,
        shards: usize,
        now: Micros,
        stall_timeout: Micros,
        key_retention: Micros,
    ) -> LivenessTable {
        let shards = vec![Observed { liveness: Liveness::Alive, heartbeat: 0, since: now }; shards];
        LivenessTable { me, shards, stall_timeout, key_retention, last_update: now }
    }

    /// Reads all shards' heartbeat counts and whether they have ended. Returns what has changed.
    ///
    /// A shard that calls this late was stalled itself, so its observations of the others are outdated: the time
    /// without a heartbeat is counted anew for each of them.
    pub fn update(&mut self, now: Micros, heartbeat: impl Fn(Shard) -> (u64, bool)) -> Vec<LivenessChange> {
        let late = now.saturating_sub(self.last_update) > self.stall_timeout / 2;
        self.last_update = now;
        let mut changes = Vec::new();
        for (shard, observed) in self.shards.iter_mut().enumerate() {
            let (count, ended) = heartbeat(shard);
            let liveness = match observed.liveness {
                Liveness::Dead => continue,
                _ if ended => Liveness::Dead,
                liveness if count != observed.heartbeat || shard == self.me => {
                    (observed.heartbeat, observed.since) = (count, now);
                    if liveness == Liveness::Stalled {
                        Liveness::Alive
                    } else {
                        liveness
                    }
                }
                Liveness::Alive if late => {
                    observed.since = now;
                    Liveness::Alive
                }
                Liveness::Alive if now.saturating_sub(observed.since) >= self.stall_timeout => {
                    Liveness::Stalled
                }
                liveness => liveness,
            };
            if liveness != observed.liveness {
                (observed.liveness, observed.since) = (liveness, now);
                changes.push(LivenessChange { shard, now: liveness });
            }
        }
        changes
    }

    /// A shard's liveness.
    pub fn liveness(&self, shard: Shard) -> Liveness {
        self.shards.get(shard).map_or(Liveness::Dead, |observed| observed.liveness)
    }

    /// The shard that watches the server list for all: the first that is alive.
    pub fn leader(&self) -> Shard {
        self.shards.iter().position(|observed| observed.liveness == Liveness::Alive).unwrap_or(self.me)
    }

    /// The shard that accepts a shard's new clients: that shard itself, or the next one that is alive.
    pub fn stand_in(&self, shard: Shard) -> Shard {
        let count = self.shards.len();
        let ring = (0..count).map(|offset| (shard + offset) % count);
        let mut alive = ring.filter(|&candidate| self.liveness(candidate) == Liveness::Alive);
        alive.next().unwrap_or(self.me)
    }

    /// The shard that owns a key. A stalled shard keeps its keys, and so does a dead one for as long as it would have
    /// remembered them, since no other shard has recorded whether they ran.
    pub fn key_owner(&self, now: Micros, seed: u64, tenant: Option<u32>, class: u32, key: &[u8]) -> Shard {
        let is_forgotten = |shard: Shard| {
            let observed = &self.shards[shard];
            observed.liveness == Liveness::Dead && now.saturating_sub(observed.since) > self.key_retention
        };
        rendezvous::owner(
            (0..self.shards.len()).filter(|&shard| !is_forgotten(shard)),
            seed,
            tenant,
            class,
            key,
        )
    }

    /// Number of shards that are alive.
    pub fn alive(&self) -> usize {
        self.shards.iter().filter(|observed| observed.liveness == Liveness::Alive).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const STALL_TIMEOUT: Micros = 1_000;

    fn update(
        table: &mut LivenessTable,
        now: Micros,
        heartbeats: [u64; 3],
        dead: Option<Shard>,
    ) -> Vec<(Shard, Liveness)> {
        let changes = table.update(now, |shard| (heartbeats[shard], dead == Some(shard)));
        changes.into_iter().map(|change| (change.shard, change.now)).collect()
    }

    #[test]
    fn a_stalled_shard_has_a_stand_in_until_its_heartbeat_advances() {
        let mut table = LivenessTable::new(1, 3, 0, STALL_TIMEOUT, 50_000);
        for step in 1..=3 {
            assert_eq!(update(&mut table, step * 300, [0, step, step], None), []);
        }
        assert_eq!((table.leader(), table.stand_in(0)), (0, 0));
        assert_eq!(update(&mut table, 1_200, [0, 4, 4], None), [(0, Liveness::Stalled)]);
        assert_eq!((table.leader(), table.stand_in(0), table.stand_in(2)), (1, 1, 2));
        assert_eq!(update(&mut table, 1_500, [1, 5, 5], None), [(0, Liveness::Alive)]);
        assert_eq!((table.leader(), table.alive()), (0, 3));
    }

    #[test]
    fn a_shard_that_was_stalled_itself_does_not_report_the_others() {
        let mut table = LivenessTable::new(1, 3, 0, STALL_TIMEOUT, 50_000);
        // No shard had a processor for a long time, including this one.
        assert_eq!(update(&mut table, 9_000, [0, 1, 0], None), []);
        assert_eq!(update(&mut table, 9_300, [0, 2, 1], None), []);
        for now in [9_600, 9_900] {
            assert_eq!(update(&mut table, now, [0, now, now], None), []);
        }
        assert_eq!(update(&mut table, 10_200, [0, 3, 3], None), [(0, Liveness::Stalled)]);
    }

    #[test]
    fn a_dead_shard_owns_its_keys_until_they_would_be_forgotten() {
        let mut table = LivenessTable::new(0, 3, 0, STALL_TIMEOUT, 50_000);
        let owner =
            |table: &LivenessTable, now, key: u32| table.key_owner(now, 7, None, 0, &key.to_be_bytes());
        let before: Vec<Shard> = (0..300).map(|key| owner(&table, 0, key)).collect();
        assert_eq!(update(&mut table, 100, [1, 1, 1], Some(2)), [(2, Liveness::Dead)]);
        assert_eq!(update(&mut table, 200, [2, 2, 2], None), [], "a dead shard never recovers");
        let at_once: Vec<Shard> = (0..300).map(|key| owner(&table, 40_000, key)).collect();
        assert_eq!(before, at_once);
        let later: Vec<Shard> = (0..300).map(|key| owner(&table, 60_000, key)).collect();
        assert!(later.iter().all(|&shard| shard < 2));
        // Keys of the other shards do not move.
        assert!(before.iter().zip(&later).all(|(a, b)| *a == 2 || a == b));
    }
}
