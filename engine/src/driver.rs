//! Drives the decision module: turns what happens on the sockets into its events, in one order and on one
//! clock, and carries out its actions. It decides nothing itself.

use crate::config::Config;
use crate::discovery::{self, Health, List};
use crate::socket::Meter;
use crate::upstream::{self, Connection, End};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use nettleworks_policy::{
    Action, Balancer, CallId, CellId, ClassId, Entry, Event, ListKind, Load, Micros, Outcome, ServerId,
    State, TenantId,
};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::sync::{oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout_at, Instant};

/// Share of the time for which hosts keep an idle connection, after which it is no longer used.
const IDLE_PART: f64 = 0.9;
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);
/// How many sweeps pass between two lines of figures in the log.
const SWEEPS_A_LINE: u32 = 10;
/// Where the list is pushed the module never asks for it: a watch that ended is opened again after this.
const PUSH_RETRY: Duration = Duration::from_secs(1);

/// The proxy's clock: it counts from Unix time at the start, so that start times of hosts can be told in it,
/// and never goes back, whatever is done to the system's clock.
#[derive(Clone, Copy, Debug)]
struct Clock {
    start: Instant,
    origin: Micros,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), origin: unix.as_micros() as Micros }
    }

    fn at(&self, instant: Instant) -> Micros {
        self.origin + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.origin))
    }
}

/// A client's request as hosts get it.
#[derive(Debug)]
pub struct Forward {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: Uri,
    /// Its headers, without those of the client's connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Forward {
    /// The request for one attempt, which is given up at `until`.
    fn request(&self, until: Instant) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.headers.clone();
        let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
        request.headers_mut().insert("x-budget-ms", HeaderValue::from(left.max(1)));
        request
    }
}

/// What the decision module is told of a request.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its id, which no other open request has.
    pub id: HeaderValue,
    /// Its class.
    pub class: ClassId,
    /// Whose it is.
    pub tenant: Option<TenantId>,
    /// Until when the client is to have its answer.
    pub deadline: Instant,
    /// The client has tried before.
    pub resent: bool,
}

/// The one final answer of a request.
#[derive(Debug)]
pub enum Reply {
    /// A host's answer.
    Served(Response<Bytes>),
    /// Turned away; the client may come again after this time.
    Refused(Duration),
    /// Failed; it may have run.
    Failed,
}

/// A call from its request until it is answered and none of its attempts is out.
struct Call {
    id: HeaderValue,
    forward: Rc<Forward>,
    deadline: Instant,
    /// `None`: it is over.
    reply: Option<oneshot::Sender<Reply>>,
    /// `None`: that attempt has ended.
    attempts: Vec<Option<Attempt>>,
}

impl Call {
    /// Ends the attempts that are unwanted and of which nothing is written yet. Unlike one that is called off,
    /// such an attempt surely never ran.
    fn withdraw(&mut self, id: CallId, events: &mut VecDeque<Event>, unwanted: impl Fn(&Attempt) -> bool) {
        let closed = self.reply.is_none();
        for (attempt, out) in (0..).zip(&mut self.attempts) {
            if let Some(out) = out.take_if(|out| out.meter.get() == 0 && unwanted(out)) {
                events.push_back(ended(id, attempt, Outcome::NotSent, out.sent.elapsed(), closed));
            }
        }
    }
}

/// The outcome of an attempt that the proxy itself has ended.
fn ended(call: CallId, attempt: u32, outcome: Outcome, elapsed: Duration, closed: bool) -> Event {
    let (elapsed, load) = (elapsed.as_micros() as Micros, Load::default());
    Event::Outcome { call, attempt, outcome, elapsed, closed, load }
}

/// An attempt that is out.
struct Attempt {
    server: ServerId,
    address: SocketAddr,
    sent: Instant,
    meter: Meter,
    /// Ends the exchange and closes its connection when dropped.
    _task: upstream::Task,
}

/// A host of the list, and this proxy's idle connections to it, the most recently used last.
struct Host {
    dial: SocketAddr,
    born_ms: u64,
    health: Health,
    idle: Vec<(Instant, Connection)>,
}

/// Figures for the log.
#[derive(Debug, Default)]
struct Counts {
    requests: u64,
    attempts: u64,
    opened: u64,
    open_failed: u64,
    broken_reuse: u64,
    outcomes: BTreeMap<Outcome, u64>,
}

impl Host {
    /// Whether something new may be written to it at this address.
    fn takes(&self, address: SocketAddr) -> bool {
        self.health == Health::Ready && self.dial == address
    }
}

struct Driver {
    clock: Clock,
    config: Rc<Config>,
    balancer: Balancer,
    events: VecDeque<Event>,
    calls: BTreeMap<CallId, Call>,
    next_call: u64,
    hosts: HashMap<ServerId, Host>,
    names: HashMap<String, ServerId>,
    next_server: u32,
    seq: Option<u64>,
    listed: bool,
    watch: Option<upstream::Task>,
    /// Number of the present watch: what an earlier one still has to say no longer counts.
    watches: u64,
    /// One reference for each open connection to a host, and this one.
    slots: Rc<()>,
    /// When the module wants to be woken next, and what tells the one timer of a change.
    wake: Option<Instant>,
    woken: Rc<Notify>,
    /// Ids of the calls that are open: no second one may have one of them.
    open: HashSet<HeaderValue>,
    counts: Counts,
}

/// The driver, shared by the tasks of one thread. No method waits, and none is called from within another.
#[derive(Clone)]
pub struct Handle(Rc<RefCell<Driver>>);

/// A call that waits for its answer. Dropped before that, it tells the module that the client has gone.
pub struct Waiting {
    driver: Handle,
    call: CallId,
    reply: oneshot::Receiver<Reply>,
}

impl Waiting {
    /// The call's final answer.
    pub async fn reply(mut self) -> Reply {
        // The sender is only ever dropped with the call, after an answer or with the process.
        (&mut self.reply).await.unwrap_or(Reply::Failed)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.driver.gone(self.call);
    }
}

impl Handle {
    /// Starts the module with what the configuration holds.
    pub fn start(config: Rc<Config>) -> Handle {
        let driver = Driver {
            clock: Clock::new(),
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
            slots: Rc::default(),
            wake: None,
            woken: Rc::default(),
            open: HashSet::new(),
            counts: Counts::default(),
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
                sweeper.0.borrow_mut().sweep();
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
        crate::log(&format!("configuration read again, discovery at {}{left}", config.discovery));
        driver.config = Rc::new(config);
        if moved {
            driver.subscribe(self);
        }
    }

    /// Writes the figures so far to the log.
    pub fn log_counts(&self) {
        let driver = self.0.borrow();
        let idle: usize = driver.hosts.values().map(|h| h.idle.len()).sum();
        let (calls, open) = (driver.calls.len(), Rc::strong_count(&driver.slots) - 1);
        crate::log(&format!("{calls} calls, {open} connections ({idle} idle), {:?}", driver.counts));
    }

    /// Takes a request in. `None`: its id is open already; hosts would take the two for one.
    pub fn request(&self, ask: Ask, forward: Forward) -> Option<Waiting> {
        let Ask { id, class, tenant, deadline, resent } = ask;
        let mut driver = self.0.borrow_mut();
        if !driver.open.insert(id.clone()) {
            return None;
        }
        driver.counts.requests += 1;
        driver.next_call += 1;
        let call = CallId(driver.next_call);
        let (sender, reply) = oneshot::channel();
        let time_left = deadline.saturating_duration_since(Instant::now()).as_micros() as Micros;
        let (forward, attempts) = (Rc::new(forward), Vec::new());
        driver.calls.insert(call, Call { id, forward, deadline, reply: Some(sender), attempts });
        drop(driver);
        self.run([Event::Request { call, class, tenant, time_left, resent }]);
        Some(Waiting { driver: self.clone(), call, reply })
    }

    fn gone(&self, id: CallId) {
        let mut driver = self.0.borrow_mut();
        if driver.calls.get_mut(&id).and_then(|call| call.reply.take()).is_some() {
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
                Health::Ready => State::Ready,
                Health::Terminating => State::Draining,
                Health::Gone => State::Gone,
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
        drop(driver);
        self.run([]);
    }

    /// One attempt, from its connection to its outcome. It is over at `until` whatever happens.
    async fn attempt(
        &self,
        address: SocketAddr,
        kept: Option<Connection>,
        forward: &Forward,
        until: Instant,
        meter: &Meter,
    ) -> End {
        let exchange = async {
            if let Some(connection) = kept {
                let end = upstream::exchange(connection, forward.request(until), meter).await;
                let broken = end.as_ref().is_none_or(|end| end.outcome == Outcome::Stale);
                self.count(|counts| counts.broken_reuse += u64::from(broken));
                if let Some(end) = end {
                    return end;
                }
            }
            // Nothing has been written yet, so this is no second sending.
            let Some(slot) = self.0.borrow_mut().slot() else {
                return End::without_answer(Outcome::NotSent);
            };
            let limit = self.config().connect_timeout;
            let opened = Connection::open(address, limit, slot).await;
            self.count(|counts| {
                *if opened.is_ok() { &mut counts.opened } else { &mut counts.open_failed } += 1
            });
            let end = match opened {
                Ok(connection) => upstream::exchange(connection, forward.request(until), meter).await,
                Err(_) => None,
            };
            end.unwrap_or_else(|| End::without_answer(Outcome::NoConnection))
        };
        let late = |_| match meter.get() {
            0 => End::without_answer(Outcome::NoConnection),
            _ => End::without_answer(Outcome::TimedOut),
        };
        timeout_at(until, exchange).await.unwrap_or_else(late)
    }

    fn count(&self, count: impl FnOnce(&mut Counts)) {
        count(&mut self.0.borrow_mut().counts);
    }

    fn finish(&self, id: CallId, attempt: u32, mut end: End) {
        let mut driver = self.0.borrow_mut();
        let Some(call) = driver.calls.get_mut(&id) else { return };
        let Some(out) = call.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        if let Some(reply) = end.answer.take().and_then(|answer| Some((call.reply.take()?, answer))) {
            // A client that has just gone has no use for it.
            let _ = reply.0.send(Reply::Served(reply.1));
        }
        let (elapsed, closed) = (out.sent.elapsed().as_micros() as Micros, call.reply.is_none());
        let (outcome, load) = (end.outcome, end.load);
        driver.events.push_back(Event::Outcome { call: id, attempt, outcome, elapsed, closed, load });
        driver.tidy(id);
        // Back before the outcome is told: else the call that it lets go would open another.
        let host = driver.hosts.get_mut(&out.server).filter(|host| host.takes(out.address));
        if let (Some(host), Some(connection)) = (host, end.connection) {
            host.idle.push((Instant::now(), connection));
        }
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
            let due = async {
                match wake {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => {
                    self.0.borrow_mut().wake = None;
                    self.run([Event::Timer]);
                }
                () = woken.notified() => {}
            }
        }
    }
}

impl Driver {
    fn carry_out(&mut self, handle: &Handle, action: Action) {
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
            Action::Log { text } => crate::log(&text),
            // The module asks for none where the settings allow none, and this program has none to offer.
            Action::Probe { .. } => {}
        }
    }

    fn send(&mut self, handle: &Handle, id: CallId, server: ServerId, until: Option<Micros>) {
        let now = Instant::now();
        let Some(call) = self.calls.get_mut(&id) else { return };
        let attempt = call.attempts.len() as u32;
        let until = until.map_or(call.deadline, |at| self.clock.instant(at).min(call.deadline));
        let host = self.hosts.get_mut(&server).filter(|host| host.health == Health::Ready);
        let Some(host) = host.filter(|_| call.reply.is_some() && now < until) else {
            call.attempts.push(None);
            let closed = call.reply.is_none();
            return self.events.push_back(ended(id, attempt, Outcome::NotSent, Duration::ZERO, closed));
        };
        let (meter, forward, address) = (Meter::default(), call.forward.clone(), host.dial);
        // A request must not cross its host's close: old ones and those closed meanwhile are passed over.
        let keep = self.config.conn_idle.mul_f64(IDLE_PART);
        host.idle.retain(|(since, connection)| since.elapsed() < keep && connection.is_ready());
        let kept = host.idle.pop().map(|(_, connection)| connection);
        let task = {
            let (handle, meter) = (handle.clone(), meter.clone());
            upstream::spawn(async move {
                let end = handle.attempt(address, kept, &forward, until, &meter).await;
                handle.finish(id, attempt, end);
            })
        };
        self.counts.attempts += 1;
        if let Some(call) = self.calls.get_mut(&id) {
            call.attempts.push(Some(Attempt { server, address, sent: now, meter, _task: task }));
        }
    }

    /// Calls an attempt off: its connection closes.
    fn cancel(&mut self, id: CallId, attempt: u32) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(out) = call.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        let closed = call.reply.is_none();
        self.events.push_back(ended(id, attempt, Outcome::CalledOff, out.sent.elapsed(), closed));
        self.tidy(id);
    }

    fn answer(&mut self, id: CallId, reply: Reply) {
        if let Some(sender) = self.calls.get_mut(&id).and_then(|call| call.reply.take()) {
            // A client that has just gone has no use for it.
            let _ = sender.send(reply);
        }
        self.tidy(id);
    }

    /// What is left of a call that is over: nothing more is sent for it, and it is forgotten once none of its
    /// attempts is out.
    fn tidy(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| call.reply.is_none()) else { return };
        call.withdraw(id, &mut self.events, |_| true);
        if call.attempts.iter().all(Option::is_none) {
            if let Some(call) = self.calls.remove(&id) {
                self.open.remove(&call.id);
            }
        }
    }

    fn subscribe(&mut self, handle: &Handle) {
        let (handle, discovery, since) = (handle.clone(), self.config.discovery, self.seq);
        let pushed = !self.config.settings.ask;
        self.watches += 1;
        let watch = self.watches;
        // The task of the last watch, if there is one, ends here.
        self.watch = Some(upstream::spawn(async move {
            let reason = discovery::watch(discovery, since, |list| handle.members(list, Some(watch))).await;
            if handle.0.borrow().watches != watch {
                return;
            }
            crate::log(&format!("discovery: {reason}"));
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
            crate::log(&format!("server {} is {} at {}", self.next_server, entry.host, entry.dial));
            ServerId(self.next_server)
        });
        let host = self.hosts.entry(server).or_insert_with(|| Host {
            dial: entry.dial,
            born_ms: entry.born_ms,
            health: entry.health,
            idle: Vec::new(),
        });
        if (host.dial, host.born_ms) != (entry.dial, entry.born_ms) {
            (host.dial, host.born_ms) = (entry.dial, entry.born_ms);
            host.idle.clear();
        }
        host.health = entry.health;
        server
    }

    /// Takes back what is not yet written to hosts that are not ready, or no longer there, and closes what is
    /// idle: a send counts when it is written, not when it was decided.
    fn withdraw(&mut self) {
        let Driver { calls, hosts, events, .. } = self;
        hosts.values_mut().filter(|host| host.health != Health::Ready).for_each(|host| host.idle.clear());
        for (&id, call) in calls {
            call.withdraw(id, events, |out| !hosts.get(&out.server).is_some_and(|h| h.takes(out.address)));
        }
    }

    /// A place for one more connection to a host; the oldest idle one makes room when there is none.
    fn slot(&mut self) -> Option<Rc<()>> {
        if Rc::strong_count(&self.slots) > self.config.connections_to_hosts() {
            let oldest = self.hosts.values_mut().filter(|host| !host.idle.is_empty());
            drop(oldest.min_by_key(|host| host.idle[0].0)?.idle.remove(0));
        }
        Some(self.slots.clone())
    }

    /// Closes connections that have stood idle for nearly as long as hosts keep them.
    fn sweep(&mut self) {
        let keep = self.config.conn_idle.mul_f64(IDLE_PART);
        self.hosts.values_mut().for_each(|host| host.idle.retain(|(since, _)| since.elapsed() < keep));
    }
}
