//! The connection of a test client, and HTTP requests as text.

use crate::message::{Message, Reader};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The connection of a test client to a proxy.
pub type Client = Reader<TcpStream>;

/// A request for the readiness of a proxy.
pub const HEALTH_REQUEST: &str = "GET /_health HTTP/1.1\r\n\r\n";

/// A request of a class, with additional header lines and a body. Each has a call id of its own, and a key of its own
/// if the class is `keyed` and the headers have none. Its time budget is 8 s.
pub fn request(class: &str, extra_headers: &str, body: &str) -> String {
    request_for(class, extra_headers, body, Duration::from_secs(8))
}

/// The same as [`request`] with `timeout` as its time budget.
pub fn request_for(class: &str, extra_headers: &str, body: &str, timeout: Duration) -> String {
    static IDS: AtomicU64 = AtomicU64::new(0);
    let (id, length) = (IDS.fetch_add(1, Ordering::Relaxed), body.len());
    let (method, key) = match class {
        "free" => ("GET", String::new()),
        "keyed" if !extra_headers.contains("Idempotency-Key") => {
            ("POST", format!("Idempotency-Key: k{id}\r\n"))
        }
        _ => ("POST", String::new()),
    };
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {length}\r\n") };
    format!(
        "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {id:016x}\r\nX-Call-Class: {class}\r\n\
         X-Budget-Ms: {}\r\n{key}{extra_headers}{length}\r\n{body}",
        timeout.as_millis()
    )
}

impl Client {
    /// Sends this text unchanged.
    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("written");
    }

    /// Sends a request and reads its answer. Panics if the connection ends without one.
    pub async fn exchange(&mut self, text: &str) -> Message {
        self.send(text).await;
        self.message().await.expect("an answer")
    }

    /// Closes the connection for writing and returns when the proxy has closed it too. The proxy's end of the stream
    /// shows that it has noticed, whichever of its engines has the connection. Bytes that arrive meanwhile are
    /// discarded.
    pub async fn close(mut self) {
        // This fails if the proxy has already closed the connection.
        let _ = self.stream.shutdown().await;
        while self.more().await {}
    }
}
