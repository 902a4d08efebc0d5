//! The engines' threads. Each thread executes the application's commands in their order, and ends when all calls have
//! been answered.

use crate::error::{StartError, Unfinished};
use crate::state::{State, StateAggregator, StateObserver};
use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use nettleworks::cores::{self, Shards};
use nettleworks::server;
use nettleworks_cores::PreparedShard;
use nettleworks_engine::calls::{Caller, RequestInfo};
use nettleworks_engine::config::Config;
use nettleworks_engine::driver::Handle;
use nettleworks_engine::http1::{ForwardedRequest, Http1};
use nettleworks_engine::Log;
use nettleworks_policy::CallId;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{sleep, Instant};

/// Maximum number of commands that are executed before other tasks of the thread run.
const COMMAND_BATCH: usize = 64;
/// How often a shutdown checks whether all calls have been answered.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Longest time that a front takes to stop: the time in which it still accepts new connections, and the longest
/// deadline.
const FRONT_STOP_TIMEOUT: Duration = Duration::from_millis(3_600);

/// The engine's id of a call; 0 until the call has been submitted to the engine. It distinguishes a call that surely
/// never ran from one that may have run, and identifies the call in a cancellation.
pub(crate) type SharedCallId = Arc<AtomicU64>;

/// A command of the application to an engine.
#[expect(clippy::large_enum_variant, reason = "nearly all commands are calls")]
pub(crate) enum Command {
    /// Submit a call. The caller holds its permit as an open call, so the limit of open calls also bounds the queue.
    Call {
        info: RequestInfo<HeaderValue>,
        request: ForwardedRequest,
        caller: Caller<Response<Bytes>>,
        call_id: SharedCallId,
    },
    /// Cancel a call, whose caller no longer waits. Queued at most once for each call, and after the call itself.
    Cancel(SharedCallId),
    /// Serve clients on a listener until the sender of `stop` sends or is dropped. `done` receives the result.
    Serve { listener: TcpListener, stop: oneshot::Receiver<()>, done: oneshot::Sender<io::Result<()>> },
    /// Apply a new configuration.
    Reload(Box<Config>),
    /// Report whether there is a server list, after all commands before this one have been executed.
    IsReady(oneshot::Sender<bool>),
    /// Accept nothing more, and end when all calls have been answered, or after this time.
    Shutdown(Duration),
}

/// The result of all engines of the fleet; `None` while any of them runs.
pub(crate) type EndReceiver = watch::Receiver<Option<Result<(), Unfinished>>>;

/// The application's handles of the started engines.
pub(crate) struct StartedEngines {
    /// The command queue of each engine.
    pub commands: Vec<mpsc::UnboundedSender<Command>>,
    /// The shards of the process; `None` if there is one engine only.
    pub peers: Option<Shards>,
    pub state: watch::Receiver<State>,
    pub end: EndReceiver,
}

/// The application's receiver of log lines.
type LogSink = Box<dyn Fn(&str) + Send>;

/// Maximum number of log lines that wait for the sink; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 1_024;

/// The log of all engines. A single engine calls the sink itself. Several engines must not wait for each other's
/// lines, so a separate thread calls the sink for them.
#[derive(Clone)]
enum EngineLog {
    Direct(Arc<Mutex<LogSink>>),
    Queued { lines: std::sync::mpsc::SyncSender<String>, dropped: Arc<AtomicU64> },
}

impl EngineLog {
    fn new(sink: LogSink, engines: usize) -> EngineLog {
        if engines == 1 {
            return EngineLog::Direct(Arc::new(Mutex::new(sink)));
        }
        let (lines, queue) = std::sync::mpsc::sync_channel::<String>(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let unreported = dropped.clone();
        let write_lines = move || {
            while let Ok(line) = queue.recv() {
                match unreported.swap(0, Ordering::Relaxed) {
                    0 => {}
                    count => sink(&format!("{count} lines of the log were dropped")),
                }
                sink(&line);
            }
        };
        // Without this thread all lines are dropped, which does not prevent the engines from serving.
        let _ = std::thread::Builder::new().name("nettleworks-log".to_owned()).spawn(write_lines);
        EngineLog::Queued { lines, dropped }
    }

    fn write(&self, shard: usize, line: &str) {
        match self {
            // The sink may have panicked at an earlier line; it still gets the next one.
            EngineLog::Direct(sink) => sink.lock().unwrap_or_else(PoisonError::into_inner)(line),
            EngineLog::Queued { lines, dropped } => {
                if lines.try_send(format!("shard {shard}: {line}")).is_err() {
                    dropped.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }
}

/// The combined state and result of all engines, for the application.
struct FleetStatus {
    state_aggregator: Arc<StateAggregator>,
    /// The result of each engine; `None` while it runs.
    ends: Mutex<Vec<Option<Result<(), Unfinished>>>>,
    end: watch::Sender<Option<Result<(), Unfinished>>>,
}

impl FleetStatus {
    /// Records the result of an engine that has ended. The fleet has ended when all its engines have.
    fn record_end(&self, shard: usize, result: Result<(), Unfinished>) {
        let mut ends = self.ends.lock().unwrap_or_else(PoisonError::into_inner);
        ends[shard] = Some(result);
        let calls: usize =
            ends.iter().flatten().filter_map(|result| result.err()).map(|unfinished| unfinished.calls).sum();
        if ends.iter().all(Option::is_some) {
            self.end.send_replace(Some(if calls == 0 { Ok(()) } else { Err(Unfinished { calls }) }));
        }
    }
}

/// Records the end of an engine when its thread ends, for instance by a panic, unless a result has been recorded.
struct EndGuard(Arc<FleetStatus>, usize);

impl Drop for EndGuard {
    fn drop(&mut self) {
        let recorded = self.0.ends.lock().unwrap_or_else(PoisonError::into_inner)[self.1].is_some();
        if !recorded {
            self.0.record_end(self.1, Ok(()));
        }
    }
}

/// Starts this number of engines, each on a thread of its own, and returns when all of them run.
pub(crate) fn start(config: Config, engines: usize, log: LogSink) -> Result<StartedEngines, StartError> {
    let (end, end_receiver) = watch::channel(None);
    let (published, state) = watch::channel(State::default());
    let log = EngineLog::new(log, engines);
    let mut commands = Vec::new();
    let prepared_engines: Vec<(Option<PreparedShard<Http1>>, Config)> = match engines {
        1 => vec![(None, config)],
        _ => cores::prepare_shards(&config.for_engines(engines), engines)
            .into_iter()
            .map(|(prepared, shard_config)| (Some(prepared), shard_config))
            .collect(),
    };
    let peers =
        prepared_engines.first().and_then(|(prepared, _)| prepared.as_ref()).map(PreparedShard::peers);
    let state_aggregator = Arc::new(StateAggregator::new(engines, peers.clone(), published));
    let status = Arc::new(FleetStatus { state_aggregator, ends: Mutex::new(vec![None; engines]), end });
    let mut startups = Vec::new();
    for (shard, (prepared, config)) in prepared_engines.into_iter().enumerate() {
        let (sender, queue) = mpsc::unbounded_channel();
        commands.push(sender);
        let (ready, is_ready) = std::sync::mpsc::sync_channel(1);
        startups.push(is_ready);
        let (log, status) = (log.clone(), status.clone());
        let log = move |line: &str| log.write(shard, line);
        let name = if engines == 1 { "nettleworks".to_owned() } else { format!("nettleworks-{shard}") };
        let thread = move || run_engine(shard, prepared, config, Rc::new(log), queue, &status, &ready);
        std::thread::Builder::new().name(name).spawn(thread).map_err(StartError::System)?;
    }
    for is_ready in startups {
        match is_ready.recv() {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return Err(StartError::System(error)),
            Err(_) => {
                return Err(StartError::System(io::Error::other("an engine's thread ended during startup")))
            }
        }
    }
    Ok(StartedEngines { commands, peers, state, end: end_receiver })
}

/// Runs one engine on the current thread. `ready` receives whether it could be started.
fn run_engine(
    shard: usize,
    prepared: Option<PreparedShard<Http1>>,
    config: Config,
    log: Log,
    queue: mpsc::UnboundedReceiver<Command>,
    status: &Arc<FleetStatus>,
    ready: &std::sync::mpsc::SyncSender<io::Result<()>>,
) {
    let end_guard = EndGuard(status.clone(), shard);
    let report_started = |driver: &Handle<Http1>| {
        driver.observe(StateObserver { aggregator: status.state_aggregator.clone(), shard });
        // `start` waits for this message; if it has returned an error of another engine, nobody needs it.
        let _ = ready.send(Ok(()));
    };
    let result = match prepared {
        None => {
            let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime,
                Err(error) => return drop(ready.send(Err(error))),
            };
            let local = LocalSet::new();
            let result = local.block_on(&runtime, async {
                let config = Rc::new(config);
                let interceptors = nettleworks::interceptors(&config);
                let driver = Handle::start(config.clone(), Http1::new(&config), interceptors, log);
                report_started(&driver);
                let _operators = nettleworks::operators::start(&driver);
                run_commands(driver, queue, None).await
            });
            // File descriptors that are still held must be closed before the end is reported.
            drop(local);
            drop(runtime);
            Some(result)
        }
        Some(prepared) => {
            let ran = cores::run_thread(prepared, async |prepared| {
                let running = cores::start_shard(prepared, config, log);
                let (driver, peers) = (running.driver.clone(), running.peers.clone());
                report_started(&driver);
                // The process has one operators' socket.
                let _operators = (shard == 0)
                    .then(|| nettleworks::operators::start_for_shards(&driver, Some(peers.clone())));
                tokio::select! {
                    result = run_commands(driver, queue, Some((peers, shard))) => Some(result),
                    () = running.serve() => None,
                }
            });
            match ran {
                Ok((_, result)) => result,
                Err(error) => return drop(ready.send(Err(error))),
            }
        }
    };
    if let Some(result) = result {
        status.record_end(shard, result);
    }
    drop(end_guard);
}

/// Executes commands until a shutdown is ordered or all handles of the fleet have been dropped, and then waits for
/// the open calls and the fronts. `peer_shards` holds the shards of the process and this engine's number among them.
async fn run_commands(
    driver: Handle<Http1>,
    mut queue: mpsc::UnboundedReceiver<Command>,
    peer_shards: Option<(Shards, usize)>,
) -> Result<(), Unfinished> {
    let (stop_fronts, stopped) = watch::channel(false);
    let mut fronts = JoinSet::new();
    let mut batch = Vec::with_capacity(COMMAND_BATCH);
    // If all handles are dropped, no shutdown sets a time limit. The longest deadline of a call and the time that a
    // front takes to stop are the limit then.
    let longest_deadline =
        driver.config().settings.classes.iter().map(|class| Duration::from_micros(class.deadline)).max();
    let mut timeout = longest_deadline.unwrap_or_default() + FRONT_STOP_TIMEOUT;
    'commands: while queue.recv_many(&mut batch, COMMAND_BATCH).await > 0 {
        for command in batch.drain(..) {
            if let Command::Shutdown(requested) = command {
                timeout = requested;
                break 'commands;
            }
            execute(&driver, command, &mut fronts, &stopped, peer_shards.as_ref());
        }
        // Removes the tasks of fronts that have ended.
        while fronts.try_join_next().is_some() {}
    }
    let deadline = Instant::now() + timeout;
    stop_fronts.send_replace(true);
    // No more commands are accepted. Calls that are still queued are dropped without being submitted, and their
    // callers see that they never ran. Queued cancellations are still executed.
    queue.close();
    let drained = async {
        let all_answered = async {
            loop {
                while let Ok(command) = queue.try_recv() {
                    if let Command::Cancel(_) = command {
                        execute(&driver, command, &mut JoinSet::new(), &stopped, None);
                    }
                }
                // Detached calls are waited for as well, but do not count as unfinished.
                if driver.waiting() == 0 && driver.detached() == 0 {
                    break;
                }
                sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        let fronts_stopped = async { while fronts.join_next().await.is_some() {} };
        // Connections that a front has not closed within the time limit are closed when its task is dropped.
        let _ = tokio::join!(all_answered, tokio::time::timeout(FRONT_STOP_TIMEOUT, fronts_stopped));
        if let Some((peers, shard)) = &peer_shards {
            // As long as another shard has open calls, it may need the state of this one.
            peers.wait_until_all_drained(*shard).await;
        }
    };
    match tokio::time::timeout_at(deadline, drained).await {
        Ok(()) => Ok(()),
        Err(_) => match driver.waiting() {
            0 => Ok(()),
            calls => Err(Unfinished { calls }),
        },
    }
}

/// Executes one command. A shutdown is handled by [`run_commands`].
fn execute(
    driver: &Handle<Http1>,
    command: Command,
    fronts: &mut JoinSet<()>,
    stopped: &watch::Receiver<bool>,
    peer_shards: Option<&(Shards, usize)>,
) {
    match command {
        Command::Call { info, request, caller, call_id } => {
            // Cancelled before it was submitted: nothing is sent for it.
            if caller.reply.is_closed() {
                return;
            }
            let call = driver.submit(info, request, caller);
            call_id.store(call.0, Ordering::Release);
        }
        Command::Cancel(call_id) => match call_id.load(Ordering::Acquire) {
            0 => {}
            call => driver.cancel(CallId(call)),
        },
        Command::Serve { listener, stop, done } => {
            let (driver, mut stopped) = (driver.clone(), stopped.clone());
            fronts.spawn_local(async move {
                let served = match tokio::net::TcpListener::from_std(listener) {
                    Ok(listener) => {
                        let stop_requested = async move {
                            tokio::select! {
                                _ = stop => {}
                                _ = stopped.wait_for(|stopped| *stopped) => {}
                            }
                        };
                        server::serve(listener, driver, stop_requested).await;
                        Ok(())
                    }
                    Err(error) => Err(error),
                };
                // The handle of the front may have been dropped.
                let _ = done.send(served);
            });
        }
        Command::Reload(config) => driver.reload(match peer_shards {
            Some((peers, shard)) => cores::shard_config(&config, peers.count(), *shard),
            None => *config,
        }),
        Command::IsReady(answer) => {
            let _ = answer.send(driver.is_ready());
        }
        Command::Shutdown(_) => {}
    }
}
