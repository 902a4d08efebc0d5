//! Connections to hosts: kept, given up, withdrawn.

use crate::harness::*;
use std::slice::from_ref;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// A connection costs a host many times a request's overhead. It must be back before the outcome is told:
/// else the request that the outcome lets go opens another.
#[test]
fn sequential_requests_share_one_connection() {
    run(async {
        let host = Host::start([ok("served"), turn_away(), ok("served")]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let mut client = proxy.client().await;
        for _ in 0..20 {
            client.ask(&request("keyed", "", "body")).await;
        }
        assert_eq!(host.opened.get(), 1);
    });
}

/// A connection that the host has closed while it was idle is no failure of the request: nothing is written.
#[test]
fn a_connection_closed_by_its_host_is_not_reused() {
    run(async {
        let response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        let host = Host::start([Act::SayAndClose(response.to_owned())]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let mut client = proxy.client().await;
        for count in 1..=5 {
            assert_eq!(client.ask(&request("unsafe", "", "")).await.status(), 200);
            eventually("the host closes", || host.open.get() == 0).await;
            assert_eq!(host.count(), count);
        }
    });
}

/// A host may close a kept connection just as a request is written to it. What may be repeated goes again at once,
/// to the same host, which is not to blame.
#[test]
fn a_broken_reused_connection_ejects_no_host() {
    run(async {
        let host = Host::start([ok("one"), Act::SayAndClose(String::new()), ok("three")]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let mut client = proxy.client().await;
        assert_eq!(client.ask(&request("keyed", "", "")).await.body, b"one");
        assert_eq!(client.ask(&request("keyed", "", "")).await.body, b"three");
        assert_eq!((host.count(), host.opened.get()), (3, 2));
    });
}

/// More than belongs to an answer makes its connection useless; a later request must not get it.
#[test]
fn bytes_after_a_response_are_discarded_with_the_connection() {
    run(async {
        let double = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirstHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
        let host = Host::start([Act::Say(double.to_owned()), ok("right")]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let mut client = proxy.client().await;
        assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"first");
        eventually("the connection is closed", || host.open.get() == 0).await;
        assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"right");
    });
}

/// Answers that announce themselves are passed on as if they had not.
#[test]
fn informational_responses_are_skipped() {
    run(async {
        let early = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
        let Act::Say(good) = ok("served") else { return };
        let host = Host::start([Act::Say(format!("{early}{good}"))]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let mut client = proxy.client().await;
        for _ in 0..3 {
            assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"served");
        }
        assert_eq!(host.opened.get(), 1);
    });
}

/// Idle connections are closed before the host does it: a request that crosses the host's close is lost.
#[test]
fn an_idle_connection_is_closed_before_its_host_closes_it() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let proxy = Proxy::with(&Discovery::quiet().await, from_ref(&host), |config| {
            config["settings"]["limits"]["conn_idle_us"] = 2_000_000.into();
        })
        .await;
        assert_eq!(proxy.client().await.ask(&request("free", "", "")).await.status(), 200);
        eventually("it is retired", || host.open.get() == 0).await;
    });
}

/// Nor is one used that is due and not yet retired: looking through them now and then would leave a gap.
#[test]
fn an_expired_connection_is_not_reused() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let proxy = Proxy::with(&Discovery::quiet().await, from_ref(&host), |config| {
            config["settings"]["limits"]["conn_idle_us"] = 0.into();
        })
        .await;
        let mut client = proxy.client().await;
        for _ in 0..3 {
            assert_eq!(client.ask(&request("free", "", "")).await.status(), 200);
        }
        assert_eq!(host.opened.get(), 3);
    });
}

/// An address where connections do not come up: the listener's queue of new ones is full.
async fn unreachable_host() -> (Host, Vec<TcpStream>, TcpListener) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(0).expect("it listens");
    let address = listener.local_addr().expect("an address");
    let (mut queued, wait) = (Vec::new(), Duration::from_millis(200));
    while let Ok(Ok(stream)) = timeout(wait, TcpStream::connect(address)).await {
        queued.push(stream);
    }
    (Host { address, ..Host::start([ok("")]).await }, queued, listener)
}

/// A send counts when it is written. One that still waits for its connection when its host is told draining
/// must not be written there later; it goes elsewhere at once.
#[test]
fn a_request_not_yet_written_to_a_draining_host_goes_elsewhere() {
    run(async {
        let (unreachable, _queued, listener) = unreachable_host().await;
        let other = Host::start([ok("served")]).await;
        let discovery = Discovery::quiet().await;
        let proxy = Proxy::with(&discovery, from_ref(&unreachable), |config| {
            config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
        })
        .await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "")).await;
        eventually("the watch is open", || discovery.asked.borrow().len() == 1).await;
        // Sent later and answered: the proxy has read the request before.
        assert_eq!(proxy.client().await.ask(HEALTH).await.status(), 200);
        let hosts = [entry("s-0", unreachable.address, "Terminating"), entry("s-1", other.address, "Ready")];
        discovery.push(&chunk(&list(42, false, &hosts))).await;
        assert_eq!(client.message().await.expect("an answer").status(), 200);
        assert_eq!(other.count(), 1);
        drop(listener);
    });
}

/// Nothing is sent for a call that is over, also where the site does not let attempts be called off: one that
/// still waits for its connection must not be written once that comes up.
#[test]
fn a_request_not_yet_written_is_dropped_when_its_call_ends() {
    run(async {
        let (unreachable, queued, listener) = unreachable_host().await;
        let proxy = Proxy::with(&Discovery::quiet().await, from_ref(&unreachable), |config| {
            config["settings"]["limits"]["connect_timeout_us"] = 20_000_000.into();
            config["settings"]["limits"]["cancel"] = false.into();
        })
        .await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "the first")).await;
        assert_eq!(proxy.client().await.ask(HEALTH).await.status(), 200);
        drop(client);
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "the second")).await;
        assert_eq!(proxy.client().await.ask(HEALTH).await.status(), 200);
        // From here on connections come up, the first one's before the second's.
        let host = Host::on(listener, [ok("served")]);
        drop(queued);
        assert_eq!(client.message().await.expect("an answer").status(), 200);
        let bodies: Vec<_> = host.seen.borrow().iter().map(|message| message.body.clone()).collect();
        assert_eq!(bodies, [b"the second"]);
    });
}

/// A host that has moved gets nothing at its old address, where another may listen by now.
#[test]
fn a_host_with_a_new_address_is_reached_there() {
    run(async {
        let (old, new) = (Host::start([Act::Stall, ok("old")]).await, Host::start([ok("new")]).await);
        let discovery = Discovery::quiet().await;
        let proxy = Proxy::with(&discovery, from_ref(&old), |_| ()).await;
        let (mut client, mut busy) = (proxy.client().await, proxy.client().await);
        busy.send(&request("unsafe", "", "")).await;
        eventually("the host has it", || old.count() == 1).await;
        assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"old");
        discovery.push(&chunk(&list(42, false, &[entry("s-0", new.address, "Ready")]))).await;
        eventually("its idle connection closes", || old.open.get() == 1).await;
        assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"new");
        old.release.notify_one();
        assert_eq!(busy.message().await.expect("an answer").body, b"released");
        eventually("its last connection closes", || old.open.get() == 0).await;
        assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"new");
    });
}

/// A connection that does not come up in time proves that the request never ran: it may go elsewhere.
#[test]
fn a_connect_timeout_sends_the_request_elsewhere() {
    run(async {
        let (unreachable, _queued, _listener) = unreachable_host().await;
        let other = Host::start([ok("served")]).await;
        let proxy = Proxy::with(&Discovery::quiet().await, &[unreachable, other.clone()], |config| {
            config["settings"]["limits"]["connect_timeout_us"] = 50_000.into();
        })
        .await;
        let mut client = proxy.client().await;
        for _ in 0..6 {
            assert_eq!(client.ask(&request("unsafe", "", "")).await.status(), 200);
        }
        assert_eq!(other.count(), 6);
    });
}

/// The limit on sockets holds for hosts too: a call beyond it ends, and no descriptor is opened for it.
#[test]
fn connections_to_hosts_stay_within_the_limit() {
    run(async {
        let mut hosts = Vec::new();
        for _ in 0..24 {
            hosts.push(Host::start([ok("served")]).await);
        }
        let proxy = Proxy::with(&Discovery::quiet().await, &hosts, |config| {
            config["limits"]["sockets"] = 64.into();
        })
        .await;
        let mut client = proxy.client().await;
        for _ in 0..200 {
            assert_eq!(client.ask(&request("free", "", "")).await.status(), 200);
            let open: usize = hosts.iter().map(|host| host.open.get()).sum();
            assert!(open <= 13, "{open}: 12, and one whose close has not arrived");
        }
    });
}
