//! What a host does with requests, drawn from a seed.

use crate::dice::Dice;
use crate::host::{ok, turn_away, Act};
use crate::message::Message;
use std::time::Duration;

/// What goes wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It runs, and nothing is ever said.
    Stall,
    /// The connection is reset before the request is read; it never runs.
    ResetBefore,
    /// It runs, and the connection is reset without an answer.
    ResetAfter,
    /// It is turned away, unseen.
    TurnAway,
    /// It runs, and its answer comes twice.
    Twice,
    /// It runs, and noise is said.
    Garble,
    /// It runs, and its answer is cut short.
    Cut,
    /// It runs, and an error is said.
    Error,
}

/// How a host behaves. Each request's draw depends on the seed, the host's name, the request's id and how often
/// this host has seen it, so the same requests meet the same faults in whatever order they come.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed of all draws.
    pub seed: u64,
    /// Mean time that a request takes.
    pub service: Duration,
    /// What goes wrong, and with what share of the requests each.
    pub faults: Vec<(Fault, f64)>,
    /// How long a host is cold after its start: a request takes up to `cold_times` as long, falling evenly.
    pub cold: Duration,
    /// How many times as long a request takes on a host that has just started.
    pub cold_times: f64,
    /// Size of an answer's body in bytes.
    pub answer: usize,
    /// An answer's body is the request's id instead: whose answer it is can be told.
    pub echo: bool,
}

impl Default for Plan {
    /// Answers of 16 bytes after 2 ms in the mean, and no fault.
    fn default() -> Self {
        let (seed, service, faults) = (1, Duration::from_millis(2), Vec::new());
        Plan { seed, service, faults, cold: Duration::ZERO, cold_times: 1.0, answer: 16, echo: false }
    }
}

impl Plan {
    /// What host `host` does with a request that it sees for the `times`th time (from 0), `up` after its start.
    pub(crate) fn act(&self, host: &str, message: &Message, times: usize, up: Duration) -> Act {
        let id = message.header("x-call-id").unwrap_or_default();
        let mut dice = Dice::new(self.seed, (host, id, times));
        let mut draw = dice.share();
        for &(fault, share) in &self.faults {
            if draw < share {
                return self.fault(fault, id, &mut dice);
            }
            draw -= share;
        }
        let left = 1.0 - up.div_duration_f64(self.cold.max(Duration::from_nanos(1))).min(1.0);
        let service = dice.time(self.service).mul_f64(1.0 + (self.cold_times - 1.0) * left);
        Act::Late(service, Box::new(self.ok(id)))
    }

    fn ok(&self, id: &str) -> Act {
        if self.echo {
            ok(id)
        } else {
            ok(&"x".repeat(self.answer))
        }
    }

    fn fault(&self, fault: Fault, id: &str, dice: &mut Dice) -> Act {
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", self.answer.max(2));
        match fault {
            Fault::Stall => Act::Stall,
            Fault::ResetBefore => Act::ResetBefore,
            Fault::ResetAfter => Act::Reset,
            Fault::TurnAway => turn_away(),
            Fault::Twice => {
                let Act::Say(text) = self.ok(id) else { unreachable!("an answer is said") };
                Act::Say(text.repeat(2))
            }
            Fault::Garble => Act::SayBytes([&dice.bytes(48)[..], b"\r\n\r\n"].concat()),
            Fault::Cut => Act::SayAndClose(answer + "x"),
            Fault::Error => {
                Act::Say("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n".to_owned())
            }
        }
    }
}
