//! Several stores whose bounds are one, in long random days from fixed seeds.

use nettleworks_keys::{Arrival, Bounds, Cause, End, Kind, Request, Retention, Slot, Store, Tally};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::sync::Arc;

const STORES: usize = 3;

fn bounds() -> Bounds {
    let retention = vec![Retention { answered: 400, unsure: 900 }];
    Bounds { entries: 8, entries_a_tenant: 5, answer_bytes: 300, retention, ..Bounds::default() }
}

/// A store is told at some later time of what others have claimed.
#[test]
fn random_days_keep_the_bounds_of_all() {
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]));
    let day = prop::collection::vec((0..8_u8, 0..STORES, 0..24_u8, 0..2_u32, 1..90_u64), 500);
    let done = runner.run(&day, |day| {
        let tally = Arc::new(Tally::default());
        let mut stores: Vec<Store<u8>> =
            (0..STORES).map(|me| Store::sharing(7, bounds(), me, tally.clone())).collect();
        let mut running: Vec<Vec<Slot>> = vec![Vec::new(); STORES];
        let mut claims = Vec::new();
        let (mut now, mut waiter, mut refused) = (0, 0, 0);
        for (what, at, key, tenant, time) in day {
            now += time;
            let store = &mut stores[at];
            match what {
                0..=4 => {
                    waiter += 1;
                    let digest = store.digest(&[b"x"]);
                    let key = [at as u8, key];
                    let request =
                        Request { tenant: Some(tenant), class: 0, kind: Kind::Unsafe, key: &key, digest };
                    match store.arrive(now, &request, waiter, now + 10_000) {
                        Arrival::First(slot) => running[at].push(slot),
                        Arrival::Refused(cause) => {
                            refused += 1;
                            prop_assert!(matches!(cause, Cause::Entries | Cause::Tenant));
                        }
                        _ => {}
                    }
                    claims.extend(store.claims());
                }
                5 | 6 => {
                    if let Some(slot) = running[at].pop() {
                        let end = match what {
                            5 => End::Served { answer: key, bytes: 70 },
                            _ => End::Unsure,
                        };
                        store.ended(now, slot, end);
                    }
                }
                _ => {
                    if let Some(store) = claims.pop() {
                        stores[store].give_up();
                    }
                }
            }
            let held: usize = stores.iter().map(Store::len).sum();
            prop_assert!(held <= bounds().entries + claims.len(), "{held} with {} claimed", claims.len());
            let bytes: usize = stores.iter().map(Store::answer_bytes).sum();
            prop_assert!(bytes <= bounds().answer_bytes, "{bytes}");
        }
        for store in claims.drain(..) {
            stores[store].give_up();
        }
        let held: usize = stores.iter().map(Store::len).sum();
        prop_assert!(held <= bounds().entries, "{held}");
        prop_assert_eq!(held, tally.keys());
        prop_assert!(refused > 0, "the bounds are met");
        Ok(())
    });
    done.unwrap_or_else(|error| panic!("{error}"));
}

/// One store is full of answers that could go: another that needs a place gets one of its.
#[test]
fn a_store_without_anything_to_give_up_claims_anothers() {
    let tally = Arc::new(Tally::default());
    let bounds = Bounds { entries: 2, ..bounds() };
    let mut stores: Vec<Store<u8>> =
        (0..2).map(|me| Store::sharing(7, bounds.clone(), me, tally.clone())).collect();
    let first = |store: &mut Store<u8>, key: &[u8]| {
        let digest = store.digest(&[b"x"]);
        let request = Request { tenant: None, class: 0, kind: Kind::Unsafe, key, digest };
        store.arrive(1, &request, u64::from(key[0]), 100)
    };
    for key in [b"a", b"b"] {
        let Arrival::First(slot) = first(&mut stores[0], key) else { panic!("there is room") };
        if key == b"a" {
            stores[0].ended(1, slot, End::Served { answer: 1, bytes: 1 });
        }
    }
    assert!(matches!(first(&mut stores[1], b"c"), Arrival::First(_)), "in the place of the answer");
    let claims = stores[1].claims();
    assert_eq!(claims.len(), 1);
    assert!(matches!(first(&mut stores[1], b"d"), Arrival::Refused(_)), "what runs is not claimed");
    for store in claims {
        stores[store].give_up();
    }
    assert_eq!((stores[0].len(), stores[1].len(), tally.keys()), (1, 1, 2));
}
