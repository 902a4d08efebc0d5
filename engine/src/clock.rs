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
    origin: Micros,
}

impl Clock {
    pub fn new() -> Clock {
        Clock { start: Instant::now(), origin: net::since_1970().as_micros() as Micros }
    }

    pub fn at(&self, instant: Instant) -> Micros {
        self.origin + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.origin))
    }
}
