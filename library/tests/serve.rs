//! The shared test suite against `Fleet::serve`: the front of the daemon on the engine of the library.

const CORES: usize = 1;

#[path = "suite/harness.rs"]
mod harness;
#[path = "../../proxy/tests/suite/listening.rs"]
mod listening;
#[path = "../../proxy/tests/suite/mod.rs"]
mod suite;
