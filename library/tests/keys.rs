//! The store of keys' tests, by one engine.

mod harness {
    pub const CORES: usize = 1;
}

#[path = "suite/keys.rs"]
mod keys;
