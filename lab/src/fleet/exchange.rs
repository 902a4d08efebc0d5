//! Exchanges in fleet depth: one attempt on a modelled connection, from the balancer's decision to its outcome.

use super::proxy::IdleConnection;
use super::{FleetEvent, FleetSimulation};
use crate::event_log::EventKind;
use crate::model::host::{ExchangeResult, HostStatus};
use crate::model::Answer;
use crate::random::RandomStream;
use crate::Micros;
use nettleworks_policy as policy;
use policy::{CallId, Load, Outcome};

/// Retransmission interval of events that a network partition blocks.
const RETRANSMIT: Micros = 50_000;

/// Progress of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Its connection is being established.
    Connecting,
    /// Its request has been written.
    Written,
}

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(super) struct Exchange {
    pub proxy: usize,
    pub call: u32,
    pub attempt: u32,
    pub host: usize,
    /// Number of starts of the host when the connection was opened. It identifies the host's process.
    pub epoch: u32,
    pub sent_at: Micros,
    pub deadline: Micros,
    pub stage: Stage,
    /// Whether this is the first exchange on its connection.
    pub first: bool,
    /// Whether its connection is counted in the host's number of open connections.
    pub counted: bool,
}

/// An event of an exchange.
#[derive(Clone, Copy, Debug)]
pub(super) enum ExchangeEvent {
    /// The SYN of its connection arrives at the host.
    SynArrived,
    /// Its connection is established.
    Connected,
    /// Its connection is refused.
    Refused,
    /// Its request arrives at the host.
    RequestArrived,
    /// The host's response arrives at the proxy.
    ResponseArrived(ExchangeResult, LoadReport),
    /// The reset of its connection arrives at the proxy. `stale`: the host had closed or lost the connection before the
    /// request.
    Reset { stale: bool },
    /// The deadline of the attempt has passed.
    DeadlineExpired,
    /// The connect timeout has passed.
    ConnectTimeout,
}

/// A host's load report, if it sends one: requests in progress and requests waiting.
pub(super) type LoadReport = Option<(u32, u32)>;

impl ExchangeEvent {
    /// Whether the event travels from the host to the proxy (`true`) or to the host (`false`). `None` for the proxy's timers.
    fn is_from_host(self) -> Option<bool> {
        match self {
            ExchangeEvent::SynArrived | ExchangeEvent::RequestArrived => Some(false),
            ExchangeEvent::Connected
            | ExchangeEvent::Refused
            | ExchangeEvent::ResponseArrived(..)
            | ExchangeEvent::Reset { .. } => Some(true),
            ExchangeEvent::DeadlineExpired | ExchangeEvent::ConnectTimeout => None,
        }
    }
}

impl FleetSimulation {
    fn schedule_event(&mut self, exchange: u64, delay: Micros, event: ExchangeEvent) {
        self.queue.schedule(self.model.now + delay, FleetEvent::Exchange { exchange, event });
    }

    /// Schedules the arrival of an event after the network delay between an exchange's proxy and host.
    fn transmit(&mut self, id: u64, event: ExchangeEvent) {
        let exchange = &self.exchanges[&id];
        let from_host = event.is_from_host() == Some(true);
        let (_, added) = self.model.link(exchange.proxy, exchange.host, from_host);
        let network = &self.model.scenario.network;
        let near = self.model.proxies[exchange.proxy].zone == self.model.hosts[exchange.host].zone;
        let mean = if near { network.near_us } else { network.far_us };
        let stage = u64::from(from_host) << 1 | u64::from(exchange.stage == Stage::Written);
        let name = u64::from(exchange.call) << 8 | u64::from(exchange.attempt);
        let share = RandomStream::new(self.model.seed, "way", name, stage).uniform();
        let delay = (mean * (1.0 + network.jitter * share)) as Micros + added;
        self.schedule_event(id, delay, event);
    }

    /// Starts an attempt of a call, as the balancer has decided. `until` is its deadline in the balancer's clock.
    pub(super) fn send(&mut self, proxy: usize, call: u32, host: usize, until: Option<Micros>) {
        let now = self.model.now;
        let ready = self.proxies[proxy].is_ready(host);
        let Some(open) = self.proxies[proxy].calls.get_mut(&call) else { return };
        let attempt = open.attempts.len() as u32;
        let deadline = until.map_or(open.deadline, |at| at.saturating_sub(super::EPOCH).min(open.deadline));
        let sendable = ready && !open.answered && now < deadline;
        let reused = if sendable { self.take_idle(proxy, host) } else { None };
        let full = sendable && reused.is_none() && !self.make_room(proxy);
        let Some(open) = self.proxies[proxy].calls.get_mut(&call) else { return };
        if !sendable || full {
            open.attempts.push(None);
            let closed = open.answered;
            return self.report_outcome(proxy, call, attempt, Outcome::NotSent, 0, closed, Load::default());
        }
        self.next_exchange += 1;
        let id = self.next_exchange;
        open.attempts.push(Some(id));
        let epoch = reused.map_or(self.model.hosts[host].epoch, |idle| idle.epoch);
        let (stage, first) = (Stage::Connecting, reused.is_none());
        let counted = !first;
        let (sent_at, same_process) = (now, epoch == self.model.hosts[host].epoch);
        let exchange =
            Exchange { proxy, call, attempt, host, epoch, sent_at, deadline, stage, first, counted };
        self.exchanges.insert(id, exchange);
        self.schedule_event(id, deadline - now, ExchangeEvent::DeadlineExpired);
        if first {
            self.proxies[proxy].open += 1;
            self.schedule_event(
                id,
                self.limits.connect_timeout.min(deadline - now),
                ExchangeEvent::ConnectTimeout,
            );
            return self.transmit(id, ExchangeEvent::SynArrived);
        }
        if same_process && self.model.hosts[host].status == HostStatus::Up && self.model.is_stale(call, host)
        {
            // The host has already closed this connection: the request is written but never arrives.
            self.record_written(id);
            return self.transmit(id, ExchangeEvent::Reset { stale: true });
        }
        self.write_request(id);
    }

    /// Takes the most recently used idle connection of a proxy to a host.
    fn take_idle(&mut self, proxy: usize, host: usize) -> Option<IdleConnection> {
        self.proxies[proxy].idle.get_mut(&host)?.pop()
    }

    /// Returns whether a proxy may open one more connection. At its limit, it closes the oldest idle one first.
    fn make_room(&mut self, proxy: usize) -> bool {
        if self.proxies[proxy].open < self.limits.connections {
            return true;
        }
        let idle = &self.proxies[proxy].idle;
        let oldest =
            idle.iter().filter_map(|(&host, connections)| Some((connections.first()?.since, host))).min();
        let Some((since, host)) = oldest else { return false };
        self.close_idle_since(proxy, host, since);
        true
    }

    /// Closes the connection that has been idle since this time, unless it has been used again or closed.
    pub(super) fn close_idle_since(&mut self, proxy: usize, host: usize, since: Micros) {
        let state = &mut self.proxies[proxy];
        let Some(connections) = state.idle.get_mut(&host) else { return };
        let Some(index) = connections.iter().position(|idle| idle.since == since) else { return };
        let idle = connections.remove(index);
        state.open = state.open.saturating_sub(1);
        self.connection_closed(host, idle.epoch);
    }

    /// Takes a closed connection out of the number of open connections of a host's process.
    pub(super) fn connection_closed(&mut self, host: usize, epoch: u32) {
        let host = &mut self.model.hosts[host];
        if host.epoch == epoch {
            host.connections = host.connections.saturating_sub(1);
        }
    }

    /// Records that the request of an exchange has been written.
    fn record_written(&mut self, id: u64) {
        let Some(exchange) = self.exchanges.get_mut(&id) else { return };
        exchange.stage = Stage::Written;
        let (call, host) = (exchange.call, exchange.host);
        self.model.record_attempt(call, host, self.model.now);
    }

    fn write_request(&mut self, id: u64) {
        self.record_written(id);
        self.transmit(id, ExchangeEvent::RequestArrived);
    }

    /// Handles an event of an exchange. Events of an exchange that has ended are ignored.
    pub(super) fn handle_exchange(&mut self, id: u64, event: ExchangeEvent) {
        let Some(exchange) = self.exchanges.get(&id) else { return };
        if let Some(from_host) = event.is_from_host() {
            if self.model.link(exchange.proxy, exchange.host, from_host).0 {
                return self.schedule_event(id, RETRANSMIT, event);
            }
        }
        let (host, epoch, call, deadline, first) =
            (exchange.host, exchange.epoch, exchange.call, exchange.deadline, exchange.first);
        match event {
            ExchangeEvent::SynArrived => self.receive_syn(id, host),
            ExchangeEvent::Connected => {
                // The request is written only once, and not if a list update has meanwhile cancelled the exchange.
                if exchange.stage == Stage::Connecting {
                    self.write_request(id);
                }
            }
            ExchangeEvent::Refused => self.finish(id, Outcome::NoConnection, None, false),
            ExchangeEvent::RequestArrived => match self.model.hosts[host].status {
                HostStatus::Up if self.model.hosts[host].epoch == epoch => {
                    self.model.request_arrived(call, host, id, deadline, first, &mut self.queue);
                }
                // The host does not know this connection and resets it.
                HostStatus::Up | HostStatus::Dead => {
                    self.transmit(id, ExchangeEvent::Reset { stale: !first })
                }
                HostStatus::Vanished => {}
            },
            ExchangeEvent::ResponseArrived(result, load) => self.receive_response(id, result, load),
            ExchangeEvent::Reset { stale } => {
                let outcome = if stale { Outcome::Stale } else { Outcome::Reset };
                self.finish(id, outcome, None, false);
            }
            ExchangeEvent::DeadlineExpired => {
                let outcome =
                    if exchange.stage == Stage::Written { Outcome::TimedOut } else { Outcome::NoConnection };
                self.finish(id, outcome, None, false);
            }
            ExchangeEvent::ConnectTimeout => {
                if exchange.stage == Stage::Connecting {
                    self.finish(id, Outcome::NoConnection, None, false);
                }
            }
        }
    }

    /// Accepts or refuses the connection of an exchange at its host.
    fn receive_syn(&mut self, id: u64, host: usize) {
        let limit = self.model.scenario.fleet.connections;
        let host_state = &mut self.model.hosts[host];
        match host_state.status {
            HostStatus::Vanished => {}
            HostStatus::Up if host_state.connections < limit => {
                host_state.connections += 1;
                let (open, epoch) = (host_state.connections, host_state.epoch);
                self.model.metrics.opened_connections += 1;
                self.model.metrics.peak_connections = self.model.metrics.peak_connections.max(open);
                if let Some(exchange) = self.exchanges.get_mut(&id) {
                    exchange.counted = true;
                    exchange.epoch = epoch;
                }
                self.transmit(id, ExchangeEvent::Connected);
            }
            HostStatus::Up | HostStatus::Dead => {
                self.model.log.record(self.model.now, EventKind::Connection, [id, host as u64, 0]);
                self.transmit(id, ExchangeEvent::Refused);
            }
        }
    }

    /// Sends the result of an exchange from its host to the proxy.
    pub(super) fn host_responds(&mut self, id: u64, result: ExchangeResult) {
        let Some(exchange) = self.exchanges.get(&id) else { return };
        let host = exchange.host;
        let reports = self.model.scenario.fleet.reports;
        let report = self.model.hosts[host].report(self.model.now, host, reports);
        let report = report.map(|(active, waiting)| (active as u32, waiting as u32));
        match result {
            ExchangeResult::Reset => self.transmit(id, ExchangeEvent::Reset { stale: false }),
            ExchangeResult::NoReply => {}
            ExchangeResult::Served | ExchangeResult::TurnedAway | ExchangeResult::Error => {
                self.transmit(id, ExchangeEvent::ResponseArrived(result, report))
            }
        }
    }

    fn receive_response(&mut self, id: u64, result: ExchangeResult, load: LoadReport) {
        let outcome = match result {
            ExchangeResult::Served => Outcome::Served,
            ExchangeResult::TurnedAway => Outcome::TurnedAway,
            ExchangeResult::Error => Outcome::Error,
            ExchangeResult::Reset | ExchangeResult::NoReply => Outcome::Unknown,
        };
        self.finish(id, outcome, load, true);
    }

    /// Ends an exchange: keeps or closes its connection, and reports the outcome to the balancer.
    fn finish(&mut self, id: u64, outcome: Outcome, load: LoadReport, keep_connection: bool) {
        let Some(exchange) = self.exchanges.remove(&id) else { return };
        let now = self.model.now;
        self.release_connection(id, &exchange, keep_connection);
        let cause = match outcome {
            Outcome::Stale => Some("stale"),
            Outcome::Reset => Some("reset"),
            Outcome::TimedOut => Some("timed out"),
            Outcome::NoConnection => Some("no connection"),
            _ => None,
        };
        cause.into_iter().for_each(|cause| self.model.record_failure_cause(exchange.call, cause));
        let proxy = &mut self.proxies[exchange.proxy];
        let Some(open) = proxy.calls.get_mut(&exchange.call) else { return };
        open.attempts[exchange.attempt as usize] = None;
        let is_answer = outcome == Outcome::Served && !open.answered;
        open.answered |= is_answer;
        let closed = open.answered;
        if is_answer {
            self.model.record_answer(exchange.call, Answer::Served, now, &mut self.queue);
        }
        let load = load.map_or_else(Load::default, |(active, waiting)| Load {
            active: Some(active.into()),
            waiting: Some(waiting.into()),
            cpu: None,
        });
        self.report_outcome(
            exchange.proxy,
            exchange.call,
            exchange.attempt,
            outcome,
            now - exchange.sent_at,
            closed,
            load,
        );
        self.proxies[exchange.proxy].remove_if_finished(exchange.call);
    }

    /// Makes the connection of an exchange idle if it can be used again, and closes it otherwise.
    fn release_connection(&mut self, id: u64, exchange: &Exchange, keep: bool) {
        let now = self.model.now;
        let ready = self.proxies[exchange.proxy].is_ready(exchange.host);
        if keep && ready && self.model.hosts[exchange.host].epoch == exchange.epoch {
            let connections = self.proxies[exchange.proxy].idle.entry(exchange.host).or_default();
            // `since` identifies a connection to a host, so it must be unique.
            let since = connections.last().map_or(now, |last| now.max(last.since + 1));
            connections.push(IdleConnection { since, epoch: exchange.epoch });
            let timeout = FleetEvent::IdleTimeout { proxy: exchange.proxy, host: exchange.host, since };
            return self.queue.schedule(now + self.limits.idle_timeout, timeout);
        }
        let proxy = &mut self.proxies[exchange.proxy];
        proxy.open = proxy.open.saturating_sub(1);
        if exchange.counted {
            self.connection_closed(exchange.host, exchange.epoch);
        }
        if !keep && exchange.stage == Stage::Written {
            self.model.hosts[exchange.host].cancel(id);
        }
    }

    /// Removes an exchange of a proxy whose process has died.
    pub(super) fn drop_exchange(&mut self, id: u64) {
        if let Some(exchange) = self.exchanges.remove(&id) {
            self.release_connection(id, &exchange, false);
        }
    }

    /// Cancels an attempt, as the balancer has decided.
    pub(super) fn cancel(&mut self, proxy: usize, call: u32, attempt: u32) {
        let Some(open) = self.proxies[proxy].calls.get_mut(&call) else { return };
        let Some(id) = open.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        let closed = open.answered;
        let Some(exchange) = self.exchanges.remove(&id) else { return };
        self.release_connection(id, &exchange, false);
        self.model.record_failure_cause(call, "called off");
        let elapsed = self.model.now - exchange.sent_at;
        self.report_outcome(proxy, call, attempt, Outcome::CalledOff, elapsed, closed, Load::default());
        self.proxies[proxy].remove_if_finished(call);
    }

    #[expect(clippy::too_many_arguments, reason = "they are the fields of the event")]
    fn report_outcome(
        &mut self,
        proxy: usize,
        call: u32,
        attempt: u32,
        outcome: Outcome,
        elapsed: Micros,
        closed: bool,
        load: Load,
    ) {
        let call = CallId(call.into());
        self.feed_balancer(proxy, policy::Event::Outcome { call, attempt, outcome, elapsed, closed, load });
    }

    /// Ends a proxy's exchanges that are still connecting to hosts that are not ready, and closes idle connections to such
    /// hosts.
    pub(super) fn leave_unready_hosts(&mut self, proxy: usize) {
        let connecting: Vec<u64> = self.proxies[proxy]
            .calls
            .values()
            .flat_map(|open| open.attempts.iter().flatten().copied())
            .filter(|id| {
                let exchange = &self.exchanges[id];
                exchange.stage == Stage::Connecting && !self.proxies[proxy].is_ready(exchange.host)
            })
            .collect();
        // The balancer must see the list before the outcomes that follow from it: while the proxy is busy, events are queued in
        // order.
        self.proxies[proxy].busy = true;
        for id in connecting {
            self.finish(id, Outcome::NotSent, None, false);
        }
        self.proxies[proxy].busy = false;
        let hosts: Vec<usize> = self.proxies[proxy].idle.keys().copied().collect();
        for host in hosts {
            if !self.proxies[proxy].is_ready(host) {
                self.close_idle(proxy, host);
            }
        }
    }

    /// Closes all idle connections of a proxy to a host.
    fn close_idle(&mut self, proxy: usize, host: usize) {
        let connections = self.proxies[proxy].idle.remove(&host).unwrap_or_default();
        for idle in connections {
            self.proxies[proxy].open = self.proxies[proxy].open.saturating_sub(1);
            self.connection_closed(host, idle.epoch);
        }
    }

    /// Resets the connections of a host's previous process after the host has died or restarted.
    pub(super) fn host_changed(&mut self, host: usize) {
        if self.model.hosts[host].status == HostStatus::Vanished {
            return;
        }
        // The operating system resets the connections of a dead process and connections that it does not know.
        let epoch = self.model.hosts[host].epoch;
        let lost: Vec<(u64, bool)> = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| {
                exchange.host == host && exchange.epoch != epoch && exchange.stage == Stage::Written
            })
            .map(|(&id, exchange)| (id, exchange.counted))
            .collect();
        for (id, counted) in lost {
            if counted {
                self.transmit(id, ExchangeEvent::Reset { stale: false });
            }
        }
        for proxy in 0..self.proxies.len() {
            let state = &mut self.proxies[proxy];
            let Some(connections) = state.idle.get_mut(&host) else { continue };
            let before = connections.len();
            connections.retain(|idle| idle.epoch == epoch);
            state.open = state.open.saturating_sub(before - connections.len());
        }
    }
}
