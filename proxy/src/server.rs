//! The application's side: takes requests in and gives each its one answer.

use crate::driver::{Ask, Forward, Handle, Reply};
use crate::log;
use crate::upstream::{BODY_MOST, HEAD_MOST};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use ochrepond::{ClassId, Repeat, TenantId};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{spawn_local, yield_now, JoinHandle};
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// How long new connections are still taken after the order to stop; they come for up to 0.4 s.
const STOP_DELAY: Duration = Duration::from_millis(500);
/// How long open requests are waited for after that: the longest deadline.
const STOP_MOST: Duration = Duration::from_secs(3);
/// A connection that had its last answer this long ago has surely sent it.
const IDLE_LEAST: Duration = Duration::from_secs(1);
/// The part of a client's time that is kept for the answer's way back.
const WAY_BACK: Duration = Duration::from_millis(10);
/// Time for a request's head, from a connection's start or its last answer: one that says nothing is closed.
const HEAD_TIME: Duration = Duration::from_secs(60);
/// Pause after a failure to accept, which descriptors that are set free must end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Listens at an address. A proxy that was killed leaves connections behind there, which must not keep the
/// next one from starting.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves until `stop` is done, then goes on for as long as new connections may come, then closes connections
/// between requests and returns when none is left.
pub async fn serve(listener: TcpListener, driver: Handle, stop: impl Future<Output = ()>) {
    let mut clients = Clients { driver, graceful: GracefulShutdown::new(), open: Vec::new() };
    let mut stop = pin!(async {
        stop.await;
        sleep(STOP_DELAY).await;
    });
    loop {
        tokio::select! {
            () = clients.room() => {}
            () = &mut stop => break,
        }
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => clients.serve(stream),
                Err(error) => {
                    log(&format!("accept: {error}"));
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            () = &mut stop => break,
        }
    }
    // What the machine has accepted by now has been taken: closing the listener would reset it.
    while clients.has_room() {
        let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await else { break };
        clients.serve(stream);
    }
    drop(listener);
    // Whoever has sent half a request by then, or does not read its answer, must not keep the process.
    let _ = timeout(STOP_MOST, clients.graceful.shutdown()).await;
}

/// A client's connection: its task, and since when no request is open on it (`None`: one is).
struct Client {
    task: JoinHandle<()>,
    idle: Rc<Cell<Option<Instant>>>,
}

/// The connections of clients.
struct Clients {
    driver: Handle,
    graceful: GracefulShutdown,
    open: Vec<Client>,
}

impl Clients {
    /// Waits until one more connection may be open. At the limit the one that has been idle the longest is
    /// closed: clients that keep connections and say nothing must not keep others out.
    async fn room(&mut self) {
        while !self.has_room() {
            let oldest = self.open.iter().filter_map(|c| Some((c.idle.get()?, c))).min_by_key(|(at, _)| *at);
            // One that has just been answered may still have its answer on the way.
            match oldest.filter(|(since, _)| since.elapsed() > IDLE_LEAST) {
                Some((_, client)) => client.task.abort(),
                None => sleep(ACCEPT_PAUSE).await,
            }
            yield_now().await;
        }
    }

    fn has_room(&mut self) -> bool {
        self.open.retain(|client| !client.task.is_finished());
        self.open.len() < self.driver.config().connections_each_way()
    }

    fn serve(&mut self, stream: TcpStream) {
        if let Err(error) = stream.set_nodelay(true) {
            log(&format!("nodelay: {error}"));
        }
        let idle = Rc::new(Cell::new(Some(Instant::now())));
        let (driver, state) = (self.driver.clone(), idle.clone());
        let service = service_fn(move |request| {
            let (driver, state) = (driver.clone(), state.clone());
            async move {
                state.set(None);
                let answer = answer(driver, request).await;
                state.set(Some(Instant::now()));
                Ok::<_, Infallible>(answer)
            }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIME)
            .max_buf_size(HEAD_MOST)
            .serve_connection(TokioIo::new(stream), service);
        let connection = self.graceful.watch(connection);
        let task = spawn_local(async move {
            // A connection that breaks ends its request's waiting, which tells the module.
            let _ = connection.await;
        });
        self.open.push(Client { task, idle });
    }
}

type Answer = Response<Full<Bytes>>;

async fn answer(driver: Handle, request: Request<Incoming>) -> Answer {
    let arrived = Instant::now();
    match request.uri().path() {
        "/_health" if driver.is_ready() => plain(StatusCode::OK),
        "/_health" => plain(StatusCode::SERVICE_UNAVAILABLE),
        "/api" => match take_in(&driver, request, arrived).await {
            Ok((ask, forward)) => match driver.request(ask, forward).reply().await {
                Reply::Served(answer) => served(answer),
                Reply::Refused(after) => refused(after),
                Reply::Failed => plain(StatusCode::BAD_GATEWAY),
            },
            Err(status) => plain(status),
        },
        _ => plain(StatusCode::NOT_FOUND),
    }
}

/// Reads a request whole. What cannot be used is turned away with a status; the module never sees it.
async fn take_in(
    driver: &Handle,
    request: Request<Incoming>,
    arrived: Instant,
) -> Result<(Ask, Forward), StatusCode> {
    let (head, body) = request.into_parts();
    let (mut ask, budget) = ask(driver, &head.headers).ok_or(StatusCode::BAD_REQUEST)?;
    ask.deadline = arrived + budget.saturating_sub(WAY_BACK);
    if body.size_hint().lower() > BODY_MOST as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let body = match timeout_at(arrived + budget, Limited::new(body, BODY_MOST).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => return Err(StatusCode::BAD_REQUEST),
        Err(_) => return Err(StatusCode::REQUEST_TIMEOUT),
    };
    let target = head.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default();
    let forward = Forward { method: head.method, target, headers: end_to_end(head.headers), body };
    Ok((ask, forward))
}

/// What the headers say of a request; `None` if its id, class or budget is missing, double or unusable.
fn ask(driver: &Handle, headers: &HeaderMap) -> Option<(Ask, Duration)> {
    let config = driver.config();
    single(headers, "x-call-id").filter(|id| !id.is_empty())?;
    let class = place(&config.classes, single(headers, "x-call-class")?)?;
    let spec = config.settings.classes.get(class)?;
    // Without its key a keyed request would run again wherever it is sent again.
    if matches!(spec.repeat, Repeat::Guarded { .. }) {
        single(headers, "idempotency-key").filter(|key| !key.is_empty())?;
    }
    let budget = single(headers, "x-budget-ms")?.parse::<u32>().ok().filter(|ms| *ms > 0)?;
    // No client waits longer than its class: more would let a body that never ends keep its place for weeks.
    let budget = Duration::from_millis(budget.into()).min(Duration::from_micros(spec.deadline));
    let tenant = single(headers, "x-caller").and_then(|name| place(&config.tenants, name)).map(TenantId);
    let resent = single(headers, "x-again").is_some_and(|value| value == "1");
    let ask = Ask { class: ClassId(class), tenant, deadline: Instant::now(), resent };
    Some((ask, budget))
}

fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())?.to_str().ok()
}

/// Headers that go on to the other side: all but those of this connection and its framing.
fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named: Vec<String> = named.flat_map(|v| v.split(',')).map(|name| name.trim().to_owned()).collect();
    let fixed = ["connection", "content-length", "expect", "keep-alive", "proxy-connection", "te", "trailer"];
    let more = ["transfer-encoding", "upgrade"];
    for name in named.iter().map(String::as_str).chain(fixed).chain(more) {
        headers.remove(name);
    }
    headers
}

fn served(answer: Response<Bytes>) -> Answer {
    let (mut head, body) = answer.into_parts();
    head.headers = end_to_end(head.headers);
    Response::from_parts(head, Full::new(body))
}

fn refused(after: Duration) -> Answer {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", after.as_secs_f64());
    answer
        .headers_mut()
        .extend(HeaderValue::try_from(seconds).ok().map(|value| (header::RETRY_AFTER, value)));
    answer
}

fn plain(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}
