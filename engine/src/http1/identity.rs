//! Decides whether another process may serve at a host's address by now. No I/O.
//!
//! When a host's process ends, its connections break, and another process may come up at its address before the list
//! tells. That one does not know which keys the old one has run.

use std::time::Duration;
use tokio::time::Instant;

/// Time after a broken connection within which the list tells that another process has come up.
const NOTIFICATION_TIME: Duration = Duration::from_secs(7);

/// When connections to a host at one address broke.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessIdentity(Option<Doubt>);

#[derive(Clone, Copy, Debug)]
struct Doubt {
    /// The first of the breaks that followed each other within the notification time.
    since: Instant,
    last: Instant,
}

impl ProcessIdentity {
    /// Records that a connection broke under a request, or that the host refused one.
    pub fn record_break(&mut self, now: Instant) {
        let since = self.in_doubt_since(now).unwrap_or(now);
        self.0 = Some(Doubt { since, last: now });
    }

    /// Since when another process may have come up: a connection that was opened later may be to that one. `None` if the
    /// list has had the time to tell.
    pub fn in_doubt_since(&self, now: Instant) -> Option<Instant> {
        self.0.filter(|doubt| now < doubt.last + NOTIFICATION_TIME).map(|doubt| doubt.since)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_process_is_in_doubt_until_the_list_must_have_told() {
        let (mut identity, start) = (ProcessIdentity::default(), Instant::now());
        assert_eq!(identity.in_doubt_since(start), None);
        identity.record_break(start);
        let later = start + Duration::from_secs(6);
        identity.record_break(later);
        assert_eq!(identity.in_doubt_since(later + Duration::from_secs(6)), Some(start));
        let told = later + NOTIFICATION_TIME;
        assert_eq!(identity.in_doubt_since(told), None);
        identity.record_break(told);
        assert_eq!(identity.in_doubt_since(told), Some(told));
    }
}
