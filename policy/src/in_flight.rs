//! Counts calls in flight and those of them that are late.

use crate::api::Micros;
use std::collections::BTreeMap;

/// Number of calls in flight, in total and by the time from which they are late.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
    total: u32,
    by_late_at: BTreeMap<Micros, u32>,
}

impl InFlight {
    /// Counts a call that is sent and will be late from `late_at` on.
    pub(crate) fn sent(&mut self, late_at: Micros) {
        self.total += 1;
        *self.by_late_at.entry(late_at).or_default() += 1;
    }

    /// Removes a call that was counted with the same `late_at`.
    pub(crate) fn ended(&mut self, late_at: Micros) {
        let Some(count) = self.by_late_at.get_mut(&late_at) else { return };
        self.total -= 1;
        *count -= 1;
        if *count == 0 {
            self.by_late_at.remove(&late_at);
        }
    }

    /// Number of calls in flight.
    pub(crate) fn total(&self) -> u32 {
        self.total
    }

    /// Number of calls in flight that are not late.
    pub(crate) fn not_late(&self, now: Micros) -> u32 {
        self.total - self.by_late_at.range(..now).map(|(_, count)| count).sum::<u32>()
    }
}
