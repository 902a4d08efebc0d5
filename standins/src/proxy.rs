//! A running proxy in one of its deployments. One test suite runs against all of them.

use crate::client::Client;
use crate::configuration::configuration;
use crate::discovery::Discovery;
use crate::host::Host;
use crate::message::Reader;
use nettleworks::config::Config;
use nettleworks_keys_station::WithKeys;
use std::future::Future;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::Command;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, JoinHandle};

/// The configuration files of a proxy.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    /// The configuration of the proxy, with port 0 to listen on.
    pub config: String,
    /// The configuration of the store of idempotency keys, if the proxy has one.
    pub keys: Option<String>,
}

impl From<String> for Setup {
    fn from(config: String) -> Self {
        Setup { config, keys: None }
    }
}

impl Setup {
    /// Parses both configurations.
    fn read(&self) -> Config {
        let config = Config::parse(&self.config).expect("a valid configuration");
        match &self.keys {
            Some(keys) => config.with_keys(keys).expect("a valid configuration of keys"),
            None => config,
        }
    }
}

/// A way in which the proxy runs, for example as a program.
pub trait Deployment: 'static {
    /// Starts the proxy; it stops when `stop` receives a message or its sender is dropped. Returns the address of the
    /// proxy and a task that ends when the proxy has stopped and panics if the proxy failed.
    fn start(setup: Setup, stop: oneshot::Receiver<()>)
        -> impl Future<Output = (SocketAddr, JoinHandle<()>)>;
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy<D> {
    /// The address to which clients connect.
    pub address: SocketAddr,
    /// Stops the proxy when a message is sent on it or it is dropped.
    pub stop: Option<oneshot::Sender<()>>,
    /// Ends when the proxy has stopped.
    pub task: JoinHandle<()>,
    deployment: PhantomData<D>,
}

impl<D: Deployment> Proxy<D> {
    /// Starts a proxy with these known hosts and a discovery that only sends heartbeats.
    pub async fn start(hosts: &[Host]) -> Self {
        Self::start_with(&Discovery::heartbeats_only().await, hosts, |_| ()).await
    }

    /// Starts a proxy with these known hosts. `change` may modify its configuration.
    pub async fn start_with(
        discovery: &Discovery,
        hosts: &[Host],
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Self {
        Self::start_with_setup(configuration(discovery.address, hosts, change)).await
    }

    /// Starts a proxy with these known hosts, a discovery that only sends heartbeats and a store of idempotency keys.
    /// `keys` configures the store; `change` may modify the configuration of the proxy.
    pub async fn start_with_keys(
        hosts: &[Host],
        keys: &str,
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Self {
        let config = configuration(Discovery::heartbeats_only().await.address, hosts, change);
        Self::start_with_setup(Setup { config, keys: Some(keys.to_owned()) }).await
    }

    /// Starts a proxy with these configurations.
    pub async fn start_with_setup(setup: impl Into<Setup>) -> Self {
        let (stop, stopped) = oneshot::channel();
        let (address, task) = D::start(setup.into(), stopped).await;
        Proxy { address, stop: Some(stop), task, deployment: PhantomData }
    }

    /// Waits until the proxy has processed what clients did before. It processes events in order, so two round trips
    /// on new connections end after those events. This holds only for a proxy with one engine: with several, any of
    /// them may accept the two connections, so no test's result may depend on it there ([`Client::close`] works with
    /// any number).
    pub async fn wait_until_processed(&self) {
        for _ in 0..2 {
            self.client().await.exchange(crate::client::HEALTH_REQUEST).await;
        }
    }

    /// Opens a client connection to the proxy.
    pub async fn client(&self) -> Client {
        Reader::new(TcpStream::connect(self.address).await.expect("the proxy accepts"))
    }
}

/// The proxy's server and engine on the thread of the test.
#[derive(Debug)]
pub struct InProcess;

impl Deployment for InProcess {
    async fn start(setup: Setup, stop: oneshot::Receiver<()>) -> (SocketAddr, JoinHandle<()>) {
        let config = setup.read();
        let listener = nettleworks::server::listen(config.listen).expect("the proxy can listen");
        let address = listener.local_addr().expect("an address");
        let stop = async {
            let _ = stop.await;
        };
        let log = nettleworks_engine::log_to_stderr();
        (address, spawn_local(nettleworks::run(config, log, listener, async || None, stop)))
    }
}

/// The proxy as a process of its own, stopped by SIGTERM. Every type with this trait is a [`Deployment`].
pub trait Program: 'static {
    /// The path of the program.
    const PATH: &'static str;
    /// The folder for its configuration files.
    const SCRATCH: &'static str;
    /// Additional command-line arguments.
    const ARGUMENTS: &'static [&'static str] = &[];
}

impl<P: Program> Deployment for P {
    async fn start(setup: Setup, stop: oneshot::Receiver<()>) -> (SocketAddr, JoinHandle<()>) {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let name = format!("{}-{}.json", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        let path = PathBuf::from(P::SCRATCH).join(&name);
        std::fs::write(&path, setup.config).expect("written");
        let mut command = Command::new(P::PATH);
        command.args(P::ARGUMENTS);
        let keys = setup.keys.map(|keys| {
            let path = PathBuf::from(P::SCRATCH).join(format!("keys-{name}"));
            std::fs::write(&path, keys).expect("written");
            command.arg("--keys").arg(&path);
            path
        });
        let mut child = command
            .env("ROUTER_CONFIG", &path)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("the program starts");
        let mut log = BufReader::new(child.stderr.take().expect("piped")).lines();
        let address = loop {
            let line = log.next_line().await.expect("a log").expect("the log has a line with the address");
            if let Some((_, address)) = line.split_once("serving at ") {
                break address.parse().expect("an address");
            }
        };
        // The program reads its files before it serves.
        [path].iter().chain(&keys).for_each(|path| std::fs::remove_file(path).expect("removed"));
        let task = spawn_local(async move {
            // The log is read to its end: a full pipe would block the program.
            let log = spawn_local(async move {
                let mut panicked = false;
                while let Ok(Some(line)) = log.next_line().await {
                    panicked |= line.contains("panicked");
                }
                panicked
            });
            let _ = stop.await;
            if let Some(id) = child.id() {
                let killed = Command::new("kill").arg(id.to_string()).status().await;
                assert!(killed.expect("kill runs").success());
            }
            let status = child.wait().await.expect("the program can be waited for");
            assert_eq!(status.code(), Some(0));
            assert!(!log.await.expect("the log is read"), "the program panicked");
        });
        (address, task)
    }
}
