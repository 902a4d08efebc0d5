//! Connections to hosts: reuse, closing, and requests that are not sent after all.

use crate::harness::*;
use std::slice::from_ref;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// Opening a connection costs a host many times the overhead of a request. A connection must be returned for reuse
/// before the outcome is reported: otherwise the next request, which the outcome releases, opens another one.
#[test]
fn sequential_requests_share_one_connection() {
    run(async {
        let host = Host::start([ok("served"), rejection(), ok("served")]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let mut client = proxy.client().await;
        for _ in 0..20 {
            client.exchange(&request("keyed", "", "body")).await;
        }
        assert_eq!(host.accepted.get(), 1);
    });
}

/// A host has closed a connection while it was idle: the proxy must not write a request to it, which would then fail.
#[test]
fn a_connection_closed_by_its_host_is_not_reused() {
    run(async {
        let response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        let host = Host::start([HostAction::RespondAndClose(response.to_owned())]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let mut client = proxy.client().await;
        for count in 1..=5 {
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.status(), 200);
            eventually("the host closes", || host.open_connections.get() == 0).await;
            assert_eq!(host.count(), count);
        }
    });
}

/// A host may close a persistent connection just as a request is written to it. A request that may be retried must be
/// sent again at once, to the same host, which is not ejected for it.
#[test]
fn a_broken_reused_connection_ejects_no_host() {
    run(async {
        let host = Host::start([ok("one"), HostAction::RespondAndClose(String::new()), ok("three")]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let mut client = proxy.client().await;
        assert_eq!(client.exchange(&request("keyed", "", "")).await.body, b"one");
        assert_eq!(client.exchange(&request("keyed", "", "")).await.body, b"three");
        assert_eq!((host.count(), host.accepted.get()), (3, 2));
    });
}

/// Bytes after the end of a response make its connection unusable; a later request must not get them as its response.
#[test]
fn bytes_after_a_response_are_discarded_with_the_connection() {
    run(async {
        let double = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirstHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
        let host = Host::start([HostAction::Respond(double.to_owned()), ok("right")]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let mut client = proxy.client().await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"first");
        eventually("the connection is closed", || host.open_connections.get() == 0).await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"right");
    });
}

/// Informational (1xx) responses before the final one are skipped.
#[test]
fn informational_responses_are_skipped() {
    run(async {
        let early = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
        let HostAction::Respond(good) = ok("served") else { return };
        let host = Host::start([HostAction::Respond(format!("{early}{good}"))]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let mut client = proxy.client().await;
        for _ in 0..3 {
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"served");
        }
        assert_eq!(host.accepted.get(), 1);
    });
}

/// Idle connections must be closed before the host closes them: a request that crosses the host's close is lost.
#[test]
fn an_idle_connection_is_closed_before_its_host_closes_it() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let proxy = Proxy::start_with(&Discovery::heartbeats_only().await, from_ref(&host), |config| {
            config["settings"]["limits"]["conn_idle_us"] = 2_000_000.into();
        })
        .await;
        assert_eq!(proxy.client().await.exchange(&request("free", "", "")).await.status(), 200);
        eventually("the idle connection is closed", || host.open_connections.get() == 0).await;
    });
}

/// A connection past its idle limit must not be reused even if it has not been closed yet: closing them periodically
/// would leave a gap.
#[test]
fn an_expired_connection_is_not_reused() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let proxy = Proxy::start_with(&Discovery::heartbeats_only().await, from_ref(&host), |config| {
            config["settings"]["limits"]["conn_idle_us"] = 0.into();
        })
        .await;
        let mut client = proxy.client().await;
        for _ in 0..3 {
            assert_eq!(client.exchange(&request("free", "", "")).await.status(), 200);
        }
        assert_eq!(host.accepted.get(), 3);
    });
}

/// A host whose connections are never established, since its listener's queue is full; also returns the connections
/// that fill the queue, and the listener.
async fn unreachable_host() -> (Host, Vec<TcpStream>, TcpListener) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(0).expect("listening");
    let address = listener.local_addr().expect("an address");
    let (mut queued, wait) = (Vec::new(), Duration::from_millis(200));
    while let Ok(Ok(stream)) = timeout(wait, TcpStream::connect(address)).await {
        queued.push(stream);
    }
    (Host { address, ..Host::start([ok("")]).await }, queued, listener)
}

/// A request counts as sent once it is written. One that still waits for its connection when its host begins to drain
/// must not be written there later, but be sent to another host at once.
#[test]
fn a_request_not_yet_written_to_a_draining_host_goes_elsewhere() {
    run(async {
        let (unreachable, _queued, listener) = unreachable_host().await;
        let other = Host::start([ok("served")]).await;
        let discovery = Discovery::heartbeats_only().await;
        let proxy = Proxy::start_with(&discovery, from_ref(&unreachable), |config| {
            config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
        })
        .await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        eventually("the watch is open", || discovery.watch_requests.borrow().len() == 1).await;
        // A later request has been answered, so the proxy has read the first one.
        assert_eq!(proxy.client().await.exchange(HEALTH_REQUEST).await.status(), 200);
        let hosts = [entry("s-0", unreachable.address, "Terminating"), entry("s-1", other.address, "Ready")];
        discovery.push(&chunk(&list(42, false, &hosts))).await;
        assert_eq!(client.message().await.expect("an answer").status(), 200);
        assert_eq!(other.count(), 1);
        drop(listener);
    });
}

/// Nothing may be sent for a call that has ended, even on a site where attempts must not be cancelled: an attempt that
/// still waits for its connection must not be written once that is established.
#[test]
fn a_request_not_yet_written_is_dropped_when_its_call_ends() {
    run(async {
        let (unreachable, queued, listener) = unreachable_host().await;
        let proxy =
            Proxy::start_with(&Discovery::heartbeats_only().await, from_ref(&unreachable), |config| {
                config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
                config["settings"]["limits"]["cancel"] = false.into();
            })
            .await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "the first")).await;
        assert_eq!(proxy.client().await.exchange(HEALTH_REQUEST).await.status(), 200);
        drop(client);
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "the second")).await;
        assert_eq!(proxy.client().await.exchange(HEALTH_REQUEST).await.status(), 200);
        // From here on connections are established, that of the first request before that of the second.
        let host = Host::on_listener(listener, [ok("served")]);
        drop(queued);
        assert_eq!(client.message().await.expect("an answer").status(), 200);
        let bodies: Vec<_> = host.received.borrow().iter().map(|message| message.body.clone()).collect();
        assert_eq!(bodies, [b"the second"]);
    });
}

/// A host whose address has changed must get no request at the old one, where another server may listen by now.
#[test]
fn a_host_with_a_new_address_is_reached_there() {
    run(async {
        let (old, new) = (Host::start([HostAction::Stall, ok("old")]).await, Host::start([ok("new")]).await);
        let discovery = Discovery::heartbeats_only().await;
        let proxy = Proxy::start_with(&discovery, from_ref(&old), |_| ()).await;
        let (mut client, mut busy) = (proxy.client().await, proxy.client().await);
        busy.send(&request("unsafe", "", "")).await;
        eventually("the host has the request", || old.count() == 1).await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"old");
        discovery.push(&chunk(&list(42, false, &[entry("s-0", new.address, "Ready")]))).await;
        eventually("its idle connection is closed", || old.open_connections.get() == 1).await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"new");
        old.release.notify_one();
        assert_eq!(busy.message().await.expect("an answer").body, b"released");
        eventually("its last connection is closed", || old.open_connections.get() == 0).await;
        assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"new");
    });
}

/// If a connection is not established in time, the request surely never ran and must be sent to another host.
#[test]
fn a_connect_timeout_sends_the_request_elsewhere() {
    run(async {
        let (unreachable, _queued, _listener) = unreachable_host().await;
        let other = Host::start([ok("served")]).await;
        let proxy =
            Proxy::start_with(&Discovery::heartbeats_only().await, &[unreachable, other.clone()], |config| {
                config["settings"]["limits"]["connect_timeout_us"] = 50_000.into();
            })
            .await;
        let mut client = proxy.client().await;
        for _ in 0..6 {
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.status(), 200);
        }
        assert_eq!(other.count(), 6);
    });
}

/// The limit on sockets includes connections to hosts: a call beyond it ends without opening a file descriptor.
#[test]
fn connections_to_hosts_stay_within_the_limit() {
    run(async {
        let mut hosts = Vec::new();
        for _ in 0..24 {
            hosts.push(Host::start([ok("served")]).await);
        }
        let proxy = Proxy::start_with(&Discovery::heartbeats_only().await, &hosts, |config| {
            config["limits"]["sockets"] = 64.into();
        })
        .await;
        let mut client = proxy.client().await;
        for _ in 0..200 {
            assert_eq!(client.exchange(&request("free", "", "")).await.status(), 200);
            let open: usize = hosts.iter().map(|host| host.open_connections.get()).sum();
            assert!(open <= 13, "{open} open; 12, and one whose close has not arrived, are allowed");
        }
    });
}
