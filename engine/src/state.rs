//! Snapshots of the engine's state.

use crate::list::Health;
use crate::protocol::Connections;
use nettleworks_policy::Outcome;
use std::any::Any;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// A host of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostState {
    /// Its name in the list.
    pub name: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its health according to the list.
    pub health: Health,
    /// The number of attempts in flight to it.
    pub attempts: usize,
}

/// A snapshot of the engine's state.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Whether there is a server list.
    pub ready: bool,
    /// Version of that list.
    pub version: Option<u64>,
    /// Its hosts, sorted by name.
    pub hosts: Vec<HostState>,
    /// Calls that are open, or answered with an attempt still in flight.
    pub calls: usize,
    /// Detached calls among them: those that continue although no client waits for them.
    pub detached: usize,
    /// Open ids that this engine has opened; new calls must not use them.
    pub ids: usize,
    /// Connections to hosts.
    pub connections: Connections,
    /// Number of requests accepted since the start.
    pub requests: u64,
    /// Number of attempts sent since the start.
    pub attempts: u64,
    /// Number of attempts by outcome since the start.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// State snapshots of the interceptors, by name.
    pub interceptors: Vec<(&'static str, Rc<dyn Any>)>,
}

impl State {
    /// The state of the interceptor whose state has this type.
    pub fn interceptor_state<T: 'static>(&self) -> Option<&T> {
        self.interceptors.iter().find_map(|(_, state)| state.downcast_ref())
    }
}

/// Receives state snapshots. Each snapshot costs the engine a pass over its open calls.
pub trait Observer {
    /// Whether snapshots are wanted at the moment.
    fn wants_state(&self) -> bool;

    /// Receives a snapshot.
    fn on_state(&self, state: State);
}
