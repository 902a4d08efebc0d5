//! The engines' threads: each takes commands in, in their order, and ends when all is answered.

use crate::error::{StartError, Unfinished};
use crate::state::{Combined, Shown, State};
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

/// How many commands are taken in before other tasks of the thread run.
const BATCH: usize = 64;
/// How often a shutdown looks whether all is answered.
const FINISH_LOOK: Duration = Duration::from_millis(2);
/// Longest that a front takes to stop: the time in which it takes new connections, and the longest deadline.
const FRONT_STOP: Duration = Duration::from_millis(3_600);

/// The number of a call once the engine has taken it, 0 before: it tells a call that surely never ran from one that
/// may have, and names it when its caller has gone.
pub(crate) type Ticket = Arc<AtomicU64>;

/// What the application asks of the engine.
#[expect(clippy::large_enum_variant, reason = "nearly all commands are calls")]
pub(crate) enum Command {
    /// A call. Its place among the open ones comes with it, so that the queue is bounded by their number.
    Call {
        ask: RequestInfo<HeaderValue>,
        forward: ForwardedRequest,
        caller: Caller<Response<Bytes>>,
        ticket: Ticket,
    },
    /// Its caller has gone. There is one at most for each call that came before it in the queue.
    Gone(Ticket),
    /// A listener for the daemon's front, until `stop` is told or dropped.
    Serve { listener: TcpListener, stop: oneshot::Receiver<()>, done: oneshot::Sender<io::Result<()>> },
    /// Another configuration.
    Reload(Box<Config>),
    /// Whether a list of hosts is in hand, as of all commands before this one.
    Ready(oneshot::Sender<bool>),
    /// Take no more in, and end when all is answered, or after this time.
    Shutdown(Duration),
}

/// How the engine has ended; `None` while it runs.
pub(crate) type Ended = watch::Receiver<Option<Result<(), Unfinished>>>;

/// What the application holds of the engines.
pub(crate) struct Started {
    /// Where each takes its commands.
    pub shards: Vec<mpsc::UnboundedSender<Command>>,
    /// All of them, where there are several.
    pub peers: Option<Shards>,
    pub state: watch::Receiver<State>,
    pub ended: Ended,
}

/// Who takes the lines of the log.
type Taker = Box<dyn Fn(&str) + Send>;

/// Most lines that wait for their taker; further ones are dropped, and counted.
const LINES_MOST: usize = 1_024;

/// The log of all engines. One engine writes it itself; several must not wait for each other's lines, and have a thread
/// that does.
#[derive(Clone)]
enum Lines {
    One(Arc<Mutex<Taker>>),
    Several { lines: std::sync::mpsc::SyncSender<String>, dropped: Arc<AtomicU64> },
}

impl Lines {
    fn new(taker: Taker, engines: usize) -> Lines {
        if engines == 1 {
            return Lines::One(Arc::new(Mutex::new(taker)));
        }
        let (lines, queue) = std::sync::mpsc::sync_channel::<String>(LINES_MOST);
        let dropped = Arc::new(AtomicU64::new(0));
        let lost = dropped.clone();
        let write = move || {
            while let Ok(line) = queue.recv() {
                match lost.swap(0, Ordering::Relaxed) {
                    0 => {}
                    lost => taker(&format!("{lost} lines of the log were dropped")),
                }
                taker(&line);
            }
        };
        // Without it the lines are dropped, which is no reason not to serve.
        let _ = std::thread::Builder::new().name("nettleworks-log".to_owned()).spawn(write);
        Lines::Several { lines, dropped }
    }

    fn line(&self, me: usize, line: &str) {
        match self {
            // Whoever takes the lines may panic: the next line is his all the same.
            Lines::One(taker) => taker.lock().unwrap_or_else(PoisonError::into_inner)(line),
            Lines::Several { lines, dropped } => {
                if lines.try_send(format!("shard {me}: {line}")).is_err() {
                    dropped.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }
}

/// What the engines tell the application together.
struct Together {
    shown: Arc<Combined>,
    ends: Mutex<Vec<Option<Result<(), Unfinished>>>>,
    ended: watch::Sender<Option<Result<(), Unfinished>>>,
}

impl Together {
    /// One has ended so; the fleet has when all have.
    fn end(&self, me: usize, how: Result<(), Unfinished>) {
        let mut ends = self.ends.lock().unwrap_or_else(PoisonError::into_inner);
        ends[me] = Some(how);
        let calls: usize = ends.iter().flatten().filter_map(|how| how.err()).map(|left| left.calls).sum();
        if ends.iter().all(Option::is_some) {
            self.ended.send_replace(Some(if calls == 0 { Ok(()) } else { Err(Unfinished { calls }) }));
        }
    }
}

/// Says how an engine has ended when its thread does, if nothing else has.
struct End(Arc<Together>, usize);

impl Drop for End {
    fn drop(&mut self) {
        let ended = self.0.ends.lock().unwrap_or_else(PoisonError::into_inner)[self.1].is_some();
        if !ended {
            self.0.end(self.1, Ok(()));
        }
    }
}

/// Starts so many engines on threads of their own, and returns when they run.
pub(crate) fn start(config: Config, engines: usize, log: Taker) -> Result<Started, StartError> {
    let (ended, has_ended) = watch::channel(None);
    let (shown, state) = watch::channel(State::default());
    let log = Lines::new(log, engines);
    let mut shards = Vec::new();
    let parts: Vec<(Option<PreparedShard<Http1>>, Config)> = match engines {
        1 => vec![(None, config)],
        _ => cores::prepare_shards(&config, engines)
            .into_iter()
            .map(|(seat, part)| (Some(seat), part))
            .collect(),
    };
    let peers = parts.first().and_then(|(seat, _)| seat.as_ref()).map(PreparedShard::peers);
    let shown = Arc::new(Combined::new(engines, peers.clone(), shown));
    let together = Arc::new(Together { shown, ends: Mutex::new(vec![None; engines]), ended });
    let mut started = Vec::new();
    for (me, (seat, config)) in parts.into_iter().enumerate() {
        let (commands, queue) = mpsc::unbounded_channel();
        shards.push(commands);
        let (up, is_up) = std::sync::mpsc::sync_channel(1);
        started.push(is_up);
        let (log, together) = (log.clone(), together.clone());
        let log = move |line: &str| log.line(me, line);
        let name = if engines == 1 { "nettleworks".to_owned() } else { format!("nettleworks-{me}") };
        let thread = move || engine(me, seat, config, Rc::new(log), queue, &together, &up);
        std::thread::Builder::new().name(name).spawn(thread).map_err(StartError::System)?;
    }
    for is_up in started {
        match is_up.recv() {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return Err(StartError::System(error)),
            Err(_) => {
                return Err(StartError::System(io::Error::other("an engine's thread ended at its start")))
            }
        }
    }
    Ok(Started { shards, peers, state, ended: has_ended })
}

/// Runs one engine on the thread that this is called on.
fn engine(
    me: usize,
    seat: Option<PreparedShard<Http1>>,
    config: Config,
    log: Log,
    queue: mpsc::UnboundedReceiver<Command>,
    together: &Arc<Together>,
    up: &std::sync::mpsc::SyncSender<io::Result<()>>,
) {
    let end = End(together.clone(), me);
    let begin = |driver: &Handle<Http1>| {
        driver.observe(Shown { all: together.shown.clone(), me });
        // Whoever starts it waits for this, and is there.
        let _ = up.send(Ok(()));
    };
    let how = match seat {
        None => {
            let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime,
                Err(error) => return drop(up.send(Err(error))),
            };
            let local = LocalSet::new();
            let how = local.block_on(&runtime, async {
                let config = Rc::new(config);
                let stations = nettleworks::interceptors(&config);
                let driver = Handle::start(config.clone(), Http1::new(&config), stations, log);
                begin(&driver);
                let _operators = nettleworks::operators::start(&driver);
                run(driver, queue, None).await
            });
            // Before its end is told: what still holds descriptors goes first.
            drop(local);
            drop(runtime);
            Some(how)
        }
        Some(seat) => {
            let ran = cores::run_thread(seat, async |seat| {
                let shared = cores::start_shard(seat, config, log);
                let (driver, peers) = (shared.driver.clone(), shared.peers.clone());
                begin(&driver);
                // One socket for all.
                let _operators =
                    (me == 0).then(|| nettleworks::operators::start_for_shards(&driver, Some(peers.clone())));
                tokio::select! {
                    how = run(driver, queue, Some((peers, me))) => Some(how),
                    () = shared.serve() => None,
                }
            });
            match ran {
                Ok((_, how)) => how,
                Err(error) => return drop(up.send(Err(error))),
            }
        }
    };
    if let Some(how) = how {
        together.end(me, how);
    }
    drop(end);
}

async fn run(
    driver: Handle<Http1>,
    mut queue: mpsc::UnboundedReceiver<Command>,
    others: Option<(Shards, usize)>,
) -> Result<(), Unfinished> {
    let (stop_fronts, stopped) = watch::channel(false);
    let mut fronts = JoinSet::new();
    let mut batch = Vec::with_capacity(BATCH);
    // Without a handle left nobody can ask for more, and nobody says how long the rest may take: each call has
    // its deadline, and each front its time to stop.
    let most =
        driver.config().settings.classes.iter().map(|class| Duration::from_micros(class.deadline)).max();
    let mut time = most.unwrap_or_default() + FRONT_STOP;
    'commands: while queue.recv_many(&mut batch, BATCH).await > 0 {
        for command in batch.drain(..) {
            if let Command::Shutdown(most) = command {
                time = most;
                break 'commands;
            }
            carry_out(&driver, command, &mut fronts, &stopped, others.as_ref());
        }
        // What has ended is not kept.
        while fronts.try_join_next().is_some() {}
    }
    let until = Instant::now() + time;
    stop_fronts.send_replace(true);
    // No more comes in; what came before the close is dropped unseen, and its callers see that it never ran. Those
    // that go are still heard.
    queue.close();
    let finished = async {
        let all_answered = async {
            loop {
                while let Ok(command) = queue.try_recv() {
                    if let Command::Gone(_) = command {
                        carry_out(&driver, command, &mut JoinSet::new(), &stopped, None);
                    }
                }
                // Those that nobody waits for may end too, but nobody is told of them.
                if driver.waiting() == 0 && driver.detached() == 0 {
                    break;
                }
                sleep(FINISH_LOOK).await;
            }
        };
        let fronts_stopped = async { while fronts.join_next().await.is_some() {} };
        // What a front has not closed in its time is closed with it.
        let _ = tokio::join!(all_answered, tokio::time::timeout(FRONT_STOP, fronts_stopped));
        if let Some((peers, me)) = &others {
            // Until none has anything open, another may need what this one knows.
            peers.wait_until_all_drained(*me).await;
        }
    };
    match tokio::time::timeout_at(until, finished).await {
        Ok(()) => Ok(()),
        Err(_) => match driver.waiting() {
            0 => Ok(()),
            calls => Err(Unfinished { calls }),
        },
    }
}

fn carry_out(
    driver: &Handle<Http1>,
    command: Command,
    fronts: &mut JoinSet<()>,
    stopped: &watch::Receiver<bool>,
    others: Option<&(Shards, usize)>,
) {
    match command {
        Command::Call { ask, forward, caller, ticket } => {
            // Gone before it was taken in: nothing is sent for it.
            if caller.reply.is_closed() {
                return;
            }
            let call = driver.submit(ask, forward, caller);
            ticket.store(call.0, Ordering::Release);
        }
        Command::Gone(ticket) => match ticket.load(Ordering::Acquire) {
            0 => {}
            call => driver.cancel(CallId(call)),
        },
        Command::Serve { listener, stop, done } => {
            let (driver, mut stopped) = (driver.clone(), stopped.clone());
            fronts.spawn_local(async move {
                let served = match tokio::net::TcpListener::from_std(listener) {
                    Ok(listener) => {
                        let stop = async move {
                            tokio::select! {
                                _ = stop => {}
                                _ = stopped.wait_for(|stopped| *stopped) => {}
                            }
                        };
                        server::serve(listener, driver, stop).await;
                        Ok(())
                    }
                    Err(error) => Err(error),
                };
                // Nobody may wait for it.
                let _ = done.send(served);
            });
        }
        Command::Reload(config) => driver.reload(match others {
            Some((peers, me)) => cores::shard_config(&config, peers.count(), *me),
            None => *config,
        }),
        Command::Ready(answer) => {
            let _ = answer.send(driver.is_ready());
        }
        Command::Shutdown(_) => {}
    }
}
