//! The daemon's tests, for every form in which it comes. A form is the crate's module `form`: it holds the stand-ins
//! and a type `Proxy` that starts it.

mod detached_calls;
mod discovery;
mod hosts;
mod requests;
