//! How a stand-in host behaves: service times and faults, drawn from a seed.

use crate::host::{ok, rejection, HostAction};
use crate::message::Message;
use crate::random_stream::RandomStream;
use std::time::Duration;

/// A fault that a host injects into the handling of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The request runs and is never answered.
    Stall,
    /// The connection is reset and the request does not run.
    ResetBefore,
    /// The request runs and the connection is reset without an answer.
    ResetAfter,
    /// The request is rejected and does not run; the answer says so.
    Reject,
    /// The request runs and its answer is sent twice.
    DuplicateAnswer,
    /// The request runs and its answer is sent once more, up to this time later.
    LateDuplicateAnswer(Duration),
    /// The request runs and random bytes are sent in place of an answer.
    GarbledAnswer,
    /// The request runs, and the connection is closed in the middle of its answer.
    TruncatedAnswer,
    /// The request runs and is answered 500.
    Error,
}

/// How a host behaves. The draws for a request depend on the seed, the host's name, the call id and how often this
/// host has received that id, so the same requests get the same faults in any order of arrival.
#[derive(Clone, Debug)]
pub struct HostBehavior {
    /// The seed of all random draws.
    pub seed: u64,
    /// The mean service time of a request.
    pub service: Duration,
    /// Each fault with its probability.
    pub faults: Vec<(Fault, f64)>,
    /// The duration of the slow start. At the start of a host its service times are multiplied by
    /// `slow_start_factor`; the factor falls linearly to 1 over this time.
    pub slow_start: Duration,
    /// The factor on service times at the start of a host.
    pub slow_start_factor: f64,
    /// The size of the body of an answer, in bytes.
    pub answer_bytes: usize,
    /// Whether the body of an answer is the call id instead, so that a test can tell which request was answered.
    pub echo: bool,
}

impl Default for HostBehavior {
    /// Answers of 16 bytes after 2 ms on average, without faults or slow start.
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
    /// Draws the action of host `host` for a request. `times_received` is how often the host received its id before,
    /// and `uptime` is the time since the start of the host.
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
                let HostAction::Respond(text) = self.ok(id) else { unreachable!("ok() responds") };
                HostAction::Respond(text.repeat(2))
            }
            Fault::LateDuplicateAnswer(longest) => {
                let HostAction::Respond(text) = self.ok(id) else { unreachable!("ok() responds") };
                HostAction::RespondThenAlso(text.clone(), longest.mul_f64(random.uniform()), text)
            }
            Fault::GarbledAnswer => HostAction::RespondBytes([&random.bytes(48)[..], b"\r\n\r\n"].concat()),
            Fault::TruncatedAnswer => HostAction::RespondAndClose(answer + "x"),
            Fault::Error => HostAction::Respond(
                "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n".to_owned(),
            ),
        }
    }
}
