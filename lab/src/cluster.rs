//! Members on virtual time: the real core (`nettleworks-members`), up to thousands of them, and a network that loses,
//! delays and cuts. The same seed plays the same course.

use crate::draw::Draw;
use crate::queue::Queue;
use crate::Micros;
use nettleworks_members::{Card, Condition, Config, Members, Message, Name, News, Out, What};
use std::net::SocketAddr;

/// The wall clock at the start: some day, in milliseconds since 1970.
const WALL: u64 = 1_700_000_000_000;
/// One hears at this port, at an address of its own.
const PORT: u16 = 7_000;
/// Bytes that a datagram takes beside its message: version, MAC, session and counter.
const HEAD: u64 = 37;

/// A crowd of members.
#[derive(Clone)]
pub struct Cluster {
    nodes: Vec<Node>,
    config: Config,
    queue: Queue<Ev>,
    /// The present moment.
    pub now: Micros,
    /// What the network does.
    pub network: Network,
    /// Which part each is in: nothing passes between two parts.
    parts: Vec<u8>,
    draw: Draw,
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
    wake: u64,
    wakes_at: Option<Micros>,
}

#[derive(Clone)]
enum Ev {
    Wake { node: usize, wake: u64 },
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
        let mut crowd = Cluster {
            nodes: Vec::with_capacity(count),
            config: config.clone(),
            queue: Queue::default(),
            now: 0,
            network: Network::default(),
            parts: vec![0; count],
            draw: Draw::new(seed, "crowd", count as u64, 0),
            events: Vec::new(),
            sent: (0, 0),
        };
        for node in 0..count {
            let members = crowd.born(node, config)?;
            crowd.nodes.push(Node { members, up: false, wake: 0, wakes_at: None });
            let at = crowd.draw.below(1_000_000) as Micros;
            crowd.queue.put(at, Ev::Start { node });
        }
        let whole = |crowd: &Cluster| {
            crowd.has_converged() && crowd.nodes[0].members.view(crowd.now).members.len() == count
        };
        match crowd.run_until(300_000_000, whole) {
            Some(_) => Ok(crowd),
            None => Err(format!("{count} members do not agree within five minutes")),
        }
    }

    fn born(&mut self, node: usize, config: &Config) -> Result<Members, String> {
        let seeds = (0..3).map(address).collect();
        let seed = self.draw.below(usize::MAX >> 12) as u64;
        let wall = WALL + self.now / 1_000;
        Members::new(config.clone(), name(node), Card::at(address(node)), seeds, seed, self.now, wall)
    }

    /// Another course from here on: what the network draws is drawn anew.
    pub fn reseed(&mut self, seed: u64) {
        self.draw = Draw::new(seed, "crowd goes on", self.nodes.len() as u64, self.now);
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
    pub fn partition(&mut self, part: impl Fn(usize) -> u8) {
        self.parts = (0..self.nodes.len()).map(part).collect();
    }

    /// Whether the lists of all that run are equal.
    pub fn has_converged(&self) -> bool {
        let mut digests = self.nodes.iter().filter(|node| node.up).map(|node| node.members.digest());
        let first = digests.next();
        digests.all(|digest| Some(digest) == first)
    }

    /// Whether all that run take this one to be so.
    pub fn all_report(&self, node: usize, condition: Condition) -> bool {
        let whom = name(node);
        let others = self.nodes.iter().enumerate().filter(|(other, at)| *other != node && at.up);
        others.map(|(_, at)| at.members.condition(&whom)).all(|seen| seen == Some(condition))
    }

    /// A member.
    pub fn member(&self, node: usize) -> &Members {
        &self.nodes[node].members
    }

    /// How many news of a kind were told from a moment on of members that do not pass.
    pub fn events_since(&self, at: Micros, what: What, but: impl Fn(&Name) -> bool) -> usize {
        let news = self.events.iter().filter(|(when, _, news)| *when >= at && news.what == what);
        news.filter(|(_, _, news)| !but(&news.name)).count()
    }

    /// Goes on for so long.
    pub fn run(&mut self, time: Micros) {
        let until = self.now + time;
        while let Some((at, event)) = self.queue.take(until) {
            self.now = at;
            self.play(event);
        }
        self.now = until;
    }

    /// Goes on until a condition holds, looked at ten times a second; how long it took, or `None` if it did not in that time.
    pub fn run_until(&mut self, time: Micros, holds: impl Fn(&Cluster) -> bool) -> Option<Micros> {
        let began = self.now;
        while self.now < began + time {
            if holds(self) {
                return Some(self.now - began);
            }
            self.run(100_000);
        }
        holds(self).then_some(self.now - began)
    }

    fn play(&mut self, event: Ev) {
        let mut out = Vec::new();
        let now = self.now;
        let node = match event {
            Ev::Start { node } => {
                // It lives from here on. The bounds were good for the one that holds its place.
                if let Ok(members) = self.born(node, &self.config.clone()) {
                    self.nodes[node].members = members;
                }
                self.nodes[node].up = true;
                node
            }
            Ev::Wake { node, wake } => {
                let at = &mut self.nodes[node];
                if !at.up || at.wake != wake {
                    return;
                }
                at.wakes_at = None;
                at.members.wake(now, &mut out);
                node
            }
            Ev::Arrive { to, from, message } => {
                // One that was on its way when the parts were cut is lost as well.
                if !self.nodes[to].up || self.parts[to] != self.parts[from] {
                    return;
                }
                self.nodes[to].members.hear(now, *message, &mut out);
                to
            }
        };
        for out in out {
            match out {
                Out::Tell(news) => self.events.push((now, node, news)),
                Out::Send { to, message } => self.send(node, node_at(to), message),
            }
        }
        let at = &mut self.nodes[node];
        let wakes_at = at.members.wakes_at().map(|wakes_at| wakes_at.max(now));
        if at.up && wakes_at != at.wakes_at.filter(|_| at.wake > 0) {
            at.wake += 1;
            at.wakes_at = wakes_at;
            if let Some(wakes_at) = wakes_at {
                self.queue.put(wakes_at, Ev::Wake { node, wake: at.wake });
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.sent.0 += 1;
        self.sent.1 += message.size_most() as u64 + HEAD;
        if to >= self.nodes.len()
            || self.parts[from] != self.parts[to]
            || self.draw.happens(self.network.loss)
        {
            return;
        }
        let (least, most) = self.network.delay;
        let delay = least + self.draw.below((most - least) as usize + 1) as Micros;
        self.queue.put(self.now + delay, Ev::Arrive { to, from, message: Box::new(message) });
    }
}
