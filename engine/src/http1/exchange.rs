//! One request and its response on a connection to a host.

use super::connection::Connection;
use crate::meter::Meter;
use crate::protocol::AttemptEnd;
use http::response::Parts;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Bytes, Frame, SizeHint};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use nettleworks_policy::{Load, Outcome};
use std::convert::Infallible;
use std::error::Error;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{timeout, Instant};

/// Maximum size of the body of a request or response.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Maximum size of the head of a message. Every connection may buffer this much, so all connections together must fit
/// into the smallest memory that a proxy may have.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum plausible number of requests that a host reports as active or waiting; a larger one makes the report invalid.
const MAX_REPORTED_LOAD: f64 = 10_000.0;
/// Timeout for reading the rest of a response that is not passed on; after it the connection is closed instead.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(20);

/// Bodies up to this size are copied out of the read buffer of their connection; a larger one occupies most of the
/// buffer anyway.
const MAX_COPIED_BODY_BYTES: usize = 4 << 10;
/// A reused connection that breaks within this time after a request was written was closed by the host before the
/// request arrived.
const STALE_CLOSE_WINDOW: Duration = Duration::from_millis(20);

/// A request body that records in the meter when hyper has taken all of it.
#[derive(Debug)]
pub struct OutgoingBody {
    body: Full<Bytes>,
    meter: Meter,
}

impl OutgoingBody {
    /// The body of the attempt that `meter` belongs to.
    pub fn new(body: Bytes, meter: &Meter) -> OutgoingBody {
        // hyper does not poll an empty body.
        meter.set_encoded(body.is_empty());
        OutgoingBody { body: Full::new(body), meter: meter.clone() }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        self.meter.set_encoded(self.body.is_end_stream());
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

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

/// The outcome of an exchange that failed after writing. A response that is invalid or too long is not a reset, since
/// the connection held, but the request may have run all the same.
fn outcome_of_error(error: &(dyn Error + 'static)) -> Outcome {
    let mut causes = std::iter::successors(Some(error), |error| (*error).source());
    let invalid_response = causes.any(|cause| {
        let is_invalid = |kind| matches!(kind, io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData);
        cause.is::<LengthLimitError>()
            || cause.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_parse)
            || cause.downcast_ref::<io::Error>().is_some_and(|error| is_invalid(error.kind()))
    });
    if invalid_response {
        Outcome::Unknown
    } else {
        Outcome::Reset
    }
}

/// The outcome of a response with a status other than 200.
fn outcome_of_status(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let not_processed = headers.get("x-rejected").is_some_and(|v| v == "1");
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_processed => Outcome::TurnedAway,
        StatusCode::INTERNAL_SERVER_ERROR => Outcome::Error,
        // The request is at fault: faulty clients must not make healthy hosts look unhealthy.
        status if status.is_client_error() => Outcome::Unusable,
        _ => Outcome::Unknown,
    }
}

/// The first valid load report among the headers; there may be invalid ones beside it.
fn load_report(headers: &HeaderMap) -> Load {
    let mut loads = headers.get_all("x-load-report").iter().filter_map(|v| parse_load(v.to_str().ok()?));
    loads.next().unwrap_or_default()
}

/// Parses a load report, `name=value,name=value`. The names are those of the settings (`report.columns`), as on the
/// simulator's wire; with other names every report would be ignored silently. A report with an implausible value is
/// invalid as a whole: a negative load would attract every call.
fn parse_load(text: &str) -> Option<Load> {
    let mut load = Load::default();
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        let (field, max) = match name.trim() {
            "active" => (&mut load.active, MAX_REPORTED_LOAD),
            "waiting" => (&mut load.waiting, MAX_REPORTED_LOAD),
            "cpu" => (&mut load.cpu, 1.0),
            _ => continue,
        };
        let value = value.trim().parse().ok().filter(|v: &f64| (0.0..=max).contains(v))?;
        if field.replace(value).is_some() {
            return None;
        }
    }
    (load != Load::default()).then_some(load)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_load_report_uses_the_column_names_of_the_settings() {
        let read = parse_load("active=7.5,waiting=2,avg_ms=14.766, cpu = 0.5");
        assert_eq!(read, Some(Load { active: Some(7.5), waiting: Some(2.0), cpu: Some(0.5) }));
    }

    #[test]
    fn a_malformed_or_implausible_load_report_is_ignored() {
        for text in [
            "",
            "=,=",
            "{",
            "%%%",
            "TEXT ?",
            "odd=1",
            "active",
            "active=NaN",
            "active=-1,waiting=0",
            "active=1e300",
            "active=inf",
            "active=many,waiting=1",
            "cpu=7",
            "active=1,active=2",
            "active=1,waiting",
        ] {
            assert_eq!(parse_load(text), None, "{text}");
        }
    }

    #[test]
    fn an_invalid_load_report_does_not_hide_a_valid_one() {
        let mut headers = HeaderMap::new();
        headers.append("x-load-report", "{".parse().expect("a value"));
        headers.append("x-load-report", "active=1,waiting=0".parse().expect("a value"));
        assert_eq!(load_report(&headers).active, Some(1.0));
    }
}
