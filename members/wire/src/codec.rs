//! Datagrams: their bytes and their MAC.

use hmac::{Hmac, KeyInit, Mac};
use nettleworks_members::Message;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;

/// The version of the form. Another is refused before anything of it is read.
const VERSION: u8 = 1;
/// Bytes of the MAC.
const MAC: usize = 16;
/// Bytes before the message.
const HEAD: usize = 1 + MAC;
/// Most bytes of a datagram beside the message itself.
pub const OVERHEAD_MOST: usize = HEAD + 20;
/// Most bytes of a datagram that is heard.
pub(crate) const DATAGRAM_MOST: usize = 9_000;

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
pub enum Refused {
    /// It is shorter than any, or longer than any.
    Size,
    /// It is of another version.
    Version(u8),
    /// It was not made with this key, or was changed on its way.
    Mac,
    /// It was made with this key and can't be read all the same, or has bytes behind its end.
    Form,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Size => f.write_str("its size is none that a datagram has"),
            Refused::Version(version) => write!(f, "its version is {version}, not {VERSION}"),
            Refused::Mac => f.write_str("its MAC is not by this key"),
            Refused::Form => f.write_str("it can't be read"),
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
    pub fn write(&self, frame: &Frame) -> Result<Vec<u8>, String> {
        let body = postcard::to_stdvec(frame).map_err(|error| error.to_string())?;
        let mut datagram = Vec::with_capacity(HEAD + body.len());
        datagram.push(VERSION);
        datagram.extend_from_slice(&self.mac(&body).finalize().into_bytes()[..MAC]);
        datagram.extend_from_slice(&body);
        Ok(datagram)
    }

    /// What a datagram says.
    ///
    /// # Errors
    ///
    /// It is none that this key has made.
    pub fn read(&self, datagram: &[u8]) -> Result<Frame, Refused> {
        if !(HEAD..=DATAGRAM_MOST).contains(&datagram.len()) {
            return Err(Refused::Size);
        }
        let (head, body) = datagram.split_at(HEAD);
        if head[0] != VERSION {
            return Err(Refused::Version(head[0]));
        }
        // In constant time.
        self.mac(body).verify_truncated_left(&head[1..]).map_err(|_| Refused::Mac)?;
        match postcard::take_from_bytes(body) {
            Ok((frame, [])) => Ok(frame),
            _ => Err(Refused::Form),
        }
    }
}
