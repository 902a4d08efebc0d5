//! Faults planted on purpose, so that whoever checks the rules can be checked. Without the feature `mutants` none can be
//! asked for, and nothing here costs anything.

/// A planted fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mutant {
    /// An attempt that broke after it was written counts as one that never ran: the module sends it again.
    RepeatsWritten,
    /// One in 40 answers goes to another open call's caller, and that call's to this one's.
    MixesCallers,
    /// The list is taken in 1.2 s late where it says that a host drains.
    DrainsLate,
    /// One in 10 refusals and failures never reaches its caller.
    LosesAnswers,
}

/// Whether a fault is planted on this thread.
#[cfg(not(feature = "mutants"))]
#[inline(always)]
pub(crate) const fn is_planted(_: Mutant) -> bool {
    false
}

#[cfg(feature = "mutants")]
pub use planted::plant;
#[cfg(feature = "mutants")]
pub(crate) use planted::{is_planted, nth};

/// Whether this is one in so many; none without the feature.
#[cfg(not(feature = "mutants"))]
#[inline(always)]
pub(crate) const fn nth(_: u32) -> bool {
    false
}

#[cfg(feature = "mutants")]
mod planted {
    use super::Mutant;
    use std::cell::Cell;

    thread_local! {
        static PLANTED: Cell<Option<Mutant>> = const { Cell::new(None) };
        static COUNT: Cell<u32> = const { Cell::new(0) };
    }

    /// Plants a fault on this thread, in the place of the one before; its count starts anew.
    pub fn plant(mutant: Option<Mutant>) {
        PLANTED.set(mutant);
        COUNT.set(0);
    }

    pub(crate) fn is_planted(mutant: Mutant) -> bool {
        PLANTED.get() == Some(mutant)
    }

    pub(crate) fn nth(of: u32) -> bool {
        COUNT.set(COUNT.get().wrapping_add(1));
        COUNT.get().is_multiple_of(of)
    }
}
