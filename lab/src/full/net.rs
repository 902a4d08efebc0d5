//! The simulated network: connections of two ends, pieces on their way, what a cut holds back, and doors.

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

pub(super) type ConnId = u64;

/// The side that has opened a connection, and the one that has taken it.
pub(super) const OPENER: usize = 0;
pub(super) const TAKER: usize = 1;

/// Bytes that a connection holds on their way to a reader: beyond, its writer waits.
const WINDOW: usize = 256 << 10;
/// Most bytes of one piece: what a system takes of a write at once, while there is room.
const PIECE: usize = 16 << 10;
/// A word that opens a connection and is not answered is said again after this.
const SAID_AGAIN: Micros = 1_000_000;

/// What the queue holds.
#[derive(Debug)]
pub(super) enum Ev {
    Model(Event),
    /// Something is there, at one side of a connection.
    Piece {
        conn: ConnId,
        side: usize,
        piece: Piece,
    },
    /// A connection has been idle at its host since its exchange of this number.
    Idle {
        conn: ConnId,
        served: u32,
    },
    /// A watch's turn at a busy discovery: it knows the list as of a version, or fails.
    Turn {
        conn: ConnId,
        since: Option<u64>,
        fails: bool,
    },
    /// A watch's time for a heartbeat.
    Beat {
        conn: ConnId,
    },
}

impl From<Event> for Ev {
    fn from(event: Event) -> Ev {
        Ev::Model(event)
    }
}

/// What goes over a connection.
#[derive(Debug)]
pub(super) enum Piece {
    /// It is to be opened.
    Opens,
    /// It is open.
    Open,
    /// Bytes, written then; with what they tell of the list.
    Bytes(Vec<u8>, Micros, Option<Box<ListUpdate>>),
    /// Nothing more comes.
    End,
    /// It is broken; or refused.
    Reset,
}

/// One side of a connection.
#[derive(Debug, Default)]
pub(super) struct Side {
    /// What has come and was not read.
    pub come: VecDeque<u8>,
    /// When the last of it was written.
    pub written: Micros,
    /// Nothing more will come.
    pub ended: bool,
    pub reset: bool,
    /// This side has closed.
    pub closed: bool,
    /// This side has ended its sending.
    shut: bool,
    /// Bytes on their way to this side, or come and not read.
    pub under_way: usize,
    reader: Option<Waker>,
    writer: Option<Waker>,
    /// When the last piece to this side comes: none overtakes another.
    last: Micros,
    /// What a cut holds back, in order.
    held: VecDeque<Piece>,
}

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum For {
    /// A client's to its proxy.
    Client,
    /// A proxy's to a host, of this start.
    Host { host: usize, epoch: u32 },
    /// A proxy's to discovery.
    Discovery,
}

#[derive(Debug)]
pub(super) struct Conn {
    pub proxy: usize,
    pub of: For,
    pub sides: [Side; 2],
    pub up: bool,
    /// Pieces so far: their draws' names.
    pieces: u64,
    /// The call that is on it: a client's, or one at a host.
    pub call: Option<u32>,
    /// The exchange at the host.
    pub exchange: Option<u64>,
    /// Requests that were answered on it.
    pub served: u32,
    /// Its host has closed it unnoticed.
    pub stale: bool,
    /// A request has begun to be written and its answer is not there yet.
    pub asking: bool,
    /// Up to which version its watch has heard.
    pub heard: Option<Option<u64>>,
    /// Its watch's answer has begun.
    pub begun: bool,
    /// It is counted at its host.
    pub counted: bool,
}

/// A proxy's door.
#[derive(Debug, Default)]
pub(super) struct Door {
    pub waiting: VecDeque<ConnId>,
    waker: Option<Waker>,
}

/// All of a run but the proxies' tasks.
pub(super) struct World {
    pub model: Model,
    pub queue: EventQueue<Ev>,
    pub conns: BTreeMap<ConnId, Conn>,
    pub doors: Vec<Door>,
    /// Idle connections of clients, by proxy.
    pub idle: Vec<Vec<ConnId>>,
    /// Connections of open exchanges.
    pub exchanges: BTreeMap<u64, ConnId>,
    pub next: u64,
    /// Where hosts listen in truth, where the run is on real sockets.
    pub addresses: Option<Vec<SocketAddr>>,
}

impl World {
    pub fn new(model: Model, queue: EventQueue<Ev>) -> World {
        let proxies = model.proxies.len();
        World {
            model,
            queue,
            conns: BTreeMap::new(),
            doors: (0..proxies).map(|_| Door::default()).collect(),
            idle: vec![Vec::new(); proxies],
            exchanges: BTreeMap::new(),
            next: 0,
            addresses: None,
        }
    }

    pub fn open(&mut self, proxy: usize, of: For) -> ConnId {
        self.next += 1;
        let conn = Conn {
            proxy,
            of,
            sides: Default::default(),
            up: false,
            pieces: 0,
            call: None,
            exchange: None,
            served: 0,
            stale: false,
            asking: false,
            heard: None,
            begun: false,
            counted: false,
        };
        self.conns.insert(self.next, conn);
        let number = self.next;
        self.put(number, TAKER, Piece::Opens);
        number
    }

    /// A proxy opens a connection.
    pub fn dial(&mut self, proxy: usize, address: SocketAddr) -> ConnId {
        match proxy_config::host_at(address).filter(|&host| host < self.model.hosts.len()) {
            Some(host) => {
                let epoch = self.model.hosts[host].epoch;
                self.open(proxy, For::Host { host, epoch })
            }
            None => {
                self.model.metrics.watches += 1;
                self.open(proxy, For::Discovery)
            }
        }
    }

    /// Whether what goes to a side does not pass now, and how long its way is without a draw.
    fn way(&self, conn: &Conn, side: usize) -> (bool, f64, Micros) {
        let network = &self.model.scenario.network;
        match conn.of {
            For::Client => (false, network.beside_us, 0),
            For::Discovery => (false, network.near_us, 0),
            For::Host { host, .. } => {
                let (cut, longer) = self.model.link(conn.proxy, host, side == OPENER);
                let near = self.model.proxies[conn.proxy].zone == self.model.hosts[host].zone;
                (cut, if near { network.near_us } else { network.far_us }, longer)
            }
        }
    }

    /// Does what an event of the queue says.
    pub fn handle(&mut self, event: Ev) {
        match event {
            Ev::Model(event) => self.model.handle(event, &mut self.queue),
            Ev::Piece { conn, side, piece } => self.piece(conn, side, piece),
            Ev::Idle { conn, served } => self.is_idle(conn, served),
            Ev::Turn { conn, since, fails } => self.turn(conn, since, fails),
            Ev::Beat { conn } => self.beat(conn),
        }
    }

    /// Sends a piece on its way to a side.
    pub fn put(&mut self, number: ConnId, side: usize, piece: Piece) {
        let Some(conn) = self.conns.get(&number) else { return };
        let (cut, mean, longer) = self.way(conn, side);
        let network = &self.model.scenario.network;
        let draw = |pieces| RandomStream::new(self.model.seed, "piece", number, pieces).uniform();
        let after = mean * (1.0 + network.jitter * draw(conn.pieces)) + longer as f64;
        let at = self.model.now + (after as Micros).max(1);
        // One piece after the other goes through what the connection has of the line.
        let takes = match &piece {
            Piece::Bytes(bytes, ..) if network.megabits > 0.0 => bytes.len() as f64 * 8.0 / network.megabits,
            _ => 0.0,
        };
        let Some(conn) = self.conns.get_mut(&number) else { return };
        conn.pieces += 1;
        let to = &mut conn.sides[side];
        if cut || !to.held.is_empty() {
            self.model.metrics.held_segments += 1;
            return to.held.push_back(piece);
        }
        to.last = to.last.max(at) + takes as Micros;
        self.queue.schedule(to.last, Ev::Piece { conn: number, side, piece });
    }

    /// Ways have changed: what is held back and may pass goes on.
    pub fn ways(&mut self) {
        let held: Vec<(ConnId, usize)> = self
            .conns
            .iter()
            .flat_map(|(&number, conn)| [(number, conn, OPENER), (number, conn, TAKER)])
            .filter(|(_, conn, side)| !conn.sides[*side].held.is_empty() && !self.way(conn, *side).0)
            .map(|(number, _, side)| (number, side))
            .collect();
        for (number, side) in held {
            let Some(conn) = self.conns.get_mut(&number) else { continue };
            let pieces = std::mem::take(&mut conn.sides[side].held);
            pieces.into_iter().for_each(|piece| self.put(number, side, piece));
        }
    }

    /// A piece is there.
    pub fn piece(&mut self, number: ConnId, side: usize, piece: Piece) {
        let Some(conn) = self.conns.get(&number) else { return };
        // A cut that began while it was under way keeps it too.
        if self.way(conn, side).0 {
            if let Some(conn) = self.conns.get_mut(&number) {
                self.model.metrics.held_segments += 1;
                conn.sides[side].held.push_back(piece);
            }
            return;
        }
        if side == TAKER {
            if let For::Host { host, epoch } = conn.of {
                if self.lost_at_host(number, host, epoch, &piece) {
                    return;
                }
            }
        }
        let Some(conn) = self.conns.get_mut(&number) else { return };
        let to = &mut conn.sides[side];
        let heard = (side, conn.of);
        match piece {
            Piece::Opens => return self.opens(number),
            Piece::Open => {
                conn.up = true;
                self.wake(number, side);
                if heard == (OPENER, For::Client) {
                    self.client_up(number);
                }
                return;
            }
            Piece::Bytes(bytes, written, told) => {
                if to.closed {
                    // Nobody is there any more: its system says so.
                    let other = 1 - side;
                    return self.put(number, other, Piece::Reset);
                }
                to.come.extend(&bytes);
                to.written = written;
                if let (Some(news), proxy) = (told, conn.proxy) {
                    self.model.record_list_update(proxy, &news);
                }
            }
            Piece::End => to.ended = true,
            Piece::Reset => {
                to.ended = true;
                to.reset = true;
                to.come.clear();
            }
        }
        self.wake(number, side);
        match heard {
            (OPENER, For::Client) => self.client_hears(number),
            (TAKER, For::Host { host, .. }) => self.host_hears(number, host),
            (TAKER, For::Discovery) => self.discovery_hears(number),
            _ => {}
        }
        self.tidy(number);
    }

    /// What comes to a host that is not there, or knows nothing of the connection.
    fn lost_at_host(&mut self, number: ConnId, host: usize, epoch: u32, piece: &Piece) -> bool {
        let at = &self.model.hosts[host];
        if matches!(piece, Piece::Opens) {
            return at.status == HostStatus::Vanished;
        }
        let stale = self.conns.get(&number).is_some_and(|conn| conn.stale);
        let call = self.conns.get(&number).and_then(|conn| conn.call);
        if let Some(call) =
            call.filter(|_| stale && at.status == HostStatus::Up && matches!(piece, Piece::Bytes(..)))
        {
            self.model.record_failure_cause(call, "stale");
        }
        let at = &self.model.hosts[host];
        let ends = matches!(piece, Piece::End | Piece::Reset);
        match at.status {
            HostStatus::Up if at.epoch == epoch && !stale => return false,
            // Nothing is said; but who ends it there will not hear of it again.
            HostStatus::Vanished => {}
            HostStatus::Up | HostStatus::Dead if !matches!(piece, Piece::Reset) => {
                self.put(number, OPENER, Piece::Reset)
            }
            HostStatus::Up | HostStatus::Dead => {}
        }
        if ends || self.model.hosts[host].status != HostStatus::Vanished {
            self.uncount(number);
            self.abandon(number, TAKER);
        }
        true
    }

    fn opens(&mut self, number: ConnId) {
        let Some(conn) = self.conns.get_mut(&number) else { return };
        let proxy = conn.proxy;
        match conn.of {
            For::Client => {
                let backlog = self.model.scenario.network.backlog;
                if !self.model.proxies[proxy].up {
                    self.put(number, OPENER, Piece::Reset);
                    return self.abandon(number, TAKER);
                }
                let door = &mut self.doors[proxy];
                if door.waiting.len() >= backlog {
                    let at = self.model.now + SAID_AGAIN;
                    return self
                        .queue
                        .schedule(at, Ev::Piece { conn: number, side: TAKER, piece: Piece::Opens });
                }
                door.waiting.push_back(number);
                if let Some(waker) = door.waker.take() {
                    waker.wake();
                }
                self.put(number, OPENER, Piece::Open);
            }
            For::Host { host, .. } => {
                let most = self.model.scenario.fleet.connections;
                let at = &mut self.model.hosts[host];
                if at.status != HostStatus::Up || at.connections >= most {
                    self.model.log.record(
                        self.model.now,
                        EventKind::Connection,
                        [proxy as u64, host as u64, 0],
                    );
                    self.put(number, OPENER, Piece::Reset);
                    return self.abandon(number, TAKER);
                }
                at.connections += 1;
                conn.of = For::Host { host, epoch: at.epoch };
                conn.counted = true;
                let open = at.connections;
                self.model.metrics.opened_connections += 1;
                self.model.metrics.peak_connections = self.model.metrics.peak_connections.max(open);
                self.put(number, OPENER, Piece::Open);
            }
            For::Discovery if self.model.registry.down => {
                self.put(number, OPENER, Piece::Reset);
                self.abandon(number, TAKER);
            }
            For::Discovery => self.put(number, OPENER, Piece::Open),
        }
    }

    pub fn uncount(&mut self, number: ConnId) {
        let Some(conn) = self.conns.get_mut(&number) else { return };
        if let (For::Host { host, epoch }, true) = (conn.of, std::mem::take(&mut conn.counted)) {
            let host = &mut self.model.hosts[host];
            if host.epoch == epoch {
                host.connections = host.connections.saturating_sub(1);
            }
        }
    }

    fn wake(&mut self, number: ConnId, side: usize) {
        if let Some(waker) = self.conns.get_mut(&number).and_then(|conn| conn.sides[side].reader.take()) {
            waker.wake();
        }
    }

    /// Forgets a connection that both sides have closed.
    pub fn tidy(&mut self, number: ConnId) {
        let over = |conn: &Conn| conn.sides.iter().all(|side| side.closed);
        if self.conns.get(&number).is_some_and(over) {
            self.uncount(number);
            self.conns.remove(&number);
        }
    }

    /// A side knows nothing of it any more, and says nothing.
    pub fn abandon(&mut self, number: ConnId, side: usize) {
        if let Some(conn) = self.conns.get_mut(&number) {
            conn.sides[side].closed = true;
            conn.sides[side].come.clear();
        }
        self.tidy(number);
    }

    /// A side closes. What has come and was not read makes it a reset, as systems do.
    pub fn close(&mut self, number: ConnId, side: usize) {
        let Some(conn) = self.conns.get_mut(&number) else { return };
        let at = &mut conn.sides[side];
        if std::mem::replace(&mut at.closed, true) {
            return;
        }
        let piece = match (at.come.is_empty(), at.shut) {
            (false, _) => Some(Piece::Reset),
            (true, false) => Some(Piece::End),
            (true, true) => None,
        };
        at.come.clear();
        at.reader = None;
        let gone = at.reset || conn.sides[1 - side].closed;
        if let Some(piece) = piece.filter(|_| !gone) {
            self.put(number, 1 - side, piece);
        }
        self.tidy(number);
    }

    pub fn shut(&mut self, number: ConnId, side: usize) {
        let Some(conn) = self.conns.get_mut(&number) else { return };
        if !std::mem::replace(&mut conn.sides[side].shut, true) {
            self.put(number, 1 - side, Piece::End);
        }
    }

    pub fn poll_up(&mut self, number: ConnId, context: &Context<'_>) -> Poll<io::Result<()>> {
        let Some(conn) = self.conns.get_mut(&number) else {
            return Poll::Ready(Err(io::ErrorKind::ConnectionRefused.into()));
        };
        if conn.sides[OPENER].reset {
            self.close(number, OPENER);
            return Poll::Ready(Err(io::ErrorKind::ConnectionRefused.into()));
        }
        if conn.up {
            return Poll::Ready(Ok(()));
        }
        conn.sides[OPENER].reader = Some(context.waker().clone());
        Poll::Pending
    }

    pub fn poll_read(
        &mut self,
        number: ConnId,
        side: usize,
        context: &Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(conn) = self.conns.get_mut(&number) else { return Poll::Ready(Ok(())) };
        let at = &mut conn.sides[side];
        if at.reset {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if at.come.is_empty() {
            if at.ended {
                return Poll::Ready(Ok(()));
            }
            at.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        let count = buffer.remaining().min(at.come.len());
        let (first, rest) = at.come.as_slices();
        let part = count.min(first.len());
        buffer.put_slice(&first[..part]);
        buffer.put_slice(&rest[..count - part]);
        at.come.drain(..count);
        self.read(number, side, count);
        Poll::Ready(Ok(()))
    }

    /// So much has been read there: its writer may go on.
    pub fn read(&mut self, number: ConnId, side: usize, count: usize) {
        let Some(conn) = self.conns.get_mut(&number) else { return };
        conn.sides[side].under_way = conn.sides[side].under_way.saturating_sub(count);
        if let Some(waker) = conn.sides[1 - side].writer.take() {
            waker.wake();
        }
    }

    pub fn poll_write(
        &mut self,
        number: ConnId,
        side: usize,
        context: &Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let broken = || Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        let Some(conn) = self.conns.get_mut(&number) else { return broken() };
        if conn.sides[side].reset || conn.sides[side].shut {
            return broken();
        }
        let room = WINDOW.saturating_sub(conn.sides[1 - side].under_way).min(bytes.len()).min(PIECE);
        if room == 0 {
            conn.sides[side].writer = Some(context.waker().clone());
            return Poll::Pending;
        }
        let (of, asking) = (conn.of, conn.asking);
        if let (For::Host { host, .. }, OPENER, false) = (of, side, asking) {
            self.asks_host(number, host, bytes);
        }
        self.write(number, 1 - side, bytes[..room].to_vec(), None);
        Poll::Ready(Ok(room))
    }

    /// Sends bytes to a side.
    pub fn write(&mut self, number: ConnId, to: usize, bytes: Vec<u8>, told: Option<Box<ListUpdate>>) {
        let Some(conn) = self.conns.get_mut(&number) else { return };
        conn.sides[to].under_way += bytes.len();
        let piece = Piece::Bytes(bytes, self.model.now, told);
        self.put(number, to, piece);
    }

    pub fn is_quiet(&self, number: ConnId, side: usize) -> bool {
        let side = self.conns.get(&number).map(|conn| &conn.sides[side]);
        side.is_some_and(|side| side.come.is_empty() && !side.ended && !side.reset)
    }

    pub fn is_left(&self, number: ConnId, side: usize) -> bool {
        self.conns.get(&number).map(|conn| &conn.sides[side]).is_none_or(|side| side.ended || side.reset)
    }

    pub fn poll_accept(&mut self, proxy: usize, context: &Context<'_>) -> Poll<ConnId> {
        let door = &mut self.doors[proxy];
        while let Some(number) = door.waiting.pop_front() {
            if self.conns.contains_key(&number) {
                return Poll::Ready(number);
            }
        }
        door.waker = Some(context.waker().clone());
        Poll::Pending
    }
}
