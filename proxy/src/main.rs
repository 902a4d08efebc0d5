//! The program: reads the configuration, serves, reads it again on SIGHUP, and stops on SIGTERM.
#![forbid(unsafe_code)]

mod arguments;
mod keys_command;

use arguments::{Arguments, Command};
use clap::Parser;
use nettleworks::config::Config;
use nettleworks::server;
use nettleworks_keys_station::WithKeys;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::LocalSet;

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) if !error.use_stderr() => {
            // Whoever asked for help may have stopped reading.
            let _ = error.print();
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            // One line, as every failure: up to the first empty one it says what is wrong.
            let text = error.to_string();
            let said: Vec<&str> =
                text.lines().take_while(|line| !line.is_empty()).map(|line| line.trim()).collect();
            let said = said.join(" ");
            let said = said.strip_prefix("error: ").unwrap_or(&said);
            let _ = writeln!(std::io::stderr(), "nettleworks: {said}; see nettleworks --help");
            return ExitCode::FAILURE;
        }
    };
    let Arguments { file, keys, command } = arguments;
    let files = |config| Files { config, keys: keys.clone() };
    let done = match (command, file) {
        (Some(Command::Check { file }), _) => check(&files(file)),
        (Some(Command::Keys { command, socket }), _) => {
            let socket = socket.map_or_else(
                || match &keys {
                    Some(keys) => keys_command::socket_of(keys),
                    None => Err("say --socket FILE, or --keys FILE with the proxy's".to_owned()),
                },
                Ok,
            );
            socket.and_then(|socket| keys_command::run(&socket, &command)).and_then(|text| say(&text))
        }
        (None, Some(file)) => start(&files(file)),
        (None, None) => match std::env::var_os("ROUTER_CONFIG") {
            Some(path) => start(&files(path.into())),
            None => Err("ROUTER_CONFIG is not set; see nettleworks --help".to_owned()),
        },
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            let _ = writeln!(std::io::stderr(), "nettleworks: {}", reason.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

/// The files that say what to do.
struct Files {
    config: PathBuf,
    keys: Option<PathBuf>,
}

impl Files {
    fn load(&self) -> Result<Config, String> {
        let config = Config::load(&self.config)?;
        let Some(path) = &self.keys else { return Ok(config) };
        let bad = |error: String| format!("{}: {error}", path.display());
        let text = std::fs::read_to_string(path).map_err(|error| bad(error.to_string()))?;
        config.with_keys(&text).map_err(bad)
    }
}

fn say(text: &str) -> Result<(), String> {
    // Whoever asked may have stopped reading.
    let _ = writeln!(std::io::stdout(), "{text}");
    Ok(())
}

/// Says what is wrong with a file. A key outside the settings that is not known is a slip here; the daemon, which
/// must start under a later platform too, only logs it.
fn check(files: &Files) -> Result<(), String> {
    let (path, config) = (&files.config, files.load()?);
    for place in &config.unused {
        say(&format!("{place}: not used"))?;
    }
    if config.unknown.is_empty() {
        return say(&format!("{}: good, {} classes", path.display(), config.classes.len()));
    }
    Err(format!("{}: unknown keys: {}", path.display(), config.unknown.join(", ")))
}

fn start(files: &Files) -> Result<(), String> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, async {
        // First of all: a signal without a handler ends the program.
        let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let mut hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
        let config = files.load()?;
        let listener = server::listen(config.listen).map_err(|e| format!("{}: {e}", config.listen))?;
        let log = nettleworks_engine::log_to_stderr();
        for place in &config.unknown {
            log(&format!("configuration: {place}: unknown key, not used"));
        }
        // Port 0 is any that is free.
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        log(&format!("serving at {address}"));
        let stop = async move {
            terminate.recv().await;
        };
        let reload = async || {
            hangup.recv().await?;
            Some(files.load())
        };
        nettleworks::run(config, log, listener, reload, stop).await;
        // What is left are tasks without a client: the watch, idle connections.
        Ok(())
    })
}
