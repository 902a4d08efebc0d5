//! The seam between an engine and others of the same process that serve as one with it.
//!
//! Each engine has a thread, calls, connections and a decision module of its own. What must hold over all of them (one
//! watch of the list, room at hosts, ids that are open once) is decided behind [`Group`]; the engine says what happens
//! and does what it is told. An engine by itself has no group, and the seam costs it nothing.

use crate::list::List;
use crate::protocol::Protocol;
use nettleworks_policy::{Balancer, Event, Load, Micros, News, ServerId};
use std::any::Any;
use std::collections::VecDeque;
use tokio::time::Instant;

/// A call's place at a host; dropped, it is free.
pub type HostPermit = Box<dyn Any>;

/// How far the list may be trusted that all engines of the process send by, as the one that watches it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// When a watch last proved that the list was up to date.
    pub verified_at: Instant,
    /// When nothing new may be sent by it any more; `None`: a watch is open and alive.
    pub expires_at: Option<Instant>,
}

/// What several engines of one process have in common, as one of them sees it.
///
/// All of it runs on the engine's thread. No method may block, or call the engine: it is called from within.
pub trait Group<P: Protocol> {
    /// Whether this engine watches the list, for all.
    fn is_watcher(&self) -> bool;

    /// This engine's own watch has brought this.
    fn publish_list(&mut self, list: &List);

    /// What this engine, which watches, knows of the list's lease.
    fn publish_lease(&mut self, lease: Lease);

    /// What the engine that watches has last published; `None`: nothing so far.
    fn lease(&self) -> Option<Lease>;

    /// Whether the last to publish was another engine: it watched meanwhile.
    fn is_superseded(&self) -> bool;

    /// The number of a host, the same at every engine.
    fn server_id(&mut self, name: &str) -> ServerId;

    /// A host is on the list, and its process started then; told again and again.
    fn host_listed(&mut self, server: ServerId, name: &str, born_ms: u64);

    /// Only these hosts are on the list.
    fn retain_hosts(&mut self, is_listed: &dyn Fn(ServerId) -> bool);

    /// Opens a call's id. `false`: it is open at another engine.
    fn open_id(&mut self, id: &P::Id) -> bool;

    /// Closes an id that this engine has opened.
    fn close_id(&mut self, id: &P::Id);

    /// An attempt is about to go to a host. `None`: there is no room for it, and it must not.
    fn acquire(&mut self, server: ServerId) -> Option<HostPermit>;

    /// A host has reported its load.
    fn load_reported(&mut self, server: ServerId, load: Load);

    /// The module has learned something that the others are to hear.
    fn share_observation(&mut self, server: ServerId, news: News);

    /// Comes before each event of the module, and after the last. What the module is to hear first goes to the front of
    /// `events`.
    fn synchronize(&mut self, now: Micros, balancer: &Balancer, events: &mut VecDeque<Event>);

    /// For whoever knows the type.
    fn as_any(&mut self) -> &mut dyn Any;
}
