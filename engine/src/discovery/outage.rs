//! Decides whether failed requests prove that discovery is down.
//!
//! While discovery is down no change counts as notified, so the present list may be used for longer. A broken network
//! path, an overloaded discovery and local errors look much the same to one process and prove nothing: discovery may be
//! up, and the changes it has sent count.

use super::request::{FailedRequest, RequestFailure};
use std::time::Duration;
use tokio::time::Instant;

/// A discovery that is up but overloaded refuses requests within this time.
const IMMEDIATE_REFUSAL: Duration = Duration::from_millis(100);
/// A refusal or reset after at least this time means that discovery is down: the request was held until it expired.
const HELD_REQUEST: Duration = Duration::from_secs(1);
/// How long evidence that discovery is up outweighs requests that seem to have been held.
const UP_EVIDENCE_LIFETIME: Duration = Duration::from_secs(6);

/// What failed requests prove about discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryStatus {
    /// The requests prove nothing.
    Unknown,
    /// Discovery is down.
    Down,
    /// Discovery is up, and the outage reported for the preceding watch was none.
    NeverDown,
}

/// Collects what the requests of one process have shown about discovery.
#[derive(Debug, Default)]
pub struct OutageDetector {
    /// When a request last showed that discovery is up and refuses requests.
    last_seen_up: Option<Instant>,
    /// The number of consecutive watches that showed discovery to be down.
    consecutive_down: u32,
}

impl OutageDetector {
    /// Evaluates the requests of a watch that have all failed by `now`, in the order in which they were started.
    pub fn assess(&mut self, requests: &[FailedRequest], now: Instant) -> DiscoveryStatus {
        if requests.iter().any(shows_discovery_up) {
            self.last_seen_up = Some(now);
            // An overloaded discovery may hold one request until it expires. Two such requests were an outage, which
            // may have ended.
            let was_single = std::mem::take(&mut self.consecutive_down) == 1;
            return if was_single { DiscoveryStatus::NeverDown } else { DiscoveryStatus::Unknown };
        }
        let is_connection_refused =
            |request: &FailedRequest| matches!(request.failure, RequestFailure::ConnectionRefused(_));
        let is_held_request = |request: &FailedRequest| match request.failure {
            RequestFailure::Refused(_) => true,
            RequestFailure::Broken(_) => request.duration >= HELD_REQUEST,
            _ => false,
        };
        let longest = requests.iter().map(|request| request.duration).max();
        let recently_up = self.last_seen_up.is_some_and(|at| now < at + UP_EVIDENCE_LIFETIME);
        let long_enough = !recently_up && longest.is_some_and(|took| took >= HELD_REQUEST);
        if !requests.is_empty() && requests.iter().all(is_connection_refused) {
            self.consecutive_down = 2;
            DiscoveryStatus::Down
        } else if long_enough && requests.iter().all(is_held_request) {
            self.consecutive_down += 1;
            DiscoveryStatus::Down
        } else {
            DiscoveryStatus::Unknown
        }
    }

    /// Records that a request was answered.
    pub fn answered(&mut self) {
        self.consecutive_down = 0;
    }
}

/// Whether a request was refused so soon that discovery must be up.
fn shows_discovery_up(request: &FailedRequest) -> bool {
    matches!(request.failure, RequestFailure::Refused(_)) && request.duration < IMMEDIATE_REFUSAL
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::StatusCode;

    fn failed(took: u64, failure: RequestFailure) -> FailedRequest {
        FailedRequest { duration: Duration::from_millis(took), incomplete_since: None, bytes: 0, failure }
    }

    fn refused(took: u64) -> FailedRequest {
        failed(took, RequestFailure::Refused(StatusCode::SERVICE_UNAVAILABLE))
    }

    fn proves_outage(requests: &[FailedRequest]) -> bool {
        OutageDetector::default().assess(requests, Instant::now()) == DiscoveryStatus::Down
    }

    #[test]
    fn held_or_connection_refused_requests_prove_an_outage() {
        assert!(proves_outage(&[refused(2_000)]));
        assert!(proves_outage(&[refused(3_000), refused(750)]));
        // By discovery's protocol a failed request ends with 503 or a reset.
        assert!(proves_outage(&[failed(2_000, RequestFailure::Broken("connection reset".into()))]));
        assert!(proves_outage(&[failed(0, RequestFailure::ConnectionRefused("refused".into()))]));
    }

    #[test]
    fn overload_network_failures_and_local_errors_prove_nothing() {
        assert!(!proves_outage(&[]));
        assert!(!proves_outage(&[refused(5)]), "refused at once");
        assert!(!proves_outage(&[refused(2_256), refused(5)]), "the second one was refused at once");
        let unreachable = || RequestFailure::NoConnection("network is unreachable".into());
        let broken = || RequestFailure::Broken("connection reset".into());
        for (took, failure) in [
            (0, unreachable()),
            (1_000, unreachable()),
            (4_500, unreachable()),
            (0, broken()),
            (999, broken()),
            (1_000, RequestFailure::TimedOut),
            (6_000, RequestFailure::TimedOut),
        ] {
            let requests = [refused(2_000), failed(took, failure)];
            assert!(!proves_outage(&requests[1..]) && !proves_outage(&requests), "{requests:?}");
        }
    }

    #[test]
    fn a_discovery_that_was_recently_up_is_overloaded_and_not_down() {
        let (mut outage, start) = (OutageDetector::default(), Instant::now());
        let at = |seconds| start + Duration::from_secs(seconds);
        assert_eq!(outage.assess(&[refused(5)], start), DiscoveryStatus::Unknown);
        assert_eq!(outage.assess(&[refused(2_900)], at(4)), DiscoveryStatus::Unknown);
        assert_eq!(outage.assess(&[refused(2_900)], start + UP_EVIDENCE_LIFETIME), DiscoveryStatus::Down);
        let not_listening = [failed(0, RequestFailure::ConnectionRefused("refused".into()))];
        assert_eq!(outage.assess(&not_listening, at(20)), DiscoveryStatus::Down);
        assert_eq!(outage.assess(&[refused(5)], at(21)), DiscoveryStatus::Unknown, "it is up again");
        assert_eq!(outage.assess(&not_listening, at(22)), DiscoveryStatus::Down, "nothing listens any more");
    }

    #[test]
    fn one_held_request_before_an_immediate_refusal_was_no_outage() {
        let (mut outage, start) = (OutageDetector::default(), Instant::now());
        let at = |seconds| start + Duration::from_secs(seconds);
        assert_eq!(outage.assess(&[refused(2_900)], at(3)), DiscoveryStatus::Down);
        assert_eq!(outage.assess(&[refused(5)], at(4)), DiscoveryStatus::NeverDown);
        for second in [20, 23] {
            assert_eq!(outage.assess(&[refused(2_900)], at(second)), DiscoveryStatus::Down);
        }
        assert_eq!(
            outage.assess(&[refused(5)], at(24)),
            DiscoveryStatus::Unknown,
            "two held requests were an outage"
        );
        assert_eq!(outage.assess(&[refused(2_900)], at(40)), DiscoveryStatus::Down);
        outage.answered();
        assert_eq!(
            outage.assess(&[refused(5)], at(41)),
            DiscoveryStatus::Unknown,
            "a request was answered meanwhile"
        );
    }
}
