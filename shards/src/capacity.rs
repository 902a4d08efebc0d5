//! The capacity of one host: how many calls of the process may be in flight there. It is one for the process and is
//! leased to its shards.
//!
//! Each shard's decision module has a concurrency limit of its own at the host, as one balancer among as many as there
//! are shards. The capacity is the sum of these limits, rounded once. A unit of capacity is in one place at a time: free,
//! leased to a shard, or held by the thread that is moving it. A call in flight occupies a unit of its shard's lease.
//! Leases move to the shards where calls wait: a shard that releases capacity grants it to the waiting shards in
//! round-robin order, and only what no shard waits for becomes free.
//!
//! Nothing here takes a lock or blocks. Values that must change together share one word, so that no two writes can be
//! ordered wrongly: the free capacity and the set of waiting shards, and a shard's lease and its calls in flight. The
//! price is two uncontended compare-and-swaps per call.

use crate::sync::{AtomicI64, AtomicU32, AtomicU64, Ordering};

/// A shard of the process, from 0.
pub type Shard = usize;

/// Maximum number of shards of a process: the set of waiting shards is a word with a bit for each.
pub const MAX_SHARDS: usize = 32;

/// The unit in which shards state the limits of their decision modules: this many parts are one call.
pub const PARTS_PER_CALL: f64 = 1024.0;

/// Shards that are to be woken since their lease may have grown, with a bit for each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[must_use = "a shard that is not woken does not see what it was granted"]
pub struct WakeSet(pub u32);

impl WakeSet {
    /// The shards in the set.
    pub fn shards(self) -> impl Iterator<Item = Shard> {
        (0..MAX_SHARDS).filter(move |shard| self.0 & (1 << shard) != 0)
    }
}

impl std::ops::BitOr for WakeSet {
    type Output = WakeSet;

    fn bitor(self, other: WakeSet) -> WakeSet {
        WakeSet(self.0 | other.0)
    }
}

/// A shard's part of the capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShardAllocation {
    /// Units that are leased to it.
    pub lease: u32,
    /// Its calls in flight: at most the lease, and one more with the probe permission.
    pub in_flight: u32,
    /// Whether it holds the probe permission: it alone may exceed its lease by one call.
    pub probe: bool,
    /// Whether it has ended: nothing more is granted to it.
    pub dead: bool,
}

const PROBE: u64 = 1 << 63;
const DEAD: u64 = 1 << 62;
const LEASE: u64 = 0x3fff_ffff;

impl ShardAllocation {
    fn read(word: u64) -> ShardAllocation {
        ShardAllocation {
            lease: ((word >> 32) & LEASE) as u32,
            in_flight: word as u32,
            probe: word & PROBE != 0,
            dead: word & DEAD != 0,
        }
    }

    fn word(self) -> u64 {
        let flags = (u64::from(self.probe) * PROBE) | (u64::from(self.dead) * DEAD);
        flags | ((u64::from(self.lease) & LEASE) << 32) | u64::from(self.in_flight)
    }

    /// Maximum number of calls in flight.
    fn max_in_flight(self) -> u32 {
        self.lease + u32::from(self.probe)
    }

    /// Leased units without a call.
    pub fn idle(self) -> u32 {
        self.lease.saturating_sub(self.in_flight)
    }
}

/// The free units and the waiting shards.
#[derive(Clone, Copy)]
struct FreeState {
    /// Below 0 if more is leased than the capacity: calls in flight continue when a limit falls.
    free: i32,
    /// The waiting shards, with a bit for each.
    waiting: u32,
}

impl FreeState {
    fn read(word: u64) -> FreeState {
        FreeState { free: (word >> 32) as u32 as i32, waiting: word as u32 }
    }

    fn word(self) -> u64 {
        (u64::from(self.free as u32) << 32) | u64::from(self.waiting)
    }
}

#[derive(Debug)]
struct ShardState {
    /// The shard's [`ShardAllocation`].
    allocation: AtomicU64,
    /// The limit of the shard's decision module, in [`PARTS_PER_CALL`]. Only the shard itself writes it, except when it
    /// has ended.
    limit: AtomicI64,
}

/// The capacity of one host. See the module documentation.
#[derive(Debug)]
pub struct HostCapacity {
    /// A [`FreeState`].
    free: AtomicU64,
    /// The sum of the limits of all shards' decision modules, in [`PARTS_PER_CALL`].
    limit_sum: AtomicI64,
    /// The number of the shard that holds the probe permission, plus one; 0: no shard does.
    probe_holder: AtomicU32,
    shards: Box<[ShardState]>,
}

/// The capacity in whole calls: at least one if any module's limit is above 0.
fn whole_calls(limit_sum: i64) -> i32 {
    let calls = (limit_sum as f64 / PARTS_PER_CALL).round() as i32;
    calls.max(i32::from(limit_sum > 0))
}

impl HostCapacity {
    /// For this many shards, [`MAX_SHARDS`] at most; the capacity is 0 at first.
    pub fn new(shards: usize) -> HostCapacity {
        let shard = |_| ShardState { allocation: AtomicU64::new(0), limit: AtomicI64::new(0) };
        HostCapacity {
            free: AtomicU64::new(0),
            limit_sum: AtomicI64::new(0),
            probe_holder: AtomicU32::new(0),
            shards: (0..shards.min(MAX_SHARDS)).map(shard).collect(),
        }
    }

    /// A shard's part of the capacity.
    pub fn allocation(&self, shard: Shard) -> ShardAllocation {
        self.shards.get(shard).map_or_else(ShardAllocation::default, |state| {
            ShardAllocation::read(state.allocation.load(Ordering::Acquire))
        })
    }

    /// The capacity for the whole process, in calls.
    pub fn total(&self) -> u32 {
        u32::try_from(whole_calls(self.limit_sum.load(Ordering::Acquire))).unwrap_or(0)
    }

    /// Units that are not leased; below 0 if more is leased than the capacity.
    pub fn free(&self) -> i32 {
        FreeState::read(self.free.load(Ordering::Acquire)).free
    }

    /// Whether other shards wait for capacity, or more is leased than the capacity.
    pub fn is_contended(&self, shard: Shard) -> bool {
        let state = FreeState::read(self.free.load(Ordering::Acquire));
        state.free < 0 || state.waiting & !(1 << shard) != 0
    }

    fn update_allocation(
        &self,
        shard: Shard,
        update: impl Fn(ShardAllocation) -> Option<ShardAllocation>,
    ) -> Option<(ShardAllocation, ShardAllocation)> {
        let state = self.shards.get(shard)?;
        let mut word = state.allocation.load(Ordering::Acquire);
        loop {
            let (before, after) = (ShardAllocation::read(word), update(ShardAllocation::read(word))?);
            match state.allocation.compare_exchange(word, after.word(), Ordering::AcqRel, Ordering::Acquire) {
                Ok(_) => return Some((before, after)),
                Err(now) => word = now,
            }
        }
    }

    fn update_free<T>(&self, update: impl Fn(FreeState) -> (FreeState, T)) -> T {
        let mut word = self.free.load(Ordering::Acquire);
        loop {
            let (after, result) = update(FreeState::read(word));
            match self.free.compare_exchange(word, after.word(), Ordering::AcqRel, Ordering::Acquire) {
                Ok(_) => return result,
                Err(now) => word = now,
            }
        }
    }

    /// Adds to the free units, or subtracts from them. Grants free units to the waiting shards, one unit each, in
    /// round-robin order after shard `from`.
    fn add_free(&self, from: Shard, by: i32) -> WakeSet {
        let mut woken = WakeSet::default();
        let mut by = by;
        loop {
            let granted = self.update_free(|mut state| {
                state.free = state.free.saturating_add(by);
                let mut granted = 0_u32;
                while state.free > 0 && state.waiting != 0 {
                    // The first waiting shard after `from`, wrapping around.
                    let after = state.waiting & !(u32::MAX >> (31 - from.min(31)));
                    let next = if after != 0 { after } else { state.waiting }.trailing_zeros();
                    state.waiting &= !(1 << next);
                    state.free -= 1;
                    granted |= 1 << next;
                }
                (state, granted)
            });
            by = 0;
            for shard in WakeSet(granted).shards() {
                // A shard that has ended meanwhile takes nothing: its unit goes to the next one.
                by += i32::from(!self.grant(shard, 1));
            }
            woken = woken | WakeSet(granted);
            if by == 0 {
                return woken;
            }
        }
    }

    fn grant(&self, shard: Shard, units: u32) -> bool {
        let more = |allocation: ShardAllocation| {
            (!allocation.dead)
                .then(|| ShardAllocation { lease: allocation.lease.saturating_add(units), ..allocation })
        };
        self.update_allocation(shard, more).is_some()
    }

    /// Sets the limit of a shard's module, in calls (a mean, not necessarily whole).
    pub fn set_limit(&self, shard: Shard, calls: f64) -> WakeSet {
        let Some(state) = self.shards.get(shard) else { return WakeSet::default() };
        let parts = (calls.clamp(0.0, 1e6) * PARTS_PER_CALL) as i64;
        let more = parts - state.limit.swap(parts, Ordering::AcqRel);
        if more == 0 {
            return WakeSet::default();
        }
        let before = self.limit_sum.fetch_add(more, Ordering::AcqRel);
        self.add_free(shard, whole_calls(before + more) - whole_calls(before))
    }

    /// Leases up to `max` free units to a shard and returns how many; none while other shards wait, since they come
    /// first.
    pub fn acquire(&self, shard: Shard, max: u32) -> u32 {
        // If nothing is free, a load is cheaper than a failed exchange: other shards write this word too.
        let state = FreeState::read(self.free.load(Ordering::Acquire));
        if state.free <= 0 || state.waiting & !(1 << shard) != 0 {
            return 0;
        }
        let units = self.update_free(|mut state| {
            if state.waiting & !(1 << shard) != 0 {
                return (state, 0);
            }
            let units = max.min(u32::try_from(state.free).unwrap_or(0));
            state.free -= units as i32;
            (state, units)
        });
        u32::from(self.grant_or_return(shard, units)) * units
    }

    /// Adds units that were taken from the free ones to a shard's lease, or returns them if the shard has ended.
    fn grant_or_return(&self, shard: Shard, units: u32) -> bool {
        let granted = units > 0 && self.grant(shard, units);
        if units > 0 && !granted {
            // No shard waited when the units were taken, and one that waits by now checks again by itself.
            let _ = self.add_free(shard, units as i32);
        }
        granted
    }

    /// Leases a free unit to a shard and returns `true`. If there is none, the shard waits, and is woken once it has been
    /// granted one.
    pub fn acquire_or_wait(&self, shard: Shard) -> bool {
        let state = FreeState::read(self.free.load(Ordering::Acquire));
        if state.free <= 0 && state.waiting & (1 << shard) != 0 {
            // It is waiting already.
            return false;
        }
        let acquired = self.update_free(|mut state| {
            let acquired = state.free > 0;
            state.free -= i32::from(acquired);
            state.waiting = if acquired { state.waiting & !(1 << shard) } else { state.waiting | 1 << shard };
            (state, acquired)
        });
        self.grant_or_return(shard, u32::from(acquired))
    }

    /// Ends a shard's wait. A unit that it was granted meanwhile is on its lease.
    pub fn stop_waiting(&self, shard: Shard) {
        // Most shards are not waiting, and need no exchange.
        if FreeState::read(self.free.load(Ordering::Acquire)).waiting & 1 << shard != 0 {
            self.update_free(|state| (FreeState { waiting: state.waiting & !(1 << shard), ..state }, ()));
        }
    }

    /// Releases a shard's idle units, except for `keep` of them.
    pub fn release_idle(&self, shard: Shard, keep: u32) -> WakeSet {
        let less = |allocation: ShardAllocation| {
            let lease = allocation.lease.min(allocation.in_flight.saturating_add(keep));
            (lease < allocation.lease).then_some(ShardAllocation { lease, ..allocation })
        };
        match self.update_allocation(shard, less) {
            Some((before, after)) => self.add_free(shard, (before.lease - after.lease) as i32),
            None => WakeSet::default(),
        }
    }

    /// Starts a call. `false`: the shard has no unit for it, and the call must not be sent.
    #[must_use]
    pub fn begin_call(&self, shard: Shard) -> bool {
        let more = |allocation: ShardAllocation| {
            let has_unit = allocation.in_flight < allocation.max_in_flight() && !allocation.dead;
            has_unit.then(|| ShardAllocation { in_flight: allocation.in_flight + 1, ..allocation })
        };
        self.update_allocation(shard, more).is_some()
    }

    /// Ends a call that [`HostCapacity::begin_call`] has started.
    pub fn end_call(&self, shard: Shard) {
        let less = |allocation: ShardAllocation| {
            Some(ShardAllocation { in_flight: allocation.in_flight.saturating_sub(1), ..allocation })
        };
        self.update_allocation(shard, less);
    }

    /// Takes the probe permission, of which there is one per host, unless another shard holds it. `true`: it was taken.
    pub fn acquire_probe(&self, shard: Shard) -> bool {
        let word = shard as u32 + 1;
        if self.probe_holder.compare_exchange(0, word, Ordering::AcqRel, Ordering::Acquire).is_err() {
            return false;
        }
        let with_probe = |allocation: ShardAllocation| {
            (!allocation.dead).then_some(ShardAllocation { probe: true, ..allocation })
        };
        if self.update_allocation(shard, with_probe).is_none() {
            self.probe_holder.store(0, Ordering::Release);
            return false;
        }
        true
    }

    /// Returns the probe permission, unless a call in flight uses it. `true`: it was returned.
    pub fn release_probe(&self, shard: Shard) -> bool {
        let without_probe = |allocation: ShardAllocation| {
            (allocation.probe && allocation.in_flight <= allocation.lease)
                .then_some(ShardAllocation { probe: false, ..allocation })
        };
        let released = self.update_allocation(shard, without_probe).is_some();
        if released {
            self.probe_holder.store(0, Ordering::Release);
        }
        released
    }

    /// Takes back a stalled shard's idle units. The shard may recover at any time and finds what is left; its calls in
    /// flight keep their units.
    pub fn reclaim(&self, shard: Shard) -> WakeSet {
        self.stop_waiting(shard);
        self.release_probe(shard);
        self.release_idle(shard, 0)
    }

    /// Removes a shard that has ended, with all its calls: its lease becomes free, and its module's limit 0.
    pub fn remove_shard(&self, shard: Shard) -> WakeSet {
        let dead = |allocation: ShardAllocation| {
            (!allocation.dead).then_some(ShardAllocation { dead: true, ..ShardAllocation::default() })
        };
        let Some((before, _)) = self.update_allocation(shard, dead) else { return WakeSet::default() };
        if before.probe {
            self.probe_holder.store(0, Ordering::Release);
        }
        self.stop_waiting(shard);
        let woken = self.add_free(shard, before.lease as i32);
        woken | self.set_limit(shard, 0.0)
    }
}
