//! The open connections of clients: which are served, closed, or evicted for others.

use crate::client_connection::{ClientConnection, ConnectionContext, EvictionRank, RoomRequest};
use crate::requests::Driver;
use crate::shutdown::ShutdownDeadline;
use nettleworks_engine::memory::Purpose;
use nettleworks_engine::net::Stream;
use nettleworks_engine::quota::Side;
use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use tokio::time::Instant;

/// How many busy connections close at a time where new ones wait.
const ROOM_BATCH: usize = 16;
/// Part of the connections, as a divisor, beyond which those that are receiving a request make room for new ones.
const RECEIVING_SHARE: usize = 4;

/// Why connections of clients were closed by the proxy, since the start.
#[derive(Debug, Default)]
struct CloseCounts {
    /// For a new connection, at the limit of their number.
    evicted: u64,
    /// Because they were idle or slow for too long, or their clients had closed them.
    expired: u64,
    /// For the memory that another request or response needed.
    shed: u64,
}

impl fmt::Display for CloseCounts {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let CloseCounts { evicted, expired, shed } = self;
        write!(out, "{evicted} evicted, {expired} expired, {shed} shed for memory")
    }
}

/// The open connections of clients.
pub struct Clients {
    driver: Driver,
    /// Once a shutdown has begun, connections are closed as soon as no request is open on them.
    shutdown: ShutdownDeadline,
    open: Vec<ClientConnection>,
    /// More are open than half of what clients may hold for requests.
    under_pressure: Rc<Cell<bool>>,
    /// Most of them are idle.
    mostly_idle: Rc<Cell<bool>>,
    /// New connections wait for one of those that are open to close.
    room: Rc<RoomRequest>,
    closed: CloseCounts,
}

impl Clients {
    /// No connection yet.
    pub fn new(driver: Driver, shutdown: ShutdownDeadline) -> Clients {
        let (open, under_pressure, mostly_idle, room, closed) = Default::default();
        Clients { driver, shutdown, open, under_pressure, mostly_idle, room, closed }
    }

    /// The number of open connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Why connections were closed, for the log.
    pub fn describe_closed(&self) -> String {
        format!("connections of clients closed: {}", self.closed)
    }

    /// Whether one more connection may be opened. At the limit one is evicted for it: first one that never sent a
    /// request, then the one that has been idle the longest. Clients that keep silent connections must not lock out
    /// others.
    pub fn make_room(&mut self) -> bool {
        let config = self.driver.config();
        let open = || config.quota.open(Side::Clients);
        let limit = config.connections_to_clients();
        self.under_pressure.set(open() > config.client_pressure_threshold());
        if open() >= limit {
            self.open.retain(|client| !client.is_finished());
        }
        let has_room = open() < limit || self.evict() && !self.holds_more_than_share();
        let is_full_of_busy = !has_room && !self.is_crowded_by_receiving();
        self.room.set_wanted(if is_full_of_busy { ROOM_BATCH } else { 0 });
        has_room
    }

    /// Whether one of the last connections before a shutdown may be opened.
    pub fn has_room_at_shutdown(&mut self) -> bool {
        let config = self.driver.config();
        self.open.retain(|client| !client.is_finished());
        config.quota.open(Side::Clients) < config.connections_to_clients_at_shutdown() || self.evict()
    }

    /// Whether this engine has more connections than its share of those of the process, so that what it closes is for
    /// the others.
    fn holds_more_than_share(&self) -> bool {
        self.open.len() > self.driver.config().connections_to_clients_of_engine()
    }

    /// Waits until a connection has ended by itself.
    pub fn connection_ended(&self) -> impl Future<Output = ()> {
        let room = self.room.clone();
        async move { room.connection_ended().await }
    }

    /// Closes a connection in favor of a new one; `false` if there is none that may be closed.
    pub fn evict(&mut self) -> bool {
        let now = Instant::now();
        let candidates = self
            .open
            .iter()
            .enumerate()
            .filter_map(|(index, client)| Some((client.eviction_rank(now)?, index)));
        let Some(((rank, _), index)) = candidates.min() else { return false };
        if rank >= EvictionRank::UsedOnce && self.is_crowded_by_receiving() {
            return false;
        }
        self.open.swap_remove(index).close();
        self.closed.evicted += 1;
        true
    }

    /// Whether so many connections are receiving a request that the next of them soon makes room.
    fn is_crowded_by_receiving(&self) -> bool {
        let receiving = self.open.iter().filter(|client| client.is_receiving()).count();
        receiving * RECEIVING_SHARE > self.open.len()
    }

    /// Closes expired connections and those that hold memory that others wait for, and marks those on which the next
    /// request has begun to arrive.
    pub fn sweep(&mut self) {
        let now = Instant::now();
        let (under_pressure, shutting_down) = (self.under_pressure.get(), self.shutdown.get().is_some());
        let expired = &mut self.closed.expired;
        self.open.retain(|client| {
            client.update_phase();
            let is_expired = client.is_expired(now, under_pressure);
            if is_expired {
                client.close();
                *expired += 1;
            } else if shutting_down && client.can_close(now) {
                client.close_gracefully();
            }
            !is_expired && !client.is_finished()
        });
        self.open.shrink_to(2 * self.open.len());
        let idle = self.open.iter().filter(|client| client.is_idle()).count();
        self.mostly_idle.set(2 * idle > self.open.len());
        for purpose in [Purpose::Requests, Purpose::Responses] {
            self.shed(purpose, now);
        }
    }

    /// Closes the connections that have held memory of this purpose for the longest, until as much of it is free as
    /// others wait for.
    fn shed(&mut self, purpose: Purpose, now: Instant) {
        let memory = &self.driver.config().memory;
        let awaited = memory.awaited(purpose);
        if awaited == 0 {
            return;
        }
        let mut holders: Vec<_> = (0..)
            .zip(&self.open)
            .filter_map(|(index, client)| {
                let (since, bytes) = client.shedding_candidate(purpose, now)?;
                Some((since, index, bytes))
            })
            .collect();
        holders.sort_unstable();
        let mut freed = 0;
        for (_, index, bytes) in holders {
            if freed >= awaited {
                break;
            }
            let client: &ClientConnection = &self.open[index];
            client.close();
            memory.count_refusal(purpose);
            self.closed.shed += 1;
            freed += bytes;
        }
    }

    /// Closes the connections that can be closed, and returns whether none is left.
    pub fn all_closed(&mut self) -> bool {
        self.sweep();
        self.open.is_empty()
    }

    /// Serves a connection that was accepted.
    pub fn serve(&mut self, stream: Stream) {
        if let Err(error) = stream.set_nodelay() {
            self.driver.log(&format!("setting TCP_NODELAY failed: {error}"));
        }
        let context = ConnectionContext {
            driver: self.driver.clone(),
            shutdown: self.shutdown.clone(),
            under_pressure: self.under_pressure.clone(),
            mostly_idle: self.mostly_idle.clone(),
            room: self.room.clone(),
        };
        self.open.push(ClientConnection::serve(context, stream));
    }
}
