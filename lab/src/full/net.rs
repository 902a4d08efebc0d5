//! The simulated network: connections of two ends, pieces on their way, what a cut holds back, and doors.

use crate::draw::Draw;
use crate::log::Of;
use crate::model::host::Up;
use crate::model::registry::News;
use crate::model::{Event, Model};
use crate::queue::Queue;
use crate::site;
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll, Waker};
use tokio::io::ReadBuf;

pub(super) type ConnectionId = u64;

/// The side that has opened a connection, and the one that has taken it.
pub(super) const INITIATOR: usize = 0;
pub(super) const ACCEPTOR: usize = 1;

/// Bytes that a connection holds on their way to a reader: beyond, its writer waits.
const RECEIVE_WINDOW: usize = 256 << 10;
/// Most bytes of one piece: what a system takes of a write at once, while there is room.
const MAX_SEGMENT: usize = 16 << 10;
/// A word that opens a connection and is not answered is said again after this.
const SYN_RETRANSMIT: Micros = 1_000_000;

/// What the queue holds.
#[derive(Debug)]
pub(super) enum NetworkEvent {
    Model(Event),
    /// Something is there, at one side of a connection.
    Segment {
        conn: ConnectionId,
        side: usize,
        segment: Segment,
    },
    /// A connection has been idle at its host since its exchange of this number.
    IdleTimeout {
        conn: ConnectionId,
        served: u32,
    },
    /// A watch's turn at a busy discovery: it knows the list as of a version, or fails.
    WatchReply {
        conn: ConnectionId,
        since: Option<u64>,
        fails: bool,
    },
    /// A watch's time for a heartbeat.
    Heartbeat {
        conn: ConnectionId,
    },
}

impl From<Event> for NetworkEvent {
    fn from(event: Event) -> NetworkEvent {
        NetworkEvent::Model(event)
    }
}

/// What goes over a connection.
#[derive(Debug)]
pub(super) enum Segment {
    /// It is to be opened.
    Syn,
    /// It is open.
    SynAck,
    /// Bytes, written then; with what they tell of the list.
    Data(Vec<u8>, Micros, Option<Box<News>>),
    /// Nothing more comes.
    Fin,
    /// It is broken; or refused.
    Reset,
}

/// One side of a connection.
#[derive(Debug, Default)]
pub(super) struct Endpoint {
    /// What has come and was not read.
    pub received: VecDeque<u8>,
    /// When the last of it was written.
    pub written_at: Micros,
    /// Nothing more will come.
    pub ended: bool,
    pub reset: bool,
    /// This side has closed.
    pub closed: bool,
    /// This side has ended its sending.
    shut_down: bool,
    /// Bytes on their way to this side, or come and not read.
    pub unread: usize,
    read_waker: Option<Waker>,
    write_waker: Option<Waker>,
    /// When the last piece to this side comes: none overtakes another.
    last_arrival: Micros,
    /// What a cut holds back, in order.
    blocked: VecDeque<Segment>,
}

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionKind {
    /// A client's to its proxy.
    Client,
    /// A proxy's to a host, of this start.
    Host { host: usize, epoch: u32 },
    /// A proxy's to discovery.
    Discovery,
}

#[derive(Debug)]
pub(super) struct Connection {
    pub proxy: usize,
    pub kind: ConnectionKind,
    pub endpoints: [Endpoint; 2],
    pub established: bool,
    /// Pieces so far: their draws' names.
    segments: u64,
    /// The call that is on it: a client's, or one at a host.
    pub call: Option<u32>,
    /// The exchange at the host.
    pub exchange: Option<u64>,
    /// Requests that were answered on it.
    pub served: u32,
    /// Its host has closed it unnoticed.
    pub stale: bool,
    /// A request has begun to be written and its answer is not there yet.
    pub request_open: bool,
    /// Up to which version its watch has heard.
    pub watch_version: Option<Option<u64>>,
    /// Its watch's answer has begun.
    pub head_sent: bool,
    /// It is counted at its host.
    pub counted: bool,
}

/// A proxy's door.
#[derive(Debug, Default)]
pub(super) struct AcceptQueue {
    pub pending: VecDeque<ConnectionId>,
    waker: Option<Waker>,
}

/// All of a run but the proxies' tasks.
pub(super) struct Simulation {
    pub model: Model,
    pub queue: Queue<NetworkEvent>,
    pub connections: BTreeMap<ConnectionId, Connection>,
    pub accept_queues: Vec<AcceptQueue>,
    /// Idle connections of clients, by proxy.
    pub idle: Vec<Vec<ConnectionId>>,
    /// Connections of open exchanges.
    pub exchanges: BTreeMap<u64, ConnectionId>,
    /// Where hosts listen in truth, where the run is on real sockets.
    pub last_id: u64,
    pub real_addresses: Option<Vec<SocketAddr>>,
}

impl Simulation {
    pub fn new(model: Model, queue: Queue<NetworkEvent>) -> Simulation {
        let proxies = model.proxies.len();
        Simulation {
            model,
            queue,
            connections: BTreeMap::new(),
            accept_queues: (0..proxies).map(|_| AcceptQueue::default()).collect(),
            idle: vec![Vec::new(); proxies],
            exchanges: BTreeMap::new(),
            last_id: 0,
            real_addresses: None,
        }
    }

    pub fn open(&mut self, proxy: usize, kind: ConnectionKind) -> ConnectionId {
        self.last_id += 1;
        let conn = Connection {
            proxy,
            kind,
            endpoints: Default::default(),
            established: false,
            segments: 0,
            call: None,
            exchange: None,
            served: 0,
            stale: false,
            request_open: false,
            watch_version: None,
            head_sent: false,
            counted: false,
        };
        self.connections.insert(self.last_id, conn);
        let id = self.last_id;
        self.send_segment(id, ACCEPTOR, Segment::Syn);
        id
    }

    /// A proxy opens a connection.
    pub fn dial(&mut self, proxy: usize, address: SocketAddr) -> ConnectionId {
        match site::host_at(address).filter(|&host| host < self.model.hosts.len()) {
            Some(host) => {
                let epoch = self.model.hosts[host].epoch;
                self.open(proxy, ConnectionKind::Host { host, epoch })
            }
            None => {
                self.model.tally.watches += 1;
                self.open(proxy, ConnectionKind::Discovery)
            }
        }
    }

    /// Whether what goes to a side does not pass now, and how long its way is without a draw.
    fn link_to(&self, conn: &Connection, side: usize) -> (bool, f64, Micros) {
        let network = &self.model.scenario.network;
        match conn.kind {
            ConnectionKind::Client => (false, network.beside_us, 0),
            ConnectionKind::Discovery => (false, network.near_us, 0),
            ConnectionKind::Host { host, .. } => {
                let (cut, added) = self.model.way(conn.proxy, host, side == INITIATOR);
                let near = self.model.proxies[conn.proxy].zone == self.model.hosts[host].zone;
                (cut, if near { network.near_us } else { network.far_us }, added)
            }
        }
    }

    /// Does what an event of the queue says.
    pub fn handle(&mut self, event: NetworkEvent) {
        match event {
            NetworkEvent::Model(event) => self.model.handle(event, &mut self.queue),
            NetworkEvent::Segment { conn, side, segment } => self.receive_segment(conn, side, segment),
            NetworkEvent::IdleTimeout { conn, served } => self.close_if_idle(conn, served),
            NetworkEvent::WatchReply { conn, since, fails } => self.reply_to_watch(conn, since, fails),
            NetworkEvent::Heartbeat { conn } => self.send_heartbeat(conn),
        }
    }

    /// Sends a piece on its way to a side.
    pub fn send_segment(&mut self, id: ConnectionId, side: usize, segment: Segment) {
        let Some(conn) = self.connections.get(&id) else { return };
        let (cut, mean, added) = self.link_to(conn, side);
        let network = &self.model.scenario.network;
        let draw = |segments| Draw::new(self.model.seed, "piece", id, segments).share();
        let delay = mean * (1.0 + network.jitter * draw(conn.segments)) + added as f64;
        let arrival = self.model.now + (delay as Micros).max(1);
        // One piece after the other goes through what the connection has of the line.
        let transmission = match &segment {
            Segment::Data(bytes, ..) if network.megabits > 0.0 => bytes.len() as f64 * 8.0 / network.megabits,
            _ => 0.0,
        };
        let Some(conn) = self.connections.get_mut(&id) else { return };
        conn.segments += 1;
        let to = &mut conn.endpoints[side];
        if cut || !to.blocked.is_empty() {
            self.model.tally.held += 1;
            return to.blocked.push_back(segment);
        }
        to.last_arrival = to.last_arrival.max(arrival) + transmission as Micros;
        self.queue.put(to.last_arrival, NetworkEvent::Segment { conn: id, side, segment });
    }

    /// Ways have changed: what is held back and may pass goes on.
    pub fn links_changed(&mut self) {
        let released: Vec<(ConnectionId, usize)> = self
            .connections
            .iter()
            .flat_map(|(&id, conn)| [(id, conn, INITIATOR), (id, conn, ACCEPTOR)])
            .filter(|(_, conn, side)| {
                !conn.endpoints[*side].blocked.is_empty() && !self.link_to(conn, *side).0
            })
            .map(|(id, _, side)| (id, side))
            .collect();
        for (id, side) in released {
            let Some(conn) = self.connections.get_mut(&id) else { continue };
            let segments = std::mem::take(&mut conn.endpoints[side].blocked);
            segments.into_iter().for_each(|segment| self.send_segment(id, side, segment));
        }
    }

    /// A piece is there.
    pub fn receive_segment(&mut self, id: ConnectionId, side: usize, segment: Segment) {
        let Some(conn) = self.connections.get(&id) else { return };
        // A cut that began while it was under way keeps it too.
        if self.link_to(conn, side).0 {
            if let Some(conn) = self.connections.get_mut(&id) {
                self.model.tally.held += 1;
                conn.endpoints[side].blocked.push_back(segment);
            }
            return;
        }
        if side == ACCEPTOR {
            if let ConnectionKind::Host { host, epoch } = conn.kind {
                if self.lost_at_host(id, host, epoch, &segment) {
                    return;
                }
            }
        }
        let Some(conn) = self.connections.get_mut(&id) else { return };
        let to = &mut conn.endpoints[side];
        let receiver = (side, conn.kind);
        match segment {
            Segment::Syn => return self.receive_syn(id),
            Segment::SynAck => {
                conn.established = true;
                self.wake(id, side);
                if receiver == (INITIATOR, ConnectionKind::Client) {
                    self.client_connected(id);
                }
                return;
            }
            Segment::Data(bytes, written_at, update) => {
                if to.closed {
                    // Nobody is there any more: its system says so.
                    let other = 1 - side;
                    return self.send_segment(id, other, Segment::Reset);
                }
                to.received.extend(&bytes);
                to.written_at = written_at;
                if let (Some(update), proxy) = (update, conn.proxy) {
                    self.model.told(proxy, &update);
                }
            }
            Segment::Fin => to.ended = true,
            Segment::Reset => {
                to.ended = true;
                to.reset = true;
                to.received.clear();
            }
        }
        self.wake(id, side);
        match receiver {
            (INITIATOR, ConnectionKind::Client) => self.client_receives(id),
            (ACCEPTOR, ConnectionKind::Host { host, .. }) => self.host_receives(id, host),
            (ACCEPTOR, ConnectionKind::Discovery) => self.discovery_receives(id),
            _ => {}
        }
        self.remove_if_closed(id);
    }

    /// What comes to a host that is not there, or knows nothing of the connection.
    fn lost_at_host(&mut self, id: ConnectionId, host: usize, epoch: u32, segment: &Segment) -> bool {
        let host_state = &self.model.hosts[host];
        if matches!(segment, Segment::Syn) {
            return host_state.up == Up::Vanished;
        }
        let stale = self.connections.get(&id).is_some_and(|conn| conn.stale);
        let call = self.connections.get(&id).and_then(|conn| conn.call);
        if let Some(call) =
            call.filter(|_| stale && host_state.up == Up::Up && matches!(segment, Segment::Data(..)))
        {
            self.model.ended_by(call, "stale");
        }
        let host_state = &self.model.hosts[host];
        let closes = matches!(segment, Segment::Fin | Segment::Reset);
        match host_state.up {
            Up::Up if host_state.epoch == epoch && !stale => return false,
            // Nothing is said; but who ends it there will not hear of it again.
            Up::Vanished => {}
            Up::Up | Up::Dead if !matches!(segment, Segment::Reset) => {
                self.send_segment(id, INITIATOR, Segment::Reset)
            }
            Up::Up | Up::Dead => {}
        }
        if closes || self.model.hosts[host].up != Up::Vanished {
            self.uncount(id);
            self.abandon(id, ACCEPTOR);
        }
        true
    }

    fn receive_syn(&mut self, id: ConnectionId) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        let proxy = conn.proxy;
        match conn.kind {
            ConnectionKind::Client => {
                let backlog = self.model.scenario.network.backlog;
                if !self.model.proxies[proxy].up {
                    self.send_segment(id, INITIATOR, Segment::Reset);
                    return self.abandon(id, ACCEPTOR);
                }
                let accept_queue = &mut self.accept_queues[proxy];
                if accept_queue.pending.len() >= backlog {
                    let at = self.model.now + SYN_RETRANSMIT;
                    let retransmission =
                        NetworkEvent::Segment { conn: id, side: ACCEPTOR, segment: Segment::Syn };
                    return self.queue.put(at, retransmission);
                }
                accept_queue.pending.push_back(id);
                if let Some(waker) = accept_queue.waker.take() {
                    waker.wake();
                }
                self.send_segment(id, INITIATOR, Segment::SynAck);
            }
            ConnectionKind::Host { host, .. } => {
                let limit = self.model.scenario.fleet.connections;
                let host_state = &mut self.model.hosts[host];
                if host_state.up != Up::Up || host_state.connections >= limit {
                    self.model.log.note(self.model.now, Of::Connection, [proxy as u64, host as u64, 0]);
                    self.send_segment(id, INITIATOR, Segment::Reset);
                    return self.abandon(id, ACCEPTOR);
                }
                host_state.connections += 1;
                conn.kind = ConnectionKind::Host { host, epoch: host_state.epoch };
                conn.counted = true;
                let open = host_state.connections;
                self.model.tally.opened += 1;
                self.model.tally.connections = self.model.tally.connections.max(open);
                self.send_segment(id, INITIATOR, Segment::SynAck);
            }
            ConnectionKind::Discovery if self.model.registry.down => {
                self.send_segment(id, INITIATOR, Segment::Reset);
                self.abandon(id, ACCEPTOR);
            }
            ConnectionKind::Discovery => self.send_segment(id, INITIATOR, Segment::SynAck),
        }
    }

    pub fn uncount(&mut self, id: ConnectionId) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        if let (ConnectionKind::Host { host, epoch }, true) = (conn.kind, std::mem::take(&mut conn.counted)) {
            let host = &mut self.model.hosts[host];
            if host.epoch == epoch {
                host.connections = host.connections.saturating_sub(1);
            }
        }
    }

    fn wake(&mut self, id: ConnectionId, side: usize) {
        if let Some(waker) =
            self.connections.get_mut(&id).and_then(|conn| conn.endpoints[side].read_waker.take())
        {
            waker.wake();
        }
    }

    /// Forgets a connection that both sides have closed.
    pub fn remove_if_closed(&mut self, id: ConnectionId) {
        let closed = |conn: &Connection| conn.endpoints.iter().all(|side| side.closed);
        if self.connections.get(&id).is_some_and(closed) {
            self.uncount(id);
            self.connections.remove(&id);
        }
    }

    /// A side knows nothing of it any more, and says nothing.
    pub fn abandon(&mut self, id: ConnectionId, side: usize) {
        if let Some(conn) = self.connections.get_mut(&id) {
            conn.endpoints[side].closed = true;
            conn.endpoints[side].received.clear();
        }
        self.remove_if_closed(id);
    }

    /// A side closes. What has come and was not read makes it a reset, as systems do.
    pub fn close(&mut self, id: ConnectionId, side: usize) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        let endpoint = &mut conn.endpoints[side];
        if std::mem::replace(&mut endpoint.closed, true) {
            return;
        }
        let segment = match (endpoint.received.is_empty(), endpoint.shut_down) {
            (false, _) => Some(Segment::Reset),
            (true, false) => Some(Segment::Fin),
            (true, true) => None,
        };
        endpoint.received.clear();
        endpoint.read_waker = None;
        let peer_closed = endpoint.reset || conn.endpoints[1 - side].closed;
        if let Some(segment) = segment.filter(|_| !peer_closed) {
            self.send_segment(id, 1 - side, segment);
        }
        self.remove_if_closed(id);
    }

    pub fn shut_down(&mut self, id: ConnectionId, side: usize) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        if !std::mem::replace(&mut conn.endpoints[side].shut_down, true) {
            self.send_segment(id, 1 - side, Segment::Fin);
        }
    }

    pub fn poll_connected(&mut self, id: ConnectionId, context: &Context<'_>) -> Poll<io::Result<()>> {
        let Some(conn) = self.connections.get_mut(&id) else {
            return Poll::Ready(Err(io::ErrorKind::ConnectionRefused.into()));
        };
        if conn.endpoints[INITIATOR].reset {
            self.close(id, INITIATOR);
            return Poll::Ready(Err(io::ErrorKind::ConnectionRefused.into()));
        }
        if conn.established {
            return Poll::Ready(Ok(()));
        }
        conn.endpoints[INITIATOR].read_waker = Some(context.waker().clone());
        Poll::Pending
    }

    pub fn poll_read(
        &mut self,
        id: ConnectionId,
        side: usize,
        context: &Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(conn) = self.connections.get_mut(&id) else { return Poll::Ready(Ok(())) };
        let endpoint = &mut conn.endpoints[side];
        if endpoint.reset {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if endpoint.received.is_empty() {
            if endpoint.ended {
                return Poll::Ready(Ok(()));
            }
            endpoint.read_waker = Some(context.waker().clone());
            return Poll::Pending;
        }
        let count = buffer.remaining().min(endpoint.received.len());
        let (first, rest) = endpoint.received.as_slices();
        let part = count.min(first.len());
        buffer.put_slice(&first[..part]);
        buffer.put_slice(&rest[..count - part]);
        endpoint.received.drain(..count);
        self.bytes_read(id, side, count);
        Poll::Ready(Ok(()))
    }

    /// So much has been read there: its writer may go on.
    pub fn bytes_read(&mut self, id: ConnectionId, side: usize, count: usize) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        conn.endpoints[side].unread = conn.endpoints[side].unread.saturating_sub(count);
        if let Some(waker) = conn.endpoints[1 - side].write_waker.take() {
            waker.wake();
        }
    }

    pub fn poll_write(
        &mut self,
        id: ConnectionId,
        side: usize,
        context: &Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let broken = || Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        let Some(conn) = self.connections.get_mut(&id) else { return broken() };
        if conn.endpoints[side].reset || conn.endpoints[side].shut_down {
            return broken();
        }
        let room =
            RECEIVE_WINDOW.saturating_sub(conn.endpoints[1 - side].unread).min(bytes.len()).min(MAX_SEGMENT);
        if room == 0 {
            conn.endpoints[side].write_waker = Some(context.waker().clone());
            return Poll::Pending;
        }
        let (kind, request_open) = (conn.kind, conn.request_open);
        if let (ConnectionKind::Host { host, .. }, INITIATOR, false) = (kind, side, request_open) {
            self.request_started(id, host, bytes);
        }
        self.write(id, 1 - side, bytes[..room].to_vec(), None);
        Poll::Ready(Ok(room))
    }

    /// Sends bytes to a side.
    pub fn write(&mut self, id: ConnectionId, to: usize, bytes: Vec<u8>, update: Option<Box<News>>) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        conn.endpoints[to].unread += bytes.len();
        let segment = Segment::Data(bytes, self.model.now, update);
        self.send_segment(id, to, segment);
    }

    pub fn has_no_pending_input(&self, id: ConnectionId, side: usize) -> bool {
        let side = self.connections.get(&id).map(|conn| &conn.endpoints[side]);
        side.is_some_and(|side| side.received.is_empty() && !side.ended && !side.reset)
    }

    pub fn is_closed_by_peer(&self, id: ConnectionId, side: usize) -> bool {
        self.connections
            .get(&id)
            .map(|conn| &conn.endpoints[side])
            .is_none_or(|side| side.ended || side.reset)
    }

    pub fn poll_accept(&mut self, proxy: usize, context: &Context<'_>) -> Poll<ConnectionId> {
        let accept_queue = &mut self.accept_queues[proxy];
        while let Some(id) = accept_queue.pending.pop_front() {
            if self.connections.contains_key(&id) {
                return Poll::Ready(id);
            }
        }
        accept_queue.waker = Some(context.waker().clone());
        Poll::Pending
    }
}
