//! Several engines (shards) of one process, when one of them stalls, panics, is late, or gets all the load.

use http::{HeaderMap, HeaderValue, Method, Uri};
use nettleworks::config::Config;
use nettleworks::cores::{self, BackupListeners, ShardExit, ShardSignals, Shards};
use nettleworks::server;
use nettleworks_cores::key_router::Crossed;
use nettleworks_cores::ShardOptions;
use nettleworks_engine::calls::{Reply, RequestInfo};
use nettleworks_engine::http1::ForwardedRequest;
use nettleworks_engine::list::List;
use nettleworks_keys_station::WithKeys;
use nettleworks_policy::ClassId;
use nettleworks_standins::{
    eventually, pooled_sender, request, run, Client, Fault, HostBehavior, Message, Reader, StandInFleet,
    StressReport, StressRun,
};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch::{channel, Sender};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, Instant};

#[path = "cores/watch.rs"]
mod watch;

/// The keys of charges (unsafe requests) are forwarded to hosts, so that their ledger counts runs by key.
const KEYS_SETTINGS: &str = r#"{"classes": {"unsafe": {"forward": true}}}"#;
const SHARDS: usize = 4;
/// Two runs of one key within this time count as a duplicate.
const DUPLICATE_WINDOW: Duration = Duration::from_secs(9);

/// Several shards that serve together, each on a thread of the test's process.
struct Process {
    address: SocketAddr,
    peers: Shards,
    stop: Sender<bool>,
    reload: Sender<Option<Arc<Config>>>,
    backups: BackupListeners,
    threads: Vec<JoinHandle<ShardExit>>,
    log: Arc<Mutex<Vec<(usize, String)>>>,
    /// A shard, and a text: the shard's log function panics at the next line that contains it.
    panics: Arc<Mutex<Option<(usize, &'static str)>>>,
}

impl Process {
    fn start(site: &StandInFleet) -> Process {
        Process::start_with(site, ShardOptions::new(SHARDS), |_| ())
    }

    fn start_with(
        site: &StandInFleet,
        sizes: ShardOptions,
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Process {
        Process::start_configured(&site.configuration(change), sizes)
    }

    fn start_configured(config: &str, sizes: ShardOptions) -> Process {
        let config = Config::parse(config).and_then(|config| config.with_keys(KEYS_SETTINGS));
        let config = config.expect("a valid configuration");
        let listeners = server::bind_all(config.listen, sizes.shards).expect("listening");
        let address = listeners[0].local_addr().expect("an address");
        let backups = BackupListeners::duplicate(&listeners).expect("file descriptors");
        let (stop, stopped) = channel(false);
        let (reload, reloads) = channel(None);
        let (log, panics) = (Arc::<Mutex<Vec<_>>>::default(), Arc::<Mutex<Option<_>>>::default());
        let prepared_shards = cores::prepare_shards_sized(&config, sizes);
        let peers = prepared_shards[0].0.peers();
        let start = |((prepared, config), listener): ((_, Config), _)| {
            let prepared: nettleworks_cores::PreparedShard<_> = prepared;
            let (backups, signals) =
                (backups.clone(), ShardSignals { stop: stopped.clone(), reload: reloads.clone() });
            let (log, panics, shard) = (log.clone(), panics.clone(), prepared.shard());
            std::thread::spawn(move || {
                let ran = cores::run_thread(prepared, async |prepared| {
                    let line = move |line: &str| {
                        log.lock().expect("not poisoned").push((shard, line.to_owned()));
                        let mut panics = panics.lock().expect("not poisoned");
                        if panics.take_if(|(at, text)| *at == shard && line.contains(*text)).is_some() {
                            drop(panics);
                            panic!("panic injected by the test");
                        }
                    };
                    cores::serve_shard(prepared, config, Rc::new(line), listener, backups, signals).await
                });
                ran.expect("a thread").0
            })
        };
        let threads = prepared_shards.into_iter().zip(listeners).map(start).collect();
        Process { address, peers, stop, reload, backups, threads, log, panics }
    }

    async fn client(&self) -> Client {
        Reader::new(TcpStream::connect(self.address).await.expect("connected"))
    }

    async fn ready(&self) {
        for shard in 0..self.peers.count() {
            while self.peers.run_on(shard, |driver| driver.is_ready()).await != Some(true) {
                sleep(Duration::from_millis(2)).await;
            }
        }
    }

    fn log_count(&self, text: &str) -> usize {
        self.log.lock().expect("not poisoned").iter().filter(|(_, line)| line.contains(text)).count()
    }

    /// Blocks the shard's thread for this time.
    fn block(&self, shard: usize, time: Duration) {
        self.peers.submit(shard, move |_| std::thread::sleep(time));
    }

    /// Makes the shard panic in the middle of a change of its engine's state.
    fn poison(&self, shard: usize) {
        *self.panics.lock().expect("not poisoned") = Some((shard, "is ghost"));
        let ghost = r#"{"seq": 900, "whole": false, "hosts": [{"host": "ghost", "dial": "127.0.0.1:9", "health": "Terminating"}]}"#;
        let ghost: List = serde_json::from_str(ghost).expect("a list");
        self.peers.submit(shard, move |driver| driver.list_from_peer(ghost));
    }

    /// Shuts down as on SIGTERM, and returns how each shard ended.
    async fn stop(mut self) -> Vec<ShardExit> {
        self.backups.close();
        self.stop.send_replace(true);
        let threads = std::mem::take(&mut self.threads);
        let join =
            move || threads.into_iter().map(|thread| thread.join().expect("the panic is caught")).collect();
        tokio::task::spawn_blocking(join).await.expect("no panic")
    }

    /// The first key with this prefix that the shard owns.
    fn key_owned_by(&self, shard: usize, class: usize, prefix: &str) -> String {
        let is_owned = |key: &String| {
            let info = RequestInfo {
                id: "x".parse().expect("a value"),
                class: ClassId(class),
                tenant: None,
                deadline: Instant::now(),
                resent: false,
                key: Some(key.clone().into()),
            };
            self.peers.key_owner(&info) == Some(shard)
        };
        (0..).map(|n| format!("{prefix}-{n}")).find(is_owned).expect("each shard owns keys")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.backups.close();
        self.stop.send_replace(true);
    }
}

/// A client whose connection was accepted by this shard.
async fn client_of(process: &Process, shard: usize) -> Client {
    let count = async || process.peers.run_on(shard, |driver| driver.state().requests).await;
    loop {
        let mut client = process.client().await;
        let before = count().await;
        assert_eq!(client.exchange(&request("free", "", "")).await.status(), 200);
        if count().await > before {
            return client;
        }
    }
}

fn charge(key: &str) -> String {
    request("unsafe", &format!("Idempotency-Key: {key}\r\n"), "pays")
}

fn echo_plan(service: u64, faults: Vec<(Fault, f64)>) -> HostBehavior {
    HostBehavior { service: Duration::from_millis(service), echo: true, faults, ..HostBehavior::default() }
}

fn stalling_plan() -> HostBehavior {
    HostBehavior { faults: vec![(Fault::Stall, 1.0)], ..HostBehavior::default() }
}

fn key_state(answer: &Message) -> String {
    let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    body["key_state"].as_str().unwrap_or_default().to_owned()
}

/// Requests with one key arrive at all shards at the same time, and the first attempt fails: either it never ran, or
/// that is unknown. Each key must run at most once, and all clients that get a response must get the same one.
#[test]
fn concurrent_repeats_at_all_shards_run_once() {
    let faults = vec![(Fault::ResetBefore, 0.08), (Fault::Reject, 0.08), (Fault::ResetAfter, 0.08)];
    let site = StandInFleet::start(vec![echo_plan(2, faults); 4]);
    run(async {
        // An ejected host is tried again after a quarter of the latency target, and the pause doubles each time: with
        // the usual target of five seconds a few consecutive faults at both of a shard's hosts would exceed the test's
        // time.
        let process = Process::start_with(&site, ShardOptions::new(SHARDS), |config| {
            for class in config["settings"]["classes"].as_array_mut().expect("classes") {
                class["objective_us"] = 200_000.into();
            }
        });
        process.ready().await;
        let mut clients = Vec::new();
        for _ in 0..16 {
            clients.push(Some(process.client().await));
        }
        let (mut answered, mut unsure) = (0, 0);
        for round in 0..60 {
            let mut asks = JoinSet::new();
            for client in &mut clients {
                let (mut client, text) = (client.take().expect("idle"), charge(&format!("round-{round}")));
                asks.spawn_local(async move {
                    let mut answer = client.exchange(&text).await;
                    // A refused request never ran and is sent again.
                    while answer.status() == 503 {
                        sleep(Duration::from_millis(5)).await;
                        answer = client.exchange(&text).await;
                    }
                    (client, answer)
                });
            }
            let mut bodies = Vec::new();
            let mut next_idle = 0;
            while let Some(ended) = asks.join_next().await {
                let (client, answer) = ended.expect("no panic");
                clients[next_idle] = Some(client);
                next_idle += 1;
                match answer.status() {
                    200 => bodies.push(answer.body),
                    502 => unsure += 1,
                    status => panic!("{status}"),
                }
            }
            answered += bodies.len();
            assert!(bodies.iter().all(|body| *body == bodies[0]), "two different responses in round {round}");
        }
        let mut requests = Vec::new();
        for shard in 0..SHARDS {
            requests.push(
                process
                    .peers
                    .run_on(shard, |driver| driver.state().requests)
                    .await
                    .expect("the shard responds"),
            );
        }
        assert!(
            requests.iter().filter(|count| **count > 0).count() > 1,
            "all arrived at one shard: {requests:?}"
        );
        assert!(answered > 400 && unsure >= 16, "{answered} {unsure}");
        assert!(process.stop().await.iter().all(|exit| *exit == ShardExit::Clean));
    });
    assert!(site.ledger.runs().values().all(|runs| *runs == 1), "{:?}", site.ledger.runs());
    assert_eq!(site.ledger.duplicates(DUPLICATE_WINDOW), []);
}

/// A shard panics while its keys run. Clients that wait for them must be told at once that the request may have run;
/// these keys stay unsure and are not sent to a host again; keys of the other shards are not affected.
#[test]
fn a_panicked_shard_leaves_its_keys_unsure() {
    let site = StandInFleet::start(vec![stalling_plan()]);
    run(async {
        let process = Process::start(&site);
        process.ready().await;
        let (lost, kept) = (process.key_owned_by(1, 2, "lost"), process.key_owned_by(2, 2, "kept"));
        let mut asks = Vec::new();
        let clients = [&lost; 2].into_iter().chain([&kept; 12]);
        for key in clients {
            let mut client = process.client().await;
            let text = charge(key);
            asks.push(spawn_local(async move { client.exchange(&text).await }));
        }
        eventually("both keys run", || site.request_counts() == [2]).await;
        // Waits until all requests have been accepted: a shard that has ended refuses further ones.
        let mut accepted = 0;
        while accepted < 14 {
            accepted = 0;
            for shard in 0..SHARDS {
                let count = process.peers.run_on(shard, |driver| driver.state().requests).await;
                accepted += count.expect("the shard responds");
            }
        }
        let started = Instant::now();
        process.poison(1);
        for ask in asks.drain(..2) {
            let answer = ask.await.expect("no panic");
            assert_eq!(answer.status(), 502, "{answer:?}");
        }
        assert!(started.elapsed() < Duration::from_secs(3), "answered at once: {:?}", started.elapsed());
        eventually("the other shards notice it", || process.log_count("shard 1 has ended") == SHARDS - 1)
            .await;
        for _ in 0..8 {
            let answer = process.client().await.exchange(&charge(&lost)).await;
            assert_eq!((answer.status(), &key_state(&answer)[..]), (502, "unsure"));
        }
        site.execute(|inside| inside.hosts[0].release.notify_waiters());
        let mut served = 0;
        for ask in asks {
            // Clients whose connection belonged to the dead shard get an error.
            match ask.await.expect("no panic").status() {
                200 => served += 1,
                status => assert_eq!(status, 502),
            }
        }
        assert!(served > 0, "the other shard's key still runs");
        let repeated = process.client().await.exchange(&charge(&kept)).await;
        assert_eq!((repeated.status(), repeated.header("idempotency-replayed")), (200, Some("true")));
        let exits = process.stop().await;
        assert_eq!(exits, [ShardExit::Clean, ShardExit::Panicked, ShardExit::Clean, ShardExit::Clean]);
    });
    assert_eq!(site.request_counts(), [2]);
}

/// A shard's thread is blocked. Other shards must accept its new clients, its keys are refused and not run elsewhere,
/// and once it responds again everything is as before.
#[test]
fn other_shards_accept_the_clients_of_a_stalled_shard() {
    let site = StandInFleet::start(vec![echo_plan(1, vec![]); 2]);
    run(async {
        let process = Process::start(&site);
        process.ready().await;
        let stalled_key = process.key_owned_by(1, 2, "stalled");
        assert_eq!(process.client().await.exchange(&charge(&stalled_key)).await.status(), 200);
        process.block(1, Duration::from_secs(4));
        eventually("the stall is noticed", || process.log_count("shard 1 does not answer") == SHARDS - 1)
            .await;
        for _ in 0..24 {
            let started = Instant::now();
            let answer = process.client().await.exchange(&request("free", "", "")).await;
            assert_eq!(answer.status(), 200);
            assert!(started.elapsed() < Duration::from_millis(1_500), "{:?}", started.elapsed());
        }
        let refused = process.client().await.exchange(&charge(&stalled_key)).await;
        assert_eq!(refused.status(), 503, "no other shard has its key");
        assert!(refused.header("retry-after").is_some());
        eventually("the shard responds again", || process.log_count("shard 1 answers again") >= SHARDS - 1)
            .await;
        let replayed = process.client().await.exchange(&charge(&stalled_key)).await;
        assert_eq!((replayed.status(), replayed.header("idempotency-replayed")), (200, Some("true")));
        assert!(process.stop().await.iter().all(|exit| *exit == ShardExit::Clean));
    });
    assert_eq!(site.ledger.runs().values().max(), Some(&1));
}

fn free_request(id: String) -> (RequestInfo<HeaderValue>, ForwardedRequest) {
    let deadline = Instant::now() + Duration::from_secs(8);
    let id: HeaderValue = id.parse().expect("a value");
    let info = RequestInfo { id, class: ClassId(0), tenant: None, deadline, resent: false, key: None };
    let target = Uri::from_static("/api");
    (
        info,
        ForwardedRequest { method: Method::GET, target, headers: HeaderMap::new(), body: Default::default() },
    )
}

/// Shards have picked a host for a call but not written the request when another shard is notified that the host
/// drains. Their threads are blocked at that moment, and must not write the request when they continue.
#[test]
fn an_attempt_picked_before_a_drain_is_not_written_after_it() {
    let site = StandInFleet::start(vec![echo_plan(1, vec![])]);
    run(async {
        let process = Process::start(&site);
        process.ready().await;
        // Every shard but the one that watches the list gets a connection that can be written to at once.
        for shard in 1..SHARDS {
            process.peers.submit(shard, move |driver| {
                let (info, forward) = free_request(format!("first-{shard}"));
                let waiting = driver.request(info, forward);
                spawn_local(async move { drop(waiting.reply().await) });
            });
        }
        eventually("all are answered", || site.request_counts() == [SHARDS - 1]).await;
        sleep(Duration::from_millis(50)).await;
        for shard in 1..SHARDS {
            process.peers.submit(shard, move |driver| {
                let driver = driver.clone();
                spawn_local(async move {
                    let (info, forward) = free_request(format!("picked-{shard}"));
                    let waiting = driver.request(info, forward);
                    // The attempt's task has not run yet, and will run before the notification of the drain is read.
                    std::thread::sleep(Duration::from_millis(700));
                    drop(waiting.reply().await);
                });
            });
        }
        sleep(Duration::from_millis(100)).await;
        site.execute(|inside| inside.set_health(0, "Terminating"));
        for shard in 1..SHARDS {
            let attempts = process.peers.run_on(shard, |driver| driver.state().attempts).await;
            assert_eq!(attempts, Some(2), "shard {shard} had picked a host");
        }
        sleep(Duration::from_millis(300)).await;
        process.stop().await;
    });
    assert_eq!(site.request_counts(), [SHARDS - 1]);
}

/// All calls arrive at one shard. It must get the whole concurrency limit of the process, and the one probe beyond it,
/// at once, although the other shards held leases on a part; and never more than a single engine would have.
#[test]
fn concurrency_moves_to_the_shard_with_the_load() {
    let site = StandInFleet::start(vec![stalling_plan()]);
    run(async {
        let process = Process::start(&site);
        process.ready().await;
        // A call at each shard, so that each holds a part of the limit.
        for shard in 0..SHARDS {
            process.peers.submit(shard, move |driver| {
                let (info, forward) = free_request(format!("first-{shard}"));
                let waiting = driver.request(info, forward);
                spawn_local(async move { drop(waiting.reply().await) });
            });
        }
        eventually("each shard has a call at the host", || site.request_counts() == [SHARDS]).await;
        site.execute(|inside| inside.hosts[0].release.notify_waiters());
        eventually("all are answered", || site.execute(|inside| inside.hosts[0].open_connections.get()) > 0)
            .await;
        let before = site.request_counts()[0];
        process.peers.submit(0, |driver| {
            for call in 0..40 {
                let (info, forward) = free_request(format!("load-{call}"));
                let waiting = driver.request(info, forward);
                spawn_local(async move { drop(waiting.reply().await) });
            }
        });
        let in_flight = || site.request_counts()[0] - before;
        // A single balancer starts with a limit of 7 per host, and one probe.
        eventually("it has the whole limit", || in_flight() >= 7).await;
        sleep(Duration::from_millis(300)).await;
        assert!(in_flight() <= 8, "the limit holds for the whole process: {}", in_flight());
        process.stop().await;
    });
}

/// Guards against a plain failure where a key may have run: the shard that owns the key is stalled past the request's
/// deadline, and the shard that forwarded the request to it responds instead.
#[test]
fn a_shard_stalled_past_a_deadline_leaves_its_key_unsure() {
    let site = StandInFleet::start(vec![echo_plan(3_000, vec![])]);
    run(async {
        let sizes = ShardOptions { stall_timeout: Duration::from_secs(20), ..ShardOptions::new(2) };
        let process = Process::start_with(&site, sizes, |_| ());
        process.ready().await;
        let mut client = client_of(&process, 0).await;
        let (late, before) = (process.key_owned_by(1, 2, "late"), site.request_counts()[0]);
        let text = charge(&late).replace("X-Budget-Ms: 8000", "X-Budget-Ms: 2000");
        let ask = spawn_local(async move {
            let started = Instant::now();
            (client.exchange(&text).await, started.elapsed())
        });
        eventually("the host has the request", || site.request_counts() == [before + 1]).await;
        process.block(1, Duration::from_secs(5));
        let (answer, took) = ask.await.expect("no panic");
        assert_eq!((answer.status(), &key_state(&answer)[..]), (502, "unsure"), "{answer:?}");
        assert!(took < Duration::from_secs(4), "within its deadline: {took:?}");
        process.stop().await;
    });
    assert!(site.ledger.runs().values().all(|runs| *runs == 1), "{:?}", site.ledger.runs());
}

/// A shard is slow but does not count as stalled yet. As many requests wait for it as its queue holds; further ones
/// must be refused at once, and those that wait are answered when it continues.
#[test]
fn a_full_queue_refuses_at_once() {
    let site = StandInFleet::start(vec![echo_plan(1, vec![])]);
    run(async {
        let sizes = ShardOptions { queue: 2, stall_timeout: Duration::from_secs(20), ..ShardOptions::new(2) };
        let process = Process::start_with(&site, sizes, |_| ());
        process.ready().await;
        let mut clients = Vec::new();
        for _ in 0..6 {
            // Clients of the shard that is not blocked.
            clients.push(client_of(&process, 0).await);
        }
        process.block(1, Duration::from_secs(2));
        let mut asks = JoinSet::new();
        for (n, mut client) in clients.into_iter().enumerate() {
            let text = charge(&process.key_owned_by(1, 2, &format!("full{n}")));
            asks.spawn_local(async move {
                let started = Instant::now();
                let answer = client.exchange(&text).await;
                (answer.status(), answer.header("retry-after").is_some(), started.elapsed())
            });
        }
        let mut seen: BTreeMap<u16, usize> = BTreeMap::new();
        while let Some(ended) = asks.join_next().await {
            let (status, retry_after, took) = ended.expect("no panic");
            *seen.entry(status).or_default() += 1;
            assert_eq!(retry_after, status == 503);
            assert!(status == 200 || took < Duration::from_secs(1), "refused at once: {took:?}");
        }
        assert_eq!(seen, BTreeMap::from([(200, 2), (503, 4)]));
        process.stop().await;
    });
    assert_eq!(site.ledger.len(), 2 + site.ledger.effects().iter().filter(|e| !e.unsafe_method).count());
}

/// Keyed requests are forwarded between shards during many reloads of the configuration and during the shutdown: each
/// request must get its response, and none may run twice.
#[test]
fn keys_are_forwarded_between_shards_during_reloads_and_a_shutdown() {
    let site = StandInFleet::start(vec![echo_plan(3, vec![]); 3]);
    run(async {
        let process = Process::start(&site);
        process.ready().await;
        let (mut asks, answered) = (JoinSet::new(), Rc::new(Cell::new(0)));
        for client in 0..24 {
            let (mut connection, answered) = (process.client().await, answered.clone());
            asks.spawn_local(async move {
                let mut statuses = Vec::new();
                for call in 0..40 {
                    // Two clients use each key at the same time.
                    connection.send(&charge(&format!("{}-{call}", client / 2))).await;
                    match connection.message().await {
                        Some(answer) => {
                            statuses.push(answer.status());
                            answered.set(answered.get() + 1);
                        }
                        // The proxy closes connections between requests once it shuts down.
                        None => break,
                    }
                }
                statuses
            });
        }
        let reloaded =
            Config::parse(&site.configuration(|_| ())).and_then(|config| config.with_keys(KEYS_SETTINGS));
        let reloaded = Arc::new(reloaded.expect("a valid configuration"));
        let last = process.key_owned_by(3, 2, "last");
        for round in 1..=8 {
            process.reload.send_replace(Some(reloaded.clone()));
            eventually("requests are answered after a reload", || answered.get() > 50 * round).await;
        }
        let mut late = process.client().await;
        eventually("all shards have reloaded", || process.log_count("configuration read again") >= SHARDS)
            .await;
        let stopping = spawn_local(process.stop());
        // Accepted during the shutdown, with a key that another shard owns.
        assert_eq!(late.exchange(&charge(&last)).await.status(), 200);
        assert!(stopping.await.expect("no panic").iter().all(|exit| *exit == ShardExit::Clean));
        let mut served = 0;
        while let Some(ended) = asks.join_next().await {
            let statuses = ended.expect("no panic");
            assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
            served += statuses.len();
        }
        assert!(
            served > 400 && served < 24 * 40,
            "requests must overlap the reloads and the shutdown: {served}"
        );
    });
    assert_eq!(site.ledger.runs().values().max(), Some(&1));
}

/// A storm of retried charges and entries over all shards, with stalls, resets, a host that is killed and a shard that
/// is blocked for a while: nothing may run twice, and no key may get two different responses.
#[test]
fn a_retry_storm_over_all_shards_runs_nothing_twice() {
    let storm = StressRun { keys: 300, ..StressRun::default() };
    let site = storm.start_hosts(4);
    run(async {
        let config = storm.configuration(&site);
        let process = Process::start_configured(&config, ShardOptions::new(SHARDS));
        process.ready().await;
        let inject_fault = |number| match number {
            100 => site.execute(|inside| inside.hosts[1].kill()),
            150 => process.block(2, Duration::from_millis(1_600)),
            _ => {}
        };
        let aftermath =
            storm.run(&site.ledger, DUPLICATE_WINDOW, pooled_sender(process.address), inject_fault).await;
        let mut forwarded = 0;
        for shard in 0..SHARDS {
            let counts = process
                .peers
                .run_on(shard, |driver| driver.state().interceptor_state::<Crossed>().copied())
                .await;
            forwarded += counts.flatten().expect("the shard responds").handed;
        }
        assert!(forwarded > 300, "keyed requests are forwarded: {forwarded}");
        let StressReport { charges_twice, entries_twice, two_answers, .. } = aftermath;
        assert_eq!((charges_twice, entries_twice, two_answers), (0, 0, 0), "{aftermath:?}");
        assert!(aftermath.replayed * 100 >= aftermath.answerable * 95, "{aftermath:?}");
        process.stop().await;
    });
}

/// A call id can be open only once in the whole process, whichever shard it arrives at. A job for a shard that has
/// ended returns without waiting.
#[test]
fn an_id_is_open_once_in_the_process() {
    let site = StandInFleet::start(vec![stalling_plan()]);
    run(async {
        let process = Process::start(&site);
        process.ready().await;
        process.peers.submit(0, |driver| {
            let (info, forward) = free_request("same".to_owned());
            let waiting = driver.request(info, forward);
            spawn_local(async move { drop(waiting.reply().await) });
        });
        eventually("the host has the request", || site.request_counts() == [1]).await;
        let (sender, rejected) = tokio::sync::oneshot::channel();
        process.peers.submit(1, |driver| {
            let (info, forward) = free_request("same".to_owned());
            let waiting = driver.request(info, forward);
            spawn_local(async move { sender.send(matches!(waiting.reply().await, Reply::DuplicateId)) });
        });
        assert!(rejected.await.expect("the shard responds"), "the id is open at another shard");
        process.poison(1);
        eventually("the shard has ended", || process.log_count("shard 1 has ended") > 0).await;
        assert_eq!(process.peers.run_on(1, |_| ()).await, None);
        process.stop().await;
    });
    assert_eq!(site.request_counts(), [1]);
}
