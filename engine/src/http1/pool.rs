//! The open connections to all hosts, and which of them the next request uses.

use super::connection::Connection;
use super::identity::ProcessIdentity;
use super::response_end::Surplus;
use super::reuse::{Choice, ReusePolicy};
use super::slot::Slot;
use crate::config::Config;
use crate::protocol::{Connections, Target};
use crate::quota::Side;
use nettleworks_policy::ServerId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Share of the hosts' idle timeout after which an idle connection is no longer used.
const IDLE_TIMEOUT_SHARE: f64 = 0.9;

/// The idle connections to a host that takes requests, in the order in which they became idle.
struct HostConnections {
    address: SocketAddr,
    idle: Vec<Connection>,
    reuse: ReusePolicy,
    identity: ProcessIdentity,
}

impl HostConnections {
    fn new(address: SocketAddr) -> HostConnections {
        HostConnections {
            address,
            idle: Vec::new(),
            reuse: ReusePolicy::default(),
            identity: ProcessIdentity::default(),
        }
    }

    /// Adds an idle connection.
    fn insert(&mut self, connection: Connection) {
        let index = self.idle.partition_point(|other| other.idle_since() <= connection.idle_since());
        self.idle.insert(index, connection);
    }
}

/// An idle connection for a request.
pub struct Reserved {
    pub connection: Connection,
    /// The request may be written from this time on.
    pub ready_at: Instant,
}

/// The connections to all hosts.
pub struct Pool {
    pub config: Rc<Config>,
    /// Ordered, so that simulated runs are reproducible: of two connections of the same age the same one is closed.
    hosts: BTreeMap<ServerId, HostConnections>,
    /// Counts open connections to hosts: one reference for each, besides this one.
    slots: Rc<()>,
    pub counts: Connections,
}

impl Pool {
    /// A pool without connections.
    pub fn new(config: &Rc<Config>) -> Pool {
        Pool {
            config: config.clone(),
            hosts: BTreeMap::new(),
            slots: Rc::default(),
            counts: Connections::default(),
        }
    }

    /// Reserves a slot for one more connection to a host. If the limit is reached, closes the oldest idle connection;
    /// `None` if there is none to close.
    pub fn slot(&mut self) -> Option<Slot> {
        let max = self.config.connections_to_hosts();
        let permit = self.config.quota.acquire(Side::Hosts, max);
        let permit = permit.or_else(|| {
            let oldest = self.hosts.values_mut().filter(|host| !host.idle.is_empty());
            let Some(host) = oldest.min_by_key(|host| host.idle[0].idle_since()) else {
                self.config.quota.report_shortage();
                return None;
            };
            drop(host.idle.remove(0));
            self.config.quota.acquire(Side::Hosts, max)
        });
        Some(Slot::new(&self.slots, permit?))
    }

    /// Idle time from which on a connection is not used any more, since its host may close it at any moment.
    fn max_idle_time(&self) -> Duration {
        self.config.conn_idle.mul_f64(IDLE_TIMEOUT_SHARE)
    }

    /// Takes an idle connection for a request to the target, which must be written by `deadline`; `None` if a new one is
    /// to be opened.
    pub fn reserve(&mut self, target: Target, deadline: Instant) -> Option<Reserved> {
        self.close_unusable(target.server);
        let host = self.hosts.get_mut(&target.server).filter(|host| host.address == target.address)?;
        let now = Instant::now();
        match host.reuse.choose(&host.idle, Connection::idle_since, now, deadline) {
            Choice::Use(index) => Some(Reserved { connection: host.idle.remove(index), ready_at: now }),
            Choice::Wait { index, until } => {
                self.counts.settle_waits.record(until - now);
                Some(Reserved { connection: host.idle.remove(index), ready_at: until })
            }
            Choice::Open => {
                self.counts.opened_unsettled += u64::from(!host.idle.is_empty());
                None
            }
        }
    }

    /// Takes back a reserved connection that was not used, or closes it if it is unusable.
    pub fn put_back(&mut self, target: Target, connection: Connection) {
        if connection.is_ready() {
            self.keep(target, connection);
        } else {
            self.record_surplus(target, &connection);
        }
    }

    /// Keeps a connection that is ready for the next request, or closes it if its host takes no more requests at that
    /// address.
    pub fn keep(&mut self, target: Target, connection: Connection) {
        let host = self.hosts.get_mut(&target.server).filter(|host| host.address == target.address);
        if let Some(host) = host {
            host.insert(connection);
        }
    }

    /// Records that a request was sent on a connection, or would have been if it had not been broken.
    pub fn record_use(&mut self, connection: &Connection) {
        if let Some(idle_time) = connection.idle_before_request {
            self.counts.reused.record(idle_time);
        }
        self.counts.early_responses += u64::from(connection.socket.had_early_input());
    }

    /// Records that a connection to a host broke under a request, or was refused.
    pub fn record_break(&mut self, target: Target) {
        let host = self.hosts.get_mut(&target.server).filter(|host| host.address == target.address);
        if let Some(host) = host {
            host.identity.record_break(Instant::now());
        }
    }

    /// Whether a connection that was opened at this time may be to another process than the one that the list names. A
    /// connection from before that is still open shows that it is not.
    pub fn may_be_replaced(&self, target: Target, opened_at: Instant) -> bool {
        let host = self.hosts.get(&target.server).filter(|host| host.address == target.address);
        let Some(host) = host else { return false };
        let Some(since) = host.identity.in_doubt_since(Instant::now()) else { return false };
        let shows_old_process =
            |connection: &Connection| connection.opened_at < since && connection.is_ready();
        opened_at >= since && !host.idle.iter().any(shows_old_process)
    }

    /// Counts a response by what was in hand behind it.
    pub fn count_surplus(&mut self, surplus: Surplus) {
        match surplus {
            Surplus::None => {}
            Surplus::Response => self.counts.followed_by_response += 1,
            Surplus::Undecided | Surplus::Other => self.counts.followed_by_other += 1,
        }
    }

    /// Records what came on a connection since its last response, if anything did.
    pub fn record_surplus(&mut self, target: Target, connection: &Connection) {
        let Some(delay) = connection.surplus_delay() else { return };
        self.counts.surplus.record(delay);
        if let Some(idle_time) = connection.idle_before_request {
            self.counts.surplus_by_idle_time.record(idle_time);
        }
        let host = self.hosts.get_mut(&target.server).filter(|host| host.address == target.address);
        if let Some(host) = host {
            host.reuse.record_surplus(delay, Instant::now());
        }
    }

    /// Closes the idle connections to a host that are too old, that the host has closed, or on which anything was read.
    fn close_unusable(&mut self, server: ServerId) {
        let max_idle_time = self.max_idle_time();
        let Some(host) = self.hosts.get_mut(&server) else { return };
        let target = Target { server, address: host.address };
        let now = Instant::now();
        let is_unusable = |connection: &mut Connection| {
            let idle_time = now.saturating_duration_since(connection.idle_since());
            idle_time >= max_idle_time || !connection.is_quiet()
        };
        let unusable: Vec<Connection> = host.idle.extract_if(.., is_unusable).collect();
        unusable.iter().for_each(|connection| self.record_surplus(target, connection));
    }

    /// A host accepts requests at this address.
    pub fn host_ready(&mut self, target: Target) {
        let host = self.hosts.entry(target.server).or_insert_with(|| HostConnections::new(target.address));
        if host.address != target.address {
            *host = HostConnections::new(target.address);
        }
    }

    /// A host accepts no more requests: closes its idle connections.
    pub fn host_retired(&mut self, server: ServerId) {
        self.hosts.remove(&server);
    }

    /// Closes idle connections that are too old or that were closed by their hosts, which only occupy a file
    /// descriptor. If another engine of the process needs connections and has no idle one to close, also closes half of
    /// each host's.
    pub fn sweep(&mut self) {
        let servers: Vec<ServerId> = self.hosts.keys().copied().collect();
        servers.into_iter().for_each(|server| self.close_unusable(server));
        if self.config.quota.take_shortage() {
            self.hosts.values_mut().for_each(|host| drop(host.idle.drain(..host.idle.len().div_ceil(2))));
        }
    }

    /// The current connections and the counts since the start.
    pub fn connections(&self) -> Connections {
        let idle = self.hosts.values().map(|host| host.idle.len()).sum();
        Connections { open: Rc::strong_count(&self.slots) - 1, idle, ..self.counts }
    }
}
