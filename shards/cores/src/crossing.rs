//! The station that hands a request with a key to the shard that the key belongs to, whole, and hands its answer back.
//!
//! A request is with one shard at a time. Here it waits for its answer, there it is a request like any; whoever gives it
//! up, this side by its [`Ticket`] or the other by its answer, decides what its client is told:
//!
//! - not yet taken there: withdrawn, it surely never ran, and is refused at once;
//! - taken there: its answer, or at its deadline, or when that shard has ended, that its key is unsure.
//!
//! A key whose shard has ended is unsure for as long as a store would have remembered it. One whose shard does not
//! answer is refused until it does: two stores must not know of one key.

use crate::hub::{Handover, Message, SharedState};
use crate::seat::key_parts;
use nettleworks_engine::calls::{Doubt, Guest, Reply};
use nettleworks_engine::protocol::Protocol;
use nettleworks_engine::station::{Desk, Station, Step, Taken};
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

/// Requests of a shard that may be with others at a time; one more is refused.
const MAX_FORWARDED: usize = 4_096;
/// How much later than at its deadline a request is given up here: the shard that has it ends it in its time.
const GRACE: Duration = Duration::from_millis(10);
/// When to come again after a refusal, where the settings allow that.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// What a key is at of which nobody here knows whether it ran: a name of the store of keys.
const UNSURE: &str = "unsure";

struct Forwarded<P: Protocol> {
    owner: Shard,
    since: Instant,
    token: Arc<HandoverToken>,
    held: Taken<P>,
    give_up_at: Instant,
}

/// What has crossed so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Crossed {
    /// Handed to another shard.
    pub handed: u64,
    /// Refused: the other shard's queue was full, it did not answer, or too many were out.
    pub refused: u64,
    /// Given up at their deadline, or with the shard that had them.
    pub given_up: u64,
    /// Answers that came back.
    pub answered: u64,
}

/// The station.
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

    fn retry_after(context: &Desk<P>) -> Duration {
        match context.config().settings.limits.max_retry_after {
            0 => RETRY_AFTER,
            max => RETRY_AFTER.min(Duration::from_micros(max)),
        }
    }

    fn refuse(&mut self, context: &mut Desk<P>, incoming: Guest<P>) -> Step<P> {
        self.counters.refused += 1;
        let reply = Reply::Refused(Self::retry_after(context));
        context.answer(incoming, reply);
        Step::Done
    }

    fn remove(&mut self, call: CallId) -> Option<Forwarded<P>> {
        let forwarded = self.forwarded.remove(&call)?;
        self.by_give_up_time.remove(&(forwarded.give_up_at, call));
        Some(forwarded)
    }

    /// An answer has come back. One that was given up has had its own.
    pub(crate) fn reply_received(&mut self, context: &mut Desk<P>, call: CallId, reply: Reply<P::Answer>) {
        if let Some(forwarded) = self.remove(call) {
            self.counters.answered += 1;
            context.answer_taken(forwarded.held, reply);
        }
    }

    /// A request is waited for no longer. Whether the other shard is to hear so comes back.
    fn give_up(&mut self, context: &mut Desk<P>, call: CallId) -> Option<Shard> {
        let forwarded = self.remove(call)?;
        self.counters.given_up += 1;
        let cancelled = forwarded.token.cancel();
        let reply = match cancelled {
            true => Reply::Refused(Self::retry_after(context)),
            // The shard that has it may know more, and is late.
            false => Reply::Unsure(Doubt { at: UNSURE, age: forwarded.since.elapsed() }),
        };
        context.answer_taken(forwarded.held, reply);
        (!cancelled).then_some(forwarded.owner)
    }

    /// A shard has ended, or does not answer: what it had is given up, or what it has not taken.
    pub(crate) fn liveness_changed(&mut self, context: &mut Desk<P>, shard: Shard, liveness: Liveness) {
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
                context.answer_taken(forwarded.held, reply);
            }
        }
    }

    fn send_abandoned(&self, shard: Shard, call: CallId) {
        if let Some(mailbox) = self.shared.mailboxes.get(shard) {
            // One that has ended has nothing to call off.
            let _ = mailbox.messages.send(Message::Abandoned { from: self.me, call });
        }
    }
}

impl<P: Protocol> Station<P> for KeyRouter<P>
where
    P::Request: Clone,
{
    fn name(&self) -> &'static str {
        "crossing"
    }

    fn arrive(&mut self, context: &mut Desk<P>, incoming: Guest<P>) -> Step<P> {
        let metadata = incoming.ask();
        let Some((tenant, class, key)) = key_parts(metadata) else { return Step::Pass(incoming) };
        let (owner, liveness) = {
            let table = self.liveness.borrow();
            let owner = table.key_owner(self.shared.now(), self.shared.seed, tenant, class, key);
            (owner, table.liveness(owner))
        };
        if owner == self.me {
            return Step::Pass(incoming);
        }
        if liveness == Liveness::Dead {
            // Nobody knows any more whether it ran.
            context.answer(incoming, Reply::Unsure(Doubt { at: UNSURE, age: Duration::ZERO }));
            return Step::Done;
        }
        if liveness == Liveness::Stalled || self.forwarded.len() >= MAX_FORWARDED {
            return self.refuse(context, incoming);
        }
        let Some(mailbox) = self.shared.mailboxes.get(owner) else { return self.refuse(context, incoming) };
        let (call, token) = (incoming.number(), Arc::new(HandoverToken::default()));
        let (metadata, request) = (metadata.clone(), incoming.request().clone());
        let give_up_at = metadata.deadline + GRACE;
        let handover = Handover { from: self.me, call, metadata, request, token: token.clone() };
        match mailbox.requests.try_send(handover) {
            Ok(()) => {}
            // It has not been taken, and never will be.
            Err(TrySendError::Full(_) | TrySendError::Closed(_)) => return self.refuse(context, incoming),
        }
        self.counters.handed += 1;
        let held = context.keep(incoming);
        self.forwarded.insert(call, Forwarded { owner, since: Instant::now(), token, held, give_up_at });
        self.by_give_up_time.insert((give_up_at, call));
        context.arm(give_up_at);
        Step::Done
    }

    fn gone(&mut self, context: &mut Desk<P>, call: CallId) -> bool {
        if !self.forwarded.contains_key(&call) {
            return false;
        }
        if let Some(shard) = self.give_up(context, call) {
            self.send_abandoned(shard, call);
        }
        true
    }

    fn wake_at(&self, _: &Desk<P>) -> Option<Instant> {
        self.by_give_up_time.first().map(|(give_up_at, _)| *give_up_at)
    }

    fn wake(&mut self, context: &mut Desk<P>) {
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

    fn line(&self) -> Option<String> {
        Some(format!("{} out, {:?}", self.forwarded.len(), self.counters))
    }
}
