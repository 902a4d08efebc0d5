//! Reads the bodies of requests and responses into memory that is leased where they are large.

use super::limits::MAX_BODY_BYTES;
use crate::dial::BoxError;
use crate::memory::{MemoryBudget, MemoryLease, Purpose};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Bytes};
use std::pin::pin;

/// Bodies up to this size are part of what each connection may hold.
const UNLEASED_BODY_BYTES: usize = 4 << 10;

/// Reads a whole body of [`MAX_BODY_BYTES`] bytes at most. Without a lease it waits for one before it reads a large
/// body. The lease ends when the last copy of the returned bytes is dropped.
///
/// # Errors
///
/// The body's own error, or [`http_body_util::LengthLimitError`] if it is too large.
pub async fn read_body<B>(
    body: B,
    budget: &MemoryBudget,
    purpose: Purpose,
    mut lease: Option<MemoryLease>,
) -> Result<Bytes, BoxError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let stated = body.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    let expected = stated.unwrap_or(0).min(MAX_BODY_BYTES);
    if lease.is_none() && expected > UNLEASED_BODY_BYTES {
        lease = Some(budget.lease(purpose, expected).await);
    }
    let mut body = pin!(Limited::new(body, MAX_BODY_BYTES));
    let first = next_data(body.as_mut()).await?;
    if body.is_end_stream() {
        return Ok(with_lease(first, lease));
    }
    let mut bytes = Vec::with_capacity(expected.max(first.len()));
    bytes.extend_from_slice(&first);
    drop(first);
    while let Some(frame) = body.frame().await {
        // Each frame is dropped at once, as it keeps the read buffer that it is a part of.
        let Ok(data) = frame?.into_data() else { continue };
        if lease.is_none() && bytes.len() + data.len() > UNLEASED_BODY_BYTES {
            lease = Some(budget.lease(purpose, MAX_BODY_BYTES).await);
        }
        bytes.extend_from_slice(&data);
    }
    if stated.is_none() {
        bytes.shrink_to_fit();
        lease.iter_mut().for_each(|lease| lease.shrink_to(bytes.len()));
    }
    Ok(with_lease(bytes.into(), lease))
}

/// The data of the next frame; empty at the end of the body and for trailers.
async fn next_data<B>(mut body: std::pin::Pin<&mut B>) -> Result<Bytes, BoxError>
where
    B: Body<Data = Bytes, Error = BoxError>,
{
    match body.frame().await {
        Some(frame) => Ok(frame?.into_data().unwrap_or_default()),
        None => Ok(Bytes::new()),
    }
}

fn with_lease(bytes: Bytes, lease: Option<MemoryLease>) -> Bytes {
    match lease {
        Some(lease) => lease.attach_to(bytes),
        None => bytes,
    }
}
