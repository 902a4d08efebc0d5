//! Tests that run against every deployment of the proxy: in the test's process, as a program, and as a library. Each
//! test binary has a module `harness` with the stand-ins and a type `Proxy` that starts the deployment under test.

mod detached_calls;
mod discovery;
mod hosts;
mod requests;
mod surplus_input;
