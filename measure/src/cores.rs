//! Several engines compared with one, with as many daemons, and with the minimal proxy on as many threads.
//!
//! On a machine with at least four processors the proxies have processors 0 and 1 for themselves, and clients and hosts
//! have 2 and 3. With fewer processors the throughput is not measured.

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
use nettleworks_standins::{pooled_sender, run, HostBehavior, Load, StandInFleet, StressReport, StressRun};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::process::Command;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// Processors of the proxies.
const PROXY_PROCESSORS: &str = "0,1";
/// Processors of clients and hosts.
const OTHER_PROCESSORS: &str = "2,3";
/// Number of client connections: enough to keep a proxy busy during the whole time slice of its processor.
const CLIENTS: usize = 256;
/// Sockets of each proxy: enough that no connection is closed for lack of sockets.
const SOCKET_LIMIT: usize = 4_096;
/// Number of engines where the throughput is not measured.
const ENGINES: usize = 4;
/// Time within which a pod drops repeats of an entry.
const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(9);

/// Starts this program again on the processors of clients and hosts, and exits with its status. With too few processors,
/// or without `taskset`, measures in this process.
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

/// Measures everything.
pub fn measure(full: bool) -> Report {
    let (rounds, run_duration) =
        if full { (15, Duration::from_secs(1)) } else { (5, Duration::from_millis(350)) };
    // Pinned to two processors by `measure_pinned`, the proxies have the others for themselves.
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
    eprintln!("connections to hosts and watches with 1 and {ENGINES} engines: {open:?}");
    let mut start_times = burst_start_times(if full { 200 } else { 60 });
    start_times.sort_unstable_by(f64::total_cmp);
    let start_time_quantile = |share: f64| start_times[((start_times.len() - 1) as f64 * share) as usize];
    eprintln!(
        "capacity follows the load in {:.3} ms, p99 {:.3}",
        start_time_quantile(0.5),
        start_time_quantile(0.99)
    );
    let (own_shard_us, other_shard_us) = replay_times(if full { 20_000 } else { 2_000 });
    eprintln!(
        "replaying a response takes {own_shard_us:.1} us at the shard of its key, {other_shard_us:.1} by another"
    );
    let without_keys = instructions_without_keys();
    eprintln!("instructions per request of the daemon and of two engines: {without_keys:?}");
    let with_keys = instructions_with_keys();
    eprintln!("instructions per keyed request with 1 engine and with 2: {with_keys:?}");
    let keys = if full { 20_000 } else { 1_000 };
    let (stress, forwarded, seconds) = run_stress(keys);
    eprintln!("stress run: {stress:?}, {forwarded} requests forwarded, {seconds:.1} s");
    let rows: Vec<Value> = variants.iter_mut().map(Variant::summarize).collect();
    let measurements = json!({
        "rounds": rounds, "turn_ms": run_duration.as_millis() as u64, "clients": CLIENTS, "forms": rows,
        "least_two_by_one": round(rate_minimal_proxy_two_by_one), "cpu_two_by_one": round(cpu_two_engines_by_one),
        "cpu_four_engines_on_two_processors_by_one": round(cpu_four_engines_by_one),
        "open": open.iter().map(|open| json!({"light": open.light, "heavy": open.heavy, "watches": open.watches}))
            .collect::<Vec<_>>(),
        "room_follows_ms": {"median": round(start_time_quantile(0.5)), "p99": round(start_time_quantile(0.99)),
                            "most": round(start_time_quantile(1.0)), "times": start_times.len()},
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

/// Indices of the variants of [`throughput`].
const ONE_ENGINE: usize = 0;
const TWO_ENGINES: usize = 1;
const TWO_DAEMONS: usize = 2;
const MINIMAL_ONE_THREAD: usize = 3;
const MINIMAL_TWO_THREADS: usize = 4;
const FOUR_ENGINES: usize = 5;

/// A variant whose throughput is measured: its processes, to which clients connect, and the values of each round.
struct Variant {
    name: &'static str,
    processes: Vec<ChildProcess>,
    /// Served requests per second.
    rates: Vec<f64>,
    /// CPU time per call.
    cpu_us: Vec<f64>,
    /// CPU time per wall-clock time.
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

    /// The medians of the rounds as JSON. Sorts the values.
    fn summarize(&mut self) -> Value {
        json!({"form": self.name, "requests_a_second": median(&mut self.rates).round(),
               "cpu_us": round(median(&mut self.cpu_us)), "busy_processors": round(median(&mut self.busy)),
               "calls": self.calls, "unserved": self.unserved})
    }
}

/// Starts a child process on these processors.
fn start_pinned(processors: &str, name: &str, argument: &str, threads: usize) -> ChildProcess {
    ChildProcess::start_with_wrapper(&["taskset", "-c", processors], name, argument, threads)
        .expect("taskset is installed")
}

/// Measures the requests per second and the CPU time per request of all variants, in alternation.
fn throughput(rounds: usize, run_duration: Duration) -> Vec<Variant> {
    let site =
        StandInFleet::start(vec![HostBehavior { service: Duration::ZERO, ..HostBehavior::default() }; 4]);
    let config = site.configuration(|config| config["limits"]["sockets"] = SOCKET_LIMIT.into());
    let hosts: Vec<String> =
        site.execute(|stand_ins| stand_ins.hosts.iter().map(|host| host.address.to_string()).collect());
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
    // Clients and hosts on two processors can load only about one and a half proxies. So each processor of the proxies is
    // shared with a process that only consumes CPU time, which makes the proxy the bottleneck.
    let _cpu_burners = ["0", "1"].map(|processor| start_pinned(processor, "burn", "", 1));
    // The first round fills connection pools and caches, and is not counted.
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

/// Runs clients on two threads, spread evenly over the addresses. Returns the numbers of calls and of served calls.
fn run_load(addresses: &[SocketAddr], seed: u64, run_duration: Duration) -> (u64, u64) {
    let threads: Vec<_> = (0..2)
        .map(|thread| {
            let address = addresses[thread % addresses.len()];
            std::thread::spawn(move || {
                run(async {
                    let metrics = Rc::new(RefCell::default());
                    let mut load = Load::new(address, seed * 2 + thread as u64);
                    load.clients = CLIENTS / 2;
                    load.until = Some(tokio::time::Instant::now() + run_duration);
                    load.run(&metrics).await;
                    let metrics = metrics.borrow();
                    (metrics.total(), metrics.served)
                })
            })
        })
        .collect();
    let thread_results = threads.into_iter().map(|thread| thread.join().expect("the thread does not panic"));
    thread_results.fold((0, 0), |(calls, served), (thread_calls, thread_served)| {
        (calls + thread_calls, served + thread_served)
    })
}

/// Open connections to hosts and watches.
#[derive(Debug)]
struct OpenConnections {
    /// Connections under light load.
    light: usize,
    /// Connections under heavy load.
    heavy: usize,
    /// Watches at discovery.
    watches: usize,
}

/// Counts the connections to eight hosts under load by a few clients that pause, and by many that do not.
fn count_connections(engines: usize) -> OpenConnections {
    let site = StandInFleet::start(vec![
        HostBehavior {
            service: Duration::from_millis(4),
            ..HostBehavior::default()
        };
        8
    ]);
    let proxy = ChildProcess::start("engines", &site.configuration(|_| ()), engines);
    wait_until_ready(proxy.address);
    let open_connections =
        || site.execute(|stand_ins| stand_ins.hosts.iter().map(|host| host.open_connections.get()).sum());
    let apply_load = |clients: usize, pause: Duration| {
        run(async {
            let metrics = Rc::new(RefCell::default());
            let mut load = Load::new(proxy.address, clients as u64);
            (load.clients, load.pause) = (clients, pause);
            load.until = Some(tokio::time::Instant::now() + Duration::from_millis(1_200));
            load.run(&metrics).await;
        });
    };
    apply_load(8, Duration::from_millis(20));
    let light = open_connections();
    apply_load(48, Duration::ZERO);
    let heavy = open_connections();
    OpenConnections { light, heavy, watches: site.execute(|stand_ins| stand_ins.registry.watches.get()) }
}

/// A proxy of several engines on threads of this process.
struct ShardedProxy {
    address: SocketAddr,
    shards: Shards,
    stop: tokio::sync::watch::Sender<bool>,
    _reload: tokio::sync::watch::Sender<Option<Arc<Config>>>,
    backup_listeners: BackupListeners,
}

impl ShardedProxy {
    fn start(config: &Config) -> ShardedProxy {
        let listeners = nettleworks::server::bind_all(config.listen, ENGINES).expect("the address is free");
        let address = listeners[0].local_addr().expect("the listener is bound");
        let backup_listeners = BackupListeners::duplicate(&listeners).expect("listeners can be duplicated");
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

    /// Waits until all engines have a list of hosts.
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

/// Times in milliseconds from the arrival of a burst at one shard until all its calls have started, for which the shard
/// needs the whole capacity of the process. Each burst goes to the next shard, while the previous one still holds a lease
/// of some of the capacity.
fn burst_start_times(bursts: usize) -> Vec<f64> {
    let site = StandInFleet::start(vec![HostBehavior {
        service: Duration::from_millis(30),
        ..HostBehavior::default()
    }]);
    let proxy =
        ShardedProxy::start(&Config::parse(&site.configuration(|_| ())).expect("the configuration is valid"));
    let mut start_times_ms = Vec::new();
    run(async {
        proxy.ready().await;
        for burst in 0..bursts {
            let (sender, all_started) = tokio::sync::oneshot::channel();
            let answered = Arc::new(AtomicUsize::new(0));
            let answered_count = answered.clone();
            proxy.shards.submit(burst % ENGINES, move |driver| {
                let (before, started) = (driver.state().attempts, Instant::now());
                // A single balancer starts with a limit of 7 at a host, so 7 calls start at once; the limit rises later.
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
                    // The receiver waits for the value.
                    let _ = sender.send(started.elapsed());
                });
            });
            start_times_ms.push(all_started.await.expect("all calls start").as_secs_f64() * 1e3);
            while answered.load(Ordering::Relaxed) < 7 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    });
    start_times_ms
}

fn request_info(number: usize, call: usize) -> RequestInfo<http::HeaderValue> {
    let id = http::HeaderValue::try_from(format!("{number}-{call}")).expect("a valid header value");
    let deadline = tokio::time::Instant::now() + Duration::from_secs(8);
    RequestInfo { id, class: ClassId(0), tenant: None, deadline, resent: false, key: None }
}

fn forwarded_request() -> ForwardedRequest {
    let (method, target) = (http::Method::GET, http::Uri::from_static("/api"));
    ForwardedRequest { method, target, headers: http::HeaderMap::new(), body: bytes::Bytes::new() }
}

/// The median times in microseconds of a replayed response: at the shard that owns the key, and at another shard.
fn replay_times(repeats: usize) -> (f64, f64) {
    let site = StandInFleet::start(vec![HostBehavior { service: Duration::ZERO, ..HostBehavior::default() }]);
    let config = Config::parse(&site.configuration(|_| ())).and_then(|config| config.with_keys("{}"));
    let proxy = ShardedProxy::start(&config.expect("the configuration is valid"));
    run(async {
        proxy.ready().await;
        let mut medians = [0, 1].into_iter().map(|owner| {
            let is_owned = |key: &String| proxy.shards.key_owner(&keyed_request_info(0, key)) == Some(owner);
            let key = (0..).map(|n| format!("key-{n}")).find(is_owned).expect("each shard owns keys");
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
                    // The first response was a host's.
                    replay_us.remove(0);
                    // The receiver waits for the value.
                    let _ = sender.send(median(&mut replay_us));
                });
            });
            replay_median
        });
        let (own_shard, other_shard) =
            (medians.next().expect("one median per owner"), medians.next().expect("one median per owner"));
        (own_shard.await.expect("a median"), other_shard.await.expect("a median"))
    })
}

fn keyed_request_info(number: usize, key: &str) -> RequestInfo<http::HeaderValue> {
    RequestInfo { key: Some(key.to_owned().into()), class: ClassId(2), ..request_info(number, key.len()) }
}

/// Instructions per request without a key store, of the daemon and of two engines. `None`: valgrind is not installed.
fn instructions_without_keys() -> Option<(f64, f64)> {
    let count = |role, engines| {
        let site =
            StandInFleet::start(vec![HostBehavior { service: Duration::ZERO, ..HostBehavior::default() }; 2]);
        let request_mix = RequestMix { clients: 8, classes: vec![("free", 0.5), ("keyed", 0.5)] };
        instructions::per_request_with_threads(role, &site.configuration(|_| ()), &request_mix, engines)
    };
    Some((count("daemon", 1)?, count("engines", 2)?))
}

/// Instructions per keyed request, with one engine and with two. With two engines, half of the requests are forwarded to
/// the other shard. `None`: valgrind is not installed.
fn instructions_with_keys() -> Option<(f64, f64)> {
    let count = |engines| {
        let site =
            StandInFleet::start(vec![HostBehavior { service: Duration::ZERO, ..HostBehavior::default() }; 2]);
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

/// Stress run of several shards: charges (unsafe) and entries (keyed), half each, are sent up to four times over
/// connections of all engines, with faults of every kind. A host is killed after a third of the keys, and an engine is
/// blocked for 1.5 s after half of them. Also returns the number of forwarded requests and the duration in seconds.
fn run_stress(keys: usize) -> (StressReport, u64, f64) {
    let stress = StressRun { keys, ..StressRun::default() };
    let site = stress.start_hosts(4);
    let key_settings =
        r#"{"entries": 100000, "entries_a_tenant": 100000, "classes": {"unsafe": {"forward": true}}}"#;
    let config =
        Config::parse(&stress.configuration(&site)).and_then(|config| config.with_keys(key_settings));
    let proxy = ShardedProxy::start(&config.expect("the configuration is valid"));
    let started = Instant::now();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("the runtime starts").block_on(async {
        proxy.ready().await;
        let on_send = |number| {
            if number == keys / 3 {
                site.execute(|stand_ins| stand_ins.hosts[1].kill());
            } else if number == keys / 2 {
                proxy.shards.submit(2, |_| std::thread::sleep(Duration::from_millis(1_500)));
            }
        };
        let report =
            stress.run(&site.ledger, DEDUPLICATION_WINDOW, pooled_sender(proxy.address), on_send).await;
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
