//! nettleworks is a client proxy: it accepts an application's requests and sends each to a host of a fleet that the
//! decision module `nettleworks_policy` picks. This crate is its HTTP front; the engine is `nettleworks_engine`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod client_connection;
mod clients;
pub mod control;
pub mod cores;
pub mod operators;
pub mod requests;
pub mod server;
pub mod shutdown;

pub use nettleworks_engine::config;

use nettleworks_engine::config::Config;
use nettleworks_engine::driver::{Handle, InterceptorChain};
use nettleworks_engine::http1::Http1;
use nettleworks_engine::net::Listener;
use nettleworks_engine::Log;
use nettleworks_keys_station::KeyInterceptor;
use std::future::Future;
use std::rc::Rc;

/// The interceptors that a configuration enables, in the order in which a call passes them.
pub fn interceptors(config: &Config) -> InterceptorChain<Http1> {
    let keys = KeyInterceptor::new(config).map(|keys| Box::new(keys) as _);
    keys.into_iter().collect()
}

/// Serves until `stop` completes and all accepted requests are answered. `reload` waits for the next configuration and
/// returns it, or `None` when there will be no more. Must be polled inside a [`tokio::task::LocalSet`].
pub async fn run(
    config: Config,
    log: Log,
    listener: impl Into<Listener>,
    mut reload: impl AsyncFnMut() -> Option<Result<Config, String>>,
    stop: impl Future<Output = ()>,
) {
    let config = Rc::new(config);
    let driver = Handle::start(config.clone(), Http1::new(&config), interceptors(&config), log);
    let _operators = operators::start(&driver);
    let reloads = async {
        while let Some(config) = reload().await {
            match config {
                Ok(config) => driver.reload(config),
                // An invalid file must not stop a proxy that serves well with the previous one.
                Err(reason) => driver.log(&format!("configuration kept: {}", reason.replace('\n', " "))),
            }
        }
        std::future::pending().await
    };
    tokio::select! {
        biased;
        _ = server::serve(listener, driver.clone(), stop) => driver.log_counts(),
        () = reloads => {}
    }
}
