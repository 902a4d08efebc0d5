//! A relay for TCP that stands between a proxy and what it talks to, and does harm on the way.

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

/// Most bytes that are passed on at a time.
const PIECE: usize = 4 << 10;
/// An answer that refuses a call.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// What meets a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It is passed on.
    Passes,
    /// Its request is answered 503 after this time.
    Refused(Duration),
    /// It waits and is answered 503 after this time, unless another one waits: then it is answered 503 at once.
    Crowded(Duration),
    /// It stays open and is never answered.
    Hangs,
    /// It is reset.
    Reset,
    /// It is passed on, and reset when so many bytes have come from the target.
    ResetAfter(usize),
    /// It is passed on, and falls silent when so many bytes have come from the target.
    SilentAfter(usize),
}

/// What happens to the connections that are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Harm {
    None,
    /// They stay open, and nothing passes any more but so many bytes from the target.
    SilenceAfter(usize),
    /// They are reset when so many more bytes have come from the target.
    ResetAfter(usize),
    /// They are closed in order.
    End,
}

/// A relay before one address. Connections are passed on until something else is asked for.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections so far.
    pub accepted: Rc<Cell<usize>>,
    arrival: Rc<Cell<Arrival>>,
    waiting: Rc<Cell<usize>>,
    harm: Rc<RefCell<watch::Sender<Harm>>>,
}

impl Relay {
    /// A relay before this address.
    pub async fn start(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let relay = Relay {
            address: listener.local_addr().expect("an address"),
            accepted: Rc::default(),
            arrival: Rc::new(Cell::new(Arrival::Passes)),
            waiting: Rc::default(),
            harm: Rc::new(RefCell::new(watch::Sender::new(Harm::None))),
        };
        let serving = relay.clone();
        spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                serving.accepted.set(serving.accepted.get() + 1);
                let (arrival, harm) = (serving.arrival.get(), serving.harm.borrow().subscribe());
                spawn_local(meet(near, target, arrival, serving.waiting.clone(), harm));
            }
        });
        relay
    }

    /// What new connections meet from now on.
    pub fn arrivals(&self, arrival: Arrival) {
        self.arrival.set(arrival);
    }

    /// The connections that are open fall silent: they stay open, and nothing passes on them any more.
    pub fn silence(&self) {
        self.silence_after(0);
    }

    /// The same when so many more bytes have come from the target.
    pub fn silence_after(&self, bytes: usize) {
        self.harm(Harm::SilenceAfter(bytes));
    }

    /// Each connection that is open is reset when so many more bytes have come from the target.
    pub fn reset_after(&self, bytes: usize) {
        self.harm(Harm::ResetAfter(bytes));
    }

    /// The connections that are open are closed in order, with nothing more said on them.
    pub fn end(&self) {
        self.harm(Harm::End);
    }

    /// Does harm to the connections that are open now, and to no later one.
    fn harm(&self, harm: Harm) {
        self.harm.replace(watch::Sender::new(Harm::None)).send_replace(harm);
    }
}

async fn meet(
    near: TcpStream,
    target: SocketAddr,
    arrival: Arrival,
    waiting: Rc<Cell<usize>>,
    harm: watch::Receiver<Harm>,
) {
    match arrival {
        Arrival::Passes => {
            if let Ok(far) = TcpStream::connect(target).await {
                pass(near, far, harm, None).await;
            }
        }
        Arrival::ResetAfter(bytes) => {
            if let Ok(far) = TcpStream::connect(target).await {
                pass(near, far, harm, Some(bytes)).await;
            }
        }
        Arrival::SilentAfter(bytes) => {
            if let Ok(mut far) = TcpStream::connect(target).await {
                let mut near = near;
                let mut request = [0; PIECE];
                let count = near.read(&mut request).await.unwrap_or(0);
                if far.write_all(&request[..count]).await.is_ok() {
                    fall_silent(near, far, bytes).await;
                }
            }
        }
        Arrival::Refused(after) => refuse(near, after).await,
        Arrival::Crowded(after) => {
            let others = waiting.replace(waiting.get() + 1);
            refuse(near, if others == 0 { after } else { Duration::ZERO }).await;
            waiting.set(waiting.get() - 1);
        }
        Arrival::Hangs => {
            let mut near = near;
            while near.read(&mut [0; PIECE]).await.is_ok_and(|count| count > 0) {}
        }
        Arrival::Reset => reset(&near),
    }
}

/// Answers a request 503 after a time.
async fn refuse(near: TcpStream, after: Duration) {
    let mut reader = Reader::new(near);
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
async fn fall_silent(mut near: TcpStream, mut far: TcpStream, bytes: usize) {
    let (mut left, mut piece) = (bytes, [0; PIECE]);
    while left > 0 {
        let count = far.read(&mut piece).await.unwrap_or(0).min(left);
        if count == 0 || near.write_all(&piece[..count]).await.is_err() {
            return;
        }
        left -= count;
    }
    while near.read(&mut piece).await.is_ok_and(|count| count > 0) {}
}

/// Passes on what comes either way until a side ends, or what harm asks for.
async fn pass(
    mut near: TcpStream,
    mut far: TcpStream,
    mut harm: watch::Receiver<Harm>,
    mut left: Option<usize>,
) {
    loop {
        let (mut up, mut down) = ([0; PIECE], [0; PIECE]);
        tokio::select! {
            // The sender goes when it has asked for something; what it asked for last stays to be seen.
            changed = harm.changed(), if left.is_none() => match (changed, *harm.borrow_and_update()) {
                (_, Harm::ResetAfter(0)) => return reset(&near),
                (_, Harm::End) => return,
                (_, Harm::ResetAfter(bytes)) => left = Some(bytes),
                (_, Harm::SilenceAfter(bytes)) => return fall_silent(near, far, bytes).await,
                (Err(_), Harm::None) => return,
                (Ok(()), Harm::None) => {}
            },
            read = near.read(&mut up) => match read {
                Ok(count) if count > 0 && far.write_all(&up[..count]).await.is_ok() => {}
                _ => return,
            },
            read = far.read(&mut down) => {
                let Ok(count) = read else { return reset(&near) };
                let passed = left.map_or(count, |left| count.min(left));
                if near.write_all(&down[..passed]).await.is_err() || count == 0 {
                    return;
                }
                if let Some(left) = &mut left {
                    *left -= passed;
                    if *left == 0 {
                        return reset(&near);
                    }
                }
            }
        }
    }
}
