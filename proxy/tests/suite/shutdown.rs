//! Races of the shutdown with requests, and clients that disconnect. Each test controls the order of the events itself:
//! its clients and hosts act only when the test lets them.

use crate::harness::*;
use std::slice::from_ref;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

const NO_HOSTS: fn(&mut serde_json::Value) = |config| config["known"]["hosts"] = serde_json::json!([]);

/// SIGKILL comes 3.7 s after SIGTERM where deadlines are longer than 3 s (here 9 s). A request without a response by
/// then must get one before the process exits: failed if it may have run, refused if it surely never did.
#[test]
fn open_requests_are_answered_at_the_end_of_a_shutdown() {
    run(async {
        let host = Host::start([HostAction::Stall]).await;
        let mut hanging = Proxy::start(from_ref(&host)).await;
        let mut hostless = Proxy::start_with(&Discovery::heartbeats_only().await, &[], NO_HOSTS).await;
        let (mut ran, mut held) = (hanging.client().await, hostless.client().await);
        ran.send(&request("unsafe", "", "pays")).await;
        held.send(&request("unsafe", "", "pays")).await;
        eventually("the charge is at the host", || host.count() == 1).await;
        // Returns once a later request has been answered, so this one has been read.
        hostless.wait_until_processed().await;
        for proxy in [&mut hanging, &mut hostless] {
            proxy.stop.take().expect("not stopped yet").send(()).expect("the proxy runs");
        }
        let (ran, held) = tokio::join!(ran.message(), held.message());
        let (ran, held) = (ran.expect("a complete response"), held.expect("a complete response"));
        assert_eq!((ran.status(), held.status()), (502, 503));
        for proxy in [hanging, hostless] {
            proxy.task.await.expect("no panic");
        }
        assert_eq!(host.count(), 1);
    });
}

/// A shutdown must close idle connections while new ones are still accepted, so that a request that crosses the close
/// can be sent again; the response to an open request must close its connection.
#[test]
fn a_shutdown_closes_idle_connections_while_new_ones_are_accepted() {
    run(async {
        let (head, rest) = ("HTTP/1.1 200 OK\r\n".to_owned(), "Content-Length: 4\r\n\r\npaid".to_owned());
        let host =
            Host::start([ok("first"), ok("second"), HostAction::RespondInTwoParts(head, rest), ok("again")])
                .await;
        let mut proxy = Proxy::start(from_ref(&host)).await;
        let (mut idle, mut busy) = (proxy.client().await, proxy.client().await);
        assert_eq!(idle.exchange(&request("free", "", "")).await.status(), 200);
        assert_eq!(busy.exchange(&request("free", "", "")).await.status(), 200);
        busy.send(&request("unsafe", "", "pays")).await;
        eventually("the charge is at the host", || host.count() == 3).await;
        proxy.stop.take().expect("not stopped yet").send(()).expect("the proxy runs");
        assert!(idle.message().await.is_none());
        // The idle connection was closed; its next request is sent on a new one.
        let mut again = proxy.client().await;
        let answer = again.exchange(&request("free", "", "")).await;
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        host.release.notify_one();
        let answer = busy.message().await.expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        proxy.task.await.expect("no panic");
    });
}

/// Half of a request has arrived when the shutdown begins, and the other half arrives later; a new connection without a
/// request sends its first one later, too. Both must be answered.
#[test]
fn requests_that_cross_the_start_of_a_shutdown_are_answered() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let mut proxy = Proxy::start(from_ref(&host)).await;
        let (mut half, mut new) = (proxy.client().await, proxy.client().await);
        assert_eq!(half.exchange(&request("free", "", "")).await.status(), 200);
        let text = request("unsafe", "", "pays");
        let (first, second) = text.split_at(text.len() / 2);
        half.send(first).await;
        proxy.wait_until_processed().await;
        proxy.stop.take().expect("not stopped yet").send(()).expect("the proxy runs");
        // A response with `Connection: close` shows that the shutdown has begun.
        let ask = async || proxy.client().await.exchange(&request("free", "", "")).await;
        while ask().await.header("connection") != Some("close") {}
        half.send(second).await;
        assert_eq!(half.message().await.expect("an answer").status(), 200);
        assert_eq!(new.exchange(&request("unsafe", "", "pays")).await.status(), 200);
        proxy.task.await.expect("no panic");
    });
}

/// A whole request is unread on an idle connection when the shutdown begins; if the proxy runs on this thread, nothing
/// is polled in between. The request must be answered rather than its connection closed.
#[test]
fn a_request_unread_at_the_start_of_a_shutdown_is_answered() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let mut proxy = Proxy::start(from_ref(&host)).await;
        let mut client = proxy.client().await;
        assert_eq!(client.exchange(&request("free", "", "")).await.status(), 200);
        let text = request("unsafe", "", "pays");
        assert_eq!(client.stream.try_write(text.as_bytes()).expect("written"), text.len());
        proxy.stop.take().expect("not stopped yet").send(()).expect("the proxy runs");
        assert_eq!(client.message().await.expect("an answer").status(), 200);
        proxy.task.await.expect("no panic");
    });
}

/// A client that disconnects must be noticed even if it has sent more bytes after its request: its call ends without a
/// response.
#[test]
fn a_disconnect_is_noticed_behind_unread_input() {
    run(async {
        let proxy = Proxy::start_with(&Discovery::heartbeats_only().await, &[], NO_HOSTS).await;
        for more in ["", "GET /", &request("unsafe", "", "once more")] {
            let mut client = proxy.client().await;
            client.send(&(request("unsafe", "", "pays") + more)).await;
            client.stream.shutdown().await.expect("it ends its sending");
            // The proxy closes or rejects it at once; otherwise a response would come at the request's deadline.
            let answer = client.message().await;
            assert!(answer.is_none_or(|answer| answer.status() == 400), "{more}");
        }
    });
}

/// Many requests wait for a host, and their clients disconnect by closing or by a reset, some with more bytes after the
/// request. 0.3 s later, the limit that the operators set, a host becomes available: none of these requests may be
/// sent.
#[test]
fn requests_of_disconnected_clients_are_not_sent() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let discovery = Discovery::heartbeats_only().await;
        let proxy = Proxy::start_with(&discovery, &[], NO_HOSTS).await;
        eventually("the watch is open", || discovery.watch_requests.borrow().len() == 1).await;
        let mut clients = Vec::new();
        for number in 0..90 {
            let more = ["", "GET /", &request("unsafe", "", "once more")][number % 3].to_owned();
            let mut client = proxy.client().await;
            client.send(&(request(["free", "keyed", "unsafe"][number / 3 % 3], "", "") + &more)).await;
            clients.push(client);
        }
        let mut connected = proxy.client().await;
        connected.send(&request("unsafe", "", "stays")).await;
        proxy.wait_until_processed().await;
        for (number, client) in clients.into_iter().enumerate() {
            if number % 2 == 0 {
                reset(client.stream);
            }
        }
        sleep(Duration::from_millis(300)).await;
        discovery.push(&chunk(&list(42, true, &[entry("s-9", host.address, "Ready")]))).await;
        assert_eq!(connected.message().await.expect("an answer").status(), 200);
        // Requests that waited together with it would have been sent before its response was read.
        assert_eq!(proxy.client().await.exchange(&request("unsafe", "", "after")).await.status(), 200);
        let bodies: Vec<_> = host.received.borrow().iter().map(|seen| seen.body.clone()).collect();
        assert_eq!(bodies, [b"stays".to_vec(), b"after".to_vec()]);
    });
}

/// Closes a connection by a reset.
fn reset(stream: TcpStream) {
    let stream = stream.into_std().expect("a stream");
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("it can be set");
}
