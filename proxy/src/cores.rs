//! Several engines of one process, a thread each, behind one address: how they are started, told and stopped as one.

use crate::server;
use nettleworks_cores::shard::{self, Peers, ShardGuard, StandIns};
use nettleworks_cores::{PreparedShard, ShardOptions};
use nettleworks_engine::config::Config;
use nettleworks_engine::http1::Http1;
use nettleworks_engine::net::Stream;
use nettleworks_engine::task::{self, Task};
use nettleworks_engine::Log;
use nettleworks_keys_station::{KeyInterceptor, KeyStoreConfig, ShardContext, SharedKeyState, WithKeys};
use std::collections::HashMap;
use std::io;
use std::net::TcpListener;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout_at};

/// Connections that were accepted for a shard that does not answer, and not yet taken in.
const ACCEPTED_MOST: usize = 16;
/// Pause after a failure to accept for another.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// An engine of a process, as the daemon's fronts drive it.
pub type Shared = nettleworks_cores::shard::RunningShard<Http1>;

/// Places for so many shards of a process with this configuration.
/// Each comes with its part of the configuration.
pub fn seats(config: &Config, shards: usize) -> Vec<(PreparedShard<Http1>, Config)> {
    seats_of(config, ShardOptions::new(shards))
}

/// The same with sizes of one's own; keys are remembered for as long as the configuration says.
pub fn seats_of(config: &Config, sizes: ShardOptions) -> Vec<(PreparedShard<Http1>, Config)> {
    let shards = sizes.shards;
    let remembered = config.keys().map_or(sizes.key_retention, KeyStoreConfig::longest_retention);
    let sizes = ShardOptions { key_retention: remembered, ..sizes };
    let seats = PreparedShard::prepare_all(sizes, config.seed);
    let Some(peers) = seats.first().map(PreparedShard::peers) else { return Vec::new() };
    let common = SharedKeyState::new(move |shard, told| {
        peers.submit(shard, move |driver| {
            driver
                .with_interceptor(|keys: &mut KeyInterceptor<Http1>, desk| keys.on_peer_request(desk, told));
        });
    });
    let with_part = |seat: PreparedShard<Http1>| {
        let me = seat.shard();
        let mut config = part(config, shards, me);
        config.extensions.set(ShardContext { shard: me, shared: common.clone() });
        (seat, config)
    };
    seats.into_iter().map(with_part).collect()
}

/// What one of so many shards is told.
pub fn part(config: &Config, shards: usize, me: usize) -> Config {
    shard::shard_config(config, shards, me)
}

/// Starts a shard's engine on the thread that this is called on.
pub fn start(seat: PreparedShard<Http1>, config: Config, log: Log) -> Shared {
    let config = Rc::new(config);
    let stations = crate::stations(&config);
    seat.start(config.clone(), Http1::new(&config), stations, log)
}

/// How a shard's thread has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was stopped, and all that it had taken was answered.
    Well,
    /// By a panic: the process goes on without it.
    Panicked,
}

/// Runs a shard on the thread that this is called on, as `run` says. A panic ends the shard and no other: what it had
/// is the others', and they are told when its connections are closed.
pub fn run_thread<T>(
    seat: PreparedShard<Http1>,
    run: impl AsyncFnOnce(PreparedShard<Http1>) -> Option<T>,
) -> io::Result<(End, Option<T>)> {
    let ending: ShardGuard<Http1> = seat.guard();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let ended = catch_unwind(AssertUnwindSafe(|| {
        let local = LocalSet::new();
        let said = local.block_on(&runtime, run(seat));
        // Connections and calls go before anybody hears that it has ended.
        drop(local);
        drop(runtime);
        said
    }));
    drop(ending);
    Ok(match ended {
        Ok(Some(said)) => (End::Well, Some(said)),
        Ok(None) | Err(_) => (End::Panicked, None),
    })
}

/// The listeners of all shards once more, for those that stand in for one that does not answer. They are closed when
/// the process is told to stop: each shard then takes what has come to its own.
#[derive(Clone, Debug)]
pub struct Spare(Arc<Mutex<Vec<TcpListener>>>);

impl Spare {
    /// Of these listeners.
    ///
    /// # Errors
    /// Too few descriptors.
    pub fn of(listeners: &[TcpListener]) -> io::Result<Spare> {
        let again = listeners.iter().map(TcpListener::try_clone).collect::<io::Result<_>>()?;
        Ok(Spare(Arc::new(Mutex::new(again))))
    }

    /// Closes them.
    pub fn close(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    fn get(&self, shard: usize) -> Option<TcpListener> {
        let listeners = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        listeners.get(shard)?.try_clone().ok()
    }
}

/// Accepts for those that this shard stands in for, as long as it does. `stand_ins` says who does for whom.
pub async fn stand_in(me: usize, spare: Spare, mut stand_ins: StandIns, to: mpsc::Sender<Stream>) {
    let mut accepting: HashMap<usize, Task> = HashMap::new();
    loop {
        let for_whom: Vec<usize> = {
            let all = stand_ins.borrow_and_update();
            all.iter()
                .enumerate()
                .filter(|&(shard, &by)| by == me && shard != me)
                .map(|(shard, _)| shard)
                .collect()
        };
        accepting.retain(|shard, _| for_whom.contains(shard));
        for shard in for_whom {
            let Some(listener) = spare.get(shard) else { continue };
            accepting.entry(shard).or_insert_with(|| {
                let to = to.clone();
                task::spawn(async move { accept(listener, to).await })
            });
        }
        if stand_ins.changed().await.is_err() {
            return;
        }
    }
}

async fn accept(listener: TcpListener, to: mpsc::Sender<Stream>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if to.send(stream.into()).await.is_err() {
                    return;
                }
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// What all shards of the daemon are told at once.
#[derive(Clone)]
pub struct Told {
    /// Whether to stop.
    pub stop: watch::Receiver<bool>,
    /// The newest configuration, of the whole process.
    pub reload: watch::Receiver<Option<Arc<Config>>>,
}

/// Serves as one shard of the daemon until it is told to stop and all that it took is answered. `None`: its engine was
/// torn by a panic.
pub async fn serve(
    seat: PreparedShard<Http1>,
    config: Config,
    log: Log,
    listener: TcpListener,
    spare: Spare,
    told: Told,
) -> Option<()> {
    let me = seat.shard();
    let shared = start(seat, config, log);
    let (driver, peers, stand_ins) = (shared.driver.clone(), shared.peers.clone(), shared.stand_ins.clone());
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            driver.log(&format!("no listener: {error}"));
            return None;
        }
    };
    // One socket for all.
    let _operators = (me == 0).then(|| crate::operators::start_for(&driver, Some(peers.clone())));
    let Told { mut stop, mut reload } = told;
    let (to, more) = mpsc::channel(ACCEPTED_MOST);
    let standing_in = task::spawn(stand_in(me, spare, stand_ins, to));
    let reloads = async {
        while reload.changed().await.is_ok() {
            let config = reload.borrow_and_update().clone();
            config.iter().for_each(|config| driver.reload(part(config, peers.count(), me)));
        }
        std::future::pending::<()>().await
    };
    let stopped = async move {
        // Whoever could say so has gone: that is a stop too.
        let _ = stop.wait_for(|stop| *stop).await;
        drop(standing_in);
    };
    let front = async {
        let over = server::serve_also(listener, Some(more), driver.clone(), stopped).await;
        driver.log_counts();
        // One that does not answer must not keep the others.
        let _ = timeout_at(over, peers.wait_until_all_drained(me)).await;
    };
    tokio::select! {
        () = front => Some(()),
        () = reloads => None,
        () = shared.serve() => None,
    }
}

/// All shards, for the operators' socket.
pub type Shards = Peers<Http1>;
