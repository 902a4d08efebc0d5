//! Decides where the requests on a client's connection end, and whether what follows one may be another. No I/O.
//!
//! A client may state a `Content-Length` that is shorter than its body. The rest of the body then follows the request as
//! delimited, and a host that gets that request processes a part of the real one. Clients may also send their next
//! request before they have the response, so only bytes that begin no request put the end of the one before in doubt.

use crate::observed_stream::ReadObserver;
use hyper::header;
use std::borrow::Cow;
use std::cell::{Cell, RefCell};

/// The methods of HTTP (RFC 9110, section 9, and RFC 5789), each with the space behind it.
const METHODS: [&[u8]; 9] =
    [b"GET ", b"HEAD ", b"POST ", b"PUT ", b"DELETE ", b"CONNECT ", b"OPTIONS ", b"TRACE ", b"PATCH "];
/// Maximum number of header fields of a request; hyper accepts as many.
const MAX_HEADERS: usize = 100;
/// Maximum size of a head that comes in pieces and is followed to its end. hyper keeps a copy as well, and all
/// connections together must fit into the smallest memory that a proxy may have.
const MAX_PARTIAL_HEAD_BYTES: usize = 4 << 10;
/// How many bytes of a head that cannot be delimited are kept: empty lines, the method, and some room.
const KEPT_HEAD_BYTES: usize = 32;

/// A read of this size may have ended where its buffer did.
const LARGE_READ_BYTES: usize = 4 << 10;

/// What is being read.
#[derive(Debug)]
enum Position {
    /// A head, of which these bytes have been read.
    Head(Vec<u8>),
    /// A body, of which so many bytes are missing.
    Body(u64),
    /// Something whose end is not known, with its first bytes.
    Unknown(Vec<u8>),
}

/// Follows the requests on a client's connection, by their heads and lengths alone. It does not validate them: after a
/// head whose request it cannot delimit it counts no more requests.
#[derive(Debug)]
pub struct RequestTracker {
    position: RefCell<Position>,
    /// The number of requests that have been read completely.
    completed: Cell<u64>,
    /// The size of the last read in bytes.
    last_read: Cell<usize>,
}

impl Default for RequestTracker {
    fn default() -> RequestTracker {
        RequestTracker {
            position: RefCell::new(Position::Head(Vec::new())),
            completed: Cell::new(0),
            last_read: Cell::new(0),
        }
    }
}

impl RequestTracker {
    /// Whether the request of this number, counted from 1, was the last one that is complete, and what has been read
    /// behind it begins no request.
    pub fn is_followed_by_other(&self, number: u64) -> bool {
        match &*self.position.borrow() {
            Position::Head(bytes) | Position::Unknown(bytes) => {
                self.completed.get() == number && !may_begin_request(bytes)
            }
            Position::Body(_) => false,
        }
    }
}

impl RequestTracker {
    /// Whether the request of this number was read to its end, and nothing behind it.
    pub fn is_last(&self, number: u64) -> bool {
        match &*self.position.borrow() {
            Position::Head(bytes) => bytes.is_empty() && self.completed.get() == number,
            Position::Body(_) | Position::Unknown(_) => false,
        }
    }

    /// Whether the client may have sent more than the request of this number: something was read behind it, or the last
    /// read may have left something.
    pub fn may_be_followed(&self, number: u64) -> bool {
        !self.is_last(number) || self.last_read.get() >= LARGE_READ_BYTES
    }
}

impl ReadObserver for RequestTracker {
    fn on_read(&self, mut bytes: &[u8]) {
        if !bytes.is_empty() {
            self.last_read.set(bytes.len());
        }
        let mut position = self.position.borrow_mut();
        while !bytes.is_empty() {
            let rest_length = match &mut *position {
                Position::Head(head) => {
                    let mut head = std::mem::take(head);
                    // Most heads come in one piece and are not copied.
                    let (next, rest_length) = if head.is_empty() {
                        read_head(Cow::Borrowed(bytes))
                    } else {
                        head.extend_from_slice(bytes);
                        read_head(Cow::Owned(head))
                    };
                    *position = next;
                    rest_length
                }
                Position::Body(missing) => {
                    let count = bytes.len().min(usize::try_from(*missing).unwrap_or(usize::MAX));
                    *missing -= count as u64;
                    bytes.len() - count
                }
                Position::Unknown(_) => return,
            };
            bytes = &bytes[bytes.len() - rest_length..];
            if matches!(*position, Position::Body(0)) {
                self.completed.set(self.completed.get() + 1);
                *position = Position::Head(Vec::new());
            }
        }
    }
}

/// The position after the bytes of a head, and how many bytes are left behind it.
fn read_head(bytes: Cow<'_, [u8]>) -> (Position, usize) {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(&bytes) {
        Ok(httparse::Status::Complete(length)) => {
            if let Some(body_length) = body_length(request.headers) {
                return (Position::Body(body_length), bytes.len() - length);
            }
        }
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_PARTIAL_HEAD_BYTES => {
            return (Position::Head(bytes.into_owned()), 0);
        }
        _ => {}
    }
    (Position::Unknown(bytes[..bytes.len().min(KEPT_HEAD_BYTES)].to_vec()), 0)
}

/// The length of a request's body; `None` if the headers do not state a single one.
fn body_length(fields: &[httparse::Header<'_>]) -> Option<u64> {
    let mut length = None;
    for field in fields {
        if field.name.eq_ignore_ascii_case(header::TRANSFER_ENCODING.as_str()) {
            return None;
        }
        if field.name.eq_ignore_ascii_case(header::CONTENT_LENGTH.as_str()) {
            let value = std::str::from_utf8(field.value).ok()?.parse().ok()?;
            if length.is_some_and(|length| length != value) {
                return None;
            }
            length = Some(value);
        }
    }
    Some(length.unwrap_or(0))
}

/// Whether these bytes may be the beginning of a request; none may. Empty lines before it are allowed (RFC 9112, section
/// 2.2).
fn may_begin_request(bytes: &[u8]) -> bool {
    let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
    let start = bytes.iter().position(|byte| !is_line_end(byte)).unwrap_or(bytes.len());
    METHODS.iter().any(|method| method.iter().zip(&bytes[start..]).all(|(expected, byte)| expected == byte))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn request(length: usize, body: &str) -> String {
        format!("POST /api HTTP/1.1\r\nX-Call-Id: 1\r\nContent-Length: {length}\r\n\r\n{body}")
    }

    /// Whether each of the first three requests is followed by something else, if the text comes in chunks of this size.
    fn followed_by_other(text: &str, chunk_size: usize) -> [bool; 3] {
        let tracker = RequestTracker::default();
        text.as_bytes().chunks(chunk_size).for_each(|chunk| tracker.on_read(chunk));
        [1, 2, 3].map(|number| tracker.is_followed_by_other(number))
    }

    #[test]
    fn only_bytes_that_begin_no_request_follow_as_something_else() {
        let good = request(4, "body");
        let get = "GET /api HTTP/1.1\r\nX-Call-Id: 2\r\n\r\n";
        for (text, expected) in [
            (String::new(), [false; 3]),
            (good.clone(), [false; 3]),
            (get.to_owned(), [false; 3]),
            (format!("{good}\r\n"), [false; 3]),
            (format!("{good}\r\n{get}"), [false; 3]),
            (format!("{good}{get}{good}"), [false; 3]),
            (format!("{good}PO"), [false; 3]),
            (format!("{good}POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz"), [false; 3]),
            (format!("{good}POST /api HTTP/1.1\r\nno field\r\n\r\n"), [false; 3]),
            (request(2, "body"), [true, false, false]),
            (request(2, "b&c=1"), [true, false, false]),
            (request(0, "{\"amount\":1}"), [true, false, false]),
            (format!("{good}{get}no request"), [false, true, false]),
            (format!("{good}POSTs"), [true, false, false]),
            // The end of a request that is not delimited by one length is not known here.
            (
                request(4, "body").replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 3"),
                [false; 3],
            ),
            (format!("{}x", request(9, "body")), [false; 3]),
        ] {
            for chunk_size in (1..=text.len()).chain([usize::MAX]) {
                assert_eq!(followed_by_other(&text, chunk_size), expected, "{text:?} {chunk_size}");
            }
        }
    }

    #[test]
    fn a_request_is_the_last_if_nothing_is_read_behind_it() {
        let (good, half) = (request(4, "body"), request(4, "bo"));
        for (text, is_last) in [
            (good.clone(), [true, false]),
            (format!("{good}P"), [false, false]),
            (format!("{good}{half}"), [false, false]),
            (format!("{good}{good}"), [false, true]),
            (half, [false, false]),
        ] {
            let tracker = RequestTracker::default();
            tracker.on_read(text.as_bytes());
            assert_eq!([1, 2].map(|number| tracker.is_last(number)), is_last, "{text:?}");
            assert_eq!([1, 2].map(|number| tracker.may_be_followed(number)), is_last.map(|last| !last));
        }
        let tracker = RequestTracker::default();
        tracker.on_read(request(LARGE_READ_BYTES, &"b".repeat(LARGE_READ_BYTES)).as_bytes());
        assert!(tracker.is_last(1) && tracker.may_be_followed(1), "the read may have left something");
    }

    /// A head that does not end is not kept beyond its bound.
    #[test]
    fn what_is_kept_of_a_head_is_bounded() {
        let tracker = RequestTracker::default();
        for _ in 0..1_000 {
            tracker.on_read(&[b'G'; 100]);
        }
        let kept = match &*tracker.position.borrow() {
            Position::Head(bytes) | Position::Unknown(bytes) => bytes.len(),
            Position::Body(_) => 0,
        };
        assert!(kept <= MAX_PARTIAL_HEAD_BYTES, "{kept}");
    }
}
