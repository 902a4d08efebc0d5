//! One member, with messages of others written by hand.

use nettleworks_members::*;
use std::net::SocketAddr;

const WALL: u64 = 1_700_000_000_000;
const SECOND: Micros = 1_000_000;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn address(text: &str) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, text.as_bytes()[0]], 7_000))
}

fn incarnation(round: u32) -> Incarnation {
    Incarnation { start: WALL, round }
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
        let card = Metadata::new(address("m"));
        let members = Membership::new(Config::default(), name("me"), card, vec![], 1, 0, WALL).expect("good");
        let mut one = Fixture { members, now: 0, sent: Vec::new(), notified: Vec::new() };
        for other in others {
            one.receive(
                other,
                MessageKind::Gossip,
                &[(other, incarnation(0), ReportedState::Alive(Metadata::new(address(other))))],
            );
        }
        one
    }

    fn record_actions(&mut self, out: Vec<Action>) {
        for out in out {
            match out {
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
        let asks = self.sent.iter().filter(
            |(_, message)| matches!(&message.kind, MessageKind::PingFor { target, .. } if target.as_str() == who),
        );
        asks.count()
    }
}

fn suspect(by: &str) -> ReportedState {
    ReportedState::Suspect { by: name(by) }
}

/// Other members cannot reach the target, but this one can; the target is slow to refute. As long as it
/// acknowledges the probes of this member, it is not marked as failed here.
#[test]
fn a_member_that_acks_directly_is_not_failed_by_reports_of_others() {
    let mut one = Fixture::with_members(&["a", "b", "x"]);
    for _ in 0..20 {
        one.receive(
            "a",
            MessageKind::Gossip,
            &[("x", incarnation(0), suspect("a")), ("x", incarnation(0), ReportedState::Failed)],
        );
        one.receive(
            "b",
            MessageKind::Gossip,
            &[("x", incarnation(0), suspect("b")), ("x", incarnation(0), ReportedState::Failed)],
        );
        one.advance(2 * SECOND, &["a", "b", "x"]);
    }
    assert!(one.notified.iter().all(|event| event.kind != MemberEventKind::Failed), "{:?}", one.notified);
    // Once it no longer acknowledges here, it is marked as failed.
    one.receive("a", MessageKind::Gossip, &[("x", incarnation(0), suspect("a"))]);
    one.advance(30 * SECOND, &["a", "b"]);
    assert_eq!(one.condition("x"), Some(Condition::Failed));
}

#[test]
fn a_suspicion_applies_only_to_the_known_incarnation() {
    let mut one = Fixture::with_members(&["a", "x"]);
    for round in [1, 7] {
        one.receive("a", MessageKind::Gossip, &[("x", incarnation(round), suspect("a"))]);
        one.receive("a", MessageKind::Gossip, &[("x", incarnation(round), ReportedState::Failed)]);
        assert_eq!(one.condition("x"), Some(Condition::Alive), "round {round} was not announced");
    }
    assert_eq!(one.members.counts().rejected_updates, 4);
    one.receive(
        "x",
        MessageKind::Gossip,
        &[("x", incarnation(2), ReportedState::Alive(Metadata::new(address("x"))))],
    );
    one.receive("a", MessageKind::Gossip, &[("x", incarnation(1), suspect("a"))]);
    assert_eq!(one.condition("x"), Some(Condition::Alive), "that was contradicted");
    one.receive("a", MessageKind::Gossip, &[("x", incarnation(2), suspect("a"))]);
    assert_eq!(one.condition("x"), Some(Condition::Suspected));
}

#[test]
fn suspicions_by_a_failed_member_are_rejected() {
    let mut one = Fixture::with_members(&["a", "x", "y"]);
    one.receive("x", MessageKind::Gossip, &[("a", incarnation(0), suspect("x"))]);
    one.advance(30 * SECOND, &["x", "y"]);
    assert_eq!(one.condition("a"), Some(Condition::Failed));
    one.receive("a", MessageKind::Gossip, &[("x", incarnation(0), suspect("a"))]);
    // Nor by a report of another member that names the failed one.
    one.receive("y", MessageKind::Gossip, &[("x", incarnation(0), suspect("a"))]);
    assert_eq!(one.condition("x"), Some(Condition::Alive));
    assert_eq!(one.members.counts().rejected_updates, 2);
}

/// A message of a superseded start may be old, or replayed by anybody.
#[test]
fn suspicions_from_a_superseded_start_are_rejected() {
    let mut one = Fixture::with_members(&["x", "y"]);
    let next_sequence = Incarnation::initial(WALL + 5);
    one.receive(
        "y",
        MessageKind::Gossip,
        &[("y", next_sequence, ReportedState::Alive(Metadata::new(address("y"))))],
    );
    one.receive("y", MessageKind::Gossip, &[("x", incarnation(0), suspect("y"))]);
    assert_eq!(one.condition("x"), Some(Condition::Alive));
}

/// Indirect probes are requested, and an ack relayed by a helper counts as an ack.
#[test]
fn indirect_probes_are_sent_when_no_ack_arrives() {
    let mut one = Fixture::with_members(&["a", "b", "x"]);
    one.advance(3 * SECOND, &["a", "b"]);
    assert!(one.indirect_probes_for("x") > 0 && one.indirect_probes_for("a") == 0);
    let mut one = Fixture::with_members(&["a", "b", "x"]);
    for _ in 0..60 {
        one.advance(SECOND / 20, &["a", "b"]);
        let asked = one.sent.drain(..).filter_map(|(_, message)| match message.kind {
            MessageKind::PingFor { number, .. } => Some(number),
            _ => None,
        });
        let asked: Vec<u32> = asked.collect();
        for number in asked {
            one.receive("a", MessageKind::Ack { number, digest: 0 }, &[]);
        }
    }
    assert_eq!(one.condition("x"), Some(Condition::Alive));
    assert_eq!(one.members.counts().failed_probes, 0);
}

/// A helper probes the target for the origin, relays its ack, and sends a nack where none arrives.
#[test]
fn indirect_probes_are_relayed_up_to_a_bound() {
    let mut one = Fixture::with_members(&["a", "x"]);
    let ask = |number| MessageKind::PingFor { number, target: name("x"), at: address("x") };
    one.receive("a", ask(7), &[]);
    let number = one.sent.iter().find_map(|(to, message)| match message.kind {
        MessageKind::Ping { number, .. } if *to == address("x") => Some(number),
        _ => None,
    });
    one.receive("x", MessageKind::Ack { number: number.expect("it asks"), digest: 0 }, &[]);
    let sent_to_a = |one: &Fixture, wanted: fn(&MessageKind) -> bool| {
        one.sent.iter().filter(|(to, message)| *to == address("a") && wanted(&message.kind)).count()
    };
    assert_eq!(sent_to_a(&one, |kind| matches!(kind, MessageKind::Ack { number: 7, .. })), 1);
    for number in 0..100 {
        one.receive("a", ask(number), &[]);
    }
    one.advance(SECOND, &["a"]);
    assert_eq!(
        sent_to_a(&one, |kind| matches!(kind, MessageKind::Nack { .. })),
        64,
        "no more are open at a time"
    );
}

#[test]
fn an_ack_carries_the_suspicion_of_the_prober() {
    let mut one = Fixture::with_members(&["a", "x"]);
    one.receive("a", MessageKind::Gossip, &[("x", incarnation(0), suspect("a"))]);
    one.sent.clear();
    one.receive("x", MessageKind::Ping { number: 1, to: name("me") }, &[]);
    let (_, answer) = one.sent.pop().expect("an answer");
    assert!(answer
        .updates
        .iter()
        .any(|member| member.name == name("x") && matches!(member.state, ReportedState::Suspect { .. })));
    // A ping for another name is not answered.
    one.receive("x", MessageKind::Ping { number: 2, to: name("before") }, &[]);
    assert!(one.sent.is_empty());
}

/// Nacks of helpers show that the target is at fault; silent helpers, that this member is. Acks in time lower
/// the health score again.
#[test]
fn silent_helpers_raise_the_health_score_and_acks_lower_it() {
    let play = |nacks: bool| {
        let mut one = Fixture::with_members(&["a", "b", "x"]);
        for _ in 0..400 {
            one.advance(SECOND / 20, &["a", "b"]);
            let asked: Vec<(SocketAddr, Message)> = one.sent.drain(..).collect();
            for (to, message) in asked {
                if let MessageKind::PingFor { number, .. } = message.kind {
                    let helper = if to == address("a") { "a" } else { "b" };
                    if nacks {
                        one.receive(helper, MessageKind::Nack { number }, &[]);
                    }
                }
            }
            if one.members.counts().failed_probes > 0 {
                break;
            }
        }
        one
    };
    let doubt = |one: &Fixture| one.members.view(one.now).health_score;
    assert_eq!(doubt(&play(true)), 0);
    let mut alone = play(false);
    assert!(doubt(&alone) > 0);
    alone.advance(60 * SECOND, &["a", "b", "x"]);
    assert_eq!(doubt(&alone), 0);
}
