//! Retry budget and outlier ejection with the defaults of Envoy's published documentation: "Circuit breaking" and
//! "Outlier detection" of its architecture overview, and the API reference of `RetryPolicy`, `CircuitBreakers` and
//! `OutlierDetection`. The constants are named after its fields.

use super::selection::HostSelector;
use nettleworks_policy::{Micros, Outcome, ServerId};
use std::collections::BTreeMap;

/// `retry_policy.num_retries`: 1.
const NUM_RETRIES: usize = 1;
/// `retry_back_off.base_interval`: 25 ms; `max_interval`: ten times that. The delay is random, from 0 to the interval.
const BASE_INTERVAL: f64 = 25_000.0;
const MAX_INTERVAL: f64 = 250_000.0;
/// `retry_budget.budget_percent`: 20% of active requests, and `min_retry_concurrency`: 3.
const BUDGET_PERCENT: f64 = 20.0;
const MIN_RETRY_CONCURRENCY: f64 = 3.0;
/// `outlier_detection.consecutive_5xx`: 5.
const CONSECUTIVE_5XX: u32 = 5;
/// `outlier_detection.interval`: 10 s.
const INTERVAL: Micros = 10_000_000;
/// `outlier_detection.base_ejection_time`: 30 s, times how often the host was ejected; `max_ejection_time`: 300 s.
const BASE_EJECTION_TIME: Micros = 30_000_000;
const MAX_EJECTION_TIME: Micros = 300_000_000;
/// `outlier_detection.max_ejection_percent`: 10%, but at least one host.
const MAX_EJECTION_PERCENT: usize = 10;
/// `outlier_detection.success_rate_minimum_hosts`: 5, `success_rate_request_volume`: 100, `success_rate_stdev_factor`:
/// 1,900 thousandths.
const SUCCESS_RATE_MINIMUM_HOSTS: usize = 5;
const SUCCESS_RATE_REQUEST_VOLUME: u32 = 100;
const SUCCESS_RATE_STDEV_FACTOR: f64 = 1.9;

/// Limits the number of concurrent retries.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryBudget {
    active_retries: usize,
}

impl RetryBudget {
    /// Grants a retry to a request after a number of attempts, given the number of active requests. Returns the delay
    /// before it, for which `jitter` is a random number from 0 to 1, or `None` if the request may not be retried.
    pub fn try_retry(&mut self, attempts: usize, active: usize, jitter: f64) -> Option<Micros> {
        let limit = (active as f64 * BUDGET_PERCENT / 100.0).max(MIN_RETRY_CONCURRENCY);
        if attempts > NUM_RETRIES || self.active_retries as f64 >= limit {
            return None;
        }
        self.active_retries += 1;
        let interval = (BASE_INTERVAL * f64::from(1_u32 << (attempts - 1).min(8))).min(MAX_INTERVAL);
        Some((interval * jitter) as Micros + 1)
    }

    /// Returns the place of a retry that has ended.
    pub fn release(&mut self) {
        self.active_retries = self.active_retries.saturating_sub(1);
    }
}

#[derive(Clone, Debug, Default)]
struct HostRecord {
    consecutive_failures: u32,
    /// Successful requests in the current interval.
    successes: u32,
    /// All requests in the current interval.
    requests: u32,
    /// Multiplier of the next ejection's time.
    ejections: u32,
    /// When the current ejection ends.
    ejected_until: Option<Micros>,
}

/// Outlier detection: ejects failing hosts for a time.
#[derive(Clone, Debug, Default)]
pub(super) struct OutlierDetection {
    hosts: BTreeMap<ServerId, HostRecord>,
    checked_at: Micros,
}

impl OutlierDetection {
    /// Records the outcome of a request to a host. Enough failures in a row eject the host.
    pub fn record(&mut self, now: Micros, server: ServerId, outcome: Outcome, selector: &mut HostSelector) {
        if matches!(outcome, Outcome::CalledOff | Outcome::NotSent | Outcome::Unusable) {
            return;
        }
        let host = self.hosts.entry(server).or_default();
        host.requests += 1;
        if outcome == Outcome::Served {
            host.successes += 1;
            host.consecutive_failures = 0;
            return;
        }
        host.consecutive_failures += 1;
        if host.consecutive_failures >= CONSECUTIVE_5XX {
            host.consecutive_failures = 0;
            self.eject(now, server, selector);
        }
    }

    /// Ejects a host unless it is ejected already or too many hosts are.
    fn eject(&mut self, now: Micros, server: ServerId, selector: &mut HostSelector) {
        let ejected = self.hosts.values().filter(|host| host.ejected_until.is_some()).count();
        let limit = (selector.listed_count() * MAX_EJECTION_PERCENT / 100).max(1);
        let host = self.hosts.entry(server).or_default();
        if host.ejected_until.is_some() || ejected >= limit {
            return;
        }
        host.ejections += 1;
        let time = (BASE_EJECTION_TIME * Micros::from(host.ejections)).min(MAX_EJECTION_TIME);
        host.ejected_until = Some(now + time);
        selector.set_ejected(server, true);
    }

    /// Once per interval, ends ejections that are over and ejects hosts whose success rate is an outlier.
    pub fn check(&mut self, now: Micros, selector: &mut HostSelector) {
        if now < self.checked_at + INTERVAL {
            return;
        }
        self.checked_at = now;
        for (&server, host) in &mut self.hosts {
            if host.ejected_until.is_some_and(|until| until <= now) {
                host.ejected_until = None;
                selector.set_ejected(server, false);
            } else if host.ejected_until.is_none() {
                host.ejections = host.ejections.saturating_sub(1);
            }
        }
        let rates: Vec<(ServerId, f64)> = self
            .hosts
            .iter()
            .filter(|(_, host)| host.requests >= SUCCESS_RATE_REQUEST_VOLUME)
            .map(|(&server, host)| (server, f64::from(host.successes) / f64::from(host.requests)))
            .collect();
        self.hosts.values_mut().for_each(|host| (host.successes, host.requests) = (0, 0));
        if rates.len() < SUCCESS_RATE_MINIMUM_HOSTS {
            return;
        }
        let count = rates.len() as f64;
        let mean = rates.iter().map(|(_, rate)| rate).sum::<f64>() / count;
        let deviation = (rates.iter().map(|(_, rate)| (rate - mean).powi(2)).sum::<f64>() / count).sqrt();
        for (server, rate) in rates {
            if rate < mean - SUCCESS_RATE_STDEV_FACTOR * deviation {
                self.eject(now, server, selector);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::selection::SelectionAlgorithm;
    use super::*;

    #[test]
    fn five_failures_in_a_row_eject_one_host_in_ten_for_30_s() {
        let mut selector = HostSelector::new(1, SelectionAlgorithm::LeastOfTwo);
        (0..10).for_each(|n| selector.set_listed(ServerId(n), true));
        let mut ejections = OutlierDetection::default();
        for server in [3, 4] {
            for _ in 0..5 {
                ejections.record(0, ServerId(server), Outcome::Error, &mut selector);
            }
        }
        // Only one of ten hosts may be ejected, so the second stays.
        let mut selected = std::collections::BTreeSet::new();
        selected.extend((0..400).filter_map(|_| selector.select(0, &[])).map(|server| server.0));
        assert!(!selected.contains(&3) && selected.contains(&4));
        ejections.check(31_000_000, &mut selector);
        selected.extend((0..400).filter_map(|_| selector.select(0, &[])).map(|server| server.0));
        assert!(selected.contains(&3));
    }

    #[test]
    fn a_fifth_of_active_requests_may_be_retries() {
        let mut budget = RetryBudget::default();
        let granted = (0..40).filter(|_| budget.try_retry(1, 100, 0.5).is_some()).count();
        assert_eq!(granted, 20);
        assert_eq!(budget.try_retry(2, 1_000, 0.5), None);
        budget.release();
        assert!(budget.try_retry(1, 100, 0.5).is_some());
    }
}
