//! Whether a request that was handed over to another shard was accepted there. A request that was cancelled before it
//! was accepted certainly never ran.

use crate::sync::{AtomicU8, Ordering};

const QUEUED: u8 = 0;
const ACCEPTED: u8 = 1;
const CANCELLED: u8 = 2;

/// Accompanies a request that is handed over from one shard to another. Either the receiving shard accepts it or the
/// sending shard cancels it, never both, however the two race. A cancelled request certainly never ran.
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

    /// Called by the receiving shard. `false`: the request was cancelled, and must not run.
    #[must_use]
    pub fn accept(&self) -> bool {
        self.decide(ACCEPTED)
    }

    /// Called by the sending shard. `false`: the request was accepted, and may run or may have run.
    #[must_use]
    pub fn cancel(&self) -> bool {
        self.decide(CANCELLED)
    }
}
