//! Membership over UDP. The core (`nettleworks-members`) decides; this crate provides datagrams, the key, the
//! clock and the socket.
//!
//! A datagram is one byte of version, a MAC of 16 bytes, and the message with a session and a counter,
//! encoded by postcard. The MAC is HMAC-SHA-256 with the key from the file that the settings name, truncated
//! to its first half (RFC 2104, section 5), over version and message. Nothing is encrypted: whoever can read
//! the network can read the list of members.
//!
//! Sent datagrams are rate limited, and so are received ones before their MAC is checked. Datagrams beyond
//! the limit are dropped and counted; the protocol tolerates any loss.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod codec;
mod replay_window;
mod service;
mod settings;

pub use codec::{Codec, DecodeError, Frame, MAX_OVERHEAD_BYTES};
pub use replay_window::ReplayWindows;
pub use service::{start, DatagramCounts, Handle, MemberService, MembershipEvent, Report};
pub use settings::Settings;
