//! All interleavings of two or three threads, by loom: capacity is never created or lost, no shard waits while units are
//! free, and a request that was handed over is either accepted or cancelled.
//!
//! `cargo test -p nettleworks-shards --features loom --test threads`

use loom::sync::Arc;
use loom::thread;
use nettleworks_shards::capacity::{HostCapacity, WakeSet};
use nettleworks_shards::handover::HandoverToken;

/// Maximum number of preemptions per run: all interleavings with up to this many are checked. Without a bound these
/// cases have millions.
const MAX_PREEMPTIONS: usize = 3;

fn check(test: impl Fn() + Sync + Send + 'static) {
    let mut model = loom::model::Builder::new();
    model.preemption_bound = Some(MAX_PREEMPTIONS);
    model.check(test);
}

/// Checks the state after all threads have ended: leased and free units add up to the capacity, and no shard waits while
/// units are free.
fn check_invariants(capacity: &HostCapacity, shards: usize) {
    let leased: u32 = (0..shards).map(|shard| capacity.allocation(shard).lease).sum();
    assert_eq!(
        i64::from(capacity.free()) + i64::from(leased),
        i64::from(capacity.total()),
        "a unit was created or lost"
    );
    let a_shard_waits = (0..shards).any(|shard| capacity.is_contended(shard));
    assert!(!a_shard_waits || capacity.free() <= 0, "a shard waits while {} are free", capacity.free());
}

/// Acquires a unit, and begins and ends a call. `false`: the shard waits and has been granted nothing yet.
fn run_call(capacity: &HostCapacity, shard: usize) -> (bool, WakeSet) {
    if !capacity.acquire_or_wait(shard) && capacity.allocation(shard).idle() == 0 {
        return (false, WakeSet::default());
    }
    let begun = capacity.begin_call(shard);
    if begun {
        capacity.end_call(shard);
    }
    capacity.stop_waiting(shard);
    (begun, capacity.release_idle(shard, 0))
}

/// Two shards contend for the last unit: one has it at a time, and if one waited it has been granted the unit, and is
/// woken.
#[test]
fn two_shards_contend_for_the_last_unit() {
    check(|| {
        let capacity = Arc::new(HostCapacity::new(2));
        let _ = capacity.set_limit(0, 1.0);
        let other = capacity.clone();
        let thread = thread::spawn(move || run_call(&other, 1));
        let (first_ran, first_wakes) = run_call(&capacity, 0);
        let (second_ran, second_wakes) = thread.join().expect("no panic");
        assert!(first_ran || second_ran, "neither had the unit");
        for (shard, ran, woken) in [(0, first_ran, second_wakes), (1, second_ran, first_wakes)] {
            if !ran {
                // It waited, and the shard that released the unit has granted it and reports the wake-up.
                assert_eq!(capacity.allocation(shard).idle(), 1, "shard {shard}");
                assert!(
                    woken.shards().any(|woken_shard| woken_shard == shard),
                    "shard {shard} was not woken"
                );
            }
        }
        check_invariants(&capacity, 2);
    });
}

/// The limit falls while one shard begins a call and another releases its idle unit.
#[test]
fn the_limit_falls_while_calls_begin() {
    check(|| {
        let capacity = Arc::new(HostCapacity::new(2));
        let _ = capacity.set_limit(0, 2.0);
        assert_eq!((capacity.acquire(0, 1), capacity.acquire(1, 1)), (1, 1));
        let other = capacity.clone();
        let thread = thread::spawn(move || {
            let begun = other.begin_call(1);
            assert!(begun, "it is within its lease");
            other.end_call(1);
            let _ = other.release_idle(1, 0);
        });
        let _ = capacity.set_limit(0, 1.0);
        let _ = capacity.release_idle(0, 0);
        thread.join().expect("no panic");
        assert_eq!((capacity.total(), capacity.free()), (1, 1));
        check_invariants(&capacity, 2);
    });
}

/// A shard that counts as stalled recovers while its idle units are reclaimed: a call that it begins has a unit that was
/// not reclaimed.
#[test]
fn a_stalled_shard_recovers_while_its_units_are_reclaimed() {
    check(|| {
        let capacity = Arc::new(HostCapacity::new(2));
        let _ = capacity.set_limit(0, 1.0);
        assert_eq!(capacity.acquire(1, 1), 1);
        let stalled = capacity.clone();
        let thread = thread::spawn(move || stalled.begin_call(1));
        let _ = capacity.reclaim(1);
        let first_began = capacity.acquire(0, 1) == 1 && capacity.begin_call(0);
        let second_began = thread.join().expect("no panic");
        assert!(first_began != second_began, "exactly one has the unit: {first_began} {second_began}");
        check_invariants(&capacity, 2);
    });
}

/// Only one shard gets the probe permission, and it is not released while a call uses it.
#[test]
fn only_one_shard_probes() {
    check(|| {
        let capacity = Arc::new(HostCapacity::new(2));
        let other = capacity.clone();
        let thread = thread::spawn(move || other.acquire_probe(1) && other.begin_call(1));
        let first_began = capacity.acquire_probe(0) && capacity.begin_call(0);
        let second_began = thread.join().expect("no panic");
        assert!(first_began != second_began);
        let holder = usize::from(second_began);
        assert!(!capacity.release_probe(holder), "a call uses it");
        assert!(!capacity.acquire_probe(1 - holder));
        capacity.end_call(holder);
        assert!(capacity.release_probe(holder) && capacity.acquire_probe(1 - holder));
        check_invariants(&capacity, 2);
    });
}

/// A shard ends while a unit is granted to it: the unit is not lost.
#[test]
fn a_shard_ends_while_a_unit_is_granted_to_it() {
    check(|| {
        let capacity = Arc::new(HostCapacity::new(3));
        let _ = capacity.set_limit(0, 1.0);
        assert_eq!(capacity.acquire(0, 1), 1);
        assert!(!capacity.acquire_or_wait(1) && !capacity.acquire_or_wait(2));
        let other = capacity.clone();
        let thread = thread::spawn(move || other.remove_shard(1));
        let first_wakes = capacity.release_idle(0, 0);
        let second_wakes = thread.join().expect("no panic");
        assert_eq!(capacity.allocation(2).lease, 1, "the remaining shard has it");
        assert!((first_wakes | second_wakes).shards().any(|shard| shard == 2));
        check_invariants(&capacity, 3);
    });
}

/// The sending shard cancels a request while the receiving shard accepts it: exactly one of them succeeds.
#[test]
fn a_request_is_either_accepted_or_cancelled() {
    check(|| {
        let token = Arc::new(HandoverToken::default());
        let other = token.clone();
        let thread = thread::spawn(move || other.accept());
        let cancelled = token.cancel();
        assert!(cancelled != thread.join().expect("no panic"));
        assert!(!token.accept() && !token.cancel(), "the decision is final");
    });
}
