//! A bounded store of idempotency keys. It recognises a repeat of a request while the first one is running or has
//! recently ended, and decides what the repeat gets: the first request's answer, a place among the requests that wait
//! for it, the first request's failure, or a run of its own.
//!
//! The store does no I/O and reads no clock: every call passes the current time, in microseconds of any monotonic
//! clock. The caller carries out what the store decides, and reports how each running call ended.
//!
//! ```
//! use nettleworks_keys::{Admission, Bounds, ClassKind, Request, RunOutcome, Store};
//!
//! let mut store: Store<&str> = Store::new(7, Bounds::default());
//! let digest = store.digest(&[b"POST"]);
//! let request = Request { tenant: None, class: 0, kind: ClassKind::Unsafe, key: b"k1", digest };
//! let Admission::First(run_id) = store.admit(0, &request, 1, 900) else { unreachable!() };
//! // A repeat waits with the first request, and both get its answer.
//! assert!(matches!(store.admit(10, &request, 2, 900), Admission::Joined { .. }));
//! let completion = store.complete(20, run_id, RunOutcome::Served { answer: "paid", bytes: 4 });
//! assert_eq!(completion.waiters, [1, 2]);
//! assert_eq!(store.admit(30, &request, 3, 900), Admission::Replay("paid"));
//! ```
//!
//! The behaviour follows the IETF draft *The Idempotency-Key HTTP Header Field* (section 2.6: a key with another
//! payload is an error, 422; a repeat after completion gets the result of the original), with the departures that
//! `docs/design-keys.md` lists.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bounds;
mod detached;
mod inspect;
mod shared_usage;
mod store;

pub use bounds::{Bounds, Retention};
pub use detached::{DetachedBounds, DetachedCalls};
pub use inspect::{mask, KeyFilter, KeyPage, KeyView, SettleError, Settlement};
pub use shared_usage::{SharedUsage, StoreId};
pub use store::{
    Admission, ClassKind, Completion, Counts, Digest, FullBound, InvalidRunId, KeyInfo, KeyState, Micros,
    Removal, Request, RunId, RunOutcome, Store, Verdict, WaiterId,
};
