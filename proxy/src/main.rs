//! The program: reads the configuration, serves, reads it again on SIGHUP, and stops on SIGTERM.
#![forbid(unsafe_code)]

use nettleworks::config::Config;
use nettleworks::server;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use tokio::runtime;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::LocalSet;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            let _ = writeln!(std::io::stderr(), "nettleworks: {}", reason.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let path = std::env::var_os("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
    let path = Path::new(&path);
    let runtime = runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, async {
        // First of all: a signal without a handler ends the program.
        let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let mut hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
        let config = Config::load(path)?;
        let listener = server::listen(config.listen).map_err(|e| format!("{}: {e}", config.listen))?;
        let log = nettleworks_engine::log_to_stderr();
        // Port 0 is any that is free.
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        log(&format!("serving at {address}"));
        let stop = async move {
            terminate.recv().await;
        };
        let reload = async || {
            hangup.recv().await?;
            Some(Config::load(path))
        };
        nettleworks::run(config, log, listener, reload, stop).await;
        // What is left are tasks without a client: the watch, idle connections.
        Ok(())
    })
}
