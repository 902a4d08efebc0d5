//! Requests as the application sees them: served, refused, failed or invalid.

use crate::harness::*;
use std::slice::from_ref;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";

#[test]
fn a_request_and_its_response_are_forwarded_unchanged() {
    run(async {
        let host = Host::start([ok("the answer")]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let text = request("keyed", "Idempotency-Key: k1\r\nConnection: x-hop\r\nX-Hop: 1\r\n", "the body");
        let answer = proxy.client().await.exchange(&text.replace("/api", "/api?q=1")).await;
        assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"the answer"[..]));
        let seen = host.received.borrow()[0].clone();
        assert_eq!(seen.first, "POST /api?q=1 HTTP/1.1");
        assert_eq!(seen.body, b"the body");
        assert_eq!(
            seen.header("x-call-id"),
            text.split("\r\n").find_map(|line| line.strip_prefix("X-Call-Id: "))
        );
        assert_eq!(seen.header("idempotency-key"), Some("k1"));
        assert_eq!(seen.header("x-hop"), None, "a hop-by-hop header is not forwarded");
        let budget: u64 = seen.header("x-budget-ms").and_then(|v| v.parse().ok()).expect("a budget");
        assert!(budget > 0 && budget < 8_000, "{budget}");
    });
}

/// Invalid requests must be rejected at once and reach neither the decision module nor a host.
#[test]
fn invalid_requests_are_rejected_at_once() {
    run(async {
        let host = Host::start([ok("")]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let good = request("free", "", "");
        let (post, keyed) = (request("unsafe", "", "body"), request("keyed", "", "body"));
        let id = good.split("\r\n").find(|line| line.starts_with("X-Call-Id")).expect("an id").to_owned();
        // Whatever the framing says, the second request must not be read, nor be forwarded in the body of the first.
        let hidden = format!("0\r\n\r\n{}", request("unsafe", "", ""));
        let chunked = "Transfer-Encoding: chunked\r\n";
        let length = format!("Content-Length: {}\r\n", hidden.len());
        let framed = |framing: &str| request("unsafe", framing, "") + &hidden;
        let cases = [
            (good.replace("X-Call-Id", "X-Other"), 400),
            (good.replace(&id, "X-Call-Id: "), 400),
            (request("free", "X-Call-Id: twice\r\n", ""), 400),
            (request("unheard-of", "", ""), 400),
            (good.replace("8000", "soon"), 400),
            (good.replace("8000", "0"), 400),
            (good.replace("8000", "-5"), 400),
            (good.replace("8000", "+5"), 400),
            (good.replace("8000", "99999999999999999999"), 400),
            (good.replace("X-Budget-Ms", "X-Other"), 400),
            (good.replace("GET", "POST"), 400),
            (request("free", "Idempotency-Key: k\r\n", ""), 400),
            (request("free", "", "body"), 400),
            (post.replace("POST", "PUT"), 400),
            (request("unsafe", "Idempotency-Key: k\r\n", ""), 400),
            (keyed.replace("Idempotency-Key", "X-Other"), 400),
            (request("keyed", "Idempotency-Key: k\r\nIdempotency-Key: k\r\n", ""), 400),
            (post.replace("Content-Length: 4", "Content-Length: -4"), 400),
            (post.replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5"), 400),
            (framed(chunked), 411),
            (framed(&format!("{chunked}{length}")), 411),
            (framed(&format!("{length}{chunked}")), 411),
            (good.replace("/api", "/other"), 404),
            (request("unsafe", "", &"x".repeat(64 * 1024 + 1)), 413),
            (request("unsafe", "", &"x".repeat(3 << 20)), 413),
            (post.replace("Content-Length: 4", "Content-Length: 99999999999"), 413),
            ("no http\r\n\r\n".to_owned(), 400),
        ];
        for (text, status) in cases {
            let mut client = proxy.client().await;
            let text = text + &request("unsafe", "", "");
            // The rest of a large body, beyond the part that is drained, may find the connection closed.
            let _ = client.stream.write_all(text.as_bytes()).await;
            let answer = client.message().await.expect("an answer");
            assert_eq!(answer.status(), status, "{}", &text[..text.len().min(300)]);
            assert_eq!(answer.header("connection"), Some("close"), "{}", &text[..text.len().min(300)]);
            assert!(client.message().await.is_none(), "the following request is not read");
        }
        assert_eq!(host.count(), 0);
        assert_eq!(proxy.client().await.exchange(&good).await.status(), 200);
    });
}

/// Hosts treat two requests with the same id as one: the second must be rejected while the first is open.
#[test]
fn a_duplicate_of_an_open_id_is_rejected() {
    run(async {
        let host = Host::start([HostAction::Stall, ok("again")]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let text = request("unsafe", "", "");
        let mut first = proxy.client().await;
        first.send(&text).await;
        eventually("the host has the request", || host.count() == 1).await;
        assert_eq!(proxy.client().await.exchange(&text).await.status(), 409);
        host.release.notify_one();
        assert_eq!(first.message().await.expect("an answer").body, b"released");
        assert_eq!(first.exchange(&text).await.body, b"again");
        assert_eq!(host.count(), 2);
    });
}

/// An unsafe request that may have run must not be retried, nor be refused as if it had not run.
#[test]
fn an_unsafe_request_that_may_have_run_fails() {
    let error = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
    let odd = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    let acts = [
        HostAction::RespondAndClose(String::new()),
        HostAction::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".to_owned()),
        HostAction::Respond(error.to_owned()),
        HostAction::Respond(odd.to_owned()),
        HostAction::Respond("noise\r\n\r\n".to_owned()),
        // Responses that are incomplete, ambiguous or invalid.
        HostAction::RespondAndReset("HTTP/1.1 200 OK\r\n\r\nwhole?".to_owned(), Duration::from_millis(5)),
        HostAction::RespondAndReset("HTTP/1.1 200 OK\r\n\r\nwhole?".to_owned(), Duration::ZERO),
        HostAction::RespondAndReset("HTTP/1.0 200 OK\r\n\r\n".to_owned(), Duration::from_millis(5)),
        HostAction::RespondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nwhole?".to_owned()),
        HostAction::RespondAndClose(format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat((64 << 10) + 1))),
        HostAction::Respond(
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nwhole".to_owned(),
        ),
        HostAction::Respond(
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nwhole".to_owned(),
        ),
        HostAction::Respond(format!(
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n{CHUNKED}5\r\nwhole\r\n0\r\n\r\n"
        )),
        HostAction::Respond(format!("HTTP/1.1 200 OK\r\n{CHUNKED}5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n")),
        HostAction::Respond(
            "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n".to_owned() + &"x".repeat(100_000),
        ),
        HostAction::Respond(format!("HTTP/1.1 200 OK\r\n{}", "X-Pad: p\r\n".repeat(10_000))),
        HostAction::Respond(
            "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n".to_owned(),
        ),
        HostAction::Respond("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n".to_owned()),
    ];
    for act in acts {
        run(async {
            let hosts = [Host::start([act.clone()]).await, Host::start([act.clone()]).await];
            let proxy = Proxy::start(&hosts).await;
            let answer = proxy.client().await.exchange(&request("unsafe", "", "")).await;
            assert_eq!(answer.status(), 502, "{act:?}");
            assert_eq!(hosts[0].count() + hosts[1].count(), 1, "{act:?}");
        });
    }
}

/// A charge that had run, and that its host had answered in whole, was failed: the answer stated no length and ended with
/// its connection. An orderly end counts; a reset does not (`an_unsafe_request_that_may_have_run_fails`).
#[test]
fn an_answer_without_a_length_ends_with_its_connection() {
    let large = "x".repeat(64 << 10);
    for (head, body) in [
        ("HTTP/1.1 200 OK\r\n\r\n", "whole"),
        ("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "whole"),
        ("HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n", "whole"),
        ("HTTP/1.0 200 OK\r\n\r\n", "whole"),
        ("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "whole"),
        ("HTTP/1.1 200 OK\r\n\r\n", ""),
        ("HTTP/1.1 200 OK\r\n\r\n", &large),
    ] {
        run(async {
            let host = Host::start([HostAction::RespondAndClose(format!("{head}{body}"))]).await;
            let proxy = Proxy::start(from_ref(&host)).await;
            let mut client = proxy.client().await;
            for count in 1..=3 {
                let answer = client.exchange(&request("unsafe", "", "")).await;
                assert_eq!((answer.status(), answer.body == body.as_bytes()), (200, true), "{head:?}");
                assert_eq!(host.count(), count, "no charge is sent twice");
            }
        });
    }
}

#[test]
fn an_unsafe_request_that_never_ran_is_retried() {
    run(async {
        let hosts = [Host::start([rejection()]).await, Host::start([rejection()]).await];
        hosts[1].actions.borrow_mut().clear();
        hosts[1].actions.borrow_mut().push_back(ok("served"));
        let proxy = Proxy::start(&hosts).await;
        let mut client = proxy.client().await;
        for _ in 0..8 {
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.status(), 200);
        }
        assert!(hosts[0].count() > 0, "hosts are picked at random, but not always the same one");
    });
}

/// A request that cannot be sent must be refused at once, with a Retry-After.
#[test]
fn a_refusal_comes_at_once_with_a_retry_after() {
    run(async {
        let host = Host::start([ok("")]).await;
        let closed = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let dead = Host { address: closed.local_addr().expect("an address"), ..host };
        drop(closed);
        let proxy = Proxy::start(&[dead]).await;
        let started = std::time::Instant::now();
        let answer = proxy.client().await.exchange(&request("unsafe", "", "")).await;
        assert_eq!(answer.status(), 503);
        assert!(started.elapsed().as_millis() < 7_000, "refused before its deadline");
        let retry_after = answer.header("retry-after").and_then(|v| v.parse::<f64>().ok());
        assert!(retry_after.is_some_and(|seconds| seconds > 0.0 && seconds <= 0.75), "{answer:?}");
    });
}

/// Guards against a Retry-After of zero, after which a client retries at once, where the settings do not allow the
/// header.
#[test]
fn a_refusal_without_advice_has_no_retry_after() {
    run(async {
        let proxy = Proxy::start_with(&Discovery::heartbeats_only().await, &[], |config| {
            config["settings"]["limits"]["max_retry_after_us"] = 0.into();
        })
        .await;
        let answer = proxy.client().await.exchange(&request("unsafe", "", "").replace("8000", "300")).await;
        assert_eq!((answer.status(), answer.header("retry-after")), (503, None), "{answer:?}");
    });
}

/// The attempt of a client that disconnects must be cancelled.
#[test]
fn a_client_that_disconnects_cancels_its_attempt() {
    run(async {
        let host = Host::start([HostAction::Stall]).await;
        let proxy = Proxy::start_with(&Discovery::heartbeats_only().await, from_ref(&host), |config| {
            // Otherwise the attempt would time out while the test waits.
            config["settings"]["classes"][2]["objective_us"] = 60_000_000.into();
            config["settings"]["classes"][2]["deadline_us"] = 60_000_000.into();
        })
        .await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "").replace("8000", "60000")).await;
        eventually("the host has the request", || host.count() == 1).await;
        drop(client);
        eventually("the attempt's connection closes", || host.open_connections.get() == 0).await;
    });
}

/// A timeout must close the attempt's connection and fail the request within the client's time budget.
#[test]
fn a_silent_host_times_out_within_the_clients_budget() {
    run(async {
        let host = Host::start([HostAction::Stall]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let started = std::time::Instant::now();
        let text = request("unsafe", "", "").replace("8000", "300");
        assert_eq!(proxy.client().await.exchange(&text).await.status(), 502);
        assert!(started.elapsed().as_millis() >= 200, "not before the timeout");
        eventually("the attempt's connection closes", || host.open_connections.get() == 0).await;
    });
}
