//! The watch that brings the changes of the list of hosts.

mod call;
mod outage;
mod received;
mod splitter;

use crate::dial::BoxError;
use crate::list::List;
use crate::stall::{LastPoll, StallDetector};
pub use call::{CallFailure, FailedCall};
pub use outage::{DiscoveryStatus, OutageDetector};

use call::{call_hedged, PendingCalls, WatchResponse, AGENT_TIMEOUTS, DIRECT_TIMEOUTS};
use http_body_util::BodyExt;
use splitter::JsonSplitter;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// A heartbeat comes every 2 s: a watch on which one of them and a half bring nothing whole is taken for dead. What it hid
/// counts as notified 6 s after it fell silent: what is left is for another one to be opened.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// No heartbeat comes sooner after the head of an response.
const MIN_HEARTBEAT_DELAY: Duration = Duration::from_secs(1);
/// The pieces of a list follow each other sooner than this.
const PARTIAL_LIST_DELAY: Duration = Duration::from_millis(100);

/// How a watch ended.
#[derive(Debug)]
pub enum WatchEnd {
    /// It was open, and nothing came for too long: it is not known since when it tells nothing.
    Silent,
    /// It was never open: all its calls failed. In the order in which they were begun.
    Unanswered(Vec<FailedCall>),
    /// It was open, and its connection broke.
    Failed(BoxError),
    /// It was open, and discovery ended it in order, with nothing on its way.
    Ended {
        /// When that came, at the earliest.
        at: Instant,
        /// In words.
        reason: BoxError,
    },
    /// The connection broke or ended while a list was on its way, or what came is no list. What was written counts as
    /// notified, whether or not it arrived.
    Truncated {
        /// When the list began to come, or the call was answered for it.
        since: Instant,
        /// What happened.
        reason: BoxError,
    },
}

impl WatchEnd {
    /// Since when something was on its way that did not arrive whole; `None`: nothing was.
    pub fn incomplete_since(&self) -> Option<Instant> {
        match self {
            WatchEnd::Truncated { since, .. } => Some(*since),
            WatchEnd::Unanswered(calls) => calls.iter().filter_map(|call| call.incomplete_since).min(),
            WatchEnd::Silent | WatchEnd::Failed(_) | WatchEnd::Ended { .. } => None,
        }
    }
}

/// What a watch shows while it is open.
#[derive(Debug)]
pub enum WatchEvent {
    /// The call was answered with 200; its lists follow.
    Answered,
    /// A whole line or list has come: the watch is alive. Of a list it comes after [`WatchEvent::List`].
    Alive,
    /// The same, read read_late_since: this process was stalled, and the watch may have broken since.
    AliveAfterStall,
    /// A list.
    List(List),
    /// A list has begun to come at this moment, and its end is long in coming.
    Partial(Instant),
}

/// Watches the list from version `since` on and passes on what comes, until the watch ends. It returns how.
/// `pushed`: it is an agent, which never lets a call wait. `last_poll` tells when the task last looked whether anything has
/// come.
pub async fn watch(
    discovery: SocketAddr,
    pushed: bool,
    since: Option<u64>,
    last_poll: LastPoll,
    mut on_event: impl FnMut(WatchEvent),
) -> WatchEnd {
    let mut stall = StallDetector::new(Instant::now(), last_poll);
    let (pending_calls, mut partial_reported) = (PendingCalls::default(), false);
    let mut response = pin!(call_hedged(
        discovery,
        since,
        if pushed { AGENT_TIMEOUTS } else { DIRECT_TIMEOUTS },
        &pending_calls
    ));
    let response = loop {
        if let Ok(response) = timeout_at(stall.poll_at(), &mut response).await {
            break response;
        }
        let now = Instant::now();
        let polled_in_time = stall.record_idle(now);
        let partial = pending_calls
            .partial_head_since()
            .filter(|since| polled_in_time && !partial_reported && now >= *since + PARTIAL_LIST_DELAY);
        if let Some(since) = partial {
            partial_reported = true;
            on_event(WatchEvent::Partial(since));
        }
    };
    let response = match response {
        Ok(response) => response,
        Err(calls) => return WatchEnd::Unanswered(calls),
    };
    on_event(WatchEvent::Answered);
    follow_lists(response, stall, &mut on_event).await
}

/// An error and what caused it, in turn.
fn causes<'a>(error: &'a (dyn Error + 'static)) -> impl Iterator<Item = &'a (dyn Error + 'static)> {
    std::iter::successors(Some(error), |error| (*error).source())
}

/// An error with its causes, in words.
fn describe_with_causes(error: &(dyn Error + 'static)) -> String {
    causes(error).map(ToString::to_string).collect::<Vec<_>>().join(": ")
}

/// Whether the other side has closed the connection in order, though not the body of its response.
fn is_end_of_file(error: &(dyn Error + 'static)) -> bool {
    let is_eof = |cause: &io::Error| cause.kind() == io::ErrorKind::UnexpectedEof;
    causes(error).any(|cause| cause.downcast_ref::<io::Error>().is_some_and(is_eof))
}

async fn follow_lists(
    response: WatchResponse,
    mut stall: StallDetector,
    on_event: &mut impl FnMut(WatchEvent),
) -> WatchEnd {
    let WatchResponse { mut body, received, _connection } = response;
    let (mut splitter, answered) = (JsonSplitter::default(), Instant::now());
    let mut last_alive = answered;
    // Since when the first list is on its way: from the first byte of the head on.
    let head_at = received.first_byte_at().unwrap_or(answered);
    let mut first_list_since =
        Some(stall.record_read(answered).map_or(head_at, |read_late_since| read_late_since.min(head_at)));
    // Where nothing has changed nothing may follow the head.
    received.mark_parsed();
    let mut partial_reported = false;
    loop {
        let incomplete_since = received.incomplete_since();
        let partial = incomplete_since.filter(|_| !partial_reported).map(|since| since + PARTIAL_LIST_DELAY);
        let until = partial.map_or(last_alive + SILENCE_TIMEOUT, |at| at.min(last_alive + SILENCE_TIMEOUT));
        let Ok(frame) = timeout_at(stall.poll_at_or(until), body.frame()).await else {
            let now = Instant::now();
            if !stall.record_idle(now) {
                // What came meanwhile is still to be read.
                continue;
            }
            if now >= last_alive + SILENCE_TIMEOUT {
                return WatchEnd::Silent;
            }
            if let Some(since) = incomplete_since.filter(|_| partial.is_some_and(|at| now >= at)) {
                partial_reported = true;
                on_event(WatchEvent::Partial(since));
            }
            continue;
        };
        let now = Instant::now();
        let read_late_since = stall.record_read(now);
        let incomplete_since = first_list_since.or_else(|| received.incomplete_since());
        let ended = |reason: String, in_order: bool, incomplete_since: Option<Instant>| {
            let reason = format!("{reason} after {} bytes", received.bytes()).into();
            match incomplete_since {
                Some(since) => WatchEnd::Truncated { since, reason },
                None if in_order => WatchEnd::Ended { at: read_late_since.unwrap_or(now), reason },
                None => WatchEnd::Failed(reason),
            }
        };
        let data = match frame {
            // The last bytes were those that say so.
            None => {
                return ended(
                    splitter.describe_end(),
                    true,
                    first_list_since.or(incomplete_since.filter(|_| splitter.depth > 0)),
                )
            }
            Some(Err(error)) => {
                return ended(describe_with_causes(&error), is_end_of_file(&error), incomplete_since)
            }
            Some(Ok(frame)) => frame.into_data(),
        };
        let Ok(data) = data else { continue };
        // Bytes that never make a whole list are no sign of life.
        match splitter
            .push(&data, |value| serde_json::from_slice(value).map(|list| on_event(WatchEvent::List(list))))
        {
            Err(reason) => {
                return WatchEnd::Truncated {
                    since: incomplete_since.or(read_late_since).unwrap_or(now),
                    reason,
                }
            }
            Ok(true) => {
                last_alive = now;
                partial_reported = false;
                received.mark_parsed();
                // An empty line may come ahead of the first list; a heartbeat comes later.
                if splitter.count > 0 || now - answered >= MIN_HEARTBEAT_DELAY {
                    first_list_since = None;
                }
                on_event(if read_late_since.is_none() {
                    WatchEvent::Alive
                } else {
                    WatchEvent::AliveAfterStall
                });
            }
            Ok(false) => {}
        }
        if splitter.depth > 0 {
            received.mark_incomplete_since(read_late_since.unwrap_or(now));
        }
    }
}
