//! The middleware around an application: which requests go to the fleet and which to the application, and how bodies
//! of all sizes are handled.

use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::{Request, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::Router;
use nettleworks_client::{CallContext, Error, Fleet, FleetLayer};
use nettleworks_standins::{request, run, Client, HostBehavior, Reader, StandInFleet};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Starts an application with the middleware in front of it and a handler that makes calls of its own.
async fn start_application(site: &StandInFleet) -> (Fleet, SocketAddr) {
    let fleet = Fleet::builder().text(&site.configuration(|_| ())).start().expect("the fleet starts");
    fleet.ready().await.expect("the fleet runs");
    let app = Router::new()
        .route("/echo", post(|body: Body| async { Response::new(body) }))
        .route("/context", get(describe_context))
        .route("/forward", post(forward))
        .with_state(fleet.clone())
        .layer(FleetLayer::new(fleet.clone()));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move { axum::serve(listener, app).await });
    (fleet, address)
}

async fn connect(address: SocketAddr) -> Client {
    Reader::new(TcpStream::connect(address).await.expect("the connection is accepted"))
}

/// Responds with the values that the extractor provides.
async fn describe_context(context: CallContext) -> String {
    let remaining = context.remaining().map(|remaining| remaining.as_millis());
    format!("{:?} {:?} {:?} {:?}", context.class(), context.tenant(), context.key(), remaining)
}

/// Makes a call of its own in the context of its request.
async fn forward(State(fleet): State<Fleet>, context: CallContext, body: Bytes) -> Response {
    let mut call = Request::post("/api?from=handler").body(body).expect("a request");
    context.apply(&mut call);
    match fleet.call(call, Duration::from_secs(5)).await {
        Ok(answer) => answer.map(Body::from),
        Err(Error::Unusable(status)) => (StatusCode::IM_A_TEAPOT, status.to_string()).into_response(),
        Err(error) => error.into_answer().map(Body::new),
    }
}

fn single_host_site() -> StandInFleet {
    StandInFleet::start(vec![HostBehavior::default()])
}

/// The middleware neither buffers nor limits the bodies of requests that go to the application.
#[test]
fn bodies_are_streamed_to_the_application() {
    run(async {
        let site = single_host_site();
        let (_fleet, address) = start_application(&site).await;
        let mut client = connect(address).await;
        client.send("POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n").await;
        // The first chunk is echoed before the last one is sent.
        let mut received = Vec::new();
        while !received.windows(3).any(|window| window == b"one") {
            tokio::io::AsyncReadExt::read_buf(&mut client.stream, &mut received).await.expect("read");
        }
        let large = 70 << 10;
        let rest = format!("{large:x}\r\n{}\r\n0\r\n\r\n", "x".repeat(large));
        let (mut read, mut write) = client.stream.split();
        let write_rest = async { write.write_all(rest.as_bytes()).await.expect("written") };
        let read_echo = async {
            while !received.ends_with(b"0\r\n\r\n") {
                tokio::io::AsyncReadExt::read_buf(&mut read, &mut received).await.expect("read");
            }
        };
        tokio::join!(write_rest, read_echo);
        assert!(received.len() > large);
        assert_eq!(site.request_counts(), [0]);
    });
}

/// Requests that go over the fleet have the limit of the daemon: a body of 64 KiB is accepted, and one byte more is
/// rejected before any host gets it.
#[test]
fn a_body_above_the_limit_is_rejected() {
    run(async {
        let site = single_host_site();
        let (_fleet, address) = start_application(&site).await;
        let largest = request("unsafe", "", &"x".repeat(64 << 10));
        assert_eq!(connect(address).await.exchange(&largest).await.status(), 200);
        let too_large = request("unsafe", "", &"x".repeat((64 << 10) + 1));
        assert_eq!(connect(address).await.exchange(&too_large).await.status(), 413);
        // The limit also applies to the handler's own call, although the application accepted its body.
        let forwarded = too_large.replace("/api", "/forward");
        let answer = connect(address).await.exchange(&forwarded).await;
        assert_eq!((answer.status(), answer.body.as_slice()), (418, &b"413 Payload Too Large"[..]));
        assert_eq!(site.request_counts(), [1]);
    });
}

/// A client that sends `Expect: 100-continue` gets the interim response only after its head has been validated.
#[test]
fn an_expectation_is_met_after_the_head_is_validated() {
    run(async {
        let site = single_host_site();
        let (_fleet, address) = start_application(&site).await;
        let text = request("unsafe", "Expect: 100-continue\r\n", "the body");
        let (head, body) = text.split_at(text.len() - 8);
        let mut good = connect(address).await;
        good.send(head).await;
        assert_eq!(good.message().await.expect("an interim response").status(), 100);
        good.send(body).await;
        assert_eq!(good.message().await.expect("an answer").status(), 200);
        let mut large = connect(address).await;
        large.send(&head.replace("Content-Length: 8", "Content-Length: 80000")).await;
        // hyper sends 100 when the body is read in order to discard it; the final response is the same.
        let mut answer = large.message().await.expect("an answer");
        if answer.status() == 100 {
            answer = large.message().await.expect("an answer");
        }
        assert_eq!(answer.status(), 413);
        assert_eq!(site.request_counts(), [1]);
    });
}

/// A request whose body does not arrive in time gets a response within the read timeout of the daemon.
#[test]
fn a_body_that_does_not_arrive_times_out() {
    run(async {
        let site = single_host_site();
        let (_fleet, address) = start_application(&site).await;
        let mut slow = connect(address).await;
        let text = request("unsafe", "", "the body");
        slow.send(&text[..text.len() - 1]).await;
        assert_eq!(slow.message().await.expect("an answer").status(), 408);
        assert_eq!(site.request_counts(), [0]);
    });
}

/// The class, tenant, key and remaining time of a request reach its handler, with the time counted from the arrival.
/// Absent headers are not invented: a call without a class is rejected.
#[test]
fn the_extractor_provides_the_requests_headers() {
    run(async {
        let site = single_host_site();
        let (_fleet, address) = start_application(&site).await;
        let with_headers = "GET /context HTTP/1.1\r\nHost: a\r\nX-Call-Class: keyed\r\nX-Caller: acme\r\n\
                    Idempotency-Key: k1\r\nX-Budget-Ms: 60000\r\n\r\n";
        let answer =
            String::from_utf8(connect(address).await.exchange(with_headers).await.body).expect("text");
        let budget = answer.strip_prefix("Some(\"keyed\") Some(\"acme\") Some(\"k1\") Some(");
        let budget: u64 =
            budget.and_then(|rest| rest.strip_suffix(')')?.parse().ok()).expect("a time in milliseconds");
        assert!((50_000..60_000).contains(&budget), "{answer}");
        let without_headers =
            connect(address).await.exchange("GET /context HTTP/1.1\r\nHost: a\r\n\r\n").await;
        assert_eq!(without_headers.body, b"None None None None");
        let mut client = connect(address).await;
        let without_class = "POST /forward HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx";
        let answer = client.exchange(without_class).await;
        assert_eq!((answer.status(), answer.body.as_slice()), (418, &b"400 Bad Request"[..]));
        assert_eq!(site.request_counts(), [0], "no class is invented");
        let forwarded = request("keyed", "", "x").replace("/api", "/forward");
        assert_eq!(client.exchange(&forwarded).await.status(), 200);
        let effect = site.ledger.effects().pop().expect("the request ran");
        let key = forwarded.lines().find_map(|line| line.strip_prefix("Idempotency-Key: "));
        assert_eq!(effect.key.as_deref(), key);
        assert_ne!(
            Some(effect.call.as_str()),
            forwarded.lines().find_map(|line| line.strip_prefix("X-Call-Id: "))
        );
    });
}

/// Only requests to the configured path go over the fleet, and refusals carry `Retry-After`.
#[test]
fn other_paths_are_passed_to_the_application() {
    run(async {
        let site = single_host_site();
        let fleet = Fleet::builder().text(&site.configuration(|_| ())).start().expect("the fleet starts");
        fleet.ready().await.expect("the fleet runs");
        let inner = tower::service_fn(|_: Request<Body>| async {
            Ok::<_, Infallible>(Response::builder().status(418).body(Body::empty()).expect("an answer"))
        });
        let mut app = tower::Layer::layer(&FleetLayer::new(fleet.clone()).path("/fleet"), inner);
        let mut send = async |path: &str| {
            let request = Request::get(path).header("x-call-id", "1").header("x-call-class", "free");
            let request = request.header("x-budget-ms", "5000").body(Body::empty()).expect("a request");
            let answer = tower::Service::call(&mut app, request).await.expect("infallible");
            (answer.status().as_u16(), answer.headers().contains_key("retry-after"))
        };
        assert_eq!(send("/fleet").await, (200, false));
        assert_eq!(send("/api").await, (418, false));
        assert_eq!(send("/fleet/1").await, (418, false));
        fleet.shutdown(Duration::from_secs(5)).await.expect("no call is open");
        assert_eq!(send("/fleet").await, (503, true));
        assert_eq!(send("/api").await, (418, false), "the application still serves");
    });
}
