//! Decides which connection to a host the next request uses. No I/O and no clock.
//!
//! A response carries nothing that names its request: on a kept connection, whatever arrives after a request was
//! written is taken for the response to it. A faulty host may send bytes that belong to no request, such as a second
//! copy of a response, some milliseconds after the response. A connection is therefore used again only after it has
//! been idle for the host's *settle time*, by which such bytes have arrived and are detected.

use std::time::Duration;
use tokio::time::Instant;

/// Settle time of a host that has not sent surplus bytes recently.
pub const MIN_SETTLE_TIME: Duration = Duration::from_millis(20);
/// Longest settle time. A connection that is idle for longer is used whatever its host has sent.
pub const MAX_SETTLE_TIME: Duration = Duration::from_millis(200);
/// The settle time of a host as a multiple of the longest delay of its surplus bytes.
const SETTLE_TIME_PER_DELAY: u32 = 2;
/// How long a host's surplus bytes lengthen its settle time.
const SURPLUS_MEMORY: Duration = Duration::from_secs(60);
/// Longest wait for a connection to settle.
pub(super) const MAX_WAIT: Duration = Duration::from_millis(40);
/// A request waits for at most this fraction of the time it has left.
pub(super) const MAX_WAIT_SHARE: u32 = 4;
/// Requests to a host wait for this long in total before another connection is opened to spare them the wait. Opening
/// one costs a host many times the overhead of a request.
const WAIT_BUDGET: Duration = Duration::from_millis(500);

/// Where the next request to a host goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The idle connection at this index.
    Use(usize),
    /// The idle connection at `index`, at the time `until`, when it has settled.
    Wait {
        /// Index of the connection.
        index: usize,
        /// When the connection has settled.
        until: Instant,
    },
    /// A new connection.
    Open,
}

/// The longest delay of surplus bytes from a host, and when the last ones were detected.
#[derive(Clone, Copy, Debug)]
struct Surplus {
    delay: Duration,
    detected_at: Instant,
}

/// What is known about the connections to one host.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReusePolicy {
    surplus: Option<Surplus>,
    /// Total wait of requests since a connection was last opened to spare them the wait.
    waited: Duration,
}

impl ReusePolicy {
    /// Records that bytes which belong to no response came `delay` after a response.
    pub fn record_surplus(&mut self, delay: Duration, now: Instant) {
        let known = self.recent_surplus(now).map_or(Duration::ZERO, |surplus| surplus.delay);
        self.surplus = Some(Surplus { delay: delay.max(known), detected_at: now });
    }

    fn recent_surplus(&self, now: Instant) -> Option<Surplus> {
        self.surplus.filter(|surplus| now.saturating_duration_since(surplus.detected_at) < SURPLUS_MEMORY)
    }

    /// How long a connection must have been idle before it is used again.
    pub fn settle_time(&self, now: Instant) -> Duration {
        self.recent_surplus(now).map_or(MIN_SETTLE_TIME, |surplus| {
            surplus.delay.saturating_mul(SETTLE_TIME_PER_DELAY).clamp(MIN_SETTLE_TIME, MAX_SETTLE_TIME)
        })
    }

    /// Chooses for a request that must be written by `deadline`. `idle` are the idle connections in the order of
    /// `idle_since`, the time since when one is idle.
    ///
    /// Of the settled connections the most recently used one is chosen, so that those not needed grow old and are
    /// closed. If none has settled, the request waits for the first that will, unless that takes too long.
    pub fn choose<T>(
        &mut self,
        idle: &[T],
        idle_since: impl Fn(&T) -> Instant,
        now: Instant,
        deadline: Instant,
    ) -> Choice {
        let settle_time = self.settle_time(now);
        let is_settled =
            |connection: &T| now.saturating_duration_since(idle_since(connection)) >= settle_time;
        let settled = idle.partition_point(is_settled);
        if settled > 0 {
            return Choice::Use(settled - 1);
        }
        let Some(first) = idle.first() else { return Choice::Open };
        let until = idle_since(first) + settle_time;
        let wait = until - now;
        let max_wait = MAX_WAIT.min(deadline.saturating_duration_since(now) / MAX_WAIT_SHARE);
        if wait > max_wait {
            return Choice::Open;
        }
        if self.waited + wait > WAIT_BUDGET {
            self.waited = Duration::ZERO;
            return Choice::Open;
        }
        self.waited += wait;
        Choice::Wait { index: 0, until }
    }
}
