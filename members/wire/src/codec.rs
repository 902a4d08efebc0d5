//! Encoding and authentication of datagrams.

use hmac::{Hmac, KeyInit, Mac};
use nettleworks_members::Message;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;

/// Version of the format. Datagrams of another version are rejected before anything else is decoded.
const VERSION: u8 = 1;
/// Length of the MAC in bytes.
const MAC_BYTES: usize = 16;
/// Length of version and MAC, before the message.
const HEADER_BYTES: usize = 1 + MAC_BYTES;
/// Maximum number of bytes that a datagram adds to the message.
pub const MAX_OVERHEAD_BYTES: usize = HEADER_BYTES + 20;
/// Maximum size of a received datagram in bytes.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 9_000;

/// A message with its replay protection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Random number drawn at the start of the sending process; counters are scoped to it.
    pub session: u64,
    /// Number of datagrams that the session sent before.
    pub counter: u64,
    /// The message.
    pub message: Message,
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The size is out of range.
    Size,
    /// The version is not supported.
    Version(u8),
    /// The MAC does not match: another key, or altered in transit.
    Mac,
    /// The MAC matches, but the body cannot be decoded or has trailing bytes.
    Malformed,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Size => f.write_str("its size is out of range"),
            DecodeError::Version(version) => {
                write!(f, "its version is {version}; only {VERSION} is supported")
            }
            DecodeError::Mac => f.write_str("its MAC is not by this key"),
            DecodeError::Malformed => f.write_str("it is malformed"),
        }
    }
}

/// Encodes and decodes datagrams with one key.
#[derive(Clone)]
pub struct Codec(Hmac<Sha256>);

impl fmt::Debug for Codec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Codec")
    }
}

impl Codec {
    /// Creates a codec for this key.
    ///
    /// # Errors
    ///
    /// The key has fewer than 16 bytes.
    pub fn new(key: &[u8]) -> Result<Codec, String> {
        if key.len() < 16 {
            return Err("a key must have at least 16 bytes".to_owned());
        }
        Hmac::new_from_slice(key).map(Codec).map_err(|error| error.to_string())
    }

    fn mac(&self, body: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(&[VERSION]);
        mac.update(body);
        mac
    }

    /// Encodes a frame as a datagram.
    ///
    /// # Errors
    ///
    /// The frame cannot be serialized.
    pub fn encode(&self, frame: &Frame) -> Result<Vec<u8>, String> {
        let body = postcard::to_stdvec(frame).map_err(|error| error.to_string())?;
        let mut datagram = Vec::with_capacity(HEADER_BYTES + body.len());
        datagram.push(VERSION);
        datagram.extend_from_slice(&self.mac(&body).finalize().into_bytes()[..MAC_BYTES]);
        datagram.extend_from_slice(&body);
        Ok(datagram)
    }

    /// Checks and decodes a datagram.
    ///
    /// # Errors
    ///
    /// The datagram was not made with this key, or is malformed.
    pub fn decode(&self, datagram: &[u8]) -> Result<Frame, DecodeError> {
        if !(HEADER_BYTES..=MAX_DATAGRAM_BYTES).contains(&datagram.len()) {
            return Err(DecodeError::Size);
        }
        let (header, body) = datagram.split_at(HEADER_BYTES);
        if header[0] != VERSION {
            return Err(DecodeError::Version(header[0]));
        }
        // Compares in constant time.
        self.mac(body).verify_truncated_left(&header[1..]).map_err(|_| DecodeError::Mac)?;
        match postcard::take_from_bytes(body) {
            Ok((frame, [])) => Ok(frame),
            _ => Err(DecodeError::Malformed),
        }
    }
}
