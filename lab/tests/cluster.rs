//! Members in their hundreds, on virtual time.

use nettleworks_lab::cluster::{name, Cluster};
use nettleworks_members::{Condition, Config, What};

const SECOND: u64 = 1_000_000;

fn crowd(count: usize) -> Cluster {
    Cluster::converged(count, 1, &Config::default()).expect("they agree")
}

#[test]
fn two_hundred_notice_one_that_dies_and_forty_that_die_at_once() {
    let whole = crowd(200);
    let mut one = whole.clone();
    let at = one.now;
    one.kill(77);
    let took = one.run_until(60 * SECOND, |crowd| crowd.all_report(77, Condition::Failed)).expect("noticed");
    assert!(took < 30 * SECOND, "{took}");
    let mut many = whole.clone();
    (0..40).for_each(|node| many.kill(5 * node));
    let all = |crowd: &Cluster| (0..40).all(|node| crowd.all_report(5 * node, Condition::Failed));
    assert!(many.run_until(90 * SECOND, all).is_some());
    let dead = |who: &nettleworks_members::Name| (0..40).any(|node| *who == name(5 * node));
    assert_eq!(many.events_since(at, What::Failed, dead), 0);
    assert_eq!(one.events_since(at, What::Failed, |who| *who == name(77)), 0);
}

#[test]
fn two_hundred_in_two_parts_agree_soon_after_they_meet() {
    let mut crowd = crowd(200);
    crowd.partition(|node| u8::from(node % 3 == 0));
    crowd.run(30 * SECOND);
    let at = crowd.now;
    crowd.partition(|_| 0);
    let whole = |crowd: &Cluster| {
        crowd.has_converged() && (0..200).all(|node| crowd.all_report(node, Condition::Alive))
    };
    let took = crowd.run_until(60 * SECOND, whole).expect("they agree");
    assert!(took < 30 * SECOND, "{took} from {at}");
}

/// Nothing happens: each asks one a second and is asked by one, and nobody has a reason to doubt itself.
#[test]
fn a_calm_crowd_asks_once_a_second_and_doubts_nobody() {
    let mut crowd = crowd(60);
    crowd.run(10 * SECOND);
    let (before, at) = (crowd.sent.0, crowd.now);
    crowd.run(60 * SECOND);
    let rate = (crowd.sent.0 - before) as f64 / 60.0 / 60.0;
    assert!((1.95..2.1).contains(&rate), "{rate} datagrams a second a member");
    assert_eq!(crowd.events_since(at, What::Suspected, |_| false), 0);
    for node in 0..60 {
        let view = crowd.member(node).view(crowd.now);
        assert_eq!((view.doubt, view.counts.stalls, view.counts.unanswered), (0, 0, 0), "{node}");
    }
}

#[test]
fn one_seed_plays_one_course_and_another_another() {
    let whole = crowd(60);
    let play = |seed| {
        let mut crowd = whole.clone();
        crowd.reseed(seed);
        crowd.network.loss = 0.2;
        crowd.kill(3);
        crowd.run(30 * SECOND);
        (crowd.sent, crowd.events.len(), crowd.events.last().map(|(at, who, _)| (*at, *who)))
    };
    assert_eq!(play(1), play(1));
    assert_ne!(play(1), play(2));
}
