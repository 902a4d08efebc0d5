//! Connections to hosts.

use super::exchange::{OutgoingBody, MAX_HEAD_BYTES};
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
    Local,
    /// The host, or the way to it.
    Remote,
}

/// A connection to a host. It is closed when this is dropped, also with a request out on it.
#[derive(Debug)]
pub struct Connection {
    pub(super) sender: SendRequest<OutgoingBody>,
    pub(super) socket: Socket,
    /// How often it had been read when its last answer was whole.
    pub(super) reads_at_response: u64,
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

    /// Whether a request can be written to it now. Anything that has come since its last answer, its end or a
    /// second answer, makes it useless: it would be taken for the next request's.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
            && self.socket.read_count() == self.reads_at_response
            && self.socket.has_no_pending_input()
    }
}
