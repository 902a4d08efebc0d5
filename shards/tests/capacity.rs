//! The capacity of a host that is leased to shards, in long random sequences of steps from a fixed seed and in specific
//! cases.

use nettleworks_shards::capacity::HostCapacity;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Clone, Copy, Debug)]
enum Step {
    SetLimit(u16),
    Acquire(u32),
    AcquireOrWait,
    ReleaseIdle(u32),
    BeginCall,
    EndCall,
    AcquireProbe,
    ReleaseProbe,
    Reclaim,
    RemoveShard,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..9_000_u16).prop_map(Step::SetLimit),
        6 => (1..5_u32).prop_map(Step::Acquire),
        6 => Just(Step::AcquireOrWait),
        4 => (0..3_u32).prop_map(Step::ReleaseIdle),
        12 => Just(Step::BeginCall),
        9 => Just(Step::EndCall),
        3 => Just(Step::AcquireProbe),
        2 => Just(Step::ReleaseProbe),
        1 => Just(Step::Reclaim),
        1 => Just(Step::RemoveShard),
    ]
}

/// Checks the invariants of the capacity after each step: no unit is created or lost, no shard exceeds its lease, and no
/// shard waits while units are free.
#[test]
fn random_steps_keep_the_invariants() {
    let config = Config { cases: 100, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]));
    let steps = (1..7_usize, prop::collection::vec((step(), 0..6_usize), 400));
    let done = runner.run(&steps, |(shards, steps)| {
        let capacity = HostCapacity::new(shards);
        let (mut in_flight, mut limits, mut dead) =
            (vec![0_u32; shards], vec![0.0; shards], vec![false; shards]);
        for (step, shard) in steps {
            let shard = shard % shards;
            let before = capacity.allocation(shard);
            match step {
                Step::SetLimit(parts) if !dead[shard] => {
                    limits[shard] = f64::from(parts) / 1024.0;
                    let _ = capacity.set_limit(shard, limits[shard]);
                }
                Step::Acquire(max) => {
                    capacity.acquire(shard, max);
                }
                Step::AcquireOrWait => {
                    capacity.acquire_or_wait(shard);
                }
                Step::ReleaseIdle(keep) => {
                    let _ = capacity.release_idle(shard, keep);
                }
                Step::BeginCall => {
                    let begun = capacity.begin_call(shard);
                    let has_unit = before.in_flight < before.lease + u32::from(before.probe);
                    prop_assert_eq!(begun, has_unit && !dead[shard]);
                    in_flight[shard] += u32::from(begun);
                }
                Step::EndCall if in_flight[shard] > 0 => {
                    capacity.end_call(shard);
                    in_flight[shard] -= 1;
                }
                Step::AcquireProbe => {
                    capacity.acquire_probe(shard);
                }
                Step::ReleaseProbe => {
                    capacity.release_probe(shard);
                }
                Step::Reclaim => {
                    let _ = capacity.reclaim(shard);
                }
                Step::RemoveShard if in_flight[shard] == 0 => {
                    (dead[shard], limits[shard]) = (true, 0.0);
                    let _ = capacity.remove_shard(shard);
                }
                _ => {}
            }
            let allocations: Vec<_> = (0..shards).map(|shard| capacity.allocation(shard)).collect();
            let leased: i64 = allocations.iter().map(|allocation| i64::from(allocation.lease)).sum();
            prop_assert_eq!(
                leased + i64::from(capacity.free()),
                i64::from(capacity.total()),
                "a unit was created or lost"
            );
            let sum: f64 = limits.iter().sum();
            prop_assert!((f64::from(capacity.total()) - sum).abs() <= 1.0, "{} for {sum}", capacity.total());
            prop_assert!(allocations.iter().filter(|allocation| allocation.probe).count() <= 1, "two probes");
            for (shard, allocation) in allocations.iter().enumerate() {
                prop_assert_eq!(allocation.in_flight, in_flight[shard]);
                prop_assert!(allocation.in_flight <= allocation.lease + u32::from(allocation.probe));
                prop_assert!(
                    capacity.free() <= 0 || !capacity.is_contended(shard),
                    "a shard waits while units are free"
                );
            }
        }
        Ok(())
    });
    done.unwrap_or_else(|error| panic!("{error}"));
}

/// A shard releases its lease while calls are in flight: they keep their units until they end.
#[test]
fn units_of_calls_in_flight_are_not_released() {
    let capacity = HostCapacity::new(2);
    let _ = capacity.set_limit(0, 3.0);
    assert_eq!(capacity.acquire(0, 3), 3);
    assert!(capacity.begin_call(0) && capacity.begin_call(0));
    let _ = capacity.release_idle(0, 0);
    assert_eq!((capacity.allocation(0).lease, capacity.free()), (2, 1));
    assert_eq!(capacity.acquire(1, 9), 1);
    capacity.end_call(0);
    let _ = capacity.reclaim(0);
    assert_eq!((capacity.allocation(0).lease, capacity.free()), (1, 1));
}

/// The limit falls below the number of calls in flight and of shards: no shard begins a call until enough have ended, and
/// then the shards take turns.
#[test]
fn a_limit_below_the_number_of_shards_is_used_in_turn() {
    let capacity = HostCapacity::new(4);
    let _ = capacity.set_limit(2, 4.0);
    for shard in 0..4 {
        assert!(capacity.acquire(shard, 1) == 1 && capacity.begin_call(shard));
    }
    let _ = capacity.set_limit(2, 1.0);
    assert_eq!((capacity.total(), capacity.free()), (1, -3));
    for shard in 0..4 {
        assert!(!capacity.acquire_or_wait(shard) && !capacity.begin_call(shard));
    }
    for shard in 0..3 {
        capacity.end_call(shard);
        assert_eq!(capacity.release_idle(shard, 0).0, 0, "more is leased than the capacity");
    }
    capacity.end_call(3);
    // Round-robin, after the shard that releases the unit.
    let mut order = Vec::new();
    let mut last = 3;
    for _ in 0..4 {
        let woken: Vec<_> = capacity.release_idle(last, 0).shards().collect();
        assert_eq!(woken.len(), 1);
        last = woken[0];
        order.push(last);
        assert!(capacity.begin_call(last) && !capacity.begin_call(last));
        capacity.end_call(last);
    }
    assert_eq!(order, [0, 1, 2, 3]);
}

/// Waiting shards come before new ones, and nothing is granted to a shard that has ended.
#[test]
fn waiting_shards_come_first() {
    let capacity = HostCapacity::new(3);
    let _ = capacity.set_limit(0, 1.0);
    assert!(capacity.acquire_or_wait(0) && !capacity.acquire_or_wait(1));
    let _ = capacity.set_limit(0, 2.0);
    assert_eq!(
        (capacity.allocation(1).lease, capacity.acquire(2, 1)),
        (1, 0),
        "the new unit goes to the waiting shard"
    );
    assert!(!capacity.acquire_or_wait(1) && !capacity.acquire_or_wait(2));
    let _ = capacity.remove_shard(1);
    // Its unit goes to the other waiting shard.
    assert_eq!((capacity.allocation(1).lease, capacity.allocation(2).lease), (0, 1));
    assert!(!capacity.begin_call(1) && !capacity.acquire_probe(1));
}
