//! Which host a plain balancer picks.

use nettleworks_policy::{Micros, Outcome, ServerId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Time over which Finagle's peak EWMA forgets: its default decay time, 10 s.
const DECAY: f64 = 10e6;

/// How it picks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    Random,
    RoundRobin,
    LeastOfTwo,
    PeakEwma,
}

#[derive(Clone, Debug, Default)]
struct Seen {
    ready: bool,
    ejected: bool,
    out: u32,
    /// Peak-sensitive mean of answer times, in microseconds, and when it was last told.
    mean: f64,
    at: Micros,
}

/// Picks.
pub(super) struct Picker {
    choice: Choice,
    random: Pcg64Mcg,
    hosts: BTreeMap<ServerId, Seen>,
    ready: Vec<ServerId>,
    next: usize,
}

impl Picker {
    pub fn new(seed: u64, choice: Choice) -> Picker {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let next = random.random::<u32>() as usize;
        Picker { choice, random, hosts: BTreeMap::new(), ready: Vec::new(), next }
    }

    pub fn share(&mut self) -> f64 {
        self.random.random::<f64>()
    }

    fn below(&mut self, most: usize) -> usize {
        ((self.share() * most as f64) as usize).min(most.saturating_sub(1))
    }

    /// The whole list is coming.
    pub fn clear(&mut self) {
        self.hosts.values_mut().for_each(|host| host.ready = false);
        self.order();
    }

    pub fn list(&mut self, server: ServerId, ready: bool) {
        let host = self.hosts.entry(server).or_default();
        if host.ready != ready {
            host.ready = ready;
            self.order();
        }
    }

    pub fn eject(&mut self, server: ServerId, ejected: bool) {
        if let Some(host) = self.hosts.get_mut(&server) {
            host.ejected = ejected;
            self.order();
        }
    }

    fn order(&mut self) {
        let listed = self.hosts.iter().filter(|(_, host)| host.ready);
        let good = listed.clone().filter(|(_, host)| !host.ejected);
        self.ready = good.map(|(&server, _)| server).collect();
    }

    /// Hosts that are listed, ejected ones too.
    pub fn listed(&self) -> usize {
        self.hosts.values().filter(|host| host.ready).count()
    }

    /// One that was not tried, if there is any.
    pub fn pick(&mut self, now: Micros, tried: &[ServerId]) -> Option<ServerId> {
        let mut left: Vec<ServerId> = if tried.is_empty() {
            Vec::new()
        } else {
            self.ready.iter().copied().filter(|s| !tried.contains(s)).collect()
        };
        if left.is_empty() {
            if self.ready.is_empty() {
                return None;
            }
            left = std::mem::take(&mut self.ready);
            let picked = self.among(now, &left);
            self.ready = left;
            return picked;
        }
        self.among(now, &left)
    }

    fn among(&mut self, now: Micros, among: &[ServerId]) -> Option<ServerId> {
        match self.choice {
            Choice::Random => among.get(self.below(among.len())).copied(),
            Choice::RoundRobin => {
                self.next = self.next.wrapping_add(1);
                among.get(self.next % among.len()).copied()
            }
            Choice::LeastOfTwo | Choice::PeakEwma => {
                let first = self.below(among.len());
                let other = (first + 1 + self.below(among.len().max(2) - 1)) % among.len();
                let (first, other) = (among[first], among[other]);
                let better = self.cost(now, first) <= self.cost(now, other);
                Some(if better { first } else { other })
            }
        }
    }

    fn cost(&self, now: Micros, server: ServerId) -> f64 {
        let Some(host) = self.hosts.get(&server) else { return f64::MAX };
        let out = f64::from(host.out);
        if self.choice == Choice::LeastOfTwo {
            return out;
        }
        let forgotten = (-(now.saturating_sub(host.at) as f64) / DECAY).exp();
        // One that has never answered and has a request out is dear: nothing is known of it.
        if host.mean == 0.0 {
            return if host.out == 0 { 0.0 } else { 1e12 + out };
        }
        host.mean * forgotten * (out + 1.0)
    }

    pub fn sent(&mut self, server: ServerId) {
        self.hosts.entry(server).or_default().out += 1;
    }

    /// What was out there is no longer, and says nothing.
    pub fn forget(&mut self, server: ServerId) {
        if let Some(host) = self.hosts.get_mut(&server) {
            host.out = host.out.saturating_sub(1);
        }
    }

    pub fn ended(&mut self, now: Micros, server: ServerId, outcome: Outcome, elapsed: Micros) {
        self.forget(server);
        if let Some(host) = self.hosts.get_mut(&server) {
            if outcome == Outcome::NotSent {
                return;
            }
            let time = elapsed as f64;
            let weight = (-(now.saturating_sub(host.at) as f64) / DECAY).exp();
            host.mean = if time > host.mean { time } else { host.mean * weight + time * (1.0 - weight) };
            host.at = now;
        }
    }
}
