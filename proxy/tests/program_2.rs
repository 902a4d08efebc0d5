//! The suite against the program with two engines that serve as one.

mod harness {
    pub use nettleworks_standins::*;

    /// Engines that serve as one.
    pub const ENGINES: usize = 2;

    pub struct Daemon;

    impl Program for Daemon {
        const PATH: &'static str = env!("CARGO_BIN_EXE_nettleworks");
        const SCRATCH: &'static str = env!("CARGO_TARGET_TMPDIR");
        const WORDS: &'static [&'static str] = &["--cores", "2"];
    }

    pub type Proxy = nettleworks_standins::Proxy<Daemon>;
}

#[path = "suite/listening.rs"]
mod listening;
#[path = "suite/shutdown.rs"]
mod shutdown;
mod suite;
