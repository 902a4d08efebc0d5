//! What the driver does as one of several engines.

use super::members::Source;
use super::{Driver, Handle, Waiting};
use crate::calls::Ask;
use crate::list::List;
use crate::protocol::Protocol;
use nettleworks_policy::{Event, Observation, ServerId};
use std::time::Duration;

impl<P: Protocol> Driver<P> {
    /// What the group has to say, before the module's next event and after the last.
    pub(super) fn settle(&mut self) {
        if let Some(group) = &mut self.desk.group {
            let now = self.desk.clock.micros_at(tokio::time::Instant::now());
            group.settle(now, &self.balancer, &mut self.desk.events);
        }
        self.heed_lease();
    }
}

impl<P: Protocol> Handle<P> {
    /// Takes a request in that another engine of the process has taken, and whose id it has opened.
    pub fn request_handed(&self, ask: Ask<P::Id>, request: P::Request) -> Waiting<P> {
        self.wait(ask, request, false)
    }

    /// Takes in what another engine's watch has brought.
    pub fn told(&self, list: List) {
        self.members(list, Source::Group);
    }

    /// All is taken in that the process was told up to here.
    pub fn caught_up(&self, told: u64) {
        self.0.borrow().fresh.mark_applied(told);
    }

    /// Another engine has learned something of a host, so long ago.
    pub fn heard(&self, host: &str, observation: Observation, age: Duration) {
        let server: Option<ServerId> = self.0.borrow().hosts.names.get(host).copied();
        if let Some(server) = server {
            let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
            self.run([Event::Observed { server, observation, age }]);
        }
    }

    /// This engine watches the list from now on, or another does: the group says so.
    pub fn lead(&self) {
        let mut driver = self.0.borrow_mut();
        let leads = driver.desk.group.as_ref().is_none_or(|group| group.watches());
        if leads && !driver.watch.is_open() {
            driver.subscribe(self);
            drop(driver);
            self.watch_is_lost();
        } else if !leads && driver.watch.is_open() {
            driver.watch.close();
        }
    }

    /// Does something with the group, if it has this type, and what follows from that.
    pub fn group<G: 'static, T>(&self, act: impl FnOnce(&mut G) -> T) -> Option<T> {
        let done = {
            let mut driver = self.0.borrow_mut();
            driver.desk.group.as_mut().and_then(|group| group.any().downcast_mut::<G>().map(act))
        };
        self.run([]);
        done
    }

    /// Gives up all that is open, unanswered: whoever waits is told that it may have run. Nothing is sent for it any
    /// more, and what comes is refused. For an engine that is torn.
    pub fn abandon(&self) {
        let mut driver = self.0.borrow_mut();
        driver.torn = true;
        let stations = std::mem::take(&mut driver.stations);
        let desk = &mut driver.desk;
        let calls = (std::mem::take(&mut desk.calls), std::mem::take(&mut desk.entering));
        desk.told.clear();
        desk.events.clear();
        drop(driver);
        // Those who wait hear of it by these.
        drop((stations, calls));
    }

    /// Whether a panic has left the engine half way through a change: nothing that it says counts any more.
    pub fn is_torn(&self) -> bool {
        self.0.try_borrow().is_ok_and(|driver| driver.torn)
    }
}
