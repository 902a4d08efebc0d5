//! Splits the body of a watch into its values: lists and empty lines.

use crate::dial::BoxError;

/// What is kept allocated between two lists.
const KEPT_BYTES: usize = 64 << 10;

/// Splits a byte stream into JSON objects, regardless of line breaks. Examines each byte once.
#[derive(Debug)]
pub(super) struct JsonSplitter {
    /// Maximum length of a value in bytes.
    max_length: usize,
    /// The bytes of the incomplete value.
    pending: Vec<u8>,
    /// The number of open brackets of the incomplete value.
    pub depth: usize,
    /// Whether the position is within a string, and there after a backslash.
    in_string: bool,
    escaped: bool,
    /// The number of complete values so far.
    pub count: usize,
}

impl JsonSplitter {
    /// A splitter at the beginning of a stream whose values have at most this many bytes.
    pub fn new(max_length: usize) -> JsonSplitter {
        let (pending, depth, in_string, escaped, count) = Default::default();
        JsonSplitter { max_length, pending, depth, in_string, escaped, count }
    }

    /// Adds received bytes and passes each completed value to `on_value`. Returns whether the bytes completed a value, or
    /// a line between two values.
    pub fn push(
        &mut self,
        bytes: &[u8],
        mut on_value: impl FnMut(&[u8]) -> serde_json::Result<()>,
    ) -> Result<bool, BoxError> {
        let mut saw_complete_item = false;
        for &byte in bytes {
            if self.depth == 0 && byte.is_ascii_whitespace() {
                saw_complete_item |= byte == b'\n';
                continue;
            }
            if self.depth == 0 && byte != b'{' {
                let (next, first_byte) = (self.count + 1, byte.escape_ascii());
                return Err(format!("list {next} of the watch begins with {first_byte}").into());
            }
            if self.pending.len() == self.max_length {
                let (next, max_length) = (self.count + 1, self.max_length);
                return Err(format!("list {next} of the watch is over {max_length} bytes long").into());
            }
            self.pending.push(byte);
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' => self.in_string = !self.in_string,
                b'{' | b'[' if !self.in_string => self.depth += 1,
                b'}' | b']' if !self.in_string => self.depth -= 1,
                _ => {}
            }
            if self.depth == 0 {
                self.count += 1;
                saw_complete_item = true;
                on_value(&self.pending)
                    .map_err(|error| format!("list {} of the watch: {error}", self.count))?;
                self.pending.clear();
                self.pending.shrink_to(KEPT_BYTES);
            }
        }
        Ok(saw_complete_item)
    }

    /// Describes the end of the stream at this position, for the log.
    pub fn describe_end(&self) -> String {
        match self.depth {
            0 => "the watch ended".to_owned(),
            _ => format!("the watch ended within list {}", self.count + 1),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MAX_LENGTH: usize = 4 << 20;

    /// Splits a text that arrives in chunks. Returns the values, the error if any, and the splitter.
    fn split(text: &str, chunk_size: usize) -> (Vec<String>, Option<String>, JsonSplitter) {
        let (mut splitter, mut values) = (JsonSplitter::new(MAX_LENGTH), Vec::new());
        for chunk in text.as_bytes().chunks(chunk_size) {
            let pushed = splitter.push(chunk, |value| {
                values.push(serde_json::from_slice::<serde_json::Value>(value)?.to_string());
                Ok(())
            });
            if let Err(error) = pushed {
                return (values, Some(error.to_string()), splitter);
            }
        }
        (values, None, splitter)
    }

    #[test]
    fn values_are_split_regardless_of_line_and_chunk_boundaries() {
        let text = "\n{\"a\":1}\n\n {\n \"b\" : [ {\n}, \"}\\\"{\\\\\"\n]\n}\n{\"c\":{}}{\"d\":2}\n";
        let whole = ["{\"a\":1}", "{\"b\":[{},\"}\\\"{\\\\\"]}", "{\"c\":{}}", "{\"d\":2}"];
        for chunk_size in 1..text.len() {
            let (values, error, splitter) = split(text, chunk_size);
            assert_eq!((values, error), (whole.map(str::to_owned).to_vec(), None), "{chunk_size}");
            assert_eq!(splitter.describe_end(), "the watch ended");
        }
        let (values, error, splitter) = split(&text[..20], 3);
        assert_eq!((values.len(), error), (1, None));
        assert_eq!(splitter.describe_end(), "the watch ended within list 2");
    }

    #[test]
    fn an_error_names_the_position_of_the_invalid_list() {
        for (text, message) in [
            ("{}\nnull\n", "list 2 of the watch begins with n"),
            ("}", "list 1 of the watch begins with }"),
            ("{]", "list 1 of the watch: key must be a string at line 1 column 2"),
            ("{\n\"a\":}", "list 1 of the watch: expected value at line 2 column 5"),
        ] {
            let error = split(text, 100).1.expect("an invalid list");
            assert_eq!(error, message, "{text}");
        }
        let error =
            split(&format!("{{{}", " ".repeat(MAX_LENGTH)), 1 << 16).1.expect("a list that is too long");
        assert_eq!(error, "list 1 of the watch is over 4194304 bytes long");
    }

    /// A line break within a list or a part of a list does not count; the end of a list or of a line between lists does.
    #[test]
    fn only_complete_items_show_that_the_watch_is_alive() {
        let mut splitter = JsonSplitter::new(MAX_LENGTH);
        let mut push = |text: &str| splitter.push(text.as_bytes(), |_| Ok(())).expect("no failure");
        assert_eq!(
            ["\n", "{\n", "\n\"a\":\n", "1", "}", " ", "\r\n"].map(&mut push).to_vec(),
            [true, false, false, false, true, false, true]
        );
    }
}
