//! What a voter must find again after its end: what its disk holds.

use crate::message::Entry;
use raft::eraftpb::ConfState;
use raft::{eraftpb, Error, GetEntriesContext, RaftState, Result, Storage, StorageError};
use serde::{Deserialize, Serialize};
use std::cell::Cell;

/// A voter's word, which it may not go back on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The last term that it knows.
    pub term: u64,
    /// Whom it voted for in it; 0: nobody.
    pub vote: u64,
    /// How far the log is decided, as it knows.
    pub commit: u64,
}

/// Who votes, and who only hears.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Voters, in rising order.
    pub voters: Vec<u64>,
    /// Learners, in rising order.
    pub learners: Vec<u64>,
}

impl Configuration {
    pub(crate) fn from_raft(state: &ConfState) -> Configuration {
        let (mut voters, mut learners) = (state.voters.to_vec(), state.learners.to_vec());
        voters.sort_unstable();
        learners.sort_unstable();
        Configuration { voters, learners }
    }

    pub(crate) fn to_raft(&self) -> ConfState {
        ConfState::from((self.voters.clone(), self.learners.clone()))
    }
}

/// Where the kept log begins: what all before comes to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that is in it; 0: none, this voter is new.
    pub index: u64,
    /// That one's term.
    pub term: u64,
    /// Who voted then.
    #[serde(rename = "seats")]
    pub configuration: Configuration,
    /// The machine's state, by `postcard`.
    pub state: Vec<u8>,
}

/// What is to be on the disk before anything else is said.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskWrite {
    /// The log begins here now: what it has of before goes.
    #[serde(rename = "base")]
    pub snapshot: Option<Snapshot>,
    /// Entries that take the place of all from the first one's index on.
    pub entries: Vec<Entry>,
    /// The voter's word.
    #[serde(rename = "hard")]
    pub hard_state: Option<HardState>,
}

impl DiskWrite {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.entries.is_empty() && self.hard_state.is_none()
    }
}

/// All of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskState {
    /// Which council it is of.
    #[serde(rename = "council")]
    pub group_id: u64,
    /// The voter's word.
    #[serde(rename = "hard")]
    pub hard_state: HardState,
    /// Where the log begins.
    #[serde(rename = "base")]
    pub snapshot: Snapshot,
    /// What follows.
    pub entries: Vec<Entry>,
}

impl DiskState {
    /// Of the first voters of a council: all begin with the same.
    pub fn bootstrap(group_id: u64, voters: &[u64], state: Vec<u8>) -> DiskState {
        let mut voters = voters.to_vec();
        voters.sort_unstable();
        let configuration = Configuration { voters, learners: Vec::new() };
        let snapshot = Snapshot { index: 1, term: 1, configuration, state };
        DiskState {
            group_id,
            hard_state: HardState { term: 1, vote: 0, commit: 1 },
            snapshot,
            entries: Vec::new(),
        }
    }

    /// Of one that comes to a council that is there: whoever leads sends it what it needs.
    pub fn join(group_id: u64) -> DiskState {
        DiskState { group_id, ..DiskState::default() }
    }

    /// Takes in what was written.
    pub fn apply(&mut self, disk_write: &DiskWrite) {
        if let Some(snapshot) = &disk_write.snapshot {
            let extends_snapshot =
                self.entries.iter().any(|entry| (entry.index, entry.term) == (snapshot.index, snapshot.term));
            // A base that was sent takes the place of a log that is not on its way.
            self.entries.retain(|entry| extends_snapshot && entry.index > snapshot.index);
            self.snapshot = snapshot.clone();
            self.hard_state.commit = self.hard_state.commit.max(snapshot.index);
            self.hard_state.term = self.hard_state.term.max(snapshot.term);
        }
        if let Some(first) = disk_write.entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
            self.entries.extend_from_slice(&disk_write.entries);
        }
        if let Some(hard_state) = disk_write.hard_state {
            self.hard_state = hard_state;
        }
    }

    /// The last entry's index.
    pub fn last_index(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.index, |entry| entry.index)
    }

    pub(crate) fn entry(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    pub(crate) fn hard_state_from_raft(state: &eraftpb::HardState) -> HardState {
        HardState { term: state.term, vote: state.vote, commit: state.commit }
    }
}

/// What raft reads: the same as is on the disk.
#[derive(Debug)]
pub(crate) struct ReplicaStorage {
    pub disk_state: DiskState,
    /// Somebody wants a base that names it; this one does not.
    pub snapshot_requested: Cell<bool>,
}

impl Storage for ReplicaStorage {
    fn initial_state(&self) -> Result<RaftState> {
        let HardState { term, vote, commit } = self.disk_state.hard_state;
        let hard_state = eraftpb::HardState { term, vote, commit, ..Default::default() };
        // Raft reads it when it begins, with all that is in the base applied.
        Ok(RaftState { hard_state, conf_state: self.disk_state.snapshot.configuration.to_raft() })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> Result<Vec<eraftpb::Entry>> {
        if low <= self.disk_state.snapshot.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.disk_state.last_index() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let entries = (low..high).filter_map(|index| self.disk_state.entry(index)).map(Entry::to_raft);
        let mut entries: Vec<eraftpb::Entry> = entries.collect();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        match index {
            index if index == self.disk_state.snapshot.index => Ok(self.disk_state.snapshot.term),
            index if index < self.disk_state.snapshot.index => Err(Error::Store(StorageError::Compacted)),
            index => self
                .disk_state
                .entry(index)
                .map(|entry| entry.term)
                .ok_or(Error::Store(StorageError::Unavailable)),
        }
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.disk_state.snapshot.index + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.disk_state.last_index())
    }

    fn snapshot(&self, request_index: u64, to: u64) -> Result<eraftpb::Snapshot> {
        // Raft refuses one by whose set of voters and learners it is neither.
        let Configuration { voters, learners } = &self.disk_state.snapshot.configuration;
        if self.disk_state.snapshot.index >= request_index && (voters.contains(&to) || learners.contains(&to))
        {
            return Ok(self.disk_state.snapshot.to_raft());
        }
        self.snapshot_requested.set(true);
        Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable))
    }
}
