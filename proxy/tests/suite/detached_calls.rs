//! Detached calls: the first client of a key disconnects, its written request continues, and a repeat gets its
//! response.

use crate::harness::*;
use serde_json::Value;
use std::slice::from_ref;
use std::time::Duration;
use tokio::time::{sleep, Instant};

const KEYS_SETTINGS: &str = r#"{"classes": {"unsafe": {"forward": true}}}"#;
const CLASSES_WITH_KEYS: [&str; 2] = ["unsafe", "keyed"];

/// A charge (class `unsafe`) or an entry (class `keyed`) with a key, from a client that waits for this long.
fn keyed_request(class: &str, key: &str, wait: Duration) -> String {
    let text = request(class, &format!("Idempotency-Key: {key}\r\n"), "pays");
    text.replace("X-Budget-Ms: 8000", &format!("X-Budget-Ms: {}", wait.as_millis()))
}

fn long_request(class: &str, key: &str) -> String {
    keyed_request(class, key, Duration::from_secs(8))
}

/// Disconnects a client and waits until the engine that owns its key has been notified. That engine handles
/// cancellations before requests, but both may arrive between its checks of the two queues: the second round comes
/// after both.
async fn disconnect(proxy: &Proxy, client: Client, class: &str, key: &str) {
    client.close().await;
    for _ in 0..2 {
        // Either the key is used by another request, or it is unused and this request times out: neither changes it.
        let other =
            keyed_request(class, key, Duration::from_millis(50)).replace("\r\n\r\npays", "\r\n\r\nnone");
        assert_ne!(
            proxy.client().await.exchange(&other).await.status(),
            200,
            "it gets no other request's response"
        );
    }
}

/// A client sends a request and disconnects once the host has it.
async fn send_and_disconnect(proxy: &Proxy, host: &Host, class: &str, key: &str) {
    send_with_budget_and_disconnect(proxy, host, class, key, Duration::from_secs(8)).await;
}

/// The same for a client that would have waited for this long.
async fn send_with_budget_and_disconnect(proxy: &Proxy, host: &Host, class: &str, key: &str, wait: Duration) {
    let before = host.count();
    let mut client = proxy.client().await;
    client.send(&keyed_request(class, key, wait)).await;
    tokio::select! {
        () = eventually("the host has the request", || host.count() > before) => {}
        answer = client.message() => panic!("answered before the host has the request: {answer:?}"),
    }
    disconnect(proxy, client, class, key).await;
}

/// Checks for a 502 with problem details of this type and key state.
fn assert_problem(answer: &Message, name: &str, state: &str) {
    assert_eq!(answer.status(), 502);
    assert_eq!(answer.header("content-type"), Some("application/problem+json"));
    let body: Value = serde_json::from_slice(&answer.body).expect("an object");
    assert_eq!(body["type"], format!("urn:nettleworks:problem:{name}"));
    assert_eq!((&body["key_state"], &body["status"]), (&state.into(), &502.into()));
    assert!(body["key_age_ms"].is_u64() && body["title"].is_string(), "{body}");
}

/// Sends requests with a short time budget until the response says that the call is running. On a busy machine the
/// budget may be too short for sending the request, which is then refused and has reached no host. With several
/// engines, the one that forwards a request knows less than the one that owns the key, and reports the key as unsure if
/// that one is late. Each request has an id of its own, as the platform's clients send them: the id of a call in flight
/// would be rejected.
async fn ask_until_running(client: &mut Client, host: &Host, class: &str, key: &str, wait: Duration) {
    let until = Instant::now() + Duration::from_secs(10);
    let mut answer = client.exchange(&keyed_request(class, key, wait)).await;
    loop {
        assert!(Instant::now() < until, "{answer:?}");
        if answer.status() == 503 {
            assert!(answer.header("retry-after").is_some(), "{answer:?}");
            assert_eq!(host.count(), 0, "refused although it ran");
        } else if ENGINES > 1 && answer.body.windows(10).any(|part| part == b"key-unsure") {
            assert_problem(&answer, "key-unsure", "unsure");
        } else {
            return assert_problem(&answer, "key-running", "running");
        }
        answer = client.exchange(&keyed_request(class, key, wait)).await;
    }
}

fn is_replayed(answer: &Message) -> bool {
    answer.status() == 200 && answer.header("idempotency-replayed") == Some("true")
}

/// The first client disconnects after its request was written: the call must continue, and a repeat gets its response,
/// whether it arrives while the call runs or later.
#[test]
fn a_repeat_gets_the_response_of_a_detached_call() {
    run(async {
        for class in CLASSES_WITH_KEYS {
            let host = Host::start([HostAction::Stall, HostAction::Stall, ok("never asked")]).await;
            let proxy = Proxy::start_with_keys(from_ref(&host), KEYS_SETTINGS, |_| ()).await;
            // A repeat while the call runs.
            send_and_disconnect(&proxy, &host, class, "k1").await;
            let mut again = proxy.client().await;
            again.send(&long_request(class, "k1")).await;
            proxy.wait_until_processed().await;
            host.release.notify_one();
            let answer = again.message().await.expect("an answer");
            assert!(is_replayed(&answer) && answer.body == b"released", "{class}: {answer:?}");
            // A repeat after the call has been answered.
            send_and_disconnect(&proxy, &host, class, "k2").await;
            host.release.notify_one();
            let answer = proxy.client().await.exchange(&long_request(class, "k2")).await;
            assert!(is_replayed(&answer) && answer.body == b"released", "{class}: {answer:?}");
            assert_eq!(host.count(), 2, "{class}: each ran once");
        }
    });
}

/// With `linger_ms` 0 the call is cancelled when its client disconnects, and whether it ran stays unknown.
#[test]
fn without_detached_calls_the_key_is_unsure() {
    run(async {
        let host = Host::start([HostAction::Stall]).await;
        let off = r#"{"classes": {"unsafe": {"linger_ms": 0}}}"#;
        let proxy = Proxy::start_with_keys(from_ref(&host), off, |_| ()).await;
        send_and_disconnect(&proxy, &host, "unsafe", "k").await;
        eventually("the call is cancelled", || host.open_connections.get() == 0).await;
        assert_problem(
            &proxy.client().await.exchange(&long_request("unsafe", "k")).await,
            "key-unsure",
            "unsure",
        );
        assert_eq!(host.count(), 1);
    });
}

/// The first client disconnects before its request is written: it must never be written, and a repeat counts as the
/// first.
#[test]
fn a_request_unwritten_at_its_clients_disconnect_is_dropped() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let discovery = Discovery::heartbeats_only().await;
        let config = configuration(discovery.address, &[], |_| ());
        let proxy = Proxy::start_with_setup(Setup { config, keys: Some(KEYS_SETTINGS.to_owned()) }).await;
        eventually("the watch is open", || !discovery.watch_requests.borrow().is_empty()).await;
        let mut client = proxy.client().await;
        client.send(&long_request("unsafe", "k")).await;
        disconnect(&proxy, client, "unsafe", "k").await;
        let line = list(50, true, &[entry("s-0", host.address, "Ready")]);
        discovery.push(&chunk(&line)).await;
        let answer = proxy.client().await.exchange(&long_request("unsafe", "k")).await;
        assert_eq!((answer.status(), is_replayed(&answer)), (200, false));
        assert_eq!(host.count(), 1, "sent once, for the client that waits");
    });
}

/// Each repeat has its own deadline: one that is shorter than the call gets a response that it is running, a longer one
/// gets the call's response. Neither must run it again.
#[test]
fn repeats_of_a_detached_call_have_their_own_deadlines() {
    run(async {
        for class in CLASSES_WITH_KEYS {
            let host = Host::start([HostAction::Stall]).await;
            let proxy = Proxy::start_with_keys(from_ref(&host), KEYS_SETTINGS, |_| ()).await;
            send_with_budget_and_disconnect(&proxy, &host, class, "k", Duration::from_secs(2)).await;
            let started = Instant::now();
            let short = keyed_request(class, "k", Duration::from_millis(120));
            assert_problem(&proxy.client().await.exchange(&short).await, "key-running", "running");
            assert!(started.elapsed() < Duration::from_millis(1_000), "{:?}", started.elapsed());
            // The call is detached again, and a repeat joins that waits for longer than the first client would have.
            let mut again = proxy.client().await;
            again.send(&long_request(class, "k")).await;
            proxy.wait_until_processed().await;
            host.release.notify_one();
            assert!(is_replayed(&again.message().await.expect("an answer")), "{class}");
            assert_eq!(host.count(), 1, "{class}");
        }
    });
}

/// A client whose time budget ends gets a response within it, and the call continues detached.
#[test]
fn a_call_continues_after_its_clients_budget() {
    run(async {
        let host = Host::start([HostAction::Stall]).await;
        let proxy = Proxy::start_with_keys(from_ref(&host), KEYS_SETTINGS, |_| ()).await;
        let mut client = proxy.client().await;
        ask_until_running(&mut client, &host, "unsafe", "k", Duration::from_millis(150)).await;
        host.release.notify_one();
        let again = client.exchange(&long_request("unsafe", "k")).await;
        assert!(is_replayed(&again), "{again:?}");
        assert_eq!(host.count(), 1);
    });
}

/// If a late response has no value, the decision module ends an unsafe call at its class's latency target. Its clients
/// get a response then, and the host's response must still settle the key.
#[test]
fn a_response_after_the_latency_target_still_settles_its_key() {
    run(async {
        let host = Host::start([HostAction::Stall]).await;
        let proxy = Proxy::start_with_keys(from_ref(&host), KEYS_SETTINGS, |config| {
            config["settings"]["classes"][2]["objective_us"] = 300_000.into();
        })
        .await;
        let started = Instant::now();
        let answer = proxy.client().await.exchange(&long_request("unsafe", "k")).await;
        assert_problem(&answer, "key-running", "running");
        assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
        host.release.notify_one();
        assert!(is_replayed(&proxy.client().await.exchange(&long_request("unsafe", "k")).await));
        assert_eq!(host.count(), 1);
    });
}

/// The first client disconnects while the host's response is being read: a repeat must get the whole response.
#[test]
fn a_response_half_read_at_a_disconnect_is_completed_for_the_repeat() {
    run(async {
        for class in CLASSES_WITH_KEYS {
            let (head, rest) = ("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\npa", "id k");
            let host = Host::start([HostAction::RespondInTwoParts(head.to_owned(), rest.to_owned())]).await;
            let proxy = Proxy::start_with_keys(from_ref(&host), KEYS_SETTINGS, |_| ()).await;
            send_and_disconnect(&proxy, &host, class, "k").await;
            let mut again = proxy.client().await;
            again.send(&long_request(class, "k")).await;
            proxy.wait_until_processed().await;
            host.release.notify_one();
            let answer = again.message().await.expect("an answer");
            assert!(is_replayed(&answer) && answer.body == b"paid k", "{class}: {answer:?}");
            assert_eq!(host.count(), 1);
        }
    });
}

/// The host of a detached call drains: the call must be able to complete, and its response is kept.
#[test]
fn a_drain_lets_a_detached_call_complete() {
    run(async {
        let (host, other) =
            (Host::start([HostAction::Stall, ok("old")]).await, Host::start([ok("other")]).await);
        let discovery = Discovery::heartbeats_only().await;
        let config = configuration(discovery.address, from_ref(&host), |_| ());
        let proxy = Proxy::start_with_setup(Setup { config, keys: Some(KEYS_SETTINGS.to_owned()) }).await;
        eventually("the watch is open", || !discovery.watch_requests.borrow().is_empty()).await;
        send_and_disconnect(&proxy, &host, "unsafe", "k").await;
        let hosts = [entry("s-0", host.address, "Terminating"), entry("s-1", other.address, "Ready")];
        discovery.push(&chunk(&list(50, true, &hosts))).await;
        // The drain has been read once a request is sent to the other host.
        let mut early = 0;
        while proxy.client().await.exchange(&request("free", "", "")).await.body != b"other" {
            early += 1;
            sleep(Duration::from_millis(5)).await;
        }
        // With several engines, another one may close its idle connection a moment later.
        eventually("only the connection of the call is kept", || host.open_connections.get() == 1).await;
        host.release.notify_one();
        let answer = proxy.client().await.exchange(&long_request("unsafe", "k")).await;
        assert!(is_replayed(&answer) && answer.body == b"released", "{answer:?}");
        eventually("it is closed afterwards", || host.open_connections.get() == 0).await;
        assert_eq!(
            host.count() - early,
            1,
            "{early} other requests were sent there before the drain was read"
        );
    });
}

/// The host of a detached call dies, or its response is invalid: a repeat must be told that it is unknown whether the
/// request ran, and nothing may be sent again, not even an entry.
#[test]
fn a_detached_call_that_fails_leaves_its_key_unsure() {
    run(async {
        let head = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\npa".to_owned();
        for class in CLASSES_WITH_KEYS {
            for act in [
                HostAction::Stall,
                HostAction::RespondInTwoParts("HTTP/1.1 ".to_owned(), "nonsense\r\n\r\n".to_owned()),
            ] {
                let hosts = [Host::start([act.clone()]).await];
                let proxy = Proxy::start_with_keys(&hosts, KEYS_SETTINGS, |_| ()).await;
                send_and_disconnect(&proxy, &hosts[0], class, "k").await;
                match act {
                    HostAction::Stall => hosts[0].kill(),
                    _ => hosts[0].release.notify_one(),
                }
                eventually("its connection is closed", || hosts[0].open_connections.get() == 0).await;
                proxy.wait_until_processed().await;
                assert_problem(
                    &proxy.client().await.exchange(&long_request(class, "k")).await,
                    "key-unsure",
                    "unsure",
                );
                assert_eq!(hosts[0].count(), 1);
            }
            // A truncated response.
            let host = Host::start([HostAction::RespondInTwoParts(head.clone(), String::new())]).await;
            let proxy = Proxy::start_with_keys(from_ref(&host), KEYS_SETTINGS, |_| ()).await;
            send_and_disconnect(&proxy, &host, class, "k").await;
            host.kill();
            eventually("its connection is closed", || host.open_connections.get() == 0).await;
            proxy.wait_until_processed().await;
            assert_problem(
                &proxy.client().await.exchange(&long_request(class, "k")).await,
                "key-unsure",
                "unsure",
            );
        }
    });
}

/// The host of a detached call sends two responses: the first belongs to the key, and the second must be discarded.
#[test]
fn a_second_response_to_a_detached_call_is_discarded() {
    run(async {
        let one = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
        let two = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo";
        let twice = HostAction::RespondInTwoParts(String::new(), [one, two].concat());
        let host = Host::start([twice, ok("own")]).await;
        let proxy = Proxy::start_with_keys(from_ref(&host), KEYS_SETTINGS, |_| ()).await;
        send_and_disconnect(&proxy, &host, "unsafe", "k").await;
        host.release.notify_one();
        let again = proxy.client().await.exchange(&long_request("unsafe", "k")).await;
        assert!(is_replayed(&again) && again.body == b"one", "{again:?}");
        assert_eq!(proxy.client().await.exchange(&long_request("unsafe", "k2")).await.body, b"own");
    });
}

/// The host never responds: a detached call must end at its time limit, its connection is closed and its key is unsure.
#[test]
fn a_detached_call_ends_at_its_time_limit() {
    run(async {
        for (keys, deadline) in [
            (r#"{"classes": {"unsafe": {"linger_ms": 200}}}"#, 9_000_000),
            // By default the deadline of its class is the limit.
            ("{}", 600_000),
        ] {
            let host = Host::start([HostAction::Stall]).await;
            let proxy = Proxy::start_with_keys(from_ref(&host), keys, |config| {
                config["settings"]["classes"][2]["deadline_us"] = deadline.into();
            })
            .await;
            send_and_disconnect(&proxy, &host, "unsafe", "k").await;
            assert_eq!(host.open_connections.get(), 1, "the call is detached");
            let started = Instant::now();
            eventually("its connection is closed", || host.open_connections.get() == 0).await;
            assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
            proxy.wait_until_processed().await;
            assert_problem(
                &proxy.client().await.exchange(&long_request("unsafe", "k")).await,
                "key-unsure",
                "unsure",
            );
        }
    });
}

/// At each limit on detached calls the oldest one must be cancelled, and its key becomes unsure; the others continue.
#[test]
fn at_a_limit_the_oldest_detached_call_is_cancelled() {
    run(async {
        for limit in ["lingering", "lingering_a_host", "lingering_a_tenant"] {
            let host = Host::start([HostAction::Stall]).await;
            let keys = format!(r#"{{"{limit}": 2}}"#);
            let proxy = Proxy::start_with_keys(from_ref(&host), &keys, |_| ()).await;
            for key in ["k1", "k2", "k3"] {
                send_and_disconnect(&proxy, &host, "unsafe", key).await;
            }
            eventually("one connection is closed", || host.open_connections.get() == 2).await;
            assert_problem(
                &proxy.client().await.exchange(&long_request("unsafe", "k1")).await,
                "key-unsure",
                "unsure",
            );
            let short = keyed_request("unsafe", "k2", Duration::from_millis(100));
            assert_problem(&proxy.client().await.exchange(&short).await, "key-running", "running");
            assert_eq!(host.count(), 3, "{limit}");
        }
    });
}

/// The client disconnects when half of its request has been written: nothing more of it may be sent, and as a part was
/// sent, its key is unsure.
#[test]
fn a_half_written_request_is_cancelled() {
    run(async {
        let listener = small_buffer_listener();
        let address = listener.local_addr().expect("an address");
        let discovery = Discovery::heartbeats_only().await;
        let config = configuration(discovery.address, &[], |config| {
            config["known"] =
                serde_json::json!({"seq": 1, "whole": true, "hosts": [entry("s-0", address, "Ready")]});
        });
        let proxy = Proxy::start_with_setup(Setup { config, keys: Some(KEYS_SETTINGS.to_owned()) }).await;
        let body = "x".repeat(60_000);
        let text = request("unsafe", "Idempotency-Key: k\r\n", &body);
        let mut client = proxy.client().await;
        client.send(&text).await;
        let (stream, _) = listener.accept().await.expect("accepted");
        // Not readable(): it may return although nothing has arrived yet.
        assert!(stream.peek(&mut [0]).await.expect("bytes have arrived") > 0);
        disconnect(&proxy, client, "unsafe", "k").await;
        // Only now the host reads: it gets less than the whole request, and then the end of the stream.
        let mut read = 0;
        loop {
            stream.readable().await.expect("readable");
            let mut buffer = [0; 4_096];
            match stream.try_read(&mut buffer) {
                Ok(0) => break,
                Ok(count) => read += count,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
        assert!(read > 0 && read < body.len(), "{read} of {}", body.len());
        assert_problem(&proxy.client().await.exchange(&text).await, "key-unsure", "unsure");
    });
}

/// A client's machine dies without closing its connection, which stays open without a reader. A repeat from another
/// client must get the response.
#[test]
fn a_client_that_dies_silently_does_not_block_a_repeat() {
    run(async {
        let host = Host::start([HostAction::Stall]).await;
        let proxy = Proxy::start_with_keys(from_ref(&host), KEYS_SETTINGS, |_| ()).await;
        let mut dead = proxy.client().await;
        dead.send(&keyed_request("unsafe", "k", Duration::from_millis(200))).await;
        eventually("the host has the request", || host.count() == 1).await;
        // After its time budget the proxy has responded, with no reader.
        dead.stream.readable().await.expect("its response");
        let mut again = proxy.client().await;
        again.send(&long_request("unsafe", "k")).await;
        proxy.wait_until_processed().await;
        host.release.notify_one();
        assert!(is_replayed(&again.message().await.expect("an answer")));
        assert_eq!(host.count(), 1);
    });
}

/// A repeat of a keyed request outside its repeat window: while the store remembers the key, nothing may be sent to a
/// host, however late the repeat arrives.
#[test]
fn a_keyed_repeat_outside_its_window_is_not_sent() {
    run(async {
        let host = Host::start([ok("one"), HostAction::Reset, ok("other")]).await;
        let proxy = Proxy::start_with_keys(from_ref(&host), KEYS_SETTINGS, |config| {
            config["settings"]["classes"][1]["repeat_window_us"] = 20_000.into();
        })
        .await;
        assert_eq!(proxy.client().await.exchange(&long_request("keyed", "k1")).await.body, b"one");
        sleep(Duration::from_millis(60)).await;
        assert!(is_replayed(&proxy.client().await.exchange(&long_request("keyed", "k1")).await));
        // A request that failed may be sent again within the window, but not after it.
        let broken = proxy.client().await.exchange(&long_request("keyed", "k2")).await;
        let count = host.count();
        sleep(Duration::from_millis(60)).await;
        let again = proxy.client().await.exchange(&long_request("keyed", "k2")).await;
        match broken.status() {
            200 => assert!(is_replayed(&again)),
            _ => assert_problem(&again, "key-unsure", "unsure"),
        }
        assert_eq!(host.count(), count, "nothing was sent again");
    });
}

/// Hundreds of clients send a charge with a new key each and disconnect at once: connections to hosts must stay within
/// the limits, and clients that wait must be served.
#[test]
fn disconnecting_clients_do_not_starve_waiting_ones() {
    const DISCONNECTS: usize = 400;
    const REQUESTS: usize = 300;
    run(async {
        let ledger = Ledger::default();
        let plan = HostBehavior { service: Duration::from_millis(4), ..HostBehavior::default() };
        let mut hosts = Vec::new();
        for number in 0..2 {
            hosts.push(Host::with_behavior(&format!("s-{number}"), 3, plan.clone(), &ledger).await);
        }
        let proxy = Proxy::start_with_keys(&hosts, r#"{"lingering": 16}"#, |_| ()).await;
        let address = proxy.address;
        let disconnecting = tokio::task::spawn_local(async move {
            for number in 0..DISCONNECTS {
                let mut client: Client =
                    Reader::new(tokio::net::TcpStream::connect(address).await.expect("connected"));
                client.send(&long_request("unsafe", &format!("gone-{number}"))).await;
                sleep(Duration::from_millis(1)).await;
            }
        });
        let (mut served, mut most) = (0, 0);
        let mut client = proxy.client().await;
        for number in 0..REQUESTS {
            let class = ["free", "keyed", "unsafe"][number % 3];
            served += usize::from(client.exchange(&request(class, "", "")).await.status() == 200);
            most = most.max(hosts.iter().map(|host| host.open_connections.get()).sum());
        }
        assert!(served * 100 >= REQUESTS * 95, "{served} of {REQUESTS}");
        // Detached calls, calls in flight, and connections that are about to be closed.
        assert!(most <= 16 + 48, "{most} connections to hosts");
        disconnecting.await.expect("no panic");
        assert_eq!(ledger.duplicates(Duration::from_secs(9)), []);
    });
}
