//! A fleet's configuration, from a file or from code. Both are validated as the daemon's configuration is: settings
//! made in code are first converted to the daemon's format.

use crate::error::StartError;
use crate::fleet::Fleet;
use nettleworks_cores::shared::MAX_SHARDS;
use nettleworks_engine::config::Config;
use nettleworks_keys_station::WithKeys;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Whether a call of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClassKind {
    /// It may run any number of times: a GET.
    Free,
    /// It may be repeated within one pod of hosts and within this time since the first attempt, as the pod drops the
    /// duplicates: a POST with an `Idempotency-Key`.
    Keyed {
        /// How long pods drop duplicates.
        window: Duration,
    },
    /// It must not be repeated: a POST without a key.
    Unsafe,
}

/// Builds a [`Fleet`].
pub struct Builder {
    config: Result<Value, StartError>,
    max_calls: Option<usize>,
    keys: Option<String>,
    engines: usize,
    log: Box<dyn Fn(&str) + Send>,
}

impl Default for Builder {
    /// The configuration of the only proxy of a fleet, which requests the server list from discovery. It has no
    /// classes and no log.
    fn default() -> Self {
        let config = json!({
            "listen": "127.0.0.1:0", "seed": "1", "limits": {"sockets": 1_024},
            "settings": {
                "balancers": 1, "discovery": "ask", "classes": [],
                "limits": {"cancel": true, "max_attempts": 3, "second_copies": false, "max_retry_after_us": 1_000_000},
                "invariants": {"cold_from": 0.3, "cold_us": 10_000_000, "ask_every_us": 5_000_000}
            }
        });
        Builder { config: Ok(config), max_calls: None, keys: None, engines: 1, log: Box::new(|_| ()) }
    }
}

impl Builder {
    /// Takes the configuration from a file in the daemon's format (`docs/configuration.md`). Its `listen` is ignored,
    /// as [`Fleet::serve`] is given a listener. A file that cannot be read is an error at once, an invalid one at
    /// [`Builder::start`].
    pub fn file(mut self, path: impl AsRef<Path>) -> Result<Self, StartError> {
        let path = path.as_ref();
        let invalid = |error: String| StartError::Configuration(format!("{}: {error}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|error| invalid(error.to_string()))?;
        self.config = serde_json::from_str(&text).map_err(|error| invalid(error.to_string()));
        Ok(self)
    }

    /// Takes the configuration from text in the daemon's format.
    pub fn text(mut self, text: &str) -> Self {
        self.config = serde_json::from_str(text).map_err(|e| StartError::Configuration(e.to_string()));
        self
    }

    /// Sets the value at this path of keys, and adds the objects that are missing on it.
    fn set(mut self, path: &[&str], value: Value) -> Self {
        if let Ok(config) = &mut self.config {
            let mut target = config;
            for key in path {
                if target.is_null() {
                    *target = json!({});
                }
                // The validation will report an invalid file: nothing can be set in a value that is no object.
                let Some(object) = target.as_object_mut() else { return self };
                target = object.entry(*key).or_insert(Value::Null);
            }
            *target = value;
        }
        self
    }

    /// The address of discovery.
    pub fn discovery(self, address: SocketAddr) -> Self {
        self.set(&["discovery"], address.to_string().into())
    }

    /// The seed of all random choices; the default is 1. The proxies of a fleet should have different seeds.
    pub fn seed(self, seed: u64) -> Self {
        self.set(&["seed"], format!("{seed:x}").into())
    }

    /// The limit of file descriptors of this fleet, at least 64. Those of other fleets in the process do not count.
    pub fn sockets(self, max: usize) -> Self {
        self.set(&["limits", "sockets"], max.into())
    }

    /// The number of proxies that send to these hosts, including this one, and the index of this one, from 0.
    pub fn proxies(self, count: u32, index: u32) -> Self {
        self.set(&["settings", "balancers"], count.into()).set(&["settings", "me"], index.into())
    }

    /// The maximum number of attempts of a call.
    pub fn attempts(self, max: u32) -> Self {
        self.set(&["settings", "limits", "max_attempts"], max.into())
    }

    /// Adds a class: calls should be answered within `objective`, and must be answered within `deadline`.
    pub fn class(mut self, name: &str, kind: ClassKind, objective: Duration, deadline: Duration) -> Self {
        let (idempotency, window) = match kind {
            ClassKind::Free => ("free", Duration::ZERO),
            ClassKind::Keyed { window } => ("guarded", window),
            ClassKind::Unsafe => ("single_shot", Duration::ZERO),
        };
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let class = json!({"name": name, "objective_us": micros(objective), "deadline_us": micros(deadline), "worth": 1.0,
                           "idempotency": idempotency, "dedup_scope": "cell", "repeat_window_us": micros(window)});
        if let Ok(config) = &mut self.config {
            if let Some(classes) = config["settings"]["classes"].as_array_mut() {
                classes.push(class);
            }
        }
        self
    }

    /// Enables the store of idempotency keys with this configuration (`docs/configuration.md`).
    pub fn keys(mut self, text: &str) -> Self {
        self.keys = Some(text.to_owned());
        self
    }

    /// The limit of open calls; the default is a third of the file descriptors, the share that clients of the daemon
    /// have. A call beyond it is refused at once, and a [`tower_service::Service`] is not ready.
    pub fn calls(mut self, max: usize) -> Self {
        self.max_calls = Some(max);
        self
    }

    /// The number of engines that serve as one, each on its own thread (`docs/operating-cores.md`); the default is 1.
    pub fn cores(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    /// Sets the function that receives the lines of this fleet's log. It is called on the fleet's threads, for one
    /// line at a time, and must not block.
    pub fn log(mut self, log: impl Fn(&str) + Send + 'static) -> Self {
        self.log = Box::new(log);
        self
    }

    /// Starts the engines on their threads. They request the server list at once; [`Fleet::ready`] waits for it.
    ///
    /// # Errors
    /// The daemon would reject the configuration, or a thread could not be started.
    pub fn start(self) -> Result<Fleet, StartError> {
        let text = self.config?.to_string();
        let mut config = Config::parse(&text).map_err(StartError::Configuration)?;
        if let Some(keys) = &self.keys {
            config = config.with_keys(keys).map_err(StartError::Configuration)?;
        }
        let max_calls = self.max_calls.or(config.max_calls).unwrap_or(config.max_descriptors / 3);
        if !(1..=MAX_SHARDS).contains(&self.engines) {
            return Err(StartError::Configuration(format!("{} cores: 1 to {MAX_SHARDS}", self.engines)));
        }
        Fleet::start(config, max_calls, self.engines, self.log)
    }
}
