//! Whether calls that have failed prove that discovery is down.
//!
//! While discovery is down nothing new counts as notified, and the list in hand may be sent by for longer. What one process
//! sees of a broken path, of a crowd, or of errors of its own looks much alike, and proves nothing: then discovery may be
//! up, and what it has counts.

use super::call::{CallFailure, FailedCall};
use std::time::Duration;
use tokio::time::Instant;

/// A discovery that is up refuses at once what it has no room for.
const REFUSED_AT_ONCE: Duration = Duration::from_millis(100);
/// A refusal after this or more is that of a discovery that is down: the call was let run out.
const RAN_OUT: Duration = Duration::from_secs(1);
/// For so long a sign that discovery is up speaks against calls that seem to have run out.
const UP_FOR: Duration = Duration::from_secs(6);

/// What the calls of one process have shown of discovery.
#[derive(Debug, Default)]
pub struct Outage {
    /// When a call last showed that discovery is up and refuses.
    seen_up: Option<Instant>,
}

impl Outage {
    /// Takes in the calls of a watch that all failed by `now`, in the order in which they were begun, and returns whether
    /// they prove that discovery is down.
    pub fn is_proven(&mut self, calls: &[FailedCall], now: Instant) -> bool {
        if calls.iter().any(shows_up) {
            self.seen_up = Some(now);
        }
        let nobody_listens = |call: &FailedCall| matches!(call.failure, CallFailure::ConnectionRefused(_));
        if !calls.is_empty() && calls.iter().all(nobody_listens) {
            return true;
        }
        let let_run_out = |call: &FailedCall| matches!(call.failure, CallFailure::Refused(_));
        let longest = calls.iter().map(|call| call.took).max();
        let seen_up = self.seen_up.is_some_and(|at| now < at + UP_FOR);
        !seen_up && calls.iter().all(let_run_out) && longest.is_some_and(|took| took >= RAN_OUT)
    }
}

/// Whether a call was read and refused by a discovery that is up.
fn shows_up(call: &FailedCall) -> bool {
    matches!(call.failure, CallFailure::Refused(_)) && call.took < REFUSED_AT_ONCE
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::StatusCode;

    fn call(took: u64, failure: CallFailure) -> FailedCall {
        FailedCall { took: Duration::from_millis(took), bytes: 0, failure }
    }

    fn refused(took: u64) -> FailedCall {
        call(took, CallFailure::Refused(StatusCode::SERVICE_UNAVAILABLE))
    }

    fn proven(calls: &[FailedCall]) -> bool {
        Outage::default().is_proven(calls, Instant::now())
    }

    #[test]
    fn calls_that_are_let_run_out_or_meet_nobody_prove_an_outage() {
        assert!(proven(&[refused(2_000)]));
        assert!(proven(&[refused(3_000), refused(750)]));
        assert!(proven(&[call(0, CallFailure::ConnectionRefused("refused".into()))]));
    }

    #[test]
    fn a_crowd_a_broken_path_and_errors_of_this_machine_prove_nothing() {
        assert!(!proven(&[]));
        assert!(!proven(&[refused(5)]), "refused at once");
        assert!(!proven(&[refused(2_256), refused(5)]), "the second one was refused at once");
        for took in [0, 1_000, 4_500] {
            for failure in [
                CallFailure::NoConnection("network is unreachable".into()),
                CallFailure::Broken("connection reset".into()),
                CallFailure::TimedOut,
            ] {
                let calls = [refused(2_000), call(took, failure)];
                assert!(!proven(&calls[1..]) && !proven(&calls), "{calls:?}");
            }
        }
    }

    #[test]
    fn a_discovery_that_was_up_a_moment_ago_is_crowded_and_not_down() {
        let (mut outage, start) = (Outage::default(), Instant::now());
        assert!(!outage.is_proven(&[refused(5)], start));
        assert!(!outage.is_proven(&[refused(2_900)], start + Duration::from_secs(4)));
        assert!(outage.is_proven(&[refused(2_900)], start + UP_FOR));
        let nobody = [call(0, CallFailure::ConnectionRefused("refused".into()))];
        assert!(!outage.is_proven(&[refused(5)], start + 2 * UP_FOR));
        assert!(outage.is_proven(&nobody, start + 2 * UP_FOR), "nobody listens there any more");
    }
}
