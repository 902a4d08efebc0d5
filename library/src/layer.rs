//! The daemon's front as a middleware for `tower`, and thereby for axum.

use crate::context::CallContext;
use crate::error::Error;
use crate::fleet::Fleet;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use nettleworks::requests::{self, ClientResponse};
use nettleworks::server::REQUEST_READ_TIMEOUT;
use nettleworks_engine::http1::{BoxError, MAX_BODY_BYTES};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::time::{timeout_at, Instant};
use tower_layer::Layer;
use tower_service::Service;

/// The body of a response: of the fleet (left) or of the application (right).
pub type MiddlewareBody<B> = Either<Full<Bytes>, B>;

/// Places the daemon's front before an application: a request to one path is sent over the fleet and gets the
/// response that the daemon would give, including status and `Retry-After`; all other requests are passed on to the
/// application, with their [`CallContext`].
///
/// Connections belong to the application's server, so its limits on slow, silent and idle clients apply, and not
/// those of the daemon. A tokio runtime with timers enabled is required.
#[derive(Clone, Debug)]
pub struct FleetLayer {
    fleet: Fleet,
    path: Arc<str>,
    health: Option<Arc<str>>,
}

impl FleetLayer {
    /// A layer that sends requests to `/api` over the fleet.
    pub fn new(fleet: Fleet) -> FleetLayer {
        FleetLayer { fleet, path: "/api".into(), health: None }
    }

    /// Sets the path whose requests are sent over the fleet, in place of the previous one.
    pub fn path(mut self, path: &str) -> FleetLayer {
        self.path = path.into();
        self
    }

    /// Adds a health check at this path: 200 if there is a server list, and 503 otherwise.
    pub fn health(mut self, path: &str) -> FleetLayer {
        self.health = Some(path.into());
        self
    }
}

impl<S> Layer<S> for FleetLayer {
    type Service = FleetMiddleware<S>;

    fn layer(&self, inner: S) -> FleetMiddleware<S> {
        FleetMiddleware { layer: self.clone(), inner }
    }
}

/// The service that [`FleetLayer`] wraps around an application.
#[derive(Clone, Debug)]
pub struct FleetMiddleware<S> {
    layer: FleetLayer,
    inner: S,
}

impl<S, B, C> Service<Request<B>> for FleetMiddleware<S>
where
    S: Service<Request<B>, Response = Response<C>>,
    S::Future: Send + 'static,
    S::Error: 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    type Response = Response<MiddlewareBody<C>>;
    type Error = S::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, S::Error>> + Send>>;

    /// Ready when the application is. The limit of open calls concerns only the requests to one path, which are
    /// refused at once when it is reached.
    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, mut request: Request<B>) -> Self::Future {
        let arrived = Instant::now();
        let (fleet, path) = (self.layer.fleet.clone(), request.uri().path());
        if *path == *self.layer.path {
            return Box::pin(
                async move { Ok(send_over_fleet(fleet, request, arrived).await.map(Either::Left)) },
            );
        }
        if self.layer.health.as_deref() == Some(path) {
            return Box::pin(async move {
                let ready = fleet.is_ready().await == Ok(true);
                let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                Ok(requests::status_response(status).map(Either::Left))
            });
        }
        let context = CallContext::from_headers(request.headers(), arrived);
        request.extensions_mut().insert(context);
        let response = self.inner.call(request);
        Box::pin(async move { Ok(response.await?.map(Either::Right)) })
    }
}

/// Validates a request, sends it over the fleet and returns its response, as the daemon does.
async fn send_over_fleet<B>(fleet: Fleet, request: Request<B>, arrived: Instant) -> ClientResponse
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    match requests::read_request(
        fleet.config(),
        request,
        arrived + REQUEST_READ_TIMEOUT,
        |_| (),
        Instant::now,
    )
    .await
    {
        Ok((info, forwarded)) => {
            let call = fleet.acquire_permit().and_then(|permit| fleet.submit(info, forwarded, permit));
            let response = match call {
                Ok(call) => call.await,
                Err(error) => Err(error),
            };
            response.map_or_else(Error::into_answer, |response| response.map(Full::new))
        }
        Err(rejected) => {
            let response = rejected.response();
            if let Some(body) = rejected.unread_body {
                tokio::spawn(requests::drain(body));
            }
            response
        }
    }
}

/// Reads a whole body of at most [`MAX_BODY_BYTES`] bytes, by `deadline`. The error is the status that the daemon
/// would respond with.
pub(crate) async fn read_body<B>(body: B, deadline: Instant) -> Result<Bytes, StatusCode>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    match timeout_at(deadline, Limited::new(body, MAX_BODY_BYTES).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}
