//! Lends room at one host from shards that have spare to shards that need it.
//!
//! Room is counted in calls in flight. It is always somewhere: with a shard, in the bank, or in a message between the
//! two, and in one place only, so that no order of messages can make two calls of one place.

use std::collections::VecDeque;

/// A shard of the process, from 0.
pub type Shard = usize;

/// What a shard tells the bank of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ToBank {
    /// Room for so many calls goes to the bank: the shard has already given it up.
    Deposit(u32),
    /// It could use room for so many more, 0 for none; the last word counts.
    Need(u32),
}

/// What the bank tells a shard of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ToShard {
    /// Room for so many calls is the shard's from now on.
    Lend(u32),
    /// It is to deposit so much of what it has been lent, as soon as no call of its own stands on it.
    Recall(u32),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Account {
    /// Lent to it less what it has deposited: above 0 it has others' room.
    balance: i64,
    need: u32,
    /// Asked back, and not yet there.
    recalled: u32,
    gone: bool,
}

/// The bank of one host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bank {
    accounts: Vec<Account>,
    /// Room that nobody has.
    free: u32,
    /// Who needs more, in the order in which they came to.
    waiting: VecDeque<Shard>,
}

impl Bank {
    /// For so many shards, without any room yet.
    pub fn new(shards: usize) -> Bank {
        Bank { accounts: vec![Account::default(); shards], free: 0, waiting: VecDeque::new() }
    }

    /// Room that nobody has.
    pub fn free(&self) -> u32 {
        self.free
    }

    /// What a shard has been lent less what it has deposited.
    pub fn balance(&self, shard: Shard) -> i64 {
        self.accounts.get(shard).map_or(0, |account| account.balance)
    }

    /// Takes a message in; what comes back is to be sent, in its order. A message of a shard that is not there, or that
    /// has gone, says nothing.
    pub fn take(&mut self, from: Shard, message: ToBank) -> Vec<(Shard, ToShard)> {
        let Some(account) = self.accounts.get_mut(from).filter(|account| !account.gone) else {
            return Vec::new();
        };
        match message {
            ToBank::Deposit(room) => {
                account.balance -= i64::from(room);
                account.recalled = account.recalled.saturating_sub(room);
                self.free = self.free.saturating_add(room);
            }
            ToBank::Need(room) => {
                account.need = room;
                self.waiting.retain(|&shard| shard != from || room > 0);
                if room > 0 && !self.waiting.contains(&from) {
                    self.waiting.push_back(from);
                }
            }
        }
        self.serve()
    }

    /// A shard has ended, with all its calls. What it was lent is free again. What it had deposited was room of its own
    /// budget, which has ended with it: that is taken from what is free, and else asked back.
    pub fn gone(&mut self, shard: Shard) -> Vec<(Shard, ToShard)> {
        let Some(account) = self.accounts.get_mut(shard).filter(|account| !account.gone) else {
            return Vec::new();
        };
        let balance = account.balance;
        *account = Account { gone: true, ..Account::default() };
        self.waiting.retain(|&other| other != shard);
        if balance > 0 {
            self.free = self.free.saturating_add(u32::try_from(balance).unwrap_or(u32::MAX));
        }
        let owed = u32::try_from(-balance).unwrap_or(0);
        let from_free = owed.min(self.free);
        self.free -= from_free;
        // What is short is held against the dead account: deposits fill it before anybody is lent more.
        self.accounts[shard].balance = -i64::from(owed - from_free);
        self.serve()
    }

    /// Room of shards that have ended which is still with others.
    pub fn short(&self) -> u32 {
        let dead = self.accounts.iter().filter(|account| account.gone);
        dead.map(|account| u32::try_from(-account.balance).unwrap_or(0)).sum()
    }

    fn serve(&mut self) -> Vec<(Shard, ToShard)> {
        let mut out = Vec::new();
        // Room of those that have ended goes first.
        for account in self.accounts.iter_mut().filter(|account| account.gone) {
            let back = u32::try_from(-account.balance).unwrap_or(0).min(self.free);
            account.balance += i64::from(back);
            self.free -= back;
        }
        // Those that have lent come before those that borrow, and of either kind the one that has waited longest.
        let mut wanted = 0_u32;
        let lenders_first = |bank: &Bank| {
            let lender = |shard: &&Shard| bank.accounts[**shard].balance < 0;
            bank.waiting.iter().find(lender).or(bank.waiting.front()).copied()
        };
        let mut left: VecDeque<Shard> = VecDeque::new();
        while let Some(shard) = lenders_first(self) {
            self.waiting.retain(|&other| other != shard);
            let account = &mut self.accounts[shard];
            let room = account.need.min(self.free);
            if room > 0 {
                account.need -= room;
                account.balance += i64::from(room);
                self.free -= room;
                out.push((shard, ToShard::Lend(room)));
            }
            if account.need > 0 {
                // A lender has a right to what it lent; others wait for what becomes spare.
                let lent = u32::try_from(-account.balance).unwrap_or(0);
                wanted = wanted.saturating_add(account.need.min(lent));
                left.push_back(shard);
            }
        }
        self.waiting = left;
        wanted = wanted.saturating_add(self.short());
        self.recall(wanted, &mut out);
        out
    }

    /// Asks borrowers for room, those with the most first, unless as much is on its way already.
    fn recall(&mut self, wanted: u32, out: &mut Vec<(Shard, ToShard)>) {
        let coming: u32 = self.accounts.iter().map(|account| account.recalled).sum();
        let mut wanted = wanted.saturating_sub(coming);
        let spare =
            |account: &Account| u32::try_from(account.balance).unwrap_or(0).saturating_sub(account.recalled);
        let mut borrowers: Vec<Shard> = (0..self.accounts.len()).collect();
        borrowers.sort_by_key(|&shard| std::cmp::Reverse(spare(&self.accounts[shard])));
        for shard in borrowers {
            let account = &mut self.accounts[shard];
            let room = spare(account).min(wanted);
            if room > 0 && !account.gone {
                account.recalled += room;
                wanted -= room;
                out.push((shard, ToShard::Recall(room)));
            }
        }
    }
}
