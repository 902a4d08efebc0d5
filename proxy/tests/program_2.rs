//! The suite against the program with two engines.

mod harness {
    pub use nettleworks_standins::*;

    /// Number of engines of the proxy under test.
    pub const ENGINES: usize = 2;

    pub struct Daemon;

    impl Program for Daemon {
        const PATH: &'static str = env!("CARGO_BIN_EXE_nettleworks");
        const SCRATCH: &'static str = env!("CARGO_TARGET_TMPDIR");
        const ARGUMENTS: &'static [&'static str] = &["--cores", "2"];
    }

    pub type Proxy = nettleworks_standins::Proxy<Daemon>;
}

#[path = "suite/listening.rs"]
mod listening;
#[path = "suite/shutdown.rs"]
mod shutdown;
mod suite;
