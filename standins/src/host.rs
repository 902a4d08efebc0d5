//! A host: what it is told to do with requests, what it has seen, and what it has done.

use crate::ledger::Ledger;
use crate::message::{Message, Reader};
use crate::plan::Plan;
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
pub enum Act {
    /// Writes this, and keeps the connection.
    Say(String),
    /// Writes these bytes, and keeps the connection.
    SayBytes(Vec<u8>),
    /// Writes this, and closes.
    SayAndClose(String),
    /// Says nothing until the other side closes or the host is told to release it.
    Stall,
    /// Says the first now, and the rest when the host is told to release it.
    SayInTwo(String, String),
    /// Resets the connection. The request has run.
    Reset,
    /// Resets the connection as if the request had not been read: it never runs.
    ResetBefore,
    /// Does another act after this time.
    Late(Duration, Box<Act>),
}

impl Act {
    /// Whether a request that meets this has run.
    fn runs(&self) -> bool {
        match self {
            Act::Say(text) | Act::SayAndClose(text) => !text.contains("X-Rejected: 1"),
            Act::SayBytes(_) | Act::SayInTwo(..) | Act::Stall | Act::Reset => true,
            Act::ResetBefore => false,
            Act::Late(_, act) => act.runs(),
        }
    }
}

/// An answer 200 with this body.
pub fn ok(body: &str) -> Act {
    Act::Say(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// An answer that says that the request never ran.
pub fn turn_away() -> Act {
    Act::Say("HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".to_owned())
}

/// A host: it does one act after the other, and the last for good; or, with a plan and no acts, what that draws.
#[derive(Clone, Debug)]
pub struct Host {
    /// Its name in lists and in the ledger.
    pub name: String,
    /// The set of hosts that drop each other's repeats.
    pub pod: u32,
    /// Where it listens.
    pub address: SocketAddr,
    /// All that it has read, for a host with a script; one with a plan may see too much to keep.
    pub seen: Rc<RefCell<Vec<Message>>>,
    /// How many connections it has taken.
    pub opened: Rc<Cell<usize>>,
    /// How many of them are open.
    pub open: Rc<Cell<usize>>,
    /// What it does next.
    pub acts: Rc<RefCell<VecDeque<Act>>>,
    /// Lets one stalled request be answered.
    pub release: Rc<Notify>,
    /// What it does without a script.
    pub plan: Rc<RefCell<Option<Plan>>>,
    /// What it has run.
    pub ledger: Ledger,
    /// How many requests it has read; with the time of the last one.
    pub read: Rc<Cell<(usize, Option<Instant>)>>,
    /// How often it has seen each id, for a host with a plan.
    pub times: Rc<RefCell<HashMap<String, usize>>>,
    /// When it last started.
    pub started: Rc<Cell<Instant>>,
    /// The task that accepts.
    pub accepting: Rc<RefCell<Option<JoinHandle<()>>>>,
    /// What its connections hear when it is killed.
    pub killed: Rc<watch::Sender<()>>,
}

impl Host {
    /// A host with a script.
    pub async fn start(acts: impl IntoIterator<Item = Act>) -> Host {
        Host::on(TcpListener::bind("127.0.0.1:0").await.expect("a port"), acts)
    }

    /// A host with a script behind a listener.
    pub fn on(listener: TcpListener, acts: impl IntoIterator<Item = Act>) -> Host {
        let host = Host::new(listener.local_addr().expect("an address"), "host", 3, Ledger::default());
        host.acts.borrow_mut().extend(acts);
        host.accept(listener);
        host
    }

    /// A host with a plan, that notes in a ledger what it runs.
    pub async fn planned(name: &str, pod: u32, plan: Plan, ledger: &Ledger) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let host = Host::new(listener.local_addr().expect("an address"), name, pod, ledger.clone());
        *host.plan.borrow_mut() = Some(plan);
        host.accept(listener);
        host
    }

    fn new(address: SocketAddr, name: &str, pod: u32, ledger: Ledger) -> Host {
        let (seen, opened, open, acts, release) = Default::default();
        let (plan, read, times, accepting) = Default::default();
        let killed = Rc::new(watch::Sender::new(()));
        let (name, started) = (name.to_owned(), Rc::new(Cell::new(Instant::now())));
        Host {
            name,
            pod,
            address,
            seen,
            opened,
            open,
            acts,
            release,
            plan,
            ledger,
            read,
            times,
            started,
            accepting,
            killed,
        }
    }

    fn accept(&self, listener: TcpListener) {
        let host = self.clone();
        let task = spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let host = host.clone();
                host.opened.set(host.opened.get() + 1);
                host.open.set(host.open.get() + 1);
                let mut killed = host.killed.subscribe();
                spawn_local(async move {
                    let died = tokio::select! {
                        () = host.serve(&mut stream) => false,
                        _ = killed.changed() => true,
                    };
                    if died {
                        reset(&stream);
                    }
                    drop(stream);
                    host.open.set(host.open.get() - 1);
                });
            }
        });
        *self.accepting.borrow_mut() = Some(task);
    }

    /// Dies as a process does: its connections are reset, and new ones are refused.
    pub fn kill(&self) {
        if let Some(task) = self.accepting.borrow_mut().take() {
            task.abort();
        }
        self.killed.send_replace(());
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

    fn next_act(&self, message: &Message) -> Act {
        let mut acts = self.acts.borrow_mut();
        if let Some(act) = acts.front().cloned() {
            if acts.len() > 1 {
                acts.pop_front();
            }
            return act;
        }
        let plan = self.plan.borrow();
        let mut times = self.times.borrow_mut();
        let times = times.entry(message.header("x-call-id").unwrap_or_default().to_owned()).or_default();
        let act = plan.as_ref().expect("an act or a plan").act(
            &self.name,
            message,
            *times,
            self.started.get().elapsed(),
        );
        *times += 1;
        act
    }

    async fn serve(&self, stream: &mut TcpStream) {
        stream.set_nodelay(true).expect("no delay");
        let (read, mut write) = stream.split();
        let mut reader = Reader::new(read);
        while let Some(message) = reader.message().await {
            self.read.set((self.read.get().0 + 1, Some(Instant::now())));
            let mut act = self.next_act(&message);
            if act.runs() {
                self.ledger.record(&self.name, self.pod, &message);
            }
            if self.plan.borrow().is_none() {
                self.seen.borrow_mut().push(message.clone());
            }
            while let Act::Late(time, then) = act {
                sleep(time).await;
                act = *then;
            }
            if matches!(&act, Act::Say(text) if text.starts_with("HTTP/1.1 200 ")) {
                self.ledger.answered(&message);
            }
            // What is of no use to the other side may find the connection closed.
            let said = match act {
                Act::Say(text) => write.write_all(text.as_bytes()).await,
                Act::SayBytes(bytes) => write.write_all(&bytes).await,
                Act::SayInTwo(first, rest) => {
                    if write.write_all(first.as_bytes()).await.is_err() {
                        return;
                    }
                    tokio::select! {
                        _ = reader.more() => return,
                        () = self.release.notified() => write.write_all(rest.as_bytes()).await,
                    }
                }
                Act::SayAndClose(text) => {
                    let _ = write.write_all(text.as_bytes()).await;
                    return;
                }
                Act::Stall => tokio::select! {
                    _ = reader.more() => return,
                    () = self.release.notified() => {
                        let Act::Say(text) = ok("released") else { return };
                        write.write_all(text.as_bytes()).await
                    }
                },
                Act::Reset | Act::ResetBefore => return reset(write.as_ref()),
                Act::Late(..) => return,
            };
            if said.is_err() {
                return;
            }
        }
    }

    /// How many requests it has read.
    pub fn count(&self) -> usize {
        self.read.get().0
    }
}

/// A listener with little room and small segments: a request of some 10 kB does not fit into what the two systems keep
/// of it, as long as nobody reads.
pub fn narrow_listener() -> TcpListener {
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
