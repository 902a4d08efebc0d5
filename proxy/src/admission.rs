//! Memory for requests: large ones wait for it or are refused.

use hyper::body::Body;
use hyper::header::HeaderMap;
use nettleworks_engine::memory::{MemoryBudget, MemoryLease, Purpose};
use std::time::Duration;
use tokio::time::timeout;

/// How long a large request waits for memory that other requests hold.
const MEMORY_TIMEOUT: Duration = Duration::from_millis(150);
/// What requests that need no lease hold at most, in bytes.
const UNLEASED_REQUEST_BYTES: usize = 8 << 10;
/// What a parsed header field takes beside its text, in bytes.
const FIELD_BYTES: usize = 136;

/// The memory for a request is held by others.
#[derive(Clone, Copy, Debug)]
pub struct OutOfMemory;

/// What a request holds until its call has ended, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct RequestSize {
    /// Its head, which has been read, and the copy of the head for an attempt.
    head: usize,
    /// Its body, by the length that it states.
    body: usize,
}

impl RequestSize {
    /// The size of a request with this head and a body that has not been read.
    pub fn of(headers: &HeaderMap, body: &impl Body) -> RequestSize {
        let text: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        let body = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        RequestSize { head: text + 2 * headers.len() * FIELD_BYTES, body }
    }

    /// The lease of a large request; `None` for one that fits into what each connection may hold. Where other requests
    /// hold the memory, it is waited for, but not with a large head in hand.
    ///
    /// # Errors
    ///
    /// Other requests hold the memory.
    pub async fn lease(self, memory: &MemoryBudget) -> Result<Option<MemoryLease>, OutOfMemory> {
        let bytes = self.head.saturating_add(self.body);
        if bytes <= UNLEASED_REQUEST_BYTES {
            return Ok(None);
        }
        let lease = match memory.try_lease(Purpose::Requests, bytes) {
            None if self.head <= UNLEASED_REQUEST_BYTES => {
                timeout(MEMORY_TIMEOUT, memory.lease(Purpose::Requests, bytes)).await.ok()
            }
            lease => lease,
        };
        if lease.is_none() {
            memory.count_refusal(Purpose::Requests);
        }
        lease.map(Some).ok_or(OutOfMemory)
    }
}
