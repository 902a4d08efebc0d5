//! A shard's life cycle: its mailbox, its heartbeat, and its checks of the other shards.

use crate::key_router::KeyRouter;
use crate::member::GroupMember;
use crate::shared::{Handover, Job, Mailbox, Message, ShardOptions, SharedState};
use nettleworks_engine::calls::RequestInfo;
use nettleworks_engine::config::Config;
use nettleworks_engine::driver::{Handle, InterceptorChain};
use nettleworks_engine::list::List;
use nettleworks_engine::meter::FreshnessGate;
use nettleworks_engine::protocol::Protocol;
use nettleworks_engine::task::{self, Task};
use nettleworks_engine::Log;
use nettleworks_policy::CallId;
use nettleworks_shards::broadcast::Cursor;
use nettleworks_shards::capacity::Shard;
use nettleworks_shards::liveness::{Liveness, LivenessChange, LivenessTable};
use nettleworks_shards::rendezvous;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

/// How often a shard advances its heartbeat and checks the others.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of requests that are accepted before the mailbox's other queues are read again.
const REQUEST_BATCH: usize = 32;
/// Maximum number of jobs that wait in a shard's queue; a sender of one more waits.
const MAX_QUEUED_JOBS: usize = 16;
/// How often a drained shard, which has no clients left, checks whether all shards are drained.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// After a panic has ended an engine, how long its open calls have to send their clients the outcome.
const ABORT_GRACE: Duration = Duration::from_millis(200);

/// A shard before it runs on a thread.
pub struct PreparedShard<P: Protocol> {
    shared: Arc<SharedState<P>>,
    me: Shard,
    requests: mpsc::Receiver<Handover<P>>,
    messages: mpsc::UnboundedReceiver<Message<P>>,
    jobs: mpsc::Receiver<Job<P>>,
}

/// The configuration of one engine out of `shards`: each is a balancer of its own towards the fleet, and they share the
/// capacity of the hosts.
pub fn shard_config(config: &Config, shards: usize, me: Shard) -> Config {
    let mut part = config.clone();
    let (all, me) = (u32::try_from(shards).unwrap_or(1), me as u32);
    let settings = &mut part.settings;
    settings.balancer_index = settings.balancer_index.saturating_mul(all).saturating_add(me);
    settings.balancers = settings.balancers.saturating_mul(all);
    settings.shares_capacity = true;
    part.seed ^= u64::from(me).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    part
}

impl<P: Protocol> PreparedShard<P> {
    /// Prepares all shards of a process. The seed is that of the process's configuration.
    pub fn prepare_all(options: ShardOptions, seed: u64) -> Vec<PreparedShard<P>> {
        let (mailboxes, receivers): (Vec<_>, Vec<_>) = (0..options.shards)
            .map(|_| {
                let (request_sender, requests) = mpsc::channel(options.queue);
                let (message_sender, messages) = mpsc::unbounded_channel();
                let (job_sender, jobs) = mpsc::channel(MAX_QUEUED_JOBS);
                (Mailbox::new(request_sender, message_sender, job_sender), (requests, messages, jobs))
            })
            .unzip();
        let shared = Arc::new(SharedState::new(options, seed, mailboxes));
        let prepare = |(me, (requests, messages, jobs))| PreparedShard {
            shared: shared.clone(),
            me,
            requests,
            messages,
            jobs,
        };
        receivers.into_iter().enumerate().map(prepare).collect()
    }

    /// The shard's number.
    pub fn shard(&self) -> Shard {
        self.me
    }

    /// All shards of the process.
    pub fn peers(&self) -> Peers<P> {
        Peers(self.shared.clone())
    }

    /// A guard that reports the shard as ended when it is dropped, however its thread ends. It must be created on that
    /// thread before anything else, so that it is dropped last.
    pub fn guard(&self) -> ShardGuard<P> {
        ShardGuard { shared: self.shared.clone(), me: self.me }
    }
}

/// Reports the shard as ended to the others when it is dropped.
pub struct ShardGuard<P: Protocol> {
    shared: Arc<SharedState<P>>,
    me: Shard,
}

impl<P: Protocol> Drop for ShardGuard<P> {
    fn drop(&mut self) {
        self.shared.end_shard(self.me);
    }
}

/// By shard: the shard that accepts its new clients, which is another one while it is stalled or has ended.
pub type StandIns = watch::Receiver<Vec<Shard>>;

/// A shard whose engine is running.
pub struct RunningShard<P: Protocol> {
    /// Its engine.
    pub driver: Handle<P>,
    /// By shard: the shard that accepts its new clients, as this shard sees it.
    pub stand_ins: StandIns,
    /// All shards of the process.
    pub peers: Peers<P>,
    mailbox: MailboxTask<P>,
}

/// The tenant, class and key that decide which shard owns a request; `None` without a key.
pub(crate) fn key_parts<I>(request_info: &RequestInfo<I>) -> Option<(Option<u32>, u32, &[u8])> {
    let key = request_info.key.as_ref()?;
    let tenant = request_info.tenant.and_then(|tenant| u32::try_from(tenant.0).ok());
    Some((tenant, u32::try_from(request_info.class.0).unwrap_or(u32::MAX), key))
}

/// A handle on all shards of the process, to run jobs at one of them.
pub struct Peers<P: Protocol>(Arc<SharedState<P>>);

impl<P: Protocol> Clone for Peers<P> {
    fn clone(&self) -> Self {
        Peers(self.0.clone())
    }
}

impl<P: Protocol> Peers<P> {
    /// Number of shards.
    pub fn count(&self) -> usize {
        self.0.options.shards
    }

    /// Called by a stopping shard that has no clients left. Waits until no shard has any, since the others may need this
    /// one's keys until then.
    pub async fn wait_until_all_drained(&self, me: Shard) {
        self.0.set_drained(me);
        while !self.0.all_drained() {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Whether a shard has neither ended nor been found stalled by another shard.
    pub fn is_responsive(&self, shard: Shard) -> bool {
        self.0.is_responsive(shard)
    }

    /// The shard that owns a request's key; `None` without a key. Shards that have ended still count as owners.
    pub fn key_owner(&self, request_info: &RequestInfo<P::Id>) -> Option<Shard> {
        let (tenant, class, key) = key_parts(request_info)?;
        Some(rendezvous::owner(0..self.count(), self.0.seed, tenant, class, key))
    }

    /// Submits a job that a shard runs on its own thread, without waiting for it. The queue is unbounded: the caller has
    /// to bound the number of jobs.
    pub fn submit(&self, shard: Shard, job: impl FnOnce(&Handle<P>) + Send + 'static) {
        if let Some(mailbox) = self.0.mailboxes.get(shard) {
            // A shard that has ended can't run it any more.
            let _ = mailbox.messages.send(Message::Run(Box::new(job)));
        }
    }

    /// Runs a job at a shard, on the shard's own thread, and returns its result; `None` if the shard has ended, or does
    /// not respond within the stall timeout.
    pub async fn run_on<T: Send + 'static>(
        &self,
        shard: Shard,
        job: impl FnOnce(&Handle<P>) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, result) = oneshot::channel();
        let job: Job<P> = Box::new(move |driver| {
            // The caller may have stopped waiting.
            let _ = sender.send(job(driver));
        });
        let run = async {
            self.0.mailboxes.get(shard)?.jobs.send(job).await.ok()?;
            result.await.ok()
        };
        timeout(self.0.options.stall_timeout, run).await.ok().flatten()
    }
}

/// The task that reads a shard's mailbox.
struct MailboxTask<P: Protocol> {
    prepared: PreparedShard<P>,
    driver: Handle<P>,
    liveness: Rc<RefCell<LivenessTable>>,
    stand_ins: watch::Sender<Vec<Shard>>,
    /// The tasks of requests that were accepted from other shards.
    accepted: Rc<RefCell<HashMap<(Shard, CallId), Task>>>,
    list_cursor: Cursor,
    observation_cursor: Cursor,
    /// How many changes of the server list have been read.
    list_changes_read: u64,
}

impl<P> PreparedShard<P>
where
    P: Protocol,
    P::Request: Clone + Send,
    P::Answer: Send,
{
    /// Starts the shard's engine on the current thread. `config` is the shard's own ([`shard_config`]). Requests with a
    /// key are forwarded to the shard that owns the key before any of `interceptors` sees them.
    pub fn start(
        self,
        config: Rc<Config>,
        protocol: P,
        interceptors: InterceptorChain<P>,
        log: Log,
    ) -> RunningShard<P> {
        let (shared, me, options) = (self.shared.clone(), self.me, self.shared.options);
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let (stall_timeout, key_retention) = (micros(options.stall_timeout), micros(options.key_retention));
        let liveness = Rc::new(RefCell::new(LivenessTable::new(
            me,
            options.shards,
            shared.now(),
            stall_timeout,
            key_retention,
        )));
        let freshness = FreshnessGate::new(shared.list_changes.clone());
        let member = GroupMember::new(shared.clone(), me, freshness.clone(), liveness.clone());
        let mut chain: InterceptorChain<P> = vec![Box::new(KeyRouter::new(shared, me, liveness.clone()))];
        chain.extend(interceptors);
        let driver = Handle::start_in_group(Some(Box::new(member)), freshness, config, protocol, chain, log);
        let peers = self.peers();
        let (sender, stand_ins) = watch::channel((0..options.shards).collect());
        let mailbox = MailboxTask {
            prepared: self,
            driver: driver.clone(),
            liveness,
            stand_ins: sender,
            accepted: Rc::default(),
            list_cursor: Cursor::default(),
            observation_cursor: Cursor::default(),
            list_changes_read: 0,
        };
        RunningShard { driver, stand_ins, peers, mailbox }
    }
}

impl<P> RunningShard<P>
where
    P: Protocol,
    P::Request: Clone + Send,
    P::Answer: Send,
{
    /// Serves the other shards for as long as it is polled. It returns only after a panic has left the engine in the
    /// middle of a change and all of its open calls were answered accordingly: the thread is to end then.
    pub async fn serve(self) {
        // In a task of its own, so that a panic ends that task and not the code below.
        let mut mailbox = JoinSet::new();
        mailbox.spawn_local(self.mailbox.run());
        // Whether it has returned or panicked.
        let _ = mailbox.join_next().await;
        self.driver.abort_calls();
        self.driver.log("a panic has left this shard half way through a change: it ends");
        sleep(ABORT_GRACE).await;
    }
}

impl<P> MailboxTask<P>
where
    P: Protocol,
    P::Request: Clone + Send,
    P::Answer: Send,
{
    async fn run(mut self) {
        let shared = self.prepared.shared.clone();
        let mailbox = &shared.mailboxes[self.prepared.me];
        let mut ticks = interval(HEARTBEAT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(REQUEST_BATCH);
        while !self.driver.is_poisoned() {
            tokio::select! {
                biased;
                () = mailbox.wake.notified() => self.read_shared_state(),
                Some(message) = self.prepared.messages.recv() => self.handle_message(message),
                _ = ticks.tick() => self.tick(),
                Some(job) = self.prepared.jobs.recv() => job(&self.driver),
                _ = self.prepared.requests.recv_many(&mut batch, REQUEST_BATCH) => {
                    batch.drain(..).for_each(|handover| self.accept(handover));
                }
            }
        }
    }

    /// Reads changes of the server list and observations of hosts, and checks capacity and the shards' liveness.
    fn read_shared_state(&mut self) {
        if self.prepared.shared.list_changes.load(Ordering::Acquire) > self.list_changes_read {
            let (changes, received) =
                self.prepared.shared.read_list_changes(self.prepared.me, &mut self.list_cursor);
            self.list_changes_read = received;
            changes.into_iter().for_each(|change| self.driver.list_from_peer(List::clone(&change)));
            self.driver.caught_up(received);
        }
        for (age, host, observation) in
            self.prepared.shared.read_observations(self.prepared.me, &mut self.observation_cursor)
        {
            self.driver.observation_from_peer(&host, observation, age);
        }
        self.driver.with_group(|member: &mut GroupMember<P>| member.woken());
        // Here and not only on a tick, so that a shard that has just ended is noticed at once.
        self.check_liveness();
    }

    fn tick(&mut self) {
        self.prepared.shared.beat(self.prepared.me);
        self.driver.with_group(|member: &mut GroupMember<P>| member.tick());
        self.read_shared_state();
        // On each tick, since capacity may have been granted to a stalled shard in the meantime.
        let stalled = |shard: &Shard| self.liveness.borrow().liveness(*shard) == Liveness::Stalled;
        for shard in (0..self.prepared.shared.options.shards).filter(stalled) {
            self.prepared.shared.reclaim(shard);
        }
    }

    fn check_liveness(&mut self) {
        let shared = &self.prepared.shared;
        let changes = self.liveness.borrow_mut().update(shared.now(), |shard| shared.heartbeat(shard));
        for LivenessChange { shard, now } in changes.iter().copied() {
            self.driver.log(&LivenessChange { shard, now }.to_string());
            shared.set_stalled(shard, now == Liveness::Stalled);
            self.driver.with_interceptor(|router: &mut KeyRouter<P>, context| {
                router.liveness_changed(context, shard, now)
            });
            if now == Liveness::Dead {
                // No client waits at that shard any more.
                self.accepted.borrow_mut().retain(|(from, _), _| *from != shard);
            }
        }
        if !changes.is_empty() {
            let liveness = self.liveness.borrow();
            self.stand_ins
                .send_replace((0..shared.options.shards).map(|shard| liveness.stand_in(shard)).collect());
            drop(liveness);
            self.driver.update_watch_role();
        }
    }

    fn handle_message(&mut self, message: Message<P>) {
        match message {
            Message::Reply { call, reply } => {
                self.driver.with_interceptor(|router: &mut KeyRouter<P>, context| {
                    router.reply_received(context, call, reply)
                });
            }
            Message::Run(job) => job(&self.driver),
            // Dropping the task ends the call like that of any client that has disconnected.
            Message::Abandoned { from, call } => drop(self.accepted.borrow_mut().remove(&(from, call))),
        }
    }

    fn accept(&mut self, handover: Handover<P>) {
        let Handover { from, call, request_info, request, token } = handover;
        if !token.accept() {
            return;
        }
        let request_info: RequestInfo<P::Id> = request_info;
        let pending = self.driver.request_from_peer(request_info, request);
        let (shared, accepted, id) = (self.prepared.shared.clone(), self.accepted.clone(), (from, call));
        let task = task::spawn(async move {
            let reply = pending.reply().await;
            if let Some(mailbox) = shared.mailboxes.get(from) {
                // At a shard that has ended no client waits.
                let _ = mailbox.messages.send(Message::Reply { call, reply });
            }
            let done = accepted.borrow_mut().remove(&id);
            drop(done);
        });
        self.accepted.borrow_mut().insert(id, task);
    }
}
