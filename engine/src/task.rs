//! Tasks of the engine's thread that are aborted when their owner is dropped.

use std::future::Future;
use tokio::task::AbortHandle;

/// Aborts its task when dropped.
#[derive(Debug)]
pub struct Task(AbortHandle);

impl Task {
    /// Aborts the task: it is not polled again.
    pub fn abort(&self) {
        self.0.abort();
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Spawns a future on this thread and aborts it when the returned handle is dropped. Must be called within a
/// [`tokio::task::LocalSet`].
pub fn spawn(future: impl Future + 'static) -> Task {
    Task(tokio::task::spawn_local(async move { drop(future.await) }).abort_handle())
}
