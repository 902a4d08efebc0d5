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
/// A refusal or a reset after this or more is that of a discovery that is down: the call was let run out.
const RAN_OUT: Duration = Duration::from_secs(1);
/// For so long a sign that discovery is up speaks against calls that seem to have run out.
const UP_FOR: Duration = Duration::from_secs(6);

/// What failed calls prove.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing.
    Unknown,
    /// Discovery is down.
    Down,
    /// Discovery is up, and what one call before has shown was no outage.
    NeverDown,
}

/// What the calls of one process have shown of discovery.
#[derive(Debug, Default)]
pub struct Outage {
    /// When a call last showed that discovery is up and refuses.
    seen_up: Option<Instant>,
    /// How many watches in a row have shown that it is down.
    seen_down: u32,
}

impl Outage {
    /// Takes in the calls of a watch that all failed by `now`, in the order in which they were begun.
    pub fn judge(&mut self, calls: &[FailedCall], now: Instant) -> Verdict {
        if calls.iter().any(shows_up) {
            self.seen_up = Some(now);
            // A crowd may let one call run out. Two are an outage, which may be over now.
            let once = std::mem::take(&mut self.seen_down) == 1;
            return if once { Verdict::NeverDown } else { Verdict::Unknown };
        }
        let nobody_listens = |call: &FailedCall| matches!(call.failure, CallFailure::ConnectionRefused(_));
        let let_run_out = |call: &FailedCall| match call.failure {
            CallFailure::Refused(_) => true,
            CallFailure::Broken(_) => call.took >= RAN_OUT,
            _ => false,
        };
        let longest = calls.iter().map(|call| call.took).max();
        let seen_up = self.seen_up.is_some_and(|at| now < at + UP_FOR);
        let ran_out = !seen_up && longest.is_some_and(|took| took >= RAN_OUT);
        if !calls.is_empty() && calls.iter().all(nobody_listens) {
            self.seen_down = 2;
            Verdict::Down
        } else if ran_out && calls.iter().all(let_run_out) {
            self.seen_down += 1;
            Verdict::Down
        } else {
            Verdict::Unknown
        }
    }

    /// A call was answered.
    pub fn answered(&mut self) {
        self.seen_down = 0;
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
        FailedCall { took: Duration::from_millis(took), cut_since: None, bytes: 0, failure }
    }

    fn refused(took: u64) -> FailedCall {
        call(took, CallFailure::Refused(StatusCode::SERVICE_UNAVAILABLE))
    }

    fn proven(calls: &[FailedCall]) -> bool {
        Outage::default().judge(calls, Instant::now()) == Verdict::Down
    }

    #[test]
    fn calls_that_are_let_run_out_or_meet_nobody_prove_an_outage() {
        assert!(proven(&[refused(2_000)]));
        assert!(proven(&[refused(3_000), refused(750)]));
        // The protocol has a call that fails end with 503 or a reset.
        assert!(proven(&[call(2_000, CallFailure::Broken("connection reset".into()))]));
        assert!(proven(&[call(0, CallFailure::ConnectionRefused("refused".into()))]));
    }

    #[test]
    fn a_crowd_a_broken_path_and_errors_of_this_machine_prove_nothing() {
        assert!(!proven(&[]));
        assert!(!proven(&[refused(5)]), "refused at once");
        assert!(!proven(&[refused(2_256), refused(5)]), "the second one was refused at once");
        let unreachable = || CallFailure::NoConnection("network is unreachable".into());
        let broken = || CallFailure::Broken("connection reset".into());
        for (took, failure) in [
            (0, unreachable()),
            (1_000, unreachable()),
            (4_500, unreachable()),
            (0, broken()),
            (999, broken()),
            (1_000, CallFailure::TimedOut),
            (6_000, CallFailure::TimedOut),
        ] {
            let calls = [refused(2_000), call(took, failure)];
            assert!(!proven(&calls[1..]) && !proven(&calls), "{calls:?}");
        }
    }

    #[test]
    fn a_discovery_that_was_up_a_moment_ago_is_crowded_and_not_down() {
        let (mut outage, start) = (Outage::default(), Instant::now());
        let at = |seconds| start + Duration::from_secs(seconds);
        assert_eq!(outage.judge(&[refused(5)], start), Verdict::Unknown);
        assert_eq!(outage.judge(&[refused(2_900)], at(4)), Verdict::Unknown);
        assert_eq!(outage.judge(&[refused(2_900)], start + UP_FOR), Verdict::Down);
        let nobody = [call(0, CallFailure::ConnectionRefused("refused".into()))];
        assert_eq!(outage.judge(&nobody, at(20)), Verdict::Down);
        assert_eq!(outage.judge(&[refused(5)], at(21)), Verdict::Unknown, "it is back");
        assert_eq!(outage.judge(&nobody, at(22)), Verdict::Down, "nobody listens there any more");
    }

    #[test]
    fn one_call_that_ran_out_before_a_refusal_was_no_outage() {
        let (mut outage, start) = (Outage::default(), Instant::now());
        let at = |seconds| start + Duration::from_secs(seconds);
        assert_eq!(outage.judge(&[refused(2_900)], at(3)), Verdict::Down);
        assert_eq!(outage.judge(&[refused(5)], at(4)), Verdict::NeverDown);
        for second in [20, 23] {
            assert_eq!(outage.judge(&[refused(2_900)], at(second)), Verdict::Down);
        }
        assert_eq!(outage.judge(&[refused(5)], at(24)), Verdict::Unknown, "two were one");
        assert_eq!(outage.judge(&[refused(2_900)], at(40)), Verdict::Down);
        outage.answered();
        assert_eq!(outage.judge(&[refused(5)], at(41)), Verdict::Unknown, "a list came meanwhile");
    }
}
