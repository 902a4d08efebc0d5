//! What the station of keys is told, in a file of its own.

use nettleworks_engine::config::Config;
use nettleworks_engine::extensions::Extension;
use nettleworks_keys::{Bounds, LingerBounds, Retention};
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
pub struct Keys {
    /// What it may hold.
    pub bounds: Bounds,
    /// How many calls may go on when nobody waits for them.
    pub lingering: LingerBounds,
    /// For how long at most, by class; zero: none of it does. No call outlives its class's time.
    pub linger: Vec<Duration>,
    /// Whether hosts get the keys of a class that is unsafe, by class.
    pub forward: Vec<bool>,
    /// Where an operator looks at keys and settles them; `None`: nowhere.
    pub socket: Option<PathBuf>,
}

impl Keys {
    /// Reads the store's configuration, a JSON object, for a site with these classes.
    ///
    /// # Errors
    /// What is wrong, and its place.
    pub fn parse(text: &str, classes: &[String]) -> Result<Keys, String> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut json).map_err(|error| error.to_string())?;
        json.end().map_err(|error| error.to_string())?;
        if let Some(name) = file.classes.keys().find(|&name| !classes.contains(name)) {
            return Err(format!("classes.{name}: no such class"));
        }
        let usual = Bounds::default();
        let mut bounds = Bounds {
            entries: file.entries.unwrap_or(usual.entries),
            entries_a_tenant: file.entries_a_tenant.unwrap_or(usual.entries_a_tenant),
            answer_bytes: file.answer_bytes.unwrap_or(usual.answer_bytes),
            waiters: file.waiters.unwrap_or(usual.waiters),
            key_bytes: file.key_bytes.unwrap_or(usual.key_bytes),
            retention: Vec::new(),
        };
        for (name, value) in [
            ("entries", bounds.entries),
            ("entries_a_tenant", bounds.entries_a_tenant),
            ("waiters", bounds.waiters),
            ("key_bytes", bounds.key_bytes),
        ] {
            if value == 0 {
                return Err(format!("{name}: must be above 0"));
            }
        }
        let usual = LingerBounds::default();
        let lingering = LingerBounds {
            all: file.lingering.unwrap_or(usual.all),
            a_host: file.lingering_a_host.unwrap_or(usual.a_host),
            a_tenant: file.lingering_a_tenant.unwrap_or(usual.a_tenant),
        };
        let (mut forward, mut linger) = (Vec::new(), Vec::new());
        for name in classes {
            let class = file.classes.get(name).cloned().unwrap_or_default();
            let time = |ms: Option<u64>, usual: u64| ms.map_or(usual, |ms| ms.saturating_mul(1_000));
            let usual = Retention::default();
            bounds.retention.push(Retention {
                answered: time(class.answered_ms, usual.answered),
                unsure: time(class.unsure_ms, usual.unsure),
            });
            forward.push(class.forward);
            linger.push(class.linger_ms.map_or(Duration::MAX, Duration::from_millis));
        }
        Ok(Keys { bounds, lingering, linger, forward, socket: file.socket })
    }
}

impl Keys {
    /// The longest time for which a key is remembered.
    pub fn longest(&self) -> Duration {
        let times = self.bounds.retention.iter().map(|retention| retention.answered.max(retention.unsure));
        Duration::from_micros(times.max().unwrap_or_default())
    }
}

impl Extension for Keys {}

/// A configuration with a store of keys.
pub trait WithKeys: Sized {
    /// The same with a store of keys, as this text (`docs/configuration.md`) says.
    ///
    /// # Errors
    /// What is wrong with it, and its place.
    fn with_keys(self, text: &str) -> Result<Self, String>;

    /// What it says of keys; `None`: there is no store.
    fn keys(&self) -> Option<&Keys>;
}

impl WithKeys for Config {
    fn with_keys(mut self, text: &str) -> Result<Config, String> {
        let keys = Keys::parse(text, &self.classes).map_err(|error| format!("keys: {error}"))?;
        self.extensions.set(keys);
        Ok(self)
    }

    fn keys(&self) -> Option<&Keys> {
        self.extensions.get()
    }
}
