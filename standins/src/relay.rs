//! A relay for TCP that stands between a proxy and what it talks to, and does disruption on the way.

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

/// Most bytes that are forwarded on at a time.
const BUFFER_BYTES: usize = 4 << 10;
/// An answer that refuses a call.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// What meets a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionMode {
    /// It is forwarded on.
    Forward,
    /// Its request is answered 503 after this time.
    Refuse(Duration),
    /// It waits and is answered 503 after this time, unless another one waits: then it is answered 503 at once.
    RefuseConcurrent(Duration),
    /// It stays open and is never answered.
    Hang,
    /// It is reset.
    Reset,
    /// It is forwarded on, and reset when so many bytes have come from the target.
    ResetAfter(usize),
    /// It is forwarded on, and falls silent when so many bytes have come from the target.
    SilentAfter(usize),
}

/// What happens to the connections that are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disruption {
    None,
    /// They stay open, and nothing passes any more but so many bytes from the target.
    SilenceAfter(usize),
    /// They are reset when so many more bytes have come from the target.
    ResetAfter(usize),
    /// They are closed in order.
    Close,
}

/// A relay before one address. Connections are forwarded on until something else is asked for.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections so server.
    pub accepted: Rc<Cell<usize>>,
    mode: Rc<Cell<ConnectionMode>>,
    waiting: Rc<Cell<usize>>,
    disruption: Rc<RefCell<watch::Sender<Disruption>>>,
}

impl Relay {
    /// A relay before this address.
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

    /// What new connections meet from now on.
    pub fn set_mode(&self, mode: ConnectionMode) {
        self.mode.set(mode);
    }

    /// The connections that are open fall silent: they stay open, and nothing passes on them any more.
    pub fn silence(&self) {
        self.silence_after(0);
    }

    /// The same when so many more bytes have come from the target.
    pub fn silence_after(&self, bytes: usize) {
        self.disrupt(Disruption::SilenceAfter(bytes));
    }

    /// Each connection that is open is reset when so many more bytes have come from the target.
    pub fn reset_after(&self, bytes: usize) {
        self.disrupt(Disruption::ResetAfter(bytes));
    }

    /// The connections that are open are closed in order, with nothing more said on them.
    pub fn close_connections(&self) {
        self.disrupt(Disruption::Close);
    }

    /// Does disruption to the connections that are open now, and to no later one.
    fn disrupt(&self, disruption: Disruption) {
        self.disruption.replace(watch::Sender::new(Disruption::None)).send_replace(disruption);
    }
}

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

/// Answers a request 503 after a time.
async fn refuse(client: TcpStream, after: Duration) {
    let mut reader = Reader::new(client);
    if reader.message().await.is_some() {
        sleep(after).await;
        // It may have gone.
        let _ = reader.stream.write_all(REFUSAL).await;
    }
}

/// A connection without time to linger is reset when it is closed.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Passes on so many bytes more from the target, and stays open.
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

/// Passes on what comes either way until a side ends, or what disruption asks for.
async fn forward(
    mut client: TcpStream,
    mut server: TcpStream,
    mut disruption: watch::Receiver<Disruption>,
    mut remaining: Option<usize>,
) {
    loop {
        let (mut up, mut down) = ([0; BUFFER_BYTES], [0; BUFFER_BYTES]);
        tokio::select! {
            // The sender goes when it has asked for something; what it asked for last stays to be seen.
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
