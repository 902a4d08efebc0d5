//! A single connection to a host.

use super::limits::MAX_HEAD_BYTES;
use super::outgoing_body::OutgoingBody;
use super::response_end::Surplus;
use super::slot::Slot;
use crate::dial::{dial, DialError};
use crate::meter::Meter;
use crate::socket::Socket;
use crate::task::{spawn, Task};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// Timeout for reading what the host has begun to send behind a response.
const SURPLUS_TIMEOUT: Duration = Duration::from_millis(20);
/// Size of the reads of what the host has sent behind a response.
const SURPLUS_READ_BYTES: usize = 1 << 10;

/// Why a connection to a host was not established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// A local resource was exhausted, which proves nothing about the host.
    Local,
    /// The host or the network failed.
    Remote,
}

/// The state of a connection when the last response was complete.
#[derive(Clone, Copy, Debug)]
struct LastResponse {
    at: Instant,
    bytes_read: u64,
}

/// A connection to a host. Dropping it closes it, even if a request is in flight on it.
#[derive(Debug)]
pub struct Connection {
    pub(super) sender: SendRequest<OutgoingBody>,
    pub(super) socket: Socket,
    /// When the connection was established.
    pub(super) opened_at: Instant,
    /// The read count of the socket when the last response was complete; 0 before the first.
    pub(super) reads_at_response: u64,
    /// The bytes read, and the time, when the last response was complete.
    last_response: LastResponse,
    /// How long the connection had been idle when the last request was sent on it; `None` for its first request.
    pub(super) idle_before_request: Option<Duration>,
    /// What the connection's task had read and not used when it ended; empty before.
    unused_input: Rc<RefCell<Bytes>>,
    task: Task,
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
        let last_response = LastResponse { at: Instant::now(), bytes_read: 0 };
        let unused_input = Rc::<RefCell<Bytes>>::default();
        Ok(Connection {
            sender,
            socket,
            opened_at: last_response.at,
            reads_at_response: 0,
            last_response,
            idle_before_request: None,
            task: spawn(run(connection, unused_input.clone())),
            unused_input,
            _slot: slot,
        })
    }

    /// Records that a response is complete.
    pub fn record_response(&mut self) {
        self.reads_at_response = self.socket.read_count();
        self.last_response = LastResponse { at: Instant::now(), bytes_read: self.socket.bytes_read() };
    }

    /// Whether a response has been received on the connection.
    pub fn is_reused(&self) -> bool {
        self.reads_at_response > 0
    }

    /// The bytes in hand behind the last response, which is complete. Waits for more only where the first ones may become
    /// a status line. If there is any input, the connection cannot be used again.
    pub async fn read_surplus(&mut self) -> Vec<u8> {
        let mut surplus = self.unused_input.take().to_vec();
        let is_known = match Surplus::of(&surplus) {
            Surplus::None => self.socket.has_no_pending_input(),
            known => known.is_final(),
        };
        if !is_known {
            self.task.abort();
            let _ = timeout(SURPLUS_TIMEOUT, read_until_known(&self.socket, &mut surplus)).await;
        }
        surplus
    }

    /// Since when the connection is idle.
    pub fn idle_since(&self) -> Instant {
        self.last_response.at
    }

    /// How long the connection has been idle.
    pub fn idle_time(&self) -> Duration {
        self.idle_since().elapsed()
    }

    /// How long after the last response the host sent bytes that belong to no response; `None` if it sent none. An end
    /// of stream is no surplus.
    pub fn surplus_delay(&self) -> Option<Duration> {
        if self.socket.bytes_read() > self.last_response.bytes_read {
            return Some(self.socket.last_read_at().saturating_duration_since(self.last_response.at));
        }
        let unread = !self.socket.has_no_pending_input() && !self.socket.is_closed_by_peer();
        unread.then(|| self.idle_time())
    }

    /// Prepares the connection for a request that is counted by `meter`.
    pub fn begin_request(&mut self, meter: &Meter) {
        self.socket.begin_request(meter);
        self.idle_before_request = (self.reads_at_response > 0).then(|| self.idle_time());
    }

    /// Whether nothing was read since the last response, be it end of stream or a second response: it would be parsed
    /// as the response to the next request. Makes no system call, so input may be unread.
    pub fn is_quiet(&self) -> bool {
        self.sender.is_ready() && self.socket.read_count() == self.reads_at_response
    }

    /// Whether the next request can be sent: the connection is quiet, and no input is unread.
    pub fn is_ready(&self) -> bool {
        self.is_quiet() && self.socket.has_no_pending_input()
    }
}

/// Runs a connection to its end, and keeps the input that it did not use.
async fn run(mut connection: http1::Connection<Socket, OutgoingBody>, unused_input: Rc<RefCell<Bytes>>) {
    // The owner of the connection learns of an error from its request.
    let _ = (&mut connection).await;
    unused_input.replace(connection.into_parts().read_buf);
}

/// Reads until the bytes behind a response can be classified, or there are no more.
async fn read_until_known(socket: &Socket, surplus: &mut Vec<u8>) {
    let mut buffer = [0; SURPLUS_READ_BYTES];
    while !Surplus::of(surplus).is_final() {
        match socket.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(count) => surplus.extend_from_slice(&buffer[..count]),
        }
    }
}
