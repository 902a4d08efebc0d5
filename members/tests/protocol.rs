//! Failure scenarios of the whole cluster, on virtual time.

mod common;

use common::*;
use nettleworks_members::*;

/// Upper bound of the time until a failed member of such a cluster is detected, with the defaults: some
/// member probes it within two rounds, and a suspicion takes 4 s to 12 s times the logarithm of the number of
/// members.
const DETECTION_LIMIT: Micros = 40 * SECOND;

#[test]
fn twenty_of_sixty_crash_at_once_and_no_other_member_is_marked_failed() {
    let mut net = Net::converged(1, 60);
    let at = net.now;
    (0..20).for_each(|number| net.kill(3 * number));
    let all_detected = |net: &Net| (0..20).all(|number| net.all_see(3 * number, Condition::Failed));
    assert!(
        net.run_until(DETECTION_LIMIT, all_detected),
        "not all detected: {:?}",
        net.failed_since(at).len()
    );
    assert_eq!(net.failed_since(at).len(), 20);
    net.run(60 * SECOND);
    assert_eq!(net.failed_since(at).len(), 20);
    assert!(net.digests_agree());
    assert_eq!(net.node(1).members.cluster_status(), ClusterStatus::Reduced);
}

#[test]
fn a_rolling_restart_of_all_members_converges() {
    let mut net = Net::converged(2, 24);
    for number in 0..24 {
        let mut out = Vec::new();
        let now = net.now;
        net.node(number).members.leave(now, &mut out);
        net.perform(address(number), out);
        net.run(SECOND);
        assert!(net.node(number).members.is_finished());
        net.start(number, WALL_CLOCK_START_MS);
        net.run(SECOND / 2);
    }
    let converged = |net: &Net| (0..24).all(|number| net.all_see(number, Condition::Alive));
    assert!(net.run_until(20 * SECOND, converged));
    assert_eq!(net.failed_since(0).len(), 0, "a member that leaves is not reported as failed");
}

#[test]
fn a_restart_within_100_ms_is_reported_as_rejoined() {
    for set_back in [0, 3_600_000] {
        let mut net = Net::converged(3, 12);
        let at = net.now;
        net.kill(7);
        net.run(SECOND / 10);
        // The wall clock may have been set back by an hour meanwhile.
        net.start(7, WALL_CLOCK_START_MS - set_back);
        let rejoined = |net: &Net| {
            let notified = net.nodes.values().filter(|node| {
                node.events.iter().any(|(when, event)| {
                    *when > at && event.name == name(7) && event.kind == MemberEventKind::Rejoined
                })
            });
            notified.count() == 11
        };
        assert!(net.run_until(20 * SECOND, rejoined), "set back by {set_back}");
        net.run(30 * SECOND);
        assert!(net.all_see(7, Condition::Alive) && net.digests_agree());
        assert!(net.failed_since(at).is_empty());
    }
}

#[test]
fn a_flapping_member_does_not_affect_others() {
    let mut net = Net::converged(4, 20);
    let at = net.now;
    for _ in 0..10 {
        net.kill(5);
        net.run(3 * SECOND);
        net.start(5, WALL_CLOCK_START_MS);
        net.run(3 * SECOND);
    }
    let flapping = net.nodes.values().filter(|node| {
        let view = node.members.view(net.now);
        view.members.iter().any(|member| member.name == name(5) && member.is_flapping)
    });
    assert_eq!(flapping.count(), 19);
    let others: Vec<_> = net.failed_since(at).into_iter().filter(|failed| *failed != name(5)).collect();
    assert!(others.is_empty(), "{others:?}");
    net.run(90 * SECOND);
    assert!(net.all_see(5, Condition::Alive));
    let view = net.nodes[&address(1)].members.view(net.now);
    assert!(view.members.iter().all(|member| !member.is_flapping), "it no longer counts as flapping");
}

/// Each side of a partition continues by itself, and the sides merge soon after it heals.
#[test]
fn partitioned_members_merge_after_the_partition_heals() {
    let parts: [(&str, Vec<Vec<usize>>); 2] = [
        ("40 and 20", vec![(0..40).collect(), (40..60).collect()]),
        ("three", vec![(0..20).collect(), (20..40).collect(), (40..60).collect()]),
    ];
    for (case, parts) in parts {
        let mut net = Net::converged(5, 60);
        for one in 0..parts.len() {
            for other in 0..one {
                net.partition(parts[one].clone(), parts[other].clone());
            }
        }
        // Long enough that each side has marked all members of the others as failed.
        let all_failed = |net: &Net| {
            (0..parts.len()).all(|one| {
                (0..60).filter(|member| !parts[one].contains(member)).all(|member| {
                    parts[one]
                        .iter()
                        .all(|observer| net.condition(*observer, member) == Some(Condition::Failed))
                })
            })
        };
        assert!(net.run_until(180 * SECOND, all_failed), "{case}: the sides have not failed each other");
        for (number, part) in parts.iter().enumerate() {
            let expected = if part.len() > 30 { ClusterStatus::Reduced } else { ClusterStatus::Minority };
            assert_eq!(net.node(part[0]).members.cluster_status(), expected, "{case}: {number}");
        }
        net.blocked_links.clear();
        let healed = net.now;
        let converged =
            |net: &Net| (0..60).all(|number| net.all_see(number, Condition::Alive)) && net.digests_agree();
        assert!(net.run_until(30 * SECOND, converged), "{case}: not converged after the partition");
        net.run(60 * SECOND);
        assert!(net.failed_since(healed).is_empty(), "{case}: {:?}", net.failed_since(healed));
    }
}

#[test]
fn a_short_partition_heals_within_30_seconds() {
    let mut net = Net::converged(6, 60);
    net.partition(0..40, 40..60);
    net.run(30 * SECOND);
    net.blocked_links.clear();
    let converged =
        |net: &Net| (0..60).all(|number| net.all_see(number, Condition::Alive)) && net.digests_agree();
    assert!(net.run_until(30 * SECOND, converged));
}

#[test]
fn one_way_and_pairwise_link_failures_fail_no_member() {
    // Messages from 0 to 1 are lost, and indirect probes through the others succeed.
    let mut net = Net::converged(7, 12);
    let at = net.now;
    net.blocked_links.insert((address(0), address(1)));
    net.run(300 * SECOND);
    assert!(net.failed_since(at).is_empty(), "one way: {:?}", net.failed_since(at));
    // Of three members, the first and the third reach the second, but not each other.
    let mut net = Net::converged(8, 3);
    let at = net.now;
    net.partition([0], [2]);
    net.run(300 * SECOND);
    assert!(net.failed_since(at).is_empty(), "of three: {:?}", net.failed_since(at));
}

/// A member whose datagrams arrive but that receives none: it is marked as failed, and its suspicions of the
/// others fail nobody.
#[test]
fn a_member_that_receives_nothing_is_failed_and_fails_no_other() {
    let mut net = Net::converged(9, 20);
    let at = net.now;
    for other in 1..20 {
        net.blocked_links.insert((address(other), address(0)));
    }
    assert!(net.run_until(2 * DETECTION_LIMIT, |net| net.all_see(0, Condition::Failed)));
    net.run(120 * SECOND);
    let seen_by_others =
        net.nodes.iter().filter(|(who, _)| **who != address(0)).flat_map(|(_, node)| &node.events);
    let failed_others = seen_by_others
        .filter(|(when, event)| *when > at && event.kind == MemberEventKind::Failed && event.name != name(0));
    assert_eq!(failed_others.count(), 0);
    net.blocked_links.clear();
    let converged =
        |net: &Net| (0..20).all(|number| net.all_see(number, Condition::Alive)) && net.digests_agree();
    assert!(net.run_until(DETECTION_LIMIT, converged));
}

#[test]
fn a_paused_process_suspects_no_member_when_it_resumes() {
    let mut net = Net::converged(10, 20);
    let at = net.now;
    // Longer than any suspicion takes, so the others have marked it as failed.
    net.pause(4, 90 * SECOND);
    net.run(90 * SECOND);
    assert!(net.all_see(4, Condition::Failed));
    net.run(20 * SECOND);
    assert!(net.all_see(4, Condition::Alive), "it has rejoined");
    assert_eq!(net.failed_since(at).into_iter().collect::<Vec<_>>(), [name(4)]);
    assert!(net.node(4).members.counts().stalls > 0);
    let suspected = net.nodes[&address(4)].events.iter().filter(|(when, event)| {
        *when > at && matches!(event.kind, MemberEventKind::Suspected | MemberEventKind::Failed)
    });
    assert_eq!(suspected.count(), 0, "it received nothing for 90 s only because it was paused");
}

/// A process that repeatedly runs for 50 ms and then not for 700 ms must raise its health score instead of
/// failing others.
#[test]
fn an_overloaded_member_raises_its_health_score_and_fails_no_other() {
    let mut net = Net::converged(11, 20);
    let at = net.now;
    for _ in 0..160 {
        net.pause(4, 700_000);
        net.run(750_000);
    }
    assert!(net.node(4).members.view(0).health_score > 0);
    let suspected: Vec<_> = net.failed_since(at).into_iter().filter(|failed| *failed != name(4)).collect();
    assert!(suspected.is_empty(), "{suspected:?}");
}

#[test]
fn packet_loss_and_duplication_fail_no_member() {
    let mut net = Net::converged(12, 30);
    let at = net.now;
    (net.loss, net.duplication, net.delay) = (0.05, 0.1, (200, 60_000));
    net.run(300 * SECOND);
    assert!(net.failed_since(at).is_empty(), "{:?}", net.failed_since(at));
    net.loss = 0.3;
    net.run(120 * SECOND);
    (net.loss, net.duplication) = (0.0, 0.0);
    let converged =
        |net: &Net| (0..30).all(|number| net.all_see(number, Condition::Alive)) && net.digests_agree();
    assert!(net.run_until(60 * SECOND, converged));
}

/// Gossip may be lost altogether; anti-entropy still makes the lists equal.
#[test]
fn anti_entropy_repairs_lost_gossip() {
    let mut net = Net::converged(13, 40);
    // One member receives nothing while changed metadata of another is gossiped.
    net.pause(9, 30 * SECOND);
    let now = net.now;
    let metadata = Metadata { zone: "b".into(), ..Metadata::new(address(2)) };
    net.node(2).members.set_metadata(now, metadata).expect("valid metadata");
    net.run(10 * SECOND);
    // The messages that it would have read are lost.
    net.node(9).inbox.clear();
    net.run(20 * SECOND);
    let zone = |net: &Net| {
        let view = net.nodes[&address(9)].members.view(net.now);
        view.members.iter().find(|member| member.name == name(2)).map(|member| member.metadata.zone.clone())
    };
    assert!(
        net.run_until(60 * SECOND, |net| zone(net).as_deref() == Some("b") && net.digests_agree()),
        "{:?}",
        zone(&net)
    );
}

#[test]
fn a_single_member_is_alone_and_joins_when_a_seed_appears() {
    let mut net = Net::new(14, Config::default());
    net.start(1, WALL_CLOCK_START_MS);
    net.run(120 * SECOND);
    assert_eq!(net.node(1).members.cluster_status(), ClusterStatus::Alone);
    net.start(0, WALL_CLOCK_START_MS);
    assert!(net
        .run_until(40 * SECOND, |net| net.all_see(0, Condition::Alive) && net.all_see(1, Condition::Alive)));
    net.kill(0);
    assert!(net.run_until(60 * SECOND, |net| net.condition(1, 0) == Some(Condition::Failed)));
    assert_eq!(net.node(1).members.cluster_status(), ClusterStatus::Alone);
}

/// Two processes run under one name: the one with the later start keeps it, and the earlier one stops.
#[test]
fn of_two_processes_with_one_name_the_later_start_keeps_it() {
    let mut net = Net::converged(15, 8);
    net.run(5 * SECOND);
    let second = address(200);
    net.start_at(3, second, WALL_CLOCK_START_MS);
    let replaced = |net: &Net| net.nodes[&address(3)].members.cluster_status() == ClusterStatus::Replaced;
    assert!(net.run_until(20 * SECOND, replaced));
    net.run(20 * SECOND);
    for (at, node) in net.nodes.iter().filter(|(at, _)| **at != address(3)) {
        let view = node.members.view(net.now);
        let current = view.members.iter().find(|member| member.name == name(3)).expect("known");
        assert_eq!((current.metadata.address, current.condition), (second, Condition::Alive), "at {at}");
    }
}

/// The previous process of the name had a clock that was ahead, and has crashed; the new one runs at another
/// address with an earlier start. Probes of the old address go unanswered, so the new process takes the name.
#[test]
fn a_live_process_takes_over_a_name_last_used_with_a_later_start() {
    let mut net = Net::converged(16, 8);
    net.kill(3);
    net.nodes.remove(&address(3));
    net.start_at(3, address(200), WALL_CLOCK_START_MS - 3_600_000);
    let took_name = |net: &Net| {
        let mut others = net.nodes.values();
        others.all(|node| {
            let view = node.members.view(net.now);
            let current = view.members.into_iter().find(|member| member.name == name(3));
            current.is_some_and(|member| {
                member.metadata.address == address(200) && member.condition == Condition::Alive
            })
        })
    };
    assert!(net.run_until(60 * SECOND, took_name));
    net.run(60 * SECOND);
    assert!(took_name(&net) && net.digests_agree());
}

/// A gossip message with the right key and false updates.
fn forged_gossip(from: usize, updates: Vec<Update>) -> Message {
    let incarnation = Incarnation::initial(WALL_CLOCK_START_MS);
    Message {
        from: Sender { name: name(from), incarnation, address: address(from) },
        kind: MessageKind::Gossip,
        updates,
    }
}

#[test]
fn false_updates_from_a_member_with_the_key_fail_no_member() {
    let mut net = Net::converged(17, 12);
    let at = net.now;
    let incarnations = [
        Incarnation { start: u64::MAX, round: 0 },
        Incarnation { start: WALL_CLOCK_START_MS, round: u32::MAX },
        Incarnation { start: WALL_CLOCK_START_MS + 1, round: 0 },
        Incarnation { start: WALL_CLOCK_START_MS, round: 4_000 },
    ];
    for step in 0..600 {
        let incarnation = incarnations[step % incarnations.len()];
        let victim = name(1 + step % 9);
        let states = [
            ReportedState::Failed,
            ReportedState::Suspect { by: name(11) },
            ReportedState::Left,
            ReportedState::Alive(Metadata::new(address(11))),
        ];
        let state = states[step / 4 % states.len()].clone();
        let listener = address(1 + step % 11);
        let now = net.now;
        let mut out = Vec::new();
        let update = Update { name: victim, incarnation, state };
        net.nodes.get_mut(&listener).expect("there").members.handle_message(
            now,
            forged_gossip(10, vec![update]),
            &mut out,
        );
        net.perform(listener, out);
        net.run(SECOND / 10);
    }
    let converged = |net: &Net| (0..12).all(|number| net.all_see(number, Condition::Alive));
    assert!(net.run_until(60 * SECOND, converged));
    assert_eq!(net.failed_since(at).len(), 0, "{:?}", net.failed_since(at));
    for (at, node) in &net.nodes {
        assert_ne!(node.members.cluster_status(), ClusterStatus::Replaced, "{at}");
    }
}

/// The traffic of each member must not grow with the number of members.
#[test]
fn idle_traffic_per_member_is_independent_of_cluster_size() {
    let rates: Vec<f64> = [10, 40, 120]
        .into_iter()
        .map(|count| {
            let mut net = Net::converged(18, count);
            net.run(60 * SECOND);
            let before = net.bytes;
            net.run(60 * SECOND);
            (net.bytes - before) as f64 / 60.0 / count as f64
        })
        .collect();
    assert!(rates[2] <= 1.3 * rates[0], "bytes per second and member: {rates:?}");
}

#[test]
fn a_full_member_list_rejects_joins_and_counts_them() {
    let mut net = Net::new(19, Config { max_members: 6, ..Config::default() });
    (0..8).for_each(|number| net.start(number, WALL_CLOCK_START_MS));
    net.run(30 * SECOND);
    assert!(net.nodes.values().all(|node| node.members.view(0).members.len() <= 6));
    assert!(net.nodes.values().any(|node| node.members.counts().rejected_members > 0));
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || {
        let mut net = Net::converged(20, 20);
        net.loss = 0.1;
        net.kill(3);
        net.run(40 * SECOND);
        let events: Vec<_> = net.nodes.values().map(|node| node.events.clone()).collect();
        (net.sent, net.bytes, events)
    };
    assert_eq!(run(), run());
}
