//! A TCP relay between a proxy and a server. It can refuse, delay, silence, reset and close connections.

use crate::message::Reader;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The largest number of bytes that are forwarded at a time.
const BUFFER_BYTES: usize = 4 << 10;
/// The answer to a refused request.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// What the relay does with a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionMode {
    /// Forwards it to the target.
    Forward,
    /// Answers its request 503 after this time.
    Refuse(Duration),
    /// Answers its request 503 after this time, or at once while another request waits for its answer.
    RefuseConcurrent(Duration),
    /// Keeps it open and never answers.
    Hang,
    /// Resets it.
    Reset,
    /// Forwards it, and resets it after this number of bytes from the target.
    ResetAfter(usize),
    /// Forwards the start of its request and this number of bytes from the target; then keeps it open and forwards
    /// nothing more.
    SilentAfter(usize),
}

/// What the relay does to connections that are already open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disruption {
    None,
    /// Forwards this number of bytes more from the target; then keeps the connection open and forwards nothing more.
    SilenceAfter(usize),
    /// Resets the connection after this number of bytes more from the target.
    ResetAfter(usize),
    /// Closes the connection without a reset.
    Close,
}

/// A relay in front of one address. It forwards connections until it is given another mode. Clones are the same
/// relay.
#[derive(Clone, Debug)]
pub struct Relay {
    /// The address on which the relay listens.
    pub address: SocketAddr,
    /// The number of connections accepted so far.
    pub accepted: Rc<Cell<usize>>,
    mode: Rc<Cell<ConnectionMode>>,
    waiting: Rc<Cell<usize>>,
    disruption: Rc<RefCell<watch::Sender<Disruption>>>,
}

impl Relay {
    /// Starts a relay in front of this address.
    pub async fn start(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let relay = Relay {
            address: listener.local_addr().expect("an address"),
            accepted: Rc::default(),
            mode: Rc::new(Cell::new(ConnectionMode::Forward)),
            waiting: Rc::default(),
            disruption: Rc::new(RefCell::new(watch::Sender::new(Disruption::None))),
        };
        let serving = relay.clone();
        spawn_local(async move {
            while let Ok((client, _)) = listener.accept().await {
                serving.accepted.set(serving.accepted.get() + 1);
                let (mode, disruption) = (serving.mode.get(), serving.disruption.borrow().subscribe());
                spawn_local(serve_connection(client, target, mode, serving.waiting.clone(), disruption));
            }
        });
        relay
    }

    /// Sets what the relay does with new connections from now on.
    pub fn set_mode(&self, mode: ConnectionMode) {
        self.mode.set(mode);
    }

    /// Silences the connections that are open: they stay open, and nothing more is forwarded on them.
    pub fn silence(&self) {
        self.silence_after(0);
    }

    /// Silences the connections that are open after this number of bytes more from the target on each.
    pub fn silence_after(&self, bytes: usize) {
        self.disrupt(Disruption::SilenceAfter(bytes));
    }

    /// Resets each connection that is open after this number of bytes more from the target on it.
    pub fn reset_after(&self, bytes: usize) {
        self.disrupt(Disruption::ResetAfter(bytes));
    }

    /// Closes the connections that are open without a reset; nothing more is forwarded on them.
    pub fn close_connections(&self) {
        self.disrupt(Disruption::Close);
    }

    /// Disrupts the connections that are open now; later ones are not affected.
    fn disrupt(&self, disruption: Disruption) {
        self.disruption.replace(watch::Sender::new(Disruption::None)).send_replace(disruption);
    }
}

/// Serves a new connection in the mode that was set when it was accepted.
async fn serve_connection(
    client: TcpStream,
    target: SocketAddr,
    mode: ConnectionMode,
    waiting: Rc<Cell<usize>>,
    disruption: watch::Receiver<Disruption>,
) {
    match mode {
        ConnectionMode::Forward => {
            if let Ok(server) = TcpStream::connect(target).await {
                forward(client, server, disruption, None).await;
            }
        }
        ConnectionMode::ResetAfter(bytes) => {
            if let Ok(server) = TcpStream::connect(target).await {
                forward(client, server, disruption, Some(bytes)).await;
            }
        }
        ConnectionMode::SilentAfter(bytes) => {
            if let Ok(mut server) = TcpStream::connect(target).await {
                let mut client = client;
                let mut request = [0; BUFFER_BYTES];
                let count = client.read(&mut request).await.unwrap_or(0);
                if server.write_all(&request[..count]).await.is_ok() {
                    fall_silent(client, server, bytes).await;
                }
            }
        }
        ConnectionMode::Refuse(after) => refuse(client, after).await,
        ConnectionMode::RefuseConcurrent(after) => {
            let others = waiting.replace(waiting.get() + 1);
            refuse(client, if others == 0 { after } else { Duration::ZERO }).await;
            waiting.set(waiting.get() - 1);
        }
        ConnectionMode::Hang => {
            let mut client = client;
            while client.read(&mut [0; BUFFER_BYTES]).await.is_ok_and(|count| count > 0) {}
        }
        ConnectionMode::Reset => reset(&client),
    }
}

/// Reads a request and answers it 503 after this time.
async fn refuse(client: TcpStream, after: Duration) {
    let mut reader = Reader::new(client);
    if reader.message().await.is_some() {
        sleep(after).await;
        // The client may have closed the connection meanwhile.
        let _ = reader.stream.write_all(REFUSAL).await;
    }
}

/// Makes the close of this stream send a reset, by a linger time of zero.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Forwards this number of bytes more from the target; then keeps the connection open until the client closes it.
async fn fall_silent(mut client: TcpStream, mut server: TcpStream, bytes: usize) {
    let (mut remaining, mut buffer) = (bytes, [0; BUFFER_BYTES]);
    while remaining > 0 {
        let count = server.read(&mut buffer).await.unwrap_or(0).min(remaining);
        if count == 0 || client.write_all(&buffer[..count]).await.is_err() {
            return;
        }
        remaining -= count;
    }
    while client.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
}

/// Forwards bytes in both directions until a side closes the connection or it is disrupted. With `remaining`, resets
/// the connection after this number of bytes from the target.
async fn forward(
    mut client: TcpStream,
    mut server: TcpStream,
    mut disruption: watch::Receiver<Disruption>,
    mut remaining: Option<usize>,
) {
    loop {
        let (mut up, mut down) = ([0; BUFFER_BYTES], [0; BUFFER_BYTES]);
        tokio::select! {
            // The sender is dropped once it has sent a disruption; the last value can still be read.
            changed = disruption.changed(), if remaining.is_none() => match (changed, *disruption.borrow_and_update()) {
                (_, Disruption::ResetAfter(0)) => return reset(&client),
                (_, Disruption::Close) => return,
                (_, Disruption::ResetAfter(bytes)) => remaining = Some(bytes),
                (_, Disruption::SilenceAfter(bytes)) => return fall_silent(client, server, bytes).await,
                (Err(_), Disruption::None) => return,
                (Ok(()), Disruption::None) => {}
            },
            read = client.read(&mut up) => match read {
                Ok(count) if count > 0 && server.write_all(&up[..count]).await.is_ok() => {}
                _ => return,
            },
            read = server.read(&mut down) => {
                let Ok(count) = read else { return reset(&client) };
                let forwarded = remaining.map_or(count, |remaining| count.min(remaining));
                if client.write_all(&down[..forwarded]).await.is_err() || count == 0 {
                    return;
                }
                if let Some(remaining) = &mut remaining {
                    *remaining -= forwarded;
                    if *remaining == 0 {
                        return reset(&client);
                    }
                }
            }
        }
    }
}
