//! The demo: a small fleet, discovery, the proxy and clients on free loopback ports. Hosts are drained, killed and
//! started again on the way; a table a second shows what comes of it.

use crate::configuration::{configuration, entry};
use crate::host::Host;
use crate::ledger::Ledger;
use crate::load::{Load, Tally, Times};
use crate::plan::{Fault, Plan};
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

/// How long clients ask.
const LENGTH: Duration = Duration::from_secs(15);
/// The window in which a pod drops repeats of a key.
const WINDOW: Duration = Duration::from_secs(9);

/// What came of a demo.
#[derive(Debug)]
pub struct Report {
    /// What clients met.
    pub tally: Tally,
    /// How many effects were had twice.
    pub twice: usize,
}

/// Runs the demo and writes its progress to `out`; its draws are those of `seed`. Needs a
/// [`tokio::task::LocalSet`].
pub async fn run(seed: u64, length: Option<Duration>, out: &mut dyn Write) -> io::Result<Report> {
    let length = length.unwrap_or(LENGTH);
    let (registry, ledger) = (Registry::start().await, Ledger::default());
    let plan = Plan {
        seed,
        service: Duration::from_millis(8),
        faults: vec![(Fault::ResetAfter, 0.002), (Fault::Error, 0.002), (Fault::TurnAway, 0.01)],
        cold: Duration::from_secs(3),
        cold_times: 3.0,
        answer: 64,
        echo: false,
    };
    let mut hosts = Vec::new();
    for number in 0..5 {
        let host = Host::planned(&format!("node-{number}"), 3, plan.clone(), &ledger).await;
        registry.set(entry(&host.name, host.address, "Ready"));
        hosts.push(host);
    }
    let text = configuration(registry.address, &[], |config| config["known"] = serde_json::Value::Null);
    let config = Rc::new(Config::parse(&text).map_err(io::Error::other)?);
    let listener = nettleworks::server::listen(config.listen)?;
    let address = listener.local_addr()?;
    let driver = Handle::start(config.clone(), Http1::new(&config), Vec::new(), Rc::new(|_| ()));
    let (stop, stopped) = oneshot::channel::<()>();
    let stopped = async {
        let _ = stopped.await;
    };
    let serving = spawn_local(nettleworks::server::serve(listener, driver.clone(), stopped));
    writeln!(
        out,
        "5 hosts, discovery at {}, the proxy at {address}, 24 clients, seed {seed}",
        registry.address
    )?;
    while !driver.is_ready() {
        sleep(Duration::from_millis(5)).await;
    }
    let start = Instant::now();
    let tally = Rc::new(RefCell::new(Tally::default()));
    let mut load = Load::new(address, seed);
    (load.clients, load.pause, load.until) = (24, Duration::from_millis(20), Some(start + length));
    let asking = {
        let tally = tally.clone();
        spawn_local(async move { load.run(&tally).await })
    };
    writeln!(
        out,
        "{:>3} {:>7} {:>7} {:>6} {:>8} {:>8}  hosts: requests read",
        "s", "served", "refused", "failed", "p50 ms", "p99 ms"
    )?;
    let mut before = Times::default();
    for second in 1..=length.as_secs() {
        sleep((start + Duration::from_secs(second)).saturating_duration_since(Instant::now())).await;
        let now = tally.borrow().clone();
        let recent = Tally { times: now.times.since(&before), ..Tally::default() };
        before = now.times.clone();
        let (p50, p99) = (recent.time(0.5).as_secs_f64() * 1e3, recent.time(0.99).as_secs_f64() * 1e3);
        write!(
            out,
            "{second:>3} {:>7} {:>7} {:>6} {p50:>8.1} {p99:>8.1} ",
            now.served, now.refused, now.failed
        )?;
        for host in &hosts {
            write!(out, " {:>5}", host.count())?;
        }
        let step = second * 15 / length.as_secs();
        let done = (second - 1) * 15 / length.as_secs();
        if step != done {
            if let Some(news) = act(step, &hosts, &registry).await {
                write!(out, "  {news}")?;
            }
        }
        writeln!(out)?;
    }
    asking.await.map_err(io::Error::other)?;
    drop(stop);
    serving.await.map_err(io::Error::other)?;
    let (tally, twice) = (tally.borrow().clone(), ledger.twice(WINDOW).len());
    writeln!(
        out,
        "asked {}: served {}, refused {}, failed {}, lost {}; clients came again {} times; hosts ran {}; run twice: {twice}",
        tally.all(), tally.served, tally.refused, tally.failed, tally.lost, tally.again, ledger.len()
    )?;
    Ok(Report { tally, twice })
}

/// What happens to the fleet at each fifteenth of the demo.
async fn act(step: u64, hosts: &[Host], registry: &Registry) -> Option<&'static str> {
    let ready = |host: &Host| registry.set(entry(&host.name, host.address, "Ready"));
    Some(match step {
        3 => {
            registry.set(entry(&hosts[0].name, hosts[0].address, "Terminating"));
            "node-0 drains"
        }
        5 => {
            registry.remove(&hosts[0].name);
            hosts[0].kill();
            "node-0 is gone"
        }
        7 => {
            hosts[1].kill();
            "node-1 is killed, and the list does not know"
        }
        9 => {
            registry.remove(&hosts[1].name);
            "the list knows"
        }
        11 => {
            hosts[0].restart().await;
            hosts[1].restart().await;
            ready(&hosts[0]);
            ready(&hosts[1]);
            "both are back, cold"
        }
        _ => return None,
    })
}
