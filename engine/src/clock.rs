//! The proxy's clock.

use crate::net;
use nettleworks_policy::Micros;
use std::time::Duration;
use tokio::time::Instant;

/// Counts from Unix time at the start, so that start times of hosts can be told in it, and never goes back, whatever is
/// done to the system's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    start_micros: Micros,
}

impl Clock {
    pub fn new() -> Clock {
        Clock { start: Instant::now(), start_micros: net::unix_time().as_micros() as Micros }
    }

    pub fn micros_at(&self, instant: Instant) -> Micros {
        self.start_micros + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    pub fn instant_at(&self, micros: Micros) -> Instant {
        self.start + Duration::from_micros(micros.saturating_sub(self.start_micros))
    }
}
