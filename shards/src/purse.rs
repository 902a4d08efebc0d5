//! A shard's side of the bank: what it may have in flight at one host, and what it lends, borrows and owes.

use crate::bank::{ToBank, ToShard};

/// Room that is kept at the least: one call, as a trial, so that each shard goes on learning of each host.
const KEPT: u32 = 1;

/// A shard's room at one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Purse {
    /// What its own module allows.
    budget: u32,
    in_flight: u32,
    /// Borrowed less lent.
    loan: i64,
    /// Asked back, and not yet deposited for want of room without a call on it.
    owed: u32,
    /// The last word on what it needs.
    need: u32,
}

impl Purse {
    /// What it may have in flight now.
    pub fn allowance(&self) -> u32 {
        u32::try_from(i64::from(self.budget) + self.loan - i64::from(self.owed)).unwrap_or(0)
    }

    /// Whether one more call may go.
    pub fn has_room(&self) -> bool {
        self.in_flight < self.allowance()
    }

    /// Calls in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Borrowed less lent.
    pub fn loan(&self) -> i64 {
        self.loan
    }

    /// A call goes. `false`: there is no room for it, and it must not.
    #[must_use]
    pub fn begin(&mut self) -> bool {
        let room = self.has_room();
        self.in_flight += u32::from(room);
        room
    }

    /// A call has ended; what was owed for it goes back.
    pub fn end(&mut self) -> Option<ToBank> {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.pay()
    }

    /// The module allows so many now. A budget that falls below what was lent leaves it without room, until what was
    /// lent comes back: calls that are out go on.
    pub fn set_budget(&mut self, budget: u32) {
        self.budget = budget;
    }

    /// Takes a message of the bank in.
    pub fn take(&mut self, message: ToShard) -> Option<ToBank> {
        match message {
            ToShard::Lend(room) => {
                self.loan += i64::from(room);
                self.need = self.need.saturating_sub(room);
                None
            }
            ToShard::Recall(room) => {
                self.owed = self.owed.saturating_add(room);
                self.pay()
            }
        }
    }

    /// Deposits what is owed and has no call on it.
    fn pay(&mut self) -> Option<ToBank> {
        let all = u32::try_from(i64::from(self.budget) + self.loan).unwrap_or(0);
        let room = self.owed.min(all.saturating_sub(self.in_flight));
        if room == 0 {
            return None;
        }
        self.owed -= room;
        self.loan -= i64::from(room);
        Some(ToBank::Deposit(room))
    }

    /// Now and then, and when calls are held for want of room: `held` of them, of which this host could take some. What
    /// is to be told, if anything: spare room beyond one call goes to the bank, and a need is said once.
    pub fn look(&mut self, held: u32) -> Option<ToBank> {
        let spare = self.allowance().saturating_sub(self.in_flight);
        if held > spare {
            let need = held - spare;
            if need == self.need {
                return None;
            }
            self.need = need;
            return Some(ToBank::Need(need));
        }
        if self.need > 0 {
            self.need = 0;
            return Some(ToBank::Need(0));
        }
        // Half of what is spare stays: calls come in bursts, and a loan takes a message each way.
        let beyond = spare.saturating_sub(held).saturating_sub(KEPT) / 2;
        if beyond == 0 {
            return None;
        }
        self.loan -= i64::from(beyond);
        Some(ToBank::Deposit(beyond))
    }
}
