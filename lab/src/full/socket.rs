//! The engine's network interface (`nettleworks_engine::net`) on top of the simulated network.

use super::net::{ConnectionId, Simulation, ACCEPTOR, INITIATOR};
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

/// The simulation, shared by all streams and listeners of one run.
pub(super) type SharedSimulation = Rc<RefCell<Simulation>>;

/// The simulated network from the view of one proxy.
pub(super) struct ProxyNetwork {
    pub simulation: SharedSimulation,
    pub proxy: usize,
}

impl Network for ProxyNetwork {
    fn connect(&self, address: SocketAddr) -> ConnectFuture {
        let conn = self.simulation.borrow_mut().dial(self.proxy, address);
        Box::pin(PendingConnect { simulation: self.simulation.clone(), conn, done: false })
    }

    fn unix_time(&self) -> Duration {
        let simulation = self.simulation.borrow();
        let clock_offset = simulation.model.proxies[self.proxy].clock;
        let now = (crate::proxy_config::EPOCH * 1_000_000 + simulation.model.now) as i64;
        Duration::from_micros(now.saturating_add(clock_offset).max(0) as u64)
    }
}

/// A connection that is being established. Dropping it closes the connection.
struct PendingConnect {
    simulation: SharedSimulation,
    conn: ConnectionId,
    done: bool,
}

impl Future for PendingConnect {
    type Output = io::Result<Box<dyn VirtualStream>>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let connected = self.simulation.borrow_mut().poll_connected(self.conn, context);
        match connected {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Ok(())) => {
                self.done = true;
                Poll::Ready(Ok(Box::new(SimulatedStream {
                    simulation: self.simulation.clone(),
                    conn: self.conn,
                    side: INITIATOR,
                })))
            }
            Poll::Ready(Err(error)) => {
                self.done = true;
                Poll::Ready(Err(error))
            }
        }
    }
}

impl Drop for PendingConnect {
    fn drop(&mut self) {
        if !self.done {
            self.simulation.borrow_mut().close(self.conn, INITIATOR);
        }
    }
}

/// A proxy's endpoint of a connection. Dropping it closes the endpoint.
pub(super) struct SimulatedStream {
    simulation: SharedSimulation,
    conn: ConnectionId,
    side: usize,
}

impl fmt::Debug for SimulatedStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SimulatedStream({}, {})", self.conn, self.side)
    }
}

impl Drop for SimulatedStream {
    fn drop(&mut self) {
        self.simulation.borrow_mut().close(self.conn, self.side);
    }
}

impl AsyncRead for SimulatedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.simulation.borrow_mut().poll_read(self.conn, self.side, context, buffer)
    }
}

impl AsyncWrite for SimulatedStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.simulation.borrow_mut().poll_write(self.conn, self.side, context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.simulation.borrow_mut().shut_down(self.conn, self.side);
        Poll::Ready(Ok(()))
    }
}

impl VirtualStream for SimulatedStream {
    fn has_no_pending_input(&self) -> bool {
        self.simulation.borrow().has_no_pending_input(self.conn, self.side)
    }

    fn is_closed_by_peer(&self) -> bool {
        self.simulation.borrow().is_closed_by_peer(self.conn, self.side)
    }
}

/// The listener of a proxy, on which the model's clients connect.
pub(super) struct ProxyListener {
    pub simulation: SharedSimulation,
    pub proxy: usize,
}

impl fmt::Debug for ProxyListener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ProxyListener({})", self.proxy)
    }
}

impl VirtualListener for ProxyListener {
    fn poll_accept(&self, context: &mut Context<'_>) -> Poll<io::Result<Box<dyn VirtualStream>>> {
        let accepted = self.simulation.borrow_mut().poll_accept(self.proxy, context);
        accepted.map(|conn| {
            Ok(Box::new(SimulatedStream { simulation: self.simulation.clone(), conn, side: ACCEPTOR }) as _)
        })
    }
}
