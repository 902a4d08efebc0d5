//! Connections of the whole process, whose bounds are one however many engines it has.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// What connections lead to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Clients, that connect to the process.
    Clients,
    /// Hosts.
    Hosts,
}

#[derive(Debug, Default)]
struct Open {
    clients: AtomicUsize,
    hosts: AtomicUsize,
    short: AtomicBool,
}

impl Open {
    fn count(&self, side: Side) -> &AtomicUsize {
        match side {
            Side::Clients => &self.clients,
            Side::Hosts => &self.hosts,
        }
    }
}

/// How many connections are open; clones count together.
#[derive(Clone, Debug, Default)]
pub struct Quota(Arc<Open>);

impl Quota {
    /// How many are open.
    pub fn open(&self, side: Side) -> usize {
        self.0.count(side).load(Ordering::Relaxed)
    }

    /// A place for one more, unless `most` are open.
    pub fn place(&self, side: Side, most: usize) -> Option<Counted> {
        let more = |open: usize| (open < most).then_some(open + 1);
        self.0.count(side).fetch_update(Ordering::Relaxed, Ordering::Relaxed, more).ok()?;
        Some(Counted(self.0.clone(), side))
    }

    /// One engine has nothing left to close for a connection that it needs: the others are to close some.
    pub fn is_short(&self) {
        self.0.short.store(true, Ordering::Relaxed);
    }

    /// Whether one has said so since this was last asked.
    pub fn was_short(&self) -> bool {
        self.0.short.load(Ordering::Relaxed) && self.0.short.swap(false, Ordering::Relaxed)
    }
}

/// An open connection's count. It ends with this.
#[derive(Debug)]
pub struct Counted(Arc<Open>, Side);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.count(self.1).fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_bound_is_one_for_all() {
        let quota = Quota::default();
        let other = quota.clone();
        let held: Vec<_> = (0..2).filter_map(|_| quota.place(Side::Hosts, 3)).collect();
        let theirs = other.place(Side::Hosts, 3);
        assert!(theirs.is_some() && quota.place(Side::Hosts, 3).is_none());
        assert!(quota.place(Side::Clients, 1).is_some());
        drop(held);
        assert_eq!((other.open(Side::Hosts), other.open(Side::Clients)), (1, 0));
        quota.is_short();
        assert!(other.was_short() && !other.was_short());
    }
}
