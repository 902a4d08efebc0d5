//! Events in the order of their time; those of one time in the order in which they were put in.

use crate::Micros;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

#[derive(Clone)]
struct Entry<E> {
    at: Micros,
    sequence: u64,
    event: E,
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap gives its greatest first.
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

/// The queue.
#[derive(Clone)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Entry<E>>,
    next_sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { heap: BinaryHeap::new(), next_sequence: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Puts an event in.
    pub fn schedule(&mut self, at: Micros, event: E) {
        self.next_sequence += 1;
        self.heap.push(Entry { at, sequence: self.next_sequence, event });
    }

    /// When the first is due.
    pub fn next_time(&self) -> Option<Micros> {
        self.heap.peek().map(|entry| entry.at)
    }

    /// The first, if it is due by `until`.
    pub fn pop_due(&mut self, until: Micros) -> Option<(Micros, E)> {
        let due = self.heap.peek().is_some_and(|entry| entry.at <= until);
        due.then(|| self.heap.pop()).flatten().map(|entry| (entry.at, entry.event))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
