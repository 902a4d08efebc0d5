//! Sends the requests of a stress run over HTTP, with a pool of idle connections that are reused.

use crate::client::{request_for, Client};
use crate::message::Reader;
use crate::stress::SendOutcome;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// A function for [`crate::StressRun::run`] that sends a request to this address. Its arguments are the class, the
/// key and the client's timeout, which is sent as `X-Budget-Ms`. Dropping a send closes its connection, as a client
/// does that abandons its request.
pub fn pooled_sender(
    address: SocketAddr,
) -> impl Fn(&'static str, String, Duration) -> SendFuture + Clone + Send + Sync + 'static {
    let idle: Arc<Mutex<Vec<Client>>> = Arc::default();
    move |class, key, timeout| {
        let idle = idle.clone();
        Box::pin(async move { send(address, &idle, class, &key, timeout).await })
    }
}

/// A send in flight.
pub type SendFuture = std::pin::Pin<Box<dyn Future<Output = SendOutcome> + Send>>;

/// Takes the connection that has been idle for longest.
fn take_oldest(idle: &Mutex<Vec<Client>>) -> Option<Client> {
    let mut idle = idle.lock().unwrap_or_else(PoisonError::into_inner);
    (!idle.is_empty()).then(|| idle.remove(0))
}

/// Sends a request and returns its outcome; a refused connection counts as a refusal.
async fn send(
    address: SocketAddr,
    idle: &Mutex<Vec<Client>>,
    class: &str,
    key: &str,
    timeout: Duration,
) -> SendOutcome {
    let text = request_for(class, &format!("Idempotency-Key: {key}\r\n"), &format!("pays {key}"), timeout);
    // The server may close a reused connection just as a request is sent on it; then the request is sent once more.
    for _ in 0..2 {
        // Taking the oldest first spreads the sends over many connections, and so over all engines that accept them.
        let idle_client = take_oldest(idle);
        let reused = idle_client.is_some();
        let mut client = match idle_client {
            Some(client) => client,
            None => match TcpStream::connect(address).await {
                Ok(stream) => Reader::new(stream),
                Err(_) => return SendOutcome::Refused(Duration::from_millis(10)),
            },
        };
        let written = client.stream.write_all(text.as_bytes()).await.is_ok();
        let answer = if written { client.message().await } else { None };
        let Some(answer) = answer else {
            if reused {
                continue;
            }
            return SendOutcome::Unsure;
        };
        let outcome = match answer.status() {
            200 => {
                let replayed = answer.header("idempotency-replayed") == Some("true");
                SendOutcome::Answer { body: answer.body.clone(), replayed }
            }
            503 => {
                let seconds = answer.header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.05);
                SendOutcome::Refused(Duration::try_from_secs_f64(seconds).unwrap_or_default())
            }
            _ if answer.body.windows(9).any(|part| part == b"\"running\"") => SendOutcome::Running,
            _ => SendOutcome::Unsure,
        };
        if answer.header("connection") != Some("close") {
            idle.lock().unwrap_or_else(PoisonError::into_inner).push(client);
        }
        return outcome;
    }
    SendOutcome::Unsure
}
