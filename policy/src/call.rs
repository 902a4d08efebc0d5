//! Types and queries for calls and attempts, without decisions.

use crate::api::*;

/// The limit that a call may raise as a probe request: that of its server or the one shared by all servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeTarget {
    None,
    Server,
    Shared,
}

/// An attempt, as it was sent and as it ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) started: Micros,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) class_id: usize,
    pub(crate) sent_at: Micros,
    pub(crate) probe: ProbeTarget,
    /// When it counts as late for the shared limit.
    pub(crate) late_at: Micros,
    /// `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
}

/// A call, kept from its arrival until it has ended and none of its attempts is in flight.
#[derive(Debug, Default)]
pub(crate) struct Call {
    pub(crate) class: Class,
    pub(crate) class_id: usize,
    pub(crate) arrived: Micros,
    pub(crate) deadline: Micros,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) queued: bool,
    pub(crate) ended: bool,
    /// The call has ended because no client waits, and becomes active again if another client asks for it.
    pub(crate) detached: bool,
    /// When the call is reconsidered by time; 0 if never.
    pub(crate) wake_at: Micros,
}

impl Call {
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }

    /// The first attempt that may have run, which determines where a guarded call may be retried.
    pub(crate) fn binding_attempt(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran))
    }

    pub(crate) fn untried(&self, server: ServerId) -> bool {
        self.attempts.iter().all(|a| a.server != server)
    }
}

/// Response times of a class (us): the current mean and the lowest one, which represents an unloaded server.
#[derive(Debug, Default)]
pub(crate) struct ClassLatency {
    pub(crate) mean: f64,
    pub(crate) unloaded: f64,
    pub(crate) samples: u32,
    pub(crate) updated_at: Micros,
    pub(crate) requests: f64,
}

/// The decision on where a call goes.
pub(crate) enum Route {
    Send { server: usize, probe: ProbeTarget },
    Queue,
    Refuse { retry_after: Micros },
}
