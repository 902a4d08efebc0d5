//! Leases on a bounded number of bytes. All engines of a process share one budget.

use super::MemoryPlan;
use hyper::body::Bytes;
use std::fmt;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// What memory is leased for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Requests of clients, from their heads until their calls have ended.
    Requests,
    /// Responses of hosts, until they are written to their clients.
    Responses,
}

/// The bytes of one purpose.
#[derive(Debug)]
struct Pool {
    /// One permit a byte.
    free: Arc<Semaphore>,
    limit: usize,
    /// The most bytes that were leased at once.
    peak: AtomicUsize,
    /// Bytes that are waited for.
    awaited: AtomicUsize,
    /// Leases that were given up, or refused at once.
    refused: AtomicU64,
}

impl Pool {
    fn new(limit: usize) -> Pool {
        // A lease is counted in 32 bits.
        let limit = limit.min(u32::MAX as usize).min(Semaphore::MAX_PERMITS);
        let free = Arc::new(Semaphore::new(limit));
        let (peak, awaited, refused) = Default::default();
        Pool { free, limit, peak, awaited, refused }
    }

    fn leased(&self) -> usize {
        self.limit - self.free.available_permits().min(self.limit)
    }

    /// The number of permits for this many bytes. More than all there are can't be leased.
    fn permits(&self, bytes: usize) -> u32 {
        u32::try_from(bytes.min(self.limit)).unwrap_or(u32::MAX)
    }

    fn lease(&self, permit: OwnedSemaphorePermit) -> MemoryLease {
        self.peak.fetch_max(self.leased(), Ordering::Relaxed);
        MemoryLease(permit)
    }
}

/// Counts bytes as awaited until it is dropped.
struct Awaited<'a>(&'a Pool, usize);

impl<'a> Awaited<'a> {
    fn new(pool: &'a Pool, bytes: usize) -> Awaited<'a> {
        pool.awaited.fetch_add(bytes, Ordering::Relaxed);
        Awaited(pool, bytes)
    }
}

impl Drop for Awaited<'_> {
    fn drop(&mut self) {
        self.0.awaited.fetch_sub(self.1, Ordering::Relaxed);
    }
}

/// The bytes that large requests and responses may hold. Clones share them.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<[Pool; 2]>);

impl MemoryBudget {
    /// The budget of a plan, with nothing leased.
    pub fn new(plan: &MemoryPlan) -> MemoryBudget {
        MemoryBudget(Arc::new([Pool::new(plan.requests), Pool::new(plan.responses)]))
    }

    fn pool(&self, purpose: Purpose) -> &Pool {
        match purpose {
            Purpose::Requests => &self.0[0],
            Purpose::Responses => &self.0[1],
        }
    }

    /// Leases this many bytes, if they are free.
    pub fn try_lease(&self, purpose: Purpose, bytes: usize) -> Option<MemoryLease> {
        let pool = self.pool(purpose);
        let permit = pool.free.clone().try_acquire_many_owned(pool.permits(bytes));
        permit.ok().map(|permit| pool.lease(permit))
    }

    /// Leases this many bytes as soon as they are free, in the order of the calls. Dropping the future gives up.
    pub async fn lease(&self, purpose: Purpose, bytes: usize) -> MemoryLease {
        if let Some(lease) = self.try_lease(purpose, bytes) {
            return lease;
        }
        let pool = self.pool(purpose);
        let _awaited = Awaited::new(pool, bytes);
        match pool.free.clone().acquire_many_owned(pool.permits(bytes)).await {
            Ok(permit) => pool.lease(permit),
            Err(_) => unreachable!("the semaphore is never closed"),
        }
    }

    /// Bytes that are waited for and not free.
    pub fn awaited(&self, purpose: Purpose) -> usize {
        self.pool(purpose).awaited.load(Ordering::Relaxed)
    }

    /// Counts a request or response that was given up for lack of memory.
    pub fn count_refusal(&self, purpose: Purpose) {
        self.pool(purpose).refused.fetch_add(1, Ordering::Relaxed);
    }

    /// The number of bytes that are leased now.
    pub fn leased(&self, purpose: Purpose) -> usize {
        self.pool(purpose).leased()
    }
}

impl fmt::Display for MemoryBudget {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = [(Purpose::Requests, "large requests"), (Purpose::Responses, "large responses")];
        for (index, (purpose, name)) in names.into_iter().enumerate() {
            let pool = self.pool(purpose);
            let separator = if index > 0 { ", " } else { "" };
            let [leased, peak, limit] =
                [pool.leased(), pool.peak.load(Ordering::Relaxed), pool.limit].map(|bytes| bytes / 1_000);
            let refused = pool.refused.load(Ordering::Relaxed);
            write!(out, "{separator}{name}: {leased} kB, peak {peak} of {limit} kB, {refused} refused")?;
        }
        Ok(())
    }
}

/// Leased bytes, given back on drop.
#[derive(Debug)]
pub struct MemoryLease(OwnedSemaphorePermit);

impl MemoryLease {
    /// The number of leased bytes.
    pub fn bytes(&self) -> usize {
        self.0.num_permits()
    }

    /// Gives back all but this many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes().saturating_sub(bytes);
        drop(self.0.split(surplus));
    }

    /// These bytes with the lease, which ends when the last copy of them is dropped.
    pub fn attach_to(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(LeasedBytes { bytes, _lease: self })
    }
}

struct LeasedBytes {
    bytes: Bytes,
    _lease: MemoryLease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::future::Future;
    use std::pin::pin;
    use std::task::{Context, Poll, Waker};

    fn budget(requests: usize) -> MemoryBudget {
        let plan = MemoryPlan::for_megabytes(32.0).expect("enough");
        MemoryBudget::new(&MemoryPlan { requests, ..plan })
    }

    fn poll<T>(future: std::pin::Pin<&mut impl Future<Output = T>>) -> Option<T> {
        match future.poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(value) => Some(value),
            Poll::Pending => None,
        }
    }

    #[test]
    fn leases_are_within_the_limit_and_return_to_zero() {
        let (budget, clone) = (budget(100), budget(100));
        assert!(clone.try_lease(Purpose::Requests, 100).is_some());
        let mut first = budget.try_lease(Purpose::Requests, 60).expect("free");
        assert!(budget.try_lease(Purpose::Requests, 41).is_none());
        assert!(budget.try_lease(Purpose::Responses, 41).is_some(), "another purpose");
        first.shrink_to(10);
        let second = budget.clone().try_lease(Purpose::Requests, 90).expect("given back");
        assert_eq!((first.bytes(), second.bytes(), budget.leased(Purpose::Requests)), (10, 90, 100));
        drop((first, second));
        assert_eq!(budget.leased(Purpose::Requests), 0);
    }

    #[test]
    fn a_lease_ends_with_the_last_copy_of_its_bytes() {
        let budget = budget(100);
        let lease = budget.try_lease(Purpose::Requests, 30).expect("free");
        let bytes = lease.attach_to(Bytes::from_static(b"body"));
        let copy = bytes.slice(1..);
        drop(bytes);
        assert_eq!((&copy[..], budget.leased(Purpose::Requests)), (&b"ody"[..], 30));
        drop(copy);
        assert_eq!(budget.leased(Purpose::Requests), 0);
    }

    #[test]
    fn waiting_is_counted_served_in_order_and_can_be_given_up() {
        let budget = budget(100);
        let held = budget.try_lease(Purpose::Requests, 100).expect("free");
        let mut large = pin!(budget.lease(Purpose::Requests, 80));
        let mut given_up = Box::pin(budget.lease(Purpose::Requests, 30));
        let mut small = pin!(budget.lease(Purpose::Requests, 20));
        assert!(poll(large.as_mut()).is_none());
        assert!(poll(given_up.as_mut()).is_none());
        assert!(poll(small.as_mut()).is_none());
        assert_eq!(budget.awaited(Purpose::Requests), 130);
        drop(given_up);
        assert_eq!(budget.awaited(Purpose::Requests), 100);
        drop(held);
        let leases = (poll(large.as_mut()).expect("free"), poll(small.as_mut()).expect("free"));
        assert_eq!((budget.awaited(Purpose::Requests), budget.leased(Purpose::Requests)), (0, 100));
        drop(leases);
    }

    /// More than all there is can't be waited for; it takes all.
    #[test]
    fn a_lease_over_the_limit_takes_all() {
        let budget = budget(100);
        assert_eq!(budget.try_lease(Purpose::Requests, 1_000).expect("free").bytes(), 100);
    }
}
