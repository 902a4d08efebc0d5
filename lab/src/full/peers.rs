//! What the model's clients, hosts and discovery do with connections.

use super::net::{ConnId, Ev, For, Piece, World, OPENER, TAKER};
use super::wire::{self, Read};
use crate::invariants::Invariant;
use crate::model::host::{ExchangeResult, HostStatus};
use crate::model::registry::{ListUpdate, ListingState, ReplySchedule};
use crate::model::{Answer, CallState, Output};
use crate::proxy_config;
use crate::scenario::Idempotency;
use crate::Micros;
use serde_json::json;

/// Discovery says something at least this often.
const BEAT: Micros = 2_000_000;

impl World {
    /// Does what the model wants of its carrier, but for proxies' processes: those come back.
    pub fn carry(&mut self, out: Output) -> Option<(usize, bool)> {
        match out {
            Output::SendRequest(call) => self.client_asks(call, false),
            Output::CloseClient(call) => self.client_leaves(call),
            Output::EndExchange { host, exchange, result: ends } => self.host_says(host, exchange, ends),
            Output::HostChanged(host) => self.host_changed(host),
            Output::ListChanged => self.news(),
            Output::ProxyProcess { proxy, starts } => return Some((proxy, starts)),
            Output::LinksChanged => self.ways(),
            Output::ReadersChanged => {
                let open: Vec<ConnId> = self.conns.keys().copied().collect();
                for number in open {
                    if self.conns.get(&number).is_some_and(|conn| conn.of == For::Client) {
                        self.client_hears(number);
                    }
                }
            }
        }
        None
    }

    /// A client sends a request, on an idle connection unless that has just failed.
    fn client_asks(&mut self, call: u32, anew: bool) {
        let proxy = self.model.call(call).proxy as usize;
        let kept = if anew { None } else { self.idle[proxy].pop() };
        let number = kept.unwrap_or_else(|| self.open(proxy, For::Client));
        let Some(conn) = self.conns.get_mut(&number) else { return };
        conn.call = Some(call);
        if anew {
            // One that fails as well is not tried again.
            conn.stale = true;
        }
        if conn.up {
            self.client_sends(number, call);
        }
    }

    pub fn client_up(&mut self, number: ConnId) {
        if let Some(call) = self.conns.get(&number).and_then(|conn| conn.call) {
            self.client_sends(number, call);
        }
    }

    fn client_sends(&mut self, number: ConnId, call: u32) {
        let scenario = self.model.scenario.clone();
        let at = self.model.call(call);
        let class = &scenario.classes[usize::from(at.class)];
        let method = if class.idempotency == Idempotency::Free { "GET" } else { "POST" };
        // What is left of the client's time when it sends.
        let budget = (at.deadline.saturating_sub(self.model.now) / 1_000).max(1);
        let mut text = format!(
            "{method} /api HTTP/1.1\r\nHost: api\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\nX-Caller: {}\r\nX-Budget-Ms: {budget}\r\n",
            wire::id(call),
            class.name,
            proxy_config::tenant(at.tenant.into()),
        );
        if at.key != 0 {
            text += &format!("Idempotency-Key: {:016x}\r\n", at.key);
        }
        if at.is_retry {
            text += "X-Again: 1\r\n";
        }
        if class.idempotency != Idempotency::Free {
            text += &format!("Content-Length: {}\r\n", scenario.load.body);
        }
        let mut bytes = (text + "\r\n").into_bytes();
        if class.idempotency != Idempotency::Free {
            // A repeat with a key is the same request: its body says the key, and nothing of the call.
            let body = if at.key == 0 { format!("{call:08}") } else { format!("{:08}", at.key % 99_999_989) };
            bytes.extend(body.bytes().cycle().take(scenario.load.body));
        }
        self.write(number, TAKER, bytes, None);
    }

    /// Something has come to a client, or its connection's end.
    pub fn client_hears(&mut self, number: ConnId) {
        let Some(conn) = self.conns.get(&number) else { return };
        if self.model.proxies[conn.proxy].slow_reader && !conn.sides[OPENER].ended {
            return;
        }
        loop {
            let Some(conn) = self.conns.get_mut(&number) else { return };
            let (proxy, call, side) = (conn.proxy, conn.call, &mut conn.sides[OPENER]);
            let (ended, written) = (side.ended, side.written);
            let head = match wire::response(side.come.make_contiguous()) {
                Read::Head(head) if side.come.len() >= head.head + head.body => head,
                Read::Bad if !side.come.is_empty() => {
                    if let Some(call) = call {
                        self.model.record_violation(
                            Invariant::OneAnswer,
                            call,
                            None,
                            "what was said is no answer".to_owned(),
                        );
                    }
                    return self.client_closes(number);
                }
                _ if ended => return self.client_lost(number),
                _ => return,
            };
            let body = wire::take(&mut side.come, &head);
            conn.call = None;
            conn.served += 1;
            self.read(number, OPENER, head.head + head.body);
            let Some(call) = call else {
                // Nothing was asked.
                self.model.record_violation(
                    Invariant::OneAnswer,
                    u32::MAX,
                    None,
                    "an answer that nobody asked for".to_owned(),
                );
                return self.client_closes(number);
            };
            let answer = match head.first.as_str() {
                "200" => Answer::Served,
                "503" | "429" => Answer::Refused(
                    head.header("retry-after")
                        .and_then(|after| after.parse::<f64>().ok())
                        .map(|seconds| (seconds.clamp(0.0, 3_600.0) * 1e6) as Micros),
                ),
                _ => Answer::Failed,
            };
            if answer == Answer::Served && !self.is_its_answer(call, &head, &body) {
                let said = String::from_utf8_lossy(&body[..body.len().min(16)]).into_owned();
                self.model.record_violation(
                    Invariant::OneAnswer,
                    call,
                    None,
                    format!("another call's answer: {said}"),
                );
            }
            if let (Answer::Served, Some(made_for)) =
                (answer, std::str::from_utf8(&body).ok().and_then(wire::call))
            {
                self.model.record_answer_source(call, made_for);
            }
            let close = head.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
            if close || ended {
                self.client_closes(number);
            } else {
                self.idle[proxy].push(number);
            }
            self.model.record_answer(call, answer, written, &mut self.queue);
        }
    }

    /// Whether an answer was made for a call, or for one with its key.
    fn is_its_answer(&self, call: u32, head: &wire::Head, body: &[u8]) -> bool {
        let made_for = std::str::from_utf8(body).ok().and_then(wire::call);
        let Some(made_for) = made_for else { return false };
        let key = self.model.call(call).key;
        let replayed = head.header("idempotency-replayed").is_some() || key != 0;
        made_for == call
            || replayed
                && key != 0
                && self.model.calls.get(made_for as usize).is_some_and(|other| other.key == key)
    }

    fn client_closes(&mut self, number: ConnId) {
        if let Some(conn) = self.conns.get(&number) {
            let proxy = conn.proxy;
            self.idle[proxy].retain(|idle| *idle != number);
        }
        self.close(number, OPENER);
    }

    /// A client's connection has ended without an answer.
    fn client_lost(&mut self, number: ConnId) {
        let Some(conn) = self.conns.get_mut(&number) else { return };
        let (call, crossed) = (conn.call.take(), conn.served > 0 && !conn.stale);
        // What is closed between two requests may cross the next: that is sent once more, unless its proxy has died.
        self.client_closes(number);
        let Some(call) = call else { return };
        let up = self.model.proxies[self.model.call(call).proxy as usize].up;
        if crossed && up && self.model.call(call).state == CallState::Open {
            return self.client_asks(call, true);
        }
        self.model.record_answer(call, Answer::NoResponse, self.model.now, &mut self.queue);
    }

    fn client_leaves(&mut self, call: u32) {
        let proxy = self.model.call(call).proxy as usize;
        let on = self.conns.iter().find(|(_, conn)| conn.of == For::Client && conn.call == Some(call));
        if let Some((&number, _)) = on.filter(|(_, conn)| conn.proxy == proxy) {
            if let Some(conn) = self.conns.get_mut(&number) {
                conn.call = None;
            }
            self.client_closes(number);
        }
    }

    /// A proxy writes the first bytes of a request to a host.
    pub fn asks_host(&mut self, number: ConnId, host: usize, bytes: &[u8]) {
        let Read::Head(head) = wire::request(bytes) else { return };
        let call = head.header("x-call-id").and_then(wire::call);
        let Some(call) = call.filter(|&call| (call as usize) < self.model.calls.len()) else { return };
        let stale = self.model.is_stale(call, host);
        if let Some(conn) = self.conns.get_mut(&number) {
            conn.asking = true;
            conn.call = Some(call);
            conn.stale = stale && conn.served > 0;
        }
        self.model.record_attempt(call, host, self.model.now);
    }

    /// Something has come to a host.
    pub fn host_hears(&mut self, number: ConnId, host: usize) {
        let Some(conn) = self.conns.get_mut(&number) else { return };
        let first = conn.served == 0;
        let side = &mut conn.sides[TAKER];
        if side.ended {
            if let Some(exchange) = conn.exchange.take() {
                self.exchanges.remove(&exchange);
                self.model.hosts[host].cancel(exchange);
            }
            self.uncount(number);
            return self.close(number, TAKER);
        }
        let Read::Head(head) = wire::request(side.come.make_contiguous()) else { return };
        if side.come.len() < head.head + head.body {
            return;
        }
        wire::take(&mut side.come, &head);
        self.read(number, TAKER, head.head + head.body);
        let call = head.header("x-call-id").and_then(wire::call);
        let call = call.filter(|&call| (call as usize) < self.model.calls.len());
        let budget = head.header("x-budget-ms").and_then(|ms| ms.parse::<u64>().ok());
        let (Some(call), Some(budget)) = (call, budget) else { return };
        self.next += 1;
        let exchange = self.next;
        self.exchanges.insert(exchange, number);
        if let Some(conn) = self.conns.get_mut(&number) {
            conn.exchange = Some(exchange);
        }
        let until = self.model.now + budget * 1_000;
        self.model.request_arrived(call, host, exchange, until, first, &mut self.queue);
    }

    fn host_says(&mut self, host: usize, exchange: u64, ends: ExchangeResult) {
        let Some(number) = self.exchanges.remove(&exchange) else { return };
        let (scenario, now) = (self.model.scenario.clone(), self.model.now);
        let report = self.model.hosts[host].report(now, host, scenario.fleet.reports);
        let Some(conn) = self.conns.get_mut(&number) else { return };
        conn.exchange = None;
        conn.served += 1;
        conn.asking = false;
        let Some(call) = conn.call.take() else { return };
        let served = conn.served;
        let load = report.map_or_else(String::new, |(in_hand, waiting)| {
            format!("X-Load-Report: active={in_hand},waiting={waiting}\r\n")
        });
        let text = match ends {
            ExchangeResult::Served => {
                let body: String = wire::id(call).chars().cycle().take(scenario.load.answer).collect();
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
                self.put(number, OPENER, Piece::Reset);
                self.uncount(number);
                return self.close(number, TAKER);
            }
            ExchangeResult::NoReply => return,
        };
        self.write(number, OPENER, text.into_bytes(), None);
        self.queue.schedule(now + scenario.fleet.idle_timeout_ms * 1_000, Ev::Idle { conn: number, served });
    }

    /// A host closes what has been idle for too long.
    pub fn is_idle(&mut self, number: ConnId, served: u32) {
        let idle = |conn: &super::net::Conn| conn.served == served && conn.exchange.is_none() && !conn.asking;
        if self.conns.get(&number).is_some_and(idle) {
            self.uncount(number);
            self.close(number, TAKER);
        }
    }

    /// A host has died, or has come up: its system resets what it does not know.
    fn host_changed(&mut self, host: usize) {
        let (up, epoch) = (self.model.hosts[host].status, self.model.hosts[host].epoch);
        let of_before =
            |of: For| matches!(of, For::Host { host: at, epoch: of } if at == host && of != epoch);
        let lost: Vec<ConnId> =
            self.conns.iter().filter(|(_, conn)| of_before(conn.of)).map(|(&number, _)| number).collect();
        for number in lost {
            let Some(conn) = self.conns.get_mut(&number) else { continue };
            conn.counted = false;
            if let Some(exchange) = conn.exchange.take() {
                self.exchanges.remove(&exchange);
            }
            if up == HostStatus::Dead && conn.up {
                self.put(number, OPENER, Piece::Reset);
                self.abandon(number, TAKER);
            }
        }
    }

    /// Something has come to discovery.
    pub fn discovery_hears(&mut self, number: ConnId) {
        let Some(conn) = self.conns.get_mut(&number) else { return };
        let side = &mut conn.sides[TAKER];
        if side.ended {
            return self.close(number, TAKER);
        }
        let Read::Head(head) = wire::request(side.come.make_contiguous()) else { return };
        wire::take(&mut side.come, &head);
        let since = head.first.split_once("since=").and_then(|(_, since)| since.parse().ok());
        let now = self.model.now;
        match self.model.registry.schedule_reply(now) {
            ReplySchedule::Answered(at) if at == now => self.turn(number, since, false),
            ReplySchedule::Answered(at) => {
                self.queue.schedule(at, Ev::Turn { conn: number, since, fails: false })
            }
            ReplySchedule::Fails(at) => {
                self.queue.schedule(at, Ev::Turn { conn: number, since, fails: true })
            }
        }
    }

    /// A watch's turn.
    pub fn turn(&mut self, number: ConnId, since: Option<u64>, fails: bool) {
        let Some(conn) = self.conns.get_mut(&number) else { return };
        if fails {
            self.put(number, OPENER, Piece::Reset);
            return self.close(number, TAKER);
        }
        conn.heard = Some(since);
        if !self.model.registry.silent {
            self.tell(number);
        }
        self.queue.schedule(self.model.now + BEAT, Ev::Beat { conn: number });
    }

    /// Tells a watch what it has not heard.
    fn tell(&mut self, number: ConnId) {
        let Some(conn) = self.conns.get_mut(&number) else { return };
        let Some(heard) = conn.heard else { return };
        // One that asked while nothing was said is answered when something is.
        if !std::mem::replace(&mut conn.begun, true) {
            let answer =
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
            self.write(number, OPENER, answer.as_bytes().to_vec(), None);
        }
        let Some(news) = self.model.registry.changes_since(heard) else { return };
        if let Some(conn) = self.conns.get_mut(&number) {
            conn.heard = Some(Some(news.seq));
        }
        let line = wire::chunk(&self.line(&news));
        self.write(number, OPENER, line, Some(Box::new(news)));
    }

    /// The list that a proxy's next process starts with.
    pub fn known(&self, proxy: usize) -> Option<serde_json::Value> {
        let known = self.model.proxies[proxy].cached_list.as_ref()?;
        Some(self.listed(known))
    }

    fn line(&self, news: &ListUpdate) -> String {
        self.listed(news).to_string() + "\n"
    }

    fn listed(&self, news: &ListUpdate) -> serde_json::Value {
        let hosts: Vec<_> = news
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
                let real = self.addresses.as_ref().and_then(|real| real.get(entry.host).copied());
                let dial = real.unwrap_or_else(|| proxy_config::host_address(entry.host));
                json!({"host": format!("h-{}", entry.host), "dial": dial.to_string(),
                       "site": format!("zone-{}", host.zone), "class": "m", "block": host.pod, "health": health,
                       "share": 1.0, "born_ms": born})
            })
            .collect();
        json!({"seq": news.seq, "whole": news.is_full, "hosts": hosts})
    }

    pub fn beat(&mut self, number: ConnId) {
        if self.conns.get(&number).is_none_or(|conn| conn.heard.is_none()) {
            return;
        }
        let begun = self.conns.get(&number).is_some_and(|conn| conn.begun);
        if begun && !self.model.registry.silent {
            self.write(number, OPENER, wire::chunk("\n"), None);
        }
        self.queue.schedule(self.model.now + BEAT, Ev::Beat { conn: number });
    }

    /// The list has changed, or discovery is down.
    fn news(&mut self) {
        let watches: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, conn)| conn.of == For::Discovery)
            .map(|(&number, _)| number)
            .collect();
        for number in watches {
            if self.model.registry.down {
                self.put(number, OPENER, Piece::Reset);
                self.close(number, TAKER);
            } else if !self.model.registry.silent {
                self.tell(number);
            }
        }
    }
}
