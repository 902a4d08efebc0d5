//! A proxy in fleet depth: its balancer, open calls, idle connections, and its watch of the server list.

use super::{FleetEvent, FleetSimulation, WatchEvent};
use crate::baseline::LoadBalancer;
use crate::model::registry::{ListUpdate, ListingState, ReplySchedule};
use crate::random::RandomStream;
use crate::Micros;
use nettleworks_policy as policy;
use policy::{CellId, Entry, Event, ListKind, ServerId, ServerState, ZoneId};
use std::collections::{BTreeMap, VecDeque};

/// A watch that is silent for this long is given up, as in the engine.
const SILENCE_TIMEOUT: Micros = 5_000_000;
/// Where the list is pushed, a watch that has failed is opened again after this time, and a silent one at once, as in the
/// engine.
const PUSH_RETRY: Micros = 1_000_000;

/// A call that has not been answered yet, or still has attempts in flight.
pub(super) struct OpenCall {
    pub deadline: Micros,
    /// The exchange of each attempt, `None` once the attempt has ended.
    pub attempts: Vec<Option<u64>>,
    /// The client has been answered or no longer waits.
    pub answered: bool,
}

/// An idle connection to a host.
#[derive(Clone, Copy)]
pub(super) struct IdleConnection {
    pub since: Micros,
    /// Number of starts of the host when the connection was opened.
    pub epoch: u32,
}

/// The state of a proxy's process.
pub(super) struct Proxy {
    pub balancer: Box<dyn LoadBalancer>,
    /// Number of restarts of the process.
    pub epoch: u32,
    pub up: bool,
    /// Events are queued and not passed to the balancer at once.
    pub busy: bool,
    pub events: VecDeque<Event>,
    pub calls: BTreeMap<u32, OpenCall>,
    pub idle: BTreeMap<usize, Vec<IdleConnection>>,
    /// Number of connections to hosts, established or being established.
    pub open: usize,
    /// Number of the timer that was set last.
    pub timer: u64,
    /// Number of the watch that was opened last.
    pub watch: u64,
    /// Discovery has accepted the watch and sends it updates.
    pub is_watching: bool,
    /// Version of the list.
    pub seq: Option<u64>,
    /// Whether each host is listed as ready for new requests, by host.
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

    /// Adds a call.
    pub fn open(&mut self, call: u32, deadline: Micros) {
        self.calls.insert(call, OpenCall { deadline, attempts: Vec::new(), answered: false });
    }

    /// Removes a call that is answered and has no attempts in flight.
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
    /// The network delay between a proxy and discovery in one direction. `message` seeds its jitter.
    fn discovery_delay(&self, proxy: usize, message: u64) -> Micros {
        let network = &self.model.scenario.network;
        let mut draw = RandomStream::new(
            self.model.seed,
            "watch",
            proxy as u64,
            self.proxies[proxy].watch << 32 | message,
        );
        (network.near_us * (1.0 + network.jitter * draw.uniform())) as Micros
    }

    /// Opens a watch in place of the previous one.
    pub(super) fn subscribe(&mut self, proxy: usize) {
        self.model.metrics.watches += 1;
        let state = &mut self.proxies[proxy];
        state.watch += 1;
        state.is_watching = false;
        // One round trip for the connection, then the request.
        let delay = 3 * self.discovery_delay(proxy, 0);
        self.schedule_watch_event(proxy, delay, WatchEvent::RequestArrived);
    }

    fn schedule_watch_event(&mut self, proxy: usize, delay: Micros, event: WatchEvent) {
        let state = &self.proxies[proxy];
        let (epoch, watch) = (state.epoch, state.watch);
        self.queue.schedule(self.model.now + delay, FleetEvent::Watch { proxy, epoch, watch, event });
    }

    /// Handles an event of a proxy's watch.
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
                match self.model.registry.schedule_reply(now) {
                    ReplySchedule::Answered(at) if at == now => self.accept_watch(proxy),
                    ReplySchedule::Answered(at) => {
                        self.schedule_watch_event(proxy, at - now, WatchEvent::Accepted)
                    }
                    ReplySchedule::Fails(at) => {
                        self.schedule_watch_event(proxy, at - now + back, WatchEvent::Failed)
                    }
                }
            }
            WatchEvent::Accepted => self.accept_watch(proxy),
            WatchEvent::UpdateArrived => {
                if let Some(update) = self.model.registry.changes_since(self.proxies[proxy].seq) {
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
                if !self.model.scenario.discovery.pull {
                    self.schedule_watch_event(proxy, retry, WatchEvent::Retry);
                }
            }
            WatchEvent::Retry => self.subscribe(proxy),
        }
    }

    /// Accepts a watch at discovery: from now on it gets updates, the first of them at once.
    fn accept_watch(&mut self, proxy: usize) {
        self.proxies[proxy].is_watching = true;
        let back = self.discovery_delay(proxy, 1);
        self.schedule_watch_event(proxy, back, WatchEvent::UpdateArrived);
    }

    /// Sends updates to all watches after the list has changed, or ends the watches if discovery is down or silent.
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

    /// Handles an update of the list that arrives at a proxy.
    fn receive_update(&mut self, proxy: usize, update: &ListUpdate) {
        self.model.record_list_update(proxy, update);
        self.apply_update(proxy, update, if update.is_full { ListKind::Full } else { ListKind::Delta });
    }

    /// Applies a list update or a cached list to a proxy, as the engine does.
    pub(super) fn apply_update(&mut self, proxy: usize, update: &ListUpdate, kind: ListKind) {
        let hosts = &self.model.hosts;
        let state = &mut self.proxies[proxy];
        state.seq = Some(update.seq);
        state.ready.resize(hosts.len(), false);
        if update.is_full {
            state.ready.fill(false);
        }
        let mut entries = Vec::with_capacity(update.entries.len());
        for entry in &update.entries {
            state.ready[entry.host] = entry.state == ListingState::Ready;
            let server_state = match entry.state {
                ListingState::Ready => ServerState::Ready,
                ListingState::Terminating => ServerState::Draining,
                ListingState::Removed => ServerState::Removed,
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
