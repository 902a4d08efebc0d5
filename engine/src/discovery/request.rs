//! Requests that open a watch at discovery, up to the head of the response.

use super::received::ReceiveProgress;
use crate::dial::{dial, BoxError, DialError};
use crate::net::Stream;
use crate::observed_stream::ObservedStream;
use crate::task::{self, Task};
use http_body_util::Empty;
use hyper::body::{self, Bytes};
use hyper::{header, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// Timeout for a connection to discovery, where connections do not queue.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long to wait for a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestTimeouts {
    /// Timeout of all requests together.
    answer: Duration,
    /// Delay until a second request is made beside the first, whose connection may be dead. The first response is used.
    hedge: Duration,
}

/// For a discovery service that queues requests and refuses those that have waited for 3 s. Under overload a second
/// request competes with the first and both are refused, so it is made only when the first should have been answered or
/// refused.
pub(super) const DIRECT_TIMEOUTS: RequestTimeouts =
    RequestTimeouts { answer: Duration::from_millis(6_000), hedge: Duration::from_millis(3_100) };
/// For an agent that pushes the list and answers at once. What it has received counts as notified, with a grace of 1 s.
pub(super) const AGENT_TIMEOUTS: RequestTimeouts =
    RequestTimeouts { answer: Duration::from_millis(700), hedge: Duration::from_millis(350) };

/// The response to a request that was answered with 200, and the task of its connection.
pub(super) struct WatchResponse {
    pub body: body::Incoming,
    /// What was received on the connection.
    pub received: Rc<ReceiveProgress>,
    pub _connection: Task,
}

/// Why a request did not open a watch.
#[derive(Debug)]
pub enum RequestFailure {
    /// Nothing listens at discovery's address.
    ConnectionRefused(BoxError),
    /// No connection was established for another reason: a local error, a network error, or a timeout.
    NoConnection(BoxError),
    /// The connection broke before the head of the response was complete.
    Broken(BoxError),
    /// The status of the response was not 200.
    Refused(StatusCode),
    /// There was no response in time.
    TimedOut,
}

/// A failed request.
#[derive(Debug)]
pub struct FailedRequest {
    /// How long the request took until it failed.
    pub duration: Duration,
    /// When a response began to arrive that was neither completed nor a refusal.
    pub incomplete_since: Option<Instant>,
    /// The number of response bytes received.
    pub bytes: u64,
    /// Why the request failed.
    pub failure: RequestFailure,
}

impl fmt::Display for FailedRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.failure {
            RequestFailure::ConnectionRefused(error) => write!(f, "connection refused ({error})")?,
            RequestFailure::NoConnection(error) => write!(f, "connect failed ({error})")?,
            RequestFailure::Broken(error) => write!(f, "connection lost ({error})")?,
            RequestFailure::Refused(status) => write!(f, "discovery answered {status}")?,
            RequestFailure::TimedOut => f.write_str("timed out")?,
        }
        write!(f, " after {:.3?} and {} bytes", self.duration, self.bytes)
    }
}

/// What was received so far for the requests of a watch that have not ended.
#[derive(Debug, Default)]
pub(super) struct PendingRequests(RefCell<Vec<Rc<ReceiveProgress>>>);

impl PendingRequests {
    /// When the first byte of a response arrived whose head is not complete yet.
    pub fn partial_head_since(&self) -> Option<Instant> {
        self.0.borrow().iter().filter_map(|received| received.first_byte_at()).min()
    }

    /// Removes a request that has ended.
    fn remove(&self, request: &DiscoveryRequest) {
        self.0.borrow_mut().retain(|received| !Rc::ptr_eq(received, &request.received));
    }
}

/// One request, from its start.
struct DiscoveryRequest {
    started_at: Instant,
    received: Rc<ReceiveProgress>,
}

impl DiscoveryRequest {
    fn start(pending_requests: &PendingRequests) -> DiscoveryRequest {
        let request = DiscoveryRequest { started_at: Instant::now(), received: Rc::default() };
        pending_requests.0.borrow_mut().push(request.received.clone());
        request
    }

    fn failed(&self, failure: RequestFailure) -> FailedRequest {
        let refused = matches!(failure, RequestFailure::Refused(_));
        let incomplete_since = self.received.first_byte_at().filter(|_| !refused);
        FailedRequest {
            duration: self.started_at.elapsed(),
            incomplete_since,
            bytes: self.received.bytes(),
            failure,
        }
    }

    /// Requests the list and its changes since version `since`, and waits for the head of the response.
    async fn open_watch(
        &self,
        discovery: SocketAddr,
        since: Option<u64>,
    ) -> Result<WatchResponse, RequestFailure> {
        let stream = ObservedStream::new(connect(discovery).await?, self.received.clone());
        let broken = |error: hyper::Error| RequestFailure::Broken(error.into());
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
        let (mut sender, connection) = handshake.await.map_err(broken)?;
        let connection = task::spawn(connection);
        let since_parameter = since.map(|seq| format!("&since={seq}")).unwrap_or_default();
        let request = Request::get(format!("/catalog/members?follow=1{since_parameter}"))
            .header(header::HOST, discovery.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|error| RequestFailure::Broken(error.into()))?;
        let response: Response<body::Incoming> = sender.send_request(request).await.map_err(broken)?;
        if response.status() != StatusCode::OK {
            return Err(RequestFailure::Refused(response.status()));
        }
        let (body, received) = (response.into_body(), self.received.clone());
        Ok(WatchResponse { body, received, _connection: connection })
    }
}

/// Opens a connection. Any failure other than a refused connection puts no load on discovery and is usually transient,
/// so the connection is retried.
async fn connect(discovery: SocketAddr) -> Result<Stream, RequestFailure> {
    let result = dial(discovery, CONNECT_TIMEOUT, |error| !matches!(error, DialError::Refused(_))).await;
    result.map_err(|error| match error {
        DialError::Refused(_) => RequestFailure::ConnectionRefused(error.into()),
        _ => RequestFailure::NoConnection(error.into()),
    })
}

/// Sends a request to discovery, with a hedge: a second request if the first is not answered soon. The first response
/// is used.
///
/// # Errors
///
/// The failure of each request, in the order in which they were started.
pub(super) async fn request_hedged(
    discovery: SocketAddr,
    since: Option<u64>,
    timeouts: RequestTimeouts,
    pending_requests: &PendingRequests,
) -> Result<WatchResponse, Vec<FailedRequest>> {
    let started_at = Instant::now();
    let first_request = DiscoveryRequest::start(pending_requests);
    let mut first = pin!(first_request.open_watch(discovery, since));
    if let Ok(result) = timeout(timeouts.hedge, &mut first).await {
        return result.map_err(|failure| vec![first_request.failed(failure)]);
    }
    let second_request = DiscoveryRequest::start(pending_requests);
    let mut second = pin!(second_request.open_watch(discovery, since));
    let deadline = started_at + timeouts.answer;
    let both = async {
        // A fixed polling order keeps simulated runs reproducible.
        tokio::select! {
            biased;
            result = &mut first => match result {
                Ok(answer) => Ok(answer),
                Err(failure) => {
                    let failed = first_request.failed(failure);
                    pending_requests.remove(&first_request);
                    let other = by_deadline(deadline, &mut second).await;
                    other.map_err(|failure| vec![failed, second_request.failed(failure)])
                }
            },
            result = &mut second => match result {
                Ok(answer) => Ok(answer),
                Err(failure) => {
                    let failed = second_request.failed(failure);
                    pending_requests.remove(&second_request);
                    let other = by_deadline(deadline, &mut first).await;
                    other.map_err(|failure| vec![first_request.failed(failure), failed])
                }
            },
        }
    };
    timeout_at(deadline, both).await.unwrap_or_else(|_| {
        Err([&first_request, &second_request].map(|request| request.failed(RequestFailure::TimedOut)).into())
    })
}

/// The result of a request, which fails at `deadline` at the latest.
async fn by_deadline(
    deadline: Instant,
    request: impl Future<Output = Result<WatchResponse, RequestFailure>>,
) -> Result<WatchResponse, RequestFailure> {
    timeout_at(deadline, request).await.unwrap_or(Err(RequestFailure::TimedOut))
}
