//! Beginning and end of faults.

use super::host::{HostStatus, Impairment};
use super::registry::{Entry, ListingState};
use super::{Event, Model, Output};
use crate::event_log::EventKind;
use crate::event_queue::EventQueue;
use crate::fault::{Fault, FaultKind};
use crate::random::{micros_from_seconds, RandomStream};
use crate::Micros;

/// A draining host shuts down after this time, in seconds.
const DRAIN_DURATION: f64 = 1.5;
/// A host is listed this long after it has started, in seconds.
const RELISTING_DELAY: f64 = 0.2;

impl Model {
    fn active_faults(&self) -> impl Iterator<Item = &Fault> {
        self.scenario.faults.iter().zip(&self.active_faults).filter(|(_, on)| **on).map(|(fault, _)| fault)
    }

    /// Factor on the load by active faults.
    pub(super) fn surge_factor(&self) -> f64 {
        self.active_faults().filter(|fault| fault.kind == FaultKind::Crowd).map(Fault::magnitude).product()
    }

    /// Whether the link in one direction between a proxy and a host is cut, and its extra delay in microseconds.
    pub fn link(&self, proxy: usize, host: usize, back: bool) -> (bool, Micros) {
        let (mut cut, mut extra_delay) = (false, 0.0);
        for fault in self.active_faults() {
            if !fault.hosts.contains(host) || !fault.proxies.contains(proxy) {
                continue;
            }
            match fault.kind {
                FaultKind::Cut => cut = true,
                FaultKind::CutThere => cut |= !back,
                FaultKind::CutBack => cut |= back,
                FaultKind::DelayBack if back => extra_delay += fault.magnitude() * 1e3,
                _ => {}
            }
        }
        (cut, extra_delay as Micros)
    }

    /// Whether an idle connection to a host breaks when it is reused; drawn for each call and attempt.
    pub fn is_stale(&self, call: u32, host: usize) -> bool {
        let share = self.hosts[host].impairment.stale;
        let tries = u64::from(self.calls[call as usize].attempt_count);
        RandomStream::new(self.seed, "stale", call.into(), (host as u64) << 16 | tries).chance(share)
    }

    pub(super) fn toggle_fault(
        &mut self,
        number: usize,
        begins: bool,
        queue: &mut EventQueue<impl From<Event>>,
    ) {
        let scenario = self.scenario.clone();
        let fault = &scenario.faults[number];
        self.active_faults[number] = begins;
        self.log.record(self.now, EventKind::Fault, [number as u64, u64::from(begins), fault.kind as u64]);
        let hosts = fault.hosts.indices(scenario.fleet.hosts);
        let proxies = fault.proxies.indices(scenario.load.proxies);
        match fault.kind {
            FaultKind::Kill | FaultKind::Vanish => {
                let how = if fault.kind == FaultKind::Kill { HostStatus::Dead } else { HostStatus::Vanished };
                for host in hosts {
                    if begins {
                        self.stop_host(host, how);
                        let entry = Entry { state: ListingState::Removed, ..self.registry.entry(host) };
                        self.schedule_update(host, scenario.discovery.notice_ms / 1e3, entry, queue);
                    } else {
                        self.start_host(host, queue);
                    }
                }
            }
            FaultKind::Drain => {
                for host in hosts {
                    if begins {
                        let entry = Entry { state: ListingState::Terminating, ..self.registry.entry(host) };
                        self.schedule_update(host, 0.0, entry, queue);
                        self.hosts[host].draining = true;
                        let epoch = self.hosts[host].epoch;
                        // It shuts down only once all proxies have had time to learn of the drain.
                        let ends = micros_from_seconds(DRAIN_DURATION.min(fault.duration * 0.9));
                        queue.schedule(self.now + ends, Event::DrainDeadline { host, epoch }.into());
                    } else {
                        self.start_host(host, queue);
                    }
                }
            }
            FaultKind::Slow
            | FaultKind::Silent
            | FaultKind::Errors
            | FaultKind::Resets
            | FaultKind::Stale
            | FaultKind::TurnAway => self.update_impairments(),
            FaultKind::Stall if begins => {
                let until = self.now + micros_from_seconds(fault.duration);
                hosts.into_iter().for_each(|host| self.hosts[host].stalled_until = until);
            }
            FaultKind::Stall => {}
            FaultKind::Cut | FaultKind::CutThere | FaultKind::CutBack | FaultKind::DelayBack => {
                self.outputs.push_back(Output::LinksChanged)
            }
            FaultKind::DiscoveryDown | FaultKind::DiscoverySilent => {
                let is_on = |what| self.active_faults().any(|fault| fault.kind == what);
                let (down, silent) = (is_on(FaultKind::DiscoveryDown), is_on(FaultKind::DiscoverySilent));
                (self.registry.down, self.registry.silent) = (down, silent);
                self.outputs.push_back(Output::ListChanged);
            }
            FaultKind::DiscoveryBusy => {
                let busy = self.active_faults().filter(|fault| fault.kind == FaultKind::DiscoveryBusy);
                self.registry.service_time =
                    busy.map(|fault| micros_from_seconds(fault.magnitude() / 1e3)).max().unwrap_or_default();
            }
            FaultKind::DiscoveryWrong => {
                let state = if begins { ListingState::Removed } else { ListingState::Ready };
                self.force_listing(&hosts, state, queue);
            }
            FaultKind::DiscoveryFlaps if begins => self.flap_listing(number, queue),
            FaultKind::DiscoveryFlaps => self.force_listing(&hosts, ListingState::Ready, queue),
            FaultKind::Restart => {
                for proxy in proxies {
                    let up = !begins;
                    if self.proxies[proxy].up == up {
                        continue;
                    }
                    self.proxies[proxy].up = up;
                    self.proxies[proxy].unavailable_hosts = Default::default();
                    self.log.record(self.now, EventKind::Proxy, [proxy as u64, u64::from(up), 0]);
                    self.outputs.push_back(Output::ProxyProcess { proxy, starts: up });
                }
            }
            FaultKind::Clock => {
                for proxy in proxies {
                    self.proxies[proxy].clock = if begins { (fault.magnitude() * 1e6) as i64 } else { 0 };
                }
            }
            FaultKind::Crowd => {}
            FaultKind::SlowReader => {
                for proxy in proxies {
                    self.proxies[proxy].slow_reader = begins;
                }
                self.outputs.push_back(Output::ReadersChanged);
            }
        }
    }

    /// Recomputes the impairments of all hosts from the active faults.
    fn update_impairments(&mut self) {
        let mut impairments = vec![Impairment::default(); self.hosts.len()];
        for fault in self.active_faults() {
            for host in fault.hosts.indices(self.scenario.fleet.hosts) {
                let (impairment, magnitude) = (&mut impairments[host], fault.magnitude());
                match fault.kind {
                    FaultKind::Slow => impairment.slow *= magnitude,
                    FaultKind::Silent => impairment.silent = true,
                    FaultKind::Errors => impairment.errors = impairment.errors.max(magnitude),
                    FaultKind::Resets => impairment.resets = impairment.resets.max(magnitude),
                    FaultKind::Stale => impairment.stale = impairment.stale.max(magnitude),
                    FaultKind::TurnAway => impairment.turned_away = impairment.turned_away.max(magnitude),
                    _ => {}
                }
            }
        }
        self.hosts.iter_mut().zip(impairments).for_each(|(host, impairment)| host.impairment = impairment);
    }

    pub(super) fn flap_listing(&mut self, number: usize, queue: &mut EventQueue<impl From<Event>>) {
        if !self.active_faults[number] {
            return;
        }
        let scenario = self.scenario.clone();
        let fault = &scenario.faults[number];
        let hosts = fault.hosts.indices(scenario.fleet.hosts);
        let gone =
            hosts.first().is_some_and(|&host| self.registry.entry(host).state == ListingState::Removed);
        self.force_listing(&hosts, if gone { ListingState::Ready } else { ListingState::Removed }, queue);
        queue.schedule(
            self.now + micros_from_seconds(0.5 / fault.magnitude()),
            Event::DiscoveryFlap(number).into(),
        );
    }

    /// Lists hosts with this state, whatever their real one; hosts that are down are listed as removed.
    fn force_listing(
        &mut self,
        hosts: &[usize],
        state: ListingState,
        queue: &mut EventQueue<impl From<Event>>,
    ) {
        for &host in hosts {
            let state = if self.hosts[host].status == HostStatus::Up { state } else { ListingState::Removed };
            let entry = Entry { state, ..self.registry.entry(host) };
            self.schedule_update(host, 0.0, entry, queue);
        }
    }

    fn schedule_update(
        &self,
        host: usize,
        after: f64,
        entry: Entry,
        queue: &mut EventQueue<impl From<Event>>,
    ) {
        let at = self.now + micros_from_seconds(after) + (self.scenario.discovery.lag_ms * 1e3) as Micros;
        queue.schedule(at, Event::DiscoveryUpdate { epoch: self.hosts[host].epoch, entry }.into());
    }

    pub(super) fn discovery_update(&mut self, epoch: u32, entry: Entry) {
        // A host that has restarted meanwhile has a newer entry of its own.
        if self.hosts[entry.host].epoch == epoch && self.registry.set(entry) {
            self.outputs.push_back(Output::ListChanged);
        }
    }

    pub(super) fn stop_host(&mut self, host: usize, how: HostStatus) {
        if self.hosts[host].status == HostStatus::Up {
            self.hosts[host].down(how);
            self.log.record(self.now, EventKind::Host, [host as u64, 0, how as u64]);
            self.outputs.push_back(Output::HostChanged(host));
        }
    }

    fn start_host(&mut self, host: usize, queue: &mut EventQueue<impl From<Event>>) {
        // The host may still be up, if the fault was shorter than the drain.
        self.stop_host(host, HostStatus::Dead);
        self.hosts[host].start(self.now);
        self.log.record(self.now, EventKind::Host, [host as u64, 1, 0]);
        self.outputs.push_back(Output::HostChanged(host));
        let started = self.hosts[host].started;
        self.schedule_update(
            host,
            RELISTING_DELAY,
            Entry { host, state: ListingState::Ready, started },
            queue,
        );
    }
}
