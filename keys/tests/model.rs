//! Compares the store with a naive model that scans a list: both must answer each event alike, also when the bounds are
//! reached.

use nettleworks_keys::{
    Admission, Bounds, ClassKind, FullBound, KeyInfo, KeyState, Removal, Request, Retention, RunId,
    RunOutcome, Store, Verdict,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::HashMap;

/// Steps per run, and number of runs: 120,000 steps in total.
const STEPS: usize = 400;
const RUNS: u32 = 300;

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        tenant: u32,
        class: u32,
        key: u8,
        payload: u8,
        patience: u64,
    },
    /// The `nth` oldest running call ends.
    End {
        nth: usize,
        how: u8,
        bytes: usize,
    },
    /// The client of the `nth` waiter disconnects.
    Disconnect {
        nth: usize,
    },
    Wait {
        time: u64,
    },
    /// An operator settles the `nth` unsure key.
    Settle {
        nth: usize,
        ran: bool,
    },
    /// An answer arrives for the `nth` run that was given up or settled by an operator.
    LateAnswer {
        nth: usize,
        bytes: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let arrive = (0..3_u32, 0..2_u32, 0..6_u8, 0..8_u8, 1..400_u64).prop_map(
        |(tenant, class, key, payload, patience)| {
            // One request in eight has another payload.
            Step::Arrive { tenant, class, key, payload: payload / 7, patience }
        },
    );
    let end = (0..8_usize, 0..4_u8, 0..60_usize).prop_map(|(nth, how, bytes)| Step::End { nth, how, bytes });
    let disconnect = (0..8_usize).prop_map(|nth| Step::Disconnect { nth });
    let wait = (0..200_u64).prop_map(|time| Step::Wait { time });
    let settle = (0..8_usize, any::<bool>()).prop_map(|(nth, ran)| Step::Settle { nth, ran });
    let late = (0..8_usize, 0..60_usize).prop_map(|(nth, bytes)| Step::LateAnswer { nth, bytes });
    // A call that no client waits for any more may end only much later: it is detached.
    let any = prop_oneof![12 => arrive, 8 => end, 4 => disconnect, 2 => wait, 1 => settle, 1 => late];
    prop::collection::vec(any, STEPS)
}

fn bounds() -> Bounds {
    // Times are multiples of 8, and these have different remainders: no two entries expire at the same time, so that
    // the order of eviction is unambiguous.
    let retention =
        vec![Retention { answered: 8_001, unsure: 6_002 }, Retention { answered: 4_003, unsure: 9_004 }];
    Bounds { entries: 12, entries_per_tenant: 6, answer_bytes: 150, waiters: 4, key_bytes: 8, retention }
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    Running(Vec<(u64, u64)>),
    Answered { until: u64, answer: Option<(u32, usize)> },
    Unsure { until: u64 },
    Settled { until: u64, verdict: Verdict },
}

#[derive(Clone, Debug)]
struct Entry {
    tenant: u32,
    class: u32,
    key: u8,
    payload: u8,
    first_arrival: u64,
    state: State,
    run_id: Option<RunId>,
}

impl Entry {
    fn info(&self, now: u64) -> KeyInfo {
        let state = match &self.state {
            State::Running(_) => KeyState::Running,
            State::Answered { answer: Some(_), .. } => KeyState::Answered,
            State::Answered { answer: None, .. } => KeyState::Forgotten,
            State::Unsure { .. } => KeyState::Unsure,
            State::Settled { verdict, .. } => verdict.state(),
        };
        KeyInfo { state, age: now - self.first_arrival }
    }
}

#[derive(Default)]
struct Model {
    entries: Vec<Entry>,
}

fn kind(class: u32) -> ClassKind {
    if class == 0 {
        ClassKind::Keyed
    } else {
        ClassKind::Unsafe
    }
}

impl Model {
    fn expire(&mut self, now: u64) {
        self.entries.retain(|entry| match entry.state {
            State::Running(_) => true,
            State::Answered { until, .. } | State::Unsure { until } | State::Settled { until, .. } => {
                until > now
            }
        });
    }

    /// Evicts the first of the entries that match. Returns whether there was one.
    fn evict(&mut self, matches: impl Fn(&Entry) -> bool) -> bool {
        let rank = |entry: &Entry| match entry.state {
            State::Answered { until, answer: None } => Some((0, until)),
            State::Unsure { until } if kind(entry.class) == ClassKind::Keyed => Some((0, until)),
            State::Settled { until, verdict } => {
                (kind(entry.class) == ClassKind::Keyed || verdict == Verdict::NeverRan).then_some((0, until))
            }
            State::Answered { until, answer: Some(_) } => Some((1, until)),
            _ => None,
        };
        let ranked = self.entries.iter().enumerate().filter(|(_, entry)| matches(entry));
        let first = ranked.filter_map(|(index, entry)| Some((rank(entry)?, index))).min();
        first.map(|(_, index)| self.entries.remove(index)).is_some()
    }

    fn bytes(&self) -> usize {
        let bytes = |entry: &Entry| match entry.state {
            State::Answered { answer: Some((_, bytes)), .. } => bytes,
            _ => 0,
        };
        self.entries.iter().map(bytes).sum()
    }

    /// Keeps the answer of an entry if it fits. Answers that expire earlier are reduced to markers to make room.
    fn answered(&mut self, now: u64, index: usize, answer: u32, bytes: usize, bounds: &Bounds) {
        let until = now + bounds.retention(self.entries[index].class).answered;
        while bytes <= bounds.answer_bytes && self.bytes() + bytes > bounds.answer_bytes {
            let old = |entry: &&mut Entry| matches!(entry.state, State::Answered { answer: Some(_), .. });
            let until = |entry: &&mut Entry| match entry.state {
                State::Answered { until, .. } => until,
                _ => u64::MAX,
            };
            let oldest = self.entries.iter_mut().filter(old).min_by_key(until);
            let Some(Entry { state: State::Answered { answer, .. }, .. }) = oldest else { break };
            *answer = None;
        }
        let answer = (bytes <= bounds.answer_bytes).then_some((answer, bytes));
        self.entries[index].state = State::Answered { until, answer };
    }

    /// The indexes of the entries in one of these states, the oldest first.
    fn in_state(&self, now: u64, states: &[KeyState]) -> Vec<usize> {
        (0..self.entries.len())
            .filter(|&index| states.contains(&self.entries[index].info(now).state))
            .collect()
    }
}

fn play(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let bounds = bounds();
    let mut store: Store<u32> = Store::new(3, bounds.clone());
    let mut model = Model::default();
    let (mut now, mut waiter, mut answers) = (0_u64, 0_u64, 0_u32);
    // The waiting requests and the runs that they wait for.
    let mut waits: Vec<(u64, RunId)> = Vec::new();
    // How often each request was answered.
    let mut answered: HashMap<u64, usize> = HashMap::new();
    for step in steps {
        now += 8;
        // Overdue waiters are removed first, as the caller of the store does.
        while let Some((run_id, id, removal)) = store.pop_overdue(now) {
            let entry = model.entries.iter_mut().find(|entry| entry.run_id == Some(run_id));
            let Some(Entry { state: State::Running(waiting), .. }) = entry else {
                return Err(TestCaseError::fail("a request waits for a run that has ended"));
            };
            let position = waiting.iter().position(|&(other, _)| other == id);
            let position = position.ok_or(TestCaseError::fail("a request is overdue that did not wait"))?;
            prop_assert!(waiting.remove(position).1 <= now);
            prop_assert_eq!(
                removal,
                if waiting.is_empty() { Removal::NobodyWaits } else { Removal::OthersWait }
            );
            waits.retain(|&(other, _)| other != id);
            *answered.entry(id).or_default() += 1;
        }
        match step {
            Step::Wait { time } => now += time * 8,
            Step::Arrive { tenant, class, key, payload, patience } => {
                waiter += 1;
                let deadline = now + patience * 8;
                let (text, digest) = ([key + 1], store.digest(&[b"POST", &[payload]]));
                let request = Request { tenant: Some(tenant), class, kind: kind(class), key: &text, digest };
                let admission = store.admit(now, &request, waiter, deadline);
                model.expire(now);
                let same = |entry: &Entry| (entry.tenant, entry.class, entry.key) == (tenant, class, key);
                // A key that an operator has settled as never run is treated as a new one.
                let settled_as_never_ran = |entry: &Entry| {
                    same(entry) && matches!(entry.state, State::Settled { verdict: Verdict::NeverRan, .. })
                };
                model.entries.retain(|entry| !settled_as_never_ran(entry));
                let expected = match model.entries.iter_mut().find(|entry| same(entry)) {
                    Some(entry) if entry.payload != payload => Admission::Mismatch,
                    Some(Entry { state: State::Answered { answer: Some((answer, _)), .. }, .. }) => {
                        Admission::Replay(*answer)
                    }
                    Some(entry) => match &mut entry.state {
                        State::Running(waiting) if waiting.len() == bounds.waiters => {
                            Admission::Refused(FullBound::Waiters)
                        }
                        State::Running(waiting) => {
                            let longest = waiting.iter().all(|&(_, other)| other < deadline);
                            waiting.push((waiter, deadline));
                            Admission::Joined { run_id: entry.run_id.expect("it runs"), longest }
                        }
                        _ => Admission::NoAnswer(entry.info(now)),
                    },
                    None => {
                        let of_tenant = model.entries.iter().filter(|entry| entry.tenant == tenant).count();
                        let bound = if of_tenant >= bounds.entries_per_tenant
                            && !model.evict(|entry| entry.tenant == tenant)
                        {
                            Some(FullBound::Tenant)
                        } else if model.entries.len() >= bounds.entries && !model.evict(|_| true) {
                            Some(FullBound::Entries)
                        } else {
                            None
                        };
                        match (bound, kind(class), &admission) {
                            (Some(bound), ClassKind::Keyed, _) => Admission::Pass(bound),
                            (Some(bound), ClassKind::Unsafe, _) => Admission::Refused(bound),
                            (None, _, &Admission::First(run_id)) => {
                                let state = State::Running(vec![(waiter, deadline)]);
                                model.entries.push(Entry {
                                    tenant,
                                    class,
                                    key,
                                    payload,
                                    first_arrival: now,
                                    state,
                                    run_id: Some(run_id),
                                });
                                Admission::First(run_id)
                            }
                            (None, ..) => {
                                return Err(TestCaseError::fail(format!(
                                    "not a first request, but {admission:?}"
                                )))
                            }
                        }
                    }
                };
                prop_assert_eq!(&admission, &expected);
                if let Admission::First(run_id) | Admission::Joined { run_id, .. } = admission {
                    waits.push((waiter, run_id));
                }
            }
            Step::End { nth, how, bytes } => {
                model.expire(now);
                let mut running: Vec<RunId> = Vec::new();
                for entry in &model.entries {
                    if let State::Running(_) = entry.state {
                        running.push(entry.run_id.expect("it runs"));
                    }
                }
                if running.is_empty() {
                    continue;
                }
                let run_id = running[nth % running.len()];
                answers += 1;
                let outcome = match how {
                    0 | 1 => RunOutcome::Served { answer: answers, bytes },
                    2 => RunOutcome::Unsure,
                    _ => RunOutcome::NeverRan,
                };
                let index =
                    model.entries.iter().position(|entry| entry.run_id == Some(run_id)).expect("it runs");
                let State::Running(waiting) = model.entries[index].state.clone() else {
                    unreachable!("it runs")
                };
                let retention = bounds.retention(model.entries[index].class);
                let completion = store.complete(now, run_id, outcome.clone());
                let mut expected: Vec<u64> = waiting.iter().map(|&(id, _)| id).collect();
                let mut next = None;
                match outcome {
                    RunOutcome::NeverRan if waiting.len() > 1 => {
                        (expected, next) = (vec![waiting[0].0], Some(waiting[1].0));
                        model.entries[index].state = State::Running(waiting[1..].to_vec());
                    }
                    RunOutcome::NeverRan => drop(model.entries.remove(index)),
                    RunOutcome::Unsure => {
                        model.entries[index].state = State::Unsure { until: now + retention.unsure }
                    }
                    RunOutcome::Served { answer, bytes } => {
                        model.answered(now, index, answer, bytes, &bounds)
                    }
                }
                prop_assert_eq!((&completion.waiters, completion.next), (&expected, next));
                for id in expected {
                    waits.retain(|&(other, _)| other != id);
                    *answered.entry(id).or_default() += 1;
                }
            }
            Step::Settle { nth, ran } => {
                model.expire(now);
                let unsure = model.in_state(now, &[KeyState::Unsure]);
                if unsure.is_empty() {
                    continue;
                }
                let entry = &mut model.entries[unsure[nth % unsure.len()]];
                let verdict = if ran { Verdict::Ran } else { Verdict::NeverRan };
                let run_id = entry.run_id.expect("it ran once");
                prop_assert!(store.settle(now, run_id, verdict, false).is_ok());
                prop_assert!(store.settle(now, run_id, verdict, false).is_err(), "it is settled");
                entry.state = State::Settled { until: now + bounds.retention(entry.class).unsure, verdict };
            }
            Step::LateAnswer { nth, bytes } => {
                model.expire(now);
                let given_up = model.in_state(now, &[KeyState::Unsure, KeyState::Ran, KeyState::NeverRan]);
                if given_up.is_empty() {
                    continue;
                }
                answers += 1;
                let index = given_up[nth % given_up.len()];
                let (run_id, before) =
                    (model.entries[index].run_id.expect("it ran once"), model.entries[index].info(now));
                let completion = store.complete(now, run_id, RunOutcome::Served { answer: answers, bytes });
                prop_assert_eq!((completion.late_for, completion.waiters.len()), (Some(before.state), 0));
                model.answered(now, index, answers, bytes, &bounds);
            }
            Step::Disconnect { nth } => {
                if waits.is_empty() {
                    continue;
                }
                let (id, run_id) = waits.remove(nth % waits.len());
                let entry =
                    model.entries.iter_mut().find(|entry| entry.run_id == Some(run_id)).expect("it runs");
                let State::Running(waiting) = &mut entry.state else { unreachable!("it runs") };
                waiting.retain(|&(other, _)| other != id);
                let removal = if waiting.is_empty() { Removal::NobodyWaits } else { Removal::OthersWait };
                prop_assert_eq!(store.remove_waiter(run_id, id), removal);
                prop_assert_eq!(store.remove_waiter(run_id, id), Removal::WasNotWaiting, "it was removed");
                *answered.entry(id).or_default() += 1;
            }
        }
        prop_assert!(store.len() <= bounds.entries);
        prop_assert!(store.answer_bytes() <= bounds.answer_bytes);
        model.expire(now);
        prop_assert!(store.len() >= model.entries.len());
        prop_assert_eq!(waits.is_empty(), store.next_deadline().is_none());
    }
    prop_assert!(answered.values().all(|&count| count == 1), "one answer each");
    Ok(())
}

#[test]
fn the_store_agrees_with_the_model() {
    let config =
        Config { cases: RUNS, failure_persistence: None, max_shrink_iters: 2_000, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    runner.run(&steps(), play).unwrap_or_else(|error| panic!("{error}"));
}
