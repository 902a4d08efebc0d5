//! Deliberate faults, as in mutation testing, that show whether the checks of the engine's guarantees detect them.
//! Without the feature `mutants` none can be activated, and this module costs nothing.

/// A deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mutant {
    /// An attempt whose connection broke after it was written is reported as one that never ran, so that the decision
    /// module retries it.
    RetriesWritten,
    /// One in 40 answers is swapped with that of another open call.
    SwapsAnswers,
    /// A list in which a host drains is applied 1.2 s late.
    DelaysDrains,
    /// One in 10 refusals and failures never reaches its caller.
    DropsAnswers,
}

/// Whether a mutant is active on this thread.
#[cfg(not(feature = "mutants"))]
#[inline(always)]
pub(crate) const fn is_active(_: Mutant) -> bool {
    false
}

#[cfg(feature = "mutants")]
pub use active::activate;
#[cfg(feature = "mutants")]
pub(crate) use active::{is_active, nth};

/// Counts this call and returns whether the count is a multiple of the argument. Always `false` without the feature.
#[cfg(not(feature = "mutants"))]
#[inline(always)]
pub(crate) const fn nth(_: u32) -> bool {
    false
}

#[cfg(feature = "mutants")]
mod active {
    use super::Mutant;
    use std::cell::Cell;

    thread_local! {
        static ACTIVE: Cell<Option<Mutant>> = const { Cell::new(None) };
        static COUNT: Cell<u32> = const { Cell::new(0) };
    }

    /// Activates a mutant on this thread in place of the previous one, and restarts its count.
    pub fn activate(mutant: Option<Mutant>) {
        ACTIVE.set(mutant);
        COUNT.set(0);
    }

    pub(crate) fn is_active(mutant: Mutant) -> bool {
        ACTIVE.get() == Some(mutant)
    }

    pub(crate) fn nth(interval: u32) -> bool {
        COUNT.set(COUNT.get().wrapping_add(1));
        COUNT.get().is_multiple_of(interval)
    }
}
