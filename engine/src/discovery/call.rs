//! Calls to discovery, up to the head of their answers.

use super::incoming::{Incoming, Observed};
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
const CONNECT: Duration = Duration::from_secs(1);

/// How long an answer is waited for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Patience {
    /// In all.
    answer: Duration,
    /// After this a second call is made beside the first, whose connection may be dead. The first to be answered counts.
    hedge: Duration,
}

/// Discovery that works through its calls in turn, and refuses what has waited for three seconds. A second call takes
/// room from the first, and a crowd refuses both: it comes only when the first should have been answered or refused.
pub(super) const ASKED: Patience =
    Patience { answer: Duration::from_millis(6_000), hedge: Duration::from_millis(3_100) };
/// An agent that pushes, which answers at once. What it has counts as notified, with a second's grace.
pub(super) const PUSHED: Patience =
    Patience { answer: Duration::from_millis(700), hedge: Duration::from_millis(350) };

/// A call that was answered with 200, and the task of its connection.
pub(super) struct Answer {
    pub body: body::Incoming,
    /// What has come on the connection.
    pub incoming: Rc<Incoming>,
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
    /// How long it was out.
    pub took: Duration,
    /// When an answer began to come that is none to follow, nor a refusal.
    pub cut_since: Option<Instant>,
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
        write!(f, " after {:.3?} and {} bytes", self.took, self.bytes)
    }
}

/// What has come for the calls of a watch that are out.
#[derive(Debug, Default)]
pub(super) struct Out(RefCell<Vec<Rc<Incoming>>>);

impl Out {
    /// Since when an answer is on its way whose head is not whole.
    pub fn answering_since(&self) -> Option<Instant> {
        self.0.borrow().iter().filter_map(|incoming| incoming.first_byte()).min()
    }

    fn has_ended(&self, call: &Call) {
        self.0.borrow_mut().retain(|incoming| !Rc::ptr_eq(incoming, &call.incoming));
    }
}

/// One call, from its begin on.
struct Call {
    began: Instant,
    incoming: Rc<Incoming>,
}

impl Call {
    fn begin(out: &Out) -> Call {
        let call = Call { began: Instant::now(), incoming: Rc::default() };
        out.0.borrow_mut().push(call.incoming.clone());
        call
    }

    fn failed(&self, failure: CallFailure) -> FailedCall {
        let refused = matches!(failure, CallFailure::Refused(_));
        let cut_since = self.incoming.first_byte().filter(|_| !refused);
        FailedCall { took: self.began.elapsed(), cut_since, bytes: self.incoming.bytes(), failure }
    }

    /// Asks for the list from version `since` on, and waits for the head of the answer.
    async fn ask(&self, discovery: SocketAddr, since: Option<u64>) -> Result<Answer, CallFailure> {
        let stream = Observed::new(connect(discovery).await?, self.incoming.clone());
        let broken = |error: hyper::Error| CallFailure::Broken(error.into());
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
        let (mut sender, connection) = handshake.await.map_err(broken)?;
        let connection = task::spawn(connection);
        let since = since.map(|seq| format!("&since={seq}")).unwrap_or_default();
        let request = Request::get(format!("/catalog/members?follow=1{since}"))
            .header(header::HOST, discovery.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|error| CallFailure::Broken(error.into()))?;
        let response: Response<body::Incoming> = sender.send_request(request).await.map_err(broken)?;
        if response.status() != StatusCode::OK {
            return Err(CallFailure::Refused(response.status()));
        }
        let (body, incoming) = (response.into_body(), self.incoming.clone());
        Ok(Answer { body, incoming, _connection: connection })
    }
}

/// Opens a connection. Whatever fails at once but a refusal costs discovery nothing, and is soon over as a rule.
async fn connect(discovery: SocketAddr) -> Result<Stream, CallFailure> {
    let dialed = dial(discovery, CONNECT, |error| !matches!(error, DialError::Refused(_))).await;
    dialed.map_err(|error| match error {
        DialError::Refused(_) => CallFailure::ConnectionRefused(error.into()),
        _ => CallFailure::NoConnection(error.into()),
    })
}

/// Calls discovery, and a second time beside the first where that is not answered soon. The first answer counts.
///
/// # Errors
///
/// How each call has failed, in the order in which they were begun.
pub(super) async fn hedged(
    discovery: SocketAddr,
    since: Option<u64>,
    patience: Patience,
    out: &Out,
) -> Result<Answer, Vec<FailedCall>> {
    let began = Instant::now();
    let first_call = Call::begin(out);
    let mut first = pin!(first_call.ask(discovery, since));
    if let Ok(done) = timeout(patience.hedge, &mut first).await {
        return done.map_err(|failure| vec![first_call.failed(failure)]);
    }
    let second_call = Call::begin(out);
    let mut second = pin!(second_call.ask(discovery, since));
    let until = began + patience.answer;
    let both = async {
        // In this order, not in one drawn anew: the same events make the same course.
        tokio::select! {
            biased;
            done = &mut first => match done {
                Ok(answer) => Ok(answer),
                Err(failure) => {
                    let failed = first_call.failed(failure);
                    out.has_ended(&first_call);
                    let other = in_time(until, &mut second).await;
                    other.map_err(|failure| vec![failed, second_call.failed(failure)])
                }
            },
            done = &mut second => match done {
                Ok(answer) => Ok(answer),
                Err(failure) => {
                    let failed = second_call.failed(failure);
                    out.has_ended(&second_call);
                    let other = in_time(until, &mut first).await;
                    other.map_err(|failure| vec![first_call.failed(failure), failed])
                }
            },
        }
    };
    timeout_at(until, both).await.unwrap_or_else(|_| {
        Err([&first_call, &second_call].map(|call| call.failed(CallFailure::TimedOut)).into())
    })
}

/// What a call gives by a moment.
async fn in_time(
    until: Instant,
    call: impl Future<Output = Result<Answer, CallFailure>>,
) -> Result<Answer, CallFailure> {
    timeout_at(until, call).await.unwrap_or(Err(CallFailure::TimedOut))
}
