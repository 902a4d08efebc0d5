//! Transient errors of the operating system: it is short of a resource for the moment.

use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Linux error numbers EINTR, EAGAIN, ENOMEM, ENFILE, EMFILE, ENOBUFS.
const TRANSIENT_ERRNOS: [i32; 6] = [4, 11, 12, 23, 24, 105];
/// Pause between two tries.
pub const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// For how long retries are worthwhile.
pub const RETRY_FOR: Duration = Duration::from_secs(8);

/// Whether the failed call may succeed a moment later.
pub fn is_transient(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|errno| TRANSIENT_ERRNOS.contains(&errno))
}

/// Makes a call and retries it for up to [`RETRY_FOR`] while its error is transient. Blocks the thread, so it is for
/// use at startup only, before any request is served.
///
/// # Errors
///
/// The error of the last try.
pub fn retry_transient<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let until = Instant::now() + RETRY_FOR;
    loop {
        match call() {
            Err(error) if is_transient(&error) && Instant::now() < until => sleep(RETRY_PAUSE),
            result => return result,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_transient_errors_are_retried() {
        for (errno, expected_calls) in [(23, 3), (24, 3), (105, 3), (4, 3), (2, 1), (13, 1), (98, 1)] {
            let mut calls = 0;
            let result = retry_transient(|| {
                calls += 1;
                if calls < 3 {
                    return Err(io::Error::from_raw_os_error(errno));
                }
                Ok(())
            });
            assert_eq!((calls, result.is_ok()), (expected_calls, expected_calls == 3), "{errno}");
        }
    }
}
