//! Opening a connection.

use crate::net::Stream;
use crate::transient::is_transient;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout_at, Instant};

/// Any failure, in words.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// After an error that costs the other side nothing the next try comes so much later.
const AGAIN: Duration = Duration::from_millis(10);
/// Linux's EADDRNOTAVAIL: this machine has no port left for the connection.
const NO_PORT_LEFT: i32 = 99;

/// Why no connection came up.
#[derive(Debug)]
pub enum DialError {
    /// This machine was short of something: a packet never left it.
    OfThisMachine(io::Error),
    /// Nobody listens at the address.
    Refused(io::Error),
    /// Another error, of the network.
    Network(io::Error),
    /// It did not come up in time.
    TimedOut,
}

impl DialError {
    fn new(error: io::Error) -> DialError {
        if is_transient(&error) || error.raw_os_error() == Some(NO_PORT_LEFT) {
            DialError::OfThisMachine(error)
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
            DialError::OfThisMachine(error) => write!(f, "this machine: {error}"),
            DialError::Refused(error) | DialError::Network(error) => error.fmt(f),
            DialError::TimedOut => f.write_str("not up in time"),
        }
    }
}

impl Error for DialError {}

/// Opens a TCP connection without Nagle's delay within `limit`. A try that fails in a way that `again` names is followed
/// by another one.
///
/// # Errors
///
/// The last one.
pub async fn dial(
    address: SocketAddr,
    limit: Duration,
    again: impl Fn(&DialError) -> bool,
) -> Result<Stream, DialError> {
    let until = Instant::now() + limit;
    loop {
        let error = match timeout_at(until, connect(address)).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(error)) => DialError::new(error),
            Err(_) => return Err(DialError::TimedOut),
        };
        if !again(&error) || Instant::now() + AGAIN >= until {
            return Err(error);
        }
        sleep(AGAIN).await;
    }
}

async fn connect(address: SocketAddr) -> io::Result<Stream> {
    let stream = Stream::connect(address).await?;
    stream.set_nodelay()?;
    Ok(stream)
}
