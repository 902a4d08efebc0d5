//! Drives the decision module: turns what happens on the sockets into its events, in one order and on one
//! clock, and carries out its actions. It decides nothing itself, and of the stations on a call's way it knows the
//! order alone.

mod attempts;
mod group;
mod members;
mod shown;
mod watch;
mod way;

use crate::calls::call::Call;
use crate::calls::{Ask, Caller, Guest, OpenIds, Owner, Reply};
use crate::clock::Clock;
use crate::config::Config;
use crate::group::Group;
use crate::meter::FreshnessGate;
use crate::protocol::Protocol;
use crate::state::{Observer, State};
use crate::station::{Desk, Station};
use crate::Log;
use members::{Hosts, Source};
use nettleworks_policy::{Balancer, CallId, Event, Freshness, Micros};
use shown::Counts;
use std::any::Any;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};
use watch::Watch;

/// How often the protocol looks through what it keeps.
const SWEEP: Duration = Duration::from_secs(1);
/// How many sweeps pass between two lines of figures in the log.
const SWEEPS_A_LINE: u32 = 10;
/// How often a stop looks whether calls still linger.
const SETTLE_LOOK: Duration = Duration::from_millis(2);

/// When to come again after a refusal by an engine that ends.
const TORN: Duration = Duration::from_secs(1);

/// The stations on the way, in their order.
pub type Stations<P> = Vec<Box<dyn Station<P>>>;

struct Driver<P: Protocol> {
    desk: Desk<P>,
    stations: Stations<P>,
    protocol: Rc<P>,
    balancer: Balancer,
    next_call: u64,
    hosts: Hosts,
    watch: Watch,
    /// When the module wants to be woken next.
    wake: Option<Instant>,
    counts: Counts,
    observer: Option<Box<dyn Observer>>,
    /// Whether the list that this engine has may be written by.
    fresh: FreshnessGate,
    /// When that list expires, as the module has last said.
    expires_at: Option<Micros>,
    /// That moment has come, and what was not written was taken back.
    expired: bool,
    /// A panic has left it half way through a change.
    torn: bool,
}

/// The driver, shared by the tasks of one thread. No method waits, and none is called from within another.
pub struct Handle<P: Protocol>(Rc<RefCell<Driver<P>>>);

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
        self.hear().await
    }

    /// The same for one who may end the waiting before it is there.
    pub async fn hear(&mut self) -> Reply<P::Answer> {
        // The sender is only ever dropped with the call, after an answer or with the process.
        (&mut self.reply).await.unwrap_or(Reply::Failed)
    }

    /// The call's final answer where its process ends before it has another: refused if it surely never ran, else
    /// failed. Nothing is sent for it afterwards.
    pub fn cut_short(self) -> Reply<P::Answer> {
        let driver = self.driver.0.borrow();
        let call = driver.desk.calls.get(&self.call);
        let never =
            call.is_some_and(|call| matches!(call.owner, Some(Owner::Caller(_))) && !call.may_have_run());
        let most = Duration::from_micros(driver.desk.config.settings.limits.max_retry_after);
        drop(driver);
        // Dropped with this, it has gone.
        if never {
            Reply::Refused(TORN.min(most))
        } else {
            Reply::Failed
        }
    }
}

impl<P: Protocol> Drop for Waiting<P> {
    fn drop(&mut self) {
        self.driver.gone(self.call);
    }
}

impl<P: Protocol> Handle<P> {
    /// Starts the module with what the configuration holds. Its lines go to `log`.
    pub fn start(config: Rc<Config>, protocol: P, stations: Stations<P>, log: Log) -> Self {
        Self::start_in(None, FreshnessGate::default(), config, protocol, stations, log)
    }

    /// The same for one of several engines that serve as one. Its module must know that room is shared
    /// ([`nettleworks_policy::Settings::shares_capacity`]).
    pub fn start_in(
        group: Option<Box<dyn Group<P>>>,
        fresh: FreshnessGate,
        config: Rc<Config>,
        protocol: P,
        stations: Stations<P>,
        log: Log,
    ) -> Self {
        let desk = Desk {
            clock: Clock::new(),
            config: config.clone(),
            log,
            events: VecDeque::new(),
            calls: BTreeMap::new(),
            open: OpenIds::new(),
            group,
            at: 0,
            told: VecDeque::new(),
            entering: VecDeque::new(),
            armed: None,
            woken: Rc::new(Notify::new()),
        };
        let driver = Driver {
            desk,
            stations,
            protocol: Rc::new(protocol),
            balancer: Balancer::new(config.seed, config.settings.clone()),
            next_call: 0,
            // Its version is set before the start: the module subscribes at once, from the list it gets next.
            hosts: Hosts::new(config.cached_list.as_ref().map(|known| known.seq)),
            watch: Watch::new(),
            wake: None,
            counts: Counts::default(),
            observer: None,
            fresh,
            expires_at: None,
            expired: false,
            torn: false,
        };
        let handle = Handle(Rc::new(RefCell::new(driver)));
        handle.run([Event::Start]);
        if let Some(known) = config.cached_list.clone() {
            handle.members(known, Source::Known);
            handle.list_is_from_before();
        }
        if !config.settings.pull_list {
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
        self.0.borrow().hosts.listed
    }

    /// How many calls wait for their answer.
    pub fn waiting(&self) -> usize {
        let driver = self.0.borrow();
        let plain = |call: &&Call<P>| matches!(call.owner, Some(Owner::Caller(_)));
        driver.desk.calls.values().filter(plain).count()
            + driver.stations.iter().map(|station| station.waiting()).sum::<usize>()
    }

    /// How many calls go on though nobody waits for them.
    pub fn lingering(&self) -> usize {
        self.0.borrow().lingering()
    }

    /// Waits until no call lingers.
    pub async fn settled(&self) {
        while self.lingering() > 0 {
            tokio::time::sleep(SETTLE_LOOK).await;
        }
    }

    /// The configuration.
    pub fn config(&self) -> Rc<Config> {
        self.0.borrow().desk.config.clone()
    }

    /// Goes on under a new configuration. Its discovery is watched at once, from the version of the list in hand.
    pub fn reload(&self, config: Config) {
        let mut driver = self.0.borrow_mut();
        let (config, differs) = driver.desk.config.reloaded(config);
        let moved = config.discovery != driver.desk.config.discovery;
        let left = if differs { "; what else changed takes a restart" } else { "" };
        driver.desk.log(&format!("configuration read again, discovery at {}{left}", config.discovery));
        driver.desk.config = Rc::new(config);
        let Driver { desk, protocol, stations, .. } = &mut *driver;
        protocol.reload(&desk.config);
        stations.iter_mut().for_each(|station| station.reload(&desk.config));
        if moved {
            driver.subscribe(self);
            drop(driver);
            self.run([Event::Freshness(Freshness::DiscoveryChanged)]);
        }
    }

    /// Writes the figures so far to the log.
    pub fn log_counts(&self) {
        self.0.borrow().log_counts();
    }

    /// Writes a line to the log.
    pub fn log(&self, line: &str) {
        let log = self.0.borrow().desk.log.clone();
        log(line);
    }

    /// Shows the state from here on: when the list of hosts changes, and once a second.
    pub fn observe(&self, observer: impl Observer + 'static) {
        let mut driver = self.0.borrow_mut();
        driver.observer = Some(Box::new(observer));
        driver.show();
    }

    /// Shows the state to whoever observes it, now.
    pub fn show(&self) {
        let driver = self.0.borrow();
        if let Some(observer) = &driver.observer {
            observer.show(driver.state());
        }
    }

    /// The state now.
    pub fn state(&self) -> State {
        self.0.borrow().state()
    }

    /// Does something with the station of a type; `None`: it is not on the way.
    pub fn station<S: Station<P>, T>(&self, act: impl FnOnce(&mut S, &mut Desk<P>) -> T) -> Option<T> {
        let mut driver = self.0.borrow_mut();
        let Driver { desk, stations, .. } = &mut *driver;
        let mut places = (0..).zip(stations);
        let (at, station) = places.find_map(|(at, station)| {
            let any: &mut dyn Any = &mut **station;
            Some((at, any.downcast_mut::<S>()?))
        })?;
        desk.at = at;
        let done = act(station, desk);
        drop(driver);
        self.run([]);
        Some(done)
    }

    fn sweep(&self) {
        let driver = self.0.borrow();
        driver.protocol.sweep();
        driver.show();
    }

    /// Takes a request in. Its answer may be there when this returns.
    pub fn request(&self, ask: Ask<P::Id>, request: P::Request) -> Waiting<P> {
        self.wait(ask, request, true)
    }

    fn wait(&self, ask: Ask<P::Id>, request: P::Request, own: bool) -> Waiting<P> {
        let (sender, reply) = oneshot::channel();
        let call = self.take_in(ask, request, Caller { reply: sender, place: None }, own);
        Waiting { driver: self.clone(), call, reply }
    }

    /// Takes a request in for a caller that is told of the answer elsewhere. [`Handle::gone`] with the id that
    /// comes back says that nobody waits any more.
    pub fn call(&self, ask: Ask<P::Id>, request: P::Request, caller: Caller<P::Answer>) -> CallId {
        self.take_in(ask, request, caller, true)
    }

    fn take_in(&self, ask: Ask<P::Id>, request: P::Request, caller: Caller<P::Answer>, own: bool) -> CallId {
        let mut driver = self.0.borrow_mut();
        driver.next_call += 1;
        let number = CallId(driver.next_call);
        if driver.torn {
            caller.answer(Reply::Refused(TORN));
            return number;
        }
        let Desk { open, group, .. } = &mut driver.desk;
        if !open.open(&ask.id, own, group) {
            caller.answer(Reply::IdOpen);
            return number;
        }
        driver.counts.requests += u64::from(own);
        let (request, owner) = (Rc::new(request), Owner::Caller(caller));
        driver.enter(0, Guest { number, ask, request, owner, outlives: None, id_is_out: false });
        drop(driver);
        self.run([]);
        number
    }

    /// Nobody waits for this call any more. Says nothing of one that is answered.
    pub fn gone(&self, id: CallId) {
        let mut driver = self.0.borrow_mut();
        if driver.gone(id) {
            drop(driver);
            self.run([]);
        }
    }

    /// Feeds events to the module, and those that its actions lead to at once. What stations are to hear comes first:
    /// an answer does not wait for what the module makes of it.
    fn run(&self, events: impl IntoIterator<Item = Event>) {
        let mut driver = self.0.borrow_mut();
        if driver.torn {
            return;
        }
        driver.desk.events.extend(events);
        driver.take_over_lease();
        let mut actions = Vec::new();
        // What unwinds through here leaves it so.
        driver.torn = driver.desk.group.is_some();
        loop {
            driver.tell_stations();
            driver.settle();
            let Some(event) = driver.desk.events.pop_front() else { break };
            if let Event::Outcome { outcome, .. } = event {
                *driver.counts.outcomes.entry(outcome).or_default() += 1;
            }
            let now = driver.desk.now();
            driver.balancer.handle(now, event, &mut actions);
            driver.heed_expiry();
            for action in actions.drain(..) {
                driver.carry_out(self, action);
            }
        }
        driver.torn = false;
    }

    /// The one timer of the module and the stations.
    async fn timer(self) {
        let woken = self.0.borrow().desk.woken.clone();
        loop {
            let (wake, armed) = {
                let mut driver = self.0.borrow_mut();
                let next = driver.stations.iter().filter_map(|station| station.wake_at(&driver.desk)).min();
                driver.desk.armed = next;
                (driver.wake, next)
            };
            let due = |at: Option<Instant>| async move {
                match at {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            // In this order, not in one drawn anew: the same events make the same course.
            tokio::select! {
                biased;
                () = due(armed) => {
                    self.0.borrow_mut().wake_stations();
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
