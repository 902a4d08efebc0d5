//! Exchanges in fleet depth: an attempt on a connection that is modelled, from its decision to its outcome.

use super::proxy::Kept;
use super::{Ev, FleetSimulation};
use crate::draw::Draw;
use crate::log::Of;
use crate::model::host::{Ends, Up};
use crate::model::Answer;
use crate::Micros;
use nettleworks_policy as policy;
use policy::{CallId, Load, Outcome};

/// What is held back by a cut way looks again after this, as its sender would send it again.
const AGAIN: Micros = 50_000;

/// How far an exchange is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Its connection is being opened.
    Opens,
    /// Its request is written.
    Written,
}

/// An attempt that is out.
#[derive(Clone, Debug)]
pub(super) struct Exchange {
    pub proxy: usize,
    pub call: u32,
    pub attempt: u32,
    pub host: usize,
    /// The host's start that the connection leads to.
    pub epoch: u32,
    pub sent: Micros,
    pub until: Micros,
    pub stage: Stage,
    /// It is the first on its connection.
    pub first: bool,
    /// Its connection is counted at the host.
    pub counted: bool,
}

/// What happens to one.
#[derive(Clone, Copy, Debug)]
pub(super) enum Way {
    /// Its connection's first word is at the host.
    Knocks,
    /// Its connection is up.
    Opened,
    /// Its connection is refused.
    Refused,
    /// Its request is at the host.
    Arrives,
    /// The host's word is back.
    Back(Ends, Load2),
    /// Its connection has broken.
    Broken { stale: bool },
    /// Its time is up.
    Expires,
    /// Its connection's time to come up is.
    TooSlow,
}

/// A report, in hand and waiting, where there is one.
pub(super) type Load2 = Option<(u32, u32)>;

impl Way {
    /// Whether it goes back from the host, there, or is the proxy's own.
    fn back(self) -> Option<bool> {
        match self {
            Way::Knocks | Way::Arrives => Some(false),
            Way::Opened | Way::Refused | Way::Back(..) | Way::Broken { .. } => Some(true),
            Way::Expires | Way::TooSlow => None,
        }
    }
}

impl FleetSimulation {
    fn put_way(&mut self, exchange: u64, after: Micros, way: Way) {
        self.queue.put(self.model.now + after, Ev::Exchange { exchange, way });
    }

    /// Sends something on its way between an exchange's proxy and host.
    fn goes(&mut self, number: u64, way: Way) {
        let at = &self.exchanges[&number];
        let back = way.back() == Some(true);
        let (_, longer) = self.model.way(at.proxy, at.host, back);
        let network = &self.model.scenario.network;
        let near = self.model.proxies[at.proxy].zone == self.model.hosts[at.host].zone;
        let mean = if near { network.near_us } else { network.far_us };
        let stage = u64::from(back) << 1 | u64::from(at.stage == Stage::Written);
        let name = u64::from(at.call) << 8 | u64::from(at.attempt);
        let share = Draw::new(self.model.seed, "way", name, stage).share();
        let after = (mean * (1.0 + network.jitter * share)) as Micros + longer;
        self.put_way(number, after, way);
    }

    pub(super) fn send(&mut self, proxy: usize, call: u32, host: usize, until: Option<Micros>) {
        let now = self.model.now;
        let ready = self.proxies[proxy].is_ready(host);
        let Some(open) = self.proxies[proxy].calls.get_mut(&call) else { return };
        let attempt = open.attempts.len() as u32;
        let until = until.map_or(open.deadline, |at| at.saturating_sub(super::EPOCH).min(open.deadline));
        let goes = ready && !open.answered && now < until;
        let kept = if goes { self.kept(proxy, host) } else { None };
        let full = goes && kept.is_none() && !self.has_room(proxy);
        let Some(open) = self.proxies[proxy].calls.get_mut(&call) else { return };
        if !goes || full {
            open.attempts.push(None);
            let closed = open.answered;
            return self.outcome(proxy, call, attempt, Outcome::NotSent, 0, closed, Load::default());
        }
        self.next_exchange += 1;
        let number = self.next_exchange;
        open.attempts.push(Some(number));
        let epoch = kept.map_or(self.model.hosts[host].epoch, |kept| kept.epoch);
        let (stage, first) = (Stage::Opens, kept.is_none());
        let counted = !first;
        let (sent, same) = (now, epoch == self.model.hosts[host].epoch);
        let exchange = Exchange { proxy, call, attempt, host, epoch, sent, until, stage, first, counted };
        self.exchanges.insert(number, exchange);
        self.put_way(number, until - now, Way::Expires);
        if first {
            self.proxies[proxy].open += 1;
            self.put_way(number, self.site.connect.min(until - now), Way::TooSlow);
            return self.goes(number, Way::Knocks);
        }
        if same && self.model.hosts[host].up == Up::Up && self.model.is_stale(call, host) {
            // It is written to what its host has closed: it never comes there.
            self.written(number);
            return self.goes(number, Way::Broken { stale: true });
        }
        self.writes(number);
    }

    /// Takes a kept connection to a host, the last that was kept.
    fn kept(&mut self, proxy: usize, host: usize) -> Option<Kept> {
        self.proxies[proxy].idle.get_mut(&host)?.pop()
    }

    /// Whether a connection more may be opened; the oldest idle one is closed for it.
    fn has_room(&mut self, proxy: usize) -> bool {
        if self.proxies[proxy].open < self.site.connections {
            return true;
        }
        let idle = &self.proxies[proxy].idle;
        let oldest = idle.iter().filter_map(|(&host, kept)| Some((kept.first()?.since, host))).min();
        let Some((since, host)) = oldest else { return false };
        self.close_old(proxy, host, since);
        true
    }

    /// Closes a kept connection, if it is still kept.
    pub(super) fn close_old(&mut self, proxy: usize, host: usize, since: Micros) {
        let at = &mut self.proxies[proxy];
        let Some(kept) = at.idle.get_mut(&host) else { return };
        let Some(place) = kept.iter().position(|kept| kept.since == since) else { return };
        let kept = kept.remove(place);
        at.open = at.open.saturating_sub(1);
        self.closed(host, kept.epoch);
    }

    /// A connection to a host's start is no longer.
    pub(super) fn closed(&mut self, host: usize, epoch: u32) {
        let host = &mut self.model.hosts[host];
        if host.epoch == epoch {
            host.connections = host.connections.saturating_sub(1);
        }
    }

    fn written(&mut self, number: u64) {
        let Some(at) = self.exchanges.get_mut(&number) else { return };
        at.stage = Stage::Written;
        let (call, host) = (at.call, at.host);
        self.model.sent(call, host, self.model.now);
    }

    fn writes(&mut self, number: u64) {
        self.written(number);
        self.goes(number, Way::Arrives);
    }

    pub(super) fn exchange(&mut self, number: u64, way: Way) {
        let Some(at) = self.exchanges.get(&number) else { return };
        if let Some(back) = way.back() {
            if self.model.way(at.proxy, at.host, back).0 {
                return self.put_way(number, AGAIN, way);
            }
        }
        let (host, epoch, call, until, first) = (at.host, at.epoch, at.call, at.until, at.first);
        match way {
            Way::Knocks => self.knocks(number, host),
            Way::Opened => {
                // What was decided may have been overtaken by the list: then nothing is written.
                if at.stage == Stage::Opens {
                    self.writes(number);
                }
            }
            Way::Refused => self.ends(number, Outcome::NoConnection, None, false),
            Way::Arrives => match self.model.hosts[host].up {
                Up::Up if self.model.hosts[host].epoch == epoch => {
                    self.model.reached(call, host, number, until, first, &mut self.queue);
                }
                // It knows nothing of this connection.
                Up::Up | Up::Dead => self.goes(number, Way::Broken { stale: !first }),
                Up::Vanished => {}
            },
            Way::Back(ends, load) => self.back(number, ends, load),
            Way::Broken { stale } => {
                let outcome = if stale { Outcome::Stale } else { Outcome::Reset };
                self.ends(number, outcome, None, false);
            }
            Way::Expires => {
                let outcome =
                    if at.stage == Stage::Written { Outcome::TimedOut } else { Outcome::NoConnection };
                self.ends(number, outcome, None, false);
            }
            Way::TooSlow => {
                if at.stage == Stage::Opens {
                    self.ends(number, Outcome::NoConnection, None, false);
                }
            }
        }
    }

    fn knocks(&mut self, number: u64, host: usize) {
        let most = self.model.scenario.fleet.connections;
        let at = &mut self.model.hosts[host];
        match at.up {
            Up::Vanished => {}
            Up::Up if at.connections < most => {
                at.connections += 1;
                let (open, epoch) = (at.connections, at.epoch);
                self.model.tally.opened += 1;
                self.model.tally.connections = self.model.tally.connections.max(open);
                if let Some(exchange) = self.exchanges.get_mut(&number) {
                    exchange.counted = true;
                    exchange.epoch = epoch;
                }
                self.goes(number, Way::Opened);
            }
            Up::Up | Up::Dead => {
                self.model.log.note(self.model.now, Of::Connection, [number, host as u64, 0]);
                self.goes(number, Way::Refused);
            }
        }
    }

    /// A host has a word on an exchange.
    pub(super) fn says(&mut self, number: u64, ends: Ends) {
        let Some(at) = self.exchanges.get(&number) else { return };
        let host = at.host;
        let reports = self.model.scenario.fleet.reports;
        let report = self.model.hosts[host].report(self.model.now, host, reports);
        let report = report.map(|(in_hand, waiting)| (in_hand as u32, waiting as u32));
        match ends {
            Ends::Reset => self.goes(number, Way::Broken { stale: false }),
            Ends::Never => {}
            Ends::Served | Ends::TurnedAway | Ends::Error => self.goes(number, Way::Back(ends, report)),
        }
    }

    fn back(&mut self, number: u64, ends: Ends, load: Load2) {
        let outcome = match ends {
            Ends::Served => Outcome::Served,
            Ends::TurnedAway => Outcome::TurnedAway,
            Ends::Error => Outcome::Error,
            Ends::Reset | Ends::Never => Outcome::Unknown,
        };
        self.ends(number, outcome, load, true);
    }

    /// An attempt is over, and its connection is kept or not.
    fn ends(&mut self, number: u64, outcome: Outcome, load: Load2, keeps: bool) {
        let Some(at) = self.exchanges.remove(&number) else { return };
        let now = self.model.now;
        self.leaves_connection(number, &at, keeps);
        let said = match outcome {
            Outcome::Stale => Some("stale"),
            Outcome::Reset => Some("reset"),
            Outcome::TimedOut => Some("timed out"),
            Outcome::NoConnection => Some("no connection"),
            _ => None,
        };
        said.into_iter().for_each(|said| self.model.ended_by(at.call, said));
        let proxy = &mut self.proxies[at.proxy];
        let Some(open) = proxy.calls.get_mut(&at.call) else { return };
        open.attempts[at.attempt as usize] = None;
        let answers = outcome == Outcome::Served && !open.answered;
        open.answered |= answers;
        let closed = open.answered;
        if answers {
            self.model.answered(at.call, Answer::Served, now, &mut self.queue);
        }
        let load = load.map_or_else(Load::default, |(in_hand, waiting)| Load {
            active: Some(in_hand.into()),
            waiting: Some(waiting.into()),
            cpu: None,
        });
        self.outcome(at.proxy, at.call, at.attempt, outcome, now - at.sent, closed, load);
        self.proxies[at.proxy].tidy(at.call);
    }

    fn leaves_connection(&mut self, number: u64, at: &Exchange, keeps: bool) {
        let now = self.model.now;
        let ready = self.proxies[at.proxy].is_ready(at.host);
        if keeps && ready && self.model.hosts[at.host].epoch == at.epoch {
            let kept = self.proxies[at.proxy].idle.entry(at.host).or_default();
            // The time names it: two at once differ.
            let since = kept.last().map_or(now, |last| now.max(last.since + 1));
            kept.push(Kept { since, epoch: at.epoch });
            let old = Ev::Old { proxy: at.proxy, host: at.host, since };
            return self.queue.put(now + self.site.keep, old);
        }
        let proxy = &mut self.proxies[at.proxy];
        proxy.open = proxy.open.saturating_sub(1);
        if at.counted {
            self.closed(at.host, at.epoch);
        }
        if !keeps && at.stage == Stage::Written {
            self.model.hosts[at.host].forget(number);
        }
    }

    /// An exchange of a process that is no more.
    pub(super) fn drop_exchange(&mut self, number: u64) {
        if let Some(at) = self.exchanges.remove(&number) {
            self.leaves_connection(number, &at, false);
        }
    }

    pub(super) fn cancel(&mut self, proxy: usize, call: u32, attempt: u32) {
        let Some(open) = self.proxies[proxy].calls.get_mut(&call) else { return };
        let Some(number) = open.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        let closed = open.answered;
        let Some(at) = self.exchanges.remove(&number) else { return };
        self.leaves_connection(number, &at, false);
        self.model.ended_by(call, "called off");
        let elapsed = self.model.now - at.sent;
        self.outcome(proxy, call, attempt, Outcome::CalledOff, elapsed, closed, Load::default());
        self.proxies[proxy].tidy(call);
    }

    #[expect(clippy::too_many_arguments, reason = "they are the event's")]
    fn outcome(
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
        self.module(proxy, policy::Event::Outcome { call, attempt, outcome, elapsed, closed, load });
    }

    /// Takes back what is not yet written to hosts that are not ready, and closes what is idle there.
    pub(super) fn withdraw(&mut self, proxy: usize) {
        let gone: Vec<u64> = self.proxies[proxy]
            .calls
            .values()
            .flat_map(|open| open.attempts.iter().flatten().copied())
            .filter(|number| {
                let at = &self.exchanges[number];
                at.stage == Stage::Opens && !self.proxies[proxy].is_ready(at.host)
            })
            .collect();
        // The list first, then what it undoes: events wait in their order while the proxy is busy.
        self.proxies[proxy].busy = true;
        for number in gone {
            self.ends(number, Outcome::NotSent, None, false);
        }
        self.proxies[proxy].busy = false;
        let hosts: Vec<usize> = self.proxies[proxy].idle.keys().copied().collect();
        for host in hosts {
            if !self.proxies[proxy].is_ready(host) {
                self.close_idle(proxy, host);
            }
        }
    }

    fn close_idle(&mut self, proxy: usize, host: usize) {
        let kept = self.proxies[proxy].idle.remove(&host).unwrap_or_default();
        for kept in kept {
            self.proxies[proxy].open = self.proxies[proxy].open.saturating_sub(1);
            self.closed(host, kept.epoch);
        }
    }

    /// A host went down or came up.
    pub(super) fn host(&mut self, host: usize) {
        if self.model.hosts[host].up == Up::Vanished {
            return;
        }
        // Its system resets what it does not know, and what its dead process had.
        let epoch = self.model.hosts[host].epoch;
        let out: Vec<(u64, bool)> = self
            .exchanges
            .iter()
            .filter(|(_, at)| at.host == host && at.epoch != epoch && at.stage == Stage::Written)
            .map(|(&number, at)| (number, at.counted))
            .collect();
        for (number, counted) in out {
            if counted {
                self.goes(number, Way::Broken { stale: false });
            }
        }
        for proxy in 0..self.proxies.len() {
            let at = &mut self.proxies[proxy];
            let Some(kept) = at.idle.get_mut(&host) else { continue };
            let before = kept.len();
            kept.retain(|kept| kept.epoch == epoch);
            at.open = at.open.saturating_sub(before - kept.len());
        }
    }
}
