//! Many members on virtual time, with a network that loses, delays, doubles and cuts.
#![allow(dead_code)]

use nettleworks_members::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

pub const SECOND: Micros = 1_000_000;
/// The wall clock at the start: some day of 2024, in milliseconds.
pub const WALL: u64 = 1_700_000_000_000;

pub fn name(number: usize) -> Name {
    Name::new(&format!("m-{number}")).expect("a name")
}

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_000))
}

pub struct Node {
    pub members: Members,
    pub news: Vec<(Micros, News)>,
    /// Until when it does not run; what comes meanwhile waits.
    pub stopped_until: Micros,
    pub inbox: Vec<Message>,
    pub up: bool,
}

pub struct Net {
    pub now: Micros,
    pub nodes: BTreeMap<SocketAddr, Node>,
    pub loss: f64,
    pub doubled: f64,
    /// From whom to whom nothing goes.
    pub cut: BTreeSet<(SocketAddr, SocketAddr)>,
    pub delay: (Micros, Micros),
    pub sent: u64,
    pub bytes: u64,
    draws: Pcg64,
    flying: BTreeMap<(Micros, u64), (SocketAddr, SocketAddr, Message)>,
    next: u64,
    pub config: Config,
}

impl Net {
    pub fn new(seed: u64, config: Config) -> Net {
        Net {
            now: 0,
            nodes: BTreeMap::new(),
            loss: 0.0,
            doubled: 0.0,
            cut: BTreeSet::new(),
            delay: (200, 2_000),
            sent: 0,
            bytes: 0,
            draws: Pcg64::seed_from_u64(seed),
            flying: BTreeMap::new(),
            next: 0,
            config,
        }
    }

    /// So many that all know the first three as seeds, all agreed.
    pub fn agreed(seed: u64, count: usize) -> Net {
        let mut net = Net::new(seed, Config::default());
        (0..count).for_each(|number| net.start(number, WALL));
        let all = |net: &Net| {
            net.nodes.values().all(|node| {
                let view = node.members.view(net.now);
                view.members.len() == count && view.members.iter().all(|of| of.condition == Condition::Alive)
            })
        };
        assert!(net.until(60 * SECOND, all), "they never agree");
        net
    }

    pub fn start(&mut self, number: usize, wall: u64) {
        self.start_at(number, address(number), wall);
    }

    pub fn start_at(&mut self, number: usize, at: SocketAddr, wall: u64) {
        let seeds = (0..3).map(address).collect();
        let seed = self.draws.random();
        let wall = wall + self.now / 1_000;
        let members =
            Members::new(self.config.clone(), name(number), Card::at(at), seeds, seed, self.now, wall);
        let node = Node {
            members: members.expect("good bounds"),
            news: Vec::new(),
            stopped_until: 0,
            inbox: Vec::new(),
            up: true,
        };
        self.nodes.insert(at, node);
    }

    pub fn node(&mut self, number: usize) -> &mut Node {
        self.nodes.get_mut(&address(number)).expect("it was started")
    }

    pub fn kill(&mut self, number: usize) {
        self.node(number).up = false;
    }

    /// It does not run for so long.
    pub fn stop(&mut self, number: usize, time: Micros) {
        let until = self.now + time;
        self.node(number).stopped_until = until;
    }

    /// Cuts both ways between each of the one and each of the other.
    pub fn split(
        &mut self,
        one: impl IntoIterator<Item = usize>,
        other: impl IntoIterator<Item = usize> + Clone,
    ) {
        for a in one {
            for b in other.clone() {
                self.cut.insert((address(a), address(b)));
                self.cut.insert((address(b), address(a)));
            }
        }
    }

    pub fn condition(&self, seen_by: usize, of: usize) -> Option<Condition> {
        self.nodes[&address(seen_by)].members.condition(&name(of))
    }

    pub fn everyone(&self, of: usize, is: Condition) -> bool {
        let others = self.nodes.iter().filter(|(at, node)| node.up && **at != address(of));
        let mut others = others.map(|(_, node)| node.members.condition(&name(of)));
        others.all(|condition| condition == Some(is))
    }

    pub fn agree(&self) -> bool {
        let mut digests = self.nodes.values().filter(|node| node.up).map(|node| node.members.digest());
        let first = digests.next();
        digests.all(|digest| Some(digest) == first)
    }

    /// Who was told to have failed, by those that run, since a moment.
    pub fn failed_since(&self, at: Micros) -> BTreeSet<Name> {
        let news = self.nodes.values().filter(|node| node.up).flat_map(|node| &node.news);
        let failed = news.filter(|(when, news)| *when >= at && news.what == What::Failed);
        failed.map(|(_, news)| news.name.clone()).collect()
    }

    pub fn run(&mut self, time: Micros) {
        let until = self.now + time;
        while self.step(until) {}
        self.now = until;
    }

    /// Plays until a condition holds, for so long at the most; whether it came.
    pub fn until(&mut self, time: Micros, holds: impl Fn(&Net) -> bool) -> bool {
        let until = self.now + time;
        while self.now < until {
            if holds(self) {
                return true;
            }
            self.run(100_000.min(until - self.now));
        }
        holds(self)
    }

    fn step(&mut self, until: Micros) -> bool {
        let wakes = self.nodes.iter().filter(|(_, node)| node.up).filter_map(|(at, node)| {
            node.members.wakes_at().map(|wake| (wake.max(node.stopped_until).max(self.now), *at))
        });
        let wake = wakes.min();
        let arrival = self.flying.keys().next().copied();
        match (wake, arrival) {
            (Some((at, who)), arrival) if at <= until && arrival.is_none_or(|(then, _)| at < then) => {
                self.now = at;
                let mut out = Vec::new();
                let Some(node) = self.nodes.get_mut(&who) else { return true };
                // What has come while it did not run is read, in one order or the other.
                let inbox = std::mem::take(&mut node.inbox);
                if self.draws.random::<bool>() {
                    node.members.wake(at, &mut out);
                    inbox.into_iter().for_each(|message| node.members.hear(at, message, &mut out));
                } else {
                    inbox.into_iter().for_each(|message| node.members.hear(at, message, &mut out));
                    node.members.wake(at, &mut out);
                }
                self.carry(who, out);
                true
            }
            (_, Some(key)) if key.0 <= until => {
                self.now = key.0;
                if let Some((_, to, message)) = self.flying.remove(&key) {
                    self.arrive(to, message);
                }
                true
            }
            _ => false,
        }
    }

    fn arrive(&mut self, to: SocketAddr, message: Message) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&to).filter(|node| node.up) else { return };
        if node.stopped_until > now {
            node.inbox.push(message);
            return;
        }
        let mut out = Vec::new();
        node.members.hear(now, message, &mut out);
        self.carry(to, out);
    }

    /// Something that a member has to say, or somebody in its place.
    pub fn carry(&mut self, from: SocketAddr, out: Vec<Out>) {
        for out in out {
            match out {
                Out::Tell(news) => {
                    let now = self.now;
                    self.nodes.get_mut(&from).expect("known").news.push((now, news));
                }
                Out::Send { to, message } => {
                    self.sent += 1;
                    self.bytes += message.size_most() as u64;
                    assert!(message.size_most() <= self.config.packet, "{message:?}");
                    if self.cut.contains(&(from, to)) || self.draws.random::<f64>() < self.loss {
                        continue;
                    }
                    let copies = 1 + usize::from(self.draws.random::<f64>() < self.doubled);
                    for _ in 0..copies {
                        let at = self.now + self.draws.random_range(self.delay.0..=self.delay.1);
                        self.next += 1;
                        self.flying.insert((at, self.next), (from, to, message.clone()));
                    }
                }
            }
        }
    }
}
