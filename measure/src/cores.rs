//! Several engines beside one, beside as many daemons, and beside the least proxy on as many threads.
//!
//! Proxies have processors 0 and 1 to themselves where there are four; clients and hosts have the others. With fewer
//! there is no figure for throughput.

use crate::child_process::ChildProcess;
use crate::instructions::{self, RequestMix};
use crate::library::wait_until_ready;
use crate::report::{median, Bound, Report};
use nettleworks::config::Config;
use nettleworks::cores::{self, BackupListeners, ShardSignals, Shards};
use nettleworks_engine::calls::RequestInfo;
use nettleworks_engine::http1::{ForwardedRequest, Http1};
use nettleworks_keys_station::WithKeys;
use nettleworks_policy::ClassId;
use nettleworks_standins::{over, run, Aftermath, Load, Plan, Site, Storm};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::process::Command;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// Processors of the proxies, and of all else.
const PROXY_PROCESSORS: &str = "0,1";
const OTHER_PROCESSORS: &str = "2,3";
/// Connections of clients in a turn: enough to keep a proxy busy for as long as it has its processor at a time.
const CLIENTS: usize = 256;
/// Descriptors of each proxy: none closes connections for want of some.
const SOCKET_LIMIT: usize = 4_096;
/// Engines of the parts that are not about throughput.
const ENGINES: usize = 4;
/// The window in which a pod drops repeats.
const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(9);

/// Starts this program again where all but the proxies runs, and passes its outcome on; where there are too few
/// processors it measures here.
pub fn measure_pinned(full: bool) -> Option<Report> {
    let processors = std::thread::available_parallelism().map_or(1, usize::from);
    if processors < 4 {
        return Some(measure(full));
    }
    let program = std::env::current_exe().expect("this program's path");
    let mut command = Command::new("taskset");
    command.args(["-c", OTHER_PROCESSORS]).arg(program).arg("cores-pinned").args(full.then_some("--full"));
    match command.status() {
        Ok(status) => std::process::exit(status.code().unwrap_or(1)),
        Err(_) => Some(measure(full)),
    }
}

/// Measures all parts.
pub fn measure(full: bool) -> Report {
    let (rounds, run_duration) =
        if full { (15, Duration::from_secs(1)) } else { (5, Duration::from_millis(350)) };
    // This runs on what the proxies do not have.
    let has_own_processors =
        std::thread::available_parallelism().is_ok_and(|available| usize::from(available) == 2);
    let mut variants = if has_own_processors { throughput(rounds, run_duration) } else { Vec::new() };
    let median_ratio =
        |variants: &mut [Variant], numerator: usize, denominator: usize, field: fn(&Variant) -> &Vec<f64>| {
            let mut ratios: Vec<f64> = match (variants.get(numerator), variants.get(denominator)) {
                (Some(a), Some(b)) => field(a).iter().zip(field(b)).map(|(a, b)| a / b).collect(),
                _ => Vec::new(),
            };
            median(&mut ratios)
        };
    let rate_two_engines_by_one =
        median_ratio(&mut variants, TWO_ENGINES, ONE_ENGINE, |variant| &variant.rates);
    let rate_two_engines_by_two_daemons =
        median_ratio(&mut variants, TWO_ENGINES, TWO_DAEMONS, |variant| &variant.rates);
    let rate_minimal_proxy_two_by_one =
        median_ratio(&mut variants, MINIMAL_TWO_THREADS, MINIMAL_ONE_THREAD, |variant| &variant.rates);
    let cpu_two_engines_by_one =
        median_ratio(&mut variants, TWO_ENGINES, ONE_ENGINE, |variant| &variant.cpu_us);
    let cpu_four_engines_by_one =
        median_ratio(&mut variants, FOUR_ENGINES, ONE_ENGINE, |variant| &variant.cpu_us);
    let open = [1, ENGINES].map(count_connections);
    eprintln!("connections at hosts and watches with 1 and {ENGINES} engines: {open:?}");
    let mut start_times = burst_start_times(if full { 200 } else { 60 });
    start_times.sort_unstable_by(f64::total_cmp);
    let start_time_quantile = |share: f64| start_times[((start_times.len() - 1) as f64 * share) as usize];
    eprintln!(
        "room follows the load in {:.3} ms, 99 of 100 in {:.3}",
        start_time_quantile(0.5),
        start_time_quantile(0.99)
    );
    let (own_shard_us, other_shard_us) = replay_times(if full { 20_000 } else { 2_000 });
    eprintln!(
        "a repeat's answer takes {own_shard_us:.1} us at its key's engine, {other_shard_us:.1} over another"
    );
    let without_keys = instructions_without_keys();
    eprintln!("instructions a request by the daemon and by two engines: {without_keys:?}");
    let with_keys = instructions_with_keys();
    eprintln!("instructions a keyed request with 1 engine and with 2: {with_keys:?}");
    let keys = if full { 20_000 } else { 1_000 };
    let (stress, forwarded, seconds) = run_stress(keys);
    eprintln!("storm: {stress:?}, {forwarded} handed over, {seconds:.1} s");
    let rows: Vec<Value> = variants.iter_mut().map(Variant::to_json).collect();
    let measurements = json!({
        "rounds": rounds, "turn_ms": run_duration.as_millis() as u64, "clients": CLIENTS, "forms": rows,
        "least_two_by_one": round(rate_minimal_proxy_two_by_one), "cpu_two_by_one": round(cpu_two_engines_by_one),
        "cpu_four_engines_on_two_processors_by_one": round(cpu_four_engines_by_one),
        "open": open.iter().map(|open| json!({"light": open.light, "heavy": open.heavy, "watches": open.watches}))
            .collect::<Vec<_>>(),
        "room_follows_ms": {"median": round(start_time_quantile(0.5)), "p99": round(start_time_quantile(0.99)), "most": round(start_time_quantile(1.0)), "times": start_times.len()},
        "repeat_us": {"at_its_engine": round(own_shard_us), "over_another": round(other_shard_us)},
        "instructions": without_keys.map(|(one, two)| json!({"one": one, "two": two})),
        "instructions_keyed": with_keys.map(|(one, two)| json!({"one": one, "two": two, "handed_over": (two - one) / 0.5})),
        "storm": {"keys": keys, "sends": stress.sends, "handed_over": forwarded, "repeats": stress.repeats,
                  "answered": stress.answered, "answerable": stress.answerable, "replayed": stress.replayed,
                  "refusals": stress.refusals, "seconds": round(seconds)},
    });
    let mut report = Report::new("cores", measurements);
    if has_own_processors {
        report.add_target("rate_of_two_engines_by_one", rate_two_engines_by_one, Bound::AtLeast(1.8));
        report.add_target(
            "rate_of_two_engines_by_two_daemons",
            rate_two_engines_by_two_daemons,
            Bound::AtLeast(1.0),
        );
    }
    let four_by_one =
        |field: fn(&OpenConnections) -> usize| field(&open[1]) as f64 / field(&open[0]).max(1) as f64;
    if let Some((one, two)) = without_keys {
        report.add_target("instructions_of_two_engines_by_one", two / one, Bound::AtMost(1.1));
    }
    report.add_target(
        "connections_of_four_by_one_under_load",
        four_by_one(|open| open.heavy),
        Bound::AtMost(1.2),
    );
    report.add_target(
        "connections_of_four_by_one_with_little",
        four_by_one(|open| open.light),
        Bound::AtMost(1.2),
    );
    report.add_target("watches_of_four_engines", open[1].watches as f64, Bound::AtMost(1.0));
    report.add_target("room_follows_p99_ms", start_time_quantile(0.99), Bound::AtMost(10.0));
    report.add_target("charges_twice", stress.charges_twice as f64, Bound::AtMost(0.0));
    report.add_target("entries_twice", stress.entries_twice as f64, Bound::AtMost(0.0));
    report.add_target("keys_with_two_answers", stress.two_answers as f64, Bound::AtMost(0.0));
    let replayed = stress.replayed as f64 / stress.answerable.max(1) as f64;
    report.add_target("answers_replayed", replayed, Bound::AtLeast(0.99));
    report
}

fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

const ONE_ENGINE: usize = 0;
const TWO_ENGINES: usize = 1;
const TWO_DAEMONS: usize = 2;
const MINIMAL_ONE_THREAD: usize = 3;
const MINIMAL_TWO_THREADS: usize = 4;
const FOUR_ENGINES: usize = 5;

/// One form: its processes, where clients connect, and what came of each turn.
struct Variant {
    name: &'static str,
    processes: Vec<ChildProcess>,
    rates: Vec<f64>,
    cpu_us: Vec<f64>,
    busy: Vec<f64>,
    calls: u64,
    unserved: u64,
}

impl Variant {
    fn new(name: &'static str, processes: Vec<ChildProcess>) -> Variant {
        processes.iter().for_each(|proxy| wait_until_ready(proxy.address));
        let (rates, cpu_us, busy) = Default::default();
        Variant { name, processes, rates, cpu_us, busy, calls: 0, unserved: 0 }
    }

    fn to_json(&mut self) -> Value {
        json!({"form": self.name, "requests_a_second": median(&mut self.rates).round(),
               "cpu_us": round(median(&mut self.cpu_us)), "busy_processors": round(median(&mut self.busy)),
               "calls": self.calls, "unserved": self.unserved})
    }
}

fn start_pinned(processors: &str, name: &str, argument: &str, threads: usize) -> ChildProcess {
    ChildProcess::start_with_wrapper(&["taskset", "-c", processors], name, argument, threads)
        .expect("taskset is there")
}

/// Requests a second and what they cost, turn by turn.
fn throughput(rounds: usize, run_duration: Duration) -> Vec<Variant> {
    let site = Site::start(vec![Plan { service: Duration::ZERO, ..Plan::default() }; 4]);
    let config = site.configuration(|config| config["limits"]["sockets"] = SOCKET_LIMIT.into());
    let hosts: Vec<String> =
        site.with(|inside| inside.hosts.iter().map(|host| host.address.to_string()).collect());
    let hosts = hosts.join(",");
    let start_daemon = |index: u32, processor: &str| {
        let config = site.configuration(|config| {
            config["settings"]["balancers"] = 2.into();
            config["settings"]["me"] = index.into();
            config["limits"]["sockets"] = SOCKET_LIMIT.into();
        });
        start_pinned(processor, "daemon", &config, 1)
    };
    let mut variants = vec![
        Variant::new("one engine", vec![start_pinned("0", "daemon", &config, 1)]),
        Variant::new("two engines", vec![start_pinned(PROXY_PROCESSORS, "engines", &config, 2)]),
        Variant::new("two daemons", vec![start_daemon(0, "0"), start_daemon(1, "1")]),
        Variant::new("the least proxy, one thread", vec![start_pinned("0", "least", &hosts, 1)]),
        Variant::new(
            "the least proxy, two threads",
            vec![start_pinned(PROXY_PROCESSORS, "least", &hosts, 2)],
        ),
        Variant::new(
            "four engines on two processors",
            vec![start_pinned(PROXY_PROCESSORS, "engines", &config, 4)],
        ),
    ];
    // Clients and hosts on two processors keep about one and a half proxies busy. So each processor of the proxies is
    // shared with something that only burns time: what limits the rate then is the proxy.
    let _cpu_burners = ["0", "1"].map(|processor| start_pinned(processor, "burn", "", 1));
    // The first round fills pools and caches, and does not count.
    for number in 0..=rounds {
        for variant in &mut variants {
            let addresses: Vec<SocketAddr> = variant.processes.iter().map(|proxy| proxy.address).collect();
            let cpu = || variant.processes.iter().map(ChildProcess::cpu_time).sum::<Duration>();
            let (before, started) = (cpu(), Instant::now());
            let (calls, served) = run_load(&addresses, number as u64, run_duration);
            let (cpu_time, elapsed) = (cpu() - before, started.elapsed());
            if number == 0 {
                continue;
            }
            variant.calls += calls;
            variant.unserved += calls - served;
            variant.rates.push(served as f64 / elapsed.as_secs_f64());
            variant.cpu_us.push(cpu_time.as_secs_f64() * 1e6 / calls.max(1) as f64);
            variant.busy.push(cpu_time.as_secs_f64() / elapsed.as_secs_f64());
        }
        let progress: Vec<String> = variants
            .iter()
            .map(|variant| {
                format!("{} {:.0}/s", variant.name, variant.rates.last().copied().unwrap_or_default())
            })
            .collect();
        eprintln!("round {number}: {}", progress.join(", "));
    }
    variants
}

/// Clients on two threads, spread evenly over addresses. How many asked, and were served.
fn run_load(addresses: &[SocketAddr], seed: u64, run_duration: Duration) -> (u64, u64) {
    let threads: Vec<_> = (0..2)
        .map(|thread| {
            let address = addresses[thread % addresses.len()];
            std::thread::spawn(move || {
                run(async {
                    let tally = Rc::new(RefCell::default());
                    let mut load = Load::new(address, seed * 2 + thread as u64);
                    load.clients = CLIENTS / 2;
                    load.until = Some(tokio::time::Instant::now() + run_duration);
                    load.run(&tally).await;
                    let tally = tally.borrow();
                    (tally.all(), tally.served)
                })
            })
        })
        .collect();
    let thread_results = threads.into_iter().map(|thread| thread.join().expect("no panic"));
    thread_results.fold((0, 0), |(calls, served), (thread_calls, thread_served)| {
        (calls + thread_calls, served + thread_served)
    })
}

/// What is open with so many engines.
#[derive(Debug)]
struct OpenConnections {
    light: usize,
    heavy: usize,
    watches: usize,
}

/// Connections at eight hosts, with a few clients that pause and with many that do not.
fn count_connections(engines: usize) -> OpenConnections {
    let site = Site::start(vec![Plan { service: Duration::from_millis(4), ..Plan::default() }; 8]);
    let proxy = ChildProcess::start("engines", &site.configuration(|_| ()), engines);
    wait_until_ready(proxy.address);
    let open_connections = || site.with(|inside| inside.hosts.iter().map(|host| host.open.get()).sum());
    let run_load = |clients: usize, pause: Duration| {
        run(async {
            let tally = Rc::new(RefCell::default());
            let mut load = Load::new(proxy.address, clients as u64);
            (load.clients, load.pause) = (clients, pause);
            load.until = Some(tokio::time::Instant::now() + Duration::from_millis(1_200));
            load.run(&tally).await;
        });
    };
    run_load(8, Duration::from_millis(20));
    let light = open_connections();
    run_load(48, Duration::ZERO);
    let heavy = open_connections();
    OpenConnections { light, heavy, watches: site.with(|inside| inside.registry.watches.get()) }
}

/// A process of several engines within this one.
struct ShardedProxy {
    address: SocketAddr,
    shards: Shards,
    stop: tokio::sync::watch::Sender<bool>,
    _reload: tokio::sync::watch::Sender<Option<Arc<Config>>>,
    backup_listeners: BackupListeners,
}

impl ShardedProxy {
    fn start(config: &Config) -> ShardedProxy {
        let listeners = nettleworks::server::bind_all(config.listen, ENGINES).expect("it listens");
        let address = listeners[0].local_addr().expect("an address");
        let backup_listeners = BackupListeners::duplicate(&listeners).expect("descriptors");
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let (reload, reloads) = tokio::sync::watch::channel(None);
        let prepared_shards = cores::prepare_shards(config, ENGINES);
        let shards = prepared_shards[0].0.peers();
        for ((shard, config), listener) in prepared_shards.into_iter().zip(listeners) {
            let (backup_listeners, signals) =
                (backup_listeners.clone(), ShardSignals { stop: stopped.clone(), reload: reloads.clone() });
            std::thread::spawn(move || {
                cores::run_thread(shard, async |shard| {
                    cores::serve_shard(
                        shard,
                        config,
                        Rc::new(|_: &str| ()),
                        listener,
                        backup_listeners,
                        signals,
                    )
                    .await
                })
            });
        }
        ShardedProxy { address, shards, stop, _reload: reload, backup_listeners }
    }

    async fn ready(&self) {
        for shard in 0..ENGINES {
            while self.shards.run_on(shard, |driver| driver.is_ready()).await != Some(true) {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        }
    }
}

impl Drop for ShardedProxy {
    fn drop(&mut self) {
        self.backup_listeners.close();
        self.stop.send_replace(true);
    }
}

/// How long after a burst has come to one shard it has all the room of the process on its calls, in milliseconds; the
/// load moves on to the next shard each time, and the last has kept some room.
fn burst_start_times(bursts: usize) -> Vec<f64> {
    let site = Site::start(vec![Plan { service: Duration::from_millis(30), ..Plan::default() }]);
    let proxy =
        ShardedProxy::start(&Config::parse(&site.configuration(|_| ())).expect("a good configuration"));
    let mut start_times_ms = Vec::new();
    run(async {
        proxy.ready().await;
        for burst in 0..bursts {
            let (sender, all_started) = tokio::sync::oneshot::channel();
            let answered = Arc::new(AtomicUsize::new(0));
            let answered_count = answered.clone();
            proxy.shards.submit(burst % ENGINES, move |driver| {
                let (before, started) = (driver.state().attempts, Instant::now());
                // One balancer that is alone begins with 7 at a host: so many go at once, and more once it has learned.
                for call in 0..7 {
                    let pending_reply = driver.request(request_info(burst, call), forwarded_request());
                    let answered_count = answered_count.clone();
                    spawn_local(async move {
                        pending_reply.reply().await;
                        answered_count.fetch_add(1, Ordering::Relaxed);
                    });
                }
                let driver = driver.clone();
                spawn_local(async move {
                    while driver.state().attempts < before + 7 {
                        tokio::task::yield_now().await;
                    }
                    // Whoever measures is there.
                    let _ = sender.send(started.elapsed());
                });
            });
            start_times_ms.push(all_started.await.expect("all go").as_secs_f64() * 1e3);
            while answered.load(Ordering::Relaxed) < 7 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    });
    start_times_ms
}

fn request_info(number: usize, call: usize) -> RequestInfo<http::HeaderValue> {
    let id = http::HeaderValue::try_from(format!("{number}-{call}")).expect("a value");
    let deadline = tokio::time::Instant::now() + Duration::from_secs(8);
    RequestInfo { id, class: ClassId(0), tenant: None, deadline, resent: false, key: None }
}

fn forwarded_request() -> ForwardedRequest {
    let (method, target) = (http::Method::GET, http::Uri::from_static("/api"));
    ForwardedRequest { method, target, headers: http::HeaderMap::new(), body: bytes::Bytes::new() }
}

/// The median time of a repeat's kept answer, in microseconds, at the engine that its key belongs to and at another.
fn replay_times(repeats: usize) -> (f64, f64) {
    let site = Site::start(vec![Plan { service: Duration::ZERO, ..Plan::default() }]);
    let config = Config::parse(&site.configuration(|_| ())).and_then(|config| config.with_keys("{}"));
    let proxy = ShardedProxy::start(&config.expect("a good configuration"));
    run(async {
        proxy.ready().await;
        let mut medians = [0, 1].into_iter().map(|owner| {
            let is_owned = |key: &String| proxy.shards.key_owner(&keyed_request_info(0, key)) == Some(owner);
            let key = (0..).map(|n| format!("key-{n}")).find(is_owned).expect("each has keys");
            let (sender, replay_median) = tokio::sync::oneshot::channel();
            proxy.shards.submit(0, move |driver| {
                let driver = driver.clone();
                spawn_local(async move {
                    let mut replay_us = Vec::with_capacity(repeats);
                    for repeat in 0..=repeats {
                        let started = Instant::now();
                        driver.request(keyed_request_info(repeat, &key), forwarded_request()).reply().await;
                        replay_us.push(started.elapsed().as_secs_f64() * 1e6);
                    }
                    // The first was a host's.
                    replay_us.remove(0);
                    // Whoever measures is there.
                    let _ = sender.send(median(&mut replay_us));
                });
            });
            replay_median
        });
        let (own_shard, other_shard) = (medians.next().expect("two"), medians.next().expect("two"));
        (own_shard.await.expect("a median"), other_shard.await.expect("a median"))
    })
}

fn keyed_request_info(number: usize, key: &str) -> RequestInfo<http::HeaderValue> {
    RequestInfo { key: Some(key.to_owned().into()), class: ClassId(2), ..request_info(number, key.len()) }
}

/// Instructions a request without a store of keys, by the daemon and by two engines. `None`: there is no valgrind here.
fn instructions_without_keys() -> Option<(f64, f64)> {
    let count = |role, engines| {
        let site = Site::start(vec![Plan { service: Duration::ZERO, ..Plan::default() }; 2]);
        let request_mix = RequestMix { clients: 8, classes: vec![("free", 0.5), ("keyed", 0.5)] };
        instructions::per_request_with_threads(role, &site.configuration(|_| ()), &request_mix, engines)
    };
    Some((count("daemon", 1)?, count("engines", 2)?))
}

/// Instructions a request with a key, with one engine and with two: with two, half of them cross. `None`: there is no
/// valgrind here.
fn instructions_with_keys() -> Option<(f64, f64)> {
    let count = |engines| {
        let site = Site::start(vec![Plan { service: Duration::ZERO, ..Plan::default() }; 2]);
        let request_mix = RequestMix { clients: 8, classes: vec![("keyed", 1.0)] };
        instructions::per_request_with_threads(
            "engines-with-keys",
            &site.configuration(|_| ()),
            &request_mix,
            engines,
        )
    };
    Some((count(1)?, count(2)?))
}

/// Charges and entries, half and half, each sent up to four times over connections of all engines, with faults of every
/// kind; a host is killed, and an engine blocked for a while, in the middle. How many requests crossed, and how long it
/// took, come too.
fn run_stress(keys: usize) -> (Aftermath, u64, f64) {
    let stress = Storm { keys, ..Storm::default() };
    let site = stress.site(4);
    let key_settings =
        r#"{"entries": 100000, "entries_a_tenant": 100000, "classes": {"unsafe": {"forward": true}}}"#;
    let config =
        Config::parse(&stress.configuration(&site)).and_then(|config| config.with_keys(key_settings));
    let proxy = ShardedProxy::start(&config.expect("a good configuration"));
    let started = Instant::now();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(async {
        proxy.ready().await;
        let on_send = |number| {
            if number == keys / 3 {
                site.with(|inside| inside.hosts[1].kill());
            } else if number == keys / 2 {
                proxy.shards.submit(2, |_| std::thread::sleep(Duration::from_millis(1_500)));
            }
        };
        let report = stress.run(&site.ledger, DEDUPLICATION_WINDOW, over(proxy.address), on_send).await;
        let mut forwarded = 0;
        for shard in 0..ENGINES {
            let counters =
                proxy.shards.run_on(shard, |driver: &nettleworks_engine::driver::Handle<Http1>| {
                    driver.state().interceptor_state::<nettleworks_cores::key_router::Crossed>().copied()
                });
            forwarded += counters.await.flatten().map_or(0, |counters| counters.handed);
        }
        (report, forwarded, started.elapsed().as_secs_f64())
    })
}
