//! Status of the whole cluster, as this process sees it.

use crate::roster::{Condition, Roster};

/// Status of the cluster by the local list of members. It informs operators and callers of what to
/// expect; decisions that need agreement must not rely on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClusterStatus {
    /// All known members are alive.
    Agreed,
    /// Some members are suspected, and it is not decided yet whether they have failed.
    Suspecting,
    /// Some members have failed; more than half of the known ones are alive.
    Reduced,
    /// At most half of the known members are alive: this process may be on the smaller side of a partition.
    Minority,
    /// No other member is alive or suspected.
    Alone,
    /// Another process has taken over the name of this one, which no longer takes part.
    Replaced,
}

impl ClusterStatus {
    /// The name in logs and in the state that operators see.
    pub fn name(self) -> &'static str {
        match self {
            ClusterStatus::Agreed => "agreed",
            ClusterStatus::Suspecting => "suspecting",
            ClusterStatus::Reduced => "reduced",
            ClusterStatus::Minority => "minority",
            ClusterStatus::Alone => "alone",
            ClusterStatus::Replaced => "replaced",
        }
    }

    /// Computes the status from the list. Members that have left are not counted.
    pub(crate) fn from_roster(roster: &Roster) -> ClusterStatus {
        let (mut alive, mut suspected, mut failed) = (0, 0, 0);
        for (_, entry) in roster.iter() {
            match entry.condition() {
                Condition::Alive => alive += 1,
                Condition::Suspected => suspected += 1,
                Condition::Failed => failed += 1,
                Condition::Left => {}
            }
        }
        let known = alive + suspected + failed;
        match () {
            () if alive + suspected <= 1 => ClusterStatus::Alone,
            () if 2 * alive <= known => ClusterStatus::Minority,
            () if suspected > 0 => ClusterStatus::Suspecting,
            () if failed > 0 => ClusterStatus::Reduced,
            () => ClusterStatus::Agreed,
        }
    }
}
