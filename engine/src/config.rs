//! What the proxy is told at start: the file that `ROUTER_CONFIG` names.

use crate::discovery::List;
use nettleworks_policy::Settings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Descriptors for all but connections of clients and hosts: standard streams, event queue, listener, discovery,
/// and some to spare.
const SPARE_DESCRIPTORS: usize = 32;

/// The configuration, checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where the application connects.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// Most file descriptors that the process may hold.
    pub sockets: usize,
    /// The hosts as this proxy last had them; maybe old.
    pub known: Option<List>,
    /// What the decision module is told.
    pub settings: Settings,
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// When a connection must be up.
    pub connect_timeout: Duration,
    /// How long hosts keep an idle connection.
    pub conn_idle: Duration,
}

#[derive(Deserialize)]
struct File {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Option<List>,
    settings: Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1_024 }
    }
}

/// The part of the settings that is about connections; the rest is the decision module's.
#[derive(Deserialize)]
struct Site {
    #[serde(default)]
    limits: Connections,
}

#[derive(Deserialize)]
#[serde(default)]
struct Connections {
    connect_timeout_us: u64,
    conn_idle_us: u64,
}

impl Default for Connections {
    fn default() -> Self {
        Connections { connect_timeout_us: 250_000, conn_idle_us: 15_000_000 }
    }
}

impl Config {
    /// Reads a configuration file.
    pub fn load(path: &Path) -> Result<Config, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Config::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Reads a configuration's text.
    pub fn parse(text: &str) -> Result<Config, String> {
        let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| format!("seed: {e}"))?;
        let (settings, classes, tenants) =
            nettleworks_settings::read(&file.settings).map_err(|e| format!("settings: {e}"))?;
        let site = Site::deserialize(&file.settings).map_err(|e| format!("settings: {e}"))?.limits;
        if file.limits.sockets < 2 * SPARE_DESCRIPTORS {
            return Err(format!("limits: {} sockets are too few", file.limits.sockets));
        }
        Ok(Config {
            listen: file.listen,
            discovery: file.discovery,
            seed,
            sockets: file.limits.sockets,
            known: file.known,
            settings,
            classes,
            tenants,
            connect_timeout: Duration::from_micros(site.connect_timeout_us),
            conn_idle: Duration::from_micros(site.conn_idle_us),
        })
    }

    /// What a running proxy takes over from a new configuration. The rest is for its whole life; whether the two
    /// differ there comes back too.
    pub fn renewed(&self, new: Config) -> (Config, bool) {
        let Config { discovery, sockets, connect_timeout, conn_idle, .. } = new;
        let old = (self.listen, &self.settings, &self.classes, &self.tenants);
        let differs = old != (new.listen, &new.settings, &new.classes, &new.tenants);
        (Config { discovery, sockets, connect_timeout, conn_idle, ..self.clone() }, differs)
    }

    /// Most connections to hosts: clients hold a third of the descriptors at most for requests, and each request
    /// has one connection to a host.
    pub fn connections_to_hosts(&self) -> usize {
        (self.sockets - SPARE_DESCRIPTORS) * 2 / 5
    }

    /// Most connections to clients: the rest, as some clients connect and ask for nothing.
    pub fn connections_to_clients(&self) -> usize {
        self.sockets - SPARE_DESCRIPTORS - self.connections_to_hosts()
    }

    /// Connections to clients beyond which idle ones are dear: half of what clients hold at most for requests.
    pub fn crowded_from(&self) -> usize {
        self.sockets / 6
    }
}
