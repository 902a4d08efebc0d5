//! A call from its request until its answer is given and none of its attempts is out.

use super::Recipient;
use crate::group::HostPermit;
use crate::meter::{Meter, Repeats};
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
    pub recipient: Option<Recipient<P::Answer>>,
    /// The station that has given it up, and hears of an answer that comes all the same.
    pub late_recipient: Option<usize>,
    /// When its attempts end, for one that a station owns: it may move while they are out, and is later than the
    /// deadline of those who wait where it may go on without them.
    pub extendable_deadline: Option<Rc<Cell<Instant>>>,
    /// Its attempts go on past an end that the module has set.
    pub past_attempt_deadline: bool,
    /// Nobody waits for it, and what is out of it goes on.
    pub detached: bool,
    /// An attempt has ended of which it is not sure that it never ran.
    pub may_have_run: bool,
    /// When its attempts may be written.
    pub repeat_window: Repeats,
    /// `None`: that attempt has ended.
    pub attempts: Vec<Option<Attempt>>,
}

impl<P: Protocol> Call<P> {
    /// Whether any attempt so far may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || self.in_flight().any(|in_flight| in_flight.meter.bytes() > 0)
    }

    /// The attempts that are out.
    pub fn in_flight(&self) -> impl Iterator<Item = &Attempt> {
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
        let closed = self.recipient.is_none();
        for (attempt, in_flight) in (0..).zip(&mut self.attempts) {
            if let Some(in_flight) =
                in_flight.take_if(|in_flight| in_flight.meter.bytes() == 0 && unwanted(in_flight))
            {
                events.push_back(outcome_event(
                    id,
                    attempt,
                    Outcome::NotSent,
                    in_flight.sent.elapsed(),
                    closed,
                ));
            }
        }
    }
}

/// The outcome of an attempt that the proxy itself has ended.
pub(crate) fn outcome_event(
    call: CallId,
    attempt: u32,
    outcome: Outcome,
    elapsed: Duration,
    closed: bool,
) -> Event {
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
    pub permit: Option<HostPermit>,
    /// Ends the exchange and closes its connection when dropped.
    pub _task: Task,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        // The task ends when it is polled next; nothing may be written by then.
        self.meter.revoke();
    }
}
