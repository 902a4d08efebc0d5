//! The state machine.

use crate::bounds::Bounds;
use crate::shared_usage::{SharedUsage, StoreId};
use siphasher::sip::SipHasher13;
use siphasher::sip128::{Hasher128, SipHasher24};
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::hash::{BuildHasher, Hasher};
use std::str::FromStr;
use std::sync::Arc;

/// A moment, in microseconds.
pub type Micros = u64;

/// A request that waits, as whoever drives the store numbers it; no two that wait have one number.
pub type WaiterId = u64;

/// What tells one request from another under the same key: a keyed hash of what it asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest(u128);

/// What kind of class a request is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassKind {
    /// Hosts know the key too, and drop repeats for a while.
    Keyed,
    /// Only this store knows the key: a second run is harm for good.
    Unsafe,
}

/// A request with a key.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Whose it is.
    pub tenant: Option<u32>,
    /// Its class.
    pub class: u32,
    /// The class's kind.
    pub kind: ClassKind,
    /// Its key, as it came.
    pub key: &'a [u8],
    /// Its digest, by [`Store::digest`].
    pub digest: Digest,
}

/// A running call. It names this one run for good: a key that runs again has another. As text it is `PLACE-SERIAL`.
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

/// A text that names no run of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRunId;

impl fmt::Display for InvalidRunId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("not an id of a key, which is two whole numbers with a dash between them")
    }
}

impl std::error::Error for InvalidRunId {}

/// What a key is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum KeyState {
    /// Its call is out; it may run, and its answer may still come.
    Running,
    /// It ran, and its answer is kept.
    Answered,
    /// It ran and was answered, and its answer is no longer kept.
    Forgotten,
    /// It may have run; nobody knows.
    Unsure,
    /// It ran, as somebody has said by hand; its answer was never seen.
    Ran,
    /// It never ran, as somebody has said by hand: the next request with it is a first.
    NeverRan,
}

impl KeyState {
    /// All of them, with their names in answers and at the command line; the names do not change.
    pub const ALL: [(KeyState, &'static str); 6] = [
        (KeyState::Running, "running"),
        (KeyState::Answered, "answered"),
        (KeyState::Forgotten, "forgotten"),
        (KeyState::Unsure, "unsure"),
        (KeyState::Ran, "ran"),
        (KeyState::NeverRan, "never-ran"),
    ];

    /// Its name.
    pub fn name(self) -> &'static str {
        KeyState::ALL.iter().find(|(state, _)| *state == self).map_or("", |(_, name)| name)
    }

    /// The state of this name.
    pub fn named(name: &str) -> Option<KeyState> {
        KeyState::ALL.iter().find(|(_, state_name)| *state_name == name).map(|(state, _)| *state)
    }
}

/// What is known of a key that has no answer to give.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyInfo {
    /// What it is at.
    pub state: KeyState,
    /// How long ago its first request came, in microseconds.
    pub age: Micros,
}

/// What somebody says by hand of a key of which nobody knew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It ran: no request with it goes to a host, and each is told so.
    Ran,
    /// It never ran: the next request with it is a first.
    NeverRan,
}

impl Verdict {
    /// What a key is at after it.
    pub fn state(self) -> KeyState {
        match self {
            Verdict::Ran => KeyState::Ran,
            Verdict::NeverRan => KeyState::NeverRan,
        }
    }
}

/// Why a request is not held, or an answer no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FullBound {
    /// All entries are running or unsure.
    Entries,
    /// All of its tenant's are.
    Tenant,
    /// As many wait for this key as may.
    Waiters,
}

/// What a request gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission<A> {
    /// It is the first: it is to be sent, and its end told.
    First(RunId),
    /// It waits with the first.
    Joined {
        /// For which call.
        run_id: RunId,
        /// It waits longer than all others: the call is wanted until its deadline now.
        longest: bool,
    },
    /// The first's answer.
    Replay(A),
    /// The first ran or may have, and there is no answer to give: no new attempt.
    NoAnswer(KeyInfo),
    /// Another request had this key: an error, 422.
    Mismatch,
    /// The key is empty or too long: an error, 400.
    BadKey,
    /// There is no room, and it can do without: it goes on as if there were no store.
    Pass(FullBound),
    /// There is no room, and without it there may be harm: it is refused, and never ran.
    Refused(FullBound),
}

/// How a running call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome<A> {
    /// It was answered.
    Served {
        /// The answer.
        answer: A,
        /// How many bytes it holds.
        bytes: usize,
    },
    /// It may have run, and there is no answer.
    Unsure,
    /// It surely never ran.
    NeverRan,
}

/// Who hears of an end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Completion {
    /// Those who get it, in the order in which they came.
    pub waiters: Vec<WaiterId>,
    /// The one that is sent now, under the same slot: it becomes the first.
    pub next: Option<WaiterId>,
    /// An answer came for a key that had been given up, which was at this: the answer holds.
    pub late_for: Option<KeyState>,
}

/// What is left of a call when one who waited has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// Others wait.
    OthersWait,
    /// Nobody does. It is to be called off and its end told; or it goes on for a while (see [`crate::Lingering`]), in
    /// which case a repeat joins it as any.
    NobodyWaits,
    /// It had ended, or did not wait.
    WasNotWaiting,
}

/// What has been done so far, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that became the first of their key, again after one that never ran included.
    pub firsts: u64,
    /// Repeats that waited with the first.
    pub joined: u64,
    /// Repeats that got its answer later.
    pub replayed: u64,
    /// Repeats that got its failure.
    pub unsure: u64,
    /// Repeats whose answer was no longer kept.
    pub forgotten: u64,
    /// Repeats of a key that ran, as somebody has said by hand.
    pub told_by_hand: u64,
    /// Calls that went on when nobody waited any more.
    pub lingered: u64,
    /// Those of them that a repeat has joined.
    pub rejoined: u64,
    /// Those of them that were answered.
    pub answered_alone: u64,
    /// Those of them that made room for others.
    pub called_off: u64,
    /// Keys that ended unsure.
    pub ended_unsure: u64,
    /// Answers that came for a key that had been given up.
    pub late: u64,
    /// Keys that were settled by hand.
    pub settled: u64,
    /// Other requests under a key that was taken.
    pub mismatched: u64,
    /// Requests with a key that cannot be one.
    pub bad_keys: u64,
    /// Requests that passed by for want of room, by cause.
    pub passed: [u64; 3],
    /// Requests refused for want of room, by cause.
    pub refused: [u64; 3],
    /// Answers that were given up for others, before their time.
    pub shrunk: u64,
    /// Keys that were.
    pub evicted: u64,
    /// Keys whose time was up.
    pub expired: u64,
}

impl std::ops::Add for Counts {
    type Output = Counts;

    /// What two stores have done together.
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
    /// Those who wait, in the order in which they came, with their deadlines.
    Running {
        /// Whose request it is that runs; it may have gone.
        sent: WaiterId,
        waiters: Vec<(WaiterId, Micros)>,
    },
    /// `None`: a marker, its answer was given up.
    Answered {
        expires_at: Micros,
        answer: Option<(A, usize)>,
    },
    Unsure {
        expires_at: Micros,
    },
    /// By hand.
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
    /// When its first request came.
    pub(crate) first_arrival: Micros,
    pub(crate) state: State<A>,
}

impl<A> Entry<A> {
    /// What it is at.
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

/// What may be given up, the first to end by itself first. An entry is in one of the two at most.
#[derive(Debug, Default)]
struct Evictable {
    /// Answers, which shrink to a marker.
    answers: BTreeSet<(Micros, usize)>,
    /// What can go whole.
    without_answer: BTreeSet<(Micros, usize)>,
}

#[derive(Debug, Default)]
struct Tenant {
    entries: usize,
    evictable: Evictable,
}

/// Hashes with a seed, so that nobody who does not know it can make keys that collide.
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
/// Its work for one event does not grow with what it holds, but for the logarithm of an ordered set.
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
    /// All that ends by itself.
    expiries: BTreeSet<(Micros, usize)>,
    /// Those who wait, by deadline.
    waiter_deadlines: BTreeSet<(Micros, WaiterId, usize)>,
    answer_bytes: usize,
    counts: Counts,
    /// Where other stores share its bounds, and which of them it is.
    shared_usage: Option<(StoreId, Arc<SharedUsage>)>,
    /// What others are to give up for this one, and have not been told; one at most a request.
    eviction_requests: Vec<StoreId>,
}

impl Evictable {
    fn len(&self) -> usize {
        self.without_answer.len() + self.answers.len()
    }
}

/// What goes first of what could: markers and the like before whole answers.
fn next_to_evict(evictable: &Evictable) -> Option<usize> {
    evictable.without_answer.first().or(evictable.answers.first()).map(|&(_, index)| index)
}

/// How many entries whose time is up go with one event: a crowd that ends at once must not hold up the next request.
const MAX_EXPIRED_PER_CALL: usize = 16;

impl<A: Clone> Store<A> {
    /// An empty store. The seed should not be known outside.
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

    /// An empty store that shares its bounds on keys and bytes with others, as the one of this number. What can go to
    /// make room goes from the store that needs it, or else from another ([`Store::claims`]).
    pub fn with_shared_usage(
        seed: u64,
        bounds: Bounds,
        store_id: StoreId,
        shared_usage: Arc<SharedUsage>,
    ) -> Self {
        Store { shared_usage: Some((store_id, shared_usage)), ..Store::new(seed, bounds) }
    }

    /// What others are to give up, each by [`Store::give_up`]: to be asked after each request, and told.
    pub fn take_eviction_requests(&mut self) -> Vec<StoreId> {
        std::mem::take(&mut self.eviction_requests)
    }

    /// Another store has claimed a key of this one.
    pub fn evict_for_peer(&mut self) {
        // It may have gone by itself.
        if !self.shared_usage.as_ref().is_some_and(|(store_id, usage)| usage.take_eviction_request(*store_id))
        {
            return;
        }
        if let Some(index) = next_to_evict(&self.evictable) {
            self.evict(index);
        }
    }

    /// Goes on under other bounds. Nothing is dropped for it: what is over a bound goes as room is needed, and what
    /// is remembered keeps the time that it was given.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// A digest of these parts, in their order; where one ends counts. 128 bits under the store's seed: nobody who
    /// does not know it can make two requests that have one digest.
    pub fn digest(&self, parts: &[&[u8]]) -> Digest {
        let mut hasher = SipHasher24::new_with_keys(self.seed.1, self.seed.0);
        for part in parts {
            hasher.write_u64(part.len() as u64);
            hasher.write(part);
        }
        Digest(hasher.finish128().as_u128())
    }

    /// What has been done so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Keys that are held, those whose time is up and that have not gone yet included.
    pub fn len(&self) -> usize {
        self.index_by_key.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.index_by_key.is_empty()
    }

    /// Bytes of the answers that are kept.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// A request comes, which waits until `deadline`. Under a number of its own it waits for an end where it is the
    /// first or joins, and only then.
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

    /// What is known of a key's run, for one who waited for it in vain.
    pub fn info(&self, now: Micros, run_id: RunId) -> Option<KeyInfo> {
        let entry = self.entries.get(run_id.index)?.as_ref().filter(|entry| entry.serial == run_id.serial)?;
        Some(KeyInfo { state: entry.key_state(), age: now.saturating_sub(entry.first_arrival) })
    }

    /// Whose request it is that runs as a slot's call: the first's, who may have gone. `None`: none runs.
    pub fn sent_request(&self, run_id: RunId) -> Option<WaiterId> {
        match self.entries.get(run_id.index)?.as_ref()? {
            Entry { serial, state: State::Running { sent, .. }, .. } if *serial == run_id.serial => {
                Some(*sent)
            }
            _ => None,
        }
    }

    /// Those who wait for a running call, in the order in which they came.
    pub fn waiters(&mut self, run_id: RunId) -> Vec<WaiterId> {
        self.running(run_id).map(|waiters| waiters.iter().map(|&(id, _)| id).collect()).unwrap_or_default()
    }

    /// Whose key it is that runs in this slot.
    pub fn tenant(&self, run_id: RunId) -> Option<u32> {
        let entry = self.entries.get(run_id.index)?.as_ref().filter(|entry| entry.serial == run_id.serial)?;
        entry.key.tenant
    }

    /// For whoever drives the store: it counts here what it does with calls that linger.
    pub fn counts_mut(&mut self) -> &mut Counts {
        &mut self.counts
    }

    /// One who waited has gone.
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

    /// When the first of those who wait no longer does.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.waiter_deadlines.first().map(|&(deadline, ..)| deadline)
    }

    /// One whose time is up now, if there is one, and what is left of its call. Each is told of once; it gets the
    /// failure, as its call may have run or may yet.
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

    /// The running call of this slot has ended. After one that never ran, the next who waits becomes the first.
    /// Says nothing of a slot that has ended before, but for an answer that comes when its call was given up as
    /// unsure: that is kept.
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
                // The first hears of its own end; the next takes its place, and the others wait on.
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

    /// The sets in which an entry that has ended stands: what may be given up, and how.
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
            // It ran or may have, and its client knows nothing of it: a second run is harm for good.
            (State::Unsure { .. } | State::Settled { .. }, ClassKind::Unsafe)
            | (State::Running { .. }, _) => false,
        };
        insert(&mut tenant.evictable);
        insert(&mut self.evictable);
        self.publish_evictable();
    }

    /// The stores that share its bounds know what could go here.
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

    /// Gives an answer up; a marker of it stays.
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

    /// Room for an answer of so many bytes: older ones shrink for it.
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

    /// Room for one more key of a tenant: what can go of its own, where it has as many as it may; else of anybody's.
    /// Markers and the like go before whole answers do.
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
