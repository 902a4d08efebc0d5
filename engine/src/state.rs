//! What the engine shows of itself, as of one moment.

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
    /// Where it listens.
    pub address: SocketAddr,
    /// What the list says of it.
    pub health: Health,
    /// Attempts that are out to it.
    pub attempts: usize,
}

/// The engine at one moment.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Whether a list of hosts is in hand.
    pub ready: bool,
    /// Version of that list.
    pub version: Option<u64>,
    /// Its hosts, in the order of their names.
    pub hosts: Vec<HostState>,
    /// Calls that are open, or over with an attempt still out.
    pub calls: usize,
    /// Those of them that go on though nobody waits for them.
    pub detached: usize,
    /// Ids that no new call may have.
    pub ids: usize,
    /// Connections to hosts.
    pub connections: Connections,
    /// Calls taken so far.
    pub requests: u64,
    /// Attempts sent so far.
    pub attempts: u64,
    /// How attempts have ended so far.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// What stations show of themselves, by name.
    pub interceptors: Vec<(&'static str, Rc<dyn Any>)>,
}

impl State {
    /// What the station shows that has this type.
    pub fn interceptor_state<T: 'static>(&self) -> Option<&T> {
        self.interceptors.iter().find_map(|(_, state)| state.downcast_ref())
    }
}

/// Whoever looks at the state. It costs the engine a walk over what is open each time.
pub trait Observer {
    /// Whether it looks at all.
    fn wants_state(&self) -> bool;

    /// The state is this now.
    fn on_state(&self, state: State);
}
