//! The state machine.

use crate::bounds::Bounds;
use crate::tally::{Sharer, Tally};
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
pub enum Kind {
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
    pub kind: Kind,
    /// Its key, as it came.
    pub key: &'a [u8],
    /// Its digest, by [`Store::digest`].
    pub digest: Digest,
}

/// A running call. It names this one run for good: a key that runs again has another. As text it is `PLACE-SERIAL`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Slot {
    pub(crate) place: usize,
    pub(crate) serial: u64,
}

impl Slot {
    #[cfg(test)]
    pub(crate) fn of(place: usize, serial: u64) -> Slot {
        Slot { place, serial }
    }
}

impl fmt::Display for Slot {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}-{}", self.place, self.serial)
    }
}

impl FromStr for Slot {
    type Err = BadSlot;

    fn from_str(text: &str) -> Result<Slot, BadSlot> {
        let (place, serial) = text.split_once('-').ok_or(BadSlot)?;
        let place = place.parse().map_err(|_| BadSlot)?;
        Ok(Slot { place, serial: serial.parse().map_err(|_| BadSlot)? })
    }
}

/// A text that names no run of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadSlot;

impl fmt::Display for BadSlot {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("not an id of a key, which is two whole numbers with a dash between them")
    }
}

impl std::error::Error for BadSlot {}

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
        KeyState::ALL.iter().find(|(_, known)| *known == name).map(|(state, _)| *state)
    }
}

/// What is known of a key that has no answer to give.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
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
pub enum Cause {
    /// All entries are running or unsure.
    Entries,
    /// All of its tenant's are.
    Tenant,
    /// As many wait for this key as may.
    Waiters,
}

/// What a request gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Arrival<A> {
    /// It is the first: it is to be sent, and its end told.
    First(Slot),
    /// It waits with the first.
    Joined {
        /// For which call.
        slot: Slot,
        /// It waits longer than all others: the call is wanted until its deadline now.
        longest: bool,
    },
    /// The first's answer.
    Replay(A),
    /// The first ran or may have, and there is no answer to give: no new attempt.
    Known(Known),
    /// Another request had this key: an error, 422.
    Mismatch,
    /// The key is empty or too long: an error, 400.
    BadKey,
    /// There is no room, and it can do without: it goes on as if there were no store.
    Pass(Cause),
    /// There is no room, and without it there may be harm: it is refused, and never ran.
    Refused(Cause),
}

/// How a running call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End<A> {
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
pub struct Ended {
    /// Those who get it, in the order in which they came.
    pub waiters: Vec<WaiterId>,
    /// The one that is sent now, under the same slot: it becomes the first.
    pub next: Option<WaiterId>,
    /// An answer came for a key that had been given up, which was at this: the answer holds.
    pub late: Option<KeyState>,
}

/// What is left of a call when one who waited has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Left {
    /// Others wait.
    Others,
    /// Nobody does. It is to be called off and its end told; or it goes on for a while (see [`crate::Lingering`]), in
    /// which case a repeat joins it as any.
    Nobody,
    /// It had ended, or did not wait.
    Nothing,
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
        runs: WaiterId,
        waiters: Vec<(WaiterId, Micros)>,
    },
    /// `None`: a marker, its answer was given up.
    Answered {
        until: Micros,
        answer: Option<(A, usize)>,
    },
    Unsure {
        until: Micros,
    },
    /// By hand.
    Settled {
        until: Micros,
        verdict: Verdict,
    },
}

#[derive(Debug)]
pub(crate) struct Entry<A> {
    pub(crate) key: Key,
    pub(crate) serial: u64,
    pub(crate) kind: Kind,
    digest: Digest,
    /// When its first request came.
    pub(crate) came: Micros,
    pub(crate) state: State<A>,
}

impl<A> Entry<A> {
    /// What it is at.
    pub(crate) fn at(&self) -> KeyState {
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
struct Spare {
    /// Answers, which shrink to a marker.
    answers: BTreeSet<(Micros, usize)>,
    /// What can go whole.
    rest: BTreeSet<(Micros, usize)>,
}

#[derive(Debug, Default)]
struct Tenant {
    entries: usize,
    spare: Spare,
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
    places: HashMap<Key, usize, Seeded>,
    pub(crate) entries: Vec<Option<Entry<A>>>,
    free: Vec<usize>,
    next_serial: u64,
    tenants: HashMap<Option<u32>, Tenant, Seeded>,
    spare: Spare,
    /// All that ends by itself.
    ends: BTreeSet<(Micros, usize)>,
    /// Those who wait, by deadline.
    waiting: BTreeSet<(Micros, WaiterId, usize)>,
    bytes: usize,
    counts: Counts,
    /// Where other stores share its bounds, and which of them it is.
    tally: Option<(Sharer, Arc<Tally>)>,
    /// What others are to give up for this one, and have not been told; one at most a request.
    claims: Vec<Sharer>,
}

impl Spare {
    fn len(&self) -> usize {
        self.rest.len() + self.answers.len()
    }
}

/// What goes first of what could: markers and the like before whole answers.
fn first(spare: &Spare) -> Option<usize> {
    spare.rest.first().or(spare.answers.first()).map(|&(_, place)| place)
}

/// How many entries whose time is up go with one event: a crowd that ends at once must not hold up the next request.
const EXPIRE_MOST: usize = 16;

impl<A: Clone> Store<A> {
    /// An empty store. The seed should not be known outside.
    pub fn new(seed: u64, bounds: Bounds) -> Self {
        let seed = Seeded(seed, seed.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15);
        Store {
            seed,
            bounds,
            places: HashMap::with_hasher(seed),
            entries: Vec::new(),
            free: Vec::new(),
            next_serial: 0,
            tenants: HashMap::with_hasher(seed),
            spare: Spare::default(),
            ends: BTreeSet::new(),
            waiting: BTreeSet::new(),
            bytes: 0,
            counts: Counts::default(),
            tally: None,
            claims: Vec::new(),
        }
    }

    /// An empty store that shares its bounds on keys and bytes with others, as the one of this number. What can go to
    /// make room goes from the store that needs it, or else from another ([`Store::claims`]).
    pub fn sharing(seed: u64, bounds: Bounds, me: Sharer, tally: Arc<Tally>) -> Self {
        Store { tally: Some((me, tally)), ..Store::new(seed, bounds) }
    }

    /// What others are to give up, each by [`Store::give_up`]: to be asked after each request, and told.
    pub fn claims(&mut self) -> Vec<Sharer> {
        std::mem::take(&mut self.claims)
    }

    /// Another store has claimed a key of this one.
    pub fn give_up(&mut self) {
        // It may have gone by itself.
        if !self.tally.as_ref().is_some_and(|(me, tally)| tally.unclaim(*me)) {
            return;
        }
        if let Some(place) = first(&self.spare) {
            self.evict(place);
        }
    }

    /// Goes on under other bounds. Nothing is dropped for it: what is over a bound goes as room is needed, and what
    /// is remembered keeps the time that it was given.
    pub fn rebound(&mut self, bounds: Bounds) {
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
        self.places.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Bytes of the answers that are kept.
    pub fn answer_bytes(&self) -> usize {
        self.bytes
    }

    /// A request comes, which waits until `deadline`. Under a number of its own it waits for an end where it is the
    /// first or joins, and only then.
    pub fn arrive(
        &mut self,
        now: Micros,
        request: &Request,
        waiter: WaiterId,
        deadline: Micros,
    ) -> Arrival<A> {
        self.expire(now);
        if request.key.is_empty() || request.key.len() > self.bounds.key_bytes {
            self.counts.bad_keys += 1;
            return Arrival::BadKey;
        }
        let key = Key { tenant: request.tenant, class: request.class, key: request.key.into() };
        if let Some(&place) = self.places.get(&key) {
            if self.has_ended(now, place) {
                self.remove(place);
                self.counts.expired += 1;
            } else if self.entries[place].as_ref().is_some_and(|entry| entry.at() == KeyState::NeverRan) {
                self.remove(place);
            } else {
                return self.repeat(now, place, request, waiter, deadline);
            }
        }
        if let Err(cause) = self.make_room(key.tenant) {
            return match request.kind {
                Kind::Keyed => {
                    self.counts.passed[cause as usize] += 1;
                    Arrival::Pass(cause)
                }
                Kind::Unsafe => {
                    self.counts.refused[cause as usize] += 1;
                    Arrival::Refused(cause)
                }
            };
        }
        self.counts.firsts += 1;
        let serial = self.next_serial;
        self.next_serial += 1;
        self.tenants.entry(key.tenant).or_default().entries += 1;
        let place = self.free.pop().unwrap_or_else(|| {
            self.entries.push(None);
            self.entries.len() - 1
        });
        self.places.insert(key.clone(), place);
        self.waiting.insert((deadline, waiter, place));
        let state = State::Running { runs: waiter, waiters: vec![(waiter, deadline)] };
        let (kind, digest) = (request.kind, request.digest);
        self.entries[place] = Some(Entry { key, serial, kind, digest, came: now, state });
        Arrival::First(Slot { place, serial })
    }

    fn repeat(
        &mut self,
        now: Micros,
        place: usize,
        request: &Request,
        waiter: WaiterId,
        deadline: Micros,
    ) -> Arrival<A> {
        let Some(entry) = &mut self.entries[place] else {
            return Arrival::Known(Known { state: KeyState::Unsure, age: 0 });
        };
        let known = Known { state: entry.at(), age: now.saturating_sub(entry.came) };
        if entry.digest != request.digest {
            self.counts.mismatched += 1;
            return Arrival::Mismatch;
        }
        match &mut entry.state {
            State::Running { waiters, .. } if waiters.len() >= self.bounds.waiters => {
                self.counts.refused[Cause::Waiters as usize] += 1;
                Arrival::Refused(Cause::Waiters)
            }
            State::Running { waiters, .. } => {
                let longest = waiters.iter().all(|&(_, other)| other < deadline);
                waiters.push((waiter, deadline));
                self.waiting.insert((deadline, waiter, place));
                self.counts.joined += 1;
                Arrival::Joined { slot: Slot { place, serial: entry.serial }, longest }
            }
            State::Answered { answer: Some((answer, _)), .. } => {
                self.counts.replayed += 1;
                Arrival::Replay(answer.clone())
            }
            State::Answered { answer: None, .. } => {
                self.counts.forgotten += 1;
                Arrival::Known(known)
            }
            State::Unsure { .. } => {
                self.counts.unsure += 1;
                Arrival::Known(known)
            }
            State::Settled { .. } => {
                self.counts.told_by_hand += 1;
                Arrival::Known(known)
            }
        }
    }

    /// What is known of a key's run, for one who waited for it in vain.
    pub fn known(&self, now: Micros, slot: Slot) -> Option<Known> {
        let entry = self.entries.get(slot.place)?.as_ref().filter(|entry| entry.serial == slot.serial)?;
        Some(Known { state: entry.at(), age: now.saturating_sub(entry.came) })
    }

    /// Whose request it is that runs as a slot's call: the first's, who may have gone. `None`: none runs.
    pub fn runner(&self, slot: Slot) -> Option<WaiterId> {
        match self.entries.get(slot.place)?.as_ref()? {
            Entry { serial, state: State::Running { runs, .. }, .. } if *serial == slot.serial => Some(*runs),
            _ => None,
        }
    }

    /// Those who wait for a running call, in the order in which they came.
    pub fn waiters(&mut self, slot: Slot) -> Vec<WaiterId> {
        self.running(slot).map(|waiters| waiters.iter().map(|&(id, _)| id).collect()).unwrap_or_default()
    }

    /// Whose key it is that runs in this slot.
    pub fn tenant(&self, slot: Slot) -> Option<u32> {
        let entry = self.entries.get(slot.place)?.as_ref().filter(|entry| entry.serial == slot.serial)?;
        entry.key.tenant
    }

    /// For whoever drives the store: it counts here what it does with calls that linger.
    pub fn counts_mut(&mut self) -> &mut Counts {
        &mut self.counts
    }

    /// One who waited has gone.
    pub fn gone(&mut self, slot: Slot, waiter: WaiterId) -> Left {
        let Some(waiters) = self.running(slot) else { return Left::Nothing };
        let Some(at) = waiters.iter().position(|&(id, _)| id == waiter) else { return Left::Nothing };
        let (_, deadline) = waiters.remove(at);
        let left = if waiters.is_empty() { Left::Nobody } else { Left::Others };
        self.waiting.remove(&(deadline, waiter, slot.place));
        left
    }

    /// When the first of those who wait no longer does.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.waiting.first().map(|&(deadline, ..)| deadline)
    }

    /// One whose time is up now, if there is one, and what is left of its call. Each is told of once; it gets the
    /// failure, as its call may have run or may yet.
    pub fn overdue(&mut self, now: Micros) -> Option<(Slot, WaiterId, Left)> {
        let &(deadline, waiter, place) = self.waiting.first()?;
        if deadline > now {
            return None;
        }
        let serial = self.entries[place].as_ref()?.serial;
        let slot = Slot { place, serial };
        let left = self.gone(slot, waiter);
        Some((slot, waiter, left))
    }

    /// The running call of this slot has ended. After one that never ran, the next who waits becomes the first.
    /// Says nothing of a slot that has ended before, but for an answer that comes when its call was given up as
    /// unsure: that is kept.
    pub fn ended(&mut self, now: Micros, slot: Slot, end: End<A>) -> Ended {
        self.expire(now);
        let Some(entry) = self.entries.get_mut(slot.place).and_then(Option::as_mut) else {
            return Ended::default();
        };
        if entry.serial != slot.serial {
            return Ended::default();
        }
        let at = entry.at();
        let waiters = match &mut entry.state {
            State::Running { waiters, .. } => std::mem::take(waiters),
            State::Unsure { .. } | State::Settled { .. } if matches!(end, End::Served { .. }) => {
                self.unlist(slot.place);
                self.counts.late += 1;
                Vec::new()
            }
            _ => return Ended::default(),
        };
        let late = Some(at).filter(|at| *at != KeyState::Running);
        let mut ended = Ended { waiters: waiters.iter().map(|&(id, _)| id).collect(), next: None, late };
        match end {
            End::NeverRan if waiters.len() > 1 => {
                // The first hears of its own end; the next takes its place, and the others wait on.
                let (first, deadline) = waiters[0];
                ended = Ended { waiters: vec![first], next: Some(waiters[1].0), late: None };
                self.waiting.remove(&(deadline, first, slot.place));
                let waiters = waiters[1..].to_vec();
                self.set(slot.place, State::Running { runs: waiters[0].0, waiters });
                self.counts.firsts += 1;
                return ended;
            }
            End::NeverRan => self.remove(slot.place),
            End::Unsure => {
                self.counts.ended_unsure += 1;
                let until = now.saturating_add(self.retention(slot.place).unsure);
                self.set(slot.place, State::Unsure { until });
                self.list(slot.place);
            }
            End::Served { answer, bytes } => {
                let until = now.saturating_add(self.retention(slot.place).answered);
                let answer = self.make_bytes(bytes).then_some((answer, bytes));
                if answer.is_none() {
                    self.counts.shrunk += 1;
                }
                self.bytes += answer.as_ref().map_or(0, |_| bytes);
                self.set(slot.place, State::Answered { until, answer });
                self.list(slot.place);
            }
        }
        for (waiter, deadline) in waiters {
            self.waiting.remove(&(deadline, waiter, slot.place));
        }
        ended
    }

    pub(crate) fn retention(&self, place: usize) -> crate::Retention {
        let class = self.entries[place].as_ref().map_or(u32::MAX, |entry| entry.key.class);
        self.bounds.retention(class)
    }

    fn running(&mut self, slot: Slot) -> Option<&mut Vec<(WaiterId, Micros)>> {
        match self.entries.get_mut(slot.place)?.as_mut()? {
            Entry { serial, state: State::Running { waiters, .. }, .. } if *serial == slot.serial => {
                Some(waiters)
            }
            _ => None,
        }
    }

    pub(crate) fn set(&mut self, place: usize, state: State<A>) {
        if let Some(entry) = &mut self.entries[place] {
            entry.state = state;
        }
    }

    pub(crate) fn until(&self, place: usize) -> Option<Micros> {
        match self.entries[place].as_ref()?.state {
            State::Running { .. } => None,
            State::Answered { until, .. } | State::Unsure { until } | State::Settled { until, .. } => {
                Some(until)
            }
        }
    }

    pub(crate) fn has_ended(&self, now: Micros, place: usize) -> bool {
        self.until(place).is_some_and(|until| until <= now)
    }

    /// The sets in which an entry that has ended stands: what may be given up, and how.
    pub(crate) fn list(&mut self, place: usize) {
        let Some(until) = self.until(place) else { return };
        self.ends.insert((until, place));
        let Some(entry) = &self.entries[place] else { return };
        let tenant = self.tenants.entry(entry.key.tenant).or_default();
        let of = |spare: &mut Spare| match (&entry.state, entry.kind) {
            (State::Answered { answer: Some(_), .. }, _) => spare.answers.insert((until, place)),
            (State::Answered { answer: None, .. }, _)
            | (State::Unsure { .. } | State::Settled { .. }, Kind::Keyed)
            | (State::Settled { verdict: Verdict::NeverRan, .. }, _) => spare.rest.insert((until, place)),
            // It ran or may have, and its client knows nothing of it: a second run is harm for good.
            (State::Unsure { .. } | State::Settled { .. }, Kind::Unsafe) | (State::Running { .. }, _) => {
                false
            }
        };
        of(&mut tenant.spare);
        of(&mut self.spare);
        self.tell_spare();
    }

    /// The stores that share its bounds know what could go here.
    fn tell_spare(&self) {
        self.tally.iter().for_each(|(me, tally)| tally.spare(*me, self.spare.len()));
    }

    pub(crate) fn unlist(&mut self, place: usize) {
        let Some(until) = self.until(place) else { return };
        self.ends.remove(&(until, place));
        let Some(entry) = &self.entries[place] else { return };
        let tenant = self.tenants.get_mut(&entry.key.tenant).map(|tenant| &mut tenant.spare);
        for spare in tenant.into_iter().chain([&mut self.spare]) {
            spare.answers.remove(&(until, place));
            spare.rest.remove(&(until, place));
        }
    }

    fn remove(&mut self, place: usize) {
        self.unlist(place);
        self.tell_spare();
        let Some(entry) = self.entries[place].take() else { return };
        self.places.remove(&entry.key);
        self.free.push(place);
        self.tally.iter().for_each(|(_, tally)| tally.remove(entry.key.tenant));
        if let State::Answered { answer: Some((_, bytes)), .. } = entry.state {
            self.bytes -= bytes;
            self.tally.iter().for_each(|(_, tally)| tally.remove_bytes(bytes));
        }
        if let Some(tenant) = self.tenants.get_mut(&entry.key.tenant) {
            tenant.entries -= 1;
            if tenant.entries == 0 {
                self.tenants.remove(&entry.key.tenant);
            }
        }
    }

    fn expire(&mut self, now: Micros) {
        for _ in 0..EXPIRE_MOST {
            let Some(&(until, place)) = self.ends.first() else { return };
            if until > now {
                return;
            }
            self.remove(place);
            self.counts.expired += 1;
        }
    }

    /// Gives an answer up; a marker of it stays.
    fn shrink(&mut self, place: usize) {
        self.unlist(place);
        if let Some(Entry { state: State::Answered { answer, .. }, .. }) = &mut self.entries[place] {
            if let Some((_, bytes)) = answer.take() {
                self.bytes -= bytes;
                self.tally.iter().for_each(|(_, tally)| tally.remove_bytes(bytes));
                self.counts.shrunk += 1;
            }
        }
        self.list(place);
    }

    /// Room for an answer of so many bytes: older ones shrink for it.
    fn make_bytes(&mut self, bytes: usize) -> bool {
        if bytes > self.bounds.answer_bytes {
            return false;
        }
        while !match &self.tally {
            Some((_, tally)) => tally.add_bytes(bytes, self.bounds.answer_bytes),
            None => self.bytes + bytes <= self.bounds.answer_bytes,
        } {
            let Some(&(_, place)) = self.spare.answers.first() else { return false };
            self.shrink(place);
        }
        true
    }

    /// Room for one more key of a tenant: what can go of its own, where it has as many as it may; else of anybody's.
    /// Markers and the like go before whole answers do.
    fn make_room(&mut self, tenant: Option<u32>) -> Result<(), Cause> {
        if let Some((me, tally)) = self.tally.clone() {
            while let Err(cause) = tally.add(tenant, &self.bounds) {
                let own = self.tenants.get(&tenant).and_then(|own| first(&own.spare));
                let place = if cause == Cause::Tenant { own } else { first(&self.spare) };
                match place {
                    Some(place) => self.evict(place),
                    None if cause == Cause::Entries => self.claims.push(tally.claim(me).ok_or(cause)?),
                    None => return Err(cause),
                }
            }
            return Ok(());
        }
        let own = self.tenants.get(&tenant);
        if own.map_or(0, |own| own.entries) >= self.bounds.entries_a_tenant {
            let place = own.and_then(|own| first(&own.spare)).ok_or(Cause::Tenant)?;
            self.evict(place);
        }
        if self.places.len() >= self.bounds.entries {
            let place = first(&self.spare).ok_or(Cause::Entries)?;
            self.evict(place);
        }
        Ok(())
    }

    fn evict(&mut self, place: usize) {
        self.remove(place);
        self.counts.evicted += 1;
    }
}
