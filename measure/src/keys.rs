//! The store of idempotency keys: look-up time by the size of the store, memory per key, and the cost per request.

use crate::child_process::ChildProcess;
use crate::instructions::{self, RequestMix};
use crate::library::{cpu_us_per_request, wait_until_ready};
use crate::report::{median, Bound, Report};
use crate::stress;
use nettleworks_keys::{Admission, Bounds, ClassKind, Request, RunOutcome, Store};
use nettleworks_standins::{HostBehavior, StandInFleet};
use serde_json::json;
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Measures the store by itself, and the daemon with and without it in alternation.
pub fn measure(full: bool) -> Report {
    let mut sizes = vec![1_000, 10_000, 100_000];
    if full {
        sizes.push(1_000_000);
    }
    let mut look_ups = Vec::new();
    for &size in &sizes {
        let (repeat_ns, bytes) = measure_look_ups(size);
        look_ups.push((size, repeat_ns, bytes));
        eprintln!("{size} keys: {repeat_ns:.0} ns per repeat, {bytes:.0} bytes per key");
    }
    let (rounds, run_duration) =
        if full { (15, Duration::from_secs(1)) } else { (7, Duration::from_millis(500)) };
    let mut ratios = cpu_ratios(rounds, run_duration);
    let lowest = ratios.iter().copied().fold(f64::INFINITY, f64::min);
    let highest = ratios.iter().copied().fold(0.0, f64::max);
    let ratio = median(&mut ratios);
    let instructions = ["daemon", "daemon-with-keys"].map(|role| {
        let site =
            StandInFleet::start(vec![HostBehavior { service: Duration::ZERO, ..HostBehavior::default() }; 2]);
        let request_mix = RequestMix { clients: 8, classes: vec![("free", 0.5), ("keyed", 0.5)] };
        instructions::per_request(role, &site.configuration(|_| ()), &request_mix)
    });
    eprintln!("instructions per request without and with the store: {instructions:?}");
    let detach_comparison = stress::compare_detaching(if full { 20_000 } else { 1_600 });
    eprintln!("stress run: {:#}", detach_comparison.to_json());
    let join_delay_p99 = stress::joined_response_delay_p99(if full { 1_000 } else { 150 });
    let store_rows: Vec<_> = look_ups
        .iter()
        .map(|(size, repeat_ns, bytes)| json!({"keys": size, "repeat_ns": repeat_ns.round(), "bytes_a_key": bytes.round()}))
        .collect();
    let measurements = json!({"store": store_rows, "cpu_on_by_off": {"least": lowest, "median": ratio, "most": highest},
                         "instructions_off_on": instructions, "storm": detach_comparison.to_json()});
    let mut report = Report::new("keys", measurements);
    // The target uses instructions where they can be counted, since CPU time is noisy.
    match instructions {
        [Some(off), Some(on)] => {
            report.add_target("instructions_a_request_on_by_off", on / off, Bound::AtMost(1.1));
        }
        _ => report.add_target("cpu_a_request_on_by_off", ratio, Bound::AtMost(1.1)),
    }
    if let (Some(first), Some(last)) = (look_ups.first(), look_ups.last()) {
        // A larger store has more cache misses, which the bound of 8 allows for. A linear search would take a thousand
        // times as long.
        report.add_target("repeat_at_most_keys_by_fewest", last.1 / first.1, Bound::AtMost(8.0));
        report.add_target("bytes_a_key", last.2, Bound::AtMost(600.0));
    }
    let (on, off) = (&detach_comparison.with_detached_calls, &detach_comparison.without_detached_calls);
    let duplicate_effects =
        [on, off].map(|result| result.charges_twice + result.entries_twice).iter().sum::<usize>();
    report.add_target("effects_twice", duplicate_effects as f64, Bound::AtMost(0.0));
    report.add_target("keys_with_two_answers", (on.two_answers + off.two_answers) as f64, Bound::AtMost(0.0));
    // Share of the sends that no host had to run.
    let avoided_share = 1.0 - on.effects as f64 / on.sends.max(1) as f64;
    report.add_target("effects_avoided", avoided_share, Bound::AtLeast(0.5));
    let replayed = on.replayed as f64 / on.answerable.max(1) as f64;
    report.add_target("answers_replayed", replayed, Bound::AtLeast(0.99));
    report.add_target("join_p99_ms", join_delay_p99, Bound::AtMost(5.0));
    report
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(f64::NAN) * 4_096.0
}

/// Nanoseconds per repeat in a store with this number of answered keys, and resident bytes per key.
fn measure_look_ups(size: usize) -> (f64, f64) {
    let bounds =
        Bounds { entries: size, entries_per_tenant: size, answer_bytes: usize::MAX, ..Bounds::default() };
    let bytes_before = resident_bytes();
    let mut store: Store<u64> = Store::new(11, bounds);
    let digest = store.digest(&[b"POST", b"/api", b"body"]);
    let key_text = |number: usize| {
        format!("{:032x}", (number as u128).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835))
    };
    for number in 0..size {
        let key = key_text(number);
        let request =
            Request { tenant: None, class: 0, kind: ClassKind::Unsafe, key: key.as_bytes(), digest };
        if let Admission::First(slot) = store.admit(0, &request, number as u64, 1) {
            store.complete(0, slot, RunOutcome::Served { answer: number as u64, bytes: 8 });
        }
    }
    assert_eq!(store.len(), size, "the store holds all keys");
    let bytes_per_key = (resident_bytes() - bytes_before) / size as f64;
    let keys: Vec<String> = (0..50_000).map(|index| key_text(index * 7_919 % size)).collect();
    let started = Instant::now();
    for key in &keys {
        let request =
            Request { tenant: None, class: 0, kind: ClassKind::Unsafe, key: key.as_bytes(), digest };
        black_box(store.admit(1, &request, 0, 1));
    }
    (started.elapsed().as_nanos() as f64 / keys.len() as f64, bytes_per_key)
}

/// CPU time per request of a daemon with the store, divided by that without, for each round.
fn cpu_ratios(rounds: usize, run_duration: Duration) -> Vec<f64> {
    let site =
        StandInFleet::start(vec![HostBehavior { service: Duration::ZERO, ..HostBehavior::default() }; 2]);
    let config = site.configuration(|_| ());
    let processes = ["daemon", "daemon-with-keys"].map(|role| ChildProcess::start(role, &config, 1));
    processes.iter().for_each(|process| wait_until_ready(process.address));
    let mut ratios = Vec::new();
    // The first round fills connection pools and caches, and is not counted.
    for number in 0..=rounds {
        let [off, on] = [0, 1].map(|index| {
            cpu_us_per_request(&processes[index], 32, number as u64 * 2 + index as u64, run_duration)
        });
        if number > 0 {
            eprintln!("round {number}: off {off:.1} us, on {on:.1} us");
            ratios.push(on / off);
        }
    }
    ratios
}
