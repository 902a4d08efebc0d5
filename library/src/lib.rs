//! The nettleworks client proxy as a library inside an application.
//!
//! A [`Fleet`] runs the daemon's engine on a thread and single-threaded runtime of its own. What happens to the
//! application's threads (a panic, a blocked worker, a runtime that ends) does not affect it: draining hosts get no
//! new requests, timeouts fire, and changes of the server list are applied throughout. The decisions, the validation
//! of requests and the invariants are those of the daemon, by the same code.
//!
//! ```no_run
//! use nettleworks_client::{Error, Fleet};
//! use std::time::Duration;
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let fleet = Fleet::builder().file("deploy/example.json")?.start()?;
//! let request = http::Request::post("/api")
//!     .header("x-call-class", "cobro-mensual")
//!     .body(bytes::Bytes::from_static(b"{}"))?;
//! match fleet.call(request, Duration::from_millis(800)).await {
//!     Ok(answer) => println!("{} bytes", answer.body().len()),
//!     Err(Error::Refused { retry_after }) => println!("it never ran; retry after {retry_after:?}"),
//!     Err(error) if error.may_have_run() => println!("it may have run: {error}"),
//!     Err(error) => println!("it never ran: {error}"),
//! }
//! fleet.shutdown(Duration::from_secs(3)).await?;
//! # Ok(())
//! # }
//! ```
//!
//! - [`Fleet::call`] sends one request; [`FleetService`] is the same as a [`tower_service::Service`].
//! - [`FleetLayer`] adds the daemon's front to an application's server: requests to `/api` are sent over the fleet.
//! - [`CallContext`] holds the time budget, class, tenant and key of an incoming request, for the calls that its
//!   handler makes.
//! - [`Fleet::serve`] runs the daemon's front on a listener of the application.
//! - [`Fleet::watch`], [`Fleet::reload`] and [`Fleet::shutdown`] correspond to the daemon's signals.
//!
//! Nothing here is global to the process: no signal handler, no global logger, no registry. Two fleets, or two copies
//! of this library, share no state; each observes the limit of file descriptors in its own configuration.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod builder;
mod context;
mod error;
mod fleet;
mod layer;
mod service;
mod state;
mod thread;

pub use builder::{Builder, ClassKind};
pub use context::CallContext;
pub use error::{Error, StartError, Unfinished};
pub use fleet::{Call, Fleet, Serving};
pub use layer::{FleetLayer, FleetMiddleware, MiddlewareBody};
pub use nettleworks::server::bind as listen;
pub use nettleworks_engine::list::Health;
pub use nettleworks_engine::protocol::Connections;
pub use nettleworks_engine::state::HostState;
pub use nettleworks_keys::{Counts as KeyCounts, KeyState};
pub use service::FleetService;
pub use state::State;
