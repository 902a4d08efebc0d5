//! The machine, and the two sides of a lease, by hand and at random.

use nettleworks_council::*;
use proptest::prelude::*;

fn life(name: &str, start: u64) -> Life {
    Life { name: Name::new(name).expect("a name"), start }
}

fn role(text: &str) -> Role {
    Role(text.to_owned())
}

fn admitted(lives: &[Life]) -> State {
    let mut state = State::new(Bounds::default());
    for who in lives {
        assert!(matches!(
            state.apply(&Command::Admit { who: who.clone(), zone: "a".into() }),
            Change::Epoch(_)
        ));
    }
    state
}

const TERMS: Terms = Terms { length: 10_000_000, drift: 50_000 };

#[test]
fn a_lease_is_shorter_for_its_holder_than_for_its_keeper() {
    assert_eq!((TERMS.held_for(), TERMS.kept_for()), (9_500_000, 10_500_000));
    assert!(Terms { drift: 500_001, ..TERMS }.check().is_err());
    assert!(Terms { length: 9_999, ..TERMS }.check().is_err());
    assert!(Terms::default().check().is_ok());
}

/// Its clock 2% slow, the keeper's 2% fast, by true time: it ends before it is taken back.
#[test]
fn clocks_two_per_cent_off_are_borne() {
    let who = life("a", 1);
    let mut state = admitted(std::slice::from_ref(&who));
    let mut holder = Holder::new(role("r"), who, TERMS);
    let mut keeper = Keeper::default();
    keeper.heed(0, &state, true);
    state.apply(&holder.ask(0, &state).expect("it is free"));
    holder.heed(&state);
    keeper.heed(0, &state, true);
    let (slow, fast) = (|at: Micros| at * 98 / 100, |at: Micros| at * 102 / 100);
    let last = (0..12_000).map(|ms| ms * 1_000).filter(|at| holder.holds(slow(*at)).is_some()).max();
    let first = (0..12_000).map(|ms| ms * 1_000).find(|at| !keeper.due(fast(*at), &state).is_empty());
    let (last, first) = (last.expect("it holds"), first.expect("it is taken back"));
    assert!(last < first, "{last} and {first}");
    assert!(first - last < 2_000_000, "no longer than clocks want");
}

/// Stopped for longer than its lease, it acts on nothing when it goes on; the next one's fence is greater.
#[test]
fn one_that_was_stopped_holds_nothing_when_it_goes_on() {
    let (a, b) = (life("a", 1), life("b", 1));
    let mut state = admitted(&[a.clone(), b.clone()]);
    let (mut first, mut second) = (Holder::new(role("r"), a, TERMS), Holder::new(role("r"), b, TERMS));
    let mut keeper = Keeper::default();
    keeper.heed(0, &state, true);
    state.apply(&first.ask(0, &state).expect("it is free"));
    first.heed(&state);
    let fence = first.holds(1).expect("it holds");
    keeper.heed(0, &state, true);
    assert_eq!(second.ask(5_000_000, &state), None, "it is taken");
    let due = keeper.due(10_500_000, &state);
    assert_eq!(due.len(), 1);
    // What it asked before it was stopped comes only now: it is too late, or comes first and keeps it.
    let late = first.ask(9_000_000, &state).expect("more time");
    let mut other = state.clone();
    other.apply(&late);
    assert!(matches!(other.apply(&due[0]), Change::Refused(Refusal::Late)));
    state.apply(&due[0]);
    assert!(matches!(state.apply(&late), Change::Refused(Refusal::NoLease)));
    state.apply(&second.ask(10_600_000, &state).expect("it is free"));
    second.heed(&state);
    let next = second.holds(10_600_001).expect("it holds");
    // It has heard nothing of all this.
    assert_eq!(first.holds(10_600_001), None);
    assert!(next > fence);
    first.heed(&state);
    assert_eq!(first.holds(1), None);
}

/// An ask that was lost on its way for long and then taken gives no time that its asker does not know of.
#[test]
fn a_grant_that_comes_out_of_the_past_counts_from_when_it_was_asked() {
    let who = life("a", 1);
    let mut state = admitted(std::slice::from_ref(&who));
    let mut holder = Holder::new(role("r"), who.clone(), TERMS);
    let old = holder.ask(0, &state).expect("it is free");
    let _lost = holder.ask(8_000_000, &state).expect("it is free");
    state.apply(&old);
    holder.heed(&state);
    assert_eq!(holder.until(), Some(9_500_000), "the old one counted");
    // One of a life that is over gives nothing to the next.
    let mut next = Holder::new(role("r"), life("a", 2), TERMS);
    next.heed(&state);
    assert_eq!(next.holds(0), None);
    state.apply(&Command::Admit { who: life("a", 2), zone: String::new() });
    assert_eq!(next.ask(1, &state), None, "its earlier life's time is not over");
    assert!(state.roles().contains_key(&role("r")));
}

#[test]
fn who_is_dismissed_gets_no_more_time_and_keeps_what_it_has() {
    let who = life("a", 1);
    let mut state = admitted(std::slice::from_ref(&who));
    let mut holder = Holder::new(role("r"), who.clone(), TERMS);
    state.apply(&holder.ask(0, &state).expect("it is free"));
    holder.heed(&state);
    let more = holder.ask(3_000_000, &state).expect("more time");
    let epoch = state.epoch();
    assert_eq!(state.apply(&Command::Dismiss { who: who.clone() }), Change::Epoch(epoch + 1));
    assert!(matches!(state.apply(&more), Change::Refused(Refusal::NoMember)));
    assert_eq!(holder.ask(4_000_000, &state), None);
    holder.heed(&state);
    assert!(holder.holds(9_499_999).is_some() && holder.holds(9_500_000).is_none());
    assert!(state.roles().contains_key(&role("r")), "nobody else may have it before its time is over");
    assert!(matches!(state.apply(&Command::Dismiss { who }), Change::Refused(Refusal::NoMember)));
}

/// Whoever begins to lead has seen nothing: each lease has its whole time from then on.
#[test]
fn a_new_leader_takes_nothing_back_early() {
    let who = life("a", 1);
    let mut state = admitted(std::slice::from_ref(&who));
    let mut holder = Holder::new(role("r"), who, TERMS);
    state.apply(&holder.ask(0, &state).expect("it is free"));
    let mut keeper = Keeper::default();
    keeper.heed(0, &state, true);
    keeper.heed(5_000_000, &state, false);
    assert!(
        keeper.due(60_000_000, &state).is_empty() && keeper.next_at(&state).is_none(),
        "it does not lead"
    );
    keeper.heed(9_000_000, &state, true);
    assert!(keeper.due(19_499_999, &state).is_empty());
    assert_eq!(keeper.next_at(&state), Some(19_500_000));
    assert_eq!(keeper.due(19_500_000, &state).len(), 1);
}

#[test]
fn bounds_are_kept_and_said() {
    let mut state = State::new(Bounds { members: 2, roles: 1 });
    let admit = |name: &str, start| Command::Admit { who: life(name, start), zone: String::new() };
    assert_eq!(state.apply(&admit("a", 1)), Change::Epoch(1));
    assert_eq!(state.apply(&admit("b", 1)), Change::Epoch(2));
    assert_eq!(state.apply(&admit("c", 1)), Change::Refused(Refusal::Bounds));
    assert_eq!(state.apply(&admit("a", 1)), Change::Refused(Refusal::Known));
    assert_eq!(state.apply(&admit("a", 2)), Change::Epoch(3), "a later life takes its place");
    let grant =
        |name: &str, text: &str, terms| Command::Grant { role: role(text), to: life(name, 1), ask: 1, terms };
    assert_eq!(state.apply(&grant("a", "r", TERMS)), Change::Refused(Refusal::NoMember), "that life is over");
    assert_eq!(state.apply(&grant("b", "", TERMS)), Change::Refused(Refusal::Bounds));
    assert_eq!(state.apply(&grant("b", "r", Terms { length: 1, ..TERMS })), Change::Refused(Refusal::Bounds));
    assert!(matches!(state.apply(&grant("b", "r", TERMS)), Change::Granted { fence: 1, .. }));
    assert_eq!(state.apply(&grant("b", "s", TERMS)), Change::Refused(Refusal::Bounds));
}

fn command() -> impl Strategy<Value = Command> {
    let who = || {
        (prop_oneof![Just("a"), Just("b"), Just("c")], 1u64..4).prop_map(|(name, start)| life(name, start))
    };
    let which = || prop_oneof![Just("r"), Just("s")].prop_map(role);
    prop_oneof![
        who().prop_map(|who| Command::Admit { who, zone: "z".into() }),
        who().prop_map(|who| Command::Dismiss { who }),
        (which(), who(), 1u64..9).prop_map(|(role, to, ask)| Command::Grant { role, to, ask, terms: TERMS }),
        (which(), 1u64..9, 1u64..9).prop_map(|(role, fence, ask)| Command::Renew { role, fence, ask }),
        (which(), 1u64..9).prop_map(|(role, fence)| Command::Release { role, fence }),
        (which(), 1u64..9, 1u64..9).prop_map(|(role, fence, ask)| Command::Expire { role, fence, ask }),
    ]
}

proptest! {
    /// Whatever the log holds: epochs and fences only grow, by one and as changes are; what was refused changed nothing; a
    /// role changes hands only over being free.
    #[test]
    fn any_log_keeps_epochs_and_fences_in_order(log in proptest::collection::vec(command(), 1..80)) {
        let mut state = State::new(Bounds::default());
        let mut fences = 0;
        for command in &log {
            let before = state.clone();
            match state.apply(command) {
                Change::Epoch(epoch) => {
                    prop_assert_eq!(epoch, before.epoch() + 1);
                    prop_assert_ne!(before.members(), state.members());
                    prop_assert_eq!(before.roles(), state.roles());
                }
                Change::Granted { role, fence } => {
                    prop_assert!(fence > fences && !before.roles().contains_key(&role));
                    fences = fence;
                    let held = &state.roles()[&role];
                    prop_assert!(state.is_member(&held.by));
                }
                Change::Renewed { role, fence } => {
                    let (was, is) = (&before.roles()[&role], &state.roles()[&role]);
                    prop_assert!(was.by == is.by && is.fence == fence && was.fence == fence && was.ask < is.ask);
                }
                Change::Freed { role, fence } => {
                    prop_assert_eq!(before.roles()[&role].fence, fence);
                    prop_assert!(!state.roles().contains_key(&role));
                }
                Change::Refused(_) => prop_assert_eq!(&before, &state),
            }
            prop_assert_eq!(before.epoch() == state.epoch(), before.members() == state.members());
        }
    }
}
