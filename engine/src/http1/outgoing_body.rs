//! The body of a request to a host.

use crate::meter::Meter;
use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A request body that records in the meter when hyper has taken all of it.
#[derive(Debug)]
pub struct OutgoingBody {
    body: Full<Bytes>,
    meter: Meter,
}

impl OutgoingBody {
    /// The body of the attempt that `meter` belongs to.
    pub fn new(body: Bytes, meter: &Meter) -> OutgoingBody {
        // hyper does not poll an empty body.
        meter.set_encoded(body.is_empty());
        OutgoingBody { body: Full::new(body), meter: meter.clone() }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        self.meter.set_encoded(self.body.is_end_stream());
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
