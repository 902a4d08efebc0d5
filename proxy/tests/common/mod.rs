//! Hosts, discovery and clients on loopback sockets. All of a test runs on one thread; what it waits for are
//! conditions, and `run` ends it with a failure when they do not come.
#![allow(dead_code)]

use nettleworks::config::Config;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, timeout};

/// Far longer than any test takes.
const PATIENCE: Duration = Duration::from_secs(30);

pub fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let test = async { timeout(PATIENCE, test).await.expect("the test ends in time") };
    LocalSet::new().block_on(&runtime, test)
}

pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let met = async {
        while !condition() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(PATIENCE / 2, met).await.unwrap_or_else(|_| panic!("never: {what}"));
}

/// A message as it came: its first line, its headers in lower case, its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).expect("a status")
    }
}

/// Reads messages off a stream.
pub struct Reader<R> {
    pub stream: R,
    buffer: Vec<u8>,
}

impl<R: AsyncReadExt + Unpin> Reader<R> {
    pub fn new(stream: R) -> Self {
        Reader { stream, buffer: Vec::new() }
    }

    async fn more(&mut self) -> bool {
        self.stream.read_buf(&mut self.buffer).await.is_ok_and(|count| count > 0)
    }

    /// The next message; `None` if the stream ends before it is whole.
    pub async fn message(&mut self) -> Option<Message> {
        let end = loop {
            match self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                Some(end) => break end,
                None if !self.more().await => return None,
                None => {}
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let first = lines.next()?.to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers: Vec<_> =
            headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned())).collect();
        let mut message = Message { first, headers, body: Vec::new() };
        let length: usize = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        while self.buffer.len() < end + 4 + length {
            if !self.more().await {
                return None;
            }
        }
        message.body = self.buffer[end + 4..end + 4 + length].to_vec();
        self.buffer.drain(..end + 4 + length);
        Some(message)
    }
}

/// What a host does with a request that it has read whole.
#[derive(Clone, Debug)]
pub enum Act {
    /// Writes this, and keeps the connection.
    Say(String),
    /// Writes this, and closes.
    SayAndClose(String),
    /// Says nothing until the other side closes or the host is told to release it.
    Stall,
}

pub fn ok(body: &str) -> Act {
    Act::Say(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

pub fn turn_away() -> Act {
    Act::Say("HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".to_owned())
}

/// A host: it does one act after the other, and the last for good.
#[derive(Clone)]
pub struct Host {
    pub address: SocketAddr,
    pub seen: Rc<RefCell<Vec<Message>>>,
    pub opened: Rc<Cell<usize>>,
    pub open: Rc<Cell<usize>>,
    pub acts: Rc<RefCell<VecDeque<Act>>>,
    /// Lets one stalled request be answered.
    pub release: Rc<Notify>,
}

impl Host {
    pub async fn start(acts: impl IntoIterator<Item = Act>) -> Host {
        Host::on(TcpListener::bind("127.0.0.1:0").await.expect("a port"), acts)
    }

    pub fn on(listener: TcpListener, acts: impl IntoIterator<Item = Act>) -> Host {
        let address = listener.local_addr().expect("an address");
        let acts = Rc::new(RefCell::new(acts.into_iter().collect()));
        let (seen, opened, open, release) = Default::default();
        let host = Host { address, seen, opened, open, acts, release };
        let accepting = host.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let host = accepting.clone();
                host.opened.set(host.opened.get() + 1);
                host.open.set(host.open.get() + 1);
                spawn_local(async move {
                    host.serve(stream).await;
                    host.open.set(host.open.get() - 1);
                });
            }
        });
        host
    }

    async fn serve(&self, stream: TcpStream) {
        let (read, mut write) = stream.into_split();
        let mut reader = Reader::new(read);
        while let Some(message) = reader.message().await {
            self.seen.borrow_mut().push(message);
            let act = {
                let mut acts = self.acts.borrow_mut();
                let act = acts.front().cloned().expect("an act");
                if acts.len() > 1 {
                    acts.pop_front();
                }
                act
            };
            match act {
                // What is of no use to the other side may find the connection closed.
                Act::Say(text) if write.write_all(text.as_bytes()).await.is_err() => return,
                Act::Say(_) => {}
                Act::SayAndClose(text) => {
                    write.write_all(text.as_bytes()).await.expect("written");
                    return;
                }
                Act::Stall => tokio::select! {
                    _ = reader.more() => return,
                    () = self.release.notified() => {
                        let Act::Say(text) = ok("released") else { return };
                        write.write_all(text.as_bytes()).await.expect("written");
                    }
                },
            }
        }
    }

    pub fn count(&self) -> usize {
        self.seen.borrow().len()
    }
}

/// Discovery: to each watch it says the next of its answers, and then what is pushed.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    pub asked: Rc<RefCell<Vec<String>>>,
    watch: Rc<RefCell<Option<OwnedWriteHalf>>>,
}

pub const WATCH: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

impl Discovery {
    /// Discovery that has nothing to tell.
    pub async fn quiet() -> Discovery {
        Discovery::start([WATCH.to_owned()]).await
    }

    pub async fn start(answers: impl IntoIterator<Item = String>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let discovery = Discovery { address, asked: Rc::default(), watch: Rc::default() };
        let (serving, mut answers) = (discovery.clone(), answers.into_iter().collect::<VecDeque<_>>());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (read, mut write) = stream.into_split();
                let mut reader = Reader::new(read);
                let Some(message) = reader.message().await else { continue };
                let answer = answers.pop_front().unwrap_or_else(|| WATCH.to_owned());
                write.write_all(answer.as_bytes()).await.expect("written");
                serving.asked.borrow_mut().push(message.first);
                *serving.watch.borrow_mut() = Some(write);
            }
        });
        discovery
    }

    /// Whether the other side has closed the last watch.
    pub fn is_left(&self) -> bool {
        let watch = self.watch.borrow();
        let stream: &TcpStream = watch.as_ref().expect("a watch").as_ref();
        stream.try_read(&mut [0]).is_ok_and(|count| count == 0)
    }

    pub async fn push(&self, text: &str) {
        let mut watch = self.watch.borrow_mut().take().expect("a watch");
        watch.write_all(text.as_bytes()).await.expect("written");
        *self.watch.borrow_mut() = Some(watch);
    }
}

/// An entry of the list.
pub fn entry(name: &str, address: SocketAddr, health: &str) -> serde_json::Value {
    json!({"host": name, "dial": address.to_string(), "site": "a", "class": "m2", "block": 3,
           "health": health, "share": 1.0, "born_ms": 0})
}

pub fn list(seq: u64, whole: bool, hosts: &[serde_json::Value]) -> String {
    json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string()
}

/// A configuration that knows these hosts; `change` sees it before it is read.
pub fn configuration(
    discovery: SocketAddr,
    hosts: &[Host],
    change: impl FnOnce(&mut serde_json::Value),
) -> String {
    let known: Vec<_> =
        hosts.iter().enumerate().map(|(n, host)| entry(&format!("s-{n}"), host.address, "Ready")).collect();
    let class = |name: &str, kind: &str| {
        json!({"name": name, "objective_us": 5_000_000, "deadline_us": 9_000_000, "worth": 1.0,
               "idempotency": kind, "dedup_scope": "cell", "repeat_window_us": 9_000_000})
    };
    let mut config = json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
        "known": {"seq": 41, "whole": true, "hosts": known},
        "settings": {
            "balancers": 1, "me": 0, "discovery": "ask", "tick_us": 1_000,
            "classes": [class("free", "free"), class("keyed", "guarded"), class("unsafe", "single_shot")],
            "limits": {"cancel": true, "max_attempts": 3, "second_copies": false, "max_retry_after_us": 750_000,
                       "connect_timeout_us": 1_000_000, "conn_idle_us": 60_000_000},
            "invariants": {"cold_from": 0.3, "cold_us": 7_500_000, "ask_every_us": 320_000}
        }
    });
    change(&mut config);
    config.to_string()
}

/// A running proxy.
pub struct Proxy {
    pub address: SocketAddr,
    pub stop: Option<oneshot::Sender<()>>,
    pub task: JoinHandle<()>,
}

impl Proxy {
    pub async fn start(hosts: &[Host]) -> Proxy {
        Proxy::with(&Discovery::quiet().await, hosts, |_| ()).await
    }

    pub async fn with(
        discovery: &Discovery,
        hosts: &[Host],
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Proxy {
        let config = configuration(discovery.address, hosts, change);
        let config = Config::parse(&config).expect("a good configuration");
        let listener = nettleworks::server::listen(config.listen).expect("it listens");
        let address = listener.local_addr().expect("an address");
        let (stop, stopped) = oneshot::channel();
        let task = spawn_local(nettleworks::run(
            config,
            nettleworks_engine::log_to_stderr(),
            listener,
            async || None,
            async {
                let _ = stopped.await;
            },
        ));
        Proxy { address, stop: Some(stop), task }
    }

    pub async fn client(&self) -> Client {
        Reader::new(TcpStream::connect(self.address).await.expect("the proxy accepts"))
    }
}

pub type Client = Reader<TcpStream>;

pub const HEALTH: &str = "GET /_health HTTP/1.1\r\n\r\n";

/// A request of a class, with further header lines and a body. Each has an id of its own.
pub fn request(class: &str, more: &str, body: &str) -> String {
    static IDS: AtomicU64 = AtomicU64::new(0);
    let (id, length) = (IDS.fetch_add(1, Ordering::Relaxed), body.len());
    let (method, key) = match class {
        "free" => ("GET", String::new()),
        "keyed" if !more.contains("Idempotency-Key") => ("POST", format!("Idempotency-Key: k{id}\r\n")),
        _ => ("POST", String::new()),
    };
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {length}\r\n") };
    format!(
        "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {id:016x}\r\nX-Call-Class: {class}\r\n\
         X-Budget-Ms: 8000\r\n{key}{more}{length}\r\n{body}"
    )
}

impl Client {
    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("written");
    }

    /// Sends a request and reads its answer.
    pub async fn ask(&mut self, text: &str) -> Message {
        self.send(text).await;
        self.message().await.expect("an answer")
    }
}
