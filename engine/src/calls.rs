//! A call from its request until its answer is given and none of its attempts is out.

use crate::protocol::{Meter, Protocol};
use crate::task::Task;
use hyper::body::Bytes;
use nettleworks_keys::{Kind, Known, Slot};
use nettleworks_policy::{CallId, ClassId, Event, Load, Micros, Outcome, ServerId, TenantId};
use std::cell::Cell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, OwnedSemaphorePermit};
use tokio::time::Instant;

/// What the decision module is told of a request.
#[derive(Clone, Debug)]
pub struct Ask<I> {
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
    /// Its idempotency key, where the store of keys is to know it.
    pub key: Option<AskKey>,
}

/// An idempotency key for the store of keys.
#[derive(Clone, Debug)]
pub struct AskKey {
    /// What hosts know of it.
    pub kind: Kind,
    /// The key, as it came.
    pub key: Bytes,
}

/// The one final answer of a request.
#[derive(Debug)]
pub enum Reply<A> {
    /// A host's answer.
    Served(A),
    /// Turned away; it never ran, and the client may come again after this time.
    Refused(Duration),
    /// Failed; it may have run.
    Failed,
    /// It may have run and there is no answer, and this is what is known of its key.
    Unsure(Known),
    /// Its id is that of an open call: hosts would take the two for one. It never ran.
    IdOpen,
    /// Its key belongs to another request. It never ran.
    KeyTaken,
    /// Its key cannot be one. It never ran.
    BadKey,
}

/// Who waits for a call.
#[derive(Debug)]
pub(crate) enum Owner<A> {
    /// One caller.
    One(Caller<A>),
    /// All who wait for a key, in the store of keys.
    Key(Slot),
}

/// Who waits for a call's answer.
#[derive(Debug)]
pub struct Caller<A> {
    /// Where its one answer goes.
    pub reply: oneshot::Sender<Reply<A>>,
    /// A place among the open calls, set free when it is answered or its caller has gone.
    pub place: Option<OwnedSemaphorePermit>,
}

impl<A> Caller<A> {
    pub(crate) fn answer(self, reply: Reply<A>) {
        // Free before the answer is there: whoever has it may ask again at once.
        drop(self.place);
        // A client that has just gone has no use for it.
        let _ = self.reply.send(reply);
    }
}

pub(crate) struct Call<P: Protocol> {
    pub id: P::Id,
    pub class: ClassId,
    pub request: Rc<P::Request>,
    pub deadline: Instant,
    /// `None`: it is over.
    pub caller: Option<Owner<P::Answer>>,
    /// When its attempts end, for one that is owned by a key: it may move while they are out, and is later than the
    /// deadline of those who wait where it may go on without them.
    pub limit: Option<Rc<Cell<Instant>>>,
    /// Nobody waits for it, and what is out of it goes on.
    pub lingers: bool,
    /// The key whose call it was, once nobody waits for it any more.
    pub late: Option<Slot>,
    /// An attempt has ended of which it is not sure that it never ran.
    pub may_have_run: bool,
    /// `None`: that attempt has ended.
    pub attempts: Vec<Option<Attempt>>,
}

impl<P: Protocol> Call<P> {
    /// Whether any attempt so far may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || self.attempts.iter().flatten().any(|out| out.meter.bytes() > 0)
    }

    /// Ends the attempts that are unwanted and of which nothing is written yet. Unlike one that is called off,
    /// such an attempt surely never ran.
    pub fn withdraw(
        &mut self,
        id: CallId,
        events: &mut VecDeque<Event>,
        unwanted: impl Fn(&Attempt) -> bool,
    ) {
        let closed = self.caller.is_none();
        for (attempt, out) in (0..).zip(&mut self.attempts) {
            if let Some(out) = out.take_if(|out| out.meter.bytes() == 0 && unwanted(out)) {
                events.push_back(ended(id, attempt, Outcome::NotSent, out.sent.elapsed(), closed));
            }
        }
    }
}

/// The outcome of an attempt that the proxy itself has ended.
pub(crate) fn ended(call: CallId, attempt: u32, outcome: Outcome, elapsed: Duration, closed: bool) -> Event {
    let (elapsed, load) = (elapsed.as_micros() as Micros, Load::default());
    Event::Outcome { call, attempt, outcome, elapsed, closed, load }
}

/// An attempt that is out.
pub(crate) struct Attempt {
    pub server: ServerId,
    pub address: SocketAddr,
    pub sent: Instant,
    pub meter: Meter,
    /// Ends the exchange and closes its connection when dropped.
    pub _task: Task,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        // The task ends when it is polled next; nothing may be written by then.
        self.meter.revoke();
    }
}
