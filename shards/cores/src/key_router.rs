//! Forwards a request with an idempotency key to the shard that owns the key, and returns that shard's reply.
//!
//! A request is with one shard at a time. Its client waits here, while the owner handles it like any other request. When
//! this shard gives a request up, the [`HandoverToken`] decides what its client is told:
//!
//! - Not yet accepted by the owner: it is cancelled, certainly never ran, and is refused at once.
//! - Accepted by the owner: the client gets the owner's reply, or at its deadline, or when the owner has ended, the reply
//!   that its key is unsure.
//!
//! A key whose owner has ended is unsure for as long as a store would have remembered it. Requests for a key whose owner
//! is stalled are refused until it recovers, since two stores must not hold one key.

use crate::shard::key_parts;
use crate::shared::{Handover, Message, SharedState};
use nettleworks_engine::calls::{IncomingRequest, KeyStatus, Reply};
use nettleworks_engine::interceptor::{ChainContext, HeldRequest, Interceptor, RequestFlow};
use nettleworks_engine::protocol::Protocol;
use nettleworks_policy::CallId;
use nettleworks_shards::capacity::Shard;
use nettleworks_shards::handover::HandoverToken;
use nettleworks_shards::liveness::{Liveness, LivenessTable};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::error::TrySendError;
use tokio::time::Instant;

/// Maximum number of a shard's requests that may be with other shards at a time; further ones are refused.
const MAX_FORWARDED: usize = 4_096;
/// How long after its deadline a forwarded request is given up here. The owner ends it at its deadline, and its reply
/// needs time to arrive.
const REPLY_MARGIN: Duration = Duration::from_millis(10);
/// When a client may retry after a refusal, as far as the settings allow.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// The state of a key whose request may have run or not, as far as this shard can tell. The name is that of the store
/// of keys.
const UNSURE: &str = "unsure";

/// A request that is with another shard.
struct Forwarded<P: Protocol> {
    owner: Shard,
    since: Instant,
    token: Arc<HandoverToken>,
    held: HeldRequest<P>,
    give_up_at: Instant,
}

/// Counters of forwarded requests. Their names appear in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Crossed {
    /// Requests handed to another shard.
    pub handed: u64,
    /// Requests refused: the owner's queue was full, the owner was stalled, or too many were with other shards.
    pub refused: u64,
    /// Requests given up at their deadline, because their client disconnected, or because the owner ended.
    pub given_up: u64,
    /// Replies received from other shards.
    pub answered: u64,
}

/// Forwards requests with an idempotency key to the shard that owns the key.
pub struct KeyRouter<P: Protocol> {
    shared: Arc<SharedState<P>>,
    me: Shard,
    liveness: Rc<RefCell<LivenessTable>>,
    forwarded: BTreeMap<CallId, Forwarded<P>>,
    by_give_up_time: BTreeSet<(Instant, CallId)>,
    counters: Crossed,
}

impl<P: Protocol> KeyRouter<P> {
    pub(crate) fn new(
        shared: Arc<SharedState<P>>,
        me: Shard,
        liveness: Rc<RefCell<LivenessTable>>,
    ) -> KeyRouter<P> {
        KeyRouter {
            shared,
            me,
            liveness,
            forwarded: BTreeMap::new(),
            by_give_up_time: BTreeSet::new(),
            counters: Crossed::default(),
        }
    }

    fn retry_after(context: &ChainContext<P>) -> Duration {
        match context.config().settings.limits.max_retry_after {
            0 => RETRY_AFTER,
            max => RETRY_AFTER.min(Duration::from_micros(max)),
        }
    }

    fn refuse(&mut self, context: &mut ChainContext<P>, incoming: IncomingRequest<P>) -> RequestFlow<P> {
        self.counters.refused += 1;
        let reply = Reply::Refused(Self::retry_after(context));
        context.answer(incoming, reply);
        RequestFlow::Handled
    }

    fn remove(&mut self, call: CallId) -> Option<Forwarded<P>> {
        let forwarded = self.forwarded.remove(&call)?;
        self.by_give_up_time.remove(&(forwarded.give_up_at, call));
        Some(forwarded)
    }

    /// Handles the owner's reply. A request that was given up has already been answered.
    pub(crate) fn reply_received(
        &mut self,
        context: &mut ChainContext<P>,
        call: CallId,
        reply: Reply<P::Answer>,
    ) {
        if let Some(forwarded) = self.remove(call) {
            self.counters.answered += 1;
            context.answer_held(forwarded.held, reply);
        }
    }

    /// Gives a request up and answers its client. Returns the owner if that has accepted the request, and is to be
    /// notified.
    fn give_up(&mut self, context: &mut ChainContext<P>, call: CallId) -> Option<Shard> {
        let forwarded = self.remove(call)?;
        self.counters.given_up += 1;
        let cancelled = forwarded.token.cancel();
        let reply = match cancelled {
            true => Reply::Refused(Self::retry_after(context)),
            // The owner may know more, but has not replied in time.
            false => Reply::Unsure(KeyStatus { state: UNSURE, age: forwarded.since.elapsed() }),
        };
        context.answer_held(forwarded.held, reply);
        (!cancelled).then_some(forwarded.owner)
    }

    /// Handles a change of a shard's liveness: gives up all requests that are with it if it has ended, or refuses those
    /// that it has not accepted if it is stalled.
    pub(crate) fn liveness_changed(
        &mut self,
        context: &mut ChainContext<P>,
        shard: Shard,
        liveness: Liveness,
    ) {
        let at_shard = self.forwarded.iter().filter(|(_, forwarded)| forwarded.owner == shard);
        let calls: Vec<CallId> = at_shard.map(|(call, _)| *call).collect();
        for call in calls {
            let lost = match liveness {
                Liveness::Alive => false,
                Liveness::Dead => true,
                Liveness::Stalled => {
                    self.forwarded.get(&call).is_some_and(|forwarded| forwarded.token.cancel())
                }
            };
            if !lost {
                continue;
            }
            if liveness == Liveness::Dead {
                self.give_up(context, call);
            } else if let Some(forwarded) = self.remove(call) {
                self.counters.refused += 1;
                let reply = Reply::Refused(Self::retry_after(context));
                context.answer_held(forwarded.held, reply);
            }
        }
    }

    /// Notifies the owner that no client waits for a request any more.
    fn send_abandoned(&self, shard: Shard, call: CallId) {
        if let Some(mailbox) = self.shared.mailboxes.get(shard) {
            // A shard that has ended has nothing to cancel.
            let _ = mailbox.messages.send(Message::Abandoned { from: self.me, call });
        }
    }
}

impl<P: Protocol> Interceptor<P> for KeyRouter<P>
where
    P::Request: Clone,
{
    fn name(&self) -> &'static str {
        "crossing"
    }

    fn on_request(&mut self, context: &mut ChainContext<P>, incoming: IncomingRequest<P>) -> RequestFlow<P> {
        let request_info = incoming.info();
        let Some((tenant, class, key)) = key_parts(request_info) else {
            return RequestFlow::Continue(incoming);
        };
        let (owner, liveness) = {
            let table = self.liveness.borrow();
            let owner = table.key_owner(self.shared.now(), self.shared.seed, tenant, class, key);
            (owner, table.liveness(owner))
        };
        if owner == self.me {
            return RequestFlow::Continue(incoming);
        }
        if liveness == Liveness::Dead {
            // Only the shard that has ended had recorded whether it ran.
            context.answer(incoming, Reply::Unsure(KeyStatus { state: UNSURE, age: Duration::ZERO }));
            return RequestFlow::Handled;
        }
        if liveness == Liveness::Stalled || self.forwarded.len() >= MAX_FORWARDED {
            return self.refuse(context, incoming);
        }
        let Some(mailbox) = self.shared.mailboxes.get(owner) else { return self.refuse(context, incoming) };
        let (call, token) = (incoming.number(), Arc::new(HandoverToken::default()));
        let (request_info, request) = (request_info.clone(), incoming.request().clone());
        let give_up_at = request_info.deadline + REPLY_MARGIN;
        let handover = Handover { from: self.me, call, request_info, request, token: token.clone() };
        match mailbox.requests.try_send(handover) {
            Ok(()) => {}
            // It was not accepted, and never will be.
            Err(TrySendError::Full(_) | TrySendError::Closed(_)) => return self.refuse(context, incoming),
        }
        self.counters.handed += 1;
        let held = context.hold(incoming);
        self.forwarded.insert(call, Forwarded { owner, since: Instant::now(), token, held, give_up_at });
        self.by_give_up_time.insert((give_up_at, call));
        context.wake_by(give_up_at);
        RequestFlow::Handled
    }

    fn on_cancel(&mut self, context: &mut ChainContext<P>, call: CallId) -> bool {
        if !self.forwarded.contains_key(&call) {
            return false;
        }
        if let Some(shard) = self.give_up(context, call) {
            self.send_abandoned(shard, call);
        }
        true
    }

    fn wake_at(&self, _: &ChainContext<P>) -> Option<Instant> {
        self.by_give_up_time.first().map(|(give_up_at, _)| *give_up_at)
    }

    fn on_wake(&mut self, context: &mut ChainContext<P>) {
        let now = Instant::now();
        while let Some(&(_, call)) = self.by_give_up_time.first().filter(|(give_up_at, _)| *give_up_at <= now)
        {
            if let Some(shard) = self.give_up(context, call) {
                self.send_abandoned(shard, call);
            }
        }
    }

    fn waiting(&self) -> usize {
        self.forwarded.len()
    }

    fn state(&self) -> Option<Rc<dyn std::any::Any>> {
        Some(Rc::new(self.counters))
    }

    fn log_line(&self) -> Option<String> {
        Some(format!("{} out, {:?}", self.forwarded.len(), self.counters))
    }
}
