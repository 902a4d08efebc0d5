//! The hosts of the server list, and how a new list is applied.

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
pub(super) enum ListSource {
    /// The configuration: the list as this proxy had it before its start.
    Cached,
    /// The watch with this number.
    Watch(u64),
    /// Another engine of the process.
    Group,
}

/// A host of the list.
pub(super) struct Host {
    pub dial: SocketAddr,
    born_ms: u64,
    pub health: Health,
    /// When the last attempt to the host was started.
    pub sent_at: Option<Instant>,
}

/// The hosts, by id and by name. Ordered maps, so that operations on all hosts run in the same order in each run.
#[derive(Default)]
pub(super) struct Hosts {
    pub by_id: BTreeMap<ServerId, Host>,
    pub ids_by_name: BTreeMap<String, ServerId>,
    last_id: u32,
    /// Version of the list.
    pub seq: Option<u64>,
    /// Whether a list has been received or was cached.
    pub has_list: bool,
}

impl Hosts {
    pub fn new(seq: Option<u64>) -> Hosts {
        Hosts { seq, ..Hosts::default() }
    }

    /// The address of a host, if new requests may be sent to it.
    pub fn ready(&self, server: ServerId) -> Option<SocketAddr> {
        self.by_id.get(&server).filter(|host| host.health == Health::Ready).map(|host| host.dial)
    }

    /// The number of hosts that have not gone.
    fn listed(&self) -> usize {
        self.by_id.values().filter(|host| host.health != Health::Gone).count()
    }

    /// Whether a host is known and has not gone.
    fn is_listed(&self, name: &str) -> bool {
        let host = self.ids_by_name.get(name).and_then(|server| self.by_id.get(server));
        host.is_some_and(|host| host.health != Health::Gone)
    }

    /// The hosts to which new requests may be sent.
    fn ready_servers(&self) -> Vec<ServerId> {
        let ready = self.by_id.iter().filter(|(_, host)| host.health == Health::Ready);
        ready.map(|(&server, _)| server).collect()
    }

    /// Adds or updates a host. Returns its id, whether it is new, and whether it has a new address or has restarted.
    fn intern(
        &mut self,
        entry: &list::Host,
        assign_id: Option<impl FnOnce(&str) -> ServerId>,
    ) -> (ServerId, bool, bool) {
        let known = self.ids_by_name.get(&entry.host).copied();
        let server = known.unwrap_or_else(|| {
            let server = match assign_id {
                Some(assign_id) => assign_id(&entry.host),
                None => {
                    self.last_id += 1;
                    ServerId(self.last_id)
                }
            };
            self.ids_by_name.insert(entry.host.clone(), server);
            server
        });
        let (dial, born_ms, health) = (entry.dial, entry.born_ms, entry.health);
        let host = self.by_id.entry(server).or_insert(Host { dial, born_ms, health, sent_at: None });
        let replaced = (host.dial, host.born_ms) != (dial, born_ms);
        (host.dial, host.born_ms, host.health) = (dial, born_ms, health);
        (server, known.is_none(), replaced)
    }
}

impl<P: Protocol> Handle<P> {
    /// Applies a list. Hosts that are not ready by it get no request that is not yet on the wire.
    pub(super) fn receive_list(&self, list: List, source: ListSource) {
        let has_draining = list.hosts.iter().any(|host| host.health == Health::Terminating);
        if has_draining && mutant::is_active(Mutant::DelaysDrains) {
            let handle = self.clone();
            spawn_local(async move {
                tokio::time::sleep(Duration::from_millis(1_200)).await;
                handle.apply_list(list, source);
            });
            return;
        }
        self.apply_list(list, source);
    }

    fn apply_list(&self, list: List, source: ListSource) {
        let mut driver = self.0.borrow_mut();
        if let ListSource::Watch(watch) = source {
            // A watch that was replaced may still deliver lines; their versions may be those of another discovery.
            if watch != driver.watch.number {
                return;
            }
            driver.watch.failures = 0;
            driver.context.group.iter_mut().for_each(|group| group.publish_list(&list));
        }
        let cached = matches!(source, ListSource::Cached);
        // Stays set if a panic unwinds through here.
        driver.poisoned = driver.context.group.is_some();
        let ready_before = driver.hosts.ready_servers();
        let hosts = &mut driver.hosts;
        hosts.has_list |= !cached || !list.hosts.is_empty();
        hosts.seq = Some(list.seq);
        let kind = match (source, list.whole) {
            (ListSource::Cached, _) => ListKind::Cached,
            (ListSource::Watch(_), true) => ListKind::Full,
            (ListSource::Watch(_), false) => ListKind::Delta,
            (ListSource::Group, true) => ListKind::SharedFull,
            (ListSource::Group, false) => ListKind::SharedDelta,
        };
        if kind.is_whole() {
            hosts.by_id.values_mut().for_each(|host| host.health = Health::Gone);
        }
        let mut entries = Vec::with_capacity(list.hosts.len());
        let max_hosts = driver.context.config.memory_plan.hosts;
        let (mut listed, mut ignored) = (driver.hosts.listed(), 0);
        for entry in &list.hosts {
            if entry.health != Health::Gone && !driver.hosts.is_listed(&entry.host) {
                if listed == max_hosts {
                    ignored += 1;
                    continue;
                }
                listed += 1;
            }
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
        if ignored > 0 {
            driver.context.log(&format!("list: {ignored} hosts ignored, as there are {max_hosts} already"));
        }
        driver.log_unavailable(&ready_before);
        // The decision module must get the list before the outcomes of the attempts that the list withdraws.
        driver.context.events.push_back(Event::ServerList { kind, entries });
        driver.withdraw_unsendable();
        let hosts = &mut driver.hosts;
        hosts.by_id.retain(|_, host| host.health != Health::Gone);
        hosts.ids_by_name.retain(|_, server| hosts.by_id.contains_key(server));
        let Driver { context, hosts, .. } = &mut *driver;
        context
            .group
            .iter_mut()
            .for_each(|group| group.retain_hosts(&|server| hosts.by_id.contains_key(&server)));
        driver.notify_observer();
        driver.poisoned = false;
        drop(driver);
        self.process([]);
    }
}

impl<P: Protocol> Driver<P> {
    /// Adds or updates a host and returns its id. Idle connections are closed if it has a new address or has
    /// restarted.
    fn intern(&mut self, entry: &list::Host) -> ServerId {
        let assign_id = self.context.group.as_mut().map(|group| |name: &str| group.server_id(name));
        let (server, new, replaced) = self.hosts.intern(entry, assign_id);
        if new {
            // The log lines of the decision module name servers by id only.
            self.context.log(&format!("server {} is {} at {}", server.0, entry.host, entry.dial));
        }
        if replaced {
            self.protocol.host_retired(server);
        }
        self.context.group.iter_mut().for_each(|group| group.host_listed(server, &entry.host, entry.born_ms));
        server
    }

    /// Logs which of these servers a list has made unavailable, and when the last attempt was sent there.
    fn log_unavailable(&self, ready_before: &[ServerId]) {
        for &server in ready_before {
            let Some(host) = self.hosts.by_id.get(&server) else { continue };
            if host.health == Health::Ready {
                continue;
            }
            let in_flight = self
                .context
                .calls
                .values()
                .flat_map(Call::in_flight)
                .filter(|in_flight| in_flight.server == server)
                .count();
            let last_sent = host.sent_at.map_or("never".to_owned(), |at| format!("{:.3?} ago", at.elapsed()));
            let health = host.health;
            self.context.log(&format!(
                "server {} is {health:?}: last sent to {last_sent}, {in_flight} attempts in flight",
                server.0
            ));
        }
    }

    /// Withdraws attempts that are not yet written and must not be any more: to hosts that are not ready, have moved
    /// or are no longer listed, or by an expired list. Also closes idle connections to those hosts. What counts is
    /// when a request is written, not when the decision was made.
    pub(super) fn withdraw_unsendable(&mut self) {
        let Driver { context, hosts, protocol, .. } = self;
        for (&server, host) in &hosts.by_id {
            match host.health {
                Health::Ready => protocol.host_ready(Target { server, address: host.dial }),
                Health::Terminating | Health::Gone => protocol.host_retired(server),
            }
        }
        let (events_before, expired) = (context.events.len(), self.freshness_gate.has_expired());
        for (&id, call) in &mut context.calls {
            let unwanted =
                |in_flight: &Attempt| expired || hosts.ready(in_flight.server) != Some(in_flight.address);
            call.withdraw(id, &mut context.events, unwanted);
        }
        let withdrawn = (context.events.len() - events_before) as u64;
        if withdrawn > 0 {
            self.counts.withdrawn += withdrawn;
            self.context.log(&format!("{withdrawn} attempts withdrawn from servers that are not ready"));
        }
    }
}
