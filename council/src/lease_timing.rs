//! The duration of a lease, and the clock drift that it tolerates.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// The duration of a lease, and the greatest drift of the clocks that measure it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTiming {
    /// In microseconds of true time.
    #[serde(rename = "length")]
    pub duration: Micros,
    /// By how many parts per million a process's monotonic clock may run too fast or too slow.
    #[serde(rename = "drift")]
    pub max_drift_ppm: u32,
}

/// Parts per million in the whole.
const MILLION: u64 = 1_000_000;
/// Greatest drift that can be configured: a clock that is off by more than half is useless.
const MAX_DRIFT_PPM: u32 = 500_000;

impl Default for LeaseTiming {
    /// Ten seconds, and a clock drift of 5%. Clocks of physical machines drift by 0.05% at worst, those of
    /// virtual machines that are paused by more.
    fn default() -> Self {
        LeaseTiming { duration: 10_000_000, max_drift_ppm: 50_000 }
    }
}

impl LeaseTiming {
    /// # Errors
    ///
    /// The duration is not between 10 ms and an hour, or the drift is more than a half.
    pub fn validate(self) -> Result<(), String> {
        match ((10_000..=3_600_000_000).contains(&self.duration), self.max_drift_ppm <= MAX_DRIFT_PPM) {
            (false, _) => Err("lease duration must be between 10 ms and an hour".to_owned()),
            (_, false) => Err("clock drift must be at most 50%".to_owned()),
            _ => Ok(()),
        }
    }

    /// For how long the lease is valid by its holder's clock, from when the request was sent. A slow clock
    /// shows less time than has passed: after the true duration it may show only the duration less the drift.
    pub fn holder_duration(self) -> Micros {
        (u128::from(self.duration) * u128::from(MILLION - u64::from(self.max_drift_ppm))
            / u128::from(MILLION)) as Micros
    }

    /// How long the leader waits by its clock before it expires the lease, from when it observed the grant or
    /// renewal. A fast clock shows more time than has passed.
    pub fn expiry_delay(self) -> Micros {
        let million = u128::from(MILLION);
        (u128::from(self.duration) * (million + u128::from(self.max_drift_ppm))).div_ceil(million) as Micros
    }
}
