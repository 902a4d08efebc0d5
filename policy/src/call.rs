//! What the decision module keeps of calls and attempts: types and look-ups. It decides nothing.

use crate::api::*;

/// Which budget a trial call may raise: its server's, or the one that all servers share.
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
    /// From when on it is late for the limit that all servers share.
    pub(crate) late_at: Micros,
    /// `None`: it is out.
    pub(crate) outcome: Option<Outcome>,
}

/// A call from its arrival until it has ended and no attempt is out.
#[derive(Debug, Default)]
pub(crate) struct Call {
    pub(crate) class: Class,
    pub(crate) class_id: usize,
    pub(crate) arrived: Micros,
    pub(crate) deadline: Micros,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) queued: bool,
    pub(crate) ended: bool,
    /// It has ended for want of anybody who waits, and is wanted again if somebody comes.
    pub(crate) detached: bool,
    /// When the call is looked at next; 0: not by time.
    pub(crate) wake_at: Micros,
}

impl Call {
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }

    /// The first attempt that may have run: the one that binds a guarded call.
    pub(crate) fn binding_attempt(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran))
    }

    pub(crate) fn untried(&self, server: ServerId) -> bool {
        self.attempts.iter().all(|a| a.server != server)
    }
}

/// Answer times of a class: the present mean and the least it has been, which stands for an unloaded server.
#[derive(Debug, Default)]
pub(crate) struct ClassLatency {
    pub(crate) mean: f64,
    pub(crate) unloaded: f64,
    pub(crate) samples: u32,
    pub(crate) updated_at: Micros,
    pub(crate) requests: f64,
}

/// Where a call goes.
pub(crate) enum Route {
    Send { server: usize, probe: ProbeTarget },
    Queue,
    Refuse { retry_after: Micros },
}
