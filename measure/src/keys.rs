//! The store of keys: what a look-up costs as the store grows, what a key holds, and what a request costs with it.

use crate::instructions::{self, Asked};
use crate::library::{cpu_a_request, until_ready};
use crate::process::Role;
use crate::report::{median, Bound, Report};
use crate::storm;
use nettleworks_keys::{Admission, Bounds, ClassKind, Request, RunOutcome, Store};
use nettleworks_standins::{HostBehavior, StandInFleet};
use serde_json::json;
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Measures the store by itself, and the daemon with and without it, turn by turn.
pub fn measure(full: bool) -> Report {
    let mut sizes = vec![1_000, 10_000, 100_000];
    if full {
        sizes.push(1_000_000);
    }
    let mut look_ups = Vec::new();
    for &size in &sizes {
        let (nanos, bytes) = look_up(size);
        look_ups.push((size, nanos, bytes));
        eprintln!("{size} keys: {nanos:.0} ns a repeat, {bytes:.0} bytes a key");
    }
    let (rounds, turn) = if full { (15, Duration::from_secs(1)) } else { (7, Duration::from_millis(500)) };
    let mut ratios = on_and_off(rounds, turn);
    let least = ratios.iter().copied().fold(f64::INFINITY, f64::min);
    let most = ratios.iter().copied().fold(0.0, f64::max);
    let ratio = median(&mut ratios);
    let instructions = ["daemon", "daemon-with-keys"].map(|role| {
        let site =
            StandInFleet::start(vec![HostBehavior { service: Duration::ZERO, ..HostBehavior::default() }; 2]);
        let asked = Asked { clients: 8, classes: vec![("free", 0.5), ("keyed", 0.5)] };
        instructions::a_request(role, &site.configuration(|_| ()), &asked)
    });
    eprintln!("instructions a request without and with the store: {instructions:?}");
    let storms = storm::storms(if full { 20_000 } else { 1_600 });
    eprintln!("storm: {:#}", storms.table());
    let join_p99 = storm::join_p99(if full { 1_000 } else { 150 });
    let shown: Vec<_> = look_ups
        .iter()
        .map(|(size, nanos, bytes)| json!({"keys": size, "repeat_ns": nanos.round(), "bytes_a_key": bytes.round()}))
        .collect();
    let figures = json!({"store": shown, "cpu_on_by_off": {"least": least, "median": ratio, "most": most},
                         "instructions_off_on": instructions, "storm": storms.table()});
    let mut report = Report::new("keys", figures);
    // Instructions carry the verdict where they can be counted: CPU time is noisy.
    match instructions {
        [Some(off), Some(on)] => {
            report.target("instructions_a_request_on_by_off", on / off, Bound::AtMost(1.1));
        }
        _ => report.target("cpu_a_request_on_by_off", ratio, Bound::AtMost(1.1)),
    }
    if let (Some(first), Some(last)) = (look_ups.first(), look_ups.last()) {
        // A map that no longer fits a cache misses it; a walk would take a thousand times as long.
        report.target("repeat_at_most_keys_by_fewest", last.1 / first.1, Bound::AtMost(8.0));
        report.target("bytes_a_key", last.2, Bound::AtMost(600.0));
    }
    let (on, off) = (&storms.on, &storms.off);
    let twice = [on, off].map(|sum| sum.charges_twice + sum.entries_twice).iter().sum::<usize>();
    report.target("effects_twice", twice as f64, Bound::AtMost(0.0));
    report.target("keys_with_two_answers", (on.two_answers + off.two_answers) as f64, Bound::AtMost(0.0));
    // Of all sends, those that no host had to run.
    let avoided = 1.0 - on.effects as f64 / on.sends.max(1) as f64;
    report.target("effects_avoided", avoided, Bound::AtLeast(0.5));
    let replayed = on.replayed as f64 / on.answerable.max(1) as f64;
    report.target("answers_replayed", replayed, Bound::AtLeast(0.99));
    report.target("join_p99_ms", join_p99, Bound::AtMost(5.0));
    report
}

/// Resident memory of this process, in bytes.
fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(f64::NAN) * 4_096.0
}

/// Nanoseconds for a repeat in a store of so many answered keys, and what each holds.
fn look_up(size: usize) -> (f64, f64) {
    let bounds =
        Bounds { entries: size, entries_per_tenant: size, answer_bytes: usize::MAX, ..Bounds::default() };
    let before = resident();
    let mut store: Store<u64> = Store::new(11, bounds);
    let digest = store.digest(&[b"POST", b"/api", b"body"]);
    let name = |number: usize| {
        format!("{:032x}", (number as u128).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835))
    };
    for number in 0..size {
        let key = name(number);
        let request =
            Request { tenant: None, class: 0, kind: ClassKind::Unsafe, key: key.as_bytes(), digest };
        if let Admission::First(slot) = store.admit(0, &request, number as u64, 1) {
            store.complete(0, slot, RunOutcome::Served { answer: number as u64, bytes: 8 });
        }
    }
    assert_eq!(store.len(), size, "all are held");
    let bytes = (resident() - before) / size as f64;
    let names: Vec<String> = (0..50_000).map(|at| name(at * 7_919 % size)).collect();
    let started = Instant::now();
    for key in &names {
        let request =
            Request { tenant: None, class: 0, kind: ClassKind::Unsafe, key: key.as_bytes(), digest };
        black_box(store.admit(1, &request, 0, 1));
    }
    (started.elapsed().as_nanos() as f64 / names.len() as f64, bytes)
}

/// CPU time of a request at the daemon, with the store by without, of each round.
fn on_and_off(rounds: usize, turn: Duration) -> Vec<f64> {
    let site =
        StandInFleet::start(vec![HostBehavior { service: Duration::ZERO, ..HostBehavior::default() }; 2]);
    let config = site.configuration(|_| ());
    let roles = ["daemon", "daemon-with-keys"].map(|name| Role::start(name, &config, 1));
    roles.iter().for_each(|role| until_ready(role.address));
    let mut ratios = Vec::new();
    // The first round fills pools and caches, and does not count.
    for number in 0..=rounds {
        let [off, on] = [0, 1].map(|at| cpu_a_request(&roles[at], 32, number as u64 * 2 + at as u64, turn));
        if number > 0 {
            eprintln!("round {number}: off {off:.1} us, on {on:.1} us");
            ratios.push(on / off);
        }
    }
    ratios
}
