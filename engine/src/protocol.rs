//! The seam between the driver and what hosts speak. The driver knows calls, attempts, hosts and times; a
//! [`Protocol`] knows what a call carries, how one exchange of it goes, and what connections it keeps for that.

use crate::config::Config;
use crate::meter::Meter;
use nettleworks_policy::{Load, Outcome, ServerId};
use std::future::Future;
use std::hash::Hash;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptEnd<A> {
    /// What the exchange proves. `NoConnection` and `NotSent` say that nothing was written.
    pub outcome: Outcome,
    /// The host's report on its load.
    pub load: Load,
    /// The answer to pass on; there is one only where the host served.
    pub answer: Option<A>,
}

impl<A> AttemptEnd<A> {
    /// An end without an answer.
    pub fn without_answer(outcome: Outcome) -> Self {
        AttemptEnd { outcome, load: Load::default(), answer: None }
    }
}

/// Where an attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Which host.
    pub server: ServerId,
    /// Its address when the module chose it.
    pub address: SocketAddr,
}

/// What a protocol holds open, for the log and for [`crate::state`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Connections {
    /// Connections that are open, those being opened included.
    pub open: usize,
    /// Those of them that carry nothing.
    pub idle: usize,
    /// How many have come up so far.
    pub opened: u64,
    /// How many have failed to.
    pub open_failed: u64,
    /// How often one that had been kept broke on being used again.
    pub broken_reuse: u64,
}

/// What calls carry and how they go to a host.
///
/// All of it runs on the engine's thread. No method may block, or call the driver: it is called from within.
pub trait Protocol: Sized + 'static {
    /// Names a call to hosts. The driver lets no two open calls have the same.
    type Id: Clone + Eq + Hash + 'static;
    /// What a call carries.
    type Request: 'static;
    /// A host's answer, whole.
    type Answer: Clone + 'static;

    /// What tells a request from another under the same idempotency key: all that a host's work depends on.
    fn fingerprint_parts(request: &Self::Request) -> Vec<&[u8]>;

    /// How many bytes an answer holds, and what it is when a repeat gets it.
    fn replay_copy(answer: &Self::Answer) -> (usize, Self::Answer);

    /// One attempt: one exchange on one connection, which the protocol opens or has kept. It must write the
    /// request no more than once, and count in `meter` what it writes. The driver drops the future at `until`,
    /// when the attempt is called off, and when it is withdrawn; nothing may be written after that, and what is
    /// bound to this exchange alone is closed. What the attempt leaves for the next must be in place when the
    /// future is ready, not later: the outcome may let a waiting call go at once.
    fn attempt(
        &self,
        to: Target,
        request: Rc<Self::Request>,
        until: Instant,
        meter: &Meter,
    ) -> impl Future<Output = AttemptEnd<Self::Answer>> + 'static;

    /// A host takes requests, at this address. Told again and again, also when nothing has changed.
    fn host_ready(&self, to: Target);

    /// A host takes nothing new, has moved or has started again: what is kept for it is closed, and what is out
    /// is closed when it is done.
    fn host_retired(&self, server: ServerId);

    /// Comes once a second: what has been kept too long is closed.
    fn sweep(&self);

    /// Goes on under a new configuration.
    fn reload(&self, config: &Rc<Config>);

    /// What is open now.
    fn connections(&self) -> Connections;
}
