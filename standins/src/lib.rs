//! Stand-ins for what nettleworks meets: hosts, discovery and clients, on loopback sockets.
//!
//! They are scripted, act by act ([`Host::start`]), or drawn from a seed ([`HostBehavior`]): a draw depends on the seed, the
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
mod discovery;
mod fleet;
mod host;
mod host_behavior;
mod ledger;
mod load;
mod message;
mod pooled_sender;
mod proxy;
mod random_stream;
mod registry;
mod relay;
mod stress;
mod wait;

pub use client::{request, request_for, Client, HEALTH_REQUEST};
pub use configuration::{configuration, entry, list};
pub use discovery::{chunk, raw_chunk, Discovery, WATCH_HEAD};
pub use fleet::{StandInFleet, StandIns};
pub use host::{ok, rejection, small_buffer_listener, Host, HostAction};
pub use host_behavior::{Fault, HostBehavior};
pub use ledger::{DuplicateEffect, Effect, Ledger};
pub use load::{LatencyHistogram, Load, LoadMetrics};
pub use message::{Message, Reader};
pub use pooled_sender::{pooled_sender, SendFuture};
pub use proxy::{Deployment, InProcess, Program, Proxy, Setup};
pub use random_stream::RandomStream;
pub use registry::Registry;
pub use relay::{ConnectionMode, Relay};
pub use stress::{SendOutcome, StressReport, StressRun};
pub use wait::{eventually, run, TEST_TIMEOUT};
