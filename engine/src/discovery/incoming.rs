//! What has come on a connection to discovery, whether or not it is whole enough to be passed on.

use crate::net::Stream;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What has come on one connection.
#[derive(Debug, Default)]
pub(super) struct Incoming {
    bytes: Cell<u64>,
}

impl Incoming {
    /// How many bytes have come.
    pub fn bytes(&self) -> u64 {
        self.bytes.get()
    }

    fn came(&self, count: usize) {
        self.bytes.set(self.bytes.get() + count as u64);
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
