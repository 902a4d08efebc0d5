//! The state machine, the lease client and the expiry tracker, by single cases and by random logs.

use nettleworks_council::*;
use proptest::prelude::*;

fn instance(name: &str, start: u64) -> ProcessInstance {
    ProcessInstance { name: Name::new(name).expect("valid name"), start }
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
fn a_lease_is_shorter_for_its_holder_than_for_the_leader() {
    assert_eq!((TIMING.holder_duration(), TIMING.expiry_delay()), (9_500_000, 10_500_000));
    assert!(LeaseTiming { max_drift_ppm: 500_001, ..TIMING }.validate().is_err());
    assert!(LeaseTiming { duration: 9_999, ..TIMING }.validate().is_err());
    assert!(LeaseTiming::default().validate().is_ok());
}

/// The holder's clock runs 2% slow and the leader's 2% fast: by true time the holder stops before the leader
/// expires the lease.
#[test]
fn a_clock_drift_of_two_per_cent_is_tolerated() {
    let process = instance("a", 1);
    let mut state = state_with_members(std::slice::from_ref(&process));
    let mut lease_client = LeaseClient::new(role("r"), process, TIMING);
    let mut tracker = ExpiryTracker::default();
    tracker.observe(0, &state, true);
    state.apply(&lease_client.request_lease(0, &state).expect("the role is free"));
    lease_client.observe(&state);
    tracker.observe(0, &state, true);
    let (slow, fast) = (|at: Micros| at * 98 / 100, |at: Micros| at * 102 / 100);
    let last =
        (0..12_000).map(|ms| ms * 1_000).filter(|at| lease_client.fencing_token(slow(*at)).is_some()).max();
    let first =
        (0..12_000).map(|ms| ms * 1_000).find(|at| !tracker.expire_commands(fast(*at), &state).is_empty());
    let (last, first) = (last.expect("lease was valid"), first.expect("lease expired"));
    assert!(last < first, "{last} and {first}");
    assert!(first - last < 2_000_000, "the gap is no longer than the drift requires");
}

/// A holder that was paused for longer than its lease has none when it resumes, and the next holder's fencing
/// token is greater.
#[test]
fn a_paused_holder_has_no_lease_when_it_resumes() {
    let (a, b) = (instance("a", 1), instance("b", 1));
    let mut state = state_with_members(&[a.clone(), b.clone()]);
    let (mut first, mut second) =
        (LeaseClient::new(role("r"), a, TIMING), LeaseClient::new(role("r"), b, TIMING));
    let mut tracker = ExpiryTracker::default();
    tracker.observe(0, &state, true);
    state.apply(&first.request_lease(0, &state).expect("the role is free"));
    first.observe(&state);
    let fencing_token = first.fencing_token(1).expect("valid lease");
    tracker.observe(0, &state, true);
    assert_eq!(second.request_lease(5_000_000, &state), None, "another process holds the role");
    let expired = tracker.expire_commands(10_500_000, &state);
    assert_eq!(expired.len(), 1);
    // A renewal from before the pause arrives only now: if it is applied after the expiry it is refused, and
    // if before, the expiry is refused.
    let renewal = first.request_lease(9_000_000, &state).expect("renewal");
    let mut renewed_state = state.clone();
    renewed_state.apply(&renewal);
    assert!(matches!(renewed_state.apply(&expired[0]), Change::Refused(Refusal::Stale)));
    state.apply(&expired[0]);
    assert!(matches!(state.apply(&renewal), Change::Refused(Refusal::NoLease)));
    state.apply(&second.request_lease(10_600_000, &state).expect("the role is free"));
    second.observe(&state);
    let next = second.fencing_token(10_600_001).expect("valid lease");
    // The first holder has not observed any of this yet.
    assert_eq!(first.fencing_token(10_600_001), None);
    assert!(next > fencing_token);
    first.observe(&state);
    assert_eq!(first.fencing_token(1), None);
}

/// A request that was delayed for long before the log applied it extends the lease only from when it was
/// sent.
#[test]
fn a_delayed_grant_is_timed_from_when_it_was_requested() {
    let process = instance("a", 1);
    let mut state = state_with_members(std::slice::from_ref(&process));
    let mut lease_client = LeaseClient::new(role("r"), process.clone(), TIMING);
    let delayed = lease_client.request_lease(0, &state).expect("the role is free");
    let _lost = lease_client.request_lease(8_000_000, &state).expect("the role is free");
    state.apply(&delayed);
    lease_client.observe(&state);
    assert_eq!(lease_client.valid_until(), Some(9_500_000), "timed from the delayed request");
    // A request of an earlier instance gives the next instance no lease.
    let mut next = LeaseClient::new(role("r"), instance("a", 2), TIMING);
    next.observe(&state);
    assert_eq!(next.fencing_token(0), None);
    state.apply(&Command::AddMember { process: instance("a", 2), zone: String::new() });
    assert_eq!(next.request_lease(1, &state), None, "the lease of its earlier instance has not expired");
    assert!(state.leases().contains_key(&role("r")));
}

#[test]
fn a_removed_member_keeps_its_lease_but_cannot_renew_it() {
    let process = instance("a", 1);
    let mut state = state_with_members(std::slice::from_ref(&process));
    let mut lease_client = LeaseClient::new(role("r"), process.clone(), TIMING);
    state.apply(&lease_client.request_lease(0, &state).expect("the role is free"));
    lease_client.observe(&state);
    let renewal = lease_client.request_lease(3_000_000, &state).expect("renewal");
    let epoch = state.epoch();
    assert_eq!(state.apply(&Command::RemoveMember { process: process.clone() }), Change::NewEpoch(epoch + 1));
    assert!(matches!(state.apply(&renewal), Change::Refused(Refusal::NotMember)));
    assert_eq!(lease_client.request_lease(4_000_000, &state), None);
    lease_client.observe(&state);
    assert!(
        lease_client.fencing_token(9_499_999).is_some() && lease_client.fencing_token(9_500_000).is_none()
    );
    assert!(
        state.leases().contains_key(&role("r")),
        "no other process may acquire the role before the lease expires"
    );
    assert!(matches!(state.apply(&Command::RemoveMember { process }), Change::Refused(Refusal::NotMember)));
}

/// A new leader has observed nothing: each lease gets its whole time from then on.
#[test]
fn a_new_leader_expires_no_lease_early() {
    let process = instance("a", 1);
    let mut state = state_with_members(std::slice::from_ref(&process));
    let mut lease_client = LeaseClient::new(role("r"), process, TIMING);
    state.apply(&lease_client.request_lease(0, &state).expect("the role is free"));
    let mut tracker = ExpiryTracker::default();
    tracker.observe(0, &state, true);
    tracker.observe(5_000_000, &state, false);
    assert!(
        tracker.expire_commands(60_000_000, &state).is_empty() && tracker.next_expiry(&state).is_none(),
        "it is not the leader"
    );
    tracker.observe(9_000_000, &state, true);
    assert!(tracker.expire_commands(19_499_999, &state).is_empty());
    assert_eq!(tracker.next_expiry(&state), Some(19_500_000));
    assert_eq!(tracker.expire_commands(19_500_000, &state).len(), 1);
}

#[test]
fn limits_are_enforced_and_reported() {
    let mut state = State::new(Bounds { max_members: 2, max_leases: 1 });
    let add_member =
        |name: &str, start| Command::AddMember { process: instance(name, start), zone: String::new() };
    assert_eq!(state.apply(&add_member("a", 1)), Change::NewEpoch(1));
    assert_eq!(state.apply(&add_member("b", 1)), Change::NewEpoch(2));
    assert_eq!(state.apply(&add_member("c", 1)), Change::Refused(Refusal::OutOfBounds));
    assert_eq!(state.apply(&add_member("a", 1)), Change::Refused(Refusal::NotNewer));
    assert_eq!(
        state.apply(&add_member("a", 2)),
        Change::NewEpoch(3),
        "a later instance replaces the earlier one"
    );
    let grant = |name: &str, text: &str, timing| Command::Grant {
        role: role(text),
        holder: instance(name, 1),
        request_id: 1,
        timing,
    };
    assert_eq!(
        state.apply(&grant("a", "r", TIMING)),
        Change::Refused(Refusal::NotMember),
        "that instance was replaced"
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
    /// For any log: epochs grow by one with each change of the members, fencing tokens only grow, a refused
    /// command changes nothing, and a role is granted only while it is free.
    #[test]
    fn any_log_keeps_epochs_and_fencing_tokens_in_order(log in proptest::collection::vec(command(), 1..80)) {
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
