//! Faults planted on purpose, so that whoever checks the rules can be checked. Without the feature `mutants` none can be
//! asked for, and nothing here costs anything.

/// A planted fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mutant {
    /// An attempt that broke after it was written counts as one that never ran: the module sends it again.
    RetriesWritten,
    /// One in 40 answers goes to another open call's caller, and that call's to this one's.
    SwapsAnswers,
    /// The list is taken in 1.2 s late where it says that a host drains.
    DelaysDrains,
    /// One in 10 refusals and failures never reaches its caller.
    DropsAnswers,
}

/// Whether a fault is planted on this thread.
#[cfg(not(feature = "mutants"))]
#[inline(always)]
pub(crate) const fn is_active(_: Mutant) -> bool {
    false
}

#[cfg(feature = "mutants")]
pub use active::activate;
#[cfg(feature = "mutants")]
pub(crate) use active::{is_active, nth};

/// Whether this is one in so many; none without the feature.
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

    /// Plants a fault on this thread, in the place of the one before; its count starts anew.
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
