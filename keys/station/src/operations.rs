//! What an operator may do with keys.

use crate::KeyInterceptor;
use nettleworks_engine::driver::Handle;
use nettleworks_engine::protocol::Protocol;
use nettleworks_keys::{KeyFilter, KeyPage, KeyView, RunId, SettleError, Settlement, Verdict};
use std::time::Duration;

/// What an operator may do with keys. `None` comes back where there is no store.
pub trait KeyOperations {
    /// A part of the keys that pass a filter, and where the next part begins.
    fn keys_page(&self, filter: &KeyFilter, from: usize, max: usize) -> Option<KeyPage>;

    /// One key; `None` also where that run of it is not known.
    fn keys_view(&self, run_id: RunId) -> Option<KeyView>;

    /// Settles an unsure key by hand; the log says who did it and why.
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
        self.station(|keys: &mut KeyInterceptor<P>, context| {
            keys.store.page(context.now(), filter, from, max)
        })
    }

    fn keys_view(&self, run_id: RunId) -> Option<KeyView> {
        self.station(|keys: &mut KeyInterceptor<P>, context| keys.store.view(context.now(), run_id)).flatten()
    }

    fn keys_settle(
        &self,
        run_id: RunId,
        verdict: Verdict,
        who: &str,
        why: &str,
    ) -> Option<Result<Settlement, SettleError>> {
        self.station(|keys: &mut KeyInterceptor<P>, context| {
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
            // What somebody typed is shown as one line, whatever it holds.
context.log(&format!("keys: {run_id} {message}; by {who:?}, because {why:?}"));
            result
        })
    }
}
