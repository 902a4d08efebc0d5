//! Runs the shared test suite against `Fleet::serve`. The crate root sets the number of engines (`CORES`).

use nettleworks_client::{listen, Fleet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, JoinHandle};

pub use nettleworks_standins::*;

/// Number of engines that serve as one.
pub const ENGINES: usize = crate::CORES;

pub struct FleetServe;

impl Deployment for FleetServe {
    async fn start(setup: Setup, stop: oneshot::Receiver<()>) -> (SocketAddr, JoinHandle<()>) {
        let builder = Fleet::builder().text(&setup.config).cores(crate::CORES);
        let builder = setup.keys.iter().fold(builder, |builder, keys| builder.keys(keys));
        let fleet = builder.start().expect("a valid configuration");
        let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("the address can be bound");
        let address = listener.local_addr().expect("an address");
        let mut serving = fleet.serve(listener).expect("the front starts");
        let task = spawn_local(async move {
            let _ = stop.await;
            serving.stop();
            serving.await.expect("the front ends without an error");
            fleet.shutdown(Duration::from_secs(1)).await.expect("all calls are answered");
        });
        (address, task)
    }
}

pub type Proxy = nettleworks_standins::Proxy<FleetServe>;
