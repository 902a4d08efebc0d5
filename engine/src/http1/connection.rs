//! Connections to hosts.

use super::exchange::{Outgoing, HEAD_MOST};
use super::Slot;
use crate::dial::{dial, DialError};
use crate::socket::Socket;
use crate::task::{spawn, Task};
use hyper::client::conn::http1::{self, SendRequest};
use std::net::SocketAddr;
use std::time::Duration;

/// Why no connection to a host came up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// This machine was short of something, which says nothing of the host.
    OfThisMachine,
    /// The host, or the way to it.
    OfTheHost,
}

/// A connection to a host. It is closed when this is dropped, also with a request out on it.
#[derive(Debug)]
pub struct Connection {
    pub(super) sender: SendRequest<Outgoing>,
    pub(super) socket: Socket,
    /// How often it had been read when its last answer was whole.
    pub(super) reads: u64,
    _task: Task,
    _slot: Slot,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The place that it held is free now, and so must its descriptor be; its task ends later.
        self.socket.close();
    }
}

impl Connection {
    /// Opens a connection; `slot` is held for as long as it is open.
    ///
    /// # Errors
    ///
    /// Why it did not come up. What this machine is short of is waited for.
    pub async fn open(address: SocketAddr, limit: Duration, slot: Slot) -> Result<Connection, OpenError> {
        let own = |error: &DialError| matches!(error, DialError::OfThisMachine(_));
        let socket = Socket::new(dial(address, limit, own).await.map_err(|error| match error {
            DialError::OfThisMachine(_) => OpenError::OfThisMachine,
            _ => OpenError::OfTheHost,
        })?);
        let builder = http1::Builder::new().max_buf_size(HEAD_MOST).handshake(socket.clone());
        let (sender, connection) = builder.await.map_err(|_| OpenError::OfTheHost)?;
        Ok(Connection { sender, socket, reads: 0, _task: spawn(connection), _slot: slot })
    }

    /// Whether a request can be written to it now. Anything that has come since its last answer, its end or a
    /// second answer, makes it useless: it would be taken for the next request's.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && self.socket.reads() == self.reads && self.socket.is_quiet()
    }
}
