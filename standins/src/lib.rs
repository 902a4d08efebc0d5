//! Stand-ins for what nettleworks meets: hosts, discovery and clients, on loopback sockets.
//!
//! They are scripted, act by act ([`Host::start`]), or drawn from a seed ([`Plan`]): a draw depends on the seed, the
//! host and the request alone, never on the order in which requests come. What hosts have *done* is in a
//! [`Ledger`], by call and by key, so that a test can count effects rather than trust answers.
//!
//! All of a test runs on one thread ([`run`]); what it waits for are conditions ([`eventually`]), and it ends with
//! a failure when they do not come.
//!
//! What cannot be had (a port, a thread) is a panic here, as in any test.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod configuration;
pub mod demo;
mod dice;
mod discovery;
mod host;
mod ledger;
mod load;
mod message;
mod over;
mod plan;
mod proxy;
mod registry;
mod relay;
mod site;
mod storm;
mod wait;

pub use client::{request, request_for, Client, HEALTH};
pub use configuration::{configuration, entry, list};
pub use dice::Dice;
pub use discovery::{chunk, piece, Discovery, WATCH};
pub use host::{narrow_listener, ok, turn_away, Act, Host};
pub use ledger::{Effect, Ledger, Twice};
pub use load::{Load, Tally, Times};
pub use message::{Message, Reader};
pub use over::{over, Sending};
pub use plan::{Fault, Plan};
pub use proxy::{Form, Inside, Program, Proxy, Setup};
pub use registry::Registry;
pub use relay::{Arrival, Relay};
pub use site::{Inside as SiteInside, Site};
pub use storm::{Aftermath, Got, Storm};
pub use wait::{eventually, run, PATIENCE};
