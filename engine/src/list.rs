//! The format of the server list, as discovery sends it and the configuration file may contain it.

use serde::Deserialize;
use std::net::SocketAddr;

/// A full list of hosts, or the entries that have changed.
#[derive(Clone, Debug, Deserialize)]
pub struct List {
    /// The version of the list.
    pub seq: u64,
    /// Whether this is the full list, rather than only the changed entries.
    pub whole: bool,
    /// The entries of the list.
    pub hosts: Vec<Host>,
}

/// One host of the list.
#[derive(Clone, Debug, Deserialize)]
pub struct Host {
    /// The name of the host, the same for every proxy.
    pub host: String,
    /// The address at which the host listens.
    pub dial: SocketAddr,
    /// The zone of the host.
    #[serde(default)]
    pub site: String,
    /// The set of hosts that deduplicate requests among each other.
    #[serde(default)]
    pub block: u32,
    /// Whether the host takes requests.
    pub health: Health,
    /// The relative capacity of the host.
    #[serde(default)]
    pub share: f64,
    /// When the host last started, in milliseconds of Unix time; 0 means long ago.
    #[serde(default)]
    pub born_ms: u64,
}

/// The state of a host in the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum Health {
    /// The host takes requests.
    Ready,
    /// The host drains: it finishes the requests it has and takes no new ones.
    Terminating,
    /// The host has been removed from the fleet.
    Gone,
}
