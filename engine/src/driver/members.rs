//! The hosts of the list, and the watch that brings it.

use super::{Driver, Handle};
use crate::discovery;
use crate::list::{self, Health, List};
use crate::protocol::{Protocol, Target};
use crate::task;
use nettleworks_policy::{self as policy, CellId, Entry, Event, ListKind, ServerId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Where the list is pushed the module never asks for it: a watch that ended is opened again after this.
const PUSH_RETRY: Duration = Duration::from_secs(1);

/// A host of the list.
pub(super) struct Host {
    pub dial: SocketAddr,
    born_ms: u64,
    pub health: Health,
}

/// The hosts, by number and by name.
#[derive(Default)]
pub(super) struct Hosts {
    pub by_number: HashMap<ServerId, Host>,
    pub names: HashMap<String, ServerId>,
    next: u32,
    /// Version of the list.
    pub seq: Option<u64>,
    /// Whether a list is in hand.
    pub listed: bool,
}

impl Hosts {
    pub fn new(seq: Option<u64>) -> Hosts {
        Hosts { seq, ..Hosts::default() }
    }

    /// Where a host listens that something new may be written to.
    pub fn ready(&self, server: ServerId) -> Option<SocketAddr> {
        self.by_number.get(&server).filter(|host| host.health == Health::Ready).map(|host| host.dial)
    }

    /// The number of a host, and whether it is new, or has moved or started again.
    fn intern(&mut self, entry: &list::Host) -> (ServerId, bool, bool) {
        let known = self.names.get(&entry.host).copied();
        let server = known.unwrap_or_else(|| {
            self.next += 1;
            self.names.insert(entry.host.clone(), ServerId(self.next));
            ServerId(self.next)
        });
        let (dial, born_ms, health) = (entry.dial, entry.born_ms, entry.health);
        let host = self.by_number.entry(server).or_insert(Host { dial, born_ms, health });
        let moved = (host.dial, host.born_ms) != (dial, born_ms);
        *host = Host { dial, born_ms, health };
        (server, known.is_none(), moved)
    }
}

impl<P: Protocol> Handle<P> {
    /// Takes a list in, from a watch or (`None`) the configuration: hosts that it does not name ready get nothing
    /// more that is not yet on its way.
    pub(super) fn members(&self, list: List, watch: Option<u64>) {
        let mut driver = self.0.borrow_mut();
        // A watch that was replaced may have more lines at hand; their versions are another discovery's.
        if watch.is_some_and(|watch| watch != driver.watches) {
            return;
        }
        let cached = watch.is_none();
        let hosts = &mut driver.hosts;
        hosts.listed |= !cached || !list.hosts.is_empty();
        hosts.seq = Some(list.seq);
        let kind = match list.whole {
            _ if cached => ListKind::Cached,
            true => ListKind::Full,
            false => ListKind::Delta,
        };
        if kind != ListKind::Delta {
            hosts.by_number.values_mut().for_each(|host| host.health = Health::Gone);
        }
        let mut entries = Vec::with_capacity(list.hosts.len());
        for entry in &list.hosts {
            let server = driver.intern(entry);
            let state = match entry.health {
                Health::Ready => policy::State::Ready,
                Health::Terminating => policy::State::Draining,
                Health::Gone => policy::State::Gone,
            };
            let (zone, cell) = (nettleworks_settings::zone(&entry.site), CellId(entry.block));
            let started = entry.born_ms.saturating_mul(1_000);
            entries.push(Entry { server, state, zone, cell, started, weight: entry.share });
        }
        // The module hears of the list before it hears of what the list undoes.
        driver.desk.events.push_back(Event::Members { kind, entries });
        driver.withdraw();
        let hosts = &mut driver.hosts;
        hosts.by_number.retain(|_, host| host.health != Health::Gone);
        hosts.names.retain(|_, server| hosts.by_number.contains_key(server));
        driver.show();
        drop(driver);
        self.run([]);
    }
}

impl<P: Protocol> Driver<P> {
    pub(super) fn subscribe(&mut self, handle: &Handle<P>) {
        let (handle, discovery, since) = (handle.clone(), self.desk.config.discovery, self.hosts.seq);
        let pushed = !self.desk.config.settings.ask;
        self.watches += 1;
        let watch = self.watches;
        // The task of the last watch, if there is one, ends here.
        self.watch = Some(task::spawn(async move {
            let reason = discovery::watch(discovery, since, |list| handle.members(list, Some(watch))).await;
            if handle.0.borrow().watches != watch {
                return;
            }
            handle.log(&format!("discovery: {reason}"));
            handle.run([Event::Members { kind: ListKind::Failed, entries: Vec::new() }]);
            if pushed {
                tokio::time::sleep(PUSH_RETRY).await;
                handle.0.borrow_mut().subscribe(&handle);
            }
        }));
    }

    /// The number of a host. What is idle there is of no use once it moves or starts again.
    fn intern(&mut self, entry: &list::Host) -> ServerId {
        let (server, new, moved) = self.hosts.intern(entry);
        if new {
            // The module's lines name servers by number alone.
            self.desk.log(&format!("server {} is {} at {}", server.0, entry.host, entry.dial));
        }
        if moved {
            self.protocol.retire(server);
        }
        server
    }

    /// Takes back what is not yet written to hosts that are not ready, or no longer there, and closes what is
    /// idle: a send counts when it is written, not when it was decided.
    fn withdraw(&mut self) {
        let Driver { desk, hosts, protocol, .. } = self;
        for (&server, host) in &hosts.by_number {
            match host.health {
                Health::Ready => protocol.admit(Target { server, address: host.dial }),
                Health::Terminating | Health::Gone => protocol.retire(server),
            }
        }
        for (&id, call) in &mut desk.calls {
            call.withdraw(id, &mut desk.events, |out| hosts.ready(out.server) != Some(out.address));
        }
    }
}
