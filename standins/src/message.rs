//! HTTP/1.1 messages as plain text. They are parsed here and not by a library, so that tests see exactly the bytes
//! that were sent.

use tokio::io::AsyncReadExt;

/// A message as it was received.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request or status line.
    pub first: String,
    /// The headers in their order, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of the first header with this name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The status code of an answer. Panics for a message without one.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).expect("a status")
    }
}

/// Reads messages from a stream.
#[derive(Debug)]
pub struct Reader<R> {
    /// The stream from which messages are read.
    pub stream: R,
    buffer: Vec<u8>,
}

impl<R: AsyncReadExt + Unpin> Reader<R> {
    /// A reader that starts at the next byte of the stream.
    pub fn new(stream: R) -> Self {
        Reader { stream, buffer: Vec::new() }
    }

    /// Reads more bytes into the buffer; `false` at the end of the stream or on an error.
    pub async fn more(&mut self) -> bool {
        self.stream.read_buf(&mut self.buffer).await.is_ok_and(|count| count > 0)
    }

    /// Reads the next message; `None` if the stream ends before the message is complete. A body needs a
    /// `Content-Length`.
    pub async fn message(&mut self) -> Option<Message> {
        let end = loop {
            match self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                Some(end) => break end,
                None if !self.more().await => return None,
                None => {}
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let first = lines.next()?.to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers: Vec<_> =
            headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned())).collect();
        let mut message = Message { first, headers, body: Vec::new() };
        let length: usize = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        while self.buffer.len() < end + 4 + length {
            if !self.more().await {
                return None;
            }
        }
        message.body = self.buffer[end + 4..end + 4 + length].to_vec();
        self.buffer.drain(..end + 4 + length);
        Some(message)
    }
}
