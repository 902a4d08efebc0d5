//! Several stations of a process that serve as one: each has the keys of its shard, and their bounds are one.

use nettleworks_engine::config::Config;
use nettleworks_engine::extras::Extra;
use nettleworks_keys::{DetachedBounds, DetachedCalls, RunId, SharedUsage};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What a station is told by another, by [`crate::KeyStation::told`].
#[derive(Clone, Copy, Debug)]
pub enum PeerRequest {
    /// A call of it lingers no more, and is to be called off.
    CancelCall(RunId),
    /// A key of it is to make room.
    EvictKey,
}

/// Tells the station of a shard.
type SendRequest = Box<dyn Fn(usize, PeerRequest) + Send + Sync>;

/// What the stations of all shards share.
pub struct SharedKeyState {
    pub(crate) usage: Arc<SharedUsage>,
    detached: Mutex<DetachedCalls<(usize, RunId)>>,
    send: SendRequest,
}

impl SharedKeyState {
    /// For stations that are told by `tell`, which is called on the thread of another. What is told at a time is bounded
    /// by what lingers and by what stores hold.
    pub fn new(send: impl Fn(usize, PeerRequest) + Send + Sync + 'static) -> Arc<SharedKeyState> {
        let detached = Mutex::new(DetachedCalls::new(DetachedBounds::default()));
        Arc::new(SharedKeyState { usage: Arc::default(), detached, send: Box::new(send) })
    }

    /// Whole whoever panicked: what is under it changes in single steps.
    fn detached(&self) -> MutexGuard<'_, DetachedCalls<(usize, RunId)>> {
        self.detached.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A station's place among those of all shards; goes with its configuration.
#[derive(Clone)]
pub struct ShardContext {
    /// Its shard.
    pub shard: usize,
    /// What all share.
    pub shared: Arc<SharedKeyState>,
}

impl fmt::Debug for ShardContext {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("Together").field("me", &self.shard).finish_non_exhaustive()
    }
}

impl Extra for ShardContext {}

impl ShardContext {
    pub(crate) fn of(config: &Config) -> Option<ShardContext> {
        config.extras.get::<ShardContext>().cloned()
    }
}

/// The calls of a station that linger: its own, by themselves or within bounds that it shares.
pub(crate) struct ShardDetachedCalls {
    own: DetachedCalls,
    context: Option<ShardContext>,
}

/// Bounds that are kept elsewhere.
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

    /// As [`Lingering::begin`]: what comes back is this station's to call off. Those of others are told.
    #[must_use = "these calls are to be called off"]
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

    /// What a store of another shard is to give up.
    pub fn request_evictions(&self, shards: Vec<usize>) {
        for shard in shards {
            self.context.iter().for_each(|context| (context.shared.send)(shard, PeerRequest::EvictKey));
        }
    }

    /// As [`Lingering::end`].
    pub fn remove(&mut self, run_id: RunId) -> bool {
        let removed = self.own.remove(run_id);
        self.remove_shared(removed.then_some(run_id));
        removed
    }

    /// As [`Lingering::due`].
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
