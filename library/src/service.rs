//! A fleet as a `tower` service.

use crate::error::Error;
use crate::fleet::Fleet;
use crate::layer::read_whole;
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
/// It is ready when there is a place among the open calls, and holds that place from then on: a call after
/// `poll_ready` is never refused for want of one. A call without `poll_ready` takes a place if there is one. What the
/// module refuses, because hosts are full or away, is an [`Error::Refused`] at once and not a service that is not
/// ready: only the module knows, and only for a given call.
#[derive(Debug)]
pub struct FleetService {
    fleet: Fleet,
    deadline: Duration,
    places: PollSemaphore,
    place: Option<OwnedSemaphorePermit>,
}

impl FleetService {
    /// Calls that are answered within `deadline`, or the time that they say themselves.
    pub fn new(fleet: Fleet, deadline: Duration) -> FleetService {
        let places = PollSemaphore::new(fleet.places().clone());
        FleetService { fleet, deadline, places, place: None }
    }
}

impl Clone for FleetService {
    /// The place that a ready service holds stays its own.
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
        if self.place.is_none() {
            self.place = Some(ready!(self.places.poll_acquire(context)).ok_or(Error::Closed)?);
        }
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let place = self.place.take().map_or_else(|| self.fleet.place(), Ok);
        let (fleet, until) = (self.fleet.clone(), Instant::now() + self.deadline);
        Box::pin(async move {
            let place = place?;
            let (head, body) = request.into_parts();
            let body = read_whole(body, until).await.map_err(Error::Unusable)?;
            let answer = fleet.send(Request::from_parts(head, body), until, place)?.await?;
            Ok(answer.map(Full::new))
        })
    }
}
