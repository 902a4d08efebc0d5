//! The program: reads the configuration, serves, reads it again on SIGHUP, and stops on SIGTERM.
#![forbid(unsafe_code)]

mod arguments;
mod files;
mod keys_command;
mod member;
mod shown;

use arguments::{Arguments, Command};
use clap::Parser;
use files::Files;
use member::Member;
use nettleworks::cores::{self, End, Spare, Told};
use nettleworks::server;
use nettleworks::stop::Schedule;
use nettleworks_engine::transient::{self, retry_transient};
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

/// For so long a configuration is tried to be read again after SIGHUP while several engines serve.
const RELOAD_MOST: Duration = Duration::from_millis(500);
/// What the process still has after the moment by which its engines are to have ended.
const ENGINES_LAST: Duration = Duration::from_millis(20);

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
    let Arguments { file, keys, members, cores, command } = arguments;
    let start = |files: &Files| match cores {
        0 | 1 => start(files),
        cores => start_cores(files, cores.into()),
    };
    let files = |config| Files { config, keys: keys.clone(), members: members.clone() };
    let done = match (command, file) {
        (Some(Command::Check { file }), _) => check(&files(file)),
        (Some(Command::Members { socket, json, condition }), _) => {
            member::command(socket, members.as_deref(), json, condition.as_deref())
                .and_then(|text| say(&text))
        }
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

fn say(text: &str) -> Result<(), String> {
    // Whoever asked may have stopped reading.
    let _ = writeln!(std::io::stdout(), "{text}");
    Ok(())
}

/// Says what is wrong with a file. A key outside the settings that is not known is a slip here; the daemon, which
/// must start under a later platform too, only logs it.
fn check(files: &Files) -> Result<(), String> {
    let (path, config) = (&files.config, files.load().map_err(|error| error.reason)?);
    if let Some(members) = &files.members {
        let settings = nettleworks_members_wire::Settings::load(members)?;
        settings.codec()?;
        say(&format!("{}: good, {} seeds", members.display(), settings.seeds.len()))?;
    }
    for place in &config.unused_keys {
        say(&format!("{place}: not used"))?;
    }
    if config.unknown_keys.is_empty() {
        return say(&format!("{}: good, {} classes", path.display(), config.classes.len()));
    }
    Err(format!("{}: unknown keys: {}", path.display(), config.unknown_keys.join(", ")))
}

/// A runtime for this thread. It needs descriptors, of which the machine may be short for a moment.
fn new_runtime() -> Result<Runtime, String> {
    retry_transient(|| runtime::Builder::new_current_thread().enable_all().build()).map_err(|e| e.to_string())
}

fn start(files: &Files) -> Result<(), String> {
    let runtime = new_runtime()?;
    LocalSet::new().block_on(&runtime, async {
        // First of all: a signal without a handler ends the program.
        let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let mut hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
        let config = files.load_within(transient::RETRY_FOR).await?;
        let bad = |e: std::io::Error| format!("{}: {e}", config.listen);
        let listener = retry_transient(|| server::listen(config.listen)).map_err(bad)?;
        let log = nettleworks_engine::log_to_stderr();
        for place in &config.unknown_keys {
            log(&format!("configuration: {place}: unknown key, not used"));
        }
        // Port 0 is any that is free.
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        log(&format!("serving at {address}"));
        let member = files.member().await?;
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
            Some(files.load_within(transient::RETRY_FOR).await)
        };
        nettleworks::run(config, log, listener, reload, stop).await;
        // What is left are tasks without a client: the watch, idle connections.
        goodbye(member).await;
        Ok(())
    })
}

/// Serves with several engines, a thread each. This thread tells them all of signals, and ends when all have ended.
fn start_cores(files: &Files, cores: usize) -> Result<(), String> {
    let runtime = new_runtime()?;
    LocalSet::new().block_on(&runtime, async {
        let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let mut hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
        let config = files.load_within(transient::RETRY_FOR).await?;
        let bad = |e: std::io::Error| format!("{}: {e}", config.listen);
        let listeners = retry_transient(|| server::bind_all(config.listen, cores)).map_err(bad)?;
        let spare = retry_transient(|| Spare::of(&listeners)).map_err(bad)?;
        let log = nettleworks_engine::log_to_stderr();
        for place in &config.unknown_keys {
            log(&format!("configuration: {place}: unknown key, not used"));
        }
        let address = listeners[0].local_addr().map_err(|e| e.to_string())?;
        let (stop, stopped) = watch::channel(false);
        let (reloads, reload) = watch::channel(None);
        let (ended, mut ends) = mpsc::channel(cores);
        for ((seat, config), listener) in cores::seats(&config, cores).into_iter().zip(listeners) {
            let (spare, told) = (spare.clone(), Told { stop: stopped.clone(), reload: reload.clone() });
            let ended = ended.clone();
            let name = format!("nettleworks-{}", seat.shard());
            let thread = move || {
                let shard = seat.shard();
                let run = async |seat| {
                    let log = Rc::new(move |line: &str| log_of(shard, line));
                    cores::serve(seat, config, log, listener, spare, told).await
                };
                let how =
                    cores::run_thread(seat, run).map_or_else(|e| Err(e.to_string()), |(end, _)| Ok(end));
                // The process may have been told to end by now.
                let _ = ended.blocking_send((shard, how));
            };
            std::thread::Builder::new().name(name).spawn(thread).map_err(|e| e.to_string())?;
        }
        drop(ended);
        log(&format!("serving at {address}"));
        log(&format!("{cores} engines"));
        let member = files.member().await?;
        let mut well = 0;
        let mut out_of_time = std::pin::pin!(async {
            terminate.recv().await;
            let over = Schedule::from(Instant::now(), &config.settings).over;
            spare.close();
            stop.send_replace(true);
            if let Some(member) = &member {
                member.leave().await;
            }
            // Each ends by itself in its time; one that does not answer is not waited for.
            tokio::time::sleep_until(over + ENGINES_LAST).await;
        });
        let done = loop {
            tokio::select! {
                end = ends.recv() => match end {
                    Some((_, Ok(End::Well))) => well += 1,
                    Some((shard, Ok(End::Panicked))) => log(&format!("shard {shard} has ended by a panic")),
                    Some((shard, Err(reason))) => log(&format!("shard {shard} has not started: {reason}")),
                    None if well > 0 => break Ok(()),
                    None => break Err("no shard is left".to_owned()),
                },
                () = &mut out_of_time => {
                    log("not all shards have ended in their time");
                    break Ok(());
                }
                Some(()) = hangup.recv() => {
                    match files.load_within(RELOAD_MOST).await {
                        Ok(config) => drop(reloads.send_replace(Some(Arc::new(config)))),
                        Err(reason) => log(&format!("configuration kept: {}", reason.replace('\n', " "))),
                    }
                    if let Some(member) = &member {
                        member.reload().await;
                    }
                }
            }
        };
        goodbye(member.clone()).await;
        done
    })
}

/// The word that this process leaves has a last moment to go round.
async fn goodbye(member: Option<Rc<Member>>) {
    if let Some(member) = member {
        member.left().await;
    }
}

fn log_of(shard: usize, line: &str) {
    // One that cannot be written to is no reason to stop serving.
    let _ = writeln!(std::io::stderr(), "nettleworks: shard {shard}: {line}");
}
