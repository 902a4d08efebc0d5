//! What passes between members.

use crate::name::Name;
use crate::update::{Incarnation, Update};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// How many parts a list is compared in.
pub const BUCKETS: usize = 32;

/// Who says something.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Its name.
    pub name: Name,
    /// Its present incarnation.
    pub incarnation: Incarnation,
    /// Where it hears: answers go here.
    pub address: SocketAddr,
}

/// One message. No answer to it is sent anywhere but to what it says of its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// From whom.
    pub from: Sender,
    /// What it is about.
    pub kind: MessageKind,
    /// News that rides along.
    pub updates: Vec<Update>,
}

/// What a message is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Is `to` there? Another that hears at its address does not answer.
    Ping {
        /// For the answer.
        number: u32,
        /// Whom it is meant for.
        to: Name,
    },
    /// It is.
    Ack {
        /// The question's.
        number: u32,
        /// What its list comes to, for comparison.
        digest: u64,
    },
    /// Ask for me whether this one is there.
    PingFor {
        /// For the answer.
        number: u32,
        /// Whom.
        target: Name,
        /// Where it hears.
        at: SocketAddr,
    },
    /// It has not answered me either; I am here.
    Nack {
        /// The question's.
        number: u32,
    },
    /// Let me in: the sender's own update comes with it.
    Join {
        /// For the answer.
        number: u32,
    },
    /// News alone.
    Gossip,
    /// What the sender's list comes to, part by part.
    Digests {
        /// For each part.
        parts: Vec<u64>,
        /// Whether this answers such a message: then nobody answers it with another.
        answers: bool,
    },
    /// Entries of the sender's list, where the two differ.
    Entries,
}

impl Message {
    /// Bytes that a message takes without its updates, at most.
    pub(crate) fn max_header_size(from: &Sender, kind: &MessageKind) -> usize {
        let text = |name: &Name| name.as_str().len() + 2;
        let kind = match kind {
            MessageKind::Ping { to, .. } => 5 + text(to),
            MessageKind::Ack { .. } => 15,
            MessageKind::PingFor { target, .. } => 5 + text(target) + 22,
            MessageKind::Nack { .. } | MessageKind::Join { .. } => 5,
            MessageKind::Gossip | MessageKind::Entries => 0,
            MessageKind::Digests { parts, .. } => 3 + 10 * parts.len(),
        };
        text(&from.name) + 15 + 22 + 1 + kind + 3
    }

    /// The same for a whole message.
    pub fn max_size(&self) -> usize {
        Message::max_header_size(&self.from, &self.kind)
            + self.updates.iter().map(Update::max_size).sum::<usize>()
    }
}
