//! Who of the shards lives: what the others see of its beats, and who stands in for one that does not answer.

use crate::owner;
use crate::room::Shard;
use std::fmt;

/// A moment, in microseconds.
pub type Micros = u64;

/// What is known of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It beats.
    Living,
    /// It has not beaten for too long: its thread is blocked, or has no processor. It may come back.
    Stalled,
    /// It has ended, and does not come back.
    Dead,
}

/// A change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Of which shard.
    pub shard: Shard,
    /// What it is now.
    pub now: Life,
}

impl fmt::Display for Change {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.now {
            Life::Living => "answers again",
            Life::Stalled => "does not answer: its room and its new clients go to others",
            Life::Dead => "has ended: keys that it held are unsure",
        };
        write!(out, "shard {} {what}", self.shard)
    }
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    life: Life,
    beat: u64,
    since: Micros,
}

/// One shard's view of all.
#[derive(Clone, Debug)]
pub struct Roll {
    me: Shard,
    seen: Vec<Seen>,
    /// Without a beat for so long a shard is taken for stalled.
    patience: Micros,
    /// For so long after its end nobody knows what became of a dead shard's keys.
    remembered: Micros,
    looked: Micros,
}

impl Roll {
    /// Of so many shards, all living.
    pub fn new(me: Shard, shards: usize, now: Micros, patience: Micros, remembered: Micros) -> Roll {
        let seen = vec![Seen { life: Life::Living, beat: 0, since: now }; shards];
        Roll { me, seen, patience, remembered, looked: now }
    }

    /// Looks at all beats, and at who has ended. What has changed comes back.
    ///
    /// Whoever looks late has been stalled itself, and knows nothing of the others: it begins anew with those.
    pub fn look(&mut self, now: Micros, beat: impl Fn(Shard) -> (u64, bool)) -> Vec<Change> {
        let late = now.saturating_sub(self.looked) > self.patience / 2;
        self.looked = now;
        let mut changes = Vec::new();
        for (shard, seen) in self.seen.iter_mut().enumerate() {
            let (count, ended) = beat(shard);
            let life = match seen.life {
                Life::Dead => continue,
                _ if ended => Life::Dead,
                life if count != seen.beat || shard == self.me => {
                    (seen.beat, seen.since) = (count, now);
                    if life == Life::Stalled {
                        Life::Living
                    } else {
                        life
                    }
                }
                Life::Living if late => {
                    seen.since = now;
                    Life::Living
                }
                Life::Living if now.saturating_sub(seen.since) >= self.patience => Life::Stalled,
                life => life,
            };
            if life != seen.life {
                (seen.life, seen.since) = (life, now);
                changes.push(Change { shard, now: life });
            }
        }
        changes
    }

    /// What a shard is at.
    pub fn life(&self, shard: Shard) -> Life {
        self.seen.get(shard).map_or(Life::Dead, |seen| seen.life)
    }

    /// Who watches the list: the first that lives.
    pub fn leader(&self) -> Shard {
        self.seen.iter().position(|seen| seen.life == Life::Living).unwrap_or(self.me)
    }

    /// Who takes a shard's new clients: itself, or the next that lives.
    pub fn stands_in(&self, shard: Shard) -> Shard {
        let all = self.seen.len();
        let ring = (0..all).map(|step| (shard + step) % all);
        let mut living = ring.filter(|&at| self.life(at) == Life::Living);
        living.next().unwrap_or(self.me)
    }

    /// Which shard a key belongs to. One that is stalled keeps its own, and so does a dead one for as long as it would
    /// have remembered them: nobody else knows whether they ran.
    pub fn owner(&self, now: Micros, seed: u64, tenant: Option<u32>, class: u32, key: &[u8]) -> Shard {
        let forgotten = |shard: Shard| {
            let seen = &self.seen[shard];
            seen.life == Life::Dead && now.saturating_sub(seen.since) > self.remembered
        };
        owner::among((0..self.seen.len()).filter(|&shard| !forgotten(shard)), seed, tenant, class, key)
    }

    /// How many live.
    pub fn living(&self) -> usize {
        self.seen.iter().filter(|seen| seen.life == Life::Living).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PATIENCE: Micros = 1_000;

    fn look(roll: &mut Roll, now: Micros, beats: [u64; 3], dead: Option<Shard>) -> Vec<(Shard, Life)> {
        let changes = roll.look(now, |shard| (beats[shard], dead == Some(shard)));
        changes.into_iter().map(|change| (change.shard, change.now)).collect()
    }

    #[test]
    fn one_that_does_not_beat_is_stood_in_for_until_it_does() {
        let mut roll = Roll::new(1, 3, 0, PATIENCE, 50_000);
        for step in 1..=3 {
            assert_eq!(look(&mut roll, step * 300, [0, step, step], None), []);
        }
        assert_eq!((roll.leader(), roll.stands_in(0)), (0, 0));
        assert_eq!(look(&mut roll, 1_200, [0, 4, 4], None), [(0, Life::Stalled)]);
        assert_eq!((roll.leader(), roll.stands_in(0), roll.stands_in(2)), (1, 1, 2));
        assert_eq!(look(&mut roll, 1_500, [1, 5, 5], None), [(0, Life::Living)]);
        assert_eq!((roll.leader(), roll.living()), (0, 3));
    }

    #[test]
    fn whoever_has_slept_blames_nobody() {
        let mut roll = Roll::new(1, 3, 0, PATIENCE, 50_000);
        // All were without a processor for long, this one too.
        assert_eq!(look(&mut roll, 9_000, [0, 1, 0], None), []);
        assert_eq!(look(&mut roll, 9_300, [0, 2, 1], None), []);
        for now in [9_600, 9_900] {
            assert_eq!(look(&mut roll, now, [0, now, now], None), []);
        }
        assert_eq!(look(&mut roll, 10_200, [0, 3, 3], None), [(0, Life::Stalled)]);
    }

    #[test]
    fn a_dead_shards_keys_stay_its_own_until_they_would_be_forgotten() {
        let mut roll = Roll::new(0, 3, 0, PATIENCE, 50_000);
        let of = |roll: &Roll, now, key: u32| roll.owner(now, 7, None, 0, &key.to_be_bytes());
        let before: Vec<Shard> = (0..300).map(|key| of(&roll, 0, key)).collect();
        assert_eq!(look(&mut roll, 100, [1, 1, 1], Some(2)), [(2, Life::Dead)]);
        assert_eq!(look(&mut roll, 200, [2, 2, 2], None), [], "it does not come back");
        let at_once: Vec<Shard> = (0..300).map(|key| of(&roll, 40_000, key)).collect();
        assert_eq!(before, at_once);
        let later: Vec<Shard> = (0..300).map(|key| of(&roll, 60_000, key)).collect();
        assert!(later.iter().all(|&shard| shard < 2));
        // Those of the living stay where they are.
        assert!(before.iter().zip(&later).all(|(a, b)| *a == 2 || a == b));
    }
}
