//! Members on virtual time: the real core (`nettleworks-members`), up to thousands of them, and a network that loses,
//! delays and cuts. The same seed plays the same course.

use crate::draw::Draw;
use crate::queue::Queue;
use crate::Micros;
use nettleworks_members::{Card, Condition, Config, Members, Message, Name, News, Out, What};
use std::net::SocketAddr;

/// The wall clock at the start: some day, in milliseconds since 1970.
const START_UNIX_MS: u64 = 1_700_000_000_000;
/// One hears at this port, at an address of its own.
const PORT: u16 = 7_000;
/// Bytes that a datagram takes beside its message: version, MAC, session and counter.
const DATAGRAM_OVERHEAD: u64 = 37;

/// A crowd of members.
#[derive(Clone)]
pub struct Cluster {
    nodes: Vec<Node>,
    config: Config,
    queue: Queue<ClusterEvent>,
    /// The present moment.
    pub now: Micros,
    /// What the network does.
    pub network: Network,
    /// Which part each is in: nothing passes between two parts.
    partitions: Vec<u8>,
    random: Draw,
    /// What was told, by whom, when.
    pub events: Vec<(Micros, usize, News)>,
    /// Datagrams that were sent, and their bytes by the core's own bound.
    pub sent: (u64, u64),
}

/// What becomes of a datagram.
#[derive(Clone, Debug)]
pub struct Network {
    /// Share that is lost.
    pub loss: f64,
    /// Least and most time on the way, in microseconds.
    pub delay: (Micros, Micros),
}

impl Default for Network {
    fn default() -> Self {
        Network { loss: 0.0, delay: (200, 5_000) }
    }
}

#[derive(Clone)]
struct Node {
    members: Members,
    up: bool,
    /// The wake that counts; one that was asked for before does not.
    timer: u64,
    timer_at: Option<Micros>,
}

#[derive(Clone)]
enum ClusterEvent {
    Timer { node: usize, timer: u64 },
    Arrive { to: usize, from: usize, message: Box<Message> },
    Start { node: usize },
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, (node >> 16) as u8, (node >> 8) as u8, node as u8], PORT))
}

fn node_at(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => u32::from(ip) as usize & 0x00ff_ffff,
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

/// A member's name.
pub fn name(node: usize) -> Name {
    Name::new(&format!("m-{node}")).unwrap_or_else(|_| unreachable!("letters and digits"))
}

impl Cluster {
    /// So many that start within a second, three of them seeds of all. Runs until all agree.
    ///
    /// # Errors
    ///
    /// The bounds are no good, or they do not agree within five minutes.
    pub fn converged(count: usize, seed: u64, config: &Config) -> Result<Cluster, String> {
        let mut cluster = Cluster {
            nodes: Vec::with_capacity(count),
            config: config.clone(),
            queue: Queue::default(),
            now: 0,
            network: Network::default(),
            partitions: vec![0; count],
            random: Draw::new(seed, "crowd", count as u64, 0),
            events: Vec::new(),
            sent: (0, 0),
        };
        for node in 0..count {
            let members = cluster.new_member(node, config)?;
            cluster.nodes.push(Node { members, up: false, timer: 0, timer_at: None });
            let at = cluster.random.below(1_000_000) as Micros;
            cluster.queue.put(at, ClusterEvent::Start { node });
        }
        let whole = |cluster: &Cluster| {
            cluster.has_converged() && cluster.nodes[0].members.view(cluster.now).members.len() == count
        };
        match cluster.run_until(300_000_000, whole) {
            Some(_) => Ok(cluster),
            None => Err(format!("{count} members do not agree within five minutes")),
        }
    }

    fn new_member(&mut self, node: usize, config: &Config) -> Result<Members, String> {
        let seeds = (0..3).map(address).collect();
        let seed = self.random.below(usize::MAX >> 12) as u64;
        let unix_ms = START_UNIX_MS + self.now / 1_000;
        Members::new(config.clone(), name(node), Card::at(address(node)), seeds, seed, self.now, unix_ms)
    }

    /// Another course from here on: what the network draws is drawn anew.
    pub fn reseed(&mut self, seed: u64) {
        self.random = Draw::new(seed, "crowd goes on", self.nodes.len() as u64, self.now);
    }

    /// How many there are, those that are down among them.
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// It runs no more.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].up = false;
    }

    /// Parts from now on: nothing passes between two that are in different ones.
    pub fn partition(&mut self, partition_of: impl Fn(usize) -> u8) {
        self.partitions = (0..self.nodes.len()).map(partition_of).collect();
    }

    /// Whether the lists of all that run are equal.
    pub fn has_converged(&self) -> bool {
        let mut digests = self.nodes.iter().filter(|node| node.up).map(|node| node.members.digest());
        let first = digests.next();
        digests.all(|digest| Some(digest) == first)
    }

    /// Whether all that run take this one to be so.
    pub fn all_report(&self, node: usize, condition: Condition) -> bool {
        let name = name(node);
        let others = self.nodes.iter().enumerate().filter(|(index, other)| *index != node && other.up);
        others.map(|(_, other)| other.members.condition(&name)).all(|reported| reported == Some(condition))
    }

    /// A member.
    pub fn member(&self, node: usize) -> &Members {
        &self.nodes[node].members
    }

    /// How many news of a kind were told from a moment on of members that do not pass.
    pub fn events_since(&self, at: Micros, kind: What, except: impl Fn(&Name) -> bool) -> usize {
        let events = self.events.iter().filter(|(when, _, event)| *when >= at && event.what == kind);
        events.filter(|(_, _, event)| !except(&event.name)).count()
    }

    /// Goes on for so long.
    pub fn run(&mut self, time: Micros) {
        let until = self.now + time;
        while let Some((at, event)) = self.queue.take(until) {
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    /// Goes on until a condition holds, looked at ten times a second; how long it took, or `None` if it did not in that time.
    pub fn run_until(&mut self, time: Micros, holds: impl Fn(&Cluster) -> bool) -> Option<Micros> {
        let started_at = self.now;
        while self.now < started_at + time {
            if holds(self) {
                return Some(self.now - started_at);
            }
            self.run(100_000);
        }
        holds(self).then_some(self.now - started_at)
    }

    fn handle(&mut self, event: ClusterEvent) {
        let mut actions = Vec::new();
        let now = self.now;
        let node = match event {
            ClusterEvent::Start { node } => {
                // It lives from here on. The bounds were good for the one that holds its place.
                if let Ok(members) = self.new_member(node, &self.config.clone()) {
                    self.nodes[node].members = members;
                }
                self.nodes[node].up = true;
                node
            }
            ClusterEvent::Timer { node, timer } => {
                let state = &mut self.nodes[node];
                if !state.up || state.timer != timer {
                    return;
                }
                state.timer_at = None;
                state.members.wake(now, &mut actions);
                node
            }
            ClusterEvent::Arrive { to, from, message } => {
                // One that was on its way when the parts were cut is lost as well.
                if !self.nodes[to].up || self.partitions[to] != self.partitions[from] {
                    return;
                }
                self.nodes[to].members.hear(now, *message, &mut actions);
                to
            }
        };
        for action in actions {
            match action {
                Out::Tell(event) => self.events.push((now, node, event)),
                Out::Send { to, message } => self.send(node, node_at(to), message),
            }
        }
        let state = &mut self.nodes[node];
        let timer_at = state.members.wakes_at().map(|timeout| timeout.max(now));
        if state.up && timer_at != state.timer_at.filter(|_| state.timer > 0) {
            state.timer += 1;
            state.timer_at = timer_at;
            if let Some(timer_at) = timer_at {
                self.queue.put(timer_at, ClusterEvent::Timer { node, timer: state.timer });
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.sent.0 += 1;
        self.sent.1 += message.size_most() as u64 + DATAGRAM_OVERHEAD;
        if to >= self.nodes.len()
            || self.partitions[from] != self.partitions[to]
            || self.random.happens(self.network.loss)
        {
            return;
        }
        let (min, max) = self.network.delay;
        let delay = min + self.random.below((max - min) as usize + 1) as Micros;
        self.queue.put(self.now + delay, ClusterEvent::Arrive { to, from, message: Box::new(message) });
    }
}
