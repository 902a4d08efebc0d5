//! The configuration files that the command line names.

use crate::member::Member;
use nettleworks_engine::config::{Config, LoadError};
use nettleworks_engine::transient::{is_transient, RETRY_PAUSE};
use nettleworks_keys_station::WithKeys;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The paths of the configuration files.
pub struct ConfigFiles {
    /// The configuration.
    pub config: PathBuf,
    /// The settings of the store of keys.
    pub keys: Option<PathBuf>,
    /// The settings of the cluster membership.
    pub members: Option<PathBuf>,
}

impl ConfigFiles {
    /// Reads the configuration, with the settings of the store of keys.
    ///
    /// # Errors
    ///
    /// The first file that cannot be read or is invalid, and the reason.
    pub fn load(&self) -> Result<Config, LoadError> {
        let config = Config::load(&self.config)?;
        let Some(path) = &self.keys else { return Ok(config) };
        let bad = |passing, reason: String| LoadError {
            transient: passing,
            reason: format!("{}: {reason}", path.display()),
        };
        let text =
            std::fs::read_to_string(path).map_err(|error| bad(is_transient(&error), error.to_string()))?;
        config.with_keys(&text).map_err(|error| bad(false, error))
    }

    /// Reads the configuration, and retries for at most `most` while the system is short of a resource.
    ///
    /// # Errors
    ///
    /// The reason of the last failure.
    pub async fn load_with_retry(&self, most: Duration) -> Result<Config, String> {
        let until = Instant::now() + most;
        loop {
            match self.load() {
                Err(error) if error.transient && Instant::now() < until => sleep(RETRY_PAUSE).await,
                done => return done.map_err(|error| error.reason),
            }
        }
    }

    /// Joins the cluster membership, if there are settings for it.
    ///
    /// # Errors
    ///
    /// What is wrong with the settings or with the socket.
    pub async fn start_member(&self) -> Result<Option<Rc<Member>>, String> {
        match &self.members {
            Some(file) => Member::start(file).await.map(|member| Some(Rc::new(member))),
            None => Ok(None),
        }
    }
}
