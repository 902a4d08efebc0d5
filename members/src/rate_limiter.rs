//! Rate limiting.

use crate::Micros;

/// Token bucket: refills at a rate per second and holds the tokens of one second.
#[derive(Clone, Copy, Debug)]
pub struct RateLimiter {
    /// Available tokens, in millionths.
    micro_tokens: u64,
    per_second: u64,
    refilled_at: Micros,
}

impl RateLimiter {
    /// A full bucket.
    pub fn new(per_second: u32, now: Micros) -> RateLimiter {
        let per_second = u64::from(per_second);
        RateLimiter { micro_tokens: per_second * 1_000_000, per_second, refilled_at: now }
    }

    /// Takes a token; `false` if none is available.
    pub fn try_acquire(&mut self, now: Micros) -> bool {
        let refill = now.saturating_sub(self.refilled_at).saturating_mul(self.per_second);
        self.micro_tokens = self.micro_tokens.saturating_add(refill).min(self.per_second * 1_000_000);
        self.refilled_at = self.refilled_at.max(now);
        let allowed = self.micro_tokens >= 1_000_000;
        if allowed {
            self.micro_tokens -= 1_000_000;
        }
        allowed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn allows_a_full_burst_and_then_the_rate() {
        let mut limiter = RateLimiter::new(5, 0);
        assert_eq!((0..9).filter(|_| limiter.try_acquire(0)).count(), 5);
        assert!(!limiter.try_acquire(199_999) && limiter.try_acquire(200_000));
        assert_eq!((0..9).filter(|_| limiter.try_acquire(90_000_000)).count(), 5);
        // A clock that does not advance or goes back adds no tokens.
        assert!(!limiter.try_acquire(1));
    }
}
