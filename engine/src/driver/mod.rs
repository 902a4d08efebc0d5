//! Drives the decision module: turns what happens on the sockets into events, in one order and on one clock, and
//! carries out its actions. The driver decides nothing itself; of the interceptors it only determines the order.

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
use crate::meter::FreshnessGate;
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

/// How often idle connections are closed and the observer gets the state.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
const SWEEPS_PER_LOG_LINE: u32 = 10;
const DETACHED_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Retry delay in refusals by an engine that is about to end.
const POISONED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The interceptors, in the order in which requests pass them.
pub type InterceptorChain<P> = Vec<Box<dyn Interceptor<P>>>;

struct Driver<P: Protocol> {
    context: ChainContext<P>,
    chain: InterceptorChain<P>,
    protocol: Rc<P>,
    balancer: Balancer,
    next_call: u64,
    hosts: Hosts,
    watch: Watch,
    next_timer_event: Option<Instant>,
    counts: Counts,
    observer: Option<Box<dyn Observer>>,
    freshness_gate: FreshnessGate,
    /// When the server list expires, as last reported by the decision module.
    expires_at: Option<Micros>,
    /// The list has expired, and unwritten attempts were withdrawn.
    expired: bool,
    poisoned: bool,
}

/// The driver, shared by the tasks of one thread. No method waits, and none may be called from within another.
pub struct Handle<P: Protocol>(Rc<RefCell<Driver<P>>>);

impl<P: Protocol> Clone for Handle<P> {
    fn clone(&self) -> Self {
        Handle(self.0.clone())
    }
}

/// A call that waits for its reply. Dropping it earlier cancels the call.
pub struct PendingReply<P: Protocol> {
    driver: Handle<P>,
    call: CallId,
    reply: oneshot::Receiver<Reply<P::Answer>>,
}

impl<P: Protocol> PendingReply<P> {
    /// The reply.
    pub async fn reply(mut self) -> Reply<P::Answer> {
        self.wait().await
    }

    /// Waits for the reply, for callers that may stop waiting.
    pub async fn wait(&mut self) -> Reply<P::Answer> {
        // The sender is only dropped with the call, after a reply or at the end of the process.
        (&mut self.reply).await.unwrap_or(Reply::Failed)
    }

    /// The reply where the process ends first: refused if the call certainly never ran, else failed.
    pub fn abort(self) -> Reply<P::Answer> {
        let driver = self.driver.0.borrow();
        let call = driver.context.calls.get(&self.call);
        let never_ran = call
            .is_some_and(|call| matches!(call.recipient, Some(Recipient::Caller(_))) && !call.may_have_run());
        let max_retry_after = Duration::from_micros(driver.context.config.settings.limits.max_retry_after);
        drop(driver);
        // Dropping `self` cancels the call, so that nothing more is sent for it.
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
    /// Starts the engine on the current thread.
    pub fn start(config: Rc<Config>, protocol: P, chain: InterceptorChain<P>, log: Log) -> Self {
        Self::start_in_group(None, FreshnessGate::default(), config, protocol, chain, log)
    }

    /// Starts one of several engines; needs [`nettleworks_policy::Settings::shares_capacity`].
    pub fn start_in_group(
        group: Option<Box<dyn Group<P>>>,
        freshness_gate: FreshnessGate,
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
            // The version must be set first: the start event may make the decision module subscribe, from this
            // version on.
            hosts: Hosts::new(config.cached_list.as_ref().map(|cached_list| cached_list.seq)),
            watch: Watch::new(),
            next_timer_event: None,
            counts: Counts::default(),
            observer: None,
            freshness_gate,
            expires_at: None,
            expired: false,
            poisoned: false,
        };
        let handle = Handle(Rc::new(RefCell::new(driver)));
        handle.process([Event::Start]);
        if let Some(cached_list) = config.cached_list.clone() {
            handle.receive_list(cached_list, ListSource::Cached);
            handle.mark_cached_list_unverified();
        }
        if !config.settings.pull_list {
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

    /// Whether there is a server list.
    pub fn is_ready(&self) -> bool {
        self.0.borrow().hosts.has_list
    }

    /// The number of calls that wait for their reply.
    pub fn waiting(&self) -> usize {
        let driver = self.0.borrow();
        let has_caller = |call: &&Call<P>| matches!(call.recipient, Some(Recipient::Caller(_)));
        driver.context.calls.values().filter(has_caller).count()
            + driver.chain.iter().map(|entry| entry.waiting()).sum::<usize>()
    }

    /// The number of detached calls, which continue although no client waits for them.
    pub fn detached(&self) -> usize {
        self.0.borrow().detached()
    }

    /// Waits until there are no detached calls.
    pub async fn wait_for_detached(&self) {
        while self.detached() > 0 {
            tokio::time::sleep(DETACHED_POLL_INTERVAL).await;
        }
    }

    /// The current configuration.
    pub fn config(&self) -> Rc<Config> {
        self.0.borrow().context.config.clone()
    }

    /// Applies a new configuration. A changed discovery is watched at once, from the version of the current list on.
    pub fn reload(&self, config: Config) {
        let mut driver = self.0.borrow_mut();
        let (config, restart_needed) = driver.context.config.reloaded(config);
        let discovery_changed = config.discovery != driver.context.config.discovery;
        let note = if restart_needed { "; other changes need a restart" } else { "" };
        driver.context.log(&format!("configuration read again, discovery at {}{note}", config.discovery));
        driver.context.config = Rc::new(config);
        let Driver { context, protocol, chain, .. } = &mut *driver;
        protocol.reload(&context.config);
        chain.iter_mut().for_each(|entry| entry.reload(&context.config));
        if discovery_changed {
            driver.subscribe(self);
            drop(driver);
            self.process([Event::Freshness(Freshness::DiscoveryChanged)]);
        }
    }

    /// Writes the statistics to the log.
    pub fn log_counts(&self) {
        self.0.borrow().log_counts();
    }

    /// Writes a line to the log.
    pub fn log(&self, line: &str) {
        let log = self.0.borrow().context.log.clone();
        log(line);
    }

    /// Reports the state to an observer: on each new server list, and once a second.
    pub fn observe(&self, observer: impl Observer + 'static) {
        let mut driver = self.0.borrow_mut();
        driver.observer = Some(Box::new(observer));
        driver.notify_observer();
    }

    /// Reports the state to the observer now.
    pub fn notify_observer(&self) {
        let driver = self.0.borrow();
        if let Some(observer) = &driver.observer {
            observer.on_state(driver.state());
        }
    }

    /// A snapshot of the state.
    pub fn state(&self) -> State {
        self.0.borrow().state()
    }

    /// Runs `act` with the interceptor of type `S`; `None` if the chain has none.
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

    /// Starts a call. Its reply may be available when this returns.
    pub fn request(&self, info: RequestInfo<P::Id>, request: P::Request) -> PendingReply<P> {
        self.start_pending(info, request, true)
    }

    fn start_pending(&self, info: RequestInfo<P::Id>, request: P::Request, own: bool) -> PendingReply<P> {
        let (sender, reply) = oneshot::channel();
        let call = self.accept(info, request, Caller { reply: sender, permit: None }, own);
        PendingReply { driver: self.clone(), call, reply }
    }

    /// Starts a call whose reply goes to `caller`. [`Handle::cancel`] with the returned number cancels it.
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
        if !driver.open_id(&info, own) {
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

    /// Cancels a call whose client has stopped waiting. No effect on a call that has been answered.
    pub fn cancel(&self, id: CallId) {
        let mut driver = self.0.borrow_mut();
        if driver.cancel(id) {
            drop(driver);
            self.process([]);
        }
    }

    /// Feeds events to the decision module until none are left. Interceptors come first, so that no reply waits for it.
    fn process(&self, events: impl IntoIterator<Item = Event>) {
        let mut driver = self.0.borrow_mut();
        if driver.poisoned {
            return;
        }
        driver.context.events.extend(events);
        driver.take_over_lease();
        let mut actions = Vec::new();
        // Stays set if a panic unwinds through here. Only the engines of a group are marked.
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

    /// The timer of the decision module and the interceptors.
    async fn run_timer(self) {
        let timer_changed = self.0.borrow().context.timer_changed.clone();
        loop {
            let (next_timer_event, next_wake) = {
                let mut driver = self.0.borrow_mut();
                let next = driver.chain.iter().filter_map(|entry| entry.wake_at(&driver.context)).min();
                driver.context.next_wake = next;
                (driver.next_timer_event, next)
            };
            let due = |at: Option<Instant>| async move {
                match at {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            // Biased, since random polling would make runs with the same events differ.
            tokio::select! {
                biased;
                () = due(next_wake) => {
                    self.0.borrow_mut().wake_interceptors();
                    self.process([]);
                }
                () = due(next_timer_event) => {
                    self.0.borrow_mut().next_timer_event = None;
                    self.process([Event::Timer]);
                }
                () = timer_changed.notified() => {}
            }
        }
    }
}
