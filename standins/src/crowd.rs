//! A crowd: hundreds of clients that each use a proxy's memory or descriptors in the same way, on a thread of their own.

use crate::client::{request_for, HEALTH_REQUEST};
use crate::message::Reader;
use crate::random_stream::RandomStream;
use socket2::SockRef;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// The time budget of a crowd's requests.
const BUDGET: Duration = Duration::from_secs(2);
/// Pause of a client before it connects again after its connection was closed or refused.
const RECONNECT_DELAY: Duration = Duration::from_millis(5);
/// How long a client waits for an answer or a close.
const PATIENCE: Duration = Duration::from_secs(10);
/// Receive buffer of a client that reads slowly, in bytes.
const SLOW_READER_BUFFER: usize = 4 << 10;
/// Number of pipelined health requests in one write.
const PIPELINED_REQUESTS: usize = 64;

/// What each client of a crowd does on its connection, which it opens again when it is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdBehavior {
    /// States a body of `stated` bytes, writes `sent` of them, and then nothing.
    PartialBody {
        /// The stated length.
        stated: usize,
        /// The bytes written.
        sent: usize,
    },
    /// Writes a body of `stated` bytes in pieces of this size with this pause between them.
    SlowBody {
        /// The length of the body.
        stated: usize,
        /// The size of a piece in bytes.
        piece: usize,
        /// The pause between two pieces.
        pause: Duration,
    },
    /// Writes whole requests with a body of this size, and reads the answers.
    WholeRequests {
        /// The size of a body in bytes.
        body: usize,
    },
    /// Writes whole heads with this number of short fields, and reads the answers.
    ManyFields {
        /// The number of additional fields.
        fields: usize,
    },
    /// Writes heads of this size in pieces and never ends them.
    EndlessHead {
        /// The bytes written of a head.
        bytes: usize,
        /// The size of a piece in bytes.
        piece: usize,
    },
    /// Requests answers and reads `piece` bytes of them at a time with this pause between two reads.
    SlowReader {
        /// The bytes that are read at a time.
        piece: usize,
        /// The pause between two reads.
        pause: Duration,
    },
    /// Pipelines requests for the readiness of the proxy as fast as it answers them.
    HealthRequests,
}

/// How the exchanges of a crowd ended.
#[derive(Clone, Debug, Default)]
pub struct CrowdReport {
    /// The number of answers by status.
    pub answers: BTreeMap<u16, u64>,
    /// Connections that the proxy closed without an answer to the last request.
    pub closed: u64,
    /// Connections that were not established.
    pub not_connected: u64,
    /// Requests that were neither answered nor closed in ten seconds.
    pub silent: u64,
    /// The longest time from the last byte that a client wrote until its answer or the close.
    pub longest: Duration,
}

/// Hundreds of clients that do the same.
#[derive(Clone, Copy, Debug)]
pub struct Crowd {
    /// The address to which the clients connect.
    pub address: SocketAddr,
    /// The number of clients, each with one connection.
    pub clients: usize,
    /// What each client does.
    pub behavior: CrowdBehavior,
    /// The time over which the clients come.
    pub arrival: Duration,
    /// How long the crowd stays.
    pub duration: Duration,
    /// The seed of all random draws.
    pub seed: u64,
}

/// A crowd on a thread of its own.
#[derive(Debug)]
pub struct RunningCrowd(JoinHandle<CrowdReport>);

impl RunningCrowd {
    /// Waits until all clients have gone.
    pub fn join(self) -> CrowdReport {
        self.0.join().expect("the crowd does not panic")
    }

    /// Whether all clients have gone.
    pub fn is_finished(&self) -> bool {
        self.0.is_finished()
    }
}

impl Crowd {
    /// Starts the crowd.
    pub fn start(self) -> RunningCrowd {
        RunningCrowd(std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            LocalSet::new().block_on(&runtime, self.run())
        }))
    }

    async fn run(self) -> CrowdReport {
        let report = Arc::new(Mutex::new(CrowdReport::default()));
        let until = Instant::now() + self.duration;
        let mut clients = JoinSet::new();
        for number in 0..self.clients {
            let client = CrowdClient { crowd: self, report: report.clone() };
            clients.spawn_local(async move {
                let mut random = RandomStream::new(self.seed, ("crowd", number));
                sleep(self.arrival.mul_f64(random.uniform())).await;
                tokio::select! {
                    () = sleep_until(until) => {}
                    () = client.connect_again_and_again() => {}
                }
            });
        }
        while let Some(client) = clients.join_next().await {
            client.expect("a client does not panic");
        }
        let report = report.lock().unwrap_or_else(PoisonError::into_inner);
        report.clone()
    }
}

struct CrowdClient {
    crowd: Crowd,
    report: Arc<Mutex<CrowdReport>>,
}

impl CrowdClient {
    fn record(&self, change: impl FnOnce(&mut CrowdReport)) {
        change(&mut self.report.lock().unwrap_or_else(PoisonError::into_inner));
    }

    async fn connect_again_and_again(&self) {
        loop {
            match self.connect().await {
                Some(stream) => self.serve_connection(stream).await,
                None => self.record(|report| report.not_connected += 1),
            }
            sleep(RECONNECT_DELAY).await;
        }
    }

    async fn connect(&self) -> Option<TcpStream> {
        let socket = TcpSocket::new_v4().ok()?;
        if matches!(self.crowd.behavior, CrowdBehavior::SlowReader { .. }) {
            let _ = SockRef::from(&socket).set_recv_buffer_size(SLOW_READER_BUFFER);
        }
        let stream = socket.connect(self.crowd.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    /// Uses a connection until it is closed.
    async fn serve_connection(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        match self.crowd.behavior {
            CrowdBehavior::PartialBody { stated, sent } => {
                let text = request_for("unsafe", "", &"b".repeat(stated), BUDGET);
                let unsent = stated - sent;
                let _ = reader.stream.write_all(&text.as_bytes()[..text.len() - unsent]).await;
                self.read_answer(&mut reader).await;
            }
            CrowdBehavior::SlowBody { stated, piece, pause } => {
                let text = request_for("unsafe", "", &"b".repeat(stated), BUDGET);
                let (head, body) = text.split_at(text.len() - stated);
                let _ = reader.stream.write_all(head.as_bytes()).await;
                for piece in body.as_bytes().chunks(piece) {
                    if reader.stream.write_all(piece).await.is_err() {
                        break;
                    }
                    sleep(pause).await;
                }
                self.read_answer(&mut reader).await;
            }
            CrowdBehavior::WholeRequests { body } => {
                let mut is_open = true;
                while is_open {
                    let text = request_for("unsafe", "", &"b".repeat(body), BUDGET);
                    // An answer may come before the whole request is written.
                    let _ = reader.stream.write_all(text.as_bytes()).await;
                    is_open = self.read_answer(&mut reader).await;
                }
            }
            CrowdBehavior::ManyFields { fields } => {
                let more: String = (0..fields).map(|number| format!("x{number}: 1\r\n")).collect();
                let mut is_open = true;
                while is_open {
                    let text = request_for("free", &more, "", BUDGET);
                    let _ = reader.stream.write_all(text.as_bytes()).await;
                    is_open = self.read_answer(&mut reader).await;
                }
            }
            CrowdBehavior::EndlessHead { bytes, piece } => {
                let head: String = "POST /api HTTP/1.1\r\n"
                    .chars()
                    .chain((0..).flat_map(|n: u32| format!("x{n}: 1\r\n").into_bytes()).map(char::from))
                    .take(bytes)
                    .collect();
                for piece in head.as_bytes().chunks(piece) {
                    if reader.stream.write_all(piece).await.is_err() {
                        break;
                    }
                    sleep(RECONNECT_DELAY).await;
                }
                self.read_answer(&mut reader).await;
            }
            CrowdBehavior::SlowReader { piece, pause } => {
                let text = request_for("free", "", "", BUDGET);
                let mut buffer = vec![0; piece];
                if reader.stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
                while matches!(reader.stream.read(&mut buffer).await, Ok(count) if count > 0) {
                    sleep(pause).await;
                }
                self.record(|report| report.closed += 1);
            }
            CrowdBehavior::HealthRequests => {
                let text = HEALTH_REQUEST.repeat(PIPELINED_REQUESTS);
                let (mut read, mut write) = reader.stream.split();
                let writes = async { while write.write_all(text.as_bytes()).await.is_ok() {} };
                let mut buffer = vec![0; 1 << 16];
                let reads = async { while matches!(read.read(&mut buffer).await, Ok(count) if count > 0) {} };
                tokio::join!(writes, reads);
                self.record(|report| report.closed += 1);
            }
        }
    }

    /// Reads an answer and returns whether the connection can be used again.
    async fn read_answer(&self, reader: &mut Reader<TcpStream>) -> bool {
        let started = Instant::now();
        let answer = timeout(PATIENCE, reader.message()).await;
        let longest = |report: &mut CrowdReport| report.longest = report.longest.max(started.elapsed());
        match answer {
            Err(_) => {
                self.record(|report| report.silent += 1);
                false
            }
            Ok(None) => {
                self.record(|report| {
                    longest(report);
                    report.closed += 1;
                });
                false
            }
            Ok(Some(answer)) => {
                self.record(|report| {
                    longest(report);
                    *report.answers.entry(answer.status()).or_default() += 1;
                });
                answer.header("connection") != Some("close")
            }
        }
    }
}
