//! One request and its response on a connection to a host.

use super::body_reader::read_body;
use super::connection::Connection;
use super::limits::MAX_BODY_BYTES;
use super::load_report::load_report;
use super::outcome::{is_connection_reset, outcome_of_error, outcome_of_status};
use super::outgoing_body::OutgoingBody;
use super::response_end::{is_contradicted, BodyEnd, Surplus};
use crate::memory::{MemoryBudget, Purpose};
use crate::meter::Meter;
use crate::protocol::AttemptEnd;
use http::response::Parts;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response};
use nettleworks_policy::{Load, Outcome};
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{timeout, Instant};

/// Timeout for reading the rest of a response that is not passed on; after it the connection is closed instead.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(20);

/// Bodies up to this size are copied out of the read buffer of their connection; a larger one occupies most of the
/// buffer anyway.
const MAX_COPIED_BODY_BYTES: usize = 4 << 10;
/// A reused connection that breaks within this time after a request was written was closed by the host before the
/// request arrived.
const STALE_CLOSE_WINDOW: Duration = Duration::from_millis(20);

/// How an exchange ended after something was written.
pub struct ExchangeEnd {
    /// The end of the attempt.
    pub end: AttemptEnd<Response<Bytes>>,
    /// Whether the exchange is complete, so that the connection can be used again unless it breaks meanwhile.
    pub reusable: bool,
    /// What was in hand behind the response.
    pub surplus: Surplus,
    /// Whether the connection broke as one does whose process has ended.
    pub is_process_in_doubt: bool,
}

impl ExchangeEnd {
    /// The end of an exchange that left its connection unusable.
    fn broken(outcome: Outcome, load: Load) -> ExchangeEnd {
        let is_process_in_doubt = outcome == Outcome::Reset;
        let end = AttemptEnd { outcome, load, answer: None };
        ExchangeEnd { end, reusable: false, surplus: Surplus::None, is_process_in_doubt }
    }
}

/// Sends a request on a connection and reads the whole response. Returns `None` if the connection turned out to be
/// closed, or to have input, before any byte of the request was written.
pub async fn exchange(
    connection: &mut Connection,
    request: Request<OutgoingBody>,
    meter: &Meter,
    memory: &MemoryBudget,
) -> Option<ExchangeEnd> {
    connection.begin_request(meter);
    let (reused, method, started) = (connection.is_reused(), request.method().clone(), Instant::now());
    let response = match connection.sender.send_request(request).await {
        Ok(response) => response,
        Err(_) if meter.bytes() == 0 => return None,
        Err(error) => {
            // At most the end of the stream was read since: no part of a response has arrived.
            let unanswered = reused && connection.socket.read_count() <= connection.reads_at_response + 1;
            let outcome = outcome_of_error(&error);
            let stale = outcome == Outcome::Reset && unanswered && started.elapsed() < STALE_CLOSE_WINDOW;
            let is_process_in_doubt = outcome == Outcome::Reset && (!stale || is_connection_reset(&error));
            let outcome = if stale { Outcome::Stale } else { outcome };
            let end = ExchangeEnd::broken(outcome, Load::default());
            return Some(ExchangeEnd { is_process_in_doubt, ..end });
        }
    };
    if connection.socket.had_early_input() {
        // It is no response to this request, which may have run all the same.
        return Some(ExchangeEnd::broken(Outcome::Unknown, Load::default()));
    }
    if outcome_of_status(response.status(), response.headers()) == Outcome::Served {
        meter.record_response_begun();
    }
    Some(receive(connection, response, &method, reused, memory).await)
}

/// Reads the rest of the response to a request with this method, and decides what it proves.
async fn receive(
    connection: &mut Connection,
    response: Response<Incoming>,
    method: &Method,
    reused: bool,
    memory: &MemoryBudget,
) -> ExchangeEnd {
    let (head, body) = response.into_parts();
    let load = load_report(&head.headers);
    let body_end = BodyEnd::of_response(method, head.status, &head.headers);
    let stated_outcome = outcome_of_status(head.status, &head.headers);
    let response = if stated_outcome == Outcome::Served {
        if !body_end.is_known() {
            return ExchangeEnd::broken(Outcome::Unknown, load);
        }
        match read_body(body, memory, Purpose::Responses, None).await {
            Ok(body) => detach_from_read_buffer(head, body),
            // The request has run, but its response is lost.
            Err(error) => return ExchangeEnd::broken(outcome_of_error(&*error), load),
        }
    } else {
        match timeout(DISCARD_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await {
            Ok(Ok(_)) => Response::default(),
            // The outcome is known: a body that breaks or stalls must not change it.
            _ => return ExchangeEnd::broken(stated_outcome, load),
        }
    };
    connection.record_response();
    // Make the connection ready before the outcome is reported, or the next request would find no idle connection.
    let is_ready = matches!(timeout(DISCARD_TIMEOUT, connection.sender.ready()).await, Ok(Ok(())));
    if is_ready {
        // The connection's task detects bytes beyond the response only when it is polled once more.
        yield_now().await;
    }
    let surplus_bytes = connection.read_surplus().await;
    let surplus = Surplus::of(&surplus_bytes);
    let is_doubtful = body_end.may_be_early(surplus)
        || reused && is_contradicted(stated_outcome, response.body(), &surplus_bytes);
    let outcome = if is_doubtful { Outcome::Unknown } else { stated_outcome };
    let answer = (outcome == Outcome::Served).then_some(response);
    let reusable = is_ready && surplus == Surplus::None && connection.is_quiet();
    let end = AttemptEnd { outcome, load, answer };
    ExchangeEnd { end, reusable, surplus, is_process_in_doubt: false }
}

/// Copies a response out of the read buffer of its connection. Otherwise whoever keeps a few bytes of the response
/// keeps the whole buffer, and the connection has to allocate another for the next response.
fn detach_from_read_buffer(mut head: Parts, body: Bytes) -> Response<Bytes> {
    if body.len() > MAX_COPIED_BODY_BYTES {
        return Response::from_parts(head, body);
    }
    for value in head.headers.values_mut() {
        // Always succeeds, since the bytes come from a valid value.
        if let Ok(copy) = HeaderValue::from_bytes(value.as_bytes()) {
            *value = copy;
        }
    }
    Response::from_parts(head, Bytes::copy_from_slice(&body))
}
