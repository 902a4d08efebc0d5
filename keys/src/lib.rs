//! A bounded store of idempotency keys. It recognises a repeat of a request while the first is running or has just
//! ended, and says what the repeat gets: the first's answer, a place beside those who wait for it, the first's
//! failure, or the first's place.
//!
//! It does no I/O and reads no clock: every call is given the present moment, in microseconds of any clock that does
//! not go back. Whoever drives it carries out what it says, and tells it how the running call ended.
//!
//! ```
//! use nettleworks_keys::{Admission, Bounds, ClassKind, Request, RunOutcome, Store};
//!
//! let mut store: Store<&str> = Store::new(7, Bounds::default());
//! let digest = store.digest(&[b"POST"]);
//! let request = Request { tenant: None, class: 0, kind: ClassKind::Unsafe, key: b"k1", digest };
//! let Admission::First(run_id) = store.admit(0, &request, 1, 900) else { unreachable!() };
//! // A repeat waits with the first, and both get its answer.
//! assert!(matches!(store.admit(10, &request, 2, 900), Admission::Joined { .. }));
//! let completion = store.complete(20, run_id, RunOutcome::Served { answer: "paid", bytes: 4 });
//! assert_eq!(completion.waiters, [1, 2]);
//! assert_eq!(store.admit(30, &request, 3, 900), Admission::Replay("paid"));
//! ```
//!
//! The source of the behaviour is the IETF draft *The Idempotency-Key HTTP Header Field* (section 2.6: a key with
//! another payload is an error, 422; a repeat after completion gets the result of the original), with the departures
//! that `docs/design-keys.md` names.
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
