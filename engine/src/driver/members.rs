//! The hosts of the list, and what a new list does to them.

use super::{Driver, Handle};
use crate::calls::call::{Attempt, Call};
use crate::list::{self, Health, List};
use crate::mutant::{self, Mutant};
use crate::protocol::{Protocol, Target};
use nettleworks_policy::{self as policy, CellId, Entry, Event, ListKind, ServerId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Where a list comes from.
#[derive(Clone, Copy, Debug)]
pub(super) enum Source {
    /// The configuration, as this proxy last had it.
    Known,
    /// The watch of this number.
    Watch(u64),
    /// Another engine of the process.
    Group,
}

/// A host of the list.
pub(super) struct Host {
    pub dial: SocketAddr,
    born_ms: u64,
    pub health: Health,
    /// When the last attempt there was begun.
    pub sent_at: Option<Instant>,
}

/// The hosts, by number and by name. In an order of their own: what is done to all of them is done in the same order in
/// each run.
#[derive(Default)]
pub(super) struct Hosts {
    pub by_number: BTreeMap<ServerId, Host>,
    pub names: BTreeMap<String, ServerId>,
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

    /// The hosts that something new may be written to.
    fn ready_servers(&self) -> Vec<ServerId> {
        let ready = self.by_number.iter().filter(|(_, host)| host.health == Health::Ready);
        ready.map(|(&server, _)| server).collect()
    }

    /// The number of a host, and whether it is new, or has moved or started again.
    fn intern(
        &mut self,
        entry: &list::Host,
        number: Option<impl FnOnce(&str) -> ServerId>,
    ) -> (ServerId, bool, bool) {
        let known = self.names.get(&entry.host).copied();
        let server = known.unwrap_or_else(|| {
            let server = match number {
                Some(number) => number(&entry.host),
                None => {
                    self.next += 1;
                    ServerId(self.next)
                }
            };
            self.names.insert(entry.host.clone(), server);
            server
        });
        let (dial, born_ms, health) = (entry.dial, entry.born_ms, entry.health);
        let host = self.by_number.entry(server).or_insert(Host { dial, born_ms, health, sent_at: None });
        let moved = (host.dial, host.born_ms) != (dial, born_ms);
        (host.dial, host.born_ms, host.health) = (dial, born_ms, health);
        (server, known.is_none(), moved)
    }
}

impl<P: Protocol> Handle<P> {
    /// Takes a list in: hosts that it does not name ready get nothing
    /// more that is not yet on its way.
    pub(super) fn members(&self, list: List, source: Source) {
        let drains = list.hosts.iter().any(|host| host.health == Health::Terminating);
        if drains && mutant::is_planted(Mutant::DrainsLate) {
            let handle = self.clone();
            spawn_local(async move {
                tokio::time::sleep(Duration::from_millis(1_200)).await;
                handle.take_in_list(list, source);
            });
            return;
        }
        self.take_in_list(list, source);
    }

    fn take_in_list(&self, list: List, source: Source) {
        let mut driver = self.0.borrow_mut();
        if let Source::Watch(watch) = source {
            // A watch that was replaced may have more lines at hand; their versions are another discovery's.
            if watch != driver.watch.number {
                return;
            }
            driver.watch.failed = 0;
            driver.desk.group.iter_mut().for_each(|group| group.listed(&list));
        }
        let cached = matches!(source, Source::Known);
        // What unwinds through here leaves it so.
        driver.torn = driver.desk.group.is_some();
        let ready_before = driver.hosts.ready_servers();
        let hosts = &mut driver.hosts;
        hosts.listed |= !cached || !list.hosts.is_empty();
        hosts.seq = Some(list.seq);
        let kind = match (source, list.whole) {
            (Source::Known, _) => ListKind::Cached,
            (Source::Watch(_), true) => ListKind::Full,
            (Source::Watch(_), false) => ListKind::Delta,
            (Source::Group, true) => ListKind::SharedFull,
            (Source::Group, false) => ListKind::SharedDelta,
        };
        if kind.is_whole() {
            hosts.by_number.values_mut().for_each(|host| host.health = Health::Gone);
        }
        let mut entries = Vec::with_capacity(list.hosts.len());
        for entry in &list.hosts {
            let server = driver.intern(entry);
            let state = match entry.health {
                Health::Ready => policy::ServerState::Ready,
                Health::Terminating => policy::ServerState::Draining,
                Health::Gone => policy::ServerState::Removed,
            };
            let (zone, cell) = (nettleworks_settings::zone_id(&entry.site), CellId(entry.block));
            let started = entry.born_ms.saturating_mul(1_000);
            entries.push(Entry { server, state, zone, cell, started, weight: entry.share });
        }
        driver.log_list(&list, kind);
        driver.log_leaving(&ready_before);
        // The module hears of the list before it hears of what the list undoes.
        driver.desk.events.push_back(Event::ServerList { kind, entries });
        driver.withdraw();
        let hosts = &mut driver.hosts;
        hosts.by_number.retain(|_, host| host.health != Health::Gone);
        hosts.names.retain(|_, server| hosts.by_number.contains_key(server));
        let Driver { desk, hosts, .. } = &mut *driver;
        desk.group.iter_mut().for_each(|group| group.retain(&|server| hosts.by_number.contains_key(&server)));
        driver.show();
        driver.torn = false;
        drop(driver);
        self.run([]);
    }
}

impl<P: Protocol> Driver<P> {
    /// The number of a host. What is idle there is of no use once it moves or starts again.
    fn intern(&mut self, entry: &list::Host) -> ServerId {
        let number = self.desk.group.as_mut().map(|group| |name: &str| group.number(name));
        let (server, new, moved) = self.hosts.intern(entry, number);
        if new {
            // The module's lines name servers by number alone.
            self.desk.log(&format!("server {} is {} at {}", server.0, entry.host, entry.dial));
        }
        if moved {
            self.protocol.retire(server);
        }
        self.desk.group.iter_mut().for_each(|group| group.host(server, &entry.host, entry.born_ms));
        server
    }

    /// Writes to the log which of these servers a list has taken out of use, and what was last sent there.
    fn log_leaving(&self, ready_before: &[ServerId]) {
        for &server in ready_before {
            let Some(host) = self.hosts.by_number.get(&server) else { continue };
            if host.health == Health::Ready {
                continue;
            }
            let out = self.desk.calls.values().flat_map(Call::out).filter(|out| out.server == server).count();
            let last = host.sent_at.map_or("never".to_owned(), |at| format!("{:.3?} ago", at.elapsed()));
            let health = host.health;
            self.desk
                .log(&format!("server {} is {health:?}: last sent to {last}, {out} attempts out", server.0));
        }
    }

    /// Takes back what is not yet written to hosts that are not ready, or no longer there, or by a list that has expired,
    /// and closes what is idle at those: a send counts when it is written, not when it was decided.
    pub(super) fn withdraw(&mut self) {
        let Driver { desk, hosts, protocol, .. } = self;
        for (&server, host) in &hosts.by_number {
            match host.health {
                Health::Ready => protocol.admit(Target { server, address: host.dial }),
                Health::Terminating | Health::Gone => protocol.retire(server),
            }
        }
        let (before, expired) = (desk.events.len(), self.fresh.has_expired());
        for (&id, call) in &mut desk.calls {
            let unwanted = |out: &Attempt| expired || hosts.ready(out.server) != Some(out.address);
            call.withdraw(id, &mut desk.events, unwanted);
        }
        let withdrawn = (desk.events.len() - before) as u64;
        if withdrawn > 0 {
            self.counts.withdrawn += withdrawn;
            self.desk.log(&format!("{withdrawn} attempts withdrawn from servers that are not ready"));
        }
    }
}
