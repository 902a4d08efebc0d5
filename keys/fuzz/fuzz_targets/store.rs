//! Feeds the store any events in any order, including ones that no caller would report: the store must keep its bounds,
//! give each waiter exactly one outcome, and never let two calls of one key run at once.
#![no_main]

use libfuzzer_sys::fuzz_target;
use nettleworks_keys::{
    Admission, Bounds, ClassKind, Removal, Request, Retention, RunId, RunOutcome, Store, Verdict,
};
use std::collections::{BTreeMap, BTreeSet};

const BOUNDS: (usize, usize, usize, usize) = (8, 5, 64, 3);

fuzz_target!(|data: &[u8]| {
    let (entries, entries_per_tenant, answer_bytes, waiters) = BOUNDS;
    let retention = vec![Retention { answered: 40, unsure: 70 }, Retention { answered: 9, unsure: 500 }];
    let bounds = Bounds { entries, entries_per_tenant, answer_bytes, waiters, key_bytes: 4, retention };
    let mut store: Store<u8> = Store::new(data.len() as u64, bounds);
    let (mut now, mut next) = (0_u64, 0_u64);
    let mut waiting: BTreeSet<u64> = BTreeSet::new();
    let mut running: BTreeMap<(u8, u8, u8), RunId> = BTreeMap::new();
    let mut run_ids: Vec<RunId> = Vec::new();
    for step in data.chunks_exact(4) {
        let [event, a, b, c] = [step[0], step[1], step[2], step[3]];
        match event % 6 {
            0 | 1 => {
                next += 1;
                let (tenant, class, key) = (a % 3, (a >> 4) % 2, b % 7);
                let text = vec![b'k'; usize::from(key)];
                let digest = store.digest(&[&[c & 1]]);
                let kind = if class == 0 { ClassKind::Keyed } else { ClassKind::Unsafe };
                let request =
                    Request { tenant: Some(tenant.into()), class: class.into(), kind, key: &text, digest };
                match store.admit(now, &request, next, now + u64::from(c)) {
                    Admission::First(run_id) => {
                        assert!(running.insert((tenant, class, key), run_id).is_none(), "two calls at once");
                        waiting.insert(next);
                        run_ids.push(run_id);
                    }
                    Admission::Joined { run_id, .. } => {
                        assert_eq!(running.get(&(tenant, class, key)), Some(&run_id));
                        waiting.insert(next);
                    }
                    _ => {}
                }
            }
            2 if !run_ids.is_empty() => {
                let run_id = run_ids[usize::from(a) % run_ids.len()];
                let outcome = match b % 3 {
                    0 => RunOutcome::Served { answer: c, bytes: usize::from(c) },
                    1 => RunOutcome::Unsure,
                    _ => RunOutcome::NeverRan,
                };
                let completion = store.complete(now, run_id, outcome);
                for waiter in &completion.waiters {
                    assert!(waiting.remove(waiter), "not waiting, or answered twice");
                }
                match completion.next {
                    Some(next) => assert!(waiting.contains(&next)),
                    None => running.retain(|_, other| *other != run_id),
                }
            }
            3 if !run_ids.is_empty() => {
                let (run_id, waiter) = (run_ids[usize::from(a) % run_ids.len()], u64::from(b));
                let removal = store.remove_waiter(run_id, waiter);
                // It may wait for another run.
                assert!(
                    removal == Removal::WasNotWaiting || waiting.remove(&waiter),
                    "not waiting, or answered twice"
                );
                // The call is cancelled or detached.
                if removal == Removal::NobodyWaits && c & 1 == 0 {
                    store.complete(now, run_id, RunOutcome::Unsure);
                    running.retain(|_, other| *other != run_id);
                }
            }
            4 if !run_ids.is_empty() => {
                let verdict = if b & 1 == 0 { Verdict::Ran } else { Verdict::NeverRan };
                let run_id = run_ids[usize::from(a) % run_ids.len()];
                if store.settle(now, run_id, verdict, c & 1 == 0).is_ok() {
                    assert!(running.values().all(|other| *other != run_id), "a running call was settled");
                }
            }
            _ => {
                now += u64::from(a);
                while let Some((run_id, waiter, removal)) = store.pop_overdue(now) {
                    assert!(waiting.remove(&waiter), "not waiting, or answered twice");
                    if removal == Removal::NobodyWaits {
                        store.complete(now, run_id, RunOutcome::Unsure);
                        running.retain(|_, other| *other != run_id);
                    }
                }
            }
        }
        assert!(store.len() <= entries && store.answer_bytes() <= answer_bytes);
        assert_eq!(store.next_deadline().is_none(), waiting.is_empty());
    }
});
