//! A ledger of the requests that took effect at hosts. Whether a request took effect twice can't be seen from
//! answers, so tests count effects here.

use crate::message::Message;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A request that took effect.
#[derive(Clone, Debug)]
pub struct Effect {
    /// The name of the host that ran the request.
    pub host: String,
    /// The pod of the host: hosts of one pod drop each other's repeats of a key.
    pub pod: u32,
    /// The call id, from `X-Call-Id`; empty without one.
    pub call: String,
    /// The idempotency key, if the request has one.
    pub key: Option<String>,
    /// Whether running the request twice can do harm: true for any method but GET.
    pub unsafe_method: bool,
    /// When the host ran the request.
    pub at: Instant,
}

/// A request that took effect twice although it must not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DuplicateEffect {
    /// A call without a key ran more than once; its call id.
    Call(String),
    /// A key ran in more than one pod, or again after the window in which its pod drops repeats.
    Key(String),
}

impl DuplicateEffect {
    /// Whether the effect is one of this request's.
    pub fn is(&self, effect: &Effect) -> bool {
        match self {
            DuplicateEffect::Call(call) => effect.call == *call,
            DuplicateEffect::Key(key) => effect.key.as_ref() == Some(key),
        }
    }
}

/// The effects at all hosts that share this ledger; clones are the same ledger. It grows with every effect, so it is
/// only for tests and measurements, which end.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<LedgerState>>);

#[derive(Clone, Debug, Default)]
struct LedgerState {
    effects: Vec<Effect>,
    /// The keys of answered requests, and when each was answered.
    answers: Vec<(String, Instant)>,
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a host has run a request.
    pub fn record(&self, host: &str, pod: u32, message: &Message) {
        let text = |name| message.header(name).map(str::to_owned);
        self.lock().effects.push(Effect {
            host: host.to_owned(),
            pod,
            call: text("x-call-id").unwrap_or_default(),
            key: text("idempotency-key"),
            unsafe_method: !message.first.starts_with("GET "),
            at: Instant::now(),
        });
    }

    /// Records that a host sends a complete answer to a request, whether or not the client still waits. Requests
    /// without a key are ignored.
    pub fn record_answer(&self, message: &Message) {
        if let Some(key) = message.header("idempotency-key") {
            self.lock().answers.push((key.to_owned(), Instant::now()));
        }
    }

    /// The keys of all answered requests so far, and when each was answered.
    pub fn answers(&self) -> Vec<(String, Instant)> {
        self.lock().answers.clone()
    }

    /// All effects so far, in the order in which they were recorded.
    pub fn effects(&self) -> Vec<Effect> {
        self.lock().effects.clone()
    }

    /// How often each key ran, at all hosts together.
    pub fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for key in self.lock().effects.iter().filter_map(|effect| effect.key.clone()) {
            *runs.entry(key).or_default() += 1;
        }
        runs
    }

    /// The number of effects so far.
    pub fn len(&self) -> usize {
        self.lock().effects.len()
    }

    /// Whether no request has taken effect.
    pub fn is_empty(&self) -> bool {
        self.lock().effects.is_empty()
    }

    /// The requests that took effect twice although they must not. A pod drops repeats of a key for `window` after
    /// its first run, so a repeat in the same pod within that time does not count.
    pub fn duplicates(&self, window: Duration) -> Vec<DuplicateEffect> {
        let effects = &self.lock().effects;
        let mut calls: BTreeMap<&str, usize> = BTreeMap::new();
        let mut keys: BTreeMap<&str, (u32, Instant, bool)> = BTreeMap::new();
        for effect in effects.iter().filter(|effect| effect.unsafe_method) {
            match &effect.key {
                None => *calls.entry(&effect.call).or_default() += 1,
                Some(key) => {
                    let (pod, first, is_duplicate) =
                        keys.entry(key).or_insert((effect.pod, effect.at, false));
                    *is_duplicate |= *pod != effect.pod || effect.at > *first + window;
                }
            }
        }
        let calls = calls
            .into_iter()
            .filter(|(_, count)| *count > 1)
            .map(|(call, _)| DuplicateEffect::Call(call.into()));
        let keys = keys
            .into_iter()
            .filter(|(_, (.., is_duplicate))| *is_duplicate)
            .map(|(key, _)| DuplicateEffect::Key(key.into()));
        calls.chain(keys).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn message(method: &str, call: &str, key: Option<&str>) -> Message {
        let mut headers = vec![("x-call-id".to_owned(), call.to_owned())];
        headers.extend(key.map(|key| ("idempotency-key".to_owned(), key.to_owned())));
        Message { first: format!("{method} /api HTTP/1.1"), headers, body: Vec::new() }
    }

    #[test]
    fn duplicates_depend_on_method_key_and_pod() {
        let ledger = Ledger::default();
        let window = Duration::from_secs(60);
        for _ in 0..2 {
            ledger.record("a", 1, &message("GET", "free", None));
            ledger.record("a", 1, &message("POST", "same-pod", Some("k1")));
        }
        assert_eq!(ledger.duplicates(window), []);
        ledger.record("a", 1, &message("POST", "c", None));
        ledger.record("b", 2, &message("POST", "c", None));
        ledger.record("b", 2, &message("POST", "other-pod", Some("k1")));
        assert_eq!(
            ledger.duplicates(window),
            [DuplicateEffect::Call("c".into()), DuplicateEffect::Key("k1".into())]
        );
        assert_eq!(ledger.len(), 7);
    }

    #[test]
    fn a_key_that_runs_again_after_its_window_is_a_duplicate() {
        let ledger = Ledger::default();
        ledger.record("a", 1, &message("POST", "1", Some("k")));
        ledger.record("a", 1, &message("POST", "2", Some("k")));
        let apart = ledger.effects()[1].at - ledger.effects()[0].at;
        assert_eq!(ledger.duplicates(apart), []);
        if !apart.is_zero() {
            assert_eq!(ledger.duplicates(apart / 2), [DuplicateEffect::Key("k".into())]);
        }
    }
}
