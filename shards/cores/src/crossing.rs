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

use crate::hub::{Handover, Hub, Note};
use crate::seat::key_of;
use nettleworks_engine::calls::{IncomingRequest, KeyStatus, Reply};
use nettleworks_engine::interceptor::{ChainContext, HeldRequest, Interceptor, RequestFlow};
use nettleworks_engine::protocol::Protocol;
use nettleworks_policy::CallId;
use nettleworks_shards::roll::{Life, Roll};
use nettleworks_shards::room::Shard;
use nettleworks_shards::ticket::Ticket;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::error::TrySendError;
use tokio::time::Instant;

/// Requests of a shard that may be with others at a time; one more is refused.
const OUT_MOST: usize = 4_096;
/// How much later than at its deadline a request is given up here: the shard that has it ends it in its time.
const GRACE: Duration = Duration::from_millis(10);
/// When to come again after a refusal, where the settings allow that.
const ADVICE: Duration = Duration::from_millis(250);

/// What a key is at of which nobody here knows whether it ran: a name of the store of keys.
const UNSURE: &str = "unsure";

struct Out<P: Protocol> {
    to: Shard,
    since: Instant,
    ticket: Arc<Ticket>,
    taken: HeldRequest<P>,
    due: Instant,
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
pub struct Crossing<P: Protocol> {
    hub: Arc<Hub<P>>,
    me: Shard,
    roll: Rc<RefCell<Roll>>,
    out: BTreeMap<CallId, Out<P>>,
    due: BTreeSet<(Instant, CallId)>,
    crossed: Crossed,
}

impl<P: Protocol> Crossing<P> {
    pub(crate) fn new(hub: Arc<Hub<P>>, me: Shard, roll: Rc<RefCell<Roll>>) -> Crossing<P> {
        Crossing { hub, me, roll, out: BTreeMap::new(), due: BTreeSet::new(), crossed: Crossed::default() }
    }

    fn advice(desk: &ChainContext<P>) -> Duration {
        match desk.config().settings.limits.max_retry_after {
            0 => ADVICE,
            most => ADVICE.min(Duration::from_micros(most)),
        }
    }

    fn refuse(&mut self, desk: &mut ChainContext<P>, guest: IncomingRequest<P>) -> RequestFlow<P> {
        self.crossed.refused += 1;
        let reply = Reply::Refused(Self::advice(desk));
        desk.answer(guest, reply);
        RequestFlow::Handled
    }

    fn remove(&mut self, number: CallId) -> Option<Out<P>> {
        let out = self.out.remove(&number)?;
        self.due.remove(&(out.due, number));
        Some(out)
    }

    /// An answer has come back. One that was given up has had its own.
    pub(crate) fn answered(&mut self, desk: &mut ChainContext<P>, number: CallId, reply: Reply<P::Answer>) {
        if let Some(out) = self.remove(number) {
            self.crossed.answered += 1;
            desk.answer_held(out.taken, reply);
        }
    }

    /// A request is waited for no longer. Whether the other shard is to hear so comes back.
    fn give_up(&mut self, desk: &mut ChainContext<P>, number: CallId) -> Option<Shard> {
        let out = self.remove(number)?;
        self.crossed.given_up += 1;
        let withdrawn = out.ticket.withdraw();
        let reply = match withdrawn {
            true => Reply::Refused(Self::advice(desk)),
            // The shard that has it may know more, and is late.
            false => Reply::Unsure(KeyStatus { state: UNSURE, age: out.since.elapsed() }),
        };
        desk.answer_held(out.taken, reply);
        (!withdrawn).then_some(out.to)
    }

    /// A shard has ended, or does not answer: what it had is given up, or what it has not taken.
    pub(crate) fn changed(&mut self, desk: &mut ChainContext<P>, shard: Shard, life: Life) {
        let there = self.out.iter().filter(|(_, out)| out.to == shard);
        let numbers: Vec<CallId> = there.map(|(number, _)| *number).collect();
        for number in numbers {
            let lost = match life {
                Life::Living => false,
                Life::Dead => true,
                Life::Stalled => self.out.get(&number).is_some_and(|out| out.ticket.withdraw()),
            };
            if !lost {
                continue;
            }
            if life == Life::Dead {
                self.give_up(desk, number);
            } else if let Some(out) = self.remove(number) {
                self.crossed.refused += 1;
                let reply = Reply::Refused(Self::advice(desk));
                desk.answer_held(out.taken, reply);
            }
        }
    }

    fn no_longer(&self, shard: Shard, number: CallId) {
        if let Some(post) = self.hub.posts.get(shard) {
            // One that has ended has nothing to call off.
            let _ = post.notes.send(Note::Gone { from: self.me, number });
        }
    }
}

impl<P: Protocol> Interceptor<P> for Crossing<P>
where
    P::Request: Clone,
{
    fn name(&self) -> &'static str {
        "crossing"
    }

    fn on_request(&mut self, desk: &mut ChainContext<P>, guest: IncomingRequest<P>) -> RequestFlow<P> {
        let ask = guest.info();
        let Some((tenant, class, key)) = key_of(ask) else { return RequestFlow::Continue(guest) };
        let (to, life) = {
            let roll = self.roll.borrow();
            let to = roll.owner(self.hub.now(), self.hub.seed, tenant, class, key);
            (to, roll.life(to))
        };
        if to == self.me {
            return RequestFlow::Continue(guest);
        }
        if life == Life::Dead {
            // Nobody knows any more whether it ran.
            desk.answer(guest, Reply::Unsure(KeyStatus { state: UNSURE, age: Duration::ZERO }));
            return RequestFlow::Handled;
        }
        if life == Life::Stalled || self.out.len() >= OUT_MOST {
            return self.refuse(desk, guest);
        }
        let Some(post) = self.hub.posts.get(to) else { return self.refuse(desk, guest) };
        let (number, ticket) = (guest.number(), Arc::new(Ticket::default()));
        let (ask, request) = (ask.clone(), guest.request().clone());
        let due = ask.deadline + GRACE;
        let handover = Handover { from: self.me, number, ask, request, ticket: ticket.clone() };
        match post.requests.try_send(handover) {
            Ok(()) => {}
            // It has not been taken, and never will be.
            Err(TrySendError::Full(_) | TrySendError::Closed(_)) => return self.refuse(desk, guest),
        }
        self.crossed.handed += 1;
        let taken = desk.hold(guest);
        self.out.insert(number, Out { to, since: Instant::now(), ticket, taken, due });
        self.due.insert((due, number));
        desk.wake_by(due);
        RequestFlow::Handled
    }

    fn on_cancel(&mut self, desk: &mut ChainContext<P>, number: CallId) -> bool {
        if !self.out.contains_key(&number) {
            return false;
        }
        if let Some(shard) = self.give_up(desk, number) {
            self.no_longer(shard, number);
        }
        true
    }

    fn wake_at(&self, _: &ChainContext<P>) -> Option<Instant> {
        self.due.first().map(|(due, _)| *due)
    }

    fn on_wake(&mut self, desk: &mut ChainContext<P>) {
        let now = Instant::now();
        while let Some(&(_, number)) = self.due.first().filter(|(due, _)| *due <= now) {
            if let Some(shard) = self.give_up(desk, number) {
                self.no_longer(shard, number);
            }
        }
    }

    fn waiting(&self) -> usize {
        self.out.len()
    }

    fn state(&self) -> Option<Rc<dyn std::any::Any>> {
        Some(Rc::new(self.crossed))
    }

    fn log_line(&self) -> Option<String> {
        Some(format!("{} out, {:?}", self.out.len(), self.crossed))
    }
}
