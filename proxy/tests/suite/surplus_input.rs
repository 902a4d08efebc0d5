//! Bytes from hosts that belong to no response: they must not become the response to the next request.

use crate::harness::*;
use std::slice::from_ref;
use std::time::Duration;
use tokio::task::JoinSet;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Sends the response of `first`, and that of `second` this much later.
fn then_also(first: HostAction, delay: Duration, second: HostAction) -> HostAction {
    match (first, second) {
        (HostAction::Respond(first), HostAction::Respond(second)) => {
            HostAction::RespondThenAlso(first, delay, second)
        }
        _ => unreachable!("both actions respond"),
    }
}

/// A client got the late second response of its host to an earlier request as the response to its charge, as the
/// connection was used again at once. The charge's real response went to the request after it.
#[test]
fn a_late_second_response_is_not_served_as_the_response_to_the_next_request() {
    run(async {
        for delay in [ms(1), ms(3), ms(9)] {
            let host =
                Host::start([then_also(ok("first"), delay, ok("first")), ok("second"), ok("third")]).await;
            let proxy = Proxy::start(from_ref(&host)).await;
            let mut client = proxy.client().await;
            for body in ["first", "second", "third"] {
                let answer = client.exchange(&request("unsafe", "", "")).await;
                assert_eq!(String::from_utf8_lossy(&answer.body), body, "{delay:?}");
            }
        }
    });
}

/// A rejection that a host sent late, and that belonged to no request, was taken for the rejection of the charge that
/// followed on its connection, which was sent again and ran twice.
#[test]
fn a_late_rejection_of_no_request_does_not_make_a_charge_run_twice() {
    run(async {
        for delay in [ms(1), ms(3), ms(9)] {
            let charge = HostAction::Delay(ms(30), Box::new(ok("charged")));
            let host = Host::start([then_also(ok("first"), delay, rejection()), charge]).await;
            let proxy = Proxy::start(from_ref(&host)).await;
            let mut client = proxy.client().await;
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.body, b"first");
            let answer = client.exchange(&request("unsafe", "", "")).await;
            let runs = host.received.borrow().len() - 1;
            assert_eq!((answer.status(), runs), (200, 1), "{delay:?}");
        }
    });
}

/// Clients were served with charges' answers that lacked their end: the host stated a length that was too short, and the
/// rest of the body, right behind it, only closed the connection. A second copy behind a good answer still does no more.
#[test]
fn an_answer_whose_length_is_too_short_is_not_served() {
    run(async {
        for size in [14, 54, 20_000, 40_000] {
            let body = "x".repeat(size);
            let short = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", size - 8);
            let HostAction::Respond(good) = ok(&body) else { unreachable!("ok() responds") };
            let host = Host::start([HostAction::Respond(short), HostAction::Respond(good.repeat(2))]).await;
            let proxy = Proxy::start(from_ref(&host)).await;
            let mut client = proxy.client().await;
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.status(), 502, "{size}");
            let answer = client.exchange(&request("unsafe", "", "")).await;
            assert_eq!((answer.status(), answer.body == body.as_bytes()), (200, true), "{size}");
            assert_eq!(host.count(), 2, "no charge is sent twice");
        }
    });
}

/// A rejection whose length is too short is spoilt like any such answer: it does not prove that its charge never ran.
#[test]
fn a_rejection_whose_length_is_too_short_does_not_make_a_charge_run_twice() {
    run(async {
        let HostAction::Respond(rejection) = rejection() else { unreachable!("rejection() responds") };
        let hosts = [Host::start([ok("")]).await, Host::start([ok("")]).await];
        for host in &hosts {
            host.actions.replace([HostAction::Respond(format!("{rejection}the rest"))].into());
        }
        let proxy = Proxy::start(&hosts).await;
        assert_eq!(proxy.client().await.exchange(&request("unsafe", "", "")).await.status(), 502);
        assert_eq!(hosts[0].count() + hosts[1].count(), 1);
    });
}

/// A connection that settles for a request whose client has left stays open for the next request, and the abandoned
/// request is not sent.
#[test]
fn a_connection_is_kept_when_the_request_that_waits_for_it_is_abandoned() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let proxy = Proxy::start(from_ref(&host)).await;
        for count in 1..=5 {
            let mut client = proxy.client().await;
            assert_eq!(client.exchange(&request("unsafe", "", "")).await.status(), 200);
            client.send(&request("unsafe", "X-Abandoned: 1\r\n", "")).await;
            client.close().await;
            let is_abandoned = |message: &Message| message.header("x-abandoned").is_some();
            let received = host.received.borrow();
            let abandoned = received.iter().filter(|message| is_abandoned(message)).count();
            assert_eq!(received.len() - abandoned, count);
            assert!(host.accepted.get() <= ENGINES, "each engine keeps its connection");
        }
    });
}

/// Clients of a fleet where one answer in ten comes once more within 10 ms: each gets the answers to its own requests
/// and no other, whether or not the proxy is busy.
#[test]
fn clients_get_their_own_answers_from_hosts_that_answer_twice() {
    const CLIENTS: usize = 16;
    const REQUESTS: usize = 60;
    run(async {
        let faults = vec![(Fault::LateDuplicateAnswer(ms(10)), 0.1)];
        let behavior = HostBehavior { seed: 62, echo: true, faults, ..HostBehavior::default() };
        let ledger = Ledger::default();
        let mut hosts = Vec::new();
        for number in 0..4 {
            let name = format!("s-{number}");
            hosts.push(Host::with_behavior(&name, number, behavior.clone(), &ledger).await);
        }
        let proxy = Proxy::start(&hosts).await;
        let mut clients = JoinSet::new();
        for _ in 0..CLIENTS {
            let mut client = proxy.client().await;
            clients.spawn_local(async move {
                let mut served = 0;
                for _ in 0..REQUESTS {
                    let text = request("unsafe", "", "");
                    let id = text.lines().find_map(|line| line.strip_prefix("X-Call-Id: ")).expect("an id");
                    let answer = client.exchange(&text).await;
                    if answer.status() == 200 {
                        assert_eq!(String::from_utf8_lossy(&answer.body), id);
                        served += 1;
                    }
                }
                served
            });
        }
        let served: usize = clients.join_all().await.into_iter().sum();
        assert!(served * 2 > CLIENTS * REQUESTS, "{served} served");
    });
}
