//! Clients that each send one request at a time on a connection of their own, and retry refused requests.

use crate::message::Reader;
use crate::random_stream::RandomStream;
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

/// Counts and latencies of the requests that have ended. A request is counted once, however often it was retried.
#[derive(Clone, Debug, Default)]
pub struct LoadMetrics {
    /// Requests answered 200.
    pub served: u64,
    /// Requests refused with 429 or 503 for more often than their client retries.
    pub refused: u64,
    /// Requests answered with any other status; they may have run.
    pub failed: u64,
    /// The number of failed requests by status.
    pub failures: BTreeMap<u16, u64>,
    /// Requests whose connection failed or ended without an answer.
    pub lost: u64,
    /// The number of retries after a refusal.
    pub retries: u64,
    /// The latencies of the served requests, without earlier refused attempts.
    pub latencies: LatencyHistogram,
}

/// A histogram of latencies in microseconds, with three significant digits. Its size does not grow with their number.
#[derive(Clone, Debug)]
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        let mut histogram = Histogram::new(3).unwrap_or_else(|_| unreachable!("at most 5 digits"));
        histogram.auto(true);
        LatencyHistogram(histogram)
    }
}

impl LatencyHistogram {
    /// Adds a latency.
    pub fn record(&mut self, time: Duration) {
        // Cannot fail: the histogram resizes itself.
        let _ = self.0.record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }

    /// The latencies added since `earlier`, which must be an earlier state of this histogram.
    pub fn since(&self, earlier: &LatencyHistogram) -> LatencyHistogram {
        let mut since = self.clone();
        // Cannot fail: `earlier` is contained in this histogram.
        let _ = since.0.subtract(&earlier.0);
        since
    }
}

impl LoadMetrics {
    /// The number of requests that have ended.
    pub fn total(&self) -> u64 {
        self.served + self.refused + self.failed + self.lost
    }

    /// The latency at this quantile (0 to 1) of the served requests; zero if there are none.
    pub fn latency_quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latencies.0.value_at_quantile(quantile))
    }
}

/// A load: clients and the requests that they send.
#[derive(Clone, Debug)]
pub struct Load {
    /// The address to which clients connect.
    pub address: SocketAddr,
    /// The seed of all random draws; also a part of every call id.
    pub seed: u64,
    /// The number of clients, each with one connection.
    pub clients: usize,
    /// The largest number of requests per client, retries not counted.
    pub calls: usize,
    /// The time after which clients start no new request.
    pub until: Option<Instant>,
    /// The mean pause of a client before each request.
    pub pause: Duration,
    /// The classes (`free`, `keyed`, `unsafe`) with their shares of the requests, which add up to 1.
    pub classes: Vec<(&'static str, f64)>,
    /// The size of the body of a POST request, in bytes.
    pub body: usize,
    /// The time budget of a request, sent as `X-Budget-Ms`.
    pub budget: Duration,
    /// The largest number of retries of a refused request.
    pub retries: usize,
}

impl Load {
    /// Eight clients with a mix of all classes and no pause, until [`Load::run`] is dropped.
    pub fn new(address: SocketAddr, seed: u64) -> Load {
        Load {
            address,
            seed,
            clients: 8,
            calls: usize::MAX,
            until: None,
            pause: Duration::ZERO,
            classes: vec![("free", 0.5), ("keyed", 0.3), ("unsafe", 0.2)],
            body: 64,
            budget: Duration::from_secs(2),
            retries: 3,
        }
    }

    /// Sends the requests of all clients and returns when they have ended. `metrics` is updated as requests end. Must
    /// be called in a [`tokio::task::LocalSet`].
    pub async fn run(&self, metrics: &Rc<RefCell<LoadMetrics>>) {
        let load = Rc::new(self.clone());
        let mut clients = JoinSet::new();
        for client in 0..self.clients {
            let (load, metrics) = (load.clone(), metrics.clone());
            clients.spawn_local(async move { load.client(client, &metrics).await });
        }
        while let Some(client) = clients.join_next().await {
            client.expect("a client does not panic");
        }
    }

    /// Sends the requests of one client.
    async fn client(&self, client: usize, metrics: &Rc<RefCell<LoadMetrics>>) {
        let mut random = RandomStream::new(self.seed, ("client", client));
        let mut stream = None;
        for call in 0..self.calls {
            if self.until.is_some_and(|until| Instant::now() >= until) {
                return;
            }
            if !self.pause.is_zero() {
                sleep(random.exponential(self.pause)).await;
            }
            let class = self.class(random.uniform());
            for retry in 0..=self.retries {
                let text = self.text(class, client, call, retry);
                let started = Instant::now();
                let answer = exchange(&mut stream, self.address, &text).await;
                let refused = matches!(answer, Some((429 | 503, _)));
                if let Some((_, retry_after)) = answer.filter(|_| refused && retry < self.retries) {
                    metrics.borrow_mut().retries += 1;
                    sleep(retry_after).await;
                    continue;
                }
                let mut metrics = metrics.borrow_mut();
                match answer {
                    Some((200, _)) => {
                        metrics.served += 1;
                        metrics.latencies.record(started.elapsed());
                    }
                    Some(_) if refused => metrics.refused += 1,
                    Some((status, _)) => {
                        metrics.failed += 1;
                        *metrics.failures.entry(status).or_default() += 1;
                    }
                    None => metrics.lost += 1,
                }
                break;
            }
        }
    }

    /// The class for a draw from 0 to 1.
    fn class(&self, mut draw: f64) -> &'static str {
        for &(class, share) in &self.classes {
            if draw < share {
                return class;
            }
            draw -= share;
        }
        self.classes.last().expect("a class").0
    }

    /// The text of a request. A retry has a new call id and the same idempotency key.
    fn text(&self, class: &str, client: usize, call: usize, retry: usize) -> String {
        let name = format!("{:x}-{client:x}-{call:x}", self.seed);
        let (method, more) = match class {
            "free" => ("GET", String::new()),
            "keyed" => ("POST", format!("Idempotency-Key: k-{name}\r\nContent-Length: {}\r\n", self.body)),
            _ => ("POST", format!("Content-Length: {}\r\n", self.body)),
        };
        let retry_header = if retry > 0 { "X-Again: 1\r\n" } else { "" };
        let body = if method == "GET" { String::new() } else { "b".repeat(self.body) };
        format!(
            "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {name}-{retry}\r\nX-Call-Class: {class}\r\n\
             X-Budget-Ms: {}\r\n{retry_header}{more}\r\n{body}",
            self.budget.as_millis()
        )
    }
}

/// Sends a request on the idle connection, or on a new one if there is none or the server has closed it. Returns the
/// status of the answer and the time in its `Retry-After`, or `None` if the request was not answered.
async fn exchange(
    idle: &mut Option<Reader<TcpStream>>,
    address: SocketAddr,
    text: &str,
) -> Option<(u16, Duration)> {
    // The server may close a reused connection just as a request is sent on it; then the request is sent once more.
    for _ in 0..2 {
        let reused = idle.is_some();
        let mut client = match idle.take() {
            Some(client) => client,
            None => {
                let stream = TcpStream::connect(address).await.ok()?;
                stream.set_nodelay(true).ok()?;
                Reader::new(stream)
            }
        };
        let answer = match client.stream.write_all(text.as_bytes()).await {
            Ok(()) => client.message().await,
            Err(_) => None,
        };
        let Some(answer) = answer else {
            if reused {
                continue;
            }
            return None;
        };
        let retry_after = answer.header("retry-after").and_then(|seconds| seconds.parse().ok());
        let retry_after = retry_after.and_then(|s| Duration::try_from_secs_f64(s).ok()).unwrap_or_default();
        if answer.header("connection") != Some("close") {
            *idle = Some(client);
        }
        return Some((answer.status(), retry_after));
    }
    None
}
