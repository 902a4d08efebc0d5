//! Calls: the request, who waits for it, and its one reply. The state of an open call is in `calls::call`.

pub(crate) mod call;

use crate::group::Group;
use crate::protocol::Protocol;
use hyper::body::Bytes;
use nettleworks_policy::{CallId, ClassId, TenantId};
use std::collections::HashMap;
use std::fmt;
use std::hash::Hash;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, OwnedSemaphorePermit};
use tokio::time::Instant;

/// What the interceptors and the decision module use of a request.
#[derive(Clone, Debug)]
pub struct RequestInfo<I> {
    /// The request's id; no other open request has it.
    pub id: I,
    /// The request's class.
    pub class: ClassId,
    /// The tenant that sent it, if known.
    pub tenant: Option<TenantId>,
    /// Until when the client waits for the answer.
    pub deadline: Instant,
    /// Whether the client has sent this request before.
    pub resent: bool,
    /// The idempotency key, if the request has one and its class uses it.
    pub key: Option<Bytes>,
}

/// What is known of the idempotency key of a request that may have run and has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyStatus {
    /// Name of the key's state. These names are stable.
    pub state: &'static str,
    /// How long ago the first request with the key arrived.
    pub age: Duration,
}

/// The reply to a request; each request gets exactly one.
#[derive(Clone, Debug)]
pub enum Reply<A> {
    /// A host's answer.
    Served(A),
    /// The request was refused and never ran. The client may retry after this time.
    Refused(Duration),
    /// The request failed and may have run.
    Failed,
    /// The request may have run and no answer is available; this is the state of its idempotency key.
    Unsure(KeyStatus),
    /// The id is that of an open call, which hosts could not tell from this one. The request never ran.
    DuplicateId,
    /// The idempotency key was used for a different request. This request never ran.
    KeyReused,
    /// The idempotency key is malformed. The request never ran.
    InvalidKey,
}

/// The caller that waits for a reply.
#[derive(Debug)]
pub struct Caller<A> {
    /// Receives the reply.
    pub reply: oneshot::Sender<Reply<A>>,
    /// Counts the call towards the bound on open calls; released when the call is answered or its caller is gone.
    pub permit: Option<OwnedSemaphorePermit>,
}

impl<A> Caller<A> {
    pub(crate) fn answer(self, reply: Reply<A>) {
        // Released before the reply is sent, since the caller may send its next request at once.
        drop(self.permit);
        // The receiver may be gone; the reply is not needed then.
        let _ = self.reply.send(reply);
    }
}

/// Who gets the reply of a call.
#[derive(Debug)]
pub(crate) enum Recipient<A> {
    /// A caller outside of the engine.
    Caller(Caller<A>),
    /// The interceptor with this index in the chain, which holds the request.
    Interceptor(usize),
}

/// A request on its way through the interceptor chain, before it becomes a call in the decision module. It carries
/// its recipient: whoever takes the request over answers it exactly once, with
/// [`crate::interceptor::ChainContext::answer`].
pub struct IncomingRequest<P: Protocol> {
    pub(crate) number: CallId,
    pub(crate) info: RequestInfo<P::Id>,
    pub(crate) request: Rc<P::Request>,
    pub(crate) recipient: Recipient<P::Answer>,
    /// How the call may continue when no client waits for it.
    pub(crate) detach: Option<DetachPolicy>,
    /// The id has passed to a forwarded copy of the request; the call that the copy becomes releases it.
    pub(crate) id_moved: bool,
}

/// The ids of an engine's open calls, each with whether this engine opened it in the group.
#[derive(Debug)]
pub(crate) struct OpenIds<I>(HashMap<I, bool>);

impl<I: Eq + Hash + Clone> OpenIds<I> {
    pub fn new() -> Self {
        OpenIds(HashMap::new())
    }

    /// Opens an id. `own` is `false` for a request that another engine handed over, which has opened the id in the
    /// group already. Returns `false` if the id is open.
    pub fn open<P: Protocol<Id = I>>(
        &mut self,
        id: &I,
        own: bool,
        group: &mut Option<Box<dyn Group<P>>>,
    ) -> bool {
        if self.0.contains_key(id) || own && !group.as_mut().is_none_or(|group| group.open_id(id)) {
            return false;
        }
        self.0.insert(id.clone(), own);
        true
    }

    pub fn close<P: Protocol<Id = I>>(&mut self, id: &I, group: &mut Option<Box<dyn Group<P>>>) {
        if self.0.remove(id) == Some(true) {
            group.iter_mut().for_each(|group| group.close_id(id));
        }
    }

    /// The number of ids that this engine opened.
    pub fn opened_here(&self) -> usize {
        self.0.values().filter(|own| **own).count()
    }
}

/// How a call may continue when no client waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetachPolicy {
    /// Until when its attempts may continue.
    pub until: Instant,
    /// Whether they also continue past the deadline that the decision module sets for an attempt. For calls that may
    /// never be sent again.
    pub past_attempt_deadline: bool,
}

impl<P: Protocol> IncomingRequest<P> {
    /// The number of the request and of the call that it becomes.
    pub fn number(&self) -> CallId {
        self.number
    }

    /// The request's id, class, tenant, deadline and key.
    pub fn info(&self) -> &RequestInfo<P::Id> {
        &self.info
    }

    /// The payload, in the form of the protocol.
    pub fn request(&self) -> &P::Request {
        &self.request
    }
}

impl<P: Protocol> fmt::Debug for IncomingRequest<P> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("IncomingRequest").field("number", &self.number).finish_non_exhaustive()
    }
}
