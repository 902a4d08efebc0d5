//! Drives the decision module: turns what happens on the sockets into its events, in one order and on one
//! clock, and carries out its actions. It decides nothing itself.

use crate::calls::{ended, Ask, Attempt, Call, Caller, Owner, Reply};
use crate::config::Config;
use crate::discovery::{self, Health, List};
use crate::keyed::Keyed;
use crate::protocol::{End, Meter, Protocol, Target};
use crate::state::{HostState, State};
use crate::task::{self, Task};
use crate::Log;
use nettleworks_policy as policy;
use nettleworks_policy::{
    Action, Balancer, CallId, CellId, ClassId, Entry, Event, ListKind, Micros, Outcome, Repeat, ServerId,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout_at, Instant};

/// How often the protocol looks through what it keeps.
const SWEEP: Duration = Duration::from_secs(1);
/// How many sweeps pass between two lines of figures in the log.
const SWEEPS_A_LINE: u32 = 10;
/// How often a stop looks whether calls still linger.
const SETTLE_LOOK: Duration = Duration::from_millis(2);
/// Where the list is pushed the module never asks for it: a watch that ended is opened again after this.
const PUSH_RETRY: Duration = Duration::from_secs(1);

/// The proxy's clock: it counts from Unix time at the start, so that start times of hosts can be told in it,
/// and never goes back, whatever is done to the system's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    origin: Micros,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), origin: unix.as_micros() as Micros }
    }

    pub(crate) fn at(&self, instant: Instant) -> Micros {
        self.origin + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    pub(crate) fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.origin))
    }
}

/// A host of the list.
struct Host {
    dial: SocketAddr,
    born_ms: u64,
    health: Health,
}

/// Figures for the log.
#[derive(Debug, Default)]
struct Counts {
    requests: u64,
    attempts: u64,
    outcomes: BTreeMap<Outcome, u64>,
}

impl Host {
    /// Whether something new may be written to it at this address.
    fn takes(&self, address: SocketAddr) -> bool {
        self.health == Health::Ready && self.dial == address
    }
}

pub(crate) struct Driver<P: Protocol> {
    pub(crate) clock: Clock,
    protocol: Rc<P>,
    pub(crate) log: Log,
    pub(crate) config: Rc<Config>,
    balancer: Balancer,
    pub(crate) events: VecDeque<Event>,
    pub(crate) calls: BTreeMap<CallId, Call<P>>,
    next_call: u64,
    hosts: HashMap<ServerId, Host>,
    names: HashMap<String, ServerId>,
    next_server: u32,
    seq: Option<u64>,
    listed: bool,
    watch: Option<Task>,
    /// Number of the present watch: what an earlier one still has to say no longer counts.
    watches: u64,
    /// When the module wants to be woken next, and what tells the one timer of a change.
    wake: Option<Instant>,
    pub(crate) woken: Rc<Notify>,
    /// Ids of the calls that are open: no second one may have one of them.
    pub(crate) open: HashSet<P::Id>,
    /// Where it is on.
    pub(crate) keyed: Option<Keyed<P>>,
    /// When the timer looks for those who have waited long enough; `None`: not at all.
    pub(crate) armed: Option<Instant>,
    counts: Counts,
    /// Who watches the state.
    shown: watch::Sender<State>,
}

/// The driver, shared by the tasks of one thread. No method waits, and none is called from within another.
pub struct Handle<P: Protocol>(pub(crate) Rc<RefCell<Driver<P>>>);

impl<P: Protocol> Clone for Handle<P> {
    fn clone(&self) -> Self {
        Handle(self.0.clone())
    }
}

/// A call that waits for its answer. Dropped before that, it tells the module that the client has gone.
pub struct Waiting<P: Protocol> {
    driver: Handle<P>,
    call: CallId,
    reply: oneshot::Receiver<Reply<P::Answer>>,
}

impl<P: Protocol> Waiting<P> {
    /// The call's final answer.
    pub async fn reply(mut self) -> Reply<P::Answer> {
        // The sender is only ever dropped with the call, after an answer or with the process.
        (&mut self.reply).await.unwrap_or(Reply::Failed)
    }
}

impl<P: Protocol> Drop for Waiting<P> {
    fn drop(&mut self) {
        self.driver.gone(self.call);
    }
}

impl<P: Protocol> Handle<P> {
    /// Starts the module with what the configuration holds. Its lines go to `log`.
    pub fn start(config: Rc<Config>, protocol: P, log: Log) -> Self {
        let driver = Driver {
            clock: Clock::new(),
            protocol: Rc::new(protocol),
            log,
            balancer: Balancer::new(config.seed, config.settings.clone()),
            events: VecDeque::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            hosts: HashMap::new(),
            names: HashMap::new(),
            next_server: 0,
            // Set before the start: the module subscribes at once, from the version of the list it gets next.
            seq: config.known.as_ref().map(|known| known.seq),
            listed: false,
            watch: None,
            watches: 0,
            wake: None,
            woken: Rc::default(),
            open: HashSet::new(),
            keyed: Keyed::new(&config),
            armed: None,
            counts: Counts::default(),
            shown: watch::Sender::default(),
            config: config.clone(),
        };
        let handle = Handle(Rc::new(RefCell::new(driver)));
        handle.run([Event::Start]);
        if let Some(known) = config.known.clone() {
            handle.members(known, None);
        }
        if !config.settings.ask {
            handle.0.borrow_mut().subscribe(&handle);
        }
        spawn_local(handle.clone().timer());
        let sweeper = handle.clone();
        spawn_local(async move {
            for sweep in 1_u32.. {
                tokio::time::sleep(SWEEP).await;
                sweeper.sweep();
                if sweep % SWEEPS_A_LINE == 0 {
                    sweeper.log_counts();
                }
            }
        });
        handle
    }

    /// Whether a list of hosts is in hand.
    pub fn is_ready(&self) -> bool {
        self.0.borrow().listed
    }

    /// How many calls wait for their answer.
    pub fn waiting(&self) -> usize {
        let driver = self.0.borrow();
        let plain = |call: &&Call<P>| matches!(call.caller, Some(Owner::One(_)));
        driver.calls.values().filter(plain).count() + driver.keyed.as_ref().map_or(0, Keyed::waiting)
    }

    /// How many calls go on though nobody waits for them.
    pub fn lingering(&self) -> usize {
        self.0.borrow().keyed.as_ref().map_or(0, |keyed| keyed.lingering.len())
    }

    /// Waits until no call lingers.
    pub async fn settled(&self) {
        while self.lingering() > 0 {
            tokio::time::sleep(SETTLE_LOOK).await;
        }
    }

    /// The time of all who wait for a call is up, as the module has set it. Whether the call goes on without them.
    fn time_is_up(&self, id: CallId) -> bool {
        let goes_on = self.0.borrow_mut().time_is_up(id);
        self.run([]);
        goes_on
    }

    /// The configuration.
    pub fn config(&self) -> Rc<Config> {
        self.0.borrow().config.clone()
    }

    /// Goes on under a new configuration. Its discovery is watched at once, from the version of the list in hand.
    pub fn reload(&self, config: Config) {
        let mut driver = self.0.borrow_mut();
        let (config, differs) = driver.config.renewed(config);
        let moved = config.discovery != driver.config.discovery;
        let left = if differs { "; what else changed takes a restart" } else { "" };
        (driver.log)(&format!("configuration read again, discovery at {}{left}", config.discovery));
        driver.config = Rc::new(config);
        driver.protocol.reload(&driver.config);
        let Driver { keyed, config, .. } = &mut *driver;
        if let (Some(keyed), Some(keys)) = (keyed, &config.keys) {
            keyed.rebound(keys);
        }
        if moved {
            driver.subscribe(self);
        }
    }

    /// Writes the figures so far to the log.
    pub fn log_counts(&self) {
        let driver = self.0.borrow();
        let (calls, connections) = (driver.calls.len(), driver.protocol.connections());
        (driver.log)(&format!("{calls} calls, {connections:?}, {:?}", driver.counts));
        if let Some(keyed) = &driver.keyed {
            let (held, bytes) = (keyed.store.len(), keyed.store.answer_bytes());
            let (lingering, counts) = (keyed.lingering.len(), keyed.store.counts());
            (driver.log)(&format!("keys: {held} held, {bytes} bytes, {lingering} lingering, {counts:?}"));
        }
    }

    /// Writes a line to the log.
    pub fn log(&self, line: &str) {
        let log = self.0.borrow().log.clone();
        log(line);
    }

    /// The state from here on: it changes with the list of hosts, and once a second.
    pub fn watch(&self) -> watch::Receiver<State> {
        let driver = self.0.borrow();
        let receiver = driver.shown.subscribe();
        driver.show();
        receiver
    }

    /// The state now.
    pub fn state(&self) -> State {
        self.0.borrow().state()
    }

    fn sweep(&self) {
        let driver = self.0.borrow();
        driver.protocol.sweep();
        driver.show();
    }

    /// Takes a request in. Its answer may be there when this returns.
    pub fn request(&self, ask: Ask<P::Id>, request: P::Request) -> Waiting<P> {
        let (sender, reply) = oneshot::channel();
        let call = self.call(ask, request, Caller { reply: sender, place: None });
        Waiting { driver: self.clone(), call, reply }
    }

    /// Takes a request in for a caller that is told of the answer elsewhere. [`Handle::gone`] with the id that
    /// comes back says that nobody waits any more.
    pub fn call(&self, ask: Ask<P::Id>, request: P::Request, caller: Caller<P::Answer>) -> CallId {
        let mut driver = self.0.borrow_mut();
        driver.next_call += 1;
        let call = CallId(driver.next_call);
        if !driver.open.insert(ask.id.clone()) {
            caller.answer(Reply::IdOpen);
            return call;
        }
        driver.counts.requests += 1;
        let taken = driver.keyed(call, &ask, request, caller);
        let Ask { id, class, tenant, deadline, resent, .. } = ask;
        let event = taken.map(|(owner, request)| {
            driver.begin(call, id, class, request, deadline, owner);
            let time_left = deadline.saturating_duration_since(Instant::now()).as_micros() as Micros;
            Event::Request { call, class, tenant, time_left, resent }
        });
        drop(driver);
        self.run(event);
        call
    }

    /// Nobody waits for this call any more. Says nothing of one that is answered.
    pub fn gone(&self, id: CallId) {
        let mut driver = self.0.borrow_mut();
        if driver.left(id) {
            drop(driver);
            return self.run([]);
        }
        let plain = driver.calls.get(&id).is_some_and(|call| matches!(call.caller, Some(Owner::One(_))));
        if plain && driver.calls.get_mut(&id).and_then(|call| call.caller.take()).is_some() {
            driver.events.push_back(Event::Gone { call: id });
            driver.tidy(id);
            drop(driver);
            self.run([]);
        }
    }

    /// Takes a list in, from a watch or (`None`) the configuration: hosts that it does not name ready get nothing
    /// more that is not yet on its way.
    fn members(&self, list: List, watch: Option<u64>) {
        let mut driver = self.0.borrow_mut();
        // A watch that was replaced may have more lines at hand; their versions are another discovery's.
        if watch.is_some_and(|watch| watch != driver.watches) {
            return;
        }
        let cached = watch.is_none();
        driver.listed |= !cached || !list.hosts.is_empty();
        driver.seq = Some(list.seq);
        let kind = match list.whole {
            _ if cached => ListKind::Cached,
            true => ListKind::Full,
            false => ListKind::Delta,
        };
        if kind != ListKind::Delta {
            driver.hosts.values_mut().for_each(|host| host.health = Health::Gone);
        }
        let mut entries = Vec::with_capacity(list.hosts.len());
        for entry in &list.hosts {
            let server = driver.intern(entry);
            let state = match entry.health {
                Health::Ready => policy::State::Ready,
                Health::Terminating => policy::State::Draining,
                Health::Gone => policy::State::Gone,
            };
            let (zone, cell) = (nettleworks_settings::zone(&entry.site), CellId(entry.block));
            let started = entry.born_ms.saturating_mul(1_000);
            entries.push(Entry { server, state, zone, cell, started, weight: entry.share });
        }
        // The module hears of the list before it hears of what the list undoes.
        driver.events.push_back(Event::Members { kind, entries });
        driver.withdraw();
        driver.hosts.retain(|_, host| host.health != Health::Gone);
        let Driver { names, hosts, .. } = &mut *driver;
        names.retain(|_, server| hosts.contains_key(server));
        driver.show();
        drop(driver);
        self.run([]);
    }

    fn finish(&self, id: CallId, attempt: u32, mut end: End<P::Answer>) {
        let mut driver = self.0.borrow_mut();
        let Some(call) = driver.calls.get_mut(&id) else { return };
        let Some(out) = call.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        let owner = end.answer.as_ref().and_then(|_| call.caller.take().or(call.late.map(Owner::Key)));
        let served = owner.zip(end.answer.take());
        call.may_have_run |= !end.outcome.never_ran();
        let lingers = call.lingers;
        let (elapsed, closed) = (out.sent.elapsed().as_micros() as Micros, call.caller.is_none());
        let (outcome, load) = (end.outcome, end.load);
        driver.events.push_back(Event::Outcome { call: id, attempt, outcome, elapsed, closed, load });
        match served {
            Some((Owner::One(caller), answer)) => caller.answer(Reply::Served(answer)),
            Some((Owner::Key(slot), answer)) => driver.settle(slot, Reply::Served(answer), true),
            None => {}
        }
        if lingers {
            driver.spent(id);
        }
        driver.tidy(id);
        drop(driver);
        self.run([]);
        // Dropped last: this may be the very task of the attempt.
        drop(out);
    }

    /// Feeds events to the module, and those that its actions lead to at once.
    fn run(&self, events: impl IntoIterator<Item = Event>) {
        let mut driver = self.0.borrow_mut();
        driver.events.extend(events);
        let mut actions = Vec::new();
        while let Some(event) = driver.events.pop_front() {
            if let Event::Outcome { outcome, .. } = event {
                *driver.counts.outcomes.entry(outcome).or_default() += 1;
            }
            let now = driver.clock.at(Instant::now());
            driver.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                driver.carry_out(self, action);
            }
        }
    }

    /// The one timer of the module.
    async fn timer(self) {
        let woken = self.0.borrow().woken.clone();
        loop {
            let wake = self.0.borrow().wake;
            let overdue = {
                let mut driver = self.0.borrow_mut();
                driver.armed = driver.next_overdue();
                driver.armed
            };
            let due = |at: Option<Instant>| async move {
                match at {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due(overdue) => {
                    self.0.borrow_mut().overdue();
                    self.run([]);
                }
                () = due(wake) => {
                    self.0.borrow_mut().wake = None;
                    self.run([Event::Timer]);
                }
                () = woken.notified() => {}
            }
        }
    }
}

impl<P: Protocol> Driver<P> {
    fn carry_out(&mut self, handle: &Handle<P>, action: Action) {
        match action {
            Action::Send { call, server, until } => self.send(handle, call, server, until),
            Action::Refuse { call, retry_after } => {
                self.answer(call, Reply::Refused(Duration::from_micros(retry_after)));
            }
            Action::Fail { call } => self.answer(call, Reply::Failed),
            Action::Cancel { call, attempt } => self.cancel(call, attempt),
            Action::Wake { after } => {
                self.wake = Some(Instant::now() + Duration::from_micros(after));
                self.woken.notify_one();
            }
            Action::Subscribe => self.subscribe(handle),
            Action::Log { text } => (self.log)(&text),
            // The module asks for none where the settings allow none, and this program has none to offer.
            Action::Probe { .. } => {}
        }
    }

    /// Begins a call; the module is to hear of it.
    pub(crate) fn begin(
        &mut self,
        call: CallId,
        id: P::Id,
        class: ClassId,
        request: Rc<P::Request>,
        deadline: Instant,
        owner: Owner<P::Answer>,
    ) {
        let limit = matches!(owner, Owner::Key(_)).then(|| Rc::new(Cell::new(self.limit(class, deadline))));
        let (caller, attempts, late, may_have_run, lingers) = (Some(owner), Vec::new(), None, false, false);
        let call_is =
            Call { id, class, request, deadline, caller, limit, lingers, late, may_have_run, attempts };
        self.calls.insert(call, call_is);
    }

    fn send(&mut self, handle: &Handle<P>, id: CallId, server: ServerId, until: Option<Micros>) {
        let now = Instant::now();
        let Some(call) = self.calls.get(&id) else { return };
        let may_linger = call.limit.is_some() && self.lingers(call.class);
        let Some(call) = self.calls.get_mut(&id) else { return };
        let attempt = call.attempts.len() as u32;
        // Without an end of its own an attempt ends with its call, whose end may move. One that may linger, and can
        // never go again, goes on past its own end for whoever asks later.
        let alone = until.is_some()
            && may_linger
            && self
                .config
                .settings
                .classes
                .get(call.class.0)
                .is_some_and(|class| class.repeat == Repeat::SingleShot);
        let limit = call.limit.clone().filter(|_| until.is_none() || alone);
        let until = until.map_or(call.deadline, |at| self.clock.instant(at).min(call.deadline));
        let host = self.hosts.get(&server).filter(|host| host.health == Health::Ready);
        let Some(host) = host.filter(|_| call.caller.is_some() && now < until) else {
            call.attempts.push(None);
            let closed = call.caller.is_none();
            return self.events.push_back(ended(id, attempt, Outcome::NotSent, Duration::ZERO, closed));
        };
        let (meter, to) = (Meter::default(), Target { server, address: host.dial });
        let exchange = self.protocol.attempt(to, call.request.clone(), until, &meter);
        let task = {
            let (handle, meter) = (handle.clone(), meter.clone());
            task::spawn(async move {
                // It is over then, whatever the protocol does.
                let end = match limit {
                    None => timeout_at(until, exchange).await.ok(),
                    Some(limit) if alone => {
                        let mut exchange = std::pin::pin!(exchange);
                        match timeout_at(until, &mut exchange).await {
                            Ok(end) => Some(end),
                            Err(_) if handle.time_is_up(id) => until_moved(&limit, exchange).await,
                            Err(_) => None,
                        }
                    }
                    Some(limit) => until_moved(&limit, exchange).await,
                };
                let end = end.unwrap_or_else(|| match meter.bytes() {
                    0 => End::without_answer(Outcome::NoConnection),
                    _ => End::without_answer(Outcome::TimedOut),
                });
                handle.finish(id, attempt, end);
            })
        };
        self.counts.attempts += 1;
        if let Some(call) = self.calls.get_mut(&id) {
            call.attempts.push(Some(Attempt { server, address: to.address, sent: now, meter, _task: task }));
        }
    }

    /// Calls an attempt off: its connection closes.
    fn cancel(&mut self, id: CallId, attempt: u32) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(out) = call.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        let closed = call.caller.is_none();
        call.may_have_run |= out.meter.bytes() > 0;
        self.events.push_back(ended(id, attempt, Outcome::CalledOff, out.sent.elapsed(), closed));
        self.tidy(id);
    }

    fn answer(&mut self, id: CallId, reply: Reply<P::Answer>) {
        if let Some(call) = self.calls.get_mut(&id) {
            let may_have_run = call.may_have_run();
            match call.caller.take() {
                Some(Owner::One(caller)) => caller.answer(reply),
                Some(Owner::Key(slot)) => self.settle(slot, reply, may_have_run),
                None => {}
            }
        }
        self.tidy(id);
    }

    /// What is left of a call that is over: nothing more is sent for it, and it is forgotten once none of its
    /// attempts is out.
    pub(crate) fn tidy(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| call.caller.is_none()) else { return };
        call.withdraw(id, &mut self.events, |_| true);
        if call.attempts.iter().all(Option::is_none) {
            if let Some(call) = self.calls.remove(&id) {
                self.open.remove(&call.id);
            }
        }
    }

    fn subscribe(&mut self, handle: &Handle<P>) {
        let (handle, discovery, since) = (handle.clone(), self.config.discovery, self.seq);
        let pushed = !self.config.settings.ask;
        self.watches += 1;
        let watch = self.watches;
        // The task of the last watch, if there is one, ends here.
        self.watch = Some(task::spawn(async move {
            let reason = discovery::watch(discovery, since, |list| handle.members(list, Some(watch))).await;
            if handle.0.borrow().watches != watch {
                return;
            }
            handle.log(&format!("discovery: {reason}"));
            handle.run([Event::Members { kind: ListKind::Failed, entries: Vec::new() }]);
            if pushed {
                tokio::time::sleep(PUSH_RETRY).await;
                handle.0.borrow_mut().subscribe(&handle);
            }
        }));
    }

    /// The number of a host. What is idle there is of no use once it moves or starts again.
    fn intern(&mut self, entry: &discovery::Host) -> ServerId {
        let server = *self.names.entry(entry.host.clone()).or_insert_with(|| {
            self.next_server += 1;
            // The module's lines name servers by number alone.
            (self.log)(&format!("server {} is {} at {}", self.next_server, entry.host, entry.dial));
            ServerId(self.next_server)
        });
        let host = self.hosts.entry(server).or_insert_with(|| Host {
            dial: entry.dial,
            born_ms: entry.born_ms,
            health: entry.health,
        });
        if (host.dial, host.born_ms) != (entry.dial, entry.born_ms) {
            (host.dial, host.born_ms) = (entry.dial, entry.born_ms);
            self.protocol.retire(server);
        }
        host.health = entry.health;
        server
    }

    /// Takes back what is not yet written to hosts that are not ready, or no longer there, and closes what is
    /// idle: a send counts when it is written, not when it was decided.
    fn withdraw(&mut self) {
        let Driver { calls, hosts, events, protocol, .. } = self;
        for (&server, host) in hosts.iter() {
            match host.health {
                Health::Ready => protocol.admit(Target { server, address: host.dial }),
                Health::Terminating | Health::Gone => protocol.retire(server),
            }
        }
        for (&id, call) in calls {
            call.withdraw(id, events, |out| !hosts.get(&out.server).is_some_and(|h| h.takes(out.address)));
        }
    }

    fn show(&self) {
        if self.shown.receiver_count() > 0 {
            self.shown.send_if_modified(|shown| {
                let state = self.state();
                let differs = *shown != state;
                *shown = state;
                differs
            });
        }
    }

    fn state(&self) -> State {
        let mut out: HashMap<ServerId, usize> = HashMap::new();
        for attempt in self.calls.values().flat_map(|call| call.attempts.iter().flatten()) {
            *out.entry(attempt.server).or_default() += 1;
        }
        let host = |(name, server): (&String, &ServerId)| {
            let (host, attempts) = (self.hosts.get(server)?, out.get(server).copied().unwrap_or_default());
            Some(HostState { name: name.clone(), address: host.dial, health: host.health, attempts })
        };
        let mut hosts: Vec<HostState> = self.names.iter().filter_map(host).collect();
        hosts.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        State {
            ready: self.listed,
            version: self.seq,
            hosts,
            calls: self.calls.len(),
            lingering: self.keyed.as_ref().map_or(0, |keyed| keyed.lingering.len()),
            ids: self.open.len(),
            connections: self.protocol.connections(),
            requests: self.counts.requests,
            attempts: self.counts.attempts,
            keys: self
                .keyed
                .as_ref()
                .map(|keyed| (keyed.store.counts(), keyed.store.len(), keyed.store.answer_bytes())),
            outcomes: self.counts.outcomes.clone(),
        }
    }
}

/// What a future gives by a moment that may move on meanwhile.
async fn until_moved<T>(limit: &Cell<Instant>, future: impl std::future::Future<Output = T>) -> Option<T> {
    let mut future = std::pin::pin!(future);
    loop {
        let until = limit.get();
        if let Ok(done) = timeout_at(until, &mut future).await {
            return Some(done);
        }
        if limit.get() <= until {
            return None;
        }
    }
}
