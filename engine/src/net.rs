//! Abstraction over the operating system's network and wall clock.
//!
//! By default streams and listeners are TCP and the wall clock is the system's. With the feature `virtual-net`, a
//! thread may [`enter`] a simulated network: its streams, connection attempts and wall clock are then provided by an
//! implementation of `Network`. In both cases elapsed time is tokio's, which a test can pause, and tasks run on the
//! [`tokio::task::LocalSet`] that polls them.

use bytes::BufMut;
use std::future::Future;
use std::io::{self, IoSlice, Read};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{ready, Context, Poll, Waker};
use std::time::{Duration, SystemTime};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

#[cfg(feature = "virtual-net")]
pub use virtual_net::{enter, ConnectFuture, EnterGuard, Network, VirtualListener, VirtualStream};

/// Maximum number of bytes of one read. hyper enlarges the buffer of a connection when a read fills it, which has 8 KiB.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// A bidirectional byte stream to a peer.
#[derive(Debug)]
pub enum Stream {
    /// A TCP stream of the operating system.
    Tcp(TcpStream),
    /// A stream of a virtual network.
    #[cfg(feature = "virtual-net")]
    Virtual(Box<dyn VirtualStream>),
}

impl From<TcpStream> for Stream {
    fn from(stream: TcpStream) -> Stream {
        Stream::Tcp(stream)
    }
}

impl Stream {
    /// Connects to `address`. No timeout is applied here.
    ///
    /// # Errors
    ///
    /// The error of the operating system or of the virtual network.
    pub async fn connect(address: SocketAddr) -> io::Result<Stream> {
        #[cfg(feature = "virtual-net")]
        if let Some(dialing) = virtual_net::network().map(|network| network.connect(address)) {
            return Ok(Stream::Virtual(dialing.await?));
        }
        TcpStream::connect(address).await.map(Stream::Tcp)
    }

    /// Disables Nagle's algorithm (`TCP_NODELAY`), so that small writes are sent at once.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn set_nodelay(&self) -> io::Result<()> {
        match self {
            Stream::Tcp(stream) => stream.set_nodelay(true),
            #[cfg(feature = "virtual-net")]
            Stream::Virtual(_) => Ok(()),
        }
    }

    /// Whether there is nothing to read, neither data nor end of stream nor an error. Makes a system call.
    pub fn has_no_pending_input(&self) -> bool {
        match self {
            Stream::Tcp(stream) => {
                let mut byte = [std::mem::MaybeUninit::uninit()];
                let peeked = socket2::SockRef::from(stream).peek(&mut byte);
                peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
            }
            #[cfg(feature = "virtual-net")]
            Stream::Virtual(stream) => stream.has_no_pending_input(),
        }
    }
}

impl Stream {
    /// Reads what has arrived, without waiting and without a wake-up when there is more.
    ///
    /// # Errors
    ///
    /// Nothing has arrived (`WouldBlock`), or the error of the operating system.
    pub fn read_arrived(&self, buffer: &mut [u8]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => (&*socket2::SockRef::from(stream)).read(buffer),
            #[cfg(feature = "virtual-net")]
            Stream::Virtual(_) => Err(io::ErrorKind::WouldBlock.into()),
        }
    }

    /// Whether the peer has closed its sending side or the connection has broken, even if data it sent before is still
    /// unread. Reads nothing.
    pub fn is_closed_by_peer(&self) -> bool {
        match self {
            Stream::Tcp(stream) => {
                let mut ready = std::pin::pin!(stream.ready(Interest::READABLE));
                let ready = ready.as_mut().poll(&mut Context::from_waker(Waker::noop()));
                matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
            }
            #[cfg(feature = "virtual-net")]
            Stream::Virtual(stream) => stream.is_closed_by_peer(),
        }
    }
}

/// Reads whatever is available. Tokio's `poll_read` takes a short read as proof that the socket is drained and waits
/// for a readiness event that may never come, but a read may be short for other reasons. Here only `EWOULDBLOCK`
/// counts as drained.
fn read_until_blocked(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match stream.try_read_buf(&mut buffer.limit(MAX_READ_BYTES)) {
            Err(error) if should_retry(&error) => {}
            read => return Poll::Ready(read.map(drop)),
        }
    }
}

/// Writes as much as the socket accepts. As with reads, a short write does not prove that the send buffer is full.
fn write_until_blocked(
    stream: &TcpStream,
    context: &mut Context<'_>,
    bytes: &[u8],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match stream.try_write(bytes) {
            Err(error) if should_retry(&error) => {}
            written => return Poll::Ready(written),
        }
    }
}

/// As [`write_until_blocked`], from several buffers.
fn write_vectored_until_blocked(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffers: &[IoSlice<'_>],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match stream.try_write_vectored(buffers) {
            Err(error) if should_retry(&error) => {}
            written => return Poll::Ready(written),
        }
    }
}

/// Whether to repeat the system call: at once if it was interrupted, or once the socket is ready.
fn should_retry(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Evaluates `$body` with a pinned reference to the underlying stream, whichever variant it is.
macro_rules! with_stream {
    ($stream:expr, $io:ident => $body:expr) => {
        match $stream.get_mut() {
            Stream::Tcp($io) => {
                let $io = Pin::new($io);
                $body
            }
            #[cfg(feature = "virtual-net")]
            Stream::Virtual($io) => {
                let $io = Pin::new(&mut **$io);
                $body
            }
        }
    };
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(stream) => read_until_blocked(stream, context, buffer),
            #[cfg(feature = "virtual-net")]
            Stream::Virtual(stream) => Pin::new(&mut **stream).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Tcp(stream) => write_until_blocked(stream, context, bytes),
            #[cfg(feature = "virtual-net")]
            Stream::Virtual(stream) => Pin::new(&mut **stream).poll_write(context, bytes),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Tcp(stream) => write_vectored_until_blocked(stream, context, buffers),
            #[cfg(feature = "virtual-net")]
            Stream::Virtual(stream) => Pin::new(&mut **stream).poll_write_vectored(context, buffers),
        }
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            Stream::Tcp(_) => true,
            #[cfg(feature = "virtual-net")]
            Stream::Virtual(stream) => stream.is_write_vectored(),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        with_stream!(self, io => io.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        with_stream!(self, io => io.poll_shutdown(context))
    }
}

/// A listener for incoming connections.
#[derive(Debug)]
pub enum Listener {
    /// A TCP listener of the operating system.
    Tcp(TcpListener),
    /// A listener of a virtual network.
    #[cfg(feature = "virtual-net")]
    Virtual(Box<dyn VirtualListener>),
}

impl From<TcpListener> for Listener {
    fn from(listener: TcpListener) -> Listener {
        Listener::Tcp(listener)
    }
}

impl Listener {
    /// Accepts the next connection. Cancel safe: no connection is lost if the future is dropped before it is ready.
    ///
    /// # Errors
    ///
    /// The error of the operating system or of the virtual network.
    pub async fn accept(&self) -> io::Result<Stream> {
        match self {
            Listener::Tcp(listener) => listener.accept().await.map(|(stream, _)| Stream::Tcp(stream)),
            #[cfg(feature = "virtual-net")]
            Listener::Virtual(listener) => {
                std::future::poll_fn(|context| listener.poll_accept(context)).await.map(Stream::Virtual)
            }
        }
    }
}

/// The wall clock as Unix time: the time since 1970-01-01 00:00 UTC.
pub(crate) fn unix_time() -> Duration {
    #[cfg(feature = "virtual-net")]
    if let Some(network) = virtual_net::network() {
        return network.unix_time();
    }
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}

#[cfg(feature = "virtual-net")]
mod virtual_net {
    use std::cell::RefCell;
    use std::fmt::Debug;
    use std::future::Future;
    use std::io;
    use std::net::SocketAddr;
    use std::pin::Pin;
    use std::rc::Rc;
    use std::task::{Context, Poll};
    use std::time::Duration;
    use tokio::io::{AsyncRead, AsyncWrite};

    /// A stream of a virtual network. Dropping it closes it.
    pub trait VirtualStream: AsyncRead + AsyncWrite + Unpin + Debug {
        /// Whether there is nothing to read, neither data nor end of stream nor an error.
        fn has_no_pending_input(&self) -> bool;

        /// Whether the peer has closed its sending side or the connection has broken, even if data is still unread.
        fn is_closed_by_peer(&self) -> bool;
    }

    /// A listener of a virtual network.
    pub trait VirtualListener: Debug {
        /// Polls for the next incoming connection.
        fn poll_accept(&self, context: &mut Context<'_>) -> Poll<io::Result<Box<dyn VirtualStream>>>;
    }

    /// A pending connection attempt.
    pub type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<Box<dyn VirtualStream>>>>>;

    /// A virtual network as seen by one of its nodes.
    pub trait Network {
        /// Starts to connect to `address`.
        fn connect(&self, address: SocketAddr) -> ConnectFuture;

        /// This node's wall clock as Unix time.
        fn unix_time(&self) -> Duration;
    }

    thread_local! {
        static NETWORK: RefCell<Option<Rc<dyn Network>>> = const { RefCell::new(None) };
    }

    /// Makes this thread use `network` until the returned guard is dropped, which restores the previous one.
    #[must_use]
    pub fn enter(network: Rc<dyn Network>) -> EnterGuard {
        EnterGuard(NETWORK.with(|current| current.borrow_mut().replace(network)))
    }

    /// Restores the network that the thread used before [`enter`] when it is dropped.
    pub struct EnterGuard(Option<Rc<dyn Network>>);

    impl Drop for EnterGuard {
        fn drop(&mut self) {
            let previous = self.0.take();
            NETWORK.with(|current| *current.borrow_mut() = previous);
        }
    }

    pub(super) fn network() -> Option<Rc<dyn Network>> {
        NETWORK.with(|current| current.borrow().clone())
    }
}
