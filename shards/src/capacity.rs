//! Room at one host for calls in flight, which is one for the process and is leased to its shards.
//!
//! Each shard's module has a budget of its own at the host, as one balancer among as many as there are shards; what
//! they allow together, rounded once, is the room. A unit of it is in one place only: free, on a shard's lease, or in
//! the hands of whoever moves it. A call in flight stands on a unit of its shard's lease, and leases move to where
//! calls wait: whoever returns room hands it to the shards that wait, in turn, and only what nobody waits for is free.
//!
//! Nothing here locks or waits. All that must change together is one word, so that there is no order of two writes to
//! get wrong: what is free and who waits are one, and a shard's lease and its calls in flight are one. The price is two
//! uncontended compare-and-swaps a call.

use crate::sync::{AtomicI64, AtomicU32, AtomicU64, Ordering};

/// A shard of the process, from 0.
pub type Shard = usize;

/// Most shards of a process: who waits is a bit each.
pub const MAX_SHARDS: usize = 32;

/// Parts of a call in which shards tell what their modules allow.
pub const PARTS_PER_CALL: f64 = 1024.0;

/// Shards that are to look at what they have, a bit each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[must_use = "a shard that is not woken does not see what it was given"]
pub struct WakeSet(pub u32);

impl WakeSet {
    /// The shards.
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

/// What a shard has there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShardAllocation {
    /// Room that is its own for now.
    pub lease: u32,
    /// Its calls in flight; one more than the lease at most, and only by the trial.
    pub in_flight: u32,
    /// It alone may go one call beyond its lease.
    pub probe: bool,
    /// It has ended: it is given nothing more.
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

    /// Calls that may be in flight.
    fn max_in_flight(self) -> u32 {
        self.lease + u32::from(self.probe)
    }

    /// Room without a call on it.
    pub fn idle(self) -> u32 {
        self.lease.saturating_sub(self.in_flight)
    }
}

/// What is free, and who waits.
#[derive(Clone, Copy)]
struct FreeState {
    /// Below 0 where more is leased than there is room: calls that are out go on when a budget falls.
    free: i32,
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
    allocation: AtomicU64,
    /// What its module allows, in [`PARTS`]. Its own word, but when it has ended.
    limit: AtomicI64,
}

/// Room at one host. See the module's page.
#[derive(Debug)]
pub struct HostCapacity {
    free: AtomicU64,
    /// What all modules allow, in [`PARTS`].
    limit_sum: AtomicI64,
    /// The shard that has the trial, and one more; 0: none.
    probe_holder: AtomicU32,
    shards: Box<[ShardState]>,
}

/// Room for whole calls: a host that any module allows anything takes one.
fn whole_calls(limit_sum: i64) -> i32 {
    let calls = (limit_sum as f64 / PARTS_PER_CALL).round() as i32;
    calls.max(i32::from(limit_sum > 0))
}

impl HostCapacity {
    /// For so many shards, [`SHARDS_MOST`] at most, without any room yet.
    pub fn new(shards: usize) -> HostCapacity {
        let shard = |_| ShardState { allocation: AtomicU64::new(0), limit: AtomicI64::new(0) };
        HostCapacity {
            free: AtomicU64::new(0),
            limit_sum: AtomicI64::new(0),
            probe_holder: AtomicU32::new(0),
            shards: (0..shards.min(MAX_SHARDS)).map(shard).collect(),
        }
    }

    /// What a shard has.
    pub fn allocation(&self, shard: Shard) -> ShardAllocation {
        self.shards.get(shard).map_or_else(ShardAllocation::default, |state| {
            ShardAllocation::read(state.allocation.load(Ordering::Acquire))
        })
    }

    /// Room for the whole process.
    pub fn total(&self) -> u32 {
        u32::try_from(whole_calls(self.limit_sum.load(Ordering::Acquire))).unwrap_or(0)
    }

    /// Room that nobody has; below 0 where more is out than there is.
    pub fn free(&self) -> i32 {
        FreeState::read(self.free.load(Ordering::Acquire)).free
    }

    /// Whether others wait for room here, or more is leased than there is.
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

    /// So much more is free, or less; who waits gets of it, one unit each and in turn behind `from`.
    fn add_free(&self, from: Shard, by: i32) -> WakeSet {
        let mut woken = WakeSet::default();
        let mut by = by;
        loop {
            let granted = self.update_free(|mut state| {
                state.free = state.free.saturating_add(by);
                let mut granted = 0_u32;
                while state.free > 0 && state.waiting != 0 {
                    // The first behind `from`, and around.
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
                // One that has ended meanwhile takes nothing: it goes on to the next.
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

    /// A shard's module allows so many calls now, as a mean.
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

    /// Takes up to `most` of what is free. Nothing while others wait: who comes must not pass them.
    pub fn acquire(&self, shard: Shard, max: u32) -> u32 {
        // Where there is none, looking is cheaper than trying: others change this word too.
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

    /// What was taken goes on the shard's lease; one that has ended has no use for it.
    fn grant_or_return(&self, shard: Shard, units: u32) -> bool {
        let granted = units > 0 && self.grant(shard, units);
        if units > 0 && !granted {
            // Nobody waited when it was taken, and whoever does by now looks again by itself.
            let _ = self.add_free(shard, units as i32);
        }
        granted
    }

    /// Takes a unit if there is one; else the shard waits, and is woken when it has been given one. `true`: it has one.
    pub fn acquire_or_wait(&self, shard: Shard) -> bool {
        let state = FreeState::read(self.free.load(Ordering::Acquire));
        if state.free <= 0 && state.waiting & (1 << shard) != 0 {
            // It waits already.
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

    /// The shard waits no more. What it has been given meanwhile is on its lease.
    pub fn stop_waiting(&self, shard: Shard) {
        // Most never waited.
        if FreeState::read(self.free.load(Ordering::Acquire)).waiting & 1 << shard != 0 {
            self.update_free(|state| (FreeState { waiting: state.waiting & !(1 << shard), ..state }, ()));
        }
    }

    /// Returns what has no call on it, but for `keep`.
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

    /// A call goes. `false`: its shard has no room for it, and it must not.
    #[must_use]
    pub fn begin_call(&self, shard: Shard) -> bool {
        let more = |allocation: ShardAllocation| {
            let has_unit = allocation.in_flight < allocation.max_in_flight() && !allocation.dead;
            has_unit.then(|| ShardAllocation { in_flight: allocation.in_flight + 1, ..allocation })
        };
        self.update_allocation(shard, more).is_some()
    }

    /// A call that had begun has ended.
    pub fn end_call(&self, shard: Shard) {
        let less = |allocation: ShardAllocation| {
            Some(ShardAllocation { in_flight: allocation.in_flight.saturating_sub(1), ..allocation })
        };
        self.update_allocation(shard, less);
    }

    /// Takes the one trial, if no shard has it.
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

    /// Returns the trial, unless a call is out on it.
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

    /// A shard does not answer: what it has without a call on it is taken back. It may wake at any moment and finds
    /// what is left; calls of it that are out keep their room.
    pub fn reclaim(&self, shard: Shard) -> WakeSet {
        self.stop_waiting(shard);
        self.release_probe(shard);
        self.release_idle(shard, 0)
    }

    /// A shard has ended, with all its calls: what it had is free, and what its module allowed is no more.
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
