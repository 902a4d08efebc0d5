//! The machine, and the two sides of a lease, by hand and at random.

use nettleworks_council::*;
use proptest::prelude::*;

fn instance(name: &str, start: u64) -> ProcessInstance {
    ProcessInstance { name: Name::new(name).expect("a name"), start }
}

fn role(text: &str) -> Role {
    Role(text.to_owned())
}

fn state_with_members(instances: &[ProcessInstance]) -> State {
    let mut state = State::new(Bounds::default());
    for process in instances {
        assert!(matches!(
            state.apply(&Command::AddMember { process: process.clone(), zone: "a".into() }),
            Change::NewEpoch(_)
        ));
    }
    state
}

const TIMING: LeaseTiming = LeaseTiming { duration: 10_000_000, max_drift_ppm: 50_000 };

#[test]
fn a_lease_is_shorter_for_its_holder_than_for_its_keeper() {
    assert_eq!((TIMING.holder_duration(), TIMING.expiry_delay()), (9_500_000, 10_500_000));
    assert!(LeaseTiming { max_drift_ppm: 500_001, ..TIMING }.validate().is_err());
    assert!(LeaseTiming { duration: 9_999, ..TIMING }.validate().is_err());
    assert!(LeaseTiming::default().validate().is_ok());
}

/// Its clock 2% slow, the keeper's 2% fast, by true time: it ends before it is taken back.
#[test]
fn clocks_two_per_cent_off_are_borne() {
    let process = instance("a", 1);
    let mut state = state_with_members(std::slice::from_ref(&process));
    let mut lease_client = LeaseClient::new(role("r"), process, TIMING);
    let mut tracker = ExpiryTracker::default();
    tracker.observe(0, &state, true);
    state.apply(&lease_client.request_lease(0, &state).expect("it is free"));
    lease_client.observe(&state);
    tracker.observe(0, &state, true);
    let (slow, fast) = (|at: Micros| at * 98 / 100, |at: Micros| at * 102 / 100);
    let last =
        (0..12_000).map(|ms| ms * 1_000).filter(|at| lease_client.fencing_token(slow(*at)).is_some()).max();
    let first =
        (0..12_000).map(|ms| ms * 1_000).find(|at| !tracker.expire_commands(fast(*at), &state).is_empty());
    let (last, first) = (last.expect("it holds"), first.expect("it is taken back"));
    assert!(last < first, "{last} and {first}");
    assert!(first - last < 2_000_000, "no longer than clocks want");
}

/// Stopped for longer than its lease, it acts on nothing when it goes on; the next one's fence is greater.
#[test]
fn one_that_was_stopped_holds_nothing_when_it_goes_on() {
    let (a, b) = (instance("a", 1), instance("b", 1));
    let mut state = state_with_members(&[a.clone(), b.clone()]);
    let (mut first, mut second) =
        (LeaseClient::new(role("r"), a, TIMING), LeaseClient::new(role("r"), b, TIMING));
    let mut tracker = ExpiryTracker::default();
    tracker.observe(0, &state, true);
    state.apply(&first.request_lease(0, &state).expect("it is free"));
    first.observe(&state);
    let fencing_token = first.fencing_token(1).expect("it holds");
    tracker.observe(0, &state, true);
    assert_eq!(second.request_lease(5_000_000, &state), None, "it is taken");
    let expired = tracker.expire_commands(10_500_000, &state);
    assert_eq!(expired.len(), 1);
    // What it asked before it was stopped comes only now: it is too late, or comes first and keeps it.
    let late = first.request_lease(9_000_000, &state).expect("more time");
    let mut other = state.clone();
    other.apply(&late);
    assert!(matches!(other.apply(&expired[0]), Change::Refused(Refusal::Stale)));
    state.apply(&expired[0]);
    assert!(matches!(state.apply(&late), Change::Refused(Refusal::NoLease)));
    state.apply(&second.request_lease(10_600_000, &state).expect("it is free"));
    second.observe(&state);
    let next = second.fencing_token(10_600_001).expect("it holds");
    // It has heard nothing of all this.
    assert_eq!(first.fencing_token(10_600_001), None);
    assert!(next > fencing_token);
    first.observe(&state);
    assert_eq!(first.fencing_token(1), None);
}

/// An ask that was lost on its way for long and then taken gives no time that its asker does not know of.
#[test]
fn a_grant_that_comes_out_of_the_past_counts_from_when_it_was_asked() {
    let process = instance("a", 1);
    let mut state = state_with_members(std::slice::from_ref(&process));
    let mut lease_client = LeaseClient::new(role("r"), process.clone(), TIMING);
    let old = lease_client.request_lease(0, &state).expect("it is free");
    let _lost = lease_client.request_lease(8_000_000, &state).expect("it is free");
    state.apply(&old);
    lease_client.observe(&state);
    assert_eq!(lease_client.valid_until(), Some(9_500_000), "the old one counted");
    // One of a life that is over gives nothing to the next.
    let mut next = LeaseClient::new(role("r"), instance("a", 2), TIMING);
    next.observe(&state);
    assert_eq!(next.fencing_token(0), None);
    state.apply(&Command::AddMember { process: instance("a", 2), zone: String::new() });
    assert_eq!(next.request_lease(1, &state), None, "its earlier life's time is not over");
    assert!(state.leases().contains_key(&role("r")));
}

#[test]
fn who_is_dismissed_gets_no_more_time_and_keeps_what_it_has() {
    let process = instance("a", 1);
    let mut state = state_with_members(std::slice::from_ref(&process));
    let mut lease_client = LeaseClient::new(role("r"), process.clone(), TIMING);
    state.apply(&lease_client.request_lease(0, &state).expect("it is free"));
    lease_client.observe(&state);
    let more = lease_client.request_lease(3_000_000, &state).expect("more time");
    let epoch = state.epoch();
    assert_eq!(state.apply(&Command::RemoveMember { process: process.clone() }), Change::NewEpoch(epoch + 1));
    assert!(matches!(state.apply(&more), Change::Refused(Refusal::NotMember)));
    assert_eq!(lease_client.request_lease(4_000_000, &state), None);
    lease_client.observe(&state);
    assert!(
        lease_client.fencing_token(9_499_999).is_some() && lease_client.fencing_token(9_500_000).is_none()
    );
    assert!(state.leases().contains_key(&role("r")), "nobody else may have it before its time is over");
    assert!(matches!(state.apply(&Command::RemoveMember { process }), Change::Refused(Refusal::NotMember)));
}

/// Whoever begins to lead has seen nothing: each lease has its whole time from then on.
#[test]
fn a_new_leader_takes_nothing_back_early() {
    let process = instance("a", 1);
    let mut state = state_with_members(std::slice::from_ref(&process));
    let mut lease_client = LeaseClient::new(role("r"), process, TIMING);
    state.apply(&lease_client.request_lease(0, &state).expect("it is free"));
    let mut tracker = ExpiryTracker::default();
    tracker.observe(0, &state, true);
    tracker.observe(5_000_000, &state, false);
    assert!(
        tracker.expire_commands(60_000_000, &state).is_empty() && tracker.next_expiry(&state).is_none(),
        "it does not lead"
    );
    tracker.observe(9_000_000, &state, true);
    assert!(tracker.expire_commands(19_499_999, &state).is_empty());
    assert_eq!(tracker.next_expiry(&state), Some(19_500_000));
    assert_eq!(tracker.expire_commands(19_500_000, &state).len(), 1);
}

#[test]
fn bounds_are_kept_and_said() {
    let mut state = State::new(Bounds { max_members: 2, max_leases: 1 });
    let admit =
        |name: &str, start| Command::AddMember { process: instance(name, start), zone: String::new() };
    assert_eq!(state.apply(&admit("a", 1)), Change::NewEpoch(1));
    assert_eq!(state.apply(&admit("b", 1)), Change::NewEpoch(2));
    assert_eq!(state.apply(&admit("c", 1)), Change::Refused(Refusal::OutOfBounds));
    assert_eq!(state.apply(&admit("a", 1)), Change::Refused(Refusal::NotNewer));
    assert_eq!(state.apply(&admit("a", 2)), Change::NewEpoch(3), "a later life takes its place");
    let grant = |name: &str, text: &str, timing| Command::Grant {
        role: role(text),
        holder: instance(name, 1),
        request_id: 1,
        timing,
    };
    assert_eq!(
        state.apply(&grant("a", "r", TIMING)),
        Change::Refused(Refusal::NotMember),
        "that life is over"
    );
    assert_eq!(state.apply(&grant("b", "", TIMING)), Change::Refused(Refusal::OutOfBounds));
    assert_eq!(
        state.apply(&grant("b", "r", LeaseTiming { duration: 1, ..TIMING })),
        Change::Refused(Refusal::OutOfBounds)
    );
    assert!(matches!(state.apply(&grant("b", "r", TIMING)), Change::Granted { fencing_token: 1, .. }));
    assert_eq!(state.apply(&grant("b", "s", TIMING)), Change::Refused(Refusal::OutOfBounds));
}

fn command() -> impl Strategy<Value = Command> {
    let process = || {
        (prop_oneof![Just("a"), Just("b"), Just("c")], 1u64..4)
            .prop_map(|(name, start)| instance(name, start))
    };
    let which = || prop_oneof![Just("r"), Just("s")].prop_map(role);
    prop_oneof![
        process().prop_map(|process| Command::AddMember { process, zone: "z".into() }),
        process().prop_map(|process| Command::RemoveMember { process }),
        (which(), process(), 1u64..9).prop_map(|(role, holder, request_id)| Command::Grant {
            role,
            holder,
            request_id,
            timing: TIMING
        }),
        (which(), 1u64..9, 1u64..9).prop_map(|(role, fencing_token, request_id)| Command::Renew {
            role,
            fencing_token,
            request_id
        }),
        (which(), 1u64..9).prop_map(|(role, fencing_token)| Command::Release { role, fencing_token }),
        (which(), 1u64..9, 1u64..9).prop_map(|(role, fencing_token, request_id)| Command::Expire {
            role,
            fencing_token,
            request_id
        }),
    ]
}

proptest! {
    /// Whatever the log holds: epochs and last_token only grow, by one and as changes are; what was refused changed nothing; a
    /// role changes hands only over being free.
    #[test]
    fn any_log_keeps_epochs_and_fences_in_order(log in proptest::collection::vec(command(), 1..80)) {
        let mut state = State::new(Bounds::default());
        let mut last_token = 0;
        for command in &log {
            let before = state.clone();
            match state.apply(command) {
                Change::NewEpoch(epoch) => {
                    prop_assert_eq!(epoch, before.epoch() + 1);
                    prop_assert_ne!(before.members(), state.members());
                    prop_assert_eq!(before.leases(), state.leases());
                }
                Change::Granted { role, fencing_token } => {
                    prop_assert!(fencing_token > last_token && !before.leases().contains_key(&role));
                    last_token = fencing_token;
                    let lease = &state.leases()[&role];
                    prop_assert!(state.is_member(&lease.holder));
                }
                Change::Renewed { role, fencing_token } => {
                    let (old, new) = (&before.leases()[&role], &state.leases()[&role]);
                    prop_assert!(
                        old.holder == new.holder
                            && new.fencing_token == fencing_token
                            && old.fencing_token == fencing_token
                            && old.request_id < new.request_id
                    );
                }
                Change::Freed { role, fencing_token } => {
                    prop_assert_eq!(before.leases()[&role].fencing_token, fencing_token);
                    prop_assert!(!state.leases().contains_key(&role));
                }
                Change::Refused(_) => prop_assert_eq!(&before, &state),
            }
            prop_assert_eq!(before.epoch() == state.epoch(), before.members() == state.members());
        }
    }
}
