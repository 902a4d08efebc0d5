//! Passes requests, call ends and cancellations through the interceptor chain.

use super::Driver;
use crate::calls::call::Call;
use crate::calls::{DetachPolicy, IncomingRequest, Recipient, RequestInfo};
use crate::interceptor::{ChainContext, Notification, RequestFlow};
use crate::meter::RepeatWindow;
use crate::protocol::Protocol;
use nettleworks_policy::{CallId, Event, Idempotency, Micros};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

impl<P: Protocol> Driver<P> {
    /// Passes a request to the interceptors from index `from` on. After the last one it becomes a call.
    pub(super) fn admit(&mut self, from: usize, mut incoming: IncomingRequest<P>) {
        for index in from..self.chain.len() {
            self.context.current = index;
            match self.chain[index].on_request(&mut self.context, incoming) {
                RequestFlow::Continue(next) => incoming = next,
                RequestFlow::Handled => return,
            }
        }
        self.begin_call(incoming);
    }

    /// Starts the call of a request that has passed all interceptors.
    fn begin_call(&mut self, incoming: IncomingRequest<P>) {
        let IncomingRequest {
            number,
            info: RequestInfo { id, class, tenant, deadline, resent, .. },
            request,
            recipient,
            detach,
            ..
        } = incoming;
        let extendable_deadline =
            detach.map(|DetachPolicy { until, .. }| Rc::new(Cell::new(until.max(deadline))));
        let past_attempt_deadline = detach.is_some_and(|detach| detach.past_attempt_deadline);
        let (recipient, late_recipient, attempts, detached, may_have_run) =
            (Some(recipient), None, Vec::new(), false, false);
        let window_length =
            match self.context.config.settings.classes.get(class.0).map(|class| class.idempotency) {
                Some(Idempotency::Guarded { window, .. }) => Some(Duration::from_micros(window)),
                _ => None,
            };
        let repeat_window = RepeatWindow::new(window_length);
        let call = Call {
            id,
            request,
            deadline,
            recipient,
            late_recipient,
            extendable_deadline,
            past_attempt_deadline,
            detached,
            may_have_run,
            repeat_window,
            attempts,
        };
        self.context.calls.insert(number, call);
        let time_left = deadline.saturating_duration_since(Instant::now()).as_micros() as Micros;
        self.context.events.push_back(Event::Request { call: number, class, tenant, time_left, resent });
    }

    /// Delivers pending notifications and forwarded requests until there are none left.
    pub(super) fn deliver_notifications(&mut self) {
        loop {
            if let Some((index, call, notification)) = self.context.notifications.pop_front() {
                self.context.current = index;
                match notification {
                    Notification::CallEnd(end) => self.chain[index].on_call_end(&mut self.context, call, end),
                    Notification::LateEnd(answer) => {
                        self.chain[index].on_late_end(&mut self.context, call, answer)
                    }
                    Notification::Cancelled => drop(self.cancel_from(index, call)),
                }
            } else if let Some((index, incoming)) = self.context.forwarded.pop_front() {
                self.admit(index, incoming);
            } else {
                return;
            }
        }
    }

    pub(super) fn wake_interceptors(&mut self) {
        let now = Instant::now();
        for index in 0..self.chain.len() {
            if self.chain[index].wake_at(&self.context).is_some_and(|wake_at| wake_at <= now) {
                self.context.current = index;
                self.chain[index].on_wake(&mut self.context);
            }
        }
    }

    /// Cancels a call whose client has stopped waiting. Returns `false` if no client waited for it.
    pub(super) fn cancel(&mut self, id: CallId) -> bool {
        if self.cancel_from(0, id) {
            return true;
        }
        let is_caller = |recipient: &mut Recipient<P::Answer>| matches!(recipient, Recipient::Caller(_));
        let Some(call) = self.context.calls.get_mut(&id) else { return false };
        if call.recipient.take_if(is_caller).is_none() {
            return false;
        }
        if call.may_have_run() {
            self.context.config.abandoned_ids.insert(&call.id, Instant::now());
        }
        self.context.events.push_back(Event::Cancelled { call: id });
        self.context.remove_if_finished(id);
        true
    }

    /// Opens the id of a request; `own` as for [`crate::calls::OpenIds::open`]. Returns `false` if that id must not run.
    pub(super) fn open_id(&mut self, info: &RequestInfo<P::Id>, own: bool) -> bool {
        let is_abandoned = own && self.was_abandoned(info);
        let ChainContext { open_ids, group, .. } = &mut self.context;
        !is_abandoned && open_ids.open(&info.id, own, group)
    }

    /// Whether the request has the id of a call that may have run and whose client has left. One that may be repeated
    /// at will is not meant.
    fn was_abandoned(&self, info: &RequestInfo<P::Id>) -> bool {
        let config = &self.context.config;
        let class = config.settings.classes.get(info.class.0);
        class.is_some_and(|class| class.idempotency != Idempotency::Free)
            && config.abandoned_ids.contains(&info.id, Instant::now())
    }

    /// Offers a cancellation to the interceptors from index `from` on. Returns whether one of them holds the request.
    /// The call may have been answered meanwhile.
    fn cancel_from(&mut self, from: usize, id: CallId) -> bool {
        (from..self.chain.len()).any(|index| {
            self.context.current = index;
            self.chain[index].on_cancel(&mut self.context, id)
        })
    }

    pub(super) fn detached(&self) -> usize {
        self.chain.iter().map(|entry| entry.detached()).sum()
    }
}
