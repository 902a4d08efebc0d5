//! Tasks of the engine's thread that end with their owner.

use std::future::Future;
use tokio::task::AbortHandle;

/// A task that ends when this is dropped.
#[derive(Debug)]
pub struct Task(AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Runs a future on this thread for as long as the returned task is kept. Needs a [`tokio::task::LocalSet`].
pub fn spawn(future: impl Future + 'static) -> Task {
    Task(tokio::task::spawn_local(async move { drop(future.await) }).abort_handle())
}
