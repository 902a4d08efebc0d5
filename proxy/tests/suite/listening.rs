//! The listening side: slow, silent and idle connections, and the shutdown. It runs on the deployments that listen
//! themselves, the program and `fleet.serve`; in an application its own server is responsible for this.

use crate::harness::*;
use std::slice::from_ref;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// A charge ran with a part of its body: the length that its client stated was too short, and the rest, right behind it,
/// was only rejected as the next request. What may be another request behind it, or an empty line, changes nothing.
#[test]
fn a_request_whose_length_is_too_short_reaches_no_host() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        for rest in ["&to=7", "\",\"to\":7}", "no request"] {
            let mut client = proxy.client().await;
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.status(), 200);
            let before = host.count();
            client.send(&(request("unsafe", "", "amount=12") + rest)).await;
            let answer = client.message().await.expect("an answer");
            assert_eq!((answer.status(), answer.header("connection")), (400, Some("close")), "{rest}");
            assert_eq!(host.count(), before, "{rest}");
        }
        for next in [String::new(), "\r\n".to_owned(), request("unsafe", "", "amount=34")] {
            let mut client = proxy.client().await;
            client.send(&(request("unsafe", "", "amount=12") + &next)).await;
            assert_eq!(client.message().await.expect("an answer").status(), 200, "{next}");
            let received = host.received.borrow().iter().any(|message| message.body == b"amount=12");
            assert!(received, "{next}");
            host.received.borrow_mut().clear();
        }
    });
}

/// A client that sends nothing, only a part of a request, or sends too slowly occupies a connection: it must get a
/// response or a close within 3 s.
#[test]
fn silent_and_slow_clients_are_closed() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let head = request("unsafe", "", "the body");
        let (mut silent, mut half, mut body) =
            (proxy.client().await, proxy.client().await, proxy.client().await);
        half.send(&head[..30]).await;
        body.send(&head[..head.len() - 2]).await;
        // Its second request arrives byte by byte: a byte must not restart the timeout.
        let mut slow = proxy.client().await;
        assert_eq!(slow.exchange(&request("unsafe", "", "")).await.status(), 200);
        let trickle = async {
            for byte in head.as_bytes().chunks(1).cycle() {
                if slow.stream.write_all(byte).await.is_err() {
                    break;
                }
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            }
        };
        let others = async {
            assert!(silent.message().await.is_none());
            assert!(half.message().await.is_none());
            assert_eq!(body.message().await.map(|answer| answer.status()), Some(408));
        };
        tokio::join!(trickle, others);
        assert_eq!(host.count(), 1);
    });
}

/// Clients that send one request each and keep their connections must not use up the limit: while many connections are
/// open, the response to the first request on a connection closes it.
#[test]
fn idle_connections_are_closed_while_many_are_open() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let proxy = Proxy::start_with(&Discovery::heartbeats_only().await, &[host], |config| {
            config["limits"]["sockets"] = 64.into();
        })
        .await;
        let mut clients = Vec::new();
        let mut closed = 0;
        // A sixth of the 64 descriptors are for clients' connections.
        for _ in 0..15 {
            let mut client = proxy.client().await;
            let answer = client.exchange(&request("free", "", "")).await;
            assert_eq!(answer.status(), 200);
            closed += usize::from(answer.header("connection") == Some("close"));
            clients.push(client);
        }
        assert!((1..=6).contains(&closed), "{closed}");
        let is_closed = |client: &Client| client.stream.try_read(&mut [0]).is_ok_and(|count| count == 0);
        eventually("the connections are closed", || {
            clients.iter().filter(|client| is_closed(client)).count() == closed
        })
        .await;
        assert_eq!(clients[0].exchange(&request("free", "", "")).await.status(), 200, "the others are kept");
    });
}

/// At the limit connections without a request must be evicted first, and a client that has just been answered keeps its
/// connection.
#[test]
fn active_clients_keep_their_connections() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let proxy = Proxy::start_with(&Discovery::heartbeats_only().await, &[host], |config| {
            config["limits"]["sockets"] = 64.into();
        })
        .await;
        let mut active = proxy.client().await;
        assert_eq!(active.exchange(&request("free", "", "")).await.status(), 200);
        let mut silent = Vec::new();
        for _ in 0..100 {
            silent.push(proxy.client().await);
            assert_eq!(active.exchange(&request("free", "", "")).await.status(), 200);
        }
    });
}

/// Clients that connect and send nothing must not lock out others, nor use more file descriptors than there are.
#[test]
fn silent_connections_do_not_lock_out_others() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let proxy = Proxy::start_with(&Discovery::heartbeats_only().await, &[host], |config| {
            config["limits"]["sockets"] = 64.into();
        })
        .await;
        let mut silent = Vec::new();
        for _ in 0..40 {
            silent.push(proxy.client().await);
        }
        assert_eq!(proxy.client().await.exchange(&request("free", "", "")).await.status(), 200);
    });
}

/// A shutdown must answer all accepted requests, accept new connections for as long as they arrive, and close the
/// others.
#[test]
fn a_shutdown_answers_all_accepted_requests() {
    run(async {
        let host = Host::start([ok("before"), HostAction::Stall, ok("after")]).await;
        let mut proxy = Proxy::start(from_ref(&host)).await;
        let (mut idle, mut busy) = (proxy.client().await, proxy.client().await);
        let mut half = proxy.client().await;
        assert_eq!(idle.exchange(&request("unsafe", "", "")).await.body, b"before");
        busy.send(&request("unsafe", "", "").replace("8000", "1500")).await;
        half.send("POST /api HTTP/1.1\r\nX-Call").await;
        eventually("the host has the request", || host.count() == 2).await;
        drop(proxy.stop.take());
        let mut late = proxy.client().await;
        assert_eq!(late.exchange(&request("unsafe", "", "")).await.body, b"after");
        assert_eq!(busy.message().await.expect("an answer").status(), 502);
        (&mut proxy.task).await.expect("no panic");
        assert!(idle.message().await.is_none(), "closed between requests");
        assert!(TcpStream::connect(proxy.address).await.is_err(), "the proxy no longer listens");
    });
}
