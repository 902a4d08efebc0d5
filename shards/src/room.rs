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
pub const SHARDS_MOST: usize = 32;

/// Parts of a call in which shards tell what their modules allow.
pub const PARTS: f64 = 1024.0;

/// Shards that are to look at what they have, a bit each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[must_use = "a shard that is not woken does not see what it was given"]
pub struct Wakes(pub u32);

impl Wakes {
    /// The shards.
    pub fn shards(self) -> impl Iterator<Item = Shard> {
        (0..SHARDS_MOST).filter(move |shard| self.0 & (1 << shard) != 0)
    }
}

impl std::ops::BitOr for Wakes {
    type Output = Wakes;

    fn bitor(self, other: Wakes) -> Wakes {
        Wakes(self.0 | other.0)
    }
}

/// What a shard has there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Room that is its own for now.
    pub lease: u32,
    /// Its calls in flight; one more than the lease at most, and only by the trial.
    pub in_flight: u32,
    /// It alone may go one call beyond its lease.
    pub trial: bool,
    /// It has ended: it is given nothing more.
    pub dead: bool,
}

const TRIAL: u64 = 1 << 63;
const DEAD: u64 = 1 << 62;
const LEASE: u64 = 0x3fff_ffff;

impl Held {
    fn read(word: u64) -> Held {
        Held {
            lease: ((word >> 32) & LEASE) as u32,
            in_flight: word as u32,
            trial: word & TRIAL != 0,
            dead: word & DEAD != 0,
        }
    }

    fn word(self) -> u64 {
        let flags = (u64::from(self.trial) * TRIAL) | (u64::from(self.dead) * DEAD);
        flags | ((u64::from(self.lease) & LEASE) << 32) | u64::from(self.in_flight)
    }

    /// Calls that may be in flight.
    fn most(self) -> u32 {
        self.lease + u32::from(self.trial)
    }

    /// Room without a call on it.
    pub fn spare(self) -> u32 {
        self.lease.saturating_sub(self.in_flight)
    }
}

/// What is free, and who waits.
#[derive(Clone, Copy)]
struct Free {
    /// Below 0 where more is leased than there is room: calls that are out go on when a budget falls.
    free: i32,
    waiting: u32,
}

impl Free {
    fn read(word: u64) -> Free {
        Free { free: (word >> 32) as u32 as i32, waiting: word as u32 }
    }

    fn word(self) -> u64 {
        (u64::from(self.free as u32) << 32) | u64::from(self.waiting)
    }
}

#[derive(Debug)]
struct Slot {
    held: AtomicU64,
    /// What its module allows, in [`PARTS`]. Its own word, but when it has ended.
    allows: AtomicI64,
}

/// Room at one host. See the module's page.
#[derive(Debug)]
pub struct Room {
    free: AtomicU64,
    /// What all modules allow, in [`PARTS`].
    allowed: AtomicI64,
    /// The shard that has the trial, and one more; 0: none.
    trial: AtomicU32,
    slots: Box<[Slot]>,
}

/// Room for whole calls: a host that any module allows anything takes one.
fn whole(allowed: i64) -> i32 {
    let calls = (allowed as f64 / PARTS).round() as i32;
    calls.max(i32::from(allowed > 0))
}

impl Room {
    /// For so many shards, [`SHARDS_MOST`] at most, without any room yet.
    pub fn new(shards: usize) -> Room {
        let slot = |_| Slot { held: AtomicU64::new(0), allows: AtomicI64::new(0) };
        Room {
            free: AtomicU64::new(0),
            allowed: AtomicI64::new(0),
            trial: AtomicU32::new(0),
            slots: (0..shards.min(SHARDS_MOST)).map(slot).collect(),
        }
    }

    /// What a shard has.
    pub fn held(&self, shard: Shard) -> Held {
        self.slots.get(shard).map_or_else(Held::default, |slot| Held::read(slot.held.load(Ordering::Acquire)))
    }

    /// Room for the whole process.
    pub fn total(&self) -> u32 {
        u32::try_from(whole(self.allowed.load(Ordering::Acquire))).unwrap_or(0)
    }

    /// Room that nobody has; below 0 where more is out than there is.
    pub fn free(&self) -> i32 {
        Free::read(self.free.load(Ordering::Acquire)).free
    }

    /// Whether others wait for room here, or more is leased than there is.
    pub fn pressed(&self, shard: Shard) -> bool {
        let at = Free::read(self.free.load(Ordering::Acquire));
        at.free < 0 || at.waiting & !(1 << shard) != 0
    }

    fn change(&self, shard: Shard, change: impl Fn(Held) -> Option<Held>) -> Option<(Held, Held)> {
        let slot = self.slots.get(shard)?;
        let mut word = slot.held.load(Ordering::Acquire);
        loop {
            let (before, after) = (Held::read(word), change(Held::read(word))?);
            match slot.held.compare_exchange(word, after.word(), Ordering::AcqRel, Ordering::Acquire) {
                Ok(_) => return Some((before, after)),
                Err(now) => word = now,
            }
        }
    }

    fn change_free<T>(&self, change: impl Fn(Free) -> (Free, T)) -> T {
        let mut word = self.free.load(Ordering::Acquire);
        loop {
            let (after, said) = change(Free::read(word));
            match self.free.compare_exchange(word, after.word(), Ordering::AcqRel, Ordering::Acquire) {
                Ok(_) => return said,
                Err(now) => word = now,
            }
        }
    }

    /// So much more is free, or less; who waits gets of it, one unit each and in turn behind `from`.
    fn shift(&self, from: Shard, by: i32) -> Wakes {
        let mut woken = Wakes::default();
        let mut by = by;
        loop {
            let picked = self.change_free(|mut at| {
                at.free = at.free.saturating_add(by);
                let mut picked = 0_u32;
                while at.free > 0 && at.waiting != 0 {
                    // The first behind `from`, and around.
                    let behind = at.waiting & !(u32::MAX >> (31 - from.min(31)));
                    let next = if behind != 0 { behind } else { at.waiting }.trailing_zeros();
                    at.waiting &= !(1 << next);
                    at.free -= 1;
                    picked |= 1 << next;
                }
                (at, picked)
            });
            by = 0;
            for shard in Wakes(picked).shards() {
                // One that has ended meanwhile takes nothing: it goes on to the next.
                by += i32::from(!self.grant(shard, 1));
            }
            woken = woken | Wakes(picked);
            if by == 0 {
                return woken;
            }
        }
    }

    fn grant(&self, shard: Shard, room: u32) -> bool {
        let more = |held: Held| (!held.dead).then(|| Held { lease: held.lease.saturating_add(room), ..held });
        self.change(shard, more).is_some()
    }

    /// A shard's module allows so many calls now, as a mean.
    pub fn allow(&self, shard: Shard, calls: f64) -> Wakes {
        let Some(slot) = self.slots.get(shard) else { return Wakes::default() };
        let parts = (calls.clamp(0.0, 1e6) * PARTS) as i64;
        let more = parts - slot.allows.swap(parts, Ordering::AcqRel);
        if more == 0 {
            return Wakes::default();
        }
        let before = self.allowed.fetch_add(more, Ordering::AcqRel);
        self.shift(shard, whole(before + more) - whole(before))
    }

    /// Takes up to `most` of what is free. Nothing while others wait: who comes must not pass them.
    pub fn take(&self, shard: Shard, most: u32) -> u32 {
        // Where there is none, looking is cheaper than trying: others change this word too.
        let at = Free::read(self.free.load(Ordering::Acquire));
        if at.free <= 0 || at.waiting & !(1 << shard) != 0 {
            return 0;
        }
        let taken = self.change_free(|mut at| {
            if at.waiting & !(1 << shard) != 0 {
                return (at, 0);
            }
            let taken = most.min(u32::try_from(at.free).unwrap_or(0));
            at.free -= taken as i32;
            (at, taken)
        });
        u32::from(self.granted(shard, taken)) * taken
    }

    /// What was taken goes on the shard's lease; one that has ended has no use for it.
    fn granted(&self, shard: Shard, taken: u32) -> bool {
        let granted = taken > 0 && self.grant(shard, taken);
        if taken > 0 && !granted {
            // Nobody waited when it was taken, and whoever does by now looks again by itself.
            let _ = self.shift(shard, taken as i32);
        }
        granted
    }

    /// Takes a unit if there is one; else the shard waits, and is woken when it has been given one. `true`: it has one.
    pub fn take_or_wait(&self, shard: Shard) -> bool {
        let at = Free::read(self.free.load(Ordering::Acquire));
        if at.free <= 0 && at.waiting & (1 << shard) != 0 {
            // It waits already.
            return false;
        }
        let taken = self.change_free(|mut at| {
            let taken = at.free > 0;
            at.free -= i32::from(taken);
            at.waiting = if taken { at.waiting & !(1 << shard) } else { at.waiting | 1 << shard };
            (at, taken)
        });
        self.granted(shard, u32::from(taken))
    }

    /// The shard waits no more. What it has been given meanwhile is on its lease.
    pub fn wait_no_more(&self, shard: Shard) {
        // Most never waited.
        if Free::read(self.free.load(Ordering::Acquire)).waiting & 1 << shard != 0 {
            self.change_free(|at| (Free { waiting: at.waiting & !(1 << shard), ..at }, ()));
        }
    }

    /// Returns what has no call on it, but for `keep`.
    pub fn give(&self, shard: Shard, keep: u32) -> Wakes {
        let less = |held: Held| {
            let lease = held.lease.min(held.in_flight.saturating_add(keep));
            (lease < held.lease).then_some(Held { lease, ..held })
        };
        match self.change(shard, less) {
            Some((before, after)) => self.shift(shard, (before.lease - after.lease) as i32),
            None => Wakes::default(),
        }
    }

    /// A call goes. `false`: its shard has no room for it, and it must not.
    #[must_use]
    pub fn begin(&self, shard: Shard) -> bool {
        let more = |held: Held| {
            let room = held.in_flight < held.most() && !held.dead;
            room.then(|| Held { in_flight: held.in_flight + 1, ..held })
        };
        self.change(shard, more).is_some()
    }

    /// A call that had begun has ended.
    pub fn end(&self, shard: Shard) {
        let less = |held: Held| Some(Held { in_flight: held.in_flight.saturating_sub(1), ..held });
        self.change(shard, less);
    }

    /// Takes the one trial, if no shard has it.
    pub fn take_trial(&self, shard: Shard) -> bool {
        let word = shard as u32 + 1;
        if self.trial.compare_exchange(0, word, Ordering::AcqRel, Ordering::Acquire).is_err() {
            return false;
        }
        let has = |held: Held| (!held.dead).then_some(Held { trial: true, ..held });
        if self.change(shard, has).is_none() {
            self.trial.store(0, Ordering::Release);
            return false;
        }
        true
    }

    /// Returns the trial, unless a call is out on it.
    pub fn give_trial(&self, shard: Shard) -> bool {
        let without = |held: Held| {
            (held.trial && held.in_flight <= held.lease).then_some(Held { trial: false, ..held })
        };
        let given = self.change(shard, without).is_some();
        if given {
            self.trial.store(0, Ordering::Release);
        }
        given
    }

    /// A shard does not answer: what it has without a call on it is taken back. It may wake at any moment and finds
    /// what is left; calls of it that are out keep their room.
    pub fn reclaim(&self, shard: Shard) -> Wakes {
        self.wait_no_more(shard);
        self.give_trial(shard);
        self.give(shard, 0)
    }

    /// A shard has ended, with all its calls: what it had is free, and what its module allowed is no more.
    pub fn remove(&self, shard: Shard) -> Wakes {
        let dead = |held: Held| (!held.dead).then_some(Held { dead: true, ..Held::default() });
        let Some((before, _)) = self.change(shard, dead) else { return Wakes::default() };
        if before.trial {
            self.trial.store(0, Ordering::Release);
        }
        self.wait_no_more(shard);
        let woken = self.shift(shard, before.lease as i32);
        woken | self.allow(shard, 0.0)
    }
}
