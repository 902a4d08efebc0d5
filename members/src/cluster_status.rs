//! Where a member stands among the others.

use crate::roster::{Condition, Roster};

/// Where this process stands, in its own opinion. It says what to expect and what to look at; what needs agreement is
/// not decided by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClusterStatus {
    /// It hears of all that it remembers.
    Agreed,
    /// Some do not answer, and it is not known yet whether they have failed.
    Suspecting,
    /// Some have failed; more than half of all that it remembers are there.
    Reduced,
    /// Half of all that it remembers, or fewer, are there: it may be the one that is cut off.
    Minority,
    /// Nobody else is there.
    Alone,
    /// Another process lives under its name: it says nothing to the others any more.
    Replaced,
}

impl ClusterStatus {
    /// Its name, in log and state.
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

    /// By the list; whoever has left of itself does not count.
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
        let all = alive + suspected + failed;
        match () {
            () if alive + suspected <= 1 => ClusterStatus::Alone,
            () if 2 * alive <= all => ClusterStatus::Minority,
            () if suspected > 0 => ClusterStatus::Suspecting,
            () if failed > 0 => ClusterStatus::Reduced,
            () => ClusterStatus::Agreed,
        }
    }
}
