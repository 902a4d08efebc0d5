//! Accepts the application's connections, and closes them gracefully at a shutdown.

use crate::clients::Clients;
use crate::requests::Driver;
use crate::shutdown::{ShutdownDeadline, ShutdownSchedule};
use nettleworks_engine::net::{Listener, Stream};
use socket2::{Domain, Protocol, Socket as Socket2, Type};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::{interval, sleep, sleep_until, timeout, timeout_at, Instant, MissedTickBehavior};

pub use crate::client_connection::REQUEST_READ_TIMEOUT;

/// Length of the listener's queue of connections that wait to be accepted.
const BACKLOG: i32 = 4_096;
/// How often a shutdown checks whether all connections have ended.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How often the connections are checked for those that have to be closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// How often a connection to evict is looked for while none may be.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long a shutdown accepts what waits in the listener's queue.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(300);
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
    let mut clients = Clients::new(driver.clone(), shutdown.clone());
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
                let schedule = ShutdownSchedule::from(Instant::now(), &driver.config().settings);
                shutdown.set(schedule.respond_by);
                clients.sweep();
                shutting_down = Some(schedule);
            }
            schedule = accept_period_over(shutting_down) => break schedule,
            _ = sweeps.tick() => clients.sweep(),
            () = clients.connection_ended(), if !has_room => {}
            () = sleep(ROOM_POLL_INTERVAL), if !has_room => {}
            stream = next_accepted(&mut accepted), if has_room => clients.serve(stream),
            result = listener.accept(), if has_room => match result {
                Ok(stream) => {
                    clients.serve(stream);
                    // Only a read tells a connection with a request from a silent one.
                    yield_now().await;
                }
                Err(error) => {
                    driver.log(&format!("accepting a connection failed: {error}"));
                    clients.evict();
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    };
    accept_queue(&listener, &mut clients, schedule.accept_until + QUEUE_TIMEOUT).await;
    drop(listener);
    // A client that has sent half a request or does not read its response must not keep the process from exiting, nor
    // must detached calls.
    let ended = timeout_at(schedule.exit_by, async {
        while !clients.all_closed() {
            sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
        driver.wait_for_detached().await;
    });
    if ended.await.is_err() {
        let (open, detached) = (clients.count(), driver.detached());
        driver.log(&format!("stopped with {open} open connections and {detached} detached calls"));
    }
    driver.log(&clients.describe_closed());
    schedule.exit_by
}

/// Accepts what is left in the listener's queue, as there is room for it: closing the listener would reset it.
async fn accept_queue(listener: &Listener, clients: &mut Clients, until: Instant) {
    while Instant::now() < until {
        if clients.has_room_at_shutdown() {
            let Ok(Ok(stream)) = timeout(Duration::ZERO, listener.accept()).await else { return };
            clients.serve(stream);
        } else {
            sleep(ROOM_POLL_INTERVAL).await;
            clients.sweep();
        }
    }
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
