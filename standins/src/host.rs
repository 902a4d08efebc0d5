//! A stand-in host: its actions are scripted or drawn at random, and it records the requests that it reads and runs.

use crate::host_behavior::HostBehavior;
use crate::ledger::Ledger;
use crate::message::{Message, Reader};
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, Instant};

/// What a host does with one request after it has read all of it.
#[derive(Clone, Debug)]
pub enum HostAction {
    /// Writes this text and keeps the connection open.
    Respond(String),
    /// Writes the first text, and the second after this time, before it reads the next request. A faulty host does so
    /// while the next request is still on its way.
    RespondThenAlso(String, Duration, String),
    /// Writes these bytes and keeps the connection open.
    RespondBytes(Vec<u8>),
    /// Writes this text and closes the connection.
    RespondAndClose(String),
    /// Writes this text and resets the connection this long after.
    RespondAndReset(String, Duration),
    /// Writes nothing until the client closes the connection or [`Host::release`] is notified; then answers
    /// `released`.
    Stall,
    /// Writes the first text at once and the second when [`Host::release`] is notified.
    RespondInTwoParts(String, String),
    /// Runs the request and resets the connection without an answer.
    Reset,
    /// Resets the connection without running the request.
    ResetBefore,
    /// Takes another action after this time.
    Delay(Duration, Box<HostAction>),
}

impl HostAction {
    /// Whether the host runs the request.
    fn runs(&self) -> bool {
        match self {
            HostAction::Respond(text)
            | HostAction::RespondThenAlso(text, ..)
            | HostAction::RespondAndClose(text)
            | HostAction::RespondAndReset(text, _) => !text.contains("X-Rejected: 1"),
            HostAction::RespondBytes(_)
            | HostAction::RespondInTwoParts(..)
            | HostAction::Stall
            | HostAction::Reset => true,
            HostAction::ResetBefore => false,
            HostAction::Delay(_, action) => action.runs(),
        }
    }
}

/// Answers 200 with this body.
pub fn ok(body: &str) -> HostAction {
    HostAction::Respond(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// Answers 503 with the header that says that the request was rejected and never ran.
pub fn rejection() -> HostAction {
    HostAction::Respond(
        "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".to_owned(),
    )
}

/// A stand-in host. It takes its scripted actions one after the other and repeats the last one; without a script, it
/// draws each action from its behavior. Clones are the same host.
#[derive(Clone, Debug)]
pub struct Host {
    /// The name in server lists and in the ledger.
    pub name: String,
    /// The pod: hosts of one pod drop repeats of a key that another of them has run.
    pub pod: u32,
    /// The address on which the host listens.
    pub address: SocketAddr,
    /// All requests read so far, for a scripted host. A host with a behavior keeps none, since there may be too many.
    pub received: Rc<RefCell<Vec<Message>>>,
    /// The number of connections accepted so far.
    pub accepted: Rc<Cell<usize>>,
    /// The number of connections that are open now.
    pub open_connections: Rc<Cell<usize>>,
    /// The scripted actions that are left; the last one is repeated.
    pub actions: Rc<RefCell<VecDeque<HostAction>>>,
    /// Lets a host go on with a stalled request or with the second part of an answer.
    pub release: Rc<Notify>,
    /// The behavior from which actions are drawn when there is no script.
    pub behavior: Rc<RefCell<Option<HostBehavior>>>,
    /// Where the host records the requests that it runs.
    pub ledger: Ledger,
    /// The number of requests read so far, and when the last one was read.
    pub requests_read: Rc<Cell<(usize, Option<Instant>)>>,
    /// How often each call id has been received, for a host with a behavior.
    pub times_received: Rc<RefCell<HashMap<String, usize>>>,
    /// When the host last started.
    pub started: Rc<Cell<Instant>>,
    /// The task that accepts connections; `None` after [`Host::kill`].
    pub accept_task: Rc<RefCell<Option<JoinHandle<()>>>>,
    /// Notifies the open connections that the host is killed.
    pub kill_signal: Rc<watch::Sender<()>>,
}

impl Host {
    /// Starts a scripted host on a free port.
    pub async fn start(actions: impl IntoIterator<Item = HostAction>) -> Host {
        Host::on_listener(TcpListener::bind("127.0.0.1:0").await.expect("a port"), actions)
    }

    /// Starts a scripted host on this listener.
    pub fn on_listener(listener: TcpListener, actions: impl IntoIterator<Item = HostAction>) -> Host {
        let host = Host::new(listener.local_addr().expect("an address"), "host", 3, Ledger::default());
        host.actions.borrow_mut().extend(actions);
        host.accept(listener);
        host
    }

    /// Starts a host with a behavior on a free port; it records in `ledger` what it runs.
    pub async fn with_behavior(name: &str, pod: u32, behavior: HostBehavior, ledger: &Ledger) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let host = Host::new(listener.local_addr().expect("an address"), name, pod, ledger.clone());
        *host.behavior.borrow_mut() = Some(behavior);
        host.accept(listener);
        host
    }

    fn new(address: SocketAddr, name: &str, pod: u32, ledger: Ledger) -> Host {
        let (received, accepted, open_connections, actions, release) = Default::default();
        let (behavior, requests_read, times_received, accept_task) = Default::default();
        let kill_signal = Rc::new(watch::Sender::new(()));
        let (name, started) = (name.to_owned(), Rc::new(Cell::new(Instant::now())));
        Host {
            name,
            pod,
            address,
            received,
            accepted,
            open_connections,
            actions,
            release,
            behavior,
            ledger,
            requests_read,
            times_received,
            started,
            accept_task,
            kill_signal,
        }
    }

    /// Starts the task that accepts and serves connections.
    fn accept(&self, listener: TcpListener) {
        let host = self.clone();
        let task = spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let host = host.clone();
                host.accepted.set(host.accepted.get() + 1);
                host.open_connections.set(host.open_connections.get() + 1);
                let mut kill_signal = host.kill_signal.subscribe();
                spawn_local(async move {
                    let is_killed = tokio::select! {
                        () = host.serve(&mut stream) => false,
                        _ = kill_signal.changed() => true,
                    };
                    if is_killed {
                        reset(&stream);
                    }
                    drop(stream);
                    host.open_connections.set(host.open_connections.get() - 1);
                });
            }
        });
        *self.accept_task.borrow_mut() = Some(task);
    }

    /// Stops the host as if its process had been killed: open connections are reset, new ones refused.
    pub fn kill(&self) {
        if let Some(task) = self.accept_task.borrow_mut().take() {
            task.abort();
        }
        self.kill_signal.send_replace(());
    }

    /// Starts the host again at the same address, with its slow start from the beginning. Waits for as long as the
    /// port is in use.
    pub async fn restart(&self) {
        let listener = listen_again(self.address).await;
        self.started.set(Instant::now());
        self.accept(listener);
    }

    /// Starts another host at the address of this one, which must have been killed, with its behavior and ledger.
    pub async fn replaced_by(&self, name: &str, pod: u32) -> Host {
        let listener = listen_again(self.address).await;
        let host = Host::new(self.address, name, pod, self.ledger.clone());
        host.behavior.borrow_mut().clone_from(&self.behavior.borrow());
        host.accept(listener);
        host
    }

    /// The scripted or drawn action for a request.
    fn next_action(&self, message: &Message) -> HostAction {
        let mut actions = self.actions.borrow_mut();
        if let Some(action) = actions.front().cloned() {
            if actions.len() > 1 {
                actions.pop_front();
            }
            return action;
        }
        let behavior = self.behavior.borrow();
        let mut times_received = self.times_received.borrow_mut();
        let times_received =
            times_received.entry(message.header("x-call-id").unwrap_or_default().to_owned()).or_default();
        let action = behavior.as_ref().expect("the host has actions or a behavior").next_action(
            &self.name,
            message,
            *times_received,
            self.started.get().elapsed(),
        );
        *times_received += 1;
        action
    }

    /// Serves one connection until it ends.
    async fn serve(&self, stream: &mut TcpStream) {
        stream.set_nodelay(true).expect("no delay");
        let (read, mut write) = stream.split();
        let mut reader = Reader::new(read);
        while let Some(message) = reader.message().await {
            self.requests_read.set((self.requests_read.get().0 + 1, Some(Instant::now())));
            let mut action = self.next_action(&message);
            if action.runs() {
                self.ledger.record(&self.name, self.pod, &message);
            }
            if self.behavior.borrow().is_none() {
                self.received.borrow_mut().push(message.clone());
            }
            while let HostAction::Delay(time, then) = action {
                sleep(time).await;
                action = *then;
            }
            if matches!(&action, HostAction::Respond(text) if text.starts_with("HTTP/1.1 200 ")) {
                self.ledger.record_answer(&message);
            }
            // The write fails if the client has closed the connection meanwhile.
            let written = match action {
                HostAction::Respond(text) => write.write_all(text.as_bytes()).await,
                HostAction::RespondThenAlso(first, delay, second) => {
                    if write.write_all(first.as_bytes()).await.is_err() {
                        return;
                    }
                    sleep(delay).await;
                    write.write_all(second.as_bytes()).await
                }
                HostAction::RespondBytes(bytes) => write.write_all(&bytes).await,
                HostAction::RespondInTwoParts(first, rest) => {
                    if write.write_all(first.as_bytes()).await.is_err() {
                        return;
                    }
                    tokio::select! {
                        _ = reader.more() => return,
                        () = self.release.notified() => write.write_all(rest.as_bytes()).await,
                    }
                }
                HostAction::RespondAndClose(text) => {
                    let _ = write.write_all(text.as_bytes()).await;
                    return;
                }
                HostAction::RespondAndReset(text, delay) => {
                    if write.write_all(text.as_bytes()).await.is_ok() {
                        sleep(delay).await;
                    }
                    return reset(write.as_ref());
                }
                HostAction::Stall => tokio::select! {
                    _ = reader.more() => return,
                    () = self.release.notified() => {
                        let HostAction::Respond(text) = ok("released") else { return };
                        write.write_all(text.as_bytes()).await
                    }
                },
                HostAction::Reset | HostAction::ResetBefore => return reset(write.as_ref()),
                HostAction::Delay(..) => return,
            };
            if written.is_err() {
                return;
            }
        }
    }

    /// The number of requests read so far.
    pub fn count(&self) -> usize {
        self.requests_read.get().0
    }
}

/// Listens at an address whose previous listener is closed or about to be.
async fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("reused");
        // The previous accept task may still hold the port.
        match socket.bind(address).and_then(|()| socket.listen(1_024)) {
            Ok(listener) => return listener,
            Err(_) => sleep(Duration::from_millis(1)).await,
        }
    }
}

/// A listener with a small receive buffer and small segments: while nothing is read from a connection, a request of
/// about 10 kB does not fit into the socket buffers of both sides.
pub fn small_buffer_listener() -> TcpListener {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    listener.set_recv_buffer_size(2_048).expect("the receive buffer can be set");
    listener.set_tcp_mss(536).expect("the segment size can be set");
    listener.set_nonblocking(true).expect("nonblocking");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    listener.bind(&any.into()).expect("a port");
    listener.listen(8).expect("the socket listens");
    TcpListener::from_std(listener.into()).expect("a listener")
}

/// Makes the next close of this stream send a reset.
fn reset(stream: &TcpStream) {
    // This fails for a stream that the peer has already reset, which needs no other reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
