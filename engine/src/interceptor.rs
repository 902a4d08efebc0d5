//! Stations: what a subsystem sees and does on a call's way.
//!
//! A call's way is: taken in, the stations in their order, the decision module, attempts, settled, told. A subsystem is
//! a pure core in a package of its own and one adapter that implements [`Interceptor`]. The driver owns order, time and
//! the calls, and knows of a station nothing but this trait; one that is off is not on the way.
//!
//! The order is stated, and does not depend on who is quicker:
//!
//! - A request passes the stations from first to last. The first that takes it or answers it decides; those behind do
//!   not see it. What a station starts goes on at the station behind it.
//! - An end goes from last to first: the station that owns a call hears of it, and answers whoever it has taken.
//! - A call has one end. What a station does with a call that has ended says nothing: it has no effect and is no error.
//! - A client that has gone is told of to the stations from first to last, until one says that it was its.

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

/// What becomes of a request at a station.
pub enum RequestFlow<P: Protocol> {
    /// It goes on to the next station, or to the module behind the last.
    Continue(IncomingRequest<P>),
    /// The station has answered it, or keeps it and will.
    Handled,
}

/// How a call ended that a station owns.
#[derive(Debug)]
pub struct CallEnd<A> {
    /// What is to be told.
    pub reply: Reply<A>,
    /// Whether an attempt of it may have run. `false` is proof.
    pub may_have_run: bool,
}

/// A subsystem on a call's way. All of it runs on the engine's thread, and no method may block.
///
/// What a station keeps must have a bound, and each request that it takes one answer.
pub trait Interceptor<P: Protocol>: Any {
    /// Its name, in log and state.
    fn name(&self) -> &'static str;

    /// A request on its way in.
    fn on_request(&mut self, _context: &mut ChainContext<P>, incoming: IncomingRequest<P>) -> RequestFlow<P> {
        RequestFlow::Continue(incoming)
    }

    /// An attempt of any call is about to go to a host. `false`: it must not, and surely never ran.
    fn allow_attempt(&mut self, _context: &mut ChainContext<P>, _call: CallId, _to: Target) -> bool {
        true
    }

    /// An attempt of any call has ended so.
    fn on_outcome(
        &mut self,
        _context: &mut ChainContext<P>,
        _call: CallId,
        _server: ServerId,
        _outcome: Outcome,
    ) {
    }

    /// A call that this station owns has ended. Told once for each.
    fn on_call_end(&mut self, _context: &mut ChainContext<P>, _call: CallId, _end: CallEnd<P::Answer>) {}

    /// A call that this station has given up is out no more: an answer has come all the same, or never will.
    fn on_late_end(&mut self, _context: &mut ChainContext<P>, _call: CallId, _answer: Option<P::Answer>) {}

    /// The module's time for a call is up that goes on past it ([`DetachPolicy::past_attempt_deadline`]): those who wait hear of it.
    fn on_attempt_deadline(&mut self, _context: &mut ChainContext<P>, _call: CallId) {}

    /// A client has gone. `false`: it is not one that this station has taken.
    fn on_cancel(&mut self, _context: &mut ChainContext<P>, _request: CallId) -> bool {
        false
    }

    /// When it is to be woken; asked after each time that it was, and when it has said so by [`ChainContext::arm`].
    fn wake_at(&self, _context: &ChainContext<P>) -> Option<Instant> {
        None
    }

    /// It is time.
    fn on_wake(&mut self, _context: &mut ChainContext<P>) {}

    /// The configuration has changed.
    fn reload(&mut self, _config: &Config) {}

    /// How many requests it has taken that wait for their answer.
    fn waiting(&self) -> usize {
        0
    }

    /// How many calls go on for it though nobody waits for them.
    fn detached(&self) -> usize {
        0
    }

    /// What it shows of itself, for whoever knows the type.
    fn state(&self) -> Option<Rc<dyn Any>> {
        None
    }

    /// A line of figures for the log.
    fn log_line(&self) -> Option<String> {
        None
    }
}

/// What a station may do: the driver's calls, without the stations and the module.
pub struct ChainContext<P: Protocol> {
    pub(crate) clock: Clock,
    pub(crate) config: Rc<Config>,
    pub(crate) log: Log,
    pub(crate) events: VecDeque<Event>,
    pub(crate) calls: BTreeMap<CallId, Call<P>>,
    /// Ids of the calls that are open: no second one may have one of them.
    pub(crate) open_ids: OpenIds<P::Id>,
    /// Other engines that serve as one with this.
    pub(crate) group: Option<Box<dyn Group<P>>>,
    /// Whose turn it is.
    pub(crate) current: usize,
    /// What stations are to hear, in its order.
    pub(crate) notifications: VecDeque<(usize, CallId, Notification<P::Answer>)>,
    /// What goes on at a station.
    pub(crate) forwarded: VecDeque<(usize, IncomingRequest<P>)>,
    /// When the timer looks after stations next; `None`: not at all.
    pub(crate) next_wake: Option<Instant>,
    /// Tells the one timer of a change.
    pub(crate) timer_changed: Rc<Notify>,
}

/// What a station hears of a call.
pub(crate) enum Notification<A> {
    CallEnd(CallEnd<A>),
    LateEnd(Option<A>),
    /// A station before this one has given up what this one, or one behind it, has taken.
    Cancelled,
}

impl<P: Protocol> ChainContext<P> {
    /// The moment in the module's time, in microseconds; a station's core has no other clock.
    pub fn now(&self) -> Micros {
        self.clock.at(Instant::now())
    }

    /// A moment in the module's time.
    pub fn micros_at(&self, instant: Instant) -> Micros {
        self.clock.at(instant)
    }

    /// A moment of the module's time.
    pub fn instant_at(&self, at: Micros) -> Instant {
        self.clock.instant(at)
    }

    /// The configuration.
    pub fn config(&self) -> &Rc<Config> {
        &self.config
    }

    /// Writes a line to the log.
    pub fn log(&self, line: &str) {
        (self.log)(line);
    }

    /// Takes a request: who waits for it is the station's from now on, and its call, which goes on as what comes back,
    /// tells its end to the station. `detach`: how its call may go on when nobody waits for it.
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

    /// Keeps a request that becomes no call of its own, for now.
    pub fn hold(&self, incoming: IncomingRequest<P>) -> HeldRequest<P> {
        HeldRequest(incoming)
    }

    /// A request that the station keeps becomes a call after all.
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

    /// Gives a request its one answer.
    pub fn answer(&mut self, incoming: IncomingRequest<P>, reply: Reply<P::Answer>) {
        if !incoming.id_moved {
            self.open_ids.close(&incoming.info.id, &mut self.group);
        }
        let may_have_run = matches!(reply, Reply::Served(_) | Reply::Failed | Reply::Unsure(_));
        self.deliver(incoming.number, incoming.recipient, reply, may_have_run);
    }

    /// The same for one that the station has kept.
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

    /// Whether an attempt of a call may have run; `false` for one that is not there.
    pub fn may_have_run(&self, call: CallId) -> bool {
        self.calls.get(&call).is_some_and(Call::may_have_run)
    }

    /// Somebody waits for a call until this deadline now, which is later than before. One that lingers is wanted again.
    pub fn extend_deadline(&mut self, call: CallId, deadline: Instant) {
        let Some(known) = self.calls.get_mut(&call) else { return };
        known.deadline = deadline;
        known.detached = false;
        if let Some(limit) = &known.extendable_deadline {
            limit.set(limit.get().max(deadline));
        }
        let left = deadline.saturating_duration_since(Instant::now());
        self.events.push_back(Event::Extended { call, time_left: left.as_micros() as Micros });
    }

    /// Nobody waits for a call any more. What is written of it may go on: `Some` says where it is out, and until when
    /// its attempts go on by themselves. `None`: nothing of it may, or it is not there.
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

    /// What is whole needs nothing more to be sent; what is half written is called off, where that is allowed.
    fn continues_detached(&self, in_flight: &Attempt) -> bool {
        in_flight.meter.is_whole() || !self.config.settings.limits.cancel && in_flight.meter.bytes() > 0
    }

    /// Lets it: nothing new is sent for it, what is not written is withdrawn and what is half written called off. Its
    /// end is told as any.
    pub fn detach(&mut self, id: CallId) {
        // The module hears that nobody waits before it hears what comes of that.
        self.events.push_back(Event::Lingers { call: id });
        let cancel = self.config.settings.limits.cancel;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.detached = true;
        call.withdraw(id, &mut self.events, |_| true);
        for (attempt, in_flight) in (0..).zip(&mut call.attempts) {
            if let Some(in_flight) = in_flight.take_if(|in_flight| cancel && !in_flight.meter.is_whole()) {
                call.may_have_run = true;
                let elapsed = in_flight.sent.elapsed();
                self.events.push_back(outcome_event(id, attempt, Outcome::CalledOff, elapsed, false));
            }
        }
    }

    /// Gives a call up that nobody waits for: what is out of it is called off, where that is allowed. The station hears
    /// of its end no more, but by [`Interceptor::late`]. `Some`: whether it may have run. `None`: it has ended, and the
    /// station hears so as of any end.
    ///
    /// Where a station behind has taken it, or keeps it back, that one hears that its client has gone and does as it
    /// does then: what it answers comes as an end.
    pub fn give_up(&mut self, id: CallId) -> Option<bool> {
        let index = self.current;
        if self.notifications.iter().any(|(to, call, notification)| {
            (*to, *call) == (index, id) && matches!(notification, Notification::CallEnd(_))
        }) {
            return None;
        }
        let Some(call) = self.calls.get_mut(&id) else {
            // It is no call yet: nothing of it was sent.
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
        self.events.push_back(Event::Gone { call: id });
        self.remove_if_finished(id);
        Some(may_have_run)
    }

    /// Sees that the station is woken at this moment, or before.
    pub fn wake_by(&mut self, at: Instant) {
        if self.next_wake.is_none_or(|next_wake| at < next_wake) {
            self.next_wake = Some(at);
            self.timer_changed.notify_one();
        }
    }

    /// What is left of a call that is over: nothing more is sent for it, and it is forgotten once none of its
    /// attempts is out.
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

    /// A call that lingers may have nothing out any more: then that is its end.
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

/// A request that a station has taken: it waits for its answer there.
pub struct HeldRequest<P: Protocol>(pub(crate) IncomingRequest<P>);

impl<P: Protocol> HeldRequest<P> {
    /// The request.
    pub fn incoming(&self) -> &IncomingRequest<P> {
        &self.0
    }
}
