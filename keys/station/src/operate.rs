//! What an operator may do with keys.

use crate::KeyStation;
use nettleworks_engine::driver::Handle;
use nettleworks_engine::protocol::Protocol;
use nettleworks_keys::{Filter, Page, Settled, Slot, Unsettled, Verdict, View};
use std::time::Duration;

/// What an operator may do with keys. `None` comes back where there is no store.
pub trait Operate {
    /// A part of the keys that pass a filter, and where the next part begins.
    fn keys_page(&self, filter: &Filter, from: usize, most: usize) -> Option<Page>;

    /// One key; `None` also where that run of it is not known.
    fn keys_view(&self, slot: Slot) -> Option<View>;

    /// Settles an unsure key by hand; the log says who did it and why.
    ///
    /// # Errors
    /// As [`nettleworks_keys::Store::settle`].
    fn keys_settle(
        &self,
        slot: Slot,
        verdict: Verdict,
        who: &str,
        why: &str,
    ) -> Option<Result<Settled, Unsettled>>;
}

impl<P: Protocol> Operate for Handle<P> {
    fn keys_page(&self, filter: &Filter, from: usize, most: usize) -> Option<Page> {
        self.with_interceptor(|keys: &mut KeyStation<P>, desk| {
            keys.store.page(desk.now(), filter, from, most)
        })
    }

    fn keys_view(&self, slot: Slot) -> Option<View> {
        self.with_interceptor(|keys: &mut KeyStation<P>, desk| keys.store.view(desk.now(), slot)).flatten()
    }

    fn keys_settle(
        &self,
        slot: Slot,
        verdict: Verdict,
        who: &str,
        why: &str,
    ) -> Option<Result<Settled, Unsettled>> {
        self.with_interceptor(|keys: &mut KeyStation<P>, desk| {
            let out = keys.late.values().any(|late| *late == slot);
            let done = keys.store.settle(desk.now(), slot, verdict, out);
            let said = match &done {
                Ok(settled) => {
                    let View { key, class, tenant, age, .. } = &settled.before;
                    let age = Duration::from_micros(*age);
                    let said = verdict.state().name();
                    format!(
                        "settled by hand as {said}: key {key} of class {class}, tenant {tenant:?}, {age:.1?} old"
                    )
                }
                Err(error) => format!("not settled by hand: {error}"),
            };
            // What somebody typed is shown as one line, whatever it holds.
            desk.log(&format!("keys: {slot} {said}; by {who:?}, because {why:?}"));
            done
        })
    }
}
