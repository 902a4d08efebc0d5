//! What the commands for operators share: a connection to a running proxy, and tables.

use serde_json::Value;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// How long the proxy may take for an answer.
const PATIENCE: Duration = Duration::from_secs(10);
/// Longest answer: a part of the list.
const ANSWER_MOST: u64 = 16 << 20;

/// To a proxy's operators' socket.
pub struct Connection(BufReader<UnixStream>);

impl Connection {
    pub fn open(socket: &Path) -> Result<Connection, String> {
        let stream = UnixStream::connect(socket);
        let stream = stream.and_then(|stream| {
            stream.set_read_timeout(Some(PATIENCE))?;
            stream.set_write_timeout(Some(PATIENCE))?;
            Ok(stream)
        });
        Ok(Connection(BufReader::new(stream.map_err(|error| format!("{}: {error}", socket.display()))?)))
    }

    pub fn ask(&mut self, request: &Value) -> Result<Value, String> {
        let failed = |error: std::io::Error| format!("the proxy does not answer: {error}");
        self.0.get_mut().write_all(format!("{request}\n").as_bytes()).map_err(failed)?;
        let mut line = String::new();
        (&mut self.0).take(ANSWER_MOST).read_line(&mut line).map_err(failed)?;
        let mut answer: Value =
            serde_json::from_str(&line).map_err(|error| format!("the proxy's answer: {error}"))?;
        match answer["error"].as_str() {
            Some(error) => Err(error.to_owned()),
            None => Ok(answer["ok"].take()),
        }
    }
}

/// A value in a cell.
pub fn word(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Rows under their heads, each ended by a newline.
pub fn table(heads: &[&str], rows: &[Value]) -> String {
    let rows: Vec<Vec<String>> =
        rows.iter().map(|row| heads.iter().map(|head| word(&row[*head])).collect()).collect();
    let mut text = String::new();
    let widths: Vec<usize> = (0..heads.len())
        .map(|at| rows.iter().map(|row| row[at].chars().count()).chain([heads[at].len()]).max().unwrap_or(0))
        .collect();
    let head: Vec<String> = heads.iter().map(|head| (*head).to_owned()).collect();
    for row in std::iter::once(&head).chain(&rows) {
        let line: Vec<String> =
            row.iter().zip(&widths).map(|(word, width)| format!("{word:width$}")).collect();
        let _ = writeln!(text, "{}", line.join("  ").trim_end());
    }
    text
}
