//! The state that a replica keeps on disk, and raft's view of it.

use crate::message::Entry;
use raft::eraftpb::ConfState;
use raft::{eraftpb, Error, GetEntriesContext, RaftState, Result, Storage, StorageError};
use serde::{Deserialize, Serialize};
use std::cell::Cell;

/// Raft's hard state: what a replica must not forget when it restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The last term that it knows.
    pub term: u64,
    /// The replica that it voted for in this term; 0 if none.
    pub vote: u64,
    /// The highest index that it knows to be committed.
    pub commit: u64,
}

/// The configuration of a group: who votes, and who only receives the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Ids of the voters, in ascending order.
    pub voters: Vec<u64>,
    /// Ids of the learners, in ascending order.
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

/// A snapshot, which replaces all entries up to its index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it includes; 0 if there is none, as in a new replica.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The configuration as of that entry.
    #[serde(rename = "seats")]
    pub configuration: Configuration,
    /// The state of the state machine, encoded by `postcard`.
    pub state: Vec<u8>,
}

/// What must be written to disk before the replica goes on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskWrite {
    /// A new snapshot: the entries up to its index are deleted.
    #[serde(rename = "base")]
    pub snapshot: Option<Snapshot>,
    /// Entries that replace those on disk from the first one's index on.
    pub entries: Vec<Entry>,
    /// The new hard state.
    #[serde(rename = "hard")]
    pub hard_state: Option<HardState>,
}

impl DiskWrite {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.entries.is_empty() && self.hard_state.is_none()
    }
}

/// All that a replica keeps on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskState {
    /// The group that it belongs to.
    #[serde(rename = "council")]
    pub group_id: u64,
    /// The hard state.
    #[serde(rename = "hard")]
    pub hard_state: HardState,
    /// The snapshot before the first entry.
    #[serde(rename = "base")]
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl DiskState {
    /// The initial disk state of the first voters of a group, the same for all of them.
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

    /// The initial disk state of a replica that joins an existing group; the leader sends it a snapshot.
    pub fn join(group_id: u64) -> DiskState {
        DiskState { group_id, ..DiskState::default() }
    }

    /// Applies a write to this copy of the state on disk.
    pub fn apply(&mut self, disk_write: &DiskWrite) {
        if let Some(snapshot) = &disk_write.snapshot {
            let extends_snapshot =
                self.entries.iter().any(|entry| (entry.index, entry.term) == (snapshot.index, snapshot.term));
            // A snapshot from the leader replaces a log that does not contain the snapshot's last entry.
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

    /// The index of the last entry.
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

/// Raft's view of the log: the same as the state on disk.
#[derive(Debug)]
pub(crate) struct ReplicaStorage {
    pub disk_state: DiskState,
    /// A replica needs a snapshot whose configuration contains it, and the present one does not.
    pub snapshot_requested: Cell<bool>,
}

impl Storage for ReplicaStorage {
    fn initial_state(&self) -> Result<RaftState> {
        let HardState { term, vote, commit } = self.disk_state.hard_state;
        let hard_state = eraftpb::HardState { term, vote, commit, ..Default::default() };
        // Raft reads this when it starts, with the snapshot applied.
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
        // A replica rejects a snapshot whose configuration does not contain it.
        let Configuration { voters, learners } = &self.disk_state.snapshot.configuration;
        if self.disk_state.snapshot.index >= request_index && (voters.contains(&to) || learners.contains(&to))
        {
            return Ok(self.disk_state.snapshot.to_raft());
        }
        self.snapshot_requested.set(true);
        Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable))
    }
}
