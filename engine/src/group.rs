//! The interface between an engine and the other engines of its process.
//!
//! Each engine has its own thread, calls, connections and decision module. What must hold for all of them (a single
//! watch of the list, shared concurrency limits of hosts, ids that are open only once) is decided behind [`Group`]. A
//! single engine has no group, and this costs it nothing.

use crate::list::List;
use crate::protocol::Protocol;
use nettleworks_policy::{Balancer, Event, Load, Micros, Observation, ServerId};
use std::any::Any;
use std::collections::VecDeque;
use tokio::time::Instant;

/// Permission to send one attempt to a host; released when dropped.
pub type HostPermit = Box<dyn Any>;

/// The lease of the server list that all engines of the process use, as known to the engine that watches the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// When a watch last proved that the list was up to date.
    pub verified_at: Instant,
    /// When nothing new may be sent by the list any more; `None` while a watch is open and alive.
    pub expires_at: Option<Instant>,
}

/// What an engine shares with the other engines of its process.
///
/// All methods run on the engine's thread. None may block or call the engine, which is borrowed during the call.
pub trait Group<P: Protocol> {
    /// Whether this engine watches the list for all engines.
    fn is_watcher(&self) -> bool;

    /// Publishes a list that this engine's watch has received.
    fn publish_list(&mut self, list: &List);

    /// Publishes the lease of the list; only called while this engine is the watcher.
    fn publish_lease(&mut self, lease: Lease);

    /// The lease that the watcher has last published, if any.
    fn lease(&self) -> Option<Lease>;

    /// Whether another engine was the last to publish a lease, which means that it was the watcher meanwhile.
    fn is_superseded(&self) -> bool;

    /// The id of a host, which is the same in all engines.
    fn server_id(&mut self, name: &str) -> ServerId;

    /// Reports a host of the list and when its process started, in Unix milliseconds. Called again with each list.
    fn host_listed(&mut self, server: ServerId, name: &str, born_ms: u64);

    /// Drops all hosts that are not on the list.
    fn retain_hosts(&mut self, is_listed: &dyn Fn(ServerId) -> bool);

    /// Opens the id of a call. `false` if it is open in another engine.
    fn open_id(&mut self, id: &P::Id) -> bool;

    /// Closes an id that this engine has opened.
    fn close_id(&mut self, id: &P::Id);

    /// Acquires the permit for an attempt to a host. `None` if the host's concurrency limit leaves no room; the
    /// attempt must not be sent then.
    fn acquire(&mut self, server: ServerId) -> Option<HostPermit>;

    /// Records a load report of a host.
    fn load_reported(&mut self, server: ServerId, load: Load);

    /// Shares an observation of the decision module with the other engines.
    fn share_observation(&mut self, server: ServerId, observation: Observation);

    /// Called before each event of the decision module and after the last one. Events that must be handled first are
    /// put at the front of `events`.
    fn synchronize(&mut self, now: Micros, balancer: &Balancer, events: &mut VecDeque<Event>);

    /// For downcasts by callers that know the concrete type.
    fn as_any(&mut self) -> &mut dyn Any;
}
