//! The memory of the process: how its limit is divided ([`MemoryPlan`]), and leases on what requests and responses hold
//! ([`MemoryBudget`]).
//!
//! What each connection needs in any case is bounded by the number of connections, which the plan limits too. What goes
//! beyond it, large bodies and heads with many fields, is leased before it is read and given back when the last copy is
//! dropped.

mod budget;
mod plan;

pub use budget::{MemoryBudget, MemoryLease, Purpose};
pub use plan::MemoryPlan;
