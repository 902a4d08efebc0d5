//! Whether a request that was handed to another shard has been taken there: the proof that it never ran.

use crate::sync::{AtomicU8, Ordering};

const QUEUED: u8 = 0;
const TAKEN: u8 = 1;
const WITHDRAWN: u8 = 2;

/// Goes with a request from shard to shard. Either the one takes it or the other withdraws it, never both, however the
/// two meet; what was withdrawn surely never ran.
#[derive(Debug)]
pub struct Ticket(AtomicU8);

impl Default for Ticket {
    fn default() -> Ticket {
        Ticket(AtomicU8::new(QUEUED))
    }
}

impl Ticket {
    fn turn(&self, to: u8) -> bool {
        self.0.compare_exchange(QUEUED, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// The shard that it came to takes it. `false`: it was withdrawn, and must not run.
    #[must_use]
    pub fn take(&self) -> bool {
        self.turn(TAKEN)
    }

    /// The shard that it came from withdraws it. `false`: it was taken, and may run or have run.
    #[must_use]
    pub fn withdraw(&self) -> bool {
        self.turn(WITHDRAWN)
    }
}
