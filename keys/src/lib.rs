//! A bounded store of idempotency keys. It recognises a repeat of a request while the first is running or has just
//! ended, and says what the repeat gets: the first's answer, a place beside those who wait for it, the first's
//! failure, or the first's place.
//!
//! It does no I/O and reads no clock: every call is given the present moment, in microseconds of any clock that does
//! not go back. Whoever drives it carries out what it says, and tells it how the running call ended.
//!
//! ```
//! use nettleworks_keys::{Arrival, Bounds, End, Kind, Request, Store};
//!
//! let mut store: Store<&str> = Store::new(7, Bounds::default());
//! let request = Request { tenant: None, class: 0, kind: Kind::Unsafe, key: b"k1", digest: store.digest(&[b"POST"]) };
//! let Arrival::First(slot) = store.arrive(0, &request, 1, 900) else { unreachable!() };
//! // A repeat waits with the first, and both get its answer.
//! assert!(matches!(store.arrive(10, &request, 2, 900), Arrival::Joined { .. }));
//! let ended = store.ended(20, slot, End::Served { answer: "paid", bytes: 4 });
//! assert_eq!(ended.waiters, [1, 2]);
//! assert_eq!(store.arrive(30, &request, 3, 900), Arrival::Replay("paid"));
//! ```
//!
//! The source of the behaviour is the IETF draft *The Idempotency-Key HTTP Header Field* (section 2.6: a key with
//! another payload is an error, 422; a repeat after completion gets the result of the original), with the departures
//! that `docs/design-keys.md` names.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bounds;
mod inspect;
mod linger;
mod store;
mod tally;

pub use bounds::{Bounds, Retention};
pub use inspect::{mask, Filter, Page, Settled, Unsettled, View};
pub use linger::{LingerBounds, Lingering};
pub use store::{
    Arrival, BadSlot, Cause, Counts, Digest, End, Ended, KeyState, Kind, Known, Left, Micros, Request, Slot,
    Store, Verdict, WaiterId,
};
pub use tally::{Sharer, Tally};
