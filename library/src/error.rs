//! Why a call has no answer, and above all whether it may have run.

use http::StatusCode;
use nettleworks::requests::{self, ClientResponse};
use nettleworks_engine::calls::KeyStatus;
use nettleworks_keys::KeyState;
use std::fmt;
use std::io;
use std::time::Duration;

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// Turned away: it surely never ran, and may come again after this time.
    Refused {
        /// How long to stay away.
        retry_after: Duration,
    },
    /// It failed: it may have run. Nothing tells whether a request that is unsafe to repeat took effect.
    Failed,
    /// It may have run and there is no answer, and this is what is known of its idempotency key. Nothing is sent for
    /// the key as long as the store remembers it.
    Unsure {
        /// What the key is at. `Running`: its answer may still come, and who asks again with the key gets it then.
        state: KeyState,
        /// How long ago the key's first request came.
        age: Duration,
    },
    /// It cannot be used, with the status that the daemon gives for it: 400 for a class, id, time or key that is
    /// missing, double or does not fit; 408 for a body that did not come in time; 409 for an id that is open; 411 for
    /// a framing that may hide a request; 413 for more than 64 KiB. It never ran.
    Unusable(StatusCode),
    /// The fleet has been shut down, or has ended. It never ran.
    Closed,
}

impl Error {
    /// Whether the call may have taken effect. `false` is a promise.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Error::Failed | Error::Unsure { .. })
    }

    /// When to come again, for one that was turned away.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Error::Refused { retry_after } => Some(*retry_after),
            _ => None,
        }
    }

    /// What the daemon answers in this case.
    pub fn into_answer(self) -> ClientResponse {
        match self {
            Error::Refused { retry_after } => requests::refused_response(retry_after),
            Error::Failed => requests::status_response(StatusCode::BAD_GATEWAY),
            Error::Unsure { state, age } => requests::unsure_response(KeyStatus { state: state.name(), age }),
            Error::Unusable(status) => requests::closing_response(status),
            // It never ran, as with any refusal; another process may serve it.
            Error::Closed => requests::refused_response(Duration::from_secs(1)),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Refused { retry_after } => write!(out, "turned away, come again in {retry_after:?}"),
            Error::Failed => out.write_str("failed, and may have run"),
            Error::Unsure { state, age } => {
                write!(out, "no answer for a key that is {} and came {age:?} ago", state.name())
            }
            Error::Unusable(status) => write!(out, "cannot be used: {status}"),
            Error::Closed => out.write_str("the fleet has been shut down"),
        }
    }
}

impl std::error::Error for Error {}

/// Why a fleet did not start.
#[derive(Debug)]
#[non_exhaustive]
pub enum StartError {
    /// The configuration is missing or broken; the text says what and where.
    Configuration(String),
    /// No thread or event queue could be had.
    System(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Configuration(reason) => write!(out, "configuration: {reason}"),
            StartError::System(error) => write!(out, "cannot start: {error}"),
        }
    }
}

impl std::error::Error for StartError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StartError::Configuration(_) => None,
            StartError::System(error) => Some(error),
        }
    }
}

/// A shutdown whose time was up before all that was taken was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unfinished {
    /// Calls that were given up; each may have run.
    pub calls: usize,
}

impl fmt::Display for Unfinished {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} calls were open when the time was up", self.calls)
    }
}

impl std::error::Error for Unfinished {}
