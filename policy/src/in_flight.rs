//! Counts calls in flight, and of those the ones that are late.

use crate::api::Micros;
use std::collections::BTreeMap;

/// Calls that were sent and have not ended, by the moment from which each is late.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
    total: u32,
    by_late_at: BTreeMap<Micros, u32>,
}

impl InFlight {
    /// A call is sent that is late from then on.
    pub(crate) fn sent(&mut self, late_at: Micros) {
        self.total += 1;
        *self.by_late_at.entry(late_at).or_default() += 1;
    }

    /// Such a call has ended.
    pub(crate) fn ended(&mut self, late_at: Micros) {
        let Some(count) = self.by_late_at.get_mut(&late_at) else { return };
        self.total -= 1;
        *count -= 1;
        if *count == 0 {
            self.by_late_at.remove(&late_at);
        }
    }

    /// All of them.
    pub(crate) fn total(&self) -> u32 {
        self.total
    }

    /// Those that are not late.
    pub(crate) fn not_late(&self, now: Micros) -> u32 {
        self.total - self.by_late_at.range(..now).map(|(_, count)| count).sum::<u32>()
    }
}
