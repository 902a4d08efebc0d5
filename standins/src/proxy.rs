//! A running proxy, in one of the forms that it comes in. One suite of tests runs against all of them.

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

/// What a proxy is started with.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    /// Its configuration, which says port 0.
    pub config: String,
    /// The configuration of its store of keys, where it is to have one.
    pub keys: Option<String>,
}

impl From<String> for Setup {
    fn from(config: String) -> Self {
        Setup { config, keys: None }
    }
}

impl Setup {
    fn read(&self) -> Config {
        let config = Config::parse(&self.config).expect("a good configuration");
        match &self.keys {
            Some(keys) => config.with_keys(keys).expect("a good configuration of keys"),
            None => config,
        }
    }
}

/// A form in which the proxy runs.
pub trait Deployment: 'static {
    /// Starts it until `stop` is told or dropped. Gives its address, and a task that ends when it has stopped and
    /// that panics if it did not end well.
    fn start(setup: Setup, stop: oneshot::Receiver<()>)
        -> impl Future<Output = (SocketAddr, JoinHandle<()>)>;
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy<D> {
    /// Where clients connect.
    pub address: SocketAddr,
    /// Stops it when told or dropped.
    pub stop: Option<oneshot::Sender<()>>,
    /// Ends when it has stopped.
    pub task: JoinHandle<()>,
    deployment: PhantomData<D>,
}

impl<D: Deployment> Proxy<D> {
    /// A proxy that knows these hosts, with a discovery that says nothing.
    pub async fn start(hosts: &[Host]) -> Self {
        Self::start_with(&Discovery::heartbeats_only().await, hosts, |_| ()).await
    }

    /// A proxy that knows these hosts; `change` sees its configuration first.
    pub async fn start_with(
        discovery: &Discovery,
        hosts: &[Host],
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Self {
        Self::start_with_setup(configuration(discovery.address, hosts, change)).await
    }

    /// A proxy that knows these hosts, with a discovery that says nothing and a store of keys.
    pub async fn start_with_keys(
        hosts: &[Host],
        keys: &str,
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Self {
        let config = configuration(Discovery::heartbeats_only().await.address, hosts, change);
        Self::start_with_setup(Setup { config, keys: Some(keys.to_owned()) }).await
    }

    /// A proxy with this setup.
    pub async fn start_with_setup(setup: impl Into<Setup>) -> Self {
        let (stop, stopped) = oneshot::channel();
        let (address, task) = D::start(setup.into(), stopped).await;
        Proxy { address, stop: Some(stop), task, deployment: PhantomData }
    }

    /// Waits until the proxy has seen what clients did before: what it hears comes in order, and two round trips
    /// on new connections end after it. That holds for a proxy with one engine; of several, any may take these two, so
    /// no test's verdict may rest on it there ([`Client::go`] tells the end of a client for all).
    pub async fn wait_until_processed(&self) {
        for _ in 0..2 {
            self.client().await.exchange(crate::client::HEALTH_REQUEST).await;
        }
    }

    /// A client's new connection.
    pub async fn client(&self) -> Client {
        Reader::new(TcpStream::connect(self.address).await.expect("the proxy accepts"))
    }
}

/// The daemon's front and driver on the test's own thread.
#[derive(Debug)]
pub struct InProcess;

impl Deployment for InProcess {
    async fn start(setup: Setup, stop: oneshot::Receiver<()>) -> (SocketAddr, JoinHandle<()>) {
        let config = setup.read();
        let listener = nettleworks::server::listen(config.listen).expect("it listens");
        let address = listener.local_addr().expect("an address");
        let stop = async {
            let _ = stop.await;
        };
        let log = nettleworks_engine::log_to_stderr();
        (address, spawn_local(nettleworks::run(config, log, listener, async || None, stop)))
    }
}

/// The program as a process of its own, stopped by SIGTERM.
pub trait Program: 'static {
    /// Where the program is.
    const PATH: &'static str;
    /// A folder for its configuration.
    const SCRATCH: &'static str;
    /// Further words of its command line.
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
            .expect("it starts");
        let mut log = BufReader::new(child.stderr.take().expect("piped")).lines();
        let address = loop {
            let line = log.next_line().await.expect("a log").expect("it says where it serves");
            if let Some((_, address)) = line.split_once("serving at ") {
                break address.parse().expect("an address");
            }
        };
        // It has read its files.
        [path].iter().chain(&keys).for_each(|path| std::fs::remove_file(path).expect("removed"));
        let task = spawn_local(async move {
            // Read to its end, else the program would wait to write.
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
            let status = child.wait().await.expect("it can be waited for");
            assert_eq!(status.code(), Some(0));
            assert!(!log.await.expect("its log is read"), "it panicked");
        });
        (address, task)
    }
}
