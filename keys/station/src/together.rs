//! Several stations of a process that serve as one: each has the keys of its shard, and their bounds are one.

use nettleworks_engine::config::Config;
use nettleworks_engine::extensions::Extension;
use nettleworks_keys::{LingerBounds, Lingering, Slot, Tally};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What a station is told by another, by [`crate::KeyStation::told`].
#[derive(Clone, Copy, Debug)]
pub enum Told {
    /// A call of it lingers no more, and is to be called off.
    CallOff(Slot),
    /// A key of it is to make room.
    GiveUp,
}

/// Tells the station of a shard.
type Tell = Box<dyn Fn(usize, Told) + Send + Sync>;

/// What the stations of all shards share.
pub struct Common {
    pub(crate) tally: Arc<Tally>,
    lingering: Mutex<Lingering<(usize, Slot)>>,
    tell: Tell,
}

impl Common {
    /// For stations that are told by `tell`, which is called on the thread of another. What is told at a time is bounded
    /// by what lingers and by what stores hold.
    pub fn new(tell: impl Fn(usize, Told) + Send + Sync + 'static) -> Arc<Common> {
        let lingering = Mutex::new(Lingering::new(LingerBounds::default()));
        Arc::new(Common { tally: Arc::default(), lingering, tell: Box::new(tell) })
    }

    /// Whole whoever panicked: what is under it changes in single steps.
    fn lingering(&self) -> MutexGuard<'_, Lingering<(usize, Slot)>> {
        self.lingering.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A station's place among those of all shards; goes with its configuration.
#[derive(Clone)]
pub struct Together {
    /// Its shard.
    pub me: usize,
    /// What all share.
    pub common: Arc<Common>,
}

impl fmt::Debug for Together {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("Together").field("me", &self.me).finish_non_exhaustive()
    }
}

impl Extension for Together {}

impl Together {
    pub(crate) fn of(config: &Config) -> Option<Together> {
        config.extensions.get::<Together>().cloned()
    }
}

/// The calls of a station that linger: its own, by themselves or within bounds that it shares.
pub(crate) struct Lingerers {
    own: Lingering,
    together: Option<Together>,
}

/// Bounds that are kept elsewhere.
const NONE: LingerBounds = LingerBounds { all: usize::MAX, a_host: usize::MAX, a_tenant: usize::MAX };

impl Lingerers {
    pub fn new(bounds: LingerBounds, together: Option<Together>) -> Lingerers {
        let mut lingerers = Lingerers { own: Lingering::new(bounds), together };
        lingerers.rebound(bounds);
        lingerers
    }

    pub fn rebound(&mut self, bounds: LingerBounds) {
        match &self.together {
            None => self.own.rebound(bounds),
            Some(together) => {
                self.own.rebound(NONE);
                together.common.lingering().rebound(bounds);
            }
        }
    }

    /// As [`Lingering::begin`]: what comes back is this station's to call off. Those of others are told.
    #[must_use = "these calls are to be called off"]
    pub fn begin(&mut self, slot: Slot, tenant: Option<u32>, hosts: &[u32], until: u64) -> Vec<Slot> {
        let mut off = self.own.begin(slot, tenant, hosts, until);
        if let Some(Together { me, common }) = &self.together {
            let over = common.lingering().begin((*me, slot), tenant, hosts, until);
            for (shard, slot) in over {
                if shard != *me {
                    (common.tell)(shard, Told::CallOff(slot));
                } else if self.own.end(slot) {
                    off.push(slot);
                }
            }
        }
        off
    }

    /// What a store of another shard is to give up.
    pub fn claim(&self, claims: Vec<usize>) {
        for shard in claims {
            self.together.iter().for_each(|together| (together.common.tell)(shard, Told::GiveUp));
        }
    }

    /// As [`Lingering::end`].
    pub fn end(&mut self, slot: Slot) -> bool {
        let ended = self.own.end(slot);
        self.forget(ended.then_some(slot));
        ended
    }

    /// As [`Lingering::due`].
    pub fn due(&mut self, now: u64) -> Option<Slot> {
        let due = self.own.due(now);
        self.forget(due);
        due
    }

    fn forget(&self, slot: Option<Slot>) {
        if let (Some(slot), Some(Together { me, common })) = (slot, &self.together) {
            common.lingering().end((*me, slot));
        }
    }

    pub fn next_due(&self) -> Option<u64> {
        self.own.next_due()
    }

    pub fn len(&self) -> usize {
        self.own.len()
    }
}
