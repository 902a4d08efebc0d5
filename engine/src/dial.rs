//! Opening a connection.

use crate::net::Stream;
use crate::passing::is_passing;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout_at, Instant};

/// Any failure, in words.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// After an error that costs the other side nothing the next try comes so much later.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// Linux's EADDRNOTAVAIL: this machine has no port left for the connection.
const EADDRNOTAVAIL: i32 = 99;

/// Why no connection came up.
#[derive(Debug)]
pub enum DialError {
    /// This machine was short of something: a packet never left it.
    Local(io::Error),
    /// Nobody listens at the address.
    Refused(io::Error),
    /// Another error, of the network.
    Network(io::Error),
    /// It did not come up in time.
    TimedOut,
}

impl DialError {
    fn new(error: io::Error) -> DialError {
        if is_passing(&error) || error.raw_os_error() == Some(EADDRNOTAVAIL) {
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
            DialError::Local(error) => write!(f, "this machine: {error}"),
            DialError::Refused(error) | DialError::Network(error) => error.fmt(f),
            DialError::TimedOut => f.write_str("not up in time"),
        }
    }
}

impl Error for DialError {}

/// Opens a TCP connection without Nagle's delay within `connect_timeout`. A try that fails in a way that `should_retry` names is followed
/// by another one.
///
/// # Errors
///
/// The last one.
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
