//! Parsing and writing of HTTP/1.1 for the model's clients, hosts and discovery. Heads are parsed by `httparse`.

use std::collections::VecDeque;

/// Maximum number of header fields of a message.
const MAX_HEADERS: usize = 64;

/// The head of a message, as far as it is needed here, and the sizes of head and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Head {
    /// The target of a request, or the status code of a response as text.
    pub target_or_status: String,
    /// Names, in lower case, and values of the header fields.
    headers: Vec<(String, String)>,
    /// Length of the head, in bytes.
    pub head_length: usize,
    /// Length of the body, in bytes.
    pub body_length: usize,
}

impl Head {
    /// The value of the first header field with this name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    fn new(target_or_status: String, headers: &[httparse::Header<'_>], head_length: usize) -> Head {
        let value = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let headers =
            headers.iter().map(|field| (field.name.to_ascii_lowercase(), value(field.value))).collect();
        let mut head = Head { target_or_status, headers, head_length, body_length: 0 };
        head.body_length =
            head.header("content-length").and_then(|length| length.parse().ok()).unwrap_or_default();
        head
    }
}

/// Result of parsing the head of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ParsedHead {
    /// The head is incomplete.
    Partial,
    /// The head is complete; the body may be incomplete.
    Head(Head),
    /// The bytes are not a valid head.
    Invalid,
}

/// Parses the head of a request.
pub(super) fn parse_request(bytes: &[u8]) -> ParsedHead {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => {
            ParsedHead::Head(Head::new(request.path.unwrap_or_default().to_owned(), request.headers, head))
        }
        Ok(httparse::Status::Partial) => ParsedHead::Partial,
        Err(_) => ParsedHead::Invalid,
    }
}

/// Parses the head of a response.
pub(super) fn parse_response(bytes: &[u8]) -> ParsedHead {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut fields);
    match response.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => {
            ParsedHead::Head(Head::new(response.code.unwrap_or_default().to_string(), response.headers, head))
        }
        Ok(httparse::Status::Partial) => ParsedHead::Partial,
        Err(_) => ParsedHead::Invalid,
    }
}

/// Removes a complete message from the received bytes and returns its body.
pub(super) fn take_message(received: &mut VecDeque<u8>, head: &Head) -> Vec<u8> {
    received.drain(..head.head_length + head.body_length).skip(head.head_length).collect()
}

/// The id of a call as it is sent in the `X-Call-Id` header field.
pub(super) fn format_call_id(call: u32) -> String {
    format!("{call:016x}")
}

/// Parses the id of a call. `None` if the text does not begin with one.
pub(super) fn parse_call_id(id: &str) -> Option<u32> {
    u32::from_str_radix(id.get(..16)?, 16).ok()
}

/// A chunk of a body with the chunked transfer coding.
pub(super) fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn complete_and_partial_messages_are_parsed() {
        let text = b"POST /api HTTP/1.1\r\nX-Call-Id: 000000000000002a\r\nContent-Length: 3\r\n\r\nabcGET";
        assert_eq!(parse_request(&text[..20]), ParsedHead::Partial);
        let ParsedHead::Head(head) = parse_request(text) else { panic!("a head") };
        assert_eq!((head.header("x-call-id").and_then(parse_call_id), head.body_length), (Some(42), 3));
        let mut received: VecDeque<u8> = text.iter().copied().collect();
        assert_eq!(take_message(&mut received, &head), b"abc");
        assert_eq!(received.len(), 3);
        assert_eq!(parse_request(b"\0\0\r\n\r\n"), ParsedHead::Invalid);
        let ParsedHead::Head(head) = parse_response(b"HTTP/1.1 503 No\r\nRetry-After: 0.5\r\n\r\n") else {
            panic!("a head")
        };
        assert_eq!((head.target_or_status.as_str(), head.header("retry-after")), ("503", Some("0.5")));
    }
}
