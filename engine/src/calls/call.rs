//! A call from its request until its answer is given and none of its attempts is out.

use super::Owner;
use crate::group::Place;
use crate::meter::{Meter, RepeatWindow};
use crate::protocol::Protocol;
use crate::task::Task;
use nettleworks_policy::{CallId, Event, Load, Micros, Outcome, ServerId};
use std::cell::Cell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

pub(crate) struct Call<P: Protocol> {
    pub id: P::Id,
    pub request: Rc<P::Request>,
    pub deadline: Instant,
    /// `None`: it is over.
    pub owner: Option<Owner<P::Answer>>,
    /// The station that has given it up, and hears of an answer that comes all the same.
    pub late: Option<usize>,
    /// When its attempts end, for one that a station owns: it may move while they are out, and is later than the
    /// deadline of those who wait where it may go on without them.
    pub limit: Option<Rc<Cell<Instant>>>,
    /// Its attempts go on past an end that the module has set.
    pub past_aim: bool,
    /// Nobody waits for it, and what is out of it goes on.
    pub lingers: bool,
    /// An attempt has ended of which it is not sure that it never ran.
    pub may_have_run: bool,
    /// When its attempts may be written.
    pub repeats: RepeatWindow,
    /// `None`: that attempt has ended.
    pub attempts: Vec<Option<Attempt>>,
}

impl<P: Protocol> Call<P> {
    /// Whether any attempt so far may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || self.out().any(|out| out.meter.bytes() > 0)
    }

    /// The attempts that are out.
    pub fn out(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().flatten()
    }

    /// Ends the attempts that are unwanted and of which nothing is written yet. Unlike one that is called off,
    /// such an attempt surely never ran.
    pub fn withdraw(
        &mut self,
        id: CallId,
        events: &mut VecDeque<Event>,
        unwanted: impl Fn(&Attempt) -> bool,
    ) {
        let closed = self.owner.is_none();
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
    /// Its place at the host, where room there is shared.
    pub place: Option<Place>,
    /// Ends the exchange and closes its connection when dropped.
    pub _task: Task,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        // The task ends when it is polled next; nothing may be written by then.
        self.meter.revoke();
    }
}
