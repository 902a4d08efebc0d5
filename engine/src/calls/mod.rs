//! Calls: what comes in of one, who waits for it, and its one final answer. What is out of it is in [`call`].

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

/// What the decision module is told of a request.
#[derive(Clone, Debug)]
pub struct RequestInfo<I> {
    /// Its id, which no other open request has.
    pub id: I,
    /// Its class.
    pub class: ClassId,
    /// Whose it is.
    pub tenant: Option<TenantId>,
    /// Until when the client is to have its answer.
    pub deadline: Instant,
    /// The client has tried before.
    pub resent: bool,
    /// Its idempotency key, where one is of any use here.
    pub key: Option<Bytes>,
}

/// What is known of a request that may have run and has no answer to give.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyStatus {
    /// What it is at, by a name that does not change.
    pub state: &'static str,
    /// How long ago it first came.
    pub age: Duration,
}

/// The one final answer of a request.
#[derive(Clone, Debug)]
pub enum Reply<A> {
    /// A host's answer.
    Served(A),
    /// Turned away; it never ran, and the client may come again after this time.
    Refused(Duration),
    /// Failed; it may have run.
    Failed,
    /// It may have run and there is no answer, and this is what is known of it.
    Unsure(KeyStatus),
    /// Its id is that of an open call: hosts would take the two for one. It never ran.
    DuplicateId,
    /// Its key belongs to another request. It never ran.
    KeyReused,
    /// Its key cannot be one. It never ran.
    InvalidKey,
}

/// Who waits for a call's answer.
#[derive(Debug)]
pub struct Caller<A> {
    /// Where its one answer goes.
    pub reply: oneshot::Sender<Reply<A>>,
    /// A place among the open calls, set free when it is answered or its caller has gone.
    pub permit: Option<OwnedSemaphorePermit>,
}

impl<A> Caller<A> {
    pub(crate) fn answer(self, reply: Reply<A>) {
        // Free before the answer is there: whoever has it may ask again at once.
        drop(self.permit);
        // A client that has just gone has no use for it.
        let _ = self.reply.send(reply);
    }
}

/// Who hears of a call's end.
#[derive(Debug)]
pub(crate) enum Recipient<A> {
    /// One caller.
    Caller(Caller<A>),
    /// The station of this place on the way, which has taken it.
    Interceptor(usize),
}

/// A request on its way in, from station to station, until it is a call that the module hears of. Who waits for it goes
/// with it: whoever takes it in answers it once, by [`crate::interceptor::ChainContext::answer`].
pub struct IncomingRequest<P: Protocol> {
    pub(crate) number: CallId,
    pub(crate) info: RequestInfo<P::Id>,
    pub(crate) request: Rc<P::Request>,
    pub(crate) recipient: Recipient<P::Answer>,
    pub(crate) detach: Option<DetachPolicy>,
    /// Its id is that of a call at hosts, which sets it free.
    pub(crate) id_moved: bool,
}

/// The ids of an engine's open calls, and whether they were opened here.
#[derive(Debug)]
pub(crate) struct OpenIds<I>(HashMap<I, bool>);

impl<I: Eq + Hash + Clone> OpenIds<I> {
    pub fn new() -> Self {
        OpenIds(HashMap::new())
    }

    /// Opens an id for a request of this engine's own, or for one that another has handed over, where it is open.
    /// `false`: it is open already.
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

    /// How many were opened here.
    pub fn opened_here(&self) -> usize {
        self.0.values().filter(|own| **own).count()
    }
}

/// How a call may go on when nobody waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetachPolicy {
    /// Until when its attempts may go on.
    pub until: Instant,
    /// Also past an end that the module has set for an attempt, as it can never go again.
    pub past_attempt_deadline: bool,
}

impl<P: Protocol> IncomingRequest<P> {
    /// Its number, which names its call too.
    pub fn number(&self) -> CallId {
        self.number
    }

    /// What it says of itself.
    pub fn info(&self) -> &RequestInfo<P::Id> {
        &self.info
    }

    /// What it carries.
    pub fn request(&self) -> &P::Request {
        &self.request
    }
}

impl<P: Protocol> fmt::Debug for IncomingRequest<P> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("Guest").field("number", &self.number).finish_non_exhaustive()
    }
}
