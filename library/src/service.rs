//! A fleet as a `tower` service.

use crate::error::Error;
use crate::fleet::Fleet;
use crate::layer::read_body;
use bytes::Bytes;
use http::{Request, Response};
use http_body::Body;
use http_body_util::Full;
use nettleworks_engine::http1::BoxError;
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;
use tokio_util::sync::PollSemaphore;
use tower_service::Service;

/// Sends requests over a fleet as [`Fleet::call`] does, with one deadline for all calls.
///
/// The service is ready when the number of open calls is below its limit, and holds a permit from then on: a call
/// after `poll_ready` is never refused because of the limit. A call without `poll_ready` acquires a permit if one is
/// free. A refusal by the decision module, because hosts are full or unavailable, is reported at once as
/// [`Error::Refused`] and not as a service that is not ready: whether a call can be served is only known for a given
/// call, and only by the decision module.
#[derive(Debug)]
pub struct FleetService {
    fleet: Fleet,
    deadline: Duration,
    permits: PollSemaphore,
    permit: Option<OwnedSemaphorePermit>,
}

impl FleetService {
    /// A service whose calls get a response within `deadline`, or within the time budget of their request if that is
    /// shorter.
    pub fn new(fleet: Fleet, deadline: Duration) -> FleetService {
        let permits = PollSemaphore::new(fleet.permits().clone());
        FleetService { fleet, deadline, permits, permit: None }
    }
}

impl Clone for FleetService {
    /// A permit that this service holds is not passed on to the clone.
    fn clone(&self) -> Self {
        FleetService::new(self.fleet.clone(), self.deadline)
    }
}

impl<B> Service<Request<B>> for FleetService
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    type Response = Response<Full<Bytes>>;
    type Error = Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Error>> {
        if self.permit.is_none() {
            self.permit = Some(ready!(self.permits.poll_acquire(context)).ok_or(Error::Closed)?);
        }
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let permit = self.permit.take().map_or_else(|| self.fleet.acquire_permit(), Ok);
        let (fleet, deadline) = (self.fleet.clone(), Instant::now() + self.deadline);
        Box::pin(async move {
            let permit = permit?;
            let (head, body) = request.into_parts();
            let body = read_body(body, deadline).await.map_err(Error::Unusable)?;
            let response = fleet.send(Request::from_parts(head, body), deadline, permit)?.await?;
            Ok(response.map(Full::new))
        })
    }
}
