//! The proxies' ends of connections, as the engine has them.

use super::net::{ConnId, World, OPENER, TAKER};
use nettleworks_engine::net::{ConnectFuture, Network, VirtualListener, VirtualStream};
use std::cell::RefCell;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The world, shared by all ends of one run.
pub(super) type Shared = Rc<RefCell<World>>;

/// The network as one proxy has it.
pub(super) struct Node {
    pub world: Shared,
    pub proxy: usize,
}

impl Network for Node {
    fn connect(&self, address: SocketAddr) -> ConnectFuture {
        let conn = self.world.borrow_mut().dial(self.proxy, address);
        Box::pin(Dial { world: self.world.clone(), conn, done: false })
    }

    fn unix_time(&self) -> Duration {
        let world = self.world.borrow();
        let off = world.model.proxies[self.proxy].clock;
        let now = (crate::proxy_config::EPOCH * 1_000_000 + world.model.now) as i64;
        Duration::from_micros(now.saturating_add(off).max(0) as u64)
    }
}

struct Dial {
    world: Shared,
    conn: ConnId,
    done: bool,
}

impl Future for Dial {
    type Output = io::Result<Box<dyn VirtualStream>>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let up = self.world.borrow_mut().poll_up(self.conn, context);
        match up {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Ok(())) => {
                self.done = true;
                Poll::Ready(Ok(Box::new(End { world: self.world.clone(), conn: self.conn, side: OPENER })))
            }
            Poll::Ready(Err(error)) => {
                self.done = true;
                Poll::Ready(Err(error))
            }
        }
    }
}

impl Drop for Dial {
    fn drop(&mut self) {
        if !self.done {
            self.world.borrow_mut().close(self.conn, OPENER);
        }
    }
}

/// A proxy's end of a connection.
pub(super) struct End {
    world: Shared,
    conn: ConnId,
    side: usize,
}

impl fmt::Debug for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "End({}, {})", self.conn, self.side)
    }
}

impl Drop for End {
    fn drop(&mut self) {
        self.world.borrow_mut().close(self.conn, self.side);
    }
}

impl AsyncRead for End {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.world.borrow_mut().poll_read(self.conn, self.side, context, buffer)
    }
}

impl AsyncWrite for End {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.world.borrow_mut().poll_write(self.conn, self.side, context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.world.borrow_mut().shut(self.conn, self.side);
        Poll::Ready(Ok(()))
    }
}

impl VirtualStream for End {
    fn has_no_pending_input(&self) -> bool {
        self.world.borrow().is_quiet(self.conn, self.side)
    }

    fn is_closed_by_peer(&self) -> bool {
        self.world.borrow().is_left(self.conn, self.side)
    }
}

/// Where a proxy accepts.
pub(super) struct Door {
    pub world: Shared,
    pub proxy: usize,
}

impl fmt::Debug for Door {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Door({})", self.proxy)
    }
}

impl VirtualListener for Door {
    fn poll_accept(&self, context: &mut Context<'_>) -> Poll<io::Result<Box<dyn VirtualStream>>> {
        let accepted = self.world.borrow_mut().poll_accept(self.proxy, context);
        accepted.map(|conn| Ok(Box::new(End { world: self.world.clone(), conn, side: TAKER }) as _))
    }
}
