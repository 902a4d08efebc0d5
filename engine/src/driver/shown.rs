//! What the driver shows of itself: its state, and lines of figures.

use super::Driver;
use crate::protocol::Protocol;
use crate::state::{HostState, State};
use nettleworks_policy::{FailureReason, Outcome, ServerId};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Figures so far.
#[derive(Debug, Default)]
pub(super) struct Counts {
    pub requests: u64,
    pub attempts: u64,
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Calls that the module has refused, and those that it has failed, by its reason.
    pub refused: BTreeMap<FailureReason, u64>,
    pub failed: BTreeMap<FailureReason, u64>,
    /// Attempts that were taken back unwritten, as a list did not name their server ready any more.
    pub withdrawn: u64,
    /// Attempts begun while no watch verified the list.
    pub by_unverified_list: u64,
    /// The longest time for which no watch had shown that it was alive when an attempt began.
    pub oldest_list: Duration,
}

impl<P: Protocol> Driver<P> {
    pub(super) fn log_counts(&self) {
        let (calls, connections) = (self.desk.calls.len(), self.protocol.connections());
        self.desk.log(&format!("{calls} calls, {connections:?}, {:?}", self.counts));
        for station in &self.stations {
            if let Some(line) = station.line() {
                self.desk.log(&format!("{}: {line}", station.name()));
            }
        }
    }

    pub(super) fn show(&self) {
        if let Some(observer) = self.observer.as_ref().filter(|observer| observer.looks()) {
            observer.show(self.state());
        }
    }

    pub(super) fn state(&self) -> State {
        let mut out: HashMap<ServerId, usize> = HashMap::new();
        for attempt in self.desk.calls.values().flat_map(|call| call.out()) {
            *out.entry(attempt.server).or_default() += 1;
        }
        let host = |(name, server): (&String, &ServerId)| {
            let host = self.hosts.by_number.get(server)?;
            let attempts = out.get(server).copied().unwrap_or_default();
            Some(HostState { name: name.clone(), address: host.dial, health: host.health, attempts })
        };
        let mut hosts: Vec<HostState> = self.hosts.names.iter().filter_map(host).collect();
        hosts.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        State {
            ready: self.hosts.listed,
            version: self.hosts.seq,
            hosts,
            calls: self.desk.calls.len(),
            lingering: self.lingering(),
            ids: self.desk.open.own(),
            connections: self.protocol.connections(),
            requests: self.counts.requests,
            attempts: self.counts.attempts,
            outcomes: self.counts.outcomes.clone(),
            stations: self.stations.iter().filter_map(|s| Some((s.name(), s.state()?))).collect(),
        }
    }
}
