//! Histograms of durations, for the log and for state snapshots.

use std::fmt;
use std::ops::AddAssign;
use std::time::Duration;

/// Upper bounds of all buckets but the last, in milliseconds.
const BOUNDS_MS: [u64; 5] = [1, 3, 10, 30, 100];

/// Counts durations by order of magnitude: under 1, 3, 10, 30 and 100 ms, and longer ones.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub struct DurationHistogram {
    counts: [u64; BOUNDS_MS.len() + 1],
}

impl DurationHistogram {
    /// Counts one duration.
    pub fn record(&mut self, duration: Duration) {
        let bucket = BOUNDS_MS.partition_point(|bound| Duration::from_millis(*bound) <= duration);
        self.counts[bucket] += 1;
    }

    /// The number of durations counted.
    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Each bucket's upper bound, `None` for the last, and its count.
    pub fn buckets(&self) -> impl Iterator<Item = (Option<Duration>, u64)> {
        let bounds = BOUNDS_MS.into_iter().map(|bound| Some(Duration::from_millis(bound)));
        bounds.chain([None]).zip(self.counts)
    }
}

impl AddAssign for DurationHistogram {
    fn add_assign(&mut self, other: DurationHistogram) {
        for (count, more) in self.counts.iter_mut().zip(other.counts) {
            *count += more;
        }
    }
}

impl fmt::Debug for DurationHistogram {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut map = f.debug_map();
        for (bound, count) in self.buckets() {
            match bound {
                Some(bound) => map.entry(&format_args!("<{bound:?}"), &count),
                None => map.entry(&format_args!("longer"), &count),
            };
        }
        map.finish()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_duration_is_counted_below_the_next_bound() {
        let mut histogram = DurationHistogram::default();
        for micros in [0, 999, 1_000, 9_999, 10_000, 99_999, 100_000, 5_000_000] {
            histogram.record(Duration::from_micros(micros));
        }
        let counts: Vec<u64> = histogram.buckets().map(|(_, count)| count).collect();
        assert_eq!((counts, histogram.total()), (vec![2, 1, 1, 1, 1, 2], 8));
        assert_eq!(format!("{histogram:?}"), "{<1ms: 2, <3ms: 1, <10ms: 1, <30ms: 1, <100ms: 1, longer: 2}");
    }

    #[test]
    fn histograms_are_added_bucket_by_bucket() {
        let (mut sum, mut other) = (DurationHistogram::default(), DurationHistogram::default());
        sum.record(Duration::from_millis(2));
        other.record(Duration::from_millis(2));
        other.record(Duration::from_secs(1));
        sum += other;
        assert_eq!(sum.buckets().map(|(_, count)| count).collect::<Vec<_>>(), [0, 2, 0, 0, 0, 1]);
    }
}
