//! nettleworks is a client proxy: it takes an application's requests and passes each to a host of a fleet, as
//! the decision module `ochrepond` says.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod discovery;
pub mod driver;
mod requests;
pub mod server;
mod socket;
pub mod upstream;

use config::Config;
use std::future::Future;
use std::io::{self, Write};
use std::rc::Rc;
use tokio::net::TcpListener;

/// Writes a line to the log. A log that cannot be written to is no reason to stop serving.
fn log(line: &str) {
    let _ = writeln!(io::stderr(), "nettleworks: {line}");
}

/// Serves until `stop` is done and all that was taken is answered. `reload` gives the next configuration each
/// time there is one, and `None` when none will come. Runs inside a [`tokio::task::LocalSet`].
pub async fn run(
    config: Config,
    listener: TcpListener,
    mut reload: impl AsyncFnMut() -> Option<Result<Config, String>>,
    stop: impl Future<Output = ()>,
) {
    let driver = driver::Handle::start(Rc::new(config));
    let reloads = async {
        while let Some(config) = reload().await {
            match config {
                Ok(config) => driver.reload(config),
                // A broken file must not end what serves well with the one before.
                Err(reason) => log(&format!("configuration kept: {}", reason.replace('\n', " "))),
            }
        }
        std::future::pending().await
    };
    tokio::select! {
        () = server::serve(listener, driver.clone(), stop) => driver.log_counts(),
        () = reloads => {}
    }
}
