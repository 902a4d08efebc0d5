//! A shard's place: its mail, its beat, and its look at the others.

use crate::crossing::KeyRouter;
use crate::hub::{Handover, Job, Mailbox, Message, ShardOptions, SharedState};
use crate::member::GroupMember;
use nettleworks_engine::calls::Ask;
use nettleworks_engine::config::Config;
use nettleworks_engine::driver::{Handle, Stations};
use nettleworks_engine::list::List;
use nettleworks_engine::meter::Fresh;
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

/// How often a shard beats and looks at the others.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Requests that are taken in before the next look at anything else.
const REQUEST_BATCH: usize = 32;
/// Jobs of others that may wait at a shard; whoever brings one more waits.
const MAX_QUEUED_JOBS: usize = 16;
/// How often a shard that is done looks whether all are.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// How long what a torn engine has open has to be told so.
const ABORT_GRACE: Duration = Duration::from_millis(200);

/// A shard's place, before it has a thread.
pub struct PreparedShard<P: Protocol> {
    shared: Arc<SharedState<P>>,
    me: Shard,
    requests: mpsc::Receiver<Handover<P>>,
    messages: mpsc::UnboundedReceiver<Message<P>>,
    jobs: mpsc::Receiver<Job<P>>,
}

/// What an engine of a process is told, for one of so many: it is one balancer among more, and room is shared.
pub fn shard_config(config: &Config, shards: usize, me: Shard) -> Config {
    let mut part = config.clone();
    let (all, me) = (u32::try_from(shards).unwrap_or(1), me as u32);
    let settings = &mut part.settings;
    settings.me = settings.me.saturating_mul(all).saturating_add(me);
    settings.balancers = settings.balancers.saturating_mul(all);
    settings.shared = true;
    part.seed ^= u64::from(me).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    part
}

impl<P: Protocol> PreparedShard<P> {
    /// Seats for all shards of a process that share a configuration's seed.
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

    /// Which shard it is.
    pub fn shard(&self) -> Shard {
        self.me
    }

    /// All shards.
    pub fn peers(&self) -> Peers<P> {
        Peers(self.shared.clone())
    }

    /// Says that a shard has ended when dropped, however its thread did. To be made on that thread, before all else.
    pub fn guard(&self) -> ShardGuard<P> {
        ShardGuard { shared: self.shared.clone(), me: self.me }
    }
}

/// A shard's thread. Its end is told to the others when this is dropped.
pub struct ShardGuard<P: Protocol> {
    shared: Arc<SharedState<P>>,
    me: Shard,
}

impl<P: Protocol> Drop for ShardGuard<P> {
    fn drop(&mut self) {
        self.shared.end_shard(self.me);
    }
}

/// Who takes the new clients of which shard, by number.
pub type StandIns = watch::Receiver<Vec<Shard>>;

/// A shard that runs.
pub struct RunningShard<P: Protocol> {
    /// Its engine.
    pub driver: Handle<P>,
    /// Who takes whose new clients, as it sees it.
    pub stand_ins: StandIns,
    /// All shards.
    pub peers: Peers<P>,
    mailbox: MailboxTask<P>,
}

/// What a request's key belongs to, and the key.
pub(crate) fn key_parts<I>(metadata: &Ask<I>) -> Option<(Option<u32>, u32, &[u8])> {
    let key = metadata.key.as_ref()?;
    let tenant = metadata.tenant.and_then(|tenant| u32::try_from(tenant.0).ok());
    Some((tenant, u32::try_from(metadata.class.0).unwrap_or(u32::MAX), key))
}

/// All shards, for what is to be done at one of them.
pub struct Peers<P: Protocol>(Arc<SharedState<P>>);

impl<P: Protocol> Clone for Peers<P> {
    fn clone(&self) -> Self {
        Peers(self.0.clone())
    }
}

impl<P: Protocol> Peers<P> {
    /// How many there are.
    pub fn count(&self) -> usize {
        self.0.options.shards
    }

    /// A shard that is to stop has no clients left. Waits until none has any: until then others may need what it
    /// knows.
    pub async fn wait_until_all_drained(&self, me: Shard) {
        self.0.set_drained(me);
        while !self.0.all_drained() {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Whether a shard takes what comes, as far as others have seen.
    pub fn is_responsive(&self, shard: Shard) -> bool {
        self.0.is_responsive(shard)
    }

    /// Which shard a request's key belongs to, if it has one.
    pub fn key_owner(&self, metadata: &Ask<P::Id>) -> Option<Shard> {
        let (tenant, class, key) = key_parts(metadata)?;
        Some(rendezvous::owner(0..self.count(), self.0.seed, tenant, class, key))
    }

    /// Does something at a shard, on its own thread, and waits for nothing. Whoever tells it bounds how much is told.
    pub fn submit(&self, shard: Shard, job: impl FnOnce(&Handle<P>) + Send + 'static) {
        if let Some(mailbox) = self.0.mailboxes.get(shard) {
            // One that has ended has nothing to do it with.
            let _ = mailbox.messages.send(Message::Run(Box::new(job)));
        }
    }

    /// Does something at a shard, on its own thread, and gives what came of it; `None`: it has ended, or does not answer
    /// within its patience.
    pub async fn run_on<T: Send + 'static>(
        &self,
        shard: Shard,
        job: impl FnOnce(&Handle<P>) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, result) = oneshot::channel();
        let job: Job<P> = Box::new(move |driver| {
            // Nobody may wait for it any more.
            let _ = sender.send(job(driver));
        });
        let run = async {
            self.0.mailboxes.get(shard)?.jobs.send(job).await.ok()?;
            result.await.ok()
        };
        timeout(self.0.options.stall_timeout, run).await.ok().flatten()
    }
}

struct MailboxTask<P: Protocol> {
    prepared: PreparedShard<P>,
    driver: Handle<P>,
    liveness: Rc<RefCell<LivenessTable>>,
    stand_ins: watch::Sender<Vec<Shard>>,
    /// Requests of others that are taken here.
    accepted: Rc<RefCell<HashMap<(Shard, CallId), Task>>>,
    list_cursor: Cursor,
    observation_cursor: Cursor,
    list_changes_read: u64,
}

impl<P> PreparedShard<P>
where
    P: Protocol,
    P::Request: Clone + Send,
    P::Answer: Send,
{
    /// Starts the shard's engine on the thread that this is called on. `config` is its own part ([`part`]); requests
    /// with a key go to the shard that it belongs to, ahead of the stations.
    pub fn start(
        self,
        config: Rc<Config>,
        protocol: P,
        interceptors: Stations<P>,
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
        let freshness = Fresh::new(shared.list_changes.clone());
        let member = GroupMember::new(shared.clone(), me, freshness.clone(), liveness.clone());
        let mut chain: Stations<P> = vec![Box::new(KeyRouter::new(shared, me, liveness.clone()))];
        chain.extend(interceptors);
        let driver = Handle::start_in(Some(Box::new(member)), freshness, config, protocol, chain, log);
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
    /// Does the shard's part for the others for as long as it is polled. It returns only when a panic has left its
    /// engine half way through a change, after all that it had open was told so: the thread is to end then.
    pub async fn serve(self) {
        // A task of its own: a panic ends it, and not what is to be said then.
        let mut mailbox = JoinSet::new();
        mailbox.spawn_local(self.mailbox.run());
        // However it has ended.
        let _ = mailbox.join_next().await;
        self.driver.abandon();
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
        while !self.driver.is_torn() {
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

    /// Room, the list, and news of hosts.
    fn read_shared_state(&mut self) {
        if self.prepared.shared.list_changes.load(Ordering::Acquire) > self.list_changes_read {
            let (changes, received) =
                self.prepared.shared.read_list_changes(self.prepared.me, &mut self.list_cursor);
            self.list_changes_read = received;
            changes.into_iter().for_each(|change| self.driver.told(List::clone(&change)));
            self.driver.caught_up(received);
        }
        for (age, host, observation) in
            self.prepared.shared.read_observations(self.prepared.me, &mut self.observation_cursor)
        {
            self.driver.heard(&host, observation, age);
        }
        self.driver.group(|member: &mut GroupMember<P>| member.woken());
        // A shard that has just ended is missed at once.
        self.check_liveness();
    }

    fn tick(&mut self) {
        self.prepared.shared.beat(self.prepared.me);
        self.driver.group(|member: &mut GroupMember<P>| member.tick());
        self.read_shared_state();
        // What one that is stalled was given since goes back too.
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
            self.driver
                .station(|router: &mut KeyRouter<P>, context| router.liveness_changed(context, shard, now));
            if now == Liveness::Dead {
                // Nobody there waits any more.
                self.accepted.borrow_mut().retain(|(from, _), _| *from != shard);
            }
        }
        if !changes.is_empty() {
            let liveness = self.liveness.borrow();
            self.stand_ins
                .send_replace((0..shared.options.shards).map(|shard| liveness.stand_in(shard)).collect());
            drop(liveness);
            self.driver.lead();
        }
    }

    fn handle_message(&mut self, message: Message<P>) {
        match message {
            Message::Reply { call, reply } => {
                self.driver.station(|router: &mut KeyRouter<P>, context| {
                    router.reply_received(context, call, reply)
                });
            }
            // What it had here ends as that of any client that has gone.
            Message::Run(job) => job(&self.driver),
            Message::Abandoned { from, call } => drop(self.accepted.borrow_mut().remove(&(from, call))),
        }
    }

    fn accept(&mut self, handover: Handover<P>) {
        let Handover { from, call, metadata, request, token } = handover;
        if !token.accept() {
            return;
        }
        let metadata: Ask<P::Id> = metadata;
        let pending = self.driver.request_handed(metadata, request);
        let (shared, accepted, id) = (self.prepared.shared.clone(), self.accepted.clone(), (from, call));
        let task = task::spawn(async move {
            let reply = pending.reply().await;
            if let Some(mailbox) = shared.mailboxes.get(from) {
                // One that has ended has nobody who waits.
                let _ = mailbox.messages.send(Message::Reply { call, reply });
            }
            let done = accepted.borrow_mut().remove(&id);
            drop(done);
        });
        self.accepted.borrow_mut().insert(id, task);
    }
}
