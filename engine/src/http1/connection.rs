//! A single connection to a host.

use super::exchange::{OutgoingBody, MAX_HEAD_BYTES};
use super::Slot;
use crate::dial::{dial, DialError};
use crate::socket::Socket;
use crate::task::{spawn, Task};
use hyper::client::conn::http1::{self, SendRequest};
use std::net::SocketAddr;
use std::time::Duration;

/// Why a connection to a host was not established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// A local resource was exhausted, which proves nothing about the host.
    Local,
    /// The host or the network failed.
    Remote,
}

/// A connection to a host. Dropping it closes it, even if a request is in flight on it.
#[derive(Debug)]
pub struct Connection {
    pub(super) sender: SendRequest<OutgoingBody>,
    pub(super) socket: Socket,
    /// The read count of the socket when the last response was complete; 0 before the first.
    pub(super) reads_at_response: u64,
    _task: Task,
    _slot: Slot,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Dropping the slot makes room for another connection, so the file descriptor must be closed now; the
        // connection's task ends later.
        self.socket.close();
    }
}

impl Connection {
    /// Opens a connection. `slot` is held for as long as the connection is open.
    ///
    /// # Errors
    ///
    /// Why the connection was not established. Local errors are retried until `connect_timeout`.
    pub async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
        slot: Slot,
    ) -> Result<Connection, OpenError> {
        let is_local = |error: &DialError| matches!(error, DialError::Local(_));
        let socket =
            Socket::new(dial(address, connect_timeout, is_local).await.map_err(|error| match error {
                DialError::Local(_) => OpenError::Local,
                _ => OpenError::Remote,
            })?);
        let builder = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(socket.clone());
        let (sender, connection) = builder.await.map_err(|_| OpenError::Remote)?;
        Ok(Connection { sender, socket, reads_at_response: 0, _task: spawn(connection), _slot: slot })
    }

    /// Whether the next request can be sent. Any input since the last response, be it end of stream or a second
    /// response, makes the connection unusable: it would be parsed as the response to the next request.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
            && self.socket.read_count() == self.reads_at_response
            && self.socket.has_no_pending_input()
    }
}
