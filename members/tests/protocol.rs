//! The hard cases of one list of members, on virtual time.

mod common;

use common::*;
use nettleworks_members::*;

/// How long a dead one may stay unnoticed among so many, by the defaults: it is asked within two rounds of questions by
/// somebody, and a suspicion takes 4 s to 12 s times the logarithm of their number.
const NOTICED: Micros = 40 * SECOND;

#[test]
fn twenty_of_sixty_die_at_once_and_nobody_else_is_taken_for_dead() {
    let mut net = Net::agreed(1, 60);
    let at = net.now;
    (0..20).for_each(|number| net.kill(3 * number));
    let all = |net: &Net| (0..20).all(|number| net.everyone(3 * number, Condition::Failed));
    assert!(net.until(NOTICED, all), "not all noticed: {:?}", net.failed_since(at).len());
    assert_eq!(net.failed_since(at).len(), 20);
    net.run(60 * SECOND);
    assert_eq!(net.failed_since(at).len(), 20);
    assert!(net.agree());
    assert_eq!(net.node(1).members.standing(), Standing::Reduced);
}

#[test]
fn a_fleet_that_all_restarts_in_turn_is_whole_again() {
    let mut net = Net::agreed(2, 24);
    for number in 0..24 {
        let mut out = Vec::new();
        let now = net.now;
        net.node(number).members.leave(now, &mut out);
        net.carry(address(number), out);
        net.run(SECOND);
        assert!(net.node(number).members.is_over());
        net.start(number, WALL);
        net.run(SECOND / 2);
    }
    let whole = |net: &Net| (0..24).all(|number| net.everyone(number, Condition::Alive));
    assert!(net.until(20 * SECOND, whole));
    assert_eq!(net.failed_since(0).len(), 0, "whoever leaves does not fail");
}

#[test]
fn the_same_name_is_back_on_a_new_start_within_a_tenth_of_a_second() {
    for set_back in [0, 3_600_000] {
        let mut net = Net::agreed(3, 12);
        let at = net.now;
        net.kill(7);
        net.run(SECOND / 10);
        // Its wall clock may have been set back by an hour meanwhile.
        net.start(7, WALL - set_back);
        let back = |net: &Net| {
            let told = net.nodes.values().filter(|node| {
                node.news
                    .iter()
                    .any(|(when, news)| *when > at && news.name == name(7) && news.what == What::Back)
            });
            told.count() == 11
        };
        assert!(net.until(20 * SECOND, back), "set back by {set_back}");
        net.run(30 * SECOND);
        assert!(net.everyone(7, Condition::Alive) && net.agree());
        assert!(net.failed_since(at).is_empty());
    }
}

#[test]
fn one_that_comes_and_goes_troubles_nobody_else() {
    let mut net = Net::agreed(4, 20);
    let at = net.now;
    for _ in 0..10 {
        net.kill(5);
        net.run(3 * SECOND);
        net.start(5, WALL);
        net.run(3 * SECOND);
    }
    let unsettled = net.nodes.values().filter(|node| {
        let view = node.members.view(net.now);
        view.members.iter().any(|of| of.name == name(5) && of.unsettled)
    });
    assert_eq!(unsettled.count(), 19);
    let others: Vec<_> = net.failed_since(at).into_iter().filter(|of| *of != name(5)).collect();
    assert!(others.is_empty(), "{others:?}");
    net.run(90 * SECOND);
    assert!(net.everyone(5, Condition::Alive));
    let view = net.nodes[&address(1)].members.view(net.now);
    assert!(view.members.iter().all(|of| !of.unsettled), "it has settled");
}

/// Both sides go on by themselves, and are one again soon after the cut is over.
#[test]
fn a_fleet_in_parts_is_one_again_after_the_cut() {
    let parts: [(&str, Vec<Vec<usize>>); 2] = [
        ("40 and 20", vec![(0..40).collect(), (40..60).collect()]),
        ("three", vec![(0..20).collect(), (20..40).collect(), (40..60).collect()]),
    ];
    for (what, parts) in parts {
        let mut net = Net::agreed(5, 60);
        for one in 0..parts.len() {
            for other in 0..one {
                net.split(parts[one].clone(), parts[other].clone());
            }
        }
        // Long enough that each side is sure of the other's end.
        let sure = |net: &Net| {
            (0..parts.len()).all(|one| {
                (0..60)
                    .filter(|of| !parts[one].contains(of))
                    .all(|of| parts[one].iter().all(|by| net.condition(*by, of) == Some(Condition::Failed)))
            })
        };
        assert!(net.until(180 * SECOND, sure), "{what}: not sure of each other");
        for (number, part) in parts.iter().enumerate() {
            let expected = if part.len() > 30 { Standing::Reduced } else { Standing::Minority };
            assert_eq!(net.node(part[0]).members.standing(), expected, "{what}: {number}");
        }
        net.cut.clear();
        let healed = net.now;
        let whole = |net: &Net| (0..60).all(|number| net.everyone(number, Condition::Alive)) && net.agree();
        assert!(net.until(30 * SECOND, whole), "{what}: not whole after the cut");
        net.run(60 * SECOND);
        assert!(net.failed_since(healed).is_empty(), "{what}: {:?}", net.failed_since(healed));
    }
}

#[test]
fn a_short_cut_leaves_nobody_failed_for_long() {
    let mut net = Net::agreed(6, 60);
    net.split(0..40, 40..60);
    net.run(30 * SECOND);
    net.cut.clear();
    let whole = |net: &Net| (0..60).all(|number| net.everyone(number, Condition::Alive)) && net.agree();
    assert!(net.until(30 * SECOND, whole));
}

#[test]
fn a_cut_one_way_and_one_between_two_alone_fail_nobody() {
    // 0 hears 1 and 1 hears 0 not: others hear both.
    let mut net = Net::agreed(7, 12);
    let at = net.now;
    net.cut.insert((address(0), address(1)));
    net.run(300 * SECOND);
    assert!(net.failed_since(at).is_empty(), "one way: {:?}", net.failed_since(at));
    // And of three: A and C hear B, and not each other.
    let mut net = Net::agreed(8, 3);
    let at = net.now;
    net.split([0], [2]);
    net.run(300 * SECOND);
    assert!(net.failed_since(at).is_empty(), "of three: {:?}", net.failed_since(at));
}

/// It can say what it likes and hears nothing: it is the one that is taken out, whatever it says of the others.
#[test]
fn one_that_is_deaf_is_taken_out_and_not_the_others() {
    let mut net = Net::agreed(9, 20);
    let at = net.now;
    for other in 1..20 {
        net.cut.insert((address(other), address(0)));
    }
    assert!(net.until(2 * NOTICED, |net| net.everyone(0, Condition::Failed)));
    net.run(120 * SECOND);
    let seen = net.nodes.iter().filter(|(who, _)| **who != address(0)).flat_map(|(_, node)| &node.news);
    let others = seen.filter(|(when, news)| *when > at && news.what == What::Failed && news.name != name(0));
    assert_eq!(others.count(), 0);
    net.cut.clear();
    let whole = |net: &Net| (0..20).all(|number| net.everyone(number, Condition::Alive)) && net.agree();
    assert!(net.until(NOTICED, whole));
}

#[test]
fn one_that_was_stopped_accuses_nobody_when_it_goes_on() {
    let mut net = Net::agreed(10, 20);
    let at = net.now;
    // Longer than any suspicion takes: the others are sure of its end.
    net.stop(4, 90 * SECOND);
    net.run(90 * SECOND);
    assert!(net.everyone(4, Condition::Failed));
    net.run(20 * SECOND);
    assert!(net.everyone(4, Condition::Alive), "it is back");
    assert_eq!(net.failed_since(at).into_iter().collect::<Vec<_>>(), [name(4)]);
    assert!(net.node(4).members.counts().stalls > 0);
    let accused = net.nodes[&address(4)]
        .news
        .iter()
        .filter(|(when, news)| *when > at && matches!(news.what, What::Suspected | What::Failed));
    assert_eq!(accused.count(), 0, "it heard nobody for 90 s, and that was its own doing");
}

/// It runs for 50 ms and then not for 700 ms, again and again: it doubts itself, and fails nobody.
#[test]
fn a_busy_one_doubts_itself_before_it_accuses_others() {
    let mut net = Net::agreed(11, 20);
    let at = net.now;
    for _ in 0..160 {
        net.stop(4, 700_000);
        net.run(750_000);
    }
    assert!(net.node(4).members.view(0).doubt > 0);
    let accused: Vec<_> = net.failed_since(at).into_iter().filter(|of| *of != name(4)).collect();
    assert!(accused.is_empty(), "{accused:?}");
}

#[test]
fn losses_and_doubles_fail_nobody() {
    let mut net = Net::agreed(12, 30);
    let at = net.now;
    (net.loss, net.doubled, net.delay) = (0.05, 0.1, (200, 60_000));
    net.run(300 * SECOND);
    assert!(net.failed_since(at).is_empty(), "{:?}", net.failed_since(at));
    net.loss = 0.3;
    net.run(120 * SECOND);
    (net.loss, net.doubled) = (0.0, 0.0);
    let whole = |net: &Net| (0..30).all(|number| net.everyone(number, Condition::Alive)) && net.agree();
    assert!(net.until(60 * SECOND, whole));
}

/// News may be lost altogether: lists that differ are made equal all the same.
#[test]
fn views_that_differ_are_made_equal() {
    let mut net = Net::agreed(13, 40);
    // One hears nothing while the card of another changes and goes round.
    net.stop(9, 30 * SECOND);
    let now = net.now;
    let card = Card { zone: "b".into(), ..Card::at(address(2)) };
    net.node(2).members.set_card(now, card).expect("a good card");
    net.run(10 * SECOND);
    // What it would have read is lost.
    net.node(9).inbox.clear();
    net.run(20 * SECOND);
    let zone = |net: &Net| {
        let view = net.nodes[&address(9)].members.view(net.now);
        view.members.iter().find(|of| of.name == name(2)).map(|of| of.card.zone.clone())
    };
    assert!(
        net.until(60 * SECOND, |net| zone(net).as_deref() == Some("b") && net.agree()),
        "{:?}",
        zone(&net)
    );
}

#[test]
fn one_alone_stands_alone_and_is_let_in_when_somebody_comes() {
    let mut net = Net::new(14, Config::default());
    net.start(1, WALL);
    net.run(120 * SECOND);
    assert_eq!(net.node(1).members.standing(), Standing::Alone);
    net.start(0, WALL);
    assert!(
        net.until(40 * SECOND, |net| net.everyone(0, Condition::Alive) && net.everyone(1, Condition::Alive))
    );
    net.kill(0);
    assert!(net.until(60 * SECOND, |net| net.condition(1, 0) == Some(Condition::Failed)));
    assert_eq!(net.node(1).members.standing(), Standing::Alone);
}

/// Two processes under one name: the later life has it, and the earlier says nothing more.
#[test]
fn of_two_with_one_name_the_later_life_has_it() {
    let mut net = Net::agreed(15, 8);
    net.run(5 * SECOND);
    let second = address(200);
    net.start_at(3, second, WALL);
    let told = |net: &Net| net.nodes[&address(3)].members.standing() == Standing::Replaced;
    assert!(net.until(20 * SECOND, told));
    net.run(20 * SECOND);
    for (at, node) in net.nodes.iter().filter(|(at, _)| **at != address(3)) {
        let view = node.members.view(net.now);
        let of = view.members.iter().find(|of| of.name == name(3)).expect("known");
        assert_eq!((of.card.address, of.condition), (second, Condition::Alive), "at {at}");
    }
}

/// The earlier life is dead, its clock was ahead, and the new one is elsewhere: nobody is there to have the name.
#[test]
fn a_name_whose_last_life_was_ahead_is_had_by_the_one_that_is_there() {
    let mut net = Net::agreed(16, 8);
    net.kill(3);
    net.nodes.remove(&address(3));
    net.start_at(3, address(200), WALL - 3_600_000);
    let there = |net: &Net| {
        let mut others = net.nodes.values();
        others.all(|node| {
            let view = node.members.view(net.now);
            let of = view.members.into_iter().find(|of| of.name == name(3));
            of.is_some_and(|of| of.card.address == address(200) && of.condition == Condition::Alive)
        })
    };
    assert!(net.until(60 * SECOND, there));
    net.run(60 * SECOND);
    assert!(there(&net) && net.agree());
}

/// A message from a member with the key that says what is not so.
fn lie(from: usize, updates: Vec<Update>) -> Message {
    let incarnation = Incarnation::starting(WALL);
    Message {
        from: Sender { name: name(from), incarnation, address: address(from) },
        kind: Kind::Gossip,
        updates,
    }
}

#[test]
fn a_liar_takes_nobody_out() {
    let mut net = Net::agreed(17, 12);
    let at = net.now;
    let far = [
        Incarnation { start: u64::MAX, round: 0 },
        Incarnation { start: WALL, round: u32::MAX },
        Incarnation { start: WALL + 1, round: 0 },
        Incarnation { start: WALL, round: 4_000 },
    ];
    for turn in 0..600 {
        let incarnation = far[turn % far.len()];
        let victim = name(1 + turn % 9);
        let claims = [
            Claim::Failed,
            Claim::Suspect { by: name(11) },
            Claim::Left,
            Claim::Alive(Card::at(address(11))),
        ];
        let claim = claims[turn / 4 % claims.len()].clone();
        let listener = address(1 + turn % 11);
        let now = net.now;
        let mut out = Vec::new();
        let update = Update { name: victim, incarnation, claim };
        net.nodes.get_mut(&listener).expect("there").members.hear(now, lie(10, vec![update]), &mut out);
        net.carry(listener, out);
        net.run(SECOND / 10);
    }
    let whole = |net: &Net| (0..12).all(|number| net.everyone(number, Condition::Alive));
    assert!(net.until(60 * SECOND, whole));
    assert_eq!(net.failed_since(at).len(), 0, "{:?}", net.failed_since(at));
    for (at, node) in &net.nodes {
        assert_ne!(node.members.standing(), Standing::Replaced, "{at}");
    }
}

/// What is sent does not grow with how many there are.
#[test]
fn a_calm_fleet_sends_the_same_whatever_its_size() {
    let rates: Vec<f64> = [10, 40, 120]
        .into_iter()
        .map(|count| {
            let mut net = Net::agreed(18, count);
            net.run(60 * SECOND);
            let before = net.bytes;
            net.run(60 * SECOND);
            (net.bytes - before) as f64 / 60.0 / count as f64
        })
        .collect();
    assert!(rates[2] <= 1.3 * rates[0], "bytes a second a member: {rates:?}");
}

#[test]
fn a_full_list_lets_no_more_in_and_says_so() {
    let mut net = Net::new(19, Config { most: 6, ..Config::default() });
    (0..8).for_each(|number| net.start(number, WALL));
    net.run(30 * SECOND);
    assert!(net.nodes.values().all(|node| node.members.view(0).members.len() <= 6));
    assert!(net.nodes.values().any(|node| node.members.counts().no_room > 0));
}

#[test]
fn one_seed_plays_one_course() {
    let play = || {
        let mut net = Net::agreed(20, 20);
        net.loss = 0.1;
        net.kill(3);
        net.run(40 * SECOND);
        let news: Vec<_> = net.nodes.values().map(|node| node.news.clone()).collect();
        (net.sent, net.bytes, news)
    };
    assert_eq!(play(), play());
}
