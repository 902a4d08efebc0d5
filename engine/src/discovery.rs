//! The watch that brings the changes of the list of hosts.

use crate::dial::{dial, BoxError};
use crate::list::List;
use crate::stall::{LastLook, StallDetector};
use crate::task::{self, Task};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::{header, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// A heartbeat comes every 2 s: a watch on which one of them and a half bring nothing whole is taken for dead. What it hid
/// counts as notified 6 s after it fell silent: what is left is for another one to be opened.
const SILENCE: Duration = Duration::from_secs(3);
/// Time for a connection to discovery. Nobody queues there.
const CONNECT: Duration = Duration::from_secs(1);
/// A call that failed after this or more found nobody who answers. One that is refused sooner was read and refused.
const RAN_OUT: Duration = Duration::from_secs(1);
/// No heartbeat comes sooner after the head of an answer.
const BEAT_LEAST: Duration = Duration::from_secs(1);
/// The pieces of a list follow each other sooner than this.
const PARTIAL: Duration = Duration::from_millis(100);
/// Longest list; a longer one is not that of any fleet that one proxy serves.
const LIST_MOST: usize = 4 << 20;

/// How long an answer is waited for.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// In all.
    answer: Duration,
    /// After this a second call is made beside the first, whose connection may be dead. The first to be answered counts.
    hedge: Duration,
}

/// Discovery that works through its calls in turn: what waits longer than two seconds is rare, and a second call adds to
/// what keeps the first waiting.
const ASKED: Patience =
    Patience { answer: Duration::from_millis(4_500), hedge: Duration::from_millis(2_250) };
/// An agent that pushes, which answers at once. What it has counts as notified, with a second's grace.
const PUSHED: Patience = Patience { answer: Duration::from_millis(700), hedge: Duration::from_millis(350) };

/// How a watch ended.
#[derive(Debug)]
pub enum End {
    /// It was open, and nothing came for too long: it is not known since when it tells nothing.
    Silent,
    /// There was nobody to answer the call: no connection came up, or it was let run out.
    Unreachable(BoxError),
    /// The connection broke or ended, or the call was refused or not answered in time.
    Failed(BoxError),
    /// The connection broke or ended while a list was on its way, or what came is no list. What was written counts as
    /// notified, whether or not it arrived.
    Cut {
        /// When the list began to come, or the call was answered for it.
        since: Instant,
        /// What happened.
        reason: BoxError,
    },
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
    let began = Instant::now();
    let call = || call(discovery, since);
    let mut stall = StallDetector::new(began, last_look);
    let mut answer = pin!(hedged(call, if pushed { PUSHED } else { ASKED }));
    let answer = loop {
        match timeout_at(stall.look_at(), &mut answer).await {
            Ok(answer) => break answer,
            Err(_) => {
                stall.idle(Instant::now());
            }
        }
    };
    let answer = match answer {
        Ok(answer) => answer,
        Err(Unanswered::NoConnection(reason)) => return End::Unreachable(reason),
        Err(Unanswered::Refused(reason)) if began.elapsed() >= RAN_OUT => return End::Unreachable(reason),
        Err(Unanswered::Refused(reason)) => return End::Failed(reason),
        Err(Unanswered::TimedOut) => return End::Failed("no answer in time".into()),
    };
    seen(Sign::Answered);
    follow(answer, stall, &mut seen).await
}

/// A call that was answered with 200, and the task of its connection.
struct Answer {
    body: Incoming,
    _connection: Task,
}

/// Why a call has no answer to follow.
enum Unanswered {
    /// No connection came up.
    NoConnection(BoxError),
    /// The connection broke before an answer, or the answer was not 200.
    Refused(BoxError),
    /// Nothing came in time.
    TimedOut,
}

async fn call(discovery: SocketAddr, since: Option<u64>) -> Result<Answer, Unanswered> {
    let refused = |error: BoxError| Unanswered::Refused(error);
    let stream = match timeout(CONNECT, dial(discovery)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(Unanswered::NoConnection(error.into())),
        Err(elapsed) => return Err(Unanswered::NoConnection(elapsed.into())),
    };
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.map_err(|error| refused(error.into()))?;
    let connection = task::spawn(connection);
    let since = since.map(|seq| format!("&since={seq}")).unwrap_or_default();
    let request = Request::get(format!("/catalog/members?follow=1{since}"))
        .header(header::HOST, discovery.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| refused(error.into()))?;
    let response: Response<Incoming> =
        sender.send_request(request).await.map_err(|error| refused(error.into()))?;
    if response.status() != StatusCode::OK {
        return Err(refused(format!("discovery answered {}", response.status()).into()));
    }
    Ok(Answer { body: response.into_body(), _connection: connection })
}

/// Makes a call, and another beside it where the first is not answered soon.
async fn hedged<F>(call: impl Fn() -> F, patience: Patience) -> Result<Answer, Unanswered>
where
    F: Future<Output = Result<Answer, Unanswered>>,
{
    let both = async {
        let mut first = pin!(call());
        if let Ok(done) = timeout(patience.hedge, &mut first).await {
            return done;
        }
        let mut second = pin!(call());
        // In this order, not in one drawn anew: the same events make the same course.
        tokio::select! {
            biased;
            done = &mut first => match done {
                Ok(answer) => Ok(answer),
                Err(_) => second.await,
            },
            done = &mut second => match done {
                Ok(answer) => Ok(answer),
                Err(_) => first.await,
            },
        }
    };
    timeout(patience.answer, both).await.unwrap_or(Err(Unanswered::TimedOut))
}

async fn follow(answer: Answer, mut stall: StallDetector, seen: &mut impl FnMut(Sign)) -> End {
    let Answer { mut body, _connection } = answer;
    let (mut values, answered) = (Values::default(), Instant::now());
    let mut alive = answered;
    // Since when a list is on its way; the first one is from the head on.
    let mut coming = Some(stall.read(answered).unwrap_or(answered));
    let mut warned = false;
    loop {
        let partial = coming.filter(|_| values.depth > 0 && !warned).map(|since| since + PARTIAL);
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
        let ended = |reason: BoxError| match coming {
            Some(since) => End::Cut { since, reason },
            None => End::Failed(reason),
        };
        let data = match frame {
            None => return ended(values.end().into()),
            Some(Err(error)) => return ended(error.into()),
            Some(Ok(frame)) => frame.into_data(),
        };
        let (Ok(data), now) = (data, Instant::now()) else { continue };
        let late = stall.read(now);
        // Bytes that never make a whole list are no sign of life.
        match values.take(&data, |value| serde_json::from_slice(value).map(|list| seen(Sign::List(list)))) {
            Err(reason) => return End::Cut { since: coming.or(late).unwrap_or(now), reason },
            Ok(true) => {
                alive = now;
                warned = false;
                // An empty line may come ahead of the first list; a heartbeat comes later.
                if values.count > 0 || now - answered >= BEAT_LEAST {
                    coming = None;
                }
                seen(if late.is_none() { Sign::Alive } else { Sign::AliveLately });
            }
            Ok(false) => {}
        }
        if values.depth > 0 {
            coming.get_or_insert(late.unwrap_or(now));
        }
    }
}

/// Cuts what comes into its values, however they are set in lines. Each byte is looked at once.
#[derive(Debug, Default)]
struct Values {
    /// Of a value whose end has not come.
    pending: Vec<u8>,
    /// Open brackets of it.
    depth: usize,
    /// In a text of it, and there behind a backslash.
    text: bool,
    escaped: bool,
    /// Values so far.
    count: usize,
}

impl Values {
    /// Takes further bytes, and whether they ended a value or, between two, a line.
    fn take(
        &mut self,
        bytes: &[u8],
        mut whole: impl FnMut(&[u8]) -> serde_json::Result<()>,
    ) -> Result<bool, BoxError> {
        let mut alive = false;
        for &byte in bytes {
            if self.depth == 0 && byte.is_ascii_whitespace() {
                alive |= byte == b'\n';
                continue;
            }
            if self.depth == 0 && byte != b'{' {
                let (next, what) = (self.count + 1, byte.escape_ascii());
                return Err(format!("list {next} of the watch begins with {what}").into());
            }
            if self.pending.len() == LIST_MOST {
                return Err(
                    format!("list {} of the watch is over {LIST_MOST} bytes long", self.count + 1).into()
                );
            }
            self.pending.push(byte);
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.text => self.escaped = true,
                b'"' => self.text = !self.text,
                b'{' | b'[' if !self.text => self.depth += 1,
                b'}' | b']' if !self.text => self.depth -= 1,
                _ => {}
            }
            if self.depth == 0 {
                self.count += 1;
                alive = true;
                whole(&self.pending).map_err(|error| format!("list {} of the watch: {error}", self.count))?;
                self.pending.clear();
            }
        }
        Ok(alive)
    }

    /// What the end of the watch means here.
    fn end(&self) -> String {
        match self.depth {
            0 => "the watch ended".to_owned(),
            _ => format!("the watch ended within list {}", self.count + 1),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Takes a text in pieces of a size. Gives what values came, and the failure.
    fn taken(text: &str, size: usize) -> (Vec<String>, Option<String>, Values) {
        let (mut values, mut came) = (Values::default(), Vec::new());
        for piece in text.as_bytes().chunks(size) {
            let took = values.take(piece, |value| {
                came.push(serde_json::from_slice::<serde_json::Value>(value)?.to_string());
                Ok(())
            });
            if let Err(error) = took {
                return (came, Some(error.to_string()), values);
            }
        }
        (came, None, values)
    }

    #[test]
    fn values_are_cut_however_they_are_set_in_lines_and_pieces() {
        let text = "\n{\"a\":1}\n\n {\n \"b\" : [ {\n}, \"}\\\"{\\\\\"\n]\n}\n{\"c\":{}}{\"d\":2}\n";
        let whole = ["{\"a\":1}", "{\"b\":[{},\"}\\\"{\\\\\"]}", "{\"c\":{}}", "{\"d\":2}"];
        for size in 1..text.len() {
            let (came, error, values) = taken(text, size);
            assert_eq!((came, error), (whole.map(str::to_owned).to_vec(), None), "{size}");
            assert_eq!(values.end(), "the watch ended");
        }
        let (came, error, values) = taken(&text[..20], 3);
        assert_eq!((came.len(), error), (1, None));
        assert_eq!(values.end(), "the watch ended within list 2");
    }

    #[test]
    fn what_is_no_list_is_named_with_its_place() {
        for (text, said) in [
            ("{}\nnull\n", "list 2 of the watch begins with n"),
            ("}", "list 1 of the watch begins with }"),
            ("{]", "list 1 of the watch: key must be a string at line 1 column 2"),
            ("{\n\"a\":}", "list 1 of the watch: expected value at line 2 column 5"),
        ] {
            let error = taken(text, 100).1.expect("it is none");
            assert_eq!(error, said, "{text}");
        }
        let error = taken(&format!("{{{}", " ".repeat(LIST_MOST)), 1 << 16).1.expect("it is too long");
        assert_eq!(error, "list 1 of the watch is over 4194304 bytes long");
    }

    /// A line's end within a list, or a part of one, is no sign of life; the end of a list or of a line between two is.
    #[test]
    fn only_what_is_whole_is_a_sign_of_life() {
        let mut values = Values::default();
        let mut take = |text: &str| values.take(text.as_bytes(), |_| Ok(())).expect("no failure");
        assert_eq!(
            ["\n", "{\n", "\n\"a\":\n", "1", "}", " ", "\r\n"].map(&mut take).to_vec(),
            [true, false, false, false, true, false, true]
        );
    }
}
