//! How tests run and wait for conditions.

use std::future::Future;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// The time after which a test fails, far longer than any test takes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test in a runtime on the calling thread. Panics if it does not end within [`TEST_TIMEOUT`].
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let test = async { timeout(TEST_TIMEOUT, test).await.expect("the test ends in time") };
    LocalSet::new().block_on(&runtime, test)
}

/// Waits until the condition is met. Panics with the description `what` after half of [`TEST_TIMEOUT`].
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let met = async {
        while !condition() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(TEST_TIMEOUT / 2, met).await.unwrap_or_else(|_| panic!("never: {what}"));
}
