//! The messages between replicas, and the entries of the log.

use crate::storage::{Configuration, Snapshot};
use protobuf::Message as _;
use raft::eraftpb::{self, ConfChange, ConfChangeType, EntryType, MessageType};
use serde::{Deserialize, Serialize};

/// A change of the configuration by one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationChange {
    /// Adds a learner: it receives the log and does not vote.
    #[serde(rename = "Learn")]
    AddLearner(u64),
    /// Adds a voter, or promotes a learner to one.
    #[serde(rename = "Vote")]
    AddVoter(u64),
    /// Removes a voter or learner.
    #[serde(rename = "Leave")]
    Remove(u64),
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// The entry that a new leader appends at the start of its term.
    #[serde(rename = "Nothing")]
    Empty,
    /// A command to the state machine, encoded by `postcard`.
    Command(Vec<u8>),
    /// A change of the configuration.
    #[serde(rename = "Seats")]
    ConfigurationChange(ConfigurationChange),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its index in the log.
    pub index: u64,
    /// The term in which it was proposed.
    pub term: u64,
    /// Its content.
    #[serde(rename = "what")]
    pub payload: EntryPayload,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident = $raft:ident,)*) => {
        /// The kind of a message, after raft's message types.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
        pub enum MessageKind {
            $($(#[$doc])* $kind,)*
        }

        impl MessageKind {
            fn from_raft(kind: MessageType) -> Option<MessageKind> {
                match kind {
                    $(MessageType::$raft => Some(MessageKind::$kind),)*
                    // Messages that a replica sends only to itself.
                    _ => None,
                }
            }

            fn to_raft(self) -> MessageType {
                match self {
                    $(MessageKind::$kind => MessageType::$raft,)*
                }
            }
        }
    };
}

kinds! {
    /// Forwards a proposal to the leader.
    Propose = MsgPropose,
    /// Entries to append.
    Append = MsgAppend,
    /// Whether the entries were appended.
    AppendResponse = MsgAppendResponse,
    /// A candidate's request for a vote.
    RequestVote = MsgRequestVote,
    /// Grants or refuses the vote.
    RequestVoteResponse = MsgRequestVoteResponse,
    /// Requests a pre-vote: whether the replica would get votes, before it starts an election.
    RequestPreVote = MsgRequestPreVote,
    /// The answer to a pre-vote request.
    RequestPreVoteResponse = MsgRequestPreVoteResponse,
    /// A snapshot, for a replica that lacks entries which the leader has compacted.
    Snapshot = MsgSnapshot,
    /// The leader's heartbeat.
    Heartbeat = MsgHeartbeat,
    /// The answer to a heartbeat.
    HeartbeatResponse = MsgHeartbeatResponse,
    /// Requests the leader to transfer leadership.
    TransferLeader = MsgTransferLeader,
    /// Instructs a replica to start an election at once.
    TimeoutNow = MsgTimeoutNow,
}

/// A message from one voter or learner to another of the same group. The other fields are those of raft's
/// message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Message {
    #[serde(rename = "council")]
    pub group_id: u64,
    pub kind: MessageKind,
    pub from: u64,
    pub to: u64,
    pub term: u64,
    pub log_term: u64,
    pub index: u64,
    pub commit: u64,
    pub commit_term: u64,
    pub reject: bool,
    pub reject_hint: u64,
    pub request_snapshot: u64,
    pub priority: i64,
    pub context: Vec<u8>,
    pub entries: Vec<Entry>,
    #[serde(rename = "base")]
    pub snapshot: Option<Snapshot>,
}

impl Entry {
    /// `None` if it is not an entry that this crate has written.
    pub(crate) fn from_raft(entry: &eraftpb::Entry) -> Option<Entry> {
        let payload = match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => EntryPayload::Empty,
            EntryType::EntryNormal => EntryPayload::Command(entry.data.to_vec()),
            EntryType::EntryConfChange => {
                // These bytes were encoded in this process: entries from other replicas are encoded anew on
                // arrival.
                let mut change = ConfChange::default();
                change.merge_from_bytes(&entry.data).ok()?;
                EntryPayload::ConfigurationChange(match change.get_change_type() {
                    ConfChangeType::AddNode => ConfigurationChange::AddVoter(change.node_id),
                    ConfChangeType::AddLearnerNode => ConfigurationChange::AddLearner(change.node_id),
                    ConfChangeType::RemoveNode => ConfigurationChange::Remove(change.node_id),
                })
            }
            EntryType::EntryConfChangeV2 => return None,
        };
        Some(Entry { index: entry.index, term: entry.term, payload })
    }

    pub(crate) fn to_raft(&self) -> eraftpb::Entry {
        let mut entry = eraftpb::Entry { index: self.index, term: self.term, ..Default::default() };
        match &self.payload {
            EntryPayload::Empty => {}
            EntryPayload::Command(data) => entry.data = data.clone().into(),
            EntryPayload::ConfigurationChange(change) => {
                entry.set_entry_type(EntryType::EntryConfChange);
                // Encoding into memory does not fail.
                entry.data = change.to_raft().write_to_bytes().unwrap_or_default().into();
            }
        }
        entry
    }
}

impl ConfigurationChange {
    pub(crate) fn to_raft(self) -> ConfChange {
        let (kind, node) = match self {
            ConfigurationChange::AddVoter(node) => (ConfChangeType::AddNode, node),
            ConfigurationChange::AddLearner(node) => (ConfChangeType::AddLearnerNode, node),
            ConfigurationChange::Remove(node) => (ConfChangeType::RemoveNode, node),
        };
        let mut change = ConfChange { node_id: node, ..Default::default() };
        change.set_change_type(kind);
        change
    }
}

impl Snapshot {
    pub(crate) fn from_raft(snapshot: &eraftpb::Snapshot) -> Snapshot {
        let meta = snapshot.get_metadata();
        let configuration = Configuration::from_raft(meta.get_conf_state());
        Snapshot { index: meta.index, term: meta.term, configuration, state: snapshot.data.to_vec() }
    }

    pub(crate) fn to_raft(&self) -> eraftpb::Snapshot {
        let mut snapshot = eraftpb::Snapshot { data: self.state.clone().into(), ..Default::default() };
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (self.index, self.term);
        meta.set_conf_state(self.configuration.to_raft());
        snapshot
    }
}

impl Message {
    /// `None` for a message that a replica sends only to itself.
    pub(crate) fn from_raft(message: &eraftpb::Message, group_id: u64) -> Option<Message> {
        let snapshot = message.has_snapshot().then(|| Snapshot::from_raft(message.get_snapshot()));
        Some(Message {
            group_id,
            kind: MessageKind::from_raft(message.get_msg_type())?,
            from: message.from,
            to: message.to,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            commit: message.commit,
            commit_term: message.commit_term,
            reject: message.reject,
            reject_hint: message.reject_hint,
            request_snapshot: message.request_snapshot,
            priority: message.priority,
            context: message.context.to_vec(),
            entries: message.entries.iter().map(Entry::from_raft).collect::<Option<_>>()?,
            snapshot: snapshot.filter(|snapshot| snapshot.index > 0),
        })
    }

    pub(crate) fn to_raft(&self) -> eraftpb::Message {
        let mut message = eraftpb::Message {
            from: self.from,
            to: self.to,
            term: self.term,
            log_term: self.log_term,
            index: self.index,
            commit: self.commit,
            commit_term: self.commit_term,
            reject: self.reject,
            reject_hint: self.reject_hint,
            request_snapshot: self.request_snapshot,
            priority: self.priority,
            context: self.context.clone().into(),
            ..Default::default()
        };
        message.set_msg_type(self.kind.to_raft());
        message.set_entries(self.entries.iter().map(Entry::to_raft).collect::<Vec<_>>().into());
        if let Some(snapshot) = &self.snapshot {
            message.set_snapshot(snapshot.to_raft());
        }
        message
    }
}
