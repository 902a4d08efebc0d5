//! The watch that brings the changes of the list of hosts.

mod call;
mod incoming;
mod outage;
mod values;

use crate::dial::BoxError;
use crate::list::List;
use crate::stall::{LastLook, StallDetector};
pub use call::{CallFailure, FailedCall};
pub use outage::{Outage, Verdict};

use call::{hedged, Answer, Out, ASKED, PUSHED};
use http_body_util::BodyExt;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};
use values::Values;

/// A heartbeat comes every 2 s: a watch on which one of them and a half bring nothing whole is taken for dead. What it hid
/// counts as notified 6 s after it fell silent: what is left is for another one to be opened.
const SILENCE: Duration = Duration::from_secs(3);
/// No heartbeat comes sooner after the head of an answer.
const BEAT_LEAST: Duration = Duration::from_secs(1);
/// The pieces of a list follow each other sooner than this.
const PARTIAL: Duration = Duration::from_millis(100);

/// How a watch ended.
#[derive(Debug)]
pub enum End {
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
    Cut {
        /// When the list began to come, or the call was answered for it.
        since: Instant,
        /// What happened.
        reason: BoxError,
    },
}

impl End {
    /// Since when something was on its way that did not arrive whole; `None`: nothing was.
    pub fn withheld_since(&self) -> Option<Instant> {
        match self {
            End::Cut { since, .. } => Some(*since),
            End::Unanswered(calls) => calls.iter().filter_map(|call| call.cut_since).min(),
            End::Silent | End::Failed(_) | End::Ended { .. } => None,
        }
    }
}

/// What a watch shows while it is open.
#[derive(Debug)]
pub enum Sign {
    /// The call was answered with 200; its lists follow.
    Answered,
    /// A whole line or list has come: the watch is alive. Of a list it comes after [`Sign::List`].
    Alive,
    /// The same, read late: this process was stalled, and the watch may have broken since.
    AliveLately,
    /// A list.
    List(List),
    /// A list has begun to come at this moment, and its end is long in coming.
    Partial(Instant),
}

/// Watches the list from version `since` on and passes on what comes, until the watch ends. It returns how.
/// `pushed`: it is an agent, which never lets a call wait. `last_look` tells when the task last looked whether anything has
/// come.
pub async fn watch(
    discovery: SocketAddr,
    pushed: bool,
    since: Option<u64>,
    last_look: LastLook,
    mut seen: impl FnMut(Sign),
) -> End {
    let mut stall = StallDetector::new(Instant::now(), last_look);
    let (out, mut warned) = (Out::default(), false);
    let mut answer = pin!(hedged(discovery, since, if pushed { PUSHED } else { ASKED }, &out));
    let answer = loop {
        if let Ok(answer) = timeout_at(stall.look_at(), &mut answer).await {
            break answer;
        }
        let now = Instant::now();
        let in_time = stall.idle(now);
        let partial = out.answering_since().filter(|since| in_time && !warned && now >= *since + PARTIAL);
        if let Some(since) = partial {
            warned = true;
            seen(Sign::Partial(since));
        }
    };
    let answer = match answer {
        Ok(answer) => answer,
        Err(calls) => return End::Unanswered(calls),
    };
    seen(Sign::Answered);
    follow(answer, stall, &mut seen).await
}

/// An error and what caused it, in turn.
fn causes<'a>(error: &'a (dyn Error + 'static)) -> impl Iterator<Item = &'a (dyn Error + 'static)> {
    std::iter::successors(Some(error), |error| (*error).source())
}

/// An error with its causes, in words.
fn describe(error: &(dyn Error + 'static)) -> String {
    causes(error).map(ToString::to_string).collect::<Vec<_>>().join(": ")
}

/// Whether the other side has closed the connection in order, though not the body of its answer.
fn is_end_of_file(error: &(dyn Error + 'static)) -> bool {
    let end = |cause: &io::Error| cause.kind() == io::ErrorKind::UnexpectedEof;
    causes(error).any(|cause| cause.downcast_ref::<io::Error>().is_some_and(end))
}

async fn follow(answer: Answer, mut stall: StallDetector, seen: &mut impl FnMut(Sign)) -> End {
    let Answer { mut body, incoming, _connection } = answer;
    let (mut values, answered) = (Values::default(), Instant::now());
    let mut alive = answered;
    // Since when the first list is on its way: from the first byte of the head on.
    let head_at = incoming.first_byte().unwrap_or(answered);
    let mut first = Some(stall.read(answered).map_or(head_at, |late| late.min(head_at)));
    // Where nothing has changed nothing may follow the head.
    incoming.parsed();
    let mut warned = false;
    loop {
        let coming = incoming.unparsed_since();
        let partial = coming.filter(|_| !warned).map(|since| since + PARTIAL);
        let until = partial.map_or(alive + SILENCE, |at| at.min(alive + SILENCE));
        let Ok(frame) = timeout_at(stall.look_at_or(until), body.frame()).await else {
            let now = Instant::now();
            if !stall.idle(now) {
                // What came meanwhile is still to be read.
                continue;
            }
            if now >= alive + SILENCE {
                return End::Silent;
            }
            if let Some(since) = coming.filter(|_| partial.is_some_and(|at| now >= at)) {
                warned = true;
                seen(Sign::Partial(since));
            }
            continue;
        };
        let now = Instant::now();
        let late = stall.read(now);
        let coming = first.or_else(|| incoming.unparsed_since());
        let ended = |reason: String, in_order: bool, coming: Option<Instant>| {
            let reason = format!("{reason} after {} bytes", incoming.bytes()).into();
            match coming {
                Some(since) => End::Cut { since, reason },
                None if in_order => End::Ended { at: late.unwrap_or(now), reason },
                None => End::Failed(reason),
            }
        };
        let data = match frame {
            // The last bytes were those that say so.
            None => return ended(values.end(), true, first.or(coming.filter(|_| values.depth > 0))),
            Some(Err(error)) => return ended(describe(&error), is_end_of_file(&error), coming),
            Some(Ok(frame)) => frame.into_data(),
        };
        let Ok(data) = data else { continue };
        // Bytes that never make a whole list are no sign of life.
        match values.take(&data, |value| serde_json::from_slice(value).map(|list| seen(Sign::List(list)))) {
            Err(reason) => return End::Cut { since: coming.or(late).unwrap_or(now), reason },
            Ok(true) => {
                alive = now;
                warned = false;
                incoming.parsed();
                // An empty line may come ahead of the first list; a heartbeat comes later.
                if values.count > 0 || now - answered >= BEAT_LEAST {
                    first = None;
                }
                seen(if late.is_none() { Sign::Alive } else { Sign::AliveLately });
            }
            Ok(false) => {}
        }
        if values.depth > 0 {
            incoming.unparsed_from(late.unwrap_or(now));
        }
    }
}
