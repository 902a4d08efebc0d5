//! The shared test suite against the axum middleware. The tests of the listening side (`suite/listening.rs`) are left
//! out: slow, silent and idle connections, their limits, and the stop are handled by the server of axum and not by
//! the layer.

mod harness {
    use axum::http::{header, StatusCode};
    use axum::Router;
    use nettleworks_client::{Fleet, FleetLayer};
    use std::net::SocketAddr;
    use std::time::Duration;
    use tokio::net::TcpListener;
    use tokio::sync::oneshot;
    use tokio::task::{spawn_local, JoinHandle};

    pub use nettleworks_standins::*;

    /// Number of engines that serve as one.
    pub const ENGINES: usize = 1;

    pub struct Middleware;

    impl Deployment for Middleware {
        async fn start(setup: Setup, stop: oneshot::Receiver<()>) -> (SocketAddr, JoinHandle<()>) {
            let builder = Fleet::builder().text(&setup.config);
            let builder = setup.keys.iter().fold(builder, |builder, keys| builder.keys(keys));
            let fleet = builder.start().expect("a valid configuration");
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            // The daemon responds like this to any other path; here the application does.
            let other = || async { (StatusCode::NOT_FOUND, [(header::CONNECTION, "close")]) };
            let layer = FleetLayer::new(fleet.clone()).health("/_health");
            let app = Router::new().fallback(other).layer(layer);
            let task = spawn_local(async move {
                let stop = async {
                    let _ = stop.await;
                };
                let served = axum::serve(listener, app).with_graceful_shutdown(stop).await;
                served.expect("the server ends without an error");
                fleet.shutdown(Duration::from_secs(1)).await.expect("all calls are answered");
            });
            (address, task)
        }
    }

    pub type Proxy = nettleworks_standins::Proxy<Middleware>;
}

#[path = "../../proxy/tests/suite/mod.rs"]
mod suite;
