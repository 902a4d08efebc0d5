//! What the operators' commands share: a connection to a running proxy's operators' socket, and tables of text.

use serde_json::Value;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// How long the proxy may take to read a request or to write its response.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Longest response in bytes: one page of the list of keys.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// A connection to a proxy's operators' socket.
pub struct Connection(BufReader<UnixStream>);

impl Connection {
    /// Connects to the socket at this path; the error names the path.
    pub fn open(socket: &Path) -> Result<Connection, String> {
        let stream = UnixStream::connect(socket);
        let stream = stream.and_then(|stream| {
            stream.set_read_timeout(Some(TIMEOUT))?;
            stream.set_write_timeout(Some(TIMEOUT))?;
            Ok(stream)
        });
        Ok(Connection(BufReader::new(stream.map_err(|error| format!("{}: {error}", socket.display()))?)))
    }

    /// Sends one request and returns the value of its response; the proxy's refusal is returned as an error.
    pub fn request(&mut self, request: &Value) -> Result<Value, String> {
        let failed = |error: std::io::Error| format!("the proxy does not answer: {error}");
        // It would be taken for the response to this request.
        if !self.0.buffer().is_empty() {
            return Err("the proxy sent more than one response to a request".to_owned());
        }
        self.0.get_mut().write_all(format!("{request}\n").as_bytes()).map_err(failed)?;
        let mut line = String::new();
        (&mut self.0).take(MAX_RESPONSE_BYTES).read_line(&mut line).map_err(failed)?;
        let mut response: Value =
            serde_json::from_str(&line).map_err(|error| format!("invalid response of the proxy: {error}"))?;
        match response["error"].as_str() {
            Some(error) => Err(error.to_owned()),
            None => Ok(response["ok"].take()),
        }
    }
}

/// A JSON value as the text of a table cell; null is "-".
pub fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// A table with these columns as headers, one line for each row, each line ended by a newline.
pub fn format_table(columns: &[&str], rows: &[Value]) -> String {
    let rows: Vec<Vec<String>> =
        rows.iter().map(|row| columns.iter().map(|column| cell_text(&row[*column])).collect()).collect();
    let mut text = String::new();
    let widths: Vec<usize> = (0..columns.len())
        .map(|n| rows.iter().map(|row| row[n].chars().count()).chain([columns[n].len()]).max().unwrap_or(0))
        .collect();
    let header: Vec<String> = columns.iter().map(|column| (*column).to_owned()).collect();
    for row in std::iter::once(&header).chain(&rows) {
        let line: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        let _ = writeln!(text, "{}", line.join("  ").trim_end());
    }
    text
}
