//! The module's actions on calls, and how attempts begin and end.

use super::{Driver, Handle};
use crate::calls::call::{ended, Attempt};
use crate::calls::{Owner, Reply};
use crate::group::Place;
use crate::meter::Meter;
use crate::mutant::{self, Mutant};
use crate::protocol::{End, Protocol, Target};
use crate::station::{Desk, Told};
use crate::task;
use nettleworks_policy::{Action, CallId, Event, Micros, Outcome, ServerId};
use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

impl<P: Protocol> Driver<P> {
    pub(super) fn carry_out(&mut self, handle: &Handle<P>, action: Action) {
        match action {
            Action::Send { call, server, until } => self.send(handle, call, server, until),
            Action::Refuse { call, retry_after, reason } => {
                *self.counts.refused.entry(reason).or_default() += 1;
                self.answer(call, Reply::Refused(Duration::from_micros(retry_after)));
            }
            Action::Fail { call, reason } => {
                *self.counts.failed.entry(reason).or_default() += 1;
                self.answer(call, Reply::Failed);
            }
            Action::Cancel { call, attempt } => self.cancel(call, attempt),
            Action::SetTimer { after } => {
                self.wake = Some(Instant::now() + Duration::from_micros(after));
                self.desk.woken.notify_one();
            }
            Action::Subscribe => self.subscribe(handle),
            Action::Log { text } => self.desk.log(&text),
            Action::ShareObservation { server, observation } => {
                self.desk.group.iter_mut().for_each(|group| group.tell(server, observation));
            }
            // The module asks for none where the settings allow none, and this program has none to offer.
            Action::HealthCheck { .. } => {}
        }
    }

    fn send(&mut self, handle: &Handle<P>, id: CallId, server: ServerId, until: Option<Micros>) {
        let now = Instant::now();
        let Some(call) = self.desk.calls.get(&id) else { return };
        let attempt = call.attempts.len() as u32;
        // Without an end of its own an attempt ends with its call, whose end may move.
        let past_aim = call.past_aim && until.is_some();
        let limit = call.limit.clone().filter(|_| until.is_none() || past_aim);
        let until = until.map_or(call.deadline, |at| self.desk.clock.instant_at(at).min(call.deadline));
        let to = self.hosts.ready(server).map(|address| Target { server, address });
        let to = to.filter(|_| call.owner.is_some() && now < until);
        let closed = call.owner.is_none();
        // The stations first: what they refuse takes no place.
        let place = to.filter(|to| self.allowed(id, *to)).and_then(|to| Some((to, self.place(to)?)));
        let Some((to, place)) = place else {
            if let Some(call) = self.desk.calls.get_mut(&id) {
                call.attempts.push(None);
            }
            return self.desk.events.push_back(ended(id, attempt, Outcome::NotSent, Duration::ZERO, closed));
        };
        let Some(call) = self.desk.calls.get_mut(&id) else { return };
        let meter = Meter::new(self.fresh.clone(), call.repeats.clone(), attempt);
        let exchange = self.protocol.attempt(to, call.request.clone(), until, &meter);
        let task = {
            let (handle, meter) = (handle.clone(), meter.clone());
            task::spawn(async move {
                // It is over then, whatever the protocol does.
                let end = match limit {
                    None => timeout_at(until, exchange).await.ok(),
                    Some(limit) if past_aim => {
                        let mut exchange = pin!(exchange);
                        match timeout_at(until, &mut exchange).await {
                            Ok(end) => Some(end),
                            Err(_) if handle.time_is_up(id) => until_moved(&limit, exchange).await,
                            Err(_) => None,
                        }
                    }
                    Some(limit) => until_moved(&limit, exchange).await,
                };
                let end = end.unwrap_or_else(|| match meter.bytes() {
                    0 => End::without_answer(Outcome::NoConnection),
                    _ => End::without_answer(Outcome::TimedOut),
                });
                handle.finish(id, attempt, end);
            })
        };
        self.counts.attempts += 1;
        self.counts.by_unverified_list += u64::from(self.expires_at.is_some());
        if let Some(host) = self.hosts.by_number.get_mut(&server) {
            host.sent_at = Some(now);
        }
        self.counts.oldest_list = self.counts.oldest_list.max(self.watch.silence());
        call.attempts.push(Some(Attempt {
            server,
            address: to.address,
            sent: now,
            meter,
            place,
            _task: task,
        }));
    }

    /// A place at a host, where there are others that send to it; `None`: there is no room.
    #[expect(clippy::option_option, reason = "without others none is needed")]
    fn place(&mut self, to: Target) -> Option<Option<Place>> {
        match &mut self.desk.group {
            None => Some(None),
            Some(group) => group.begin(to.server).map(Some),
        }
    }

    /// Whether the stations let an attempt go.
    fn allowed(&mut self, call: CallId, to: Target) -> bool {
        (0..self.stations.len()).all(|at| {
            self.desk.at = at;
            self.stations[at].attempt(&mut self.desk, call, to)
        })
    }

    /// Calls an attempt off: its connection closes.
    fn cancel(&mut self, id: CallId, attempt: u32) {
        let Some(call) = self.desk.calls.get_mut(&id) else { return };
        let Some(out) = call.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        let closed = call.owner.is_none();
        call.may_have_run |= out.meter.bytes() > 0;
        self.desk.events.push_back(ended(id, attempt, Outcome::CalledOff, out.sent.elapsed(), closed));
        self.desk.tidy(id);
    }

    fn answer(&mut self, id: CallId, reply: Reply<P::Answer>) {
        let lost = mutant::is_planted(Mutant::LosesAnswers) && mutant::nth(10);
        if let Some(call) = self.desk.calls.get_mut(&id) {
            if lost {
                std::mem::forget(call.owner.take());
            }
            let may_have_run = call.may_have_run();
            if let Some(owner) = call.owner.take() {
                self.desk.tell(id, owner, reply, may_have_run);
            }
        }
        self.desk.tidy(id);
    }
}

impl<P: Protocol> Handle<P> {
    /// The time of all who wait for a call is up, as the module has set it. Whether the call goes on without them.
    fn time_is_up(&self, id: CallId) -> bool {
        let mut driver = self.0.borrow_mut();
        let Some(call) = driver.desk.calls.get(&id) else { return false };
        let Some(&Owner::Station(at)) = call.owner.as_ref() else { return false };
        if call.out().any(|out| !out.meter.is_fully_written()) {
            return false;
        }
        driver.desk.at = at;
        let Driver { desk, stations, .. } = &mut *driver;
        stations[at].time_is_up(desk, id);
        let goes_on = desk.calls.get(&id).is_some_and(|call| call.lingers);
        drop(driver);
        self.run([]);
        goes_on
    }

    pub(super) fn finish(&self, id: CallId, attempt: u32, mut end: End<P::Answer>) {
        let mut driver = self.0.borrow_mut();
        let desk = &mut driver.desk;
        let Some(call) = desk.calls.get_mut(&id) else { return };
        let taken = call.attempts.get_mut(attempt as usize).and_then(Option::take);
        let Some(mut out) = taken else { return };
        // Free before the module hears of it: it may send another at once.
        drop(out.place.take());
        if end.outcome.never_ran() {
            call.repeats.forget_attempt(attempt);
        } else {
            call.may_have_run = true;
        }
        let answer = end.answer.take();
        let owner = answer.as_ref().and_then(|_| call.owner.take());
        let (elapsed, closed) = (out.sent.elapsed().as_micros() as Micros, call.owner.is_none());
        let (mut outcome, load, lingers) = (end.outcome, end.load, call.lingers);
        if mutant::is_planted(Mutant::RepeatsWritten) && answer.is_none() {
            outcome = Outcome::NoConnection;
        }
        desk.group.iter_mut().for_each(|group| group.reported(out.server, load));
        desk.events.push_back(Event::Outcome { call: id, attempt, outcome, elapsed, closed, load });
        match (owner, answer) {
            (Some(owner), Some(answer)) => {
                let owner = mixed(desk, id, owner);
                desk.tell(id, owner, Reply::Served(answer), true);
            }
            (None, Some(answer)) => {
                if let Some(at) = call.late.take() {
                    desk.told.push_back((at, id, Told::Late(Some(answer))));
                }
            }
            _ => {}
        }
        if lingers {
            desk.spent(id);
        }
        desk.tidy(id);
        let Driver { desk, stations, .. } = &mut *driver;
        for (at, station) in (0..).zip(stations) {
            desk.at = at;
            station.outcome(desk, id, out.server, outcome);
        }
        drop(driver);
        self.run([]);
        // Dropped last: this may be the very task of the attempt.
        drop(out);
    }
}

/// Who hears of a call's answer: its owner, but for a fault planted on purpose.
fn mixed<P: Protocol>(desk: &mut Desk<P>, id: CallId, owner: Owner<P::Answer>) -> Owner<P::Answer> {
    if !mutant::is_planted(Mutant::MixesCallers) || !mutant::nth(40) {
        return owner;
    }
    let other = desk.calls.iter_mut().find(|(at, call)| **at != id && call.owner.is_some());
    match other.and_then(|(_, call)| call.owner.as_mut()) {
        Some(other) => std::mem::replace(other, owner),
        None => owner,
    }
}

/// What a future gives by a moment that may move on meanwhile.
async fn until_moved<T>(limit: &Cell<Instant>, future: impl Future<Output = T>) -> Option<T> {
    let mut future = pin!(future);
    loop {
        let until = limit.get();
        if let Ok(done) = timeout_at(until, &mut future).await {
            return Some(done);
        }
        if limit.get() <= until {
            return None;
        }
    }
}
