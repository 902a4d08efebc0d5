//! HTTP/1.1 behind the driver's seam: what a call carries, and the connections that are kept to hosts.

mod connection;
mod exchange;

pub use crate::dial::BoxError;
pub use exchange::{BODY_MOST, HEAD_MOST};

use crate::config::Config;
use crate::meter::Meter;
use crate::protocol::{AttemptEnd, Connections, Protocol, Target};
use crate::quota::{ConnectionPermit, Side};
use connection::{Connection, OpenError};
use exchange::{exchange, Outgoing};
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

/// Marks an answer that was made for an earlier request with the same key.
const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");
/// Share of the time for which hosts keep an idle connection, after which it is no longer used.
const IDLE_PART: f64 = 0.9;

/// A second answer to a request may come some milliseconds after the first and would be taken for that of the next one
/// on its connection: one that has been idle for as long goes before one that has not. Whatever came by then shows.
const SETTLED: Duration = Duration::from_millis(10);

/// A client's request as hosts get it.
#[derive(Clone, Debug)]
pub struct Forward {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: Uri,
    /// Its headers, without those of the client's connection.
    pub headers: HeaderMap,
    /// Its body, [`BODY_MOST`] bytes at most.
    pub body: Bytes,
}

impl Forward {
    /// The request for one attempt, which is given up at `until`.
    fn request(&self, until: Instant, meter: &Meter) -> Request<Outgoing> {
        let mut request = Request::new(Outgoing::new(self.body.clone(), meter));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.headers.clone();
        let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
        request.headers_mut().insert("x-budget-ms", HeaderValue::from(left.max(1)));
        request
    }
}

/// A host that takes requests, and the idle connections to it, the most recently used last.
struct Kept {
    address: SocketAddr,
    idle: Vec<(Instant, Connection)>,
}

/// How many of these, in the order in which they were last used, have been idle for [`SETTLED`].
fn settled<T>(idle: &[(Instant, T)], now: Instant) -> usize {
    idle.partition_point(|(since, _)| now.saturating_duration_since(*since) >= SETTLED)
}

struct Pool {
    config: Rc<Config>,
    /// In an order of their own: of two connections as old the same is closed in each run.
    hosts: BTreeMap<ServerId, Kept>,
    /// One reference for each open connection to a host, and this one.
    slots: Rc<()>,
    counts: Connections,
}

impl Pool {
    /// A place for one more connection to a host; the oldest idle one makes room when there is none.
    fn slot(&mut self) -> Option<Slot> {
        let most = self.config.connections_to_hosts();
        let place = self.config.quota.acquire(Side::Hosts, most);
        let place = place.or_else(|| {
            let oldest = self.hosts.values_mut().filter(|host| !host.idle.is_empty());
            let Some(host) = oldest.min_by_key(|host| host.idle[0].0) else {
                self.config.quota.report_shortage();
                return None;
            };
            drop(host.idle.remove(0));
            self.config.quota.acquire(Side::Hosts, most)
        });
        Some(Slot { _own: self.slots.clone(), _place: place? })
    }
}

/// A connection's place among those of this engine, and of the process.
#[derive(Debug)]
struct Slot {
    _own: Rc<()>,
    _place: ConnectionPermit,
}

#[cfg(test)]
impl Slot {
    fn alone() -> Slot {
        let place = crate::quota::Quota::default().acquire(Side::Hosts, 1);
        Slot { _own: Rc::default(), _place: place.expect("none is open") }
    }
}

/// HTTP/1.1 over TCP: one request at a time on a connection, kept alive.
#[derive(Clone)]
pub struct Http1(Rc<RefCell<Pool>>);

impl Http1 {
    /// Without a connection yet.
    pub fn new(config: &Rc<Config>) -> Http1 {
        let (hosts, slots, counts) = Default::default();
        Http1(Rc::new(RefCell::new(Pool { config: config.clone(), hosts, slots, counts })))
    }

    fn count(&self, count: impl FnOnce(&mut Connections)) {
        count(&mut self.0.borrow_mut().counts);
    }

    /// Keeps a connection, unless its host takes nothing there any more.
    fn keep(&self, to: Target, connection: Connection) {
        let mut pool = self.0.borrow_mut();
        if let Some(host) = pool.hosts.get_mut(&to.server).filter(|host| host.address == to.address) {
            host.idle.push((Instant::now(), connection));
        }
    }

    async fn run(
        self,
        to: Target,
        kept: Option<Connection>,
        forward: Rc<Forward>,
        until: Instant,
        meter: Meter,
    ) -> AttemptEnd<Response<Bytes>> {
        if let Some(connection) = kept {
            let end = exchange(connection, forward.request(until, &meter), &meter).await;
            let broken = end.as_ref().is_none_or(|(end, _)| end.outcome == Outcome::Stale);
            self.count(|counts| counts.broken_reuse += u64::from(broken));
            if let Some((end, connection)) = end {
                connection.into_iter().for_each(|connection| self.keep(to, connection));
                return end;
            }
        }
        // Nothing has been written yet, so this is no second sending. In a box: most attempts need none, and every
        // attempt's task would have the size of one.
        Box::pin(self.run_on_new(to, forward, until, meter)).await
    }

    async fn run_on_new(
        self,
        to: Target,
        forward: Rc<Forward>,
        until: Instant,
        meter: Meter,
    ) -> AttemptEnd<Response<Bytes>> {
        let Some(slot) = self.0.borrow_mut().slot() else {
            return AttemptEnd::without_answer(Outcome::NotSent);
        };
        let limit = self.0.borrow().config.connect_timeout;
        let written_by = meter.written_by();
        let limit = written_by.map_or(limit, |by| limit.min(by.saturating_duration_since(Instant::now())));
        let opened = Connection::open(to.address, limit, slot).await;
        self.count(|counts| *if opened.is_ok() { &mut counts.opened } else { &mut counts.open_failed } += 1);
        let end = match opened {
            Ok(connection) => exchange(connection, forward.request(until, &meter), &meter).await,
            Err(OpenError::OfThisMachine) => return AttemptEnd::without_answer(Outcome::NotSent),
            Err(OpenError::OfTheHost) => None,
        };
        let Some((end, connection)) = end else {
            // That it came too late says nothing of the host.
            let late = meter.is_too_late() || meter.has_expired();
            let outcome = if late { Outcome::NotSent } else { Outcome::NoConnection };
            return AttemptEnd::without_answer(outcome);
        };
        connection.into_iter().for_each(|connection| self.keep(to, connection));
        end
    }
}

impl Protocol for Http1 {
    type Id = HeaderValue;
    type Request = Forward;
    type Answer = Response<Bytes>;

    fn fingerprint_parts(request: &Forward) -> Vec<&[u8]> {
        let target = request.target.path_and_query().map_or("", |target| target.as_str());
        vec![request.method.as_str().as_bytes(), target.as_bytes(), &request.body]
    }

    fn replay_copy(answer: &Response<Bytes>) -> (usize, Response<Bytes>) {
        let head: usize =
            answer.headers().iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        let mut replayed = answer.clone();
        replayed.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
        (head + answer.body().len(), replayed)
    }

    fn attempt(
        &self,
        to: Target,
        forward: Rc<Forward>,
        until: Instant,
        meter: &Meter,
    ) -> impl Future<Output = AttemptEnd<Response<Bytes>>> + 'static {
        let mut pool = self.0.borrow_mut();
        // A request must not cross its host's close: old ones and those closed meanwhile are passed over.
        let keep = pool.config.conn_idle.mul_f64(IDLE_PART);
        let host = pool.hosts.get_mut(&to.server).filter(|host| host.address == to.address);
        let kept = host.and_then(|host| {
            // Only the one that is used is looked at, which asks the system: the others may be many.
            let fits = |kept: &(Instant, Connection)| kept.0.elapsed() < keep && kept.1.is_ready();
            let mut fresh = host.idle.split_off(settled(&host.idle, Instant::now()));
            let found = std::iter::from_fn(|| host.idle.pop()).find(&fits);
            let found = found.or_else(|| std::iter::from_fn(|| fresh.pop()).find(&fits));
            host.idle.append(&mut fresh);
            found.map(|(_, connection)| connection)
        });
        // In a box: the tasks and time-outs around it would copy it each time that they take it over.
        Box::pin(self.clone().run(to, kept, forward, until, meter.clone()))
    }

    fn host_ready(&self, to: Target) {
        let mut pool = self.0.borrow_mut();
        let host = pool.hosts.entry(to.server).or_insert(Kept { address: to.address, idle: Vec::new() });
        if host.address != to.address {
            *host = Kept { address: to.address, idle: Vec::new() };
        }
    }

    fn host_retired(&self, server: ServerId) {
        self.0.borrow_mut().hosts.remove(&server);
    }

    fn sweep(&self) {
        let mut pool = self.0.borrow_mut();
        let keep = pool.config.conn_idle.mul_f64(IDLE_PART);
        // Those that their hosts have closed hold a descriptor for nothing.
        pool.hosts.values_mut().for_each(|host| {
            host.idle.retain(|(since, connection)| since.elapsed() < keep && connection.is_ready());
        });
        // Another engine of the process needs connections, and has none of its own to close.
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
    fn a_connection_that_has_just_answered_goes_last() {
        let start = Instant::now();
        let idle: Vec<_> = [0, 5, 6, 14].map(|ms| (start + Duration::from_millis(ms), ())).into();
        let at = |ms| settled(&idle, start + Duration::from_millis(ms));
        assert_eq!([at(0), at(9), at(10), at(15), at(16), at(23), at(24)], [0, 0, 1, 2, 3, 3, 4]);
    }
}
