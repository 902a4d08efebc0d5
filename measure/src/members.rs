//! Members: how soon a dead one is noticed, who is wrongly taken for failed, what is sent, how soon all agree after a cut (the
//! core on the lab's virtual time), and what it costs the daemon in processor time.

use crate::process::Role;
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

/// Settled: all agree, and no news is about any more.
fn settled(count: usize) -> Cluster {
    let mut crowd = Cluster::converged(count, 1, &Config::default()).expect("they agree");
    crowd.run(60 * SECOND);
    crowd.events.clear();
    crowd
}

fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let place = ((values.len() as f64 * share).ceil() as usize).clamp(1, values.len().max(1)) - 1;
    values.get(place).copied().unwrap_or(f64::NAN)
}

/// Seconds until all have noticed that one is dead, for each seed.
fn notice(whole: &Cluster, seeds: u64) -> Vec<f64> {
    let took = (0..seeds).into_par_iter().map(|seed| {
        let mut crowd = whole.clone();
        crowd.reseed(seed);
        // At any moment of a period.
        crowd.run(seed * 37_000 % SECOND);
        let dead = (seed as usize * 7 + 5) % crowd.count();
        crowd.kill(dead);
        let took = crowd.run_until(120 * SECOND, |crowd| crowd.all_report(dead, Condition::Failed));
        took.map_or(f64::NAN, |took| took as f64 / 1e6)
    });
    took.collect()
}

/// Members wrongly taken for failed in an hour of the whole crowd, by how many take them so, and datagrams and bytes a
/// second a member meanwhile.
fn wrongly(whole: &Cluster, loss: f64, seeds: u64, minutes: u64) -> (f64, f64, f64) {
    let runs = (0..seeds).into_par_iter().map(|seed| {
        let mut crowd = whole.clone();
        crowd.reseed(seed);
        crowd.network.loss = loss;
        let (before, at) = (crowd.sent, crowd.now);
        crowd.run(minutes * 60 * SECOND);
        let news =
            crowd.events.iter().filter(|(when, _, news)| *when >= at && news.kind == MemberEventKind::Failed);
        let failed: BTreeSet<_> = news.map(|(_, _, news)| news.name.clone()).collect();
        let spent = (minutes * 60 * crowd.count() as u64) as f64;
        let sent = (crowd.sent.0 - before.0) as f64 / spent;
        let bytes = (crowd.sent.1 - before.1) as f64 / spent;
        (failed.len() as f64, sent, bytes)
    });
    let all: Vec<(f64, f64, f64)> = runs.collect();
    let mean = |of: fn(&(f64, f64, f64)) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
    (mean(|run| run.0) * 60.0 / minutes as f64, mean(|run| run.1), mean(|run| run.2))
}

/// Seconds until all agree again after a cut of 30 s between a third and the rest, for each seed.
fn heal(whole: &Cluster, seeds: u64) -> Vec<f64> {
    let took = (0..seeds).into_par_iter().map(|seed| {
        let mut crowd = whole.clone();
        crowd.reseed(seed);
        crowd.partition(|node| u8::from(node % 3 == 0));
        crowd.run(30 * SECOND);
        crowd.partition(|_| 0);
        let count = crowd.count();
        let whole = |crowd: &Cluster| {
            crowd.has_converged() && (0..count).all(|node| crowd.all_report(node, Condition::Alive))
        };
        crowd.run_until(180 * SECOND, whole).map_or(f64::NAN, |took| took as f64 / 1e6)
    });
    took.collect()
}

/// One member at a real socket: the role of a process of its own.
pub fn role(argument: &str) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let settings = Settings::parse(argument).expect("good settings");
        let (handle, running) = start(settings, "1", |_| ()).await.expect("it starts");
        println!("{}", handle.address());
        running.run().await;
    });
}

fn key() -> PathBuf {
    let path = std::env::temp_dir().join(format!("measure-members-{}.key", std::process::id()));
    std::fs::write(&path, "a key for a measurement").expect("written");
    path
}

/// Processor time a second, in microseconds, of one member among so many at real sockets.
fn member_cpu(count: usize, span: Duration) -> f64 {
    let key = key();
    let file = |name: &str, seeds: &[String]| {
        json!({"name": name, "listen": "127.0.0.1:0", "seeds": seeds, "key_file": key}).to_string()
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let spent = runtime.block_on(async {
        let mut seeds = Vec::new();
        for number in 1..count {
            let settings = Settings::parse(&file(&format!("m-{number}"), &seeds)).expect("good settings");
            let (handle, running) = start(settings, "1", |_| ()).await.expect("it starts");
            if seeds.len() < 3 {
                seeds.push(handle.address().to_string());
            }
            tokio::spawn(running.run());
        }
        let argument = file("m-0", &seeds);
        let role = tokio::task::spawn_blocking(move || Role::start("member", &argument, 1)).await;
        let role = role.expect("it starts");
        // Until all know it, and no news is about.
        tokio::time::sleep(Duration::from_secs(6)).await;
        let before = role.cpu();
        tokio::time::sleep(span).await;
        (role.cpu() - before).as_secs_f64()
    });
    // It is of no more use.
    let _ = std::fs::remove_file(&key);
    spent * 1e6 / span.as_secs_f64()
}

/// Processor time of a daemon's request, in microseconds, at some hundred requests a second, and how many a second there were.
fn request_cpu(span: Duration) -> (f64, f64) {
    let site =
        StandInFleet::start(vec![HostBehavior { service: Duration::ZERO, ..HostBehavior::default() }; 2]);
    let role = Role::start("daemon", &site.configuration(|_| ()), 1);
    crate::library::until_ready(role.address);
    let before = role.cpu();
    let served = nettleworks_standins::run(async {
        let tally = Rc::new(RefCell::default());
        let mut load = Load::new(role.address, 1);
        load.pause = Duration::from_millis(10);
        load.until = Some(tokio::time::Instant::now() + span);
        load.run(&tally).await;
        let served = tally.borrow().served;
        served
    });
    let spent = (role.cpu() - before).as_secs_f64();
    role.finish();
    (spent * 1e6 / served as f64, served as f64 / span.as_secs_f64())
}

/// Measures members.
pub fn measure(full: bool) -> Report {
    let (sizes, seeds, minutes): (&[usize], u64, u64) =
        if full { (&[10, 100, 1_000], 500, 4) } else { (&[10, 60], 16, 2) };
    let few = if full { 6 } else { 4 };
    let mut shown = Vec::new();
    let (mut flat, mut took, mut wrong, mut agreed) = (Vec::new(), Vec::new(), [0.0; 3], Vec::new());
    for &count in sizes {
        let whole = settled(count);
        let last = Some(&count) == sizes.last();
        took = notice(&whole, seeds);
        eprintln!("{count}: noticed after {:.1} s, p99 {:.1}", median(&mut took), quantile(&mut took, 0.99));
        let quiet = wrongly(&whole, 0.0, few, minutes);
        let five = wrongly(&whole, 0.05, few, minutes);
        // News without end, at a thousand times a thousand.
        let thirty = wrongly(&whole, 0.3, if last { 2 } else { few }, if last { 1 } else { minutes });
        flat.push(quiet.2);
        agreed = heal(&whole, if last { 2 * few } else { seeds.min(50) });
        wrong = [quiet.0, five.0, thirty.0];
        let (p50, p99) = (median(&mut took), quantile(&mut took, 0.99));
        let healed = (median(&mut agreed), quantile(&mut agreed, 0.99));
        eprintln!(
            "{count}: wrongly failed an hour {wrong:?}; {:.2} datagrams and {:.0} \
             bytes a second, {:.0} at 5% loss, {:.0} at 30%; agreed {:.1} s after a cut, p99 {:.1}",
            quiet.1, quiet.2, five.2, thirty.2, healed.0, healed.1
        );
        shown.push(
            json!({"members": count, "notice_s": p50, "notice_p99_s": p99, "wrongly_failed_an_hour": wrong,
                          "datagrams_a_second": quiet.1, "bytes_a_second": [quiet.2, five.2, thirty.2],
                          "agree_s": healed.0, "agree_p99_s": healed.1}),
        );
    }
    let span = Duration::from_secs(if full { 30 } else { 4 });
    let member = member_cpu(60, span);
    let (request, rate) = request_cpu(span);
    eprintln!("a member of 60: {member:.0} us a second; a request at {rate:.0} a second: {request:.1} us");
    let on_by_off = 1.0 + member / (request * rate);
    let figures = json!({"sizes": shown, "seeds": seeds, "member_us_a_second": member, "request_us": request,
                         "requests_a_second": rate});
    let mut report = Report::new("members", figures);
    let ratio = flat.last().copied().unwrap_or(f64::NAN) / flat.first().copied().unwrap_or(f64::NAN);
    report.target("notice_median_s", median(&mut took), Bound::AtMost(25.0));
    report.target("notice_p99_s", quantile(&mut took, 0.99), Bound::AtMost(40.0));
    report.target("wrongly_failed_an_hour_at_0", wrong[0], Bound::AtMost(0.0));
    report.target("wrongly_failed_an_hour_at_5", wrong[1], Bound::AtMost(0.0));
    report.target("bytes_a_member_by_least_size", ratio, Bound::AtMost(1.3));
    report.target("agree_after_a_cut_p99_s", quantile(&mut agreed, 0.99), Bound::AtMost(60.0));
    report.target("cpu_a_request_on_by_off", on_by_off, Bound::AtMost(1.02));
    report
}
