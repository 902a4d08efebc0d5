//! Host selection of the baseline balancers.

use nettleworks_policy::{Micros, Outcome, ServerId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Decay time of the peak EWMA, in microseconds: 10 s, the default of Finagle.
const DECAY_TIME: f64 = 10e6;

/// Algorithm by which a host is selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SelectionAlgorithm {
    Random,
    RoundRobin,
    LeastOfTwo,
    PeakEwma,
}

#[derive(Clone, Debug, Default)]
struct HostState {
    ready: bool,
    ejected: bool,
    in_flight: u32,
    /// Peak EWMA of response times, in microseconds.
    latency: f64,
    /// When `latency` was last updated.
    updated_at: Micros,
}

/// Selects a host for each attempt, among the hosts that are listed as ready and not ejected.
pub(super) struct HostSelector {
    algorithm: SelectionAlgorithm,
    random: Pcg64Mcg,
    hosts: BTreeMap<ServerId, HostState>,
    candidates: Vec<ServerId>,
    /// Position of the round robin.
    next: usize,
}

impl HostSelector {
    pub fn new(seed: u64, algorithm: SelectionAlgorithm) -> HostSelector {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let next = random.random::<u32>() as usize;
        HostSelector { algorithm, random, hosts: BTreeMap::new(), candidates: Vec::new(), next }
    }

    /// A random number from 0 to 1.
    pub fn uniform(&mut self) -> f64 {
        self.random.random::<f64>()
    }

    /// A random number below `bound`.
    fn random_below(&mut self, bound: usize) -> usize {
        ((self.uniform() * bound as f64) as usize).min(bound.saturating_sub(1))
    }

    /// Marks all hosts as not listed, before a full list is applied.
    pub fn clear(&mut self) {
        self.hosts.values_mut().for_each(|host| host.ready = false);
        self.update_candidates();
    }

    /// Applies an entry of the list.
    pub fn set_listed(&mut self, server: ServerId, ready: bool) {
        let host = self.hosts.entry(server).or_default();
        if host.ready != ready {
            host.ready = ready;
            self.update_candidates();
        }
    }

    /// Ejects a host, or ends its ejection.
    pub fn set_ejected(&mut self, server: ServerId, ejected: bool) {
        if let Some(host) = self.hosts.get_mut(&server) {
            host.ejected = ejected;
            self.update_candidates();
        }
    }

    /// Rebuilds the candidates after a change.
    fn update_candidates(&mut self) {
        let listed = self.hosts.iter().filter(|(_, host)| host.ready);
        let candidates = listed.clone().filter(|(_, host)| !host.ejected);
        self.candidates = candidates.map(|(&server, _)| server).collect();
    }

    /// Number of hosts that are listed as ready, including ejected ones.
    pub fn listed_count(&self) -> usize {
        self.hosts.values().filter(|host| host.ready).count()
    }

    /// Selects a host, one that has not been tried if there is any. `None` if there are no candidates.
    pub fn select(&mut self, now: Micros, tried: &[ServerId]) -> Option<ServerId> {
        let mut untried: Vec<ServerId> = if tried.is_empty() {
            Vec::new()
        } else {
            self.candidates.iter().copied().filter(|s| !tried.contains(s)).collect()
        };
        if untried.is_empty() {
            if self.candidates.is_empty() {
                return None;
            }
            untried = std::mem::take(&mut self.candidates);
            let selected = self.select_among(now, &untried);
            self.candidates = untried;
            return selected;
        }
        self.select_among(now, &untried)
    }

    fn select_among(&mut self, now: Micros, hosts: &[ServerId]) -> Option<ServerId> {
        match self.algorithm {
            SelectionAlgorithm::Random => hosts.get(self.random_below(hosts.len())).copied(),
            SelectionAlgorithm::RoundRobin => {
                self.next = self.next.wrapping_add(1);
                hosts.get(self.next % hosts.len()).copied()
            }
            SelectionAlgorithm::LeastOfTwo | SelectionAlgorithm::PeakEwma => {
                let first = self.random_below(hosts.len());
                let other = (first + 1 + self.random_below(hosts.len().max(2) - 1)) % hosts.len();
                let (first, other) = (hosts[first], hosts[other]);
                let takes_first = self.cost(now, first) <= self.cost(now, other);
                Some(if takes_first { first } else { other })
            }
        }
    }

    /// The cost by which two hosts are compared: requests in flight, or the decayed latency times these.
    fn cost(&self, now: Micros, server: ServerId) -> f64 {
        let Some(host) = self.hosts.get(&server) else { return f64::MAX };
        let in_flight = f64::from(host.in_flight);
        if self.algorithm == SelectionAlgorithm::LeastOfTwo {
            return in_flight;
        }
        let decay = (-(now.saturating_sub(host.updated_at) as f64) / DECAY_TIME).exp();
        // A host without a measured latency is expensive once it has a request in flight.
        if host.latency == 0.0 {
            return if host.in_flight == 0 { 0.0 } else { 1e12 + in_flight };
        }
        host.latency * decay * (in_flight + 1.0)
    }

    /// Counts an attempt that is sent to a host.
    pub fn attempt_started(&mut self, server: ServerId) {
        self.hosts.entry(server).or_default().in_flight += 1;
    }

    /// Counts an attempt as ended without a measurement, as it was cancelled.
    pub fn attempt_cancelled(&mut self, server: ServerId) {
        if let Some(host) = self.hosts.get_mut(&server) {
            host.in_flight = host.in_flight.saturating_sub(1);
        }
    }

    /// Counts an attempt as ended, and updates the latency of its host.
    pub fn attempt_ended(&mut self, now: Micros, server: ServerId, outcome: Outcome, elapsed: Micros) {
        self.attempt_cancelled(server);
        if let Some(host) = self.hosts.get_mut(&server) {
            if outcome == Outcome::NotSent {
                return;
            }
            let time = elapsed as f64;
            let weight = (-(now.saturating_sub(host.updated_at) as f64) / DECAY_TIME).exp();
            // A peak replaces the average at once.
            host.latency =
                if time > host.latency { time } else { host.latency * weight + time * (1.0 - weight) };
            host.updated_at = now;
        }
    }
}
