//! The model's clients, hosts and discovery as HTTP/1.1 endpoints of simulated connections.

use super::net::{ConnectionId, ConnectionKind, NetworkEvent, Segment, Simulation, ACCEPTOR, INITIATOR};
use super::wire::{self, ParsedHead};
use crate::invariants::Invariant;
use crate::model::host::{ExchangeResult, HostStatus};
use crate::model::registry::{ListUpdate, ListingState, ReplySchedule};
use crate::model::{Answer, CallState, Output};
use crate::proxy_config;
use crate::scenario::Idempotency;
use crate::Micros;
use serde_json::json;

/// Interval at which discovery sends a heartbeat to each watch.
const HEARTBEAT_INTERVAL: Micros = 2_000_000;

impl Simulation {
    /// Carries out an output of the model. The start or stop of a proxy's process is returned to the caller instead, as the
    /// proxy and whether it starts.
    pub fn carry_out(&mut self, out: Output) -> Option<(usize, bool)> {
        match out {
            Output::SendRequest(call) => self.client_requests(call, false),
            Output::CloseClient(call) => self.client_leaves(call),
            Output::EndExchange { host, exchange, result: ends } => self.host_responds(host, exchange, ends),
            Output::HostChanged(host) => self.host_changed(host),
            Output::ListChanged => self.list_changed(),
            Output::ProxyProcess { proxy, starts } => return Some((proxy, starts)),
            Output::LinksChanged => self.links_changed(),
            Output::ReadersChanged => {
                let open: Vec<ConnectionId> = self.connections.keys().copied().collect();
                for id in open {
                    if self.connections.get(&id).is_some_and(|conn| conn.kind == ConnectionKind::Client) {
                        self.client_receives(id);
                    }
                }
            }
        }
        None
    }

    /// Sends a client's request, on an idle connection or, with `new_connection`, on a new one because an idle one has failed.
    fn client_requests(&mut self, call: u32, new_connection: bool) {
        let proxy = self.model.call(call).proxy as usize;
        let reused = if new_connection { None } else { self.idle[proxy].pop() };
        let id = reused.unwrap_or_else(|| self.open(proxy, ConnectionKind::Client));
        let Some(conn) = self.connections.get_mut(&id) else { return };
        conn.call = Some(call);
        if new_connection {
            // A request is repeated only once: the mark prevents another repeat if this connection fails too.
            conn.stale = true;
        }
        if conn.established {
            self.client_sends(id, call);
        }
    }

    /// Sends the request of a client whose connection has been established.
    pub fn client_connected(&mut self, id: ConnectionId) {
        if let Some(call) = self.connections.get(&id).and_then(|conn| conn.call) {
            self.client_sends(id, call);
        }
    }

    /// Writes the request of a call to a connection.
    fn client_sends(&mut self, id: ConnectionId, call: u32) {
        let scenario = self.model.scenario.clone();
        let request = self.model.call(call);
        let class = &scenario.classes[usize::from(request.class)];
        let method = if class.idempotency == Idempotency::Free { "GET" } else { "POST" };
        // The time left until the client's deadline when it sends.
        let budget = (request.deadline.saturating_sub(self.model.now) / 1_000).max(1);
        let mut text = format!(
            "{method} /api HTTP/1.1\r\nHost: api\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\nX-Caller: {}\r\nX-Budget-Ms: {budget}\r\n",
            wire::format_call_id(call),
            class.name,
            proxy_config::tenant(request.tenant.into()),
        );
        if request.key != 0 {
            text += &format!("Idempotency-Key: {:016x}\r\n", request.key);
        }
        if request.is_retry {
            text += "X-Again: 1\r\n";
        }
        if class.idempotency != Idempotency::Free {
            text += &format!("Content-Length: {}\r\n", scenario.load.body);
        }
        let mut bytes = (text + "\r\n").into_bytes();
        if class.idempotency != Idempotency::Free {
            // A repeat with an idempotency key must be the same request, so its body depends on the key and not on the call.
            let body = if request.key == 0 {
                format!("{call:08}")
            } else {
                format!("{:08}", request.key % 99_999_989)
            };
            bytes.extend(body.bytes().cycle().take(scenario.load.body));
        }
        self.write(id, ACCEPTOR, bytes, None);
    }

    /// Reads responses from a client's connection after data or its end has arrived there.
    pub fn client_receives(&mut self, id: ConnectionId) {
        let Some(conn) = self.connections.get(&id) else { return };
        if self.model.proxies[conn.proxy].slow_reader && !conn.endpoints[INITIATOR].ended {
            return;
        }
        loop {
            let Some(conn) = self.connections.get_mut(&id) else { return };
            let (proxy, call, side) = (conn.proxy, conn.call, &mut conn.endpoints[INITIATOR]);
            let (ended, written_at) = (side.ended, side.written_at);
            let head = match wire::parse_response(side.received.make_contiguous()) {
                ParsedHead::Head(head) if side.received.len() >= head.head_length + head.body_length => head,
                ParsedHead::Invalid if !side.received.is_empty() => {
                    if let Some(call) = call {
                        self.model.record_violation(
                            Invariant::OneAnswer,
                            call,
                            None,
                            "the response is not valid HTTP".to_owned(),
                        );
                    }
                    return self.client_closes(id);
                }
                _ if ended => return self.client_lost(id),
                _ => return,
            };
            let body = wire::take_message(&mut side.received, &head);
            conn.call = None;
            conn.served += 1;
            self.bytes_read(id, INITIATOR, head.head_length + head.body_length);
            let Some(call) = call else {
                // No request is open on this connection.
                self.model.record_violation(
                    Invariant::OneAnswer,
                    u32::MAX,
                    None,
                    "a response without a request".to_owned(),
                );
                return self.client_closes(id);
            };
            let answer = match head.target_or_status.as_str() {
                "200" => Answer::Served,
                "503" | "429" => Answer::Refused(
                    head.header("retry-after")
                        .and_then(|after| after.parse::<f64>().ok())
                        .map(|seconds| (seconds.clamp(0.0, 3_600.0) * 1e6) as Micros),
                ),
                _ => Answer::Failed,
            };
            if answer == Answer::Served && !self.belongs_to(call, &head, &body) {
                let start = String::from_utf8_lossy(&body[..body.len().min(16)]).into_owned();
                self.model.record_violation(
                    Invariant::OneAnswer,
                    call,
                    None,
                    format!("response of another call: {start}"),
                );
            }
            if let (Answer::Served, Some(source)) =
                (answer, std::str::from_utf8(&body).ok().and_then(wire::parse_call_id))
            {
                self.model.record_answer_source(call, source);
            }
            let close = head.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
            if close || ended {
                self.client_closes(id);
            } else {
                self.idle[proxy].push(id);
            }
            self.model.record_answer(call, answer, written_at, &mut self.queue);
        }
    }

    /// Whether a response was produced for a call, or for another call with the same idempotency key.
    fn belongs_to(&self, call: u32, head: &wire::Head, body: &[u8]) -> bool {
        let source = std::str::from_utf8(body).ok().and_then(wire::parse_call_id);
        let Some(source) = source else { return false };
        let key = self.model.call(call).key;
        let replayed = head.header("idempotency-replayed").is_some() || key != 0;
        source == call
            || replayed
                && key != 0
                && self.model.calls.get(source as usize).is_some_and(|other| other.key == key)
    }

    /// Closes a client's connection and takes it out of the idle ones.
    fn client_closes(&mut self, id: ConnectionId) {
        if let Some(conn) = self.connections.get(&id) {
            let proxy = conn.proxy;
            self.idle[proxy].retain(|idle| *idle != id);
        }
        self.close(id, INITIATOR);
    }

    /// Handles a client's connection that has ended without a response.
    fn client_lost(&mut self, id: ConnectionId) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        let (call, reused) = (conn.call.take(), conn.served > 0 && !conn.stale);
        // The proxy may close an idle connection while the client sends its next request on it. The client repeats such a
        // request once, unless the proxy has died.
        self.client_closes(id);
        let Some(call) = call else { return };
        let up = self.model.proxies[self.model.call(call).proxy as usize].up;
        if reused && up && self.model.call(call).state == CallState::Open {
            return self.client_requests(call, true);
        }
        self.model.record_answer(call, Answer::NoResponse, self.model.now, &mut self.queue);
    }

    /// Closes the connection of a client that no longer waits for its response.
    fn client_leaves(&mut self, call: u32) {
        let proxy = self.model.call(call).proxy as usize;
        let carrier = self
            .connections
            .iter()
            .find(|(_, conn)| conn.kind == ConnectionKind::Client && conn.call == Some(call));
        if let Some((&id, _)) = carrier.filter(|(_, conn)| conn.proxy == proxy) {
            if let Some(conn) = self.connections.get_mut(&id) {
                conn.call = None;
            }
            self.client_closes(id);
        }
    }

    /// Records the attempt when a proxy writes the first bytes of a request to a host.
    pub fn request_started(&mut self, id: ConnectionId, host: usize, bytes: &[u8]) {
        let ParsedHead::Head(head) = wire::parse_request(bytes) else { return };
        let call = head.header("x-call-id").and_then(wire::parse_call_id);
        let Some(call) = call.filter(|&call| (call as usize) < self.model.calls.len()) else { return };
        let stale = self.model.is_stale(call, host);
        if let Some(conn) = self.connections.get_mut(&id) {
            conn.request_open = true;
            conn.call = Some(call);
            conn.stale = stale && conn.served > 0;
        }
        self.model.record_attempt(call, host, self.model.now);
    }

    /// Reads a request from a host's connection after data or its end has arrived there.
    pub fn host_receives(&mut self, id: ConnectionId, host: usize) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        let first = conn.served == 0;
        let side = &mut conn.endpoints[ACCEPTOR];
        if side.ended {
            if let Some(exchange) = conn.exchange.take() {
                self.exchanges.remove(&exchange);
                self.model.hosts[host].cancel(exchange);
            }
            self.uncount(id);
            return self.close(id, ACCEPTOR);
        }
        let ParsedHead::Head(head) = wire::parse_request(side.received.make_contiguous()) else { return };
        if side.received.len() < head.head_length + head.body_length {
            return;
        }
        wire::take_message(&mut side.received, &head);
        self.bytes_read(id, ACCEPTOR, head.head_length + head.body_length);
        let call = head.header("x-call-id").and_then(wire::parse_call_id);
        let call = call.filter(|&call| (call as usize) < self.model.calls.len());
        let budget = head.header("x-budget-ms").and_then(|ms| ms.parse::<u64>().ok());
        let (Some(call), Some(budget)) = (call, budget) else { return };
        self.last_id += 1;
        let exchange = self.last_id;
        self.exchanges.insert(exchange, id);
        if let Some(conn) = self.connections.get_mut(&id) {
            conn.exchange = Some(exchange);
        }
        let until = self.model.now + budget * 1_000;
        self.model.request_arrived(call, host, exchange, until, first, &mut self.queue);
    }

    /// Writes the result of an exchange to its connection.
    fn host_responds(&mut self, host: usize, exchange: u64, ends: ExchangeResult) {
        let Some(id) = self.exchanges.remove(&exchange) else { return };
        let (scenario, now) = (self.model.scenario.clone(), self.model.now);
        let report = self.model.hosts[host].report(now, host, scenario.fleet.reports);
        let Some(conn) = self.connections.get_mut(&id) else { return };
        conn.exchange = None;
        conn.served += 1;
        conn.request_open = false;
        let Some(call) = conn.call.take() else { return };
        let served = conn.served;
        let load = report.map_or_else(String::new, |(in_hand, waiting)| {
            format!("X-Load-Report: active={in_hand},waiting={waiting}\r\n")
        });
        let text = match ends {
            ExchangeResult::Served => {
                let body: String =
                    wire::format_call_id(call).chars().cycle().take(scenario.load.answer).collect();
                format!("HTTP/1.1 200 OK\r\n{load}Content-Length: {}\r\n\r\n{body}", body.len())
            }
            ExchangeResult::TurnedAway => {
                format!(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\n{load}Content-Length: 0\r\n\r\n"
                )
            }
            ExchangeResult::Error => {
                format!("HTTP/1.1 500 Internal Server Error\r\n{load}Content-Length: 0\r\n\r\n")
            }
            ExchangeResult::Reset => {
                self.send_segment(id, INITIATOR, Segment::Reset);
                self.uncount(id);
                return self.close(id, ACCEPTOR);
            }
            ExchangeResult::NoReply => return,
        };
        self.write(id, INITIATOR, text.into_bytes(), None);
        self.queue.schedule(
            now + scenario.fleet.idle_timeout_ms * 1_000,
            NetworkEvent::IdleTimeout { conn: id, served },
        );
    }

    /// Closes a connection at its host if it has been idle since the response with the number `served`.
    pub fn close_if_idle(&mut self, id: ConnectionId, served: u32) {
        let idle = |conn: &super::net::Connection| {
            conn.served == served && conn.exchange.is_none() && !conn.request_open
        };
        if self.connections.get(&id).is_some_and(idle) {
            self.uncount(id);
            self.close(id, ACCEPTOR);
        }
    }

    /// Drops the connections of the previous process after a host has died or restarted. The operating system of a dead host
    /// resets them.
    fn host_changed(&mut self, host: usize) {
        let (up, epoch) = (self.model.hosts[host].status, self.model.hosts[host].epoch);
        let of_previous_process = |kind: ConnectionKind| matches!(kind, ConnectionKind::Host { host: other, epoch: started } if other == host && started != epoch);
        let lost: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, conn)| of_previous_process(conn.kind))
            .map(|(&id, _)| id)
            .collect();
        for id in lost {
            let Some(conn) = self.connections.get_mut(&id) else { continue };
            conn.counted = false;
            if let Some(exchange) = conn.exchange.take() {
                self.exchanges.remove(&exchange);
            }
            if up == HostStatus::Dead && conn.established {
                self.send_segment(id, INITIATOR, Segment::Reset);
                self.abandon(id, ACCEPTOR);
            }
        }
    }

    /// Reads a watch request from discovery's connection after data or its end has arrived there.
    pub fn discovery_receives(&mut self, id: ConnectionId) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        let side = &mut conn.endpoints[ACCEPTOR];
        if side.ended {
            return self.close(id, ACCEPTOR);
        }
        let ParsedHead::Head(head) = wire::parse_request(side.received.make_contiguous()) else { return };
        wire::take_message(&mut side.received, &head);
        let since = head.target_or_status.split_once("since=").and_then(|(_, since)| since.parse().ok());
        let now = self.model.now;
        match self.model.registry.schedule_reply(now) {
            ReplySchedule::Answered(at) if at == now => self.reply_to_watch(id, since, false),
            ReplySchedule::Answered(at) => {
                self.queue.schedule(at, NetworkEvent::WatchReply { conn: id, since, fails: false })
            }
            ReplySchedule::Fails(at) => {
                self.queue.schedule(at, NetworkEvent::WatchReply { conn: id, since, fails: true })
            }
        }
    }

    /// Starts the response to a watch that asked for changes after a version, or resets its connection.
    pub fn reply_to_watch(&mut self, id: ConnectionId, since: Option<u64>, fails: bool) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        if fails {
            self.send_segment(id, INITIATOR, Segment::Reset);
            return self.close(id, ACCEPTOR);
        }
        conn.watch_version = Some(since);
        if !self.model.registry.silent {
            self.send_changes(id);
        }
        self.queue.schedule(self.model.now + HEARTBEAT_INTERVAL, NetworkEvent::Heartbeat { conn: id });
    }

    /// Sends a watch the changes of the list since the version that it has.
    fn send_changes(&mut self, id: ConnectionId) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        let Some(version) = conn.watch_version else { return };
        // A watch that began while discovery was silent gets the head of its response now.
        if !std::mem::replace(&mut conn.head_sent, true) {
            let head =
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
            self.write(id, INITIATOR, head.as_bytes().to_vec(), None);
        }
        let Some(update) = self.model.registry.changes_since(version) else { return };
        if let Some(conn) = self.connections.get_mut(&id) {
            conn.watch_version = Some(Some(update.seq));
        }
        let line = wire::chunk(&self.update_line(&update));
        self.write(id, INITIATOR, line, Some(Box::new(update)));
    }

    /// The cached list with which the next process of a proxy starts.
    pub fn cached_list(&self, proxy: usize) -> Option<serde_json::Value> {
        let cached = self.model.proxies[proxy].cached_list.as_ref()?;
        Some(self.update_json(cached))
    }

    fn update_line(&self, update: &ListUpdate) -> String {
        self.update_json(update).to_string() + "\n"
    }

    /// A list update in the format of discovery.
    fn update_json(&self, update: &ListUpdate) -> serde_json::Value {
        let hosts: Vec<_> = update
            .entries
            .iter()
            .map(|entry| {
                let health = match entry.state {
                    ListingState::Ready => "Ready",
                    ListingState::Terminating => "Terminating",
                    ListingState::Removed => "Gone",
                };
                let born = if entry.started == 0 { 0 } else { proxy_config::EPOCH * 1_000 + entry.started / 1_000 };
                let host = &self.model.hosts[entry.host];
                let real = self.real_addresses.as_ref().and_then(|real| real.get(entry.host).copied());
                let dial = real.unwrap_or_else(|| proxy_config::host_address(entry.host));
                json!({"host": format!("h-{}", entry.host), "dial": dial.to_string(),
                       "site": format!("zone-{}", host.zone), "class": "m", "block": host.pod, "health": health,
                       "share": 1.0, "born_ms": born})
            })
            .collect();
        json!({"seq": update.seq, "whole": update.is_full, "hosts": hosts})
    }

    /// Sends a heartbeat to a watch and schedules the next one.
    pub fn send_heartbeat(&mut self, id: ConnectionId) {
        if self.connections.get(&id).is_none_or(|conn| conn.watch_version.is_none()) {
            return;
        }
        let head_sent = self.connections.get(&id).is_some_and(|conn| conn.head_sent);
        if head_sent && !self.model.registry.silent {
            self.write(id, INITIATOR, wire::chunk("\n"), None);
        }
        self.queue.schedule(self.model.now + HEARTBEAT_INTERVAL, NetworkEvent::Heartbeat { conn: id });
    }

    /// Sends changes to all watches after the list has changed, or resets them if discovery is down.
    fn list_changed(&mut self) {
        let watches: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, conn)| conn.kind == ConnectionKind::Discovery)
            .map(|(&id, _)| id)
            .collect();
        for id in watches {
            if self.model.registry.down {
                self.send_segment(id, INITIATOR, Segment::Reset);
                self.close(id, ACCEPTOR);
            } else if !self.model.registry.silent {
                self.send_changes(id);
            }
        }
    }
}
