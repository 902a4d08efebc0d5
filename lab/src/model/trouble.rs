//! Faults begin and end.

use super::host::{Ill, Up};
use super::registry::{Entry, Listed};
use super::{Event, Model, Out};
use crate::draw::{micros, Draw};
use crate::fault::{Fault, What};
use crate::log::Of;
use crate::queue::Queue;
use crate::Micros;

/// A host that drains has ended by this time, in seconds.
const DRAIN_ENDS: f64 = 1.5;
/// A host is listed this long after it is up again.
const LISTED: f64 = 0.2;

impl Model {
    fn active(&self) -> impl Iterator<Item = &Fault> {
        self.scenario.faults.iter().zip(&self.on).filter(|(_, on)| **on).map(|(fault, _)| fault)
    }

    /// Times of the load by faults.
    pub(super) fn crowd(&self) -> f64 {
        self.active().filter(|fault| fault.what == What::Crowd).map(Fault::much).product()
    }

    /// Whether what goes one way between a proxy and a host does not pass now; and how much longer it takes.
    pub fn way(&self, proxy: usize, host: usize, back: bool) -> (bool, Micros) {
        let (mut cut, mut longer) = (false, 0.0);
        for fault in self.active() {
            if !fault.hosts.holds(host) || !fault.proxies.holds(proxy) {
                continue;
            }
            match fault.what {
                What::Cut => cut = true,
                What::CutThere => cut |= !back,
                What::CutBack => cut |= back,
                What::DelayBack if back => longer += fault.much() * 1e3,
                _ => {}
            }
        }
        (cut, longer as Micros)
    }

    /// Whether a kept connection to a host breaks on being used again: drawn for a call and its attempt.
    pub fn is_stale(&self, call: u32, host: usize) -> bool {
        let share = self.hosts[host].ill.stale;
        let tries = u64::from(self.calls[call as usize].sent);
        Draw::new(self.seed, "stale", call.into(), (host as u64) << 16 | tries).happens(share)
    }

    pub(super) fn fault(&mut self, number: usize, begins: bool, queue: &mut Queue<impl From<Event>>) {
        let scenario = self.scenario.clone();
        let fault = &scenario.faults[number];
        self.on[number] = begins;
        self.log.note(self.now, Of::Fault, [number as u64, u64::from(begins), fault.what as u64]);
        let hosts = fault.hosts.numbers(scenario.fleet.hosts);
        let proxies = fault.proxies.numbers(scenario.load.proxies);
        match fault.what {
            What::Kill | What::Vanish => {
                let how = if fault.what == What::Kill { Up::Dead } else { Up::Vanished };
                for host in hosts {
                    if begins {
                        self.host_down(host, how);
                        let entry = Entry { listed: Listed::Gone, ..self.registry.entry(host) };
                        self.learns(host, scenario.discovery.notice_ms / 1e3, entry, queue);
                    } else {
                        self.host_starts(host, queue);
                    }
                }
            }
            What::Drain => {
                for host in hosts {
                    if begins {
                        let entry = Entry { listed: Listed::Terminating, ..self.registry.entry(host) };
                        self.learns(host, 0.0, entry, queue);
                        self.hosts[host].drains = true;
                        let epoch = self.hosts[host].epoch;
                        // It turns away what comes once all have been told for long.
                        let ends = micros(DRAIN_ENDS.min(fault.lasts * 0.9));
                        queue.put(self.now + ends, Event::DrainEnds { host, epoch }.into());
                    } else {
                        self.host_starts(host, queue);
                    }
                }
            }
            What::Slow | What::Silent | What::Errors | What::Resets | What::Stale | What::TurnAway => {
                self.ills()
            }
            What::Stall if begins => {
                let until = self.now + micros(fault.lasts);
                hosts.into_iter().for_each(|host| self.hosts[host].stalled_until = until);
            }
            What::Stall => {}
            What::Cut | What::CutThere | What::CutBack | What::DelayBack => self.out.push_back(Out::Ways),
            What::DiscoveryDown | What::DiscoverySilent => {
                let is_on = |what| self.active().any(|fault| fault.what == what);
                let (down, silent) = (is_on(What::DiscoveryDown), is_on(What::DiscoverySilent));
                (self.registry.down, self.registry.silent) = (down, silent);
                self.out.push_back(Out::News);
            }
            What::DiscoveryBusy => {
                let busy = self.active().filter(|fault| fault.what == What::DiscoveryBusy);
                self.registry.each = busy.map(|fault| micros(fault.much() / 1e3)).max().unwrap_or_default();
            }
            What::DiscoveryWrong => {
                let listed = if begins { Listed::Gone } else { Listed::Ready };
                self.lists(&hosts, listed, queue);
            }
            What::DiscoveryFlaps if begins => self.flap(number, queue),
            What::DiscoveryFlaps => self.lists(&hosts, Listed::Ready, queue),
            What::Restart => {
                for proxy in proxies {
                    let up = !begins;
                    if self.proxies[proxy].up == up {
                        continue;
                    }
                    self.proxies[proxy].up = up;
                    self.proxies[proxy].told = Default::default();
                    self.log.note(self.now, Of::Proxy, [proxy as u64, u64::from(up), 0]);
                    self.out.push_back(Out::Proxy { proxy, starts: up });
                }
            }
            What::Clock => {
                for proxy in proxies {
                    self.proxies[proxy].clock = if begins { (fault.much() * 1e6) as i64 } else { 0 };
                }
            }
            What::Crowd => {}
            What::SlowReader => {
                for proxy in proxies {
                    self.proxies[proxy].slow_reader = begins;
                }
                self.out.push_back(Out::Readers);
            }
        }
    }

    /// What is wrong with each host now.
    fn ills(&mut self) {
        let mut ills = vec![Ill::default(); self.hosts.len()];
        for fault in self.active() {
            for host in fault.hosts.numbers(self.scenario.fleet.hosts) {
                let (ill, much) = (&mut ills[host], fault.much());
                match fault.what {
                    What::Slow => ill.slow *= much,
                    What::Silent => ill.silent = true,
                    What::Errors => ill.errors = ill.errors.max(much),
                    What::Resets => ill.resets = ill.resets.max(much),
                    What::Stale => ill.stale = ill.stale.max(much),
                    What::TurnAway => ill.turned_away = ill.turned_away.max(much),
                    _ => {}
                }
            }
        }
        self.hosts.iter_mut().zip(ills).for_each(|(host, ill)| host.ill = ill);
    }

    pub(super) fn flap(&mut self, number: usize, queue: &mut Queue<impl From<Event>>) {
        if !self.on[number] {
            return;
        }
        let scenario = self.scenario.clone();
        let fault = &scenario.faults[number];
        let hosts = fault.hosts.numbers(scenario.fleet.hosts);
        let gone = hosts.first().is_some_and(|&host| self.registry.entry(host).listed == Listed::Gone);
        self.lists(&hosts, if gone { Listed::Ready } else { Listed::Gone }, queue);
        queue.put(self.now + micros(0.5 / fault.much()), Event::Flap(number).into());
    }

    /// Discovery is to say this of hosts, whatever they do.
    fn lists(&mut self, hosts: &[usize], listed: Listed, queue: &mut Queue<impl From<Event>>) {
        for &host in hosts {
            let listed = if self.hosts[host].up == Up::Up { listed } else { Listed::Gone };
            let entry = Entry { listed, ..self.registry.entry(host) };
            self.learns(host, 0.0, entry, queue);
        }
    }

    fn learns(&self, host: usize, after: f64, entry: Entry, queue: &mut Queue<impl From<Event>>) {
        let at = self.now + micros(after) + (self.scenario.discovery.lag_ms * 1e3) as Micros;
        queue.put(at, Event::Learned { epoch: self.hosts[host].epoch, entry }.into());
    }

    pub(super) fn learned(&mut self, epoch: u32, entry: Entry) {
        // A host that has started meanwhile has its own word.
        if self.hosts[entry.host].epoch == epoch && self.registry.set(entry) {
            self.out.push_back(Out::News);
        }
    }

    pub(super) fn host_down(&mut self, host: usize, how: Up) {
        if self.hosts[host].up == Up::Up {
            self.hosts[host].down(how);
            self.log.note(self.now, Of::Host, [host as u64, 0, how as u64]);
            self.out.push_back(Out::Host(host));
        }
    }

    fn host_starts(&mut self, host: usize, queue: &mut Queue<impl From<Event>>) {
        // It may never have gone, if what it ended in was shorter than its way there.
        self.host_down(host, Up::Dead);
        self.hosts[host].start(self.now);
        self.log.note(self.now, Of::Host, [host as u64, 1, 0]);
        self.out.push_back(Out::Host(host));
        let started = self.hosts[host].started;
        self.learns(host, LISTED, Entry { host, listed: Listed::Ready, started }, queue);
    }
}
