//! The model of what a proxy serves, with no I/O and no clock: clients, hosts, discovery and faults, on events that whoever
//! carries it puts in order. Carriers (full stack, fleet depth, loopback) bring it what reaches hosts and clients, and
//! take [`Out`]s from it; all that is drawn, counted and judged is here, so it is the same in every depth.

pub mod host;
pub mod registry;
mod trouble;

use crate::draw::{micros, Draw};
use crate::judge::{Break, Rule, Told, GRACE};
use crate::log::{Log, Of};
use crate::queue::Queue;
use crate::scenario::{Kind, Scenario};
use crate::tally::{Ended, Tally};
use crate::Micros;
use host::{Ends, Host, Job, Taken, Up};
use registry::Registry;
use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasherDefault;
use std::rc::Rc;
use twox_hash::XxHash64;

/// Most taps that follow a first one.
const TAPS_MOST: usize = 3;

/// Tables that are only looked up in, never walked: hashed the same in each run all the same.
pub(crate) type Table<K, V> = HashMap<K, V, BuildHasherDefault<XxHash64>>;

/// What the model has put in the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A client's next thing may begin.
    Arrival(u32),
    /// A client asks.
    Ask(u32),
    /// A client's time is up.
    Patience(u32),
    /// A client leaves early.
    Leave(u32),
    /// A host is done with an exchange.
    Done {
        /// Which host.
        host: usize,
        /// Of which start.
        epoch: u32,
        /// Which exchange.
        exchange: u64,
    },
    /// A request that came while its host stalled.
    Take {
        /// Which host.
        host: usize,
        /// Of which start.
        epoch: u32,
        /// The request.
        job: Job,
    },
    /// A fault begins or ends.
    Fault {
        /// Its number.
        number: usize,
        /// Whether it begins.
        begins: bool,
    },
    /// Discovery flaps.
    Flap(usize),
    /// Discovery learns of a host.
    Learned {
        /// Of the host's start.
        epoch: u32,
        /// What.
        entry: registry::Entry,
    },
    /// A host that drains ends.
    DrainEnds {
        /// Which.
        host: usize,
        /// Of which start.
        epoch: u32,
    },
}

/// What a carrier is to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Out {
    /// A client asks its proxy: [`Model::call`] has it.
    Ask(u32),
    /// A client leaves, whatever is open.
    Leave(u32),
    /// A host ends an exchange.
    Says {
        /// Which host.
        host: usize,
        /// Which exchange.
        exchange: u64,
        /// How.
        ends: Ends,
    },
    /// A host went down, or came up.
    Host(usize),
    /// The list has changed, or what discovery says of it.
    News,
    /// A proxy's process dies, or starts.
    Proxy {
        /// Which.
        proxy: usize,
        /// Whether it starts.
        starts: bool,
    },
    /// Ways between proxies and hosts have changed.
    Ways,
    /// Clients of a proxy read again, or no longer.
    Readers,
}

/// What a client hears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// Served, by whatever host.
    Served,
    /// Refused, to come back after so long.
    Refused(Option<Micros>),
    /// Any other status.
    Failed,
    /// The connection ended without an answer.
    Broken,
}

/// Where a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum At {
    /// Not asked yet.
    Before,
    /// Asked.
    Open,
    /// Its client has its answer, written then.
    Answered(Micros),
    /// Nobody waits any more, since then.
    Over(Micros),
}

/// One try of a client.
#[derive(Clone, Debug)]
pub struct Call {
    /// The thing that it is for.
    pub thing: u32,
    /// Its proxy.
    pub proxy: u32,
    /// Its class.
    pub class: u8,
    /// Its tenant.
    pub tenant: u8,
    /// The client says that it has tried before.
    pub again: bool,
    /// Where it is.
    pub at: At,
    /// Its key, where it has one.
    pub key: u64,
    /// When it was asked.
    pub asked: Micros,
    /// By when its client wants its answer.
    pub deadline: Micros,
    /// Attempts that were sent for it.
    pub sent: u16,
    /// How the last of them ended, in a word.
    pub cause: &'static str,
    /// It was refused, as what never ran.
    refused: bool,
    /// Where and when it ran first.
    ran: Option<(u16, u16, Micros)>,
    /// To which hosts it was written, and when.
    written: Vec<(u16, Micros)>,
}

/// What a client wants: one entry, one charge, one look.
#[derive(Clone, Debug)]
struct Thing {
    class: u8,
    proxy: u32,
    tries: u16,
    over: bool,
    ran: u16,
    began: Micros,
    key: u64,
}

/// A key at a proxy that has a store of them.
#[derive(Clone, Copy, Debug, Default)]
struct OfKey {
    asked: u32,
    ran: u32,
    /// The call that its first answer was made for.
    made_for: Option<u32>,
}

/// A proxy, as the judge knows it.
#[derive(Clone, Debug, Default)]
pub struct Proxy {
    /// What it was told of hosts.
    pub told: Told,
    /// Whether its process runs.
    pub up: bool,
    /// How far its wall clock is off, in microseconds.
    pub clock: i64,
    /// Its zone.
    pub zone: usize,
    /// Its clients read nothing.
    pub slow_reader: bool,
    /// The list that its next process starts with.
    pub known: Option<registry::News>,
}

/// Something planted that must not be: the tests of determinism look whether it is noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leak {
    /// The machine's clock.
    Clock,
    /// The order of a map with random state.
    MapOrder,
    /// What another thread does meanwhile.
    Thread,
}

/// The model.
pub struct Model {
    /// Virtual time.
    pub now: Micros,
    /// The settled scenario.
    pub scenario: Rc<Scenario>,
    /// The seed.
    pub seed: u64,
    /// Hosts; the last are spares.
    pub hosts: Vec<Host>,
    /// Discovery.
    pub registry: Registry,
    /// Proxies.
    pub proxies: Vec<Proxy>,
    /// Calls, by number.
    pub calls: Vec<Call>,
    /// What is counted.
    pub tally: Tally,
    /// What has happened.
    pub log: Log,
    /// Rules that were broken.
    pub breaks: Vec<Break>,
    /// For the carrier.
    pub out: VecDeque<Out>,
    /// Faults that are on.
    pub(crate) on: Vec<bool>,
    /// Proxies have their stores of keys; in fleet depth there are none.
    pub stores: bool,
    /// What must not be, planted.
    pub leak: Option<Leak>,
    things: Vec<Thing>,
    arrivals: Vec<u64>,
    /// Mean time between arrivals at each proxy at the highest rate, in microseconds.
    gaps: Vec<f64>,
    /// Keys that a pod has run, and when, for its window.
    keys: Table<(usize, u64), Micros>,
    key_ends: VecDeque<(Micros, usize, u64)>,
    /// What is known of keys, where proxies have stores of them.
    of_keys: Table<(u32, u64), OfKey>,
    /// Calls that are open, by proxy and key.
    open_keys: Table<(u32, u64), u32>,
    shares: Vec<f64>,
    rate_most: f64,
}

/// Mean times between arrivals at each proxy, where all have so many a second.
fn gaps(scenario: &Scenario, seed: u64, rate: f64) -> Vec<f64> {
    let load = &scenario.load;
    if load.skew == 0.0 {
        return vec![1e6 * load.proxies as f64 / rate; load.proxies];
    }
    let drawn = |proxy: usize| Draw::new(seed, "busy", proxy as u64, 0).share();
    let mut order: Vec<usize> = (0..load.proxies).collect();
    order.sort_by(|&one, &other| drawn(one).total_cmp(&drawn(other)));
    let mut gaps = vec![0.0; load.proxies];
    for (rank, proxy) in (1..).zip(order) {
        gaps[proxy] = f64::from(rank).powf(load.skew);
    }
    let sum: f64 = gaps.iter().map(|gap| 1.0 / gap).sum();
    gaps.iter_mut().for_each(|gap| *gap *= 1e6 * sum / rate);
    gaps
}

impl Model {
    /// At the start of a settled scenario. `put` takes what is to come first.
    pub fn new(scenario: Rc<Scenario>, seed: u64, queue: &mut Queue<impl From<Event>>) -> Model {
        let fleet = &scenario.fleet;
        let hosts = (0..fleet.hosts + fleet.spares).map(|number| Host::new(number, fleet)).collect();
        let registry = Registry::new(fleet.hosts);
        let known = registry.news(None).filter(|_| scenario.discovery.known);
        let proxies = (0..scenario.load.proxies)
            .map(|number| Proxy {
                up: true,
                zone: number % fleet.zones,
                known: known.clone(),
                ..Proxy::default()
            })
            .collect();
        let total: f64 = scenario.classes.iter().map(|class| class.share).sum();
        let mut sum = 0.0;
        let shares = scenario.classes.iter().map(|class| {
            sum += class.share / total;
            sum
        });
        let crowd: f64 = scenario
            .faults
            .iter()
            .filter(|fault| fault.what == crate::fault::What::Crowd)
            .map(|fault| fault.much().max(1.0))
            .product();
        let curve = scenario.load.curve.iter().map(|&(_, times)| times).fold(f64::NAN, f64::max);
        let most = if curve.is_nan() { 1.0 } else { curve };
        let mut model = Model {
            now: 0,
            seed,
            hosts,
            registry,
            proxies,
            calls: Vec::new(),
            tally: Tally::new(&scenario),
            log: Log::default(),
            breaks: Vec::new(),
            out: VecDeque::new(),
            on: vec![false; scenario.faults.len()],
            stores: false,
            leak: None,
            things: Vec::new(),
            arrivals: vec![0; scenario.load.proxies],
            gaps: gaps(&scenario, seed, scenario.load.rate * most * crowd),
            keys: Table::default(),
            key_ends: VecDeque::new(),
            of_keys: Table::default(),
            open_keys: Table::default(),
            shares: shares.collect(),
            rate_most: scenario.load.rate * most * crowd,
            scenario: scenario.clone(),
        };
        for (number, fault) in scenario.faults.iter().enumerate() {
            let begins = micros(fault.at.unwrap_or_default());
            queue.put(begins, Event::Fault { number, begins: true }.into());
            queue.put(begins + micros(fault.lasts), Event::Fault { number, begins: false }.into());
        }
        for proxy in 0..scenario.load.proxies {
            model.next_arrival(proxy as u32, 0, queue);
        }
        model
    }

    /// When clients ask for the last time.
    pub fn last_ask(&self) -> Micros {
        micros(self.scenario.seconds)
    }

    /// When all must be over: the longest deadline after the last asking, and every try that follows.
    pub fn end(&self) -> Micros {
        let longest = self.scenario.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
        self.last_ask() + micros(longest / 1e3) + 2 * GRACE
    }

    /// Takes an event of its own.
    pub fn handle(&mut self, event: Event, queue: &mut Queue<impl From<Event>>) {
        match event {
            Event::Arrival(proxy) => self.arrival(proxy, queue),
            Event::Ask(call) => self.ask(call, queue),
            Event::Patience(call) => self.patience(call),
            Event::Leave(call) => {
                if self.calls[call as usize].at == At::Open {
                    self.leaves(call);
                }
            }
            Event::Done { host, epoch, exchange } => self.done(host, epoch, exchange, queue),
            Event::Take { host, epoch, job } => {
                if self.hosts[host].epoch == epoch {
                    self.take(host, job, queue);
                }
            }
            Event::Fault { number, begins } => self.fault(number, begins, queue),
            Event::Flap(number) => self.flap(number, queue),
            Event::Learned { epoch, entry } => self.learned(epoch, entry),
            Event::DrainEnds { host, epoch } => {
                if self.hosts[host].epoch == epoch {
                    self.host_down(host, Up::Dead);
                }
            }
        }
    }

    fn next_arrival(&mut self, proxy: u32, from: Micros, queue: &mut Queue<impl From<Event>>) {
        let count = &mut self.arrivals[proxy as usize];
        *count += 1;
        // At the highest rate that there is; what is over the present one is thinned out.
        let mean = self.gaps[proxy as usize];
        let gap = Draw::new(self.seed, "gap", u64::from(proxy), *count).gap(mean);
        let at = from.saturating_add(gap.max(1.0) as Micros);
        if at <= self.last_ask() {
            queue.put(at, Event::Arrival(proxy).into());
        }
    }

    fn arrival(&mut self, proxy: u32, queue: &mut Queue<impl From<Event>>) {
        self.next_arrival(proxy, self.now, queue);
        let number = self.arrivals[proxy as usize];
        let mut draw = Draw::new(self.seed, "thing", u64::from(proxy), number);
        let rate = self.scenario.load.rate * self.scenario.curve(self.now as f64 / 1e6) * self.crowd();
        if !draw.happens(rate / self.rate_most) {
            return;
        }
        let share = draw.share();
        let class = self.shares.iter().position(|&upto| share < upto).unwrap_or(self.shares.len() - 1);
        let load = &self.scenario.load;
        let key = match self.scenario.classes[class].kind {
            Kind::Free | Kind::Unsafe => 0,
            Kind::Keyed => {
                let member = draw.rank(load.members, load.zipf);
                // A member who taps within the window means the same entry.
                (member << 24) | (self.now / (self.scenario.fleet.window_ms * 1_000).max(1)) & 0xff_ffff
            }
        };
        // Charges have keys too, of their own, for the store of keys.
        let key = match self.scenario.classes[class].kind {
            Kind::Unsafe if load.keys > 0 => 1 << 63 | self.things.len() as u64,
            _ => key,
        };
        let mut taps = Vec::new();
        while key != 0 && taps.len() < TAPS_MOST && draw.happens(load.taps) {
            taps.push(30_000 + (draw.share() * 400_000.0) as Micros);
        }
        let (leaves, leave_share) = (draw.happens(load.leaves), draw.share());
        let call = self.begin(proxy, class as u8, key);
        if leaves {
            let patience = self.scenario.classes[class].deadline_ms * 1e3;
            queue.put(self.now + (leave_share * patience * 0.2) as Micros, Event::Leave(call).into());
        }
        self.ask(call, queue);
        for later in taps {
            let tap = self.begin(proxy, class as u8, key);
            queue.put(self.now + later, Event::Ask(tap).into());
        }
    }

    /// Something that a client wants, and the first try for it.
    fn begin(&mut self, proxy: u32, class: u8, key: u64) -> u32 {
        let thing = self.things.len() as u32;
        self.things.push(Thing { class, proxy, tries: 0, over: false, ran: 0, began: self.now, key });
        self.try_for(thing)
    }

    fn try_for(&mut self, number: u32) -> u32 {
        let thing = &mut self.things[number as usize];
        thing.tries += 1;
        let again = thing.tries > 1;
        // Whoever taps again is the same.
        let whose = if thing.key == 0 { u64::from(number) } else { thing.key };
        let share = Draw::new(self.seed, "tenant", whose, 0).share();
        let tenants = &self.scenario.load.tenants;
        let total: f64 = tenants.iter().sum();
        let mut sum = 0.0;
        let upto = tenants.iter().position(|tenant| {
            sum += tenant / total;
            share < sum
        });
        let call = Call {
            thing: number,
            proxy: thing.proxy,
            class: thing.class,
            tenant: upto.unwrap_or_default() as u8,
            again,
            at: At::Before,
            key: thing.key,
            asked: 0,
            deadline: 0,
            sent: 0,
            cause: "",
            refused: false,
            ran: None,
            written: Vec::new(),
        };
        self.calls.push(call);
        (self.calls.len() - 1) as u32
    }

    fn ask(&mut self, number: u32, queue: &mut Queue<impl From<Event>>) {
        let now = self.now;
        let call = &mut self.calls[number as usize];
        if call.at != At::Before {
            return;
        }
        call.at = At::Open;
        call.asked = now;
        call.deadline = now + (self.scenario.classes[usize::from(call.class)].deadline_ms * 1e3) as Micros;
        let (proxy, class, deadline) = (call.proxy, call.class, call.deadline);
        if call.key != 0 {
            *self.open_keys.entry((proxy, call.key)).or_default() += 1;
            if self.stores {
                let key = self.of_keys.entry((proxy, call.key)).or_default();
                key.asked += 1;
                self.tally.keys += u64::from(key.asked == 1);
                self.tally.key_repeats += u64::from(key.asked > 1);
            }
        }
        let thing = &mut self.things[call.thing as usize];
        if thing.tries == 1 {
            // A tap comes later than it was drawn.
            thing.began = now;
        }
        self.log.note(now, Of::Asked, [number.into(), proxy.into(), class.into()]);
        queue.put(deadline + GRACE, Event::Patience(number).into());
        if self.proxies[proxy as usize].up {
            self.out.push_back(Out::Ask(number));
        } else {
            self.answered(number, Answer::Broken, now, queue);
        }
    }

    /// The client's time is up and there is no answer.
    fn patience(&mut self, number: u32) {
        let call = &self.calls[number as usize];
        if call.at != At::Open {
            return;
        }
        // An answer that nobody reads may well be there.
        if !self.proxies[call.proxy as usize].slow_reader {
            self.broken(
                Rule::OneAnswer,
                number,
                None,
                "its client's time is up, and there is no answer".to_owned(),
            );
        }
        self.leaves(number);
    }

    /// A call is no longer open.
    fn shut_key(&mut self, number: u32) {
        let call = &self.calls[number as usize];
        let key = (call.proxy, call.key);
        if let Some(open) = self.open_keys.get_mut(&key) {
            *open -= 1;
            if *open == 0 {
                self.open_keys.remove(&key);
            }
        }
    }

    fn leaves(&mut self, number: u32) {
        let now = self.now;
        self.shut_key(number);
        let call = &mut self.calls[number as usize];
        call.at = At::Over(now);
        let (thing, proxy) = (call.thing, call.proxy);
        self.log.note(now, Of::Left, [number.into(), proxy.into(), 0]);
        self.out.push_back(Out::Leave(number));
        self.over(thing, Ended::Left);
    }

    fn over(&mut self, thing: u32, how: Ended) {
        let thing = &mut self.things[thing as usize];
        if !std::mem::replace(&mut thing.over, true) {
            self.tally.ended(&self.scenario, usize::from(thing.class), thing.began, self.now, how);
        }
    }

    /// A client has an answer, of which the last byte was written then.
    pub fn answered(
        &mut self,
        number: u32,
        answer: Answer,
        written: Micros,
        queue: &mut Queue<impl From<Event>>,
    ) {
        let now = self.now;
        if self.calls[number as usize].at == At::Open {
            self.shut_key(number);
        }
        let call = &mut self.calls[number as usize];
        match call.at {
            At::Open => {}
            At::Answered(_) if answer != Answer::Broken => {
                return self.broken(Rule::OneAnswer, number, None, "a second answer".to_owned());
            }
            _ => return,
        }
        call.at = At::Answered(written);
        let late = now > call.deadline + GRACE;
        let (thing, proxy, asked, ran, asked_kind) = (
            call.thing,
            call.proxy,
            call.asked,
            call.ran,
            self.scenario.classes[usize::from(call.class)].kind,
        );
        call.refused = matches!(answer, Answer::Refused(_));
        let code = match answer {
            Answer::Served => 200,
            Answer::Refused(_) => 503,
            Answer::Failed => 502,
            Answer::Broken => 0,
        };
        self.log.note(now, Of::Answered, [number.into(), code, now - asked]);
        if late && answer != Answer::Broken {
            self.broken(Rule::OneAnswer, number, None, format!("its answer came {} us late", now - asked));
        }
        if answer == Answer::Broken && self.proxies[proxy as usize].up {
            self.broken(Rule::OneAnswer, number, None, "its connection ended without an answer".to_owned());
        }
        if matches!(answer, Answer::Refused(_)) {
            self.tally.second(now).refused += 1;
            if let (Some((host, ..)), Kind::Unsafe) = (ran, asked_kind) {
                let host = Some(usize::from(host));
                self.broken(Rule::NoEffectTwice, number, host, "refused, though it has run".to_owned());
            }
        }
        match answer {
            Answer::Served => self.over(thing, Ended::Served),
            Answer::Refused(after) => self.again(thing, number, after, Ended::Refused, queue),
            // What may have run is the client's to repeat only where that does no harm.
            Answer::Failed | Answer::Broken if asked_kind != Kind::Unsafe => {
                self.again(thing, number, None, Ended::Failed, queue);
            }
            Answer::Failed => self.over(thing, Ended::Failed),
            Answer::Broken => self.over(thing, Ended::Left),
        }
    }

    /// A served answer was made for another call, or for this one: all of one key must be the same.
    pub fn answer_was_made_for(&mut self, number: u32, made_for: u32) {
        let call = &self.calls[number as usize];
        let Some(key) = self.of_keys.get_mut(&(call.proxy, call.key)).filter(|_| call.key != 0) else {
            return;
        };
        self.tally.replays += u64::from(made_for != number);
        self.tally.two_answers += u64::from(*key.made_for.get_or_insert(made_for) != made_for);
    }

    /// The client tries again, or gives up.
    fn again(
        &mut self,
        thing: u32,
        number: u32,
        after: Option<Micros>,
        ended: Ended,
        queue: &mut Queue<impl From<Event>>,
    ) {
        let load = &self.scenario.load;
        let tries = self.things[thing as usize].tries;
        if u32::from(tries) >= load.tries {
            return self.over(thing, ended);
        }
        let share = Draw::new(self.seed, "pause", u64::from(number), 0).share();
        let pause = load.pause_ms * 1e3 * f64::from(1_u32 << (tries - 1).min(10)) * (0.5 + share);
        let at = self.now + (pause as Micros).max(after.unwrap_or_default());
        if at > self.last_ask() {
            return self.over(thing, ended);
        }
        let call = self.try_for(thing);
        queue.put(at, Event::Ask(call).into());
    }

    /// A proxy's word for a call whose client is gone was never sent: its process has died.
    pub fn proxy_has_died(&mut self, proxy: usize, queue: &mut Queue<impl From<Event>>) {
        let open: Vec<u32> = (0..self.calls.len() as u32)
            .filter(|&call| {
                let call = &self.calls[call as usize];
                call.proxy as usize == proxy && call.at == At::Open
            })
            .collect();
        for call in open {
            self.answered(call, Answer::Broken, self.now, queue);
        }
    }

    /// An attempt's first byte was written to a host then.
    pub fn sent(&mut self, number: u32, host: usize, written: Micros) {
        let (now, scenario) = (self.now, self.scenario.clone());
        let call = &mut self.calls[number as usize];
        call.sent += 1;
        call.written.push((host as u16, written));
        let cause = (call.sent > 1).then_some(if call.cause.is_empty() { "no answer" } else { call.cause });
        let (proxy, at, sent) = (call.proxy as usize, call.at, call.sent);
        let mean = scenario.classes[usize::from(call.class)].work.mean();
        self.tally.sent(now, host, cause);
        self.log.note(now, Of::Sent, [number.into(), host as u64, sent.into()]);
        // A repeat that joined it waits with the store of keys: then it is sent for that one.
        let joined = self
            .open_keys
            .contains_key(&(self.calls[number as usize].proxy, self.calls[number as usize].key));
        // What crosses the word that nobody waits is no fault: on one machine that takes no time, but a turn.
        let over = match at {
            _ if joined && self.stores => None,
            At::Answered(then) => (written > then).then_some("after its answer"),
            At::Over(then) => (written > then + GRACE).then_some("after its client had left"),
            At::Before | At::Open => None,
        };
        if let Some(over) = over {
            self.broken(Rule::OneAnswer, number, Some(host), format!("sent {over}"));
        }
        if self.proxies[proxy].told.forbids(written, host) {
            self.broken(
                Rule::NothingToTheGone,
                number,
                Some(host),
                "sent over 1 s after the telling".to_owned(),
            );
        }
        if self.hosts[host].up == Up::Up && self.hosts[host].is_pushed_over(now, mean, &scenario.fleet) {
            self.broken(Rule::ColdHostStands, number, Some(host), "pushed over while cold".to_owned());
            self.host_down(host, Up::Dead);
        }
    }

    /// A request has come whole to a host; the first on its connection costs more.
    pub fn reached(
        &mut self,
        number: u32,
        host: usize,
        exchange: u64,
        until: Micros,
        first: bool,
        queue: &mut Queue<impl From<Event>>,
    ) {
        let (seed, scenario) = (self.seed, self.scenario.clone());
        let call = &self.calls[number as usize];
        let class = &scenario.classes[usize::from(call.class)];
        let mut work = class.work.draw(&mut Draw::new(seed, "work", number.into(), host as u64));
        work += if first { scenario.fleet.handshake_us } else { 0.0 };
        let ill = self.hosts[host].ill;
        let mut draw = Draw::new(seed, "fate", number.into(), (host as u64) << 16 | u64::from(call.sent));
        // Each draw is made, whatever the one before has given.
        let (away, resets, errors, runs) = (
            draw.happens(ill.turned_away),
            draw.happens(ill.resets),
            draw.happens(ill.errors),
            draw.happens(0.5),
        );
        match self.leak {
            Some(Leak::Clock) => work += f64::from(std::time::Instant::now().elapsed().subsec_nanos() % 7),
            Some(Leak::MapOrder) => {
                let map: std::collections::HashMap<u32, u32> = (0..16).map(|n| (n, n)).collect();
                work += f64::from(map.into_keys().next().unwrap_or_default());
            }
            Some(Leak::Thread) => {
                // No two threads of a process have one id.
                let id = std::thread::spawn(|| format!("{:?}", std::thread::current().id())).join();
                let id = id.unwrap_or_default();
                work += f64::from(
                    id.bytes().fold(0_u16, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into())) % 997,
                );
            }
            None => {}
        }
        let ends = match (away, resets, errors) {
            (true, ..) => Ends::TurnedAway,
            (_, true, _) => Ends::Reset,
            (_, _, true) => Ends::Error,
            _ if ill.silent => Ends::Never,
            _ => Ends::Served,
        };
        if ends == Ends::TurnedAway || matches!(ends, Ends::Reset | Ends::Error) && !runs {
            return self.says(host, exchange, number, ends);
        }
        self.take(host, Job { exchange, call: number, until, work, ends }, queue);
    }

    fn take(&mut self, host: usize, job: Job, queue: &mut Queue<impl From<Event>>) {
        let (now, scenario) = (self.now, self.scenario.clone());
        let at = &mut self.hosts[host];
        if at.up != Up::Up {
            return;
        }
        if at.stalled_until > now {
            let (until, epoch) = (at.stalled_until, at.epoch);
            return queue.put(until, Event::Take { host, epoch, job }.into());
        }
        match at.take(now, job, &scenario.fleet) {
            Taken::Begun(end) => self.begun(host, job, end, queue),
            Taken::Waits => {}
            Taken::Not(ends) => self.says(host, job.exchange, job.call, ends),
        }
    }

    fn begun(&mut self, host: usize, job: Job, end: Micros, queue: &mut Queue<impl From<Event>>) {
        let epoch = self.hosts[host].epoch;
        queue.put(end, Event::Done { host, epoch, exchange: job.exchange }.into());
        self.runs(host, job.call);
    }

    /// A host runs a request: what it does cannot be undone.
    fn runs(&mut self, host: usize, number: u32) {
        let (now, pod) = (self.now, self.hosts[host].pod);
        let window = self.scenario.fleet.window_ms * 1_000;
        let call = &self.calls[number as usize];
        let kind = self.scenario.classes[usize::from(call.class)].kind;
        while self.key_ends.front().is_some_and(|&(end, ..)| end <= now) {
            if let Some((_, pod, key)) = self.key_ends.pop_front() {
                if self.keys.get(&(pod, key)).is_some_and(|&at| at + window <= now) {
                    self.keys.remove(&(pod, key));
                }
            }
        }
        if kind == Kind::Keyed {
            let known = self.keys.get(&(pod, call.key)).copied();
            if known.is_some_and(|at| now < at + window) {
                // Dropped as a repeat: no effect.
                return;
            }
            self.keys.insert((pod, call.key), now);
            self.key_ends.push_back((now + window, pod, call.key));
        }
        self.log.note(now, Of::Ran, [number.into(), host as u64, pod as u64]);
        if kind == Kind::Free {
            return;
        }
        let call = &mut self.calls[number as usize];
        let before = call.ran;
        call.ran = before.or(Some((host as u16, pod as u16, now)));
        let written = call.written.iter().rev().find(|(at, _)| usize::from(*at) == host).map(|(_, at)| *at);
        // A repeat that was written while its pod dropped repeats, and was held up on its way past that, is not its proxy's
        // fault: it can't know.
        let in_time = |&(_, first, at): &(u16, u16, Micros)| {
            usize::from(first) == pod && written.is_some_and(|written| written < at + window)
        };
        let (refused, thing) = (call.refused, call.thing);
        let thing = &mut self.things[thing as usize];
        thing.ran += 1;
        let twice = match kind {
            Kind::Unsafe => thing.ran > 1,
            _ if before.as_ref().is_some_and(in_time) => {
                self.tally.held_up += 1;
                false
            }
            _ => before.is_some(),
        };
        if twice {
            let first =
                before.map(|(host, pod, at)| format!(", first at host {host} of pod {pod} at {at} us"));
            let what = format!("it has run again{}", first.unwrap_or_default());
            self.broken(Rule::NoEffectTwice, number, Some(host), what);
        }
        let call = &self.calls[number as usize];
        if let Some(key) = self.of_keys.get_mut(&(call.proxy, call.key)).filter(|_| kind == Kind::Unsafe) {
            key.ran += 1;
            if key.ran > 1 && !twice {
                self.broken(Rule::NoEffectTwice, number, Some(host), "its key has run before".to_owned());
            }
        }
        if refused && kind == Kind::Unsafe {
            self.broken(Rule::NoEffectTwice, number, Some(host), "it runs, though it was refused".to_owned());
        }
    }

    fn done(&mut self, host: usize, epoch: u32, exchange: u64, queue: &mut Queue<impl From<Event>>) {
        let (now, scenario) = (self.now, self.scenario.clone());
        let at = &mut self.hosts[host];
        if at.epoch != epoch {
            return;
        }
        if at.stalled_until > now {
            return queue.put(at.stalled_until, Event::Done { host, epoch, exchange }.into());
        }
        let Some(job) = at.done(exchange) else { return };
        let mut late = Vec::new();
        let next = at.next(now, &scenario.fleet, &mut late);
        if job.ends != Ends::Never && !self.hosts[host].ill.silent {
            self.says(host, exchange, job.call, job.ends);
        }
        for job in late {
            self.says(host, job.exchange, job.call, Ends::TurnedAway);
        }
        if let Some((job, end)) = next {
            self.begun(host, job, end, queue);
        }
    }

    fn says(&mut self, host: usize, exchange: u64, number: u32, ends: Ends) {
        self.log.note(self.now, Of::Said, [number.into(), host as u64, ends as u64]);
        self.calls[number as usize].cause = match ends {
            Ends::Served => "answer lost",
            Ends::TurnedAway => "turned away",
            Ends::Error => "error",
            Ends::Reset => "reset",
            Ends::Never => "no answer",
        };
        self.out.push_back(Out::Says { host, exchange, ends });
    }

    /// Notes why an attempt has ended that no host has a word on.
    pub fn ended_by(&mut self, number: u32, cause: &'static str) {
        self.calls[number as usize].cause = cause;
    }

    /// A proxy has been told of the list.
    pub fn told(&mut self, proxy: usize, news: &registry::News) {
        let (now, hosts) = (self.now, self.hosts.len());
        if self.scenario.discovery.known {
            self.proxies[proxy].known = self.registry.news(None);
        }
        let ready = |entry: &registry::Entry| entry.listed == registry::Listed::Ready;
        let told = &mut self.proxies[proxy].told;
        if news.whole {
            let mut all: Vec<usize> = news.entries.iter().filter(|e| ready(e)).map(|e| e.host).collect();
            all.sort_unstable();
            told.only(now, &all, hosts);
        } else {
            news.entries.iter().for_each(|entry| told.of(now, entry.host, ready(entry)));
        }
        self.log.note(now, Of::Told, [proxy as u64, news.seq, news.entries.len() as u64]);
    }

    /// A call.
    pub fn call(&self, number: u32) -> &Call {
        &self.calls[number as usize]
    }

    /// Notes a broken rule.
    pub fn broken(&mut self, rule: Rule, call: u32, host: Option<usize>, what: String) {
        let place = host.map_or(u64::MAX, |host| host as u64);
        self.log.note(self.now, Of::Broken, [rule as u64, call.into(), place]);
        if self.breaks.len() < 1_000 {
            let last = self.log.last();
            self.breaks.push(Break { rule, at: self.now, call, host, what, last });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn proxies_are_as_unequal_as_they_are_said_to_be() {
        for (skew, times) in [(0.0, 1.0), (1.0, 10.0)] {
            let text =
                format!("name = \"x\"\nseconds = 1.0\n[load]\nproxies = 10\nrate = 200.0\nskew = {skew}");
            let scenario = Scenario::parse(&text).expect("a good scenario");
            let gaps = gaps(&scenario, 4, 200.0);
            let rate: f64 = gaps.iter().map(|gap| 1e6 / gap).sum();
            assert!((rate - 200.0).abs() < 1e-6, "{rate} a second in all");
            let (least, most) = gaps.iter().fold((f64::MAX, 0.0_f64), |s, &gap| (s.0.min(gap), s.1.max(gap)));
            assert!((most / least - times).abs() < 1e-6, "{skew}: {most} by {least}");
        }
    }
}
