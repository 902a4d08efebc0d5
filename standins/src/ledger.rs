//! What hosts have done: rule 2 is about effects, and answers do not tell of them.

use crate::message::Message;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A request that took effect.
#[derive(Clone, Debug)]
pub struct Effect {
    /// At which host.
    pub host: String,
    /// The set of hosts that drop each other's repeats.
    pub pod: u32,
    /// Its `X-Call-Id`.
    pub call: String,
    /// Its `Idempotency-Key`, where it has one.
    pub key: Option<String>,
    /// Whether it can do harm to run it duplicates: anything but a GET.
    pub unsafe_method: bool,
    /// When.
    pub at: Instant,
}

/// An effect that was had duplicates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DuplicateEffect {
    /// A call without a key ran more than once.
    Call(String),
    /// A key ran in more than one pod, or again past the window in which its pod drops repeats.
    Key(String),
}

/// The effects at all hosts that share this ledger; clones are the same one. It grows with every effect: it is for
/// tests and measurements, which end.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<LedgerState>>);

#[derive(Clone, Debug, Default)]
struct LedgerState {
    effects: Vec<Effect>,
    /// Keys to which an answer was given, and when.
    answers: Vec<(String, Instant)>,
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a host has run a request.
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

    /// Notes that a host gives a whole answer to a request, whoever may still listen.
    pub fn record_answer(&self, message: &Message) {
        if let Some(key) = message.header("idempotency-key") {
            self.lock().answers.push((key.to_owned(), Instant::now()));
        }
    }

    /// The answers so far to requests with a key, and when each was given.
    pub fn answers(&self) -> Vec<(String, Instant)> {
        self.lock().answers.clone()
    }

    /// All effects so far, in their order.
    pub fn effects(&self) -> Vec<Effect> {
        self.lock().effects.clone()
    }

    /// How often each key ran, wherever.
    pub fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for key in self.lock().effects.iter().filter_map(|effect| effect.key.clone()) {
            *runs.entry(key).or_default() += 1;
        }
        runs
    }

    /// How many effects there are so far.
    pub fn len(&self) -> usize {
        self.lock().effects.len()
    }

    /// Whether nothing has taken effect.
    pub fn is_empty(&self) -> bool {
        self.lock().effects.is_empty()
    }

    /// Which effects were had duplicates, where pods drop repeats of a key for `window` from its first run.
    pub fn duplicates(&self, window: Duration) -> Vec<DuplicateEffect> {
        let effects = &self.lock().effects;
        let mut calls: BTreeMap<&str, usize> = BTreeMap::new();
        let mut keys: BTreeMap<&str, (u32, Instant, bool)> = BTreeMap::new();
        for effect in effects.iter().filter(|effect| effect.unsafe_method) {
            match &effect.key {
                None => *calls.entry(&effect.call).or_default() += 1,
                Some(key) => {
                    let (pod, first, duplicates) = keys.entry(key).or_insert((effect.pod, effect.at, false));
                    *duplicates |= *pod != effect.pod || effect.at > *first + window;
                }
            }
        }
        let calls = calls
            .into_iter()
            .filter(|(_, count)| *count > 1)
            .map(|(call, _)| DuplicateEffect::Call(call.into()));
        let keys = keys
            .into_iter()
            .filter(|(_, (.., duplicates))| *duplicates)
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
    fn a_repeat_counts_by_its_kind() {
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
    fn a_key_that_runs_again_past_its_window_ran_twice() {
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
