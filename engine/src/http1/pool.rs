//! The open connections to all hosts, and which of them the next request uses.

use super::connection::Connection;
use crate::config::Config;
use crate::protocol::{Connections, Target};
use crate::quota::{ConnectionPermit, Side};
use nettleworks_policy::ServerId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Share of the hosts' idle timeout after which an idle connection is no longer used.
const IDLE_TIMEOUT_SHARE: f64 = 0.9;

/// Idle time after which a connection is preferred for the next request. A faulty host may send a second response some
/// milliseconds after the first, which would be parsed as the response to the next request on the connection; by this
/// time it has arrived and is detected.
const SETTLE_TIME: Duration = Duration::from_millis(10);

/// How many of the connections, in the order of their last use, have been idle for [`SETTLE_TIME`].
fn settled_count<T>(idle: &[T], idle_since: impl Fn(&T) -> Instant, now: Instant) -> usize {
    idle.partition_point(|connection| now.saturating_duration_since(idle_since(connection)) >= SETTLE_TIME)
}

/// The idle connections to a host that takes requests, the most recently used last.
struct HostConnections {
    address: SocketAddr,
    idle: Vec<Connection>,
}

impl HostConnections {
    fn new(address: SocketAddr) -> HostConnections {
        HostConnections { address, idle: Vec::new() }
    }
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

/// Counts one open connection for its engine and for the process.
#[derive(Debug)]
pub struct Slot {
    _engine_count: Rc<()>,
    _permit: ConnectionPermit,
}

#[cfg(test)]
impl Slot {
    pub fn for_test() -> Slot {
        let permit = crate::quota::Quota::default().acquire(Side::Hosts, 1);
        Slot { _engine_count: Rc::default(), _permit: permit.expect("none is open") }
    }
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
        Some(Slot { _engine_count: self.slots.clone(), _permit: permit? })
    }

    /// Idle time from which on a connection is not used any more, since its host may close it at any moment.
    fn max_idle_time(&self) -> Duration {
        self.config.conn_idle.mul_f64(IDLE_TIMEOUT_SHARE)
    }

    /// Takes the idle connection that the next request to the target uses, if there is one.
    pub fn take_idle(&mut self, target: Target) -> Option<Connection> {
        let max_idle_time = self.max_idle_time();
        let host = self.hosts.get_mut(&target.server).filter(|host| host.address == target.address)?;
        let settled = settled_count(&host.idle, Connection::idle_since, Instant::now());
        let mut unsettled = host.idle.split_off(settled);
        let mut unusable = Vec::new();
        // Checking a connection makes a system call, so only the one to be used is checked.
        let mut first_usable = |idle: &mut Vec<Connection>| loop {
            let connection = idle.pop()?;
            if connection.idle_time() < max_idle_time && connection.is_ready() {
                return Some(connection);
            }
            unusable.push(connection);
        };
        let found = first_usable(&mut host.idle).or_else(|| first_usable(&mut unsettled));
        host.idle.append(&mut unsettled);
        unusable.into_iter().for_each(|connection| self.close(connection));
        let mut found = found?;
        found.idle_before_request = Some(found.idle_time());
        self.counts.reused.record(found.idle_time());
        Some(found)
    }

    /// Takes back a connection whose exchange is complete, or closes it if it is unusable or its host takes no more
    /// requests at that address.
    pub fn put_back(&mut self, target: Target, connection: Connection) {
        if !connection.is_ready() {
            return self.close(connection);
        }
        let host = self.hosts.get_mut(&target.server).filter(|host| host.address == target.address);
        if let Some(host) = host {
            host.idle.push(connection);
        }
    }

    /// Closes an idle connection that is not used any more, and counts what came on it since its last response.
    fn close(&mut self, connection: Connection) {
        if let Some(delay) = connection.surplus_delay() {
            self.counts.surplus.record(delay);
            connection
                .idle_before_request
                .into_iter()
                .for_each(|idle_time| self.counts.surplus_by_idle_time.record(idle_time));
        }
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
        let max_idle_time = self.max_idle_time();
        let is_kept =
            |connection: &Connection| connection.idle_time() < max_idle_time && connection.is_ready();
        let mut unusable = Vec::new();
        for host in self.hosts.values_mut() {
            unusable.extend(host.idle.extract_if(.., |connection| !is_kept(connection)));
        }
        unusable.into_iter().for_each(|connection| self.close(connection));
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_connection_that_has_just_answered_is_reused_last() {
        let start = Instant::now();
        let idle: Vec<_> = [0, 5, 6, 14].map(|ms| start + Duration::from_millis(ms)).into();
        let at = |ms| settled_count(&idle, |since| *since, start + Duration::from_millis(ms));
        assert_eq!([at(0), at(9), at(10), at(15), at(16), at(23), at(24)], [0, 0, 1, 2, 3, 3, 4]);
    }
}
