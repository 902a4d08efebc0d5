//! Input that was read before the owner of a stream asked for it, so that an end of the stream behind it is seen: while
//! input is unread, the peer may hold back the rest and its end.

use crate::memory::{MemoryBudget, MemoryLease, Purpose};
use std::io::{self, ErrorKind};

/// Maximum number of bytes that are read ahead on one connection.
pub const MAX_READ_AHEAD_BYTES: usize = 64 << 10;

/// What reading ahead has shown of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// Everything that has arrived was read, and the stream goes on.
    NotReached,
    /// The peer has closed the stream, or the connection has broken.
    Reached,
    /// There is more input than may be read ahead.
    Hidden,
}

/// The bytes that were read ahead and not taken yet, and the memory for them.
#[derive(Debug, Default)]
pub struct ReadAhead {
    bytes: Vec<u8>,
    taken: usize,
    lease: Option<MemoryLease>,
}

impl ReadAhead {
    /// Whether there is nothing to take.
    pub fn is_empty(&self) -> bool {
        self.taken == self.bytes.len()
    }

    /// Reads what has arrived with `read`, which returns an error if that is nothing.
    pub fn fill(
        &mut self,
        memory: &MemoryBudget,
        mut read: impl FnMut(&mut [u8]) -> io::Result<usize>,
    ) -> StreamEnd {
        if self.lease.is_none() {
            self.lease = memory.try_lease(Purpose::Requests, MAX_READ_AHEAD_BYTES);
        }
        if self.lease.is_none() {
            return StreamEnd::Hidden;
        }
        self.bytes.drain(..std::mem::take(&mut self.taken));
        let end = loop {
            let length = self.bytes.len();
            if length == MAX_READ_AHEAD_BYTES {
                break StreamEnd::Hidden;
            }
            self.bytes.resize(MAX_READ_AHEAD_BYTES, 0);
            let result = read(&mut self.bytes[length..]);
            self.bytes.truncate(length + result.as_ref().copied().unwrap_or(0));
            match result {
                Ok(0) => break StreamEnd::Reached,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break StreamEnd::NotReached,
                Err(_) => break StreamEnd::Reached,
            }
        };
        self.give_back_if_empty();
        end
    }

    /// Takes at most this many bytes, and passes them to `put`.
    pub fn take(&mut self, count: usize, put: impl FnOnce(&[u8])) {
        let end = self.bytes.len().min(self.taken + count);
        put(&self.bytes[self.taken..end]);
        self.taken = end;
        self.give_back_if_empty();
    }

    fn give_back_if_empty(&mut self) {
        if self.is_empty() {
            *self = ReadAhead::default();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::memory::MemoryPlan;

    fn memory() -> MemoryBudget {
        MemoryBudget::new(&MemoryPlan::for_megabytes(32.0).expect("enough"))
    }

    /// A stream with this input, which ends behind it or goes on.
    fn stream(input: Vec<u8>, ends: bool) -> impl FnMut(&mut [u8]) -> io::Result<usize> {
        let mut read = 0;
        move |buffer| {
            let count = buffer.len().min(input.len() - read).min(1_000);
            if count == 0 && !ends {
                return Err(ErrorKind::WouldBlock.into());
            }
            buffer[..count].copy_from_slice(&input[read..read + count]);
            read += count;
            Ok(count)
        }
    }

    #[test]
    fn what_is_read_ahead_is_taken_in_order() {
        let (mut ahead, memory) = (ReadAhead::default(), memory());
        let input: Vec<u8> = (0..5_000_u32).map(|number| number as u8).collect();
        assert_eq!(ahead.fill(&memory, stream(input[..3_000].to_vec(), false)), StreamEnd::NotReached);
        let mut taken = Vec::new();
        ahead.take(700, |bytes| taken.extend_from_slice(bytes));
        assert_eq!(ahead.fill(&memory, stream(input[3_000..].to_vec(), true)), StreamEnd::Reached);
        while !ahead.is_empty() {
            ahead.take(512, |bytes| taken.extend_from_slice(bytes));
        }
        assert_eq!((taken, memory.leased(Purpose::Requests)), (input, 0));
    }

    #[test]
    fn the_end_behind_too_much_input_or_without_memory_is_hidden() {
        let (mut ahead, memory) = (ReadAhead::default(), memory());
        let input = vec![1; MAX_READ_AHEAD_BYTES + 1];
        assert_eq!(ahead.fill(&memory, stream(input.clone(), true)), StreamEnd::Hidden);
        ahead.take(10, |_| ());
        assert_eq!(ahead.fill(&memory, stream(Vec::new(), true)), StreamEnd::Reached);
        let mut other = ReadAhead::default();
        let _all = memory.try_lease(
            Purpose::Requests,
            MemoryPlan::for_megabytes(32.0).map_or(0, |plan| plan.requests) - MAX_READ_AHEAD_BYTES,
        );
        assert_eq!(other.fill(&memory, stream(input, true)), StreamEnd::Hidden);
        assert!(other.is_empty());
    }

    #[test]
    fn nothing_read_holds_no_memory() {
        let (mut ahead, memory) = (ReadAhead::default(), memory());
        assert_eq!(ahead.fill(&memory, stream(Vec::new(), false)), StreamEnd::NotReached);
        assert_eq!(memory.leased(Purpose::Requests), 0);
    }
}
