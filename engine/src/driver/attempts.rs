//! Carries out the decision module's actions on calls: starts, cancels and ends attempts.

use super::{Driver, Handle};
use crate::calls::call::{outcome_event, Attempt};
use crate::calls::{Recipient, Reply};
use crate::group::HostPermit;
use crate::interceptor::{ChainContext, Notification};
use crate::meter::Meter;
use crate::mutant::{self, Mutant};
use crate::protocol::{AttemptEnd, Protocol, Target};
use crate::task;
use nettleworks_policy::{Action, CallId, Event, Micros, Outcome, ServerId};
use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

impl<P: Protocol> Driver<P> {
    /// Carries out an action of the decision module.
    pub(super) fn perform(&mut self, handle: &Handle<P>, action: Action) {
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
            Action::Cancel { call, attempt } => self.cancel_attempt(call, attempt),
            Action::SetTimer { after } => {
                self.next_timer_event = Some(Instant::now() + Duration::from_micros(after));
                self.context.timer_changed.notify_one();
            }
            Action::Subscribe => self.subscribe(handle),
            Action::Log { text } => self.context.log(&text),
            Action::ShareObservation { server, observation } => {
                self.context.group.iter_mut().for_each(|group| group.share_observation(server, observation));
            }
            // Health checks are not implemented here, and the settings do not allow the decision module to ask for
            // them.
            Action::HealthCheck { .. } => {}
        }
    }

    /// Starts an attempt, unless it is not allowed any more; it counts as not sent then.
    fn send(&mut self, handle: &Handle<P>, id: CallId, server: ServerId, until: Option<Micros>) {
        let now = Instant::now();
        let Some(call) = self.context.calls.get(&id) else { return };
        let attempt = call.attempts.len() as u32;
        // An attempt without a deadline of its own ends with its call, whose deadline may move.
        let past_attempt_deadline = call.past_attempt_deadline && until.is_some();
        let limit = call.extendable_deadline.clone().filter(|_| until.is_none() || past_attempt_deadline);
        let call_deadline = call.deadline;
        let until = until.map_or(call_deadline, |at| self.context.clock.instant_at(at).min(call_deadline));
        let to = self.hosts.ready(server).map(|address| Target { server, address });
        let to = to.filter(|_| call.recipient.is_some() && now < until);
        let closed = call.recipient.is_none();
        // The interceptors go first, so that an attempt that they veto takes no permit.
        let permit = to
            .filter(|to| self.interceptors_allow(id, *to))
            .and_then(|to| Some((to, self.acquire_permit(to)?)));
        let Some((to, permit)) = permit else {
            if let Some(call) = self.context.calls.get_mut(&id) {
                call.attempts.push(None);
            }
            return self.context.events.push_back(outcome_event(
                id,
                attempt,
                Outcome::NotSent,
                Duration::ZERO,
                closed,
            ));
        };
        let Some(call) = self.context.calls.get_mut(&id) else { return };
        let meter = Meter::new(self.freshness_gate.clone(), call.repeat_window.clone(), attempt);
        let exchange = self.protocol.attempt(to, call.request.clone(), until, &meter);
        let task = {
            let (handle, meter) = (handle.clone(), meter.clone());
            task::spawn(async move {
                // The attempt ends at its deadline whatever the protocol does.
                let end = match limit {
                    None => {
                        let mut exchange = pin!(exchange);
                        match timeout_at(until, &mut exchange).await {
                            Ok(end) => Some(end),
                            // The host has done its work: the rest of its response is worth the wait.
                            Err(_) if meter.has_response_begun() => {
                                timeout_at(call_deadline, exchange).await.ok()
                            }
                            Err(_) => None,
                        }
                    }
                    Some(limit) if past_attempt_deadline => {
                        let mut exchange = pin!(exchange);
                        match timeout_at(until, &mut exchange).await {
                            Ok(end) => Some(end),
                            Err(_) if handle.on_attempt_deadline(id) => {
                                within_extendable_deadline(&limit, exchange).await
                            }
                            Err(_) => None,
                        }
                    }
                    Some(limit) => within_extendable_deadline(&limit, exchange).await,
                };
                let end = end.unwrap_or_else(|| match meter.bytes() {
                    0 => AttemptEnd::without_answer(Outcome::NoConnection),
                    _ => AttemptEnd::without_answer(Outcome::TimedOut),
                });
                handle.finish_attempt(id, attempt, end);
            })
        };
        self.counts.attempts += 1;
        self.counts.by_unverified_list += u64::from(self.expires_at.is_some());
        if let Some(host) = self.hosts.by_id.get_mut(&server) {
            host.sent_at = Some(now);
        }
        self.counts.oldest_list = self.counts.oldest_list.max(self.watch.time_since_verified());
        call.attempts.push(Some(Attempt {
            server,
            address: to.address,
            sent: now,
            meter,
            permit,
            _task: task,
        }));
    }

    /// Acquires a permit for the host, if several engines send to it. `None`: the shared concurrency limit is
    /// reached.
    #[expect(clippy::option_option, reason = "an engine without a group needs no permit")]
    fn acquire_permit(&mut self, to: Target) -> Option<Option<HostPermit>> {
        match &mut self.context.group {
            None => Some(None),
            Some(group) => group.acquire(to.server).map(Some),
        }
    }

    /// Whether all interceptors allow the attempt.
    fn interceptors_allow(&mut self, call: CallId, to: Target) -> bool {
        (0..self.chain.len()).all(|index| {
            self.context.current = index;
            self.chain[index].allow_attempt(&mut self.context, call, to)
        })
    }

    /// Cancels an attempt and closes its connection.
    fn cancel_attempt(&mut self, id: CallId, attempt: u32) {
        let Some(call) = self.context.calls.get_mut(&id) else { return };
        let Some(in_flight) = call.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        let closed = call.recipient.is_none();
        call.may_have_run |= in_flight.meter.bytes() > 0;
        self.context.events.push_back(outcome_event(
            id,
            attempt,
            Outcome::CalledOff,
            in_flight.elapsed(),
            closed,
        ));
        self.context.remove_if_finished(id);
    }

    /// Ends a call with a reply of the proxy itself.
    fn answer(&mut self, id: CallId, reply: Reply<P::Answer>) {
        let dropped_by_mutant = mutant::is_active(Mutant::DropsAnswers) && mutant::nth(10);
        if let Some(call) = self.context.calls.get_mut(&id) {
            if dropped_by_mutant {
                std::mem::forget(call.recipient.take());
            }
            let may_have_run = call.may_have_run();
            if let Some(recipient) = call.recipient.take() {
                self.context.deliver(id, recipient, reply, may_have_run);
            }
        }
        self.context.remove_if_finished(id);
    }
}

impl<P: Protocol> Handle<P> {
    /// Handles an attempt's deadline, as set by the decision module, for a call that may continue past it: the
    /// waiting requests are answered. Returns whether the call continues without them.
    fn on_attempt_deadline(&self, id: CallId) -> bool {
        let mut driver = self.0.borrow_mut();
        let Some(call) = driver.context.calls.get(&id) else { return false };
        let Some(&Recipient::Interceptor(index)) = call.recipient.as_ref() else { return false };
        if call.in_flight().any(|in_flight| !in_flight.meter.is_fully_written()) {
            return false;
        }
        driver.context.current = index;
        let Driver { context, chain, .. } = &mut *driver;
        chain[index].on_attempt_deadline(context, id);
        let continues = context.calls.get(&id).is_some_and(|call| call.detached);
        drop(driver);
        self.process([]);
        continues
    }

    /// Handles the end of an attempt: replies to the recipient of its call and reports the outcome.
    pub(super) fn finish_attempt(&self, id: CallId, attempt: u32, mut end: AttemptEnd<P::Answer>) {
        let mut driver = self.0.borrow_mut();
        let context = &mut driver.context;
        let Some(call) = context.calls.get_mut(&id) else { return };
        let removed = call.attempts.get_mut(attempt as usize).and_then(Option::take);
        let Some(mut in_flight) = removed else { return };
        // Released before the decision module gets the outcome, since it may send another attempt at once.
        drop(in_flight.permit.take());
        if end.outcome.never_ran() {
            call.repeat_window.forget_attempt(attempt);
        } else {
            call.may_have_run = true;
        }
        let answer = end.answer.take();
        let recipient = answer.as_ref().and_then(|_| call.recipient.take());
        let (elapsed, closed) = (in_flight.elapsed().as_micros() as Micros, call.recipient.is_none());
        let (mut outcome, load, detached) = (end.outcome, end.load, call.detached);
        if mutant::is_active(Mutant::RetriesWritten) && answer.is_none() {
            outcome = Outcome::NoConnection;
        }
        context.group.iter_mut().for_each(|group| group.load_reported(in_flight.server, load));
        context.events.push_back(Event::Outcome { call: id, attempt, outcome, elapsed, closed, load });
        match (recipient, answer) {
            (Some(recipient), Some(answer)) => {
                let recipient = swapped_by_mutant(context, id, recipient);
                context.deliver(id, recipient, Reply::Served(answer), true);
            }
            (None, Some(answer)) => {
                if let Some(index) = call.late_recipient.take() {
                    context.notifications.push_back((index, id, Notification::LateEnd(Some(answer))));
                }
            }
            _ => {}
        }
        if detached {
            context.end_if_idle(id);
        }
        context.remove_if_finished(id);
        let Driver { context, chain, .. } = &mut *driver;
        for (index, interceptor) in (0..).zip(chain) {
            context.current = index;
            interceptor.on_outcome(context, id, in_flight.server, outcome);
        }
        drop(driver);
        self.process([]);
        // Dropped last: this code may run in the very task that it ends.
        drop(in_flight);
    }
}

/// The recipient of an answer: that of the call, unless the mutant that swaps answers is active.
fn swapped_by_mutant<P: Protocol>(
    context: &mut ChainContext<P>,
    id: CallId,
    recipient: Recipient<P::Answer>,
) -> Recipient<P::Answer> {
    if !mutant::is_active(Mutant::SwapsAnswers) || !mutant::nth(40) {
        return recipient;
    }
    let other =
        context.calls.iter_mut().find(|(other_id, call)| **other_id != id && call.recipient.is_some());
    match other.and_then(|(_, call)| call.recipient.as_mut()) {
        Some(other) => std::mem::replace(other, recipient),
        None => recipient,
    }
}

/// Runs a future until a deadline that may move later meanwhile; `None` once the deadline has passed.
async fn within_extendable_deadline<T>(limit: &Cell<Instant>, future: impl Future<Output = T>) -> Option<T> {
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
