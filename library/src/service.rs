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

/// Calls over a fleet as a service: what [`Fleet::call`] does, with one deadline for all.
///
/// It is ready when there is a permit among the open calls, and holds that permit from then on: a call after
/// `poll_ready` is never refused for want of one. A call without `poll_ready` takes a permit if there is one. What the
/// module refuses, because hosts are full or away, is an [`Error::Refused`] at once and not a service that is not
/// ready: only the module knows, and only for a given call.
#[derive(Debug)]
pub struct FleetService {
    fleet: Fleet,
    deadline: Duration,
    permits: PollSemaphore,
    permit: Option<OwnedSemaphorePermit>,
}

impl FleetService {
    /// Calls that are answered within `deadline`, or the time that they say themselves.
    pub fn new(fleet: Fleet, deadline: Duration) -> FleetService {
        let permits = PollSemaphore::new(fleet.permits().clone());
        FleetService { fleet, deadline, permits, permit: None }
    }
}

impl Clone for FleetService {
    /// The permit that a ready service holds stays its own.
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
