//! A host: what it is told to do with requests, what it has received, and what it has done.

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

/// What a host does with a request that it has read whole.
#[derive(Clone, Debug)]
pub enum HostAction {
    /// Writes this, and keeps the connection.
    Respond(String),
    /// Writes these bytes, and keeps the connection.
    RespondBytes(Vec<u8>),
    /// Writes this, and closes.
    RespondAndClose(String),
    /// Says nothing until the other side closes or the host is told to release it.
    Stall,
    /// Says the first now, and the rest when the host is told to release it.
    RespondInTwoParts(String, String),
    /// Resets the connection. The request has run.
    Reset,
    /// Resets the connection as if the request had not been read: it never runs.
    ResetBefore,
    /// Does another action after this time.
    Delay(Duration, Box<HostAction>),
}

impl HostAction {
    /// Whether a request that meets this has run.
    fn runs(&self) -> bool {
        match self {
            HostAction::Respond(text) | HostAction::RespondAndClose(text) => !text.contains("X-Rejected: 1"),
            HostAction::RespondBytes(_)
            | HostAction::RespondInTwoParts(..)
            | HostAction::Stall
            | HostAction::Reset => true,
            HostAction::ResetBefore => false,
            HostAction::Delay(_, action) => action.runs(),
        }
    }
}

/// An answer 200 with this body.
pub fn ok(body: &str) -> HostAction {
    HostAction::Respond(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// An answer that says that the request never ran.
pub fn rejection() -> HostAction {
    HostAction::Respond(
        "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".to_owned(),
    )
}

/// A host: it does one action after the other, and the last for good; or, with a behavior and no actions, what that draws.
#[derive(Clone, Debug)]
pub struct Host {
    /// Its name in lists and in the ledger.
    pub name: String,
    /// The set of hosts that drop each other's repeats.
    pub pod: u32,
    /// Where it listens.
    pub address: SocketAddr,
    /// All that it has read, for a host with a script; one with a behavior may see too much to keep.
    pub received: Rc<RefCell<Vec<Message>>>,
    /// How many connections it has taken.
    pub accepted: Rc<Cell<usize>>,
    /// How many of them are open_connections.
    pub open_connections: Rc<Cell<usize>>,
    /// What it does next.
    pub actions: Rc<RefCell<VecDeque<HostAction>>>,
    /// Lets one stalled request be answered.
    pub release: Rc<Notify>,
    /// What it does without a script.
    pub behavior: Rc<RefCell<Option<HostBehavior>>>,
    /// What it has run.
    pub ledger: Ledger,
    /// How many requests it has read; with the time of the last one.
    pub requests_read: Rc<Cell<(usize, Option<Instant>)>>,
    /// How often it has received each id, for a host with a behavior.
    pub times_received: Rc<RefCell<HashMap<String, usize>>>,
    /// When it last started.
    pub started: Rc<Cell<Instant>>,
    /// The task that accepts.
    pub accept_task: Rc<RefCell<Option<JoinHandle<()>>>>,
    /// What its connections hear when it is kill_signal.
    pub kill_signal: Rc<watch::Sender<()>>,
}

impl Host {
    /// A host with a script.
    pub async fn start(actions: impl IntoIterator<Item = HostAction>) -> Host {
        Host::on_listener(TcpListener::bind("127.0.0.1:0").await.expect("a port"), actions)
    }

    /// A host with a script behind a listener.
    pub fn on_listener(listener: TcpListener, actions: impl IntoIterator<Item = HostAction>) -> Host {
        let host = Host::new(listener.local_addr().expect("an address"), "host", 3, Ledger::default());
        host.actions.borrow_mut().extend(actions);
        host.accept(listener);
        host
    }

    /// A host with a behavior, that notes in a ledger what it runs.
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

    /// Dies as a process does: its connections are reset, and new ones are refused.
    pub fn kill(&self) {
        if let Some(task) = self.accept_task.borrow_mut().take() {
            task.abort();
        }
        self.kill_signal.send_replace(());
    }

    /// Comes up again at the same address, cold. A port that is no longer free is a panic.
    pub async fn restart(&self) {
        let listener = loop {
            let socket = TcpSocket::new_v4().expect("a socket");
            socket.set_reuseaddr(true).expect("reused");
            // The task that accepted may not have ended yet.
            match socket.bind(self.address).and_then(|()| socket.listen(1_024)) {
                Ok(listener) => break listener,
                Err(_) => sleep(Duration::from_millis(1)).await,
            }
        };
        self.started.set(Instant::now());
        self.accept(listener);
    }

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
        let action = behavior.as_ref().expect("an action or a behavior").next_action(
            &self.name,
            message,
            *times_received,
            self.started.get().elapsed(),
        );
        *times_received += 1;
        action
    }

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
            // What is of no use to the other side may find the connection closed.
            let written = match action {
                HostAction::Respond(text) => write.write_all(text.as_bytes()).await,
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

    /// How many requests it has read.
    pub fn count(&self) -> usize {
        self.requests_read.get().0
    }
}

/// A listener with little room and small segments: a request of some 10 kB does not fit into what the two systems keep
/// of it, as long as nobody reads.
pub fn small_buffer_listener() -> TcpListener {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    listener.set_recv_buffer_size(2_048).expect("little room");
    listener.set_tcp_mss(536).expect("small segments");
    listener.set_nonblocking(true).expect("nonblocking");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    listener.bind(&any.into()).expect("a port");
    listener.listen(8).expect("it listens");
    TcpListener::from_std(listener.into()).expect("a listener")
}

/// The next close of this stream resets it.
fn reset(stream: &TcpStream) {
    // A stream that the other side has reset already needs none.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
