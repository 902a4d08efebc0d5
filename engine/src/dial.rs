//! Opening a connection.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Any failure, in words.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// Opens a TCP connection without Nagle's delay.
pub async fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
