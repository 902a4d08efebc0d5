//! What a client's request says and whether it can be used, and the answers that clients get.

use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use nettleworks_engine::calls::{Ask, Reply};
use nettleworks_engine::config::Config;
use nettleworks_engine::driver::Handle;
use nettleworks_engine::http1::{Forward, Http1, BODY_MOST};
use nettleworks_engine::socket::Socket;
use nettleworks_policy::{ClassId, Repeat, TenantId};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at, Instant};

/// The part of a client's time that is kept for the answer's way back.
const WAY_BACK: Duration = Duration::from_millis(10);
/// What is still read of a body that is turned away, and for how long: closing on a client that is sending would
/// reset the connection, and the answer might be lost with it.
const DRAIN_MOST: usize = 1 << 20;
const DRAIN_TIME: Duration = Duration::from_millis(500);

/// The driver that this front brings its requests to.
pub type Driver = Handle<Http1>;

/// An answer to a client.
pub type Answer = Response<Full<Bytes>>;

/// How a request comes.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Where it is read. Its client's time runs from its last byte, also while it waits behind another.
    pub socket: Socket,
    /// By when its body must be whole.
    pub whole_by: Instant,
}

/// Gives a request its one answer.
pub async fn answer(driver: Driver, request: Request<Incoming>, arrival: Arrival) -> Answer {
    match request.uri().path() {
        "/_health" if driver.is_ready() => plain(StatusCode::OK),
        "/_health" => plain(StatusCode::SERVICE_UNAVAILABLE),
        "/api" => match take_in(&driver, request, arrival).await {
            Ok((ask, forward)) => match driver.request(ask, forward).reply().await {
                Reply::Served(answer) => served(answer),
                Reply::Refused(after) => refused(after),
                Reply::Failed => plain(StatusCode::BAD_GATEWAY),
                Reply::IdOpen => unusable(StatusCode::CONFLICT),
            },
            Err(status) => unusable(status),
        },
        _ => {
            drain(request.into_body());
            unusable(StatusCode::NOT_FOUND)
        }
    }
}

/// Reads a request whole. What cannot be used is turned away with a status; the module never sees it.
async fn take_in(
    driver: &Driver,
    request: Request<Incoming>,
    arrival: Arrival,
) -> Result<(Ask<HeaderValue>, Forward), StatusCode> {
    let (head, body) = request.into_parts();
    let large = body.size_hint().lower() > BODY_MOST as u64;
    let (mut ask, budget) = match ask(&driver.config(), &head.method, &head.headers, body.is_end_stream()) {
        Ok(_) if large => {
            drain(body);
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        Ok(usable) => usable,
        Err(status) => {
            drain(body);
            return Err(status);
        }
    };
    let body = match timeout_at(arrival.whole_by, Limited::new(body, BODY_MOST).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => return Err(StatusCode::BAD_REQUEST),
        Err(_) => return Err(StatusCode::REQUEST_TIMEOUT),
    };
    ask.deadline = arrival.socket.read_at() + budget.saturating_sub(WAY_BACK);
    let target = head.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default();
    let forward = Forward { method: head.method, target, headers: end_to_end(head.headers), body };
    Ok((ask, forward))
}

/// Reads on and throws away, within bounds.
fn drain(body: Incoming) {
    if !body.is_end_stream() {
        spawn_local(timeout(DRAIN_TIME, async {
            let mut body = Limited::new(body, DRAIN_MOST);
            while let Some(Ok(_)) = body.frame().await {}
        }));
    }
}

/// What a head says, and the client's time. A status if it says too little, or two things.
pub fn ask(
    config: &Config,
    method: &Method,
    headers: &HeaderMap,
    empty: bool,
) -> Result<(Ask<HeaderValue>, Duration), StatusCode> {
    // Beside a length it may hide a second request in the body, and the length is no longer there to be seen:
    // hyper drops it. No client of ours needs it.
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return Err(StatusCode::LENGTH_REQUIRED);
    }
    usable(config, method, headers, empty).ok_or(StatusCode::BAD_REQUEST)
}

/// `None` if the id, class or budget is missing, double or unusable, or the request is not of its class's form.
fn usable(
    config: &Config,
    method: &Method,
    headers: &HeaderMap,
    empty: bool,
) -> Option<(Ask<HeaderValue>, Duration)> {
    single(headers, "x-call-id").filter(|id| !id.is_empty())?;
    let id = headers.get("x-call-id")?.clone();
    let class = place(&config.classes, single(headers, "x-call-class")?)?;
    let spec = config.settings.classes.get(class)?;
    // Hosts go by the form: a keyed request without its key would run again wherever it is sent again.
    let keyed = headers.contains_key("idempotency-key");
    let fits = match spec.repeat {
        Repeat::Free => method == Method::GET && empty && !keyed,
        Repeat::Guarded { .. } => {
            single(headers, "idempotency-key").filter(|key| !key.is_empty())?;
            method == Method::POST
        }
        Repeat::SingleShot => method == Method::POST && !keyed,
    };
    let digits = |text: &&str| text.bytes().all(|byte| byte.is_ascii_digit());
    let budget = single(headers, "x-budget-ms").filter(digits)?.parse::<u32>().ok().filter(|ms| *ms > 0)?;
    // No client waits longer than its class.
    let budget = Duration::from_millis(budget.into()).min(Duration::from_micros(spec.deadline));
    let tenant = single(headers, "x-caller").and_then(|name| place(&config.tenants, name)).map(TenantId);
    let resent = single(headers, "x-again").is_some_and(|value| value == "1");
    let ask = Ask { id, class: ClassId(class), tenant, deadline: Instant::now(), resent };
    fits.then_some((ask, budget))
}

fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())?.to_str().ok()
}

/// Headers that go on to the other side: all but those of this connection and its framing.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
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

/// Turned away for good, and with it the connection: what else came on it might be read as a request.
fn unusable(status: StatusCode) -> Answer {
    let mut answer = plain(status);
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    answer
}

fn plain(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}
