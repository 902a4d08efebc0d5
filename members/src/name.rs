//! Names of members.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::sync::Arc;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 48;

/// Name of a member: 1 to 48 letters, digits, dots, hyphens and underscores. Clones share the text.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Arc<str>);

/// The text is not a valid name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidName;

impl fmt::Display for InvalidName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a name has 1 to {MAX_NAME_BYTES} letters, digits, dots, hyphens and underscores")
    }
}

impl std::error::Error for InvalidName {}

impl Name {
    /// Creates a name.
    ///
    /// # Errors
    ///
    /// The text is empty, too long, or has characters that are not allowed.
    pub fn new(text: &str) -> Result<Name, InvalidName> {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
        match (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(is_allowed) {
            true => Ok(Name(text.into())),
            false => Err(InvalidName),
        }
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Serialize for Name {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Name, D::Error> {
        struct Text;
        impl serde::de::Visitor<'_> for Text {
            type Value = Name;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a member's name")
            }
            fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Name, E> {
                Name::new(text).map_err(E::custom)
            }
        }
        from.deserialize_str(Text)
    }
}
