//! Property tests: pure parts against naive models, under random steps with fixed seeds.

mod common;

use nettleworks_lab::event_log::{EventKind, EventLog};
use nettleworks_lab::event_queue::EventQueue;
use nettleworks_lab::fault::{resolve_faults, Chaos, Fault, FaultKind, Targets};
use nettleworks_lab::invariants::UnavailableHosts;
use nettleworks_lab::model::host::{Admission, ExchangeResult, Host, HostStatus, Job};
use nettleworks_lab::model::registry::{Entry, ListingState, Registry};
use nettleworks_lab::random::RandomStream;
use nettleworks_lab::scenario::{Fleet, Scenario};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

const RUNS: u32 = 200;

fn runner() -> TestRunner {
    let config = Config { cases: RUNS, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn the_event_queue_matches_a_stable_sort() {
    let steps = prop::collection::vec((0_u64..40, any::<bool>()), 0..120);
    let run = runner().run(&steps, |steps| {
        let mut queue = EventQueue::default();
        let mut naive: Vec<(u64, usize)> = Vec::new();
        for (number, (at, takes)) in steps.into_iter().enumerate() {
            if takes {
                naive.sort_by_key(|(at, _)| *at);
                let due = naive.first().copied().filter(|(first, _)| *first <= at);
                if due.is_some() {
                    naive.remove(0);
                }
                prop_assert_eq!(queue.pop_due(at), due);
            } else {
                queue.schedule(at, number);
                naive.push((at, number));
            }
            prop_assert_eq!((queue.len(), queue.is_empty()), (naive.len(), naive.is_empty()));
            prop_assert_eq!(queue.next_time(), naive.iter().map(|(at, _)| *at).min());
        }
        Ok(())
    });
    run.unwrap_or_else(|error| panic!("{error}"));
}

#[derive(Clone, Debug)]
enum Change {
    Set {
        host: usize,
        listed: u8,
        started: u64,
    },
    /// A watch receives the changes since its version.
    Receive(usize),
    /// A watch reconnects without a list, or with a version of another registry.
    Reconnect(usize, bool),
}

#[test]
fn a_watch_that_applies_updates_has_the_registrys_list_whatever_it_missed() {
    const HOSTS: usize = 5;
    let change = prop_oneof![
        4 => (0..HOSTS, 0_u8..3, 0_u64..4).prop_map(|(host, listed, started)| Change::Set { host, listed, started }),
        3 => (0_usize..3).prop_map(Change::Receive),
        1 => (0_usize..3, any::<bool>()).prop_map(|(watch, other)| Change::Reconnect(watch, other)),
    ];
    let run = runner().run(&prop::collection::vec(change, 0..120), |changes| {
        let mut registry = Registry::new(HOSTS);
        let mut watches: Vec<(Option<u64>, BTreeMap<usize, Entry>)> = vec![(None, BTreeMap::new()); 3];
        for change in changes {
            match change {
                Change::Set { host, listed, started } => {
                    let state = [ListingState::Ready, ListingState::Terminating, ListingState::Removed]
                        [usize::from(listed)];
                    let entry = Entry { host, state, started };
                    let (before, differs) = (registry.seq(), registry.entry(host) != entry);
                    prop_assert_eq!(registry.set(entry), differs);
                    prop_assert_eq!(registry.seq(), before + u64::from(differs));
                }
                Change::Receive(watch) => {
                    let (since, list) = &mut watches[watch];
                    let Some(news) = registry.changes_since(*since) else {
                        prop_assert_eq!(*since, Some(registry.seq()));
                        continue;
                    };
                    if news.is_full {
                        list.clear();
                    }
                    for entry in news.entries {
                        list.insert(entry.host, entry);
                    }
                    *since = Some(news.seq);
                    let list: Vec<Entry> =
                        list.values().copied().filter(|e| e.state != ListingState::Removed).collect();
                    let all = (0..HOSTS).map(|host| registry.entry(host));
                    let listed: Vec<Entry> =
                        all.filter(|entry| entry.state != ListingState::Removed).collect();
                    prop_assert_eq!(list, listed);
                }
                Change::Reconnect(watch, other) => {
                    watches[watch] = (other.then_some(registry.seq() + 1_000), BTreeMap::new());
                }
            }
        }
        Ok(())
    });
    run.unwrap_or_else(|error| panic!("{error}"));
}

#[derive(Clone, Debug)]
enum Step {
    Admit { work: u16, timeout: u16 },
    Advance(u16),
    Cancel(u8),
    Down,
    Drain,
}

/// The active requests of a host are those that arrived less those that ended; it runs no more than it has workers for,
/// and starts them in the order of arrival.
#[test]
fn a_host_neither_loses_nor_invents_requests() {
    let step = prop_oneof![
        8 => (1_u16..400, 1_u16..900).prop_map(|(work, timeout)| Step::Admit { work, timeout }),
        6 => (0_u16..300).prop_map(Step::Advance),
        2 => any::<u8>().prop_map(Step::Cancel),
        1 => Just(Step::Down),
        1 => Just(Step::Drain),
    ];
    let fleet = Fleet { workers: 3, queue: 4, choke_from: 4, choke_slope: 0.5, ..Fleet::default() };
    let run = runner().run(&prop::collection::vec(step, 0..150), |steps| {
        let mut host = Host::new(0, &fleet);
        let (mut now, mut next) = (0_u64, 0_u64);
        let mut running = BTreeMap::<u64, u64>::new();
        let mut waiting = Vec::<Job>::new();
        for step in steps {
            match step {
                Step::Admit { work, timeout } => {
                    next += 1;
                    let until = now + u64::from(timeout);
                    let job = Job {
                        exchange: next,
                        call: 0,
                        until,
                        work: work.into(),
                        result: ExchangeResult::Served,
                    };
                    match host.admit(now, job, &fleet) {
                        Admission::Started(end) => {
                            prop_assert!(running.len() < 3 && waiting.is_empty() || running.len() < 3);
                            prop_assert!(end >= now + u64::from(work).min(1) && end > now);
                            running.insert(next, end);
                        }
                        Admission::Queued => {
                            prop_assert!(running.len() == 3 && waiting.len() < 4);
                            waiting.push(job);
                        }
                        Admission::Rejected(ends) => {
                            prop_assert_eq!(ends, ExchangeResult::TurnedAway);
                            prop_assert!(host.draining || running.len() == 3 && waiting.len() == 4);
                        }
                    }
                }
                Step::Advance(time) => {
                    now += u64::from(time);
                    let due: Vec<u64> =
                        running.iter().filter(|(_, end)| **end <= now).map(|(&number, _)| number).collect();
                    for number in due {
                        prop_assert!(host.finish(number).is_some() && host.finish(number).is_none());
                        running.remove(&number);
                        let mut late = Vec::new();
                        let begun = host.start_next(now, &fleet, &mut late);
                        for job in late {
                            prop_assert_eq!(job, waiting.remove(0));
                            prop_assert!(now >= job.until);
                        }
                        if let Some((job, end)) = begun {
                            prop_assert_eq!(job, waiting.remove(0));
                            prop_assert!(now < job.until && end > now);
                            running.insert(job.exchange, end);
                        }
                    }
                }
                Step::Cancel(which) => {
                    if let Some(place) = usize::from(which).checked_rem(waiting.len()) {
                        host.cancel(waiting.remove(place).exchange);
                    }
                }
                Step::Down => {
                    let epoch = host.epoch;
                    host.down(HostStatus::Dead);
                    host.start(now);
                    prop_assert!(host.epoch > epoch && !host.draining);
                    running.clear();
                    waiting.clear();
                }
                Step::Drain => host.draining = true,
            }
            prop_assert_eq!((host.active(), host.waiting()), (running.len() + waiting.len(), waiting.len()));
        }
        Ok(())
    });
    run.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn unavailable_hosts_match_a_naive_list_of_notices() {
    let notice = (0_usize..4, any::<bool>(), 0_u64..3_000_000);
    let run = runner().run(&prop::collection::vec(notice, 0..60), |notices| {
        let mut unavailable = UnavailableHosts::default();
        let mut naive: BTreeMap<usize, u64> = BTreeMap::new();
        let mut now = 0;
        for (host, ready, later) in notices {
            now += later;
            unavailable.set(now, host, ready);
            if ready {
                naive.remove(&host);
            } else {
                naive.entry(host).or_insert(now);
            }
            for host in 0..4 {
                for at in [now, now + 1_050_000, now + 1_050_001] {
                    let forbidden = naive.get(&host).is_some_and(|since| at > since + 1_050_000);
                    prop_assert_eq!(unavailable.forbids(at, host), forbidden);
                }
            }
        }
        Ok(())
    });
    run.unwrap_or_else(|error| panic!("{error}"));
}

fn which() -> impl Strategy<Value = Targets> {
    prop_oneof![
        Just(Targets::All),
        prop::collection::btree_set(0_usize..6, 1..4)
            .prop_map(|these| Targets::These(these.into_iter().collect())),
        (1_usize..6).prop_map(Targets::Any),
        (0_usize..2).prop_map(Targets::Zone),
    ]
}

fn any_fault() -> impl Strategy<Value = Fault> {
    let kind = (0..FaultKind::ALL.len()).prop_map(|place| FaultKind::ALL[place]);
    (kind, 0.0..9.0_f64, 0.001..4.0_f64, which(), which(), prop_oneof![Just(0.0), 0.01..0.5_f64]).prop_map(
        |(kind, at, duration, hosts, proxies, stagger)| Fault {
            kind,
            at: None,
            between: Some((at, at + 1.0)),
            duration,
            hosts,
            proxies,
            stagger,
            magnitude: None,
        },
    )
}

/// A resolved scenario has no random choice left, is valid, is unchanged after it is written and read, and resolves to
/// itself.
#[test]
fn resolved_scenarios_are_valid_and_resolve_to_themselves() {
    let scenario = (prop::collection::vec(any_fault(), 0..8), 0_usize..6, any::<u64>());
    let run = runner().run(&scenario, |(faults, chaos, seed)| {
        let mut scenario = common::scenario("name = \"x\"\nseconds = 10.0\n[load]\nproxies = 6");
        scenario.faults = faults;
        scenario.chaos =
            (chaos > 0).then_some(Chaos { faults: chaos, kinds: Vec::new(), duration: (0.05, 2.0) });
        prop_assert!(scenario.check().is_ok(), "{:?}", scenario.check());
        let resolved = resolve_faults(&scenario, seed);
        prop_assert!(resolved.check().is_ok() && resolved.chaos.is_none(), "{:?}", resolved.check());
        prop_assert!(resolved.faults.len() >= chaos);
        for fault in &resolved.faults {
            prop_assert!(fault.at.is_some() && fault.between.is_none() && fault.stagger == 0.0);
            for which in [&fault.hosts, &fault.proxies] {
                let numbers: BTreeSet<usize> = which.indices(6).into_iter().collect();
                prop_assert!(
                    !numbers.is_empty() && (0..6).all(|one| which.contains(one) == numbers.contains(&one))
                );
            }
        }
        let read = Scenario::parse(&resolved.text());
        prop_assert_eq!(read.as_ref(), Ok(&resolved));
        prop_assert_eq!(&resolve_faults(&resolved, seed), &resolved);
        prop_assert_eq!(&resolve_faults(&scenario, seed), &resolved);
        Ok(())
    });
    run.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn an_additional_random_fault_does_not_change_the_others() {
    let mut scenario = common::shipped("chaos");
    let first = resolve_faults(&scenario, 9);
    let more = scenario.chaos.as_mut().expect("chaos");
    more.faults += 1;
    let second = resolve_faults(&scenario, 9);
    assert_eq!(second.faults[..first.faults.len()], first.faults);
    assert_ne!(resolve_faults(&scenario, 10).faults, second.faults);
}

#[test]
fn a_scaled_down_scenario_has_the_same_faults_and_is_valid() {
    for name in
        ["cold-fleet", "rolling-release", "dawn", "metastable", "discovery-dead-then-wrong", "key-storm"]
    {
        let whole = common::shipped(name);
        let light = whole.scaled_down(8.0, 100.0);
        assert!(light.check().is_ok(), "{name}: {:?}", light.check());
        assert!(light.seconds <= 8.0 && light.load.rate <= 100.0);
        assert_eq!(light.faults.len(), whole.faults.len());
        for (light, whole) in light.faults.iter().zip(&whole.faults) {
            assert_eq!(
                (light.kind, light.duration, &light.hosts),
                (whole.kind, whole.duration, &whole.hosts)
            );
        }
        // One that is already scaled down does not change.
        assert_eq!(light.scaled_down(8.0, 100.0), light);
    }
}

#[test]
fn the_log_keeps_recent_events_and_its_hash_depends_on_every_value() {
    let of = |events: &[(u64, EventKind, [u64; 3])]| {
        let mut log = EventLog::default();
        events.iter().for_each(|&(at, of, is)| log.record(at, of, is));
        (log.hash(), log.count(), log.recent())
    };
    let events: Vec<(u64, EventKind, [u64; 3])> =
        (0..100).map(|n| (n, EventKind::Sent, [n, 2 * n, 3])).collect();
    let (hash, count, last) = of(&events);
    assert_eq!((count, last.len(), last[last.len() - 1].at), (100, 48, 99));
    assert_eq!(of(&events).0, hash);
    let mut seen = BTreeSet::from([hash]);
    for place in [0, 50, 99] {
        let mut other = events.clone();
        other[place].0 += 1;
        assert!(seen.insert(of(&other).0));
        let mut other = events.clone();
        other[place].1 = EventKind::Ran;
        assert!(seen.insert(of(&other).0));
        for figure in 0..3 {
            let mut other = events.clone();
            other[place].2[figure] += 1;
            assert!(seen.insert(of(&other).0));
        }
    }
    let mut other = events.clone();
    other.swap(3, 4);
    assert!(seen.insert(of(&other).0), "the order counts");
    assert!(seen.insert(of(&events[1..]).0));
}

#[test]
fn sampled_indices_and_zipf_ranks_have_their_distributions() {
    let mut counts = [0_u32; 10];
    for seed in 0..4_000 {
        let some = RandomStream::new(seed, "some", 0, 0).sample_indices(3, 10);
        assert!(some.len() == 3 && some.windows(2).all(|pair| pair[0] < pair[1]) && some[2] < 10);
        some.into_iter().for_each(|one| counts[one] += 1);
    }
    assert!(counts.iter().all(|count| (1_080..1_320).contains(count)), "{counts:?}");
    assert_eq!(RandomStream::new(1, "some", 0, 0).sample_indices(9, 2), [0, 1]);
    // Zipf's law: rank 1 of a thousand comes about twice as often as rank 2.
    let rank = |n| RandomStream::new(n, "rank", 0, 0).zipf_rank(1_000, 1.0);
    let ranks: Vec<u64> = (0..20_000).map(rank).collect();
    let of = |one: u64| ranks.iter().filter(|&&rank| rank == one).count() as f64;
    assert!((1.8..2.2).contains(&(of(1) / of(2))), "{} {}", of(1), of(2));
    assert!(ranks.iter().all(|rank| (1..=1_000).contains(rank)));
}
