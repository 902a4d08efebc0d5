//! The HTTP/1.1 implementation of [`Protocol`]: forwarded requests, and the pool of connections to hosts.

mod body_reader;
mod connection;
mod exchange;
#[cfg(test)]
mod exchange_tests;
mod identity;
mod limits;
mod load_report;
mod outcome;
mod outgoing_body;
mod pool;
mod request_end;
mod response_end;
#[cfg(test)]
mod response_end_tests;
mod reuse;
#[cfg(test)]
mod reuse_tests;
mod slot;

pub use crate::dial::BoxError;
pub use body_reader::read_body;
pub use limits::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
pub use request_end::RequestTracker;

use crate::config::Config;
use crate::meter::Meter;
use crate::protocol::{AttemptEnd, Connections, Protocol, Target};
use connection::{Connection, OpenError};
use exchange::{exchange, ExchangeEnd};
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use nettleworks_policy::{Outcome, ServerId};
use outgoing_body::OutgoingBody;
use pool::{Pool, Reserved};
use response_end::Surplus;
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use tokio::time::{sleep_until, Instant};

/// Marks a response that replays the response to an earlier request with the same idempotency key.
const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");

/// The same response with a copy of its body that holds no lease.
pub fn without_lease(response: Response<Bytes>) -> Response<Bytes> {
    response.map(|body| Bytes::copy_from_slice(&body))
}

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

/// HTTP/1.1 over TCP with persistent connections and without pipelining. Clones share their connections.
#[derive(Clone)]
pub struct Http1(Rc<RefCell<Pool>>);

impl Http1 {
    /// A pool without connections.
    pub fn new(config: &Rc<Config>) -> Http1 {
        Http1(Rc::new(RefCell::new(Pool::new(config))))
    }

    fn count(&self, count: impl FnOnce(&mut Connections)) {
        count(&mut self.0.borrow_mut().counts);
    }

    /// Reserves an idle connection for a request to the target, which must be written by `deadline`; `None` if a new one
    /// is to be opened.
    fn reserve(&self, target: Target, deadline: Instant) -> Option<Reservation> {
        let Reserved { connection, ready_at } = self.0.borrow_mut().reserve(target, deadline)?;
        Some(Reservation { http1: self.clone(), target, connection: Some(connection), ready_at })
    }

    /// Runs one attempt, on the reserved connection if there is one, else on a new one.
    async fn run(
        self,
        target: Target,
        reservation: Option<Reservation>,
        request: Rc<ForwardedRequest>,
        deadline: Instant,
        meter: Meter,
    ) -> AttemptEnd<Response<Bytes>> {
        if let Some(reservation) = reservation {
            if let Some(connection) = reservation.settled(&meter).await {
                if !self.may_run_at(target, connection.opened_at, &meter) {
                    self.0.borrow_mut().put_back(target, connection);
                    return AttemptEnd::without_answer(Outcome::NotSent);
                }
                let end = self.run_on(target, connection, &request, deadline, &meter).await;
                let broken = end.as_ref().is_none_or(|end| end.outcome == Outcome::Stale);
                self.count(|counts| counts.broken_reuse += u64::from(broken));
                if let Some(end) = end {
                    return end;
                }
            }
        }
        // Nothing has been written yet, so the request is not sent twice. The future is boxed because most attempts do
        // not need it, and it would enlarge the task of every attempt.
        Box::pin(self.run_on_new(target, request, deadline, meter)).await
    }

    /// Whether an attempt may be written on a connection that was opened at this time. One that repeats another must not
    /// reach a process that does not know that one.
    fn may_run_at(&self, target: Target, opened_at: Instant, meter: &Meter) -> bool {
        meter.write_deadline().is_none() || !self.0.borrow().may_be_replaced(target, opened_at)
    }

    /// Runs one attempt on this connection, which is kept if it can be used again. `None` if nothing could be written.
    async fn run_on(
        &self,
        target: Target,
        mut connection: Connection,
        request: &ForwardedRequest,
        deadline: Instant,
        meter: &Meter,
    ) -> Option<AttemptEnd<Response<Bytes>>> {
        let memory = self.0.borrow().config.memory.clone();
        let end = exchange(&mut connection, request.for_attempt(deadline, meter), meter, &memory).await;
        let mut pool = self.0.borrow_mut();
        pool.record_use(&connection);
        match end {
            None => {
                pool.record_surplus(target, &connection);
                None
            }
            Some(ExchangeEnd { end, reusable, surplus, is_process_in_doubt }) => {
                pool.count_surplus(surplus);
                if is_process_in_doubt {
                    pool.record_break(target);
                }
                if reusable {
                    pool.keep(target, connection);
                } else if surplus != Surplus::None {
                    pool.record_surplus(target, &connection);
                }
                Some(end)
            }
        }
    }

    /// Runs one attempt on a new connection.
    async fn run_on_new(
        self,
        target: Target,
        request: Rc<ForwardedRequest>,
        deadline: Instant,
        meter: Meter,
    ) -> AttemptEnd<Response<Bytes>> {
        if !self.may_run_at(target, Instant::now(), &meter) {
            return AttemptEnd::without_answer(Outcome::NotSent);
        }
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
            // It may have been opened while the process was replaced.
            Ok(connection) if !self.may_run_at(target, connection.opened_at, &meter) => {
                return AttemptEnd::without_answer(Outcome::NotSent);
            }
            Ok(connection) => self.run_on(target, connection, &request, deadline, &meter).await,
            Err(OpenError::Local) => return AttemptEnd::without_answer(Outcome::NotSent),
            Err(OpenError::Remote) => {
                self.0.borrow_mut().record_break(target);
                None
            }
        };
        end.unwrap_or_else(|| {
            // A connection that was established too late is not the host's failure.
            let too_late = meter.is_past_write_deadline() || meter.list_has_expired();
            let outcome = if too_late { Outcome::NotSent } else { Outcome::NoConnection };
            AttemptEnd::without_answer(outcome)
        })
    }
}

/// An idle connection that is reserved for a request. It goes back to the pool if it is not used.
struct Reservation {
    http1: Http1,
    target: Target,
    connection: Option<Connection>,
    ready_at: Instant,
}

impl Reservation {
    /// Waits until the connection has settled; `None` if it became unusable meanwhile.
    async fn settled(mut self, meter: &Meter) -> Option<Connection> {
        let started = Instant::now();
        if started < self.ready_at {
            sleep_until(self.ready_at).await;
            meter.record_settle_wait(started.elapsed());
        }
        // An unusable connection goes back to the pool, which records why.
        self.connection.take_if(|connection| connection.is_quiet())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.http1.0.borrow_mut().put_back(self.target, connection);
        }
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
        // Kept for long, so without a lease on the memory for responses.
        let mut replayed = without_lease(answer.clone());
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
        let write_deadline = meter.write_deadline().map_or(deadline, |by| by.min(deadline));
        let reservation = self.reserve(target, write_deadline);
        // Boxed, because the tasks and timeouts that wrap the future would copy it each time it is moved.
        Box::pin(self.clone().run(target, reservation, request, deadline, meter.clone()))
    }

    fn host_ready(&self, target: Target) {
        self.0.borrow_mut().host_ready(target);
    }

    fn host_retired(&self, server: ServerId) {
        self.0.borrow_mut().host_retired(server);
    }

    fn sweep(&self) {
        self.0.borrow_mut().sweep();
    }

    fn reload(&self, config: &Rc<Config>) {
        self.0.borrow_mut().config = config.clone();
    }

    fn connections(&self) -> Connections {
        self.0.borrow().connections()
    }
}
