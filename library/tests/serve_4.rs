//! The shared test suite against `Fleet::serve` with four engines that serve as one.

const CORES: usize = 4;

#[path = "suite/harness.rs"]
mod harness;
#[path = "../../proxy/tests/suite/listening.rs"]
mod listening;
#[path = "../../proxy/tests/suite/mod.rs"]
mod suite;
