//! The nettleworks client proxy inside an application.
//!
//! A [`Fleet`] runs the daemon's engine on a thread and single-thread runtime of its own. What the application does
//! to its own threads, a panic, a blocked worker, a runtime that ends, does not reach it: drains are kept, time-outs
//! fire, and discovery is followed all the while. The decisions, the checks and the four rules are the daemon's; so
//! is the code.
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
//!     Err(Error::Refused { retry_after }) => println!("it never ran; come again in {retry_after:?}"),
//!     Err(error) if error.may_have_run() => println!("nobody knows: {error}"),
//!     Err(error) => println!("it never ran: {error}"),
//! }
//! fleet.shutdown(Duration::from_secs(3)).await?;
//! # Ok(())
//! # }
//! ```
//!
//! - [`Fleet::call`] sends one request; [`FleetService`] is the same as a [`tower_service::Service`].
//! - [`FleetLayer`] puts the daemon's front into an application's own: what comes to `/api` goes to the fleet.
//! - [`CallContext`] is what an incoming request says of its time, class, tenant and key, for the calls that its
//!   handler makes.
//! - [`Fleet::serve`] is the daemon's own front on the application's listener.
//! - [`Fleet::watch`], [`Fleet::reload`] and [`Fleet::shutdown`] do what the daemon's signals do.
//!
//! Nothing here is for the whole process: no signal handler, no global logger, no registry. Two fleets, or two
//! copies of this library, share nothing; each keeps to the cap on descriptors in its own configuration.
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
