//! Simulation of many members on virtual time, with a network that loses, delays, duplicates and blocks
//! messages.
#![allow(dead_code)]

use nettleworks_members::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

pub const SECOND: Micros = 1_000_000;
/// Wall clock at the start in milliseconds, on some day of 2023.
pub const WALL_CLOCK_START_MS: u64 = 1_700_000_000_000;

pub fn name(number: usize) -> Name {
    Name::new(&format!("m-{number}")).expect("a name")
}

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_000))
}

pub struct Node {
    pub members: Membership,
    pub events: Vec<(Micros, MemberEvent)>,
    /// Until when the process does not run; messages that arrive meanwhile wait.
    pub paused_until: Micros,
    pub inbox: Vec<Message>,
    pub up: bool,
}

pub struct Net {
    pub now: Micros,
    pub nodes: BTreeMap<SocketAddr, Node>,
    pub loss: f64,
    pub duplication: f64,
    /// Links, from and to, on which nothing is delivered.
    pub blocked_links: BTreeSet<(SocketAddr, SocketAddr)>,
    pub delay: (Micros, Micros),
    pub sent: u64,
    pub bytes: u64,
    rng: Pcg64,
    in_flight: BTreeMap<(Micros, u64), (SocketAddr, SocketAddr, Message)>,
    next_sequence: u64,
    pub config: Config,
}

impl Net {
    pub fn new(seed: u64, config: Config) -> Net {
        Net {
            now: 0,
            nodes: BTreeMap::new(),
            loss: 0.0,
            duplication: 0.0,
            blocked_links: BTreeSet::new(),
            delay: (200, 2_000),
            sent: 0,
            bytes: 0,
            rng: Pcg64::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            next_sequence: 0,
            config,
        }
    }

    /// Starts this many members with the first three as seeds, and runs until all agree.
    pub fn converged(seed: u64, count: usize) -> Net {
        let mut net = Net::new(seed, Config::default());
        (0..count).for_each(|number| net.start(number, WALL_CLOCK_START_MS));
        let converged = |net: &Net| {
            net.nodes.values().all(|node| {
                let view = node.members.view(net.now);
                view.members.len() == count
                    && view.members.iter().all(|member| member.condition == Condition::Alive)
            })
        };
        assert!(net.run_until(60 * SECOND, converged), "the members do not converge");
        net
    }

    pub fn start(&mut self, number: usize, wall_ms: u64) {
        self.start_at(number, address(number), wall_ms);
    }

    pub fn start_at(&mut self, number: usize, at: SocketAddr, wall_ms: u64) {
        let seeds = (0..3).map(address).collect();
        let seed = self.rng.random();
        let wall_ms = wall_ms + self.now / 1_000;
        let members = Membership::new(
            self.config.clone(),
            name(number),
            Metadata::new(at),
            seeds,
            seed,
            self.now,
            wall_ms,
        );
        let node = Node {
            members: members.expect("a valid configuration"),
            events: Vec::new(),
            paused_until: 0,
            inbox: Vec::new(),
            up: true,
        };
        self.nodes.insert(at, node);
    }

    pub fn node(&mut self, number: usize) -> &mut Node {
        self.nodes.get_mut(&address(number)).expect("the node was started")
    }

    pub fn kill(&mut self, number: usize) {
        self.node(number).up = false;
    }

    /// Pauses a process for this long.
    pub fn pause(&mut self, number: usize, time: Micros) {
        let until = self.now + time;
        self.node(number).paused_until = until;
    }

    /// Blocks all links between members of the two groups, in both directions.
    pub fn partition(
        &mut self,
        one: impl IntoIterator<Item = usize>,
        other: impl IntoIterator<Item = usize> + Clone,
    ) {
        for a in one {
            for b in other.clone() {
                self.blocked_links.insert((address(a), address(b)));
                self.blocked_links.insert((address(b), address(a)));
            }
        }
    }

    pub fn condition(&self, observer: usize, member: usize) -> Option<Condition> {
        self.nodes[&address(observer)].members.condition(&name(member))
    }

    pub fn all_see(&self, member: usize, expected: Condition) -> bool {
        let others = self.nodes.iter().filter(|(at, node)| node.up && **at != address(member));
        let mut others = others.map(|(_, node)| node.members.condition(&name(member)));
        others.all(|condition| condition == Some(expected))
    }

    pub fn digests_agree(&self) -> bool {
        let mut digests = self.nodes.values().filter(|node| node.up).map(|node| node.members.digest());
        let first = digests.next();
        digests.all(|digest| Some(digest) == first)
    }

    /// Members that were reported as failed by running processes since a time.
    pub fn failed_since(&self, at: Micros) -> BTreeSet<Name> {
        let events = self.nodes.values().filter(|node| node.up).flat_map(|node| &node.events);
        let failed = events.filter(|(when, event)| *when >= at && event.kind == MemberEventKind::Failed);
        failed.map(|(_, event)| event.name.clone()).collect()
    }

    pub fn run(&mut self, time: Micros) {
        let until = self.now + time;
        while self.step(until) {}
        self.now = until;
    }

    /// Runs until a condition holds, for at most this long; returns whether it holds.
    pub fn run_until(&mut self, time: Micros, condition: impl Fn(&Net) -> bool) -> bool {
        let until = self.now + time;
        while self.now < until {
            if condition(self) {
                return true;
            }
            self.run(100_000.min(until - self.now));
        }
        condition(self)
    }

    fn step(&mut self, until: Micros) -> bool {
        let timeouts = self.nodes.iter().filter(|(_, node)| node.up).filter_map(|(at, node)| {
            node.members.next_timeout().map(|timeout| (timeout.max(node.paused_until).max(self.now), *at))
        });
        let timeout = timeouts.min();
        let arrival = self.in_flight.keys().next().copied();
        match (timeout, arrival) {
            (Some((at, who)), arrival) if at <= until && arrival.is_none_or(|(then, _)| at < then) => {
                self.now = at;
                let mut out = Vec::new();
                let Some(node) = self.nodes.get_mut(&who) else { return true };
                // Messages that arrived while it did not run are read before or after its timeouts, at
                // random.
                let inbox = std::mem::take(&mut node.inbox);
                if self.rng.random::<bool>() {
                    node.members.handle_timeout(at, &mut out);
                    inbox.into_iter().for_each(|message| node.members.handle_message(at, message, &mut out));
                } else {
                    inbox.into_iter().for_each(|message| node.members.handle_message(at, message, &mut out));
                    node.members.handle_timeout(at, &mut out);
                }
                self.perform(who, out);
                true
            }
            (_, Some(key)) if key.0 <= until => {
                self.now = key.0;
                if let Some((_, to, message)) = self.in_flight.remove(&key) {
                    self.deliver(to, message);
                }
                true
            }
            _ => false,
        }
    }

    fn deliver(&mut self, to: SocketAddr, message: Message) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&to).filter(|node| node.up) else { return };
        if node.paused_until > now {
            node.inbox.push(message);
            return;
        }
        let mut out = Vec::new();
        node.members.handle_message(now, message, &mut out);
        self.perform(to, out);
    }

    /// Performs the actions of a member, or of a test in its place.
    pub fn perform(&mut self, from: SocketAddr, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Notify(event) => {
                    let now = self.now;
                    self.nodes.get_mut(&from).expect("known").events.push((now, event));
                }
                Action::Send { to, message } => {
                    self.sent += 1;
                    self.bytes += message.max_size() as u64;
                    assert!(message.max_size() <= self.config.max_message_bytes, "{message:?}");
                    if self.blocked_links.contains(&(from, to)) || self.rng.random::<f64>() < self.loss {
                        continue;
                    }
                    let copies = 1 + usize::from(self.rng.random::<f64>() < self.duplication);
                    for _ in 0..copies {
                        let at = self.now + self.rng.random_range(self.delay.0..=self.delay.1);
                        self.next_sequence += 1;
                        self.in_flight.insert((at, self.next_sequence), (from, to, message.clone()));
                    }
                }
            }
        }
    }
}
