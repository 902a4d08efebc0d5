//! Opening a connection.

use crate::net::Stream;
use std::error::Error;
use std::io;
use std::net::SocketAddr;

/// Any failure, in words.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// Opens a TCP connection without Nagle's delay.
pub async fn dial(address: SocketAddr) -> io::Result<Stream> {
    let stream = Stream::connect(address).await?;
    stream.set_nodelay()?;
    Ok(stream)
}
