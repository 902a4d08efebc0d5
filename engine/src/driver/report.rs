//! The driver's state snapshots and log statistics.

use super::Driver;
use crate::protocol::Protocol;
use crate::state::{HostState, State};
use nettleworks_policy::{FailureReason, Outcome, ServerId};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Counters since the start.
#[derive(Debug, Default)]
pub(super) struct Counts {
    pub requests: u64,
    pub attempts: u64,
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Calls that the decision module has refused, and those that it has failed, by reason.
    pub refused: BTreeMap<FailureReason, u64>,
    pub failed: BTreeMap<FailureReason, u64>,
    /// Attempts that were withdrawn unwritten because the list no longer named their server ready.
    pub withdrawn: u64,
    /// Attempts that were started while no watch verified the list.
    pub by_unverified_list: u64,
    /// The longest time since a watch had last verified the list when an attempt was started.
    pub oldest_list: Duration,
}

impl<P: Protocol> Driver<P> {
    pub(super) fn log_counts(&self) {
        let (calls, connections) = (self.context.calls.len(), self.protocol.connections());
        self.context.log(&format!("{calls} calls, {connections:?}, {:?}", self.counts));
        for interceptor in &self.chain {
            if let Some(line) = interceptor.log_line() {
                self.context.log(&format!("{}: {line}", interceptor.name()));
            }
        }
    }

    pub(super) fn notify_observer(&self) {
        if let Some(observer) = self.observer.as_ref().filter(|observer| observer.wants_state()) {
            observer.on_state(self.state());
        }
    }

    pub(super) fn state(&self) -> State {
        let mut in_flight: HashMap<ServerId, usize> = HashMap::new();
        for attempt in self.context.calls.values().flat_map(|call| call.in_flight()) {
            *in_flight.entry(attempt.server).or_default() += 1;
        }
        let host = |(name, server): (&String, &ServerId)| {
            let host = self.hosts.by_id.get(server)?;
            let attempts = in_flight.get(server).copied().unwrap_or_default();
            Some(HostState { name: name.clone(), address: host.dial, health: host.health, attempts })
        };
        let mut hosts: Vec<HostState> = self.hosts.ids_by_name.iter().filter_map(host).collect();
        hosts.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        State {
            ready: self.hosts.has_list,
            version: self.hosts.seq,
            hosts,
            calls: self.context.calls.len(),
            detached: self.detached(),
            ids: self.context.open_ids.opened_here(),
            connections: self.protocol.connections(),
            requests: self.counts.requests,
            attempts: self.counts.attempts,
            outcomes: self.counts.outcomes.clone(),
            interceptors: self.chain.iter().filter_map(|s| Some((s.name(), s.state()?))).collect(),
        }
    }
}
