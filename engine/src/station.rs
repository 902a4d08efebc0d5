//! Stations: what a subsystem sees and does on a call's way.
//!
//! A call's way is: taken in, the stations in their order, the decision module, attempts, settled, told. A subsystem is
//! a pure core in a package of its own and one adapter that implements [`Station`]. The driver owns order, time and
//! the calls, and knows of a station nothing but this trait; one that is off is not on the way.
//!
//! The order is stated, and does not depend on who is quicker:
//!
//! - A request passes the stations from first to last. The first that takes it or answers it decides; those behind do
//!   not see it. What a station starts goes on at the station behind it.
//! - An end goes from last to first: the station that owns a call hears of it, and answers whoever it has taken.
//! - A call has one end. What a station does with a call that has ended says nothing: it has no effect and is no error.
//! - A client that has gone is told of to the stations from first to last, until one says that it was its.

use crate::calls::call::{ended, Attempt, Call};
use crate::calls::{Guest, OpenIds, Outlives, Owner, Reply};
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
pub enum Step<P: Protocol> {
    /// It goes on to the next station, or to the module behind the last.
    Pass(Guest<P>),
    /// The station has answered it, or keeps it and will.
    Done,
}

/// How a call ended that a station owns.
#[derive(Debug)]
pub struct Ended<A> {
    /// What is to be told.
    pub reply: Reply<A>,
    /// Whether an attempt of it may have run. `false` is proof.
    pub may_have_run: bool,
}

/// A subsystem on a call's way. All of it runs on the engine's thread, and no method may block.
///
/// What a station keeps must have a bound, and each request that it takes one answer.
pub trait Station<P: Protocol>: Any {
    /// Its name, in log and state.
    fn name(&self) -> &'static str;

    /// A request on its way in.
    fn arrive(&mut self, _desk: &mut Desk<P>, guest: Guest<P>) -> Step<P> {
        Step::Pass(guest)
    }

    /// An attempt of any call is about to go to a host. `false`: it must not, and surely never ran.
    fn attempt(&mut self, _desk: &mut Desk<P>, _call: CallId, _to: Target) -> bool {
        true
    }

    /// An attempt of any call has ended so.
    fn outcome(&mut self, _desk: &mut Desk<P>, _call: CallId, _server: ServerId, _outcome: Outcome) {}

    /// A call that this station owns has ended. Told once for each.
    fn ended(&mut self, _desk: &mut Desk<P>, _call: CallId, _ended: Ended<P::Answer>) {}

    /// A call that this station has given up is out no more: an answer has come all the same, or never will.
    fn late(&mut self, _desk: &mut Desk<P>, _call: CallId, _answer: Option<P::Answer>) {}

    /// The module's time for a call is up that goes on past it ([`Outlives::past_aim`]): those who wait hear of it.
    fn time_is_up(&mut self, _desk: &mut Desk<P>, _call: CallId) {}

    /// A client has gone. `false`: it is not one that this station has taken.
    fn gone(&mut self, _desk: &mut Desk<P>, _number: CallId) -> bool {
        false
    }

    /// When it is to be woken; asked after each time that it was, and when it has said so by [`Desk::arm`].
    fn wake_at(&self, _desk: &Desk<P>) -> Option<Instant> {
        None
    }

    /// It is time.
    fn wake(&mut self, _desk: &mut Desk<P>) {}

    /// The configuration has changed.
    fn reload(&mut self, _config: &Config) {}

    /// How many requests it has taken that wait for their answer.
    fn waiting(&self) -> usize {
        0
    }

    /// How many calls go on for it though nobody waits for them.
    fn lingering(&self) -> usize {
        0
    }

    /// What it shows of itself, for whoever knows the type.
    fn state(&self) -> Option<Rc<dyn Any>> {
        None
    }

    /// A line of figures for the log.
    fn line(&self) -> Option<String> {
        None
    }
}

/// What a station may do: the driver's calls, without the stations and the module.
pub struct Desk<P: Protocol> {
    pub(crate) clock: Clock,
    pub(crate) config: Rc<Config>,
    pub(crate) log: Log,
    pub(crate) events: VecDeque<Event>,
    pub(crate) calls: BTreeMap<CallId, Call<P>>,
    /// Ids of the calls that are open: no second one may have one of them.
    pub(crate) open: OpenIds<P::Id>,
    /// Other engines that serve as one with this.
    pub(crate) group: Option<Box<dyn Group<P>>>,
    /// Whose turn it is.
    pub(crate) at: usize,
    /// What stations are to hear, in its order.
    pub(crate) told: VecDeque<(usize, CallId, Told<P::Answer>)>,
    /// What goes on at a station.
    pub(crate) entering: VecDeque<(usize, Guest<P>)>,
    /// When the timer looks after stations next; `None`: not at all.
    pub(crate) armed: Option<Instant>,
    /// Tells the one timer of a change.
    pub(crate) woken: Rc<Notify>,
}

/// What a station hears of a call.
pub(crate) enum Told<A> {
    Ended(Ended<A>),
    Late(Option<A>),
    /// A station before this one has given up what this one, or one behind it, has taken.
    Gone,
}

impl<P: Protocol> Desk<P> {
    /// The moment in the module's time, in microseconds; a station's core has no other clock.
    pub fn now(&self) -> Micros {
        self.clock.micros_at(Instant::now())
    }

    /// A moment in the module's time.
    pub fn at(&self, instant: Instant) -> Micros {
        self.clock.micros_at(instant)
    }

    /// A moment of the module's time.
    pub fn instant(&self, at: Micros) -> Instant {
        self.clock.instant_at(at)
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
    /// tells its end to the station. `outlives`: how its call may go on when nobody waits for it.
    pub fn take(&self, guest: Guest<P>, outlives: Option<Outlives>) -> (Taken<P>, Guest<P>) {
        let goes_on = Guest {
            number: guest.number,
            ask: guest.ask.clone(),
            request: guest.request.clone(),
            owner: Owner::Station(self.at),
            outlives: outlives.or(Some(Outlives { until: guest.ask.deadline, past_aim: false })),
            id_is_out: false,
        };
        (Taken(Guest { id_is_out: true, ..guest }), goes_on)
    }

    /// Keeps a request that becomes no call of its own, for now.
    pub fn keep(&self, guest: Guest<P>) -> Taken<P> {
        Taken(guest)
    }

    /// A request that the station keeps becomes a call after all.
    pub fn send_on(&mut self, taken: &mut Taken<P>, outlives: Option<Outlives>) {
        let Taken(guest) = taken;
        guest.id_is_out = true;
        let goes_on = Guest {
            number: guest.number,
            ask: crate::calls::Ask { resent: true, ..guest.ask.clone() },
            request: guest.request.clone(),
            owner: Owner::Station(self.at),
            outlives: outlives.or(Some(Outlives { until: guest.ask.deadline, past_aim: false })),
            id_is_out: false,
        };
        self.entering.push_back((self.at + 1, goes_on));
    }

    /// Gives a request its one answer.
    pub fn answer(&mut self, guest: Guest<P>, reply: Reply<P::Answer>) {
        if !guest.id_is_out {
            self.open.close(&guest.ask.id, &mut self.group);
        }
        let may_have_run = matches!(reply, Reply::Served(_) | Reply::Failed | Reply::Unsure(_));
        self.tell(guest.number, guest.owner, reply, may_have_run);
    }

    /// The same for one that the station has kept.
    pub fn answer_taken(&mut self, taken: Taken<P>, reply: Reply<P::Answer>) {
        self.answer(taken.0, reply);
    }

    pub(crate) fn tell(
        &mut self,
        call: CallId,
        owner: Owner<P::Answer>,
        reply: Reply<P::Answer>,
        may_have_run: bool,
    ) {
        match owner {
            Owner::Caller(caller) => caller.answer(reply),
            Owner::Station(at) => self.told.push_back((at, call, Told::Ended(Ended { reply, may_have_run }))),
        }
    }

    /// Whether an attempt of a call may have run; `false` for one that is not there.
    pub fn may_have_run(&self, call: CallId) -> bool {
        self.calls.get(&call).is_some_and(Call::may_have_run)
    }

    /// Somebody waits for a call until this deadline now, which is later than before. One that lingers is wanted again.
    pub fn extend(&mut self, call: CallId, deadline: Instant) {
        let Some(known) = self.calls.get_mut(&call) else { return };
        known.deadline = deadline;
        known.lingers = false;
        if let Some(limit) = &known.limit {
            limit.set(limit.get().max(deadline));
        }
        let left = deadline.saturating_duration_since(Instant::now());
        self.events.push_back(Event::Extended { call, time_left: left.as_micros() as Micros });
    }

    /// Nobody waits for a call any more. What is written of it may go on: `Some` says where it is out, and until when
    /// its attempts go on by themselves. `None`: nothing of it may, or it is not there.
    pub fn may_linger(&self, call: CallId) -> Option<(Vec<ServerId>, Instant)> {
        let call = self.calls.get(&call).filter(|call| call.owner.is_some())?;
        let until = call.limit.as_ref().map_or(call.deadline, |limit| limit.get());
        let servers: Vec<ServerId> = call.out().filter(|out| self.stays(out)).map(|out| out.server).collect();
        (until > Instant::now() && !servers.is_empty()).then_some((servers, until))
    }

    /// What is whole needs nothing more to be sent; what is half written is called off, where that is allowed.
    fn stays(&self, out: &Attempt) -> bool {
        out.meter.is_fully_written() || !self.config.settings.limits.cancel && out.meter.bytes() > 0
    }

    /// Lets it: nothing new is sent for it, what is not written is withdrawn and what is half written called off. Its
    /// end is told as any.
    pub fn linger(&mut self, id: CallId) {
        // The module hears that nobody waits before it hears what comes of that.
        self.events.push_back(Event::Detached { call: id });
        let cancel = self.config.settings.limits.cancel;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.lingers = true;
        call.withdraw(id, &mut self.events, |_| true);
        for (attempt, out) in (0..).zip(&mut call.attempts) {
            if let Some(out) = out.take_if(|out| cancel && !out.meter.is_fully_written()) {
                call.may_have_run = true;
                let elapsed = out.sent.elapsed();
                self.events.push_back(ended(id, attempt, Outcome::CalledOff, elapsed, false));
            }
        }
    }

    /// Gives a call up that nobody waits for: what is out of it is called off, where that is allowed. The station hears
    /// of its end no more, but by [`Station::late`]. `Some`: whether it may have run. `None`: it has ended, and the
    /// station hears so as of any end.
    ///
    /// Where a station behind has taken it, or keeps it back, that one hears that its client has gone and does as it
    /// does then: what it answers comes as an end.
    pub fn give_up(&mut self, id: CallId) -> Option<bool> {
        let at = self.at;
        if self.told.iter().any(|(to, call, told)| (*to, *call) == (at, id) && matches!(told, Told::Ended(_)))
        {
            return None;
        }
        let Some(call) = self.calls.get_mut(&id) else {
            // It is no call yet: nothing of it was sent.
            self.told.push_back((at + 1, id, Told::Gone));
            return Some(false);
        };
        let may_have_run = call.may_have_run();
        match call.owner {
            None => return None,
            Some(Owner::Station(behind)) if behind > at => {
                self.told.push_back((behind, id, Told::Gone));
                return Some(may_have_run);
            }
            Some(_) => {}
        }
        if let Some(Owner::Station(at)) = call.owner.take() {
            call.late = Some(at);
        }
        call.lingers = false;
        self.events.push_back(Event::Cancelled { call: id });
        self.tidy(id);
        Some(may_have_run)
    }

    /// Sees that the station is woken at this moment, or before.
    pub fn arm(&mut self, at: Instant) {
        if self.armed.is_none_or(|armed| at < armed) {
            self.armed = Some(at);
            self.woken.notify_one();
        }
    }

    /// What is left of a call that is over: nothing more is sent for it, and it is forgotten once none of its
    /// attempts is out.
    pub(crate) fn tidy(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| call.owner.is_none()) else { return };
        call.withdraw(id, &mut self.events, |_| true);
        if call.attempts.iter().all(Option::is_none) {
            if let Some(call) = self.calls.remove(&id) {
                self.open.close(&call.id, &mut self.group);
                if let Some(at) = call.late {
                    self.told.push_back((at, id, Told::Late(None)));
                }
            }
        }
    }

    /// A call that lingers may have nothing out any more: then that is its end.
    pub(crate) fn spent(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| call.lingers) else { return };
        if call.out().next().is_some() {
            return;
        }
        let may_have_run = call.may_have_run;
        if let Some(owner) = call.owner.take() {
            let reply = if may_have_run { Reply::Failed } else { Reply::Refused(std::time::Duration::ZERO) };
            self.tell(id, owner, reply, may_have_run);
        }
    }
}

/// A request that a station has taken: it waits for its answer there.
pub struct Taken<P: Protocol>(pub(crate) Guest<P>);

impl<P: Protocol> Taken<P> {
    /// The request.
    pub fn guest(&self) -> &Guest<P> {
        &self.0
    }
}
