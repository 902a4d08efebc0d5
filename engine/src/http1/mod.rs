//! The HTTP/1.1 implementation of [`Protocol`]: forwarded requests, and the pool of connections to hosts.

mod connection;
mod exchange;

pub use crate::dial::BoxError;
pub use exchange::{MAX_BODY_BYTES, MAX_HEAD_BYTES};

use crate::config::Config;
use crate::meter::Meter;
use crate::protocol::{AttemptEnd, Connections, Protocol, Target};
use crate::quota::{ConnectionPermit, Side};
use connection::{Connection, OpenError};
use exchange::{exchange, OutgoingBody};
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use nettleworks_policy::{Outcome, ServerId};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Marks a response that replays the response to an earlier request with the same idempotency key.
const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");
/// Share of the hosts' idle timeout after which an idle connection is no longer used.
const IDLE_TIMEOUT_SHARE: f64 = 0.9;

/// Idle time after which a connection is preferred for the next request. A faulty host may send a second response some
/// milliseconds after the first, which would be parsed as the response to the next request on the connection; by this
/// time it has arrived and is detected.
const SETTLE_TIME: Duration = Duration::from_millis(10);

/// A client's request as it is forwarded to hosts.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// The request method.
    pub method: Method,
    /// The path and query.
    pub target: Uri,
    /// The headers, without the hop-by-hop headers of the client's connection.
    pub headers: HeaderMap,
    /// The body, at most [`MAX_BODY_BYTES`] bytes.
    pub body: Bytes,
}

impl ForwardedRequest {
    /// The request for one attempt, which is abandoned at `deadline`.
    fn for_attempt(&self, deadline: Instant, meter: &Meter) -> Request<OutgoingBody> {
        let mut request = Request::new(OutgoingBody::new(self.body.clone(), meter));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.headers.clone();
        let time_left = deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        request.headers_mut().insert("x-budget-ms", HeaderValue::from(time_left.max(1)));
        request
    }
}

/// The idle connections to a host that takes requests, with the time of their last use, the most recently used last.
struct HostConnections {
    address: SocketAddr,
    idle: Vec<(Instant, Connection)>,
}

/// How many of the connections, which are in the order of their last use, have been idle for [`SETTLE_TIME`].
fn settled_count<T>(idle: &[(Instant, T)], now: Instant) -> usize {
    idle.partition_point(|(since, _)| now.saturating_duration_since(*since) >= SETTLE_TIME)
}

/// The connections to all hosts.
struct Pool {
    config: Rc<Config>,
    /// Ordered, so that simulated runs are reproducible: of two connections of the same age the same one is closed.
    hosts: BTreeMap<ServerId, HostConnections>,
    /// Counts open connections to hosts: one reference for each, besides this one.
    slots: Rc<()>,
    counts: Connections,
}

impl Pool {
    /// Reserves a slot for one more connection to a host. If the limit is reached, closes the oldest idle connection;
    /// `None` if there is none to close.
    fn slot(&mut self) -> Option<Slot> {
        let max = self.config.connections_to_hosts();
        let permit = self.config.quota.acquire(Side::Hosts, max);
        let permit = permit.or_else(|| {
            let oldest = self.hosts.values_mut().filter(|host| !host.idle.is_empty());
            let Some(host) = oldest.min_by_key(|host| host.idle[0].0) else {
                self.config.quota.report_shortage();
                return None;
            };
            drop(host.idle.remove(0));
            self.config.quota.acquire(Side::Hosts, max)
        });
        Some(Slot { _engine_count: self.slots.clone(), _permit: permit? })
    }
}

/// Counts one open connection for its engine and for the process.
#[derive(Debug)]
struct Slot {
    _engine_count: Rc<()>,
    _permit: ConnectionPermit,
}

#[cfg(test)]
impl Slot {
    fn for_test() -> Slot {
        let permit = crate::quota::Quota::default().acquire(Side::Hosts, 1);
        Slot { _engine_count: Rc::default(), _permit: permit.expect("none is open") }
    }
}

/// HTTP/1.1 over TCP with persistent connections and without pipelining. Clones share their connections.
#[derive(Clone)]
pub struct Http1(Rc<RefCell<Pool>>);

impl Http1 {
    /// A pool without connections.
    pub fn new(config: &Rc<Config>) -> Http1 {
        let (hosts, slots, counts) = Default::default();
        Http1(Rc::new(RefCell::new(Pool { config: config.clone(), hosts, slots, counts })))
    }

    fn count(&self, count: impl FnOnce(&mut Connections)) {
        count(&mut self.0.borrow_mut().counts);
    }

    /// Returns an idle connection to the pool, or closes it if its host takes no more requests at that address.
    fn return_to_pool(&self, target: Target, connection: Connection) {
        let mut pool = self.0.borrow_mut();
        if let Some(host) = pool.hosts.get_mut(&target.server).filter(|host| host.address == target.address) {
            host.idle.push((Instant::now(), connection));
        }
    }

    /// Runs one attempt, on a reused connection if there is one, else on a new one.
    async fn run(
        self,
        target: Target,
        reused: Option<Connection>,
        request: Rc<ForwardedRequest>,
        deadline: Instant,
        meter: Meter,
    ) -> AttemptEnd<Response<Bytes>> {
        if let Some(connection) = reused {
            let end = exchange(connection, request.for_attempt(deadline, &meter), &meter).await;
            let broken = end.as_ref().is_none_or(|(end, _)| end.outcome == Outcome::Stale);
            self.count(|counts| counts.broken_reuse += u64::from(broken));
            if let Some((end, connection)) = end {
                connection.into_iter().for_each(|connection| self.return_to_pool(target, connection));
                return end;
            }
        }
        // Nothing has been written yet, so the request is not sent twice. The future is boxed because most attempts do
        // not need it, and it would enlarge the task of every attempt.
        Box::pin(self.run_on_new(target, request, deadline, meter)).await
    }

    /// Runs one attempt on a new connection.
    async fn run_on_new(
        self,
        target: Target,
        request: Rc<ForwardedRequest>,
        deadline: Instant,
        meter: Meter,
    ) -> AttemptEnd<Response<Bytes>> {
        let Some(slot) = self.0.borrow_mut().slot() else {
            return AttemptEnd::without_answer(Outcome::NotSent);
        };
        let connect_timeout = self.0.borrow().config.connect_timeout;
        let write_deadline = meter.write_deadline();
        let connect_timeout = write_deadline
            .map_or(connect_timeout, |by| connect_timeout.min(by.saturating_duration_since(Instant::now())));
        let opened = Connection::open(target.address, connect_timeout, slot).await;
        self.count(|counts| *if opened.is_ok() { &mut counts.opened } else { &mut counts.open_failed } += 1);
        let end = match opened {
            Ok(connection) => exchange(connection, request.for_attempt(deadline, &meter), &meter).await,
            Err(OpenError::Local) => return AttemptEnd::without_answer(Outcome::NotSent),
            Err(OpenError::Remote) => None,
        };
        let Some((end, connection)) = end else {
            // A connection that was established too late is not the host's failure.
            let too_late = meter.is_past_write_deadline() || meter.list_has_expired();
            let outcome = if too_late { Outcome::NotSent } else { Outcome::NoConnection };
            return AttemptEnd::without_answer(outcome);
        };
        connection.into_iter().for_each(|connection| self.return_to_pool(target, connection));
        end
    }
}

impl Protocol for Http1 {
    type Id = HeaderValue;
    type Request = ForwardedRequest;
    type Answer = Response<Bytes>;

    fn fingerprint_parts(request: &ForwardedRequest) -> Vec<&[u8]> {
        let target = request.target.path_and_query().map_or("", |target| target.as_str());
        vec![request.method.as_str().as_bytes(), target.as_bytes(), &request.body]
    }

    fn replay_copy(answer: &Response<Bytes>) -> (usize, Response<Bytes>) {
        let head_bytes: usize =
            answer.headers().iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        let mut replayed = answer.clone();
        replayed.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
        (head_bytes + answer.body().len(), replayed)
    }

    fn attempt(
        &self,
        target: Target,
        request: Rc<ForwardedRequest>,
        deadline: Instant,
        meter: &Meter,
    ) -> impl Future<Output = AttemptEnd<Response<Bytes>>> + 'static {
        let mut pool = self.0.borrow_mut();
        // The host may close an idle connection just when a request is sent on it, so connections close to its idle
        // timeout and those closed meanwhile are not used.
        let max_idle_time = pool.config.conn_idle.mul_f64(IDLE_TIMEOUT_SHARE);
        let host = pool.hosts.get_mut(&target.server).filter(|host| host.address == target.address);
        let reused = host.and_then(|host| {
            // Checking a connection makes a system call, so only the one to be used is checked.
            let is_usable =
                |entry: &(Instant, Connection)| entry.0.elapsed() < max_idle_time && entry.1.is_ready();
            let mut unsettled = host.idle.split_off(settled_count(&host.idle, Instant::now()));
            let found = std::iter::from_fn(|| host.idle.pop()).find(&is_usable);
            let found = found.or_else(|| std::iter::from_fn(|| unsettled.pop()).find(&is_usable));
            host.idle.append(&mut unsettled);
            found.map(|(_, connection)| connection)
        });
        // Boxed, because the tasks and timeouts that wrap the future would copy it each time it is moved.
        Box::pin(self.clone().run(target, reused, request, deadline, meter.clone()))
    }

    fn host_ready(&self, target: Target) {
        let mut pool = self.0.borrow_mut();
        let host = pool
            .hosts
            .entry(target.server)
            .or_insert(HostConnections { address: target.address, idle: Vec::new() });
        if host.address != target.address {
            *host = HostConnections { address: target.address, idle: Vec::new() };
        }
    }

    fn host_retired(&self, server: ServerId) {
        self.0.borrow_mut().hosts.remove(&server);
    }

    fn sweep(&self) {
        let mut pool = self.0.borrow_mut();
        let max_idle_time = pool.config.conn_idle.mul_f64(IDLE_TIMEOUT_SHARE);
        // Connections closed by their hosts only occupy a file descriptor.
        pool.hosts.values_mut().for_each(|host| {
            host.idle.retain(|(since, connection)| since.elapsed() < max_idle_time && connection.is_ready());
        });
        // Another engine of the process needs connections and has no idle one to close: close half of each host's.
        if pool.config.quota.take_shortage() {
            pool.hosts.values_mut().for_each(|host| drop(host.idle.drain(..host.idle.len().div_ceil(2))));
        }
    }

    fn reload(&self, config: &Rc<Config>) {
        self.0.borrow_mut().config = config.clone();
    }

    fn connections(&self) -> Connections {
        let pool = self.0.borrow();
        let idle = pool.hosts.values().map(|host| host.idle.len()).sum();
        Connections { open: Rc::strong_count(&pool.slots) - 1, idle, ..pool.counts }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_connection_that_has_just_answered_is_reused_last() {
        let start = Instant::now();
        let idle: Vec<_> = [0, 5, 6, 14].map(|ms| (start + Duration::from_millis(ms), ())).into();
        let at = |ms| settled_count(&idle, start + Duration::from_millis(ms));
        assert_eq!([at(0), at(9), at(10), at(15), at(16), at(23), at(24)], [0, 0, 1, 2, 3, 3, 4]);
    }
}
