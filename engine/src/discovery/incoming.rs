//! What has come on a connection to discovery, whether or not it is whole enough to be passed on.

use crate::net::Stream;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// What may follow a value without belonging to the next one: the end of its chunk.
const CHUNK_END: u64 = 2;

/// What has come on one connection.
#[derive(Debug, Default)]
pub(super) struct Incoming {
    bytes: Cell<u64>,
    first_byte: Cell<Option<Instant>>,
    /// Bytes since the last that belong to a whole value.
    unparsed: Cell<u64>,
    unparsed_since: Cell<Option<Instant>>,
}

impl Incoming {
    /// How many bytes have come.
    pub fn bytes(&self) -> u64 {
        self.bytes.get()
    }

    /// When the first of them came.
    pub fn first_byte(&self) -> Option<Instant> {
        self.first_byte.get()
    }

    /// Since when something is on its way that is not whole.
    pub fn unparsed_since(&self) -> Option<Instant> {
        self.unparsed_since.get()
    }

    /// All that has come is whole.
    pub fn parsed(&self) {
        self.unparsed.set(0);
        self.unparsed_since.set(None);
    }

    /// What is on its way may have come since this moment.
    pub fn unparsed_from(&self, moment: Instant) {
        let since = self.unparsed_since.get();
        self.unparsed_since.set(Some(since.map_or(moment, |since| since.min(moment))));
    }

    fn came(&self, count: usize) {
        if count == 0 {
            return;
        }
        let now = Instant::now();
        self.bytes.set(self.bytes.get() + count as u64);
        self.first_byte.set(self.first_byte.get().or(Some(now)));
        self.unparsed.set(self.unparsed.get() + count as u64);
        if self.unparsed.get() > CHUNK_END {
            self.unparsed_since.set(self.unparsed_since.get().or(Some(now)));
        }
    }
}

/// A stream that notes what comes on it.
#[derive(Debug)]
pub(super) struct Observed {
    stream: Stream,
    incoming: Rc<Incoming>,
}

impl Observed {
    /// Notes in `incoming` what comes on `stream`.
    pub fn new(stream: Stream, incoming: Rc<Incoming>) -> Observed {
        Observed { stream, incoming }
    }
}

impl AsyncRead for Observed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.incoming.came(buffer.filled().len() - before);
        read
    }
}

impl AsyncWrite for Observed {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_end_of_a_chunk_is_no_value_on_its_way() {
        let incoming = Incoming::default();
        incoming.came(130);
        assert!(incoming.first_byte().is_some() && incoming.unparsed_since().is_some());
        incoming.parsed();
        for _ in 0..CHUNK_END {
            incoming.came(1);
            assert_eq!(incoming.unparsed_since(), None);
        }
        incoming.came(1);
        assert!(incoming.unparsed_since().is_some(), "the size of the next chunk");
        assert_eq!(incoming.bytes(), 133);
    }
}
