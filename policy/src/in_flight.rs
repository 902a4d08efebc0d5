//! Counts calls in flight, and of those the ones that are late.

use crate::api::Micros;
use std::collections::BTreeMap;

/// Calls that were sent and have not ended, by the moment from which each is late.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
    all: u32,
    late_at: BTreeMap<Micros, u32>,
}

impl InFlight {
    /// A call is sent that is late from then on.
    pub(crate) fn sent(&mut self, late_at: Micros) {
        self.all += 1;
        *self.late_at.entry(late_at).or_default() += 1;
    }

    /// Such a call has ended.
    pub(crate) fn ended(&mut self, late_at: Micros) {
        let Some(count) = self.late_at.get_mut(&late_at) else { return };
        self.all -= 1;
        *count -= 1;
        if *count == 0 {
            self.late_at.remove(&late_at);
        }
    }

    /// All of them.
    pub(crate) fn all(&self) -> u32 {
        self.all
    }

    /// Those that are not late.
    pub(crate) fn in_time(&self, now: Micros) -> u32 {
        self.all - self.late_at.range(..now).map(|(_, count)| count).sum::<u32>()
    }
}
