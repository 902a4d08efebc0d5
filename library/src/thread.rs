//! The engine's thread: takes commands in, in their order, and ends when all is answered.

use crate::error::{StartError, Unfinished};
use crate::state::{Shown, State};
use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use nettleworks::server;
use nettleworks_engine::calls::{Ask, Caller};
use nettleworks_engine::config::Config;
use nettleworks_engine::driver::Handle;
use nettleworks_engine::http1::{Forward, Http1};
use nettleworks_policy::CallId;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
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
    Call { ask: Ask<HeaderValue>, forward: Forward, caller: Caller<Response<Bytes>>, ticket: Ticket },
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

/// What the application holds of the engine.
pub(crate) struct Started {
    pub commands: mpsc::UnboundedSender<Command>,
    pub state: watch::Receiver<State>,
    pub ended: Ended,
}

/// Starts the engine on a thread of its own, and returns when it runs.
pub(crate) fn start(config: Config, log: Box<dyn Fn(&str) + Send>) -> Result<Started, StartError> {
    let (commands, queue) = mpsc::unbounded_channel();
    let (ended, has_ended) = watch::channel(None);
    let (up, is_up) = std::sync::mpsc::sync_channel(1);
    let thread = move || {
        let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => return drop(up.send(Err(error))),
        };
        let local = LocalSet::new();
        let how = local.block_on(&runtime, async {
            let config = Rc::new(config);
            let stations = nettleworks::stations(&config);
            let log = Rc::new(move |line: &str| log(line));
            let driver = Handle::start(config.clone(), Http1::new(&config), stations, log);
            let (shown, state) = watch::channel(State::default());
            driver.observe(Shown(shown));
            // Whoever starts it waits for this, and is there.
            let _ = up.send(Ok(state));
            let _operators = nettleworks::operators::start(&driver);
            run(driver, queue).await
        });
        // Before its end is told: what still holds descriptors goes first.
        drop(local);
        drop(runtime);
        ended.send_replace(Some(how));
    };
    std::thread::Builder::new().name("nettleworks".to_owned()).spawn(thread).map_err(StartError::System)?;
    match is_up.recv() {
        Ok(Ok(state)) => Ok(Started { commands, state, ended: has_ended }),
        Ok(Err(error)) => Err(StartError::System(error)),
        Err(_) => Err(StartError::System(io::Error::other("the engine's thread ended at its start"))),
    }
}

async fn run(driver: Handle<Http1>, mut queue: mpsc::UnboundedReceiver<Command>) -> Result<(), Unfinished> {
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
            carry_out(&driver, command, &mut fronts, &stopped);
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
                        carry_out(&driver, command, &mut JoinSet::new(), &stopped);
                    }
                }
                // Those that nobody waits for may end too, but nobody is told of them.
                if driver.waiting() == 0 && driver.lingering() == 0 {
                    break;
                }
                sleep(FINISH_LOOK).await;
            }
        };
        let fronts_stopped = async { while fronts.join_next().await.is_some() {} };
        tokio::join!(all_answered, tokio::time::timeout(FRONT_STOP, fronts_stopped))
    };
    match tokio::time::timeout_at(until, finished).await {
        Ok(_) => Ok(()),
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
) {
    match command {
        Command::Call { ask, forward, caller, ticket } => {
            // Gone before it was taken in: nothing is sent for it.
            if caller.reply.is_closed() {
                return;
            }
            let call = driver.call(ask, forward, caller);
            ticket.store(call.0, Ordering::Release);
        }
        Command::Gone(ticket) => match ticket.load(Ordering::Acquire) {
            0 => {}
            call => driver.gone(CallId(call)),
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
        Command::Reload(config) => driver.reload(*config),
        Command::Ready(answer) => {
            let _ = answer.send(driver.is_ready());
        }
        Command::Shutdown(_) => {}
    }
}
