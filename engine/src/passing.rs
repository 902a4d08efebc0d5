//! Errors of the system that pass by themselves: it is short of something for the moment.

use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Linux's numbers of the errors that say so: EINTR, EAGAIN, ENOMEM, ENFILE, EMFILE, ENOBUFS.
const PASSING: [i32; 6] = [4, 11, 12, 23, 24, 105];
/// Pause between two tries.
pub const AGAIN: Duration = Duration::from_millis(20);
/// For so long it is worth trying.
pub const MOST: Duration = Duration::from_secs(8);

/// Whether a call that failed so may succeed a moment later.
pub fn is_passing(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|number| PASSING.contains(&number))
}

/// Makes a call, and again while its error may pass, for [`MOST`]. It blocks the thread: for a start, before anything is
/// served.
///
/// # Errors
///
/// Its last error.
pub fn keep_trying<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let until = Instant::now() + MOST;
    loop {
        match call() {
            Err(error) if is_passing(&error) && Instant::now() < until => sleep(AGAIN),
            done => return done,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_passes_is_tried_again_and_nothing_else() {
        for (number, tries) in [(23, 3), (24, 3), (105, 3), (4, 3), (2, 1), (13, 1), (98, 1)] {
            let mut made = 0;
            let done = keep_trying(|| {
                made += 1;
                if made < 3 {
                    return Err(io::Error::from_raw_os_error(number));
                }
                Ok(())
            });
            assert_eq!((made, done.is_ok()), (tries, tries == 3), "{number}");
        }
    }
}
