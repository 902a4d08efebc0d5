//! Tests of the choice of a connection.

use super::reuse::{Choice, ReusePolicy, MAX_SETTLE_TIME, MAX_WAIT};
use std::time::Duration;
use tokio::time::Instant;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The choice at `now` for connections that have been idle since these times, all in milliseconds.
fn choose(policy: &mut ReusePolicy, start: Instant, idle_since: &[u64], now: u64, left: u64) -> Choice {
    let idle_since: Vec<Instant> = idle_since.iter().map(|at| start + ms(*at)).collect();
    let now = start + ms(now);
    policy.choose(&idle_since, |since| *since, now, now + ms(left))
}

/// A connection that had just answered was used where there was no other, and a second response that came a few
/// milliseconds later was served as the response to another request.
#[test]
fn a_connection_is_never_used_before_it_has_settled() {
    let start = Instant::now();
    for surplus_delay in [None, Some(0), Some(9), Some(15), Some(40), Some(100), Some(5_000)] {
        for now in 0..400 {
            for idle_since in [&[0][..], &[0, 5], &[0, 5, 6, 150], &[150, 380]] {
                let idle_since: Vec<u64> = idle_since.iter().copied().filter(|at| *at <= now).collect();
                let mut policy = ReusePolicy::default();
                surplus_delay.iter().for_each(|delay| policy.record_surplus(ms(*delay), start));
                let settle_time = surplus_delay.map_or(20, |delay| (2 * delay).clamp(20, 200));
                let settled_at = |index: usize| idle_since[index] + settle_time;
                match choose(&mut policy, start, &idle_since, now, 10_000) {
                    Choice::Use(index) => {
                        assert!(settled_at(index) <= now);
                        let next_is_settled = idle_since.get(index + 1).map(|at| at + settle_time <= now);
                        assert_ne!(next_is_settled, Some(true), "the most recently used one is chosen");
                    }
                    Choice::Wait { index, until } => {
                        assert_eq!((index, until), (0, start + ms(settled_at(0))));
                        assert!(until > start + ms(now) && until <= start + ms(now) + MAX_WAIT);
                    }
                    Choice::Open => {
                        assert!(idle_since.first().is_none_or(|at| at + settle_time > now + 40));
                    }
                }
            }
        }
    }
}

#[test]
fn a_request_with_little_time_left_opens_a_connection_rather_than_wait() {
    let start = Instant::now();
    let mut policy = ReusePolicy::default();
    let wait = Choice::Wait { index: 0, until: start + ms(20) };
    assert_eq!(choose(&mut policy, start, &[0], 10, 40), wait);
    assert_eq!(choose(&mut policy, start, &[0], 10, 39), Choice::Open);
    assert_eq!(choose(&mut policy, start, &[0], 20, 1), Choice::Use(0));
    assert_eq!(choose(&mut policy, start, &[0], 10, 0), Choice::Open);
}

#[test]
fn a_connection_is_opened_once_requests_have_waited_for_long_in_total() {
    let start = Instant::now();
    let mut policy = ReusePolicy::default();
    for _ in 0..3 {
        for _ in 0..25 {
            assert!(matches!(choose(&mut policy, start, &[0], 0, 1_000), Choice::Wait { .. }));
        }
        assert_eq!(choose(&mut policy, start, &[0], 0, 1_000), Choice::Open);
    }
}

#[test]
fn surplus_bytes_lengthen_the_settle_time_of_their_host_for_a_while() {
    let start = Instant::now();
    let mut policy = ReusePolicy::default();
    assert_eq!(policy.settle_time(start), ms(20));
    policy.record_surplus(ms(30), start);
    assert_eq!(policy.settle_time(start), ms(60));
    policy.record_surplus(ms(3), start + ms(59_999));
    assert_eq!(policy.settle_time(start + ms(60_000)), ms(60), "the longest delay counts");
    assert_eq!(policy.settle_time(start + ms(119_998)), ms(60));
    assert_eq!(policy.settle_time(start + ms(119_999)), ms(20));
    policy.record_surplus(ms(12), start + ms(119_999));
    assert_eq!(policy.settle_time(start + ms(120_000)), ms(24), "an old delay is forgotten");
    policy.record_surplus(ms(10_000), start + ms(120_000));
    assert_eq!(policy.settle_time(start + ms(120_000)), MAX_SETTLE_TIME);
}
