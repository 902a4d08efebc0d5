//! Drives the decision module: turns what happens on the sockets into its events, in one order and on one
//! clock, and carries out its actions. It decides nothing itself, and of the stations on a call's way it knows the
//! order alone.

mod attempts;
mod chain;
mod group;
mod hosts;
mod report;
mod watch;

use crate::calls::call::Call;
use crate::calls::{Caller, IncomingRequest, OpenIds, Recipient, Reply, RequestInfo};
use crate::clock::Clock;
use crate::config::Config;
use crate::group::Group;
use crate::interceptor::{ChainContext, Interceptor};
use crate::meter::Fresh;
use crate::protocol::Protocol;
use crate::state::{Observer, State};
use crate::Log;
use hosts::{Hosts, ListSource};
use nettleworks_policy::{Balancer, CallId, Event, Freshness, Micros};
use report::Counts;
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
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// How many sweeps pass between two lines of figures in the log.
const SWEEPS_PER_LOG_LINE: u32 = 10;
/// How often a stop looks whether calls still linger.
const DETACHED_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// When to come again after a refusal by an engine that ends.
const POISONED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The stations on the way, in their order.
pub type InterceptorChain<P> = Vec<Box<dyn Interceptor<P>>>;

struct Driver<P: Protocol> {
    context: ChainContext<P>,
    chain: InterceptorChain<P>,
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
    freshness_gate: Fresh,
    /// When that list expires, as the module has last said.
    expires_at: Option<Micros>,
    /// That moment has come, and what was not written was taken back.
    expired: bool,
    /// A panic has left it half way through a change.
    poisoned: bool,
}

/// The driver, shared by the tasks of one thread. No method waits, and none is called from within another.
pub struct Handle<P: Protocol>(Rc<RefCell<Driver<P>>>);

impl<P: Protocol> Clone for Handle<P> {
    fn clone(&self) -> Self {
        Handle(self.0.clone())
    }
}

/// A call that waits for its answer. Dropped before that, it tells the module that the client has gone.
pub struct PendingReply<P: Protocol> {
    driver: Handle<P>,
    call: CallId,
    reply: oneshot::Receiver<Reply<P::Answer>>,
}

impl<P: Protocol> PendingReply<P> {
    /// The call's final answer.
    pub async fn reply(mut self) -> Reply<P::Answer> {
        self.wait().await
    }

    /// The same for one who may end the waiting before it is there.
    pub async fn wait(&mut self) -> Reply<P::Answer> {
        // The sender is only ever dropped with the call, after an answer or with the process.
        (&mut self.reply).await.unwrap_or(Reply::Failed)
    }

    /// The call's final answer where its process ends before it has another: refused if it surely never ran, else
    /// failed. Nothing is sent for it afterwards.
    pub fn abort(self) -> Reply<P::Answer> {
        let driver = self.driver.0.borrow();
        let call = driver.context.calls.get(&self.call);
        let never_ran = call
            .is_some_and(|call| matches!(call.recipient, Some(Recipient::Caller(_))) && !call.may_have_run());
        let max_retry_after = Duration::from_micros(driver.context.config.settings.limits.max_retry_after);
        drop(driver);
        // Dropped with this, it has gone.
        if never_ran {
            Reply::Refused(POISONED_RETRY_AFTER.min(max_retry_after))
        } else {
            Reply::Failed
        }
    }
}

impl<P: Protocol> Drop for PendingReply<P> {
    fn drop(&mut self) {
        self.driver.cancel(self.call);
    }
}

impl<P: Protocol> Handle<P> {
    /// Starts the module with what the configuration holds. Its lines go to `log`.
    pub fn start(config: Rc<Config>, protocol: P, chain: InterceptorChain<P>, log: Log) -> Self {
        Self::start_in_group(None, Fresh::default(), config, protocol, chain, log)
    }

    /// The same for one of several engines that serve as one. Its module must know that room is shared
    /// ([`nettleworks_policy::Settings::shared`]).
    pub fn start_in_group(
        group: Option<Box<dyn Group<P>>>,
        freshness_gate: Fresh,
        config: Rc<Config>,
        protocol: P,
        chain: InterceptorChain<P>,
        log: Log,
    ) -> Self {
        let context = ChainContext {
            clock: Clock::new(),
            config: config.clone(),
            log,
            events: VecDeque::new(),
            calls: BTreeMap::new(),
            open_ids: OpenIds::new(),
            group,
            current: 0,
            notifications: VecDeque::new(),
            forwarded: VecDeque::new(),
            next_wake: None,
            timer_changed: Rc::new(Notify::new()),
        };
        let driver = Driver {
            context,
            chain,
            protocol: Rc::new(protocol),
            balancer: Balancer::new(config.seed, config.settings.clone()),
            next_call: 0,
            // Its version is set before the start: the module subscribes at once, from the list it gets next.
            hosts: Hosts::new(config.known.as_ref().map(|cached_list| cached_list.seq)),
            watch: Watch::new(),
            wake: None,
            counts: Counts::default(),
            observer: None,
            freshness_gate,
            expires_at: None,
            expired: false,
            poisoned: false,
        };
        let handle = Handle(Rc::new(RefCell::new(driver)));
        handle.process([Event::Start]);
        if let Some(cached_list) = config.known.clone() {
            handle.receive_list(cached_list, ListSource::Cached);
            handle.mark_cached_list_unverified();
        }
        if !config.settings.ask {
            handle.0.borrow_mut().subscribe(&handle);
        }
        spawn_local(handle.clone().run_timer());
        let sweeper = handle.clone();
        spawn_local(async move {
            for sweep in 1_u32.. {
                tokio::time::sleep(SWEEP_INTERVAL).await;
                sweeper.sweep();
                if sweep % SWEEPS_PER_LOG_LINE == 0 {
                    sweeper.log_counts();
                }
            }
        });
        handle
    }

    /// Whether a list of hosts is in hand.
    pub fn is_ready(&self) -> bool {
        self.0.borrow().hosts.has_list
    }

    /// How many calls wait for their answer.
    pub fn waiting(&self) -> usize {
        let driver = self.0.borrow();
        let has_caller = |call: &&Call<P>| matches!(call.recipient, Some(Recipient::Caller(_)));
        driver.context.calls.values().filter(has_caller).count()
            + driver.chain.iter().map(|entry| entry.waiting()).sum::<usize>()
    }

    /// How many calls go on though nobody waits for them.
    pub fn detached(&self) -> usize {
        self.0.borrow().detached()
    }

    /// Waits until no call lingers.
    pub async fn wait_for_detached(&self) {
        while self.detached() > 0 {
            tokio::time::sleep(DETACHED_POLL_INTERVAL).await;
        }
    }

    /// The configuration.
    pub fn config(&self) -> Rc<Config> {
        self.0.borrow().context.config.clone()
    }

    /// Goes on under a new configuration. Its discovery is watched at once, from the version of the list in hand.
    pub fn reload(&self, config: Config) {
        let mut driver = self.0.borrow_mut();
        let (config, restart_needed) = driver.context.config.renewed(config);
        let discovery_changed = config.discovery != driver.context.config.discovery;
        let restart_note = if restart_needed { "; what else changed takes a restart" } else { "" };
        driver
            .context
            .log(&format!("configuration read again, discovery at {}{restart_note}", config.discovery));
        driver.context.config = Rc::new(config);
        let Driver { context, protocol, chain, .. } = &mut *driver;
        protocol.reload(&context.config);
        chain.iter_mut().for_each(|entry| entry.reload(&context.config));
        if discovery_changed {
            driver.subscribe(self);
            drop(driver);
            self.process([Event::Freshness(Freshness::DiscoveryMoved)]);
        }
    }

    /// Writes the figures so far to the log.
    pub fn log_counts(&self) {
        self.0.borrow().log_counts();
    }

    /// Writes a line to the log.
    pub fn log(&self, line: &str) {
        let log = self.0.borrow().context.log.clone();
        log(line);
    }

    /// Shows the state from here on: when the list of hosts changes, and once a second.
    pub fn observe(&self, observer: impl Observer + 'static) {
        let mut driver = self.0.borrow_mut();
        driver.observer = Some(Box::new(observer));
        driver.notify_observer();
    }

    /// Shows the state to whoever observes it, now.
    pub fn notify_observer(&self) {
        let driver = self.0.borrow();
        if let Some(observer) = &driver.observer {
            observer.on_state(driver.state());
        }
    }

    /// The state now.
    pub fn state(&self) -> State {
        self.0.borrow().state()
    }

    /// Does something with the station of a type; `None`: it is not on the way.
    pub fn with_interceptor<S: Interceptor<P>, T>(
        &self,
        act: impl FnOnce(&mut S, &mut ChainContext<P>) -> T,
    ) -> Option<T> {
        let mut driver = self.0.borrow_mut();
        let Driver { context, chain, .. } = &mut *driver;
        let mut indexed = (0..).zip(chain);
        let (index, interceptor) = indexed.find_map(|(index, interceptor)| {
            let any: &mut dyn Any = &mut **interceptor;
            Some((index, any.downcast_mut::<S>()?))
        })?;
        context.current = index;
        let result = act(interceptor, context);
        drop(driver);
        self.process([]);
        Some(result)
    }

    fn sweep(&self) {
        let driver = self.0.borrow();
        driver.protocol.sweep();
        driver.notify_observer();
    }

    /// Takes a request in. Its answer may be there when this returns.
    pub fn request(&self, info: RequestInfo<P::Id>, request: P::Request) -> PendingReply<P> {
        self.start_pending(info, request, true)
    }

    fn start_pending(&self, info: RequestInfo<P::Id>, request: P::Request, own: bool) -> PendingReply<P> {
        let (sender, reply) = oneshot::channel();
        let call = self.accept(info, request, Caller { reply: sender, permit: None }, own);
        PendingReply { driver: self.clone(), call, reply }
    }

    /// Takes a request in for a caller that is told of the answer elsewhere. [`Handle::gone`] with the id that
    /// comes back says that nobody waits any more.
    pub fn submit(&self, info: RequestInfo<P::Id>, request: P::Request, caller: Caller<P::Answer>) -> CallId {
        self.accept(info, request, caller, true)
    }

    fn accept(
        &self,
        info: RequestInfo<P::Id>,
        request: P::Request,
        caller: Caller<P::Answer>,
        own: bool,
    ) -> CallId {
        let mut driver = self.0.borrow_mut();
        driver.next_call += 1;
        let number = CallId(driver.next_call);
        if driver.poisoned {
            caller.answer(Reply::Refused(POISONED_RETRY_AFTER));
            return number;
        }
        let ChainContext { open_ids, group, .. } = &mut driver.context;
        if !open_ids.open(&info.id, own, group) {
            caller.answer(Reply::DuplicateId);
            return number;
        }
        driver.counts.requests += u64::from(own);
        let (request, recipient) = (Rc::new(request), Recipient::Caller(caller));
        driver.admit(0, IncomingRequest { number, info, request, recipient, detach: None, id_moved: false });
        drop(driver);
        self.process([]);
        number
    }

    /// Nobody waits for this call any more. Says nothing of one that is answered.
    pub fn cancel(&self, id: CallId) {
        let mut driver = self.0.borrow_mut();
        if driver.cancel(id) {
            drop(driver);
            self.process([]);
        }
    }

    /// Feeds events to the module, and those that its actions lead to at once. What stations are to hear comes first:
    /// an answer does not wait for what the module makes of it.
    fn process(&self, events: impl IntoIterator<Item = Event>) {
        let mut driver = self.0.borrow_mut();
        if driver.poisoned {
            return;
        }
        driver.context.events.extend(events);
        driver.take_over_lease();
        let mut actions = Vec::new();
        // What unwinds through here leaves it so.
        driver.poisoned = driver.context.group.is_some();
        loop {
            driver.deliver_notifications();
            driver.synchronize_group();
            let Some(event) = driver.context.events.pop_front() else { break };
            if let Event::Outcome { outcome, .. } = event {
                *driver.counts.outcomes.entry(outcome).or_default() += 1;
            }
            let now = driver.context.now();
            driver.balancer.handle(now, event, &mut actions);
            driver.apply_list_expiry();
            for action in actions.drain(..) {
                driver.perform(self, action);
            }
        }
        driver.poisoned = false;
    }

    /// The one timer of the module and the stations.
    async fn run_timer(self) {
        let timer_changed = self.0.borrow().context.timer_changed.clone();
        loop {
            let (wake, next_wake) = {
                let mut driver = self.0.borrow_mut();
                let next = driver.chain.iter().filter_map(|entry| entry.wake_at(&driver.context)).min();
                driver.context.next_wake = next;
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
                () = due(next_wake) => {
                    self.0.borrow_mut().wake_interceptors();
                    self.process([]);
                }
                () = due(wake) => {
                    self.0.borrow_mut().wake = None;
                    self.process([Event::Timer]);
                }
                () = timer_changed.notified() => {}
            }
        }
    }
}
