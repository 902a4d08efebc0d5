//! Messages between members.

use crate::name::Name;
use crate::update::{Incarnation, Update};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Number of buckets into which the list of members is divided for comparison.
pub const BUCKETS: usize = 32;

/// Sender of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Name of the member.
    pub name: Name,
    /// Its current incarnation.
    pub incarnation: Incarnation,
    /// Address where it receives messages; replies go here.
    pub address: SocketAddr,
}

/// A message. Replies go only to the address that the message gives for its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender.
    pub from: Sender,
    /// Kind and its parameters.
    pub kind: MessageKind,
    /// Updates piggybacked on the message.
    pub updates: Vec<Update>,
}

/// Kind of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Probe of the member `to`. Another member that now receives at this address does not answer.
    Ping {
        /// Sequence number that the acknowledgement repeats.
        number: u32,
        /// Name of the probed member.
        to: Name,
    },
    /// Acknowledges a [`MessageKind::Ping`], [`MessageKind::PingFor`] or [`MessageKind::Join`].
    Ack {
        /// Sequence number of the request.
        number: u32,
        /// Digest of the sender's list of members.
        digest: u64,
    },
    /// Requests an indirect probe of `target` (SWIM's ping-req).
    PingFor {
        /// Sequence number that the answer repeats.
        number: u32,
        /// Name of the member to be probed.
        target: Name,
        /// Address of that member.
        at: SocketAddr,
    },
    /// Answers a [`MessageKind::PingFor`] when the target has not acknowledged: the helper itself is
    /// reachable.
    Nack {
        /// Sequence number of the request.
        number: u32,
    },
    /// Requests to join; the update of the sender is piggybacked.
    Join {
        /// Sequence number that the acknowledgement repeats.
        number: u32,
    },
    /// Carries piggybacked updates only.
    Gossip,
    /// Digests of the buckets of the sender's list, for anti-entropy.
    Digests {
        /// One digest per bucket.
        parts: Vec<u64>,
        /// Whether this answers another such message; an answer is not answered again.
        answers: bool,
    },
    /// A page of entries from buckets that differ, as piggybacked updates.
    Entries,
}

impl Message {
    /// Upper bound of the encoded size of a message without its updates, in bytes.
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

    /// Upper bound of the encoded size of the whole message, in bytes.
    pub fn max_size(&self) -> usize {
        Message::max_header_size(&self.from, &self.kind)
            + self.updates.iter().map(Update::max_size).sum::<usize>()
    }
}
