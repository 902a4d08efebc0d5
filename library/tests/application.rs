//! What the application around the library may do: panic, drop, block its threads, end its runtime, never poll.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use nettleworks_client::{listen, Error, Fleet, FleetService, State};
use nettleworks_standins::{request, Dice, Fault, Load, Plan, Reader, Site, Tally};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::task::JoinSet;
use tower::{Service, ServiceExt};

/// Far longer than any test takes.
const PATIENCE: Duration = Duration::from_secs(30);

fn application(threads: usize) -> Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .expect("a runtime")
}

fn fault(fault: Fault) -> Plan {
    Plan { faults: vec![(fault, 1.0)], ..Plan::default() }
}

fn fleet(site: &Site) -> Fleet {
    fleet_with(site, |_| ())
}

fn fleet_with(site: &Site, change: impl FnOnce(&mut serde_json::Value)) -> Fleet {
    Fleet::builder().text(&site.configuration(change)).start().expect("it starts")
}

/// A fleet whose unsafe calls wait longer than any test: what ends one is not its time.
fn patient_fleet(site: &Site) -> Fleet {
    fleet_with(site, |config| {
        for time in ["objective_us", "deadline_us"] {
            config["settings"]["classes"][2][time] = 600_000_000.into();
        }
    })
}

fn post(class: &str) -> Request<Bytes> {
    Request::post("/api")
        .header("x-call-class", class)
        .body(Bytes::from_static(b"the body"))
        .expect("a request")
}

fn get() -> Request<Bytes> {
    Request::get("/api").header("x-call-class", "free").body(Bytes::new()).expect("a request")
}

async fn shown(fleet: &Fleet, what: &str, met: impl FnMut(&State) -> bool) -> State {
    let mut state = fleet.watch();
    let shown = tokio::time::timeout(PATIENCE, state.wait_for(met)).await;
    let state = shown.unwrap_or_else(|_| panic!("never: {what}")).expect("it runs").clone();
    state
}

/// Nothing is left of any call, nor of a connection that one has used.
async fn nothing_left(fleet: &Fleet) {
    shown(fleet, "no call, id or connection is left", |state| {
        (state.calls, state.ids, state.connections.open) == (0, 0, state.connections.idle)
    })
    .await;
}

/// Polls a future once, and says whether it is pending.
async fn begun<F: Future + Unpin>(future: &mut F) -> bool {
    poll_fn(|context| Poll::Ready(pin!(&mut *future).poll(context).is_pending())).await
}

async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < PATIENCE, "never: {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// A handler that panics drops its call as one that is given up does: the module hears that the client has gone, the
/// attempt's connection closes, and nothing goes out again.
#[test]
fn a_handler_that_panics_or_is_dropped_leaves_nothing_behind() {
    let site = Site::start(vec![fault(Fault::Stall), fault(Fault::Stall)]);
    application(2).block_on(async {
        let fleet = patient_fleet(&site);
        fleet.ready().await.expect("it runs");
        let panics = {
            let fleet = fleet.clone();
            tokio::spawn(async move {
                let mut call = Box::pin(fleet.call(post("unsafe"), Duration::from_secs(600)));
                assert!(begun(&mut call).await);
                until_sent(&fleet, 1).await;
                panic!("the handler's own");
            })
        };
        assert!(panics.await.expect_err("it panics").is_panic());
        nothing_left(&fleet).await;
        let mut dropped = Box::pin(fleet.call(post("unsafe"), Duration::from_secs(600)));
        assert!(begun(&mut dropped).await);
        until_sent(&fleet, 2).await;
        drop(dropped);
        nothing_left(&fleet).await;
        let open = site.with(|inside| inside.hosts.iter().map(|host| host.open.get()).sum::<usize>());
        assert_eq!(open, 0, "the attempts' connections are closed");
        assert_eq!(site.counts().iter().sum::<usize>(), 2, "no unsafe call went out again");
        assert_eq!(fleet.watch().borrow().attempts, 2);
    });
}

async fn ready(service: &mut FleetService) -> Result<(), Error> {
    ServiceExt::<Request<Full<Bytes>>>::ready(service).await.map(|_| ())
}

/// Waits until hosts have read so many requests in all.
async fn until_sent(fleet: &Fleet, count: u64) {
    shown(fleet, "it is sent", |state| state.attempts >= count).await;
}

/// With all of the application's threads blocked, a drain is kept, a time-out fires, clients of the front are served,
/// discovery is followed, and answers are there when the application wakes.
#[test]
fn blocked_worker_threads_do_not_reach_the_engine() {
    const BLOCKED: Duration = Duration::from_secs(2);
    let mut stalls = Plan { service: Duration::from_millis(5), ..Plan::default() };
    // Of many, some stall: a call of the application will time out while its threads are blocked.
    stalls.faults = vec![(Fault::Stall, 0.02)];
    let site = Site::start(vec![stalls.clone(), stalls.clone(), Plan::default()]);
    let runtime = application(2);
    let fleet = fleet(&site);
    runtime.block_on(fleet.ready()).expect("it runs");
    let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("it listens");
    let address = listener.local_addr().expect("an address");
    let _serving = fleet.serve(listener).expect("it serves");
    // The clients' thread is not the application's.
    let clients = std::thread::spawn(move || {
        nettleworks_standins::run(async {
            let tally = Rc::new(RefCell::new(Tally::default()));
            let mut load = Load::new(address, 5);
            load.until = Some(tokio::time::Instant::now() + BLOCKED);
            (load.pause, load.budget) = (Duration::from_millis(5), Duration::from_millis(400));
            load.run(&tally).await;
            let tally = tally.borrow().clone();
            tally
        })
    });
    // A call whose time is up, and one whose answer comes, while all threads are blocked.
    let answers = Arc::new(Mutex::new(Vec::new()));
    for worker in 0..2 {
        let (fleet, answers) = (fleet.clone(), answers.clone());
        runtime.spawn(async move {
            let mut call = Box::pin(fleet.call(get(), Duration::from_millis(700)));
            assert!(begun(&mut call).await, "worker {worker} has one out");
            std::thread::sleep(BLOCKED);
            let woken = Instant::now();
            let answer = call.await;
            answers.lock().expect("no panic").push((answer.is_ok(), woken.elapsed()));
        });
    }
    std::thread::sleep(BLOCKED / 4);
    let drained = site.with(|inside| {
        inside.list(0, "Terminating");
        tokio::time::Instant::now()
    });
    let tally = clients.join().expect("clients end well");
    let (last, watches) = site.with(|inside| (inside.hosts[0].read.get().1, inside.registry.watches.get()));
    let after = last.map_or(Duration::ZERO, |last| last.saturating_duration_since(drained));
    assert!(after < Duration::from_secs(1), "the drained host got a request {after:?} later");
    let later = site.with(move |inside| inside.hosts[1].read.get().1.is_some_and(|last| last > drained));
    assert!(later, "the others were asked all the while");
    assert_eq!(watches, 1, "discovery was never lost");
    assert_eq!(tally.lost, 0, "{tally:?}");
    assert!(tally.served > 50 && tally.failed > 0, "served {}, timed out {}", tally.served, tally.failed);
    runtime.block_on(until("both have woken", || answers.lock().expect("no panic").len() == 2));
    for (served, took) in answers.lock().expect("no panic").iter() {
        // Far under what a new exchange, or its deadline, would take were it only now begun.
        assert!(*took < Duration::from_millis(500), "served {served}, after {took:?}");
    }
}

/// The engine outlives the application's runtime; its calls end with it.
#[test]
fn the_application_may_end_its_runtime_first() {
    let site = Site::start(vec![fault(Fault::Stall)]);
    let first = application(2);
    let fleet = patient_fleet(&site);
    first.block_on(async {
        fleet.ready().await.expect("it runs");
        let (call, mut state) = (fleet.call(post("unsafe"), Duration::from_secs(600)), fleet.watch());
        tokio::spawn(call);
        state.wait_for(|state| state.attempts == 1).await.expect("it runs");
    });
    first.shutdown_background();
    application(1).block_on(async {
        nothing_left(&fleet).await;
        fleet.shutdown(PATIENCE).await.expect("nothing is open");
        fleet.shutdown(PATIENCE).await.expect("nor the second time");
        let started = Instant::now();
        assert_eq!(fleet.call(post("unsafe"), PATIENCE).await.err(), Some(Error::Closed));
        assert_eq!(fleet.is_ready().await, Err(Error::Closed));
        assert!(fleet
            .serve(listen("127.0.0.1:0".parse().expect("an address")).expect("it listens"))
            .is_err());
        let mut service = FleetService::new(fleet.clone(), PATIENCE);
        assert_eq!(ready(&mut service).await, Err(Error::Closed));
        assert!(started.elapsed() < PATIENCE / 2, "at once");
    });
    assert_eq!(site.counts(), [1]);
}

/// A shutdown finishes what was taken, and takes nothing more.
#[test]
fn a_shutdown_answers_what_was_taken() {
    let slow = Plan { service: Duration::from_millis(150), ..Plan::default() };
    let site = Site::start(vec![slow.clone(), slow]);
    application(2).block_on(async {
        let fleet = fleet(&site);
        fleet.ready().await.expect("it runs");
        let mut calls = JoinSet::new();
        for _ in 0..8 {
            calls.spawn(fleet.call(post("unsafe"), Duration::from_secs(8)));
        }
        until_sent(&fleet, 1).await;
        // All eight are in the queue or out: a call hands itself over when it is first polled.
        shown(&fleet, "all are taken", |state| state.requests == 8).await;
        let shut = tokio::spawn({
            let fleet = fleet.clone();
            async move { fleet.shutdown(PATIENCE).await }
        });
        while let Some(answer) = calls.join_next().await {
            assert!(answer.expect("no panic").is_ok());
        }
        assert_eq!(shut.await.expect("no panic"), Ok(()));
        assert_eq!(fleet.call(get(), PATIENCE).await.err(), Some(Error::Closed));
    });
    assert_eq!(site.counts().iter().sum::<usize>(), 8);
}

/// A shutdown whose time is up says so, and the calls that were open may have run.
#[test]
fn a_shutdown_ends_in_its_time() {
    let site = Site::start(vec![fault(Fault::Stall)]);
    application(2).block_on(async {
        let fleet = fleet(&site);
        fleet.ready().await.expect("it runs");
        let call = tokio::spawn(fleet.call(post("unsafe"), Duration::from_secs(8)));
        until_sent(&fleet, 1).await;
        let unfinished = fleet.shutdown(Duration::from_millis(50)).await.expect_err("one is open");
        assert_eq!(unfinished.calls, 1);
        assert_eq!(call.await.expect("no panic").err(), Some(Error::Failed));
    });
}

/// A plain drop finishes what was taken too: a call keeps its engine, and a client of the front gets its answer.
#[test]
fn a_plain_drop_answers_what_was_taken() {
    let slow = Plan { service: Duration::from_millis(150), ..Plan::default() };
    let site = Site::start(vec![slow]);
    application(2).block_on(async {
        let fleet = fleet(&site);
        fleet.ready().await.expect("it runs");
        let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("it listens");
        let mut client =
            Reader::new(TcpStream::connect(listener.local_addr().expect("one")).await.expect("up"));
        let serving = fleet.serve(listener).expect("it serves");
        let mut call = Box::pin(fleet.call(get(), Duration::from_secs(8)));
        assert!(begun(&mut call).await);
        client.send(&request("unsafe", "", "")).await;
        shown(&fleet, "both are taken", |state| state.requests == 2).await;
        drop((fleet, serving));
        assert_eq!(client.message().await.expect("an answer").status(), 200);
        assert!(call.await.is_ok());
    });
}

/// Nor does it cut a front short whose classes have shorter deadlines than a stop takes: clients come until they know.
#[test]
fn a_plain_drop_leaves_a_front_its_time_to_stop() {
    let site = Site::start(vec![Plan::default()]);
    application(2).block_on(async {
        let fleet = fleet_with(&site, |config| {
            for class in 0..3 {
                config["settings"]["classes"][class]["deadline_us"] = 1_000.into();
            }
        });
        fleet.ready().await.expect("it runs");
        let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("it listens");
        let address = listener.local_addr().expect("an address");
        let serving = fleet.serve(listener).expect("it serves");
        drop((fleet, serving));
        // Long past those deadlines, and well within the half second for which new connections are taken.
        tokio::time::sleep(Duration::from_millis(100)).await;
        let mut late = Reader::new(TcpStream::connect(address).await.expect("it still accepts"));
        assert_eq!(late.ask(nettleworks_standins::HEALTH).await.status(), 200);
    });
}

/// An answer that nobody polls for is all that is held: its call is over, its place free, its connection idle.
#[test]
fn a_caller_that_never_polls_holds_its_answer_alone() {
    let site = Site::start(vec![Plan { answer: 64 << 10, ..Plan::default() }]);
    application(2).block_on(async {
        let fleet = Fleet::builder().text(&site.configuration(|_| ())).calls(1).start().expect("it starts");
        fleet.ready().await.expect("it runs");
        let mut unread = Box::pin(fleet.call(get(), Duration::from_secs(8)));
        assert!(begun(&mut unread).await);
        let state = shown(&fleet, "it is over", |state| state.requests == 1 && state.calls == 0).await;
        assert_eq!((state.ids, state.connections.open, state.connections.idle), (0, 1, 1));
        assert!(
            fleet.call(get(), Duration::from_secs(8)).await.is_ok(),
            "its place and connection serve the next"
        );
        assert_eq!(fleet.watch().borrow().connections.opened, 1);
        assert_eq!(unread.await.expect("an answer").body().len(), 64 << 10);
    });
}

/// A service is ready while there is a place, and holds the place that it was promised; without one it is not ready,
/// and a call all the same is refused at once, with its time.
#[test]
fn a_service_is_not_ready_without_a_place() {
    let site = Site::start(vec![fault(Fault::Stall)]);
    application(2).block_on(async {
        let fleet = Fleet::builder().text(&site.configuration(|_| ())).calls(1).start().expect("it starts");
        fleet.ready().await.expect("it runs");
        let mut service = FleetService::new(fleet.clone(), Duration::from_secs(8));
        let mut other = service.clone();
        ready(&mut service).await.expect("there is a place");
        let refused = fleet.call(get(), Duration::from_secs(8)).await.expect_err("it is promised");
        assert!(!refused.may_have_run());
        assert!(refused.retry_after().is_some_and(|after| !after.is_zero()), "{refused:?}");
        let call = service.call(get().map(Full::new));
        {
            let mut waits = Box::pin(ready(&mut other));
            assert!(begun(&mut waits).await, "not ready");
            drop(call);
            tokio::time::timeout(PATIENCE, waits).await.expect("in time").expect("ready once it is gone");
        }
    });
    assert_eq!(site.counts(), [0], "never polled, never sent");
}

/// What the application says wrongly is turned away with the daemon's status, and reaches no host.
#[test]
fn what_cannot_be_used_is_a_typed_error() {
    let site = Site::start(vec![Plan::default()]);
    application(2).block_on(async {
        let fleet = fleet(&site);
        fleet.ready().await.expect("it runs");
        let large = Request::post("/api").header("x-call-class", "unsafe");
        let cases = [
            (Request::get("/api").body(Bytes::new()).expect("a request"), 400),
            (post("unheard-of"), 400),
            (post("keyed"), 400),
            (post("free"), 400),
            (large.body(Bytes::from(vec![0; (64 << 10) + 1])).expect("a request"), 413),
        ];
        for (request, status) in cases {
            let error = fleet.call(request, Duration::from_secs(8)).await.expect_err("unusable");
            assert!(matches!(error, Error::Unusable(s) if s == status), "{error:?}");
            assert_eq!((error.may_have_run(), error.into_answer().status().as_u16()), (false, status));
        }
        let late = fleet.call(get(), Duration::ZERO).await.expect_err("no time");
        assert!(late.retry_after().is_some());
        let twice = || post("unsafe").map(|_| Bytes::from(vec![0; 64 << 10]));
        assert!(fleet.call(twice(), Duration::from_secs(8)).await.is_ok(), "64 KiB go through");
    });
    assert_eq!(site.counts(), [1]);
}

/// A moved discovery is watched at once, and a broken configuration changes nothing.
#[test]
fn a_reload_moves_the_watch() {
    let (old, new) =
        (Site::start(vec![Plan::default()]), Site::start(vec![Plan::default(), Plan::default()]));
    application(2).block_on(async {
        let fleet = fleet(&old);
        fleet.ready().await.expect("it runs");
        assert!(fleet.reload("{").is_err());
        assert!(fleet.call(get(), Duration::from_secs(8)).await.is_ok());
        fleet.reload(&new.configuration(|_| ())).expect("a good one");
        shown(&fleet, "the new list", |state| state.hosts.len() == 2).await;
        for _ in 0..20 {
            assert!(fleet.call(get(), Duration::from_secs(8)).await.is_ok());
        }
        assert_eq!((old.counts(), new.counts().iter().sum::<usize>()), (vec![1], 20));
    });
}

/// Signals that this process handles; a library must add none.
fn handled_signals() -> String {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    status.lines().find(|line| line.starts_with("SigCgt")).expect("handled signals").to_owned()
}

/// Two fleets, and two copies of the library compiled apart, share nothing: neither signals, nor logs, nor the count
/// of descriptors, nor their lists and classes.
#[test]
fn two_fleets_and_two_copies_share_nothing() {
    use nettleworks_client_second as second;
    let slow = Plan { service: Duration::from_millis(100), ..Plan::default() };
    let sites = [Site::start(vec![slow.clone()]), Site::start(vec![slow.clone()]), Site::start(vec![slow])];
    let runtime = application(2);
    let before = handled_signals();
    let logs: [Arc<Mutex<Vec<String>>>; 3] = Default::default();
    let log = |number: usize| {
        let log = logs[number].clone();
        move |line: &str| log.lock().expect("no panic").push(line.to_owned())
    };
    // The first may hold two fifths of 32 descriptors to hosts; the others far more.
    let few = sites[0].configuration(|config| config["limits"]["sockets"] = 64.into());
    let one = Fleet::builder().text(&few).log(log(0)).start().expect("it starts");
    let other_classes =
        sites[1].configuration(|config| config["settings"]["classes"][0]["name"] = "door".into());
    let two = Fleet::builder().text(&other_classes).log(log(1)).start().expect("it starts");
    let copy =
        second::Fleet::builder().text(&sites[2].configuration(|_| ())).log(log(2)).start().expect("starts");
    assert_ne!(std::any::TypeId::of::<Fleet>(), std::any::TypeId::of::<second::Fleet>(), "two copies");
    runtime.block_on(async {
        one.ready().await.expect("it runs");
        two.ready().await.expect("it runs");
        copy.ready().await.expect("it runs");
        let mut calls = JoinSet::new();
        let door =
            || Request::get("/api").header("x-call-class", "door").body(Bytes::new()).expect("a request");
        for _ in 0..20 {
            let (a, b, c) = (one.clone(), two.clone(), copy.clone());
            calls.spawn(async move { ("one", a.call(get(), Duration::from_secs(8)).await.is_ok()) });
            calls.spawn(async move { ("two", b.call(door(), Duration::from_secs(8)).await.is_ok()) });
            calls.spawn(async move { ("copy", c.call(get(), Duration::from_secs(8)).await.is_ok()) });
        }
        let mut served: BTreeMap<&str, usize> = BTreeMap::new();
        while let Some(call) = calls.join_next().await {
            let (name, ok) = call.expect("no panic");
            *served.entry(name).or_default() += usize::from(ok);
        }
        assert_eq!((served["two"], served["copy"]), (20, 20));
        assert!(two.call(get(), PATIENCE).await.is_err(), "its classes are its own");
        let most = sites[0].with(|inside| inside.hosts[0].opened.get());
        assert!(most <= 12, "{most}");
        one.shutdown(PATIENCE).await.expect("all is answered");
        assert!(copy.call(get(), Duration::from_secs(8)).await.is_ok(), "the others go on");
        assert!(two.call(door(), Duration::from_secs(8)).await.is_ok());
    });
    assert_eq!(handled_signals(), before);
    for (log, site) in logs.iter().zip(&sites) {
        let log = log.lock().expect("no panic");
        let address = site.with(|inside| inside.hosts[0].address).to_string();
        let named: Vec<_> = log.iter().filter(|line| line.contains(" is node-0 at ")).collect();
        assert!(named.len() == 1 && named[0].ends_with(&address), "{log:?}");
    }
}

/// 10,000 calls whose handlers panic at 5%: each of the others has one final answer, no unsafe effect is had twice,
/// and nothing is left.
#[test]
fn ten_thousand_calls_with_panicking_handlers() {
    const CALLS: usize = 10_000;
    let plan = Plan {
        service: Duration::from_millis(1),
        faults: vec![
            (Fault::ResetAfter, 0.01),
            (Fault::ResetBefore, 0.01),
            (Fault::TurnAway, 0.01),
            (Fault::Garble, 0.003),
            (Fault::Twice, 0.003),
            (Fault::Cut, 0.002),
            (Fault::Error, 0.002),
        ],
        ..Plan::default()
    };
    let site = Site::start(vec![plan.clone(), plan.clone(), plan.clone(), plan]);
    let (mut answers, mut panics) = ([0_usize; 4], 0);
    application(2).block_on(async {
        let fleet = fleet(&site);
        fleet.ready().await.expect("it runs");
        let mut handlers = JoinSet::new();
        let mut next = 0;
        loop {
            while handlers.len() < 64 && next < CALLS {
                let (fleet, mut dice) = (fleet.clone(), Dice::new(11, ("handler", next)));
                let class = ["free", "keyed", "unsafe"][dice.below(3)];
                let mut call = match class {
                    "free" => get(),
                    _ => post(class),
                };
                if class == "keyed" {
                    call.headers_mut().insert("idempotency-key", next.to_string().parse().expect("a value"));
                }
                handlers.spawn(async move {
                    let mut call = Box::pin(fleet.call(call, Duration::from_secs(4)));
                    if dice.happens(0.05) {
                        let _ = begun(&mut call).await;
                        tokio::time::sleep(dice.time(Duration::from_millis(1))).await;
                        // The hook would write 500 traces.
                        std::panic::resume_unwind(Box::new("the handler's own"));
                    }
                    call.await
                });
                next += 1;
            }
            let Some(handler) = handlers.join_next().await else { break };
            match handler {
                Ok(Ok(_)) => answers[0] += 1,
                Ok(Err(Error::Refused { .. })) => answers[1] += 1,
                Ok(Err(Error::Failed)) => answers[2] += 1,
                Ok(Err(_)) => answers[3] += 1,
                Err(_) => panics += 1,
            }
        }
        // The state is shown once a second: what is shown now may be from before the calls. One that is dropped before
        // the engine took it is never taken.
        let taken = |state: &State| usize::try_from(state.requests).expect("a count");
        shown(&fleet, "all are taken", |state| taken(state) + panics >= CALLS).await;
        nothing_left(&fleet).await;
        let taken = taken(&fleet.watch().borrow());
        assert!(taken <= CALLS, "{taken} taken, {panics} panics");
        fleet.shutdown(PATIENCE).await.expect("nothing is open");
    });
    let [served, refused, failed, other] = answers;
    assert_eq!(served + refused + failed + other + panics, CALLS, "one end each");
    assert_eq!(other, 0);
    assert!((400..600).contains(&panics), "{panics}");
    assert!(served > CALLS * 85 / 100, "served {served}, refused {refused}, failed {failed}");
    assert_eq!(site.ledger.twice(Duration::from_secs(9)), []);
}

/// What a fleet is built from in code meets the daemon's checks.
#[test]
fn a_configuration_in_code_is_checked_as_a_file_is() {
    use nettleworks_client::{ClassKind, StartError};
    let site = Site::start(vec![Plan::default()]);
    let seconds = Duration::from_secs;
    let built = || {
        Fleet::builder()
            .discovery(site.discovery)
            .class("door", ClassKind::Keyed { window: seconds(1) }, seconds(1), seconds(2))
            .class("charge", ClassKind::Unsafe, seconds(1), seconds(2))
    };
    let bad = [
        (Fleet::builder().start(), "discovery"),
        (built().sockets(12).start(), "sockets"),
        (built().text("{").start(), "EOF"),
        (built().text("[]").seed(4).start(), ""),
        (built().calls(0).start(), "0 open calls"),
    ];
    for (start, reason) in bad {
        let Err(StartError::Configuration(text)) = start else { panic!("{reason}: {start:?}") };
        assert!(text.contains(reason), "{text}");
    }
    assert!(Fleet::builder().file("/no/such/file").is_err());
    application(1).block_on(async {
        let fleet = built().start().expect("a good one");
        fleet.ready().await.expect("it runs");
        assert!(fleet.call(post("charge"), seconds(2)).await.is_ok());
    });
}

/// A front on a listener of the application's runtime.
#[test]
fn a_listener_may_come_from_another_runtime() {
    let site = Site::start(vec![Plan::default()]);
    application(1).block_on(async {
        let fleet = fleet(&site);
        fleet.ready().await.expect("it runs");
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let _serving = fleet.serve(listener).expect("it serves");
        let mut client = Reader::new(TcpStream::connect(address).await.expect("it accepts"));
        client.stream.write_all(request("unsafe", "", "").as_bytes()).await.expect("written");
        assert_eq!(client.message().await.expect("an answer").status(), 200);
    });
}
