//! What one shard has learned, broadcast to the others: a bounded log with one order, which each shard reads at its own
//! pace.
//!
//! A reader that is so slow that entries were dropped before it read them is told so, and has to start over from a
//! snapshot; it never continues as if it had read everything.

use std::collections::VecDeque;

/// A time, in microseconds.
pub type Micros = u64;

/// A log of which the last `capacity` entries are kept.
#[derive(Clone, Debug)]
pub struct BroadcastLog<T> {
    /// Each entry with the shard that published it, and when.
    entries: VecDeque<(usize, Micros, T)>,
    /// Sequence number of the first kept entry.
    first: u64,
    capacity: usize,
}

/// What a reader gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read<T> {
    /// What other shards have published since, each with its age in microseconds.
    Entries(Vec<(Micros, T)>),
    /// Entries were dropped before this shard read them: it needs a snapshot.
    Lagged,
}

/// How far one shard has read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor(u64);

impl<T: Clone> BroadcastLog<T> {
    /// An empty log; its capacity is at least one entry.
    pub fn new(capacity: usize) -> BroadcastLog<T> {
        BroadcastLog { entries: VecDeque::new(), first: 0, capacity: capacity.max(1) }
    }

    /// Appends an entry of shard `from`; the oldest entry is dropped if the log is full.
    pub fn publish(&mut self, from: usize, now: Micros, entry: T) {
        if self.entries.len() == self.capacity {
            self.entries.pop_front();
            self.first += 1;
        }
        self.entries.push_back((from, now, entry));
    }

    /// What shards other than `shard` have published since its cursor. The cursor moves to the end in any case.
    pub fn read(&self, shard: usize, now: Micros, cursor: &mut Cursor) -> Read<T> {
        let end = self.first + self.entries.len() as u64;
        let from = std::mem::replace(&mut cursor.0, end);
        if from < self.first {
            return Read::Lagged;
        }
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let unread = self.entries.iter().skip(skip).filter(|(publisher, ..)| *publisher != shard);
        Read::Entries(
            unread
                .map(|(_, published_at, entry)| (now.saturating_sub(*published_at), entry.clone()))
                .collect(),
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_shard_reads_the_entries_of_the_others_once_and_in_order() {
        let mut log = BroadcastLog::new(4);
        let (mut a, mut b) = (Cursor::default(), Cursor::default());
        log.publish(0, 10, "x");
        log.publish(1, 20, "y");
        assert_eq!(log.read(0, 30, &mut a), Read::Entries(vec![(10, "y")]));
        log.publish(1, 40, "z");
        assert_eq!(log.read(0, 50, &mut a), Read::Entries(vec![(10, "z")]));
        assert_eq!(log.read(1, 50, &mut b), Read::Entries(vec![(40, "x")]));
        assert_eq!(log.read(1, 60, &mut b), Read::Entries(vec![]));
    }

    #[test]
    fn a_slow_reader_is_told_that_entries_were_dropped() {
        let mut log = BroadcastLog::new(2);
        let mut cursor = Cursor::default();
        for n in 0..3 {
            log.publish(0, n, n);
        }
        assert_eq!(log.read(1, 9, &mut cursor), Read::Lagged);
        assert_eq!(log.read(1, 9, &mut cursor), Read::Entries(vec![]), "it has its snapshot");
        log.publish(0, 9, 7);
        assert_eq!(log.read(1, 9, &mut cursor), Read::Entries(vec![(0, 7)]));
    }
}
