//! What a voter must find again after its end: what its disk holds.

use crate::letter::Entry;
use raft::eraftpb::{ConfState, HardState};
use raft::{eraftpb, Error, GetEntriesContext, RaftState, Result, Storage, StorageError};
use serde::{Deserialize, Serialize};
use std::cell::Cell;

/// A voter's word, which it may not go back on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hard {
    /// The last term that it knows.
    pub term: u64,
    /// Whom it voted for in it; 0: nobody.
    pub vote: u64,
    /// How far the log is decided, as it knows.
    pub commit: u64,
}

/// Who votes, and who only hears.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seats {
    /// Voters, in rising order.
    pub voters: Vec<u64>,
    /// Learners, in rising order.
    pub learners: Vec<u64>,
}

impl Seats {
    pub(crate) fn of(state: &ConfState) -> Seats {
        let (mut voters, mut learners) = (state.voters.to_vec(), state.learners.to_vec());
        voters.sort_unstable();
        learners.sort_unstable();
        Seats { voters, learners }
    }

    pub(crate) fn raft(&self) -> ConfState {
        ConfState::from((self.voters.clone(), self.learners.clone()))
    }
}

/// Where the kept log begins: what all before comes to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// The last entry that is in it; 0: none, this voter is new.
    pub index: u64,
    /// That one's term.
    pub term: u64,
    /// Who voted then.
    pub seats: Seats,
    /// The machine's state, by `postcard`.
    pub state: Vec<u8>,
}

/// What is to be on the disk before anything else is said.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Persist {
    /// The log begins here now: what it has of before goes.
    pub base: Option<Base>,
    /// Entries that take the place of all from the first one's index on.
    pub entries: Vec<Entry>,
    /// The voter's word.
    pub hard: Option<Hard>,
}

impl Persist {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.base.is_none() && self.entries.is_empty() && self.hard.is_none()
    }
}

/// All of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Saved {
    /// Which council it is of.
    pub council: u64,
    /// The voter's word.
    pub hard: Hard,
    /// Where the log begins.
    pub base: Base,
    /// What follows.
    pub entries: Vec<Entry>,
}

impl Saved {
    /// Of the first voters of a council: all begin with the same.
    pub fn founding(council: u64, voters: &[u64], state: Vec<u8>) -> Saved {
        let mut voters = voters.to_vec();
        voters.sort_unstable();
        let seats = Seats { voters, learners: Vec::new() };
        let base = Base { index: 1, term: 1, seats, state };
        Saved { council, hard: Hard { term: 1, vote: 0, commit: 1 }, base, entries: Vec::new() }
    }

    /// Of one that comes to a council that is there: whoever leads sends it what it needs.
    pub fn joining(council: u64) -> Saved {
        Saved { council, ..Saved::default() }
    }

    /// Takes in what was written.
    pub fn take(&mut self, persist: &Persist) {
        if let Some(base) = &persist.base {
            let kept = self.entries.iter().any(|entry| (entry.index, entry.term) == (base.index, base.term));
            // A base that was sent takes the place of a log that is not on its way.
            self.entries.retain(|entry| kept && entry.index > base.index);
            self.base = base.clone();
            self.hard.commit = self.hard.commit.max(base.index);
            self.hard.term = self.hard.term.max(base.term);
        }
        if let Some(first) = persist.entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
            self.entries.extend_from_slice(&persist.entries);
        }
        if let Some(hard) = persist.hard {
            self.hard = hard;
        }
    }

    /// The last entry's index.
    pub fn last(&self) -> u64 {
        self.entries.last().map_or(self.base.index, |entry| entry.index)
    }

    pub(crate) fn entry(&self, index: u64) -> Option<&Entry> {
        let place = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(place).ok()?)
    }

    pub(crate) fn hard_of(state: &HardState) -> Hard {
        Hard { term: state.term, vote: state.vote, commit: state.commit }
    }
}

/// What raft reads: the same as is on the disk.
#[derive(Debug)]
pub(crate) struct Store {
    pub saved: Saved,
    /// Somebody wants a base that names it; this one does not.
    pub wanted: Cell<bool>,
}

impl Storage for Store {
    fn initial_state(&self) -> Result<RaftState> {
        let Hard { term, vote, commit } = self.saved.hard;
        let hard_state = HardState { term, vote, commit, ..Default::default() };
        // Raft reads it when it begins, with all that is in the base applied.
        Ok(RaftState { hard_state, conf_state: self.saved.base.seats.raft() })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> Result<Vec<eraftpb::Entry>> {
        if low <= self.saved.base.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.saved.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let entries = (low..high).filter_map(|index| self.saved.entry(index)).map(Entry::raft);
        let mut entries: Vec<eraftpb::Entry> = entries.collect();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        match index {
            index if index == self.saved.base.index => Ok(self.saved.base.term),
            index if index < self.saved.base.index => Err(Error::Store(StorageError::Compacted)),
            index => {
                self.saved.entry(index).map(|entry| entry.term).ok_or(Error::Store(StorageError::Unavailable))
            }
        }
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.saved.base.index + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.saved.last())
    }

    fn snapshot(&self, request_index: u64, to: u64) -> Result<eraftpb::Snapshot> {
        // Raft refuses one by whose set of voters and learners it is neither.
        let Seats { voters, learners } = &self.saved.base.seats;
        if self.saved.base.index >= request_index && (voters.contains(&to) || learners.contains(&to)) {
            return Ok(self.saved.base.raft());
        }
        self.wanted.set(true);
        Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable))
    }
}
