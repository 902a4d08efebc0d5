//! HTTP/1.1 as the model's clients, hosts and discovery read and write it. Heads are read by `httparse`.

use std::collections::VecDeque;

/// Most header lines of a head.
const MAX_HEADERS: usize = 64;

/// A message's head, as far as it is of use here, and where its body is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Head {
    /// A request's target, or a response's status in digits.
    pub target_or_status: String,
    /// Names in lower case, with values.
    headers: Vec<(String, String)>,
    /// Bytes of head and body.
    pub head_length: usize,
    /// See `head`.
    pub body_length: usize,
}

impl Head {
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

/// What has been read of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ParsedHead {
    /// Not all of its head.
    Partial,
    /// Its head; its body is there if so many bytes are.
    Head(Head),
    /// It is none.
    Invalid,
}

/// Reads a request's head.
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

/// Reads a response's head.
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

/// Takes a whole message out of what has come.
pub(super) fn take_message(received: &mut VecDeque<u8>, head: &Head) -> Vec<u8> {
    received.drain(..head.head_length + head.body_length).skip(head.head_length).collect()
}

/// A call's id on the wire, and back.
pub(super) fn format_call_id(call: u32) -> String {
    format!("{call:016x}")
}

pub(super) fn parse_call_id(id: &str) -> Option<u32> {
    u32::from_str_radix(id.get(..16)?, 16).ok()
}

/// A piece of a chunked body.
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
