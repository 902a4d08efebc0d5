//! State that all shards of a process share.

use nettleworks_engine::calls::{Reply, RequestInfo};
use nettleworks_engine::driver::Handle;
use nettleworks_engine::group::Lease;
use nettleworks_engine::list::{Health, Host, List};
use nettleworks_engine::protocol::Protocol;
use nettleworks_policy::{CallId, Observation, ServerId};
use nettleworks_shards::broadcast::{BroadcastLog, Cursor, Read};
pub use nettleworks_shards::capacity::MAX_SHARDS;
use nettleworks_shards::capacity::{HostCapacity, Shard, WakeSet};
use nettleworks_shards::handover::HandoverToken;
use nettleworks_shards::ids::OpenIds;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, Notify};

/// A time that is never reached.
const NEVER: u64 = u64::MAX;
/// No shard.
const NO_SHARD: Shard = Shard::MAX;
/// Changes of the server list that are kept for shards that have not read them; a shard that is further behind reads the
/// whole list instead.
const LIST_LOG_CAPACITY: usize = 64;
/// Observations of hosts that are kept for shards that have not read them. They are advisory: a shard that is further
/// behind continues without them.
const OBSERVATION_LOG_CAPACITY: usize = 1_024;

/// Number of host names that are kept before those of removed hosts are dropped.
const MAX_SERVER_IDS: usize = 8_192;

/// Options of a process with several shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardOptions {
    /// Number of shards: 1 to [`MAX_SHARDS`].
    pub shards: usize,
    /// Maximum number of requests that wait in a shard's queue for it to accept them; further ones are refused.
    pub queue: usize,
    /// A shard whose heartbeat does not advance for this long counts as stalled.
    pub stall_timeout: Duration,
    /// For this long the keys of a shard that has ended are unsure. It must be at least as long as any store remembers a
    /// key.
    pub key_retention: Duration,
}

impl ShardOptions {
    /// For this many shards: queues of 1,024 requests, a stall timeout of a second, a key retention of a day.
    pub fn new(shards: usize) -> ShardOptions {
        let (stall_timeout, key_retention) = (Duration::from_secs(1), Duration::from_secs(86_400));
        ShardOptions { shards: shards.clamp(1, MAX_SHARDS), queue: 1_024, stall_timeout, key_retention }
    }
}

/// A request that is handed over to the shard that owns its key.
pub struct Handover<P: Protocol> {
    pub(crate) from: Shard,
    pub(crate) call: CallId,
    pub(crate) request_info: RequestInfo<P::Id>,
    pub(crate) request: P::Request,
    pub(crate) token: Arc<HandoverToken>,
}

/// A message between shards that must not be lost, and is therefore sent over an unbounded queue. Each request that was
/// handed over is answered once and abandoned at most once, so that the number of messages is bounded by that of the
/// requests in flight; senders of [`Message::Run`] have to bound how many they send.
pub(crate) enum Message<P: Protocol> {
    /// The reply to a request that was handed over.
    Reply { call: CallId, reply: Reply<P::Answer> },
    /// The sending shard no longer waits for a request.
    Abandoned { from: Shard, call: CallId },
    /// A job from another shard ([`crate::shard::Peers::submit`]).
    Run(Job<P>),
}

/// The sending side of a shard's queues, and the flags that other shards read.
pub(crate) struct Mailbox<P: Protocol> {
    pub requests: mpsc::Sender<Handover<P>>,
    pub messages: mpsc::UnboundedSender<Message<P>>,
    pub jobs: mpsc::Sender<Job<P>>,
    /// Wakes the shard to read the shared state: capacity, the server list, observations, the shards' liveness.
    pub wake: Notify,
    heartbeat: AtomicU64,
    ended: AtomicBool,
    drained: AtomicBool,
    /// Another shard has found that this one does not respond.
    stalled: AtomicBool,
}

/// The server list as the process has received it.
struct SharedList {
    changes: BroadcastLog<Arc<List>>,
    seq: u64,
    hosts: BTreeMap<String, Host>,
}

impl SharedList {
    /// The whole list.
    fn snapshot(&self) -> List {
        List { seq: self.seq, whole: true, hosts: self.hosts.values().cloned().collect() }
    }
}

type Capacities = HashMap<(Arc<str>, u64), Arc<HostCapacity>>;

/// A job that one shard submits to another, which runs it on its own thread.
pub(crate) type Job<P> = Box<dyn FnOnce(&Handle<P>) + Send>;

/// State that all shards of a process share. The crate's documentation describes how their threads
/// access it.
pub struct SharedState<P: Protocol> {
    pub(crate) options: ShardOptions,
    pub(crate) seed: u64,
    pub(crate) ids: OpenIds,
    pub(crate) mailboxes: Vec<Mailbox<P>>,
    /// How many changes of the server list the process has received.
    pub(crate) list_changes: Arc<AtomicU64>,
    list: Mutex<SharedList>,
    /// When a watch last verified the list, in microseconds since the start; 0: no shard has published a lease yet.
    list_verified_at: AtomicU64,
    /// When the list expires, in microseconds since the start; [`NEVER`]: it does not.
    list_expires_at: AtomicU64,
    /// The shard that published the lease last; [`NO_SHARD`] at the start.
    list_publisher: AtomicUsize,
    observations: Mutex<BroadcastLog<(Arc<str>, Observation)>>,
    /// Capacity by a host's name and the start time of its process: a restarted process counts as a new host.
    capacities: Mutex<Capacities>,
    server_ids: Mutex<ServerIds>,
    started: Instant,
}

/// Server ids by host name; none is used again.
#[derive(Default)]
struct ServerIds {
    by_name: HashMap<String, ServerId>,
    last: u32,
}

/// Locks and ignores poisoning: everything under these locks changes in single steps, so a panic leaves it consistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<P: Protocol> SharedState<P> {
    pub(crate) fn new(options: ShardOptions, seed: u64, mailboxes: Vec<Mailbox<P>>) -> SharedState<P> {
        SharedState {
            options,
            seed,
            ids: OpenIds::new(seed),
            mailboxes,
            list_changes: Arc::default(),
            list: Mutex::new(SharedList {
                changes: BroadcastLog::new(LIST_LOG_CAPACITY),
                seq: 0,
                hosts: BTreeMap::new(),
            }),
            list_verified_at: AtomicU64::new(0),
            list_expires_at: AtomicU64::new(NEVER),
            list_publisher: AtomicUsize::new(NO_SHARD),
            observations: Mutex::new(BroadcastLog::new(OBSERVATION_LOG_CAPACITY)),
            capacities: Mutex::default(),
            server_ids: Mutex::default(),
            started: Instant::now(),
        }
    }

    /// The current time, in microseconds since the start.
    pub(crate) fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Publishes the list's lease as the engine that watches the list knows it. The other shards are woken if its expiry
    /// has changed. The two times are read separately: one may be slightly older than the other.
    ///
    /// The others are not woken when another shard takes over the watch: for one heartbeat interval two shards may both
    /// consider themselves the watcher, and would wake each other all that time.
    pub(crate) fn publish_lease(&self, me: Shard, lease: Lease) {
        let since_start = |at: tokio::time::Instant| {
            at.into_std().saturating_duration_since(self.started).as_micros() as u64
        };
        let expires_at = lease.expires_at.map_or(NEVER, since_start);
        let before = self.list_expires_at.swap(expires_at, Ordering::AcqRel);
        self.list_verified_at.fetch_max(since_start(lease.verified_at).max(1), Ordering::AcqRel);
        let publisher = self.list_publisher.swap(me, Ordering::AcqRel);
        let takes_over = publisher != me && publisher != NO_SHARD;
        if before != expires_at && !takes_over {
            self.wake_others(me);
        }
    }

    /// The shard that published the lease last.
    pub(crate) fn last_publisher(&self) -> Option<Shard> {
        Some(self.list_publisher.load(Ordering::Acquire)).filter(|shard| *shard != NO_SHARD)
    }

    /// The list's lease as last published.
    pub(crate) fn lease(&self) -> Option<Lease> {
        let instant = |micros| tokio::time::Instant::from_std(self.started + Duration::from_micros(micros));
        let verified_at = self.list_verified_at.load(Ordering::Acquire);
        let expires_at = Some(self.list_expires_at.load(Ordering::Acquire)).filter(|at| *at != NEVER);
        (verified_at > 0)
            .then(|| Lease { verified_at: instant(verified_at), expires_at: expires_at.map(instant) })
    }

    pub(crate) fn wake(&self, shards: WakeSet) {
        shards
            .shards()
            .filter_map(|shard| self.mailboxes.get(shard))
            .for_each(|mailbox| mailbox.wake.notify_one());
    }

    /// Wakes all shards but this one to read the shared state.
    pub(crate) fn wake_others(&self, me: Shard) {
        let others = self.mailboxes.iter().enumerate().filter(|(shard, _)| *shard != me);
        others.for_each(|(_, mailbox)| mailbox.wake.notify_one());
    }

    /// Publishes a change of the list that one shard's watch has received. Returns how many changes the process has
    /// received by now.
    pub(crate) fn publish_list(&self, me: Shard, change: &List) -> u64 {
        let mut list = lock(&self.list);
        list.seq = change.seq;
        if change.whole {
            list.hosts.clear();
        }
        for host in &change.hosts {
            match host.health {
                Health::Gone => list.hosts.remove(&host.host),
                _ => list.hosts.insert(host.host.clone(), host.clone()),
            };
        }
        list.changes.publish(me, self.now(), Arc::new(change.clone()));
        // Under the lock, so that a shard that reads the new count finds the change.
        let received = self.list_changes.fetch_add(1, Ordering::AcqRel) + 1;
        drop(list);
        self.wake_others(me);
        received
    }

    /// The changes of the list that other shards have published since `cursor`, which is advanced, and how many changes
    /// the process has received by now.
    pub(crate) fn read_list_changes(&self, me: Shard, cursor: &mut Cursor) -> (Vec<Arc<List>>, u64) {
        let list = lock(&self.list);
        let changes = match list.changes.read(me, self.now(), cursor) {
            Read::Entries(changes) => changes.into_iter().map(|(_, change)| change).collect(),
            Read::Lagged => vec![Arc::new(list.snapshot())],
        };
        (changes, self.list_changes.load(Ordering::Acquire))
    }

    /// Publishes what a shard has observed of a host.
    pub(crate) fn publish_observation(&self, me: Shard, host: &Arc<str>, observation: Observation) {
        lock(&self.observations).publish(me, self.now(), (host.clone(), observation));
    }

    /// What other shards have observed since `cursor`, which is advanced; each observation with its age.
    pub(crate) fn read_observations(
        &self,
        me: Shard,
        cursor: &mut Cursor,
    ) -> Vec<(Duration, Arc<str>, Observation)> {
        match lock(&self.observations).read(me, self.now(), cursor) {
            Read::Entries(entries) => entries
                .into_iter()
                .map(|(age, (host, observation))| (Duration::from_micros(age), host, observation))
                .collect(),
            Read::Lagged => Vec::new(),
        }
    }

    /// The capacity of a host's process.
    pub(crate) fn host_capacity(&self, host: &Arc<str>, born_ms: u64) -> Arc<HostCapacity> {
        let mut capacities = lock(&self.capacities);
        // An entry that no shard holds any more belongs to a removed host.
        capacities.retain(|_, capacity| Arc::strong_count(capacity) > 1);
        let capacity = capacities.entry((host.clone(), born_ms));
        capacity.or_insert_with(|| Arc::new(HostCapacity::new(self.options.shards))).clone()
    }

    /// A host's server id, the same at every shard.
    pub(crate) fn server_id(&self, name: &str) -> ServerId {
        let mut server_ids = lock(&self.server_ids);
        if let Some(&known) = server_ids.by_name.get(name) {
            return known;
        }
        if server_ids.by_name.len() >= MAX_SERVER_IDS {
            // A shard that knows a host holds its capacity: other names belong to removed hosts.
            let capacities = lock(&self.capacities);
            let held: HashSet<&str> = capacities.keys().map(|(name, _)| &**name).collect();
            server_ids.by_name.retain(|name, _| held.contains(&name[..]));
        }
        server_ids.last += 1;
        let server_id = ServerId(server_ids.last);
        server_ids.by_name.insert(name.to_owned(), server_id);
        server_id
    }

    /// Advances a shard's heartbeat.
    pub(crate) fn beat(&self, me: Shard) {
        self.mailboxes.iter().skip(me).take(1).for_each(|mailbox| {
            mailbox.heartbeat.fetch_add(1, Ordering::Relaxed);
        });
    }

    /// A shard's heartbeat count, and whether it has ended.
    pub(crate) fn heartbeat(&self, shard: Shard) -> (u64, bool) {
        self.mailboxes.get(shard).map_or((0, true), |mailbox| {
            (mailbox.heartbeat.load(Ordering::Relaxed), mailbox.ended.load(Ordering::Acquire))
        })
    }

    /// Records that a shard is drained: it has no clients left and accepts no new ones.
    pub(crate) fn set_drained(&self, me: Shard) {
        self.mailboxes
            .iter()
            .skip(me)
            .take(1)
            .for_each(|mailbox| mailbox.drained.store(true, Ordering::Release));
    }

    /// Whether no shard has clients left.
    pub(crate) fn all_drained(&self) -> bool {
        let drained = |mailbox: &Mailbox<P>| {
            mailbox.drained.load(Ordering::Acquire) || mailbox.ended.load(Ordering::Acquire)
        };
        self.mailboxes.iter().all(drained)
    }

    /// Records that a shard has ended, with all its calls, and frees its capacity for the others.
    pub(crate) fn end_shard(&self, me: Shard) {
        let Some(mailbox) = self.mailboxes.get(me) else { return };
        mailbox.ended.store(true, Ordering::Release);
        let woken = lock(&self.capacities)
            .values()
            .map(|capacity| capacity.remove_shard(me))
            .fold(WakeSet::default(), |a, b| a | b);
        self.wake(woken);
        self.wake_others(me);
    }

    /// Records whether a shard is stalled, as another one has found.
    pub(crate) fn set_stalled(&self, shard: Shard, stalled: bool) {
        self.mailboxes
            .iter()
            .skip(shard)
            .take(1)
            .for_each(|mailbox| mailbox.stalled.store(stalled, Ordering::Relaxed));
    }

    /// Whether a shard has neither ended nor been found stalled by another shard.
    pub(crate) fn is_responsive(&self, shard: Shard) -> bool {
        let ended = |mailbox: &Mailbox<P>| mailbox.ended.load(Ordering::Acquire);
        self.mailboxes
            .get(shard)
            .is_some_and(|mailbox| !mailbox.stalled.load(Ordering::Relaxed) && !ended(mailbox))
    }

    /// Takes back a stalled shard's capacity that no call uses.
    pub(crate) fn reclaim(&self, shard: Shard) {
        let capacities = lock(&self.capacities);
        let woken = capacities
            .values()
            .map(|capacity| capacity.reclaim(shard))
            .fold(WakeSet::default(), |a, b| a | b);
        drop(capacities);
        self.wake(woken);
    }
}

impl<P: Protocol> Mailbox<P> {
    pub(crate) fn new(
        requests: mpsc::Sender<Handover<P>>,
        messages: mpsc::UnboundedSender<Message<P>>,
        jobs: mpsc::Sender<Job<P>>,
    ) -> Mailbox<P> {
        Mailbox {
            requests,
            messages,
            jobs,
            wake: Notify::new(),
            heartbeat: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            drained: AtomicBool::new(false),
            stalled: AtomicBool::new(false),
        }
    }
}
