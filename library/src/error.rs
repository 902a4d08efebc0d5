//! Errors of calls, of the start and of the shutdown. The error of a call states above all whether it may
//! have run.

use http::StatusCode;
use nettleworks::requests::{self, ClientResponse};
use nettleworks_engine::calls::KeyStatus;
use nettleworks_keys::KeyState;
use std::fmt;
use std::io;
use std::time::Duration;

/// Why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// The call was refused. It surely never ran, and may be retried.
    Refused {
        /// How long to wait before a retry.
        retry_after: Duration,
    },
    /// The call failed and may have run. Whether a request that is unsafe to repeat took effect is unknown.
    Failed,
    /// The request with this idempotency key may have run, and there is no response to return. Nothing is sent for
    /// the key for as long as the store remembers it.
    Unsure {
        /// The state of the key. If it is `Running`, the answer may still arrive, and a retry with the key then gets
        /// it.
        state: KeyState,
        /// The time since the key's first request arrived.
        age: Duration,
    },
    /// The request is invalid, with the status that the daemon responds with: 400 for a class, id, time budget or key
    /// that is missing, repeated or does not fit; 408 for a body that did not arrive in time; 409 for an id that is
    /// open; 411 for a framing that may hide another request; 413 for a body of more than 64 KiB. It never ran.
    Unusable(StatusCode),
    /// The fleet has been shut down or has ended. The call never ran.
    Closed,
}

impl Error {
    /// Whether the call may have taken effect. `false` is guaranteed to be correct.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Error::Failed | Error::Unsure { .. })
    }

    /// How long to wait before a retry, if the call was refused.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Error::Refused { retry_after } => Some(*retry_after),
            _ => None,
        }
    }

    /// The response that the daemon gives in this case.
    pub fn into_answer(self) -> ClientResponse {
        match self {
            Error::Refused { retry_after } => requests::refused_response(retry_after),
            Error::Failed => requests::status_response(StatusCode::BAD_GATEWAY),
            Error::Unsure { state, age } => requests::unsure_response(KeyStatus { state: state.name(), age }),
            Error::Unusable(status) => requests::closing_response(status),
            // It never ran, as with any refusal; another process may be able to serve it.
            Error::Closed => requests::refused_response(Duration::from_secs(1)),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Refused { retry_after } => write!(out, "refused, retry after {retry_after:?}"),
            Error::Failed => out.write_str("failed, and may have run"),
            Error::Unsure { state, age } => {
                write!(out, "no answer for a key in state {}, first used {age:?} ago", state.name())
            }
            Error::Unusable(status) => write!(out, "invalid request: {status}"),
            Error::Closed => out.write_str("the fleet has been shut down"),
        }
    }
}

impl std::error::Error for Error {}

/// Why a fleet did not start.
#[derive(Debug)]
#[non_exhaustive]
pub enum StartError {
    /// The configuration is incomplete or invalid; the text names the error and its place.
    Configuration(String),
    /// The operating system could not create a thread or an event queue.
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

/// A shutdown reached its deadline before all calls had been answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unfinished {
    /// Number of calls that were aborted; each of them may have run.
    pub calls: usize,
}

impl fmt::Display for Unfinished {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} calls were still open at the deadline of the shutdown", self.calls)
    }
}

impl std::error::Error for Unfinished {}
