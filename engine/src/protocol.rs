//! The interface between the driver and the protocol of the connections to hosts. The driver handles calls, attempts,
//! hosts and times; a [`Protocol`] handles the payload of calls, performs exchanges and manages the connections for
//! them.

use crate::config::Config;
use crate::histogram::DurationHistogram;
use crate::meter::Meter;
use nettleworks_policy::{Load, Outcome, ServerId};
use std::future::Future;
use std::hash::Hash;
use std::net::SocketAddr;
use std::ops::AddAssign;
use std::rc::Rc;
use tokio::time::Instant;

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptEnd<A> {
    /// What the exchange proves. `NoConnection` and `NotSent` mean that nothing was written.
    pub outcome: Outcome,
    /// The host's load report.
    pub load: Load,
    /// The answer for the client; only present if the host served the request.
    pub answer: Option<A>,
}

impl<A> AttemptEnd<A> {
    /// The end of an attempt that brought no answer.
    pub fn without_answer(outcome: Outcome) -> Self {
        AttemptEnd { outcome, load: Load::default(), answer: None }
    }
}

/// The destination of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The host.
    pub server: ServerId,
    /// Its address when the decision module chose it.
    pub address: SocketAddr,
}

/// The connections of a protocol, for the log and [`crate::state`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Connections {
    /// Connections that are open or being opened.
    pub open: usize,
    /// Connections among them that carry no exchange.
    pub idle: usize,
    /// Connections that were opened successfully since the start.
    pub opened: u64,
    /// Connections that could not be opened since the start.
    pub open_failed: u64,
    /// How often a kept connection turned out to be broken when it was reused.
    pub broken_reuse: u64,
    /// Attempts that used a kept connection, by how long it had been idle.
    pub reused: DurationHistogram,
    /// Attempts that waited until a kept connection had settled, by the length of the wait.
    pub settle_waits: DurationHistogram,
    /// Attempts that opened a connection although one was idle, as none would have settled soon enough.
    pub opened_unsettled: u64,
    /// Responses that began to arrive before their request was fully written, so that they were not its response.
    pub early_responses: u64,
    /// Responses with another response in hand behind them, such as a second copy.
    pub followed_by_response: u64,
    /// Responses with bytes in hand behind them that begin no response. Where the body is delimited by its length, it
    /// may have been cut, and the response is not passed on.
    pub followed_by_other: u64,
    /// Kept connections on which a host sent more than the response, by how long after it the surplus came.
    pub surplus: DurationHistogram,
    /// The same connections, by how long they had been idle before their last request. A response that came after that
    /// request may have been the surplus of the one before, and the surplus the real response.
    pub surplus_by_idle_time: DurationHistogram,
}

impl AddAssign for Connections {
    fn add_assign(&mut self, other: Connections) {
        self.open += other.open;
        self.idle += other.idle;
        self.opened += other.opened;
        self.open_failed += other.open_failed;
        self.broken_reuse += other.broken_reuse;
        self.reused += other.reused;
        self.settle_waits += other.settle_waits;
        self.opened_unsettled += other.opened_unsettled;
        self.early_responses += other.early_responses;
        self.followed_by_response += other.followed_by_response;
        self.followed_by_other += other.followed_by_other;
        self.surplus += other.surplus;
        self.surplus_by_idle_time += other.surplus_by_idle_time;
    }
}

/// A protocol that carries calls to hosts.
///
/// All methods run on the engine's thread. None may block or call the driver, which is borrowed during the call.
pub trait Protocol: Sized + 'static {
    /// Identifies a call to hosts. The driver never has two open calls with the same id.
    type Id: Clone + Eq + Hash + 'static;
    /// The payload of a request.
    type Request: 'static;
    /// A host's complete answer.
    type Answer: Clone + 'static;

    /// The parts of a request that identify it under its idempotency key: all that a host's processing depends on.
    fn fingerprint_parts(request: &Self::Request) -> Vec<&[u8]>;

    /// The size of an answer in bytes, and the copy of it that a repeated request gets.
    fn replay_copy(answer: &Self::Answer) -> (usize, Self::Answer);

    /// Performs one attempt: one exchange on one connection, which is new or was kept. The request must be written at
    /// most once, and `meter` must count what is written. The driver drops the future at `until`, and when the
    /// attempt is cancelled or withdrawn; nothing may be written after that, and resources of this exchange alone are
    /// released. A connection that the attempt leaves for reuse must be available before the future completes, since
    /// the outcome may start a waiting call at once.
    fn attempt(
        &self,
        to: Target,
        request: Rc<Self::Request>,
        until: Instant,
        meter: &Meter,
    ) -> impl Future<Output = AttemptEnd<Self::Answer>> + 'static;

    /// Reports that a host accepts requests at this address. Called repeatedly, also when nothing has changed.
    fn host_ready(&self, to: Target);

    /// Reports that a host accepts no new requests, has a new address or has restarted. Idle connections to it are
    /// closed at once, and connections in use after their exchange.
    fn host_retired(&self, server: ServerId);

    /// Called once a second to close connections that have been idle for too long.
    fn sweep(&self);

    /// Applies a new configuration.
    fn reload(&self, config: &Rc<Config>);

    /// The current connections.
    fn connections(&self) -> Connections;
}
