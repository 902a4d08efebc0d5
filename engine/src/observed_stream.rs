//! A stream that reports how many bytes each read returned.

use crate::net::Stream;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Is told what is read from an [`ObservedStream`].
pub trait ReadObserver {
    /// Called after each poll of a read, with the bytes that it returned.
    fn on_read(&self, bytes: &[u8]);
}

/// A stream whose reads are reported to an observer.
#[derive(Debug)]
pub struct ObservedStream<O> {
    stream: Stream,
    observer: O,
}

impl<O> ObservedStream<O> {
    /// Reports to `observer` what is read from `stream`.
    pub fn new(stream: Stream, observer: O) -> ObservedStream<O> {
        ObservedStream { stream, observer }
    }

    /// Reads what has arrived, as [`Stream::read_arrived`].
    pub fn read_arrived(&self, buffer: &mut [u8]) -> io::Result<usize>
    where
        O: ReadObserver,
    {
        let count = self.stream.read_arrived(buffer)?;
        self.observer.on_read(&buffer[..count]);
        Ok(count)
    }

    /// The underlying stream.
    pub fn stream(&self) -> &Stream {
        &self.stream
    }
}

impl<O: ReadObserver + Unpin> AsyncRead for ObservedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.observer.on_read(&buffer.filled()[before..]);
        read
    }
}

impl<O: ReadObserver + Unpin> AsyncWrite for ObservedStream<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
