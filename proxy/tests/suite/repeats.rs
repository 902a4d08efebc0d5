//! Retries whose connection is established late. The test causes the delay itself: a host's queue of new connections is
//! full until the proxy's first SYN has been dropped.

use crate::harness::*;
use serde_json::json;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;

/// A keyed request may be retried for 0.9 s. Its first attempt is read and reset at once, and the retry is picked at
/// once, but its connection is established only when the system repeats the SYN a second later. Nothing may be written
/// to it then, and the client must get its response at the end of the 0.9 s.
#[test]
fn a_retry_connected_after_its_window_is_not_written() {
    run(async {
        let hosts = [short_queue_listener(), short_queue_listener()];
        let at = |host: usize| hosts[host].local_addr().expect("an address");
        let proxy = Proxy::start_with(&Discovery::heartbeats_only().await, &[], |config| {
            let listed = [0, 1].map(|host| entry(&format!("s-{host}"), at(host), "Ready"));
            config["known"]["hosts"] = json!(listed);
            config["settings"]["classes"][1]["repeat_window_us"] = json!(900_000);
            config["settings"]["limits"]["connect_timeout_us"] = json!(4_000_000);
        })
        .await;
        // One of the two hosts has a call that stalls: the next call is sent to the other.
        let mut stalling = proxy.client().await;
        stalling.send(&request("free", "", "")).await;
        let (late, stalled) = tokio::select! {
            accepted = hosts[0].accept() => (0, accepted),
            accepted = hosts[1].accept() => (1, accepted),
        };
        let mut stalled = Reader::new(stalled.expect("accepted").0);
        stalled.message().await.expect("the call that stalls");
        // Two connections fill its queue.
        let mut queued = Vec::new();
        for _ in 0..2 {
            queued.push(TcpStream::connect(at(late)).await.expect("the queue has room"));
        }
        let mut client = proxy.client().await;
        client.send(&request("keyed", "", "enters")).await;
        let mut first = Reader::new(hosts[1 - late].accept().await.expect("accepted").0);
        first.message().await.expect("the first attempt");
        let first = first.stream.into_std().expect("a stream");
        socket2::SockRef::from(&first)
            .set_linger(Some(std::time::Duration::ZERO))
            .expect("the option is set");
        drop(first);
        eventually("the retry's connection is pending", || is_connecting_to(at(late))).await;
        for _ in 0..queued.len() {
            hosts[late].accept().await.expect("a connection that filled the queue");
        }
        let [one, other] = hosts;
        let host = if late == 0 { one } else { other };
        let read = spawn_local(async move {
            let mut retry = Reader::new(host.accept().await.expect("accepted").0);
            let read = retry.message().await;
            let HostAction::Respond(answer) = ok("ran twice") else { unreachable!("ok() is a Respond") };
            let _ = retry.stream.write_all(answer.as_bytes()).await;
            read.is_some()
        });
        let answer = client.message().await.expect("an answer");
        assert_eq!(answer.status(), 502);
        assert!(!read.is_finished() || !read.await.expect("no panic"));
    });
}

/// A listener whose queue holds two new connections.
fn short_queue_listener() -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    socket.listen(1).expect("listening")
}

/// Whether a connection to an address is being opened (state SYN_SENT), by the system's table.
fn is_connecting_to(address: SocketAddr) -> bool {
    let SocketAddr::V4(address) = address else { return false };
    let remote = format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table of connections");
    let mut lines = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    lines.any(|fields| fields.get(2) == Some(&&*remote) && fields.get(3) == Some(&"02"))
}
