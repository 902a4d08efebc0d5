//! The tests of the store of keys, with one engine.

mod harness {
    pub const CORES: usize = 1;
}

#[path = "suite/keys.rs"]
mod keys;
