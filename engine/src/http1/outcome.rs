//! What the end of an exchange proves about its request.

use http_body_util::LengthLimitError;
use hyper::header::HeaderMap;
use hyper::StatusCode;
use nettleworks_policy::Outcome;
use std::error::Error;
use std::io;

/// The outcome of an exchange that failed after writing. A response that is invalid or too long is not a reset, since
/// the connection held, but the request may have run all the same.
pub fn outcome_of_error(error: &(dyn Error + 'static)) -> Outcome {
    let mut causes = std::iter::successors(Some(error), |error| (*error).source());
    let invalid_response = causes.any(|cause| {
        let is_invalid = |kind| matches!(kind, io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData);
        cause.is::<LengthLimitError>()
            || cause.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_parse)
            || cause.downcast_ref::<io::Error>().is_some_and(|error| is_invalid(error.kind()))
    });
    if invalid_response {
        Outcome::Unknown
    } else {
        Outcome::Reset
    }
}

/// Whether the peer has reset the connection; a process that ends does, while an idle connection is closed in order.
pub fn is_connection_reset(error: &(dyn Error + 'static)) -> bool {
    let mut causes = std::iter::successors(Some(error), |error| (*error).source());
    let is_reset = |kind| matches!(kind, io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe);
    causes.any(|cause| cause.downcast_ref::<io::Error>().is_some_and(|error| is_reset(error.kind())))
}

/// The outcome of a response with this status, if it is whole.
pub fn outcome_of_status(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let not_processed = headers.get("x-rejected").is_some_and(|v| v == "1");
    match status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_processed => Outcome::TurnedAway,
        StatusCode::INTERNAL_SERVER_ERROR => Outcome::Error,
        // The request is at fault: faulty clients must not make healthy hosts look unhealthy.
        status if status.is_client_error() => Outcome::Unusable,
        _ => Outcome::Unknown,
    }
}
