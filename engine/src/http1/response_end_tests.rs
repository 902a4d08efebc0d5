//! Tests of the decision where a response ends.

use super::response_end::{is_contradicted, BodyEnd, Surplus};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, StatusCode};
use nettleworks_policy::Outcome;

fn headers(fields: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    headers
}

/// The order of RFC 9112, section 6.3.
#[test]
fn the_headers_tell_what_ends_a_body() {
    for (fields, end) in [
        (&[][..], BodyEnd::Close),
        (&[("content-length", "5")], BodyEnd::Length),
        (&[("content-length", "0")], BodyEnd::Length),
        (&[("content-length", "")], BodyEnd::Ambiguous),
        (&[("content-length", "+5")], BodyEnd::Ambiguous),
        (&[("content-length", "5, 5")], BodyEnd::Ambiguous),
        (&[("content-length", "5"), ("content-length", "5")], BodyEnd::Ambiguous),
        (&[("transfer-encoding", "chunked")], BodyEnd::LastChunk),
        (&[("transfer-encoding", "Chunked")], BodyEnd::LastChunk),
        (&[("transfer-encoding", "gzip")], BodyEnd::Ambiguous),
        (&[("transfer-encoding", "gzip, chunked")], BodyEnd::Ambiguous),
        (&[("transfer-encoding", "gzip"), ("transfer-encoding", "chunked")], BodyEnd::Ambiguous),
        (&[("transfer-encoding", "chunked"), ("content-length", "5")], BodyEnd::Ambiguous),
    ] {
        assert_eq!(BodyEnd::of_response(&Method::GET, StatusCode::OK, &headers(fields)), end, "{fields:?}");
    }
}

#[test]
fn some_responses_end_with_their_head_whatever_their_headers_say() {
    let fields = headers(&[("content-length", "5"), ("transfer-encoding", "chunked")]);
    for (method, status) in [
        (Method::HEAD, StatusCode::OK),
        (Method::POST, StatusCode::NO_CONTENT),
        (Method::POST, StatusCode::NOT_MODIFIED),
        (Method::POST, StatusCode::EARLY_HINTS),
    ] {
        assert_eq!(BodyEnd::of_response(&method, status, &fields), BodyEnd::Head, "{method} {status}");
    }
}

/// A cut of the bytes at any place is classified as the whole, or left undecided.
#[test]
fn bytes_are_another_response_if_they_begin_a_status_line() {
    for (bytes, surplus) in [
        ("HTTP/1.1 200 OK\r\n", Surplus::Response),
        ("HTTP/1.0 503\r\n\r\n", Surplus::Response),
        ("HTTP/1.1 xyz OK\r\n", Surplus::Other),
        ("HTTP/x.1 200 OK\r\n", Surplus::Other),
        ("http/1.1 200 OK\r\n", Surplus::Other),
        ("\r\nHTTP/1.1 200 OK\r\n", Surplus::Other),
        ("8f6d2f0a", Surplus::Other),
        ("\0", Surplus::Other),
    ] {
        assert_eq!(Surplus::of(bytes.as_bytes()), surplus, "{bytes:?}");
        assert!(surplus.is_final());
        for length in 1..bytes.len() {
            let part = Surplus::of(&bytes.as_bytes()[..length]);
            assert!(part == surplus || part == Surplus::Undecided, "{bytes:?} {length} {part:?}");
        }
    }
    assert_eq!(Surplus::of(b""), Surplus::None);
    assert_eq!(Surplus::of(b"HTTP/1.1 20"), Surplus::Undecided);
    assert!(!Surplus::None.is_final() && !Surplus::Undecided.is_final());
}

/// A chunked body that is cut lacks its last chunk, and no byte behind a head without a body belongs to it.
#[test]
fn bytes_that_begin_no_response_may_belong_to_a_body_that_its_length_ends() {
    let surplus = [Surplus::None, Surplus::Response, Surplus::Undecided, Surplus::Other];
    for (end, known, may_be_early) in [
        (BodyEnd::Head, true, [false; 4]),
        (BodyEnd::LastChunk, true, [false; 4]),
        (BodyEnd::Length, true, [false, false, true, true]),
        (BodyEnd::Close, true, [false, false, true, true]),
        (BodyEnd::Ambiguous, false, [false, false, true, true]),
    ] {
        assert_eq!(end.is_known(), known, "{end:?}");
        assert_eq!(surplus.map(|surplus| end.may_be_early(surplus)), may_be_early, "{end:?}");
    }
}

/// A response is contradicted by one behind it with another outcome or another body, and not by its copy, of which any
/// part may have arrived.
#[test]
fn only_a_response_that_differs_contradicts_the_one_before_it() {
    let served = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    let rejected = "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";
    let contradicted = |outcome, bytes: &str| is_contradicted(outcome, b"body", bytes.as_bytes());
    for length in 0..=served.len() {
        assert!(!contradicted(Outcome::Served, &served[..length]), "{length}");
    }
    for length in 0..=rejected.len() {
        assert!(!contradicted(Outcome::TurnedAway, &rejected[..length]), "{length}");
    }
    assert!(contradicted(Outcome::Served, rejected));
    assert!(contradicted(Outcome::TurnedAway, served));
    for (bytes, differs) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodY", true),
        ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody", true),
        ("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false),
        ("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", true),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false),
        ("HTTP/1.1 200 OK\r\nno field\r\n\r\n", false),
        ("noise", false),
    ] {
        assert_eq!(contradicted(Outcome::Served, bytes), differs, "{bytes:?}");
    }
}
