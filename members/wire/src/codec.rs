//! Datagrams: their bytes and their MAC.

use hmac::{Hmac, KeyInit, Mac};
use nettleworks_members::Message;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;

/// The version of the form. Another is refused before anything of it is read.
const VERSION: u8 = 1;
/// Bytes of the MAC.
const MAC_BYTES: usize = 16;
/// Bytes before the message.
const HEADER_BYTES: usize = 1 + MAC_BYTES;
/// Most bytes of a datagram beside the message itself.
pub const MAX_OVERHEAD_BYTES: usize = HEADER_BYTES + 20;
/// Most bytes of a datagram that is heard.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 9_000;

/// A message on its way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Drawn at the start of a process: its datagrams are counted under it.
    pub session: u64,
    /// How many datagrams it sent before.
    pub counter: u64,
    /// What is said.
    pub message: Message,
}

/// Why a datagram is not heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// It is shorter than any, or longer than any.
    Size,
    /// It is of another version.
    Version(u8),
    /// It was not made with this key, or was changed on its way.
    Mac,
    /// It was made with this key and can't be read all the same, or has bytes behind its end.
    Malformed,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Size => f.write_str("its size is none that a datagram has"),
            DecodeError::Version(version) => write!(f, "its version is {version}, not {VERSION}"),
            DecodeError::Mac => f.write_str("its MAC is not by this key"),
            DecodeError::Malformed => f.write_str("it can't be read"),
        }
    }
}

/// Makes datagrams and reads them, under one key.
#[derive(Clone)]
pub struct Codec(Hmac<Sha256>);

impl fmt::Debug for Codec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Codec")
    }
}

impl Codec {
    /// Under this key.
    ///
    /// # Errors
    ///
    /// It has fewer than 16 bytes.
    pub fn new(key: &[u8]) -> Result<Codec, String> {
        if key.len() < 16 {
            return Err("a key has 16 bytes at the least".to_owned());
        }
        Hmac::new_from_slice(key).map(Codec).map_err(|error| error.to_string())
    }

    fn mac(&self, body: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(&[VERSION]);
        mac.update(body);
        mac
    }

    /// The datagram of a message.
    ///
    /// # Errors
    ///
    /// It can't be written in its form.
    pub fn encode(&self, frame: &Frame) -> Result<Vec<u8>, String> {
        let body = postcard::to_stdvec(frame).map_err(|error| error.to_string())?;
        let mut datagram = Vec::with_capacity(HEADER_BYTES + body.len());
        datagram.push(VERSION);
        datagram.extend_from_slice(&self.mac(&body).finalize().into_bytes()[..MAC_BYTES]);
        datagram.extend_from_slice(&body);
        Ok(datagram)
    }

    /// What a datagram says.
    ///
    /// # Errors
    ///
    /// It is none that this key has made.
    pub fn decode(&self, datagram: &[u8]) -> Result<Frame, DecodeError> {
        if !(HEADER_BYTES..=MAX_DATAGRAM_BYTES).contains(&datagram.len()) {
            return Err(DecodeError::Size);
        }
        let (header, body) = datagram.split_at(HEADER_BYTES);
        if header[0] != VERSION {
            return Err(DecodeError::Version(header[0]));
        }
        // In constant time.
        self.mac(body).verify_truncated_left(&header[1..]).map_err(|_| DecodeError::Mac)?;
        match postcard::take_from_bytes(body) {
            Ok((frame, [])) => Ok(frame),
            _ => Err(DecodeError::Malformed),
        }
    }
}
