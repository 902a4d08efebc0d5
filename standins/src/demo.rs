//! The demo: a small fleet, discovery, the proxy and clients on free loopback ports. Hosts are drained, killed and
//! restarted while clients send requests; one line per second shows the results so far.

use crate::configuration::{configuration, entry};
use crate::host::Host;
use crate::host_behavior::{Fault, HostBehavior};
use crate::ledger::Ledger;
use crate::load::{LatencyHistogram, Load, LoadMetrics};
use crate::registry::Registry;
use nettleworks_engine::config::Config;
use nettleworks_engine::driver::Handle;
use nettleworks_engine::http1::Http1;
use std::cell::RefCell;
use std::io::{self, Write};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// How long clients send requests by default.
const DEMO_DURATION: Duration = Duration::from_secs(15);
/// The time for which a pod drops repeats of a key.
const DUPLICATE_WINDOW: Duration = Duration::from_secs(9);

/// The results of a demo.
#[derive(Debug)]
pub struct Report {
    /// Counts and latencies of the clients' requests.
    pub metrics: LoadMetrics,
    /// The number of requests that took effect twice although they must not.
    pub duplicates: usize,
}

/// Runs the demo with the random draws of `seed`, for `duration` or 15 s, and writes its progress to `out`. Must be
/// called in a [`tokio::task::LocalSet`]. Fails if the proxy can't be started or `out` can't be written.
pub async fn run(seed: u64, duration: Option<Duration>, out: &mut dyn Write) -> io::Result<Report> {
    let duration = duration.unwrap_or(DEMO_DURATION);
    let (registry, ledger) = (Registry::start().await, Ledger::default());
    let behavior = HostBehavior {
        seed,
        service: Duration::from_millis(8),
        faults: vec![(Fault::ResetAfter, 0.002), (Fault::Error, 0.002), (Fault::Reject, 0.01)],
        slow_start: Duration::from_secs(3),
        slow_start_factor: 3.0,
        answer_bytes: 64,
        echo: false,
    };
    let mut hosts = Vec::new();
    for number in 0..5 {
        let host = Host::with_behavior(&format!("node-{number}"), 3, behavior.clone(), &ledger).await;
        registry.set(entry(&host.name, host.address, "Ready"));
        hosts.push(host);
    }
    let text = configuration(registry.address, &[], |config| config["known"] = serde_json::Value::Null);
    let config = Rc::new(Config::parse(&text).map_err(io::Error::other)?);
    let listener = nettleworks::server::listen(config.listen)?;
    let address = listener.local_addr()?;
    let driver = Handle::start(config.clone(), Http1::new(&config), Vec::new(), Rc::new(|_| ()));
    let (stop, stopped) = oneshot::channel::<()>();
    let until_stopped = async {
        let _ = stopped.await;
    };
    let server_task = spawn_local(nettleworks::server::serve(listener, driver.clone(), until_stopped));
    writeln!(
        out,
        "5 hosts, discovery at {}, the proxy at {address}, 24 clients, seed {seed}",
        registry.address
    )?;
    while !driver.is_ready() {
        sleep(Duration::from_millis(5)).await;
    }
    let start = Instant::now();
    let metrics = Rc::new(RefCell::new(LoadMetrics::default()));
    let mut load = Load::new(address, seed);
    (load.clients, load.pause, load.until) = (24, Duration::from_millis(20), Some(start + duration));
    let load_task = {
        let metrics = metrics.clone();
        spawn_local(async move { load.run(&metrics).await })
    };
    writeln!(
        out,
        "{:>3} {:>7} {:>7} {:>6} {:>8} {:>8}  hosts: requests read",
        "s", "served", "refused", "failed", "p50 ms", "p99 ms"
    )?;
    let mut previous = LatencyHistogram::default();
    for second in 1..=duration.as_secs() {
        sleep((start + Duration::from_secs(second)).saturating_duration_since(Instant::now())).await;
        let total = metrics.borrow().clone();
        let recent = LoadMetrics { latencies: total.latencies.since(&previous), ..LoadMetrics::default() };
        previous = total.latencies.clone();
        let (p50, p99) = (
            recent.latency_quantile(0.5).as_secs_f64() * 1e3,
            recent.latency_quantile(0.99).as_secs_f64() * 1e3,
        );
        write!(
            out,
            "{second:>3} {:>7} {:>7} {:>6} {p50:>8.1} {p99:>8.1} ",
            total.served, total.refused, total.failed
        )?;
        for host in &hosts {
            write!(out, " {:>5}", host.count())?;
        }
        let step = second * 15 / duration.as_secs();
        let last_step = (second - 1) * 15 / duration.as_secs();
        if step != last_step {
            if let Some(event) = apply_fleet_event(step, &hosts, &registry).await {
                write!(out, "  {event}")?;
            }
        }
        writeln!(out)?;
    }
    load_task.await.map_err(io::Error::other)?;
    drop(stop);
    server_task.await.map_err(io::Error::other)?;
    let (metrics, duplicates) = (metrics.borrow().clone(), ledger.duplicates(DUPLICATE_WINDOW).len());
    writeln!(
        out,
        "sent {} requests: served {}, refused {}, failed {}, lost {}; retried {}; hosts ran {}; \
         duplicate effects: {duplicates}",
        metrics.total(),
        metrics.served,
        metrics.refused,
        metrics.failed,
        metrics.lost,
        metrics.retries,
        ledger.len()
    )?;
    Ok(Report { metrics, duplicates })
}

/// Changes the fleet at a step of the demo (a fifteenth of its duration) and returns a description of the change.
async fn apply_fleet_event(step: u64, hosts: &[Host], registry: &Registry) -> Option<&'static str> {
    let ready = |host: &Host| registry.set(entry(&host.name, host.address, "Ready"));
    Some(match step {
        3 => {
            registry.set(entry(&hosts[0].name, hosts[0].address, "Terminating"));
            "node-0 drains"
        }
        5 => {
            registry.remove(&hosts[0].name);
            hosts[0].kill();
            "node-0 is removed from the list and killed"
        }
        7 => {
            hosts[1].kill();
            "node-1 is killed and still listed"
        }
        9 => {
            registry.remove(&hosts[1].name);
            "node-1 is removed from the list"
        }
        11 => {
            hosts[0].restart().await;
            hosts[1].restart().await;
            ready(&hosts[0]);
            ready(&hosts[1]);
            "node-0 and node-1 are restarted and listed"
        }
        _ => return None,
    })
}
