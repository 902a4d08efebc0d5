//! Voters that lose letters, processes and disks, on virtual time: one log, one leader a term, one holder.

use nettleworks_council::*;
use nettleworks_council_log::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};

/// A tick, in microseconds.
const TICK: Micros = 50_000;
/// Two seconds of a lease, as voters need about a second to find a leader.
const TERMS: Terms = Terms { length: 2_000_000, drift: 50_000 };

fn life_of(number: u64, start: u64) -> Life {
    Life { name: Name::new(&format!("p-{number}")).expect("a name"), start }
}

fn life(number: u64) -> Life {
    life_of(number, 1)
}

fn role() -> Role {
    Role("charges".to_owned())
}

struct Voter {
    seat: Option<Seat>,
    disk: Saved,
    /// Seeds its draws anew with each start.
    starts: u64,
    holder: Holder,
    keeper: Keeper,
    /// How fast its clock runs, in hundredths.
    rate: u64,
}

struct Net {
    tick: u64,
    voters: BTreeMap<u64, Voter>,
    flying: Vec<(u64, Letter)>,
    draws: Pcg64,
    loss: f64,
    doubled: f64,
    late: u64,
    cut: BTreeSet<(u64, u64)>,
    /// Whether each wants the role.
    wanting: bool,
    /// What all must agree on.
    log: BTreeMap<u64, Command>,
    leaders: BTreeMap<u64, u64>,
    /// Where in the log each epoch began.
    epochs: BTreeMap<u64, u64>,
    holders: BTreeSet<u64>,
    pace: Pace,
}

impl Net {
    fn founded(seed: u64, count: u64) -> Net {
        let ids: Vec<u64> = (1..=count).collect();
        let state = Seat::founding_state(Bounds::default()).expect("written");
        let mut net = Net {
            tick: 0,
            voters: BTreeMap::new(),
            flying: Vec::new(),
            draws: Pcg64::seed_from_u64(seed),
            loss: 0.0,
            doubled: 0.0,
            late: 2,
            cut: BTreeSet::new(),
            wanting: false,
            log: BTreeMap::new(),
            leaders: BTreeMap::new(),
            epochs: BTreeMap::new(),
            holders: BTreeSet::new(),
            pace: Pace { keep: 40 },
        };
        for id in ids.clone() {
            net.add(id, Saved::founding(1, &ids, state.clone()));
        }
        net
    }

    fn add(&mut self, id: u64, disk: Saved) {
        let rate = [96, 100, 104][(id % 3) as usize];
        let holder = Holder::new(role(), life(id), TERMS);
        let voter = Voter { seat: None, disk, starts: 0, holder, keeper: Keeper::default(), rate };
        self.voters.insert(id, voter);
        self.start(id);
    }

    fn start(&mut self, id: u64) {
        let pace = self.pace;
        let voter = self.voters.get_mut(&id).expect("known");
        voter.starts += 1;
        let seat = Seat::new(id, voter.disk.clone(), id * 1_000 + voter.starts, pace);
        voter.seat = Some(seat.expect("it goes on"));
        // Of an earlier life's asks it knows nothing: it is another.
        voter.holder = Holder::new(role(), life_of(id, voter.starts), TERMS);
        voter.keeper = Keeper::default();
    }

    fn kill(&mut self, id: u64) {
        self.voters.get_mut(&id).expect("known").seat = None;
    }

    fn clock(&self, id: u64) -> Micros {
        id * 77_777 + self.tick * TICK * self.voters[&id].rate / 100
    }

    fn up(&self) -> Vec<u64> {
        self.voters.iter().filter(|(_, voter)| voter.seat.is_some()).map(|(id, _)| *id).collect()
    }

    fn seat(&mut self, id: u64) -> &mut Seat {
        self.voters.get_mut(&id).and_then(|voter| voter.seat.as_mut()).expect("it runs")
    }

    fn leader(&mut self) -> Option<u64> {
        self.up().into_iter().find(|id| self.seat(*id).leads())
    }

    fn post(&mut self, letters: Vec<Letter>) {
        for letter in letters {
            if self.cut.contains(&(letter.from, letter.to)) || self.draws.random::<f64>() < self.loss {
                continue;
            }
            for _ in 0..1 + usize::from(self.draws.random::<f64>() < self.doubled) {
                let at = self.tick + self.draws.random_range(0..=self.late);
                self.flying.push((at, letter.clone()));
            }
        }
    }

    fn work(&mut self, id: u64) {
        for _ in 0..100 {
            let Some(voter) = self.voters.get_mut(&id) else { return };
            let Some(work) = voter.seat.as_mut().and_then(Seat::work) else { break };
            voter.disk.take(&work.persist);
            self.post(work.letters);
            let done = self.seat(id).done();
            self.post(done.letters);
            for (index, command, change) in done.changes {
                let known = self.log.entry(index).or_insert_with(|| command.clone());
                assert_eq!(*known, command, "two logs at {index}, seen by {id}");
                if let Change::Epoch(epoch) = change {
                    let known = *self.epochs.entry(epoch).or_insert(index);
                    assert_eq!(known, index, "two epochs of number {epoch}");
                }
            }
            let voter = self.voters.get_mut(&id).expect("known");
            if let Some(persist) = voter.seat.as_mut().and_then(Seat::compact) {
                voter.disk.take(&persist);
            }
        }
        let now = self.clock(id);
        let wanting = self.wanting && self.tick % 6 == id % 6;
        let Some(voter) = self.voters.get_mut(&id) else { return };
        let Some(seat) = &mut voter.seat else { return };
        let state = seat.state().clone();
        voter.holder.heed(&state);
        voter.keeper.heed(now, &state, seat.leads());
        let mut commands = voter.keeper.due(now, &state);
        if wanting {
            commands.extend(voter.holder.ask(now, &state));
        }
        let own = life_of(id, voter.starts);
        if wanting && !state.is_member(&own) {
            commands.push(Command::Admit { who: own, zone: "a".into() });
        }
        for command in commands {
            // Nobody may lead now: it is asked again.
            let _ = seat.propose(&command);
        }
    }

    fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.tick += 1;
            for id in self.up() {
                self.seat(id).tick();
                self.work(id);
            }
            let (due, flying) =
                std::mem::take(&mut self.flying).into_iter().partition(|(at, _)| *at <= self.tick);
            self.flying = flying;
            let due: Vec<(u64, Letter)> = due;
            for (_, letter) in due {
                let to = letter.to;
                if self.voters.get(&to).is_some_and(|voter| voter.seat.is_some()) {
                    self.seat(to).hear(&letter);
                    self.work(to);
                }
            }
            self.check();
        }
    }

    fn check(&mut self) {
        let mut holding = Vec::new();
        for id in self.up() {
            let now = self.clock(id);
            if let Some(fence) = self.voters[&id].holder.holds(now) {
                holding.push(id);
                self.holders.insert(fence);
            }
            let seat = self.seat(id);
            if seat.leads() {
                let term = seat.term();
                let known = *self.leaders.entry(term).or_insert(id);
                assert_eq!(known, id, "two leaders of term {term}");
            }
        }
        assert!(holding.len() <= 1, "{holding:?} hold it at once");
    }

    fn until(&mut self, ticks: u64, what: &str, holds: impl Fn(&mut Net) -> bool) {
        for _ in 0..ticks {
            if holds(self) {
                return;
            }
            self.run(1);
        }
        panic!("never: {what}");
    }

    fn admit(&mut self, who: u64) {
        self.until(600, "admitted", |net| {
            if net.tick % 20 == 0 {
                if let Some(leader) = net.leader() {
                    // It may be lost on its way: once more then.
                    let _ = net.seat(leader).propose(&Command::Admit { who: life(who), zone: "a".into() });
                }
            }
            net.leader().is_some_and(|leader| net.seat(leader).state().is_member(&life(who)))
        });
    }
}

#[test]
fn five_voters_agree_on_one_log_under_any_course_of_faults() {
    let mut decided = 0;
    for seed in 0..100 {
        let mut net = Net::founded(seed, 5);
        (1..=5).for_each(|id| net.admit(id));
        net.wanting = true;
        (net.loss, net.doubled, net.late) = (0.05, 0.05, 4);
        for _ in 0..12 {
            let victim = net.draws.random_range(1..=5u64);
            match net.draws.random_range(0..4) {
                0 if net.up().len() > 3 && net.up().contains(&victim) => net.kill(victim),
                1 => {
                    for other in 1..=5 {
                        net.cut.insert((victim, other));
                        if net.draws.random::<bool>() {
                            net.cut.insert((other, victim));
                        }
                    }
                }
                2 => net.cut.clear(),
                _ => {
                    let down: Vec<u64> = (1..=5).filter(|id| !net.up().contains(id)).collect();
                    down.into_iter().for_each(|id| net.start(id));
                }
            }
            let ticks = net.draws.random_range(10..60);
            net.run(ticks);
        }
        net.cut.clear();
        let down: Vec<u64> = (1..=5).filter(|id| !net.up().contains(id)).collect();
        down.into_iter().for_each(|id| net.start(id));
        (net.loss, net.doubled) = (0.0, 0.0);
        net.wanting = false;
        net.run(200);
        let states: BTreeSet<String> =
            net.up().iter().map(|id| format!("{:?}", net.seat(*id).state())).collect();
        assert_eq!(states.len(), 1, "seed {seed}");
        decided += net.log.len();
        assert!(!net.holders.is_empty(), "seed {seed}: nobody ever held it");
    }
    assert!(decided > 100 * 20, "{decided} commands");
}

#[test]
fn a_leader_cut_off_from_the_others_decides_nothing_and_its_lease_ends() {
    let mut net = Net::founded(3, 5);
    (1..=5).for_each(|id| net.admit(id));
    let old = net.leader().expect("somebody leads");
    // Its own holder gets the role.
    let now = net.clock(old);
    let state = net.seat(old).state().clone();
    let ask = net.voters.get_mut(&old).and_then(|voter| voter.holder.ask(now, &state)).expect("it is free");
    net.seat(old).propose(&ask).expect("it leads");
    net.until(100, "it holds", |net| net.voters[&old].holder.holds(net.clock(old)).is_some());
    for other in (1..=5).filter(|other| *other != old) {
        net.cut.insert((old, other));
        net.cut.insert((other, old));
    }
    let before = net.log.len();
    let _ = net.seat(old).propose(&Command::Dismiss { who: life(5) });
    net.run(4);
    assert_eq!(net.log.len(), before);
    net.until(200, "another leads", |net| net.leader().is_some_and(|leader| leader != old));
    net.wanting = true;
    net.until(400, "another holds it", |net| {
        (1..=5).any(|id| id != old && net.voters[&id].holder.holds(net.clock(id)).is_some())
    });
    assert!(!net.seat(old).leads(), "without a majority it leads no more");
    assert!(
        net.seat(old).propose(&Command::Dismiss { who: life(4) }).is_err()
            || net.seat(old).leader().is_none()
    );
    net.cut.clear();
    net.wanting = false;
    net.run(200);
    assert!(net.seat(old).state().is_member(&life(5)), "what it alone had proposed is not in the log");
}

fn candidates(net: &Net) -> Vec<Candidate> {
    let of = |(id, voter): (&u64, &Voter)| Candidate {
        id: *id,
        zone: format!("z{}", id % 3),
        alive: voter.seat.is_some(),
    };
    net.voters.iter().map(of).collect()
}

/// Runs with a leader that replaces voters.
fn run_seating(net: &mut Net, ticks: u64, patience: u64) {
    let mut seating: BTreeMap<u64, Seating> = BTreeMap::new();
    for _ in 0..ticks {
        net.run(1);
        let Some(leader) = net.leader() else { continue };
        let now = net.tick;
        let all = candidates(net);
        let seats = net.seat(leader).seats().clone();
        let by = seating.entry(leader).or_insert_with(|| Seating::new(5, patience));
        let seat = net.voters.get_mut(&leader).and_then(|voter| voter.seat.as_mut()).expect("it runs");
        if let Some(reseat) = by.next(now, &seats, &all, |id| seat.has_caught_up(id)) {
            // One at a time: a further one comes to nothing.
            let _ = seat.reseat(reseat);
        }
        let voters = net.seat(leader).seats().voters.clone();
        let there = voters.iter().filter(|id| net.up().contains(id)).count();
        assert!(there > voters.len() / 2, "{voters:?}, {there} there");
    }
}

/// They come back as new ones, never under their old votes.
#[test]
fn two_voters_that_lose_their_disks_come_back_as_new_ones() {
    let mut net = Net::founded(4, 5);
    (1..=5).for_each(|id| net.admit(id));
    let leader = net.leader().expect("somebody leads");
    let lost: Vec<u64> = (1..=5).filter(|id| *id != leader).take(2).collect();
    for id in &lost {
        net.kill(*id);
        net.voters.remove(id);
    }
    net.add(6, Saved::joining(1));
    net.add(7, Saved::joining(1));
    run_seating(&mut net, 600, 40);
    let leader = net.leader().expect("somebody leads");
    let voters = net.seat(leader).seats().voters.clone();
    assert_eq!(voters.len(), 5, "{voters:?}");
    assert!(
        voters.contains(&6) && voters.contains(&7) && lost.iter().all(|id| !voters.contains(id)),
        "{voters:?}"
    );
    net.admit(9);
    net.run(100);
    let state = net.seat(leader).state().clone();
    assert_eq!(*net.seat(6).state(), state);
}

/// Nothing is decided any more; by an operator's word a new council begins from one that is left, and an old voter that
/// comes back late is not heard.
#[test]
fn three_of_five_lost_for_good_want_an_operators_word() {
    let mut net = Net::founded(5, 5);
    (1..=5).for_each(|id| net.admit(id));
    net.run(40);
    for id in [1, 2, 3] {
        net.kill(id);
    }
    let epoch = net.seat(4).state().epoch();
    net.run(400);
    for id in [4, 5] {
        let _ = net.seat(id).propose(&Command::Dismiss { who: life(1) });
    }
    net.run(200);
    assert_eq!((net.seat(4).state().epoch(), net.leader()), (epoch, None));
    // The new council, from the state of 4: of 4 and 5 in new seats, and a new one.
    let saved = net.seat(4).refound(2, &[14, 15, 16]).expect("written");
    for id in [4, 5] {
        net.kill(id);
    }
    for id in [14, 15, 16] {
        net.add(id, saved.clone());
    }
    // Its log begins anew.
    net.log.clear();
    net.leaders.clear();
    net.epochs.clear();
    net.admit(20);
    let leader = net.leader().expect("somebody leads");
    assert!(net.seat(leader).state().epoch() > epoch + 1_000, "numbers of the old one are passed over");
    assert!(net.seat(leader).state().is_member(&life(1)), "what it knew is kept");
    // The old ones are back, and would have a majority of their own council.
    let log = std::mem::take(&mut net.log);
    for id in [1, 2, 3] {
        net.start(id);
    }
    let before = net.seat(leader).state().clone();
    let terms: Vec<u64> = [14, 15, 16].map(|id| net.seat(id).term()).to_vec();
    for to in [14, 15, 16] {
        // Whatever they say there, with a term above all.
        let letter = Letter {
            council: 1,
            kind: LetterKind::Append,
            from: 1,
            to,
            term: 99,
            log_term: 1,
            index: 1,
            commit: 1,
            commit_term: 1,
            reject: false,
            reject_hint: 0,
            request_snapshot: 0,
            priority: 0,
            context: Vec::new(),
            entries: Vec::new(),
            base: None,
        };
        net.seat(to).hear(&letter);
    }
    assert_eq!([14, 15, 16].map(|id| net.seat(id).term()).to_vec(), terms);
    assert_eq!(*net.seat(leader).state(), before);
    drop(log);
}

/// It was away while the log's beginning went: it gets the base, and then the rest.
#[test]
fn one_that_is_far_behind_gets_the_base() {
    let mut net = Net::founded(6, 5);
    (1..=5).for_each(|id| net.admit(id));
    let away = (1..=5).find(|id| Some(*id) != net.leader()).expect("one that does not lead");
    net.kill(away);
    for who in 100..180 {
        net.admit(who);
    }
    assert!(net.voters[&away].disk.last() + 40 < net.log.len() as u64);
    net.start(away);
    net.run(100);
    assert_eq!(net.seat(away).state().members().len(), 85);
    // And goes on from it after its next end.
    net.kill(away);
    net.start(away);
    net.run(100);
    assert_eq!(net.seat(away).state().members().len(), 85);
}

#[test]
fn what_is_saved_and_torn_is_refused() {
    let state = Seat::founding_state(Bounds::default()).expect("written");
    let good = Saved::founding(1, &[1, 2, 3], state);
    let seat = |saved: &Saved| Seat::new(1, saved.clone(), 1, Pace::default());
    assert!(seat(&good).is_ok());
    let entry = |index| Entry { index, term: 1, what: What::Nothing };
    let bad = [
        Saved { entries: vec![entry(2), entry(4)], ..good.clone() },
        Saved { hard: Hard { commit: 7, ..good.hard }, ..good.clone() },
        Saved { base: Base { state: vec![255; 3], ..good.base.clone() }, ..good.clone() },
    ];
    for saved in bad {
        assert!(seat(&saved).is_err(), "{saved:?}");
    }
    assert!(Seat::new(0, good, 1, Pace::default()).is_err(), "0 is nobody's number");
}

#[test]
fn a_seat_is_changed_only_where_a_majority_stays() {
    let all = |alive: &[u64]| -> Vec<Candidate> {
        (1..=8).map(|id| Candidate { id, zone: format!("z{}", id % 3), alive: alive.contains(&id) }).collect()
    };
    let seats =
        |voters: &[u64], learners: &[u64]| Seats { voters: voters.to_vec(), learners: learners.to_vec() };
    let mut seating = Seating::new(5, 30);
    let five = seats(&[1, 2, 3, 4, 5], &[]);
    assert_eq!(seating.next(0, &five, &all(&[1, 2, 3, 4, 5, 6, 7, 8]), |_| true), None);
    assert_eq!(
        seating.next(1, &five, &all(&[2, 3, 4, 5, 6, 7, 8]), |_| true),
        None,
        "it has failed only now"
    );
    // 1 was of zone 1, as 4 and 7 are; of zone 0 is 3, of 2 are 2 and 5.
    assert_eq!(seating.next(31, &five, &all(&[2, 3, 4, 5, 6, 7, 8]), |_| true), Some(Reseat::Learn(6)));
    let learning = seats(&[1, 2, 3, 4, 5], &[6]);
    assert_eq!(
        seating.next(32, &learning, &all(&[2, 3, 4, 5, 6]), |_| false),
        None,
        "it has not the log yet"
    );
    assert_eq!(seating.next(33, &learning, &all(&[2, 3, 4, 5, 6]), |_| true), Some(Reseat::Vote(6)));
    let six = seats(&[1, 2, 3, 4, 5, 6], &[]);
    assert_eq!(seating.next(34, &six, &all(&[2, 3, 4, 5, 6]), |_| true), Some(Reseat::Leave(1)));
    // Two of five there: the leader can't know better, and nothing is changed.
    let mut seating = Seating::new(5, 30);
    for now in [0, 100] {
        let next = seating.next(now, &learning, &all(&[2, 6]), |_| true);
        assert_eq!(next, None, "at {now}");
    }
    // One that is back in between has not failed for so long.
    let mut seating = Seating::new(5, 30);
    for now in 0..100 {
        let there: &[u64] = if now % 20 == 0 { &[1, 2, 3, 4, 5] } else { &[2, 3, 4, 5] };
        assert_eq!(seating.next(now, &five, &all(there), |_| true), None, "at {now}");
    }
}
