//! Connection counts of the whole process. The limits apply to all its engines together.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// The remote side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Clients that connect to the process.
    Clients,
    /// Hosts that the process connects to.
    Hosts,
}

#[derive(Debug, Default)]
struct Counts {
    clients: AtomicUsize,
    hosts: AtomicUsize,
    shortage: AtomicBool,
}

impl Counts {
    fn count(&self, side: Side) -> &AtomicUsize {
        match side {
            Side::Clients => &self.clients,
            Side::Hosts => &self.hosts,
        }
    }
}

/// Counts open connections; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Quota(Arc<Counts>);

impl Quota {
    /// The number of open connections.
    pub fn open(&self, side: Side) -> usize {
        self.0.count(side).load(Ordering::Relaxed)
    }

    /// Counts one more connection, unless `max` are open already.
    pub fn acquire(&self, side: Side, max: usize) -> Option<ConnectionPermit> {
        let increment = |open: usize| (open < max).then_some(open + 1);
        self.0.count(side).fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment).ok()?;
        Some(ConnectionPermit(self.0.clone(), side))
    }

    /// Reports that an engine needs a connection and has no idle one left to close, so that other engines close some.
    pub fn report_shortage(&self) {
        self.0.shortage.store(true, Ordering::Relaxed);
    }

    /// Whether a shortage was reported since the last call.
    pub fn take_shortage(&self) -> bool {
        self.0.shortage.load(Ordering::Relaxed) && self.0.shortage.swap(false, Ordering::Relaxed)
    }
}

/// Counts an open connection until it is dropped.
#[derive(Debug)]
pub struct ConnectionPermit(Arc<Counts>, Side);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.count(self.1).fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn limit_applies_to_all_clones() {
        let quota = Quota::default();
        let other = quota.clone();
        let held: Vec<_> = (0..2).filter_map(|_| quota.acquire(Side::Hosts, 3)).collect();
        let acquired_by_other = other.acquire(Side::Hosts, 3);
        assert!(acquired_by_other.is_some() && quota.acquire(Side::Hosts, 3).is_none());
        assert!(quota.acquire(Side::Clients, 1).is_some());
        drop(held);
        assert_eq!((other.open(Side::Hosts), other.open(Side::Clients)), (1, 0));
        quota.report_shortage();
        assert!(other.take_shortage() && !other.take_shortage());
    }
}
