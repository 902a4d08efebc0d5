//! Atomics: the standard library's, or the model checker's where the crate is built for it (feature `loom`).

#[cfg(not(feature = "loom"))]
pub(crate) use std::sync::atomic::{AtomicI64, AtomicU32, AtomicU64, AtomicU8, Ordering};

#[cfg(feature = "loom")]
pub(crate) use loom::sync::atomic::{AtomicI64, AtomicU32, AtomicU64, AtomicU8, Ordering};
