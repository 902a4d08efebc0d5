//! A voter or learner: its log, and the machine that it applies it to.

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

/// Ticks without a leader's word before somebody asks to lead: from so many to twice as many.
const ELECTION_TICKS: usize = 10;
/// Ticks between two of a leader's words.
const HEARTBEAT_TICKS: usize = 2;
/// Most bytes of entries in a letter.
const MAX_MESSAGE_BYTES: u64 = 256 << 10;
/// Most letters that are out to one voter without an answer.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// Most bytes of commands that are proposed and not decided; a further one is refused.
const MAX_UNCOMMITTED_BYTES: u64 = 1 << 20;

/// How a seat paces what is not raft's to pace.
#[derive(Clone, Copy, Debug)]
pub struct CompactionPolicy {
    /// Entries that are applied before the log's base moves up to them.
    pub min_entries: u64,
}

impl Default for CompactionPolicy {
    fn default() -> Self {
        CompactionPolicy { min_entries: 1_024 }
    }
}

/// A command was not taken: nobody leads, or too much is undecided. It may be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposalDropped;

impl fmt::Display for ProposalDropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("nobody leads the council, or too much is undecided")
    }
}

impl std::error::Error for ProposalDropped {}

/// What is to be done, in this order: letters that may go at once; then the disk; then [`Replica::on_persisted`].
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// They may go before the disk is written.
    pub messages: Vec<Message>,
    /// What must be on the disk before [`Replica::on_persisted`].
    pub disk_write: DiskWrite,
}

/// What is done then.
#[derive(Clone, Debug, Default)]
pub struct Applied {
    /// They may go now.
    pub messages: Vec<Message>,
    /// What the log's decided commands changed, by their places.
    pub changes: Vec<(u64, Command, Change)>,
    /// Whether the state was replaced as a whole: this seat was too far behind.
    pub snapshot_installed: bool,
}

/// A voter or learner of a council.
pub struct Replica {
    node: RawNode<ReplicaStorage>,
    state: State,
    seed: u64,
    compaction: CompactionPolicy,
    /// The last entry that the state holds, and its term.
    applied: (u64, u64),
    configuration: Configuration,
    ready: Option<Ready>,
    snapshot_installed: bool,
    /// Those that were sent the log's base and have said nothing since, and for how many ticks.
    snapshot_ticks: BTreeMap<u64, usize>,
}

fn discard_logger() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

impl Replica {
    /// The machine's state at a council's beginning, as [`DiskState::bootstrap`] wants it.
    ///
    /// # Errors
    ///
    /// It can't be written.
    pub fn initial_state(bounds: Bounds) -> Result<Vec<u8>, String> {
        postcard::to_stdvec(&State::new(bounds)).map_err(|error| error.to_string())
    }

    /// Goes on from what a disk holds. An `id` is one voter's for good: whoever has lost its disk takes another, as it can't
    /// know what it has promised under this one. 0 is nobody's.
    ///
    /// # Errors
    ///
    /// What is saved can't be read, or contradicts itself.
    pub fn new(
        id: u64,
        disk_state: DiskState,
        seed: u64,
        compaction: CompactionPolicy,
    ) -> Result<Replica, String> {
        if id == 0 {
            return Err("0 is nobody's number".to_owned());
        }
        let state = match disk_state.snapshot.index {
            0 => State::new(Bounds::default()),
            _ => {
                postcard::from_bytes(&disk_state.snapshot.state).map_err(|error| format!("base: {error}"))?
            }
        };
        let contiguous = (disk_state.snapshot.index + 1..)
            .zip(&disk_state.entries)
            .all(|(index, entry)| entry.index == index);
        if !contiguous
            || disk_state.hard_state.commit > disk_state.last_index()
            || disk_state.hard_state.commit < disk_state.snapshot.index
        {
            return Err("the saved log has gaps, or is not as long as what was decided".to_owned());
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

    /// Raft draws its time-outs from the thread's own source: they are set from the seed after each step, by term, so that
    /// voters differ and a course can be played again.
    fn set_election_timeout(&mut self) {
        let mut hasher = XxHash64::with_seed(self.seed);
        hasher.write_u64(self.node.raft.id);
        hasher.write_u64(self.node.raft.term);
        let timeout = ELECTION_TICKS + (hasher.finish() % ELECTION_TICKS as u64) as usize;
        self.node.raft.set_randomized_election_timeout(timeout);
    }

    /// One tick has passed. All voters tick at about the same pace.
    pub fn tick(&mut self) {
        self.node.tick();
        self.retry_snapshots();
        self.set_election_timeout();
    }

    /// Raft sends a base once and waits for word of it; a letter may be lost. One without an answer for as long as an election
    /// takes is as good as lost.
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

    /// A letter has come. One that is for another, that a voter says only to itself, or that makes no sense is not heard.
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
        // A leader may not say that more is decided than this voter can have by its letter.
        let last = self.node.raft.raft_log.last_index();
        if message.kind == MessageKind::Heartbeat && message.commit > last {
            return;
        }
        // What raft refuses is of an old term, or of somebody it does not know.
        let _ = self.node.step(message.to_raft());
        self.set_election_timeout();
    }

    /// Proposes a command to whoever leads. It may be decided, or lost on the way: whoever asked looks at the state.
    ///
    /// # Errors
    ///
    /// It was not taken.
    pub fn propose(&mut self, command: &Command) -> Result<(), ProposalDropped> {
        let data = postcard::to_stdvec(command).map_err(|_| ProposalDropped)?;
        let proposed = self.node.propose(Vec::new(), data);
        self.set_election_timeout();
        proposed.map_err(|_| ProposalDropped)
    }

    /// Proposes another set of voters. One at a time: while one is undecided, a further one comes to nothing.
    ///
    /// # Errors
    ///
    /// It was not taken.
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

    /// What there is to do; `None`: nothing until the next tick or letter. [`Replica::on_persisted`] comes before it is asked again.
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

    /// The disk holds what the last [`Output`] said. Nothing where there was none.
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
            // It need not be on the disk: it is found again.
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
                    // Another version's command changes nothing, at any voter.
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

    /// Moves the log's base up to what is applied, if it is long enough, or one that is new wants it. To be asked after each
    /// [`Replica::on_persisted`]. What comes back must be on the disk some time.
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

    /// What a new council begins with that takes this seat's state over, when most voters of the old one are lost for good:
    /// by an operator's word, at one seat, once every lease's time is over. `group_id` is another number than that of any
    /// before; letters of an old voter that comes back late are not heard. What the old log had beyond this seat is lost;
    /// its epochs and fences are passed over.
    ///
    /// # Errors
    ///
    /// The state can't be written.
    pub fn recover_group(&self, group_id: u64, voters: &[u64]) -> Result<DiskState, String> {
        let state = postcard::to_stdvec(&self.state.recovered()).map_err(|error| error.to_string())?;
        Ok(DiskState::bootstrap(group_id, voters, state))
    }

    /// What the log comes to, as far as this seat knows. It may be behind.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Who votes and who hears, as far as this seat knows.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// How far it has applied the log.
    pub fn applied_index(&self) -> u64 {
        self.applied.0
    }

    /// The term that it is in.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// Its own number.
    pub fn id(&self) -> u64 {
        self.node.raft.id
    }

    /// Who leads, by what it knows; `None`: nobody.
    pub fn leader(&self) -> Option<u64> {
        Some(self.node.raft.leader_id).filter(|leader| *leader != raft::INVALID_ID)
    }

    /// Whether it leads, and has applied all that was in the log when it began to.
    pub fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader && self.applied.1 == self.node.raft.term
    }

    /// Whether a seat has nearly all of the log, by what this leader knows.
    pub fn has_caught_up(&self, id: u64) -> bool {
        let last = self.node.raft.raft_log.last_index();
        self.is_leader()
            && self.node.raft.prs().get(id).is_some_and(|progress| {
                progress.matched > 0 && progress.matched + MAX_INFLIGHT_MESSAGES as u64 >= last
            })
    }
}
