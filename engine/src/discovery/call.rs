//! Calls to discovery, up to the head of their answers.

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

/// Time for a connection to discovery. Nobody queues there.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an answer is waited for.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTimeouts {
    /// In all.
    answer: Duration,
    /// After this a second call is made beside the first, whose connection may be dead. The first to be answered counts.
    hedge: Duration,
}

/// Discovery that works through its calls in turn, and refuses what has waited for three seconds. A second call takes
/// room from the first, and a crowd refuses both: it comes only when the first should have been answered or refused.
pub(super) const DIRECT_TIMEOUTS: CallTimeouts =
    CallTimeouts { answer: Duration::from_millis(6_000), hedge: Duration::from_millis(3_100) };
/// An agent that pushes, which answers at once. What it has counts as notified, with a second's grace.
pub(super) const AGENT_TIMEOUTS: CallTimeouts =
    CallTimeouts { answer: Duration::from_millis(700), hedge: Duration::from_millis(350) };

/// A call that was answered with 200, and the task of its connection.
pub(super) struct WatchResponse {
    pub body: body::Incoming,
    /// What has come on the connection.
    pub received: Rc<ReceiveProgress>,
    pub _connection: Task,
}

/// Why a call has no answer to follow.
#[derive(Debug)]
pub enum CallFailure {
    /// Nobody listens at discovery's address.
    ConnectionRefused(BoxError),
    /// No connection came up for another reason: this machine's, the network's, or in time.
    NoConnection(BoxError),
    /// The connection broke before the head of an answer had come.
    Broken(BoxError),
    /// The answer was not 200.
    Refused(StatusCode),
    /// Nothing came in time.
    TimedOut,
}

/// A call that has failed.
#[derive(Debug)]
pub struct FailedCall {
    /// How long it was pending_calls.
    pub duration: Duration,
    /// When an answer started_at to come that is none to follow, nor a refusal.
    pub incomplete_since: Option<Instant>,
    /// How many bytes of an answer came.
    pub bytes: u64,
    /// How.
    pub failure: CallFailure,
}

impl fmt::Display for FailedCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.failure {
            CallFailure::ConnectionRefused(error) => write!(f, "nobody listens ({error})")?,
            CallFailure::NoConnection(error) => write!(f, "no connection ({error})")?,
            CallFailure::Broken(error) => write!(f, "connection broke ({error})")?,
            CallFailure::Refused(status) => write!(f, "discovery answered {status}")?,
            CallFailure::TimedOut => f.write_str("no answer in time")?,
        }
        write!(f, " after {:.3?} and {} bytes", self.duration, self.bytes)
    }
}

/// What has come for the calls of a watch that are pending_calls.
#[derive(Debug, Default)]
pub(super) struct PendingCalls(RefCell<Vec<Rc<ReceiveProgress>>>);

impl PendingCalls {
    /// Since when an answer is on its way whose head is not whole.
    pub fn partial_head_since(&self) -> Option<Instant> {
        self.0.borrow().iter().filter_map(|received| received.first_byte_at()).min()
    }

    fn remove(&self, call: &Call) {
        self.0.borrow_mut().retain(|received| !Rc::ptr_eq(received, &call.received));
    }
}

/// One call, from its begin on.
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

    /// Asks for the list from version `since` on, and waits for the head of the answer.
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

/// Opens a connection. Whatever fails at once but a refusal costs discovery nothing, and is soon over as a rule.
async fn connect(discovery: SocketAddr) -> Result<Stream, CallFailure> {
    let result = dial(discovery, CONNECT_TIMEOUT, |error| !matches!(error, DialError::Refused(_))).await;
    result.map_err(|error| match error {
        DialError::Refused(_) => CallFailure::ConnectionRefused(error.into()),
        _ => CallFailure::NoConnection(error.into()),
    })
}

/// Calls discovery, and a second time beside the first where that is not answered soon. The first answer counts.
///
/// # Errors
///
/// How each call has failed, in the order in which they were begun.
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
        // In this order, not in one drawn anew: the same events make the same course.
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

/// What a call gives by a moment.
async fn by_deadline(
    deadline: Instant,
    call: impl Future<Output = Result<WatchResponse, CallFailure>>,
) -> Result<WatchResponse, CallFailure> {
    timeout_at(deadline, call).await.unwrap_or(Err(CallFailure::TimedOut))
}
