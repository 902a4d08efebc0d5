//! The configuration of the proxy, read from the file that `ROUTER_CONFIG` names.

use crate::abandoned_ids::AbandonedIds;
use crate::extensions::Extensions;
use crate::list::List;
use crate::memory::{MemoryBudget, MemoryPlan};
use crate::quota::Quota;
use crate::transient::is_transient;
use nettleworks_policy::Settings;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// File descriptors reserved for everything except connections to clients and hosts: standard streams, event queue,
/// listener, discovery, and a margin.
const SPARE_DESCRIPTORS: usize = 32;

/// Memory limit of a process whose configuration states none, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 192.0;

/// The validated configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The address at which the proxy accepts clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random number generator; a new one with each start.
    pub seed: u64,
    /// Limit of file descriptors of the process.
    pub max_descriptors: usize,
    /// How the memory of the process is divided.
    pub memory_plan: MemoryPlan,
    /// What large requests and responses may hold. The engines of one process share it.
    pub memory: MemoryBudget,
    /// The number of engines that share the process.
    pub engines: usize,
    /// The last server list that this proxy had before it was restarted; it may be outdated.
    pub cached_list: Option<List>,
    /// The settings of the decision module.
    pub settings: Settings,
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// Timeout for establishing a connection to a host.
    pub connect_timeout: Duration,
    /// How long hosts keep an idle connection open.
    pub conn_idle: Duration,
    /// Limit of concurrent calls that an application makes through the library; `None` means a third of the file
    /// descriptors.
    pub max_calls: Option<usize>,
    /// Configurations of the interceptors; each interceptor reads a file of its own.
    pub extensions: Extensions,
    /// Counts open connections. The engines of one process share it.
    pub quota: Quota,
    /// The ids of calls whose clients have left. The engines of one process share them.
    pub abandoned_ids: AbandonedIds,
    /// Paths of unknown keys outside `settings`. They may be typing errors or belong to a later version of the platform.
    pub unknown_keys: Vec<String>,
    /// Paths of keys in `settings` that are not used. The platform provides more settings than the proxy needs.
    pub unused_keys: Vec<String>,
}

/// The configuration file. Keys that the platform sets but the proxy does not use are listed too, so that any other
/// key can be reported as unknown.
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

/// Resource limits of the process.
#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    #[serde(rename = "cores")]
    _cores: IgnoredValue,
    memory_mb: Option<f64>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1_024, _cores: IgnoredValue, memory_mb: None }
    }
}

/// The value of a known but unused key: accepted and discarded.
#[derive(Default)]
struct IgnoredValue;

impl<'de> Deserialize<'de> for IgnoredValue {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<IgnoredValue, D::Error> {
        Value::deserialize(from).map(|_| IgnoredValue)
    }
}

/// Keys specific to nettleworks. The platform sets none of them, so an unknown key is an error.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct NettleworksOptions {
    /// See [`Config::max_calls`].
    calls: Option<usize>,
}

/// The part of `settings` that concerns connections; the decision module reads the rest.
#[derive(Deserialize)]
struct ConnectionSettings {
    #[serde(default)]
    limits: ConnectionLimits,
}

/// Paths of the keys that [`ConnectionSettings`] reads.
const CONNECTION_KEYS: [&str; 2] = ["settings.limits.connect_timeout_us", "settings.limits.conn_idle_us"];

/// Timeouts of connections to hosts, in microseconds.
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

/// Why a configuration file could not be loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadError {
    /// Whether a retry may succeed, because the system is temporarily short of a resource.
    pub transient: bool,
    /// The error message, with the path of the file.
    pub reason: String,
}

impl Config {
    /// Loads a configuration file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or its content is invalid.
    pub fn load(path: &Path) -> Result<Config, LoadError> {
        let with_path = |reason: String| format!("{}: {reason}", path.display());
        let text = std::fs::read_to_string(path)
            .map_err(|e| LoadError { transient: is_transient(&e), reason: with_path(e.to_string()) })?;
        Config::parse(&text).map_err(|e| LoadError { transient: false, reason: with_path(e.to_string()) })
    }

    /// Parses the text of a configuration file. An error is a message that names the path of the key.
    pub fn parse(text: &str) -> Result<Config, String> {
        let (mut unknown_keys, mut unused_keys) = (Vec::new(), Vec::new());
        let mut json = serde_json::Deserializer::from_str(text);
        let mut path_tracker = serde_path_to_error::Track::new();
        let parsed: Result<File, _> = serde_ignored::deserialize(
            serde_path_to_error::Deserializer::new(&mut json, &mut path_tracker),
            // serde_ignored adds a `?` step to a path for each `Option`.
            |path| unknown_keys.push(path.to_string().replace(".?", "")),
        );
        let file = parsed.map_err(|error| match path_tracker.path().to_string() {
            // An error of the whole file has no path.
            key if key == "." || key == "?" => error.to_string(),
            key => format!("{key}: {error}"),
        })?;
        // Discovery gives each host a machine type (`class`), which the proxy does not use.
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
            return Err(format!("limits.sockets: {} is too small", file.limits.sockets));
        }
        let memory_mb = file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        let memory_plan = MemoryPlan::for_megabytes(memory_mb)
            .ok_or_else(|| format!("limits.memory_mb: {memory_mb} is too small"))?;
        Ok(Config {
            listen: file.listen,
            discovery: file.discovery,
            seed,
            max_descriptors: file.limits.sockets,
            memory_plan,
            memory: MemoryBudget::new(&memory_plan),
            engines: 1,
            cached_list: file.known,
            settings,
            classes,
            tenants,
            connect_timeout: Duration::from_micros(connection_limits.connect_timeout_us),
            conn_idle: Duration::from_micros(connection_limits.conn_idle_us),
            max_calls: file.nettleworks.calls,
            extensions: Extensions::default(),
            quota: Quota::default(),
            abandoned_ids: AbandonedIds::default(),
            unknown_keys,
            unused_keys,
        })
    }

    /// The configuration of a process with this number of engines, which share its memory.
    pub fn for_engines(&self, engines: usize) -> Config {
        let memory_plan = self.memory_plan.for_engines(engines);
        Config { memory_plan, memory: MemoryBudget::new(&memory_plan), engines, ..self.clone() }
    }

    /// The configuration of a running proxy after a reload: only some values are taken from `new`, all others stay
    /// until a restart. Also returns whether `new` differs in a value that is not reloaded.
    pub fn reloaded(&self, new: Config) -> (Config, bool) {
        let Config { discovery, max_descriptors, connect_timeout, conn_idle, .. } = new;
        // The configuration of an interceptor can be reloaded, but the set of interceptors is fixed at start.
        let (extensions, extensions_differ) = self.extensions.merged_on_reload(new.extensions);
        let current = (self.listen, self.memory_plan.limit, &self.settings, &self.classes, &self.tenants);
        let differs = extensions_differ
            || current != (new.listen, new.memory_plan.limit, &new.settings, &new.classes, &new.tenants);
        (
            Config { discovery, max_descriptors, connect_timeout, conn_idle, extensions, ..self.clone() },
            differs,
        )
    }

    /// The limits of this process, for the log.
    pub fn describe_limits(&self) -> String {
        format!(
            "{:.0} MB, {} descriptors, at most {} connections of clients and {} to servers",
            self.memory_plan.limit as f64 / 1e6,
            self.max_descriptors,
            self.connections_to_clients(),
            self.connections_to_hosts()
        )
    }

    /// Limit of connections to hosts. Clients use at most a third of the descriptors for requests in flight, and each
    /// request needs one connection to a host.
    pub fn connections_to_hosts(&self) -> usize {
        self.descriptors_for_hosts().min(self.memory_plan.host_connections)
    }

    /// Limit of connections to clients: all other descriptors, since some clients connect and send no request.
    pub fn connections_to_clients(&self) -> usize {
        self.descriptors_for_clients().min(self.memory_plan.client_connections)
    }

    /// The same for a shutdown that accepts its last connections, each for one response: half as many more fit into the
    /// memory, as the others are about to close.
    pub fn connections_to_clients_at_shutdown(&self) -> usize {
        self.descriptors_for_clients().min(self.memory_plan.client_connections * 3 / 2)
    }

    fn descriptors_for_clients(&self) -> usize {
        self.max_descriptors - SPARE_DESCRIPTORS - self.descriptors_for_hosts()
    }

    /// The share of each engine in the connections to clients.
    pub fn connections_to_clients_of_engine(&self) -> usize {
        self.connections_to_clients().div_ceil(self.engines)
    }

    fn descriptors_for_hosts(&self) -> usize {
        (self.max_descriptors - SPARE_DESCRIPTORS) * 2 / 5
    }

    /// Number of connections to clients above which idle ones should be closed: half of the connections that clients
    /// use at most for requests in flight.
    pub fn client_pressure_threshold(&self) -> usize {
        (self.max_descriptors / 6).min(self.connections_to_clients() / 2)
    }
}
