//! One member, with messages of others written by hand.

use nettleworks_members::*;
use std::net::SocketAddr;

/// Wall clock at the start in milliseconds, on some day of 2023.
const WALL_CLOCK_START_MS: u64 = 1_700_000_000_000;
const SECOND: Micros = 1_000_000;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn address(text: &str) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, text.as_bytes()[0]], 7_000))
}

fn incarnation(round: u32) -> Incarnation {
    Incarnation { start: WALL_CLOCK_START_MS, round }
}

struct Fixture {
    members: Membership,
    now: Micros,
    sent: Vec<(SocketAddr, Message)>,
    notified: Vec<MemberEvent>,
}

impl Fixture {
    /// Creates the member `me`, which knows these others.
    fn with_members(others: &[&str]) -> Fixture {
        let metadata = Metadata::new(address("m"));
        let members =
            Membership::new(Config::default(), name("me"), metadata, vec![], 1, 0, WALL_CLOCK_START_MS)
                .expect("good");
        let mut fixture = Fixture { members, now: 0, sent: Vec::new(), notified: Vec::new() };
        for other in others {
            fixture.receive(
                other,
                MessageKind::Gossip,
                &[(other, incarnation(0), ReportedState::Alive(Metadata::new(address(other))))],
            );
        }
        fixture
    }

    fn record_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.sent.push((to, message)),
                Action::Notify(event) => self.notified.push(event),
            }
        }
    }

    fn receive(&mut self, who: &str, kind: MessageKind, updates: &[(&str, Incarnation, ReportedState)]) {
        let from = Sender { name: name(who), incarnation: incarnation(0), address: address(who) };
        let update = |(member, incarnation, state): &(&str, Incarnation, ReportedState)| Update {
            name: name(member),
            incarnation: *incarnation,
            state: state.clone(),
        };
        let message = Message { from, kind, updates: updates.iter().map(update).collect() };
        let mut out = Vec::new();
        self.members.handle_message(self.now, message, &mut out);
        self.record_actions(out);
    }

    /// Advances the time; the members in `answers` acknowledge pings at once, without refuting suspicions.
    fn advance(&mut self, time: Micros, answers: &[&str]) {
        let until = self.now + time;
        while let Some(at) = self.members.next_timeout().filter(|at| *at <= until) {
            self.now = at.max(self.now);
            let mut out = Vec::new();
            self.members.handle_timeout(self.now, &mut out);
            let before = self.sent.len();
            self.record_actions(out);
            let new: Vec<Message> = self.sent[before..].iter().map(|(_, message)| message.clone()).collect();
            for message in new {
                if let MessageKind::Ping { number, to } = message.kind {
                    if answers.contains(&to.as_str()) {
                        self.receive(to.as_str(), MessageKind::Ack { number, digest: 0 }, &[]);
                    }
                }
            }
        }
        self.now = until;
    }

    fn condition(&self, who: &str) -> Option<Condition> {
        self.members.condition(&name(who))
    }

    fn indirect_probes_for(&self, who: &str) -> usize {
        let requests = self.sent.iter().filter(
            |(_, message)| matches!(&message.kind, MessageKind::PingFor { target, .. } if target.as_str() == who),
        );
        requests.count()
    }
}

fn suspect(by: &str) -> ReportedState {
    ReportedState::Suspect { by: name(by) }
}

/// Other members cannot reach the target, but this one can; the target is slow to refute. As long as it
/// acknowledges the probes of this member, it is not marked as failed here.
#[test]
fn a_member_that_acks_directly_is_not_failed_by_reports_of_others() {
    let mut fixture = Fixture::with_members(&["a", "b", "x"]);
    for _ in 0..20 {
        fixture.receive(
            "a",
            MessageKind::Gossip,
            &[("x", incarnation(0), suspect("a")), ("x", incarnation(0), ReportedState::Failed)],
        );
        fixture.receive(
            "b",
            MessageKind::Gossip,
            &[("x", incarnation(0), suspect("b")), ("x", incarnation(0), ReportedState::Failed)],
        );
        fixture.advance(2 * SECOND, &["a", "b", "x"]);
    }
    assert!(
        fixture.notified.iter().all(|event| event.kind != MemberEventKind::Failed),
        "{:?}",
        fixture.notified
    );
    // Once it no longer acknowledges here, it is marked as failed.
    fixture.receive("a", MessageKind::Gossip, &[("x", incarnation(0), suspect("a"))]);
    fixture.advance(30 * SECOND, &["a", "b"]);
    assert_eq!(fixture.condition("x"), Some(Condition::Failed));
}

#[test]
fn a_suspicion_applies_only_to_the_known_incarnation() {
    let mut fixture = Fixture::with_members(&["a", "x"]);
    for round in [1, 7] {
        fixture.receive("a", MessageKind::Gossip, &[("x", incarnation(round), suspect("a"))]);
        fixture.receive("a", MessageKind::Gossip, &[("x", incarnation(round), ReportedState::Failed)]);
        assert_eq!(fixture.condition("x"), Some(Condition::Alive), "round {round} was not announced");
    }
    assert_eq!(fixture.members.counts().rejected_updates, 4);
    fixture.receive(
        "x",
        MessageKind::Gossip,
        &[("x", incarnation(2), ReportedState::Alive(Metadata::new(address("x"))))],
    );
    fixture.receive("a", MessageKind::Gossip, &[("x", incarnation(1), suspect("a"))]);
    assert_eq!(
        fixture.condition("x"),
        Some(Condition::Alive),
        "the suspicion of the earlier round was refuted"
    );
    fixture.receive("a", MessageKind::Gossip, &[("x", incarnation(2), suspect("a"))]);
    assert_eq!(fixture.condition("x"), Some(Condition::Suspected));
}

#[test]
fn suspicions_by_a_failed_member_are_rejected() {
    let mut fixture = Fixture::with_members(&["a", "x", "y"]);
    fixture.receive("x", MessageKind::Gossip, &[("a", incarnation(0), suspect("x"))]);
    fixture.advance(30 * SECOND, &["x", "y"]);
    assert_eq!(fixture.condition("a"), Some(Condition::Failed));
    fixture.receive("a", MessageKind::Gossip, &[("x", incarnation(0), suspect("a"))]);
    // Nor by a report of another member that names the failed one.
    fixture.receive("y", MessageKind::Gossip, &[("x", incarnation(0), suspect("a"))]);
    assert_eq!(fixture.condition("x"), Some(Condition::Alive));
    assert_eq!(fixture.members.counts().rejected_updates, 2);
}

/// A message of a superseded start may be old, or replayed by anybody.
#[test]
fn suspicions_from_a_superseded_start_are_rejected() {
    let mut fixture = Fixture::with_members(&["x", "y"]);
    let restarted = Incarnation::initial(WALL_CLOCK_START_MS + 5);
    fixture.receive(
        "y",
        MessageKind::Gossip,
        &[("y", restarted, ReportedState::Alive(Metadata::new(address("y"))))],
    );
    fixture.receive("y", MessageKind::Gossip, &[("x", incarnation(0), suspect("y"))]);
    assert_eq!(fixture.condition("x"), Some(Condition::Alive));
}

/// Indirect probes are requested, and an ack relayed by a helper counts as an ack.
#[test]
fn indirect_probes_are_sent_when_no_ack_arrives() {
    let mut fixture = Fixture::with_members(&["a", "b", "x"]);
    fixture.advance(3 * SECOND, &["a", "b"]);
    assert!(fixture.indirect_probes_for("x") > 0 && fixture.indirect_probes_for("a") == 0);
    let mut fixture = Fixture::with_members(&["a", "b", "x"]);
    for _ in 0..60 {
        fixture.advance(SECOND / 20, &["a", "b"]);
        let requested = fixture.sent.drain(..).filter_map(|(_, message)| match message.kind {
            MessageKind::PingFor { number, .. } => Some(number),
            _ => None,
        });
        let requested: Vec<u32> = requested.collect();
        for number in requested {
            fixture.receive("a", MessageKind::Ack { number, digest: 0 }, &[]);
        }
    }
    assert_eq!(fixture.condition("x"), Some(Condition::Alive));
    assert_eq!(fixture.members.counts().failed_probes, 0);
}

/// A helper probes the target for the origin, relays its ack, and sends a nack where none arrives.
#[test]
fn indirect_probes_are_relayed_up_to_a_bound() {
    let mut fixture = Fixture::with_members(&["a", "x"]);
    let ping_request = |number| MessageKind::PingFor { number, target: name("x"), at: address("x") };
    fixture.receive("a", ping_request(7), &[]);
    let number = fixture.sent.iter().find_map(|(to, message)| match message.kind {
        MessageKind::Ping { number, .. } if *to == address("x") => Some(number),
        _ => None,
    });
    fixture.receive("x", MessageKind::Ack { number: number.expect("the relayed ping"), digest: 0 }, &[]);
    let sent_to_a = |fixture: &Fixture, wanted: fn(&MessageKind) -> bool| {
        fixture.sent.iter().filter(|(to, message)| *to == address("a") && wanted(&message.kind)).count()
    };
    assert_eq!(sent_to_a(&fixture, |kind| matches!(kind, MessageKind::Ack { number: 7, .. })), 1);
    for number in 0..100 {
        fixture.receive("a", ping_request(number), &[]);
    }
    fixture.advance(SECOND, &["a"]);
    assert_eq!(
        sent_to_a(&fixture, |kind| matches!(kind, MessageKind::Nack { .. })),
        64,
        "no more than the maximum are relayed at a time"
    );
}

#[test]
fn an_ack_carries_the_suspicion_of_the_prober() {
    let mut fixture = Fixture::with_members(&["a", "x"]);
    fixture.receive("a", MessageKind::Gossip, &[("x", incarnation(0), suspect("a"))]);
    fixture.sent.clear();
    fixture.receive("x", MessageKind::Ping { number: 1, to: name("me") }, &[]);
    let (_, answer) = fixture.sent.pop().expect("an answer");
    assert!(answer
        .updates
        .iter()
        .any(|update| update.name == name("x") && matches!(update.state, ReportedState::Suspect { .. })));
    // A ping for another name is not answered.
    fixture.receive("x", MessageKind::Ping { number: 2, to: name("before") }, &[]);
    assert!(fixture.sent.is_empty());
}

/// Nacks of helpers show that the target is at fault; silent helpers, that this member is. Acks in time lower
/// the health score again.
#[test]
fn silent_helpers_raise_the_health_score_and_acks_lower_it() {
    let run = |nacks: bool| {
        let mut fixture = Fixture::with_members(&["a", "b", "x"]);
        for _ in 0..400 {
            fixture.advance(SECOND / 20, &["a", "b"]);
            let requested: Vec<(SocketAddr, Message)> = fixture.sent.drain(..).collect();
            for (to, message) in requested {
                if let MessageKind::PingFor { number, .. } = message.kind {
                    let helper = if to == address("a") { "a" } else { "b" };
                    if nacks {
                        fixture.receive(helper, MessageKind::Nack { number }, &[]);
                    }
                }
            }
            if fixture.members.counts().failed_probes > 0 {
                break;
            }
        }
        fixture
    };
    let health_score = |fixture: &Fixture| fixture.members.view(fixture.now).health_score;
    assert_eq!(health_score(&run(true)), 0);
    let mut unhealthy = run(false);
    assert!(health_score(&unhealthy) > 0);
    unhealthy.advance(60 * SECOND, &["a", "b", "x"]);
    assert_eq!(health_score(&unhealthy), 0);
}
