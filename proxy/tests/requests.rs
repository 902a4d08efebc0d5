//! What the application meets: requests that are served, refused, failed or unusable.

mod common;

use common::*;
use std::slice::from_ref;

#[test]
fn a_request_goes_on_unchanged_and_so_does_its_answer() {
    run(async {
        let host = Host::start([ok("the answer")]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let text = request("keyed", "Idempotency-Key: k1\r\nConnection: x-hop\r\nX-Hop: 1\r\n", "the body");
        let answer = proxy.client().await.ask(&text.replace("/api", "/api?q=1")).await;
        assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"the answer"[..]));
        let seen = host.seen.borrow()[0].clone();
        assert_eq!(seen.first, "POST /api?q=1 HTTP/1.1");
        assert_eq!(seen.body, b"the body");
        assert_eq!(seen.header("x-call-id"), Some("9b1f03aa5c7e2d41"));
        assert_eq!(seen.header("idempotency-key"), Some("k1"));
        assert_eq!(seen.header("x-hop"), None, "a header of the client's connection ends with it");
        let budget: u64 = seen.header("x-budget-ms").and_then(|v| v.parse().ok()).expect("a budget");
        assert!(budget > 0 && budget < 8_000, "{budget}");
    });
}

/// What cannot be used must end at once and reach neither the module nor a host.
#[test]
fn unusable_requests_are_turned_away_at_once() {
    run(async {
        let host = Host::start([ok("")]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let good = request("free", "", "");
        let large = request("free", "", &"x".repeat(64 * 1024 + 1));
        let chunked = format!(
            "{}{}",
            good.replace("Content-Length: 0", "Transfer-Encoding: chunked"),
            format!("8000\r\n{}\r\n", "x".repeat(0x8000)).repeat(3)
        );
        let cases = [
            (good.replace("X-Call-Id", "X-Other"), 400),
            (good.replace("9b1f03aa5c7e2d41", ""), 400),
            (request("free", "X-Call-Id: twice\r\n", ""), 400),
            (request("unheard-of", "", ""), 400),
            (good.replace("8000", "soon"), 400),
            (good.replace("8000", "0"), 400),
            (good.replace("8000", "-5"), 400),
            (good.replace("8000", "99999999999999999999"), 400),
            (good.replace("X-Budget-Ms", "X-Other"), 400),
            (request("keyed", "", ""), 400),
            (good.replace("/api", "/other"), 404),
            (large, 413),
            (chunked, 413),
            ("no http\r\n\r\n".to_owned(), 400),
        ];
        for (text, status) in cases {
            let mut client = proxy.client().await;
            client.send(&text).await;
            let answer = client.message().await.expect("an answer");
            assert_eq!(answer.status(), status, "{}", &text[..text.len().min(200)]);
        }
        assert_eq!(host.count(), 0);
        assert_eq!(proxy.client().await.ask(&good).await.status(), 200);
    });
}

/// An unsafe request that may have run must not be sent again, nor refused as if it had not.
#[test]
fn an_unsafe_request_that_may_have_run_fails() {
    let error = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
    let odd = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    let acts = [
        Act::SayAndClose(String::new()),
        Act::SayAndClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".to_owned()),
        Act::Say(error.to_owned()),
        Act::Say(odd.to_owned()),
        Act::Say("noise\r\n\r\n".to_owned()),
    ];
    for act in acts {
        run(async {
            let hosts = [Host::start([act.clone()]).await, Host::start([act.clone()]).await];
            let proxy = Proxy::start(&hosts).await;
            let answer = proxy.client().await.ask(&request("unsafe", "", "")).await;
            assert_eq!(answer.status(), 502, "{act:?}");
            assert_eq!(hosts[0].count() + hosts[1].count(), 1, "{act:?}");
        });
    }
}

#[test]
fn an_unsafe_request_that_surely_never_ran_goes_again() {
    run(async {
        let hosts = [Host::start([turn_away()]).await, Host::start([turn_away()]).await];
        hosts[1].acts.borrow_mut().clear();
        hosts[1].acts.borrow_mut().push_back(ok("served"));
        let proxy = Proxy::start(&hosts).await;
        let mut client = proxy.client().await;
        for _ in 0..8 {
            assert_eq!(client.ask(&request("unsafe", "", "")).await.status(), 200);
        }
        assert!(hosts[0].count() > 0, "the picks are random, but never all the same");
    });
}

/// Given up, a request is answered at once, and told when to come back.
#[test]
fn a_refusal_comes_at_once_with_advice() {
    run(async {
        let host = Host::start([ok("")]).await;
        let gone = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let dead = Host { address: gone.local_addr().expect("an address"), ..host };
        drop(gone);
        let proxy = Proxy::start(&[dead]).await;
        let started = std::time::Instant::now();
        let answer = proxy.client().await.ask(&request("unsafe", "", "")).await;
        assert_eq!(answer.status(), 503);
        assert!(started.elapsed().as_millis() < 7_000, "not sat on until its deadline");
        let advice = answer.header("retry-after").and_then(|v| v.parse::<f64>().ok());
        assert!(advice.is_some_and(|seconds| seconds > 0.0 && seconds <= 0.75), "{answer:?}");
    });
}

/// A client that goes away must not leave its attempt behind.
#[test]
fn a_client_that_closes_ends_its_attempt() {
    run(async {
        let host = Host::start([Act::Stall]).await;
        let proxy = Proxy::with(&Discovery::quiet().await, from_ref(&host), |config| {
            // Else the attempt would time out while the test waits.
            config["settings"]["classes"][2]["objective_us"] = 60_000_000.into();
            config["settings"]["classes"][2]["deadline_us"] = 60_000_000.into();
        })
        .await;
        let mut client = proxy.client().await;
        client.send(&request("unsafe", "", "").replace("8000", "60000")).await;
        eventually("the host has it", || host.count() == 1).await;
        drop(client);
        eventually("the attempt's connection closes", || host.open.get() == 0).await;
    });
}

/// A time-out closes the attempt's connection and fails the request within the client's time.
#[test]
fn a_host_that_says_nothing_is_given_up_in_the_clients_time() {
    run(async {
        let host = Host::start([Act::Stall]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        let started = std::time::Instant::now();
        let text = request("unsafe", "", "").replace("8000", "300");
        assert_eq!(proxy.client().await.ask(&text).await.status(), 502);
        assert!(started.elapsed().as_millis() >= 200, "not before its time");
        eventually("the attempt's connection closes", || host.open.get() == 0).await;
    });
}

/// A body that does not come must not keep its place for as long as a client cares to say.
#[test]
fn a_body_that_does_not_come_is_given_up() {
    run(async {
        let host = Host::start([ok("")]).await;
        let proxy = Proxy::with(&Discovery::quiet().await, from_ref(&host), |config| {
            config["settings"]["classes"][0]["deadline_us"] = 300_000.into();
        })
        .await;
        let mut client = proxy.client().await;
        client
            .send(&request("free", "", "the body").replace("8000", "4000000000").replace("the body", "half"))
            .await;
        assert_eq!(client.message().await.expect("an answer").status(), 408);
        assert_eq!(host.count(), 0);
    });
}

/// Clients that connect and say nothing must not keep others out, nor cost more descriptors than there are.
#[test]
fn silent_connections_do_not_keep_others_out() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let proxy = Proxy::with(&Discovery::quiet().await, &[host], |config| {
            config["limits"]["sockets"] = 64.into();
        })
        .await;
        let mut silent = Vec::new();
        for _ in 0..40 {
            silent.push(proxy.client().await);
        }
        assert_eq!(proxy.client().await.ask(&request("free", "", "")).await.status(), 200);
    });
}
