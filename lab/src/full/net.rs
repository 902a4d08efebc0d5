//! The simulated network: TCP-like connections with two endpoints, segments in flight, segments that a network partition holds
//! back, and the accept queues of proxies.

use crate::event_log::EventKind;
use crate::event_queue::EventQueue;
use crate::model::host::HostStatus;
use crate::model::registry::ListUpdate;
use crate::model::{Event, Model};
use crate::proxy_config;
use crate::random::RandomStream;
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll, Waker};
use tokio::io::ReadBuf;

pub(super) type ConnectionId = u64;

/// Index of the endpoint that opened a connection.
pub(super) const INITIATOR: usize = 0;
/// Index of the endpoint that accepted a connection.
pub(super) const ACCEPTOR: usize = 1;

/// Bytes that may be in flight to an endpoint or unread there. Beyond that its peer's writes wait.
const RECEIVE_WINDOW: usize = 256 << 10;
/// Maximum bytes of one segment, which is also what a single write accepts while the window has room.
const MAX_SEGMENT: usize = 16 << 10;
/// A SYN that finds the accept queue full is retransmitted after this time.
const SYN_RETRANSMIT: Micros = 1_000_000;

/// An event of the queue in full depth.
#[derive(Debug)]
pub(super) enum NetworkEvent {
    Model(Event),
    /// A segment arrives at one endpoint of a connection.
    Segment {
        conn: ConnectionId,
        side: usize,
        segment: Segment,
    },
    /// The host's idle timeout of a connection, set when the response with this number was sent on it.
    IdleTimeout {
        conn: ConnectionId,
        served: u32,
    },
    /// A busy discovery replies to a watch that asked for changes after a version, or fails it.
    WatchReply {
        conn: ConnectionId,
        since: Option<u64>,
        fails: bool,
    },
    /// A heartbeat of a watch is due.
    Heartbeat {
        conn: ConnectionId,
    },
}

impl From<Event> for NetworkEvent {
    fn from(event: Event) -> NetworkEvent {
        NetworkEvent::Model(event)
    }
}

/// What travels over a connection in one piece, as in TCP.
#[derive(Debug)]
pub(super) enum Segment {
    /// Opens the connection.
    Syn,
    /// Accepts the connection.
    SynAck,
    /// Bytes, the time at which they were written, and the list update that they carry, if any.
    Data(Vec<u8>, Micros, Option<Box<ListUpdate>>),
    /// The sender sends no more data.
    Fin,
    /// The connection is aborted or was refused.
    Reset,
}

/// One endpoint of a connection.
#[derive(Debug, Default)]
pub(super) struct Endpoint {
    /// Bytes that were received and not yet read.
    pub received: VecDeque<u8>,
    /// When the last received bytes were written by the peer.
    pub written_at: Micros,
    /// The peer sends no more data.
    pub ended: bool,
    pub reset: bool,
    /// This endpoint has closed the connection.
    pub closed: bool,
    /// This endpoint has shut down its sending direction.
    shut_down: bool,
    /// Bytes in flight to this endpoint, or received and not yet read.
    pub unread: usize,
    read_waker: Option<Waker>,
    write_waker: Option<Waker>,
    /// When the last segment to this endpoint arrives. Segments are never reordered.
    last_arrival: Micros,
    /// Segments that a network partition holds back, in order.
    blocked: VecDeque<Segment>,
}

/// The two parties of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionKind {
    /// From a client to its proxy.
    Client,
    /// From a proxy to a host process, where `epoch` counts the starts of the host.
    Host { host: usize, epoch: u32 },
    /// From a proxy to discovery.
    Discovery,
}

#[derive(Debug)]
pub(super) struct Connection {
    pub proxy: usize,
    pub kind: ConnectionKind,
    pub endpoints: [Endpoint; 2],
    pub established: bool,
    /// Segments sent so far. The count seeds the random delay of a segment.
    segments: u64,
    /// The call whose request is on the connection, on the client's side or at a host.
    pub call: Option<u32>,
    /// The exchange at the host.
    pub exchange: Option<u64>,
    /// Number of responses that were sent on the connection.
    pub served: u32,
    /// The host has closed the connection and the proxy does not know it yet.
    pub stale: bool,
    /// A request is being written, or its response has not been sent yet.
    pub request_open: bool,
    /// `None` before discovery has accepted the watch, then the list version that was sent last or that the proxy knew.
    pub watch_version: Option<Option<u64>>,
    /// The head of the watch's response has been sent.
    pub head_sent: bool,
    /// The connection is counted in the host's number of open connections.
    pub counted: bool,
}

/// Connections to a proxy that it has not accepted yet.
#[derive(Debug, Default)]
pub(super) struct AcceptQueue {
    pub pending: VecDeque<ConnectionId>,
    waker: Option<Waker>,
}

/// The state of a run except for the tasks of the proxies: the model, its event queue and all connections.
pub(super) struct Simulation {
    pub model: Model,
    pub queue: EventQueue<NetworkEvent>,
    pub connections: BTreeMap<ConnectionId, Connection>,
    pub accept_queues: Vec<AcceptQueue>,
    /// Idle connections of clients, by proxy.
    pub idle: Vec<Vec<ConnectionId>>,
    /// The connection of each open exchange at a host.
    pub exchanges: BTreeMap<u64, ConnectionId>,
    /// The last id given to a connection or an exchange.
    pub last_id: u64,
    /// Real addresses of the hosts, when the run uses real sockets.
    pub real_addresses: Option<Vec<SocketAddr>>,
}

impl Simulation {
    pub fn new(model: Model, queue: EventQueue<NetworkEvent>) -> Simulation {
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

    /// Opens a connection from a proxy to a host or to discovery.
    pub fn dial(&mut self, proxy: usize, address: SocketAddr) -> ConnectionId {
        match proxy_config::host_at(address).filter(|&host| host < self.model.hosts.len()) {
            Some(host) => {
                let epoch = self.model.hosts[host].epoch;
                self.open(proxy, ConnectionKind::Host { host, epoch })
            }
            None => {
                self.model.metrics.watches += 1;
                self.open(proxy, ConnectionKind::Discovery)
            }
        }
    }

    /// The link towards an endpoint: whether it is cut, its mean delay before jitter, and the delay that faults add, both in
    /// microseconds.
    fn link_to(&self, conn: &Connection, side: usize) -> (bool, f64, Micros) {
        let network = &self.model.scenario.network;
        match conn.kind {
            ConnectionKind::Client => (false, network.beside_us, 0),
            ConnectionKind::Discovery => (false, network.near_us, 0),
            ConnectionKind::Host { host, .. } => {
                let (cut, added) = self.model.link(conn.proxy, host, side == INITIATOR);
                let near = self.model.proxies[conn.proxy].zone == self.model.hosts[host].zone;
                (cut, if near { network.near_us } else { network.far_us }, added)
            }
        }
    }

    /// Handles an event of the queue.
    pub fn handle(&mut self, event: NetworkEvent) {
        match event {
            NetworkEvent::Model(event) => self.model.handle(event, &mut self.queue),
            NetworkEvent::Segment { conn, side, segment } => self.receive_segment(conn, side, segment),
            NetworkEvent::IdleTimeout { conn, served } => self.close_if_idle(conn, served),
            NetworkEvent::WatchReply { conn, since, fails } => self.reply_to_watch(conn, since, fails),
            NetworkEvent::Heartbeat { conn } => self.send_heartbeat(conn),
        }
    }

    /// Sends a segment to an endpoint.
    pub fn send_segment(&mut self, id: ConnectionId, side: usize, segment: Segment) {
        let Some(conn) = self.connections.get(&id) else { return };
        let (cut, mean, added) = self.link_to(conn, side);
        let network = &self.model.scenario.network;
        let draw = |segments| RandomStream::new(self.model.seed, "piece", id, segments).uniform();
        let delay = mean * (1.0 + network.jitter * draw(conn.segments)) + added as f64;
        let arrival = self.model.now + (delay as Micros).max(1);
        // Segments are transmitted one after the other over the connection's share of the bandwidth.
        let transmission = match &segment {
            Segment::Data(bytes, ..) if network.megabits > 0.0 => bytes.len() as f64 * 8.0 / network.megabits,
            _ => 0.0,
        };
        let Some(conn) = self.connections.get_mut(&id) else { return };
        conn.segments += 1;
        let to = &mut conn.endpoints[side];
        if cut || !to.blocked.is_empty() {
            self.model.metrics.held_segments += 1;
            return to.blocked.push_back(segment);
        }
        to.last_arrival = to.last_arrival.max(arrival) + transmission as Micros;
        self.queue.schedule(to.last_arrival, NetworkEvent::Segment { conn: id, side, segment });
    }

    /// Sends the blocked segments of links that are no longer cut.
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

    /// Handles a segment that arrives at an endpoint.
    pub fn receive_segment(&mut self, id: ConnectionId, side: usize, segment: Segment) {
        let Some(conn) = self.connections.get(&id) else { return };
        // A partition that began while the segment was in flight blocks it as well.
        if self.link_to(conn, side).0 {
            if let Some(conn) = self.connections.get_mut(&id) {
                self.model.metrics.held_segments += 1;
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
                    // The operating system answers data for a closed socket with a reset.
                    let other = 1 - side;
                    return self.send_segment(id, other, Segment::Reset);
                }
                to.received.extend(&bytes);
                to.written_at = written_at;
                if let (Some(update), proxy) = (update, conn.proxy) {
                    self.model.record_list_update(proxy, &update);
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

    /// Handles a segment for a host that is down or does not know the connection. Returns whether the segment was lost.
    fn lost_at_host(&mut self, id: ConnectionId, host: usize, epoch: u32, segment: &Segment) -> bool {
        let host_state = &self.model.hosts[host];
        if matches!(segment, Segment::Syn) {
            return host_state.status == HostStatus::Vanished;
        }
        let stale = self.connections.get(&id).is_some_and(|conn| conn.stale);
        let call = self.connections.get(&id).and_then(|conn| conn.call);
        if let Some(call) = call
            .filter(|_| stale && host_state.status == HostStatus::Up && matches!(segment, Segment::Data(..)))
        {
            self.model.record_failure_cause(call, "stale");
        }
        let host_state = &self.model.hosts[host];
        let closes = matches!(segment, Segment::Fin | Segment::Reset);
        match host_state.status {
            HostStatus::Up if host_state.epoch == epoch && !stale => return false,
            // A vanished host does not answer. A proxy that closes the connection gets no acknowledgement.
            HostStatus::Vanished => {}
            HostStatus::Up | HostStatus::Dead if !matches!(segment, Segment::Reset) => {
                self.send_segment(id, INITIATOR, Segment::Reset)
            }
            HostStatus::Up | HostStatus::Dead => {}
        }
        if closes || self.model.hosts[host].status != HostStatus::Vanished {
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
                    return self.queue.schedule(
                        at,
                        NetworkEvent::Segment { conn: id, side: ACCEPTOR, segment: Segment::Syn },
                    );
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
                if host_state.status != HostStatus::Up || host_state.connections >= limit {
                    self.model.log.record(
                        self.model.now,
                        EventKind::Connection,
                        [proxy as u64, host as u64, 0],
                    );
                    self.send_segment(id, INITIATOR, Segment::Reset);
                    return self.abandon(id, ACCEPTOR);
                }
                host_state.connections += 1;
                conn.kind = ConnectionKind::Host { host, epoch: host_state.epoch };
                conn.counted = true;
                let open = host_state.connections;
                self.model.metrics.opened_connections += 1;
                self.model.metrics.peak_connections = self.model.metrics.peak_connections.max(open);
                self.send_segment(id, INITIATOR, Segment::SynAck);
            }
            ConnectionKind::Discovery if self.model.registry.down => {
                self.send_segment(id, INITIATOR, Segment::Reset);
                self.abandon(id, ACCEPTOR);
            }
            ConnectionKind::Discovery => self.send_segment(id, INITIATOR, Segment::SynAck),
        }
    }

    /// Takes a connection out of its host's number of open connections.
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

    /// Removes a connection that both endpoints have closed.
    pub fn remove_if_closed(&mut self, id: ConnectionId) {
        let closed = |conn: &Connection| conn.endpoints.iter().all(|side| side.closed);
        if self.connections.get(&id).is_some_and(closed) {
            self.uncount(id);
            self.connections.remove(&id);
        }
    }

    /// Closes an endpoint without a segment to its peer.
    pub fn abandon(&mut self, id: ConnectionId, side: usize) {
        if let Some(conn) = self.connections.get_mut(&id) {
            conn.endpoints[side].closed = true;
            conn.endpoints[side].received.clear();
        }
        self.remove_if_closed(id);
    }

    /// Closes an endpoint. As in an operating system, received bytes that were not read turn the close into a reset.
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

    /// Shuts down the sending direction of an endpoint.
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

    /// Frees window space for bytes that an endpoint has read, and wakes its peer's writer.
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

    /// Sends bytes to an endpoint, with the list update that they carry, if any.
    pub fn write(&mut self, id: ConnectionId, to: usize, bytes: Vec<u8>, update: Option<Box<ListUpdate>>) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        conn.endpoints[to].unread += bytes.len();
        let segment = Segment::Data(bytes, self.model.now, update);
        self.send_segment(id, to, segment);
    }

    /// Whether an endpoint is open and has nothing to read.
    pub fn has_no_pending_input(&self, id: ConnectionId, side: usize) -> bool {
        let side = self.connections.get(&id).map(|conn| &conn.endpoints[side]);
        side.is_some_and(|side| side.received.is_empty() && !side.ended && !side.reset)
    }

    /// Whether the peer of an endpoint has closed or reset the connection.
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
