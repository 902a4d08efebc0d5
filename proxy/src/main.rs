//! The program: reads the configuration, serves, reloads it on SIGHUP, and shuts down on SIGTERM.
#![forbid(unsafe_code)]

mod arguments;
mod files;
mod keys_command;
mod member;
mod operator_client;
mod process_report;

use arguments::{Arguments, Command};
use clap::Parser;
use files::ConfigFiles;
use member::Member;
use nettleworks::cores::{self, BackupListeners, ShardExit, ShardSignals};
use nettleworks::server;
use nettleworks::shutdown::ShutdownSchedule;
use nettleworks_engine::transient::{self, retry_transient};
use process_report::ProcessReport;
use std::io::Write;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::{self, Runtime};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::Instant;

/// How long reading the configuration is retried after SIGHUP while several engines serve.
const RELOAD_RETRY_TIME: Duration = Duration::from_millis(500);
/// Extra time for the engines to end after the moment by which they should have, before the process exits without them.
const ENGINE_EXIT_GRACE: Duration = Duration::from_millis(20);

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) if !error.use_stderr() => {
            // The reader of the help may have closed the pipe.
            let _ = error.print();
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            // One line, as for every failure: the lines before the first empty one name the error.
            let text = error.to_string();
            let message: Vec<&str> =
                text.lines().take_while(|line| !line.is_empty()).map(|line| line.trim()).collect();
            let message = message.join(" ");
            let message = message.strip_prefix("error: ").unwrap_or(&message);
            let _ = writeln!(std::io::stderr(), "nettleworks: {message}; see nettleworks --help");
            return ExitCode::FAILURE;
        }
    };
    let Arguments { file, keys, members, cores, command } = arguments;
    let start = |files: &ConfigFiles| match cores {
        0 | 1 => serve_single(files),
        cores => serve_shards(files, cores.into()),
    };
    let files = |config| ConfigFiles { config, keys: keys.clone(), members: members.clone() };
    let result = match (command, file) {
        (Some(Command::Check { file }), _) => check(&files(file)),
        (Some(Command::Members { socket, json, condition }), _) => {
            member::command(socket, members.as_deref(), json, condition.as_deref())
                .and_then(|text| print(&text))
        }
        (Some(Command::Keys { command, socket }), _) => {
            let socket = socket.map_or_else(
                || match &keys {
                    Some(keys) => keys_command::socket_path(keys),
                    None => Err("--socket FILE or --keys FILE of the proxy is required".to_owned()),
                },
                Ok,
            );
            socket.and_then(|socket| keys_command::run(&socket, &command)).and_then(|text| print(&text))
        }
        (None, Some(file)) => start(&files(file)),
        (None, None) => match std::env::var_os("ROUTER_CONFIG") {
            Some(path) => start(&files(path.into())),
            None => Err("ROUTER_CONFIG is not set; see nettleworks --help".to_owned()),
        },
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            let _ = writeln!(std::io::stderr(), "nettleworks: {}", reason.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn print(text: &str) -> Result<(), String> {
    // The reader may have closed the pipe.
    let _ = writeln!(std::io::stdout(), "{text}");
    Ok(())
}

/// Checks the files and prints the result. An unknown key outside the settings is an error here; the daemon only logs
/// it, as it must also start under a later version of the platform.
fn check(files: &ConfigFiles) -> Result<(), String> {
    let (path, config) = (&files.config, files.load().map_err(|error| error.reason)?);
    if let Some(members) = &files.members {
        let settings = nettleworks_members_wire::Settings::load(members)?;
        settings.codec()?;
        print(&format!("{}: good, {} seeds", members.display(), settings.seeds.len()))?;
    }
    for key in &config.unused_keys {
        print(&format!("{key}: not used"))?;
    }
    if config.unknown_keys.is_empty() {
        return print(&format!("{}: good, {} classes", path.display(), config.classes.len()));
    }
    Err(format!("{}: unknown keys: {}", path.display(), config.unknown_keys.join(", ")))
}

/// Creates a runtime for this thread. It needs file descriptors, and the machine may be short of them for a moment.
fn new_runtime() -> Result<Runtime, String> {
    retry_transient(|| runtime::Builder::new_current_thread().enable_all().build()).map_err(|e| e.to_string())
}

fn serve_single(files: &ConfigFiles) -> Result<(), String> {
    let runtime = new_runtime()?;
    LocalSet::new().block_on(&runtime, async {
        // Before anything else, as a signal without a handler kills the process.
        let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let mut hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
        let config = files.load_with_retry(transient::RETRY_FOR).await?;
        let listen_error = |e: std::io::Error| format!("{}: {e}", config.listen);
        let listener = retry_transient(|| server::listen(config.listen)).map_err(listen_error)?;
        let log = nettleworks_engine::log_to_stderr();
        for key in &config.unknown_keys {
            log(&format!("configuration: {key}: unknown key, ignored"));
        }
        // For port 0 the system has chosen a free port.
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        log(&format!("serving at {address}"));
        let _report = ProcessReport::start(&config, &log);
        let member = files.start_member().await?;
        let stop = async {
            terminate.recv().await;
            if let Some(member) = &member {
                member.leave().await;
            }
        };
        let reload = async || {
            hangup.recv().await?;
            if let Some(member) = &member {
                member.reload().await;
            }
            Some(files.load_with_retry(transient::RETRY_FOR).await)
        };
        nettleworks::run(config, log, listener, reload, stop).await;
        // The remaining tasks serve no client: the watch, idle connections.
        finish_leaving(member).await;
        Ok(())
    })
}

/// Serves with several engines, each on a thread of its own. This thread passes signals on to all of them, and returns
/// when all have ended or the time for it is over.
fn serve_shards(files: &ConfigFiles, cores: usize) -> Result<(), String> {
    let runtime = new_runtime()?;
    LocalSet::new().block_on(&runtime, async {
        let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let mut hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
        let config = files.load_with_retry(transient::RETRY_FOR).await?.for_engines(cores);
        let listen_error = |e: std::io::Error| format!("{}: {e}", config.listen);
        let listeners = retry_transient(|| server::bind_all(config.listen, cores)).map_err(listen_error)?;
        let backups = retry_transient(|| BackupListeners::duplicate(&listeners)).map_err(listen_error)?;
        let log = nettleworks_engine::log_to_stderr();
        for key in &config.unknown_keys {
            log(&format!("configuration: {key}: unknown key, ignored"));
        }
        let address = listeners[0].local_addr().map_err(|e| e.to_string())?;
        let (stop, stopped) = watch::channel(false);
        let (reloads, reloaded) = watch::channel(None);
        let (ended, mut exits) = mpsc::channel(cores);
        for ((prepared, config), listener) in cores::prepare_shards(&config, cores).into_iter().zip(listeners)
        {
            let (backups, signals) =
                (backups.clone(), ShardSignals { stop: stopped.clone(), reload: reloaded.clone() });
            let ended = ended.clone();
            let name = format!("nettleworks-{}", prepared.shard());
            let thread = move || {
                let shard = prepared.shard();
                let run = async |prepared| {
                    let log = Rc::new(move |line: &str| log_for_shard(shard, line));
                    cores::serve_shard(prepared, config, log, listener, backups, signals).await
                };
                let exit = cores::run_thread(prepared, run)
                    .map_or_else(|e| Err(e.to_string()), |(exit, _)| Ok(exit));
                // The main thread may no longer wait for it.
                let _ = ended.blocking_send((shard, exit));
            };
            std::thread::Builder::new().name(name).spawn(thread).map_err(|e| e.to_string())?;
        }
        drop(ended);
        log(&format!("serving at {address}"));
        log(&format!("{cores} engines"));
        let _report = ProcessReport::start(&config, &log);
        let member = files.start_member().await?;
        let mut clean_exits = 0;
        let mut shutdown_timeout = std::pin::pin!(async {
            terminate.recv().await;
            let exit_by = ShutdownSchedule::from(Instant::now(), &config.settings).exit_by;
            backups.close();
            stop.send_replace(true);
            if let Some(member) = &member {
                member.leave().await;
            }
            // Each engine ends by itself in time; a stalled one is not waited for.
            tokio::time::sleep_until(exit_by + ENGINE_EXIT_GRACE).await;
        });
        let result = loop {
            tokio::select! {
                exit = exits.recv() => match exit {
                    Some((_, Ok(ShardExit::Clean))) => clean_exits += 1,
                    Some((shard, Ok(ShardExit::Panicked))) => log(&format!("shard {shard} has panicked")),
                    Some((shard, Err(reason))) => log(&format!("shard {shard} failed to start: {reason}")),
                    None if clean_exits > 0 => break Ok(()),
                    None => break Err("no shard is left".to_owned()),
                },
                () = &mut shutdown_timeout => {
                    log("not all shards have ended in their time");
                    break Ok(());
                }
                Some(()) = hangup.recv() => {
                    match files.load_with_retry(RELOAD_RETRY_TIME).await {
                        Ok(config) => drop(reloads.send_replace(Some(Arc::new(config)))),
                        Err(reason) => log(&format!("configuration kept: {}", reason.replace('\n', " "))),
                    }
                    if let Some(member) = &member {
                        member.reload().await;
                    }
                }
            }
        };
        finish_leaving(member.clone()).await;
        result
    })
}

/// Waits for a short time until the other members have been told that this one leaves.
async fn finish_leaving(member: Option<Rc<Member>>) {
    if let Some(member) = member {
        member.wait_until_left().await;
    }
}

fn log_for_shard(shard: usize, line: &str) {
    // A failed write to the log is no reason to stop serving.
    let _ = writeln!(std::io::stderr(), "nettleworks: shard {shard}: {line}");
}
