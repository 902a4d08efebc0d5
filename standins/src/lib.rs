//! Stand-ins for what surrounds the proxy in production: hosts, discovery and clients on loopback sockets, for tests.
//!
//! Hosts take scripted actions ([`Host::start`]) or draw them from a seed ([`HostBehavior`]). A draw depends only on
//! the seed, the host and the request, never on the order in which requests arrive. Hosts record what they run in a
//! [`Ledger`], by call and by key, so that tests can count effects and need not trust answers.
//!
//! A test runs on one thread ([`run`]) and waits for conditions ([`eventually`]); it fails if they are not met in
//! time.
//!
//! This crate panics when it can't get a resource such as a port or a thread, as tests do.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod configuration;
mod crowd;
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
pub use crowd::{Crowd, CrowdBehavior, CrowdReport, RunningCrowd};
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
