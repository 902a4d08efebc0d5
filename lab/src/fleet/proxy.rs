//! A proxy in fleet depth: its module, open calls, kept connections, and its watch of the list.

use super::{Ev, FleetSimulation, Watch};
use crate::baseline::Decide;
use crate::draw::Draw;
use crate::model::registry::{Listed, News, Turn};
use crate::Micros;
use nettleworks_policy as policy;
use policy::{CellId, Entry, Event, ListKind, ServerId, ServerState, ZoneId};
use std::collections::{BTreeMap, VecDeque};

/// A watch that is silent for so long is taken for dead, as in the engine.
const SILENCE: Micros = 5_000_000;
/// Where the list is pushed, a watch that has ended is opened again after this, and a silent one at once, as in the engine.
const PUSH_RETRY: Micros = 1_000_000;

/// A call on its way.
pub(super) struct Open {
    pub deadline: Micros,
    /// Exchanges by attempt; `None`: over.
    pub attempts: Vec<Option<u64>>,
    /// Nobody waits any more.
    pub answered: bool,
}

/// A connection that is kept.
#[derive(Clone, Copy)]
pub(super) struct Kept {
    pub since: Micros,
    /// The host's start that it leads to.
    pub epoch: u32,
}

pub(super) struct Proxy {
    pub decide: Box<dyn Decide>,
    pub epoch: u32,
    pub up: bool,
    pub busy: bool,
    pub events: VecDeque<Event>,
    pub calls: BTreeMap<u32, Open>,
    pub idle: BTreeMap<usize, Vec<Kept>>,
    /// Connections to hosts, open or being opened.
    pub open: usize,
    pub wake: u64,
    pub watch: u64,
    /// The watch has been answered.
    pub hears: bool,
    pub seq: Option<u64>,
    /// Hosts that may have something new, in order.
    pub ready: Vec<bool>,
}

impl Proxy {
    pub fn new(decide: Box<dyn Decide>, epoch: u32) -> Proxy {
        Proxy {
            decide,
            epoch,
            up: true,
            busy: false,
            events: VecDeque::new(),
            calls: BTreeMap::new(),
            idle: BTreeMap::new(),
            open: 0,
            wake: 0,
            watch: 0,
            hears: false,
            seq: None,
            ready: Vec::new(),
        }
    }

    pub fn open(&mut self, call: u32, deadline: Micros) {
        self.calls.insert(call, Open { deadline, attempts: Vec::new(), answered: false });
    }

    /// Forgets a call for which nothing more is to come.
    pub fn tidy(&mut self, call: u32) {
        let over = |open: &Open| open.answered && open.attempts.iter().all(Option::is_none);
        if self.calls.get(&call).is_some_and(over) {
            self.calls.remove(&call);
        }
    }

    pub fn is_ready(&self, host: usize) -> bool {
        self.ready.get(host).copied().unwrap_or_default()
    }
}

impl FleetSimulation {
    /// One way between a proxy and discovery.
    fn way(&self, proxy: usize, what: u64) -> Micros {
        let network = &self.model.scenario.network;
        let mut draw =
            Draw::new(self.model.seed, "watch", proxy as u64, self.proxies[proxy].watch << 32 | what);
        (network.near_us * (1.0 + network.jitter * draw.share())) as Micros
    }

    pub(super) fn subscribe(&mut self, proxy: usize) {
        self.model.tally.watches += 1;
        let at = &mut self.proxies[proxy];
        at.watch += 1;
        at.hears = false;
        // A connection, and the request on it.
        let after = 3 * self.way(proxy, 0);
        self.put_watch(proxy, after, Watch::Opens);
    }

    fn put_watch(&mut self, proxy: usize, after: Micros, what: Watch) {
        let at = &self.proxies[proxy];
        let (epoch, watch) = (at.epoch, at.watch);
        self.queue.put(self.model.now + after, Ev::Watch { proxy, epoch, watch, what });
    }

    pub(super) fn watch(&mut self, proxy: usize, what: Watch) {
        match what {
            Watch::Opens if self.model.registry.down => {
                let back = self.way(proxy, 1);
                self.put_watch(proxy, back, Watch::Fails);
            }
            Watch::Opens if self.model.registry.silent => self.put_watch(proxy, SILENCE, Watch::Fails),
            Watch::Opens => {
                let (back, now) = (self.way(proxy, 1), self.model.now);
                match self.model.registry.asked(now) {
                    Turn::Answered(at) if at == now => self.begins(proxy),
                    Turn::Answered(at) => self.put_watch(proxy, at - now, Watch::Begins),
                    Turn::Fails(at) => self.put_watch(proxy, at - now + back, Watch::Fails),
                }
            }
            Watch::Begins => self.begins(proxy),
            Watch::Hears => {
                if let Some(news) = self.model.registry.news(self.proxies[proxy].seq) {
                    self.hears(proxy, &news);
                }
            }
            Watch::Fails | Watch::Silent => {
                self.proxies[proxy].hears = false;
                let (kind, retry) = match what {
                    Watch::Silent => (ListKind::Silent, 0),
                    _ => (ListKind::Failed, PUSH_RETRY),
                };
                self.module(proxy, Event::ServerList { kind, entries: Vec::new() });
                if !self.model.scenario.discovery.asked {
                    self.put_watch(proxy, retry, Watch::Retries);
                }
            }
            Watch::Retries => self.subscribe(proxy),
        }
    }

    /// Its ask has been answered: from here on it hears what changes.
    fn begins(&mut self, proxy: usize) {
        self.proxies[proxy].hears = true;
        let back = self.way(proxy, 1);
        self.put_watch(proxy, back, Watch::Hears);
    }

    /// The list has changed, or discovery is down, or silent.
    pub(super) fn news(&mut self) {
        let (down, silent) = (self.model.registry.down, self.model.registry.silent);
        for proxy in 0..self.proxies.len() {
            if !self.proxies[proxy].up || !self.proxies[proxy].hears {
                continue;
            }
            let after = self.way(proxy, self.model.registry.seq());
            match (down, silent) {
                (true, _) => self.put_watch(proxy, after, Watch::Fails),
                (_, true) => {
                    self.proxies[proxy].hears = false;
                    self.put_watch(proxy, SILENCE, Watch::Silent);
                }
                _ => self.put_watch(proxy, after, Watch::Hears),
            }
        }
    }

    /// A proxy takes news in, as the engine does.
    fn hears(&mut self, proxy: usize, news: &News) {
        self.model.told(proxy, news);
        self.takes(proxy, news, if news.whole { ListKind::Full } else { ListKind::Delta });
    }

    /// Takes a list in, from whomever.
    pub(super) fn takes(&mut self, proxy: usize, news: &News, kind: ListKind) {
        let hosts = &self.model.hosts;
        let at = &mut self.proxies[proxy];
        at.seq = Some(news.seq);
        at.ready.resize(hosts.len(), false);
        if news.whole {
            at.ready.fill(false);
        }
        let mut entries = Vec::with_capacity(news.entries.len());
        for entry in &news.entries {
            at.ready[entry.host] = entry.listed == Listed::Ready;
            let state = match entry.listed {
                Listed::Ready => ServerState::Ready,
                Listed::Terminating => ServerState::Draining,
                Listed::Gone => ServerState::Removed,
            };
            let started =
                if entry.started == 0 { 0 } else { (entry.started / 1_000 * 1_000).max(1) + super::EPOCH };
            entries.push(Entry {
                server: ServerId(entry.host as u32 + 1),
                state,
                zone: ZoneId(hosts[entry.host].zone as u32 + 1),
                cell: CellId(hosts[entry.host].pod as u32),
                started,
                weight: 1.0,
            });
        }
        self.proxies[proxy].events.push_back(Event::ServerList { kind, entries });
        self.withdraw(proxy);
        self.process_events(proxy);
    }
}
