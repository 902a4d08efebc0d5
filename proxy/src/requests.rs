//! What a client's request says and whether it can be used, and the answers that clients get.

use crate::stop::Ending;
use http::request::Parts;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Buf, Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use nettleworks_engine::calls::{KeyStatus, Reply, RequestInfo};
use nettleworks_engine::config::Config;
use nettleworks_engine::driver::Handle;
use nettleworks_engine::http1::{BoxError, ForwardedRequest, Http1, MAX_BODY_BYTES};
use nettleworks_engine::socket::Socket;
use nettleworks_keys::KeyState;
use nettleworks_keys_station::{KeyStoreConfig, WithKeys};
use nettleworks_policy::{ClassId, Idempotency, TenantId};
use std::pin::pin;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at, Instant};

/// The part of a client's time that is kept for the answer's way back.
const WAY_BACK: Duration = Duration::from_millis(10);
/// What is still read of a body that is turned away, and for how long.
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
pub async fn answer(driver: Driver, request: Request<Incoming>, arrival: Arrival, ending: &Ending) -> Answer {
    match request.uri().path() {
        "/_health" if driver.is_ready() => plain(StatusCode::OK),
        "/_health" => plain(StatusCode::SERVICE_UNAVAILABLE),
        "/api" => {
            let Arrival { socket, whole_by } = arrival;
            match take_in(&driver.config(), request, whole_by, || socket.last_read_at()).await {
                Ok((mut ask, forward)) => {
                    // Nobody is there to hear of a request whose client has left, also where what that sent lay behind
                    // another.
                    if socket.is_closed_by_peer() {
                        return unusable(StatusCode::BAD_REQUEST);
                    }
                    ask.deadline = ending.at().map_or(ask.deadline, |at| ask.deadline.min(at));
                    let mut waiting = driver.request(ask, forward);
                    let reply = tokio::select! {
                        biased;
                        reply = waiting.wait() => reply,
                        () = ending.reached() => waiting.abort(),
                    };
                    answered(reply)
                }
                Err(turned) => {
                    if let Some(rest) = turned.rest {
                        spawn_local(drain(rest));
                    }
                    unusable(turned.status)
                }
            }
        }
        _ => {
            spawn_local(drain(request.into_body()));
            unusable(StatusCode::NOT_FOUND)
        }
    }
}

/// A request that is turned away; the module never sees it.
#[derive(Debug)]
pub struct TurnedAway<B> {
    /// What its client is told.
    pub status: StatusCode,
    /// What has not been read of it: to be read on for a while, see [`drain`].
    pub rest: Option<B>,
}

impl<B> TurnedAway<B> {
    fn unread(status: StatusCode, rest: B) -> Self {
        TurnedAway { status, rest: Some(rest) }
    }
}

/// Reads a request whole: its body must be there by `whole_by` and hold [`MAX_BODY_BYTES`] bytes at most. Its client's
/// time runs from `read_at`, asked when it is whole. What cannot be used is turned away with a status.
pub async fn take_in<B>(
    config: &Config,
    request: Request<B>,
    whole_by: Instant,
    read_at: impl FnOnce() -> Instant,
) -> Result<(RequestInfo<HeaderValue>, ForwardedRequest), TurnedAway<B>>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let (head, body) = request.into_parts();
    let large = body.size_hint().lower() > MAX_BODY_BYTES as u64;
    let (mut ask, budget) = match ask(config, &head.method, &head.headers, body.is_end_stream()) {
        Ok(_) if large => return Err(TurnedAway::unread(StatusCode::PAYLOAD_TOO_LARGE, body)),
        Ok(usable) => usable,
        Err(status) => return Err(TurnedAway::unread(status, body)),
    };
    let status = match timeout_at(whole_by, Limited::new(body, MAX_BODY_BYTES).collect()).await {
        Ok(Ok(body)) => {
            ask.deadline = read_at() + budget.saturating_sub(WAY_BACK);
            return Ok((ask.clone(), forward(config, &ask, head, body.to_bytes())));
        }
        Ok(Err(error)) if error.is::<LengthLimitError>() => StatusCode::PAYLOAD_TOO_LARGE,
        Ok(Err(_)) => StatusCode::BAD_REQUEST,
        Err(_) => StatusCode::REQUEST_TIMEOUT,
    };
    Err(TurnedAway { status, rest: None })
}

/// What goes on to hosts of a request that can be used. A key that only the store of keys knows goes on where that is
/// configured.
pub fn forward(
    config: &Config,
    ask: &RequestInfo<HeaderValue>,
    head: Parts,
    body: Bytes,
) -> ForwardedRequest {
    let target = head.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default();
    let mut headers = end_to_end(head.headers);
    let goes_on = |keys: &KeyStoreConfig| keys.forward.get(ask.class.0).copied().unwrap_or_default();
    let class = config.settings.classes.get(ask.class.0);
    let held = ask.key.is_some() && class.is_some_and(|class| class.idempotency == Idempotency::SingleShot);
    if held && !config.keys().is_some_and(goes_on) {
        headers.remove("idempotency-key");
    }
    ForwardedRequest { method: head.method, target, headers, body }
}

/// Reads on and throws away, within bounds: closing on a client that is sending would reset the connection, and the
/// answer might be lost with it.
pub async fn drain<B: Body>(body: B) {
    if !body.is_end_stream() {
        let rest = async {
            let mut body = pin!(body);
            let mut read = 0;
            while read < DRAIN_MOST {
                let Some(Ok(frame)) = body.as_mut().frame().await else { break };
                read += frame.data_ref().map_or(0, Buf::remaining);
            }
        };
        let _ = timeout(DRAIN_TIME, rest).await;
    }
}

/// What a head says, and the client's time in all, from now on. A status if it says too little, or two things.
/// `empty`: there is no body.
pub fn ask(
    config: &Config,
    method: &Method,
    headers: &HeaderMap,
    empty: bool,
) -> Result<(RequestInfo<HeaderValue>, Duration), StatusCode> {
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
) -> Option<(RequestInfo<HeaderValue>, Duration)> {
    single(headers, "x-call-id").filter(|id| !id.is_empty())?;
    let id = headers.get("x-call-id")?.clone();
    let class = place(&config.classes, single(headers, "x-call-class")?)?;
    let spec = config.settings.classes.get(class)?;
    // Hosts go by the form: a keyed request without its key would run again wherever it is sent again.
    let keyed = headers.contains_key("idempotency-key");
    let fits = match spec.idempotency {
        Idempotency::Free => method == Method::GET && empty && !keyed,
        Idempotency::Guarded { .. } => {
            single(headers, "idempotency-key").filter(|key| !key.is_empty())?;
            method == Method::POST
        }
        // Hosts know nothing of its key; the store of keys does, where there is one.
        Idempotency::SingleShot if keyed && config.keys().is_some() => {
            single(headers, "idempotency-key").filter(|key| !key.is_empty())?;
            method == Method::POST
        }
        Idempotency::SingleShot => method == Method::POST && !keyed,
    };
    let digits = |text: &&str| text.bytes().all(|byte| byte.is_ascii_digit());
    let budget = single(headers, "x-budget-ms").filter(digits)?.parse::<u32>().ok().filter(|ms| *ms > 0)?;
    // No client waits longer than its class.
    let budget = Duration::from_millis(budget.into()).min(Duration::from_micros(spec.deadline));
    let tenant = single(headers, "x-caller").and_then(|name| place(&config.tenants, name)).map(TenantId);
    let resent = single(headers, "x-again").is_some_and(|value| value == "1");
    let key = headers.get("idempotency-key").filter(|_| config.keys().is_some());
    let key = key.map(|key| Bytes::copy_from_slice(key.as_bytes()));
    let ask = RequestInfo { id, class: ClassId(class), tenant, deadline: Instant::now(), resent, key };
    fits.then_some((ask, budget))
}

fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())?.to_str().ok()
}

/// The answer that a client gets for a reply.
pub fn answered(reply: Reply<Response<Bytes>>) -> Answer {
    match reply {
        Reply::Served(answer) => served(answer).map(Full::new),
        Reply::Refused(after) => refused(after),
        Reply::Failed => plain(StatusCode::BAD_GATEWAY),
        Reply::Unsure(doubt) => unsure(doubt),
        Reply::DuplicateId => unusable(StatusCode::CONFLICT),
        Reply::KeyReused => plain(StatusCode::UNPROCESSABLE_ENTITY),
        Reply::InvalidKey => plain(StatusCode::BAD_REQUEST),
    }
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

/// A host's answer without what belongs to the host's connection.
pub fn served(answer: Response<Bytes>) -> Response<Bytes> {
    let (mut head, body) = answer.into_parts();
    head.headers = end_to_end(head.headers);
    Response::from_parts(head, body)
}

/// Turned away unharmed; the client may come again after this time, rounded up to milliseconds. After zero it is not
/// told when: it would come again at once.
pub fn refused(after: Duration) -> Answer {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
    let milliseconds = after.as_micros().div_ceil(1_000);
    if milliseconds > 0 {
        let seconds = format!("{}.{:03}", milliseconds / 1_000, milliseconds % 1_000);
        let value = HeaderValue::try_from(seconds).ok();
        answer.headers_mut().extend(value.map(|value| (header::RETRY_AFTER, value)));
    }
    answer
}

/// The answer for a key whose request ran or may have, where there is no answer to pass on: 502 with problem details
/// (RFC 9457), so that an application can tell it from a bad gateway. `type` and the values of `key_state` do not
/// change; `key_age_ms` counts from the key's first request.
pub fn unsure(doubt: KeyStatus) -> Answer {
    let (name, title) = match KeyState::named(doubt.state).unwrap_or(KeyState::Unsure) {
        KeyState::Running => ("key-running", "The request is still running."),
        KeyState::Answered | KeyState::Forgotten | KeyState::Ran => {
            ("key-ran", "The request has run, and its answer is not known here.")
        }
        KeyState::Unsure | KeyState::NeverRan => ("key-unsure", "The request may have run."),
    };
    let body = serde_json::json!({
        "type": format!("urn:nettleworks:problem:{name}"),
        "title": title,
        "status": StatusCode::BAD_GATEWAY.as_u16(),
        "key_state": doubt.state,
        "key_age_ms": u64::try_from(doubt.age.as_millis()).unwrap_or(u64::MAX),
    });
    let mut answer = plain(StatusCode::BAD_GATEWAY);
    answer.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    *answer.body_mut() = Full::new(Bytes::from(body.to_string()));
    answer
}

/// Turned away for good, and with it the connection: what else came on it might be read as a request.
pub fn unusable(status: StatusCode) -> Answer {
    let mut answer = plain(status);
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    answer
}

/// An answer of a status alone.
pub fn plain(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}
