//! Several engines of one process, a thread each, behind one address: how they are started, told and stopped as one.

use crate::server;
use nettleworks_cores::seat::{self, Ending, Peers, StandIns};
use nettleworks_cores::{Seat, Sizes};
use nettleworks_engine::config::Config;
use nettleworks_engine::http1::Http1;
use nettleworks_engine::net::Stream;
use nettleworks_engine::task::{self, Task};
use nettleworks_engine::Log;
use nettleworks_keys_station::{Common, KeyStation, Keys, Together, WithKeys};
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
const ACCEPT_QUEUE_CAPACITY: usize = 16;
/// Pause after a failure to accept for another.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// An engine of a process, as the daemon's fronts drive it.
pub type RunningShard = nettleworks_cores::seat::Shared<Http1>;

/// Places for so many shards of a process with this configuration.
/// Each comes with its part of the configuration.
pub fn prepare_shards(config: &Config, shards: usize) -> Vec<(Seat<Http1>, Config)> {
    prepare_shards_sized(config, Sizes::of(shards))
}

/// The same with sizes of one's own; keys are remembered for as long as the configuration says.
pub fn prepare_shards_sized(config: &Config, sizes: Sizes) -> Vec<(Seat<Http1>, Config)> {
    let shards = sizes.shards;
    let remembered = config.keys().map_or(sizes.remembered, Keys::longest);
    let sizes = Sizes { remembered, ..sizes };
    let prepared_shards = Seat::all(sizes, config.seed);
    let Some(peers) = prepared_shards.first().map(Seat::peers) else { return Vec::new() };
    let common = Common::new(move |shard, request| {
        peers.tell(shard, move |driver| {
            driver.station(|keys: &mut KeyStation<Http1>, context| keys.told(context, request));
        });
    });
    let with_config = |prepared: Seat<Http1>| {
        let me = prepared.shard();
        let mut config = shard_config(config, shards, me);
        config.extras.set(Together { me, common: common.clone() });
        (prepared, config)
    };
    prepared_shards.into_iter().map(with_config).collect()
}

/// What one of so many shards is told.
pub fn shard_config(config: &Config, shards: usize, shard: usize) -> Config {
    seat::part(config, shards, shard)
}

/// Starts a shard's engine on the thread that this is called on.
pub fn start_shard(prepared: Seat<Http1>, config: Config, log: Log) -> RunningShard {
    let config = Rc::new(config);
    let interceptors = crate::interceptors(&config);
    prepared.start(config.clone(), Http1::new(&config), interceptors, log)
}

/// How a shard's thread has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardExit {
    /// It was stopped, and all that it had taken was answered.
    Clean,
    /// By a panic: the process goes on without it.
    Panicked,
}

/// Runs a shard on the thread that this is called on, as `run` says. A panic ends the shard and no other: what it had
/// is the others', and they are told when its connections are closed.
pub fn run_thread<T>(
    prepared: Seat<Http1>,
    run: impl AsyncFnOnce(Seat<Http1>) -> Option<T>,
) -> io::Result<(ShardExit, Option<T>)> {
    let guard: Ending<Http1> = prepared.guard();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let ended = catch_unwind(AssertUnwindSafe(|| {
        let local = LocalSet::new();
        let result = local.block_on(&runtime, run(prepared));
        // Connections and calls go before anybody hears that it has ended.
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

/// The listeners of all shards once more, for those that stand in for one that does not answer. They are closed when
/// the process is told to stop: each shard then takes what has come to its own.
#[derive(Clone, Debug)]
pub struct BackupListeners(Arc<Mutex<Vec<TcpListener>>>);

impl BackupListeners {
    /// Of these listeners.
    ///
    /// # Errors
    /// Too few descriptors.
    pub fn duplicate(listeners: &[TcpListener]) -> io::Result<BackupListeners> {
        let duplicates = listeners.iter().map(TcpListener::try_clone).collect::<io::Result<_>>()?;
        Ok(BackupListeners(Arc::new(Mutex::new(duplicates))))
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

/// What all shards of the daemon are told at once.
#[derive(Clone)]
pub struct ShardSignals {
    /// Whether to stop.
    pub stop: watch::Receiver<bool>,
    /// The newest configuration, of the whole process.
    pub reload: watch::Receiver<Option<Arc<Config>>>,
}

/// Serves as one shard of the daemon until it is told to stop and all that it took is answered. `None`: its engine was
/// torn by a panic.
pub async fn serve_shard(
    prepared: Seat<Http1>,
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
            driver.log(&format!("no listener: {error}"));
            return None;
        }
    };
    // One socket for all.
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
        // Whoever could say so has gone: that is a stop too.
        let _ = stop.wait_for(|stop| *stop).await;
        drop(backup_accepts);
    };
    let front = async {
        let exit_by = server::serve_with_accepted(listener, Some(accepted), driver.clone(), stopped).await;
        driver.log_counts();
        // One that does not answer must not keep the others.
        let _ = timeout_at(exit_by, peers.done(this_shard)).await;
    };
    tokio::select! {
        () = front => Some(()),
        () = reloads => None,
        () = running.serve() => None,
    }
}

/// All shards, for the operators' socket.
pub type Shards = Peers<Http1>;
