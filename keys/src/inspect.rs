//! What an operator sees of the store, and the one thing that may be changed in it by hand: a key of which nobody knows
//! whether it ran.

use crate::store::{KeyState, Kind, Micros, Slot, State, Store, Verdict};
use std::fmt;

/// A key, without what of it is secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Which run of it.
    pub slot: Slot,
    /// Whose it is.
    pub tenant: Option<u32>,
    /// Its class.
    pub class: u32,
    /// The class's kind.
    pub kind: Kind,
    /// The key, masked.
    pub key: String,
    /// What it is at.
    pub state: KeyState,
    /// How long ago its first request came.
    pub age: Micros,
    /// For how long it is remembered yet; `None`: until its call ends.
    pub left: Option<Micros>,
    /// How many wait for its call.
    pub waiters: usize,
    /// Bytes of its answer.
    pub answer_bytes: usize,
}

/// Which keys are asked for. What is `None` says nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Those at this.
    pub state: Option<KeyState>,
    /// Those of this class.
    pub class: Option<u32>,
    /// Those of this tenant.
    pub tenant: Option<u32>,
    /// Those whose first request came this long ago or longer.
    pub older: Micros,
    /// This very key.
    pub key: Option<Vec<u8>>,
}

/// A part of the keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Those that were asked for, in no order.
    pub keys: Vec<View>,
    /// Where the next page begins; `None`: this was the last.
    pub next: Option<usize>,
}

/// A key that was settled by hand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settled {
    /// As it was before.
    pub before: View,
    /// For how long the verdict is remembered.
    pub until: Micros,
}

/// Why a key was not settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unsettled {
    /// No such run: it has ended and been forgotten, or its key has run again.
    Unknown,
    /// It is not unsure but at this; somebody else may have been first.
    Is(KeyState),
    /// An attempt of it is still out, so that nobody can say that it never ran.
    Out,
}

impl fmt::Display for Unsettled {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unsettled::Unknown => out.write_str("no such key, or another run of it"),
            Unsettled::Is(state) => write!(out, "it is not unsure, but {}", state.name()),
            Unsettled::Out => out.write_str("an attempt of it is still out: it may run yet"),
        }
    }
}

impl std::error::Error for Unsettled {}

/// A key with what is secret of it hidden: of a long one its first four and last two characters show, of a short one
/// its length alone. What cannot be shown is a dot.
pub fn mask(key: &[u8]) -> String {
    let shown = |part: &[u8]| -> String {
        part.iter().map(|&byte| if byte.is_ascii_graphic() { char::from(byte) } else { '.' }).collect()
    };
    match key.len() {
        len @ 0..12 => format!("({len})"),
        len => format!("{}..{}({len})", shown(&key[..4]), shown(&key[len - 2..])),
    }
}

impl<A: Clone> Store<A> {
    fn view_at(&self, now: Micros, place: usize) -> Option<View> {
        let entry = self.entries.get(place)?.as_ref().filter(|_| !self.has_ended(now, place))?;
        let (waiters, answer_bytes) = match &entry.state {
            State::Running { waiters, .. } => (waiters.len(), 0),
            State::Answered { answer: Some((_, bytes)), .. } => (0, *bytes),
            _ => (0, 0),
        };
        Some(View {
            slot: Slot { place, serial: entry.serial },
            tenant: entry.key.tenant,
            class: entry.key.class,
            kind: entry.kind,
            key: mask(&entry.key.key),
            state: entry.at(),
            age: now.saturating_sub(entry.came),
            left: self.until(place).map(|until| until.saturating_sub(now)),
            waiters,
            answer_bytes,
        })
    }

    /// One key; `None`: that run is not known any more.
    pub fn view(&self, now: Micros, slot: Slot) -> Option<View> {
        self.view_at(now, slot.place).filter(|view| view.slot == slot)
    }

    /// Keys that pass a filter, among the `most` places from `from` on (0 at first): the walk over all may be long,
    /// and other work is to have its turn between two pages. What comes and goes between them may be missed.
    pub fn page(&self, now: Micros, filter: &Filter, from: usize, most: usize) -> Page {
        let end = from.saturating_add(most.max(1)).min(self.entries.len());
        let is = |place: usize| {
            let key = self.entries[place].as_ref().map(|entry| &entry.key);
            let same = |wanted: &Vec<u8>| key.is_some_and(|key| *key.key == **wanted);
            filter.key.as_ref().is_none_or(same)
        };
        let passes = |view: &View| {
            filter.state.is_none_or(|state| state == view.state)
                && filter.class.is_none_or(|class| class == view.class)
                && filter.tenant.is_none_or(|tenant| Some(tenant) == view.tenant)
                && view.age >= filter.older
        };
        let places = (from.min(end)..end).filter(|&place| is(place));
        let keys = places.filter_map(|place| self.view_at(now, place)).filter(passes).collect();
        Page { keys, next: Some(end).filter(|end| *end < self.entries.len()) }
    }

    /// Somebody says by hand whether an unsure key ran. It is remembered for as long as an unsure end of its class is.
    /// An answer that comes all the same holds against it. `out`: an attempt of it is still out.
    ///
    /// # Errors
    /// It is not unsure: of two who settle one key the second gets this. Or it is said never to have run and may yet.
    pub fn settle(
        &mut self,
        now: Micros,
        slot: Slot,
        verdict: Verdict,
        out: bool,
    ) -> Result<Settled, Unsettled> {
        let before = self.view(now, slot).ok_or(Unsettled::Unknown)?;
        if before.state != KeyState::Unsure {
            return Err(Unsettled::Is(before.state));
        }
        if out && verdict == Verdict::NeverRan {
            return Err(Unsettled::Out);
        }
        self.unlist(slot.place);
        let until = now.saturating_add(self.retention(slot.place).unsure);
        self.set(slot.place, State::Settled { until, verdict });
        self.list(slot.place);
        self.counts_mut().settled += 1;
        Ok(Settled { before, until: until - now })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Arrival, Bounds, End, Known, Request};

    const HOUR: Micros = 3_600_000_000;

    fn arrive(store: &mut Store<u32>, now: Micros, key: &[u8]) -> Arrival<u32> {
        let digest = store.digest(&[key]);
        let request = Request { tenant: Some(1), class: 0, kind: Kind::Unsafe, key, digest };
        store.arrive(now, &request, now, now + 10)
    }

    fn unsure(store: &mut Store<u32>, now: Micros, key: &[u8]) -> Slot {
        let Arrival::First(slot) = arrive(store, now, key) else { panic!("a first") };
        store.ended(now + 1, slot, End::Unsure);
        slot
    }

    #[test]
    fn what_is_secret_of_a_key_does_not_show() {
        for (key, shown) in [
            (&b""[..], "(0)"),
            (b"secret", "(6)"),
            (b"0123456789a", "(11)"),
            (b"abcdefghijkl", "abcd..kl(12)"),
            (b"a\n\xffdefghij\x1bl", "a..d...l(12)"),
        ] {
            assert_eq!(mask(key), shown);
        }
    }

    #[test]
    fn a_key_settled_by_hand_is_so_until_its_answer_comes() {
        let mut store = Store::new(1, Bounds::default());
        let (ran, never, late) =
            (unsure(&mut store, 0, b"ran"), unsure(&mut store, 0, b"never"), unsure(&mut store, 0, b"late"));
        assert_eq!(
            store.settle(HOUR, ran, Verdict::Ran, false).map(|settled| settled.before.state),
            Ok(KeyState::Unsure)
        );
        // Two settle one key at once: the second is told.
        assert_eq!(store.settle(HOUR, ran, Verdict::NeverRan, false), Err(Unsettled::Is(KeyState::Ran)));
        assert!(store.settle(HOUR, never, Verdict::NeverRan, false).is_ok());
        assert_eq!(
            arrive(&mut store, HOUR, b"ran"),
            Arrival::Known(Known { state: KeyState::Ran, age: HOUR })
        );
        let again = arrive(&mut store, HOUR, b"never");
        assert!(matches!(again, Arrival::First(slot) if slot != never), "{again:?}");
        // Its first run is another's, and can no longer be settled nor answered.
        assert_eq!(store.settle(HOUR, never, Verdict::Ran, false), Err(Unsettled::Unknown));
        assert_eq!(store.ended(HOUR, never, End::Served { answer: 9, bytes: 1 }).late, None);
        // An answer holds against a word.
        assert!(store.settle(HOUR, late, Verdict::NeverRan, false).is_ok());
        let ended = store.ended(HOUR, late, End::Served { answer: 7, bytes: 1 });
        assert_eq!(ended.late, Some(KeyState::NeverRan));
        assert_eq!(arrive(&mut store, HOUR, b"late"), Arrival::Replay(7));
        assert_eq!((store.counts().settled, store.counts().late), (3, 1));
    }

    #[test]
    fn nobody_says_of_what_is_out_that_it_never_ran() {
        let mut store = Store::new(1, Bounds::default());
        let slot = unsure(&mut store, 0, b"k");
        assert_eq!(store.settle(5, slot, Verdict::NeverRan, true), Err(Unsettled::Out));
        assert!(store.settle(5, slot, Verdict::Ran, true).is_ok());
        let Arrival::First(running) = arrive(&mut store, 5, b"other") else { panic!("a first") };
        assert_eq!(store.settle(5, running, Verdict::Ran, false), Err(Unsettled::Is(KeyState::Running)));
    }

    #[test]
    fn pages_hold_each_key_that_passes_once() {
        let mut store = Store::new(1, Bounds::default());
        let slots: Vec<Slot> =
            (0..50).map(|n| unsure(&mut store, n * 1_000, format!("key-number-{n:04}").as_bytes())).collect();
        let Arrival::First(_) = arrive(&mut store, HOUR, b"running") else { panic!("a first") };
        let all = |filter: &Filter| {
            let (mut from, mut keys) = (Some(0), Vec::new());
            while let Some(at) = from {
                let page = store.page(HOUR, filter, at, 7);
                keys.extend(page.keys);
                from = page.next;
            }
            keys
        };
        let of = |state| all(&Filter { state: Some(state), ..Filter::default() });
        assert_eq!(of(KeyState::Unsure).iter().map(|view| view.slot).collect::<Vec<_>>(), slots);
        assert_eq!(of(KeyState::Running).len(), 1);
        assert_eq!(all(&Filter { older: HOUR - 10_000, ..Filter::default() }).len(), 11);
        let one = all(&Filter { key: Some(b"key-number-0007".to_vec()), ..Filter::default() });
        assert_eq!((one.len(), &one[0].key[..]), (1, "key-..07(15)"));
        assert_eq!(store.view(HOUR, slots[7]).as_ref(), one.first());
        let far = store.page(HOUR, &Filter::default(), usize::MAX, usize::MAX);
        assert_eq!(far, Page::default());
    }
}
