//! One request and its response on a connection to a host.

use super::connection::Connection;
use super::limits::MAX_BODY_BYTES;
use super::load_report::load_report;
use super::outcome::{outcome_of_error, outcome_of_status};
use super::outgoing_body::OutgoingBody;
use crate::meter::Meter;
use crate::protocol::AttemptEnd;
use http::response::Parts;
use http_body_util::{BodyExt, Limited};
use hyper::body::Bytes;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use nettleworks_policy::Outcome;
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
}

/// Sends a request on a connection and reads the whole response. Returns `None` if the connection turned out to be
/// closed, or to have input, before any byte of the request was written.
pub async fn exchange(
    connection: &mut Connection,
    request: Request<OutgoingBody>,
    meter: &Meter,
) -> Option<ExchangeEnd> {
    connection.begin_request(meter);
    let (reused, started) = (connection.reads_at_response > 0, Instant::now());
    let response = match connection.sender.send_request(request).await {
        Ok(response) => response,
        Err(_) if meter.bytes() == 0 => return None,
        Err(error) => {
            // At most the end of the stream was read since: no part of a response has arrived.
            let unanswered = reused && connection.socket.read_count() <= connection.reads_at_response + 1;
            let outcome = outcome_of_error(&error);
            let stale = outcome == Outcome::Reset && unanswered && started.elapsed() < STALE_CLOSE_WINDOW;
            let outcome = if stale { Outcome::Stale } else { outcome };
            return Some(ExchangeEnd { end: AttemptEnd::without_answer(outcome), reusable: false });
        }
    };
    if connection.socket.had_early_input() {
        // It is no response to this request, which may have run all the same.
        return Some(ExchangeEnd { end: AttemptEnd::without_answer(Outcome::Unknown), reusable: false });
    }
    let (head, body) = response.into_parts();
    let load = load_report(&head.headers);
    let body = Limited::new(body, MAX_BODY_BYTES).collect();
    let (outcome, answer, complete) = if head.status != StatusCode::OK {
        // The outcome is known: a body that breaks or stalls must not change it.
        let complete = matches!(timeout(DISCARD_TIMEOUT, body).await, Ok(Ok(_)));
        (outcome_of_status(head.status, &head.headers), None, complete)
    } else if !is_framed(&head.headers) {
        (Outcome::Unknown, None, false)
    } else {
        match body.await {
            Ok(body) => (Outcome::Served, Some(detach_from_read_buffer(head, body.to_bytes())), true),
            // The request has run, but its response is lost.
            Err(error) => (outcome_of_error(&*error), None, false),
        }
    };
    // Make the connection ready before the outcome is reported, or the next request would find no idle connection.
    let reusable =
        complete && matches!(timeout(DISCARD_TIMEOUT, connection.sender.ready()).await, Ok(Ok(())));
    if reusable {
        connection.record_response();
        // The connection's task detects bytes beyond the response only when it is polled once more.
        yield_now().await;
    }
    Some(ExchangeEnd { end: AttemptEnd { outcome, load, answer }, reusable })
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

/// Whether the head delimits the body unambiguously. Several lengths or both framings are ambiguous, and a body that
/// lasts until the connection closes may have been truncated.
fn is_framed(headers: &HeaderMap) -> bool {
    let count = |name| headers.get_all(name).iter().count();
    matches!((count(header::CONTENT_LENGTH), count(header::TRANSFER_ENCODING)), (1, 0) | (0, 1))
}
