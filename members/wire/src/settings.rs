//! Settings of a member, read from the members file.

use crate::codec::{Codec, MAX_OVERHEAD_BYTES};
use nettleworks_members::{Config, Metadata, Name};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Maximum size of a key file in bytes.
const MAX_KEY_BYTES: u64 = 4_096;
/// Maximum number of seeds.
const MAX_SEEDS: usize = 64;

/// Settings of this process as a member. JSON; `docs/operating-members.md` explains every key.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this process among the members; the same at each start.
    pub name: String,
    /// Address of the UDP socket. Port 0 takes any free port, for tests.
    pub listen: SocketAddr,
    /// Address that the other members send to, if it is not `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Members asked to let this process join, at the start and while it is alone. Preferably three with
    /// stable addresses; this process itself may be among them.
    pub seeds: Vec<SocketAddr>,
    /// File with the key that all members share: at least 16 bytes, without leading and trailing whitespace.
    pub key_file: PathBuf,
    /// Zone of this process.
    #[serde(default)]
    pub zone: String,
    /// Region of this process.
    #[serde(default)]
    pub region: String,
    /// Role of this process in the cluster.
    #[serde(default)]
    pub role: String,
    /// Relative capacity in percent: 100 is that of a usual member.
    #[serde(default = "usual")]
    pub capacity: u16,
    /// Path of the operators' socket, if there is to be one.
    #[serde(default)]
    pub socket: Option<PathBuf>,
    /// Protocol period in milliseconds: the interval between probes. All other intervals scale with it.
    #[serde(default = "period")]
    pub period_ms: u64,
    /// Maximum number of known members, including those that have failed or left.
    #[serde(default = "most")]
    pub most: usize,
    /// Maximum number of datagrams sent per second, and in a burst.
    #[serde(default = "sends")]
    pub sends_a_second: u32,
    /// Maximum number of datagrams received per second, and in a burst.
    #[serde(default = "hears")]
    pub hears_a_second: u32,
}

/// Default of `capacity`.
fn usual() -> u16 {
    100
}

/// Default of `period_ms`.
fn period() -> u64 {
    1_000
}

/// Default of `most`.
fn most() -> usize {
    Config::default().max_members
}

/// Default of `sends_a_second`.
fn sends() -> u32 {
    400
}

/// Default of `hears_a_second`.
fn hears() -> u32 {
    2_000
}

impl Settings {
    /// Reads a file. Relative paths in it are relative to its folder.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or has an invalid value; the error names its key.
    pub fn load(path: &Path) -> Result<Settings, String> {
        let with_path = |error: String| format!("{}: {error}", path.display());
        let text = std::fs::read_to_string(path).map_err(|error| with_path(error.to_string()))?;
        let mut settings = Settings::parse(&text).map_err(with_path)?;
        let folder = path.parent().unwrap_or(Path::new(""));
        settings.key_file = folder.join(&settings.key_file);
        settings.socket = settings.socket.map(|socket| folder.join(socket));
        Ok(settings)
    }

    /// Parses the text of a file.
    ///
    /// # Errors
    ///
    /// The text has an invalid value; the error names its key.
    pub fn parse(text: &str) -> Result<Settings, String> {
        let mut json = serde_json::Deserializer::from_str(text);
        let settings: Settings =
            serde_path_to_error::deserialize(&mut json).map_err(|error| match error.path().to_string() {
                key if key == "." => error.into_inner().to_string(),
                key => format!("{key}: {}", error.into_inner()),
            })?;
        json.end().map_err(|error| error.to_string())?;
        Name::new(&settings.name).map_err(|error| format!("name: {error}"))?;
        if settings.seeds.len() > MAX_SEEDS {
            return Err(format!("seeds: at most {MAX_SEEDS}"));
        }
        if settings.listen.ip().is_unspecified() && settings.advertise.is_none() {
            return Err("advertise: required when listen is an unspecified address".to_owned());
        }
        if settings.advertise.is_some_and(|address| address.ip().is_unspecified() || address.port() == 0) {
            return Err("advertise: must be an address and port that others can reach".to_owned());
        }
        for (name, rate) in [("sends", settings.sends_a_second), ("hears", settings.hears_a_second)] {
            if !(10..=1_000_000).contains(&rate) {
                return Err(format!("{name}_a_second: 10 to 1000000"));
            }
        }
        if !settings.metadata(settings.listen, "").is_valid() {
            return Err("zone, region, role: at most 24 bytes each, without control characters".to_owned());
        }
        settings.config()?;
        Ok(settings)
    }

    /// Configuration of the core.
    ///
    /// # Errors
    ///
    /// The period or the maximum number of members is out of range.
    pub fn config(&self) -> Result<Config, String> {
        let defaults = Config::default();
        let scaled = |interval: u64| interval.saturating_mul(self.period_ms) / 1_000;
        let config = Config {
            period: scaled(defaults.period),
            timeout: scaled(defaults.timeout),
            gossip_every: scaled(defaults.gossip_every),
            reach_every: scaled(defaults.reach_every),
            join_every: scaled(defaults.join_every),
            max_members: self.most,
            // The largest datagram that Ethernet does not fragment, less the overhead of the format.
            max_message_bytes: 1_400 - MAX_OVERHEAD_BYTES,
            ..defaults
        };
        if !(10..=60_000).contains(&self.period_ms) {
            return Err("period_ms: 10 to 60000".to_owned());
        }
        config.check()?;
        Ok(config)
    }

    /// Metadata of this process.
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

    /// Creates a codec with the key from the key file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or holds no valid key.
    pub fn codec(&self) -> Result<Codec, String> {
        let with_path = |error: String| format!("{}: {error}", self.key_file.display());
        let size = std::fs::metadata(&self.key_file).map_err(|error| with_path(error.to_string()))?.len();
        if size > MAX_KEY_BYTES {
            return Err(with_path(format!("a key must have at most {MAX_KEY_BYTES} bytes")));
        }
        let key = std::fs::read(&self.key_file).map_err(|error| with_path(error.to_string()))?;
        Codec::new(key.trim_ascii()).map_err(with_path)
    }
}
