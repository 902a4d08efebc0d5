//! Whether a request that was handed to another shard has been taken there: the proof that it never ran.

use crate::sync::{AtomicU8, Ordering};

const QUEUED: u8 = 0;
const ACCEPTED: u8 = 1;
const CANCELLED: u8 = 2;

/// Goes with a request from shard to shard. Either the one takes it or the other withdraws it, never both, however the
/// two meet; what was withdrawn surely never ran.
#[derive(Debug)]
pub struct HandoverToken(AtomicU8);

impl Default for HandoverToken {
    fn default() -> HandoverToken {
        HandoverToken(AtomicU8::new(QUEUED))
    }
}

impl HandoverToken {
    fn decide(&self, to: u8) -> bool {
        self.0.compare_exchange(QUEUED, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// The shard that it came to takes it. `false`: it was withdrawn, and must not run.
    #[must_use]
    pub fn accept(&self) -> bool {
        self.decide(ACCEPTED)
    }

    /// The shard that it came from withdraws it. `false`: it was taken, and may run or have run.
    #[must_use]
    pub fn cancel(&self) -> bool {
        self.decide(CANCELLED)
    }
}
