//! Loans of room between shards: the nearest 60,000 states that any order of calls, messages and deaths leads to, for few
//! shards and small budgets; and long random days for more.

use nettleworks_shards::bank::{Bank, ToBank, ToShard};
use nettleworks_shards::purse::Purse;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{HashSet, VecDeque};

/// Most messages that a queue holds here: a step that would fill it further is not taken.
const QUEUE: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    bank: Bank,
    budget: u32,
    purses: Vec<Purse>,
    dead: Vec<bool>,
    to_bank: Vec<VecDeque<ToBank>>,
    to_shard: Vec<VecDeque<ToShard>>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Begin(usize),
    End(usize),
    Look(usize, u32),
    /// The oldest message of a shard reaches the bank.
    Up(usize),
    /// The oldest of the bank's reaches a shard.
    Down(usize),
    Die(usize),
}

impl World {
    fn new(shards: usize, budget: u32) -> World {
        let mut purses = vec![Purse::default(); shards];
        purses.iter_mut().for_each(|purse| purse.set_budget(budget));
        World {
            bank: Bank::new(shards),
            budget,
            purses,
            dead: vec![false; shards],
            to_bank: vec![VecDeque::new(); shards],
            to_shard: vec![VecDeque::new(); shards],
        }
    }

    /// `false`: it says nothing here.
    fn step(&mut self, step: Step) -> bool {
        let shard = match step {
            Step::Begin(s) | Step::End(s) | Step::Look(s, _) | Step::Up(s) | Step::Down(s) | Step::Die(s) => {
                s
            }
        };
        if self.dead[shard] {
            return false;
        }
        let full = self.to_bank[shard].len() >= QUEUE;
        let purse = &mut self.purses[shard];
        let said = match step {
            Step::Begin(_) => return purse.begin(),
            Step::End(_) if purse.in_flight() == 0 || full => return false,
            Step::End(_) => purse.end(),
            Step::Look(_, _) if full => return false,
            Step::Look(_, held) => purse.look(held),
            Step::Down(_) if full => return false,
            Step::Down(_) => match self.to_shard[shard].pop_front() {
                Some(message) => purse.take(message),
                None => return false,
            },
            Step::Up(_) => {
                let Some(message) = self.to_bank[shard].pop_front() else { return false };
                let out = self.bank.take(shard, message);
                self.post(out);
                return true;
            }
            Step::Die(_) => {
                self.dead[shard] = true;
                self.to_bank[shard].clear();
                self.to_shard[shard].clear();
                self.purses[shard] = Purse::default();
                let out = self.bank.gone(shard);
                self.post(out);
                return true;
            }
        };
        self.to_bank[shard].extend(said);
        true
    }

    fn post(&mut self, out: Vec<(usize, ToShard)>) {
        for (shard, message) in out {
            assert!(!self.dead[shard], "a message to one that has ended");
            self.to_shard[shard].push_back(message);
        }
    }

    fn under_way(&self) -> i64 {
        let lent = self.to_shard.iter().flatten().map(|message| match message {
            ToShard::Lend(room) => i64::from(*room),
            ToShard::Recall(_) => 0,
        });
        let deposited = self.to_bank.iter().flatten().map(|message| match message {
            ToBank::Deposit(room) => i64::from(*room),
            ToBank::Need(_) => 0,
        });
        lent.sum::<i64>() + deposited.sum::<i64>()
    }

    fn check(&self) {
        let loans: i64 = self.purses.iter().map(Purse::loan).sum();
        let short = i64::from(self.bank.short());
        assert_eq!(
            loans + self.under_way() + i64::from(self.bank.free()),
            short,
            "room is made or lost: {self:?}"
        );
        let living = self.dead.iter().filter(|dead| !**dead).count() as i64;
        let out: i64 = self.purses.iter().map(|purse| i64::from(purse.in_flight())).sum();
        assert!(out <= living * i64::from(self.budget) + short, "more than all budgets: {self:?}");
    }

    /// All messages arrive and all shards look, until nothing more is said. `held`: calls that wait at each.
    fn quiet(&mut self, held: &[u32]) {
        for _ in 0..200 {
            let mut any = false;
            for (shard, &held) in held.iter().enumerate() {
                any |= self.step(Step::Look(shard, held)) && !self.to_bank[shard].is_empty();
                while self.step(Step::Up(shard)) {
                    any = true;
                }
                while self.step(Step::Down(shard)) {
                    any = true;
                    while self.step(Step::Up(shard)) {}
                }
            }
            self.check();
            if !any {
                return;
            }
        }
        panic!("never quiet: {self:?}");
    }
}

fn steps(shards: usize, deaths: bool) -> Vec<Step> {
    let of = |shard| {
        let all = [
            Step::Begin(shard),
            Step::End(shard),
            Step::Look(shard, 0),
            Step::Look(shard, 2),
            Step::Up(shard),
            Step::Down(shard),
        ];
        all.into_iter().chain(deaths.then_some(Step::Die(shard)))
    };
    (0..shards).flat_map(of).collect()
}

/// The states that can be reached, the nearest `most` of them, and the rules in each.
fn explore(shards: usize, budget: u32, deaths: bool, most: usize) -> usize {
    let (steps, mut seen) = (steps(shards, deaths), HashSet::new());
    let mut next = VecDeque::from([World::new(shards, budget)]);
    while let Some(world) = next.pop_front() {
        for &step in &steps {
            let mut after = world.clone();
            if after.step(step) && !seen.contains(&after) {
                after.check();
                if seen.len() < most {
                    seen.insert(after.clone());
                    next.push_back(after);
                }
            }
        }
    }
    seen.len()
}

#[test]
fn no_order_of_messages_makes_or_loses_room() {
    // Of two shards with three calls of room each and of three with two, with deaths.
    let nearest = explore(2, 3, true, 40_000);
    assert_eq!(nearest, 40_000);
    let nearest = explore(3, 2, true, 20_000);
    assert_eq!(nearest, 20_000);
}

/// All load on one shard: it gets what the others have spare, but for a call or two of each; and what they lent comes
/// back when they need it, though the borrower never stops asking.
#[test]
fn room_follows_the_demand_and_comes_back() {
    let mut world = World::new(4, 8);
    world.quiet(&[40, 0, 0, 0]);
    let alone = world.purses[0].allowance();
    assert!(alone >= 8 + 3 * 6, "{alone} of 32");
    while world.step(Step::Begin(0)) {}
    // The others' calls come: each is given back its own as the borrower's calls end.
    for _ in 0..40 {
        world.quiet(&[40, 8, 8, 8]);
        for shard in 1..4 {
            while world.step(Step::Begin(shard)) {}
        }
        world.step(Step::End(0));
    }
    for shard in 1..4 {
        assert_eq!(world.purses[shard].in_flight(), 8, "its own budget");
    }
    assert!(world.purses[0].allowance() <= 8);
}

/// A budget that falls below what was lent leaves its shard one call after another as they come back, and none before.
#[test]
fn a_budget_below_what_was_lent_waits_for_it() {
    let mut world = World::new(2, 8);
    world.quiet(&[20, 0]);
    while world.step(Step::Begin(0)) {}
    world.purses[1].set_budget(2);
    assert_eq!((world.purses[1].allowance(), world.purses[1].has_room()), (0, false));
    for _ in 0..8 {
        world.step(Step::End(0));
        world.quiet(&[20, 1]);
    }
    assert!(world.purses[1].has_room());
}

/// Two shards ask for the last room: one gets it, the other gets none, and has it when it is free again.
#[test]
fn two_that_ask_for_the_last_room_get_it_in_turn() {
    let mut bank = Bank::new(3);
    assert_eq!(bank.take(2, ToBank::Deposit(1)), []);
    assert_eq!(bank.take(0, ToBank::Need(1)), [(0, ToShard::Lend(1))]);
    assert_eq!(bank.take(1, ToBank::Need(1)), []);
    assert_eq!(bank.take(0, ToBank::Deposit(1)), [(1, ToShard::Lend(1))]);
    // Its lender comes first.
    assert_eq!(bank.take(0, ToBank::Need(1)), []);
    assert_eq!(bank.take(2, ToBank::Need(1)), [(1, ToShard::Recall(1))]);
    assert_eq!(bank.take(1, ToBank::Deposit(1)), [(2, ToShard::Lend(1))]);
}

/// A shard ends that had lent and one that had borrowed: what it had lent goes as it comes back, what it had borrowed is
/// free at once.
#[test]
fn a_shard_that_ends_takes_its_own_room_with_it() {
    let mut bank = Bank::new(3);
    bank.take(0, ToBank::Deposit(3));
    assert_eq!(bank.take(1, ToBank::Need(3)), [(1, ToShard::Lend(3))]);
    assert_eq!(bank.gone(0), [(1, ToShard::Recall(3))]);
    assert_eq!(bank.take(1, ToBank::Deposit(2)), []);
    assert_eq!((bank.free(), bank.short()), (0, 1));
    assert_eq!(bank.take(2, ToBank::Need(1)), [], "it is not lent again");
    assert_eq!(bank.take(1, ToBank::Deposit(1)), []);
    assert_eq!((bank.free(), bank.short()), (0, 0));
    bank.take(1, ToBank::Deposit(2));
    assert_eq!(bank.balance(2), 1);
    assert_eq!(bank.gone(2), []);
    assert_eq!(bank.free(), 2);
    assert_eq!(bank.take(2, ToBank::Need(4)), [], "it has gone");
    assert_eq!(bank.take(9, ToBank::Deposit(4)), [], "there is none");
}

#[test]
fn random_days_keep_the_sum() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]));
    let day = (2..6_usize, 1..20_u32, prop::collection::vec((0..7_u8, 0..6_usize, 0..30_u32), 400));
    let done = runner.run(&day, |(shards, budget, day)| {
        let mut world = World::new(shards, budget);
        for (what, shard, held) in day {
            let shard = shard % shards;
            world.step(match what {
                0 | 1 => Step::Begin(shard),
                2 => Step::End(shard),
                3 => Step::Look(shard, held),
                4 => Step::Up(shard),
                5 => Step::Down(shard),
                // Deaths are rare.
                _ if held == 0 => Step::Die(shard),
                _ => Step::Up(shard),
            });
            world.check();
        }
        Ok(())
    });
    done.unwrap_or_else(|error| panic!("{error}"));
}
