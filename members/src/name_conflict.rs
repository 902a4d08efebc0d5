//! Another process under this one's name. A life of its own that is over may be spoken of as well, at another address: the
//! two are told apart by asking there.

use crate::update::Incarnation;
use crate::Micros;
use std::net::SocketAddr;

/// How often it is asked before nobody is taken to be there.
const MAX_PROBES: u32 = 3;

/// A question whether somebody else has this name.
#[derive(Clone, Debug)]
pub(crate) struct NameConflict {
    pub number: u32,
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    pub next_probe_at: Micros,
    probes_left: u32,
}

/// What a contest does next.
pub(crate) enum ConflictStep {
    /// Ask once more.
    Probe,
    /// Nobody is there: that life is over.
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
