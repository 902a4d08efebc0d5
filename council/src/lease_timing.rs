//! How long a lease is, and what clocks it bears.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// A lease's length, and by how much a clock may be off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTiming {
    /// By true time.
    #[serde(rename = "length")]
    pub duration: Micros,
    /// By how many millionths a process's monotonic clock may run too fast or too slow.
    #[serde(rename = "drift")]
    pub max_drift_ppm: u32,
}

/// A million: the whole.
const MILLION: u64 = 1_000_000;
/// Most drift that is borne: a clock that is off by a half is no clock.
const MAX_DRIFT_PPM: u32 = 500_000;

impl Default for LeaseTiming {
    /// Ten seconds, and clocks that are off by 5%. Clocks of machines are off by 0.05% at the worst, those of virtual
    /// machines that are held up by more.
    fn default() -> Self {
        LeaseTiming { duration: 10_000_000, max_drift_ppm: 50_000 }
    }
}

impl LeaseTiming {
    /// # Errors
    ///
    /// The length is none that a lease can have (10 ms to an hour), or the drift is over a half.
    pub fn validate(self) -> Result<(), String> {
        match ((10_000..=3_600_000_000).contains(&self.duration), self.max_drift_ppm <= MAX_DRIFT_PPM) {
            (false, _) => Err("a lease lasts 10 ms to an hour".to_owned()),
            (_, false) => Err("a clock is off by a half at the most".to_owned()),
            _ => Ok(()),
        }
    }

    /// For how long its holder has it, by its own clock, from when it asked. A slow clock shows less than has passed: what
    /// it shows after the length by true time is the length less the drift.
    pub fn holder_duration(self) -> Micros {
        (u128::from(self.duration) * u128::from(MILLION - u64::from(self.max_drift_ppm))
            / u128::from(MILLION)) as Micros
    }

    /// When it is taken back, by the keeper's clock, from when it saw it. A fast clock shows more than has passed.
    pub fn expiry_delay(self) -> Micros {
        let million = u128::from(MILLION);
        (u128::from(self.duration) * (million + u128::from(self.max_drift_ppm))).div_ceil(million) as Micros
    }
}
