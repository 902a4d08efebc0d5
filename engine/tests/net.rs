//! The network abstraction: a thread that has entered a virtual network uses it, and only it, until the guard is dropped.
#![cfg(feature = "virtual-net")]

use nettleworks_engine::net::{
    enter, ConnectFuture, Listener, Network, Stream, VirtualListener, VirtualStream,
};
use nettleworks_engine::socket::Socket;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf};

/// An in-memory pipe with a flag that says whether it has no pending input.
#[derive(Debug)]
struct Pipe(DuplexStream, Rc<Cell<bool>>);

impl AsyncRead for Pipe {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(context, buffer)
    }
}

impl AsyncWrite for Pipe {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}

impl VirtualStream for Pipe {
    fn has_no_pending_input(&self) -> bool {
        self.1.get()
    }

    fn is_closed_by_peer(&self) -> bool {
        false
    }
}

#[derive(Default)]
struct TestNetwork {
    addresses: RefCell<Vec<SocketAddr>>,
    peers: RefCell<Vec<DuplexStream>>,
    no_pending_input: Rc<Cell<bool>>,
}

impl Network for TestNetwork {
    fn connect(&self, address: SocketAddr) -> ConnectFuture {
        self.addresses.borrow_mut().push(address);
        if address.port() == 1 {
            return Box::pin(async { Err(io::ErrorKind::ConnectionRefused.into()) });
        }
        let (local, peer) = tokio::io::duplex(1_024);
        self.peers.borrow_mut().push(peer);
        let local = Pipe(local, self.no_pending_input.clone());
        Box::pin(async move { Ok(Box::new(local) as _) })
    }

    fn unix_time(&self) -> Duration {
        Duration::from_secs(7)
    }
}

#[derive(Debug)]
struct QueueListener(RefCell<VecDeque<DuplexStream>>);

impl VirtualListener for QueueListener {
    fn poll_accept(&self, _: &mut Context<'_>) -> Poll<io::Result<Box<dyn VirtualStream>>> {
        match self.0.borrow_mut().pop_front() {
            Some(stream) => Poll::Ready(Ok(Box::new(Pipe(stream, Rc::default())))),
            None => Poll::Pending,
        }
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 9, 8, 7], port))
}

#[tokio::test(flavor = "current_thread")]
async fn streams_belong_to_the_network_entered_last() {
    let (outer, inner) = (Rc::new(TestNetwork::default()), Rc::new(TestNetwork::default()));
    let entered = enter(outer.clone());
    {
        let _inside = enter(inner.clone());
        let mut stream = Stream::connect(address(80)).await.expect("connected");
        stream.set_nodelay().expect("it has no delay");
        stream.write_all(b"over").await.expect("written");
        stream.flush().await.expect("flushed");
        let mut peer = inner.peers.borrow_mut().pop().expect("the other end");
        let mut read = [0; 4];
        peer.read_exact(&mut read).await.expect("read");
        assert_eq!(&read, b"over");
        peer.write_all(b"back").await.expect("written");
        stream.read_exact(&mut read).await.expect("read");
        assert_eq!(&read, b"back");
        stream.shutdown().await.expect("ended");
        assert_eq!(peer.read(&mut read).await.expect("its end"), 0);
    }
    Stream::connect(address(81)).await.expect("connected");
    assert_eq!(*inner.addresses.borrow(), [address(80)]);
    assert_eq!(*outer.addresses.borrow(), [address(81)]);
    let refused = Stream::connect(address(1)).await.expect_err("refused");
    assert_eq!(refused.kind(), io::ErrorKind::ConnectionRefused);
    drop(entered);
    // The thread uses the operating system's network again.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let system_address = listener.local_addr().expect("an address");
    assert!(matches!(Stream::connect(system_address).await, Ok(Stream::Tcp(_))));
    assert_eq!(outer.addresses.borrow().len(), 2);
}

#[tokio::test(flavor = "current_thread")]
async fn a_virtual_stream_reports_whether_input_is_pending() {
    let net = Rc::new(TestNetwork::default());
    let _entered = enter(net.clone());
    let socket = Socket::new(Stream::connect(address(80)).await.expect("connected"));
    assert!(!socket.has_no_pending_input());
    net.no_pending_input.set(true);
    assert!(socket.has_no_pending_input());
    socket.close();
    assert!(!socket.has_no_pending_input(), "closed by its owner");
}

#[tokio::test(flavor = "current_thread")]
async fn a_virtual_listener_accepts_pending_connections_and_waits_for_more() {
    let (local, mut peer) = tokio::io::duplex(64);
    let listener = Listener::Virtual(Box::new(QueueListener(RefCell::new(VecDeque::from([local])))));
    let mut accepted = listener.accept().await.expect("one");
    peer.write_all(b"hello").await.expect("written");
    let mut read = [0; 5];
    accepted.read_exact(&mut read).await.expect("read");
    assert_eq!(&read, b"hello");
    let none = tokio::time::timeout(Duration::from_millis(1), listener.accept()).await;
    assert!(none.is_err());
}
