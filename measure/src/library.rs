//! The library beside the daemon: the same application, the same load, turn by turn.

use crate::process::Role;
use crate::report::{median, Bound, Report};
use nettleworks_standins::{run, HostBehavior, Load, LoadMetrics, StandInFleet, HEALTH_REQUEST};
use serde_json::json;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// One form: the application's process and, for one of them, the daemon's.
struct Form {
    name: &'static str,
    roles: Vec<Role>,
    cpu_us: Vec<f64>,
    p50_us: Vec<f64>,
    p99_us: Vec<f64>,
    calls: u64,
    unserved: u64,
}

/// The sizes: clients, each with one call out at a time, and the application's worker threads.
pub fn measure(full: bool) -> Report {
    let (sizes, rounds, turn): (&[(usize, usize)], usize, Duration) = match full {
        true => (&[(1, 1), (8, 1), (32, 1), (128, 1), (32, 2)], 9, Duration::from_secs(2)),
        false => (&[(32, 1), (32, 2)], 7, Duration::from_millis(420)),
    };
    let (mut sizes_seen, mut targets, mut served, mut asked) = (Vec::new(), Vec::new(), 0, 0);
    for &(clients, threads) in sizes {
        let (forms, mut ratios) = compare(clients, threads, rounds, turn);
        let figures: Vec<_> = forms
            .into_iter()
            .map(|mut form| {
                asked += form.calls;
                served += form.calls - form.unserved;
                json!({"form": form.name, "cpu_us": round(median(&mut form.cpu_us)),
                       "p50_us": round(median(&mut form.p50_us)), "p99_us": round(median(&mut form.p99_us)),
                       "calls": form.calls, "unserved": form.unserved})
            })
            .collect();
        let (low, high) = (min(&ratios), max(&ratios));
        let ratio = median(&mut ratios);
        if clients == 32 {
            targets.push((threads, ratio));
        }
        let ratio = json!({"median": round(ratio), "least": round(low), "most": round(high)});
        sizes_seen.push(
            json!({"clients": clients, "threads": threads, "forms": figures, "library_by_daemon": ratio}),
        );
    }
    let figures = json!({"rounds": rounds, "turn_ms": turn.as_millis() as u64, "sizes": sizes_seen});
    let mut report = Report::new("library", figures);
    for (threads, ratio) in targets {
        let name = format!("cpu_of_library_by_application_and_daemon_threads_{threads}");
        report.target(&name, ratio, Bound::AtMost(0.7));
    }
    // A form that turned its calls away would look cheap.
    report.target("share_served", served as f64 / asked as f64, Bound::AtLeast(0.999));
    report
}

fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

fn min(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::INFINITY, f64::min)
}

fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

fn compare(clients: usize, threads: usize, rounds: usize, turn: Duration) -> (Vec<Form>, Vec<f64>) {
    let site =
        StandInFleet::start(vec![HostBehavior { service: Duration::ZERO, ..HostBehavior::default() }; 2]);
    let config = site.configuration(|_| ());
    let hosts: Vec<String> =
        site.execute(|inside| inside.hosts.iter().map(|host| host.address.to_string()).collect());
    let daemon = Role::start("daemon", &config, 1);
    until_ready(daemon.address);
    let beside = Role::start("plain", &daemon.address.to_string(), threads);
    let roles = [
        ("direct", vec![Role::start("plain", &hosts.join(","), threads)]),
        ("daemon", vec![beside, daemon]),
        ("library", vec![Role::start("library", &config, threads)]),
    ];
    let form = |(name, roles)| Form {
        name,
        roles,
        cpu_us: Vec::new(),
        p50_us: Vec::new(),
        p99_us: Vec::new(),
        calls: 0,
        unserved: 0,
    };
    let mut forms: Vec<Form> = roles.into_iter().map(form).collect();
    let mut ratios = Vec::new();
    // The first round fills pools and caches, and does not count.
    for number in 0..=rounds {
        for form in &mut forms {
            let tally = ask(form.roles[0].address, clients, number as u64, turn, || {
                form.roles.iter().map(Role::cpu).sum::<Duration>()
            });
            let (tally, cpu) = tally;
            if number == 0 {
                continue;
            }
            form.calls += tally.total();
            form.unserved += tally.total() - tally.served;
            form.cpu_us.push(cpu.as_secs_f64() * 1e6 / tally.total().max(1) as f64);
            form.p50_us.push(tally.latency_quantile(0.5).as_secs_f64() * 1e6);
            form.p99_us.push(tally.latency_quantile(0.99).as_secs_f64() * 1e6);
        }
        if number > 0 {
            let last = |form: &Form| form.cpu_us.last().copied().unwrap_or(f64::NAN);
            ratios.push(last(&forms[2]) / last(&forms[1]));
            let shown: Vec<String> =
                forms.iter().map(|form| format!("{} {:.1} us", form.name, last(form))).collect();
            eprintln!("{clients} clients, {threads} threads, round {number}: {}", shown.join(", "));
        }
    }
    (forms, ratios)
}

/// CPU time of one role for each request of one turn, in microseconds.
pub fn cpu_a_request(role: &Role, clients: usize, seed: u64, turn: Duration) -> f64 {
    let (tally, cpu) = ask(role.address, clients, seed, turn, || role.cpu());
    cpu.as_secs_f64() * 1e6 / tally.total().max(1) as f64
}

/// One turn: what came of it, and the CPU time that it cost.
fn ask(
    address: SocketAddr,
    clients: usize,
    seed: u64,
    turn: Duration,
    cpu: impl Fn() -> Duration,
) -> (LoadMetrics, Duration) {
    run(async {
        let tally = Rc::new(RefCell::new(LoadMetrics::default()));
        let mut load = Load::new(address, seed);
        (load.clients, load.until) = (clients, Some(Instant::now() + turn));
        let before = cpu();
        load.run(&tally).await;
        let spent = cpu() - before;
        let tally = tally.borrow().clone();
        (tally, spent)
    })
}

/// Waits until a daemon has a list of hosts.
pub fn until_ready(daemon: SocketAddr) {
    run(async {
        loop {
            let stream = tokio::net::TcpStream::connect(daemon).await.expect("it accepts");
            if nettleworks_standins::Reader::new(stream).exchange(HEALTH_REQUEST).await.status() == 200 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}
