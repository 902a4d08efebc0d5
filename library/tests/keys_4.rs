//! The tests of the store of keys, with four engines that serve as one.

mod harness {
    pub const CORES: usize = 4;
}

#[path = "suite/keys.rs"]
mod keys;
