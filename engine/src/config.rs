//! What the proxy is told at start: the file that `ROUTER_CONFIG` names.

use crate::extras::Extras;
use crate::list::List;
use crate::passing::is_passing;
use crate::quota::Quota;
use nettleworks_policy::Settings;
use serde::{Deserialize, Deserializer};
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
    pub max_descriptors: usize,
    /// The hosts as this proxy last had them; maybe old.
    pub cached_list: Option<List>,
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
    /// Most calls that an application may have open through the library; `None`: a third of the descriptors.
    pub max_calls: Option<usize>,
    /// What stations are told; each reads a file of its own.
    pub extras: Extras,
    /// Connections that are open. Engines of one process count together.
    pub quota: Quota,
    /// Places of the keys that are not known, outside the settings. They may be a later platform's, or slips.
    pub unknown_keys: Vec<String>,
    /// Places of the settings that are not used here. The platform tells more than it takes.
    pub unused_keys: Vec<String>,
}

/// The file. What the platform tells and nothing here uses is named all the same: any other key is a slip.
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
    #[serde(default)]
    nettleworks: NettleworksOptions,
    #[serde(default, rename = "name")]
    _name: IgnoredValue,
    #[serde(default, rename = "peer_listen")]
    _peer_listen: IgnoredValue,
    #[serde(default, rename = "peers")]
    _peers: IgnoredValue,
    #[serde(default, rename = "peers_all")]
    _peers_all: IgnoredValue,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    #[serde(rename = "cores")]
    _cores: IgnoredValue,
    #[serde(rename = "memory_mb")]
    _memory_mb: IgnoredValue,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1_024, _cores: IgnoredValue, _memory_mb: IgnoredValue }
    }
}

/// What is told and not used: read, so that it is known, and dropped.
#[derive(Default)]
struct IgnoredValue;

impl<'de> Deserialize<'de> for IgnoredValue {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<IgnoredValue, D::Error> {
        Value::deserialize(from).map(|_| IgnoredValue)
    }
}

/// Keys of our own. The platform sets none of them, so one that is not known is an error.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct NettleworksOptions {
    calls: Option<usize>,
}

/// The part of the settings that is about connections; the rest is the decision module's.
#[derive(Deserialize)]
struct ConnectionSettings {
    #[serde(default)]
    limits: ConnectionLimits,
}

/// Their places among the settings.
const CONNECTION_KEYS: [&str; 2] = ["settings.limits.connect_timeout_us", "settings.limits.conn_idle_us"];

#[derive(Deserialize)]
#[serde(default)]
struct ConnectionLimits {
    connect_timeout_us: u64,
    conn_idle_us: u64,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        ConnectionLimits { connect_timeout_us: 250_000, conn_idle_us: 15_000_000 }
    }
}

/// Why a configuration file was not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadError {
    /// Whether it may be read a moment later: the system is short of something.
    pub transient: bool,
    /// In words, with the file's path.
    pub reason: String,
}

impl Config {
    /// Reads a configuration file.
    ///
    /// # Errors
    ///
    /// What keeps the file from being read, and whether that may pass; what is wrong with its text.
    pub fn load(path: &Path) -> Result<Config, LoadError> {
        let with_path = |reason: String| format!("{}: {reason}", path.display());
        let text = std::fs::read_to_string(path)
            .map_err(|e| LoadError { transient: is_passing(&e), reason: with_path(e.to_string()) })?;
        Config::parse(&text).map_err(|e| LoadError { transient: false, reason: with_path(e.to_string()) })
    }

    /// Reads a configuration's text.
    pub fn parse(text: &str) -> Result<Config, String> {
        let (mut unknown_keys, mut unused_keys) = (Vec::new(), Vec::new());
        let mut json = serde_json::Deserializer::from_str(text);
        let mut path_tracker = serde_path_to_error::Track::new();
        let parsed: Result<File, _> = serde_ignored::deserialize(
            serde_path_to_error::Deserializer::new(&mut json, &mut path_tracker),
            // Where there may be a value or none, its place has a step of its own.
            |path| unknown_keys.push(path.to_string().replace(".?", "")),
        );
        let file = parsed.map_err(|error| match path_tracker.path().to_string() {
            // The whole file has no place.
            key if key == "." || key == "?" => error.to_string(),
            key => format!("{key}: {error}"),
        })?;
        // A host's machine type is discovery's word, of which nothing here makes use.
        unknown_keys.retain(|key| !(key.starts_with("known.hosts.") && key.ends_with(".class")));
        json.end().map_err(|error| error.to_string())?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| format!("seed: {e}"))?;
        let (settings, classes, tenants) =
            nettleworks_settings::read_reporting_unused(&file.settings, |key| {
                unused_keys.push(format!("settings.{key}"))
            })
            .map_err(|e| format!("settings.{e}"))?;
        unused_keys.retain(|key| !CONNECTION_KEYS.contains(&key.as_str()));
        let connection_limits =
            ConnectionSettings::deserialize(&file.settings).map_err(|e| format!("settings: {e}"))?.limits;
        if file.limits.sockets < 2 * SPARE_DESCRIPTORS {
            return Err(format!("limits: {} sockets are too few", file.limits.sockets));
        }
        Ok(Config {
            listen: file.listen,
            discovery: file.discovery,
            seed,
            max_descriptors: file.limits.sockets,
            cached_list: file.known,
            settings,
            classes,
            tenants,
            connect_timeout: Duration::from_micros(connection_limits.connect_timeout_us),
            conn_idle: Duration::from_micros(connection_limits.conn_idle_us),
            max_calls: file.nettleworks.calls,
            extras: Extras::default(),
            quota: Quota::default(),
            unknown_keys,
            unused_keys,
        })
    }

    /// What a running proxy takes over from a new configuration. The rest is for its whole life; whether the two
    /// differ there comes back too.
    pub fn reloaded(&self, new: Config) -> (Config, bool) {
        let Config { discovery, max_descriptors, connect_timeout, conn_idle, .. } = new;
        // What a station is told may change; which there are is for the whole life.
        let (extras, extras_differ) = self.extras.renewed(new.extras);
        let current = (self.listen, &self.settings, &self.classes, &self.tenants);
        let differs = extras_differ || current != (new.listen, &new.settings, &new.classes, &new.tenants);
        (Config { discovery, max_descriptors, connect_timeout, conn_idle, extras, ..self.clone() }, differs)
    }

    /// Most connections to hosts: clients hold a third of the descriptors at most for requests, and each request
    /// has one connection to a host.
    pub fn connections_to_hosts(&self) -> usize {
        (self.max_descriptors - SPARE_DESCRIPTORS) * 2 / 5
    }

    /// Most connections to clients: the rest, as some clients connect and ask for nothing.
    pub fn connections_to_clients(&self) -> usize {
        self.max_descriptors - SPARE_DESCRIPTORS - self.connections_to_hosts()
    }

    /// Connections to clients beyond which idle ones are dear: half of what clients hold at most for requests.
    pub fn client_pressure_threshold(&self) -> usize {
        self.max_descriptors / 6
    }
}
