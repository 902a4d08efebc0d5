//! Decides where a response ends, and what the bytes behind it prove (RFC 9112, section 6.3). No I/O and no clock.
//!
//! A host may state a `Content-Length` that does not fit its body. If it is too short, the rest of the body comes behind
//! the end that the length states, and the response as delimited is a part of the real one. Bytes behind a response may
//! also be a message of their own, such as a second copy of the response; then the response before it is whole.

use super::outcome::outcome_of_status;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, StatusCode};
use nettleworks_policy::Outcome;

/// The beginning of a status line up to the status code (RFC 9112, section 4); `#` stands for a digit.
const STATUS_LINE_START: &[u8] = b"HTTP/#.# ###";
/// Maximum number of header fields of a response that is compared with the one before it.
const MAX_HEADERS: usize = 100;

/// What determines the end of a response's body, in the order of RFC 9112, section 6.3.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The end of the head: there is no body, whatever the headers say.
    Head,
    /// The last chunk.
    LastChunk,
    /// `Content-Length`.
    Length,
    /// The end of the connection, if it is closed in order.
    Close,
    /// Nothing: the headers contradict each other or name a transfer coding that is not decoded here.
    Ambiguous,
}

impl BodyEnd {
    /// What determines the end of the response to a request with this method.
    pub fn of_response(method: &Method, status: StatusCode, headers: &HeaderMap) -> BodyEnd {
        let has_no_body = status.is_informational()
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
            || method == Method::HEAD;
        if has_no_body {
            return BodyEnd::Head;
        }
        let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
        let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
        match (codings.next(), codings.next(), lengths.next(), lengths.next()) {
            (None, None, None, None) => BodyEnd::Close,
            (None, None, Some(length), None) if is_number(length) => BodyEnd::Length,
            (Some(coding), None, None, None) if is_chunked(coding) => BodyEnd::LastChunk,
            _ => BodyEnd::Ambiguous,
        }
    }

    /// Whether the end can be told at all. The end of the connection is one if the peer closed it in order; a reset fails
    /// the read of the body.
    pub fn is_known(self) -> bool {
        self != BodyEnd::Ambiguous
    }

    /// Whether the body that was read up to this end may be a part of the real one, given what came behind it.
    pub fn may_be_early(self, surplus: Surplus) -> bool {
        let may_be_body = matches!(surplus, Surplus::Undecided | Surplus::Other);
        may_be_body && !matches!(self, BodyEnd::Head | BodyEnd::LastChunk)
    }
}

fn is_number(value: &HeaderValue) -> bool {
    !value.is_empty() && value.as_bytes().iter().all(u8::is_ascii_digit)
}

fn is_chunked(coding: &HeaderValue) -> bool {
    coding.as_bytes().eq_ignore_ascii_case(b"chunked")
}

/// What the bytes behind a response are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Surplus {
    /// There are none.
    None,
    /// Too few to tell: the beginning of a status line, or of anything else.
    Undecided,
    /// Another response.
    Response,
    /// Bytes that begin no response. Behind a body that is delimited by its length they may belong to the body.
    Other,
}

impl Surplus {
    /// Classifies the bytes behind a response, of which more may follow.
    pub fn of(bytes: &[u8]) -> Surplus {
        let fits = |(byte, expected): (&u8, &u8)| match expected {
            b'#' => byte.is_ascii_digit(),
            expected => byte == expected,
        };
        if bytes.is_empty() {
            Surplus::None
        } else if !bytes.iter().zip(STATUS_LINE_START).all(fits) {
            Surplus::Other
        } else if bytes.len() < STATUS_LINE_START.len() {
            Surplus::Undecided
        } else {
            Surplus::Response
        }
    }

    /// Whether more bytes would not change the classification.
    pub fn is_final(self) -> bool {
        matches!(self, Surplus::Response | Surplus::Other)
    }
}

/// Whether the response at the beginning of `bytes` proves something else than the response before it, of this outcome
/// and with this body: on a connection that was used before, either may be the one to the last request. A response whose
/// head is incomplete or invalid proves nothing.
pub fn is_contradicted(outcome: Outcome, body: &[u8], bytes: &[u8]) -> bool {
    let Some(other) = FollowingResponse::parse(bytes) else { return false };
    if outcome_of_status(other.status, &other.headers) != outcome {
        return true;
    }
    outcome == Outcome::Served && !other.may_have_body(body)
}

/// A response of which the head is complete.
struct FollowingResponse<'a> {
    status: StatusCode,
    headers: HeaderMap,
    /// The bytes behind the head.
    rest: &'a [u8],
}

impl FollowingResponse<'_> {
    /// The first final response; informational ones before it are skipped.
    fn parse(mut bytes: &[u8]) -> Option<FollowingResponse<'_>> {
        loop {
            let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Response::new(&mut fields);
            let Ok(httparse::Status::Complete(head_length)) = head.parse(bytes) else { return None };
            let status = StatusCode::from_u16(head.code?).ok()?;
            let rest = bytes.get(head_length..)?;
            if status.is_informational() {
                bytes = rest;
                continue;
            }
            let field = |field: &httparse::Header<'_>| {
                let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
                Some((name, HeaderValue::from_bytes(field.value).ok()?))
            };
            let mut headers = HeaderMap::new();
            for (name, value) in head.headers.iter().filter_map(field) {
                headers.append(name, value);
            }
            return Some(FollowingResponse { status, headers, rest });
        }
    }

    /// Whether its body may be this one, as far as it is known.
    fn may_have_body(&self, body: &[u8]) -> bool {
        if BodyEnd::of_response(&Method::GET, self.status, &self.headers) != BodyEnd::Length {
            return true;
        }
        let length = self.headers.get(header::CONTENT_LENGTH).and_then(|length| length.to_str().ok());
        let same_length = length.and_then(|length| length.parse().ok()) == Some(body.len());
        same_length && self.rest.iter().zip(body).all(|(byte, expected)| byte == expected)
    }
}
