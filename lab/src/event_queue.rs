//! A queue of events in order of time; events of the same time are in the order of insertion.

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
        // `BinaryHeap` pops its greatest element first, so the order is reversed.
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

/// The event queue.
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
    /// Schedules an event.
    pub fn schedule(&mut self, at: Micros, event: E) {
        self.next_sequence += 1;
        self.heap.push(Entry { at, sequence: self.next_sequence, event });
    }

    /// The time of the first event.
    pub fn next_time(&self) -> Option<Micros> {
        self.heap.peek().map(|entry| entry.at)
    }

    /// Removes the first event, if it is due by `until`.
    pub fn pop_due(&mut self, until: Micros) -> Option<(Micros, E)> {
        let due = self.heap.peek().is_some_and(|entry| entry.at <= until);
        due.then(|| self.heap.pop()).flatten().map(|entry| (entry.at, entry.event))
    }

    /// Number of scheduled events.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether there are no events.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
