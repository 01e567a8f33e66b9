//! Priority queue of the events of a run.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

/// Pending events in the order of their time; events of the same time keep the order of insertion.
#[derive(Debug)]
pub struct EventQueue<E> {
    /// Times and sequence numbers of the pending events.
    heap: BinaryHeap<Reverse<(Duration, u64)>>,
    /// Pending events by sequence number.
    events: HashMap<u64, E>,
    next_sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            next_sequence: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event that happens at `at`.
    pub fn add(&mut self, at: Duration, event: E) {
        self.heap.push(Reverse((at, self.next_sequence)));
        self.events.insert(self.next_sequence, event);
        self.next_sequence += 1;
    }

    /// Removes and returns the earliest event with its time.
    pub fn pop(&mut self) -> Option<(Duration, E)> {
        let Reverse((at, sequence)) = self.heap.pop()?;
        let event = self.events.remove(&sequence)?;
        Some((at, event))
    }
}
