//! Tests of exchanges on a connection to a peer that each test plays itself.

use super::connection::Connection;
use super::exchange::exchange;
use super::outgoing_body::OutgoingBody;
use super::slot::Slot;
use crate::meter::{FreshnessGate, Meter, RepeatWindow};
use hyper::body::Bytes;
use hyper::Request;
use nettleworks_policy::Outcome;
use std::future::Future;
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{yield_now, LocalSet};
use tokio::time::Instant;

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

async fn pair() -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let open = Connection::open(address, Duration::from_secs(5), Slot::for_test()).await.expect("it opens");
    (open, listener.accept().await.expect("accepted").0)
}

/// An attempt is revoked, as one that never ran, after its request was passed to the connection's task but before
/// that task has written anything. Nothing may be written then, although the attempt's own task has not ended yet.
#[test]
fn nothing_is_written_for_a_revoked_attempt() {
    run(async {
        let (mut connection, mut host) = pair().await;
        let meter = Meter::default();
        let request = Request::new(OutgoingBody::new(Bytes::from_static(b"body"), &meter));
        let mut exchange = Box::pin(exchange(&mut connection, request, &meter));
        // Passes the request to the connection's task.
        assert!(std::future::poll_fn(|c| Poll::Ready(exchange.as_mut().poll(c).is_pending())).await);
        assert_eq!(meter.bytes(), 0);
        meter.revoke();
        // The connection's task is polled while the attempt's task still exists.
        for _ in 0..8 {
            yield_now().await;
        }
        assert_eq!(meter.bytes(), 0);
        drop(exchange);
        drop(connection);
        let mut read = Vec::new();
        // Closed or reset, without any data before.
        let _ = host.read_to_end(&mut read).await;
        assert_eq!(read, b"");
    });
}

/// The connection of the earlier of two attempts of a call is established late, when the repeat window of the later
/// attempt, which has been written, is over. Nothing of the earlier attempt may be written, unless the later one
/// certainly never ran.
#[test]
fn nothing_is_written_after_the_repeat_window_of_another_attempt() {
    run(async {
        for (window, never_ran, written) in [(0, false, false), (0, true, true), (3_600, false, true)] {
            let repeats = RepeatWindow::new(Some(Duration::from_secs(window)));
            let [earlier, later] = [0, 1].map(|n| Meter::new(FreshnessGate::default(), repeats.clone(), n));
            let (mut connection, _host) = pair().await;
            later.record_written(1);
            if never_ran {
                repeats.forget_attempt(1);
            }
            let request = Request::new(OutgoingBody::new(Bytes::from_static(b"body"), &earlier));
            let mut exchange = Box::pin(exchange(&mut connection, request, &earlier));
            let polled = std::future::poll_fn(|c| Poll::Ready(exchange.as_mut().poll(c).is_pending())).await;
            assert!(polled);
            yield_now().await;
            assert_eq!(earlier.bytes() > 0, written, "{window} {never_ran}");
        }
    });
}

/// The list by which an attempt was decided expires before its connection is established: nothing of it may be
/// written. An attempt whose first byte is written continues.
#[test]
fn no_attempt_is_started_with_an_expired_list() {
    run(async {
        for (bytes_written, expires_in, written) in
            [(0, None, true), (0, Some(60), true), (0, Some(0), false), (1, Some(0), true)]
        {
            let fresh = FreshnessGate::default();
            fresh.set_expiry(expires_in.map(|expires_in| Instant::now() + Duration::from_secs(expires_in)));
            let meter = Meter::new(fresh, RepeatWindow::default(), 0);
            meter.record_written(bytes_written);
            let (mut connection, _host) = pair().await;
            let request = Request::new(OutgoingBody::new(Bytes::from_static(b"body"), &meter));
            let mut exchange = Box::pin(exchange(&mut connection, request, &meter));
            let polled = std::future::poll_fn(|c| Poll::Ready(exchange.as_mut().poll(c).is_pending())).await;
            assert!(polled);
            yield_now().await;
            assert_eq!(meter.bytes() > bytes_written, written, "{bytes_written} {expires_in:?}");
        }
    });
}

/// An attempt counts as fully written when its last byte is written and not before, with and without a body.
#[test]
fn an_attempt_is_fully_written_when_its_last_byte_is_written() {
    run(async {
        for body in ["", "body"] {
            let (mut connection, mut host) = pair().await;
            let meter = Meter::default();
            let request = Request::new(OutgoingBody::new(Bytes::from_static(body.as_bytes()), &meter));
            let mut exchange = Box::pin(exchange(&mut connection, request, &meter));
            assert!(std::future::poll_fn(|c| Poll::Ready(exchange.as_mut().poll(c).is_pending())).await);
            assert!(!meter.is_fully_written());
            yield_now().await;
            assert!(meter.is_fully_written(), "{body:?}");
            let mut read = vec![0; meter.bytes()];
            host.read_exact(&mut read).await.expect("all of it is there");
            assert!(read.ends_with(body.as_bytes()));
        }
    });
}

/// A request that does not fit into the buffers of both sides is answered before its end is written: whatever the
/// response is, it is not the response to this request. A rejection would let the request be sent again.
#[test]
fn a_response_before_the_end_of_its_request_is_not_its_response() {
    const BODY_BYTES: usize = 32 << 20;
    run(async {
        for status in ["200 OK", "503 Service Unavailable\r\nX-Rejected: 1"] {
            let (mut connection, mut host) = pair().await;
            let meter = Meter::default();
            let body = Bytes::from(vec![0; BODY_BYTES]);
            let request = Request::new(OutgoingBody::new(body, &meter));
            let host_side = async {
                host.peek(&mut [0]).await.expect("the request begins");
                let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
                host.write_all(response.as_bytes()).await.expect("written");
            };
            let (end, ()) = tokio::join!(exchange(&mut connection, request, &meter), host_side);
            let end = end.expect("a part was written");
            assert!(!meter.is_fully_written() && connection.socket.had_early_input());
            assert_eq!((end.end.outcome, end.reusable), (Outcome::Unknown, false), "{status}");
            assert!(end.end.answer.is_none());
        }
    });
}

/// Input that arrived after the connection's task was last polled is only seen by looking for it at the first write. It
/// cannot be the response to a request of which nothing is written yet.
#[test]
fn nothing_is_written_to_a_connection_with_unread_input() {
    run(async {
        let (mut connection, host) = pair().await;
        let mut host = host.into_std().expect("a stream");
        std::io::Write::write_all(&mut host, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            .expect("written");
        let meter = Meter::default();
        let request = Request::new(OutgoingBody::new(Bytes::new(), &meter));
        assert!(exchange(&mut connection, request, &meter).await.is_none());
        assert_eq!(meter.bytes(), 0);
        drop(connection);
        let read = std::io::Read::read(&mut host, &mut [0; 64]);
        assert!(!read.is_ok_and(|bytes| bytes > 0), "nothing is sent");
    });
}
