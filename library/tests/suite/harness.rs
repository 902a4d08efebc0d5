//! The form `fleet.serve`, with as many engines as the crate's root says (`CORES`).

use nettleworks_client::{listen, Fleet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, JoinHandle};

pub use nettleworks_standins::*;

/// Engines that serve as one.
pub const ENGINES: usize = crate::CORES;

pub struct FleetServe;

impl Form for FleetServe {
    async fn start(setup: Setup, stop: oneshot::Receiver<()>) -> (SocketAddr, JoinHandle<()>) {
        let builder = Fleet::builder().text(&setup.config).cores(crate::CORES);
        let builder = setup.keys.iter().fold(builder, |builder, keys| builder.keys(keys));
        let fleet = builder.start().expect("a good configuration");
        let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("it listens");
        let address = listener.local_addr().expect("an address");
        let mut serving = fleet.serve(listener).expect("it serves");
        let task = spawn_local(async move {
            let _ = stop.await;
            serving.stop();
            serving.await.expect("it served");
            fleet.shutdown(Duration::from_secs(1)).await.expect("all is answered");
        });
        (address, task)
    }
}

pub type Proxy = nettleworks_standins::Proxy<FleetServe>;
