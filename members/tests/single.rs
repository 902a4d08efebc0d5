//! One member, told by hand what others would say.

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

fn life(round: u32) -> Incarnation {
    Incarnation { start: WALL, round }
}

struct One {
    members: Members,
    now: Micros,
    sent: Vec<(SocketAddr, Message)>,
    told: Vec<News>,
}

impl One {
    /// Called `me`, which knows these.
    fn knowing(others: &[&str]) -> One {
        let card = Card::at(address("m"));
        let members = Members::new(Config::default(), name("me"), card, vec![], 1, 0, WALL).expect("good");
        let mut one = One { members, now: 0, sent: Vec::new(), told: Vec::new() };
        for other in others {
            one.says(other, Kind::Gossip, &[(other, life(0), Claim::Alive(Card::at(address(other))))]);
        }
        one
    }

    fn heed(&mut self, out: Vec<Out>) {
        for out in out {
            match out {
                Out::Send { to, message } => self.sent.push((to, message)),
                Out::Tell(news) => self.told.push(news),
            }
        }
    }

    fn says(&mut self, who: &str, kind: Kind, updates: &[(&str, Incarnation, Claim)]) {
        let from = Sender { name: name(who), incarnation: life(0), address: address(who) };
        let update = |(of, incarnation, claim): &(&str, Incarnation, Claim)| Update {
            name: name(of),
            incarnation: *incarnation,
            claim: claim.clone(),
        };
        let message = Message { from, kind, updates: updates.iter().map(update).collect() };
        let mut out = Vec::new();
        self.members.hear(self.now, message, &mut out);
        self.heed(out);
    }

    /// Time passes; `answers` do so at once, without a word of what is said of them.
    fn passes(&mut self, time: Micros, answers: &[&str]) {
        let until = self.now + time;
        while let Some(at) = self.members.wakes_at().filter(|at| *at <= until) {
            self.now = at.max(self.now);
            let mut out = Vec::new();
            self.members.wake(self.now, &mut out);
            let before = self.sent.len();
            self.heed(out);
            let new: Vec<Message> = self.sent[before..].iter().map(|(_, message)| message.clone()).collect();
            for message in new {
                if let Kind::Ping { number, to } = message.kind {
                    if answers.contains(&to.as_str()) {
                        self.says(to.as_str(), Kind::Ack { number, digest: 0 }, &[]);
                    }
                }
            }
        }
        self.now = until;
    }

    fn is(&self, who: &str) -> Option<Condition> {
        self.members.condition(&name(who))
    }

    fn asked_for(&self, who: &str) -> usize {
        let asks = self.sent.iter().filter(
            |(_, message)| matches!(&message.kind, Kind::PingFor { target, .. } if target.as_str() == who),
        );
        asks.count()
    }
}

fn suspect(by: &str) -> Claim {
    Claim::Suspect { by: name(by) }
}

/// Somebody can't hear it; this one can. It does not even contradict, as it is slow to.
#[test]
fn who_answers_here_does_not_fail_here_by_the_word_of_others() {
    let mut one = One::knowing(&["a", "b", "x"]);
    for _ in 0..20 {
        one.says("a", Kind::Gossip, &[("x", life(0), suspect("a")), ("x", life(0), Claim::Failed)]);
        one.says("b", Kind::Gossip, &[("x", life(0), suspect("b")), ("x", life(0), Claim::Failed)]);
        one.passes(2 * SECOND, &["a", "b", "x"]);
    }
    assert!(one.told.iter().all(|news| news.what != What::Failed), "{:?}", one.told);
    // Where it does not answer, it does.
    one.says("a", Kind::Gossip, &[("x", life(0), suspect("a"))]);
    one.passes(30 * SECOND, &["a", "b"]);
    assert_eq!(one.is("x"), Some(Condition::Failed));
}

#[test]
fn an_accusation_holds_of_the_present_incarnation_alone() {
    let mut one = One::knowing(&["a", "x"]);
    for round in [1, 7] {
        one.says("a", Kind::Gossip, &[("x", life(round), suspect("a"))]);
        one.says("a", Kind::Gossip, &[("x", life(round), Claim::Failed)]);
        assert_eq!(one.is("x"), Some(Condition::Alive), "round {round} was not announced");
    }
    assert_eq!(one.members.counts().disbelieved, 4);
    one.says("x", Kind::Gossip, &[("x", life(2), Claim::Alive(Card::at(address("x"))))]);
    one.says("a", Kind::Gossip, &[("x", life(1), suspect("a"))]);
    assert_eq!(one.is("x"), Some(Condition::Alive), "that was contradicted");
    one.says("a", Kind::Gossip, &[("x", life(2), suspect("a"))]);
    assert_eq!(one.is("x"), Some(Condition::Suspected));
}

#[test]
fn who_has_failed_accuses_nobody() {
    let mut one = One::knowing(&["a", "x", "y"]);
    one.says("x", Kind::Gossip, &[("a", life(0), suspect("x"))]);
    one.passes(30 * SECOND, &["x", "y"]);
    assert_eq!(one.is("a"), Some(Condition::Failed));
    one.says("a", Kind::Gossip, &[("x", life(0), suspect("a"))]);
    // Nor by somebody else's mouth.
    one.says("y", Kind::Gossip, &[("x", life(0), suspect("a"))]);
    assert_eq!(one.is("x"), Some(Condition::Alive));
    assert_eq!(one.members.counts().disbelieved, 2);
}

/// What is heard of a life that is over may be old, or sent again by anybody.
#[test]
fn a_life_that_is_over_accuses_nobody() {
    let mut one = One::knowing(&["x", "y"]);
    let next = Incarnation::starting(WALL + 5);
    one.says("y", Kind::Gossip, &[("y", next, Claim::Alive(Card::at(address("y"))))]);
    one.says("y", Kind::Gossip, &[("x", life(0), suspect("y"))]);
    assert_eq!(one.is("x"), Some(Condition::Alive));
}

/// Others are asked to ask, and an answer that comes by one of them is an answer.
#[test]
fn helpers_are_asked_where_no_answer_comes() {
    let mut one = One::knowing(&["a", "b", "x"]);
    one.passes(3 * SECOND, &["a", "b"]);
    assert!(one.asked_for("x") > 0 && one.asked_for("a") == 0);
    let mut one = One::knowing(&["a", "b", "x"]);
    for _ in 0..60 {
        one.passes(SECOND / 20, &["a", "b"]);
        let asked = one.sent.drain(..).filter_map(|(_, message)| match message.kind {
            Kind::PingFor { number, .. } => Some(number),
            _ => None,
        });
        let asked: Vec<u32> = asked.collect();
        for number in asked {
            one.says("a", Kind::Ack { number, digest: 0 }, &[]);
        }
    }
    assert_eq!(one.is("x"), Some(Condition::Alive));
    assert_eq!(one.members.counts().unanswered, 0);
}

/// It is asked for others, answers for them, and says so where none came.
#[test]
fn it_asks_for_others_up_to_a_bound() {
    let mut one = One::knowing(&["a", "x"]);
    let ask = |number| Kind::PingFor { number, target: name("x"), at: address("x") };
    one.says("a", ask(7), &[]);
    let number = one.sent.iter().find_map(|(to, message)| match message.kind {
        Kind::Ping { number, .. } if *to == address("x") => Some(number),
        _ => None,
    });
    one.says("x", Kind::Ack { number: number.expect("it asks"), digest: 0 }, &[]);
    let told = |one: &One, wanted: fn(&Kind) -> bool| {
        one.sent.iter().filter(|(to, message)| *to == address("a") && wanted(&message.kind)).count()
    };
    assert_eq!(told(&one, |kind| matches!(kind, Kind::Ack { number: 7, .. })), 1);
    for number in 0..100 {
        one.says("a", ask(number), &[]);
    }
    one.passes(SECOND, &["a"]);
    assert_eq!(told(&one, |kind| matches!(kind, Kind::Nack { .. })), 64, "no more are open at a time");
}

#[test]
fn whoever_asks_hears_what_is_said_of_it() {
    let mut one = One::knowing(&["a", "x"]);
    one.says("a", Kind::Gossip, &[("x", life(0), suspect("a"))]);
    one.sent.clear();
    one.says("x", Kind::Ping { number: 1, to: name("me") }, &[]);
    let (_, answer) = one.sent.pop().expect("an answer");
    assert!(answer
        .updates
        .iter()
        .any(|of| of.name == name("x") && matches!(of.claim, Claim::Suspect { .. })));
    // One that is meant for somebody else is not answered.
    one.says("x", Kind::Ping { number: 2, to: name("before") }, &[]);
    assert!(one.sent.is_empty());
}

/// Helpers that have no answer either say that the trouble is there; silent ones, that it is here. Answers in time end
/// the doubt.
#[test]
fn it_doubts_itself_where_helpers_are_silent_and_trusts_itself_again() {
    let play = |nacks: bool| {
        let mut one = One::knowing(&["a", "b", "x"]);
        for _ in 0..400 {
            one.passes(SECOND / 20, &["a", "b"]);
            let asked: Vec<(SocketAddr, Message)> = one.sent.drain(..).collect();
            for (to, message) in asked {
                if let Kind::PingFor { number, .. } = message.kind {
                    let helper = if to == address("a") { "a" } else { "b" };
                    if nacks {
                        one.says(helper, Kind::Nack { number }, &[]);
                    }
                }
            }
            if one.members.counts().unanswered > 0 {
                break;
            }
        }
        one
    };
    let doubt = |one: &One| one.members.view(one.now).doubt;
    assert_eq!(doubt(&play(true)), 0);
    let mut alone = play(false);
    assert!(doubt(&alone) > 0);
    alone.passes(60 * SECOND, &["a", "b", "x"]);
    assert_eq!(doubt(&alone), 0);
}
