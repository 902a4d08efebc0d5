//! What all shards of a process share.

use nettleworks_engine::calls::{Reply, RequestInfo};
use nettleworks_engine::driver::Handle;
use nettleworks_engine::group::Lease;
use nettleworks_engine::list::{Health, Host, List};
use nettleworks_engine::protocol::Protocol;
use nettleworks_policy::{CallId, Observation as Learned, ServerId};
use nettleworks_shards::ids::OpenIds;
use nettleworks_shards::news::{Cursor, News, Read};
pub use nettleworks_shards::room::SHARDS_MOST;
use nettleworks_shards::room::{Room, Shard, Wakes};
use nettleworks_shards::ticket::Ticket;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, Notify};

/// A moment that does not come.
const NEVER: u64 = u64::MAX;
/// No shard.
const NOBODY: Shard = Shard::MAX;
/// Changes of the list that a shard may be behind; one further behind reads the whole list instead.
const LISTS_KEPT: usize = 64;
/// News of hosts that a shard may be behind. They are advice: one further behind goes on without.
const LEARNED_KEPT: usize = 1_024;

/// Names of hosts that are kept before those that have gone are looked for.
const NUMBERS_KEPT: usize = 8_192;

/// Sizes of what lies between shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// How many there are: 1 to [`SHARDS_MOST`].
    pub shards: usize,
    /// Requests that may wait to be taken by a shard; one more is refused.
    pub queue: usize,
    /// Without a beat for so long a shard is taken for stalled.
    pub patience: Duration,
    /// For so long the keys of a shard that has ended are unsure: no store remembers a key for longer.
    pub remembered: Duration,
}

impl Sizes {
    /// For so many shards: 1,024 requests in a queue, a second of patience, a day.
    pub fn of(shards: usize) -> Sizes {
        let (patience, remembered) = (Duration::from_secs(1), Duration::from_secs(86_400));
        Sizes { shards: shards.clamp(1, SHARDS_MOST), queue: 1_024, patience, remembered }
    }
}

/// A request on its way to the shard that its key belongs to.
pub struct Handover<P: Protocol> {
    pub(crate) from: Shard,
    pub(crate) number: CallId,
    pub(crate) ask: RequestInfo<P::Id>,
    pub(crate) request: P::Request,
    pub(crate) ticket: Arc<Ticket>,
}

/// What shards tell each other of requests that were handed over. Each such request has one answer and is given up once
/// at the most, so that as many wait as there are requests out; and what else must not be lost.
pub(crate) enum Note<P: Protocol> {
    /// The answer of a request.
    Answer { number: CallId, reply: Reply<P::Answer> },
    /// Nobody waits for a request any more.
    Gone { from: Shard, number: CallId },
    /// Something that is to be done for another, as [`crate::seat::Peers::tell`] has it.
    Do(Job<P>),
}

/// A shard's letter box, from outside.
pub(crate) struct Post<P: Protocol> {
    pub requests: mpsc::Sender<Handover<P>>,
    pub notes: mpsc::UnboundedSender<Note<P>>,
    pub jobs: mpsc::Sender<Job<P>>,
    /// There is something to look at: room, the list, news, who lives.
    pub look: Notify,
    beat: AtomicU64,
    ended: AtomicBool,
    done: AtomicBool,
    /// Some other shard has found that it does not answer.
    stalled: AtomicBool,
}

/// The list as the process knows it.
struct Lists {
    news: News<Arc<List>>,
    seq: u64,
    hosts: BTreeMap<String, Host>,
}

impl Lists {
    /// All of it.
    fn whole(&self) -> List {
        List { seq: self.seq, whole: true, hosts: self.hosts.values().cloned().collect() }
    }
}

type Rooms = HashMap<(Arc<str>, u64), Arc<Room>>;

/// What a shard is to do for another, on its own thread.
pub(crate) type Job<P> = Box<dyn FnOnce(&Handle<P>) + Send>;

/// What all shards of a process share. See the module's page of the crate for how they meet here.
pub struct Hub<P: Protocol> {
    pub(crate) sizes: Sizes,
    pub(crate) seed: u64,
    pub(crate) ids: OpenIds,
    pub(crate) posts: Vec<Post<P>>,
    /// How often the process was told of the list.
    pub(crate) told: Arc<AtomicU64>,
    lists: Mutex<Lists>,
    /// When a watch last proved the list, and when the list expires ([`NEVER`]: it does not), since the start; 0 for the
    /// first: nobody has said so yet.
    list_alive: AtomicU64,
    list_expires: AtomicU64,
    /// The shard that said so last; [`NOBODY`] at the start.
    list_publisher: AtomicUsize,
    learned: Mutex<News<(Arc<str>, Learned)>>,
    /// Room by a host's name and when its process started: a new process is a new host.
    rooms: Mutex<Rooms>,
    numbers: Mutex<Numbers>,
    began: Instant,
}

/// Hosts' numbers by name; none returns.
#[derive(Default)]
struct Numbers {
    by_name: HashMap<String, ServerId>,
    last: u32,
}

/// All that is under these locks is changed in single steps: it is whole whoever panicked.
fn lock<T>(what: &Mutex<T>) -> MutexGuard<'_, T> {
    what.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<P: Protocol> Hub<P> {
    pub(crate) fn new(sizes: Sizes, seed: u64, posts: Vec<Post<P>>) -> Hub<P> {
        Hub {
            sizes,
            seed,
            ids: OpenIds::new(seed),
            posts,
            told: Arc::default(),
            lists: Mutex::new(Lists { news: News::new(LISTS_KEPT), seq: 0, hosts: BTreeMap::new() }),
            list_alive: AtomicU64::new(0),
            list_expires: AtomicU64::new(NEVER),
            list_publisher: AtomicUsize::new(NOBODY),
            learned: Mutex::new(News::new(LEARNED_KEPT)),
            rooms: Mutex::default(),
            numbers: Mutex::default(),
            began: Instant::now(),
        }
    }

    /// A moment, in microseconds since the start.
    pub(crate) fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    /// The engine that watches knows this of the list's lease; the others look if its end has changed. Each of the two
    /// moments is read by itself: one may be a little older.
    ///
    /// They are not woken when another shard takes over: for a tick two may take themselves for the one that watches, and
    /// would wake each other for as long.
    pub(crate) fn publish(&self, me: Shard, lease: Lease) {
        let since =
            |at: tokio::time::Instant| at.into_std().saturating_duration_since(self.began).as_micros() as u64;
        let expires = lease.expires_at.map_or(NEVER, since);
        let before = self.list_expires.swap(expires, Ordering::AcqRel);
        self.list_alive.fetch_max(since(lease.verified_at).max(1), Ordering::AcqRel);
        let publisher = self.list_publisher.swap(me, Ordering::AcqRel);
        let takes_over = publisher != me && publisher != NOBODY;
        if before != expires && !takes_over {
            self.wake_others(me);
        }
    }

    /// Which shard has published a lease last.
    pub(crate) fn last_published(&self) -> Option<Shard> {
        Some(self.list_publisher.load(Ordering::Acquire)).filter(|shard| *shard != NOBODY)
    }

    /// What was last published of the list's lease.
    pub(crate) fn lease(&self) -> Option<Lease> {
        let at = |micros| tokio::time::Instant::from_std(self.began + Duration::from_micros(micros));
        let alive = self.list_alive.load(Ordering::Acquire);
        let expires = Some(self.list_expires.load(Ordering::Acquire)).filter(|at| *at != NEVER);
        (alive > 0).then(|| Lease { verified_at: at(alive), expires_at: expires.map(at) })
    }

    pub(crate) fn wake(&self, wakes: Wakes) {
        wakes.shards().filter_map(|shard| self.posts.get(shard)).for_each(|post| post.look.notify_one());
    }

    /// All but this one look at what there is.
    pub(crate) fn wake_others(&self, me: Shard) {
        let others = self.posts.iter().enumerate().filter(|(shard, _)| *shard != me);
        others.for_each(|(_, post)| post.look.notify_one());
    }

    /// The process was told this of the list, by one shard's watch. How often it was told by now.
    pub(crate) fn list(&self, me: Shard, list: &List) -> u64 {
        let mut lists = lock(&self.lists);
        lists.seq = list.seq;
        if list.whole {
            lists.hosts.clear();
        }
        for host in &list.hosts {
            match host.health {
                Health::Gone => lists.hosts.remove(&host.host),
                _ => lists.hosts.insert(host.host.clone(), host.clone()),
            };
        }
        lists.news.tell(me, self.now(), Arc::new(list.clone()));
        // Under the lock: whoever sees the count finds the list.
        let told = self.told.fetch_add(1, Ordering::AcqRel) + 1;
        drop(lists);
        self.wake_others(me);
        told
    }

    /// What the process was told since by others' watches, and how often it was told by now.
    pub(crate) fn lists(&self, me: Shard, cursor: &mut Cursor) -> (Vec<Arc<List>>, u64) {
        let lists = lock(&self.lists);
        let news = match lists.news.read(me, self.now(), cursor) {
            Read::Told(news) => news.into_iter().map(|(_, list)| list).collect(),
            Read::Missed => vec![Arc::new(lists.whole())],
        };
        (news, self.told.load(Ordering::Acquire))
    }

    /// A shard has learned this of a host.
    pub(crate) fn learn(&self, me: Shard, host: &Arc<str>, what: Learned) {
        lock(&self.learned).tell(me, self.now(), (host.clone(), what));
    }

    /// What others have learned since, with its age.
    pub(crate) fn learned(&self, me: Shard, cursor: &mut Cursor) -> Vec<(Duration, Arc<str>, Learned)> {
        match lock(&self.learned).read(me, self.now(), cursor) {
            Read::Told(news) => {
                news.into_iter().map(|(age, (host, what))| (Duration::from_micros(age), host, what)).collect()
            }
            Read::Missed => Vec::new(),
        }
    }

    /// Room at a host's process.
    pub(crate) fn room(&self, host: &Arc<str>, born_ms: u64) -> Arc<Room> {
        let mut rooms = lock(&self.rooms);
        // What nobody holds any more is of a host that has gone.
        rooms.retain(|_, room| Arc::strong_count(room) > 1);
        let room = rooms.entry((host.clone(), born_ms));
        room.or_insert_with(|| Arc::new(Room::new(self.sizes.shards))).clone()
    }

    /// A host's number, the same at every shard.
    pub(crate) fn number(&self, name: &str) -> ServerId {
        let mut numbers = lock(&self.numbers);
        if let Some(&known) = numbers.by_name.get(name) {
            return known;
        }
        if numbers.by_name.len() >= NUMBERS_KEPT {
            // A shard that knows a host holds its room: others' names are of hosts that have gone.
            let rooms = lock(&self.rooms);
            let held: HashSet<&str> = rooms.keys().map(|(name, _)| &**name).collect();
            numbers.by_name.retain(|name, _| held.contains(&name[..]));
        }
        numbers.last += 1;
        let number = ServerId(numbers.last);
        numbers.by_name.insert(name.to_owned(), number);
        number
    }

    /// A shard beats.
    pub(crate) fn beat(&self, me: Shard) {
        self.posts.iter().skip(me).take(1).for_each(|post| {
            post.beat.fetch_add(1, Ordering::Relaxed);
        });
    }

    /// A shard's beats so far, and whether it has ended.
    pub(crate) fn pulse(&self, shard: Shard) -> (u64, bool) {
        self.posts
            .get(shard)
            .map_or((0, true), |post| (post.beat.load(Ordering::Relaxed), post.ended.load(Ordering::Acquire)))
    }

    /// A shard has no clients left and takes no new ones.
    pub(crate) fn done(&self, me: Shard) {
        self.posts.iter().skip(me).take(1).for_each(|post| post.done.store(true, Ordering::Release));
    }

    /// Whether no shard has any left.
    pub(crate) fn all_done(&self) -> bool {
        let done = |post: &Post<P>| post.done.load(Ordering::Acquire) || post.ended.load(Ordering::Acquire);
        self.posts.iter().all(done)
    }

    /// A shard has ended, with all its calls: what it had is the others'.
    pub(crate) fn end(&self, me: Shard) {
        let Some(post) = self.posts.get(me) else { return };
        post.ended.store(true, Ordering::Release);
        let woken =
            lock(&self.rooms).values().map(|room| room.remove(me)).fold(Wakes::default(), |a, b| a | b);
        self.wake(woken);
        self.wake_others(me);
    }

    /// A shard does not answer, or does again.
    pub(crate) fn stalled(&self, shard: Shard, stalled: bool) {
        self.posts.iter().skip(shard).take(1).for_each(|post| post.stalled.store(stalled, Ordering::Relaxed));
    }

    /// Whether a shard takes what comes, as far as others have seen.
    pub(crate) fn answers(&self, shard: Shard) -> bool {
        let ended = |post: &Post<P>| post.ended.load(Ordering::Acquire);
        self.posts.get(shard).is_some_and(|post| !post.stalled.load(Ordering::Relaxed) && !ended(post))
    }

    /// Takes back what a stalled shard has of room without a call on it.
    pub(crate) fn reclaim(&self, shard: Shard) {
        let rooms = lock(&self.rooms);
        let woken = rooms.values().map(|room| room.reclaim(shard)).fold(Wakes::default(), |a, b| a | b);
        drop(rooms);
        self.wake(woken);
    }
}

impl<P: Protocol> Post<P> {
    pub(crate) fn new(
        requests: mpsc::Sender<Handover<P>>,
        notes: mpsc::UnboundedSender<Note<P>>,
        jobs: mpsc::Sender<Job<P>>,
    ) -> Post<P> {
        Post {
            requests,
            notes,
            jobs,
            look: Notify::new(),
            beat: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            done: AtomicBool::new(false),
            stalled: AtomicBool::new(false),
        }
    }
}
