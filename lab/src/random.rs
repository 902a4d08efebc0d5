//! Random streams that are derived from the seed of a run. Each stream is named by its purpose and by the indices of
//! its subject, never by a position in a sequence: an additional host or call changes no draw of the others.

use crate::Micros;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution as _, Exp1, LogNormal, Pareto, Zipf};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::hash::Hasher;
use twox_hash::XxHash64;

/// A random stream: PCG XSL 128/64 (MCG), seeded by XXH64 of seed and name; both are the same on every machine.
#[derive(Clone, Debug)]
pub struct RandomStream(Pcg64Mcg);

/// Derives a seed from a seed, a purpose and an index.
pub fn derive_seed(seed: u64, purpose: &str, first: u64) -> u64 {
    let mut hash = XxHash64::with_seed(seed);
    hash.write(purpose.as_bytes());
    hash.write(&first.to_le_bytes());
    hash.finish()
}

impl RandomStream {
    /// Creates the stream of this seed, purpose and pair of indices.
    pub fn new(seed: u64, purpose: &str, first: u64, second: u64) -> RandomStream {
        RandomStream(Pcg64Mcg::seed_from_u64(derive_seed(derive_seed(seed, purpose, first), "", second)))
    }

    /// A uniform number from 0 to under 1.
    pub fn uniform(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    /// Whether an event of this probability happens.
    pub fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.uniform() < probability
    }

    /// A uniform integer below `most`; 0 if that is 0.
    pub fn below(&mut self, most: usize) -> usize {
        ((self.uniform() * most as f64) as usize).min(most.saturating_sub(1))
    }

    /// An exponentially distributed number with this mean, such as the time between independent arrivals.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let drawn: f64 = Exp1.sample(&mut self.0);
        drawn * mean
    }

    /// A rank from 1 to `most` by Zipf's law.
    pub fn zipf_rank(&mut self, most: u64, exponent: f64) -> u64 {
        Zipf::new(most as f64, exponent).map_or(1, |law| law.sample(&mut self.0) as u64)
    }

    /// A uniform random selection of `count` indices below `most`, in ascending order.
    pub fn sample_indices(&mut self, count: usize, most: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..most).collect();
        for place in 0..count.min(most) {
            let other = place + self.below(most - place);
            all.swap(place, other);
        }
        all.truncate(count);
        all.sort_unstable();
        all
    }
}

/// Distribution of the time that work takes on a warm, idle host.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "law", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Distribution {
    /// A constant.
    Fixed {
        /// The time in milliseconds.
        ms: f64,
    },
    /// Exponential, truncated at twenty times the mean.
    Exponential {
        /// Mean in milliseconds.
        mean_ms: f64,
    },
    /// Log-normal.
    LogNormal {
        /// Median in milliseconds.
        median_ms: f64,
        /// Standard deviation of the logarithm.
        sigma: f64,
    },
    /// Pareto: a heavy tail, truncated at a hundred times the minimum.
    Pareto {
        /// Minimum in milliseconds.
        least_ms: f64,
        /// Shape; the smaller, the heavier the tail.
        alpha: f64,
    },
}

impl Distribution {
    /// Draws a time in microseconds.
    pub fn sample(&self, stream: &mut RandomStream) -> f64 {
        let ms = match *self {
            Distribution::Fixed { ms } => ms,
            Distribution::Exponential { mean_ms } => stream.exponential(mean_ms).min(20.0 * mean_ms),
            Distribution::LogNormal { median_ms, sigma } => {
                LogNormal::new(median_ms.ln(), sigma).map_or(median_ms, |law| law.sample(&mut stream.0))
            }
            Distribution::Pareto { least_ms, alpha } => Pareto::new(least_ms, alpha)
                .map_or(least_ms, |law| law.sample(&mut stream.0))
                .min(100.0 * least_ms),
        };
        ms * 1e3
    }

    /// The mean in microseconds, without the truncation of the tail.
    pub fn mean(&self) -> f64 {
        1e3 * match *self {
            Distribution::Fixed { ms } => ms,
            Distribution::Exponential { mean_ms } => mean_ms,
            Distribution::LogNormal { median_ms, sigma } => median_ms * (sigma * sigma / 2.0).exp(),
            Distribution::Pareto { least_ms, alpha } if alpha > 1.0 => least_ms * alpha / (alpha - 1.0),
            Distribution::Pareto { least_ms, .. } => 10.0 * least_ms,
        }
    }

    /// Describes what is wrong with the parameters, if anything is.
    pub(crate) fn parameter_error(&self) -> Option<&'static str> {
        let (time, shape) = match *self {
            Distribution::Fixed { ms } => (ms, 1.0),
            Distribution::Exponential { mean_ms } => (mean_ms, 1.0),
            Distribution::LogNormal { median_ms, sigma } => (median_ms, sigma + 1e-9),
            Distribution::Pareto { least_ms, alpha } => (least_ms, alpha),
        };
        if !(time > 0.0 && time <= 60_000.0) {
            return Some("times must be above 0 and at most 60,000 ms");
        }
        (!(shape > 0.0 && shape <= 100.0)).then_some("shape parameters must be above 0 and at most 100")
    }
}

/// Converts seconds to whole microseconds.
pub fn micros_from_seconds(seconds: f64) -> Micros {
    (seconds * 1e6).round().max(0.0) as Micros
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn streams_depend_only_on_seed_and_name() {
        let draw = |seed, purpose, first| RandomStream::new(seed, purpose, first, 0).uniform();
        assert_eq!(draw(1, "service", 2), draw(1, "service", 2));
        assert!(draw(1, "service", 2) != draw(2, "service", 2));
        assert!(draw(1, "service", 2) != draw(1, "gap", 2) && draw(1, "service", 2) != draw(1, "service", 3));
    }

    #[test]
    fn distributions_have_their_declared_mean() {
        let distributions = [
            Distribution::Fixed { ms: 4.0 },
            Distribution::Exponential { mean_ms: 4.0 },
            Distribution::LogNormal { median_ms: 4.0, sigma: 0.5 },
            Distribution::Pareto { least_ms: 4.0, alpha: 3.0 },
        ];
        for distribution in distributions {
            let count = 40_000;
            let sum: f64 =
                (0..count).map(|n| distribution.sample(&mut RandomStream::new(7, "law", n, 0))).sum();
            let by_mean = sum / count as f64 / distribution.mean();
            assert!((0.97..1.03).contains(&by_mean), "{distribution:?}: {by_mean}");
        }
    }
}
