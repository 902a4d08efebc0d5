//! What the proxy is told at start: the file that `ROUTER_CONFIG` names.

use crate::extensions::Extensions;
use crate::list::List;
use crate::quota::Quota;
use crate::transient::is_transient;
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
    /// Most calls that an application may have open through the library; `None`: a third of the descriptors.
    pub calls: Option<usize>,
    /// What stations are told; each reads a file of its own.
    pub extensions: Extensions,
    /// Connections that are open. Engines of one process count together.
    pub quota: Quota,
    /// Places of the keys that are not known, outside the settings. They may be a later platform's, or slips.
    pub unknown: Vec<String>,
    /// Places of the settings that are not used here. The platform tells more than it takes.
    pub unused: Vec<String>,
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
    nettleworks: Own,
    #[serde(default, rename = "name")]
    _name: Told,
    #[serde(default, rename = "peer_listen")]
    _peer_listen: Told,
    #[serde(default, rename = "peers")]
    _peers: Told,
    #[serde(default, rename = "peers_all")]
    _peers_all: Told,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    #[serde(rename = "cores")]
    _cores: Told,
    #[serde(rename = "memory_mb")]
    _memory_mb: Told,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1_024, _cores: Told, _memory_mb: Told }
    }
}

/// What is told and not used: read, so that it is known, and dropped.
#[derive(Default)]
struct Told;

impl<'de> Deserialize<'de> for Told {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Told, D::Error> {
        Value::deserialize(from).map(|_| Told)
    }
}

/// Keys of our own. The platform sets none of them, so one that is not known is an error.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Own {
    calls: Option<usize>,
}

/// The part of the settings that is about connections; the rest is the decision module's.
#[derive(Deserialize)]
struct Site {
    #[serde(default)]
    limits: Connections,
}

/// Their places among the settings.
const SITE: [&str; 2] = ["settings.limits.connect_timeout_us", "settings.limits.conn_idle_us"];

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

/// Why a configuration file was not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadError {
    /// Whether it may be read a moment later: the system is short of something.
    pub passing: bool,
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
        let at = |reason: String| format!("{}: {reason}", path.display());
        let text = std::fs::read_to_string(path)
            .map_err(|e| LoadError { passing: is_transient(&e), reason: at(e.to_string()) })?;
        Config::parse(&text).map_err(|e| LoadError { passing: false, reason: at(e.to_string()) })
    }

    /// Reads a configuration's text.
    pub fn parse(text: &str) -> Result<Config, String> {
        let (mut unknown, mut unused) = (Vec::new(), Vec::new());
        let mut json = serde_json::Deserializer::from_str(text);
        let mut track = serde_path_to_error::Track::new();
        let read: Result<File, _> = serde_ignored::deserialize(
            serde_path_to_error::Deserializer::new(&mut json, &mut track),
            // Where there may be a value or none, its place has a step of its own.
            |path| unknown.push(path.to_string().replace(".?", "")),
        );
        let file = read.map_err(|error| match track.path().to_string() {
            // The whole file has no place.
            place if place == "." || place == "?" => error.to_string(),
            place => format!("{place}: {error}"),
        })?;
        // A host's machine type is discovery's word, of which nothing here makes use.
        unknown.retain(|place| !(place.starts_with("known.hosts.") && place.ends_with(".class")));
        json.end().map_err(|error| error.to_string())?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| format!("seed: {e}"))?;
        let (settings, classes, tenants) = nettleworks_settings::read_noting(&file.settings, |place| {
            unused.push(format!("settings.{place}"))
        })
        .map_err(|e| format!("settings.{e}"))?;
        unused.retain(|place| !SITE.contains(&place.as_str()));
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
            calls: file.nettleworks.calls,
            extensions: Extensions::default(),
            quota: Quota::default(),
            unknown,
            unused,
        })
    }

    /// What a running proxy takes over from a new configuration. The rest is for its whole life; whether the two
    /// differ there comes back too.
    pub fn renewed(&self, new: Config) -> (Config, bool) {
        let Config { discovery, sockets, connect_timeout, conn_idle, .. } = new;
        // What a station is told may change; which there are is for the whole life.
        let (extensions, more) = self.extensions.merged_on_reload(new.extensions);
        let old = (self.listen, &self.settings, &self.classes, &self.tenants);
        let differs = more || old != (new.listen, &new.settings, &new.classes, &new.tenants);
        (Config { discovery, sockets, connect_timeout, conn_idle, extensions, ..self.clone() }, differs)
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
