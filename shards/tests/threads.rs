//! All interleavings of two or three threads, by loom: room is never made or lost, nobody waits while there is some, and
//! a request that was handed over runs or never runs, but not both.
//!
//! `cargo test -p nettleworks-shards --features loom --test threads`

use loom::sync::Arc;
use loom::thread;
use nettleworks_shards::room::{Room, Wakes};
use nettleworks_shards::ticket::Ticket;

/// Preemptions a run: all interleavings with up to so many. Without a bound these cases have millions.
const PREEMPTIONS: usize = 3;

fn check(test: impl Fn() + Sync + Send + 'static) {
    let mut model = loom::model::Builder::new();
    model.preemption_bound = Some(PREEMPTIONS);
    model.check(test);
}

/// Nothing is under way: what is leased and free is what there is, and nobody waits for what is there.
fn settled(room: &Room, shards: usize) {
    let leased: u32 = (0..shards).map(|shard| room.held(shard).lease).sum();
    assert_eq!(i64::from(room.free()) + i64::from(leased), i64::from(room.total()), "made or lost");
    let waits = (0..shards).any(|shard| room.pressed(shard));
    assert!(!waits || room.free() <= 0, "somebody waits while {} are free", room.free());
}

/// A call from its wish for room to its end. `false`: it waits, and has been given nothing yet.
fn call(room: &Room, shard: usize) -> (bool, Wakes) {
    if !room.take_or_wait(shard) && room.held(shard).spare() == 0 {
        return (false, Wakes::default());
    }
    let begun = room.begin(shard);
    if begun {
        room.end(shard);
    }
    room.wait_no_more(shard);
    (begun, room.give(shard, 0))
}

/// Two shards want the last room: one has it at a time, and if one waited it has been given it, and is woken.
#[test]
fn two_want_the_last_room() {
    check(|| {
        let room = Arc::new(Room::new(2));
        let _ = room.allow(0, 1.0);
        let other = room.clone();
        let thread = thread::spawn(move || call(&other, 1));
        let (mine, wakes) = call(&room, 0);
        let (theirs, others_wakes) = thread.join().expect("no panic");
        assert!(mine || theirs, "one of them had it");
        for (shard, went, woken) in [(0, mine, others_wakes), (1, theirs, wakes)] {
            if !went {
                // It waited, and whoever returned the room has given it on and said so.
                assert_eq!(room.held(shard).spare(), 1, "shard {shard}");
                assert!(woken.shards().any(|at| at == shard), "shard {shard} was not woken");
            }
        }
        settled(&room, 2);
    });
}

/// A budget falls while one shard begins a call and another returns what it has.
#[test]
fn a_budget_falls_while_calls_begin() {
    check(|| {
        let room = Arc::new(Room::new(2));
        let _ = room.allow(0, 2.0);
        assert_eq!((room.take(0, 1), room.take(1, 1)), (1, 1));
        let other = room.clone();
        let thread = thread::spawn(move || {
            let begun = other.begin(1);
            assert!(begun, "it is on its lease");
            other.end(1);
            let _ = other.give(1, 0);
        });
        let _ = room.allow(0, 1.0);
        let _ = room.give(0, 0);
        thread.join().expect("no panic");
        assert_eq!((room.total(), room.free()), (1, 1));
        settled(&room, 2);
    });
}

/// A shard is taken for stalled and wakes just then: what it begins stands on room that was not taken from it.
#[test]
fn a_stalled_shard_wakes_while_its_room_is_taken_back() {
    check(|| {
        let room = Arc::new(Room::new(2));
        let _ = room.allow(0, 1.0);
        assert_eq!(room.take(1, 1), 1);
        let stalled = room.clone();
        let thread = thread::spawn(move || stalled.begin(1));
        let _ = room.reclaim(1);
        let mine = room.take(0, 1) == 1 && room.begin(0);
        let theirs = thread.join().expect("no panic");
        assert!(mine != theirs, "one of the two has the one room: {mine} {theirs}");
        settled(&room, 2);
    });
}

/// One trial, whoever asks, and it is not taken back from under a call.
#[test]
fn the_trial_is_one() {
    check(|| {
        let room = Arc::new(Room::new(2));
        let other = room.clone();
        let thread = thread::spawn(move || other.take_trial(1) && other.begin(1));
        let mine = room.take_trial(0) && room.begin(0);
        let theirs = thread.join().expect("no panic");
        assert!(mine != theirs);
        let holder = usize::from(theirs);
        assert!(!room.give_trial(holder), "a call is out on it");
        assert!(!room.take_trial(1 - holder));
        room.end(holder);
        assert!(room.give_trial(holder) && room.take_trial(1 - holder));
        settled(&room, 2);
    });
}

/// A shard ends while it is being given room: nothing is lost with it.
#[test]
fn a_shard_ends_while_it_is_given_room() {
    check(|| {
        let room = Arc::new(Room::new(3));
        let _ = room.allow(0, 1.0);
        assert_eq!(room.take(0, 1), 1);
        assert!(!room.take_or_wait(1) && !room.take_or_wait(2));
        let other = room.clone();
        let thread = thread::spawn(move || other.remove(1));
        let wakes = room.give(0, 0);
        let others_wakes = thread.join().expect("no panic");
        assert_eq!(room.held(2).lease, 1, "the one that lives has it");
        assert!((wakes | others_wakes).shards().any(|shard| shard == 2));
        settled(&room, 3);
    });
}

/// Whoever hands a request over gives up just as it is taken: it runs, or surely never does.
#[test]
fn a_request_is_taken_or_withdrawn() {
    check(|| {
        let ticket = Arc::new(Ticket::default());
        let other = ticket.clone();
        let thread = thread::spawn(move || other.take());
        let withdrawn = ticket.withdraw();
        assert!(withdrawn != thread.join().expect("no panic"));
        assert!(!ticket.take() && !ticket.withdraw(), "it is decided for good");
    });
}
