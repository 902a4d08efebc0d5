//! The program: reads the configuration, serves, reads it again on SIGHUP, and stops on SIGTERM.
#![forbid(unsafe_code)]

use nettleworks::config::Config;
use nettleworks::server;
use std::ffi::OsString;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::LocalSet;

const USAGE: &str = "\
nettleworks: a client proxy that spreads an application's requests over a fleet of hosts

usage:
  nettleworks               serve, as the file that ROUTER_CONFIG names says
  nettleworks FILE          serve, as this file says
  nettleworks check FILE    say whether this file is a good configuration; exit status 1 if not
  ... --keys FILE           with a store of idempotency keys, as this file says
  nettleworks --help        say this
  nettleworks --version     say the version

SIGHUP reads the file again; SIGTERM answers what was taken and ends. docs/configuration.md explains every key.";

fn main() -> ExitCode {
    let mut words: Vec<OsString> = std::env::args_os().skip(1).collect();
    // The store of keys has a file of its own.
    let keys = words.iter().position(|word| word == "--keys").filter(|at| at + 1 < words.len());
    let keys = keys.map(|at| words.drain(at..at + 2).nth(1).map(PathBuf::from).unwrap_or_default());
    let texts: Vec<&str> = words.iter().map(|word| word.to_str().unwrap_or_default()).collect();
    let files = |config| Files { config, keys: keys.clone() };
    let done = match texts[..] {
        [] => match std::env::var_os("ROUTER_CONFIG") {
            Some(path) => start(&files(path.into())),
            None => Err("ROUTER_CONFIG is not set; see nettleworks --help".to_owned()),
        },
        ["--help" | "-h"] => say(USAGE),
        ["--version" | "-V"] => say(concat!("nettleworks ", env!("CARGO_PKG_VERSION"))),
        ["check", _] => check(&files(PathBuf::from(&words[1]))),
        [word] if !word.starts_with('-') => start(&files(PathBuf::from(&words[0]))),
        _ => Err("usage: nettleworks [--keys FILE] [FILE | check FILE | --help | --version]".to_owned()),
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
