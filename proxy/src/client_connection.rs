//! One connection of a client: its requests are served in order, and its phase says whether it may be closed.

use crate::requests::{respond, ClientResponse, Driver, RequestSource};
use crate::shutdown::ShutdownDeadline;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::TokioTimer;
use nettleworks_engine::http1::{RequestTracker, MAX_HEAD_BYTES};
use nettleworks_engine::memory::Purpose;
use nettleworks_engine::net::Stream;
use nettleworks_engine::quota::{ConnectionPermit, Side};
use nettleworks_engine::socket::Socket;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now, JoinHandle};
use tokio::time::Instant;

/// How long a new connection without a request is kept during a shutdown: a client that opens one sends its request at
/// once, and if the connection is closed it may find no other proxy that accepts one.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(250);
/// Time within which a whole request must have been read, however slowly it arrives: from the start of its connection,
/// or from its own first byte. Clients must get a response or a close within 3 s.
pub const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long an idle connection is kept. Clients may keep their connections forever without using them again; those that
/// reuse them do so far sooner.
const MAX_IDLE: Duration = Duration::from_secs(30);
/// How long a connection must have been idle to be evicted for a new one. While many are open, all that have been idle
/// for this long are closed, so that clients that need a new connection get it at once.
const MIN_IDLE: Duration = Duration::from_secs(2);
/// How long a client may take to read a response while many connections are open. No client waits longer for one.
const MIN_RESPONSE_READ_TIME: Duration = Duration::from_secs(4);
/// Time after which a client that is going to send a request has begun to, and has read its last response.
const REQUEST_START_GRACE: Duration = Duration::from_millis(100);
/// Time after which a client that has stopped within a request may be evicted.
const STALL_GRACE: Duration = Duration::from_millis(50);
/// How long a client may leave a large response unread while others wait for its memory.
const UNREAD_RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// The state of a client's connection, and since when.
#[derive(Clone, Copy, Debug)]
pub enum Phase {
    /// The first request has not been read completely.
    New(Instant),
    /// No request is open.
    Idle(Instant),
    /// A further request is being received.
    Receiving(Instant),
    /// The body of a request is being received, for which this many bytes are leased.
    ReceivingBody(Instant, usize),
    /// A request is open.
    Open,
}

impl Phase {
    /// Since when the request that begins now has been arriving.
    fn request_began(self, socket: &Socket) -> Instant {
        match self {
            Phase::New(since) | Phase::Receiving(since) | Phase::ReceivingBody(since, _) => since,
            Phase::Idle(_) | Phase::Open => socket.last_read_at(),
        }
    }
}

/// How many connections should close for new ones, and the news that one has ended.
#[derive(Debug, Default)]
pub struct RoomRequest {
    wanted: Cell<usize>,
    ended: Notify,
}

impl RoomRequest {
    /// Sets how many connections should close as soon as their responses are written.
    pub fn set_wanted(&self, wanted: usize) {
        self.wanted.set(wanted);
    }

    /// Whether a connection should close, which is counted.
    fn take(&self) -> bool {
        let wanted = self.wanted.get();
        self.wanted.set(wanted.saturating_sub(1));
        wanted > 0
    }

    /// Waits until a connection has ended.
    pub async fn connection_ended(&self) {
        self.ended.notified().await;
    }
}

/// What is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionRank {
    /// No whole request has arrived.
    Receiving,
    /// Idle for long.
    LongIdle,
    /// Idle after one request.
    UsedOnce,
    /// Idle after several requests.
    Reused,
}

/// What the requests of a connection need.
#[derive(Clone)]
pub struct ConnectionContext {
    /// The engine.
    pub driver: Driver,
    /// Set once a shutdown has begun.
    pub shutdown: ShutdownDeadline,
    /// Whether many connections are open.
    pub under_pressure: Rc<Cell<bool>>,
    /// Whether most of the open connections are idle.
    pub mostly_idle: Rc<Cell<bool>>,
    /// Whether a connection should close for a new one.
    pub room: Rc<RoomRequest>,
}

/// A client's connection.
pub struct ClientConnection {
    task: JoinHandle<()>,
    /// When notified, the connection closes as soon as the response, if there is one, has been written.
    close: Rc<Notify>,
    socket: Socket,
    phase: Rc<Cell<Phase>>,
    _permit: Option<ConnectionPermit>,
}

impl ClientConnection {
    /// Serves an accepted connection on a task of its own.
    pub fn serve(context: ConnectionContext, stream: Stream) -> ClientConnection {
        // Already accepted, so it is counted without a limit: where other shards accept too, there may be one too many
        // for a moment.
        let permit = context.driver.config().quota.acquire(Side::Clients, usize::MAX);
        let room = context.room.clone();
        let requests = Rc::<RequestTracker>::default();
        let socket = Socket::observed(stream, requests.clone());
        let phase = Rc::new(Cell::new(Phase::New(Instant::now())));
        let served = Rc::new(ServedRequests {
            context,
            socket: socket.clone(),
            phase: phase.clone(),
            requests,
            count: Cell::new(0),
            reads_at_request: Cell::new(0),
            idle_since: Cell::new(None),
        });
        let service = service_fn(move |request| {
            let served = served.clone();
            async move { Ok::<_, Infallible>(served.respond(request).await) }
        });
        // All timeouts are enforced by the sweeps, so that a client cannot get one of them twice by being slow in two
        // ways.
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(socket.clone(), service);
        let close = Rc::new(Notify::new());
        let closing = close.clone();
        let task = spawn_local(async move {
            let mut connection = pin!(connection);
            // If the connection breaks, its pending request is dropped, by which the decision module learns of it.
            tokio::select! {
                biased;
                _ = &mut connection => return room.ended.notify_one(),
                () = closing.notified() => connection.as_mut().graceful_shutdown(),
            }
            let _ = connection.await;
            room.ended.notify_one();
        });
        ClientConnection { task, close, socket, phase, _permit: permit }
    }

    /// Whether the connection has ended.
    pub fn is_finished(&self) -> bool {
        self.task.is_finished()
    }

    /// Whether no request is open.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase.get(), Phase::Idle(_))
    }

    /// Whether a part of a request has arrived, or nothing yet.
    pub fn is_receiving(&self) -> bool {
        matches!(self.phase.get(), Phase::New(_) | Phase::Receiving(_) | Phase::ReceivingBody(..))
    }

    /// Marks a connection on which the next request has begun to arrive.
    pub fn update_phase(&self) {
        if let Phase::Idle(since) = self.phase.get() {
            let read_at = self.socket.last_read_at();
            if read_at > since {
                self.phase.set(Phase::Receiving(read_at));
            }
        }
    }

    /// Whether it has to be closed: too slow, abandoned by its client, or idle for too long.
    pub fn is_expired(&self, now: Instant, under_pressure: bool) -> bool {
        match self.phase.get() {
            Phase::New(since) | Phase::Receiving(since) => now >= since + REQUEST_READ_TIMEOUT,
            Phase::Idle(since) => {
                let max_idle = match under_pressure {
                    true if self.socket.is_write_blocked() => MIN_RESPONSE_READ_TIME,
                    true => MIN_IDLE,
                    false => MAX_IDLE,
                };
                // Unread input may be a whole request.
                now >= since + max_idle && self.socket.has_no_pending_input()
            }
            // hyper does not notice the end of the stream while it still has buffered input of a further request.
            Phase::Open | Phase::ReceivingBody(..) => self.socket.is_closed_by_peer(),
        }
    }

    /// Whether a shutdown may close it: no request is open, all responses have been written, and a client that is just
    /// sending a request can send it again.
    pub fn can_close(&self, now: Instant) -> bool {
        let is_silent = match self.phase.get() {
            Phase::New(since) => self.socket.read_count() == 0 && now >= since + NEW_CONNECTION_GRACE,
            Phase::Idle(_) => !self.socket.is_write_blocked(),
            Phase::Receiving(_) | Phase::ReceivingBody(..) | Phase::Open => false,
        };
        // Unread input may be a whole request.
        is_silent && self.socket.has_no_pending_input()
    }

    /// The order of eviction; `None` if it must not be evicted. A new connection is given time to send its request:
    /// otherwise, of many that arrive at once, each would be closed for the next one before its request arrives.
    pub fn eviction_rank(&self, now: Instant) -> Option<(EvictionRank, Instant)> {
        let (rank, since) = match self.phase.get() {
            Phase::New(since) | Phase::Receiving(since) | Phase::ReceivingBody(since, _) => {
                (EvictionRank::Receiving, since)
            }
            Phase::Idle(since) if now >= since + MIN_IDLE => (EvictionRank::LongIdle, since),
            // Its response has not been written completely.
            Phase::Idle(_) if self.socket.is_write_blocked() => return None,
            // Connections that were reused are kept before those of one request, which may never be used again.
            Phase::Idle(since) if self.socket.read_count() <= 1 => (EvictionRank::UsedOnce, since),
            Phase::Idle(since) => (EvictionRank::Reused, since),
            Phase::Open => return None,
        };
        let is_stalled = rank == EvictionRank::Receiving
            && self.socket.read_count() > 0
            && now >= self.socket.last_read_at() + STALL_GRACE;
        let is_due = is_stalled || now >= since + REQUEST_START_GRACE;
        // Unread input may be a whole request, or the rest of one.
        (is_due && self.socket.has_no_pending_input()).then_some((rank, since))
    }

    /// Since when it holds memory of this purpose that may be taken from it, and how many bytes; `None` if it holds none
    /// or must be given more time. What is taken is a request that has not arrived whole, or a response that its client
    /// does not read.
    pub fn shedding_candidate(&self, purpose: Purpose, now: Instant) -> Option<(Instant, usize)> {
        let (since, bytes, grace) = match (purpose, self.phase.get()) {
            (Purpose::Requests, Phase::ReceivingBody(since, leased)) if leased > 0 => {
                (since, leased, REQUEST_START_GRACE)
            }
            // How much is left to write is not known: at least one byte.
            (Purpose::Responses, Phase::Idle(since)) if self.socket.is_write_blocked() => {
                (since, 1, UNREAD_RESPONSE_GRACE)
            }
            _ => return None,
        };
        (now >= since + grace && self.socket.has_no_pending_input()).then_some((since, bytes))
    }

    /// Closes it as soon as no request is open on it.
    pub fn close_gracefully(&self) {
        self.close.notify_one();
    }

    /// Closes it; its file descriptor is free when this returns.
    pub fn close(&self) {
        self.socket.close();
        self.task.abort();
    }
}

/// The requests of one connection.
struct ServedRequests {
    context: ConnectionContext,
    socket: Socket,
    phase: Rc<Cell<Phase>>,
    requests: Rc<RequestTracker>,
    /// The number of requests so far.
    count: Cell<u64>,
    /// The socket's count of reads when the last request began.
    reads_at_request: Cell<u64>,
    /// When the last response was ready.
    idle_since: Cell<Option<Instant>>,
}

impl ServedRequests {
    /// Serves the next request.
    fn respond(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = ClientResponse> {
        let number = self.count.get() + 1;
        self.count.set(number);
        let reads = self.socket.read_count();
        let is_pipelined = self.reads_at_request.replace(reads) == reads;
        let began = self.phase.get().request_began(&self.socket);
        // Such a connection is never idle for long enough to be evicted.
        let is_busy = self.idle_since.get().is_some_and(|since| began < since + REQUEST_START_GRACE);
        let source = RequestSource {
            socket: self.socket.clone(),
            requests: self.requests.clone(),
            number,
            began,
            phase: self.phase.clone(),
        };
        async move {
            self.phase.set(Phase::Open);
            if is_pipelined {
                // A client that pipelines gets one turn for each request, as others do.
                yield_now().await;
            }
            let ConnectionContext { driver, shutdown, under_pressure, mostly_idle, room } = &self.context;
            let mut response = respond(driver.clone(), request, source, shutdown).await;
            // Clients that send one request each and keep their connections leave none for clients that reuse
            // theirs. A response with `Connection: close` closes at once, and without crossing a further request.
            let is_crowded_by_idle = under_pressure.get() && mostly_idle.get();
            let makes_room = is_busy && room.take();
            if number == 1 && is_crowded_by_idle || makes_room || shutdown.get().is_some() {
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            // Input that was read meanwhile may be the beginning of the next request.
            let now = Instant::now();
            self.idle_since.set(Some(now));
            let is_quiet = self.requests.is_last(number);
            self.phase.set(if is_quiet { Phase::Idle(now) } else { Phase::Receiving(now) });
            response
        }
    }
}
