//! A client's connection, and requests as text.

use crate::message::{Message, Reader};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// A client's connection.
pub type Client = Reader<TcpStream>;

/// Asks whether a proxy is ready.
pub const HEALTH_REQUEST: &str = "GET /_health HTTP/1.1\r\n\r\n";

/// A request of a class, with further header lines and a body. Each has an id of its own.
pub fn request(class: &str, extra_headers: &str, body: &str) -> String {
    request_for(class, extra_headers, body, Duration::from_secs(8))
}

/// The same for a client that waits so long.
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
    /// Writes text as it is.
    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("written");
    }

    /// Sends a request and reads its answer.
    pub async fn exchange(&mut self, text: &str) -> Message {
        self.send(text).await;
        self.message().await.expect("an answer")
    }

    /// Goes, and returns when the proxy has seen it: the close is told by the connection itself, so it holds whichever
    /// of a proxy's engines has it. What came meanwhile is not read.
    pub async fn close(mut self) {
        // One that the proxy has closed already is gone, too.
        let _ = self.stream.shutdown().await;
        while self.more().await {}
    }
}
