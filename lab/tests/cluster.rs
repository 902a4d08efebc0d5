//! Clusters of up to two hundred members on virtual time: failure detection, partitions, load of an idle cluster, determinism.

use nettleworks_lab::cluster::{name, Cluster};
use nettleworks_members::{Condition, Config, MemberEventKind};

const SECOND: u64 = 1_000_000;

fn new_cluster(count: usize) -> Cluster {
    Cluster::converged(count, 1, &Config::default()).expect("the members agree")
}

#[test]
fn two_hundred_members_detect_one_failure_and_forty_at_once() {
    let initial = new_cluster(200);
    let mut one = initial.clone();
    let at = one.now;
    one.kill(77);
    let took = one
        .run_until(60 * SECOND, |cluster| cluster.all_report(77, Condition::Failed))
        .expect("the failure is detected");
    assert!(took < 30 * SECOND, "{took}");
    let mut many = initial.clone();
    (0..40).for_each(|node| many.kill(5 * node));
    let all_detected =
        |cluster: &Cluster| (0..40).all(|node| cluster.all_report(5 * node, Condition::Failed));
    assert!(many.run_until(90 * SECOND, all_detected).is_some());
    let is_dead = |member: &nettleworks_members::Name| (0..40).any(|node| *member == name(5 * node));
    assert_eq!(many.events_since(at, MemberEventKind::Failed, is_dead), 0);
    assert_eq!(one.events_since(at, MemberEventKind::Failed, |member| *member == name(77)), 0);
}

#[test]
fn two_hundred_members_agree_soon_after_a_partition_heals() {
    let mut cluster = new_cluster(200);
    cluster.partition(|node| u8::from(node % 3 == 0));
    cluster.run(30 * SECOND);
    let at = cluster.now;
    cluster.partition(|_| 0);
    let converged = |cluster: &Cluster| {
        cluster.has_converged() && (0..200).all(|node| cluster.all_report(node, Condition::Alive))
    };
    let took = cluster.run_until(60 * SECOND, converged).expect("the members agree");
    assert!(took < 30 * SECOND, "{took} from {at}");
}

/// Without loss or failures each member sends one probe and one acknowledgement per second, suspects nobody, and keeps a health
/// score of 0.
#[test]
fn an_idle_cluster_probes_once_a_second_and_suspects_nobody() {
    let mut cluster = new_cluster(60);
    cluster.run(10 * SECOND);
    let (before, at) = (cluster.sent.0, cluster.now);
    cluster.run(60 * SECOND);
    let rate = (cluster.sent.0 - before) as f64 / 60.0 / 60.0;
    assert!((1.95..2.1).contains(&rate), "{rate} datagrams per second per member");
    assert_eq!(cluster.events_since(at, MemberEventKind::Suspected, |_| false), 0);
    for node in 0..60 {
        let view = cluster.member(node).view(cluster.now);
        assert_eq!((view.health_score, view.counts.stalls, view.counts.failed_probes), (0, 0, 0), "{node}");
    }
}

#[test]
fn equal_seeds_give_equal_runs_and_different_seeds_different_ones() {
    let initial = new_cluster(60);
    let simulate = |seed| {
        let mut cluster = initial.clone();
        cluster.reseed(seed);
        cluster.network.loss = 0.2;
        cluster.kill(3);
        cluster.run(30 * SECOND);
        (cluster.sent, cluster.events.len(), cluster.events.last().map(|(at, node, _)| (*at, *node)))
    };
    assert_eq!(simulate(1), simulate(1));
    assert_ne!(simulate(1), simulate(2));
}
