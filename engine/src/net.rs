//! The seam to the system: streams, listeners and the wall clock. A build for the daemon knows TCP and the system's
//! clock alone, and the types here are theirs. With the feature `virtual-net` a thread may [`enter`] a network of its
//! own: streams, connecting and the wall clock are then that network's. Time that passes is tokio's in both, which can
//! be paused; tasks are those of the [`tokio::task::LocalSet`] that polls.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{ready, Context, Poll, Waker};
use std::time::{Duration, SystemTime};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

#[cfg(feature = "virtual-net")]
pub use virtual_net::{enter, ConnectFuture, EnterGuard, Network, VirtualListener, VirtualStream};

/// A stream of bytes to the other side.
#[derive(Debug)]
pub enum Stream {
    /// The system's.
    Tcp(TcpStream),
    /// Another network's.
    #[cfg(feature = "virtual-net")]
    Virtual(Box<dyn VirtualStream>),
}

impl From<TcpStream> for Stream {
    fn from(stream: TcpStream) -> Stream {
        Stream::Tcp(stream)
    }
}

impl Stream {
    /// Connects, without a time-out of its own.
    ///
    /// # Errors
    ///
    /// What the system says, or the network.
    pub async fn connect(address: SocketAddr) -> io::Result<Stream> {
        #[cfg(feature = "virtual-net")]
        if let Some(dialing) = virtual_net::network().map(|network| network.connect(address)) {
            return Ok(Stream::Virtual(dialing.await?));
        }
        TcpStream::connect(address).await.map(Stream::Tcp)
    }

    /// Sends small pieces at once (`TCP_NODELAY`).
    ///
    /// # Errors
    ///
    /// What the system says.
    pub fn set_nodelay(&self) -> io::Result<()> {
        match self {
            Stream::Tcp(stream) => stream.set_nodelay(true),
            #[cfg(feature = "virtual-net")]
            Stream::Virtual(_) => Ok(()),
        }
    }

    /// Whether nothing waits to be read, not even the end. This asks the system.
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
    /// Whether the other side has ended its sending or the connection has broken, however much it sent before. Nobody
    /// reads on to find it out.
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

/// Reads what there is. The runtime's own reading takes a read of less than was asked for as proof that nothing is left,
/// and waits for an event that may never come; a read may be short for other reasons. Here only the system's word
/// (`EWOULDBLOCK`) counts.
fn read_until_blocked(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match stream.try_read_buf(buffer) {
            Err(error) if should_retry(&error) => {}
            read => return Poll::Ready(read.map(drop)),
        }
    }
}

/// Writes what there is room for. As with reading, a short write does not prove that there is no more room.
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

/// Whether the call is to be made again: at once, or when the system says that it may go on.
fn should_retry(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Does the same with whichever stream it is.
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

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        with_stream!(self, io => io.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        with_stream!(self, io => io.poll_shutdown(context))
    }
}

/// Where connections come in.
#[derive(Debug)]
pub enum Listener {
    /// The system's.
    Tcp(TcpListener),
    /// Another network's.
    #[cfg(feature = "virtual-net")]
    Virtual(Box<dyn VirtualListener>),
}

impl From<TcpListener> for Listener {
    fn from(listener: TcpListener) -> Listener {
        Listener::Tcp(listener)
    }
}

impl Listener {
    /// The next connection. Dropped before it is ready, it has taken none.
    ///
    /// # Errors
    ///
    /// What the system says.
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

/// The wall clock: since the start of 1970, by UTC.
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

    /// A stream of a network that is not the system's. Dropped, it is closed.
    pub trait VirtualStream: AsyncRead + AsyncWrite + Unpin + Debug {
        /// Whether nothing waits to be read, not even the end.
        fn has_no_pending_input(&self) -> bool;

        /// Whether the other side has ended its sending or the connection has broken, whatever waits to be read.
        fn is_closed_by_peer(&self) -> bool;
    }

    /// A listener of such a network.
    pub trait VirtualListener: Debug {
        /// The next connection.
        fn poll_accept(&self, context: &mut Context<'_>) -> Poll<io::Result<Box<dyn VirtualStream>>>;
    }

    /// A connection that is being opened.
    pub type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<Box<dyn VirtualStream>>>>>;

    /// The network as one of its nodes has it.
    pub trait Network {
        /// Connects to an address.
        fn connect(&self, address: SocketAddr) -> ConnectFuture;

        /// This node's wall clock: since the start of 1970.
        fn unix_time(&self) -> Duration;
    }

    thread_local! {
        static NETWORK: RefCell<Option<Rc<dyn Network>>> = const { RefCell::new(None) };
    }

    /// What runs on this thread uses this network until the guard is dropped; then what it used before.
    #[must_use]
    pub fn enter(network: Rc<dyn Network>) -> EnterGuard {
        EnterGuard(NETWORK.with(|current| current.borrow_mut().replace(network)))
    }

    /// A thread's stay in a network.
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
