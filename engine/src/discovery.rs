//! The watch that brings the changes of the list of hosts.

use crate::dial::{dial, BoxError};
use crate::list::List;
use crate::task;
use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// A heartbeat comes every 2 s: a watch that is silent for two and a half of them is taken for dead.
const SILENCE: Duration = Duration::from_secs(5);
/// Longest line of a watch; a longer one is not a list of any fleet that one proxy serves.
const LINE_MOST: usize = 4 << 20;

/// How a watch ended.
#[derive(Debug)]
pub enum End {
    /// It was open, and nothing came for too long: it is not known since when it tells nothing.
    Silent,
    /// The connection broke or ended or never came up, the answer was not 200 or did not come, or a line was bad.
    Failed(BoxError),
}

/// Watches the list from version `since` on and passes on what comes, until the watch ends. It returns how.
pub async fn watch(discovery: SocketAddr, since: Option<u64>, mut news: impl FnMut(List)) -> End {
    match follow(discovery, since, &mut news).await {
        Ok(end) => end,
        Err(reason) => End::Failed(reason),
    }
}

async fn follow(
    discovery: SocketAddr,
    since: Option<u64>,
    news: &mut impl FnMut(List),
) -> Result<End, BoxError> {
    let stream = timeout(SILENCE, dial(discovery)).await??;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let _connection = task::spawn(connection);
    let since = since.map(|seq| format!("&since={seq}")).unwrap_or_default();
    let request = Request::get(format!("/catalog/members?follow=1{since}"))
        .header(header::HOST, discovery.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = timeout(SILENCE, sender.send_request(request)).await??;
    if response.status() != StatusCode::OK {
        return Err(format!("discovery answered {}", response.status()).into());
    }
    let mut body = response.into_body();
    let mut pending = Vec::new();
    loop {
        let Ok(frame) = timeout(SILENCE, body.frame()).await else { return Ok(End::Silent) };
        let Some(frame) = frame else { return Ok(End::Failed("the watch ended".into())) };
        let Ok(data) = frame?.into_data() else { continue };
        for piece in data.split_inclusive(|&byte| byte == b'\n') {
            if pending.len() + piece.len() > LINE_MOST {
                return Err("a line is too long".into());
            }
            pending.extend_from_slice(piece);
            if piece.ends_with(b"\n") {
                if !pending.trim_ascii().is_empty() {
                    news(serde_json::from_slice(&pending)?);
                }
                pending.clear();
            }
        }
    }
}
