//! Calls that open a watch at discovery, up to the head of the response.

use super::received::{ObservedStream, ReceiveProgress};
use crate::dial::{dial, BoxError, DialError};
use crate::net::Stream;
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
pub(super) struct CallTimeouts {
    /// Timeout of all calls together.
    answer: Duration,
    /// Delay until a second call is made beside the first, whose connection may be dead. The first response is used.
    hedge: Duration,
}

/// For a discovery service that queues calls and refuses those that have waited for 3 s. Under overload a second call
/// competes with the first and both are refused, so it is made only when the first should have been answered or refused.
pub(super) const DIRECT_TIMEOUTS: CallTimeouts =
    CallTimeouts { answer: Duration::from_millis(6_000), hedge: Duration::from_millis(3_100) };
/// For an agent that pushes the list and answers at once. What it has received counts as notified, with a grace of 1 s.
pub(super) const AGENT_TIMEOUTS: CallTimeouts =
    CallTimeouts { answer: Duration::from_millis(700), hedge: Duration::from_millis(350) };

/// The response to a call that was answered with 200, and the task of its connection.
pub(super) struct WatchResponse {
    pub body: body::Incoming,
    /// What was received on the connection.
    pub received: Rc<ReceiveProgress>,
    pub _connection: Task,
}

/// Why a call did not open a watch.
#[derive(Debug)]
pub enum CallFailure {
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

/// A failed call.
#[derive(Debug)]
pub struct FailedCall {
    /// How long the call took until it failed.
    pub duration: Duration,
    /// When a response began to arrive that was neither completed nor a refusal.
    pub incomplete_since: Option<Instant>,
    /// The number of response bytes received.
    pub bytes: u64,
    /// Why the call failed.
    pub failure: CallFailure,
}

impl fmt::Display for FailedCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.failure {
            CallFailure::ConnectionRefused(error) => write!(f, "connection refused ({error})")?,
            CallFailure::NoConnection(error) => write!(f, "connect failed ({error})")?,
            CallFailure::Broken(error) => write!(f, "connection lost ({error})")?,
            CallFailure::Refused(status) => write!(f, "discovery answered {status}")?,
            CallFailure::TimedOut => f.write_str("timed out")?,
        }
        write!(f, " after {:.3?} and {} bytes", self.duration, self.bytes)
    }
}

/// What was received so far for the calls of a watch that have not ended.
#[derive(Debug, Default)]
pub(super) struct PendingCalls(RefCell<Vec<Rc<ReceiveProgress>>>);

impl PendingCalls {
    /// When the first byte of a response arrived whose head is not complete yet.
    pub fn partial_head_since(&self) -> Option<Instant> {
        self.0.borrow().iter().filter_map(|received| received.first_byte_at()).min()
    }

    /// Removes a call that has ended.
    fn remove(&self, call: &Call) {
        self.0.borrow_mut().retain(|received| !Rc::ptr_eq(received, &call.received));
    }
}

/// One call, from its start.
struct Call {
    started_at: Instant,
    received: Rc<ReceiveProgress>,
}

impl Call {
    fn start(pending_calls: &PendingCalls) -> Call {
        let call = Call { started_at: Instant::now(), received: Rc::default() };
        pending_calls.0.borrow_mut().push(call.received.clone());
        call
    }

    fn failed(&self, failure: CallFailure) -> FailedCall {
        let refused = matches!(failure, CallFailure::Refused(_));
        let incomplete_since = self.received.first_byte_at().filter(|_| !refused);
        FailedCall {
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
    ) -> Result<WatchResponse, CallFailure> {
        let stream = ObservedStream::new(connect(discovery).await?, self.received.clone());
        let broken = |error: hyper::Error| CallFailure::Broken(error.into());
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
        let (mut sender, connection) = handshake.await.map_err(broken)?;
        let connection = task::spawn(connection);
        let since_parameter = since.map(|seq| format!("&since={seq}")).unwrap_or_default();
        let request = Request::get(format!("/catalog/members?follow=1{since_parameter}"))
            .header(header::HOST, discovery.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|error| CallFailure::Broken(error.into()))?;
        let response: Response<body::Incoming> = sender.send_request(request).await.map_err(broken)?;
        if response.status() != StatusCode::OK {
            return Err(CallFailure::Refused(response.status()));
        }
        let (body, received) = (response.into_body(), self.received.clone());
        Ok(WatchResponse { body, received, _connection: connection })
    }
}

/// Opens a connection. Any failure other than a refused connection puts no load on discovery and is usually transient,
/// so the connection is retried.
async fn connect(discovery: SocketAddr) -> Result<Stream, CallFailure> {
    let result = dial(discovery, CONNECT_TIMEOUT, |error| !matches!(error, DialError::Refused(_))).await;
    result.map_err(|error| match error {
        DialError::Refused(_) => CallFailure::ConnectionRefused(error.into()),
        _ => CallFailure::NoConnection(error.into()),
    })
}

/// Calls discovery, with a hedge: a second call if the first is not answered soon. The first response is used.
///
/// # Errors
///
/// The failure of each call, in the order in which they were started.
pub(super) async fn call_hedged(
    discovery: SocketAddr,
    since: Option<u64>,
    timeouts: CallTimeouts,
    pending_calls: &PendingCalls,
) -> Result<WatchResponse, Vec<FailedCall>> {
    let started_at = Instant::now();
    let first_call = Call::start(pending_calls);
    let mut first = pin!(first_call.open_watch(discovery, since));
    if let Ok(result) = timeout(timeouts.hedge, &mut first).await {
        return result.map_err(|failure| vec![first_call.failed(failure)]);
    }
    let second_call = Call::start(pending_calls);
    let mut second = pin!(second_call.open_watch(discovery, since));
    let deadline = started_at + timeouts.answer;
    let both = async {
        // A fixed polling order keeps simulated runs reproducible.
        tokio::select! {
            biased;
            result = &mut first => match result {
                Ok(answer) => Ok(answer),
                Err(failure) => {
                    let failed = first_call.failed(failure);
                    pending_calls.remove(&first_call);
                    let other = by_deadline(deadline, &mut second).await;
                    other.map_err(|failure| vec![failed, second_call.failed(failure)])
                }
            },
            result = &mut second => match result {
                Ok(answer) => Ok(answer),
                Err(failure) => {
                    let failed = second_call.failed(failure);
                    pending_calls.remove(&second_call);
                    let other = by_deadline(deadline, &mut first).await;
                    other.map_err(|failure| vec![first_call.failed(failure), failed])
                }
            },
        }
    };
    timeout_at(deadline, both).await.unwrap_or_else(|_| {
        Err([&first_call, &second_call].map(|call| call.failed(CallFailure::TimedOut)).into())
    })
}

/// The result of a call, which fails at `deadline` at the latest.
async fn by_deadline(
    deadline: Instant,
    call: impl Future<Output = Result<WatchResponse, CallFailure>>,
) -> Result<WatchResponse, CallFailure> {
    timeout_at(deadline, call).await.unwrap_or(Err(CallFailure::TimedOut))
}
