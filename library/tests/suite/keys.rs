//! The store of keys over real sockets: a repeat gets the answer of the first request, and no charge runs twice.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use nettleworks_client::{listen, Builder, Error, Fleet, KeyState, State};
use nettleworks_standins::{
    request, Client, Fault, Host, HostBehavior, Reader, SendOutcome, StandInFleet, StressReport, StressRun,
};
use std::future::Future;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::task::JoinSet;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const CALL_DEADLINE: Duration = Duration::from_secs(8);
/// Forwards the keys of unsafe requests to hosts, so that their ledger can count the runs of each key.
const FORWARDED_KEYS: &str = r#"{"classes": {"unsafe": {"forward": true}}}"#;

fn runtime() -> Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("a runtime")
}

fn run_test<T>(test: impl Future<Output = T>) -> T {
    runtime()
        .block_on(async { tokio::time::timeout(TEST_TIMEOUT, test).await.expect("the test ends in time") })
}

fn fleet_builder() -> Builder {
    Fleet::builder().cores(crate::harness::CORES)
}

async fn start_fleet(site: &StandInFleet, keys: &str) -> Fleet {
    start_fleet_with(site, keys, |_| ()).await
}

async fn start_fleet_with(
    site: &StandInFleet,
    keys: &str,
    change: impl FnOnce(&mut serde_json::Value),
) -> Fleet {
    let fleet =
        fleet_builder().text(&site.configuration(change)).keys(keys).start().expect("the fleet starts");
    fleet.ready().await.expect("the fleet runs");
    fleet
}

fn post(class: &str, key: &str) -> Request<Bytes> {
    let body = Bytes::from(format!("pays {key}"));
    let head = Request::post("/api").header("x-call-class", class).header("idempotency-key", key);
    head.body(body).expect("a request")
}

fn replayed(answer: &Response<Bytes>) -> bool {
    answer.headers().get("idempotency-replayed").is_some_and(|value| value == "true")
}

async fn wait_for_state(fleet: &Fleet, what: &str, condition: impl FnMut(&State) -> bool) -> State {
    let mut state = fleet.watch();
    let reached = tokio::time::timeout(TEST_TIMEOUT, state.wait_for(condition)).await;
    let state =
        reached.unwrap_or_else(|_| panic!("timed out waiting for: {what}")).expect("the fleet runs").clone();
    state
}

async fn wait_for_joined(fleet: &Fleet, count: u64) {
    wait_for_state(fleet, "the repeats have joined the first request", |state| {
        state.keys.is_some_and(|(counts, ..)| counts.joined == count)
    })
    .await;
}

/// Asserts that there is no answer because the key is in this state, and that the request may have run.
fn assert_unsure(answer: Result<Response<Bytes>, Error>, state: KeyState) {
    let error = answer.expect_err("no answer");
    assert!(
        matches!(error, Error::Unsure { state: actual, .. } if actual == state),
        "{error:?}, not {state:?}"
    );
    assert!(error.may_have_run());
}

fn echo_plan(service: Duration) -> HostBehavior {
    HostBehavior { service, echo: true, ..HostBehavior::default() }
}

fn failing_plan(fault: Fault) -> HostBehavior {
    HostBehavior { faults: vec![(fault, 1.0)], echo: true, ..HostBehavior::default() }
}

/// Repeats that arrive while the first request runs wait for its answer, and later ones get the kept answer: the same
/// bytes each, from a single run at a host. A different request with the same key is rejected.
#[test]
fn a_repeat_gets_the_answer_of_the_first_request() {
    let site = StandInFleet::start(vec![echo_plan(Duration::from_millis(300))]);
    run_test(async {
        let fleet = start_fleet(&site, FORWARDED_KEYS).await;
        let mut calls = JoinSet::new();
        for _ in 0..5 {
            calls.spawn(fleet.call(post("unsafe", "k1"), CALL_DEADLINE));
        }
        let mut bodies = Vec::new();
        let mut replays = 0;
        while let Some(answer) = calls.join_next().await {
            let answer = answer.expect("no panic").expect("served");
            replays += usize::from(replayed(&answer));
            bodies.push(answer.into_body());
        }
        let later = fleet.call(post("unsafe", "k1"), CALL_DEADLINE).await.expect("served");
        assert!(replayed(&later));
        bodies.push(later.into_body());
        assert!(bodies.iter().all(|body| *body == bodies[0] && !body.is_empty()), "{bodies:?}");
        assert_eq!(replays, 4, "all but the first request are marked as replays");
        let other = post("unsafe", "k1").map(|_| Bytes::from_static(b"pays more"));
        let error = fleet.call(other, CALL_DEADLINE).await.expect_err("another request");
        assert_eq!(error, Error::Unusable(StatusCode::UNPROCESSABLE_ENTITY));
        // Keys of different classes are independent.
        assert!(!replayed(&fleet.call(post("keyed", "k1"), CALL_DEADLINE).await.expect("served")));
        // The state is updated once a second, so it may still be from while the calls were open.
        wait_for_state(&fleet, "all requests are accepted and their ids free", |state| {
            state.requests == 8 && state.ids <= 1
        })
        .await;
        fleet.shutdown(TEST_TIMEOUT).await.expect("no call is open");
    });
    assert_eq!(site.ledger.len(), 2);
}

/// After an attempt with an unknown outcome, repeats get the failure, as do those that wait, and nothing is sent
/// again.
#[test]
fn after_an_unknown_outcome_nothing_is_sent_again() {
    for faulty in [Fault::ResetAfter, Fault::GarbledAnswer, Fault::TruncatedAnswer, Fault::Error] {
        let site = StandInFleet::start(vec![failing_plan(faulty), failing_plan(faulty)]);
        run_test(async {
            let fleet = start_fleet(&site, FORWARDED_KEYS).await;
            let mut calls = JoinSet::new();
            for _ in 0..4 {
                calls.spawn(fleet.call(post("unsafe", "k"), CALL_DEADLINE));
            }
            while let Some(answer) = calls.join_next().await {
                assert_unsure(answer.expect("no panic"), KeyState::Unsure);
            }
            assert_unsure(fleet.call(post("unsafe", "k"), CALL_DEADLINE).await, KeyState::Unsure);
        });
        assert_eq!(site.ledger.len(), 1, "{faulty:?}");
    }
}

/// After a refusal by the host, which never ran the request, a waiting repeat is sent as the first request. Each of
/// them gets an error that says that it never ran.
#[test]
fn after_a_refusal_a_repeat_is_sent_as_the_first_request() {
    let site = StandInFleet::start(vec![failing_plan(Fault::Reject)]);
    run_test(async {
        let fleet = start_fleet(&site, FORWARDED_KEYS).await;
        for _ in 0..2 {
            let mut calls = JoinSet::new();
            for _ in 0..3 {
                calls.spawn(fleet.call(post("unsafe", "k"), CALL_DEADLINE));
            }
            while let Some(answer) = calls.join_next().await {
                let error = answer.expect("no panic").expect_err("the host refuses the request");
                assert!(!error.may_have_run() && error.retry_after().is_some(), "{error:?}");
            }
        }
        site.execute(|stand_ins| *stand_ins.hosts[0].behavior.borrow_mut() = Some(echo_plan(Duration::ZERO)));
        // The host gets no requests for a while after its refusals.
        loop {
            match fleet.call(post("unsafe", "k"), CALL_DEADLINE).await {
                Ok(answer) => break assert!(!replayed(&answer)),
                Err(error) => tokio::time::sleep(error.retry_after().expect("the request never ran")).await,
            }
        }
        assert!(replayed(&fleet.call(post("unsafe", "k"), CALL_DEADLINE).await.expect("served")));
    });
    assert_eq!(site.ledger.len(), 1);
}

/// If the first client cancels, a waiting repeat still gets the answer. If all of them cancel, the attempt is
/// cancelled.
#[test]
fn a_call_continues_until_its_last_waiter_cancels() {
    let site = StandInFleet::start(vec![failing_plan(Fault::Stall)]);
    run_test(async {
        // Without detached calls, whose effect is tested in proxy/tests/suite/detached_calls.rs.
        let fleet = start_fleet_with(&site, r#"{"lingering": 0}"#, |config| {
            for time in ["objective_us", "deadline_us"] {
                config["settings"]["classes"][2][time] = 600_000_000.into();
            }
        })
        .await;
        let long_deadline = Duration::from_secs(600);
        let first = tokio::spawn(fleet.call(post("unsafe", "k1"), long_deadline));
        wait_for_state(&fleet, "the attempt is sent", |state| state.attempts == 1).await;
        let repeat = tokio::spawn(fleet.call(post("unsafe", "k1"), long_deadline));
        wait_for_joined(&fleet, 1).await;
        first.abort();
        assert!(first.await.is_err());
        site.execute(|stand_ins| stand_ins.hosts[0].release.notify_one());
        let answer = repeat.await.expect("no panic").expect("served");
        assert_eq!(&answer.body()[..], b"released");
        let both = [0, 1].map(|_| tokio::spawn(fleet.call(post("unsafe", "k2"), long_deadline)));
        wait_for_joined(&fleet, 2).await;
        wait_for_state(&fleet, "the attempt is sent", |state| state.attempts == 2).await;
        both.iter().for_each(|call| call.abort());
        wait_for_state(&fleet, "no call and no id is open", |state| (state.calls, state.ids) == (0, 0)).await;
        let again = fleet.call(post("unsafe", "k2"), long_deadline).await;
        assert_unsure(again, KeyState::Unsure);
    });
    assert_eq!(site.request_counts(), [2]);
}

/// If the deadline of the first request passes while a repeat still waits, the first gets its failure, the call
/// continues, and the repeat gets the answer. A repeat with a shorter deadline gets its failure earlier.
#[test]
fn each_waiter_has_its_own_deadline() {
    let site = StandInFleet::start(vec![failing_plan(Fault::Stall)]);
    run_test(async {
        let fleet = start_fleet(&site, FORWARDED_KEYS).await;
        let first = tokio::spawn(fleet.call(post("unsafe", "k"), Duration::from_millis(1_500)));
        wait_for_state(&fleet, "the attempt is sent", |state| state.attempts == 1).await;
        let long = tokio::spawn(fleet.call(post("unsafe", "k"), CALL_DEADLINE));
        let short = tokio::spawn(fleet.call(post("unsafe", "k"), Duration::from_millis(50)));
        assert_unsure(short.await.expect("no panic"), KeyState::Running);
        assert!(!first.is_finished(), "the first request still waits");
        assert_unsure(first.await.expect("no panic"), KeyState::Running);
        assert!(!long.is_finished(), "the repeat still waits");
        site.execute(|stand_ins| stand_ins.hosts[0].release.notify_one());
        assert_eq!(&long.await.expect("no panic").expect("served").body()[..], b"released");
    });
    assert_eq!(site.request_counts(), [1], "all share one attempt");
}

/// A full store refuses an unsafe request, which then never ran, and forwards a keyed one without storing it. A
/// tenant at its own bound does not affect another tenant.
#[test]
fn a_full_store_refuses_unsafe_requests() {
    let site = StandInFleet::start(vec![failing_plan(Fault::Stall)]);
    run_test(async {
        let keys = r#"{"entries": 3, "entries_a_tenant": 2}"#;
        let tenants = |config: &mut serde_json::Value| {
            config["settings"]["tenants"] = serde_json::json!([{"name": "a"}, {"name": "b"}]);
        };
        let fleet = start_fleet_with(&site, keys, tenants).await;
        let tenant_post = |tenant: &str, key: &str| {
            let mut request = post("unsafe", key);
            request.headers_mut().insert("x-caller", tenant.parse().expect("a value"));
            request
        };
        let running: Vec<_> =
            ["1", "2"].map(|key| tokio::spawn(fleet.call(tenant_post("a", key), CALL_DEADLINE))).into();
        wait_for_state(&fleet, "both keys are stored", |state| {
            state.keys.is_some_and(|(_, held, _)| held == 2)
        })
        .await;
        let refused =
            fleet.call(tenant_post("a", "3"), CALL_DEADLINE).await.expect_err("the tenant is at its bound");
        assert!(refused.retry_after().is_some(), "{refused:?}");
        let other = tokio::spawn(fleet.call(tenant_post("b", "1"), CALL_DEADLINE));
        wait_for_state(&fleet, "the key of the other tenant is stored", |state| {
            state.keys.is_some_and(|(_, held, _)| held == 3)
        })
        .await;
        assert!(fleet
            .call(tenant_post("b", "2"), CALL_DEADLINE)
            .await
            .expect_err("the store is full")
            .retry_after()
            .is_some());
        let passed = tokio::spawn(fleet.call(post("keyed", "k"), CALL_DEADLINE));
        let state = wait_for_state(&fleet, "the keyed request is forwarded", |state| {
            state.keys.is_some_and(|(c, ..)| c.passed[0] == 1)
        })
        .await;
        assert_eq!(state.keys.map(|(counts, ..)| counts.refused), Some([1, 1, 0]));
        running.iter().chain([&other, &passed]).for_each(|call| call.abort());
    });
}

/// The front rejects invalid keys as the library does, and a reload keeps the stored entries.
#[test]
fn the_front_uses_the_store_of_keys() {
    let site = StandInFleet::start(vec![echo_plan(Duration::ZERO)]);
    run_test(async {
        let fleet = start_fleet(&site, FORWARDED_KEYS).await;
        let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("the address can be bound");
        let address = listener.local_addr().expect("an address");
        let _serving = fleet.serve(listener).expect("the front starts");
        let mut client: Client =
            Reader::new(TcpStream::connect(address).await.expect("the connection is accepted"));
        let first = client.exchange(&request("unsafe", "Idempotency-Key: k\r\n", "body")).await;
        let again = client.exchange(&request("unsafe", "Idempotency-Key: k\r\n", "body")).await;
        assert_eq!((first.status(), &first.body), (200, &again.body));
        assert_eq!(
            (first.header("idempotency-replayed"), again.header("idempotency-replayed")),
            (None, Some("true"))
        );
        assert_eq!(
            client.exchange(&request("unsafe", "Idempotency-Key: k\r\n", "other")).await.status(),
            422
        );
        let huge = format!("Idempotency-Key: {}\r\n", "k".repeat(256));
        assert_eq!(client.exchange(&request("unsafe", &huge, "body")).await.status(), 400);
        for bad in [
            "Idempotency-Key: \r\n",
            "Idempotency-Key: a\r\nIdempotency-Key: a\r\n",
            "Idempotency-Key: é\r\n",
        ] {
            let mut client: Client =
                Reader::new(TcpStream::connect(address).await.expect("the connection is accepted"));
            assert_eq!(client.exchange(&request("unsafe", bad, "body")).await.status(), 400, "{bad}");
        }
        let keys = r#"{"waiters": 1, "classes": {"unsafe": {"answered_ms": 5}}}"#;
        fleet.reload_with_keys(&site.configuration(|_| ()), keys).expect("a valid configuration");
        assert!(replayed(
            &fleet.call(post_with_body("unsafe", "k", "body"), CALL_DEADLINE).await.expect("served")
        ));
        assert!(fleet.reload_with_keys(&site.configuration(|_| ()), r#"{"waiter": 1}"#).is_err());
    });
    assert_eq!(site.ledger.len(), 1);
}

fn post_with_body(class: &str, key: &str, body: &'static str) -> Request<Bytes> {
    post(class, key).map(|_| Bytes::from_static(body.as_bytes()))
}

/// Keys of unsafe requests are not sent to hosts unless that is configured.
#[test]
fn an_unsafe_key_is_not_forwarded_unless_configured() {
    let site = StandInFleet::start(vec![HostBehavior::default()]);
    run_test(async {
        let fleet = start_fleet(&site, "{}").await;
        assert!(fleet.call(post("unsafe", "k"), CALL_DEADLINE).await.is_ok());
        assert!(fleet.call(post("unsafe", "k"), CALL_DEADLINE).await.is_ok());
        assert!(fleet.call(post("keyed", "k"), CALL_DEADLINE).await.is_ok());
    });
    let keys: Vec<_> = site.ledger.effects().into_iter().map(|effect| effect.key).collect();
    assert_eq!(keys, [None, Some("k".to_owned())]);
}

/// An invalid configuration of the store of keys is an error that names the place.
#[test]
fn an_invalid_key_configuration_names_the_place() {
    let site = StandInFleet::start(vec![]);
    for (keys, reason) in [
        ("{", "EOF"),
        (r#"{"entrys": 3}"#, "entrys"),
        (r#"{"entries": 0}"#, "entries"),
        (r#"{"classes": {"other": {}}}"#, "classes.other"),
        (r#"{"classes": {"unsafe": {"unsure_ms": -1}}}"#, "classes.unsafe.unsure_ms"),
        ("{} {}", "trailing"),
    ] {
        let error = Fleet::builder()
            .text(&site.configuration(|_| ()))
            .keys(keys)
            .start()
            .expect_err("an invalid configuration");
        assert!(error.to_string().contains(reason), "{keys}: {error}");
    }
}

/// Charges (unsafe) and entries (keyed) are each sent up to 4 times at random moments by clients of which some cancel
/// early, while hosts stall, reset connections and corrupt answers, and one host is killed. No charge may run twice,
/// and no entry twice outside its pod; each key has a single answer, and an answer that a host has given is replayed.
/// Without the store the same load runs keys repeatedly; without detached calls it loses answers.
#[test]
fn repeated_charges_run_once() {
    let with_store = run_storm(Some(FORWARDED_KEYS));
    assert_eq!(
        (with_store.charges_twice, with_store.entries_twice, with_store.two_answers),
        (0, 0, 0),
        "{with_store:?}"
    );
    assert!(
        with_store.answerable > 300 && with_store.replayed * 100 >= with_store.answerable * 99,
        "{with_store:?}"
    );
    let without_detaching = run_storm(Some(r#"{"lingering": 0, "classes": {"unsafe": {"forward": true}}}"#));
    assert_eq!(
        (without_detaching.charges_twice, without_detaching.entries_twice, without_detaching.two_answers),
        (0, 0, 0),
        "{without_detaching:?}"
    );
    assert!(
        without_detaching.replayed < without_detaching.answerable,
        "without detached calls answers are lost: {without_detaching:?}"
    );
    let without_store = run_storm(None);
    assert!(
        without_store.entries_twice > 10 && without_store.two_answers > 10,
        "without the store keys run repeatedly: {without_store:?}"
    );
}

fn run_storm(keys: Option<&str>) -> StressReport {
    // Without the store a request of an unsafe class must not have a key, so only entries are compared.
    let classes = if keys.is_some() { vec!["unsafe", "keyed"] } else { vec!["keyed"] };
    let storm = StressRun { keys: 400, classes, ..StressRun::default() };
    let site = storm.start_hosts(4);
    let text = storm.configuration(&site);
    let builder = fleet_builder().text(&text);
    let fleet = keys.into_iter().fold(builder, Builder::keys).start().expect("the fleet starts");
    runtime().block_on(async {
        fleet.ready().await.expect("the fleet runs");
        let halfway = storm.keys / 2;
        let kill = |number| {
            if number == halfway {
                site.execute(|stand_ins| stand_ins.hosts[1].kill());
            }
        };
        let caller = fleet.clone();
        let call = move |class, key: String, deadline| {
            let call = caller.call(post(class, &key), deadline);
            async move { classify(call.await) }
        };
        let aftermath = storm.run(&site.ledger, Duration::from_secs(9), call, kill).await;
        fleet.shutdown(TEST_TIMEOUT).await.expect("no call is open");
        aftermath
    })
}

fn classify(answer: Result<Response<Bytes>, Error>) -> SendOutcome {
    match answer {
        Ok(answer) => SendOutcome::Answer { replayed: replayed(&answer), body: answer.into_body().into() },
        Err(Error::Refused { retry_after }) => SendOutcome::Refused(retry_after),
        Err(Error::Unsure { state: KeyState::Running, .. }) => SendOutcome::Running,
        Err(_) => SendOutcome::Unsure,
    }
}

/// A repeat gets the kept answer even if the host of the first request has been drained and killed meanwhile.
#[test]
fn a_drain_does_not_affect_a_repeat() {
    let site = StandInFleet::start(vec![echo_plan(Duration::ZERO), echo_plan(Duration::ZERO)]);
    run_test(async {
        let fleet = start_fleet(&site, FORWARDED_KEYS).await;
        let first = fleet.call(post("unsafe", "k"), CALL_DEADLINE).await.expect("served");
        let host_name = site.ledger.effects()[0].host.clone();
        site.execute(move |stand_ins| {
            let index = stand_ins
                .hosts
                .iter()
                .position(|host: &Host| host.name == host_name)
                .expect("a host ran the request");
            stand_ins.set_health(index, "Terminating");
            stand_ins.hosts[index].kill();
        });
        wait_for_state(&fleet, "the drain is known", |state| {
            state.hosts.iter().any(|host| host.health != nettleworks_client::Health::Ready)
        })
        .await;
        let again = fleet.call(post("unsafe", "k"), CALL_DEADLINE).await.expect("served");
        assert_eq!(first.body(), again.body());
    });
    assert_eq!(site.ledger.len(), 1);
}

/// Many waiting requests each get the whole answer of 64 KiB, and one copy of it is stored. If it exceeds the bound
/// of the store, only a marker is kept: a later repeat gets the failure, and nothing is sent again.
#[test]
fn a_large_answer_is_kept_once_or_not_at_all() {
    const WAITERS: usize = 40;
    for (max_bytes, is_kept) in [(100_000, true), (60_000, false)] {
        let slow = HostBehavior {
            service: Duration::from_millis(300),
            answer_bytes: 64 << 10,
            ..HostBehavior::default()
        };
        let site = StandInFleet::start(vec![slow]);
        run_test(async {
            let fleet = start_fleet(&site, &format!(r#"{{"answer_bytes": {max_bytes}}}"#)).await;
            let mut calls = JoinSet::new();
            for _ in 0..WAITERS {
                calls.spawn(fleet.call(post("unsafe", "k"), CALL_DEADLINE));
            }
            while let Some(answer) = calls.join_next().await {
                assert_eq!(answer.expect("no panic").expect("served").body().len(), 64 << 10);
            }
            let state = wait_for_state(&fleet, "the call has ended", |state| {
                state.calls == 0 && state.keys.is_some_and(|(counts, ..)| counts.joined == WAITERS as u64 - 1)
            })
            .await;
            let (_, _, bytes) = state.keys.expect("a store");
            assert_eq!(bytes >= 64 << 10, is_kept, "{bytes}");
            assert!(bytes <= max_bytes, "{bytes}");
            let later = fleet.call(post("unsafe", "k"), CALL_DEADLINE).await;
            if is_kept {
                assert!(replayed(&later.expect("the answer is kept")));
            } else {
                assert_unsure(later, KeyState::Forgotten);
            }
        });
        assert_eq!(site.ledger.len(), 1);
    }
}

/// A client that does not read its response does not delay a repeat.
#[test]
fn a_repeat_does_not_wait_until_the_first_client_reads() {
    let site = StandInFleet::start(vec![HostBehavior { answer_bytes: 64 << 10, ..HostBehavior::default() }]);
    run_test(async {
        let fleet = start_fleet(&site, FORWARDED_KEYS).await;
        let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("the address can be bound");
        let address = listener.local_addr().expect("an address");
        let _serving = fleet.serve(listener).expect("the front starts");
        let client = async || -> Client {
            Reader::new(TcpStream::connect(address).await.expect("the connection is accepted"))
        };
        let mut unread = client().await;
        unread.send(&request("unsafe", "Idempotency-Key: k\r\n", "body")).await;
        unread.stream.readable().await.expect("the response begins");
        let repeat = client().await.exchange(&request("unsafe", "Idempotency-Key: k\r\n", "body")).await;
        assert_eq!((repeat.status(), repeat.header("idempotency-replayed")), (200, Some("true")));
        assert_eq!(unread.message().await.expect("an answer").body, repeat.body);
    });
    assert_eq!(site.ledger.len(), 1);
}

/// A stop of the front answers the first request and all repeats that wait for it.
#[test]
fn a_stop_answers_all_waiters() {
    let site = StandInFleet::start(vec![echo_plan(Duration::from_millis(700))]);
    run_test(async {
        let fleet = start_fleet(&site, FORWARDED_KEYS).await;
        let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("the address can be bound");
        let address = listener.local_addr().expect("an address");
        let mut serving = fleet.serve(listener).expect("the front starts");
        let mut clients: Vec<Client> = Vec::new();
        for _ in 0..4 {
            let mut client: Client =
                Reader::new(TcpStream::connect(address).await.expect("the connection is accepted"));
            client.send(&request("unsafe", "Idempotency-Key: k\r\n", "body")).await;
            clients.push(client);
        }
        wait_for_joined(&fleet, 3).await;
        serving.stop();
        let mut bodies = Vec::new();
        for client in &mut clients {
            let answer = client.message().await.expect("an answer");
            assert_eq!(answer.status(), 200);
            bodies.push(answer.body);
        }
        assert!(bodies.iter().all(|body| *body == bodies[0]));
        serving.await.expect("the front ends without an error");
        fleet.shutdown(TEST_TIMEOUT).await.expect("no call is open");
    });
    assert_eq!(site.ledger.len(), 1);
}

/// Detached calls keep their entries in a full store; a new charge is refused until one of them has ended.
#[test]
fn a_detached_call_is_never_evicted() {
    let site = StandInFleet::start(vec![failing_plan(Fault::Stall)]);
    run_test(async {
        let fleet = start_fleet(&site, r#"{"entries": 2, "classes": {"unsafe": {"forward": true}}}"#).await;
        for key in ["k1", "k2"] {
            let call = tokio::spawn(fleet.call(post("unsafe", key), CALL_DEADLINE));
            let sent = |state: &State| state.attempts == u64::from(key == "k2") + 1;
            wait_for_state(&fleet, "the attempt is sent", sent).await;
            call.abort();
        }
        wait_for_state(&fleet, "both calls are detached", |state| state.lingering == 2).await;
        let refused = fleet.call(post("unsafe", "k3"), CALL_DEADLINE).await.expect_err("the store is full");
        assert!(refused.retry_after().is_some() && !refused.may_have_run(), "{refused:?}");
        site.execute(|stand_ins| stand_ins.hosts[0].release.notify_one());
        wait_for_state(&fleet, "one of them has ended", |state| state.lingering == 1).await;
        let third = tokio::spawn(fleet.call(post("unsafe", "k3"), CALL_DEADLINE));
        wait_for_state(&fleet, "the third request is sent", |state| state.attempts == 3).await;
        third.abort();
    });
    assert_eq!(site.ledger.len(), 3);
}

/// A shorter retention of detached calls applies to calls that are detached after the reload. A lower bound on their
/// number cancels calls only when another call is detached.
#[test]
fn a_reload_changes_how_long_calls_stay_detached() {
    let site = StandInFleet::start(vec![failing_plan(Fault::Stall)]);
    run_test(async {
        let long_deadlines = |config: &mut serde_json::Value| {
            for time in ["objective_us", "deadline_us"] {
                config["settings"]["classes"][2][time] = 600_000_000.into();
            }
        };
        let fleet = start_fleet_with(&site, FORWARDED_KEYS, long_deadlines).await;
        let cancel_when_sent = async |key: &'static str, attempts: u64| {
            let call = tokio::spawn(fleet.call(post("unsafe", key), CALL_DEADLINE));
            wait_for_state(&fleet, "the attempt is sent", |state| state.attempts == attempts).await;
            call.abort();
        };
        cancel_when_sent("k1", 1).await;
        cancel_when_sent("k2", 2).await;
        wait_for_state(&fleet, "both calls are detached", |state| state.lingering == 2).await;
        let keys = r#"{"lingering": 2, "classes": {"unsafe": {"linger_ms": 50}}}"#;
        fleet.reload_with_keys(&site.configuration(long_deadlines), keys).expect("a valid configuration");
        cancel_when_sent("k3", 3).await;
        // The oldest call was cancelled to make room for the third, which then expired; the second continues.
        let state = wait_for_state(&fleet, "one detached call is left", |state| state.lingering == 1).await;
        assert_eq!(state.keys.map(|(counts, ..)| (counts.lingered, counts.called_off)), Some((3, 1)));
        assert_unsure(fleet.call(post("unsafe", "k1"), CALL_DEADLINE).await, KeyState::Unsure);
        assert_unsure(fleet.call(post("unsafe", "k3"), CALL_DEADLINE).await, KeyState::Unsure);
        let again = tokio::spawn(fleet.call(post("unsafe", "k2"), TEST_TIMEOUT));
        wait_for_joined(&fleet, 1).await;
        // Waits until the host has noticed that the other calls were cancelled.
        while site.execute(|stand_ins| stand_ins.hosts[0].open_connections.get()) > 1 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        site.execute(|stand_ins| stand_ins.hosts[0].release.notify_one());
        assert!(replayed(&again.await.expect("no panic").expect("served")));
    });
    assert_eq!(site.ledger.len(), 3);
}
