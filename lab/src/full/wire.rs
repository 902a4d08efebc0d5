//! HTTP/1.1 as the model's clients, hosts and discovery read and write it. Heads are read by `httparse`.

use std::collections::VecDeque;

/// Most header lines of a head.
const LINES: usize = 64;

/// A message's head, as far as it is of use here, and where its body is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Head {
    /// A request's target, or a response's status in digits.
    pub first: String,
    /// Names in lower case, with values.
    headers: Vec<(String, String)>,
    /// Bytes of head and body.
    pub head: usize,
    /// See `head`.
    pub body: usize,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    fn with(first: String, headers: &[httparse::Header<'_>], head: usize) -> Head {
        let value = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let headers =
            headers.iter().map(|line| (line.name.to_ascii_lowercase(), value(line.value))).collect();
        let mut read = Head { first, headers, head, body: 0 };
        read.body = read.header("content-length").and_then(|length| length.parse().ok()).unwrap_or_default();
        read
    }
}

/// What has been read of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Read {
    /// Not all of its head.
    Partly,
    /// Its head; its body is there if so many bytes are.
    Head(Head),
    /// It is none.
    Bad,
}

/// Reads a request's head.
pub(super) fn request(bytes: &[u8]) -> Read {
    let mut lines = [httparse::EMPTY_HEADER; LINES];
    let mut request = httparse::Request::new(&mut lines);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => {
            Read::Head(Head::with(request.path.unwrap_or_default().to_owned(), request.headers, head))
        }
        Ok(httparse::Status::Partial) => Read::Partly,
        Err(_) => Read::Bad,
    }
}

/// Reads a response's head.
pub(super) fn response(bytes: &[u8]) -> Read {
    let mut lines = [httparse::EMPTY_HEADER; LINES];
    let mut response = httparse::Response::new(&mut lines);
    match response.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => {
            Read::Head(Head::with(response.code.unwrap_or_default().to_string(), response.headers, head))
        }
        Ok(httparse::Status::Partial) => Read::Partly,
        Err(_) => Read::Bad,
    }
}

/// Takes a whole message out of what has come.
pub(super) fn take(come: &mut VecDeque<u8>, head: &Head) -> Vec<u8> {
    come.drain(..head.head + head.body).skip(head.head).collect()
}

/// A call's id on the wire, and back.
pub(super) fn id(call: u32) -> String {
    format!("{call:016x}")
}

pub(super) fn call(id: &str) -> Option<u32> {
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
    fn messages_are_read_whole_and_in_pieces() {
        let text = b"POST /api HTTP/1.1\r\nX-Call-Id: 000000000000002a\r\nContent-Length: 3\r\n\r\nabcGET";
        assert_eq!(request(&text[..20]), Read::Partly);
        let Read::Head(head) = request(text) else { panic!("a head") };
        assert_eq!((head.header("x-call-id").and_then(call), head.body), (Some(42), 3));
        let mut come: VecDeque<u8> = text.iter().copied().collect();
        assert_eq!(take(&mut come, &head), b"abc");
        assert_eq!(come.len(), 3);
        assert_eq!(request(b"\0\0\r\n\r\n"), Read::Bad);
        let Read::Head(head) = response(b"HTTP/1.1 503 No\r\nRetry-After: 0.5\r\n\r\n") else {
            panic!("a head")
        };
        assert_eq!((head.first.as_str(), head.header("retry-after")), ("503", Some("0.5")));
    }
}
