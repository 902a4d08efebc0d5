//! What the model's clients, hosts and discovery do with connections.

use super::net::{ConnectionId, ConnectionKind, NetworkEvent, Segment, Simulation, ACCEPTOR, INITIATOR};
use super::wire::{self, ParsedHead};
use crate::judge::Rule;
use crate::model::host::{Ends, Up};
use crate::model::registry::{Listed, News, Turn};
use crate::model::{Answer, At, Out};
use crate::scenario::Kind;
use crate::site;
use crate::Micros;
use serde_json::json;

/// Discovery says something at least this often.
const HEARTBEAT_INTERVAL: Micros = 2_000_000;

impl Simulation {
    /// Does what the model wants of its carrier, but for proxies' processes: those come back.
    pub fn carry_out(&mut self, out: Out) -> Option<(usize, bool)> {
        match out {
            Out::Ask(call) => self.client_requests(call, false),
            Out::Leave(call) => self.client_leaves(call),
            Out::Says { host, exchange, ends } => self.host_responds(host, exchange, ends),
            Out::Host(host) => self.host_changed(host),
            Out::News => self.list_changed(),
            Out::Proxy { proxy, starts } => return Some((proxy, starts)),
            Out::Ways => self.links_changed(),
            Out::Readers => {
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

    /// A client sends a request, on an idle connection unless that has just failed.
    fn client_requests(&mut self, call: u32, new_connection: bool) {
        let proxy = self.model.call(call).proxy as usize;
        let reused = if new_connection { None } else { self.idle[proxy].pop() };
        let id = reused.unwrap_or_else(|| self.open(proxy, ConnectionKind::Client));
        let Some(conn) = self.connections.get_mut(&id) else { return };
        conn.call = Some(call);
        if new_connection {
            // One that fails as well is not tried again.
            conn.stale = true;
        }
        if conn.established {
            self.client_sends(id, call);
        }
    }

    pub fn client_connected(&mut self, id: ConnectionId) {
        if let Some(call) = self.connections.get(&id).and_then(|conn| conn.call) {
            self.client_sends(id, call);
        }
    }

    fn client_sends(&mut self, id: ConnectionId, call: u32) {
        let scenario = self.model.scenario.clone();
        let request = self.model.call(call);
        let class = &scenario.classes[usize::from(request.class)];
        let method = if class.kind == Kind::Free { "GET" } else { "POST" };
        // What is left of the client's time when it sends.
        let budget = (request.deadline.saturating_sub(self.model.now) / 1_000).max(1);
        let mut text = format!(
            "{method} /api HTTP/1.1\r\nHost: api\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\nX-Caller: {}\r\nX-Budget-Ms: {budget}\r\n",
            wire::format_call_id(call),
            class.name,
            site::tenant(request.tenant.into()),
        );
        if request.key != 0 {
            text += &format!("Idempotency-Key: {:016x}\r\n", request.key);
        }
        if request.again {
            text += "X-Again: 1\r\n";
        }
        if class.kind != Kind::Free {
            text += &format!("Content-Length: {}\r\n", scenario.load.body);
        }
        let mut bytes = (text + "\r\n").into_bytes();
        if class.kind != Kind::Free {
            // A repeat with a key is the same request: its body says the key, and nothing of the call.
            let body = if request.key == 0 {
                format!("{call:08}")
            } else {
                format!("{:08}", request.key % 99_999_989)
            };
            bytes.extend(body.bytes().cycle().take(scenario.load.body));
        }
        self.write(id, ACCEPTOR, bytes, None);
    }

    /// Something has come to a client, or its connection's end.
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
                        self.model.broken(
                            Rule::OneAnswer,
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
                // Nothing was asked.
                self.model.broken(Rule::OneAnswer, u32::MAX, None, "a response without a request".to_owned());
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
                self.model.broken(Rule::OneAnswer, call, None, format!("response of another call: {start}"));
            }
            if let (Answer::Served, Some(source)) =
                (answer, std::str::from_utf8(&body).ok().and_then(wire::parse_call_id))
            {
                self.model.answer_was_made_for(call, source);
            }
            let close = head.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
            if close || ended {
                self.client_closes(id);
            } else {
                self.idle[proxy].push(id);
            }
            self.model.answered(call, answer, written_at, &mut self.queue);
        }
    }

    /// Whether an answer was made for a call, or for one with its key.
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

    fn client_closes(&mut self, id: ConnectionId) {
        if let Some(conn) = self.connections.get(&id) {
            let proxy = conn.proxy;
            self.idle[proxy].retain(|idle| *idle != id);
        }
        self.close(id, INITIATOR);
    }

    /// A client's connection has ended without an answer.
    fn client_lost(&mut self, id: ConnectionId) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        let (call, reused) = (conn.call.take(), conn.served > 0 && !conn.stale);
        // What is closed between two requests may cross the next: that is sent once more, unless its proxy has died.
        self.client_closes(id);
        let Some(call) = call else { return };
        let up = self.model.proxies[self.model.call(call).proxy as usize].up;
        if reused && up && self.model.call(call).at == At::Open {
            return self.client_requests(call, true);
        }
        self.model.answered(call, Answer::Broken, self.model.now, &mut self.queue);
    }

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

    /// A proxy writes the first bytes of a request to a host.
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
        self.model.sent(call, host, self.model.now);
    }

    /// Something has come to a host.
    pub fn host_receives(&mut self, id: ConnectionId, host: usize) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        let first = conn.served == 0;
        let side = &mut conn.endpoints[ACCEPTOR];
        if side.ended {
            if let Some(exchange) = conn.exchange.take() {
                self.exchanges.remove(&exchange);
                self.model.hosts[host].forget(exchange);
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
        self.model.reached(call, host, exchange, until, first, &mut self.queue);
    }

    fn host_responds(&mut self, host: usize, exchange: u64, ends: Ends) {
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
            Ends::Served => {
                let body: String =
                    wire::format_call_id(call).chars().cycle().take(scenario.load.answer).collect();
                format!("HTTP/1.1 200 OK\r\n{load}Content-Length: {}\r\n\r\n{body}", body.len())
            }
            Ends::TurnedAway => {
                format!(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\n{load}Content-Length: 0\r\n\r\n"
                )
            }
            Ends::Error => format!("HTTP/1.1 500 Internal Server Error\r\n{load}Content-Length: 0\r\n\r\n"),
            Ends::Reset => {
                self.send_segment(id, INITIATOR, Segment::Reset);
                self.uncount(id);
                return self.close(id, ACCEPTOR);
            }
            Ends::Never => return,
        };
        self.write(id, INITIATOR, text.into_bytes(), None);
        let timeout = NetworkEvent::IdleTimeout { conn: id, served };
        self.queue.put(now + scenario.fleet.keep_ms * 1_000, timeout);
    }

    /// A host closes what has been idle for too long.
    pub fn close_if_idle(&mut self, id: ConnectionId, served: u32) {
        let idle = |conn: &super::net::Connection| {
            conn.served == served && conn.exchange.is_none() && !conn.request_open
        };
        if self.connections.get(&id).is_some_and(idle) {
            self.uncount(id);
            self.close(id, ACCEPTOR);
        }
    }

    /// A host has died, or has come up: its system resets what it does not know.
    fn host_changed(&mut self, host: usize) {
        let (up, epoch) = (self.model.hosts[host].up, self.model.hosts[host].epoch);
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
            if up == Up::Dead && conn.established {
                self.send_segment(id, INITIATOR, Segment::Reset);
                self.abandon(id, ACCEPTOR);
            }
        }
    }

    /// Something has come to discovery.
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
        match self.model.registry.asked(now) {
            Turn::Answered(at) if at == now => self.reply_to_watch(id, since, false),
            Turn::Answered(at) => {
                self.queue.put(at, NetworkEvent::WatchReply { conn: id, since, fails: false })
            }
            Turn::Fails(at) => self.queue.put(at, NetworkEvent::WatchReply { conn: id, since, fails: true }),
        }
    }

    /// A watch's turn.
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
        self.queue.put(self.model.now + HEARTBEAT_INTERVAL, NetworkEvent::Heartbeat { conn: id });
    }

    /// Tells a watch what it has not heard.
    fn send_changes(&mut self, id: ConnectionId) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        let Some(version) = conn.watch_version else { return };
        // One that asked while nothing was said is answered when something is.
        if !std::mem::replace(&mut conn.head_sent, true) {
            let head =
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
            self.write(id, INITIATOR, head.as_bytes().to_vec(), None);
        }
        let Some(update) = self.model.registry.news(version) else { return };
        if let Some(conn) = self.connections.get_mut(&id) {
            conn.watch_version = Some(Some(update.seq));
        }
        let line = wire::chunk(&self.update_line(&update));
        self.write(id, INITIATOR, line, Some(Box::new(update)));
    }

    /// The list that a proxy's next process starts with.
    pub fn cached_list(&self, proxy: usize) -> Option<serde_json::Value> {
        let cached = self.model.proxies[proxy].known.as_ref()?;
        Some(self.update_json(cached))
    }

    fn update_line(&self, update: &News) -> String {
        self.update_json(update).to_string() + "\n"
    }

    fn update_json(&self, update: &News) -> serde_json::Value {
        let hosts: Vec<_> = update
            .entries
            .iter()
            .map(|entry| {
                let health = match entry.listed {
                    Listed::Ready => "Ready",
                    Listed::Terminating => "Terminating",
                    Listed::Gone => "Gone",
                };
                let born = if entry.started == 0 { 0 } else { site::EPOCH * 1_000 + entry.started / 1_000 };
                let host = &self.model.hosts[entry.host];
                let real = self.real_addresses.as_ref().and_then(|real| real.get(entry.host).copied());
                let dial = real.unwrap_or_else(|| site::host_address(entry.host));
                json!({"host": format!("h-{}", entry.host), "dial": dial.to_string(),
                       "site": format!("zone-{}", host.zone), "class": "m", "block": host.pod, "health": health,
                       "share": 1.0, "born_ms": born})
            })
            .collect();
        json!({"seq": update.seq, "whole": update.whole, "hosts": hosts})
    }

    pub fn send_heartbeat(&mut self, id: ConnectionId) {
        if self.connections.get(&id).is_none_or(|conn| conn.watch_version.is_none()) {
            return;
        }
        let head_sent = self.connections.get(&id).is_some_and(|conn| conn.head_sent);
        if head_sent && !self.model.registry.silent {
            self.write(id, INITIATOR, wire::chunk("\n"), None);
        }
        self.queue.put(self.model.now + HEARTBEAT_INTERVAL, NetworkEvent::Heartbeat { conn: id });
    }

    /// The list has changed, or discovery is down.
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
