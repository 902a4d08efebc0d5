//! Connections to hosts, and one exchange on one of them.

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

/// Most bytes of a body, either way.
pub const BODY_MOST: usize = 64 << 10;
/// Most bytes of a head that are kept. Every connection may hold so much: with all of them at it, it must fit
/// into the least memory.
pub const HEAD_MOST: usize = 16 << 10;
/// Most requests that a host can be thought to hold or to keep waiting: what reports more is no report.
const LOAD_MOST: f64 = 10_000.0;
/// Time for the rest of an answer that is not passed on; past it the connection is given up instead.
const REST: Duration = Duration::from_millis(20);

/// Bodies up to this size are copied out of what their connection reads into; a larger one fills most of its own.
const COPIED_MOST: usize = 4 << 10;
/// A kept connection that breaks within this time of being written to was closed before the request came.
const CROSSING: Duration = Duration::from_millis(20);

/// A request's body on its way: it notes when all of it has been taken to be written.
#[derive(Debug)]
pub struct Outgoing {
    body: Full<Bytes>,
    meter: Meter,
}

impl Outgoing {
    /// A body of an attempt with this meter.
    pub fn new(body: Bytes, meter: &Meter) -> Outgoing {
        // One without a byte is not asked for any.
        meter.made(body.is_empty());
        Outgoing { body: Full::new(body), meter: meter.clone() }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        self.meter.made(self.body.is_end_stream());
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Sends a request on a connection and reads the whole answer. The connection comes back if it can be used again.
/// `None`: it was found closed before any of the request was written.
pub async fn exchange(
    mut connection: Connection,
    request: Request<Outgoing>,
    meter: &Meter,
) -> Option<(AttemptEnd<Response<Bytes>>, Option<Connection>)> {
    connection.socket.count(meter);
    let (kept, started) = (connection.reads > 0, Instant::now());
    let response = match connection.sender.send_request(request).await {
        Ok(response) => response,
        Err(_) if meter.bytes() == 0 => return None,
        Err(error) => {
            // The one read since is that of its end: nothing of an answer has come.
            let unanswered = kept && connection.socket.reads() <= connection.reads + 1;
            let outcome = broken(&error);
            let stale = outcome == Outcome::Reset && unanswered && started.elapsed() < CROSSING;
            return Some((AttemptEnd::without_answer(if stale { Outcome::Stale } else { outcome }), None));
        }
    };
    let (head, body) = response.into_parts();
    let load = report(&head.headers);
    let body = Limited::new(body, BODY_MOST).collect();
    let (outcome, answer, whole) = if head.status != StatusCode::OK {
        // The outcome is known: a rest that breaks or stalls must not change it.
        let whole = matches!(timeout(REST, body).await, Ok(Ok(_)));
        (refusal(head.status, &head.headers), None, whole)
    } else if !is_framed(&head.headers) {
        (Outcome::Unknown, None, false)
    } else {
        match body.await {
            Ok(body) => (Outcome::Served, Some(detached(head, body.to_bytes())), true),
            // It has run, and what it said is lost.
            Err(error) => (broken(&*error), None, false),
        }
    };
    // Ready again before the outcome is told: else the next request would find no idle connection.
    let mut again = whole && matches!(timeout(REST, connection.sender.ready()).await, Ok(Ok(())));
    if again {
        connection.reads = connection.socket.reads();
        // Its task finds what it has read beyond the answer only when it is polled once more.
        yield_now().await;
        again = connection.is_ready();
    }
    Some((AttemptEnd { outcome, load, answer }, again.then_some(connection)))
}

/// An answer that holds nothing of what its connection reads into: whoever keeps a few bytes of one would keep all of
/// that buffer, and the connection would need another for the next answer.
fn detached(mut head: Parts, body: Bytes) -> Response<Bytes> {
    if body.len() > COPIED_MOST {
        return Response::from_parts(head, body);
    }
    for value in head.headers.values_mut() {
        // What was a value is one.
        if let Ok(copy) = HeaderValue::from_bytes(value.as_bytes()) {
            *value = copy;
        }
    }
    Response::from_parts(head, Bytes::copy_from_slice(&body))
}

/// Whether a head tells for sure where its body ends. Two lengths or two framings may be read in two ways, and
/// what lasts until the connection ends may have been cut short.
fn is_framed(headers: &HeaderMap) -> bool {
    let count = |name| headers.get_all(name).iter().count();
    matches!((count(header::CONTENT_LENGTH), count(header::TRANSFER_ENCODING)), (1, 0) | (0, 1))
}

/// What an exchange proves that broke after writing. An answer that cannot be read, or is too long, is no reset:
/// the connection held. But the request may have run as well.
fn broken(error: &(dyn Error + 'static)) -> Outcome {
    let mut causes = std::iter::successors(Some(error), |error| (*error).source());
    let spoilt = causes.any(|cause| {
        let bad = |kind| matches!(kind, io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData);
        cause.is::<LengthLimitError>()
            || cause.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_parse)
            || cause.downcast_ref::<io::Error>().is_some_and(|error| bad(error.kind()))
    });
    if spoilt {
        Outcome::Unknown
    } else {
        Outcome::Reset
    }
}

/// What an answer other than 200 proves.
fn refusal(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let unseen = headers.get("x-rejected").is_some_and(|v| v == "1");
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unseen => Outcome::TurnedAway,
        StatusCode::INTERNAL_SERVER_ERROR => Outcome::Error,
        // The request is at fault: bad clients must not make good hosts look ill.
        status if status.is_client_error() => Outcome::Unusable,
        _ => Outcome::Unknown,
    }
}

/// The first load report that can be read: a spoilt one may stand beside it.
fn report(headers: &HeaderMap) -> Load {
    let mut loads = headers.get_all("x-load-report").iter().filter_map(|v| load(v.to_str().ok()?));
    loads.next().unwrap_or_default()
}

/// Reads a load report, `name=value,name=value`. The names are those of the settings (`report.columns`), as on
/// the simulator's wire: read under other names, every report would be lost without a sign. One that holds what
/// no host can mean is none: a negative load would draw every call.
fn load(text: &str) -> Option<Load> {
    let mut load = Load::default();
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        let (place, most) = match name.trim() {
            "active" => (&mut load.in_hand, LOAD_MOST),
            "waiting" => (&mut load.waiting, LOAD_MOST),
            "cpu" => (&mut load.busy, 1.0),
            _ => continue,
        };
        let value = value.trim().parse().ok().filter(|v: &f64| (0.0..=most).contains(v))?;
        if place.replace(value).is_some() {
            return None;
        }
    }
    (load != Load::default()).then_some(load)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_load_report_is_read_under_the_names_of_the_settings() {
        let read = load("active=7.5,waiting=2,avg_ms=14.766, cpu = 0.5");
        assert_eq!(read, Some(Load { in_hand: Some(7.5), waiting: Some(2.0), busy: Some(0.5) }));
    }

    #[test]
    fn what_no_host_can_mean_is_no_load_report() {
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
            assert_eq!(load(text), None, "{text}");
        }
    }

    #[test]
    fn a_spoilt_load_report_does_not_hide_the_one_beside_it() {
        let mut headers = HeaderMap::new();
        headers.append("x-load-report", "{".parse().expect("a value"));
        headers.append("x-load-report", "active=1,waiting=0".parse().expect("a value"));
        assert_eq!(report(&headers).in_hand, Some(1.0));
    }
}

#[cfg(test)]
mod connection_tests {
    use super::super::Slot;
    use super::*;
    use crate::meter::{Fresh, Repeats};
    use std::future::Future;
    use tokio::io::AsyncReadExt;
    use tokio::net::{TcpListener, TcpStream};
    use tokio::task::LocalSet;

    fn run<T>(test: impl Future<Output = T>) -> T {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, test)
    }

    async fn pair() -> (Connection, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let open = Connection::open(address, Duration::from_secs(5), Slot::alone()).await.expect("it opens");
        (open, listener.accept().await.expect("accepted").0)
    }

    /// A request is with its connection's task, which has written nothing yet, when its attempt is withdrawn as one that
    /// never ran. That must stay true, though the attempt's own task ends only when it is polled next.
    #[test]
    fn nothing_is_written_for_an_attempt_that_was_withdrawn() {
        run(async {
            let (connection, mut host) = pair().await;
            let meter = Meter::default();
            let request = Request::new(Outgoing::new(Bytes::from_static(b"body"), &meter));
            let mut exchange = Box::pin(exchange(connection, request, &meter));
            // It hands the request over.
            assert!(std::future::poll_fn(|c| Poll::Ready(exchange.as_mut().poll(c).is_pending())).await);
            assert_eq!(meter.bytes(), 0);
            meter.revoke();
            // The connection's task is polled, and the attempt's is still there.
            for _ in 0..8 {
                yield_now().await;
            }
            assert_eq!(meter.bytes(), 0);
            drop(exchange);
            let mut read = Vec::new();
            // Closed or reset, with nothing before it.
            let _ = host.read_to_end(&mut read).await;
            assert_eq!(read, b"");
        });
    }

    /// The earlier of two attempts of a call has its connection only now, and the later one was written so long ago that
    /// no repeat may follow it: nothing is written of the earlier one, until the other is known never to have run.
    #[test]
    fn nothing_is_written_past_the_window_of_another_attempt() {
        run(async {
            for (window, proven, written) in [(0, false, false), (0, true, true), (3_600, false, true)] {
                let repeats = Repeats::new(Some(Duration::from_secs(window)));
                let [earlier, later] = [0, 1].map(|n| Meter::new(Fresh::default(), repeats.clone(), n));
                let (connection, _host) = pair().await;
                later.add(1);
                if proven {
                    repeats.never_ran(1);
                }
                let request = Request::new(Outgoing::new(Bytes::from_static(b"body"), &earlier));
                let mut exchange = Box::pin(exchange(connection, request, &earlier));
                let polled =
                    std::future::poll_fn(|c| Poll::Ready(exchange.as_mut().poll(c).is_pending())).await;
                assert!(polled);
                yield_now().await;
                assert_eq!(earlier.bytes() > 0, written, "{window} {proven}");
            }
        });
    }

    /// A request was decided by a list that expires before its connection is up: nothing is written of it. One whose first
    /// byte is written goes on.
    #[test]
    fn nothing_is_begun_by_a_list_that_has_expired() {
        run(async {
            for (begun, left, written) in
                [(0, None, true), (0, Some(60), true), (0, Some(0), false), (1, Some(0), true)]
            {
                let fresh = Fresh::default();
                fresh.expires(left.map(|left| Instant::now() + Duration::from_secs(left)));
                let meter = Meter::new(fresh, Repeats::default(), 0);
                meter.add(begun);
                let (connection, _host) = pair().await;
                let request = Request::new(Outgoing::new(Bytes::from_static(b"body"), &meter));
                let mut exchange = Box::pin(exchange(connection, request, &meter));
                let polled =
                    std::future::poll_fn(|c| Poll::Ready(exchange.as_mut().poll(c).is_pending())).await;
                assert!(polled);
                yield_now().await;
                assert_eq!(meter.bytes() > begun, written, "{begun} {left:?}");
            }
        });
    }

    /// An attempt is whole when its last byte is written, with a body and without one, and not before.
    #[test]
    fn an_attempt_is_whole_when_its_last_byte_is_written() {
        run(async {
            for body in ["", "body"] {
                let (connection, mut host) = pair().await;
                let meter = Meter::default();
                let request = Request::new(Outgoing::new(Bytes::from_static(body.as_bytes()), &meter));
                let mut exchange = Box::pin(exchange(connection, request, &meter));
                assert!(std::future::poll_fn(|c| Poll::Ready(exchange.as_mut().poll(c).is_pending())).await);
                assert!(!meter.is_whole());
                yield_now().await;
                assert!(meter.is_whole(), "{body:?}");
                let mut read = vec![0; meter.bytes()];
                host.read_exact(&mut read).await.expect("all of it is there");
                assert!(read.ends_with(body.as_bytes()));
            }
        });
    }
}
