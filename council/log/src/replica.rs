//! A voter or learner: a raft node, and the state machine that applies its log.

use crate::message::{ConfigurationChange, Entry, EntryPayload, Message, MessageKind};
use crate::storage::{Configuration, DiskState, DiskWrite, ReplicaStorage, Snapshot};
use nettleworks_council::{Bounds, Change, Command, State};
use raft::eraftpb;
use raft::{RawNode, Ready, StateRole};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt;
use std::hash::Hasher;
use twox_hash::XxHash64;

/// Ticks without a heartbeat of the leader before an election: from this many to twice as many.
const ELECTION_TICKS: usize = 10;
/// Ticks between two heartbeats of the leader.
const HEARTBEAT_TICKS: usize = 2;
/// Maximum size of the entries in a message, in bytes.
const MAX_MESSAGE_BYTES: u64 = 256 << 10;
/// Maximum number of append messages to one replica that are not yet answered.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// Maximum size of the commands that are proposed and not yet committed, in bytes; a proposal beyond it is
/// dropped.
const MAX_UNCOMMITTED_BYTES: u64 = 1 << 20;

/// When a replica compacts its log.
#[derive(Clone, Copy, Debug)]
pub struct CompactionPolicy {
    /// Entries that must have been applied since the last snapshot before a new one replaces them.
    pub min_entries: u64,
}

impl Default for CompactionPolicy {
    fn default() -> Self {
        CompactionPolicy { min_entries: 1_024 }
    }
}

/// A proposal was dropped: there is no leader, or too many bytes are uncommitted. It may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposalDropped;

impl fmt::Display for ProposalDropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("proposal dropped: there is no leader, or too many bytes are uncommitted")
    }
}

impl std::error::Error for ProposalDropped {}

/// What the caller has to do, in this order: send the messages, write to the disk, call
/// [`Replica::on_persisted`].
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Messages that may be sent before the disk write.
    pub messages: Vec<Message>,
    /// What must be on the disk before [`Replica::on_persisted`] is called.
    pub disk_write: DiskWrite,
}

/// What follows once the disk write is done.
#[derive(Clone, Debug, Default)]
pub struct Applied {
    /// Messages that may be sent now.
    pub messages: Vec<Message>,
    /// The committed commands that were applied: index, command, and what it changed.
    pub changes: Vec<(u64, Command, Change)>,
    /// Whether the state was replaced by a snapshot, because this replica was too far behind.
    pub snapshot_installed: bool,
}

/// A voter or learner of a group.
pub struct Replica {
    node: RawNode<ReplicaStorage>,
    state: State,
    seed: u64,
    compaction: CompactionPolicy,
    /// Index and term of the last entry that is applied to the state.
    applied: (u64, u64),
    configuration: Configuration,
    ready: Option<Ready>,
    snapshot_installed: bool,
    /// For each replica that was sent a snapshot and has not answered: the ticks since then.
    snapshot_ticks: BTreeMap<u64, usize>,
}

fn discard_logger() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

impl Replica {
    /// The encoded initial state of a group, for [`DiskState::bootstrap`].
    ///
    /// # Errors
    ///
    /// The state can't be encoded.
    pub fn initial_state(bounds: Bounds) -> Result<Vec<u8>, String> {
        postcard::to_stdvec(&State::new(bounds)).map_err(|error| error.to_string())
    }

    /// Starts from the state on disk. A replica that has lost its disk needs a new `id`, since it can't know
    /// which votes it has given under the old one. The id 0 is reserved.
    ///
    /// # Errors
    ///
    /// The state on disk can't be decoded, or is inconsistent.
    pub fn new(
        id: u64,
        disk_state: DiskState,
        seed: u64,
        compaction: CompactionPolicy,
    ) -> Result<Replica, String> {
        if id == 0 {
            return Err("replica id 0 is reserved".to_owned());
        }
        let state = match disk_state.snapshot.index {
            0 => State::new(Bounds::default()),
            _ => postcard::from_bytes(&disk_state.snapshot.state)
                .map_err(|error| format!("snapshot: {error}"))?,
        };
        let contiguous = (disk_state.snapshot.index + 1..)
            .zip(&disk_state.entries)
            .all(|(index, entry)| entry.index == index);
        if !contiguous
            || disk_state.hard_state.commit > disk_state.last_index()
            || disk_state.hard_state.commit < disk_state.snapshot.index
        {
            return Err("the log on disk has gaps, or does not contain its commit index".to_owned());
        }
        let config = raft::Config {
            id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: disk_state.snapshot.index,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            check_quorum: true,
            pre_vote: true,
            ..Default::default()
        };
        let (applied, configuration) = (
            (disk_state.snapshot.index, disk_state.snapshot.term),
            disk_state.snapshot.configuration.clone(),
        );
        let storage = ReplicaStorage { disk_state, snapshot_requested: Cell::new(false) };
        let node = RawNode::new(&config, storage, &discard_logger()).map_err(|error| error.to_string())?;
        let mut replica = Replica {
            node,
            state,
            seed,
            compaction,
            applied,
            configuration,
            ready: None,
            snapshot_installed: false,
            snapshot_ticks: BTreeMap::new(),
        };
        replica.set_election_timeout();
        Ok(replica)
    }

    /// Raft draws its election timeouts from the thread's random generator. After each step they are replaced
    /// by one derived from seed, id and term, so that replicas differ and a run can be reproduced.
    fn set_election_timeout(&mut self) {
        let mut hasher = XxHash64::with_seed(self.seed);
        hasher.write_u64(self.node.raft.id);
        hasher.write_u64(self.node.raft.term);
        let timeout = ELECTION_TICKS + (hasher.finish() % ELECTION_TICKS as u64) as usize;
        self.node.raft.set_randomized_election_timeout(timeout);
    }

    /// To be called once per tick. All replicas must tick at about the same rate.
    pub fn tick(&mut self) {
        self.node.tick();
        self.retry_snapshots();
        self.set_election_timeout();
    }

    /// Raft sends a snapshot once and waits for the answer, but the message may be lost. Without an answer
    /// for an election timeout it counts as lost.
    fn retry_snapshots(&mut self) {
        let awaits_snapshot = |(id, progress): (&u64, &raft::Progress)| {
            (progress.state == raft::ProgressState::Snapshot).then_some(*id)
        };
        let awaiting: Vec<u64> = self.node.raft.prs().iter().filter_map(awaits_snapshot).collect();
        self.snapshot_ticks.retain(|id, _| awaiting.contains(id));
        for id in awaiting {
            let ticks = self.snapshot_ticks.entry(id).or_default();
            *ticks += 1;
            if *ticks >= ELECTION_TICKS {
                *ticks = 0;
                self.node.report_snapshot(id, raft::SnapshotStatus::Failure);
            }
        }
    }

    /// Handles a message from another replica. Drops a message to another replica or group, one that a
    /// replica sends only to itself, and an inconsistent one.
    pub fn receive(&mut self, message: &Message) {
        let snapshot = message.snapshot.as_ref();
        let decodable =
            snapshot.is_none_or(|snapshot| postcard::from_bytes::<State>(&snapshot.state).is_ok());
        let in_order = message.entries.windows(2).all(|pair| pair[0].index + 1 == pair[1].index);
        let follows = message
            .entries
            .first()
            .is_none_or(|first| message.kind != MessageKind::Append || first.index == message.index + 1);
        if message.group_id != self.node.store().disk_state.group_id
            || message.to != self.node.raft.id
            || message.from == message.to
            || !decodable
            || !in_order
            || !follows
        {
            return;
        }
        // A correct leader never sends a heartbeat whose commit index is beyond this replica's log, and raft
        // panics on one.
        let last = self.node.raft.raft_log.last_index();
        if message.kind == MessageKind::Heartbeat && message.commit > last {
            return;
        }
        // Raft returns an error for messages of an old term or from an unknown replica; they are dropped.
        let _ = self.node.step(message.to_raft());
        self.set_election_timeout();
    }

    /// Proposes a command to the leader. It may still be lost on the way: the caller learns from the state
    /// whether it was committed.
    ///
    /// # Errors
    ///
    /// The proposal was dropped.
    pub fn propose(&mut self, command: &Command) -> Result<(), ProposalDropped> {
        let data = postcard::to_stdvec(command).map_err(|_| ProposalDropped)?;
        let proposed = self.node.propose(Vec::new(), data);
        self.set_election_timeout();
        proposed.map_err(|_| ProposalDropped)
    }

    /// Proposes a change of the configuration. While one is uncommitted, a further one has no effect.
    ///
    /// # Errors
    ///
    /// The proposal was dropped.
    pub fn propose_configuration_change(
        &mut self,
        change: ConfigurationChange,
    ) -> Result<(), ProposalDropped> {
        if !self.is_leader() {
            return Err(ProposalDropped);
        }
        let proposed = self.node.propose_conf_change(Vec::new(), change.to_raft());
        self.set_election_timeout();
        proposed.map_err(|_| ProposalDropped)
    }

    /// What the caller has to do next; `None` if there is nothing until the next tick or message.
    /// [`Replica::on_persisted`] must be called before the next call of this.
    pub fn next_output(&mut self) -> Option<Output> {
        if self.ready.is_some() || !self.node.has_ready() {
            return None;
        }
        let mut ready = self.node.ready();
        let group_id = self.node.store().disk_state.group_id;
        let to_message = |message: &eraftpb::Message| Message::from_raft(message, group_id);
        let messages = ready.take_messages().iter().filter_map(to_message).collect();
        let mut disk_write = DiskWrite::default();
        if ready.snapshot().get_metadata().index > 0 {
            let snapshot = Snapshot::from_raft(ready.snapshot());
            if let Ok(state) = postcard::from_bytes(&snapshot.state) {
                self.state = state;
                self.applied = (snapshot.index, snapshot.term);
                self.configuration = snapshot.configuration.clone();
                self.snapshot_installed = true;
                disk_write.snapshot = Some(snapshot);
            }
        }
        disk_write.entries = ready.entries().iter().filter_map(Entry::from_raft).collect();
        disk_write.hard_state = ready.hs().map(DiskState::hard_state_from_raft);
        self.node.mut_store().disk_state.apply(&disk_write);
        self.ready = Some(ready);
        Some(Output { messages, disk_write })
    }

    /// To be called when the disk holds the write of the last [`Output`]. Without one it does nothing.
    pub fn on_persisted(&mut self) -> Applied {
        let Some(mut ready) = self.ready.take() else { return Applied::default() };
        let group_id = self.node.store().disk_state.group_id;
        let to_message = |message: &eraftpb::Message| Message::from_raft(message, group_id);
        let mut messages: Vec<Message> =
            ready.take_persisted_messages().iter().filter_map(to_message).collect();
        let mut changes = Vec::new();
        let committed = ready.take_committed_entries();
        self.apply(&committed, &mut changes);
        let mut light = self.node.advance(ready);
        if let Some(commit) = light.commit_index() {
            // This commit index need not be on the disk: it is learned again after a restart.
            self.node.mut_store().disk_state.hard_state.commit = commit;
        }
        messages.extend(light.take_messages().iter().filter_map(to_message));
        let committed = light.take_committed_entries();
        self.apply(&committed, &mut changes);
        self.node.advance_apply();
        self.set_election_timeout();
        Applied { messages, changes, snapshot_installed: std::mem::take(&mut self.snapshot_installed) }
    }

    fn apply(&mut self, committed: &[eraftpb::Entry], changes: &mut Vec<(u64, Command, Change)>) {
        for entry in committed {
            self.applied = (entry.index, entry.term);
            let Some(entry) = Entry::from_raft(entry) else { continue };
            match entry.payload {
                EntryPayload::Empty => {}
                EntryPayload::Command(data) => {
                    // A command of another version can't be decoded, and changes nothing on any replica.
                    if let Ok(command) = postcard::from_bytes::<Command>(&data) {
                        let change = self.state.apply(&command);
                        changes.push((entry.index, command, change));
                    }
                }
                EntryPayload::ConfigurationChange(change) => {
                    if let Ok(state) = self.node.apply_conf_change(&change.to_raft()) {
                        self.configuration = Configuration::from_raft(&state);
                    }
                }
            }
        }
    }

    /// Replaces the applied entries by a snapshot if there are enough of them, or if a new replica needs one.
    /// To be called after each [`Replica::on_persisted`]. The returned write must reach the disk eventually.
    pub fn compact(&mut self) -> Option<DiskWrite> {
        let snapshot_index = self.node.store().disk_state.snapshot.index;
        if self.ready.is_some() || self.applied.0 <= snapshot_index {
            return None;
        }
        if !self.node.store().snapshot_requested.take()
            && self.applied.0 < snapshot_index + self.compaction.min_entries
        {
            return None;
        }
        let state = postcard::to_stdvec(&self.state).ok()?;
        let (index, term) = self.applied;
        let snapshot = Snapshot { index, term, configuration: self.configuration.clone(), state };
        let disk_write = DiskWrite { snapshot: Some(snapshot), ..DiskWrite::default() };
        self.node.mut_store().disk_state.apply(&disk_write);
        Some(disk_write)
    }

    /// The initial disk state of a new group that takes over this replica's state, for when most voters of
    /// the old group are lost for good. Only an operator may decide this, at one replica, once every lease
    /// has expired. `group_id` must differ from that of every earlier group, so that messages from old voters
    /// that return are dropped. Entries of the old log that this replica lacks are lost; epochs and fencing
    /// tokens skip those that they may have used.
    ///
    /// # Errors
    ///
    /// The state can't be encoded.
    pub fn recover_group(&self, group_id: u64, voters: &[u64]) -> Result<DiskState, String> {
        let state = postcard::to_stdvec(&self.state.recovered()).map_err(|error| error.to_string())?;
        Ok(DiskState::bootstrap(group_id, voters, state))
    }

    /// The state after the entries that this replica has applied. It may lag behind the leader's.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The voters and learners, as of the entries that this replica has applied.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The index of the last entry that is applied.
    pub fn applied_index(&self) -> u64 {
        self.applied.0
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// The id of this replica.
    pub fn id(&self) -> u64 {
        self.node.raft.id
    }

    /// The current leader, if this replica knows one.
    pub fn leader(&self) -> Option<u64> {
        Some(self.node.raft.leader_id).filter(|leader| *leader != raft::INVALID_ID)
    }

    /// Whether this replica leads and has applied every entry that was in the log when it was elected.
    pub fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader && self.applied.1 == self.node.raft.term
    }

    /// Whether a replica has nearly the whole log, as far as this leader knows.
    pub fn has_caught_up(&self, id: u64) -> bool {
        let last = self.node.raft.raft_log.last_index();
        self.is_leader()
            && self.node.raft.prs().get(id).is_some_and(|progress| {
                progress.matched > 0 && progress.matched + MAX_INFLIGHT_MESSAGES as u64 >= last
            })
    }
}
