//! A storm's sends over connections, of which each is kept for the next send that needs one.

use crate::client::{request_for, Client};
use crate::message::Reader;
use crate::storm::Got;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Makes a send of a class under a key, for a client that waits so long: [`crate::Storm::run`] takes it as its call. A
/// send that is dropped drops its connection, as a client does that leaves.
pub fn over(
    address: SocketAddr,
) -> impl Fn(&'static str, String, Duration) -> Sending + Clone + Send + Sync + 'static {
    let kept: Arc<Mutex<Vec<Client>>> = Arc::default();
    move |class, key, patience| {
        let kept = kept.clone();
        Box::pin(async move { send(address, &kept, class, &key, patience).await })
    }
}

/// A send that is out.
pub type Sending = std::pin::Pin<Box<dyn Future<Output = Got> + Send>>;

fn oldest(kept: &Mutex<Vec<Client>>) -> Option<Client> {
    let mut idle = kept.lock().unwrap_or_else(PoisonError::into_inner);
    (!idle.is_empty()).then(|| idle.remove(0))
}

async fn send(
    address: SocketAddr,
    kept: &Mutex<Vec<Client>>,
    class: &str,
    key: &str,
    patience: Duration,
) -> Got {
    let text = request_for(class, &format!("Idempotency-Key: {key}\r\n"), &format!("pays {key}"), patience);
    // A server may close between two requests: that crosses a request at most once on each connection.
    for _ in 0..2 {
        // The oldest first: sends go over many connections, and so to all that accept them.
        let again = oldest(kept);
        let reused = again.is_some();
        let mut client = match again {
            Some(client) => client,
            None => match TcpStream::connect(address).await {
                Ok(stream) => Reader::new(stream),
                Err(_) => return Got::Refused(Duration::from_millis(10)),
            },
        };
        let written = client.stream.write_all(text.as_bytes()).await.is_ok();
        let answer = if written { client.message().await } else { None };
        let Some(answer) = answer else {
            if reused {
                continue;
            }
            return Got::Unsure;
        };
        let got = match answer.status() {
            200 => {
                let replayed = answer.header("idempotency-replayed") == Some("true");
                Got::Answer { body: answer.body.clone(), replayed }
            }
            503 => {
                let seconds = answer.header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.05);
                Got::Refused(Duration::try_from_secs_f64(seconds).unwrap_or_default())
            }
            _ if answer.body.windows(9).any(|part| part == b"\"running\"") => Got::Running,
            _ => Got::Unsure,
        };
        if answer.header("connection") != Some("close") {
            kept.lock().unwrap_or_else(PoisonError::into_inner).push(client);
        }
        return got;
    }
    Got::Unsure
}
