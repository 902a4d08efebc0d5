//! What one shard has learned, told to the others: a bounded log in one order, read by each at its own pace.
//!
//! A reader that is so slow that news was dropped unread is told that it has missed some, and starts over from a
//! snapshot; it never goes on as if it had heard all.

use std::collections::VecDeque;

/// A moment, in microseconds.
pub type Micros = u64;

/// A log of news of which the last `most` are kept.
#[derive(Clone, Debug)]
pub struct News<T> {
    log: VecDeque<(usize, Micros, T)>,
    /// Number of the first that is kept.
    first: u64,
    most: usize,
}

/// What a reader gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read<T> {
    /// What others have told since, with its age.
    Told(Vec<(Micros, T)>),
    /// Some was dropped unread: a snapshot is needed.
    Missed,
}

/// How far one shard has read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor(u64);

impl<T: Clone> News<T> {
    /// An empty log; at least one is kept.
    pub fn new(most: usize) -> News<T> {
        News { log: VecDeque::new(), first: 0, most: most.max(1) }
    }

    /// A shard tells something; the oldest goes where there are too many.
    pub fn tell(&mut self, from: usize, now: Micros, what: T) {
        if self.log.len() == self.most {
            self.log.pop_front();
            self.first += 1;
        }
        self.log.push_back((from, now, what));
    }

    /// What others than `shard` have told since its cursor, which moves on to the end either way.
    pub fn read(&self, shard: usize, now: Micros, cursor: &mut Cursor) -> Read<T> {
        let end = self.first + self.log.len() as u64;
        let from = std::mem::replace(&mut cursor.0, end);
        if from < self.first {
            return Read::Missed;
        }
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let new = self.log.iter().skip(skip).filter(|(teller, ..)| *teller != shard);
        Read::Told(new.map(|(_, at, what)| (now.saturating_sub(*at), what.clone())).collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_hears_what_others_told_once_and_in_order() {
        let mut news = News::new(4);
        let (mut a, mut b) = (Cursor::default(), Cursor::default());
        news.tell(0, 10, "x");
        news.tell(1, 20, "y");
        assert_eq!(news.read(0, 30, &mut a), Read::Told(vec![(10, "y")]));
        news.tell(1, 40, "z");
        assert_eq!(news.read(0, 50, &mut a), Read::Told(vec![(10, "z")]));
        assert_eq!(news.read(1, 50, &mut b), Read::Told(vec![(40, "x")]));
        assert_eq!(news.read(1, 60, &mut b), Read::Told(vec![]));
    }

    #[test]
    fn a_slow_reader_knows_that_it_has_missed_some() {
        let mut news = News::new(2);
        let mut cursor = Cursor::default();
        for n in 0..3 {
            news.tell(0, n, n);
        }
        assert_eq!(news.read(1, 9, &mut cursor), Read::Missed);
        assert_eq!(news.read(1, 9, &mut cursor), Read::Told(vec![]), "it has its snapshot");
        news.tell(0, 9, 7);
        assert_eq!(news.read(1, 9, &mut cursor), Read::Told(vec![(0, 7)]));
    }
}
