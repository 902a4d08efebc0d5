//! What all shards of a process share.

use nettleworks_engine::calls::{Ask, Reply};
use nettleworks_engine::driver::Handle;
use nettleworks_engine::group::Lease;
use nettleworks_engine::list::{Health, Host, List};
use nettleworks_engine::protocol::Protocol;
use nettleworks_policy::{CallId, News as Observation, ServerId};
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

/// A moment that does not come.
const NEVER: u64 = u64::MAX;
/// No shard.
const NO_SHARD: Shard = Shard::MAX;
/// Changes of the list that a shard may be behind; one further behind reads the whole list instead.
const LIST_LOG_CAPACITY: usize = 64;
/// News of hosts that a shard may be behind. They are advice: one further behind goes on without.
const OBSERVATION_LOG_CAPACITY: usize = 1_024;

/// Names of hosts that are kept before those that have gone are looked for.
const MAX_SERVER_IDS: usize = 8_192;

/// Sizes of what lies between shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardOptions {
    /// How many there are: 1 to [`SHARDS_MOST`].
    pub shards: usize,
    /// Requests that may wait to be taken by a shard; one more is refused.
    pub queue: usize,
    /// Without a beat for so long a shard is taken for stalled.
    pub stall_timeout: Duration,
    /// For so long the keys of a shard that has ended are unsure: no store remembers a key for longer.
    pub key_retention: Duration,
}

impl ShardOptions {
    /// For so many shards: 1,024 requests in a queue, a second of patience, a day.
    pub fn new(shards: usize) -> ShardOptions {
        let (stall_timeout, key_retention) = (Duration::from_secs(1), Duration::from_secs(86_400));
        ShardOptions { shards: shards.clamp(1, MAX_SHARDS), queue: 1_024, stall_timeout, key_retention }
    }
}

/// A request on its way to the shard that its key belongs to.
pub struct Handover<P: Protocol> {
    pub(crate) from: Shard,
    pub(crate) call: CallId,
    pub(crate) metadata: Ask<P::Id>,
    pub(crate) request: P::Request,
    pub(crate) token: Arc<HandoverToken>,
}

/// What shards tell each other of requests that were handed over. Each such request has one answer and is given up once
/// at the most, so that as many wait as there are requests out; and what else must not be lost.
pub(crate) enum Message<P: Protocol> {
    /// The answer of a request.
    Reply { call: CallId, reply: Reply<P::Answer> },
    /// Nobody waits for a request any more.
    Abandoned { from: Shard, call: CallId },
    /// Something that is to be done for another, as [`crate::seat::Peers::tell`] has it.
    Run(Job<P>),
}

/// A shard's letter box, from outside.
pub(crate) struct Mailbox<P: Protocol> {
    pub requests: mpsc::Sender<Handover<P>>,
    pub messages: mpsc::UnboundedSender<Message<P>>,
    pub jobs: mpsc::Sender<Job<P>>,
    /// There is something to look at: room, the list, news, who lives.
    pub wake: Notify,
    heartbeat: AtomicU64,
    ended: AtomicBool,
    drained: AtomicBool,
    /// Some other shard has found that it does not answer.
    stalled: AtomicBool,
}

/// The list as the process knows it.
struct SharedList {
    changes: BroadcastLog<Arc<List>>,
    seq: u64,
    hosts: BTreeMap<String, Host>,
}

impl SharedList {
    /// All of it.
    fn snapshot(&self) -> List {
        List { seq: self.seq, whole: true, hosts: self.hosts.values().cloned().collect() }
    }
}

type Capacities = HashMap<(Arc<str>, u64), Arc<HostCapacity>>;

/// What a shard is to do for another, on its own thread.
pub(crate) type Job<P> = Box<dyn FnOnce(&Handle<P>) + Send>;

/// What all shards of a process share. See the module's page of the crate for how they meet here.
pub struct SharedState<P: Protocol> {
    pub(crate) options: ShardOptions,
    pub(crate) seed: u64,
    pub(crate) ids: OpenIds,
    pub(crate) mailboxes: Vec<Mailbox<P>>,
    /// How often the process was told of the list.
    pub(crate) list_changes: Arc<AtomicU64>,
    list: Mutex<SharedList>,
    /// When a watch last proved the list, and when the list expires ([`NEVER`]: it does not), since the start; 0 for the
    /// first: nobody has said so yet.
    list_verified_at: AtomicU64,
    list_expires_at: AtomicU64,
    /// The shard that said so last; [`NOBODY`] at the start.
    list_publisher: AtomicUsize,
    observations: Mutex<BroadcastLog<(Arc<str>, Observation)>>,
    /// Room by a host's name and when its process started: a new process is a new host.
    capacities: Mutex<Capacities>,
    server_ids: Mutex<ServerIds>,
    started: Instant,
}

/// Hosts' numbers by name; none returns.
#[derive(Default)]
struct ServerIds {
    by_name: HashMap<String, ServerId>,
    last: u32,
}

/// All that is under these locks is changed in single steps: it is whole whoever panicked.
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

    /// A moment, in microseconds since the start.
    pub(crate) fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// The engine that watches knows this of the list's lease; the others look if its end has changed. Each of the two
    /// moments is read by itself: one may be a little older.
    ///
    /// They are not woken when another shard takes over: for a tick two may take themselves for the one that watches, and
    /// would wake each other for as long.
    pub(crate) fn publish_lease(&self, me: Shard, lease: Lease) {
        let since_start = |at: tokio::time::Instant| {
            at.into_std().saturating_duration_since(self.started).as_micros() as u64
        };
        let expires_at = lease.expires.map_or(NEVER, since_start);
        let before = self.list_expires_at.swap(expires_at, Ordering::AcqRel);
        self.list_verified_at.fetch_max(since_start(lease.alive).max(1), Ordering::AcqRel);
        let publisher = self.list_publisher.swap(me, Ordering::AcqRel);
        let takes_over = publisher != me && publisher != NO_SHARD;
        if before != expires_at && !takes_over {
            self.wake_others(me);
        }
    }

    /// Which shard has published a lease last.
    pub(crate) fn last_publisher(&self) -> Option<Shard> {
        Some(self.list_publisher.load(Ordering::Acquire)).filter(|shard| *shard != NO_SHARD)
    }

    /// What was last published of the list's lease.
    pub(crate) fn lease(&self) -> Option<Lease> {
        let instant = |micros| tokio::time::Instant::from_std(self.started + Duration::from_micros(micros));
        let verified_at = self.list_verified_at.load(Ordering::Acquire);
        let expires_at = Some(self.list_expires_at.load(Ordering::Acquire)).filter(|at| *at != NEVER);
        (verified_at > 0).then(|| Lease { alive: instant(verified_at), expires: expires_at.map(instant) })
    }

    pub(crate) fn wake(&self, shards: WakeSet) {
        shards
            .shards()
            .filter_map(|shard| self.mailboxes.get(shard))
            .for_each(|mailbox| mailbox.wake.notify_one());
    }

    /// All but this one look at what there is.
    pub(crate) fn wake_others(&self, me: Shard) {
        let others = self.mailboxes.iter().enumerate().filter(|(shard, _)| *shard != me);
        others.for_each(|(_, mailbox)| mailbox.wake.notify_one());
    }

    /// The process was told this of the list, by one shard's watch. How often it was told by now.
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
        // Under the lock: whoever sees the count finds the list.
        let received = self.list_changes.fetch_add(1, Ordering::AcqRel) + 1;
        drop(list);
        self.wake_others(me);
        received
    }

    /// What the process was told since by others' watches, and how often it was told by now.
    pub(crate) fn read_list_changes(&self, me: Shard, cursor: &mut Cursor) -> (Vec<Arc<List>>, u64) {
        let list = lock(&self.list);
        let changes = match list.changes.read(me, self.now(), cursor) {
            Read::Entries(changes) => changes.into_iter().map(|(_, change)| change).collect(),
            Read::Lagged => vec![Arc::new(list.snapshot())],
        };
        (changes, self.list_changes.load(Ordering::Acquire))
    }

    /// A shard has learned this of a host.
    pub(crate) fn publish_observation(&self, me: Shard, host: &Arc<str>, observation: Observation) {
        lock(&self.observations).publish(me, self.now(), (host.clone(), observation));
    }

    /// What others have learned since, with its age.
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

    /// Room at a host's process.
    pub(crate) fn host_capacity(&self, host: &Arc<str>, born_ms: u64) -> Arc<HostCapacity> {
        let mut capacities = lock(&self.capacities);
        // What nobody holds any more is of a host that has gone.
        capacities.retain(|_, capacity| Arc::strong_count(capacity) > 1);
        let capacity = capacities.entry((host.clone(), born_ms));
        capacity.or_insert_with(|| Arc::new(HostCapacity::new(self.options.shards))).clone()
    }

    /// A host's number, the same at every shard.
    pub(crate) fn server_id(&self, name: &str) -> ServerId {
        let mut server_ids = lock(&self.server_ids);
        if let Some(&known) = server_ids.by_name.get(name) {
            return known;
        }
        if server_ids.by_name.len() >= MAX_SERVER_IDS {
            // A shard that knows a host holds its room: others' names are of hosts that have gone.
            let capacities = lock(&self.capacities);
            let held: HashSet<&str> = capacities.keys().map(|(name, _)| &**name).collect();
            server_ids.by_name.retain(|name, _| held.contains(&name[..]));
        }
        server_ids.last += 1;
        let server_id = ServerId(server_ids.last);
        server_ids.by_name.insert(name.to_owned(), server_id);
        server_id
    }

    /// A shard beats.
    pub(crate) fn beat(&self, me: Shard) {
        self.mailboxes.iter().skip(me).take(1).for_each(|mailbox| {
            mailbox.heartbeat.fetch_add(1, Ordering::Relaxed);
        });
    }

    /// A shard's beats so far, and whether it has ended.
    pub(crate) fn heartbeat(&self, shard: Shard) -> (u64, bool) {
        self.mailboxes.get(shard).map_or((0, true), |mailbox| {
            (mailbox.heartbeat.load(Ordering::Relaxed), mailbox.ended.load(Ordering::Acquire))
        })
    }

    /// A shard has no clients left and takes no new ones.
    pub(crate) fn set_drained(&self, me: Shard) {
        self.mailboxes
            .iter()
            .skip(me)
            .take(1)
            .for_each(|mailbox| mailbox.drained.store(true, Ordering::Release));
    }

    /// Whether no shard has any left.
    pub(crate) fn all_drained(&self) -> bool {
        let drained = |mailbox: &Mailbox<P>| {
            mailbox.drained.load(Ordering::Acquire) || mailbox.ended.load(Ordering::Acquire)
        };
        self.mailboxes.iter().all(drained)
    }

    /// A shard has ended, with all its calls: what it had is the others'.
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

    /// A shard does not answer, or does again.
    pub(crate) fn set_stalled(&self, shard: Shard, stalled: bool) {
        self.mailboxes
            .iter()
            .skip(shard)
            .take(1)
            .for_each(|mailbox| mailbox.stalled.store(stalled, Ordering::Relaxed));
    }

    /// Whether a shard takes what comes, as far as others have seen.
    pub(crate) fn is_responsive(&self, shard: Shard) -> bool {
        let ended = |mailbox: &Mailbox<P>| mailbox.ended.load(Ordering::Acquire);
        self.mailboxes
            .get(shard)
            .is_some_and(|mailbox| !mailbox.stalled.load(Ordering::Relaxed) && !ended(mailbox))
    }

    /// Takes back what a stalled shard has of room without a call on it.
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
