//! A cluster of proxy processes, and faults of the processes and of the network between them.

use nettleworks_crew::{Cluster, ClusterOptions, Event, Link};
use nettleworks_standins::{HostBehavior as Host, Load, LoadMetrics, StandInFleet};
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_nettleworks");

fn start_hosts(count: usize) -> StandInFleet {
    StandInFleet::start(vec![Host { service: Duration::from_millis(2), ..Host::default() }; count])
}

fn start_cluster(name: &str, count: usize, site: &StandInFleet) -> Cluster {
    let cluster = Cluster::start(ClusterOptions::new(PROGRAM, name, count), site);
    cluster.wait_until_converged();
    cluster
}

/// Members that were declared failed since `since`, other than those in `expected`.
fn wrongly_failed(cluster: &Cluster, since: Duration, expected: &[usize]) -> Vec<(usize, String)> {
    let expected: Vec<String> = expected.iter().map(|number| Cluster::member_name(*number)).collect();
    cluster.failed_since(since).into_iter().filter(|(_, member)| !expected.contains(member)).collect()
}

fn has_panicked(cluster: &Cluster) -> bool {
    let events = cluster.history.events_since(Duration::ZERO);
    events.iter().any(|(_, event)| matches!(event, Event::Logged(_, line) if line.contains("panicked")))
}

#[test]
fn a_killed_third_rejoins_under_the_same_names() {
    let site = start_hosts(1);
    let mut cluster = start_cluster("kill", 9, &site);
    let at = cluster.history.elapsed();
    for number in [1, 4, 7] {
        cluster.kill(number);
    }
    for number in [1, 4, 7] {
        cluster.wait_until_reported_as(number, "failed", &[]);
    }
    assert_eq!(wrongly_failed(&cluster, at, &[1, 4, 7]), [], "{}", cluster.history.text());
    for number in [1, 4, 7] {
        cluster.start_process(number);
    }
    cluster.wait_until_converged();
    let rejoined = cluster.history.membership_changes(at, "come back");
    assert!(rejoined.iter().any(|(_, member)| member == "p-4"), "{rejoined:?}");
    assert!(!has_panicked(&cluster));
}

#[test]
fn a_rolling_restart_declares_no_member_failed() {
    let site = start_hosts(1);
    let mut cluster = start_cluster("roll", 6, &site);
    let at = cluster.history.elapsed();
    for number in 0..6 {
        cluster.terminate(number);
        cluster.start_process(number);
    }
    cluster.wait_until_converged();
    assert_eq!(cluster.failed_since(at), [], "{}", cluster.history.text());
    assert!(cluster.history.membership_changes(at, "left").len() >= 6, "{}", cluster.history.text());
}

/// A process is suspended until the others have declared it failed. When it continues it must rejoin, and must not
/// suspect the others.
#[test]
fn a_suspended_member_rejoins_and_suspects_nobody() {
    let site = start_hosts(1);
    let cluster = start_cluster("stop", 6, &site);
    let at = cluster.history.elapsed();
    cluster.process(2).suspend();
    cluster.wait_until("it is declared failed", |_| {
        let failed = cluster.failed_since(at);
        (0..6)
            .filter(|by| *by != 2)
            .all(|by| failed.iter().any(|(observer, member)| *observer == by && member == "p-2"))
    });
    cluster.process(2).resume();
    cluster.wait_until_converged();
    assert_eq!(wrongly_failed(&cluster, at, &[2]), [], "{}", cluster.history.text());
    let suspicions = cluster.history.membership_changes(at, "not answered somebody");
    assert!(suspicions.iter().all(|(observer, member)| *observer != 2 || member == "p-2"), "{suspicions:?}");
}

#[test]
fn a_partitioned_cluster_merges_again() {
    let site = start_hosts(1);
    let cluster = start_cluster("split", 9, &site);
    let (majority, minority) = ([0, 1, 2, 3, 4, 5], [6, 7, 8]);
    cluster.partition(&majority, &minority);
    for number in minority {
        cluster.wait_until_reported_as(number, "failed", &minority);
    }
    for number in majority {
        cluster.wait_until_reported_as(number, "failed", &majority);
    }
    let standing = |number: usize| {
        cluster.process(number).membership_view().expect("the process responds")["standing"].clone()
    };
    assert_eq!((standing(0), standing(7)), ("reduced".into(), "minority".into()));
    cluster.heal();
    let healed = cluster.history.elapsed();
    cluster.wait_until_converged();
    assert_eq!(
        cluster.failed_since(healed),
        [],
        "the merge itself declares no member failed: {}",
        cluster.history.text()
    );
}

#[test]
fn a_cut_link_declares_no_member_failed() {
    let site = start_hosts(1);
    let cluster = start_cluster("oneway", 5, &site);
    let at = cluster.history.elapsed();
    let cut = Link { blocked: true, ..Link::default() };
    // One direction only between 0 and 1, both directions between 2 and 3.
    cluster.relays.set_link(0, 1, cut.clone());
    cluster.relays.set_link(2, 3, cut.clone());
    cluster.relays.set_link(3, 2, cut);
    // Long enough for several pings of each member, and for a suspicion to end in failure.
    std::thread::sleep(Duration::from_secs(6));
    assert_eq!(cluster.failed_since(at), [], "{}", cluster.history.text());
}

/// A seeded sequence of faults under load: the proxy's guarantees must hold by the hosts' ledger, and in the end all
/// members must know each other.
#[test]
fn a_sequence_of_faults_under_load_breaks_no_guarantee() {
    let site = start_hosts(4);
    let cluster = start_cluster("course", 12, &site);
    let ledger = site.ledger.clone();
    let cluster = RefCell::new(cluster);
    let tallies: Vec<Rc<RefCell<LoadMetrics>>> = (0..12).map(|_| Rc::default()).collect();
    let mut random = rand_pcg::Pcg64::seed_from_u64(17);
    let mut random_below = |bound: usize| (random.next_u64() % bound as u64) as usize;
    let mut killed = std::collections::BTreeSet::new();
    nettleworks_standins::run(async {
        let stop = tokio::time::Instant::now() + Duration::from_secs(12);
        let mut loads = Vec::new();
        for (number, tally) in tallies.iter().enumerate() {
            let mut load = Load::new(cluster.borrow().process(number).address, number as u64);
            (load.clients, load.pause, load.until) = (2, Duration::from_millis(15), Some(stop));
            let tally = tally.clone();
            loads.push(tokio::task::spawn_local(async move { load.run(&tally).await }));
        }
        // Each kind of fault once; the seed chooses its targets and duration.
        for round in 0..6 {
            let span = Duration::from_millis(700 + random_below(600) as u64);
            match round % 6 {
                0 => {
                    let at = 1 + random_below(10);
                    let parts: (Vec<usize>, Vec<usize>) = ((0..at).collect(), (at..12).collect());
                    cluster.borrow().partition(&parts.0, &parts.1);
                }
                1 => cluster.borrow().set_all_links(Link { loss: 0.3, duplication: 0.2, ..Link::default() }),
                2 => {
                    let delay_range = (Duration::ZERO, Duration::from_millis(90));
                    cluster.borrow().set_all_links(Link { delay: delay_range, ..Link::default() });
                }
                3 => {
                    let number = random_below(12);
                    cluster.borrow().process(number).suspend();
                    tokio::time::sleep(span).await;
                    cluster.borrow().process(number).resume();
                }
                4 => {
                    let number = random_below(12);
                    killed.insert(number);
                    cluster.borrow_mut().kill(number);
                }
                _ => {
                    for from in 0..12 {
                        let to = random_below(12);
                        cluster.borrow().relays.set_link(from, to, Link { blocked: true, ..Link::default() });
                    }
                }
            }
            tokio::time::sleep(span).await;
            cluster.borrow().heal();
            tokio::time::sleep(Duration::from_millis(400)).await;
        }
        for load in loads {
            load.await.expect("the client ends without a panic");
        }
    });
    let mut cluster = cluster.into_inner();
    for number in &killed {
        cluster.start_process(*number);
    }
    cluster.wait_until_converged();
    assert!(!has_panicked(&cluster));
    assert_eq!(ledger.duplicates(Duration::from_secs(9)), [], "a request ran twice");
    for (number, tally) in tallies.iter().enumerate().filter(|(number, _)| !killed.contains(number)) {
        let tally = tally.borrow();
        assert_eq!((tally.lost, tally.failed), (0, 0), "at process {number}: {tally:?}");
        assert!(tally.served > 100, "at process {number}: {tally:?}");
        assert!(tally.refused * 100 <= tally.total(), "at process {number}: {tally:?}");
    }
}
