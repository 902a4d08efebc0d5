//! Membership: failure detection time, false failures, traffic, and merge time after a partition, of the protocol core on
//! the lab's virtual time; and its CPU time relative to that of the daemon's requests.

use crate::child_process::ChildProcess;
use crate::report::{median, Bound, Report};
use nettleworks_lab::cluster::Cluster;
use nettleworks_members::{Condition, Config, MemberEventKind};
use nettleworks_members_wire::{start, Settings};
use nettleworks_standins::{HostBehavior, Load, StandInFleet};
use rayon::prelude::*;
use serde_json::json;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

const SECOND: u64 = 1_000_000;

/// A cluster whose members agree, after the broadcasts of the joins have ended.
fn converged_cluster(count: usize) -> Cluster {
    let mut cluster = Cluster::converged(count, 1, &Config::default()).expect("the members agree");
    cluster.run(60 * SECOND);
    cluster.events.clear();
    cluster
}

/// The quantile `share` of the values by the nearest-rank method, or NaN if there are none. Sorts the values.
fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let index = ((values.len() as f64 * share).ceil() as usize).clamp(1, values.len().max(1)) - 1;
    values.get(index).copied().unwrap_or(f64::NAN)
}

/// Seconds until all members have declared a killed member failed, for each seed.
fn failure_detection_times(initial: &Cluster, seeds: u64) -> Vec<f64> {
    let times = (0..seeds).into_par_iter().map(|seed| {
        let mut cluster = initial.clone();
        cluster.reseed(seed);
        // The member is killed at different moments of the probe period.
        cluster.run(seed * 37_000 % SECOND);
        let killed = (seed as usize * 7 + 5) % cluster.count();
        cluster.kill(killed);
        let elapsed =
            cluster.run_until(120 * SECOND, |cluster| cluster.all_report(killed, Condition::Failed));
        elapsed.map_or(f64::NAN, |elapsed| elapsed as f64 / 1e6)
    });
    times.collect()
}

/// Running members that were declared failed, per hour of the whole cluster; and datagrams and bytes sent per second and
/// member. All are means over the seeds. `loss` is the share of datagrams lost.
fn measure_false_failures(initial: &Cluster, loss: f64, seeds: u64, minutes: u64) -> (f64, f64, f64) {
    let runs = (0..seeds).into_par_iter().map(|seed| {
        let mut cluster = initial.clone();
        cluster.reseed(seed);
        cluster.network.loss = loss;
        let (before, started_at) = (cluster.sent, cluster.now);
        cluster.run(minutes * 60 * SECOND);
        let events = cluster
            .events
            .iter()
            .filter(|(time, _, event)| *time >= started_at && event.kind == MemberEventKind::Failed);
        let failed: BTreeSet<_> = events.map(|(_, _, event)| event.name.clone()).collect();
        let member_seconds = (minutes * 60 * cluster.count() as u64) as f64;
        let sent = (cluster.sent.0 - before.0) as f64 / member_seconds;
        let bytes = (cluster.sent.1 - before.1) as f64 / member_seconds;
        (failed.len() as f64, sent, bytes)
    });
    let all: Vec<(f64, f64, f64)> = runs.collect();
    let mean = |field: fn(&(f64, f64, f64)) -> f64| all.iter().map(field).sum::<f64>() / all.len() as f64;
    (mean(|run| run.0) * 60.0 / minutes as f64, mean(|run| run.1), mean(|run| run.2))
}

/// Seconds until all members agree again after a partition of 30 s between a third of them and the rest, for each seed.
fn merge_times(initial: &Cluster, seeds: u64) -> Vec<f64> {
    let times = (0..seeds).into_par_iter().map(|seed| {
        let mut cluster = initial.clone();
        cluster.reseed(seed);
        cluster.partition(|node| u8::from(node % 3 == 0));
        cluster.run(30 * SECOND);
        cluster.partition(|_| 0);
        let count = cluster.count();
        let has_merged = |cluster: &Cluster| {
            cluster.has_converged() && (0..count).all(|node| cluster.all_report(node, Condition::Alive))
        };
        cluster.run_until(180 * SECOND, has_merged).map_or(f64::NAN, |elapsed| elapsed as f64 / 1e6)
    });
    times.collect()
}

/// Runs one member on a real socket, and prints its address. Called in a child process.
pub fn run_member(argument: &str) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    runtime.block_on(async {
        let settings = Settings::parse(argument).expect("the settings are valid");
        let (handle, running) = start(settings, "1", |_| ()).await.expect("the member starts");
        println!("{}", handle.address());
        running.run().await;
    });
}

fn write_key_file() -> PathBuf {
    let path = std::env::temp_dir().join(format!("measure-members-{}.key", std::process::id()));
    std::fs::write(&path, "a key for a measurement").expect("the file is written");
    path
}

/// CPU time of one member of a cluster of `count` on real sockets, in microseconds per second.
fn member_cpu_us_per_second(count: usize, span: Duration) -> f64 {
    let key_file = write_key_file();
    let settings_text = |name: &str, seeds: &[String]| {
        json!({"name": name, "listen": "127.0.0.1:0", "seeds": seeds, "key_file": key_file}).to_string()
    };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    let cpu_time = runtime.block_on(async {
        let mut seeds = Vec::new();
        for number in 1..count {
            let settings = Settings::parse(&settings_text(&format!("m-{number}"), &seeds))
                .expect("the settings are valid");
            let (handle, running) = start(settings, "1", |_| ()).await.expect("the member starts");
            if seeds.len() < 3 {
                seeds.push(handle.address().to_string());
            }
            tokio::spawn(running.run());
        }
        let argument = settings_text("m-0", &seeds);
        let process = tokio::task::spawn_blocking(move || ChildProcess::start("member", &argument, 1)).await;
        let process = process.expect("the member starts");
        // Time for the join to be broadcast to all members.
        tokio::time::sleep(Duration::from_secs(6)).await;
        let before = process.cpu_time();
        tokio::time::sleep(span).await;
        (process.cpu_time() - before).as_secs_f64()
    });
    // A file that can't be removed is left in the temporary folder.
    let _ = std::fs::remove_file(&key_file);
    cpu_time * 1e6 / span.as_secs_f64()
}

/// CPU time per request of a daemon in microseconds, at some hundred requests per second, and the requests per second.
fn request_cpu_us(span: Duration) -> (f64, f64) {
    let site =
        StandInFleet::start(vec![HostBehavior { service: Duration::ZERO, ..HostBehavior::default() }; 2]);
    let process = ChildProcess::start("daemon", &site.configuration(|_| ()), 1);
    crate::library::wait_until_ready(process.address);
    let before = process.cpu_time();
    let served = nettleworks_standins::run(async {
        let metrics = Rc::new(RefCell::default());
        let mut load = Load::new(process.address, 1);
        load.pause = Duration::from_millis(10);
        load.until = Some(tokio::time::Instant::now() + span);
        load.run(&metrics).await;
        let served = metrics.borrow().served;
        served
    });
    let cpu_time = (process.cpu_time() - before).as_secs_f64();
    process.finish();
    (cpu_time * 1e6 / served as f64, served as f64 / span.as_secs_f64())
}

/// Measures clusters of several sizes, and the CPU time of one member.
pub fn measure(full: bool) -> Report {
    let (sizes, seeds, minutes): (&[usize], u64, u64) =
        if full { (&[10, 100, 1_000], 500, 4) } else { (&[10, 60], 16, 2) };
    let few_seeds = if full { 6 } else { 4 };
    let mut rows = Vec::new();
    let (mut bytes_per_second, mut detection_seconds, mut false_failures, mut merge_seconds) =
        (Vec::new(), Vec::new(), [0.0; 3], Vec::new());
    for &count in sizes {
        let initial = converged_cluster(count);
        let is_largest = Some(&count) == sizes.last();
        detection_seconds = failure_detection_times(&initial, seeds);
        eprintln!(
            "{count} members: failure detected after {:.1} s, p99 {:.1}",
            median(&mut detection_seconds),
            quantile(&mut detection_seconds, 0.99)
        );
        let at_no_loss = measure_false_failures(&initial, 0.0, few_seeds, minutes);
        let at_5_percent = measure_false_failures(&initial, 0.05, few_seeds, minutes);
        // At this loss each of 1,000 members sends broadcasts about 1,000 others all the time, so the largest cluster is
        // simulated for a shorter time.
        let at_30_percent = measure_false_failures(
            &initial,
            0.3,
            if is_largest { 2 } else { few_seeds },
            if is_largest { 1 } else { minutes },
        );
        bytes_per_second.push(at_no_loss.2);
        merge_seconds = merge_times(&initial, if is_largest { 2 * few_seeds } else { seeds.min(50) });
        false_failures = [at_no_loss.0, at_5_percent.0, at_30_percent.0];
        let (p50, p99) = (median(&mut detection_seconds), quantile(&mut detection_seconds, 0.99));
        let merge = (median(&mut merge_seconds), quantile(&mut merge_seconds, 0.99));
        eprintln!(
            "{count} members: false failures per hour {false_failures:?}; {:.2} datagrams and {:.0} \
             bytes per second, {:.0} at 5% loss, {:.0} at 30%; merged {:.1} s after a partition, p99 {:.1}",
            at_no_loss.1, at_no_loss.2, at_5_percent.2, at_30_percent.2, merge.0, merge.1
        );
        rows.push(
            json!({"members": count, "notice_s": p50, "notice_p99_s": p99, "wrongly_failed_an_hour": false_failures,
                          "datagrams_a_second": at_no_loss.1, "bytes_a_second": [at_no_loss.2, at_5_percent.2, at_30_percent.2],
                          "agree_s": merge.0, "agree_p99_s": merge.1}),
        );
    }
    let span = Duration::from_secs(if full { 30 } else { 4 });
    let member = member_cpu_us_per_second(60, span);
    let (request, rate) = request_cpu_us(span);
    eprintln!(
        "one of 60 members: {member:.0} us per second; one request at {rate:.0} per second: {request:.1} us"
    );
    let cpu_ratio = 1.0 + member / (request * rate);
    let measurements = json!({"sizes": rows, "seeds": seeds, "member_us_a_second": member, "request_us": request,
                         "requests_a_second": rate});
    let mut report = Report::new("members", measurements);
    let bytes_ratio = bytes_per_second.last().copied().unwrap_or(f64::NAN)
        / bytes_per_second.first().copied().unwrap_or(f64::NAN);
    report.add_target("notice_median_s", median(&mut detection_seconds), Bound::AtMost(25.0));
    report.add_target("notice_p99_s", quantile(&mut detection_seconds, 0.99), Bound::AtMost(40.0));
    report.add_target("wrongly_failed_an_hour_at_0", false_failures[0], Bound::AtMost(0.0));
    report.add_target("wrongly_failed_an_hour_at_5", false_failures[1], Bound::AtMost(0.0));
    report.add_target("bytes_a_member_by_least_size", bytes_ratio, Bound::AtMost(1.3));
    report.add_target("agree_after_a_cut_p99_s", quantile(&mut merge_seconds, 0.99), Bound::AtMost(60.0));
    report.add_target("cpu_a_request_on_by_off", cpu_ratio, Bound::AtMost(1.02));
    report
}
