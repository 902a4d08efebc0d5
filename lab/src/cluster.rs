//! A cluster of up to thousands of members on virtual time: the real membership protocol (`nettleworks-members`) over a
//! simulated network with loss, delay and partitions. The same seed gives the same run.

use crate::event_queue::EventQueue;
use crate::random::RandomStream;
use crate::Micros;
use nettleworks_members::{
    Action, Condition, Config, MemberEvent, MemberEventKind, Membership, Message, Metadata, Name,
};
use std::net::SocketAddr;

/// Wall-clock time at the start of a run, in milliseconds since 1970. The date has no meaning.
const START_UNIX_MS: u64 = 1_700_000_000_000;
/// Port on which each member listens, at an address of its own.
const PORT: u16 = 7_000;
/// Bytes of a datagram in addition to its message: version, MAC, session and counter.
const DATAGRAM_OVERHEAD: u64 = 37;

/// A simulated cluster of members.
#[derive(Clone)]
pub struct Cluster {
    nodes: Vec<Node>,
    config: Config,
    queue: EventQueue<ClusterEvent>,
    /// The current virtual time.
    pub now: Micros,
    /// Loss and delay of the network.
    pub network: Network,
    /// The partition that each node is in. No datagram passes between two partitions.
    partitions: Vec<u8>,
    random: RandomStream,
    /// The member events that were notified: when, by which node, and the event.
    pub events: Vec<(Micros, usize, MemberEvent)>,
    /// Number of datagrams that were sent, and their bytes by the protocol's upper bound of a message's size.
    pub sent: (u64, u64),
}

/// Loss and delay of datagrams.
#[derive(Clone, Debug)]
pub struct Network {
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Minimum and maximum delay, in microseconds.
    pub delay: (Micros, Micros),
}

impl Default for Network {
    fn default() -> Self {
        Network { loss: 0.0, delay: (200, 5_000) }
    }
}

#[derive(Clone)]
struct Node {
    members: Membership,
    up: bool,
    /// Number of the timer that was set last. Earlier timers are ignored.
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

/// The name of the member on a node.
pub fn name(node: usize) -> Name {
    Name::new(&format!("m-{node}")).unwrap_or_else(|_| unreachable!("letters and digits"))
}

impl Cluster {
    /// Starts `count` members within a second, with the first three as seeds of all, and runs until their member lists agree.
    ///
    /// # Errors
    ///
    /// `config` is invalid, or the lists do not agree within five minutes of virtual time.
    pub fn converged(count: usize, seed: u64, config: &Config) -> Result<Cluster, String> {
        let mut cluster = Cluster {
            nodes: Vec::with_capacity(count),
            config: config.clone(),
            queue: EventQueue::default(),
            now: 0,
            network: Network::default(),
            partitions: vec![0; count],
            random: RandomStream::new(seed, "crowd", count as u64, 0),
            events: Vec::new(),
            sent: (0, 0),
        };
        for node in 0..count {
            let members = cluster.new_member(node, config)?;
            cluster.nodes.push(Node { members, up: false, timer: 0, timer_at: None });
            let at = cluster.random.below(1_000_000) as Micros;
            cluster.queue.schedule(at, ClusterEvent::Start { node });
        }
        let whole = |cluster: &Cluster| {
            cluster.has_converged() && cluster.nodes[0].members.view(cluster.now).members.len() == count
        };
        match cluster.run_until(300_000_000, whole) {
            Some(_) => Ok(cluster),
            None => Err(format!("{count} members do not agree within five minutes")),
        }
    }

    /// The membership state of a member that starts now.
    fn new_member(&mut self, node: usize, config: &Config) -> Result<Membership, String> {
        let seeds = (0..3).map(address).collect();
        let seed = self.random.below(usize::MAX >> 12) as u64;
        let unix_ms = START_UNIX_MS + self.now / 1_000;
        Membership::new(
            config.clone(),
            name(node),
            Metadata::new(address(node)),
            seeds,
            seed,
            self.now,
            unix_ms,
        )
    }

    /// Reseeds the loss and delay of the network, so that clones of a cluster run differently from here on.
    pub fn reseed(&mut self, seed: u64) {
        self.random = RandomStream::new(seed, "crowd goes on", self.nodes.len() as u64, self.now);
    }

    /// Number of members, including those that are down.
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// Stops a member for good, without notice to the others.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].up = false;
    }

    /// Partitions the network from now on: no datagram passes between nodes for which `partition_of` differs.
    pub fn partition(&mut self, partition_of: impl Fn(usize) -> u8) {
        self.partitions = (0..self.nodes.len()).map(partition_of).collect();
    }

    /// Whether all running members have the same member list.
    pub fn has_converged(&self) -> bool {
        let mut digests = self.nodes.iter().filter(|node| node.up).map(|node| node.members.digest());
        let first = digests.next();
        digests.all(|digest| Some(digest) == first)
    }

    /// Whether all other running members report this condition for the member on a node.
    pub fn all_report(&self, node: usize, condition: Condition) -> bool {
        let name = name(node);
        let others = self.nodes.iter().enumerate().filter(|(index, other)| *index != node && other.up);
        others.map(|(_, other)| other.members.condition(&name)).all(|reported| reported == Some(condition))
    }

    /// The membership state of the member on a node.
    pub fn member(&self, node: usize) -> &Membership {
        &self.nodes[node].members
    }

    /// Number of events of a kind since a time, without those about members for which `except` is true.
    pub fn events_since(&self, at: Micros, kind: MemberEventKind, except: impl Fn(&Name) -> bool) -> usize {
        let events = self.events.iter().filter(|(when, _, event)| *when >= at && event.kind == kind);
        events.filter(|(_, _, event)| !except(&event.name)).count()
    }

    /// Runs for a time in microseconds.
    pub fn run(&mut self, time: Micros) {
        let until = self.now + time;
        while let Some((at, event)) = self.queue.pop_due(until) {
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    /// Runs until a condition holds, which is checked ten times per second of virtual time. Returns the time it took, or
    /// `None` if the condition does not hold within `time`.
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

    /// Handles an event of the queue, and the actions of the member to which it happens.
    fn handle(&mut self, event: ClusterEvent) {
        let mut actions = Vec::new();
        let now = self.now;
        let node = match event {
            ClusterEvent::Start { node } => {
                // The state is created anew so that its clock begins now. `config` was valid when the cluster was created.
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
                state.members.handle_timeout(now, &mut actions);
                node
            }
            ClusterEvent::Arrive { to, from, message } => {
                // A datagram that was in flight when the network was partitioned is lost as well.
                if !self.nodes[to].up || self.partitions[to] != self.partitions[from] {
                    return;
                }
                self.nodes[to].members.handle_message(now, *message, &mut actions);
                to
            }
        };
        for action in actions {
            match action {
                Action::Notify(event) => self.events.push((now, node, event)),
                Action::Send { to, message } => self.send(node, node_at(to), message),
            }
        }
        let state = &mut self.nodes[node];
        let timer_at = state.members.next_timeout().map(|timeout| timeout.max(now));
        if state.up && timer_at != state.timer_at.filter(|_| state.timer > 0) {
            state.timer += 1;
            state.timer_at = timer_at;
            if let Some(timer_at) = timer_at {
                self.queue.schedule(timer_at, ClusterEvent::Timer { node, timer: state.timer });
            }
        }
    }

    /// Sends a datagram, which the network may lose.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.sent.0 += 1;
        self.sent.1 += message.max_size() as u64 + DATAGRAM_OVERHEAD;
        if to >= self.nodes.len()
            || self.partitions[from] != self.partitions[to]
            || self.random.chance(self.network.loss)
        {
            return;
        }
        let (min, max) = self.network.delay;
        let delay = min + self.random.below((max - min) as usize + 1) as Micros;
        self.queue.schedule(self.now + delay, ClusterEvent::Arrive { to, from, message: Box::new(message) });
    }
}
