//! The application's connections: takes them in, closes those that are due or in the way, and stops.

use crate::requests::{respond, Driver, RequestSource};
use crate::shutdown::{ShutdownDeadline, ShutdownSchedule};
use hyper::header::{self, HeaderValue};
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use nettleworks_engine::http1::HEAD_MOST;
use nettleworks_engine::net::{Listener, Stream};
use nettleworks_engine::quota::{Counted, Side};
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

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;
/// How often a stop looks whether all connections have ended.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long a connection that has said nothing is kept in a stop: whoever opens one means to ask at once, and one that
/// is closed on it may find nobody else to ask.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(250);
/// Time for a whole request, however it trickles: from its connection's start, or from its own first byte.
/// Clients are owed an answer or a close within 3 s.
pub const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a connection is kept on which no request is open. Clients may keep theirs for good and never use
/// them again; those that do use them come back far sooner.
const MAX_IDLE: Duration = Duration::from_secs(30);
/// A connection on which no request has been open for this long may be closed for another's sake; all such are
/// while many are open: clients that need a new one must find it at once.
const MIN_IDLE: Duration = Duration::from_secs(2);
/// A client that means to ask has begun to by now, and has read its last answer.
const REQUEST_START_GRACE: Duration = Duration::from_millis(100);
/// How often connections are looked through for those that are due.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after a failure to accept, which descriptors that are set free must end.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Listens at an address. A proxy that was killed leaves connections behind there, which must not keep the
/// next one from starting. It is not yet bound to a runtime.
pub fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    bind_socket(address, false)
}

/// Listens at an address so many times; the system spreads new connections over these (`SO_REUSEPORT`).
pub fn bind_all(address: SocketAddr, listeners: usize) -> io::Result<Vec<std::net::TcpListener>> {
    let first = bind_socket(address, listeners > 1)?;
    // Port 0 is any that is free: the others take the same.
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

/// As [`bind`], for the runtime that this is called from.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::from_std(bind(address)?)
}

/// Serves until `stop` is done, and then goes on in this order, by the times of [`Schedule`]: connections on which
/// nothing is asked are closed at once, while new ones are still taken, so that a request that crosses its close has
/// where to come again; each answer says that its connection closes; then no new connection is taken; and calls that
/// have no answer when the process must end get their last one then. Returns when no connection is left, and by that
/// moment in any case, which it gives.
pub async fn serve(listener: impl Into<Listener>, driver: Driver, stop: impl Future<Output = ()>) -> Instant {
    serve_with_accepted(listener, None, driver, stop).await
}

/// The same; connections that others have accepted come by `more`.
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
        // In this order, not in one drawn anew. What comes seldom is first: a crowd at the door must not keep it back.
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
                    // Those that ask at once are known from those that say nothing only when they are read.
                    yield_now().await;
                }
                Err(error) => {
                    clients.driver.log(&format!("accept: {error}"));
                    clients.evict();
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    };
    // What the machine has accepted by now has been taken: closing the listener would reset it.
    while clients.make_room() {
        let Ok(Ok(stream)) = timeout(Duration::ZERO, listener.accept()).await else { break };
        clients.serve(stream);
    }
    drop(listener);
    // Whoever has sent half a request by then, or does not read its answer, must not keep the process; neither must
    // calls that nobody waits for.
    let driver = clients.driver.clone();
    let ended = timeout_at(schedule.exit_by, async {
        while !clients.all_closed() {
            sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
        driver.settled().await;
    });
    if ended.await.is_err() {
        let (open, detached) = (clients.open.len(), driver.lingering());
        driver.log(&format!("stopped with {open} connections and {detached} calls that nobody waits for"));
    }
    schedule.exit_by
}

/// When no new connection is taken any more.
async fn accept_period_over(schedule: Option<ShutdownSchedule>) -> ShutdownSchedule {
    match schedule {
        Some(schedule) => {
            sleep_until(schedule.accept_until).await;
            schedule
        }
        None => std::future::pending().await,
    }
}

/// The next connection that somebody else has accepted; none comes where nobody does.
async fn next_accepted(accepted: &mut Option<mpsc::Receiver<Stream>>) -> Stream {
    if let Some(streams) = accepted {
        if let Some(stream) = streams.recv().await {
            return stream;
        }
        *accepted = None;
    }
    std::future::pending().await
}

/// What a client's connection is at, and since when.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Its first request has not come whole.
    New(Instant),
    /// No request is open.
    Idle(Instant),
    /// A further request has begun to come.
    Receiving(Instant),
    /// A request is open.
    Open,
}

impl Phase {
    /// By when the request that comes now must be whole.
    fn body_deadline(self, socket: &Socket) -> Instant {
        match self {
            Phase::New(since) | Phase::Receiving(since) => since + REQUEST_READ_TIMEOUT,
            Phase::Idle(_) | Phase::Open => socket.read_at() + REQUEST_READ_TIMEOUT,
        }
    }
}

/// A client's connection.
struct Client {
    task: JoinHandle<()>,
    /// Told: it closes as soon as its answer, if it has one, is written.
    close: Rc<Notify>,
    socket: Socket,
    phase: Rc<Cell<Phase>>,
    _permit: Option<Counted>,
}

impl Client {
    /// Whether its time is up; one with no request open has `idle`.
    fn is_expired(&self, now: Instant, idle: Duration) -> bool {
        match self.phase.get() {
            Phase::New(since) | Phase::Receiving(since) => now >= since + REQUEST_READ_TIMEOUT,
            // What has come and was not read may be a whole request.
            Phase::Idle(since) => now >= since + idle && self.socket.is_quiet(),
            // hyper does not look for the end of what it still has to read a further request from.
            Phase::Open => self.socket.is_left(),
        }
    }

    /// Whether it may be closed by a stop: nothing is asked on it, all that was answered is written, and whoever may
    /// be asking now can come again.
    fn can_close(&self, now: Instant) -> bool {
        let is_silent = match self.phase.get() {
            Phase::New(since) => self.socket.reads() == 0 && now >= since + NEW_CONNECTION_GRACE,
            Phase::Idle(_) => !self.socket.is_blocked(),
            Phase::Receiving(_) | Phase::Open => false,
        };
        // What has come and was not read may be a whole request.
        is_silent && self.socket.is_quiet()
    }

    /// How well it can be spared, those with the least number first; `None`: not at all. A new one is given time
    /// to ask, else each of a crowd would be closed for the next before its request is there.
    fn eviction_rank(&self, now: Instant) -> Option<(u8, Instant)> {
        let (rank, since) = match self.phase.get() {
            Phase::New(since) | Phase::Receiving(since) => (0, since),
            Phase::Idle(since) if now >= since + MIN_IDLE => (1, since),
            // Its answer is not all written.
            Phase::Idle(_) if self.socket.is_blocked() => return None,
            // Those that come back keep theirs before those that have asked once, and may never again.
            Phase::Idle(since) if self.socket.reads() <= 1 => (2, since),
            Phase::Idle(since) => (3, since),
            Phase::Open => return None,
        };
        // What has come and was not read may be a whole request.
        let has_input = rank > 0 && !self.socket.is_quiet();
        (now >= since + REQUEST_START_GRACE && !has_input).then_some((rank, since))
    }

    /// Closes it; its descriptor is free when this returns.
    fn close(&self) {
        self.socket.close();
        self.task.abort();
    }
}

/// The connections of clients.
struct Clients {
    driver: Driver,
    /// Once the process ends connections are closed as soon as nothing is asked on them.
    shutdown: ShutdownDeadline,
    open: Vec<Client>,
    /// More are open than half of what clients may hold for requests.
    under_pressure: Rc<Cell<bool>>,
}

impl Clients {
    /// Whether one more connection may be open. At the limit one is closed for it: first those that never asked,
    /// then the one that has been idle the longest. Clients that keep connections and say nothing must not keep
    /// others out.
    fn make_room(&mut self) -> bool {
        let config = self.driver.config();
        let open = || config.quota.open(Side::Clients);
        let limit = config.connections_to_clients();
        self.under_pressure.set(open() > config.crowded_from());
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

    /// Closes what is due, and notes whose next request has begun to come.
    fn sweep(&mut self) {
        let now = Instant::now();
        let idle = if self.under_pressure.get() { MIN_IDLE } else { MAX_IDLE };
        self.open.retain(|client| {
            if let Phase::Idle(since) = client.phase.get() {
                let read_at = client.socket.read_at();
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

    /// Whether all have ended; closes those that may.
    fn all_closed(&mut self) -> bool {
        self.sweep();
        self.open.is_empty()
    }

    fn serve(&mut self, stream: Stream) {
        if let Err(error) = stream.set_nodelay() {
            self.driver.log(&format!("nodelay: {error}"));
        }
        let socket = Socket::new(stream);
        let phase = Rc::new(Cell::new(Phase::New(Instant::now())));
        let (driver, state, read) = (self.driver.clone(), phase.clone(), socket.clone());
        let (under_pressure, has_requested) = (self.under_pressure.clone(), Rc::new(Cell::new(false)));
        let shutdown = self.shutdown.clone();
        let service = service_fn(move |request| {
            let source =
                RequestSource { body_deadline: state.get().body_deadline(&read), socket: read.clone() };
            let (driver, state, reads) = (driver.clone(), state.clone(), read.reads());
            let (under_pressure, first) = (under_pressure.clone(), !has_requested.replace(true));
            let shutdown = shutdown.clone();
            async move {
                state.set(Phase::Open);
                let socket = source.socket.clone();
                let mut response = respond(driver, request, source, &shutdown).await;
                // Many who ask once and keep their connections leave none for those who ask again. An answer that
                // says so closes without crossing a request, and at once.
                if first && under_pressure.get() || shutdown.get().is_some() {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                // What was read meanwhile may be half of the next request.
                let now = Instant::now();
                state.set(if socket.reads() == reads { Phase::Idle(now) } else { Phase::Receiving(now) });
                Ok::<_, Infallible>(response)
            }
        });
        // The sweeps see to all times, so that none can be had twice by being slow in another way.
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(HEAD_MOST)
            .serve_connection(socket.clone(), service);
        let close = Rc::new(Notify::new());
        let closing = close.clone();
        let task = spawn_local(async move {
            let mut connection = pin!(connection);
            // A connection that breaks ends its request's waiting, which tells the module.
            tokio::select! {
                biased;
                _ = &mut connection => return,
                () = closing.notified() => connection.as_mut().graceful_shutdown(),
            }
            let _ = connection.await;
        });
        // It is here: there may be one too many for a moment where others accept too.
        let permit = self.driver.config().quota.place(Side::Clients, usize::MAX);
        self.open.push(Client { task, close, socket, phase, _permit: permit });
    }
}
