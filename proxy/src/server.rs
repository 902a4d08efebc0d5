//! The application's connections: they are accepted, served, closed when idle or too slow, evicted at the limit, and
//! closed gracefully at a shutdown.

use crate::requests::{respond, Driver, RequestSource};
use crate::shutdown::{ShutdownDeadline, ShutdownSchedule};
use hyper::header::{self, HeaderValue};
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use nettleworks_engine::http1::{RequestTracker, MAX_HEAD_BYTES};
use nettleworks_engine::net::{Listener, Stream};
use nettleworks_engine::quota::{ConnectionPermit, Side};
use nettleworks_engine::socket::Socket;
use socket2::{Domain, Protocol, Socket as Socket2, Type};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, yield_now, JoinHandle};
use tokio::time::{interval, sleep, sleep_until, timeout, timeout_at, Instant, MissedTickBehavior};

/// Length of the listener's queue of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;
/// How often a shutdown checks whether all connections have ended.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(10);
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
/// Time after which a client that is going to send a request has begun to, and has read its last response.
const REQUEST_START_GRACE: Duration = Duration::from_millis(100);
/// How often the connections are checked for those that have to be closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after a failed accept: file descriptors must become free first.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Listens at an address; the listener is not bound to a runtime. Connections that a killed proxy has left behind at
/// this address do not prevent it (`SO_REUSEADDR`).
///
/// # Errors
///
/// The address is in use or invalid, or a system call failed.
pub fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    bind_socket(address, false)
}

/// Creates this number of listeners at one address; the system spreads new connections over them (`SO_REUSEPORT`).
///
/// # Errors
///
/// As for [`bind`].
pub fn bind_all(address: SocketAddr, listeners: usize) -> io::Result<Vec<std::net::TcpListener>> {
    let first = bind_socket(address, listeners > 1)?;
    // For port 0 the system chooses a free port, which the others use too.
    let address = first.local_addr()?;
    let others = (1..listeners).map(|_| bind_socket(address, true));
    std::iter::once(Ok(first)).chain(others).collect()
}

fn bind_socket(address: SocketAddr, reuse_port: bool) -> io::Result<std::net::TcpListener> {
    let socket = Socket2::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    if reuse_port {
        socket.set_reuse_port(true)?;
    }
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// As [`bind`], for the current runtime.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::from_std(bind(address)?)
}

/// Serves until `stop` completes, and then shuts down by the [`ShutdownSchedule`]:
///
/// - Idle connections are closed at once while new ones are still accepted, so that a client whose request
///   arrives during such a close can send it again over a new connection; each response closes its connection.
/// - Then no new connection is accepted.
/// - Calls without a reply when the process has to exit get a final response.
///
/// Returns when no connection is left, and at the schedule's `exit_by` in any case; that moment is the result.
pub async fn serve(listener: impl Into<Listener>, driver: Driver, stop: impl Future<Output = ()>) -> Instant {
    serve_with_accepted(listener, None, driver, stop).await
}

/// As [`serve`], with the addition that `accepted` yields connections that were accepted elsewhere, in place of a
/// stalled shard.
pub async fn serve_with_accepted(
    listener: impl Into<Listener>,
    mut accepted: Option<mpsc::Receiver<Stream>>,
    driver: Driver,
    stop: impl Future<Output = ()>,
) -> Instant {
    let listener = listener.into();
    let shutdown = ShutdownDeadline::default();
    let mut clients =
        Clients { driver, shutdown: shutdown.clone(), open: Vec::new(), under_pressure: Rc::default() };
    let mut stop = pin!(stop);
    let mut shutting_down = None;
    let mut sweeps = interval(SWEEP_INTERVAL);
    sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let schedule = loop {
        let has_room = clients.make_room();
        // Polled in this order, rare events first: a flood of new connections must not delay them.
        tokio::select! {
            biased;
            () = &mut stop, if shutting_down.is_none() => {
                let schedule = ShutdownSchedule::from(Instant::now(), &clients.driver.config().settings);
                shutdown.set(schedule.respond_by);
                clients.sweep();
                shutting_down = Some(schedule);
            }
            schedule = accept_period_over(shutting_down) => break schedule,
            _ = sweeps.tick() => clients.sweep(),
            stream = next_accepted(&mut accepted), if has_room => clients.serve(stream),
            result = listener.accept(), if has_room => match result {
                Ok(stream) => {
                    clients.serve(stream);
                    // Only a read tells a connection with a request from a silent one.
                    yield_now().await;
                }
                Err(error) => {
                    clients.driver.log(&format!("accepting a connection failed: {error}"));
                    clients.evict();
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    };
    // Accepts what is left in the listener's queue: closing the listener would reset it.
    while clients.make_room() {
        let Ok(Ok(stream)) = timeout(Duration::ZERO, listener.accept()).await else { break };
        clients.serve(stream);
    }
    drop(listener);
    // A client that has sent half a request or does not read its response must not keep the process from exiting, nor
    // must detached calls.
    let driver = clients.driver.clone();
    let ended = timeout_at(schedule.exit_by, async {
        while !clients.all_closed() {
            sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
        driver.wait_for_detached().await;
    });
    if ended.await.is_err() {
        let (open, detached) = (clients.open.len(), driver.detached());
        driver.log(&format!("stopped with {open} open connections and {detached} detached calls"));
    }
    schedule.exit_by
}

/// Waits until no new connection is accepted any more; forever if there is no shutdown.
async fn accept_period_over(schedule: Option<ShutdownSchedule>) -> ShutdownSchedule {
    match schedule {
        Some(schedule) => {
            sleep_until(schedule.accept_until).await;
            schedule
        }
        None => std::future::pending().await,
    }
}

/// The next connection that was accepted elsewhere; waits forever if there is no such channel or it is closed.
async fn next_accepted(accepted: &mut Option<mpsc::Receiver<Stream>>) -> Stream {
    if let Some(streams) = accepted {
        if let Some(stream) = streams.recv().await {
            return stream;
        }
        *accepted = None;
    }
    std::future::pending().await
}

/// The state of a client's connection, and since when.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// The first request has not been read completely.
    New(Instant),
    /// No request is open.
    Idle(Instant),
    /// A further request is being received.
    Receiving(Instant),
    /// A request is open.
    Open,
}

impl Phase {
    /// By when the request that is being received must have been read completely.
    fn body_deadline(self, socket: &Socket) -> Instant {
        match self {
            Phase::New(since) | Phase::Receiving(since) => since + REQUEST_READ_TIMEOUT,
            Phase::Idle(_) | Phase::Open => socket.last_read_at() + REQUEST_READ_TIMEOUT,
        }
    }
}

/// A client's connection.
struct Client {
    task: JoinHandle<()>,
    /// When notified, the connection closes as soon as the response, if there is one, has been written.
    close: Rc<Notify>,
    socket: Socket,
    phase: Rc<Cell<Phase>>,
    _permit: Option<ConnectionPermit>,
}

impl Client {
    /// Whether it has to be closed: too slow, abandoned by its client, or idle for `idle`.
    fn is_expired(&self, now: Instant, idle: Duration) -> bool {
        match self.phase.get() {
            Phase::New(since) | Phase::Receiving(since) => now >= since + REQUEST_READ_TIMEOUT,
            // Unread input may be a whole request.
            Phase::Idle(since) => now >= since + idle && self.socket.has_no_pending_input(),
            // hyper does not notice the end of the stream while it still has buffered input of a further request.
            Phase::Open => self.socket.is_closed_by_peer(),
        }
    }

    /// Whether a shutdown may close it: no request is open, all responses have been written, and a client that is just
    /// sending a request can send it again.
    fn can_close(&self, now: Instant) -> bool {
        let is_silent = match self.phase.get() {
            Phase::New(since) => self.socket.read_count() == 0 && now >= since + NEW_CONNECTION_GRACE,
            Phase::Idle(_) => !self.socket.is_write_blocked(),
            Phase::Receiving(_) | Phase::Open => false,
        };
        // Unread input may be a whole request.
        is_silent && self.socket.has_no_pending_input()
    }

    /// The order of eviction, the least first; `None` if it must not be evicted. A new connection is given time to send
    /// its request: otherwise, of many that arrive at once, each would be closed for the next one before its request
    /// arrives.
    fn eviction_rank(&self, now: Instant) -> Option<(u8, Instant)> {
        let (rank, since) = match self.phase.get() {
            Phase::New(since) | Phase::Receiving(since) => (0, since),
            Phase::Idle(since) if now >= since + MIN_IDLE => (1, since),
            // Its response has not been written completely.
            Phase::Idle(_) if self.socket.is_write_blocked() => return None,
            // Connections that were reused are kept before those of one request, which may never be used again.
            Phase::Idle(since) if self.socket.read_count() <= 1 => (2, since),
            Phase::Idle(since) => (3, since),
            Phase::Open => return None,
        };
        // Unread input may be a whole request.
        let has_input = rank > 0 && !self.socket.has_no_pending_input();
        (now >= since + REQUEST_START_GRACE && !has_input).then_some((rank, since))
    }

    /// Closes it; its file descriptor is free when this returns.
    fn close(&self) {
        self.socket.close();
        self.task.abort();
    }
}

/// The open connections of clients.
struct Clients {
    driver: Driver,
    /// Once a shutdown has begun, connections are closed as soon as no request is open on them.
    shutdown: ShutdownDeadline,
    open: Vec<Client>,
    /// More are open than half of what clients may hold for requests.
    under_pressure: Rc<Cell<bool>>,
}

impl Clients {
    /// Whether one more connection may be opened. At the limit one is evicted for it: first one that never sent a
    /// request, then the one that has been idle the longest. Clients that keep silent connections must not lock out
    /// others.
    fn make_room(&mut self) -> bool {
        let config = self.driver.config();
        let open = || config.quota.open(Side::Clients);
        let limit = config.connections_to_clients();
        self.under_pressure.set(open() > config.client_pressure_threshold());
        if open() >= limit {
            self.open.retain(|client| !client.task.is_finished());
        }
        open() < limit || self.evict()
    }

    fn evict(&mut self) -> bool {
        let now = Instant::now();
        let candidates = self
            .open
            .iter()
            .enumerate()
            .filter_map(|(index, client)| Some((client.eviction_rank(now)?, index)));
        let Some((_, index)) = candidates.min() else { return false };
        self.open.swap_remove(index).close();
        true
    }

    /// Closes expired connections, and marks those on which the next request has begun to arrive.
    fn sweep(&mut self) {
        let now = Instant::now();
        let idle = if self.under_pressure.get() { MIN_IDLE } else { MAX_IDLE };
        self.open.retain(|client| {
            if let Phase::Idle(since) = client.phase.get() {
                let read_at = client.socket.last_read_at();
                if read_at > since {
                    client.phase.set(Phase::Receiving(read_at));
                }
            }
            let expired = client.is_expired(now, idle);
            if expired {
                client.close();
            } else if self.shutdown.get().is_some() && client.can_close(now) {
                client.close.notify_one();
            }
            !expired && !client.task.is_finished()
        });
        self.open.shrink_to(2 * self.open.len());
    }

    /// Closes the connections that can be closed, and returns whether none is left.
    fn all_closed(&mut self) -> bool {
        self.sweep();
        self.open.is_empty()
    }

    fn serve(&mut self, stream: Stream) {
        if let Err(error) = stream.set_nodelay() {
            self.driver.log(&format!("setting TCP_NODELAY failed: {error}"));
        }
        let requests = Rc::<RequestTracker>::default();
        let socket = Socket::observed(stream, requests.clone());
        let phase = Rc::new(Cell::new(Phase::New(Instant::now())));
        let (driver, state, read) = (self.driver.clone(), phase.clone(), socket.clone());
        let (under_pressure, request_count) = (self.under_pressure.clone(), Cell::new(0));
        let shutdown = self.shutdown.clone();
        let service = service_fn(move |request| {
            let number = request_count.get() + 1;
            request_count.set(number);
            let source = RequestSource {
                socket: read.clone(),
                requests: requests.clone(),
                number,
                body_deadline: state.get().body_deadline(&read),
            };
            let (driver, state, reads) = (driver.clone(), state.clone(), read.read_count());
            let under_pressure = under_pressure.clone();
            let shutdown = shutdown.clone();
            async move {
                state.set(Phase::Open);
                let socket = source.socket.clone();
                let mut response = respond(driver, request, source, &shutdown).await;
                // Clients that send one request each and keep their connections leave none for clients that reuse
                // theirs. A response with `Connection: close` closes at once, and without crossing a further request.
                if number == 1 && under_pressure.get() || shutdown.get().is_some() {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                // Input that was read meanwhile may be the beginning of the next request.
                let now = Instant::now();
                state.set(if socket.read_count() == reads {
                    Phase::Idle(now)
                } else {
                    Phase::Receiving(now)
                });
                Ok::<_, Infallible>(response)
            }
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
                _ = &mut connection => return,
                () = closing.notified() => connection.as_mut().graceful_shutdown(),
            }
            let _ = connection.await;
        });
        // Already accepted, so it is counted without a limit: where other shards accept too, there may be one too many
        // for a moment.
        let permit = self.driver.config().quota.acquire(Side::Clients, usize::MAX);
        self.open.push(Client { task, close, socket, phase, _permit: permit });
    }
}
