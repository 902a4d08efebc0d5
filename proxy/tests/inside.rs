//! The suite against the daemon's front and driver on the test's own thread.

mod harness {
    pub use nettleworks_standins::*;
    /// Engines that serve as one.
    pub const ENGINES: usize = 1;

    pub type Proxy = nettleworks_standins::Proxy<Inside>;
}

#[path = "suite/listening.rs"]
mod listening;
#[path = "suite/repeats.rs"]
mod repeats;
#[path = "suite/shutdown.rs"]
mod shutdown;
mod suite;
