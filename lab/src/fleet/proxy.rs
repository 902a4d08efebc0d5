//! A proxy in fleet depth: its module, open calls, kept connections, and its watch of the list.

use super::{FleetEvent, FleetSimulation, WatchEvent};
use crate::baseline::LoadBalancer;
use crate::draw::Draw;
use crate::model::registry::{Listed, News, Turn};
use crate::Micros;
use nettleworks_policy as policy;
use policy::{CellId, Entry, Event, ListKind, ServerId, ServerState, ZoneId};
use std::collections::{BTreeMap, VecDeque};

/// A watch that is silent for so long is taken for dead, as in the engine.
const SILENCE_TIMEOUT: Micros = 5_000_000;
/// Where the list is pushed, a watch that has ended is opened again after this, and a silent one at once, as in the engine.
const PUSH_RETRY: Micros = 1_000_000;

/// A call on its way.
pub(super) struct OpenCall {
    pub deadline: Micros,
    /// Exchanges by attempt; `None`: over.
    pub attempts: Vec<Option<u64>>,
    /// Nobody waits any more.
    pub answered: bool,
}

/// A connection that is kept.
#[derive(Clone, Copy)]
pub(super) struct IdleConnection {
    pub since: Micros,
    /// The host's start that it leads to.
    pub epoch: u32,
}

pub(super) struct Proxy {
    pub balancer: Box<dyn LoadBalancer>,
    pub epoch: u32,
    pub up: bool,
    pub busy: bool,
    pub events: VecDeque<Event>,
    pub calls: BTreeMap<u32, OpenCall>,
    pub idle: BTreeMap<usize, Vec<IdleConnection>>,
    /// Connections to hosts, open or being opened.
    pub open: usize,
    pub timer: u64,
    pub watch: u64,
    /// The watch has been answered.
    pub is_watching: bool,
    pub seq: Option<u64>,
    /// Hosts that may have something new, in order.
    pub ready: Vec<bool>,
}

impl Proxy {
    pub fn new(balancer: Box<dyn LoadBalancer>, epoch: u32) -> Proxy {
        Proxy {
            balancer,
            epoch,
            up: true,
            busy: false,
            events: VecDeque::new(),
            calls: BTreeMap::new(),
            idle: BTreeMap::new(),
            open: 0,
            timer: 0,
            watch: 0,
            is_watching: false,
            seq: None,
            ready: Vec::new(),
        }
    }

    pub fn open(&mut self, call: u32, deadline: Micros) {
        self.calls.insert(call, OpenCall { deadline, attempts: Vec::new(), answered: false });
    }

    /// Forgets a call for which nothing more is to come.
    pub fn remove_if_finished(&mut self, call: u32) {
        let finished = |open: &OpenCall| open.answered && open.attempts.iter().all(Option::is_none);
        if self.calls.get(&call).is_some_and(finished) {
            self.calls.remove(&call);
        }
    }

    pub fn is_ready(&self, host: usize) -> bool {
        self.ready.get(host).copied().unwrap_or_default()
    }
}

impl FleetSimulation {
    /// One way between a proxy and discovery.
    fn discovery_delay(&self, proxy: usize, message: u64) -> Micros {
        let network = &self.model.scenario.network;
        let mut draw =
            Draw::new(self.model.seed, "watch", proxy as u64, self.proxies[proxy].watch << 32 | message);
        (network.near_us * (1.0 + network.jitter * draw.share())) as Micros
    }

    pub(super) fn subscribe(&mut self, proxy: usize) {
        self.model.tally.watches += 1;
        let state = &mut self.proxies[proxy];
        state.watch += 1;
        state.is_watching = false;
        // A connection, and the request on it.
        let delay = 3 * self.discovery_delay(proxy, 0);
        self.schedule_watch_event(proxy, delay, WatchEvent::RequestArrived);
    }

    fn schedule_watch_event(&mut self, proxy: usize, delay: Micros, event: WatchEvent) {
        let state = &self.proxies[proxy];
        let (epoch, watch) = (state.epoch, state.watch);
        self.queue.put(self.model.now + delay, FleetEvent::Watch { proxy, epoch, watch, event });
    }

    pub(super) fn handle_watch(&mut self, proxy: usize, event: WatchEvent) {
        match event {
            WatchEvent::RequestArrived if self.model.registry.down => {
                let back = self.discovery_delay(proxy, 1);
                self.schedule_watch_event(proxy, back, WatchEvent::Failed);
            }
            WatchEvent::RequestArrived if self.model.registry.silent => {
                self.schedule_watch_event(proxy, SILENCE_TIMEOUT, WatchEvent::Failed)
            }
            WatchEvent::RequestArrived => {
                let (back, now) = (self.discovery_delay(proxy, 1), self.model.now);
                match self.model.registry.asked(now) {
                    Turn::Answered(at) if at == now => self.accept_watch(proxy),
                    Turn::Answered(at) => self.schedule_watch_event(proxy, at - now, WatchEvent::Accepted),
                    Turn::Fails(at) => self.schedule_watch_event(proxy, at - now + back, WatchEvent::Failed),
                }
            }
            WatchEvent::Accepted => self.accept_watch(proxy),
            WatchEvent::UpdateArrived => {
                if let Some(update) = self.model.registry.news(self.proxies[proxy].seq) {
                    self.receive_update(proxy, &update);
                }
            }
            WatchEvent::Failed | WatchEvent::TimedOut => {
                self.proxies[proxy].is_watching = false;
                let (kind, retry) = match event {
                    WatchEvent::TimedOut => (ListKind::Silent, 0),
                    _ => (ListKind::Failed, PUSH_RETRY),
                };
                self.feed_balancer(proxy, Event::ServerList { kind, entries: Vec::new() });
                if !self.model.scenario.discovery.asked {
                    self.schedule_watch_event(proxy, retry, WatchEvent::Retry);
                }
            }
            WatchEvent::Retry => self.subscribe(proxy),
        }
    }

    /// Its ask has been answered: from here on it hears what changes.
    fn accept_watch(&mut self, proxy: usize) {
        self.proxies[proxy].is_watching = true;
        let back = self.discovery_delay(proxy, 1);
        self.schedule_watch_event(proxy, back, WatchEvent::UpdateArrived);
    }

    /// The list has changed, or discovery is down, or silent.
    pub(super) fn list_changed(&mut self) {
        let (down, silent) = (self.model.registry.down, self.model.registry.silent);
        for proxy in 0..self.proxies.len() {
            if !self.proxies[proxy].up || !self.proxies[proxy].is_watching {
                continue;
            }
            let delay = self.discovery_delay(proxy, self.model.registry.seq());
            match (down, silent) {
                (true, _) => self.schedule_watch_event(proxy, delay, WatchEvent::Failed),
                (_, true) => {
                    self.proxies[proxy].is_watching = false;
                    self.schedule_watch_event(proxy, SILENCE_TIMEOUT, WatchEvent::TimedOut);
                }
                _ => self.schedule_watch_event(proxy, delay, WatchEvent::UpdateArrived),
            }
        }
    }

    /// A proxy takes news in, as the engine does.
    fn receive_update(&mut self, proxy: usize, update: &News) {
        self.model.told(proxy, update);
        self.apply_update(proxy, update, if update.whole { ListKind::Full } else { ListKind::Delta });
    }

    /// Takes a list in, from whomever.
    pub(super) fn apply_update(&mut self, proxy: usize, update: &News, kind: ListKind) {
        let hosts = &self.model.hosts;
        let state = &mut self.proxies[proxy];
        state.seq = Some(update.seq);
        state.ready.resize(hosts.len(), false);
        if update.whole {
            state.ready.fill(false);
        }
        let mut entries = Vec::with_capacity(update.entries.len());
        for entry in &update.entries {
            state.ready[entry.host] = entry.listed == Listed::Ready;
            let server_state = match entry.listed {
                Listed::Ready => ServerState::Ready,
                Listed::Terminating => ServerState::Draining,
                Listed::Gone => ServerState::Removed,
            };
            let started =
                if entry.started == 0 { 0 } else { (entry.started / 1_000 * 1_000).max(1) + super::EPOCH };
            entries.push(Entry {
                server: ServerId(entry.host as u32 + 1),
                state: server_state,
                zone: ZoneId(hosts[entry.host].zone as u32 + 1),
                cell: CellId(hosts[entry.host].pod as u32),
                started,
                weight: 1.0,
            });
        }
        self.proxies[proxy].events.push_back(Event::ServerList { kind, entries });
        self.leave_unready_hosts(proxy);
        self.process_events(proxy);
    }
}
