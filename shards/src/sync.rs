//! Atomics: those of the standard library, or those of the model checker if the crate is built for it (feature `loom`).

#[cfg(not(feature = "loom"))]
pub(crate) use std::sync::atomic::{AtomicI64, AtomicU32, AtomicU64, AtomicU8, Ordering};

#[cfg(feature = "loom")]
pub(crate) use loom::sync::atomic::{AtomicI64, AtomicU32, AtomicU64, AtomicU8, Ordering};
