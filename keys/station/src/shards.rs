//! The key stores of several shards of a process, which serve as one: each holds the keys that its shard owns, and all
//! share one set of bounds.

use nettleworks_engine::config::Config;
use nettleworks_engine::extensions::Extension;
use nettleworks_keys::{DetachedBounds, DetachedCalls, RunId, SharedUsage};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A request of one shard's key store to another's, handled by [`crate::KeyInterceptor::on_peer_request`].
#[derive(Clone, Copy, Debug)]
pub enum PeerRequest {
    /// Cancel this detached call, since a bound on detached calls is exceeded.
    CancelCall(RunId),
    /// Evict a key to make room.
    EvictKey,
}

/// Sends a request to the key store of a shard.
type SendRequest = Box<dyn Fn(usize, PeerRequest) + Send + Sync>;

/// State that the key stores of all shards share.
pub struct SharedKeyState {
    pub(crate) usage: Arc<SharedUsage>,
    detached: Mutex<DetachedCalls<(usize, RunId)>>,
    send: SendRequest,
}

impl SharedKeyState {
    /// State for stores that receive each other's requests through `send`, which is called on the thread of the sending
    /// shard. The number of pending requests is bounded by the numbers of detached calls and of keys.
    pub fn new(send: impl Fn(usize, PeerRequest) + Send + Sync + 'static) -> Arc<SharedKeyState> {
        let detached = Mutex::new(DetachedCalls::new(DetachedBounds::default()));
        Arc::new(SharedKeyState { usage: Arc::default(), detached, send: Box::new(send) })
    }

    /// Ignores poisoning: everything under the lock changes in single steps, so a panic leaves it consistent.
    fn detached(&self) -> MutexGuard<'_, DetachedCalls<(usize, RunId)>> {
        self.detached.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The shard that a key store belongs to, and what it shares with the other shards. Part of the shard's configuration.
#[derive(Clone)]
pub struct ShardContext {
    /// The shard's number.
    pub shard: usize,
    /// State that all shards share.
    pub shared: Arc<SharedKeyState>,
}

impl fmt::Debug for ShardContext {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("Together").field("me", &self.shard).finish_non_exhaustive()
    }
}

impl Extension for ShardContext {}

impl ShardContext {
    pub(crate) fn of(config: &Config) -> Option<ShardContext> {
        config.extensions.get::<ShardContext>().cloned()
    }
}

/// The detached calls of one key store, within bounds of its own or bounds that it shares with other shards.
pub(crate) struct ShardDetachedCalls {
    own: DetachedCalls,
    context: Option<ShardContext>,
}

/// The bounds of a shard's own calls if the shared bounds are enforced elsewhere.
const UNBOUNDED: DetachedBounds =
    DetachedBounds { total: usize::MAX, per_host: usize::MAX, per_tenant: usize::MAX };

impl ShardDetachedCalls {
    pub fn new(bounds: DetachedBounds, context: Option<ShardContext>) -> ShardDetachedCalls {
        let mut detached = ShardDetachedCalls { own: DetachedCalls::new(bounds), context };
        detached.set_bounds(bounds);
        detached
    }

    pub fn set_bounds(&mut self, bounds: DetachedBounds) {
        match &self.context {
            None => self.own.set_bounds(bounds),
            Some(context) => {
                self.own.set_bounds(UNBOUNDED);
                context.shared.detached().set_bounds(bounds);
            }
        }
    }

    /// As [`DetachedCalls::add`]. Returns the calls of this shard that are to be cancelled; other shards are requested to
    /// cancel theirs.
    #[must_use = "these calls are to be cancelled"]
    pub fn add(&mut self, run_id: RunId, tenant: Option<u32>, hosts: &[u32], until: u64) -> Vec<RunId> {
        let mut cancelled = self.own.add(run_id, tenant, hosts, until);
        if let Some(ShardContext { shard: me, shared }) = &self.context {
            let exceeding = shared.detached().add((*me, run_id), tenant, hosts, until);
            for (shard, run_id) in exceeding {
                if shard != *me {
                    (shared.send)(shard, PeerRequest::CancelCall(run_id));
                } else if self.own.remove(run_id) {
                    cancelled.push(run_id);
                }
            }
        }
        cancelled
    }

    /// Requests that the key stores of these shards evict a key each.
    pub fn request_evictions(&self, shards: Vec<usize>) {
        for shard in shards {
            self.context.iter().for_each(|context| (context.shared.send)(shard, PeerRequest::EvictKey));
        }
    }

    /// As [`DetachedCalls::remove`].
    pub fn remove(&mut self, run_id: RunId) -> bool {
        let removed = self.own.remove(run_id);
        self.remove_shared(removed.then_some(run_id));
        removed
    }

    /// As [`DetachedCalls::pop_due`].
    pub fn pop_due(&mut self, now: u64) -> Option<RunId> {
        let due = self.own.pop_due(now);
        self.remove_shared(due);
        due
    }

    fn remove_shared(&self, run_id: Option<RunId>) {
        if let (Some(run_id), Some(ShardContext { shard, shared })) = (run_id, &self.context) {
            shared.detached().remove((*shard, run_id));
        }
    }

    pub fn next_due(&self) -> Option<u64> {
        self.own.next_due()
    }

    pub fn len(&self) -> usize {
        self.own.len()
    }
}
