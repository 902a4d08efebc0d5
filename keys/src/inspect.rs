//! The operators' view of the store, and the one change that an operator may make: settling a key of which it is unknown
//! whether it ran.

use crate::store::{ClassKind, KeyState, Micros, RunId, State, Store, Verdict};
use std::fmt;

/// A key as operators see it, without its secret part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyView {
    /// The run of the key.
    pub run_id: RunId,
    /// The tenant of its requests.
    pub tenant: Option<u32>,
    /// The class of its requests.
    pub class: u32,
    /// The kind of that class.
    pub kind: ClassKind,
    /// The key, masked ([`mask`]).
    pub key: String,
    /// The key's state.
    pub state: KeyState,
    /// Microseconds since its first request arrived.
    pub age: Micros,
    /// Microseconds for which it is still remembered; `None` while its call is running.
    pub expires_in: Option<Micros>,
    /// Number of requests that wait for its call.
    pub waiters: usize,
    /// Size of its answer in bytes.
    pub answer_bytes: usize,
}

/// Selects keys. A condition that is `None` matches every key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyFilter {
    /// Keys in this state.
    pub state: Option<KeyState>,
    /// Keys of this class.
    pub class: Option<u32>,
    /// Keys of this tenant.
    pub tenant: Option<u32>,
    /// Keys whose first request arrived at least this many microseconds ago.
    pub min_age: Micros,
    /// Exactly this key.
    pub key: Option<Vec<u8>>,
}

/// One page of a listing of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyPage {
    /// The keys that pass the filter, in no particular order.
    pub keys: Vec<KeyView>,
    /// Where the next page begins; `None`: this was the last.
    pub next: Option<usize>,
}

/// The result of settling a key by hand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// The key as it was before.
    pub before: KeyView,
    /// Microseconds for which the verdict is remembered.
    pub remembered_for: Micros,
}

/// Why a key was not settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettleError {
    /// There is no such run: it has been forgotten, or its key has run again.
    Unknown,
    /// The key is in this state and not unsure; it may have been settled by someone else first.
    NotUnsure(KeyState),
    /// An attempt of it is still in flight, so that it can't be settled as never run.
    AttemptInFlight,
}

impl fmt::Display for SettleError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettleError::Unknown => out.write_str("no such key, or another run of it"),
            SettleError::NotUnsure(state) => write!(out, "it is not unsure, but {}", state.name()),
            SettleError::AttemptInFlight => out.write_str("an attempt of it is still out: it may run yet"),
        }
    }
}

impl std::error::Error for SettleError {}

/// Masks a key for display: a key of 12 bytes or more shows its first four and last two bytes and its length, a shorter
/// one its length alone. Bytes that are not printable ASCII show as a dot.
pub fn mask(key: &[u8]) -> String {
    let printable = |part: &[u8]| -> String {
        part.iter().map(|&byte| if byte.is_ascii_graphic() { char::from(byte) } else { '.' }).collect()
    };
    match key.len() {
        len @ 0..12 => format!("({len})"),
        len => format!("{}..{}({len})", printable(&key[..4]), printable(&key[len - 2..])),
    }
}

impl<A: Clone> Store<A> {
    fn view_at(&self, now: Micros, index: usize) -> Option<KeyView> {
        let entry = self.entries.get(index)?.as_ref().filter(|_| !self.has_expired(now, index))?;
        let (waiters, answer_bytes) = match &entry.state {
            State::Running { waiters, .. } => (waiters.len(), 0),
            State::Answered { answer: Some((_, bytes)), .. } => (0, *bytes),
            _ => (0, 0),
        };
        Some(KeyView {
            run_id: RunId { index, serial: entry.serial },
            tenant: entry.key.tenant,
            class: entry.key.class,
            kind: entry.kind,
            key: mask(&entry.key.key),
            state: entry.key_state(),
            age: now.saturating_sub(entry.first_arrival),
            expires_in: self.expires_at(index).map(|expires_at| expires_at.saturating_sub(now)),
            waiters,
            answer_bytes,
        })
    }

    /// The view of one run of a key; `None` if that run is not known any more.
    pub fn view(&self, now: Micros, run_id: RunId) -> Option<KeyView> {
        self.view_at(now, run_id.index).filter(|view| view.run_id == run_id)
    }

    /// Lists the keys that pass a filter among `max` entries from index `from` on (0 for the first page). A listing is
    /// split into pages because it may be long, and the caller has other work to do in between. Keys that are added or
    /// removed between two pages may be missing.
    pub fn page(&self, now: Micros, filter: &KeyFilter, from: usize, max: usize) -> KeyPage {
        let end = from.saturating_add(max.max(1)).min(self.entries.len());
        let has_wanted_key = |index: usize| {
            let key = self.entries[index].as_ref().map(|entry| &entry.key);
            let same = |wanted: &Vec<u8>| key.is_some_and(|key| *key.key == **wanted);
            filter.key.as_ref().is_none_or(same)
        };
        let passes = |view: &KeyView| {
            filter.state.is_none_or(|state| state == view.state)
                && filter.class.is_none_or(|class| class == view.class)
                && filter.tenant.is_none_or(|tenant| Some(tenant) == view.tenant)
                && view.age >= filter.min_age
        };
        let indexes = (from.min(end)..end).filter(|&index| has_wanted_key(index));
        let keys = indexes.filter_map(|index| self.view_at(now, index)).filter(passes).collect();
        KeyPage { keys, next: Some(end).filter(|end| *end < self.entries.len()) }
    }

    /// Settles an unsure key: an operator states whether it ran. The verdict is remembered for as long as an unsure
    /// outcome of its class. An answer that arrives later overrides it. `in_flight`: an attempt of the run is still in
    /// flight.
    ///
    /// # Errors
    /// The key is not unsure (if two operators settle one key, the second gets this error), the run is unknown, or it
    /// is settled as never run while an attempt is in flight and may still run.
    pub fn settle(
        &mut self,
        now: Micros,
        run_id: RunId,
        verdict: Verdict,
        in_flight: bool,
    ) -> Result<Settlement, SettleError> {
        let before = self.view(now, run_id).ok_or(SettleError::Unknown)?;
        if before.state != KeyState::Unsure {
            return Err(SettleError::NotUnsure(before.state));
        }
        if in_flight && verdict == Verdict::NeverRan {
            return Err(SettleError::AttemptInFlight);
        }
        self.remove_from_indexes(run_id.index);
        let expires_at = now.saturating_add(self.retention(run_id.index).unsure);
        self.set_state(run_id.index, State::Settled { expires_at, verdict });
        self.add_to_indexes(run_id.index);
        self.counts_mut().settled += 1;
        Ok(Settlement { before, remembered_for: expires_at - now })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Admission, Bounds, KeyInfo, Request, RunOutcome};

    const HOUR: Micros = 3_600_000_000;

    fn admit(store: &mut Store<u32>, now: Micros, key: &[u8]) -> Admission<u32> {
        let digest = store.digest(&[key]);
        let request = Request { tenant: Some(1), class: 0, kind: ClassKind::Unsafe, key, digest };
        store.admit(now, &request, now, now + 10)
    }

    /// Adds a key whose run ends unsure.
    fn unsure(store: &mut Store<u32>, now: Micros, key: &[u8]) -> RunId {
        let Admission::First(run_id) = admit(store, now, key) else { panic!("a first") };
        store.complete(now + 1, run_id, RunOutcome::Unsure);
        run_id
    }

    #[test]
    fn a_masked_key_shows_neither_its_middle_nor_control_bytes() {
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
    fn a_settled_key_keeps_its_verdict_until_its_answer_arrives() {
        let mut store = Store::new(1, Bounds::default());
        let (ran, never, late) =
            (unsure(&mut store, 0, b"ran"), unsure(&mut store, 0, b"never"), unsure(&mut store, 0, b"late"));
        assert_eq!(
            store.settle(HOUR, ran, Verdict::Ran, false).map(|settlement| settlement.before.state),
            Ok(KeyState::Unsure)
        );
        // If two operators settle one key, the second gets an error.
        assert_eq!(
            store.settle(HOUR, ran, Verdict::NeverRan, false),
            Err(SettleError::NotUnsure(KeyState::Ran))
        );
        assert!(store.settle(HOUR, never, Verdict::NeverRan, false).is_ok());
        assert_eq!(
            admit(&mut store, HOUR, b"ran"),
            Admission::NoAnswer(KeyInfo { state: KeyState::Ran, age: HOUR })
        );
        let again = admit(&mut store, HOUR, b"never");
        assert!(matches!(again, Admission::First(run_id) if run_id != never), "{again:?}");
        // The key has run again: its earlier run can neither be settled nor answered any more.
        assert_eq!(store.settle(HOUR, never, Verdict::Ran, false), Err(SettleError::Unknown));
        assert_eq!(store.complete(HOUR, never, RunOutcome::Served { answer: 9, bytes: 1 }).late_for, None);
        // An answer overrides an operator's verdict.
        assert!(store.settle(HOUR, late, Verdict::NeverRan, false).is_ok());
        let completion = store.complete(HOUR, late, RunOutcome::Served { answer: 7, bytes: 1 });
        assert_eq!(completion.late_for, Some(KeyState::NeverRan));
        assert_eq!(admit(&mut store, HOUR, b"late"), Admission::Replay(7));
        assert_eq!((store.counts().settled, store.counts().late), (3, 1));
    }

    #[test]
    fn a_key_with_an_attempt_in_flight_cannot_be_settled_as_never_run() {
        let mut store = Store::new(1, Bounds::default());
        let run_id = unsure(&mut store, 0, b"k");
        assert_eq!(store.settle(5, run_id, Verdict::NeverRan, true), Err(SettleError::AttemptInFlight));
        assert!(store.settle(5, run_id, Verdict::Ran, true).is_ok());
        let Admission::First(running) = admit(&mut store, 5, b"other") else { panic!("a first") };
        assert_eq!(
            store.settle(5, running, Verdict::Ran, false),
            Err(SettleError::NotUnsure(KeyState::Running))
        );
    }

    #[test]
    fn pages_list_each_key_that_passes_the_filter_once() {
        let mut store = Store::new(1, Bounds::default());
        let run_ids: Vec<RunId> =
            (0..50).map(|n| unsure(&mut store, n * 1_000, format!("key-number-{n:04}").as_bytes())).collect();
        let Admission::First(_) = admit(&mut store, HOUR, b"running") else { panic!("a first") };
        let all = |filter: &KeyFilter| {
            let (mut from, mut keys) = (Some(0), Vec::new());
            while let Some(index) = from {
                let page = store.page(HOUR, filter, index, 7);
                keys.extend(page.keys);
                from = page.next;
            }
            keys
        };
        let in_state = |state| all(&KeyFilter { state: Some(state), ..KeyFilter::default() });
        assert_eq!(in_state(KeyState::Unsure).iter().map(|view| view.run_id).collect::<Vec<_>>(), run_ids);
        assert_eq!(in_state(KeyState::Running).len(), 1);
        assert_eq!(all(&KeyFilter { min_age: HOUR - 10_000, ..KeyFilter::default() }).len(), 11);
        let one = all(&KeyFilter { key: Some(b"key-number-0007".to_vec()), ..KeyFilter::default() });
        assert_eq!((one.len(), &one[0].key[..]), (1, "key-..07(15)"));
        assert_eq!(store.view(HOUR, run_ids[7]).as_ref(), one.first());
        let past_the_end = store.page(HOUR, &KeyFilter::default(), usize::MAX, usize::MAX);
        assert_eq!(past_the_end, KeyPage::default());
    }
}
