//! What the station of keys is told, in a file of its own.

use nettleworks_engine::config::Config;
use nettleworks_engine::extras::Extra;
use nettleworks_keys::{Bounds, DetachedBounds, Retention};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// The store's configuration, a file of its own.
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

/// What the station of keys is told.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyStoreConfig {
    /// What it may hold.
    pub bounds: Bounds,
    /// How many calls may go on when nobody waits for them.
    pub detached_bounds: DetachedBounds,
    /// For how long at most, by class; zero: none of it does. No call outlives its class's time.
    pub max_detached_time: Vec<Duration>,
    /// Whether hosts get the keys of a class that is unsafe, by class.
    pub forward: Vec<bool>,
    /// Where an operator looks at keys and settles them; `None`: nowhere.
    pub socket: Option<PathBuf>,
}

impl KeyStoreConfig {
    /// Reads the store's configuration, a JSON object, for a site with these classes.
    ///
    /// # Errors
    /// What is wrong, and its place.
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

impl Extra for KeyStoreConfig {}

/// A configuration with a store of keys.
pub trait WithKeys: Sized {
    /// The same with a store of keys, as this text (`docs/configuration.md`) says.
    ///
    /// # Errors
    /// What is wrong with it, and its place.
    fn with_keys(self, text: &str) -> Result<Self, String>;

    /// What it says of keys; `None`: there is no store.
    fn keys(&self) -> Option<&KeyStoreConfig>;
}

impl WithKeys for Config {
    fn with_keys(mut self, text: &str) -> Result<Config, String> {
        let keys = KeyStoreConfig::parse(text, &self.classes).map_err(|error| format!("keys: {error}"))?;
        self.extras.set(keys);
        Ok(self)
    }

    fn keys(&self) -> Option<&KeyStoreConfig> {
        self.extras.get()
    }
}
