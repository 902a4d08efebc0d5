//! Opens TCP connections, with a timeout and retries of cheap failures.

use crate::net::Stream;
use crate::transient::is_transient;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout_at, Instant};

/// A boxed error of any type.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// Delay before the next try after an error that puts no load on the peer.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// Linux's `EADDRNOTAVAIL`: no local port is left for the connection.
const EADDRNOTAVAIL: i32 = 99;

/// Why a connection was not established.
#[derive(Debug)]
pub enum DialError {
    /// A local resource was exhausted; no packet left this machine.
    Local(io::Error),
    /// The peer refused the connection: nothing listens at the address.
    Refused(io::Error),
    /// Any other network error.
    Network(io::Error),
    /// The connection was not established in time.
    TimedOut,
}

impl DialError {
    fn new(error: io::Error) -> DialError {
        if is_transient(&error) || error.raw_os_error() == Some(EADDRNOTAVAIL) {
            DialError::Local(error)
        } else if error.kind() == io::ErrorKind::ConnectionRefused {
            DialError::Refused(error)
        } else {
            DialError::Network(error)
        }
    }
}

impl fmt::Display for DialError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DialError::Local(error) => write!(f, "local error: {error}"),
            DialError::Refused(error) | DialError::Network(error) => error.fmt(f),
            DialError::TimedOut => f.write_str("connect timeout"),
        }
    }
}

impl Error for DialError {}

/// Opens a TCP connection with `TCP_NODELAY` set, within `connect_timeout`. After a failure for which `should_retry`
/// returns true it tries again while time is left.
///
/// # Errors
///
/// The error of the last try, or [`DialError::TimedOut`].
pub async fn dial(
    address: SocketAddr,
    connect_timeout: Duration,
    should_retry: impl Fn(&DialError) -> bool,
) -> Result<Stream, DialError> {
    let deadline = Instant::now() + connect_timeout;
    loop {
        let error = match timeout_at(deadline, connect(address)).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(error)) => DialError::new(error),
            Err(_) => return Err(DialError::TimedOut),
        };
        if !should_retry(&error) || Instant::now() + RETRY_DELAY >= deadline {
            return Err(error);
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn connect(address: SocketAddr) -> io::Result<Stream> {
    let stream = Stream::connect(address).await?;
    stream.set_nodelay()?;
    Ok(stream)
}
