//! nettleworks is a client proxy: it takes an application's requests and passes each to a host of a fleet, as
//! the decision module `nettleworks_policy` says. This is its HTTP front; the engine is `nettleworks_engine`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod control;
pub mod cores;
pub mod operators;
pub mod requests;
pub mod server;
pub mod shutdown;

pub use nettleworks_engine::config;

use nettleworks_engine::config::Config;
use nettleworks_engine::driver::{Handle, Stations};
use nettleworks_engine::http1::Http1;
use nettleworks_engine::net::Listener;
use nettleworks_engine::Log;
use nettleworks_keys_station::KeyStation;
use std::future::Future;
use std::rc::Rc;

/// The stations that a configuration asks for, in their order on a call's way.
pub fn interceptors(config: &Config) -> Stations<Http1> {
    let keys = KeyStation::new(config).map(|keys| Box::new(keys) as _);
    keys.into_iter().collect()
}

/// Serves until `stop` is done and all that was taken is answered. `reload` gives the next configuration each
/// time there is one, and `None` when none will come. Runs inside a [`tokio::task::LocalSet`].
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
                // A broken file must not end what serves well with the one before.
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
