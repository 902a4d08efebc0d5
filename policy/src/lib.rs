//! Decision module of a client-side proxy for service-to-service calls. It decides which server gets a call, and
//! whether a call is queued, retried, refused or failed. It performs no I/O and reads no clock.
//!
//! A client proxy creates one [`Balancer`], feeds it [`Event`]s and carries out the resulting [`Action`]s:
//!
//! ```
//! use nettleworks_policy::{Action, Balancer, CallId, ClassId, Entry, Event, ListKind};
//! use nettleworks_policy::{ServerId, ServerState, Settings};
//!
//! let mut balancer = Balancer::new(7, Settings::default());
//! let mut actions = Vec::new();
//! balancer.handle(0, Event::Start, &mut actions);
//! let entries = vec![Entry { server: ServerId(1), state: ServerState::Ready, ..Entry::default() }];
//! balancer.handle(0, Event::ServerList { kind: ListKind::Full, entries }, &mut actions);
//! let call = CallId(1);
//! let event = Event::Request { call, class: ClassId(0), tenant: None, time_left: 500_000, resent: false };
//! balancer.handle(1_000, event, &mut actions);
//! for action in actions.drain(..) {
//!     match action {
//!         Action::Send { call, server, .. } => println!("send {call:?} to {server:?}"),
//!         Action::SetTimer { after } => println!("send Event::Timer in {after} us"),
//!         other => println!("{other:?}"),
//!     }
//! }
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod api;
mod balance;
mod call;
mod concurrency_limit;
mod in_flight;
mod list_lease;
mod shared_limit;

pub use api::*;
pub use balance::Balancer;
