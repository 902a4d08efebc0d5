//! What one shard has learned, told to the others: a bounded log in one order, read by each at its own pace.
//!
//! A reader that is so slow that news was dropped unread is told that it has missed some, and starts over from a
//! snapshot; it never goes on as if it had heard all.

use std::collections::VecDeque;

/// A moment, in microseconds.
pub type Micros = u64;

/// A log of news of which the last `most` are kept.
#[derive(Clone, Debug)]
pub struct BroadcastLog<T> {
    entries: VecDeque<(usize, Micros, T)>,
    /// Number of the first that is kept.
    first: u64,
    capacity: usize,
}

/// What a reader gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read<T> {
    /// What others have told since, with its age.
    Entries(Vec<(Micros, T)>),
    /// Some was dropped unread: a snapshot is needed.
    Lagged,
}

/// How far one shard has read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor(u64);

impl<T: Clone> BroadcastLog<T> {
    /// An empty log; at least one is kept.
    pub fn new(capacity: usize) -> BroadcastLog<T> {
        BroadcastLog { entries: VecDeque::new(), first: 0, capacity: capacity.max(1) }
    }

    /// A shard tells something; the oldest goes where there are too many.
    pub fn publish(&mut self, from: usize, now: Micros, entry: T) {
        if self.entries.len() == self.capacity {
            self.entries.pop_front();
            self.first += 1;
        }
        self.entries.push_back((from, now, entry));
    }

    /// What others than `shard` have told since its cursor, which moves on to the end either way.
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
