//! Several stores that share one set of bounds, in long random sequences of events from a fixed seed.

use nettleworks_keys::{
    Admission, Bounds, ClassKind, FullBound, Request, Retention, RunId, RunOutcome, SharedUsage, Store,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::sync::Arc;

const STORES: usize = 3;

fn bounds() -> Bounds {
    let retention = vec![Retention { answered: 400, unsure: 900 }];
    Bounds { entries: 8, entries_per_tenant: 5, answer_bytes: 300, retention, ..Bounds::default() }
}

/// Eviction requests reach their store at some later time, in any order.
#[test]
fn random_events_keep_the_shared_bounds() {
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]));
    let events = prop::collection::vec((0..8_u8, 0..STORES, 0..24_u8, 0..2_u32, 1..90_u64), 500);
    let done = runner.run(&events, |events| {
        let shared_usage = Arc::new(SharedUsage::default());
        let mut stores: Vec<Store<u8>> =
            (0..STORES).map(|id| Store::with_shared_usage(7, bounds(), id, shared_usage.clone())).collect();
        let mut running: Vec<Vec<RunId>> = vec![Vec::new(); STORES];
        let mut eviction_requests = Vec::new();
        let (mut now, mut waiter, mut refused) = (0, 0, 0);
        for (event, store_id, key, tenant, time) in events {
            now += time;
            let store = &mut stores[store_id];
            match event {
                0..=4 => {
                    waiter += 1;
                    let digest = store.digest(&[b"x"]);
                    let key = [store_id as u8, key];
                    let request = Request {
                        tenant: Some(tenant),
                        class: 0,
                        kind: ClassKind::Unsafe,
                        key: &key,
                        digest,
                    };
                    match store.admit(now, &request, waiter, now + 10_000) {
                        Admission::First(run_id) => running[store_id].push(run_id),
                        Admission::Refused(bound) => {
                            refused += 1;
                            prop_assert!(matches!(bound, FullBound::Entries | FullBound::Tenant));
                        }
                        _ => {}
                    }
                    eviction_requests.extend(store.take_eviction_requests());
                }
                5 | 6 => {
                    if let Some(run_id) = running[store_id].pop() {
                        let outcome = match event {
                            5 => RunOutcome::Served { answer: key, bytes: 70 },
                            _ => RunOutcome::Unsure,
                        };
                        store.complete(now, run_id, outcome);
                    }
                }
                _ => {
                    if let Some(store) = eviction_requests.pop() {
                        stores[store].evict_for_peer();
                    }
                }
            }
            let held: usize = stores.iter().map(Store::len).sum();
            prop_assert!(
                held <= bounds().entries + eviction_requests.len(),
                "{held} with {} requested",
                eviction_requests.len()
            );
            let bytes: usize = stores.iter().map(Store::answer_bytes).sum();
            prop_assert!(bytes <= bounds().answer_bytes, "{bytes}");
        }
        for store in eviction_requests.drain(..) {
            stores[store].evict_for_peer();
        }
        let held: usize = stores.iter().map(Store::len).sum();
        prop_assert!(held <= bounds().entries, "{held}");
        prop_assert_eq!(held, shared_usage.keys());
        prop_assert!(refused > 0, "the bounds are never reached");
        Ok(())
    });
    done.unwrap_or_else(|error| panic!("{error}"));
}

/// A store that has nothing to evict takes room from another one that holds an answer.
#[test]
fn a_store_with_nothing_to_evict_requests_an_eviction_elsewhere() {
    let shared_usage = Arc::new(SharedUsage::default());
    let bounds = Bounds { entries: 2, ..bounds() };
    let mut stores: Vec<Store<u8>> =
        (0..2).map(|id| Store::with_shared_usage(7, bounds.clone(), id, shared_usage.clone())).collect();
    let admit = |store: &mut Store<u8>, key: &[u8]| {
        let digest = store.digest(&[b"x"]);
        let request = Request { tenant: None, class: 0, kind: ClassKind::Unsafe, key, digest };
        store.admit(1, &request, u64::from(key[0]), 100)
    };
    for key in [b"a", b"b"] {
        let Admission::First(run_id) = admit(&mut stores[0], key) else { panic!("there is room") };
        if key == b"a" {
            stores[0].complete(1, run_id, RunOutcome::Served { answer: 1, bytes: 1 });
        }
    }
    assert!(matches!(admit(&mut stores[1], b"c"), Admission::First(_)), "in place of the answer");
    let eviction_requests = stores[1].take_eviction_requests();
    assert_eq!(eviction_requests.len(), 1);
    assert!(matches!(admit(&mut stores[1], b"d"), Admission::Refused(_)), "a running entry is not evicted");
    for store in eviction_requests {
        stores[store].evict_for_peer();
    }
    assert_eq!((stores[0].len(), stores[1].len(), shared_usage.keys()), (1, 1, 2));
}
