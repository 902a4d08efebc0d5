//! The application's connections: takes them in, closes those that are due or in the way, and stops.

use crate::requests::{answer, Arrival, Driver};
use crate::stop::{Ending, Schedule};
use hyper::header::{self, HeaderValue};
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use nettleworks_engine::http1::MAX_HEAD_BYTES;
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

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;
/// How often a stop looks whether all connections have ended.
const STOP_LOOK: Duration = Duration::from_millis(10);
/// How long a connection that has said nothing is kept in a stop: whoever opens one means to ask at once, and one that
/// is closed on it may find nobody else to ask.
const NEW_LEAST: Duration = Duration::from_millis(250);
/// Time for a whole request, however it trickles: from its connection's start, or from its own first byte.
/// Clients are owed an answer or a close within 3 s.
pub const WHOLE_TIME: Duration = Duration::from_millis(2_500);
/// How long a connection is kept on which no request is open. Clients may keep theirs for good and never use
/// them again; those that do use them come back far sooner.
const IDLE_MOST: Duration = Duration::from_secs(30);
/// A connection on which no request has been open for this long may be closed for another's sake; all such are
/// while many are open: clients that need a new one must find it at once.
const IDLE_LEAST: Duration = Duration::from_secs(2);
/// A client that means to ask has begun to by now, and has read its last answer.
const BEGUN: Duration = Duration::from_millis(100);
/// How often connections are looked through for those that are due.
const SWEEP: Duration = Duration::from_millis(50);
/// Pause after a failure to accept, which descriptors that are set free must end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Listens at an address. A proxy that was killed leaves connections behind there, which must not keep the
/// next one from starting. It is not yet bound to a runtime.
pub fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    bind_as(address, false)
}

/// Listens at an address so many times; the system spreads new connections over these (`SO_REUSEPORT`).
pub fn bind_all(address: SocketAddr, listeners: usize) -> io::Result<Vec<std::net::TcpListener>> {
    let first = bind_as(address, listeners > 1)?;
    // Port 0 is any that is free: the others take the same.
    let address = first.local_addr()?;
    let others = (1..listeners).map(|_| bind_as(address, true));
    std::iter::once(Ok(first)).chain(others).collect()
}

fn bind_as(address: SocketAddr, one_of_many: bool) -> io::Result<std::net::TcpListener> {
    let socket = Socket2::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    if one_of_many {
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
    serve_also(listener, None, driver, stop).await
}

/// The same; connections that others have accepted come by `more`.
pub async fn serve_also(
    listener: impl Into<Listener>,
    mut more: Option<mpsc::Receiver<Stream>>,
    driver: Driver,
    stop: impl Future<Output = ()>,
) -> Instant {
    let listener = listener.into();
    let ending = Ending::default();
    let mut clients = Clients { driver, ending: ending.clone(), open: Vec::new(), crowded: Rc::default() };
    let mut stop = pin!(stop);
    let mut doors = None;
    let mut sweeps = interval(SWEEP);
    sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let schedule = loop {
        let room = clients.make_room();
        // In this order, not in one drawn anew. What comes seldom is first: a crowd at the door must not keep it back.
        tokio::select! {
            biased;
            () = &mut stop, if doors.is_none() => {
                let schedule = Schedule::from(Instant::now(), &clients.driver.config().settings);
                ending.begin(schedule.answered);
                clients.sweep();
                doors = Some(schedule);
            }
            schedule = closing(doors) => break schedule,
            _ = sweeps.tick() => clients.sweep(),
            accepted = another(&mut more), if room => clients.serve(accepted),
            accepted = listener.accept(), if room => match accepted {
                Ok(stream) => {
                    clients.serve(stream);
                    // Those that ask at once are known from those that say nothing only when they are read.
                    yield_now().await;
                }
                Err(error) => {
                    clients.driver.log(&format!("accept: {error}"));
                    clients.evict();
                    sleep(ACCEPT_PAUSE).await;
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
    let left = timeout_at(schedule.over, async {
        while !clients.have_ended() {
            sleep(STOP_LOOK).await;
        }
        driver.wait_for_detached().await;
    });
    if left.await.is_err() {
        let (open, lingering) = (clients.open.len(), driver.detached());
        driver.log(&format!("stopped with {open} connections and {lingering} calls that nobody waits for"));
    }
    schedule.over
}

/// When no new connection is taken any more.
async fn closing(schedule: Option<Schedule>) -> Schedule {
    match schedule {
        Some(schedule) => {
            sleep_until(schedule.doors).await;
            schedule
        }
        None => std::future::pending().await,
    }
}

/// The next connection that somebody else has accepted; none comes where nobody does.
async fn another(more: &mut Option<mpsc::Receiver<Stream>>) -> Stream {
    if let Some(accepted) = more {
        if let Some(stream) = accepted.recv().await {
            return stream;
        }
        *more = None;
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
    Begun(Instant),
    /// A request is open.
    Open,
}

impl Phase {
    /// By when the request that comes now must be whole.
    fn whole_by(self, socket: &Socket) -> Instant {
        match self {
            Phase::New(since) | Phase::Begun(since) => since + WHOLE_TIME,
            Phase::Idle(_) | Phase::Open => socket.last_read_at() + WHOLE_TIME,
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
    _counted: Option<ConnectionPermit>,
}

impl Client {
    /// Whether its time is up; one with no request open has `idle`.
    fn is_due(&self, now: Instant, idle: Duration) -> bool {
        match self.phase.get() {
            Phase::New(since) | Phase::Begun(since) => now >= since + WHOLE_TIME,
            // What has come and was not read may be a whole request.
            Phase::Idle(since) => now >= since + idle && self.socket.has_no_pending_input(),
            // hyper does not look for the end of what it still has to read a further request from.
            Phase::Open => self.socket.is_closed_by_peer(),
        }
    }

    /// Whether it may be closed by a stop: nothing is asked on it, all that was answered is written, and whoever may
    /// be asking now can come again.
    fn may_leave(&self, now: Instant) -> bool {
        let silent = match self.phase.get() {
            Phase::New(since) => self.socket.read_count() == 0 && now >= since + NEW_LEAST,
            Phase::Idle(_) => !self.socket.is_write_blocked(),
            Phase::Begun(_) | Phase::Open => false,
        };
        // What has come and was not read may be a whole request.
        silent && self.socket.has_no_pending_input()
    }

    /// How well it can be spared, those with the least number first; `None`: not at all. A new one is given time
    /// to ask, else each of a crowd would be closed for the next before its request is there.
    fn spare(&self, now: Instant) -> Option<(u8, Instant)> {
        let (rank, since) = match self.phase.get() {
            Phase::New(since) | Phase::Begun(since) => (0, since),
            Phase::Idle(since) if now >= since + IDLE_LEAST => (1, since),
            // Its answer is not all written.
            Phase::Idle(_) if self.socket.is_write_blocked() => return None,
            // Those that come back keep theirs before those that have asked once, and may never again.
            Phase::Idle(since) if self.socket.read_count() <= 1 => (2, since),
            Phase::Idle(since) => (3, since),
            Phase::Open => return None,
        };
        // What has come and was not read may be a whole request.
        let idle = rank > 0 && !self.socket.has_no_pending_input();
        (now >= since + BEGUN && !idle).then_some((rank, since))
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
    ending: Ending,
    open: Vec<Client>,
    /// More are open than half of what clients may hold for requests.
    crowded: Rc<Cell<bool>>,
}

impl Clients {
    /// Whether one more connection may be open. At the limit one is closed for it: first those that never asked,
    /// then the one that has been idle the longest. Clients that keep connections and say nothing must not keep
    /// others out.
    fn make_room(&mut self) -> bool {
        let config = self.driver.config();
        let open = || config.quota.open(Side::Clients);
        let most = config.connections_to_clients();
        self.crowded.set(open() > config.client_pressure_threshold());
        if open() >= most {
            self.open.retain(|client| !client.task.is_finished());
        }
        open() < most || self.evict()
    }

    fn evict(&mut self) -> bool {
        let now = Instant::now();
        let spare = self.open.iter().enumerate().filter_map(|(place, c)| Some((c.spare(now)?, place)));
        let Some((_, place)) = spare.min() else { return false };
        self.open.swap_remove(place).close();
        true
    }

    /// Closes what is due, and notes whose next request has begun to come.
    fn sweep(&mut self) {
        let now = Instant::now();
        let idle = if self.crowded.get() { IDLE_LEAST } else { IDLE_MOST };
        self.open.retain(|client| {
            if let Phase::Idle(since) = client.phase.get() {
                let read_at = client.socket.last_read_at();
                if read_at > since {
                    client.phase.set(Phase::Begun(read_at));
                }
            }
            let due = client.is_due(now, idle);
            if due {
                client.close();
            } else if self.ending.at().is_some() && client.may_leave(now) {
                client.close.notify_one();
            }
            !due && !client.task.is_finished()
        });
        self.open.shrink_to(2 * self.open.len());
    }

    /// Whether all have ended; closes those that may.
    fn have_ended(&mut self) -> bool {
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
        let (crowded, asked) = (self.crowded.clone(), Rc::new(Cell::new(false)));
        let ending = self.ending.clone();
        let service = service_fn(move |request| {
            let arrival = Arrival { whole_by: state.get().whole_by(&read), socket: read.clone() };
            let (driver, state, reads) = (driver.clone(), state.clone(), read.read_count());
            let (crowded, first) = (crowded.clone(), !asked.replace(true));
            let ending = ending.clone();
            async move {
                state.set(Phase::Open);
                let socket = arrival.socket.clone();
                let mut answer = answer(driver, request, arrival, &ending).await;
                // Many who ask once and keep their connections leave none for those who ask again. An answer that
                // says so closes without crossing a request, and at once.
                if first && crowded.get() || ending.at().is_some() {
                    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                // What was read meanwhile may be half of the next request.
                let now = Instant::now();
                state.set(if socket.read_count() == reads { Phase::Idle(now) } else { Phase::Begun(now) });
                Ok::<_, Infallible>(answer)
            }
        });
        // The sweeps see to all times, so that none can be had twice by being slow in another way.
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(socket.clone(), service);
        let close = Rc::new(Notify::new());
        let told = close.clone();
        let task = spawn_local(async move {
            let mut connection = pin!(connection);
            // A connection that breaks ends its request's waiting, which tells the module.
            tokio::select! {
                biased;
                _ = &mut connection => return,
                () = told.notified() => connection.as_mut().graceful_shutdown(),
            }
            let _ = connection.await;
        });
        // It is here: there may be one too many for a moment where others accept too.
        let counted = self.driver.config().quota.acquire(Side::Clients, usize::MAX);
        self.open.push(Client { task, close, socket, phase, _counted: counted });
    }
}
