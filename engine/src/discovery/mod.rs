//! The watch: a long-lived response of discovery that streams changes of the server list.

mod outage;
mod received;
mod request;
mod splitter;

use crate::dial::BoxError;
use crate::list::List;
use crate::stall::{LastPoll, StallDetector};
pub use outage::{DiscoveryStatus, OutageDetector};
pub use request::{FailedRequest, RequestFailure};

use http_body_util::BodyExt;
use request::{request_hedged, PendingRequests, WatchResponse, AGENT_TIMEOUTS, DIRECT_TIMEOUTS};
use splitter::JsonSplitter;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// A watch that brings nothing complete for this long is considered dead. Heartbeats come every 2 s, so this is one and
/// a half intervals. Changes it missed count as notified 6 s after it fell silent; the remaining time is for opening
/// another watch.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// The first heartbeat comes no earlier than this after the head of the response.
const MIN_HEARTBEAT_DELAY: Duration = Duration::from_secs(1);
/// The parts of a list normally arrive within this time; a list that takes longer is reported as partial.
const PARTIAL_LIST_DELAY: Duration = Duration::from_millis(100);

/// How a watch ended.
#[derive(Debug)]
pub enum WatchEnd {
    /// The watch was open and brought nothing for too long. Since when it has missed changes is unknown.
    Silent,
    /// The watch was never open: all its requests failed. They are in the order in which they were started.
    Unanswered(Vec<FailedRequest>),
    /// The watch was open and its connection broke.
    Failed(BoxError),
    /// The watch was open and discovery closed it gracefully, with no list incomplete.
    Ended {
        /// The earliest time at which the end may have arrived.
        at: Instant,
        /// A description for the log.
        reason: BoxError,
    },
    /// The connection broke or ended within a list, or what arrived is not a valid list. What discovery has written
    /// counts as notified, whether or not it arrived.
    Truncated {
        /// When the list began to arrive, or the request for it was answered.
        since: Instant,
        /// A description for the log.
        reason: BoxError,
    },
}

impl WatchEnd {
    /// When a list began to arrive that did not arrive completely; `None` if there was none.
    pub fn incomplete_since(&self) -> Option<Instant> {
        match self {
            WatchEnd::Truncated { since, .. } => Some(*since),
            WatchEnd::Unanswered(requests) => {
                requests.iter().filter_map(|request| request.incomplete_since).min()
            }
            WatchEnd::Silent | WatchEnd::Failed(_) | WatchEnd::Ended { .. } => None,
        }
    }
}

/// An event of an open watch.
#[derive(Debug)]
pub enum WatchEvent {
    /// The request was answered with 200; lists follow.
    Answered,
    /// A complete line or list has arrived, so the watch is alive. For a list this follows [`WatchEvent::List`].
    Alive,
    /// As [`WatchEvent::Alive`], but read late: this process was stalled, and the watch may have broken since.
    AliveAfterStall,
    /// A list has arrived.
    List(List),
    /// A list began to arrive at this instant and is still incomplete after a delay.
    Partial(Instant),
}

/// Opens a watch of the list from version `since` on, reports its events to `on_event`, and returns how it ended.
///
/// `max_list_bytes` is the maximum length of a list. `pushed` means that discovery is an agent that pushes the list and never lets a request wait. `last_poll` records
/// when this task was last polled in time.
pub async fn watch(
    discovery: SocketAddr,
    pushed: bool,
    since: Option<u64>,
    max_list_bytes: usize,
    last_poll: LastPoll,
    mut on_event: impl FnMut(WatchEvent),
) -> WatchEnd {
    let mut stall = StallDetector::new(Instant::now(), last_poll);
    let (pending_requests, mut partial_reported) = (PendingRequests::default(), false);
    let mut response = pin!(request_hedged(
        discovery,
        since,
        if pushed { AGENT_TIMEOUTS } else { DIRECT_TIMEOUTS },
        &pending_requests
    ));
    let response = loop {
        if let Ok(response) = timeout_at(stall.poll_at(), &mut response).await {
            break response;
        }
        let now = Instant::now();
        let polled_in_time = stall.record_idle(now);
        let partial = pending_requests
            .partial_head_since()
            .filter(|since| polled_in_time && !partial_reported && now >= *since + PARTIAL_LIST_DELAY);
        if let Some(since) = partial {
            partial_reported = true;
            on_event(WatchEvent::Partial(since));
        }
    };
    let response = match response {
        Ok(response) => response,
        Err(requests) => return WatchEnd::Unanswered(requests),
    };
    on_event(WatchEvent::Answered);
    follow_lists(response, max_list_bytes, stall, &mut on_event).await
}

/// An error followed by its chain of sources.
fn causes<'a>(error: &'a (dyn Error + 'static)) -> impl Iterator<Item = &'a (dyn Error + 'static)> {
    std::iter::successors(Some(error), |error| (*error).source())
}

/// The messages of an error and its sources.
fn describe_with_causes(error: &(dyn Error + 'static)) -> String {
    causes(error).map(ToString::to_string).collect::<Vec<_>>().join(": ")
}

/// Whether the peer closed the connection gracefully but within the body of its response.
fn is_end_of_file(error: &(dyn Error + 'static)) -> bool {
    let is_eof = |cause: &io::Error| cause.kind() == io::ErrorKind::UnexpectedEof;
    causes(error).any(|cause| cause.downcast_ref::<io::Error>().is_some_and(is_eof))
}

/// Reads lists from an open watch until it ends.
async fn follow_lists(
    response: WatchResponse,
    max_list_bytes: usize,
    mut stall: StallDetector,
    on_event: &mut impl FnMut(WatchEvent),
) -> WatchEnd {
    let WatchResponse { mut body, received, _connection } = response;
    let (mut splitter, answered) = (JsonSplitter::new(max_list_bytes), Instant::now());
    let mut last_alive = answered;
    // The first list counts as incomplete from the first byte of the response head on.
    let head_at = received.first_byte_at().unwrap_or(answered);
    let mut first_list_since =
        Some(stall.record_read(answered).map_or(head_at, |read_late_since| read_late_since.min(head_at)));
    // If nothing has changed, nothing may follow the head.
    received.mark_parsed();
    let mut partial_reported = false;
    loop {
        let incomplete_since = received.incomplete_since();
        let partial = incomplete_since.filter(|_| !partial_reported).map(|since| since + PARTIAL_LIST_DELAY);
        let until = partial.map_or(last_alive + SILENCE_TIMEOUT, |at| at.min(last_alive + SILENCE_TIMEOUT));
        let Ok(frame) = timeout_at(stall.poll_at_or(until), body.frame()).await else {
            let now = Instant::now();
            if !stall.record_idle(now) {
                // Data that arrived during the stall is still unread.
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
            // The last bytes received were those that end the body.
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
        // Only complete lists and lines show that the watch is alive.
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
                // An empty line may precede the first list; a later one is a heartbeat.
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
