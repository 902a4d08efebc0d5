//! What passes between voters, and what the log holds.

use crate::saved::{Base, Seats};
use protobuf::Message as _;
use raft::eraftpb::{self, ConfChange, ConfChangeType, EntryType, MessageType};
use serde::{Deserialize, Serialize};

/// Another set of voters, by one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reseat {
    /// This one hears the log, and does not vote.
    Learn(u64),
    /// This one votes.
    Vote(u64),
    /// This one does neither.
    Leave(u64),
}

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    /// A leader begins.
    Nothing,
    /// A command to the machine, by `postcard`.
    Command(Vec<u8>),
    /// Another set of voters.
    Seats(Reseat),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place.
    pub index: u64,
    /// The term in which it was proposed.
    pub term: u64,
    /// What it says.
    pub what: What,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident = $raft:ident,)*) => {
        /// What a letter is for, by raft's names.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
        pub enum LetterKind {
            $($(#[$doc])* $kind,)*
        }

        impl LetterKind {
            fn of(kind: MessageType) -> Option<LetterKind> {
                match kind {
                    $(MessageType::$raft => Some(LetterKind::$kind),)*
                    // What a voter says to itself.
                    _ => None,
                }
            }

            fn raft(self) -> MessageType {
                match self {
                    $(LetterKind::$kind => MessageType::$raft,)*
                }
            }
        }
    };
}

kinds! {
    /// A command for the leader.
    Propose = MsgPropose,
    /// Entries.
    Append = MsgAppend,
    /// Whether they were taken.
    AppendResponse = MsgAppendResponse,
    /// May I lead?
    RequestVote = MsgRequestVote,
    /// The vote.
    RequestVoteResponse = MsgRequestVoteResponse,
    /// May I ask to?
    RequestPreVote = MsgRequestPreVote,
    /// The answer.
    RequestPreVoteResponse = MsgRequestPreVoteResponse,
    /// The log's base, for one that is too far behind.
    Snapshot = MsgSnapshot,
    /// I lead.
    Heartbeat = MsgHeartbeat,
    /// I hear.
    HeartbeatResponse = MsgHeartbeatResponse,
    /// Let that one lead.
    TransferLeader = MsgTransferLeader,
    /// Lead now.
    TimeoutNow = MsgTimeoutNow,
}

/// A letter from one voter or learner to another of the same council. The other fields are raft's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Letter {
    pub council: u64,
    pub kind: LetterKind,
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
    pub base: Option<Base>,
}

impl Entry {
    /// `None`: it is no entry that this code has written.
    pub(crate) fn of(entry: &eraftpb::Entry) -> Option<Entry> {
        let what = match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => What::Nothing,
            EntryType::EntryNormal => What::Command(entry.data.to_vec()),
            EntryType::EntryConfChange => {
                // Our own bytes: whatever came from elsewhere was written anew here.
                let mut change = ConfChange::default();
                change.merge_from_bytes(&entry.data).ok()?;
                What::Seats(match change.get_change_type() {
                    ConfChangeType::AddNode => Reseat::Vote(change.node_id),
                    ConfChangeType::AddLearnerNode => Reseat::Learn(change.node_id),
                    ConfChangeType::RemoveNode => Reseat::Leave(change.node_id),
                })
            }
            EntryType::EntryConfChangeV2 => return None,
        };
        Some(Entry { index: entry.index, term: entry.term, what })
    }

    pub(crate) fn raft(&self) -> eraftpb::Entry {
        let mut entry = eraftpb::Entry { index: self.index, term: self.term, ..Default::default() };
        match &self.what {
            What::Nothing => {}
            What::Command(data) => entry.data = data.clone().into(),
            What::Seats(reseat) => {
                entry.set_entry_type(EntryType::EntryConfChange);
                // It is written to memory.
                entry.data = reseat.raft().write_to_bytes().unwrap_or_default().into();
            }
        }
        entry
    }
}

impl Reseat {
    pub(crate) fn raft(self) -> ConfChange {
        let (kind, node) = match self {
            Reseat::Vote(node) => (ConfChangeType::AddNode, node),
            Reseat::Learn(node) => (ConfChangeType::AddLearnerNode, node),
            Reseat::Leave(node) => (ConfChangeType::RemoveNode, node),
        };
        let mut change = ConfChange { node_id: node, ..Default::default() };
        change.set_change_type(kind);
        change
    }
}

impl Base {
    pub(crate) fn of(snapshot: &eraftpb::Snapshot) -> Base {
        let meta = snapshot.get_metadata();
        let seats = Seats::of(meta.get_conf_state());
        Base { index: meta.index, term: meta.term, seats, state: snapshot.data.to_vec() }
    }

    pub(crate) fn raft(&self) -> eraftpb::Snapshot {
        let mut snapshot = eraftpb::Snapshot { data: self.state.clone().into(), ..Default::default() };
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (self.index, self.term);
        meta.set_conf_state(self.seats.raft());
        snapshot
    }
}

impl Letter {
    /// `None`: it is for this voter alone.
    pub(crate) fn of(message: &eraftpb::Message, council: u64) -> Option<Letter> {
        let base = message.has_snapshot().then(|| Base::of(message.get_snapshot()));
        Some(Letter {
            council,
            kind: LetterKind::of(message.get_msg_type())?,
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
            entries: message.entries.iter().map(Entry::of).collect::<Option<_>>()?,
            base: base.filter(|base| base.index > 0),
        })
    }

    pub(crate) fn raft(&self) -> eraftpb::Message {
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
        message.set_msg_type(self.kind.raft());
        message.set_entries(self.entries.iter().map(Entry::raft).collect::<Vec<_>>().into());
        if let Some(base) = &self.base {
            message.set_snapshot(base.raft());
        }
        message
    }
}
