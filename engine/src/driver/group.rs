//! What the driver does as one of several engines.

use super::hosts::ListSource;
use super::{Driver, Handle, PendingReply};
use crate::calls::RequestInfo;
use crate::list::List;
use crate::protocol::Protocol;
use nettleworks_policy::{Event, News, ServerId};
use std::time::Duration;

impl<P: Protocol> Driver<P> {
    /// What the group has to say, before the module's next event and after the last.
    pub(super) fn synchronize_group(&mut self) {
        if let Some(group) = &mut self.context.group {
            let now = self.context.clock.at(tokio::time::Instant::now());
            group.synchronize(now, &self.balancer, &mut self.context.events);
        }
        self.apply_published_lease();
    }
}

impl<P: Protocol> Handle<P> {
    /// Takes a request in that another engine of the process has taken, and whose id it has opened.
    pub fn request_from_peer(&self, info: RequestInfo<P::Id>, request: P::Request) -> PendingReply<P> {
        self.start_pending(info, request, false)
    }

    /// Takes in what another engine's watch has brought.
    pub fn list_from_peer(&self, list: List) {
        self.receive_list(list, ListSource::Group);
    }

    /// All is taken in that the process was told up to here.
    pub fn caught_up(&self, update: u64) {
        self.0.borrow().freshness_gate.taken(update);
    }

    /// Another engine has learned something of a host, so long ago.
    pub fn observation_from_peer(&self, host: &str, news: News, age: Duration) {
        let server: Option<ServerId> = self.0.borrow().hosts.ids_by_name.get(host).copied();
        if let Some(server) = server {
            let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
            self.process([Event::Heard { server, news, age }]);
        }
    }

    /// This engine watches the list from now on, or another does: the group says so.
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

    /// Does something with the group, if it has this type, and what follows from that.
    pub fn with_group<G: 'static, T>(&self, act: impl FnOnce(&mut G) -> T) -> Option<T> {
        let result = {
            let mut driver = self.0.borrow_mut();
            driver.context.group.as_mut().and_then(|group| group.as_any().downcast_mut::<G>().map(act))
        };
        self.process([]);
        result
    }

    /// Gives up all that is open, unanswered: whoever waits is told that it may have run. Nothing is sent for it any
    /// more, and what comes is refused. For an engine that is torn.
    pub fn abort_calls(&self) {
        let mut driver = self.0.borrow_mut();
        driver.poisoned = true;
        let chain = std::mem::take(&mut driver.chain);
        let context = &mut driver.context;
        let calls = (std::mem::take(&mut context.calls), std::mem::take(&mut context.forwarded));
        context.notifications.clear();
        context.events.clear();
        drop(driver);
        // Those who wait hear of it by these.
        drop((chain, calls));
    }

    /// Whether a panic has left the engine half way through a change: nothing that it says counts any more.
    pub fn is_poisoned(&self) -> bool {
        self.0.try_borrow().is_ok_and(|driver| driver.poisoned)
    }
}
