//! The driver as one of several engines of a process.

use super::hosts::ListSource;
use super::{Driver, Handle, PendingReply};
use crate::calls::RequestInfo;
use crate::list::List;
use crate::protocol::Protocol;
use nettleworks_policy::{Event, Observation, ServerId};
use std::time::Duration;

impl<P: Protocol> Driver<P> {
    /// Synchronizes with the group, before each event of the decision module and after the last one.
    pub(super) fn synchronize_group(&mut self) {
        if let Some(group) = &mut self.context.group {
            let now = self.context.clock.micros_at(tokio::time::Instant::now());
            group.synchronize(now, &self.balancer, &mut self.context.events);
        }
        self.apply_published_lease();
    }
}

impl<P: Protocol> Handle<P> {
    /// Starts a call that another engine of the process has accepted, and whose id it has opened.
    pub fn request_from_peer(&self, info: RequestInfo<P::Id>, request: P::Request) -> PendingReply<P> {
        self.start_pending(info, request, false)
    }

    /// Applies a list that the watch of another engine has received.
    pub fn list_from_peer(&self, list: List) {
        self.receive_list(list, ListSource::Group);
    }

    /// Confirms that all shared lists up to this update have been applied.
    pub fn caught_up(&self, update: u64) {
        self.0.borrow().freshness_gate.mark_applied(update);
    }

    /// Reports to the decision module what another engine has observed of a host `age` ago.
    pub fn observation_from_peer(&self, host: &str, observation: Observation, age: Duration) {
        let server: Option<ServerId> = self.0.borrow().hosts.ids_by_name.get(host).copied();
        if let Some(server) = server {
            let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
            self.process([Event::Observed { server, observation, age }]);
        }
    }

    /// Opens or closes the watch of the server list, after the group has made this engine or another one the watcher.
    pub fn update_watch_role(&self) {
        let mut driver = self.0.borrow_mut();
        let is_watcher = driver.context.group.as_ref().is_none_or(|group| group.is_watcher());
        if is_watcher && !driver.watch.is_open() {
            driver.subscribe(self);
            drop(driver);
            self.mark_list_unverified();
        } else if !is_watcher && driver.watch.is_open() {
            driver.watch.close();
        }
    }

    /// Runs `act` with the group if it is of type `G`, and processes the resulting events.
    pub fn with_group<G: 'static, T>(&self, act: impl FnOnce(&mut G) -> T) -> Option<T> {
        let result = {
            let mut driver = self.0.borrow_mut();
            driver.context.group.as_mut().and_then(|group| group.as_any().downcast_mut::<G>().map(act))
        };
        self.process([]);
        result
    }

    /// Drops all open calls of a poisoned engine. Their reply channels close, which callers treat as a failure that may
    /// have run. Nothing more is sent, and new requests are refused.
    pub fn abort_calls(&self) {
        let mut driver = self.0.borrow_mut();
        driver.poisoned = true;
        let chain = std::mem::take(&mut driver.chain);
        let context = &mut driver.context;
        let calls = (std::mem::take(&mut context.calls), std::mem::take(&mut context.forwarded));
        context.notifications.clear();
        context.events.clear();
        drop(driver);
        // Dropping these closes the reply channels of the waiting callers.
        drop((chain, calls));
    }

    /// Whether a panic has left the engine in the middle of a change; its state is not reliable then.
    pub fn is_poisoned(&self) -> bool {
        self.0.try_borrow().is_ok_and(|driver| driver.poisoned)
    }
}
