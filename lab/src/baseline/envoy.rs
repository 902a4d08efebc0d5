//! Retry budget and outlier ejection with the defaults of Envoy's published documentation: "Circuit breaking" and
//! "Outlier detection" of its architecture overview, and the API reference of `RetryPolicy`, `CircuitBreakers` and
//! `OutlierDetection`. Names here are those of its fields.

use super::choice::Picker;
use nettleworks_policy::{Micros, Outcome, ServerId};
use std::collections::BTreeMap;

/// `retry_policy.num_retries`: 1.
const NUM_RETRIES: usize = 1;
/// `retry_back_off.base_interval`: 25 ms; `max_interval`: ten times that. The pause is drawn from 0 to the interval.
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
/// `outlier_detection.max_ejection_percent`: 10%, but one host at the least.
const MAX_EJECTION_PERCENT: usize = 10;
/// `outlier_detection.success_rate_minimum_hosts`: 5, `success_rate_request_volume`: 100, `success_rate_stdev_factor`:
/// 1,900 thousandths.
const SUCCESS_RATE_MINIMUM_HOSTS: usize = 5;
const SUCCESS_RATE_REQUEST_VOLUME: u32 = 100;
const SUCCESS_RATE_STDEV_FACTOR: f64 = 1.9;

/// How many retries there may be at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryBudget {
    out: usize,
}

impl RetryBudget {
    /// Whether a request that was tried so often may be tried again, and after which pause.
    pub fn retry(&mut self, tries: usize, active: usize, share: f64) -> Option<Micros> {
        let most = (active as f64 * BUDGET_PERCENT / 100.0).max(MIN_RETRY_CONCURRENCY);
        if tries > NUM_RETRIES || self.out as f64 >= most {
            return None;
        }
        self.out += 1;
        let interval = (BASE_INTERVAL * f64::from(1_u32 << (tries - 1).min(8))).min(MAX_INTERVAL);
        Some((interval * share) as Micros + 1)
    }

    /// A retry has ended.
    pub fn ended(&mut self) {
        self.out = self.out.saturating_sub(1);
    }
}

#[derive(Clone, Debug, Default)]
struct Seen {
    in_row: u32,
    good: u32,
    all: u32,
    times: u32,
    until: Option<Micros>,
}

/// Hosts that are left out for a while.
#[derive(Clone, Debug, Default)]
pub(super) struct Ejections {
    hosts: BTreeMap<ServerId, Seen>,
    looked: Micros,
}

impl Ejections {
    /// A request to a host has ended.
    pub fn ended(&mut self, now: Micros, server: ServerId, outcome: Outcome, picker: &mut Picker) {
        if matches!(outcome, Outcome::CalledOff | Outcome::NotSent | Outcome::Unusable) {
            return;
        }
        let host = self.hosts.entry(server).or_default();
        host.all += 1;
        if outcome == Outcome::Served {
            host.good += 1;
            host.in_row = 0;
            return;
        }
        host.in_row += 1;
        if host.in_row >= CONSECUTIVE_5XX {
            host.in_row = 0;
            self.eject(now, server, picker);
        }
    }

    fn eject(&mut self, now: Micros, server: ServerId, picker: &mut Picker) {
        let ejected = self.hosts.values().filter(|host| host.until.is_some()).count();
        let most = (picker.listed() * MAX_EJECTION_PERCENT / 100).max(1);
        let host = self.hosts.entry(server).or_default();
        if host.until.is_some() || ejected >= most {
            return;
        }
        host.times += 1;
        let time = (BASE_EJECTION_TIME * Micros::from(host.times)).min(MAX_EJECTION_TIME);
        host.until = Some(now + time);
        picker.eject(server, true);
    }

    /// Looks through the hosts, once an interval.
    pub fn look(&mut self, now: Micros, picker: &mut Picker) {
        if now < self.looked + INTERVAL {
            return;
        }
        self.looked = now;
        for (&server, host) in &mut self.hosts {
            if host.until.is_some_and(|until| until <= now) {
                host.until = None;
                picker.eject(server, false);
            } else if host.until.is_none() {
                host.times = host.times.saturating_sub(1);
            }
        }
        let rates: Vec<(ServerId, f64)> = self
            .hosts
            .iter()
            .filter(|(_, host)| host.all >= SUCCESS_RATE_REQUEST_VOLUME)
            .map(|(&server, host)| (server, f64::from(host.good) / f64::from(host.all)))
            .collect();
        self.hosts.values_mut().for_each(|host| (host.good, host.all) = (0, 0));
        if rates.len() < SUCCESS_RATE_MINIMUM_HOSTS {
            return;
        }
        let count = rates.len() as f64;
        let mean = rates.iter().map(|(_, rate)| rate).sum::<f64>() / count;
        let spread = (rates.iter().map(|(_, rate)| (rate - mean).powi(2)).sum::<f64>() / count).sqrt();
        for (server, rate) in rates {
            if rate < mean - SUCCESS_RATE_STDEV_FACTOR * spread {
                self.eject(now, server, picker);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::choice::Choice;
    use super::*;

    #[test]
    fn five_failures_in_a_row_eject_one_host_in_ten_for_30_s() {
        let mut picker = Picker::new(1, Choice::LeastOfTwo);
        (0..10).for_each(|n| picker.list(ServerId(n), true));
        let mut ejections = Ejections::default();
        for server in [3, 4] {
            for _ in 0..5 {
                ejections.ended(0, ServerId(server), Outcome::Error, &mut picker);
            }
        }
        // The second may not go: a tenth of ten is one.
        let mut picks = std::collections::BTreeSet::new();
        picks.extend((0..400).filter_map(|_| picker.pick(0, &[])).map(|server| server.0));
        assert!(!picks.contains(&3) && picks.contains(&4));
        ejections.look(31_000_000, &mut picker);
        picks.extend((0..400).filter_map(|_| picker.pick(0, &[])).map(|server| server.0));
        assert!(picks.contains(&3));
    }

    #[test]
    fn a_fifth_of_what_is_active_may_be_retries() {
        let mut budget = RetryBudget::default();
        let given = (0..40).filter(|_| budget.retry(1, 100, 0.5).is_some()).count();
        assert_eq!(given, 20);
        assert_eq!(budget.retry(2, 1_000, 0.5), None);
        budget.ended();
        assert!(budget.retry(1, 100, 0.5).is_some());
    }
}
