//! Interceptors: subsystems on the path of a call, between the front end and the decision module.
//!
//! A request passes the interceptors in the order of the chain and then becomes a call in the decision module, which
//! sends its attempts. The end of the call passes back to whoever waits for it. A subsystem consists of a core in a
//! package of its own and one adapter that implements [`Interceptor`]. The driver owns ordering, time and the calls
//! and uses interceptors only through this trait. A disabled subsystem is not in the chain.
//!
//! The order of processing is fixed and does not depend on timing:
//!
//! - A request passes the interceptors from first to last. The first one that answers or holds it decides; later ones
//!   do not see it. A request that an interceptor forwards continues at the next one.
//! - The end of a call goes from last to first: it is passed to the interceptor that owns the call, which answers the
//!   requests that it holds.
//! - A call ends once. Operations on a call that has ended have no effect and are no error.
//! - A client's cancellation is offered to the interceptors from first to last until one returns that it holds the
//!   request.

use crate::calls::call::{outcome_event, Attempt, Call};
use crate::calls::{DetachPolicy, IncomingRequest, OpenIds, Recipient, Reply};
use crate::clock::Clock;
use crate::config::Config;
use crate::group::Group;
use crate::protocol::{Protocol, Target};
use crate::Log;
use nettleworks_policy::{CallId, Event, Micros, Outcome, ServerId};
use std::any::Any;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What an interceptor does with a request.
pub enum RequestFlow<P: Protocol> {
    /// Passes the request to the next interceptor, or to the decision module after the last one.
    Continue(IncomingRequest<P>),
    /// The interceptor has answered the request, or holds it and will answer it later.
    Handled,
}

/// How a call ended that an interceptor owns.
#[derive(Debug)]
pub struct CallEnd<A> {
    /// The reply to the call.
    pub reply: Reply<A>,
    /// Whether an attempt may have run on a host. `false` is a guarantee that none did.
    pub may_have_run: bool,
}

/// A subsystem on the path of a call. All methods run on the engine's thread, and none may block.
///
/// An implementation must bound what it stores and answer each request that it holds exactly once.
pub trait Interceptor<P: Protocol>: Any {
    /// The name in the log and in the state.
    fn name(&self) -> &'static str;

    /// Handles a request on its way to the decision module.
    fn on_request(&mut self, _context: &mut ChainContext<P>, incoming: IncomingRequest<P>) -> RequestFlow<P> {
        RequestFlow::Continue(incoming)
    }

    /// Called before an attempt of any call is sent to a host. `false` vetoes the attempt, which then certainly never
    /// ran.
    fn allow_attempt(&mut self, _context: &mut ChainContext<P>, _call: CallId, _to: Target) -> bool {
        true
    }

    /// Called when an attempt of any call has ended.
    fn on_outcome(
        &mut self,
        _context: &mut ChainContext<P>,
        _call: CallId,
        _server: ServerId,
        _outcome: Outcome,
    ) {
    }

    /// Called when a call that this interceptor owns has ended; once per call.
    fn on_call_end(&mut self, _context: &mut ChainContext<P>, _call: CallId, _end: CallEnd<P::Answer>) {}

    /// Called once after [`ChainContext::give_up`]: with an answer that arrived all the same, or with `None` when none of
    /// the call's attempts is in flight any more.
    fn on_late_end(&mut self, _context: &mut ChainContext<P>, _call: CallId, _answer: Option<P::Answer>) {}

    /// Called when the deadline that the decision module has set for an attempt is reached and the call may continue
    /// past it ([`DetachPolicy::past_attempt_deadline`]). The interceptor answers the waiting requests.
    fn on_attempt_deadline(&mut self, _context: &mut ChainContext<P>, _call: CallId) {}

    /// Called when the client of a request has cancelled it. Returns `false` if this interceptor does not hold the
    /// request.
    fn on_cancel(&mut self, _context: &mut ChainContext<P>, _request: CallId) -> bool {
        false
    }

    /// When [`Interceptor::on_wake`] is due next. Evaluated again after each wake-up and after
    /// [`ChainContext::wake_by`].
    fn wake_at(&self, _context: &ChainContext<P>) -> Option<Instant> {
        None
    }

    /// Called when the time that [`Interceptor::wake_at`] returned is reached.
    fn on_wake(&mut self, _context: &mut ChainContext<P>) {}

    /// Applies a changed configuration.
    fn reload(&mut self, _config: &Config) {}

    /// The number of held requests that wait for their reply.
    fn waiting(&self) -> usize {
        0
    }

    /// The number of this interceptor's detached calls: no client waits for them any more.
    fn detached(&self) -> usize {
        0
    }

    /// A snapshot of the interceptor's state, for readers that know its type.
    fn state(&self) -> Option<Rc<dyn Any>> {
        None
    }

    /// A line of statistics for the log.
    fn log_line(&self) -> Option<String> {
        None
    }
}

/// What an interceptor may use while it runs: time, configuration, log, and the driver's calls.
pub struct ChainContext<P: Protocol> {
    pub(crate) clock: Clock,
    pub(crate) config: Rc<Config>,
    pub(crate) log: Log,
    pub(crate) events: VecDeque<Event>,
    pub(crate) calls: BTreeMap<CallId, Call<P>>,
    /// Ids of the open calls; a second call with one of them is rejected.
    pub(crate) open_ids: OpenIds<P::Id>,
    /// The other engines of the process, if there are any.
    pub(crate) group: Option<Box<dyn Group<P>>>,
    /// Index in the chain of the interceptor that is running.
    pub(crate) current: usize,
    /// Notifications that are still to be delivered to interceptors, in order, with the interceptor's index.
    pub(crate) notifications: VecDeque<(usize, CallId, Notification<P::Answer>)>,
    /// Forwarded requests, with the index of the interceptor at which each continues.
    pub(crate) forwarded: VecDeque<(usize, IncomingRequest<P>)>,
    /// When the timer wakes interceptors next; `None` if no wake-up is scheduled.
    pub(crate) next_wake: Option<Instant>,
    /// Notifies the timer task of an earlier wake-up.
    pub(crate) timer_changed: Rc<Notify>,
}

/// A notification to an interceptor about a call.
pub(crate) enum Notification<A> {
    CallEnd(CallEnd<A>),
    LateEnd(Option<A>),
    /// An earlier interceptor has given up a call whose request this one, or a later one, holds.
    Cancelled,
}

impl<P: Protocol> ChainContext<P> {
    /// The current time on the decision module's clock, in microseconds. The core of an interceptor uses no other
    /// clock.
    pub fn now(&self) -> Micros {
        self.clock.micros_at(Instant::now())
    }

    /// Converts an instant to the decision module's clock.
    pub fn micros_at(&self, instant: Instant) -> Micros {
        self.clock.micros_at(instant)
    }

    /// Converts a time on the decision module's clock to an instant.
    pub fn instant_at(&self, at: Micros) -> Instant {
        self.clock.instant_at(at)
    }

    /// The current configuration.
    pub fn config(&self) -> &Rc<Config> {
        &self.config
    }

    /// Writes a line to the log.
    pub fn log(&self, line: &str) {
        (self.log)(line);
    }

    /// Holds a request for its client and returns a copy that goes on in its place. The interceptor owns the call
    /// that the copy becomes, and is notified of its end. `detach` states how the call may continue when no client
    /// waits for it; by default it may until the deadline of the request.
    pub fn intercept(
        &self,
        incoming: IncomingRequest<P>,
        detach: Option<DetachPolicy>,
    ) -> (HeldRequest<P>, IncomingRequest<P>) {
        let forwarded = IncomingRequest {
            number: incoming.number,
            info: incoming.info.clone(),
            request: incoming.request.clone(),
            recipient: Recipient::Interceptor(self.current),
            detach: detach
                .or(Some(DetachPolicy { until: incoming.info.deadline, past_attempt_deadline: false })),
            id_moved: false,
        };
        (HeldRequest(IncomingRequest { id_moved: true, ..incoming }), forwarded)
    }

    /// Holds a request that does not become a call of its own for now.
    pub fn hold(&self, incoming: IncomingRequest<P>) -> HeldRequest<P> {
        HeldRequest(incoming)
    }

    /// Forwards a held request after all, marked as a resent one, to the next interceptor.
    pub fn forward(&mut self, held: &mut HeldRequest<P>, detach: Option<DetachPolicy>) {
        let HeldRequest(incoming) = held;
        incoming.id_moved = true;
        let forwarded = IncomingRequest {
            number: incoming.number,
            info: crate::calls::RequestInfo { resent: true, ..incoming.info.clone() },
            request: incoming.request.clone(),
            recipient: Recipient::Interceptor(self.current),
            detach: detach
                .or(Some(DetachPolicy { until: incoming.info.deadline, past_attempt_deadline: false })),
            id_moved: false,
        };
        self.forwarded.push_back((self.current + 1, forwarded));
    }

    /// Answers a request. Each request is answered exactly once.
    pub fn answer(&mut self, incoming: IncomingRequest<P>, reply: Reply<P::Answer>) {
        if !incoming.id_moved {
            self.open_ids.close(&incoming.info.id, &mut self.group);
        }
        let may_have_run = matches!(reply, Reply::Served(_) | Reply::Failed | Reply::Unsure(_));
        self.deliver(incoming.number, incoming.recipient, reply, may_have_run);
    }

    /// Answers a held request.
    pub fn answer_held(&mut self, held: HeldRequest<P>, reply: Reply<P::Answer>) {
        self.answer(held.0, reply);
    }

    pub(crate) fn deliver(
        &mut self,
        call: CallId,
        recipient: Recipient<P::Answer>,
        reply: Reply<P::Answer>,
        may_have_run: bool,
    ) {
        match recipient {
            Recipient::Caller(caller) => caller.answer(reply),
            Recipient::Interceptor(index) => self.notifications.push_back((
                index,
                call,
                Notification::CallEnd(CallEnd { reply, may_have_run }),
            )),
        }
    }

    /// Whether an attempt of a call may have run on a host; `false` for an unknown call.
    pub fn may_have_run(&self, call: CallId) -> bool {
        self.calls.get(&call).is_some_and(Call::may_have_run)
    }

    /// Moves the deadline of a call to a later time, for a request that joined it. A detached call is attached again.
    pub fn extend_deadline(&mut self, call: CallId, deadline: Instant) {
        let Some(open_call) = self.calls.get_mut(&call) else { return };
        open_call.deadline = deadline;
        open_call.detached = false;
        if let Some(limit) = &open_call.extendable_deadline {
            limit.set(limit.get().max(deadline));
        }
        let time_left = deadline.saturating_duration_since(Instant::now());
        self.events.push_back(Event::Extended { call, time_left: time_left.as_micros() as Micros });
    }

    /// Checks whether a call that no client waits for any more can be detached. Returns the hosts of the attempts
    /// that would continue and until when they may. `None` if no attempt may continue, or the call is unknown or
    /// over.
    pub fn can_detach(&self, call: CallId) -> Option<(Vec<ServerId>, Instant)> {
        let call = self.calls.get(&call).filter(|call| call.recipient.is_some())?;
        let until = call.extendable_deadline.as_ref().map_or(call.deadline, |limit| limit.get());
        let servers: Vec<ServerId> = call
            .in_flight()
            .filter(|in_flight| self.continues_detached(in_flight))
            .map(|in_flight| in_flight.server)
            .collect();
        (until > Instant::now() && !servers.is_empty()).then_some((servers, until))
    }

    /// Whether an attempt continues after its call is detached. A fully written one does, since nothing more has to be
    /// sent; a partly written one does unless the settings allow cancelling it; an unwritten one does not.
    fn continues_detached(&self, in_flight: &Attempt) -> bool {
        in_flight.meter.is_fully_written()
            || !self.config.settings.limits.cancel && in_flight.meter.bytes() > 0
    }

    /// Detaches a call: no further attempt is sent, unwritten attempts are withdrawn, and partly written ones are
    /// cancelled where the settings allow that. The end of the call is reported as usual.
    pub fn detach(&mut self, id: CallId) {
        // The decision module must get this event before the outcomes that result from it.
        self.events.push_back(Event::Detached { call: id });
        let cancel = self.config.settings.limits.cancel;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.detached = true;
        call.withdraw(id, &mut self.events, |_| true);
        for (attempt, in_flight) in (0..).zip(&mut call.attempts) {
            if let Some(in_flight) =
                in_flight.take_if(|in_flight| cancel && !in_flight.meter.is_fully_written())
            {
                call.may_have_run = true;
                let elapsed = in_flight.elapsed();
                self.events.push_back(outcome_event(id, attempt, Outcome::CalledOff, elapsed, false));
            }
        }
    }

    /// Gives up a call that no client waits for. Its attempts in flight are cancelled where the settings allow that.
    /// The interceptor is no longer notified of the call's end, except by [`Interceptor::on_late_end`]. Returns
    /// whether the call may have run, or `None` if it has already ended and its end is reported as usual.
    ///
    /// If a later interceptor holds the request, that interceptor is notified of the cancellation, and its answer is
    /// reported as the call's end.
    pub fn give_up(&mut self, id: CallId) -> Option<bool> {
        let index = self.current;
        if self.notifications.iter().any(|(interceptor, call, notification)| {
            (*interceptor, *call) == (index, id) && matches!(notification, Notification::CallEnd(_))
        }) {
            return None;
        }
        let Some(call) = self.calls.get_mut(&id) else {
            // The request is not a call yet, so nothing of it was sent.
            self.notifications.push_back((index + 1, id, Notification::Cancelled));
            return Some(false);
        };
        let may_have_run = call.may_have_run();
        match call.recipient {
            None => return None,
            Some(Recipient::Interceptor(later)) if later > index => {
                self.notifications.push_back((later, id, Notification::Cancelled));
                return Some(may_have_run);
            }
            Some(_) => {}
        }
        if let Some(Recipient::Interceptor(index)) = call.recipient.take() {
            call.late_recipient = Some(index);
        }
        call.detached = false;
        self.events.push_back(Event::Cancelled { call: id });
        self.remove_if_finished(id);
        Some(may_have_run)
    }

    /// Schedules a wake-up of the interceptor at this time or earlier.
    pub fn wake_by(&mut self, at: Instant) {
        if self.next_wake.is_none_or(|next_wake| at < next_wake) {
            self.next_wake = Some(at);
            self.timer_changed.notify_one();
        }
    }

    /// Cleans up a call that has ended: unwritten attempts are withdrawn, and the call is removed once none of its
    /// attempts is in flight.
    pub(crate) fn remove_if_finished(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| call.recipient.is_none()) else { return };
        call.withdraw(id, &mut self.events, |_| true);
        if call.attempts.iter().all(Option::is_none) {
            if let Some(call) = self.calls.remove(&id) {
                self.open_ids.close(&call.id, &mut self.group);
                if let Some(index) = call.late_recipient {
                    self.notifications.push_back((index, id, Notification::LateEnd(None)));
                }
            }
        }
    }

    /// Ends a detached call if none of its attempts is in flight any more.
    pub(crate) fn end_if_idle(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| call.detached) else { return };
        if call.in_flight().next().is_some() {
            return;
        }
        let may_have_run = call.may_have_run;
        if let Some(recipient) = call.recipient.take() {
            let reply = if may_have_run { Reply::Failed } else { Reply::Refused(std::time::Duration::ZERO) };
            self.deliver(id, recipient, reply, may_have_run);
        }
    }
}

/// A request that an interceptor holds until it answers it.
pub struct HeldRequest<P: Protocol>(pub(crate) IncomingRequest<P>);

impl<P: Protocol> HeldRequest<P> {
    /// The held request.
    pub fn incoming(&self) -> &IncomingRequest<P> {
        &self.0
    }
}
