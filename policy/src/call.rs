//! What the decision module keeps of calls and attempts: types and look-ups. It decides nothing.

use crate::api::*;

/// Which budget a trial call may raise: its server's, or the one that all servers share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trial {
    No,
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
    pub(crate) sent: Micros,
    pub(crate) trial: Trial,
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
    pub(crate) held: bool,
    pub(crate) ended: bool,
    /// It has ended for want of anybody who waits, and is wanted again if somebody comes.
    pub(crate) lingers: bool,
    /// When the call is looked at next; 0: not by time.
    pub(crate) wake: Micros,
}

impl Call {
    pub(crate) fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }

    /// The first attempt that may have run: the one that binds a guarded call.
    pub(crate) fn binding(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran))
    }

    pub(crate) fn untried(&self, server: ServerId) -> bool {
        self.attempts.iter().all(|a| a.server != server)
    }
}

/// Answer times of a class: the present mean and the least it has been, which stands for an unloaded server.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    pub(crate) mean: f64,
    pub(crate) base: f64,
    pub(crate) seen: u32,
    pub(crate) at: Micros,
    pub(crate) asked: f64,
}

/// Where a call goes.
pub(crate) enum Route {
    Send { server: usize, trial: Trial },
    Hold,
    Refuse { retry_after: Micros },
}
