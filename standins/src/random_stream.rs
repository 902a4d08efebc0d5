//! Random draws from a seed.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::hash::{Hash, Hasher};
use std::time::Duration;
use twox_hash::XxHash64;

/// A stream of random draws that is the same for the same seed and the same names.
#[derive(Clone, Debug)]
pub struct RandomStream(Pcg32);

impl RandomStream {
    /// The stream of a seed that these names identify.
    pub fn new(seed: u64, names: impl Hash) -> RandomStream {
        // The standard library's hasher may change between versions, which would change the draws.
        let mut hash = XxHash64::with_seed(seed);
        names.hash(&mut hash);
        RandomStream(Pcg32::seed_from_u64(hash.finish()))
    }

    /// A number from 0 (included) to 1 (excluded).
    pub fn uniform(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// `true` with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.uniform() < probability
    }

    /// A whole number from 0 to below `bound`; 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.uniform() * bound as f64) as usize
    }

    /// An exponentially distributed time with this mean, limited to eight times the mean.
    pub fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64((-(1.0 - self.uniform()).ln()).min(8.0))
    }

    /// This number of random bytes.
    pub fn bytes(&mut self, count: usize) -> Vec<u8> {
        let mut bytes = vec![0; count];
        self.0.fill_bytes(&mut bytes);
        bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn draws_depend_on_seed_and_names_alone() {
        let draw = |seed, name: &str| RandomStream::new(seed, (name, 3)).bytes(16);
        assert_eq!(draw(7, "a"), draw(7, "a"));
        assert_ne!(draw(7, "a"), draw(8, "a"));
        assert_ne!(draw(7, "a"), draw(7, "b"));
        let mut random = RandomStream::new(1, "mean");
        let mean: f64 =
            (0..20_000).map(|_| random.exponential(Duration::from_millis(10)).as_secs_f64()).sum::<f64>()
                / 20_000.0;
        assert!((0.0095..0.0105).contains(&mean), "{mean}");
    }
}
