//! Clients that ask, one request at a time on each connection, and come retry as real ones do.

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

/// What came of the requests so far. A request is counted once, however often its client came retry.
#[derive(Clone, Debug, Default)]
pub struct LoadMetrics {
    /// Answered by a host.
    pub served: u64,
    /// Turned away, and given up by its client.
    pub refused: u64,
    /// Failed; it may have run.
    pub failed: u64,
    /// The statuses of those that failed.
    pub failures: BTreeMap<u16, u64>,
    /// Its connection ended without an answer.
    pub lost: u64,
    /// How often clients came retry after a refusal.
    pub retries: u64,
    /// Times of the answers that hosts gave, in microseconds.
    pub latencies: LatencyHistogram,
}

/// Times in microseconds, to three digits. It does not grow with their number.
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
    /// One more.
    pub fn record(&mut self, time: Duration) {
        // It grows as far as any time here goes.
        let _ = self.0.record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }

    /// Those that are not in an earlier state of this.
    pub fn since(&self, earlier: &LatencyHistogram) -> LatencyHistogram {
        let mut since = self.clone();
        // What is subtracted is part of it.
        let _ = since.0.subtract(&earlier.0);
        since
    }
}

impl LoadMetrics {
    /// All that were asked.
    pub fn total(&self) -> u64 {
        self.served + self.refused + self.failed + self.lost
    }

    /// The time that this share of the answers (0 to 1) took at most; zero without any.
    pub fn latency_quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latencies.0.value_at_quantile(quantile))
    }
}

/// Clients and what they ask for.
#[derive(Clone, Debug)]
pub struct Load {
    /// Where they connect.
    pub address: SocketAddr,
    /// The seed of all draws; part of every id.
    pub seed: u64,
    /// How many connections ask side by side.
    pub clients: usize,
    /// How many requests each asks at most.
    pub calls: usize,
    /// Until when they begin new ones.
    pub until: Option<Instant>,
    /// Mean pause between two requests of a client.
    pub pause: Duration,
    /// Classes (`free`, `keyed`, `unsafe`) and the share of each; together 1.
    pub classes: Vec<(&'static str, f64)>,
    /// Bytes of a POST's body.
    pub body: usize,
    /// How long they wait for an answer.
    pub budget: Duration,
    /// How often they come retry after a refusal.
    pub retries: usize,
}

impl Load {
    /// A few clients with a mix of all classes.
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

    /// Asks until all is asked; `metrics` shows how far it is. Needs a [`tokio::task::LocalSet`].
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

    fn class(&self, mut draw: f64) -> &'static str {
        for &(class, share) in &self.classes {
            if draw < share {
                return class;
            }
            draw -= share;
        }
        self.classes.last().expect("a class").0
    }

    /// A request. Its id is new each time that it comes; its key is not.
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

/// Asks on a connection, on a new one if there is none or it turns out closed between two requests. Gives the
/// status and the retry_after when to come back.
async fn exchange(
    idle: &mut Option<Reader<TcpStream>>,
    address: SocketAddr,
    text: &str,
) -> Option<(u16, Duration)> {
    // A server may close between requests; that crosses a request at most once on each connection.
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
