//! The state machine of the store.

use crate::bounds::Bounds;
use crate::shared_usage::{SharedUsage, StoreId};
use siphasher::sip::SipHasher13;
use siphasher::sip128::{Hasher128, SipHasher24};
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::hash::{BuildHasher, Hasher};
use std::str::FromStr;
use std::sync::Arc;

/// A time, in microseconds.
pub type Micros = u64;

/// The caller's number for a waiting request; no two waiting requests have the same.
pub type WaiterId = u64;

/// A keyed hash of a request's content, which tells different requests with the same key apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest(u128);

/// The kind of a request's class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassKind {
    /// Hosts receive the key as well, and drop duplicates for some time.
    Keyed,
    /// Only this store has the key: nothing else prevents or undoes a second run.
    Unsafe,
}

/// A request with a key.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Its tenant.
    pub tenant: Option<u32>,
    /// Its class.
    pub class: u32,
    /// The kind of that class.
    pub kind: ClassKind,
    /// Its key, as received.
    pub key: &'a [u8],
    /// Its digest, by [`Store::digest`].
    pub digest: Digest,
}

/// Identifies one run of a key. A later run of the same key has another id. Its text form is `INDEX-SERIAL`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunId {
    pub(crate) index: usize,
    pub(crate) serial: u64,
}

impl RunId {
    #[cfg(test)]
    pub(crate) fn new(index: usize, serial: u64) -> RunId {
        RunId { index, serial }
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}-{}", self.index, self.serial)
    }
}

impl FromStr for RunId {
    type Err = InvalidRunId;

    fn from_str(text: &str) -> Result<RunId, InvalidRunId> {
        let (index, serial) = text.split_once('-').ok_or(InvalidRunId)?;
        let index = index.parse().map_err(|_| InvalidRunId)?;
        Ok(RunId { index, serial: serial.parse().map_err(|_| InvalidRunId)? })
    }
}

/// The text is not the text form of a [`RunId`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRunId;

impl fmt::Display for InvalidRunId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("not an id of a key, which is two whole numbers with a dash between them")
    }
}

impl std::error::Error for InvalidRunId {}

/// The state of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum KeyState {
    /// Its call is in flight: it may run, and its answer may still arrive.
    Running,
    /// It ran, and its answer is kept.
    Answered,
    /// It ran and was answered, but the answer is no longer kept.
    Forgotten,
    /// It may have run; the outcome is unknown.
    Unsure,
    /// It ran, according to an operator; its answer was never received.
    Ran,
    /// It never ran, according to an operator: the next request with this key is sent as a first one.
    NeverRan,
}

impl KeyState {
    /// All states with their names, as used in responses and on the command line. The names are stable.
    pub const ALL: [(KeyState, &'static str); 6] = [
        (KeyState::Running, "running"),
        (KeyState::Answered, "answered"),
        (KeyState::Forgotten, "forgotten"),
        (KeyState::Unsure, "unsure"),
        (KeyState::Ran, "ran"),
        (KeyState::NeverRan, "never-ran"),
    ];

    /// The state's name.
    pub fn name(self) -> &'static str {
        KeyState::ALL.iter().find(|(state, _)| *state == self).map_or("", |(_, name)| name)
    }

    /// The state with this name.
    pub fn named(name: &str) -> Option<KeyState> {
        KeyState::ALL.iter().find(|(_, state_name)| *state_name == name).map(|(state, _)| *state)
    }
}

/// What is known of a key that has no answer to return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyInfo {
    /// The key's state.
    pub state: KeyState,
    /// Microseconds since its first request arrived.
    pub age: Micros,
}

/// An operator's decision about a key whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It ran: no further request with this key is sent to a host, and each is answered accordingly.
    Ran,
    /// It never ran: the next request with this key is sent as a first one.
    NeverRan,
}

impl Verdict {
    /// The state of a key with this verdict.
    pub fn state(self) -> KeyState {
        match self {
            Verdict::Ran => KeyState::Ran,
            Verdict::NeverRan => KeyState::NeverRan,
        }
    }
}

/// The bound that leaves no room for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FullBound {
    /// [`Bounds::entries`]: no entry may be evicted, since all are running or unsure.
    Entries,
    /// [`Bounds::entries_per_tenant`]: the same for the entries of the request's tenant.
    Tenant,
    /// [`Bounds::waiters`]: no more requests may wait for this key.
    Waiters,
}

/// What the store decides for an arriving request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission<A> {
    /// It is the first with its key: the caller sends it, and reports its outcome to [`Store::complete`].
    First(RunId),
    /// It waits for the running call of its key.
    Joined {
        /// The run that it waits for.
        run_id: RunId,
        /// Its deadline is later than that of all other waiters: the call's deadline is to be extended to it.
        longest: bool,
    },
    /// It gets the answer of the first request.
    Replay(A),
    /// The first request ran or may have run, and there is no answer to return. It must not be sent again.
    NoAnswer(KeyInfo),
    /// The key was used by a different request: an error, 422.
    Mismatch,
    /// The key is empty or too long: an error, 400.
    BadKey,
    /// There is no room, and the request may do without the store: it is sent as if there were none.
    Pass(FullBound),
    /// There is no room, and sending it without the store could run it twice: it is refused, and never ran.
    Refused(FullBound),
}

/// How a running call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome<A> {
    /// It was answered.
    Served {
        /// The answer.
        answer: A,
        /// Size of the answer in bytes.
        bytes: usize,
    },
    /// It may have run, and there is no answer.
    Unsure,
    /// It certainly never ran.
    NeverRan,
}

/// The consequences of a run's end for the requests that wait for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Completion {
    /// The requests that get this outcome, in the order of their arrival.
    pub waiters: Vec<WaiterId>,
    /// The request that is to be sent now under the same run id: it becomes the first.
    pub next: Option<WaiterId>,
    /// An answer arrived for a run that had been given up, whose key was in this state. The answer now counts.
    pub late_for: Option<KeyState>,
}

/// The effect of removing a waiter from a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// Other requests still wait for the call.
    OthersWait,
    /// No request waits any more. The caller either cancels the call and reports its outcome, or lets it continue for a
    /// while (see [`crate::DetachedCalls`]), in which case a repeat joins it as usual.
    NobodyWaits,
    /// The call had ended, or the request did not wait for it.
    WasNotWaiting,
}

/// Counters of what the store has done so far. Their names appear in the log and in the library's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that were the first of their key, including those sent again after a run that never happened.
    pub firsts: u64,
    /// Repeats that waited for the running call.
    pub joined: u64,
    /// Repeats that got the kept answer later.
    pub replayed: u64,
    /// Repeats of a key in state [`KeyState::Unsure`].
    pub unsure: u64,
    /// Repeats whose answer was no longer kept.
    pub forgotten: u64,
    /// Repeats of a key that ran according to an operator.
    pub told_by_hand: u64,
    /// Calls that were detached: they continued after no client waited for them any more.
    pub lingered: u64,
    /// Detached calls that a repeat joined.
    pub rejoined: u64,
    /// Detached calls that were answered.
    pub answered_alone: u64,
    /// Detached calls that were cancelled to make room for others.
    pub called_off: u64,
    /// Runs that ended unsure.
    pub ended_unsure: u64,
    /// Answers that arrived for a run that had been given up.
    pub late: u64,
    /// Keys settled by an operator.
    pub settled: u64,
    /// Requests whose key was in use by a different request.
    pub mismatched: u64,
    /// Requests with an invalid key.
    pub bad_keys: u64,
    /// Requests that were sent without the store for lack of room, by [`FullBound`].
    pub passed: [u64; 3],
    /// Requests that were refused for lack of room, by [`FullBound`].
    pub refused: [u64; 3],
    /// Answers that were dropped early to make room for others.
    pub shrunk: u64,
    /// Keys that were dropped early to make room for others.
    pub evicted: u64,
    /// Keys that were dropped at the end of their retention.
    pub expired: u64,
}

impl std::ops::Add for Counts {
    type Output = Counts;

    /// The counters of two stores together.
    fn add(self, other: Counts) -> Counts {
        let both = |a: [u64; 3], b: [u64; 3]| [a[0] + b[0], a[1] + b[1], a[2] + b[2]];
        Counts {
            firsts: self.firsts + other.firsts,
            joined: self.joined + other.joined,
            replayed: self.replayed + other.replayed,
            unsure: self.unsure + other.unsure,
            forgotten: self.forgotten + other.forgotten,
            told_by_hand: self.told_by_hand + other.told_by_hand,
            lingered: self.lingered + other.lingered,
            rejoined: self.rejoined + other.rejoined,
            answered_alone: self.answered_alone + other.answered_alone,
            called_off: self.called_off + other.called_off,
            ended_unsure: self.ended_unsure + other.ended_unsure,
            late: self.late + other.late,
            settled: self.settled + other.settled,
            mismatched: self.mismatched + other.mismatched,
            bad_keys: self.bad_keys + other.bad_keys,
            shrunk: self.shrunk + other.shrunk,
            evicted: self.evicted + other.evicted,
            expired: self.expired + other.expired,
            passed: both(self.passed, other.passed),
            refused: both(self.refused, other.refused),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Key {
    pub(crate) tenant: Option<u32>,
    pub(crate) class: u32,
    pub(crate) key: Box<[u8]>,
}

#[derive(Debug)]
pub(crate) enum State<A> {
    Running {
        /// The request whose call it is; it may no longer be waiting.
        sent: WaiterId,
        /// The waiting requests in the order of their arrival, with their deadlines.
        waiters: Vec<(WaiterId, Micros)>,
    },
    Answered {
        expires_at: Micros,
        /// `None`: only a marker remains, since the answer was dropped to make room.
        answer: Option<(A, usize)>,
    },
    Unsure {
        expires_at: Micros,
    },
    /// An operator has settled the key.
    Settled {
        expires_at: Micros,
        verdict: Verdict,
    },
}

#[derive(Debug)]
pub(crate) struct Entry<A> {
    pub(crate) key: Key,
    pub(crate) serial: u64,
    pub(crate) kind: ClassKind,
    digest: Digest,
    /// When the first request with the key arrived.
    pub(crate) first_arrival: Micros,
    pub(crate) state: State<A>,
}

impl<A> Entry<A> {
    pub(crate) fn key_state(&self) -> KeyState {
        match self.state {
            State::Running { .. } => KeyState::Running,
            State::Answered { answer: Some(_), .. } => KeyState::Answered,
            State::Answered { answer: None, .. } => KeyState::Forgotten,
            State::Unsure { .. } => KeyState::Unsure,
            State::Settled { verdict, .. } => verdict.state(),
        }
    }
}

/// Entries that may be evicted, the earliest to expire first. An entry is in at most one of the two sets.
#[derive(Debug, Default)]
struct Evictable {
    /// Entries with a kept answer; the answer may also be dropped alone, which leaves a marker.
    answers: BTreeSet<(Micros, usize)>,
    /// Entries without an answer, which are evicted first.
    without_answer: BTreeSet<(Micros, usize)>,
}

#[derive(Debug, Default)]
struct Tenant {
    entries: usize,
    evictable: Evictable,
}

/// Hashes with a seed, so that keys that collide can't be made without knowing it.
#[derive(Clone, Copy, Debug)]
struct Seeded(u64, u64);

impl BuildHasher for Seeded {
    type Hasher = SipHasher13;

    fn build_hasher(&self) -> SipHasher13 {
        SipHasher13::new_with_keys(self.0, self.1)
    }
}

/// The store. `A` is an answer; it is cloned for each repeat and should be cheap to clone.
///
/// The work per event does not grow with the number of entries, except for the logarithmic cost of ordered sets.
#[derive(Debug)]
pub struct Store<A> {
    seed: Seeded,
    bounds: Bounds,
    index_by_key: HashMap<Key, usize, Seeded>,
    pub(crate) entries: Vec<Option<Entry<A>>>,
    free: Vec<usize>,
    next_serial: u64,
    tenants: HashMap<Option<u32>, Tenant, Seeded>,
    evictable: Evictable,
    /// All entries that expire.
    expiries: BTreeSet<(Micros, usize)>,
    /// All waiting requests, by deadline.
    waiter_deadlines: BTreeSet<(Micros, WaiterId, usize)>,
    answer_bytes: usize,
    counts: Counts,
    /// If the bounds are shared with other stores: this store's number among them, and the usage that they count
    /// together.
    shared_usage: Option<(StoreId, Arc<SharedUsage>)>,
    /// Stores that are to evict a key for this one and have not been notified yet; at most one per request.
    eviction_requests: Vec<StoreId>,
}

impl Evictable {
    fn len(&self) -> usize {
        self.without_answer.len() + self.answers.len()
    }
}

/// The entry to evict next: one without an answer if there is one, else the answer that expires first.
fn next_to_evict(evictable: &Evictable) -> Option<usize> {
    evictable.without_answer.first().or(evictable.answers.first()).map(|&(_, index)| index)
}

/// How many expired entries one call drops at most: when many expire at once, the next request must not wait for all.
const MAX_EXPIRED_PER_CALL: usize = 16;

impl<A: Clone> Store<A> {
    /// An empty store. The seed should be secret.
    pub fn new(seed: u64, bounds: Bounds) -> Self {
        let seed = Seeded(seed, seed.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15);
        Store {
            seed,
            bounds,
            index_by_key: HashMap::with_hasher(seed),
            entries: Vec::new(),
            free: Vec::new(),
            next_serial: 0,
            tenants: HashMap::with_hasher(seed),
            evictable: Evictable::default(),
            expiries: BTreeSet::new(),
            waiter_deadlines: BTreeSet::new(),
            answer_bytes: 0,
            counts: Counts::default(),
            shared_usage: None,
            eviction_requests: Vec::new(),
        }
    }

    /// An empty store that shares its bounds on keys and bytes with other stores, as number `store_id` among them. To
    /// make room it evicts entries of its own, or else requests that another store evicts one
    /// ([`Store::take_eviction_requests`]).
    pub fn with_shared_usage(
        seed: u64,
        bounds: Bounds,
        store_id: StoreId,
        shared_usage: Arc<SharedUsage>,
    ) -> Self {
        Store { shared_usage: Some((store_id, shared_usage)), ..Store::new(seed, bounds) }
    }

    /// The stores that are to evict a key for this one, each by [`Store::evict_for_peer`]. The caller takes them after
    /// each request and notifies these stores.
    pub fn take_eviction_requests(&mut self) -> Vec<StoreId> {
        std::mem::take(&mut self.eviction_requests)
    }

    /// Another store has requested that this one evict a key.
    pub fn evict_for_peer(&mut self) {
        // The requested key may already have been removed for another reason.
        if !self.shared_usage.as_ref().is_some_and(|(store_id, usage)| usage.take_eviction_request(*store_id))
        {
            return;
        }
        if let Some(index) = next_to_evict(&self.evictable) {
            self.evict(index);
        }
    }

    /// Replaces the bounds. This drops nothing: entries beyond the new bounds are evicted as room is needed, and what
    /// is remembered keeps its expiry.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// A digest of these parts in this order; the boundaries between the parts count. 128 bits under the store's seed:
    /// two requests with the same digest can't be made without knowing it.
    pub fn digest(&self, parts: &[&[u8]]) -> Digest {
        let mut hasher = SipHasher24::new_with_keys(self.seed.1, self.seed.0);
        for part in parts {
            hasher.write_u64(part.len() as u64);
            hasher.write(part);
        }
        Digest(hasher.finish128().as_u128())
    }

    /// The counters so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Number of keys, including expired ones that have not been dropped yet.
    pub fn len(&self) -> usize {
        self.index_by_key.len()
    }

    /// Whether the store holds no key.
    pub fn is_empty(&self) -> bool {
        self.index_by_key.is_empty()
    }

    /// Size of all kept answers in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Decides what a request gets that arrives now and waits until `deadline`. Only if it is the first or joins a call
    /// does the store keep it as a waiter, under the number `waiter`.
    pub fn admit(
        &mut self,
        now: Micros,
        request: &Request,
        waiter: WaiterId,
        deadline: Micros,
    ) -> Admission<A> {
        self.expire(now);
        if request.key.is_empty() || request.key.len() > self.bounds.key_bytes {
            self.counts.bad_keys += 1;
            return Admission::BadKey;
        }
        let key = Key { tenant: request.tenant, class: request.class, key: request.key.into() };
        if let Some(&index) = self.index_by_key.get(&key) {
            if self.has_expired(now, index) {
                self.remove(index);
                self.counts.expired += 1;
            } else if self.entries[index]
                .as_ref()
                .is_some_and(|entry| entry.key_state() == KeyState::NeverRan)
            {
                self.remove(index);
            } else {
                return self.repeat(now, index, request, waiter, deadline);
            }
        }
        if let Err(bound) = self.make_room_for_key(key.tenant) {
            return match request.kind {
                ClassKind::Keyed => {
                    self.counts.passed[bound as usize] += 1;
                    Admission::Pass(bound)
                }
                ClassKind::Unsafe => {
                    self.counts.refused[bound as usize] += 1;
                    Admission::Refused(bound)
                }
            };
        }
        self.counts.firsts += 1;
        let serial = self.next_serial;
        self.next_serial += 1;
        self.tenants.entry(key.tenant).or_default().entries += 1;
        let index = self.free.pop().unwrap_or_else(|| {
            self.entries.push(None);
            self.entries.len() - 1
        });
        self.index_by_key.insert(key.clone(), index);
        self.waiter_deadlines.insert((deadline, waiter, index));
        let state = State::Running { sent: waiter, waiters: vec![(waiter, deadline)] };
        let (kind, digest) = (request.kind, request.digest);
        self.entries[index] = Some(Entry { key, serial, kind, digest, first_arrival: now, state });
        Admission::First(RunId { index, serial })
    }

    fn repeat(
        &mut self,
        now: Micros,
        index: usize,
        request: &Request,
        waiter: WaiterId,
        deadline: Micros,
    ) -> Admission<A> {
        let Some(entry) = &mut self.entries[index] else {
            return Admission::NoAnswer(KeyInfo { state: KeyState::Unsure, age: 0 });
        };
        let info = KeyInfo { state: entry.key_state(), age: now.saturating_sub(entry.first_arrival) };
        if entry.digest != request.digest {
            self.counts.mismatched += 1;
            return Admission::Mismatch;
        }
        match &mut entry.state {
            State::Running { waiters, .. } if waiters.len() >= self.bounds.waiters => {
                self.counts.refused[FullBound::Waiters as usize] += 1;
                Admission::Refused(FullBound::Waiters)
            }
            State::Running { waiters, .. } => {
                let longest = waiters.iter().all(|&(_, other)| other < deadline);
                waiters.push((waiter, deadline));
                self.waiter_deadlines.insert((deadline, waiter, index));
                self.counts.joined += 1;
                Admission::Joined { run_id: RunId { index, serial: entry.serial }, longest }
            }
            State::Answered { answer: Some((answer, _)), .. } => {
                self.counts.replayed += 1;
                Admission::Replay(answer.clone())
            }
            State::Answered { answer: None, .. } => {
                self.counts.forgotten += 1;
                Admission::NoAnswer(info)
            }
            State::Unsure { .. } => {
                self.counts.unsure += 1;
                Admission::NoAnswer(info)
            }
            State::Settled { .. } => {
                self.counts.told_by_hand += 1;
                Admission::NoAnswer(info)
            }
        }
    }

    /// What is known of a run, for a request that waited for it and got no answer; `None` if the run is not known any
    /// more.
    pub fn info(&self, now: Micros, run_id: RunId) -> Option<KeyInfo> {
        let entry = self.entries.get(run_id.index)?.as_ref().filter(|entry| entry.serial == run_id.serial)?;
        Some(KeyInfo { state: entry.key_state(), age: now.saturating_sub(entry.first_arrival) })
    }

    /// The request that was sent as the running call of a run; it may no longer be waiting. `None`: the run is not
    /// running.
    pub fn sent_request(&self, run_id: RunId) -> Option<WaiterId> {
        match self.entries.get(run_id.index)?.as_ref()? {
            Entry { serial, state: State::Running { sent, .. }, .. } if *serial == run_id.serial => {
                Some(*sent)
            }
            _ => None,
        }
    }

    /// The requests that wait for a running call, in the order of their arrival.
    pub fn waiters(&mut self, run_id: RunId) -> Vec<WaiterId> {
        self.running(run_id).map(|waiters| waiters.iter().map(|&(id, _)| id).collect()).unwrap_or_default()
    }

    /// The tenant of a run's key.
    pub fn tenant(&self, run_id: RunId) -> Option<u32> {
        let entry = self.entries.get(run_id.index)?.as_ref().filter(|entry| entry.serial == run_id.serial)?;
        entry.key.tenant
    }

    /// The counters, in which the caller counts what it does with detached calls.
    pub fn counts_mut(&mut self) -> &mut Counts {
        &mut self.counts
    }

    /// Removes a request from the waiters of a run, since its client has disconnected.
    pub fn remove_waiter(&mut self, run_id: RunId, waiter: WaiterId) -> Removal {
        let Some(waiters) = self.running(run_id) else { return Removal::WasNotWaiting };
        let Some(position) = waiters.iter().position(|&(id, _)| id == waiter) else {
            return Removal::WasNotWaiting;
        };
        let (_, deadline) = waiters.remove(position);
        let removal = if waiters.is_empty() { Removal::NobodyWaits } else { Removal::OthersWait };
        self.waiter_deadlines.remove(&(deadline, waiter, run_id.index));
        removal
    }

    /// The earliest deadline of all waiting requests.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.waiter_deadlines.first().map(|&(deadline, ..)| deadline)
    }

    /// Removes and returns a waiter whose deadline has passed, if there is one, and the effect on its call. The caller
    /// answers it with a failure, as its call may have run or may still run.
    pub fn pop_overdue(&mut self, now: Micros) -> Option<(RunId, WaiterId, Removal)> {
        let &(deadline, waiter, index) = self.waiter_deadlines.first()?;
        if deadline > now {
            return None;
        }
        let serial = self.entries[index].as_ref()?.serial;
        let run_id = RunId { index, serial };
        let removal = self.remove_waiter(run_id, waiter);
        Some((run_id, waiter, removal))
    }

    /// Records how a running call ended. If it never ran, the next waiter becomes the first and is to be sent. Has no
    /// effect on a run that ended before, except that an answer to a run that was given up as unsure is kept.
    pub fn complete(&mut self, now: Micros, run_id: RunId, outcome: RunOutcome<A>) -> Completion {
        self.expire(now);
        let Some(entry) = self.entries.get_mut(run_id.index).and_then(Option::as_mut) else {
            return Completion::default();
        };
        if entry.serial != run_id.serial {
            return Completion::default();
        }
        let key_state = entry.key_state();
        let waiters = match &mut entry.state {
            State::Running { waiters, .. } => std::mem::take(waiters),
            State::Unsure { .. } | State::Settled { .. } if matches!(outcome, RunOutcome::Served { .. }) => {
                self.remove_from_indexes(run_id.index);
                self.counts.late += 1;
                Vec::new()
            }
            _ => return Completion::default(),
        };
        let late_for = Some(key_state).filter(|key_state| *key_state != KeyState::Running);
        let mut completion =
            Completion { waiters: waiters.iter().map(|&(id, _)| id).collect(), next: None, late_for };
        match outcome {
            RunOutcome::NeverRan if waiters.len() > 1 => {
                // The first gets the outcome of its own run; the next takes its place, and the others keep waiting.
                let (first, deadline) = waiters[0];
                completion = Completion { waiters: vec![first], next: Some(waiters[1].0), late_for: None };
                self.waiter_deadlines.remove(&(deadline, first, run_id.index));
                let waiters = waiters[1..].to_vec();
                self.set_state(run_id.index, State::Running { sent: waiters[0].0, waiters });
                self.counts.firsts += 1;
                return completion;
            }
            RunOutcome::NeverRan => self.remove(run_id.index),
            RunOutcome::Unsure => {
                self.counts.ended_unsure += 1;
                let expires_at = now.saturating_add(self.retention(run_id.index).unsure);
                self.set_state(run_id.index, State::Unsure { expires_at });
                self.add_to_indexes(run_id.index);
            }
            RunOutcome::Served { answer, bytes } => {
                let expires_at = now.saturating_add(self.retention(run_id.index).answered);
                let answer = self.make_room_for_answer(bytes).then_some((answer, bytes));
                if answer.is_none() {
                    self.counts.shrunk += 1;
                }
                self.answer_bytes += answer.as_ref().map_or(0, |_| bytes);
                self.set_state(run_id.index, State::Answered { expires_at, answer });
                self.add_to_indexes(run_id.index);
            }
        }
        for (waiter, deadline) in waiters {
            self.waiter_deadlines.remove(&(deadline, waiter, run_id.index));
        }
        completion
    }

    pub(crate) fn retention(&self, index: usize) -> crate::Retention {
        let class = self.entries[index].as_ref().map_or(u32::MAX, |entry| entry.key.class);
        self.bounds.retention(class)
    }

    fn running(&mut self, run_id: RunId) -> Option<&mut Vec<(WaiterId, Micros)>> {
        match self.entries.get_mut(run_id.index)?.as_mut()? {
            Entry { serial, state: State::Running { waiters, .. }, .. } if *serial == run_id.serial => {
                Some(waiters)
            }
            _ => None,
        }
    }

    pub(crate) fn set_state(&mut self, index: usize, state: State<A>) {
        if let Some(entry) = &mut self.entries[index] {
            entry.state = state;
        }
    }

    pub(crate) fn expires_at(&self, index: usize) -> Option<Micros> {
        match self.entries[index].as_ref()?.state {
            State::Running { .. } => None,
            State::Answered { expires_at, .. }
            | State::Unsure { expires_at }
            | State::Settled { expires_at, .. } => Some(expires_at),
        }
    }

    pub(crate) fn has_expired(&self, now: Micros, index: usize) -> bool {
        self.expires_at(index).is_some_and(|expires_at| expires_at <= now)
    }

    /// Adds an entry whose run has ended to the indexes of what expires and of what may be evicted.
    pub(crate) fn add_to_indexes(&mut self, index: usize) {
        let Some(expires_at) = self.expires_at(index) else { return };
        self.expiries.insert((expires_at, index));
        let Some(entry) = &self.entries[index] else { return };
        let tenant = self.tenants.entry(entry.key.tenant).or_default();
        let insert = |evictable: &mut Evictable| match (&entry.state, entry.kind) {
            (State::Answered { answer: Some(_), .. }, _) => evictable.answers.insert((expires_at, index)),
            (State::Answered { answer: None, .. }, _)
            | (State::Unsure { .. } | State::Settled { .. }, ClassKind::Keyed)
            | (State::Settled { verdict: Verdict::NeverRan, .. }, _) => {
                evictable.without_answer.insert((expires_at, index))
            }
            // It ran or may have run, and its client does not know: a second run can't be undone.
            (State::Unsure { .. } | State::Settled { .. }, ClassKind::Unsafe)
            | (State::Running { .. }, _) => false,
        };
        insert(&mut tenant.evictable);
        insert(&mut self.evictable);
        self.publish_evictable();
    }

    /// Publishes to the stores that share the bounds how many keys may be evicted here.
    fn publish_evictable(&self) {
        self.shared_usage
            .iter()
            .for_each(|(store_id, usage)| usage.set_evictable(*store_id, self.evictable.len()));
    }

    pub(crate) fn remove_from_indexes(&mut self, index: usize) {
        let Some(expires_at) = self.expires_at(index) else { return };
        self.expiries.remove(&(expires_at, index));
        let Some(entry) = &self.entries[index] else { return };
        let tenant = self.tenants.get_mut(&entry.key.tenant).map(|tenant| &mut tenant.evictable);
        for evictable in tenant.into_iter().chain([&mut self.evictable]) {
            evictable.answers.remove(&(expires_at, index));
            evictable.without_answer.remove(&(expires_at, index));
        }
    }

    fn remove(&mut self, index: usize) {
        self.remove_from_indexes(index);
        self.publish_evictable();
        let Some(entry) = self.entries[index].take() else { return };
        self.index_by_key.remove(&entry.key);
        self.free.push(index);
        self.shared_usage.iter().for_each(|(_, usage)| usage.remove(entry.key.tenant));
        if let State::Answered { answer: Some((_, bytes)), .. } = entry.state {
            self.answer_bytes -= bytes;
            self.shared_usage.iter().for_each(|(_, usage)| usage.remove_bytes(bytes));
        }
        if let Some(tenant) = self.tenants.get_mut(&entry.key.tenant) {
            tenant.entries -= 1;
            if tenant.entries == 0 {
                self.tenants.remove(&entry.key.tenant);
            }
        }
    }

    fn expire(&mut self, now: Micros) {
        for _ in 0..MAX_EXPIRED_PER_CALL {
            let Some(&(expires_at, index)) = self.expiries.first() else { return };
            if expires_at > now {
                return;
            }
            self.remove(index);
            self.counts.expired += 1;
        }
    }

    /// Drops an entry's answer; the entry remains as a marker.
    fn drop_answer(&mut self, index: usize) {
        self.remove_from_indexes(index);
        if let Some(Entry { state: State::Answered { answer, .. }, .. }) = &mut self.entries[index] {
            if let Some((_, bytes)) = answer.take() {
                self.answer_bytes -= bytes;
                self.shared_usage.iter().for_each(|(_, usage)| usage.remove_bytes(bytes));
                self.counts.shrunk += 1;
            }
        }
        self.add_to_indexes(index);
    }

    /// Makes room for an answer of this size by dropping the answers that expire first. `false`: there is no room.
    fn make_room_for_answer(&mut self, bytes: usize) -> bool {
        if bytes > self.bounds.answer_bytes {
            return false;
        }
        while !match &self.shared_usage {
            Some((_, usage)) => usage.add_bytes(bytes, self.bounds.answer_bytes),
            None => self.answer_bytes + bytes <= self.bounds.answer_bytes,
        } {
            let Some(&(_, index)) = self.evictable.answers.first() else { return false };
            self.drop_answer(index);
        }
        true
    }

    /// Makes room for one more key of a tenant: evicts an entry of the tenant if it has reached its own bound, or else
    /// of any tenant. Entries without an answer are evicted before those with one.
    fn make_room_for_key(&mut self, tenant: Option<u32>) -> Result<(), FullBound> {
        if let Some((store_id, usage)) = self.shared_usage.clone() {
            while let Err(bound) = usage.add(tenant, &self.bounds) {
                let of_tenant = self.tenants.get(&tenant).and_then(|state| next_to_evict(&state.evictable));
                let index =
                    if bound == FullBound::Tenant { of_tenant } else { next_to_evict(&self.evictable) };
                match index {
                    Some(index) => self.evict(index),
                    None if bound == FullBound::Entries => {
                        self.eviction_requests.push(usage.request_eviction(store_id).ok_or(bound)?)
                    }
                    None => return Err(bound),
                }
            }
            return Ok(());
        }
        let tenant_state = self.tenants.get(&tenant);
        if tenant_state.map_or(0, |state| state.entries) >= self.bounds.entries_per_tenant {
            let index =
                tenant_state.and_then(|state| next_to_evict(&state.evictable)).ok_or(FullBound::Tenant)?;
            self.evict(index);
        }
        if self.index_by_key.len() >= self.bounds.entries {
            let index = next_to_evict(&self.evictable).ok_or(FullBound::Entries)?;
            self.evict(index);
        }
        Ok(())
    }

    fn evict(&mut self, index: usize) {
        self.remove(index);
        self.counts.evicted += 1;
    }
}
