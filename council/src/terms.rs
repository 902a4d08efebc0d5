//! How long a lease is, and what clocks it bears.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// A lease's length, and by how much a clock may be off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Terms {
    /// By true time.
    pub length: Micros,
    /// By how many millionths a process's monotonic clock may run too fast or too slow.
    pub drift: u32,
}

/// A million: the whole.
const WHOLE: u64 = 1_000_000;
/// Most drift that is borne: a clock that is off by a half is no clock.
const DRIFT_MOST: u32 = 500_000;

impl Default for Terms {
    /// Ten seconds, and clocks that are off by 5%. Clocks of machines are off by 0.05% at the worst, those of virtual
    /// machines that are held up by more.
    fn default() -> Self {
        Terms { length: 10_000_000, drift: 50_000 }
    }
}

impl Terms {
    /// # Errors
    ///
    /// The length is none that a lease can have (10 ms to an hour), or the drift is over a half.
    pub fn check(self) -> Result<(), String> {
        match ((10_000..=3_600_000_000).contains(&self.length), self.drift <= DRIFT_MOST) {
            (false, _) => Err("a lease lasts 10 ms to an hour".to_owned()),
            (_, false) => Err("a clock is off by a half at the most".to_owned()),
            _ => Ok(()),
        }
    }

    /// For how long its holder has it, by its own clock, from when it asked. A slow clock shows less than has passed: what
    /// it shows after the length by true time is the length less the drift.
    pub fn held_for(self) -> Micros {
        (u128::from(self.length) * u128::from(WHOLE - u64::from(self.drift)) / u128::from(WHOLE)) as Micros
    }

    /// When it is taken back, by the keeper's clock, from when it saw it. A fast clock shows more than has passed.
    pub fn kept_for(self) -> Micros {
        let whole = u128::from(WHOLE);
        (u128::from(self.length) * (whole + u128::from(self.drift))).div_ceil(whole) as Micros
    }
}
