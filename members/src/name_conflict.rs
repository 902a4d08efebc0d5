//! Name conflicts: an update reports this process's name at another address. Either another process uses the
//! name, or the update is of a previous process of this name that has ended. Probing that address decides
//! which.

use crate::update::Incarnation;
use crate::Micros;
use std::net::SocketAddr;

/// Number of probes without an answer after which the other address counts as unused.
const MAX_PROBES: u32 = 3;

/// An unresolved name conflict.
#[derive(Clone, Debug)]
pub(crate) struct NameConflict {
    pub number: u32,
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    pub next_probe_at: Micros,
    probes_left: u32,
}

/// Next step in resolving a name conflict.
pub(crate) enum ConflictStep {
    /// Send another probe.
    Probe,
    /// No process answers at the other address: the incarnation there has ended.
    Resolved,
}

impl NameConflict {
    pub fn new(
        number: u32,
        address: SocketAddr,
        incarnation: Incarnation,
        next_probe_at: Micros,
    ) -> NameConflict {
        NameConflict { number, address, incarnation, next_probe_at, probes_left: MAX_PROBES - 1 }
    }

    pub fn next(&mut self, at: Micros) -> ConflictStep {
        if self.probes_left == 0 {
            return ConflictStep::Resolved;
        }
        self.probes_left -= 1;
        self.next_probe_at = at;
        ConflictStep::Probe
    }
}
