//! Cuts the body of a watch into its values: lists and empty lines.

use crate::dial::BoxError;

/// Longest list; a longer one is not that of any fleet that one proxy serves.
const LIST_MOST: usize = 4 << 20;

/// Cuts what comes into its values, however they are set in lines. Each byte is looked at once.
#[derive(Debug, Default)]
pub(super) struct Values {
    /// Of a value whose end has not come.
    pending: Vec<u8>,
    /// Open brackets of it.
    pub depth: usize,
    /// In a text of it, and there behind a backslash.
    text: bool,
    escaped: bool,
    /// Values so far.
    pub count: usize,
}

impl Values {
    /// Takes further bytes, and whether they ended a value or, between two, a line.
    pub fn take(
        &mut self,
        bytes: &[u8],
        mut whole: impl FnMut(&[u8]) -> serde_json::Result<()>,
    ) -> Result<bool, BoxError> {
        let mut alive = false;
        for &byte in bytes {
            if self.depth == 0 && byte.is_ascii_whitespace() {
                alive |= byte == b'\n';
                continue;
            }
            if self.depth == 0 && byte != b'{' {
                let (next, what) = (self.count + 1, byte.escape_ascii());
                return Err(format!("list {next} of the watch begins with {what}").into());
            }
            if self.pending.len() == LIST_MOST {
                return Err(
                    format!("list {} of the watch is over {LIST_MOST} bytes long", self.count + 1).into()
                );
            }
            self.pending.push(byte);
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.text => self.escaped = true,
                b'"' => self.text = !self.text,
                b'{' | b'[' if !self.text => self.depth += 1,
                b'}' | b']' if !self.text => self.depth -= 1,
                _ => {}
            }
            if self.depth == 0 {
                self.count += 1;
                alive = true;
                whole(&self.pending).map_err(|error| format!("list {} of the watch: {error}", self.count))?;
                self.pending.clear();
            }
        }
        Ok(alive)
    }

    /// What the end of the watch means here.
    pub fn end(&self) -> String {
        match self.depth {
            0 => "the watch ended".to_owned(),
            _ => format!("the watch ended within list {}", self.count + 1),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Takes a text in pieces of a size. Gives what values came, and the failure.
    fn taken(text: &str, size: usize) -> (Vec<String>, Option<String>, Values) {
        let (mut values, mut came) = (Values::default(), Vec::new());
        for piece in text.as_bytes().chunks(size) {
            let took = values.take(piece, |value| {
                came.push(serde_json::from_slice::<serde_json::Value>(value)?.to_string());
                Ok(())
            });
            if let Err(error) = took {
                return (came, Some(error.to_string()), values);
            }
        }
        (came, None, values)
    }

    #[test]
    fn values_are_cut_however_they_are_set_in_lines_and_pieces() {
        let text = "\n{\"a\":1}\n\n {\n \"b\" : [ {\n}, \"}\\\"{\\\\\"\n]\n}\n{\"c\":{}}{\"d\":2}\n";
        let whole = ["{\"a\":1}", "{\"b\":[{},\"}\\\"{\\\\\"]}", "{\"c\":{}}", "{\"d\":2}"];
        for size in 1..text.len() {
            let (came, error, values) = taken(text, size);
            assert_eq!((came, error), (whole.map(str::to_owned).to_vec(), None), "{size}");
            assert_eq!(values.end(), "the watch ended");
        }
        let (came, error, values) = taken(&text[..20], 3);
        assert_eq!((came.len(), error), (1, None));
        assert_eq!(values.end(), "the watch ended within list 2");
    }

    #[test]
    fn what_is_no_list_is_named_with_its_place() {
        for (text, said) in [
            ("{}\nnull\n", "list 2 of the watch begins with n"),
            ("}", "list 1 of the watch begins with }"),
            ("{]", "list 1 of the watch: key must be a string at line 1 column 2"),
            ("{\n\"a\":}", "list 1 of the watch: expected value at line 2 column 5"),
        ] {
            let error = taken(text, 100).1.expect("it is none");
            assert_eq!(error, said, "{text}");
        }
        let error = taken(&format!("{{{}", " ".repeat(LIST_MOST)), 1 << 16).1.expect("it is too long");
        assert_eq!(error, "list 1 of the watch is over 4194304 bytes long");
    }

    /// A line's end within a list, or a part of one, is no sign of life; the end of a list or of a line between two is.
    #[test]
    fn only_what_is_whole_is_a_sign_of_life() {
        let mut values = Values::default();
        let mut take = |text: &str| values.take(text.as_bytes(), |_| Ok(())).expect("no failure");
        assert_eq!(
            ["\n", "{\n", "\n\"a\":\n", "1", "}", " ", "\r\n"].map(&mut take).to_vec(),
            [true, false, false, false, true, false, true]
        );
    }
}
