//! What a host does with requests, drawn from a seed.

use crate::host::{ok, rejection, HostAction};
use crate::message::Message;
use crate::random_stream::RandomStream;
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
    Reject,
    /// It runs, and its answer comes twice.
    DuplicateAnswer,
    /// It runs, and noise is said.
    GarbledAnswer,
    /// It runs, and its answer is cut short.
    TruncatedAnswer,
    /// It runs, and an error is said.
    Error,
}

/// How a host behaves. Each request's draw depends on the seed, the host's name, the request's id and how often
/// this host has seen it, so the same requests meet the same faults in whatever order they come.
#[derive(Clone, Debug)]
pub struct HostBehavior {
    /// The seed of all draws.
    pub seed: u64,
    /// Mean time that a request takes.
    pub service: Duration,
    /// What goes wrong, and with what share of the requests each.
    pub faults: Vec<(Fault, f64)>,
    /// How long a host is cold after its start: a request takes up to `slow_start_factor` as long, falling evenly.
    pub slow_start: Duration,
    /// How many times_received as long a request takes on a host that has just started.
    pub slow_start_factor: f64,
    /// Size of an answer's body in bytes.
    pub answer_bytes: usize,
    /// An answer's body is the request's id instead: whose answer it is can be told.
    pub echo: bool,
}

impl Default for HostBehavior {
    /// Answers of 16 bytes after 2 ms in the mean, and no fault.
    fn default() -> Self {
        let (seed, service, faults) = (1, Duration::from_millis(2), Vec::new());
        HostBehavior {
            seed,
            service,
            faults,
            slow_start: Duration::ZERO,
            slow_start_factor: 1.0,
            answer_bytes: 16,
            echo: false,
        }
    }
}

impl HostBehavior {
    /// What host `host` does with a request that it sees for the `times_received`th time (from 0), `up` after its start.
    pub(crate) fn next_action(
        &self,
        host: &str,
        message: &Message,
        times_received: usize,
        uptime: Duration,
    ) -> HostAction {
        let id = message.header("x-call-id").unwrap_or_default();
        let mut random = RandomStream::new(self.seed, (host, id, times_received));
        let mut draw = random.uniform();
        for &(fault, share) in &self.faults {
            if draw < share {
                return self.fault(fault, id, &mut random);
            }
            draw -= share;
        }
        let remaining = 1.0 - uptime.div_duration_f64(self.slow_start.max(Duration::from_nanos(1))).min(1.0);
        let service =
            random.exponential(self.service).mul_f64(1.0 + (self.slow_start_factor - 1.0) * remaining);
        HostAction::Delay(service, Box::new(self.ok(id)))
    }

    fn ok(&self, id: &str) -> HostAction {
        if self.echo {
            ok(id)
        } else {
            ok(&"x".repeat(self.answer_bytes))
        }
    }

    fn fault(&self, fault: Fault, id: &str, random: &mut RandomStream) -> HostAction {
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", self.answer_bytes.max(2));
        match fault {
            Fault::Stall => HostAction::Stall,
            Fault::ResetBefore => HostAction::ResetBefore,
            Fault::ResetAfter => HostAction::Reset,
            Fault::Reject => rejection(),
            Fault::DuplicateAnswer => {
                let HostAction::Respond(text) = self.ok(id) else { unreachable!("an answer is said") };
                HostAction::Respond(text.repeat(2))
            }
            Fault::GarbledAnswer => HostAction::RespondBytes([&random.bytes(48)[..], b"\r\n\r\n"].concat()),
            Fault::TruncatedAnswer => HostAction::RespondAndClose(answer + "x"),
            Fault::Error => HostAction::Respond(
                "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n".to_owned(),
            ),
        }
    }
}
