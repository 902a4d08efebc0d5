//! What the file of members says.

use crate::codec::{Codec, MAX_OVERHEAD_BYTES};
use nettleworks_members::{Config, Metadata, Name};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Most bytes of a key's file.
const MAX_KEY_BYTES: u64 = 4_096;
/// Most seeds.
const MAX_SEEDS: usize = 64;

/// A process's part among the others. JSON; `docs/operating-members.md` explains every key.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This process's name among the others, the same at each start.
    pub name: String,
    /// Where it hears. Port 0 is any that is free: for tests.
    pub listen: SocketAddr,
    /// Where the others reach it, if not at `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Whom it asks to be let in, at the start and when it is alone. Best three that rarely move; itself may be among them.
    pub seeds: Vec<SocketAddr>,
    /// The file that holds the key that all share: 16 bytes at the least, spaces and newlines at its ends not counted.
    pub key_file: PathBuf,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its region.
    #[serde(default)]
    pub region: String,
    /// What it does among the others.
    #[serde(default)]
    pub role: String,
    /// How much it bears, in hundredths of a usual one.
    #[serde(default = "default_capacity")]
    pub capacity: u16,
    /// The operators' socket, where there is to be one.
    #[serde(default)]
    pub socket: Option<PathBuf>,
    /// How often one of the others is asked whether it is there; all other paces follow.
    #[serde(default = "default_period_ms")]
    pub period_ms: u64,
    /// Most members that are known, those that have failed or left among them.
    #[serde(default = "default_max_members")]
    pub most: usize,
    /// Most datagrams that are sent a second, and at once.
    #[serde(default = "default_sends_per_second")]
    pub sends_a_second: u32,
    /// Most that are heard a second, and at once.
    #[serde(default = "default_receives_per_second")]
    pub hears_a_second: u32,
}

fn default_capacity() -> u16 {
    100
}

fn default_period_ms() -> u64 {
    1_000
}

fn default_max_members() -> usize {
    Config::default().max_members
}

fn default_sends_per_second() -> u32 {
    400
}

fn default_receives_per_second() -> u32 {
    2_000
}

impl Settings {
    /// Reads a file. A path in it that is not whole counts from the folder that the file is in.
    ///
    /// # Errors
    ///
    /// It can't be read, or something in it is no good; the place is named.
    pub fn load(path: &Path) -> Result<Settings, String> {
        let bad = |error: String| format!("{}: {error}", path.display());
        let text = std::fs::read_to_string(path).map_err(|error| bad(error.to_string()))?;
        let mut settings = Settings::parse(&text).map_err(bad)?;
        let folder = path.parent().unwrap_or(Path::new(""));
        settings.key_file = folder.join(&settings.key_file);
        settings.socket = settings.socket.map(|socket| folder.join(socket));
        Ok(settings)
    }

    /// Reads a text.
    ///
    /// # Errors
    ///
    /// Something in it is no good; the place is named.
    pub fn parse(text: &str) -> Result<Settings, String> {
        let mut json = serde_json::Deserializer::from_str(text);
        let settings: Settings =
            serde_path_to_error::deserialize(&mut json).map_err(|error| match error.path().to_string() {
                place if place == "." => error.into_inner().to_string(),
                place => format!("{place}: {}", error.into_inner()),
            })?;
        json.end().map_err(|error| error.to_string())?;
        Name::new(&settings.name).map_err(|error| format!("name: {error}"))?;
        if settings.seeds.len() > MAX_SEEDS {
            return Err(format!("seeds: {MAX_SEEDS} at the most"));
        }
        if settings.listen.ip().is_unspecified() && settings.advertise.is_none() {
            return Err("advertise: needed where listen is every address".to_owned());
        }
        if settings.advertise.is_some_and(|at| at.ip().is_unspecified() || at.port() == 0) {
            return Err("advertise: an address that others can reach".to_owned());
        }
        for (name, a_second) in [("sends", settings.sends_a_second), ("hears", settings.hears_a_second)] {
            if !(10..=1_000_000).contains(&a_second) {
                return Err(format!("{name}_a_second: 10 to 1000000"));
            }
        }
        if !settings.metadata(settings.listen, "").is_valid() {
            return Err("zone, region, role: 24 bytes at the most, no control characters".to_owned());
        }
        settings.config()?;
        Ok(settings)
    }

    /// Bounds and paces of the core.
    ///
    /// # Errors
    ///
    /// The period or the bound is no good.
    pub fn config(&self) -> Result<Config, String> {
        let defaults = Config::default();
        let scaled = |pace: u64| pace.saturating_mul(self.period_ms) / 1_000;
        let config = Config {
            period: scaled(defaults.period),
            timeout: scaled(defaults.timeout),
            gossip_every: scaled(defaults.gossip_every),
            reach_every: scaled(defaults.reach_every),
            join_every: scaled(defaults.join_every),
            max_members: self.most,
            // A datagram that is not cut on an Ethernet, with room for its own head.
            max_message_bytes: 1_400 - MAX_OVERHEAD_BYTES,
            ..defaults
        };
        if !(10..=60_000).contains(&self.period_ms) {
            return Err("period_ms: 10 to 60000".to_owned());
        }
        config.check()?;
        Ok(config)
    }

    /// What this process says of itself.
    pub fn metadata(&self, address: SocketAddr, version: &str) -> Metadata {
        Metadata {
            zone: self.zone.clone(),
            region: self.region.clone(),
            role: self.role.clone(),
            capacity: self.capacity,
            version: version.to_owned(),
            ..Metadata::new(address)
        }
    }

    /// Makes and reads datagrams under the key of its file.
    ///
    /// # Errors
    ///
    /// The file can't be read, or holds no good key.
    pub fn codec(&self) -> Result<Codec, String> {
        let bad = |error: String| format!("{}: {error}", self.key_file.display());
        let size = std::fs::metadata(&self.key_file).map_err(|error| bad(error.to_string()))?.len();
        if size > MAX_KEY_BYTES {
            return Err(bad(format!("a key has {MAX_KEY_BYTES} bytes at the most")));
        }
        let key = std::fs::read(&self.key_file).map_err(|error| bad(error.to_string()))?;
        Codec::new(key.trim_ascii()).map_err(bad)
    }
}
