//! Snapshots of the list of members and of the counters.

use crate::cluster_status::ClusterStatus;
use crate::name::Name;
use crate::roster::Condition;
use crate::update::{Incarnation, Metadata};
use crate::Micros;

/// A member as this process sees it. Other members may see it differently at the same time.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// Name of the member.
    pub name: Name,
    /// Metadata that it last announced.
    pub metadata: Metadata,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its condition.
    pub condition: Condition,
    /// Microseconds since it entered this condition.
    pub condition_age: Micros,
    /// Microseconds since it last acknowledged a message of this process; `None`: never, or it is this
    /// process.
    pub last_ack_age: Option<Micros>,
    /// Whether the digest in its last acknowledgement equals the current digest of this process; `None`: no
    /// acknowledgement yet.
    pub digest_matches: Option<bool>,
    /// Whether it is flapping, that is, has rejoined repeatedly within a minute.
    pub is_flapping: bool,
    /// Members that suspect it.
    pub suspected_by: Vec<Name>,
}

/// Snapshot of the membership.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipView {
    /// Name of this process.
    pub local_name: Name,
    /// Status of the cluster.
    pub cluster_status: ClusterStatus,
    /// Local health score; 0 is healthy.
    pub health_score: u32,
    /// Digest of the list; members with equal lists have equal digests.
    pub digest: u64,
    /// All known members by name, including this process.
    pub members: Vec<MemberView>,
    /// Counters.
    pub counts: Counts,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages sent.
    pub sent: u64,
    /// Messages received.
    pub received: u64,
    /// Probes by this process that were not acknowledged, directly or through a helper.
    pub failed_probes: u64,
    /// Updates that reported this process as suspected, failed or left, and were refuted.
    pub refutations: u64,
    /// Updates and messages that were rejected: with an incarnation that the member has not announced or that
    /// is implausible, or by a failed member.
    pub rejected_updates: u64,
    /// Members that were rejected because the list was full.
    pub rejected_members: u64,
    /// Comparisons of lists that this process started.
    pub syncs: u64,
    /// Anti-entropy pages that were not sent because of the rate limit.
    pub throttled_pages: u64,
    /// How often this process ran late.
    pub stalls: u64,
}
