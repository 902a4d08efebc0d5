//! The list of hosts: its form.

use serde::Deserialize;
use std::net::SocketAddr;

/// The whole list of hosts, or the entries that changed.
#[derive(Clone, Debug, Deserialize)]
pub struct List {
    /// Version of the list.
    pub seq: u64,
    /// Whether this is all of it.
    pub whole: bool,
    /// The entries.
    pub hosts: Vec<Host>,
}

/// An entry of the list.
#[derive(Clone, Debug, Deserialize)]
pub struct Host {
    /// Its name, the same for every proxy.
    pub host: String,
    /// Where it listens.
    pub dial: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// The set of hosts that drop each other's repeats.
    #[serde(default)]
    pub block: u32,
    /// What it does.
    pub health: Health,
    /// Its size beside the others'.
    #[serde(default)]
    pub share: f64,
    /// When it last started, Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    pub born_ms: u64,
}

/// What the list says of a host.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum Health {
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    Terminating,
    /// It has been removed.
    Gone,
}
