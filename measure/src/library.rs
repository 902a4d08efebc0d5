//! The library compared with the daemon: the same application under the same load, in alternation.

use crate::child_process::ChildProcess;
use crate::report::{median, Bound, Report};
use nettleworks_standins::{run, HostBehavior, Load, LoadMetrics, StandInFleet, HEALTH_REQUEST};
use serde_json::json;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A variant that is measured: the process of the application and, in one variant, that of the daemon. The values have one
/// element per round.
struct Variant {
    name: &'static str,
    processes: Vec<ChildProcess>,
    cpu_us: Vec<f64>,
    p50_us: Vec<f64>,
    p99_us: Vec<f64>,
    calls: u64,
    unserved: u64,
}

/// Measures several sizes: the number of clients, each with one call in flight, and the worker threads of the application.
pub fn measure(full: bool) -> Report {
    let (sizes, rounds, run_duration): (&[(usize, usize)], usize, Duration) = match full {
        true => (&[(1, 1), (8, 1), (32, 1), (128, 1), (32, 2)], 9, Duration::from_secs(2)),
        false => (&[(32, 1), (32, 2)], 7, Duration::from_millis(420)),
    };
    let (mut size_results, mut targets, mut served, mut calls) = (Vec::new(), Vec::new(), 0, 0);
    for &(clients, threads) in sizes {
        let (variants, mut ratios) = compare(clients, threads, rounds, run_duration);
        let measurements: Vec<_> = variants
            .into_iter()
            .map(|mut variant| {
                calls += variant.calls;
                served += variant.calls - variant.unserved;
                json!({"form": variant.name, "cpu_us": round(median(&mut variant.cpu_us)),
                       "p50_us": round(median(&mut variant.p50_us)), "p99_us": round(median(&mut variant.p99_us)),
                       "calls": variant.calls, "unserved": variant.unserved})
            })
            .collect();
        let (low, high) = (minimum(&ratios), maximum(&ratios));
        let ratio = median(&mut ratios);
        if clients == 32 {
            targets.push((threads, ratio));
        }
        let ratio = json!({"median": round(ratio), "least": round(low), "most": round(high)});
        size_results.push(
            json!({"clients": clients, "threads": threads, "forms": measurements, "library_by_daemon": ratio}),
        );
    }
    let measurements =
        json!({"rounds": rounds, "turn_ms": run_duration.as_millis() as u64, "sizes": size_results});
    let mut report = Report::new("library", measurements);
    for (threads, ratio) in targets {
        let name = format!("cpu_of_library_by_application_and_daemon_threads_{threads}");
        report.add_target(&name, ratio, Bound::AtMost(0.7));
    }
    // A variant that refused calls would seem to cost less.
    report.add_target("share_served", served as f64 / calls as f64, Bound::AtLeast(0.999));
    report
}

fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

fn minimum(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::INFINITY, f64::min)
}

fn maximum(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Measures all variants in alternation. Returns them, and for each round the CPU time of the library divided by that of
/// the daemon variant.
fn compare(
    clients: usize,
    threads: usize,
    rounds: usize,
    run_duration: Duration,
) -> (Vec<Variant>, Vec<f64>) {
    let site =
        StandInFleet::start(vec![HostBehavior { service: Duration::ZERO, ..HostBehavior::default() }; 2]);
    let config = site.configuration(|_| ());
    let hosts: Vec<String> =
        site.execute(|stand_ins| stand_ins.hosts.iter().map(|host| host.address.to_string()).collect());
    let daemon = ChildProcess::start("daemon", &config, 1);
    wait_until_ready(daemon.address);
    let application = ChildProcess::start("plain", &daemon.address.to_string(), threads);
    let processes = [
        ("direct", vec![ChildProcess::start("plain", &hosts.join(","), threads)]),
        ("daemon", vec![application, daemon]),
        ("library", vec![ChildProcess::start("library", &config, threads)]),
    ];
    let variant = |(name, processes)| Variant {
        name,
        processes,
        cpu_us: Vec::new(),
        p50_us: Vec::new(),
        p99_us: Vec::new(),
        calls: 0,
        unserved: 0,
    };
    let mut variants: Vec<Variant> = processes.into_iter().map(variant).collect();
    let mut ratios = Vec::new();
    // The first round fills connection pools and caches, and is not counted.
    for number in 0..=rounds {
        for variant in &mut variants {
            let measured =
                run_load(variant.processes[0].address, clients, number as u64, run_duration, || {
                    variant.processes.iter().map(ChildProcess::cpu_time).sum::<Duration>()
                });
            let (metrics, cpu) = measured;
            if number == 0 {
                continue;
            }
            variant.calls += metrics.total();
            variant.unserved += metrics.total() - metrics.served;
            variant.cpu_us.push(cpu.as_secs_f64() * 1e6 / metrics.total().max(1) as f64);
            variant.p50_us.push(metrics.latency_quantile(0.5).as_secs_f64() * 1e6);
            variant.p99_us.push(metrics.latency_quantile(0.99).as_secs_f64() * 1e6);
        }
        if number > 0 {
            let last_cpu_us = |variant: &Variant| variant.cpu_us.last().copied().unwrap_or(f64::NAN);
            ratios.push(last_cpu_us(&variants[2]) / last_cpu_us(&variants[1]));
            let progress: Vec<String> = variants
                .iter()
                .map(|variant| format!("{} {:.1} us", variant.name, last_cpu_us(variant)))
                .collect();
            eprintln!("{clients} clients, {threads} threads, round {number}: {}", progress.join(", "));
        }
    }
    (variants, ratios)
}

/// CPU time per request of one process under load for `run_duration`, in microseconds.
pub fn cpu_us_per_request(process: &ChildProcess, clients: usize, seed: u64, run_duration: Duration) -> f64 {
    let (metrics, cpu) = run_load(process.address, clients, seed, run_duration, || process.cpu_time());
    cpu.as_secs_f64() * 1e6 / metrics.total().max(1) as f64
}

/// Runs a load for `run_duration`. Returns its counts and latencies, and how much `cpu` increased.
fn run_load(
    address: SocketAddr,
    clients: usize,
    seed: u64,
    run_duration: Duration,
    cpu: impl Fn() -> Duration,
) -> (LoadMetrics, Duration) {
    run(async {
        let metrics = Rc::new(RefCell::new(LoadMetrics::default()));
        let mut load = Load::new(address, seed);
        (load.clients, load.until) = (clients, Some(Instant::now() + run_duration));
        let before = cpu();
        load.run(&metrics).await;
        let cpu_time = cpu() - before;
        let metrics = metrics.borrow().clone();
        (metrics, cpu_time)
    })
}

/// Waits until a daemon reports by its health check that it has a list of hosts.
pub fn wait_until_ready(daemon: SocketAddr) {
    run(async {
        loop {
            let stream =
                tokio::net::TcpStream::connect(daemon).await.expect("the daemon accepts connections");
            if nettleworks_standins::Reader::new(stream).exchange(HEALTH_REQUEST).await.status() == 200 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}
