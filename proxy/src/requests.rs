//! What a client's request says and whether it can be used, and the answers that clients get.

use crate::shutdown::ShutdownDeadline;
use http::request::Parts;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Buf, Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use nettleworks_engine::calls::{Ask, Doubt, Reply};
use nettleworks_engine::config::Config;
use nettleworks_engine::driver::Handle;
use nettleworks_engine::http1::{BoxError, Forward, Http1, BODY_MOST};
use nettleworks_engine::socket::Socket;
use nettleworks_keys::KeyState;
use nettleworks_keys_station::{Keys, WithKeys};
use nettleworks_policy::{ClassId, Repeat, TenantId};
use std::pin::pin;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at, Instant};

/// The part of a client's time that is kept for the answer's way back.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);
/// What is still read of a body that is turned away, and for how long.
const MAX_DRAINED_BYTES: usize = 1 << 20;
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// The driver that this front brings its requests to.
pub type Driver = Handle<Http1>;

/// An answer to a client.
pub type ClientResponse = Response<Full<Bytes>>;

/// How a request comes.
#[derive(Clone, Debug)]
pub struct RequestSource {
    /// Where it is read. Its client's time runs from its last byte, also while it waits behind another.
    pub socket: Socket,
    /// By when its body must be whole.
    pub body_deadline: Instant,
}

/// Gives a request its one answer.
pub async fn respond(
    driver: Driver,
    request: Request<Incoming>,
    source: RequestSource,
    shutdown: &ShutdownDeadline,
) -> ClientResponse {
    match request.uri().path() {
        "/_health" if driver.is_ready() => status_response(StatusCode::OK),
        "/_health" => status_response(StatusCode::SERVICE_UNAVAILABLE),
        "/api" => {
            let RequestSource { socket, body_deadline } = source;
            match read_request(&driver.config(), request, body_deadline, || socket.read_at()).await {
                Ok((mut ask, forward)) => {
                    // Nobody is there to hear of a request whose client has left, also where what that sent lay behind
                    // another.
                    if socket.is_left() {
                        return closing_response(StatusCode::BAD_REQUEST);
                    }
                    ask.deadline =
                        shutdown.get().map_or(ask.deadline, |respond_by| ask.deadline.min(respond_by));
                    let mut pending = driver.request(ask, forward);
                    let reply = tokio::select! {
                        biased;
                        reply = pending.hear() => reply,
                        () = shutdown.reached() => pending.cut_short(),
                    };
                    reply_response(reply)
                }
                Err(rejected) => {
                    if let Some(body) = rejected.unread_body {
                        spawn_local(drain(body));
                    }
                    closing_response(rejected.status)
                }
            }
        }
        _ => {
            spawn_local(drain(request.into_body()));
            closing_response(StatusCode::NOT_FOUND)
        }
    }
}

/// A request that is turned away; the module never sees it.
#[derive(Debug)]
pub struct RejectedRequest<B> {
    /// What its client is told.
    pub status: StatusCode,
    /// What has not been read of it: to be read on for a while, see [`drain`].
    pub unread_body: Option<B>,
}

impl<B> RejectedRequest<B> {
    fn unread(status: StatusCode, unread_body: B) -> Self {
        RejectedRequest { status, unread_body: Some(unread_body) }
    }
}

/// Reads a request whole: its body must be there by `whole_by` and hold [`BODY_MOST`] bytes at most. Its client's
/// time runs from `read_at`, asked when it is whole. What cannot be used is turned away with a status.
pub async fn read_request<B>(
    config: &Config,
    request: Request<B>,
    body_deadline: Instant,
    read_at: impl FnOnce() -> Instant,
) -> Result<(Ask<HeaderValue>, Forward), RejectedRequest<B>>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let (head, body) = request.into_parts();
    let too_large = body.size_hint().lower() > BODY_MOST as u64;
    let (mut ask, budget) = match parse_head(config, &head.method, &head.headers, body.is_end_stream()) {
        Ok(_) if too_large => return Err(RejectedRequest::unread(StatusCode::PAYLOAD_TOO_LARGE, body)),
        Ok(parsed) => parsed,
        Err(status) => return Err(RejectedRequest::unread(status, body)),
    };
    let status = match timeout_at(body_deadline, Limited::new(body, BODY_MOST).collect()).await {
        Ok(Ok(body)) => {
            ask.deadline = read_at() + budget.saturating_sub(RESPONSE_MARGIN);
            return Ok((ask.clone(), forwarded_request(config, &ask, head, body.to_bytes())));
        }
        Ok(Err(error)) if error.is::<LengthLimitError>() => StatusCode::PAYLOAD_TOO_LARGE,
        Ok(Err(_)) => StatusCode::BAD_REQUEST,
        Err(_) => StatusCode::REQUEST_TIMEOUT,
    };
    Err(RejectedRequest { status, unread_body: None })
}

/// What goes on to hosts of a request that can be used. A key that only the store of keys knows goes on where that is
/// configured.
pub fn forwarded_request(config: &Config, ask: &Ask<HeaderValue>, head: Parts, body: Bytes) -> Forward {
    let target = head.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default();
    let mut headers = end_to_end(head.headers);
    let forwards_key = |keys: &Keys| keys.forward.get(ask.class.0).copied().unwrap_or_default();
    let class = config.settings.classes.get(ask.class.0);
    let key_of_single_shot =
        ask.key.is_some() && class.is_some_and(|class| class.repeat == Repeat::SingleShot);
    if key_of_single_shot && !config.keys().is_some_and(forwards_key) {
        headers.remove("idempotency-key");
    }
    Forward { method: head.method, target, headers, body }
}

/// Reads on and throws away, within bounds: closing on a client that is sending would reset the connection, and the
/// answer might be lost with it.
pub async fn drain<B: Body>(body: B) {
    if !body.is_end_stream() {
        let discard = async {
            let mut body = pin!(body);
            let mut read = 0;
            while read < MAX_DRAINED_BYTES {
                let Some(Ok(frame)) = body.as_mut().frame().await else { break };
                read += frame.data_ref().map_or(0, Buf::remaining);
            }
        };
        let _ = timeout(DRAIN_TIMEOUT, discard).await;
    }
}

/// What a head says, and the client's time in all, from now on. A status if it says too little, or two things.
/// `empty`: there is no body.
pub fn parse_head(
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
    parse_valid(config, method, headers, empty).ok_or(StatusCode::BAD_REQUEST)
}

/// `None` if the id, class or budget is missing, double or unusable, or the request is not of its class's form.
fn parse_valid(
    config: &Config,
    method: &Method,
    headers: &HeaderMap,
    empty: bool,
) -> Option<(Ask<HeaderValue>, Duration)> {
    single(headers, "x-call-id").filter(|id| !id.is_empty())?;
    let id = headers.get("x-call-id")?.clone();
    let class = index_of(&config.classes, single(headers, "x-call-class")?)?;
    let spec = config.settings.classes.get(class)?;
    // Hosts go by the form: a keyed request without its key would run again wherever it is sent again.
    let keyed = headers.contains_key("idempotency-key");
    let fits = match spec.repeat {
        Repeat::Free => method == Method::GET && empty && !keyed,
        Repeat::Guarded { .. } => {
            single(headers, "idempotency-key").filter(|key| !key.is_empty())?;
            method == Method::POST
        }
        // Hosts know nothing of its key; the store of keys does, where there is one.
        Repeat::SingleShot if keyed && config.keys().is_some() => {
            single(headers, "idempotency-key").filter(|key| !key.is_empty())?;
            method == Method::POST
        }
        Repeat::SingleShot => method == Method::POST && !keyed,
    };
    let digits = |text: &&str| text.bytes().all(|byte| byte.is_ascii_digit());
    let budget = single(headers, "x-budget-ms").filter(digits)?.parse::<u32>().ok().filter(|ms| *ms > 0)?;
    // No client waits longer than its class.
    let budget = Duration::from_millis(budget.into()).min(Duration::from_micros(spec.deadline));
    let tenant = single(headers, "x-caller").and_then(|name| index_of(&config.tenants, name)).map(TenantId);
    let resent = single(headers, "x-again").is_some_and(|value| value == "1");
    let key = headers.get("idempotency-key").filter(|_| config.keys().is_some());
    let key = key.map(|key| Bytes::copy_from_slice(key.as_bytes()));
    let ask = Ask { id, class: ClassId(class), tenant, deadline: Instant::now(), resent, key };
    fits.then_some((ask, budget))
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())?.to_str().ok()
}

/// The answer that a client gets for a reply.
pub fn reply_response(reply: Reply<Response<Bytes>>) -> ClientResponse {
    match reply {
        Reply::Served(response) => strip_connection_headers(response).map(Full::new),
        Reply::Refused(after) => refused_response(after),
        Reply::Failed => status_response(StatusCode::BAD_GATEWAY),
        Reply::Unsure(key) => unsure_response(key),
        Reply::IdOpen => closing_response(StatusCode::CONFLICT),
        Reply::KeyTaken => status_response(StatusCode::UNPROCESSABLE_ENTITY),
        Reply::BadKey => status_response(StatusCode::BAD_REQUEST),
    }
}

/// Headers that go on to the other side: all but those of this connection and its framing.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let listed = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let listed: Vec<String> = listed.flat_map(|v| v.split(',')).map(|name| name.trim().to_owned()).collect();
    let hop_by_hop =
        ["connection", "content-length", "expect", "keep-alive", "proxy-connection", "te", "trailer"];
    let more_hop_by_hop = ["transfer-encoding", "upgrade"];
    for name in listed.iter().map(String::as_str).chain(hop_by_hop).chain(more_hop_by_hop) {
        headers.remove(name);
    }
    headers
}

/// A host's answer without what belongs to the host's connection.
pub fn strip_connection_headers(response: Response<Bytes>) -> Response<Bytes> {
    let (mut head, body) = response.into_parts();
    head.headers = end_to_end(head.headers);
    Response::from_parts(head, body)
}

/// Turned away unharmed; the client may come again after this time, rounded up to milliseconds. After zero it is not
/// told when: it would come again at once.
pub fn refused_response(after: Duration) -> ClientResponse {
    let mut response = status_response(StatusCode::SERVICE_UNAVAILABLE);
    let milliseconds = after.as_micros().div_ceil(1_000);
    if milliseconds > 0 {
        let seconds = format!("{}.{:03}", milliseconds / 1_000, milliseconds % 1_000);
        let value = HeaderValue::try_from(seconds).ok();
        response.headers_mut().extend(value.map(|value| (header::RETRY_AFTER, value)));
    }
    response
}

/// The answer for a key whose request ran or may have, where there is no answer to pass on: 502 with problem details
/// (RFC 9457), so that an application can tell it from a bad gateway. `type` and the values of `key_state` do not
/// change; `key_age_ms` counts from the key's first request.
pub fn unsure_response(key: Doubt) -> ClientResponse {
    let (name, title) = match KeyState::named(key.at).unwrap_or(KeyState::Unsure) {
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
        "key_state": key.at,
        "key_age_ms": u64::try_from(key.age.as_millis()).unwrap_or(u64::MAX),
    });
    let mut response = status_response(StatusCode::BAD_GATEWAY);
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    *response.body_mut() = Full::new(Bytes::from(body.to_string()));
    response
}

/// Turned away for good, and with it the connection: what else came on it might be read as a request.
pub fn closing_response(status: StatusCode) -> ClientResponse {
    let mut response = status_response(status);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// An answer of a status alone.
pub fn status_response(status: StatusCode) -> ClientResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
