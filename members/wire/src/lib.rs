//! Members over UDP. The core (`nettleworks-members`) decides; here are datagrams, the key, the clock and the socket.
//!
//! A datagram is one byte of version, a MAC of 16 bytes, and the message in postcard's form with a session and a counter. The
//! MAC is HMAC-SHA-256 under the key of the file that the settings name, cut to its first half (RFC 2104, section 5), over
//! version and message. Nothing is encrypted: whoever is on the network can read who is there.
//!
//! What is sent is bounded by datagrams a second, what is heard likewise before its MAC is looked at; what is over is dropped
//! and counted, as the protocol bears any loss.
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
