//! The configuration of the key store, which has a file of its own.

use nettleworks_engine::config::Config;
use nettleworks_engine::extensions::Extension;
use nettleworks_keys::{Bounds, DetachedBounds, Retention};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// The configuration file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
struct File {
    entries: Option<usize>,
    entries_a_tenant: Option<usize>,
    answer_bytes: Option<usize>,
    waiters: Option<usize>,
    key_bytes: Option<usize>,
    lingering: Option<usize>,
    lingering_a_host: Option<usize>,
    lingering_a_tenant: Option<usize>,
    socket: Option<PathBuf>,
    classes: BTreeMap<String, FileClass>,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
struct FileClass {
    answered_ms: Option<u64>,
    unsure_ms: Option<u64>,
    linger_ms: Option<u64>,
    forward: bool,
}

/// The configuration of the key store.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyStoreConfig {
    /// Limits on what the store holds.
    pub bounds: Bounds,
    /// How many calls may be detached: continue although no client waits for them.
    pub detached_bounds: DetachedBounds,
    /// How long a call may be detached at most, by class; zero: calls of the class are not detached. A call never
    /// continues past the deadline of its class.
    pub max_detached_time: Vec<Duration>,
    /// Whether the keys of an unsafe class are forwarded to hosts, by class.
    pub forward: Vec<bool>,
    /// Path of the socket at which operators inspect and settle keys; `None`: there is none.
    pub socket: Option<PathBuf>,
}

impl KeyStoreConfig {
    /// Parses the configuration, a JSON object, for a site with these classes.
    ///
    /// # Errors
    /// What is wrong, and where.
    pub fn parse(text: &str, classes: &[String]) -> Result<KeyStoreConfig, String> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut json).map_err(|error| error.to_string())?;
        json.end().map_err(|error| error.to_string())?;
        if let Some(name) = file.classes.keys().find(|&name| !classes.contains(name)) {
            return Err(format!("classes.{name}: no such class"));
        }
        let default = Bounds::default();
        let mut bounds = Bounds {
            entries: file.entries.unwrap_or(default.entries),
            entries_per_tenant: file.entries_a_tenant.unwrap_or(default.entries_per_tenant),
            answer_bytes: file.answer_bytes.unwrap_or(default.answer_bytes),
            waiters: file.waiters.unwrap_or(default.waiters),
            key_bytes: file.key_bytes.unwrap_or(default.key_bytes),
            retention: Vec::new(),
        };
        for (name, value) in [
            ("entries", bounds.entries),
            ("entries_a_tenant", bounds.entries_per_tenant),
            ("waiters", bounds.waiters),
            ("key_bytes", bounds.key_bytes),
        ] {
            if value == 0 {
                return Err(format!("{name}: must be above 0"));
            }
        }
        let default = DetachedBounds::default();
        let detached_bounds = DetachedBounds {
            total: file.lingering.unwrap_or(default.total),
            per_host: file.lingering_a_host.unwrap_or(default.per_host),
            per_tenant: file.lingering_a_tenant.unwrap_or(default.per_tenant),
        };
        let (mut forward, mut max_detached_time) = (Vec::new(), Vec::new());
        for name in classes {
            let class = file.classes.get(name).cloned().unwrap_or_default();
            let micros = |ms: Option<u64>, default: u64| ms.map_or(default, |ms| ms.saturating_mul(1_000));
            let default = Retention::default();
            bounds.retention.push(Retention {
                answered: micros(class.answered_ms, default.answered),
                unsure: micros(class.unsure_ms, default.unsure),
            });
            forward.push(class.forward);
            max_detached_time.push(class.linger_ms.map_or(Duration::MAX, Duration::from_millis));
        }
        Ok(KeyStoreConfig { bounds, detached_bounds, max_detached_time, forward, socket: file.socket })
    }
}

impl KeyStoreConfig {
    /// The longest time for which a key is remembered.
    pub fn longest_retention(&self) -> Duration {
        let times = self.bounds.retention.iter().map(|retention| retention.answered.max(retention.unsure));
        Duration::from_micros(times.max().unwrap_or_default())
    }
}

impl Extension for KeyStoreConfig {}

/// A configuration with a key store.
pub trait WithKeys: Sized {
    /// Adds a key store with the configuration in this text (`docs/configuration.md`).
    ///
    /// # Errors
    /// What is wrong with it, and where.
    fn with_keys(self, text: &str) -> Result<Self, String>;

    /// The configuration of the key store; `None`: there is no store.
    fn keys(&self) -> Option<&KeyStoreConfig>;
}

impl WithKeys for Config {
    fn with_keys(mut self, text: &str) -> Result<Config, String> {
        let keys = KeyStoreConfig::parse(text, &self.classes).map_err(|error| format!("keys: {error}"))?;
        self.extensions.set(keys);
        Ok(self)
    }

    fn keys(&self) -> Option<&KeyStoreConfig> {
        self.extensions.get()
    }
}
