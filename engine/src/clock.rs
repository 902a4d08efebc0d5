//! The clock of the engine: a monotonic clock that starts at the wall clock's time.

use crate::net;
use nettleworks_policy::Micros;
use std::time::Duration;
use tokio::time::Instant;

/// Converts between instants and microseconds of Unix time. The wall clock is read once, at creation, so that start
/// times of hosts can be expressed in the same unit; from then on the clock is monotonic, whatever is done to the
/// system's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    start_micros: Micros,
}

impl Clock {
    /// A clock that starts at the present Unix time.
    pub fn new() -> Clock {
        Clock { start: Instant::now(), start_micros: net::unix_time().as_micros() as Micros }
    }

    /// An instant in microseconds of this clock; instants before its creation give its start.
    pub fn micros_at(&self, instant: Instant) -> Micros {
        self.start_micros + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// The instant at `micros` of this clock; earlier times than its start give its start.
    pub fn instant_at(&self, micros: Micros) -> Instant {
        self.start + Duration::from_micros(micros.saturating_sub(self.start_micros))
    }
}
