//! What is shown of it all.

use crate::claim::{Card, Incarnation};
use crate::name::Name;
use crate::roster::Condition;
use crate::standing::Standing;
use crate::Micros;

/// What this process takes a member to be. Another may take it to be something else at the same moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Opinion {
    /// Who.
    pub name: Name,
    /// What it last said of itself.
    pub card: Card,
    /// Its life and round.
    pub incarnation: Incarnation,
    /// Its condition.
    pub condition: Condition,
    /// For how long it has been in it.
    pub since: Micros,
    /// How long ago it last answered this process; `None`: never, or it is this process.
    pub heard: Option<Micros>,
    /// Whether its list, when it last said what it comes to, was this process's list as it is now; `None`: it has not said.
    pub agrees: Option<bool>,
    /// Whether it comes and goes.
    pub unsettled: bool,
    /// Who suspects it.
    pub suspected_by: Vec<Name>,
}

/// The whole of it.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// This process.
    pub own: Name,
    /// Where it stands.
    pub standing: Standing,
    /// How far it doubts itself: 0 is not at all.
    pub doubt: u32,
    /// What its list comes to: members that agree have the same number.
    pub digest: u64,
    /// All that it knows, itself among them, by name.
    pub members: Vec<Opinion>,
    /// What it has counted.
    pub counts: Counts,
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages that went out.
    pub sent: u64,
    /// Messages that came in.
    pub heard: u64,
    /// Questions of this process that nobody answered.
    pub unanswered: u64,
    /// What was said of this process and contradicted.
    pub contradicted: u64,
    /// Claims that were not believed: of lives that nobody has announced, by members that have failed, beyond what can be.
    pub disbelieved: u64,
    /// Members that were not let in, as the list was full.
    pub no_room: u64,
    /// Comparisons of lists that this process began.
    pub syncs: u64,
    /// Pages that were not sent, as too many had been.
    pub pages_held: u64,
    /// How often this process ran late.
    pub stalls: u64,
}
