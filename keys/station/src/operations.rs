//! Operators' actions on keys.

use crate::KeyInterceptor;
use nettleworks_engine::driver::Handle;
use nettleworks_engine::protocol::Protocol;
use nettleworks_keys::{KeyFilter, KeyPage, KeyView, RunId, SettleError, Settlement, Verdict};
use std::time::Duration;

/// Operators' actions on keys. All return `None` if there is no key store.
pub trait KeyOperations {
    /// One page of the keys that pass a filter, among `max` entries from index `from` on.
    fn keys_page(&self, filter: &KeyFilter, from: usize, max: usize) -> Option<KeyPage>;

    /// The view of one run of a key; `None` also if that run is not known.
    fn keys_view(&self, run_id: RunId) -> Option<KeyView>;

    /// Settles an unsure key. The log records who settled it and why.
    ///
    /// # Errors
    /// As [`nettleworks_keys::Store::settle`].
    fn keys_settle(
        &self,
        run_id: RunId,
        verdict: Verdict,
        who: &str,
        why: &str,
    ) -> Option<Result<Settlement, SettleError>>;
}

impl<P: Protocol> KeyOperations for Handle<P> {
    fn keys_page(&self, filter: &KeyFilter, from: usize, max: usize) -> Option<KeyPage> {
        self.with_interceptor(|keys: &mut KeyInterceptor<P>, context| {
            keys.store.page(context.now(), filter, from, max)
        })
    }

    fn keys_view(&self, run_id: RunId) -> Option<KeyView> {
        self.with_interceptor(|keys: &mut KeyInterceptor<P>, context| keys.store.view(context.now(), run_id))
            .flatten()
    }

    fn keys_settle(
        &self,
        run_id: RunId,
        verdict: Verdict,
        who: &str,
        why: &str,
    ) -> Option<Result<Settlement, SettleError>> {
        self.with_interceptor(|keys: &mut KeyInterceptor<P>, context| {
            let in_flight = keys.given_up.values().any(|given_up| *given_up == run_id);
            let result = keys.store.settle(context.now(), run_id, verdict, in_flight);
            let message = match &result {
                Ok(settlement) => {
                    let KeyView { key, class, tenant, age, .. } = &settlement.before;
                    let age = Duration::from_micros(*age);
                    let state = verdict.state().name();
                    format!(
                        "settled by hand as {state}: key {key} of class {class}, tenant {tenant:?}, {age:.1?} old"
                    )
                }
                Err(error) => format!("not settled by hand: {error}"),
            };
            // Debug format, so that text typed by an operator stays on one line.
            context.log(&format!("keys: {run_id} {message}; by {who:?}, because {why:?}"));
            result
        })
    }
}
