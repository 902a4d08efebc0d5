//! The state of a call, from its request until it is answered and none of its attempts is in flight.

use super::Recipient;
use crate::group::HostPermit;
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
    /// Who gets the reply; `None` once the call has ended.
    pub recipient: Option<Recipient<P::Answer>>,
    /// Index of the interceptor that has given up the call and is notified of a late answer.
    pub late_recipient: Option<usize>,
    /// When the attempts of a call that an interceptor owns end. It may move while they are in flight, and is later
    /// than the deadline of the waiting requests if the call may continue without them.
    pub extendable_deadline: Option<Rc<Cell<Instant>>>,
    /// Whether attempts may continue past the deadline that the decision module has set for them.
    pub past_attempt_deadline: bool,
    /// No client waits for the call, while attempts in flight go on.
    pub detached: bool,
    /// Whether an attempt has ended that may have run.
    pub may_have_run: bool,
    /// Limits when further attempts may be written.
    pub repeat_window: RepeatWindow,
    /// By attempt number; `None` once the attempt has ended.
    pub attempts: Vec<Option<Attempt>>,
}

impl<P: Protocol> Call<P> {
    /// Whether any attempt so far may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || self.in_flight().any(|in_flight| in_flight.meter.bytes() > 0)
    }

    /// The attempts that are in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().flatten()
    }

    /// Ends the unwanted attempts of which nothing is written yet. In contrast to a cancelled attempt, such an
    /// attempt certainly never ran.
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
                events.push_back(outcome_event(id, attempt, Outcome::NotSent, in_flight.elapsed(), closed));
            }
        }
    }
}

/// The outcome event of an attempt that the proxy itself has ended.
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

/// An attempt in flight.
pub(crate) struct Attempt {
    pub server: ServerId,
    pub address: SocketAddr,
    pub sent: Instant,
    pub meter: Meter,
    /// The permit to send to the host, where engines share its concurrency limit.
    pub permit: Option<HostPermit>,
    /// Ends the exchange and closes its connection when dropped.
    pub _task: Task,
}

impl Attempt {
    /// How long the attempt has taken, without the time for which this process itself held it back: that says nothing of
    /// the host.
    pub fn elapsed(&self) -> Duration {
        self.sent.elapsed().saturating_sub(self.meter.settle_wait())
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        // The task only ends when it is polled next, and nothing may be written until then.
        self.meter.revoke();
    }
}
