//! Tracks the bytes received on a connection to discovery, including those that do not form a complete value yet.

use crate::observed_stream::ReadObserver;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// Bytes that may follow a value without belonging to the next one: the CRLF that ends its chunk.
const CHUNK_END: u64 = 2;

/// What was received on one connection.
#[derive(Debug, Default)]
pub(super) struct ReceiveProgress {
    bytes: Cell<u64>,
    first_byte_at: Cell<Option<Instant>>,
    /// Bytes received since the end of the last complete value.
    unparsed_bytes: Cell<u64>,
    incomplete_since: Cell<Option<Instant>>,
}

impl ReceiveProgress {
    /// The number of bytes received.
    pub fn bytes(&self) -> u64 {
        self.bytes.get()
    }

    /// When the first byte was received.
    pub fn first_byte_at(&self) -> Option<Instant> {
        self.first_byte_at.get()
    }

    /// When the first byte of a value arrived that is still incomplete; `None` if nothing is incomplete.
    pub fn incomplete_since(&self) -> Option<Instant> {
        self.incomplete_since.get()
    }

    /// Records that everything received so far is complete.
    pub fn mark_parsed(&self) {
        self.unparsed_bytes.set(0);
        self.incomplete_since.set(None);
    }

    /// Records that the incomplete value may have begun to arrive at `moment`, if that is earlier than known so far.
    pub fn mark_incomplete_since(&self, moment: Instant) {
        let since = self.incomplete_since.get();
        self.incomplete_since.set(Some(since.map_or(moment, |since| since.min(moment))));
    }

    /// Records `count` received bytes.
    fn record(&self, count: usize) {
        if count == 0 {
            return;
        }
        let now = Instant::now();
        self.bytes.set(self.bytes.get() + count as u64);
        self.first_byte_at.set(self.first_byte_at.get().or(Some(now)));
        self.unparsed_bytes.set(self.unparsed_bytes.get() + count as u64);
        if self.unparsed_bytes.get() > CHUNK_END {
            self.incomplete_since.set(self.incomplete_since.get().or(Some(now)));
        }
    }
}

impl ReadObserver for Rc<ReceiveProgress> {
    fn on_read(&self, bytes: &[u8]) {
        self.record(bytes.len());
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_end_of_a_chunk_does_not_start_a_value() {
        let received = ReceiveProgress::default();
        received.record(130);
        assert!(received.first_byte_at().is_some() && received.incomplete_since().is_some());
        received.mark_parsed();
        for _ in 0..CHUNK_END {
            received.record(1);
            assert_eq!(received.incomplete_since(), None);
        }
        received.record(1);
        assert!(received.incomplete_since().is_some(), "the size line of the next chunk");
        assert_eq!(received.bytes(), 133);
    }
}
