//! A stream shared between hyper's connection task and the owner of the connection. The owner can close it at once
//! whatever that task does, can check for unread input, and observes reads and writes.

use crate::memory::MemoryBudget;
use crate::meter::Meter;
use crate::net::Stream;
use crate::observed_stream::{ObservedStream, ReadObserver};
use crate::read_ahead::{ReadAhead, StreamEnd};
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// Writes of up to this many bytes in several buffers are made from one.
const JOINED_WRITE_BYTES: usize = 1 << 10;

/// The stream, in the form that hyper uses.
type ObservedIo = TokioIo<ObservedStream<Rc<Reads>>>;

/// Counts the bytes that are read from a stream, and passes them to another observer.
#[derive(Default)]
struct Reads {
    byte_count: Cell<u64>,
    observer: Option<Rc<dyn ReadObserver>>,
}

impl ReadObserver for Rc<Reads> {
    fn on_read(&self, bytes: &[u8]) {
        self.byte_count.set(self.byte_count.get() + bytes.len() as u64);
        if let Some(observer) = &self.observer {
            observer.on_read(bytes);
        }
    }
}

impl fmt::Debug for Reads {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reads").field("byte_count", &self.byte_count).finish_non_exhaustive()
    }
}

/// The state that all clones of a [`Socket`] share.
#[derive(Debug)]
struct Inner {
    /// `None` after the owner has closed the socket.
    io: RefCell<Option<ObservedIo>>,
    /// Counts the bytes written for the attempt that uses the connection now, and may forbid writing them.
    meter: RefCell<Meter>,
    reads: Rc<Reads>,
    /// Input that comes before what is read from the stream.
    read_ahead: RefCell<ReadAhead>,
    /// Whether the owner sends requests, to which input is the response.
    request_begun: Cell<bool>,
    early_input: Cell<bool>,
    read_count: Cell<u64>,
    write_blocked: Cell<bool>,
    last_read_at: Cell<Instant>,
}

/// A shared stream. Clones refer to the same stream.
#[derive(Clone, Debug)]
pub struct Socket(Rc<Inner>);

impl Socket {
    /// Wraps a stream.
    pub fn new(stream: impl Into<Stream>) -> Socket {
        Socket::with_reads(stream.into(), Reads::default())
    }

    /// Wraps a stream whose input is reported to `observer`.
    pub fn observed(stream: impl Into<Stream>, observer: Rc<dyn ReadObserver>) -> Socket {
        Socket::with_reads(stream.into(), Reads { observer: Some(observer), ..Reads::default() })
    }

    fn with_reads(stream: Stream, reads: Reads) -> Socket {
        let reads = Rc::new(reads);
        Socket(Rc::new(Inner {
            io: RefCell::new(Some(TokioIo::new(ObservedStream::new(stream, reads.clone())))),
            meter: RefCell::default(),
            reads,
            read_ahead: RefCell::default(),
            request_begun: Cell::new(false),
            early_input: Cell::new(false),
            read_count: Cell::new(0),
            write_blocked: Cell::new(false),
            last_read_at: Cell::new(Instant::now()),
        }))
    }

    /// Closes the stream. Its file descriptor is free when this returns, whereas an aborted task holds its own until it
    /// is dropped.
    pub fn close(&self) {
        self.0.io.borrow_mut().take();
    }

    /// Begins a request to the peer: uses `meter` for all bytes written from now on, and writes none of them if there is
    /// any input before, which the peer cannot have sent in response.
    pub fn begin_request(&self, meter: &Meter) {
        self.0.meter.replace(meter.clone());
        self.0.request_begun.set(true);
        self.0.early_input.set(false);
    }

    /// Whether input was read between the first and the last byte written for the request.
    pub fn had_early_input(&self) -> bool {
        self.0.early_input.get()
    }

    /// The number of completed reads; a read of the end of the stream counts.
    pub fn read_count(&self) -> u64 {
        self.0.read_count.get()
    }

    /// The number of bytes read.
    pub fn bytes_read(&self) -> u64 {
        self.0.reads.byte_count.get()
    }

    /// When a read last completed; before the first read, when the socket was created.
    pub fn last_read_at(&self) -> Instant {
        self.0.last_read_at.get()
    }

    /// Reads what the peer has sent; 0 at the end of the stream, or if the owner has closed the socket.
    ///
    /// # Errors
    ///
    /// The error of the operating system or of the virtual network.
    pub async fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut buffer = ReadBuf::new(buffer);
        let mut socket = self.clone();
        poll_fn(|context| Pin::new(&mut socket).poll_read(context, buffer.unfilled())).await?;
        Ok(buffer.filled().len())
    }

    /// Whether the socket is open and there is nothing to read, not even the end of the stream. Makes a system call,
    /// since input that arrived after the stream's task was last polled is visible nowhere else.
    pub fn has_no_pending_input(&self) -> bool {
        self.0.read_ahead.borrow().is_empty()
            && self.0.io.borrow().as_ref().is_some_and(|io| io.inner().stream().has_no_pending_input())
    }

    /// Reads what has arrived before it is asked for, as far as `memory` and a bound allow, to see whether the peer has
    /// closed the stream behind it. Makes system calls.
    pub fn read_ahead(&self, memory: &MemoryBudget) -> StreamEnd {
        let io = self.0.io.borrow();
        let Some(io) = io.as_ref() else { return StreamEnd::Reached };
        self.0.read_ahead.borrow_mut().fill(memory, |buffer| io.inner().read_arrived(buffer))
    }

    /// Whether the peer has closed the stream, the connection has broken, or the owner has closed the socket, even if
    /// data is still unread.
    pub fn is_closed_by_peer(&self) -> bool {
        self.0.io.borrow().as_ref().is_none_or(|io| io.inner().stream().is_closed_by_peer())
    }

    /// Whether the last write is pending because the peer does not read.
    pub fn is_write_blocked(&self) -> bool {
        self.0.write_blocked.get()
    }
}

impl Read for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut io = self.0.io.borrow_mut();
        // A socket closed by its owner reads as end of stream.
        let Some(io) = io.as_mut() else { return Poll::Ready(Ok(())) };
        let mut read_ahead = self.0.read_ahead.borrow_mut();
        let read = if read_ahead.is_empty() {
            Pin::new(io).poll_read(context, buffer)
        } else {
            read_ahead.take(buffer.remaining(), |bytes| buffer.put_slice(bytes));
            Poll::Ready(Ok(()))
        };
        if read.is_ready() {
            self.0.read_count.set(self.0.read_count.get() + 1);
            self.0.last_read_at.set(Instant::now());
            let is_early = self.0.request_begun.get() && !self.0.meter.borrow().is_fully_written();
            self.0.early_input.set(self.0.early_input.get() || is_early);
        }
        read
    }
}

impl Socket {
    /// Writes with `write`, unless nothing may be written for the request.
    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut ObservedIo>, &mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let mut io = self.0.io.borrow_mut();
        if self.0.meter.borrow().must_wait_for_list() {
            // The list update that the write waits for is read by this thread or is on its way to it: poll again.
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let write_is_forbidden =
            |meter: &Meter| meter.is_revoked() || meter.is_past_write_deadline() || meter.list_has_expired();
        let is_first_write = self.0.request_begun.get() && self.0.meter.borrow().bytes() == 0;
        let must_not_write = |io: &ObservedIo| {
            let has_early_input = is_first_write && !io.inner().stream().has_no_pending_input();
            has_early_input || write_is_forbidden(&self.0.meter.borrow())
        };
        let open = io.as_mut().filter(|io| !must_not_write(io));
        let Some(io) = open else { return Poll::Ready(Err(io::ErrorKind::NotConnected.into())) };
        let written = write(Pin::new(io), context);
        self.0.write_blocked.set(written.is_pending());
        if let Poll::Ready(Ok(count)) = written {
            self.0.meter.borrow().record_written(count);
        }
        written
    }
}

impl Write for Socket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |io, context| io.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let length: usize = buffers.iter().map(|buffer| buffer.len()).sum();
        if length > JOINED_WRITE_BYTES {
            return self.poll_write_with(context, |io, context| io.poll_write_vectored(context, buffers));
        }
        // Joining what is small is cheaper than a vectored system call.
        let mut joined = [0; JOINED_WRITE_BYTES];
        let mut end = 0;
        for buffer in buffers {
            joined[end..end + buffer.len()].copy_from_slice(buffer);
            end += buffer.len();
        }
        self.poll_write_with(context, |io, context| io.poll_write(context, &joined[..end]))
    }

    /// Where it is, hyper writes a body from where it is and keeps no copy.
    fn is_write_vectored(&self) -> bool {
        self.0.io.borrow().as_ref().is_some_and(Write::is_write_vectored)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut io = self.0.io.borrow_mut();
        let Some(io) = io.as_mut() else { return Poll::Ready(Ok(())) };
        let flushed = Pin::new(io).poll_flush(context);
        // hyper flushes after it has written all that it has encoded.
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.0.meter.borrow().record_flush();
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut io = self.0.io.borrow_mut();
        io.as_mut().map_or(Poll::Ready(Ok(())), |io| Pin::new(io).poll_shutdown(context))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Write as _;
    use tokio::net::TcpStream;

    /// Surplus bytes after a response may arrive on an idle connection whose task has not been polled since. They must
    /// still be detected, or they would be parsed as the next response.
    #[test]
    fn pending_input_is_detected_without_polling_the_stream() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let local =
            std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
        let (mut peer, _) = listener.accept().expect("accepted");
        local.set_nonblocking(true).expect("nonblocking");
        let _inside = runtime.enter();
        let socket = Socket::new(TcpStream::from_std(local).expect("a stream"));
        assert!(socket.has_no_pending_input());
        peer.write_all(b"x").expect("written");
        assert!(!socket.has_no_pending_input());
        socket.close();
        assert!(!socket.has_no_pending_input());
        assert!(
            std::io::Read::read(&mut peer, &mut [0]).is_ok_and(|n| n == 0) || peer.write_all(b"y").is_err()
        );
    }
}
