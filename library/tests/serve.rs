//! The daemon's suite against `fleet.serve`: the daemon's own front, on the library's engine.

const CORES: usize = 1;

#[path = "suite/harness.rs"]
mod harness;
#[path = "../../proxy/tests/suite/listening.rs"]
mod listening;
#[path = "../../proxy/tests/suite/mod.rs"]
mod suite;
