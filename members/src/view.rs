//! What is shown of it all.

use crate::cluster_status::ClusterStatus;
use crate::name::Name;
use crate::roster::Condition;
use crate::update::{Incarnation, Metadata};
use crate::Micros;

/// What this process takes a member to be. Another may take it to be something else at the same moment.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// Who.
    pub name: Name,
    /// What it last said of itself.
    pub metadata: Metadata,
    /// Its life and round.
    pub incarnation: Incarnation,
    /// Its condition.
    pub condition: Condition,
    /// For how long it has been in it.
    pub condition_age: Micros,
    /// How long ago it last answered this process; `None`: never, or it is this process.
    pub last_ack_age: Option<Micros>,
    /// Whether its list, when it last said what it comes to, was this process's list as it is now; `None`: it has not said.
    pub digest_matches: Option<bool>,
    /// Whether it comes and goes.
    pub is_flapping: bool,
    /// Who suspects it.
    pub suspected_by: Vec<Name>,
}

/// The whole of it.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipView {
    /// This process.
    pub local_name: Name,
    /// Where it stands.
    pub cluster_status: ClusterStatus,
    /// How far it doubts itself: 0 is not at all.
    pub health_score: u32,
    /// What its list comes to: members that agree have the same number.
    pub digest: u64,
    /// All that it knows, itself among them, by name.
    pub members: Vec<MemberView>,
    /// What it has counted.
    pub counts: Counts,
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages that went out.
    pub sent: u64,
    /// Messages that came in.
    pub received: u64,
    /// Questions of this process that nobody answered.
    pub failed_probes: u64,
    /// What was said of this process and contradicted.
    pub refutations: u64,
    /// Claims that were not believed: of lives that nobody has announced, by members that have failed, beyond what can be.
    pub rejected_updates: u64,
    /// Members that were not let in, as the list was full.
    pub rejected_members: u64,
    /// Comparisons of lists that this process began.
    pub syncs: u64,
    /// Pages that were not sent, as too many had been.
    pub throttled_pages: u64,
    /// How often this process ran late.
    pub stalls: u64,
}
