//! The suite against the library's HTTP front and engine, on the test's own thread.

mod harness {
    pub use nettleworks_standins::*;
    /// Number of engines of the proxy under test.
    pub const ENGINES: usize = 1;

    pub type Proxy = nettleworks_standins::Proxy<InProcess>;
}

#[path = "suite/listening.rs"]
mod listening;
#[path = "suite/repeats.rs"]
mod repeats;
#[path = "suite/shutdown.rs"]
mod shutdown;
mod suite;
