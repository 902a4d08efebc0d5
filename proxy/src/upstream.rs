//! Connections to hosts, and one exchange on one of them.

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use ochrepond::{Load, Outcome};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Most bytes of a body, either way.
pub const BODY_MOST: usize = 64 << 10;
/// Most bytes of a head that are kept.
pub const HEAD_MOST: usize = 64 << 10;
/// Time for the rest of an answer that is not passed on; past it the connection is given up instead.
const REST: Duration = Duration::from_millis(20);

/// Any failure, in words.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Bytes that were written for one attempt: none means that no host can have seen it.
pub type Meter = Rc<Cell<usize>>;

/// A task that ends with its owner.
#[derive(Debug)]
pub struct Task(AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Runs a future on this thread for as long as the returned task is kept.
pub fn spawn(future: impl Future + 'static) -> Task {
    Task(tokio::task::spawn_local(async move { drop(future.await) }).abort_handle())
}

/// Opens a TCP connection without Nagle's delay.
pub async fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// A connection to a host. It is closed when this is dropped, also with a request out on it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Where the bytes of the attempt that has the connection now are counted.
    meter: Rc<RefCell<Meter>>,
    _task: Task,
    _slot: Rc<()>,
}

impl Connection {
    /// Opens a connection; `slot` is held for as long as it is open.
    pub async fn open(address: SocketAddr, limit: Duration, slot: Rc<()>) -> Result<Connection, BoxError> {
        let stream = timeout(limit, dial(address)).await??;
        let meter = Rc::new(RefCell::new(Meter::default()));
        let io = Metered { io: TokioIo::new(stream), meter: meter.clone() };
        let (sender, connection) = http1::Builder::new().max_buf_size(HEAD_MOST).handshake(io).await?;
        Ok(Connection { sender, meter, _task: spawn(connection), _slot: slot })
    }

    /// Whether a request can be written to it now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub struct End {
    /// How.
    pub outcome: Outcome,
    /// The host's report on its load.
    pub load: Load,
    /// The answer to pass on, where it served.
    pub answer: Option<Response<Bytes>>,
    /// The connection, if it can be used again.
    pub connection: Option<Connection>,
}

impl End {
    /// An end without an answer.
    pub fn without_answer(outcome: Outcome) -> End {
        End { outcome, load: Load::default(), answer: None, connection: None }
    }
}

/// Sends a request on a connection and reads the whole answer. `None`: the connection was found closed before
/// any of the request was written.
pub async fn exchange(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    meter: &Meter,
) -> Option<End> {
    connection.meter.replace(meter.clone());
    let response = match connection.sender.send_request(request).await {
        Ok(response) => response,
        Err(_) if meter.get() == 0 => return None,
        Err(error) => return Some(End::without_answer(broken(&error))),
    };
    let (head, body) = response.into_parts();
    let load = head.headers.get("x-load-report").and_then(|v| v.to_str().ok()).map(load).unwrap_or_default();
    let body = Limited::new(body, BODY_MOST).collect();
    let (outcome, answer, whole) = if head.status == StatusCode::OK {
        match body.await {
            Ok(body) => (Outcome::Served, Some(Response::from_parts(head, body.to_bytes())), true),
            // It has run, and what it said is lost.
            Err(error) => match error.downcast_ref::<hyper::Error>() {
                Some(error) => (broken(error), None, false),
                None => (Outcome::Unknown, None, false),
            },
        }
    } else {
        // The outcome is known: a rest that breaks or stalls must not change it.
        let whole = matches!(timeout(REST, body).await, Ok(Ok(_)));
        (refusal(head.status, &head.headers), None, whole)
    };
    // Ready again before the outcome is told: else the next request would find no idle connection.
    let again = whole && matches!(timeout(REST, connection.sender.ready()).await, Ok(Ok(())));
    Some(End { outcome, load, answer, connection: again.then_some(connection) })
}

/// What an exchange proves that broke after writing. An answer that cannot be read is no reset, but the request
/// may have run as well.
fn broken(error: &hyper::Error) -> Outcome {
    if error.is_parse() {
        Outcome::Unknown
    } else {
        Outcome::Reset
    }
}

/// What an answer other than 200 proves.
fn refusal(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let unseen = headers.get("x-rejected").is_some_and(|v| v == "1");
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unseen => Outcome::TurnedAway,
        StatusCode::INTERNAL_SERVER_ERROR => Outcome::Error,
        _ => Outcome::Unknown,
    }
}

/// Reads a load report, `name=value,name=value`; what is not known or no number is passed over. The names are
/// those of the settings (`report.columns`), as on the simulator's wire: read under other names, every report
/// would be lost without a sign.
fn load(text: &str) -> Load {
    let mut load = Load::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let value = value.trim().parse().ok().filter(|v: &f64| v.is_finite());
        match name.trim() {
            "active" => load.in_hand = value,
            "waiting" => load.waiting = value,
            "cpu" => load.busy = value,
            _ => {}
        }
    }
    load
}

/// A stream that counts what is written to it.
struct Metered {
    io: TokioIo<TcpStream>,
    meter: Rc<RefCell<Meter>>,
}

impl Read for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl Write for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = written {
            let meter = self.meter.borrow();
            meter.set(meter.get() + count);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_load_report_is_read_under_the_names_of_the_settings() {
        let read = load("active=7.5,waiting=2,avg_ms=14.766,cpu=0.5");
        assert_eq!(read, Load { in_hand: Some(7.5), waiting: Some(2.0), busy: Some(0.5) });
    }

    #[test]
    fn what_is_no_number_in_a_load_report_is_passed_over() {
        let read = load("active=NaN,waiting=many, cpu = 0.25 ,odd,=,active");
        assert_eq!(read, Load { in_hand: None, waiting: None, busy: Some(0.25) });
    }
}
