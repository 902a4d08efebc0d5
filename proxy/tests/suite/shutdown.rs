//! The stop, and what crosses it; and clients that leave. Each test makes the two events meet itself: what a client or a
//! host does, it does when the test says so.

use crate::harness::*;
use std::slice::from_ref;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

const NO_HOSTS: fn(&mut serde_json::Value) = |config| config["known"]["hosts"] = serde_json::json!([]);

/// SIGKILL comes 3.7 s after SIGTERM where deadlines are longer than 3 s (here 9 s). What has no answer by then has one
/// before the process ends: failed where it may have run, refused where it surely never did.
#[test]
fn open_requests_are_answered_at_the_end_of_a_shutdown() {
    run(async {
        let host = Host::start([Act::Stall]).await;
        let mut hanging = Proxy::start(from_ref(&host)).await;
        let mut hostless = Proxy::with(&Discovery::quiet().await, &[], NO_HOSTS).await;
        let (mut ran, mut held) = (hanging.client().await, hostless.client().await);
        ran.send(&request("unsafe", "", "pays")).await;
        held.send(&request("unsafe", "", "pays")).await;
        eventually("the charge is at the host", || host.count() == 1).await;
        // It has been read: an answer comes to what came after it.
        hostless.has_noticed().await;
        for proxy in [&mut hanging, &mut hostless] {
            proxy.stop.take().expect("it runs").send(()).expect("it stops");
        }
        let (ran, held) = tokio::join!(ran.message(), held.message());
        let (ran, held) = (ran.expect("a whole answer"), held.expect("a whole answer"));
        assert_eq!((ran.status(), held.status()), (502, 503));
        for proxy in [hanging, hostless] {
            proxy.task.await.expect("it ends well");
        }
        assert_eq!(host.count(), 1);
    });
}

/// A connection on which nothing is asked is closed while new ones are still taken, so that a request that crosses its
/// close has where to come again; the answer to what is open says that its connection closes.
#[test]
fn a_shutdown_closes_idle_connections_while_new_ones_are_accepted() {
    run(async {
        let (head, rest) = ("HTTP/1.1 200 OK\r\n".to_owned(), "Content-Length: 4\r\n\r\npaid".to_owned());
        let host = Host::start([ok("first"), ok("second"), Act::SayInTwo(head, rest), ok("again")]).await;
        let mut proxy = Proxy::start(from_ref(&host)).await;
        let (mut idle, mut busy) = (proxy.client().await, proxy.client().await);
        assert_eq!(idle.ask(&request("free", "", "")).await.status(), 200);
        assert_eq!(busy.ask(&request("free", "", "")).await.status(), 200);
        busy.send(&request("unsafe", "", "pays")).await;
        eventually("the charge is at the host", || host.count() == 3).await;
        proxy.stop.take().expect("it runs").send(()).expect("it stops");
        assert!(idle.message().await.is_none());
        // It came to an end, and what it would have asked goes on a new one.
        let mut again = proxy.client().await;
        let answer = again.ask(&request("free", "", "")).await;
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        host.release.notify_one();
        let answer = busy.message().await.expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        proxy.task.await.expect("it ends well");
    });
}

/// Half of a request is there when the stop is told, and the other half comes after it; a connection that has said
/// nothing yet asks after it, too. Both are answered.
#[test]
fn requests_that_cross_the_start_of_a_shutdown_are_answered() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let mut proxy = Proxy::start(from_ref(&host)).await;
        let (mut half, mut new) = (proxy.client().await, proxy.client().await);
        assert_eq!(half.ask(&request("free", "", "")).await.status(), 200);
        let text = request("unsafe", "", "pays");
        let (first, second) = text.split_at(text.len() / 2);
        half.send(first).await;
        proxy.has_noticed().await;
        proxy.stop.take().expect("it runs").send(()).expect("it stops");
        // An answer that says that its connection closes shows that the stop has begun.
        let ask = async || proxy.client().await.ask(&request("free", "", "")).await;
        while ask().await.header("connection") != Some("close") {}
        half.send(second).await;
        assert_eq!(half.message().await.expect("an answer").status(), 200);
        assert_eq!(new.ask(&request("unsafe", "", "pays")).await.status(), 200);
        proxy.task.await.expect("it ends well");
    });
}

/// A whole request lies unread on an idle connection when the stop is told, and nothing is polled in between where the
/// proxy is on this thread: it is answered, and its connection not closed on it.
#[test]
fn a_request_unread_at_the_start_of_a_shutdown_is_answered() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let mut proxy = Proxy::start(from_ref(&host)).await;
        let mut client = proxy.client().await;
        assert_eq!(client.ask(&request("free", "", "")).await.status(), 200);
        let text = request("unsafe", "", "pays");
        assert_eq!(client.stream.try_write(text.as_bytes()).expect("written"), text.len());
        proxy.stop.take().expect("it runs").send(()).expect("it stops");
        assert_eq!(client.message().await.expect("an answer").status(), 200);
        proxy.task.await.expect("it ends well");
    });
}

/// A client that has sent more than its request and then left has left: its call ends, and no answer is made for it.
#[test]
fn a_disconnect_is_noticed_behind_unread_input() {
    run(async {
        let proxy = Proxy::with(&Discovery::quiet().await, &[], NO_HOSTS).await;
        for more in ["", "GET /", &request("unsafe", "", "once more")] {
            let mut client = proxy.client().await;
            client.send(&(request("unsafe", "", "pays") + more)).await;
            client.stream.shutdown().await.expect("it ends its sending");
            // The proxy closes, or says at once that it is of no use; else an answer would come when its time is up.
            let answer = client.message().await;
            assert!(answer.is_none_or(|answer| answer.status() == 400), "{more}");
        }
    });
}

/// The operators' term, over many cases: requests that wait for a host, whose clients leave by closing or by a reset,
/// some with more behind the request. 0.3 s later a host comes: none of theirs is sent to it.
#[test]
fn requests_of_disconnected_clients_are_not_sent() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let discovery = Discovery::quiet().await;
        let proxy = Proxy::with(&discovery, &[], NO_HOSTS).await;
        eventually("the watch is open", || discovery.asked.borrow().len() == 1).await;
        let mut clients = Vec::new();
        for number in 0..90 {
            let more = ["", "GET /", &request("unsafe", "", "once more")][number % 3].to_owned();
            let mut client = proxy.client().await;
            client.send(&(request(["free", "keyed", "unsafe"][number / 3 % 3], "", "") + &more)).await;
            clients.push(client);
        }
        let mut connected = proxy.client().await;
        connected.send(&request("unsafe", "", "stays")).await;
        proxy.has_noticed().await;
        for (number, client) in clients.into_iter().enumerate() {
            if number % 2 == 0 {
                reset(client.stream);
            }
        }
        sleep(Duration::from_millis(300)).await;
        discovery.push(&chunk(&list(42, true, &[entry("s-9", host.address, "Ready")]))).await;
        assert_eq!(connected.message().await.expect("an answer").status(), 200);
        // What was held with it goes before its answer is read, or never.
        assert_eq!(proxy.client().await.ask(&request("unsafe", "", "after")).await.status(), 200);
        let bodies: Vec<_> = host.seen.borrow().iter().map(|seen| seen.body.clone()).collect();
        assert_eq!(bodies, [b"stays".to_vec(), b"after".to_vec()]);
    });
}

/// Closes a connection by a reset.
fn reset(stream: TcpStream) {
    let stream = stream.into_std().expect("a stream");
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("it can be set");
}
