//! The count of open connections to hosts.

use crate::quota::ConnectionPermit;
use std::rc::Rc;

/// Counts one open connection for its engine and for the process until it is dropped.
#[derive(Debug)]
pub struct Slot {
    _engine_count: Rc<()>,
    _permit: ConnectionPermit,
}

impl Slot {
    /// A slot that holds a reference to `engine_count`, whose references are the engine's open connections.
    pub fn new(engine_count: &Rc<()>, permit: ConnectionPermit) -> Slot {
        Slot { _engine_count: engine_count.clone(), _permit: permit }
    }

    #[cfg(test)]
    pub fn for_test() -> Slot {
        let permit = crate::quota::Quota::default().acquire(crate::quota::Side::Hosts, 1);
        Slot::new(&Rc::default(), permit.expect("none is open"))
    }
}
