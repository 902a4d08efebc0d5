//! Parsing and validation of client requests, and the responses that clients get.

use crate::admission::RequestSize;
use crate::client_connection::{Phase, REQUEST_READ_TIMEOUT};
use crate::shutdown::ShutdownDeadline;
use http::request::Parts;
use http_body_util::{BodyExt, Full, LengthLimitError};
use hyper::body::{Body, Buf, Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use nettleworks_engine::calls::{KeyStatus, Reply, RequestInfo};
use nettleworks_engine::config::Config;
use nettleworks_engine::driver::Handle;
use nettleworks_engine::http1::{
    read_body, BoxError, ForwardedRequest, Http1, RequestTracker, MAX_BODY_BYTES,
};
use nettleworks_engine::memory::{MemoryLease, Purpose};
use nettleworks_engine::read_ahead::StreamEnd;
use nettleworks_engine::socket::Socket;
use nettleworks_keys::KeyState;
use nettleworks_keys_station::{KeyStoreConfig, WithKeys};
use nettleworks_policy::{ClassId, Idempotency, TenantId};
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at, Instant};

/// Part of a client's time budget that is reserved for sending the response back.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);
/// Maximum number of bytes that are still read of the body of a rejected request.
const MAX_DRAINED_BYTES: usize = 1 << 20;
/// How long the body of a rejected request is still read.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// When a client that was refused for what it or others make this process hold may try again.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The engine that this front passes its requests to.
pub type Driver = Handle<Http1>;

/// A response to a client.
pub type ClientResponse = Response<Full<Bytes>>;

/// The connection that a request arrives on, and the time limit for reading it.
#[derive(Clone, Debug)]
pub struct RequestSource {
    /// The connection. The client's time budget runs from the request's last byte, also while it waits behind another.
    pub socket: Socket,
    /// Follows the requests on the connection.
    pub requests: Rc<RequestTracker>,
    /// The number of this request on its connection, counted from 1.
    pub number: u64,
    /// When the request began to arrive.
    pub began: Instant,
    /// The phase of the connection.
    pub phase: Rc<Cell<Phase>>,
}

impl RequestSource {
    /// Whether its client has closed the connection. With more input than can be read ahead that is not known.
    fn stream_end(&self, config: &Config) -> StreamEnd {
        let mut end = StreamEnd::NotReached;
        if self.requests.may_be_followed(self.number) {
            end = self.socket.read_ahead(&config.memory);
        }
        match end {
            StreamEnd::NotReached if self.socket.is_closed_by_peer() => StreamEnd::Reached,
            end => end,
        }
    }
}

/// Handles one request and returns its response. Once a shutdown has begun, the response comes by its deadline.
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
            let RequestSource { socket, requests, number, began, phase } = &source;
            let began_to_read = |leased| phase.set(Phase::ReceivingBody(*began, leased));
            let body_deadline = *began + REQUEST_READ_TIMEOUT;
            let read_at = || socket.last_read_at();
            let read = read_request(&driver.config(), request, body_deadline, began_to_read, read_at).await;
            phase.set(Phase::Open);
            match read {
                Ok((mut info, forward)) => {
                    // The response has no reader once the client has closed the connection, also where this request
                    // waited behind another.
                    match source.stream_end(&driver.config()) {
                        StreamEnd::Reached => return closing_response(StatusCode::BAD_REQUEST),
                        StreamEnd::Hidden => return refused_response(OVERLOAD_RETRY_AFTER),
                        StreamEnd::NotReached => {}
                    }
                    // The bytes behind it may be the rest of its body.
                    if requests.is_followed_by_other(*number) {
                        return closing_response(StatusCode::BAD_REQUEST);
                    }
                    info.deadline =
                        shutdown.get().map_or(info.deadline, |respond_by| info.deadline.min(respond_by));
                    let mut pending = driver.request(info, forward);
                    let reply = tokio::select! {
                        biased;
                        reply = pending.wait() => reply,
                        () = shutdown.reached() => pending.abort(),
                    };
                    reply_response(reply)
                }
                Err(rejected) => {
                    let response = rejected.response();
                    if let Some(body) = rejected.unread_body {
                        spawn_local(drain(body));
                    }
                    response
                }
            }
        }
        _ => {
            spawn_local(drain(request.into_body()));
            closing_response(StatusCode::NOT_FOUND)
        }
    }
}

/// A request that is rejected before the decision module sees it.
#[derive(Debug)]
pub struct RejectedRequest<B> {
    /// The status of the response.
    pub status: StatusCode,
    /// The body, if none of it has been read: it should be passed to [`drain`].
    pub unread_body: Option<B>,
}

impl<B> RejectedRequest<B> {
    fn unread(status: StatusCode, unread_body: B) -> Self {
        RejectedRequest { status, unread_body: Some(unread_body) }
    }

    /// The response, which closes the connection.
    pub fn response(&self) -> ClientResponse {
        let mut response = closing_response(self.status);
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            response.headers_mut().extend(retry_after(OVERLOAD_RETRY_AFTER));
        }
        response
    }
}

/// Reads and validates a whole request. Its body must have arrived by `body_deadline` and have [`MAX_BODY_BYTES`] bytes at
/// most. `began_to_read` is called with the number of leased bytes when the memory for a body is there. The client's time
/// budget runs from the instant that `read_at` returns, which is called once the body is complete.
///
/// # Errors
///
/// The request is not usable, too large, too slow, there is no memory for it, or its body could not be read.
pub async fn read_request<B>(
    config: &Config,
    request: Request<B>,
    body_deadline: Instant,
    began_to_read: impl FnOnce(usize),
    read_at: impl FnOnce() -> Instant,
) -> Result<(RequestInfo<HeaderValue>, ForwardedRequest), RejectedRequest<B>>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let (head, body) = request.into_parts();
    let too_large = body.size_hint().lower() > MAX_BODY_BYTES as u64;
    let (mut info, budget) = match parse_head(config, &head.method, &head.headers, body.is_end_stream()) {
        Ok(_) if too_large => return Err(RejectedRequest::unread(StatusCode::PAYLOAD_TOO_LARGE, body)),
        Ok(parsed) => parsed,
        Err(status) => return Err(RejectedRequest::unread(status, body)),
    };
    let size = RequestSize::of(&head.headers, &body);
    let Ok(lease) = size.lease(&config.memory).await else {
        return Err(RejectedRequest::unread(StatusCode::SERVICE_UNAVAILABLE, body));
    };
    if !body.is_end_stream() {
        began_to_read(lease.as_ref().map_or(0, MemoryLease::bytes));
    }
    let body = read_body(body, &config.memory, Purpose::Requests, lease);
    let status = match timeout_at(body_deadline, body).await {
        Ok(Ok(body)) => {
            info.deadline = read_at() + budget.saturating_sub(RESPONSE_MARGIN);
            return Ok((info.clone(), forwarded_request(config, &info, head, body)));
        }
        Ok(Err(error)) if error.is::<LengthLimitError>() => StatusCode::PAYLOAD_TOO_LARGE,
        Ok(Err(_)) => StatusCode::BAD_REQUEST,
        Err(_) => StatusCode::REQUEST_TIMEOUT,
    };
    Err(RejectedRequest { status, unread_body: None })
}

/// The request as it is sent to hosts. A key of a single-shot class, which only the store of keys uses, is forwarded
/// only if the class is configured for it.
pub fn forwarded_request(
    config: &Config,
    info: &RequestInfo<HeaderValue>,
    head: Parts,
    body: Bytes,
) -> ForwardedRequest {
    let target = head.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default();
    let mut headers = end_to_end(head.headers);
    let forwards_key = |keys: &KeyStoreConfig| keys.forward.get(info.class.0).copied().unwrap_or_default();
    let class = config.settings.classes.get(info.class.0);
    let key_of_single_shot =
        info.key.is_some() && class.is_some_and(|class| class.idempotency == Idempotency::SingleShot);
    if key_of_single_shot && !config.keys().is_some_and(forwards_key) {
        headers.remove("idempotency-key");
    }
    ForwardedRequest { method: head.method, target, headers, body }
}

/// Reads and discards a body, within bounds: closing the connection of a client that is still sending would reset it,
/// and the response might be lost.
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

/// Parses the head of a request: its metadata, whose deadline is yet to be set, and the client's time budget. `empty`
/// means that the request has no body.
///
/// # Errors
///
/// The status of the response, if the head is incomplete, ambiguous or invalid.
pub fn parse_head(
    config: &Config,
    method: &Method,
    headers: &HeaderMap,
    empty: bool,
) -> Result<(RequestInfo<HeaderValue>, Duration), StatusCode> {
    // With a Content-Length beside it the body could smuggle a second request, and that header can no longer be
    // checked, as hyper has dropped it. The application's clients do not need chunked requests.
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return Err(StatusCode::LENGTH_REQUIRED);
    }
    parse_valid(config, method, headers, empty).ok_or(StatusCode::BAD_REQUEST)
}

/// What the engine needs from the request's headers, and the time budget, which is at most the deadline of the class.
/// `None` if the id, class or budget is missing, repeated or invalid, or if method, body and key do not fit the class.
fn parse_valid(
    config: &Config,
    method: &Method,
    headers: &HeaderMap,
    empty: bool,
) -> Option<(RequestInfo<HeaderValue>, Duration)> {
    single(headers, "x-call-id").filter(|id| !id.is_empty())?;
    let id = headers.get("x-call-id")?.clone();
    let class = index_of(&config.classes, single(headers, "x-call-class")?)?;
    let spec = config.settings.classes.get(class)?;
    // Hosts recognize a repeat by method and key: a keyed request without its key would run again on every retry.
    let keyed = headers.contains_key("idempotency-key");
    let fits = match spec.idempotency {
        Idempotency::Free => method == Method::GET && empty && !keyed,
        Idempotency::Guarded { .. } => {
            single(headers, "idempotency-key").filter(|key| !key.is_empty())?;
            method == Method::POST
        }
        // Hosts ignore the key of such a request; the store of keys uses it, if there is one.
        Idempotency::SingleShot if keyed && config.keys().is_some() => {
            single(headers, "idempotency-key").filter(|key| !key.is_empty())?;
            method == Method::POST
        }
        Idempotency::SingleShot => method == Method::POST && !keyed,
    };
    let digits = |text: &&str| text.bytes().all(|byte| byte.is_ascii_digit());
    let budget = single(headers, "x-budget-ms").filter(digits)?.parse::<u32>().ok().filter(|ms| *ms > 0)?;
    // No client waits longer than the deadline of its class.
    let budget = Duration::from_millis(budget.into()).min(Duration::from_micros(spec.deadline));
    let tenant = single(headers, "x-caller").and_then(|name| index_of(&config.tenants, name)).map(TenantId);
    let resent = single(headers, "x-again").is_some_and(|value| value == "1");
    let key = headers.get("idempotency-key").filter(|_| config.keys().is_some());
    let key = key.map(|key| Bytes::copy_from_slice(key.as_bytes()));
    let info = RequestInfo { id, class: ClassId(class), tenant, deadline: Instant::now(), resent, key };
    fits.then_some((info, budget))
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())?.to_str().ok()
}

/// The response to a client for a reply of the engine.
pub fn reply_response(reply: Reply<Response<Bytes>>) -> ClientResponse {
    match reply {
        Reply::Served(response) => strip_connection_headers(response).map(Full::new),
        Reply::Refused(after) => refused_response(after),
        Reply::Failed => status_response(StatusCode::BAD_GATEWAY),
        Reply::Unsure(key) => unsure_response(key),
        Reply::DuplicateId => closing_response(StatusCode::CONFLICT),
        Reply::KeyReused => status_response(StatusCode::UNPROCESSABLE_ENTITY),
        Reply::InvalidKey => status_response(StatusCode::BAD_REQUEST),
    }
}

/// The end-to-end headers: all but the hop-by-hop headers of this connection and those of its framing.
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

/// A host's response without the headers of the host's connection.
pub fn strip_connection_headers(response: Response<Bytes>) -> Response<Bytes> {
    let (mut head, body) = response.into_parts();
    head.headers = end_to_end(head.headers);
    Response::from_parts(head, body)
}

/// 503 for a request that was not executed. The client may retry after this time, rounded up to milliseconds. Zero is
/// left out, as the client would retry at once.
pub fn refused_response(after: Duration) -> ClientResponse {
    let mut response = status_response(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().extend(retry_after(after));
    response
}

/// The header that asks a client to wait for this time; none for zero.
fn retry_after(after: Duration) -> Option<(HeaderName, HeaderValue)> {
    let milliseconds = after.as_micros().div_ceil(1_000);
    let seconds = format!("{}.{:03}", milliseconds / 1_000, milliseconds % 1_000);
    let value = HeaderValue::try_from(seconds).ok().filter(|_| milliseconds > 0)?;
    Some((header::RETRY_AFTER, value))
}

/// The response for a key whose request ran or may have run, if there is no host's response to pass on: 502 with
/// problem details (RFC 9457), by which an application can tell it from a bad gateway. `type` and the values of
/// `key_state` are stable; `key_age_ms` counts from the key's first request.
pub fn unsure_response(key: KeyStatus) -> ClientResponse {
    let (name, title) = match KeyState::named(key.state).unwrap_or(KeyState::Unsure) {
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
        "key_state": key.state,
        "key_age_ms": u64::try_from(key.age.as_millis()).unwrap_or(u64::MAX),
    });
    let mut response = status_response(StatusCode::BAD_GATEWAY);
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    *response.body_mut() = Full::new(Bytes::from(body.to_string()));
    response
}

/// A response of this status that also closes the connection: what else arrived on it might be read as a request.
pub fn closing_response(status: StatusCode) -> ClientResponse {
    let mut response = status_response(status);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// A response that consists of a status alone.
pub fn status_response(status: StatusCode) -> ClientResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
