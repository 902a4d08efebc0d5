//! Several engines (shards) of one process, each on a thread of its own, behind one address: they are started, reloaded
//! and stopped together.

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

/// Capacity of the queue of connections that were accepted in place of a stalled shard and are not served yet.
const ACCEPT_QUEUE_CAPACITY: usize = 16;
/// Pause after a failed accept in place of a stalled shard.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A started shard that uses HTTP/1.
pub type RunningShard = nettleworks_cores::shard::RunningShard<Http1>;

/// Prepares this number of shards of a process, each with its own configuration.
pub fn prepare_shards(config: &Config, shards: usize) -> Vec<(PreparedShard<Http1>, Config)> {
    prepare_shards_sized(config, ShardOptions::new(shards))
}

/// As [`prepare_shards`], with these sizes; how long keys are remembered is taken from the configuration, if it has a
/// store of keys.
pub fn prepare_shards_sized(config: &Config, sizes: ShardOptions) -> Vec<(PreparedShard<Http1>, Config)> {
    let shards = sizes.shards;
    let remembered = config.keys().map_or(sizes.key_retention, KeyStoreConfig::longest_retention);
    let sizes = ShardOptions { key_retention: remembered, ..sizes };
    let prepared_shards = PreparedShard::prepare_all(sizes, config.seed);
    let Some(peers) = prepared_shards.first().map(PreparedShard::peers) else { return Vec::new() };
    let common = SharedKeyState::new(move |shard, request| {
        peers.submit(shard, move |driver| {
            driver.with_interceptor(|keys: &mut KeyInterceptor<Http1>, context| {
                keys.on_peer_request(context, request)
            });
        });
    });
    let with_config = |prepared: PreparedShard<Http1>| {
        let me = prepared.shard();
        let mut config = shard_config(config, shards, me);
        config.extensions.set(ShardContext { shard: me, shared: common.clone() });
        (prepared, config)
    };
    prepared_shards.into_iter().map(with_config).collect()
}

/// The configuration of one shard out of this number of shards.
pub fn shard_config(config: &Config, shards: usize, shard: usize) -> Config {
    shard::shard_config(config, shards, shard)
}

/// Starts a shard's engine on the current thread.
pub fn start_shard(prepared: PreparedShard<Http1>, config: Config, log: Log) -> RunningShard {
    let config = Rc::new(config);
    let interceptors = crate::interceptors(&config);
    prepared.start(config.clone(), Http1::new(&config), interceptors, log)
}

/// How a shard's thread ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardExit {
    /// It was stopped, and all requests that it had accepted were answered.
    Clean,
    /// It panicked; the process continues without it.
    Panicked,
}

/// Runs `run` as a shard on the current thread and returns its result. A panic ends this shard alone: the other shards
/// take over what it held, and are notified after its connections have been closed.
///
/// # Errors
///
/// The thread's runtime could not be created.
pub fn run_thread<T>(
    prepared: PreparedShard<Http1>,
    run: impl AsyncFnOnce(PreparedShard<Http1>) -> Option<T>,
) -> io::Result<(ShardExit, Option<T>)> {
    let guard: ShardGuard<Http1> = prepared.guard();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let ended = catch_unwind(AssertUnwindSafe(|| {
        let local = LocalSet::new();
        let result = local.block_on(&runtime, run(prepared));
        // Connections and calls are dropped before the other shards are notified that this one has ended.
        drop(local);
        drop(runtime);
        result
    }));
    drop(guard);
    Ok(match ended {
        Ok(Some(result)) => (ShardExit::Clean, Some(result)),
        Ok(None) | Err(_) => (ShardExit::Panicked, None),
    })
}

/// Duplicates of the listeners of all shards, so that another shard can accept in place of a stalled one. They are
/// closed when the process is ordered to stop: from then on each shard accepts only what has arrived at its own
/// listener.
#[derive(Clone, Debug)]
pub struct BackupListeners(Arc<Mutex<Vec<TcpListener>>>);

impl BackupListeners {
    /// Duplicates these listeners, which are in the order of the shards.
    ///
    /// # Errors
    ///
    /// Too few file descriptors.
    pub fn duplicate(listeners: &[TcpListener]) -> io::Result<BackupListeners> {
        let duplicates = listeners.iter().map(TcpListener::try_clone).collect::<io::Result<_>>()?;
        Ok(BackupListeners(Arc::new(Mutex::new(duplicates))))
    }

    /// Closes all duplicates, those of all clones included.
    pub fn close(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    fn get(&self, shard: usize) -> Option<TcpListener> {
        let listeners = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        listeners.get(shard)?.try_clone().ok()
    }
}

/// Accepts connections in place of stalled shards and sends them to `to`. `acceptors` holds, by shard, which shard
/// accepts its new connections; those that name `this_shard` are accepted here, for as long as they do.
pub async fn accept_for_stalled_shards(
    this_shard: usize,
    backups: BackupListeners,
    mut acceptors: StandIns,
    to: mpsc::Sender<Stream>,
) {
    let mut accepting: HashMap<usize, Task> = HashMap::new();
    loop {
        let stalled: Vec<usize> = {
            let all = acceptors.borrow_and_update();
            all.iter()
                .enumerate()
                .filter(|&(shard, &by)| by == this_shard && shard != this_shard)
                .map(|(shard, _)| shard)
                .collect()
        };
        accepting.retain(|shard, _| stalled.contains(shard));
        for shard in stalled {
            let Some(listener) = backups.get(shard) else { continue };
            accepting.entry(shard).or_insert_with(|| {
                let to = to.clone();
                task::spawn(async move { accept(listener, to).await })
            });
        }
        if acceptors.changed().await.is_err() {
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
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// The channels over which all shards of a process are ordered to stop or to reload.
#[derive(Clone)]
pub struct ShardSignals {
    /// Turns true when the shards are to stop.
    pub stop: watch::Receiver<bool>,
    /// The newest configuration of the whole process; `None` before the first reload.
    pub reload: watch::Receiver<Option<Arc<Config>>>,
}

/// Serves as one shard of the daemon until it is ordered to stop and all requests that it accepted are answered. `None`
/// if it has no listener, or if a panic has left its engine in an inconsistent state.
pub async fn serve_shard(
    prepared: PreparedShard<Http1>,
    config: Config,
    log: Log,
    listener: TcpListener,
    backups: BackupListeners,
    signals: ShardSignals,
) -> Option<()> {
    let this_shard = prepared.shard();
    let running = start_shard(prepared, config, log);
    let (driver, peers, acceptors) =
        (running.driver.clone(), running.peers.clone(), running.stand_ins.clone());
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            driver.log(&format!("the listener cannot be used: {error}"));
            return None;
        }
    };
    // One operators' socket for all shards.
    let _operators =
        (this_shard == 0).then(|| crate::operators::start_for_shards(&driver, Some(peers.clone())));
    let ShardSignals { mut stop, mut reload } = signals;
    let (to, accepted) = mpsc::channel(ACCEPT_QUEUE_CAPACITY);
    let backup_accepts = task::spawn(accept_for_stalled_shards(this_shard, backups, acceptors, to));
    let reloads = async {
        while reload.changed().await.is_ok() {
            let config = reload.borrow_and_update().clone();
            config.iter().for_each(|config| driver.reload(shard_config(config, peers.count(), this_shard)));
        }
        std::future::pending::<()>().await
    };
    let stopped = async move {
        // A closed channel is an order to stop, too.
        let _ = stop.wait_for(|stop| *stop).await;
        drop(backup_accepts);
    };
    let front = async {
        let exit_by = server::serve_with_accepted(listener, Some(accepted), driver.clone(), stopped).await;
        driver.log_counts();
        // A stalled shard must not keep the others from exiting.
        let _ = timeout_at(exit_by, peers.wait_until_all_drained(this_shard)).await;
    };
    tokio::select! {
        () = front => Some(()),
        () = reloads => None,
        () = running.serve() => None,
    }
}

/// Handles of all shards of a process, by which jobs are run at any of them.
pub type Shards = Peers<Http1>;
